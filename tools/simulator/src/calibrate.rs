//! The same file on real sockets and in the emulator: a daemon before stand-ins on loopback, asked by the load tool;
//! and the difference by measure.

use crate::experiment::one;
use crate::faults::{Fault, Harm, time_line};
use crate::file::Plan;
use crate::load::{self, Target};
use crate::policies::Decides;
use crate::station::Station as Figures;
use crate::time::Time;
use crate::world::{Network, World};
use crate::{Shape, Stream};
use maplehook_core::{Balancer, Class, DedupGroup, Effect};
use maplehook_test_servers::process::Process;
use maplehook_test_servers::station::Station;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::fmt::Write;
use std::path::Path;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

/// A calm world of so many upstreams and balancers: each upstream does 100 requests a second, 70 in 100 of that is
/// asked for.
pub fn calm(upstreams: usize, balancers: usize, requests: u64) -> World {
    let stations = vec![Figures::new(1, 64, Time::Exponential(Duration::from_millis(10))); upstreams];
    let rate = 70.0 * upstreams as f64;
    let class = Class {
        latency_objective: Duration::from_millis(500),
        deadline: Duration::from_secs(2),
        effect: Effect::Idempotent,
        ..Class::default()
    };
    World {
        lasts: Duration::from_secs_f64(requests as f64 / rate),
        balancers,
        stations,
        tenants: 8,
        allowance: 100.0 * upstreams as f64,
        classes: vec![class],
        shares: vec![1.0],
        streams: vec![Stream { rate, tenant: None, shape: Shape::Poisson }],
        ..World::default()
    }
}

/// What a world has that can't be played on sockets here; the first of it.
fn unfit(world: &World) -> Option<String> {
    let beyond = |f: &&Fault| !matches!(f.what, Harm::Slow(_) | Harm::Pause | Harm::Errors(1.0));
    if world.balancers != 1 || world.clients.retries > 0 {
        return Some("one balancer, and clients that do not try again".into());
    }
    if world.stations.iter().any(|s| s.cold.is_some() || s.choke.is_some()) {
        return Some("upstreams without cold and choke".into());
    }
    if world.stations.len() > 64 || world.lasts > Duration::from_secs(120) {
        return Some("at most 64 upstreams and 120 s".into());
    }
    let fault = world.faults.iter().find(beyond);
    fault.map(|f| format!("only slow, pause and errors of all requests, not {:?}", f.name))
}

/// The daemon's file for such a world.
fn daemon_file(world: &World, classes: &[String], stations: &[Station]) -> String {
    let mut text = String::from("[listen]\naddress = \"127.0.0.1:0\"\n[headers]\ntenant = \"x-account\"\n");
    let part = world.allowance.max(world.capacity()) / f64::from(world.tenants);
    for tenant in 0..world.tenants {
        let _ = writeln!(text, "[[tenant]]\nname = \"tenant-{tenant}\"\nallowance_per_s = {part:?}");
    }
    for (name, class) in classes.iter().zip(&world.classes) {
        let effect = match class.effect {
            Effect::Idempotent => "idempotent",
            Effect::Deduplicated { group: DedupGroup::All | DedupGroup::Zone | DedupGroup::Cell, .. } => {
                "keyed"
            }
            Effect::AtMostOnce => "at_most_once",
        };
        let (aim, deadline) = (class.latency_objective.as_millis(), class.deadline.as_millis());
        let _ = writeln!(
            text,
            "[[class]]\nname = \"{name}\"\npath = \"/{name}\"\neffect = \"{effect}\"\naim_ms = {aim}\ndeadline_ms = {deadline}"
        );
    }
    for (n, (station, figures)) in stations.iter().zip(&world.stations).enumerate() {
        let (address, weight) = (station.address(), figures.servers as f64);
        let _ =
            writeln!(text, "[[upstream]]\nname = \"desk-{n}\"\naddress = \"{address}\"\nweight = {weight:?}");
    }
    text
}

/// Brings the time line's faults to the stand-ins, each at its time.
async fn trouble(world: &World, stations: &[Station]) {
    let candidates: Vec<(u8, u16)> = world.stations.iter().map(|s| (s.zone, s.kind)).collect();
    let mut chance = ChaCha8Rng::seed_from_u64(world.seed.wrapping_mul(8).wrapping_add(5));
    let hits = time_line(&world.faults, world.lasts, &candidates, &[(0, 0)], &mut chance);
    let mut steps: Vec<(Duration, bool, usize)> = Vec::new();
    for (n, hit) in hits.iter().enumerate() {
        steps.push((hit.at, true, n));
        steps.push((hit.until, false, n));
    }
    steps.sort_by_key(|step| step.0);
    let start = tokio::time::Instant::now();
    for (at, begins, n) in steps {
        tokio::time::sleep_until(start + at).await;
        for station in hits[n].targets.iter().filter_map(|t| stations.get(*t)) {
            match world.faults[hits[n].fault].what {
                Harm::Slow(factor) => station.slow(if begins { factor } else { 1.0 }),
                Harm::Pause => station.pause(begins),
                Harm::Errors(_) => station.fail(begins),
                _ => {}
            }
        }
    }
}

/// Plays both, and tells the difference.
pub async fn run(plan: &Plan, daemon: &Path) -> Result<String, String> {
    let world = World { seed: plan.seed, ..plan.world.clone() };
    if let Some(what) = unfit(&world) {
        return Err(format!("this world can't be played on sockets: {what}"));
    }
    let stations: Vec<Station> = (world.stations.iter().enumerate())
        .map(|(n, figures)| {
            let mut chance = ChaCha8Rng::seed_from_u64(world.seed.wrapping_add(n as u64 * 7919));
            let (service, speed) = (figures.service.clone(), figures.speed);
            Station::start(figures.servers, figures.queue, move || service.draw(&mut chance).div_f64(speed))
        })
        .collect();
    let file = daemon_file(&world, &plan.classes, &stations);
    // Both decide by the same settings: those that the daemon reads.
    let operator = maplehook_config::parse(&file).map_err(|e| format!("the daemon's file: {e}"))?;
    let settings = operator.proxy.ok_or("the daemon's file names no balancer")?.settings;
    let process = Process::by_file(daemon, &file)?;
    let target = Target::new(&format!("http://{}", process.address), plan.classes.clone())?;
    let stop = AtomicBool::new(false);
    let (loaded, ()) = tokio::join!(load::run(&world, target, &stop, &|_, _| {}), trouble(&world, &stations));
    let loaded = loaded?;
    let used = process.used();

    // The way on loopback, with both programs on it, is about this long.
    let near = Time::Fixed(Duration::from_micros(60));
    let network = Network { near: near.clone(), far: near, connections: None };
    let emulated = World { network, ..world.clone() };
    Balancer::new(settings.clone(), world.seed).map_err(|e| e.to_string())?;
    let make = |_: &World, _: usize, seed: u64| -> Box<dyn Decides> {
        Box::new(Balancer::new(settings.clone(), seed).unwrap_or_default())
    };
    let report = one(&emulated, &make)?;
    // The stand-ins' timers are coarse: what they add counts as work, since a server is taken for it.
    let mut same = emulated.clone();
    for (figures, station) in same.stations.iter_mut().zip(&stations) {
        let by = station.excess().mul_f64(figures.speed);
        figures.service = Time::Longer(Box::new(figures.service.clone()), by);
    }
    let (of, same) = (report.measures(), one(&same, &make)?.measures());
    let excess: Duration = stations.iter().map(Station::excess).sum::<Duration>() / stations.len() as u32;
    let asked = loaded.planned.max(1) as f64;
    let status = |codes: &[u16]| codes.iter().filter_map(|c| loaded.statuses.get(c)).sum::<u64>() as f64;
    let failed = status(&[500, 502, 504]) + (loaded.broken + loaded.timed_out) as f64;
    let rows = [
        ("goodput", loaded.in_time, "goodput"),
        ("served", status(&[200]) / asked, "served"),
        ("refused", status(&[429, 503]) / asked, "refused"),
        ("failed", failed / asked, "failed"),
        ("p50 ms", loaded.quantiles_ms["p50"], "p50_ms"),
        ("p90 ms", loaded.quantiles_ms["p90"], "p90_ms"),
        ("p99 ms", loaded.quantiles_ms["p99"], "p99_ms"),
    ];
    let mut text = format!(
        "{:<9} {:>10} {:>10} {:>11} {:>13}\n",
        "measure", "sockets", "emulated", "difference", "with excess"
    );
    for (name, sockets, measure) in rows {
        let (plain, same) = (of[measure], same[measure]);
        let _ =
            writeln!(text, "{name:<9} {sockets:>10.4} {plain:>10.4} {:>+11.4} {same:>13.4}", plain - sockets);
    }
    let _ =
        writeln!(text, "the stand-ins' work took {:.2} ms longer than drawn", excess.as_secs_f64() * 1000.0);
    let _ = writeln!(
        text,
        "{} requests on sockets, {} emulated; the tool was {:.1} ms behind at the most; the daemon used {:.1} s of CPU",
        loaded.planned,
        report.asked,
        loaded.behind_most_ms,
        used.cpu.as_secs_f64()
    );
    Ok(text)
}
