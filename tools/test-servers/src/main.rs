//! A stand-in by itself: `cargo run -p maplehook-test-servers -- eureka --listen 127.0.0.1:0 --schedule FILE`.

use clap::{Parser, Subcommand};
use maplehook_test_servers::eureka::Eureka;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

/// Stand-ins of outside systems, on loopback.
#[derive(Parser)]
struct Line {
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// A Eureka registry, until Ctrl-C.
    Eureka {
        /// Where it listens; an address of the loopback range.
        #[arg(long, default_value = "127.0.0.1:0")]
        listen: SocketAddr,
        /// What happens when: lines as `500 mark DESKS desk-1 OUT_OF_SERVICE`, `900 mode empty`.
        #[arg(long)]
        schedule: Option<PathBuf>,
    },
}

fn main() -> ExitCode {
    let What::Eureka { listen, schedule } = Line::parse().what;
    let run = || -> Result<(), Box<dyn std::error::Error>> {
        if !listen.ip().is_loopback() {
            return Err(format!("{listen} is no address of the loopback range").into());
        }
        let registry = Eureka::listen(listen)?;
        println!("{}", serde_json::json!({ "eureka": registry.address.to_string() }));
        if let Some(schedule) = schedule {
            registry.play(&std::fs::read_to_string(schedule)?)?;
        }
        loop {
            std::thread::park();
        }
    };
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("maplehook-test-servers: {e}");
            ExitCode::FAILURE
        }
    }
}
