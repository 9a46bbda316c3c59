//! `maplehook`: the command line of the load balancer.

use clap::Parser;
use maplehook_proxy::command::{self, Command, CommandLine};
use maplehook_proxy::config::Config;
use maplehook_proxy::settings::Outcome;
use maplehook_proxy::supervised::SupervisorEnvironment;
use maplehook_proxy::{config_reload, inherited, serve, supervise_command};
use std::error::Error;
use std::io;
use std::net::TcpListener;
use std::process::ExitCode;
use tracing::level_filters::LevelFilter;

fn main() -> ExitCode {
    // Must run before the process opens a descriptor, which could be mistaken for an inherited one.
    let inherited = inherited::take();
    let command_line = CommandLine::parse();
    let level = std::env::var("NODE_LOG").ok().and_then(|level| level.parse().ok());
    tracing_subscriber::fmt()
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .with_max_level(level.unwrap_or(LevelFilter::INFO))
        .init();
    match run(&command_line, inherited) {
        Ok(code) => code,
        Err(e) => {
            eprintln!("maplehook: {e}");
            ExitCode::FAILURE
        }
    }
}

fn print_outcome(outcome: Outcome) -> ExitCode {
    print!("{}", outcome.text);
    ExitCode::from(outcome.code)
}

fn run(
    command_line: &CommandLine,
    inherited: Option<io::Result<TcpListener>>,
) -> Result<ExitCode, Box<dyn Error>> {
    match &command_line.command {
        Some(Command::Check { file }) => {
            let path = file.as_deref().or(command_line.config.as_deref());
            command::load_operator(Some(path.ok_or("no file given; use: maplehook check FILE")?))?;
            println!("the operator's file is valid");
        }
        Some(Command::Run) => {
            let file =
                command_line.config.as_deref().ok_or("no file given; use: maplehook run --config FILE")?;
            let (operator, text) = command::load_operator_with_text(file)?;
            serve::run_from_file(operator, Some(text), inherited, SupervisorEnvironment::from_env(), None)
                .map_err(|e| format!("{}: {e}", file.display()))?;
        }
        Some(Command::Supervise) => {
            let file = command_line
                .config
                .as_deref()
                .ok_or("no file given; use: maplehook supervise --config FILE")?;
            supervise_command::run(file)?;
        }
        Some(Command::Sign(sign)) => {
            println!("{}", sign.token()?);
        }
        Some(Command::Settings(settings)) => {
            return Ok(print_outcome(
                settings.run(&command::load_operator(command_line.config.as_deref())?)?,
            ));
        }
        Some(Command::Places(places)) => {
            return Ok(print_outcome(places.run(&command::load_operator(command_line.config.as_deref())?)?));
        }
        Some(Command::Addresses(addresses)) => {
            return Ok(print_outcome(
                addresses.run(&command::load_operator(command_line.config.as_deref())?)?,
            ));
        }
        Some(Command::Rollout(rollout)) => {
            return Ok(print_outcome(rollout.run(&command::load_operator(command_line.config.as_deref())?)?));
        }
        Some(Command::Locality(locality)) => {
            return Ok(print_outcome(
                locality.run(&command::load_operator(command_line.config.as_deref())?)?,
            ));
        }
        Some(Command::Tier { what }) => {
            let (text, is_complete) = what.run()?;
            print!("{text}");
            return Ok(if is_complete { ExitCode::SUCCESS } else { ExitCode::from(2) });
        }
        None => {
            config_reload::install_hangup_handler()?;
            // The operator's file is loaded first, so that its errors are reported on the platform, too.
            let operator = command::load_operator(command_line.config.as_deref())?;
            serve::run_on_platform(Config::from_env()?, operator, inherited, None)?;
        }
    }
    Ok(ExitCode::SUCCESS)
}
