//! The rig for admission: what users see while others flood.

use crate::load::{Booking, Does, Flood, Tally, connect};
use crate::peers::Upstream;
use maplehook_test_servers::process::{Process, Used};
use std::net::Ipv4Addr;
use std::path::Path;
use std::time::{Duration, Instant};
use tokio::time::sleep;

const FLOODER: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 2);
const KNOWN: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 3);
const LODGE: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 4);
const RESERVE: &str = "[admission]\nreserve = 0.25\nknown = ['127.0.0.3', '127.0.0.5']\n";
/// How long an upstream takes for a booking.
const TAKES: Duration = Duration::from_millis(5);

struct Rig<'a> {
    program: &'a Path,
    lasts: Duration,
}

const NAMES: [&str; 12] = [
    "user",
    "defaults",
    "head",
    "drip",
    "body",
    "churn",
    "keeps",
    "nat",
    "everywhere",
    "known",
    "lowered",
    "ports",
];
const LAST: [&str; 2] = ["return", "refusals"];

/// Plays the scenarios.
pub async fn run(program: &Path, names: &[String], seconds: u64) -> Result<(), String> {
    let rig = Rig { program, lasts: Duration::from_secs(seconds) };
    let all: Vec<&str> = NAMES.into_iter().chain(LAST).collect();
    if let Some(wrong) = names.iter().find(|name| !all.contains(&name.as_str())) {
        return Err(format!("no scenario {wrong:?}; there are {}", all.join(", ")));
    }
    println!(
        "scenario   | asked served%  p50ms  p99ms | refused failed ended none | flood/s cores  fds  MB | after"
    );
    for name in all.into_iter().filter(|name| names.is_empty() || names.iter().any(|n| n == name)) {
        rig.play(name).await?;
    }
    Ok(())
}

fn row(name: &str, tally: &Tally, flood: f64, used: &Used, cores: f64, after: &str) {
    let ms = |d: Duration| d.as_secs_f64() * 1e3;
    println!(
        "{name:<10} | {:>5} {:>7.2} {:>6.2} {:>6.2} | {:>7} {:>6} {:>5} {:>4} | {:>7.0} {:>5.2} {:>4} {:>3.0} | {after}",
        tally.asked(),
        100.0 * tally.share(),
        ms(tally.within(0.5)),
        ms(tally.within(0.99)),
        tally.refused,
        tally.failed,
        tally.ended,
        tally.unconnected,
        flood,
        cores,
        used.descriptors,
        used.memory_kb as f64 / 1024.0,
    );
}

/// A flood against a balancer, and who books meanwhile.
struct Against {
    name: &'static str,
    sockets: usize,
    operator: String,
    does: &'static [Does],
    loops: usize,
    from: fn(u64) -> Ipv4Addr,
    booking: (Ipv4Addr, usize, u64),
}

impl Rig<'_> {
    async fn play(&self, name: &str) -> Result<(), String> {
        let flood = |name, does| Against {
            name,
            sockets: 256,
            operator: RESERVE.into(),
            does,
            loops: 700,
            from: |_| FLOODER,
            booking: (KNOWN, 8, 20),
        };
        match name {
            "user" => {
                let operator = format!("{RESERVE}[descriptors]\nlimit = 200\n");
                self.against(Against { operator, ..flood("user", &[Does::Mute, Does::Head]) }).await
            }
            "defaults" => {
                let operator = String::new();
                self.against(Against { operator, ..flood("defaults", &[Does::Mute, Does::Head]) }).await
            }
            "head" => self.against(flood("head", &[Does::Head])).await,
            "drip" => self.against(flood("drip", &[Does::Drip])).await,
            "body" => self.against(flood("body", &[Does::Body])).await,
            "churn" => self.against(Against { loops: 32, ..flood("churn", &[Does::Churn]) }).await,
            "keeps" => self.against(flood("keeps", &[Does::Keeps])).await,
            "nat" => {
                self.against(Against {
                    sockets: 1024,
                    operator: String::new(),
                    booking: (LODGE, 500, 500),
                    ..flood("nat", &[Does::Mute, Does::Head])
                })
                .await
            }
            "everywhere" => {
                let from = |n: u64| Ipv4Addr::new(127, 1, (n / 250 % 40) as u8, (n % 250) as u8 + 1);
                self.against(Against { from, ..flood("everywhere", &[Does::Mute]) }).await
            }
            "known" => {
                let from = |_| Ipv4Addr::new(127, 0, 0, 5);
                self.against(Against { from, loops: 200, ..flood("known", &[Does::Books]) }).await
            }
            "lowered" => self.lowered().await,
            "ports" => self.ports().await,
            "return" => self.back().await,
            _ => self.refusals().await,
        }
    }

    fn booking(&self, node: &Process, (from, clients, every): (Ipv4Addr, usize, u64)) -> Booking {
        let every = Duration::from_millis(every);
        Booking { to: node.address, from, clients, every, lasts: self.lasts, tenant: "walkers" }
    }

    async fn upstream(takes: Duration) -> Result<Upstream, String> {
        Upstream::start(takes, true).await.map_err(|e| e.to_string())
    }

    async fn against(&self, set: Against) -> Result<(), String> {
        let upstream = Self::upstream(TAKES).await?;
        let mut node = Process::balancer(self.program, upstream.address, set.sockets, &set.operator)?;
        let calm = Booking { lasts: self.lasts / 2, ..self.booking(&node, set.booking) };
        let before = node.used();
        let calm = calm.run().await;
        row(&format!("{} calm", set.name), &calm, 0.0, &node.used(), node.used().cores_since(&before), "");
        let floods: Vec<Flood> = set
            .does
            .iter()
            .map(|does| Flood::start(node.address, *does, set.loops / set.does.len(), set.from))
            .collect();
        sleep(Duration::from_millis(300)).await;
        let opened =
            || floods.iter().map(|f| f.opened.load(std::sync::atomic::Ordering::Relaxed)).sum::<u64>();
        let (before, opened_before, start) = (node.used(), opened(), Instant::now());
        let tally = self.booking(&node, set.booking).run().await;
        let (used, rate) = (node.used(), (opened() - opened_before) as f64 / start.elapsed().as_secs_f64());
        let ended = Instant::now();
        for flood in floods {
            flood.end().await;
        }
        // From when on is one of the flooding address served again?
        let mut again =
            Booking { clients: 1, lasts: Duration::from_millis(1), ..self.booking(&node, set.booking) };
        again.from = FLOODER;
        while again.run().await.served.is_empty() && ended.elapsed() < Duration::from_secs(5) {
            sleep(Duration::from_millis(5)).await;
        }
        let after = format!("served again after {:.2} s", ended.elapsed().as_secs_f64());
        row(set.name, &tally, rate, &used, used.cores_since(&before), &after);
        if node.runs() { Ok(()) } else { Err("the balancer has ended".into()) }
    }

    /// The limit falls under what is open while accepted bookings still await their answers.
    async fn lowered(&self) -> Result<(), String> {
        let upstream = Self::upstream(Duration::from_millis(400)).await?;
        let node = Process::balancer(self.program, upstream.address, 512, RESERVE)?;
        let booking = Booking { lasts: self.lasts, ..self.booking(&node, (LODGE, 60, 500)) };
        let running = tokio::spawn(booking.run());
        sleep(self.lasts / 3).await;
        let (before, most) = (node.used(), node.used().descriptors);
        node.limit(64)?;
        sleep(self.lasts / 3).await;
        let (low, cores) = (node.used(), node.used().cores_since(&before));
        node.limit(512)?;
        let tally = running.await.map_err(|e| e.to_string())?;
        let after = format!("{most} descriptors before, limit 64 for a third of the time");
        row("lowered", &tally, 0.0, &low, cores, &after);
        Ok(())
    }

    /// No local port is left towards upstreams: what is asked is refused as harmless, the upstream is not
    /// blamed, and all is as before once there are ports again.
    async fn ports(&self) -> Result<(), String> {
        // It keeps no connection: each booking needs a new one, and with it a port.
        let upstream = Upstream::start(TAKES, false).await.map_err(|e| e.to_string())?;
        let node = Process::balancer(self.program, upstream.address, 256, "")?;
        let mut kept = Vec::new();
        for n in 0..20 {
            let mut stream = connect(KNOWN, node.address).await.map_err(|e| e.to_string())?;
            // A client that has booked may stay for some seconds.
            let text = crate::load::booking("walkers", &format!("before{n}"));
            crate::load::exchange(&mut stream, &text).await.ok_or("no answer before")?;
            kept.push(stream);
        }
        let range = std::fs::read_to_string("/proc/sys/net/ipv4/ip_local_port_range").unwrap_or_default();
        let range: Vec<u16> = range.split_whitespace().filter_map(|n| n.parse().ok()).collect();
        let &[low, high] = &range[..] else { return Err("no range of ports".into()) };
        let middle = low + (high - low) / 2;
        let [a, b, c, d] = [low, middle, middle + 1, high].map(|n| n.to_string());
        let holders = [Process::own(&["hold-ports", &a, &b])?, Process::own(&["hold-ports", &c, &d])?];
        let held: u32 = holders.iter().map(|h| u32::from(h.address.port())).sum();
        // The last of them, each by a connection of ours to the same upstream.
        let mut last = Vec::new();
        while last.len() < 8000
            && let Ok(stream) = tokio::net::TcpStream::connect(upstream.address).await
        {
            last.push(stream);
        }
        let (held, before) =
            (held + last.len() as u32, upstream.seen.load(std::sync::atomic::Ordering::Relaxed));
        let mut told = [0_u32; 3];
        for (n, stream) in kept.iter_mut().enumerate() {
            let text = crate::load::booking("walkers", &format!("p{n}"));
            let status = crate::load::exchange(stream, &text).await.map_or(0, |(status, _)| status);
            told[match status {
                200 => 0,
                429 | 503 => 1,
                _ => 2,
            }] += 1;
        }
        let without = upstream.seen.load(std::sync::atomic::Ordering::Relaxed) - before;
        drop((holders, last));
        let start = Instant::now();
        let mut tally = Tally::default();
        while tally.served.is_empty() && start.elapsed() < Duration::from_secs(5) {
            tally = Booking { lasts: Duration::from_millis(1), ..self.booking(&node, (KNOWN, 1, 10)) }
                .run()
                .await;
        }
        let after = format!(
            "{held} ports held: {} served, {} refused, {} else, {without} reached the upstream; served {:.2} s after",
            told[0],
            told[1],
            told[2],
            start.elapsed().as_secs_f64()
        );
        row("ports", &tally, 0.0, &node.used(), 0.0, &after);
        // Whatever had no port never ran, and has to be told so.
        if told[2] > 0 || without != u64::from(told[0]) {
            Err("ports: an answer that is not true".into())
        } else {
            Ok(())
        }
    }

    /// Known clients all come back at once after a restart, while an address floods.
    async fn back(&self) -> Result<(), String> {
        let upstream = Self::upstream(TAKES).await?;
        let operator = "[admission]\nreserve = 0.5\nknown_most = 1.0\nknown = ['127.0.0.3']\n";
        let node = Process::balancer(self.program, upstream.address, 512, operator)?;
        let flood = Flood::start(node.address, Does::Mute, 300, |_| FLOODER);
        sleep(Duration::from_millis(300)).await;
        let (before, start) = (node.used(), Instant::now());
        let all = Booking {
            every: Duration::ZERO,
            lasts: Duration::from_millis(1),
            ..self.booking(&node, (KNOWN, 120, 0))
        };
        let tally = all.run().await;
        let after = format!("all back within {:.3} s", start.elapsed().as_secs_f64());
        row("return", &tally, 0.0, &node.used(), node.used().cores_since(&before), &after);
        flood.end().await;
        Ok(())
    }

    /// What a refused connection costs, beside a plain server that accepts and closes.
    async fn refusals(&self) -> Result<(), String> {
        let upstream = Self::upstream(TAKES).await?;
        // All but the first of an address are over its rate.
        let operator = "[admission]\nrate = 0.1\nburst = 1.0\n";
        let node = Process::balancer(self.program, upstream.address, 256, operator)?;
        let plain = Process::own(&["plain"])?;
        let mut costs = [Vec::new(), Vec::new()];
        for _ in 0..5 {
            for (process, costs) in [&node, &plain].into_iter().zip(&mut costs) {
                let before = process.used();
                let flood = Flood::start(process.address, Does::Churn, 16, |_| FLOODER);
                sleep(self.lasts / 5).await;
                let opened = flood.opened.load(std::sync::atomic::Ordering::Relaxed);
                let cpu = process.used().cpu.saturating_sub(before.cpu);
                flood.end().await;
                costs.push(cpu.as_secs_f64() * 1e6 / opened as f64);
            }
        }
        let shown = costs.each_mut().map(|costs| {
            costs.sort_by(f64::total_cmp);
            (costs[0], costs[costs.len() / 2], costs[costs.len() - 1])
        });
        let [(l, ours, h), (pl, plain, ph)] = shown;
        println!(
            "refusals   | us of CPU a connection: refused {ours:.1} ({l:.1} to {h:.1}), plain accept and close {plain:.1} \
             ({pl:.1} to {ph:.1}), ratio {:.2}",
            ours / plain
        );
        Ok(())
    }
}
