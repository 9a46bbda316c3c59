//! What a proxy costs: direct, the daemon, an axum host with the middleware, and a plain peer (axum, hyper-util's
//! client, tower's p2c), side by side in one run; and what a large fleet costs the daemon.

use bytes::Bytes;
use hdrhistogram::Histogram;
use http_body_util::{BodyExt, Empty, Full};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use maplehook_test_servers::process::{Process, Used};
use serde::Serialize;
use std::fmt::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;

/// Connections that ask one request after another.
const CONNECTIONS: usize = 32;
/// Upstreams' listeners.
const DESKS: usize = 4;
/// Bytes of a small and of a long body.
const SMALL: usize = 64;
const LONG: usize = 1 << 20;

/// What one way costs for one kind of request: the median of the rounds.
#[derive(Clone, Debug, Serialize)]
pub struct Figure {
    way: &'static str,
    body: &'static str,
    requests_per_s: f64,
    p50_us: u64,
    p99_us: u64,
    /// Of the process between client and upstream.
    cpu_us_per_request: f64,
    peak_kb: u64,
    failed: u64,
}

#[derive(Clone, Copy)]
enum Body {
    Down(usize),
    Up(usize),
    /// A request of the platform's protocol.
    Platform,
}

const BODIES: [(&str, Body); 3] =
    [("64 B", Body::Down(SMALL)), ("1 MiB down", Body::Down(LONG)), ("1 MiB up", Body::Up(LONG))];

/// Measures all four, in turn, so many times.
pub async fn run(program: &Path, rounds: usize, seconds: f64, json: bool) -> Result<(), String> {
    let desks = desks()?;
    let addresses: Vec<SocketAddr> = desks.iter().map(|desk| desk.address).collect();
    let listed: Vec<String> = addresses.iter().map(ToString::to_string).collect();
    let own = |mode: &'static str| {
        let mut arguments = vec![mode];
        arguments.extend(listed.iter().map(String::as_str));
        Process::own(&arguments)
    };
    let daemon = Process::by_file(program, &file(&addresses, addresses.len()))?;
    let (host, plain) = (own("host")?, own("plain-proxy")?);
    let ways =
        [("direct", &desks[0]), ("daemon", &daemon), ("axum and middleware", &host), ("plain peer", &plain)];
    let mut figures: Vec<Figure> = Vec::new();
    for (name, body) in BODIES {
        let mut all: Vec<Vec<Figure>> = vec![Vec::new(); ways.len()];
        for _ in 0..rounds {
            for (n, (way, process)) in ways.iter().enumerate() {
                all[n].push(measure(way, name, body, process, seconds).await?);
            }
        }
        figures.extend(all.into_iter().filter_map(median));
    }
    if json {
        println!("{}", serde_json::to_string(&figures).map_err(|e| e.to_string())?);
    } else {
        println!(
            "{:<20} {:<11} {:>9} {:>8} {:>8} {:>10} {:>9} {:>6}",
            "way", "body", "req/s", "p50 us", "p99 us", "cpu us/req", "peak KiB", "failed"
        );
        for f in &figures {
            println!(
                "{:<20} {:<11} {:>9.0} {:>8} {:>8} {:>10.1} {:>9} {:>6}",
                f.way,
                f.body,
                f.requests_per_s,
                f.p50_us,
                f.p99_us,
                f.cpu_us_per_request,
                f.peak_kb,
                f.failed
            );
        }
    }
    Ok(())
}

/// Measures two programs on the platform's protocol, in turn, and tells the ratio round by round.
pub async fn paired(program: &Path, against: &Path, rounds: usize, seconds: f64) -> Result<(), String> {
    let desk = Process::own(&["desk"])?;
    let here = Process::balancer(program, desk.address, 1024, "")?;
    let there = Process::balancer(against, desk.address, 1024, "")?;
    println!("{:>6} {:>14} {:>14} {:>7}", "round", "cpu us/req", "against", "ratio");
    let mut ratios = Vec::new();
    for round in 1..=rounds {
        let one = measure("here", "64 B", Body::Platform, &here, seconds).await?;
        let other = measure("there", "64 B", Body::Platform, &there, seconds).await?;
        let (a, b) = (one.cpu_us_per_request, other.cpu_us_per_request);
        println!("{round:>6} {a:>14.1} {b:>14.1} {:>7.3}", a / b);
        ratios.push(a / b);
        if one.failed + other.failed > 0 {
            println!("       failed: {} and {}", one.failed, other.failed);
        }
    }
    ratios.sort_by(f64::total_cmp);
    println!("median ratio {:.3}", ratios[ratios.len() / 2]);
    Ok(())
}

/// Measures what a request costs by the number of upstreams listed, and what an idle balancer costs.
pub async fn fleet(program: &Path, rounds: usize, seconds: f64) -> Result<(), String> {
    let desks = desks()?;
    let addresses: Vec<SocketAddr> = desks.iter().map(|desk| desk.address).collect();
    println!("{:>9} {:>9} {:>10} {:>13} {:>9}", "upstreams", "req/s", "cpu us/req", "idle cpu %", "peak KiB");
    for count in [4, 100, 1000, 4000, 10_000] {
        let daemon = Process::by_file(program, &file(&addresses, count))?;
        tokio::time::sleep(Duration::from_millis(300)).await;
        let before = daemon.used();
        let pause = Duration::from_secs_f64(seconds);
        tokio::time::sleep(pause).await;
        let idle = (daemon.used().cpu - before.cpu).as_secs_f64() / pause.as_secs_f64();
        let mut all = Vec::new();
        for _ in 0..rounds {
            all.push(measure("daemon", "64 B", Body::Down(SMALL), &daemon, seconds).await?);
        }
        let Some(f) = median(all) else { continue };
        println!(
            "{count:>9} {:>9.0} {:>10.1} {:>13.1} {:>9}",
            f.requests_per_s,
            f.cpu_us_per_request,
            100.0 * idle,
            f.peak_kb
        );
    }
    Ok(())
}

/// Measures what a wide fleet costs more than one of four: the daemon and a bare relay that takes turns over as many
/// kept connections, all four in turn; and tells the ratios round by round.
pub async fn wide(program: &Path, count: usize, rounds: usize, seconds: f64) -> Result<(), String> {
    let desks = desks()?;
    let addresses: Vec<SocketAddr> = desks.iter().map(|desk| desk.address).collect();
    let relay = |count: usize| {
        let count = count.to_string();
        let listed: Vec<String> = addresses.iter().map(ToString::to_string).collect();
        let mut arguments = vec!["turns", &count];
        arguments.extend(listed.iter().map(String::as_str));
        Process::own(&arguments)
    };
    let daemon = |count| Process::by_file(program, &file(&addresses, count));
    let (few, many) = (daemon(DESKS)?, daemon(count)?);
    let (bare_few, bare_many) = (relay(DESKS)?, relay(count)?);
    // The relay makes its connections before it serves, the daemon at its first turns.
    load(bare_many.address, Body::Down(SMALL), Duration::from_secs(2)).await?;
    load(many.address, Body::Down(SMALL), Duration::from_secs(2)).await?;
    println!(
        "{:>6} {:>9} {:>9} {:>7} {:>9} {:>9} {:>7}",
        "round", "daemon 4", "wide", "ratio", "relay 4", "wide", "ratio"
    );
    let (mut ours, mut bare) = (Vec::new(), Vec::new());
    for round in 1..=rounds {
        let mut cost = Vec::new();
        for process in [&few, &many, &bare_few, &bare_many] {
            cost.push(measure("", "64 B", Body::Down(SMALL), process, seconds).await?.cpu_us_per_request);
        }
        let (a, b) = (cost[1] / cost[0], cost[3] / cost[2]);
        println!(
            "{round:>6} {:>9.1} {:>9.1} {a:>7.3} {:>9.1} {:>9.1} {b:>7.3}",
            cost[0], cost[1], cost[2], cost[3]
        );
        ours.push(a);
        bare.push(b);
    }
    ours.sort_by(f64::total_cmp);
    bare.sort_by(f64::total_cmp);
    println!("median ratio: daemon {:.3}, relay {:.3}", ours[ours.len() / 2], bare[bare.len() / 2]);
    Ok(())
}

fn median(mut figures: Vec<Figure>) -> Option<Figure> {
    figures.sort_by(|a, b| a.cpu_us_per_request.total_cmp(&b.cpu_us_per_request));
    let middle = figures.len() / 2;
    figures.into_iter().nth(middle)
}

pub fn desks() -> Result<Vec<Process>, String> {
    (0..DESKS).map(|_| Process::own(&["desk"])).collect()
}

/// An operator's file with so many upstreams on these listeners.
fn file(addresses: &[SocketAddr], count: usize) -> String {
    let mut text = String::from(
        "[listen]\naddress = \"127.0.0.1:0\"\n[headers]\nx_forwarded = false\n[balancer]\nupstream_idle_ms = 60000\nsockets = 12000\n\
         [[tenant]]\nname = \"all\"\nallowance_per_s = 1000000.0\n\
         [[class]]\nname = \"all\"\npath = \"/**\"\neffect = \"idempotent\"\ndeadline_ms = 10000\n",
    );
    for n in 0..count {
        let address = addresses[n % addresses.len()];
        let _ = writeln!(text, "[[upstream]]\nname = \"desk-{n}\"\naddress = \"{address}\"");
    }
    text
}

/// The classes, for the host.
pub fn embedded(addresses: &[SocketAddr]) -> String {
    file(addresses, addresses.len())
}

async fn measure(
    way: &'static str,
    name: &'static str,
    body: Body,
    process: &Process,
    seconds: f64,
) -> Result<Figure, String> {
    // Connections are made, and what is cold is warmed, before it counts.
    load(process.address, body, Duration::from_millis(200)).await?;
    let before = process.used();
    let start = Instant::now();
    let (took, failed) = load(process.address, body, Duration::from_secs_f64(seconds)).await?;
    let lasted = start.elapsed().as_secs_f64();
    let Used { cpu, memory_kb, .. } = process.used();
    let count = took.len().max(1) as f64;
    Ok(Figure {
        way,
        body: name,
        requests_per_s: took.len() as f64 / lasted,
        p50_us: took.value_at_quantile(0.5),
        p99_us: took.value_at_quantile(0.99),
        cpu_us_per_request: (cpu - before.cpu).as_secs_f64() * 1e6 / count,
        peak_kb: memory_kb,
        failed,
    })
}

async fn load(address: SocketAddr, body: Body, lasts: Duration) -> Result<(Histogram<u64>, u64), String> {
    load_by(CONNECTIONS, address, body, lasts).await
}

async fn load_by(
    clients: usize,
    address: SocketAddr,
    body: Body,
    lasts: Duration,
) -> Result<(Histogram<u64>, u64), String> {
    let until = Instant::now() + lasts;
    let clients: Vec<_> =
        (0..clients).map(|_| tokio::spawn(async move { client(address, body, until).await })).collect();
    let mut all = Histogram::new_with_bounds(1, 60_000_000, 3).map_err(|e| e.to_string())?;
    let mut failed = 0;
    for client in clients {
        let (took, broken) = client.await.map_err(|e| e.to_string())?.map_err(|e| e.to_string())?;
        all.add(took).map_err(|e| e.to_string())?;
        failed += broken;
    }
    Ok((all, failed))
}

/// Small requests for so long: how many were served, and how many were not.
pub async fn load_small(address: SocketAddr, lasts: Duration) -> Result<(u64, u64), String> {
    load_small_by(CONNECTIONS, address, lasts).await
}

/// The same, by so many clients.
pub async fn load_small_by(
    clients: usize,
    address: SocketAddr,
    lasts: Duration,
) -> Result<(u64, u64), String> {
    let (took, failed) = load_by(clients, address, Body::Down(SMALL), lasts).await?;
    Ok((took.len(), failed))
}

type Failure = Box<dyn std::error::Error + Send + Sync>;

async fn client(address: SocketAddr, body: Body, until: Instant) -> Result<(Histogram<u64>, u64), Failure> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(connection);
    let (mut took, mut failed) = (Histogram::new_with_bounds(1, 60_000_000, 3)?, 0);
    let up = Bytes::from(vec![b'x'; LONG]);
    while Instant::now() < until {
        let request = match body {
            Body::Down(length) => hyper::Request::get(format!("/bytes/{length}"))
                .header("host", "desk")
                .body(Empty::new().map_err(|never| match never {}).boxed())?,
            Body::Platform => hyper::Request::get("/look/bytes")
                .header("host", "app.svc")
                .header("x-correlation-id", format!("{:016x}", fastrand::u64(..)))
                .header("x-account", "walkers")
                .header("x-time-left-ms", "2000")
                .body(Empty::new().map_err(|never| match never {}).boxed())?,
            Body::Up(length) => hyper::Request::post("/up")
                .header("host", "desk")
                .body(Full::new(up.slice(..length)).boxed())?,
        };
        let start = Instant::now();
        sender.ready().await?;
        let response = sender.send_request(request).await?;
        let good = response.status() == 200;
        let mut body = response.into_body();
        while let Some(frame) = body.frame().await {
            frame?;
        }
        if good {
            took.saturating_record(start.elapsed().as_micros() as u64);
        } else {
            failed += 1;
        }
    }
    Ok((took, failed))
}
