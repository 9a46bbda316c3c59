//! What rules of nearness cost: one program without rules, with rules, and with rules in common, and another program without, each
//! measured in each round, in an order that turns with the rounds. Costs are compared within a round, so that what else the machine
//! does falls on all of them alike.

use crate::proxy::{desks, load_small_by};
use maplehook_test_servers::process::Process;
use serde::Serialize;
use std::fmt::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// Clients that ask one request after another.
const CLIENTS: usize = 16;
/// Balancers that agree; one of them is measured.
const VOTERS: usize = 3;
/// How long each is watched while nobody asks anything.
const IDLE: Duration = Duration::from_secs(3);
/// The longest wait for them to agree.
const AGREE: Duration = Duration::from_secs(20);

/// What one way costs.
#[derive(Debug, Serialize)]
struct Figure {
    way: &'static str,
    /// The processor's time of a request, in microseconds, by round.
    cpu_us: Vec<f64>,
    /// That over what the first way costs in the same round: quartiles.
    ratio: [f64; 3],
    /// All of it over all requests, and that over what the first way comes to.
    whole_us: f64,
    whole_ratio: f64,
    requests: u64,
    failed: u64,
    /// The processor's time while nobody asks anything, in parts of a core.
    idle_cores: f64,
    /// The most memory that it held, in KiB.
    peak_kb: u64,
}

/// A balancer that is measured, and those that it needs.
struct Way {
    name: &'static str,
    balancer: Process,
    _others: Vec<Process>,
    _directory: Option<Directory>,
}

struct Directory(PathBuf);

impl Drop for Directory {
    fn drop(&mut self) {
        // What can't be removed stays in the system's directory for such files.
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// An operator's file: four upstreams, in two zones of one region where there are rules.
fn file(addresses: &[SocketAddr], rules: bool) -> String {
    let mut text = String::from(
        "[listen]\naddress = \"127.0.0.1:0\"\n[headers]\nx_forwarded = false\n\
         [[tenant]]\nname = \"all\"\nallowance_per_s = 1000000.0\n\
         [[class]]\nname = \"all\"\npath = \"/**\"\neffect = \"idempotent\"\ndeadline_ms = 10000\n\
         [balancer]\nupstream_idle_ms = 60000\n",
    );
    if rules {
        text += "zone = \"a\"\n[[region]]\nname = \"north\"\nzones = [\"a\", \"b\"]\n\
                 [[region]]\nname = \"south\"\nzones = [\"c\"]\n[locality]\nrules = \"\"\"\nrule all {\n\
                 prefer own region > anywhere;\nspill over 80% for 1s, back under 60% for 5s;\n}\n\"\"\"\n";
    }
    for (n, address) in addresses.iter().enumerate() {
        // Writing to a string can't fail.
        let _ = writeln!(text, "[[upstream]]\nname = \"desk-{n}\"\naddress = \"{address}\"");
        if rules {
            let zone = ["a", "b"][n % 2];
            let _ = writeln!(text, "zone = \"{zone}\"\nroom_per_s = 1000000.0");
        }
    }
    text
}

/// Ports of this machine that nobody holds.
fn free() -> Result<Vec<SocketAddr>, String> {
    let held: Result<Vec<TcpListener>, _> =
        (0..VOTERS).map(|_| TcpListener::bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))).collect();
    let held = held.map_err(|e| e.to_string())?;
    held.iter().map(|held| held.local_addr().map_err(|e| e.to_string())).collect()
}

/// Three that agree; the last one is measured, which need not lead.
fn in_common(program: &Path, text: &str) -> Result<Way, String> {
    let directory = Directory(std::env::temp_dir().join(format!("maplehook-near-{}", std::process::id())));
    std::fs::create_dir_all(&directory.0).map_err(|e| e.to_string())?;
    let secret = directory.0.join("secret");
    std::fs::write(&secret, "the secret of a bench's tier").map_err(|e| e.to_string())?;
    let addresses = free()?;
    let mut all = Vec::new();
    for (n, own) in addresses.iter().enumerate() {
        let mut text = format!(
            "{text}[tier]\nname = \"b{n}\"\nlisten = \"{own}\"\nsecret_file = \"{}\"\nstate = \"{}\"\n",
            secret.display(),
            directory.0.join(format!("b{n}")).display()
        );
        for (other, address) in addresses.iter().enumerate().filter(|(other, _)| *other != n) {
            let _ = writeln!(text, "[[tier.peer]]\nname = \"b{other}\"\naddress = \"{address}\"");
        }
        let voters: Vec<String> = (0..VOTERS).map(|n| format!("b{n}")).collect();
        let _ = writeln!(text, "[agreement]\nvoters = {voters:?}");
        all.push(Process::by_file(program, &text)?);
    }
    let balancer = all.pop().ok_or("no balancers")?;
    Ok(Way { name: "rules in common", balancer, _others: all, _directory: Some(directory) })
}

/// The cost of a request now, in microseconds; how many there were, and how many failed.
async fn cost(way: &Way, seconds: f64) -> Result<(f64, u64, u64), String> {
    let address = way.balancer.address;
    // Connections are made, and what is cold is warmed, before it counts.
    load_small_by(CLIENTS, address, Duration::from_millis(20)).await?;
    let ran = || way.balancer.ran().unwrap_or_else(|| way.balancer.used().cpu);
    let before = ran();
    let (served, failed) = load_small_by(CLIENTS, address, Duration::from_secs_f64(seconds)).await?;
    let used = ran().saturating_sub(before);
    Ok((used.as_secs_f64() * 1e6 / served.max(1) as f64, served, failed))
}

fn quartiles(of: &[f64]) -> [f64; 3] {
    let mut of = of.to_vec();
    of.sort_by(f64::total_cmp);
    [1, 2, 3].map(|n| of.get(n * of.len().saturating_sub(1) / 4).copied().unwrap_or(f64::NAN))
}

/// Measures all ways in turn.
pub async fn run(
    program: &Path,
    against: Option<&Path>,
    rounds: usize,
    seconds: f64,
    json: bool,
) -> Result<(), String> {
    let desks = desks()?;
    let addresses: Vec<SocketAddr> = desks.iter().map(|desk| desk.address).collect();
    let (plain, rules) = (file(&addresses, false), file(&addresses, true));
    let alone = |name, program: &Path, text: &str| {
        let balancer = Process::by_file(program, text)?;
        Ok::<_, String>(Way { name, balancer, _others: Vec::new(), _directory: None })
    };
    let mut ways = vec![alone("without", program, &plain)?, alone("again without", program, &plain)?];
    // Operators' calls have a thread of their own, as places have: what a second thread alone costs.
    let threads = format!("{plain}[operator]\naddress = \"127.0.0.1:0\"\n");
    ways.push(alone("second thread", program, &threads)?);
    ways.push(alone("rules", program, &rules)?);
    ways.push(in_common(program, &rules)?);
    if let Some(against) = against {
        ways.push(alone("the other program", against, &plain)?);
    }
    for way in &ways {
        // All have to serve: balancers that are to agree wait for one another.
        let begun = Instant::now();
        while load_small_by(1, way.balancer.address, Duration::from_millis(100)).await?.0 == 0 {
            if begun.elapsed() > AGREE {
                return Err(format!("{:?} does not serve", way.name));
            }
        }
    }
    let mut figures: Vec<Figure> = Vec::new();
    for way in &ways {
        let before = way.balancer.used();
        tokio::time::sleep(IDLE).await;
        let idle_cores = way.balancer.used().cores_since(&before);
        figures.push(Figure {
            way: way.name,
            cpu_us: Vec::new(),
            ratio: [1.0; 3],
            whole_us: 0.0,
            whole_ratio: 1.0,
            requests: 0,
            failed: 0,
            idle_cores,
            peak_kb: 0,
        });
    }
    for round in 0..rounds {
        for n in 0..ways.len() {
            let n = (n + round) % ways.len();
            let (cost, served, failed) = cost(&ways[n], seconds).await?;
            figures[n].cpu_us.push(cost);
            figures[n].whole_us += cost * served as f64;
            figures[n].requests += served;
            figures[n].failed += failed;
        }
    }
    figures.iter_mut().for_each(|of| of.whole_us /= of.requests.max(1) as f64);
    let (first, whole) = (figures[0].cpu_us.clone(), figures[0].whole_us);
    for (of, way) in figures.iter_mut().zip(&ways) {
        let ratios: Vec<f64> = of.cpu_us.iter().zip(&first).map(|(cost, without)| cost / without).collect();
        (of.ratio, of.peak_kb) = (quartiles(&ratios), way.balancer.used().memory_kb);
        of.whole_ratio = of.whole_us / whole;
    }
    if json {
        println!("{}", serde_json::to_string(&figures).map_err(|e| e.to_string())?);
        return Ok(());
    }
    println!(
        "{:<18} {:>10} {:>21} {:>7} {:>9} {:>7} {:>11} {:>9}",
        "way", "us/request", "ratio (quartiles)", "in all", "requests", "failed", "idle cores", "peak KiB"
    );
    for of in &figures {
        let [low, middle, high] = of.ratio;
        println!(
            "{:<18} {:>10.2} {middle:>7.3} ({low:.3}-{high:.3}) {:>7.3} {:>9} {:>7} {:>11.4} {:>9}",
            of.way,
            quartiles(&of.cpu_us)[1],
            of.whole_ratio,
            of.requests,
            of.failed,
            of.idle_cores,
            of.peak_kb
        );
    }
    Ok(())
}
