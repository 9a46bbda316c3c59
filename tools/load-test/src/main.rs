//! Rigs that flood, starve and measure a maplehook on loopback. Each starts its own balancer and upstream,
//! ends by itself, and prints what it saw.
//!
//! `cargo build --release`, then `cargo run --release -p maplehook-load-test -- door`.

mod door;
mod eureka;
mod load;
mod near;
mod peers;
mod proxy;
mod roles;
mod stopped;

use clap::{Parser, Subcommand};
use std::net::SocketAddr;
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
    /// What a proxy costs: direct, daemon, axum host with our middleware, and a plain peer, side by side.
    Proxy {
        /// One JSON array instead of a table.
        #[arg(long)]
        json: bool,
        /// Rounds, of which the median is told.
        #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u64).range(1..=20))]
        rounds: u64,
        /// Seconds for each measurement.
        #[arg(long, default_value_t = 2.0)]
        seconds: f64,
    },
    /// What a request costs by the number of upstreams listed, and what an idle balancer costs.
    Fleet {
        /// Rounds, of which the median is told.
        #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u64).range(1..=20))]
        rounds: u64,
        /// Seconds for each measurement.
        #[arg(long, default_value_t = 2.0)]
        seconds: f64,
    },
    /// What a request costs in a fleet of four and in a large one, in turn, beside a bare relay over as many connections.
    Wide {
        /// The large fleet.
        #[arg(long, default_value_t = 4000, value_parser = clap::value_parser!(u64).range(5..=10_000))]
        upstreams: u64,
        /// Rounds, of which the median ratio is told.
        #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u64).range(1..=20))]
        rounds: u64,
        /// Seconds for each measurement.
        #[arg(long, default_value_t = 2.0)]
        seconds: f64,
    },
    /// After how long clients that stop in the middle of a request hear of it, at many balancers at once.
    Stopped {
        /// Balancers, each a process.
        #[arg(long, default_value_t = 8, value_parser = clap::value_parser!(u64).range(1..=300))]
        balancers: u64,
    },
    /// What following a Eureka registry costs, and what its failures cost.
    Eureka {
        /// Seconds for each measurement.
        #[arg(long, default_value_t = 3.0)]
        seconds: f64,
    },
    /// What a request of the platform's protocol costs two programs, in turn.
    Paired {
        /// The other one.
        against: PathBuf,
        /// Rounds, of which the median ratio is told.
        #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u64).range(1..=20))]
        rounds: u64,
        /// Seconds for each measurement.
        #[arg(long, default_value_t = 2.0)]
        seconds: f64,
    },
    /// What rules of nearness cost a request, and an agreement beside them: the same program without, in turn.
    Near {
        /// Another program, which goes without as well.
        #[arg(long)]
        against: Option<PathBuf>,
        /// One JSON object instead of tables.
        #[arg(long)]
        json: bool,
        /// Rounds, of which medians and quartiles are told.
        #[arg(long, default_value_t = 400, value_parser = clap::value_parser!(u64).range(1..=5000))]
        rounds: u64,
        /// Seconds for each measurement: short, so that a round sees the machine in one mood.
        #[arg(long, default_value_t = 0.15)]
        seconds: f64,
    },
    /// An upstream of the proxy rig.
    #[command(hide = true)]
    Desk,
    /// An axum host with the middleware.
    #[command(hide = true)]
    Host { upstreams: Vec<SocketAddr> },
    /// The plain peer.
    #[command(hide = true)]
    PlainProxy { upstreams: Vec<SocketAddr> },
    /// A bare relay that takes turns over so many kept connections.
    #[command(hide = true)]
    Turns { count: usize, upstreams: Vec<SocketAddr> },
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
        Rig::Proxy { json, rounds, seconds } => {
            runtime.block_on(proxy::run(&line.program, rounds as usize, seconds.clamp(0.2, 30.0), json))
        }
        Rig::Fleet { rounds, seconds } => {
            runtime.block_on(proxy::fleet(&line.program, rounds as usize, seconds.clamp(0.2, 30.0)))
        }
        Rig::Wide { upstreams, rounds, seconds } => {
            let seconds = seconds.clamp(0.2, 30.0);
            runtime.block_on(proxy::wide(&line.program, upstreams as usize, rounds as usize, seconds))
        }
        Rig::Paired { against, rounds, seconds } => {
            let seconds = seconds.clamp(0.2, 30.0);
            runtime.block_on(proxy::paired(&line.program, &against, rounds as usize, seconds))
        }
        Rig::Near { against, json, rounds, seconds } => {
            let (rounds, seconds) = (rounds as usize, seconds.clamp(0.05, 30.0));
            runtime.block_on(near::run(&line.program, against.as_deref(), rounds, seconds, json))
        }
        Rig::Stopped { balancers } => runtime.block_on(stopped::run(&line.program, balancers as usize)),
        Rig::Eureka { seconds } => eureka::run(&line.program, seconds.clamp(0.2, 30.0)),
        Rig::Desk => roles::run(roles::desk),
        Rig::Host { upstreams } => roles::run(|listener| roles::host(listener, upstreams)),
        Rig::PlainProxy { upstreams } => roles::run(|listener| roles::plain(listener, upstreams)),
        Rig::Turns { count, upstreams } => {
            roles::run(|listener| roles::turns(listener, count.clamp(1, 20_000), upstreams))
        }
        Rig::Plain => peers::plain().map_err(|e| e.to_string()),
        Rig::HoldPorts { from, to } => {
            peers::hold_ports(from, to);
            Ok(())
        }
    });
    match ran {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("maplehook-load-test: {e}");
            ExitCode::FAILURE
        }
    }
}
