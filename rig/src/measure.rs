//! Figures for the operators' page: single faults over real processes, drains with and without a tier, and what it costs.

use crate::balancer::Keeps;
use crate::check::name;
use crate::history::{Entry, What};
use crate::world::{Setup, World};
use std::collections::BTreeMap;
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
        vec![Row { fault: "all start at once", seen: Some(begun.elapsed()), converged, false_deaths: 0 }];
    let mut row = |fault, seen, false_deaths| {
        let converged = world.until(MOST, World::agrees);
        rows.push(Row { fault, seen, false_deaths, converged });
        std::thread::sleep(Duration::from_secs(2));
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
        "| fault | all see it | false deaths | all see one another again |\n| --- | --- | --- | --- |\n",
    );
    let time = |time: Option<Duration>| time.map_or("-".to_owned(), |t| format!("{:.1} s", t.as_secs_f64()));
    for Row { fault, seen, false_deaths, converged } in rows {
        text += &format!("| {fault} | {} | {false_deaths} | {} |\n", time(*seen), time(*converged));
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
    let history = world.end();
    let mut asked: BTreeMap<&str, Duration> = BTreeMap::new();
    let mut took: Vec<Duration> = Vec::new();
    for Entry { at, what } in &history {
        match what {
            What::Asked { id, .. } => drop(asked.insert(id, *at)),
            What::Got { id, .. } => took.extend(asked.get(id.as_str()).map(|from| *at - *from)),
            _ => {}
        }
    }
    took.sort_unstable();
    let at = |share: f64| took.get((took.len() as f64 * share) as usize).copied().unwrap_or_default();
    Ok(Load {
        p50: at(0.5),
        p99: at(0.99),
        answers: took.len() as f64 / span.as_secs_f64(),
        cpu_us: (after - before).as_secs_f64() * 1e6 / took.len().max(1) as f64,
        memory_kb: memory / n as u64,
        idle_written,
        idle_us: idle.as_secs_f64() * 1e6 / span.as_secs_f64() / n as f64,
    })
}
