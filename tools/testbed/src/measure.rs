//! Figures for the operators' page: single faults over real processes, drains with and without a tier, and what it costs.

use crate::balancer::Keeps;
use crate::check::name;
use crate::flood::Flood;
use crate::history::{Entry, What};
use crate::world::{Setup, World};
use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};
use std::time::{Duration, Instant};

const MOST: Duration = Duration::from_secs(60);

/// One fault's figures.
#[derive(Debug, Default)]
pub struct Row {
    /// The fault.
    pub fault: &'static str,
    /// Until all whom it concerns saw it.
    pub seen: Option<Duration>,
    /// Members that ran and were believed dead by somebody, at the end of the fault.
    pub false_deaths: usize,
    /// Until all saw one another again.
    pub converged: Option<Duration>,
    /// What a balancer spent a second, from the fault to the end of its healing.
    pub spent: Spent,
}

/// What a balancer spends a second.
#[derive(Clone, Copy, Debug, Default)]
pub struct Spent {
    /// Bytes of gossip.
    pub bytes: f64,
    /// Processor's time, of all that it does.
    pub cpu: Duration,
}

/// Counts what balancers spend; those that were started anew meanwhile are left out.
struct Meter {
    begun: Instant,
    before: Vec<Option<(u64, u64, Duration)>>,
}

impl Meter {
    fn start(world: &World) -> Self {
        Self { begun: Instant::now(), before: Self::read(world) }
    }

    fn read(world: &World) -> Vec<Option<(u64, u64, Duration)>> {
        let one = |n: usize| {
            let balancer = world.balancer(n);
            let (_, text) = balancer.ask("/control/tier")?;
            let shown: serde_json::Value = serde_json::from_str(&text).ok()?;
            let bytes = shown["link"]["bytes_sent"].as_u64()?;
            Some((u64::from(balancer.pid()?), bytes, balancer.used()?.0))
        };
        (0..world.len()).map(one).collect()
    }

    fn end(&self, world: &World) -> Spent {
        let span = self.begun.elapsed().as_secs_f64();
        let after = Self::read(world);
        let both = self.before.iter().zip(&after).filter_map(|(before, after)| Some(((*before)?, (*after)?)));
        let same: Vec<(u64, Duration)> = both
            .filter(|(before, after)| before.0 == after.0)
            .map(|(before, after)| (after.1.saturating_sub(before.1), after.2.saturating_sub(before.2)))
            .collect();
        let each = span * same.len().max(1) as f64;
        let (bytes, cpu) =
            same.iter().fold((0, Duration::ZERO), |(b, c), (bytes, cpu)| (b + bytes, c + *cpu));
        Spent { bytes: bytes as f64 / each, cpu: cpu.div_f64(each) }
    }
}

fn hold(world: &World, who: &[usize], of: &[usize], state: &str) -> bool {
    let views = world.views();
    who.iter().all(|n| {
        let Some(Some(view)) = views.get(n) else { return false };
        of.iter()
            .filter(|k| *k != n)
            .all(|k| view.members.iter().any(|m| m.name == name(*k) && m.state == state))
    })
}

fn dead_but_running(world: &World) -> usize {
    let views = world.views();
    let running: Vec<String> = views.keys().map(|n| name(*n)).collect();
    let dead = views.values().flatten().flat_map(|view| &view.members).filter(|m| m.state == "dead");
    dead.filter(|m| running.contains(&m.name)).count()
}

/// Each fault once, over the same tier.
pub fn faults(setup: Setup) -> Result<Vec<Row>, String> {
    let n = setup.balancers;
    let (half, rest): (Vec<usize>, Vec<usize>) = ((0..n / 2).collect(), (n / 2..n).collect());
    let others: Vec<usize> = (1..n).collect();
    let begun = Instant::now();
    let world = World::start(setup)?;
    let converged = world.until(MOST, World::agrees);
    let mut rows =
        vec![Row { fault: "all start at once", seen: Some(begun.elapsed()), converged, ..Row::default() }];
    let mut meter = Meter::start(&world);
    std::thread::sleep(Duration::from_secs(10));
    rows.push(Row { fault: "none, 10 s", spent: meter.end(&world), ..Row::default() });
    meter = Meter::start(&world);
    let mut row = |fault, seen, false_deaths| {
        let converged = world.until(MOST, World::agrees);
        rows.push(Row { fault, seen, false_deaths, converged, spent: meter.end(&world) });
        std::thread::sleep(Duration::from_secs(2));
        meter = Meter::start(&world);
    };
    world.kill(0);
    let seen = world.until(MOST, |w| hold(w, &others, &[0], "dead"));
    let false_deaths = dead_but_running(&world);
    world.start_one(0, Keeps::State)?;
    row("one killed, and back", seen, false_deaths);

    world.term(0);
    let seen = world.until(MOST, |w| hold(w, &others, &[0], "left"));
    world.balancer(0).ended(MOST);
    world.start_one(0, Keeps::State)?;
    row("one leaves, and is back", seen, 0);

    half.iter().for_each(|n| world.kill(*n));
    let seen = world.until(MOST, |w| hold(w, &rest, &half, "dead"));
    let false_deaths = dead_but_running(&world);
    world.start_all(&half, Keeps::State)?;
    row("half killed at once, and back", seen, false_deaths);

    for (fault, seconds) in [("one stopped for 3 s", 3), ("one stopped for 10 s", 10)] {
        world.stop(0);
        let begun = Instant::now();
        let seen = world.until(Duration::from_secs(seconds), |w| hold(w, &others, &[0], "dead"));
        std::thread::sleep(Duration::from_secs(seconds).saturating_sub(begun.elapsed()));
        world.go_on(0);
        std::thread::sleep(Duration::from_millis(300));
        let false_deaths = dead_but_running(&world);
        row(fault, seen, false_deaths);
    }

    world.between(&half, &rest, |trouble| trouble.silent = true);
    world.between(&rest, &half, |trouble| trouble.silent = true);
    let seen = world.until(MOST, |w| hold(w, &half, &rest, "dead") && hold(w, &rest, &half, "dead"));
    world.heal_ways();
    row("cut in two halves", seen, 0);

    world.between(&[0], &[1], |trouble| trouble.silent = true);
    std::thread::sleep(Duration::from_secs(20));
    let false_deaths = dead_but_running(&world);
    world.heal_ways();
    row("one way from one to another cut, 20 s", None, false_deaths);

    world.between(&[0], &rest, |trouble| trouble.silent = true);
    world.between(&rest, &[0], |trouble| trouble.silent = true);
    std::thread::sleep(Duration::from_secs(20));
    let false_deaths = dead_but_running(&world);
    world.heal_ways();
    row("one cut from half of the others, 20 s", None, false_deaths);

    world.everywhere(|trouble| {
        (trouble.loss, trouble.twice) = (0.3, 0.2);
        trouble.delay = (Duration::ZERO, Duration::from_millis(80));
    });
    std::thread::sleep(Duration::from_secs(20));
    let false_deaths = dead_but_running(&world);
    world.heal_ways();
    row("30 % lost, 20 % twice, reordered, 20 s", None, false_deaths);
    Ok(rows)
}

/// The table as Markdown.
pub fn markdown(rows: &[Row]) -> String {
    let mut text = String::from(
        "| fault | all see it | false deaths | all see one another again | bytes of gossip a second | processor's time a second |\n\
         | --- | --- | --- | --- | --- | --- |\n",
    );
    let time = |time: Option<Duration>| time.map_or("-".to_owned(), |t| format!("{:.1} s", t.as_secs_f64()));
    for Row { fault, seen, false_deaths, converged, spent } in rows {
        text += &format!(
            "| {fault} | {} | {false_deaths} | {} | {:.0} | {:.1} ms |\n",
            time(*seen),
            time(*converged),
            spent.bytes,
            spent.cpu.as_secs_f64() * 1e3
        );
    }
    text
}

/// From discovery's word to one balancer until the last attempt at the upstream that drains, by any; the others can't reach
/// discovery. `None`: there were attempts to the end of the look.
pub fn drain(setup: Setup, look: Duration) -> Result<Option<Duration>, String> {
    let (n, tier) = (setup.balancers, setup.tier);
    let world = World::start(setup)?;
    if tier && world.until(MOST, World::agrees).is_none() {
        return Err("the tier does not come together".into());
    }
    world.ask();
    std::thread::sleep(Duration::from_secs(3));
    (1..n).for_each(|k| world.to_discovery(k).set(|trouble| trouble.silent = true));
    std::thread::sleep(Duration::from_millis(500));
    world.drain(0);
    std::thread::sleep(look);
    world.quiet();
    let history = world.end();
    let told =
        history.iter().find(|e| matches!(e.what, What::Drains { .. })).map(|e| e.at).unwrap_or_default();
    let last =
        history.iter().filter(|e| matches!(e.what, What::Attempt { upstream: 0, .. })).map(|e| e.at).max();
    let took = last.unwrap_or_default().saturating_sub(told);
    Ok((took < look.mul_f64(0.8)).then_some(took))
}

/// How long answers took to requests of this span, the shortest first.
pub fn times(history: &[Entry], from: Duration, to: Duration) -> Vec<Duration> {
    let mut asked: BTreeMap<&str, Duration> = BTreeMap::new();
    let mut took: Vec<Duration> = Vec::new();
    for Entry { at, what } in history {
        match what {
            What::Asked { id, .. } if (from..to).contains(at) => drop(asked.insert(id, *at)),
            What::Got { id, .. } => took.extend(asked.get(id.as_str()).map(|from| *at - *from)),
            _ => {}
        }
    }
    took.sort_unstable();
    took
}

/// The one of sorted times that this share is below.
pub fn quantile(sorted: &[Duration], share: f64) -> Duration {
    sorted.get((sorted.len() as f64 * share) as usize).copied().unwrap_or_default()
}

/// Answers with a flood of garbage at all ports for others, and with the same at ports of nobody's, in turn: what the flood itself
/// takes of the machine is the same in both.
pub fn flood(setup: Setup, span: Duration) -> Result<String, String> {
    let rate = setup.rate.max(400.0);
    let world = World::start(Setup { tier: true, rate, ..setup })?;
    if world.until(MOST, World::agrees).is_none() {
        return Err("the tier does not come together".into());
    }
    world.ask();
    let bound = |_| UdpSocket::bind("127.0.0.1:0").map_err(|e| e.to_string());
    let sinks: Vec<UdpSocket> = (0..world.len()).map(bound).collect::<Result<_, _>>()?;
    let (mut spans, mut sent) = (Vec::new(), 0);
    for round in 0..4 {
        std::thread::sleep(Duration::from_millis(500));
        let flooded = round % 2 == 1;
        let ports: Vec<SocketAddr> = if flooded {
            (0..world.len()).filter_map(|n| world.balancer(n).tier).collect()
        } else {
            sinks.iter().filter_map(|sink| sink.local_addr().ok()).collect()
        };
        let floods: Vec<Flood> =
            ports.into_iter().map(Flood::start).collect::<Result<_, _>>().map_err(|e| e.to_string())?;
        let from = world.history.now();
        std::thread::sleep(span);
        sent += floods.iter().filter(|_| flooded).map(Flood::sent).sum::<u64>();
        spans.push((flooded, from, world.history.now()));
    }
    let dead = dead_but_running(&world);
    world.quiet();
    let history = world.end();
    let mut text = String::new();
    for flooded in [false, true] {
        let mut took: Vec<Duration> = spans
            .iter()
            .filter(|(with, ..)| *with == flooded)
            .flat_map(|(_, from, to)| times(&history, *from, *to))
            .collect();
        took.sort_unstable();
        let word = if flooded { "under the flood" } else { "the flood elsewhere" };
        text += &format!(
            "{word}: {} answers, p50 {:?}, p99 {:?}\n",
            took.len(),
            quantile(&took, 0.5),
            quantile(&took, 0.99)
        );
    }
    Ok(text + &format!("{sent} datagrams of garbage; {dead} believed dead that ran"))
}

/// What clients and the machine see of a tier under load.
#[derive(Debug, Default)]
pub struct Load {
    /// Half of the answers came sooner, and 99 in 100.
    pub p50: Duration,
    /// The latter.
    pub p99: Duration,
    /// Answers a second.
    pub answers: f64,
    /// Processor's time of all balancers for an answer, in microseconds.
    pub cpu_us: f64,
    /// The same, less what they use with nothing to do.
    pub request_us: f64,
    /// Memory of a balancer, in KiB.
    pub memory_kb: u64,
    /// Processor's time of a balancer a second with nothing to do, in microseconds.
    pub idle_us: f64,
    /// What all balancers wrote to disks in that time, in bytes.
    pub idle_written: u64,
}

/// Plays load over a tier, and then none.
pub fn load(setup: Setup, span: Duration) -> Result<Load, String> {
    let (n, tier) = (setup.balancers, setup.tier);
    let world = World::start(setup)?;
    if tier && world.until(MOST, World::agrees).is_none() {
        return Err("the tier does not come together".into());
    }
    std::thread::sleep(Duration::from_secs(1));
    let used = |world: &World| -> (Duration, u64) {
        let each = (0..n).filter_map(|k| world.balancer(k).used());
        each.fold((Duration::ZERO, 0), |(cpu, memory), (c, m)| (cpu + c, memory + m))
    };
    let written = |world: &World| (0..n).filter_map(|k| world.balancer(k).written()).sum::<u64>();
    let (before, disk) = (used(&world).0, written(&world));
    std::thread::sleep(span);
    let idle = used(&world).0 - before;
    let idle_written = written(&world) - disk;
    let before = used(&world).0;
    world.ask();
    std::thread::sleep(span);
    let (after, memory) = used(&world);
    world.quiet();
    let took = times(&world.end(), Duration::ZERO, Duration::MAX);
    let at = |share: f64| quantile(&took, share);
    Ok(Load {
        p50: at(0.5),
        p99: at(0.99),
        answers: took.len() as f64 / span.as_secs_f64(),
        cpu_us: (after - before).as_secs_f64() * 1e6 / took.len().max(1) as f64,
        request_us: (after - before).saturating_sub(idle).as_secs_f64() * 1e6 / took.len().max(1) as f64,
        memory_kb: memory / n as u64,
        idle_written,
        idle_us: idle.as_secs_f64() * 1e6 / span.as_secs_f64() / n as f64,
    })
}
