//! What following a registry costs: a poll by the number of instances, whole against changes, JSON against XML; what
//! 120 balancers ask of one registry; and what share of the requests is served while it fails.

use crate::proxy::load_small;
use maplehook_eureka::model::Notation;
use maplehook_eureka::{Client, Manner, Mirror};
use maplehook_test_servers::app::App;
use maplehook_test_servers::eureka::{Eureka, Mode};
use maplehook_test_servers::process::Process;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

/// Runs all three.
pub fn run(program: &Path, seconds: f64) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build_local(Default::default());
    runtime.map_err(|e| e.to_string())?.block_on(polls())?;
    tier(program, seconds)?;
    failures(program, seconds)
}

fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 10_000 + (n % 50_000) as u16))
}

async fn polls() -> Result<(), String> {
    println!("{:>9} {:<5} {:<7} {:>12} {:>12}", "instances", "", "", "bytes", "ms a poll");
    for count in [10, 120, 1000, 10_000] {
        let registry = Eureka::start();
        for n in 0..count {
            registry.register("DESKS", &format!("desk-{n}"), address(n), &[("zone", "a"), ("weight", "1.0")]);
        }
        for notation in [Notation::Json, Notation::Xml] {
            let manner = Manner { notation, timeout: Duration::from_secs(20), ..Manner::default() };
            let client = Client::new(manner, registry.address);
            for what in ["whole", "changes"] {
                let rest = if what == "whole" { "/apps" } else { "/apps/delta" };
                if what == "changes" {
                    // As a registry some minutes after its start, with one that has changed.
                    registry.quiet();
                    registry.mark("DESKS", "desk-0", "DOWN");
                }
                let (rounds, before, start) = (5, registry.bytes(), Instant::now());
                for _ in 0..rounds {
                    let document = client.get(rest).await.map_err(|e| e.to_string())?;
                    std::hint::black_box(Mirror::default().whole(&document));
                }
                let (bytes, took) = ((registry.bytes() - before) / rounds, start.elapsed() / rounds as u32);
                let notation = if notation == Notation::Json { "JSON" } else { "XML" };
                println!("{count:>9} {notation:<5} {what:<7} {bytes:>12} {:>12.2}", took.as_secs_f64() * 1e3);
            }
        }
    }
    Ok(())
}

fn file(registry: SocketAddr, poll_ms: u64, sockets: usize) -> String {
    format!(
        "[listen]\naddress = \"127.0.0.1:0\"\n[balancer]\nsockets = {sockets}\n[eureka]\nservers = [\"{registry}\"]\n\
         poll_ms = {poll_ms}\ntimeout_ms = 500\n\
         [[class]]\nname = \"look\"\npath = \"/**\"\neffect = \"idempotent\"\ndeadline_ms = 2000\n"
    )
}

/// 120 balancers that follow one registry of 120 instances.
fn tier(program: &Path, seconds: f64) -> Result<(), String> {
    println!("\n{:>9} {:>14} {:>12} {:>16}", "poll ms", "requests/s", "KiB/s", "cpu % a balancer");
    for poll_ms in [200, 1000] {
        let registry = Eureka::start();
        (0..120).for_each(|n| registry.register("DESKS", &format!("desk-{n}"), address(n), &[]));
        registry.quiet();
        let text = file(registry.address, poll_ms, 64);
        let tier = (0..120).map(|_| Process::by_file(program, &text)).collect::<Result<Vec<_>, _>>()?;
        std::thread::sleep(Duration::from_secs(1));
        let (before, bytes) = (registry.requests().values().sum::<usize>(), registry.bytes());
        let cpu = |tier: &[Process]| tier.iter().map(|p| p.used().cpu.as_secs_f64()).sum::<f64>();
        let (used, start) = (cpu(&tier), Instant::now());
        std::thread::sleep(Duration::from_secs_f64(seconds.max(2.0)));
        let lasted = start.elapsed().as_secs_f64();
        let requests = (registry.requests().values().sum::<usize>() - before) as f64 / lasted;
        let bytes = (registry.bytes() - bytes) as f64 / lasted / 1024.0;
        let cpu = 100.0 * (cpu(&tier) - used) / lasted / tier.len() as f64;
        println!("{poll_ms:>9} {requests:>14.0} {bytes:>12.1} {cpu:>16.2}");
    }
    Ok(())
}

/// The share of requests that is served while the registry fails.
fn failures(program: &Path, seconds: f64) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    let runtime = runtime.map_err(|e| e.to_string())?;
    println!("\n{:<12} {:>9} {:>9} {:>9}", "registry", "served", "not", "share %");
    for name in [
        "well",
        "500",
        "503",
        "reset",
        "mute",
        "drip",
        "empty",
        "half",
        "truncated",
        "garbled",
        "wrong-hash",
        "stale",
    ] {
        let registry = Eureka::start();
        let apps: Vec<App> = (0..6).map(|_| App::start()).collect();
        apps.iter()
            .enumerate()
            .for_each(|(n, app)| registry.register("DESKS", &format!("desk-{n}"), app.address, &[]));
        let balancer = Process::by_file(program, &file(registry.address, 200, 1024))?;
        // The first list is asked for within a second of the start, spread over a tier.
        let start = Instant::now();
        while runtime.block_on(load_small(balancer.address, Duration::from_millis(20)))?.0 == 0 {
            if start.elapsed() > Duration::from_secs(10) {
                return Err("the balancer never served".into());
            }
        }
        registry.fails(Mode::named(name).ok_or("no such mode")?);
        let lasts = Duration::from_secs_f64(seconds.max(2.0));
        let (served, not) = runtime.block_on(load_small(balancer.address, lasts))?;
        let share = 100.0 * served as f64 / (served + not).max(1) as f64;
        println!("{name:<12} {served:>9} {not:>9} {share:>9.2}");
    }
    Ok(())
}
