//! Rigs that flood, starve and measure a maplehook on loopback. Each starts its own balancer and upstream,
//! ends by itself, and prints what it saw.
//!
//! `cargo build --release`, then `cargo run --release -p maplehook-bench -- door`.

mod door;
mod load;
mod node;
mod peers;

use clap::{Parser, Subcommand};
use std::path::PathBuf;
use std::process::ExitCode;

/// Rigs that flood, starve and measure a maplehook on loopback.
#[derive(Parser)]
struct Line {
    /// The balancer's program.
    #[arg(long, default_value = "target/release/maplehook", global = true)]
    program: PathBuf,
    #[command(subcommand)]
    rig: Rig,
}

#[derive(Subcommand)]
enum Rig {
    /// Admission: floods, crowds, the descriptor limit, what a refusal costs.
    Door {
        /// The scenarios, by name; all if none is named.
        names: Vec<String>,
        /// How long each flood lasts, in seconds.
        #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u64).range(1..=60))]
        seconds: u64,
    },
    /// A server that accepts and closes, to measure beside: prints its address.
    #[command(hide = true)]
    Plain,
    /// Holds a part of this machine's local ports until its input ends.
    #[command(hide = true)]
    HoldPorts { from: u16, to: u16 },
}

fn main() -> ExitCode {
    let line = Line::parse();
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    let ran = runtime.map_err(|e| e.to_string()).and_then(|runtime| match line.rig {
        Rig::Door { names, seconds } => runtime.block_on(door::run(&line.program, &names, seconds)),
        Rig::Plain => peers::plain().map_err(|e| e.to_string()),
        Rig::HoldPorts { from, to } => {
            peers::hold_ports(from, to);
            Ok(())
        }
    });
    match ran {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("maplehook-bench: {e}");
            ExitCode::FAILURE
        }
    }
}
