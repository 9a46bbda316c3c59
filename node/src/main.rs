//! `maplehook`: a load balancer on real sockets. Every decision is the `lapisroute` library's; who is let in
//! is `maplehook-admission`'s.

mod client;
mod command;
mod config;
mod entrance;
mod refusals;
mod requests;
mod serve;
mod server;

use clap::Parser;
use command::{Command, Line};
use std::error::Error;
use std::process::ExitCode;
use tracing::level_filters::LevelFilter;

fn main() -> ExitCode {
    let line = Line::parse();
    let level = std::env::var("NODE_LOG").ok().and_then(|level| level.parse().ok());
    tracing_subscriber::fmt()
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .with_max_level(level.unwrap_or(LevelFilter::INFO))
        .init();
    match run(&line) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("maplehook: {e}");
            ExitCode::FAILURE
        }
    }
}

fn run(line: &Line) -> Result<(), Box<dyn Error>> {
    match &line.command {
        Some(Command::Check) => {
            command::operator(line.config.as_deref())?;
            println!("the operator's file is good");
            Ok(())
        }
        Some(Command::Sign(sign)) => {
            println!("{}", sign.word()?);
            Ok(())
        }
        None => serve::run(command::operator(line.config.as_deref())?),
    }
}
