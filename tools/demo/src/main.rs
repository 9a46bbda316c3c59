//! maplehook before four stand-in applications on loopback.
//!
//! Without arguments it runs until Ctrl-C, and shows what each application gets. With `--check` it plays a mixed load
//! while one application is killed and another one drains, and fails if a request was lost or an effect ran twice.

mod check;
mod fleet;

use clap::Parser;
use fleet::Fleet;
use maplehook_test_servers::app::App;
use maplehook_test_servers::until;
use std::error::Error;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::ExitCode;
use std::time::Duration;

/// maplehook before four stand-in applications on loopback, until Ctrl-C.
#[derive(Parser)]
struct Line {
    /// Plays a mixed load with one application killed and one draining, and tells what came of it.
    #[arg(long)]
    check: bool,
    /// Has a stand-in of a Eureka registry name the applications.
    #[arg(long)]
    eureka: bool,
    /// How long that load lasts, in seconds.
    #[arg(long, default_value_t = 6, value_parser = clap::value_parser!(u64).range(3..=60))]
    seconds: u64,
}

fn main() -> ExitCode {
    let line = Line::parse();
    match run(&line) {
        Ok(code) => code,
        Err(e) => {
            eprintln!("maplehook-demo: {e}");
            ExitCode::FAILURE
        }
    }
}

/// Whether a request reaches this application; any does.
fn asked(address: SocketAddr, app: &App) -> bool {
    let request = b"GET /look/day HTTP/1.1\r\nHost: demo\r\nConnection: close\r\n\r\n";
    if let Ok(mut stream) = TcpStream::connect(address)
        && stream.write_all(request).is_ok()
    {
        let _ = stream.read_to_end(&mut Vec::new());
    }
    app.requests() > 0
}

fn run(line: &Line) -> Result<ExitCode, Box<dyn Error>> {
    let mut fleet = Fleet::start(line.eureka)?;
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
    let address = fleet.daemon.address;
    let mut addresses = serde_json::json!({ "http": address.to_string() });
    if let Some(registry) = &fleet.registry {
        addresses["eureka"] = registry.address.to_string().into();
        // It serves when it has heard of them.
        until("the balancer knows the applications", || fleet.apps.iter().any(|app| asked(address, app)));
    }
    println!("{addresses}");
    if line.check {
        return runtime.block_on(check::run(&mut fleet, Duration::from_secs(line.seconds)));
    }
    println!("curl -i http://{address}/look/echo");
    println!("curl -i -X POST -H 'Idempotency-Key: trek-7' -d 'two beds' http://{address}/book/day");
    println!("curl -N http://{address}/look/events/5/1000");
    runtime.block_on(async {
        let mut shown = String::new();
        loop {
            let table = fleet.table();
            if table != shown {
                eprintln!("\n{table}");
                shown = table;
            }
            tokio::select! {
                ended = tokio::signal::ctrl_c() => return ended,
                () = tokio::time::sleep(Duration::from_millis(500)) => {}
            }
        }
    })?;
    Ok(ExitCode::SUCCESS)
}
