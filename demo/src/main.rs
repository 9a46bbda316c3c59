//! maplehook before four stand-in applications on loopback.
//!
//! Without arguments it runs until Ctrl-C, and shows what each application gets. With `--check` it plays a mixed load
//! while one application is killed and another one drains, and fails if a request was lost or an effect ran twice.

mod check;
mod fleet;

use clap::Parser;
use fleet::Fleet;
use std::error::Error;
use std::process::ExitCode;
use std::time::Duration;

/// maplehook before four stand-in applications on loopback, until Ctrl-C.
#[derive(Parser)]
struct Line {
    /// Plays a mixed load with one application killed and one draining, and tells what came of it.
    #[arg(long)]
    check: bool,
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

fn run(line: &Line) -> Result<ExitCode, Box<dyn Error>> {
    let mut fleet = Fleet::start()?;
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
    let address = fleet.daemon.address;
    println!("{}", serde_json::json!({ "http": address.to_string() }));
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
