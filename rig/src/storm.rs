//! A storm: a tier under load, a time line of faults, the end of all of them, and the checkers.

use crate::balancer::Keeps;
use crate::check::{self, Breach, Promised, name};
use crate::history::{Got, What};
use crate::nemesis::{Fault, Line, Timed};
use crate::relay::Trouble;
use crate::world::{PATIENCE, Setup, World};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// What is promised to a tier of so many.
pub fn promised(balancers: usize) -> Promised {
    // Between two calls to somebody away, to deny a suspicion, and for what a busy machine adds.
    let calls = Duration::from_millis((balancers as u64 * 250).clamp(2000, 30_000)).mul_f64(1.25);
    let converge = calls + Duration::from_secs(18);
    Promised { answer: PATIENCE, converge, believed_dead: converge, drain: Duration::from_secs(5) }
}

/// What a storm came to.
#[derive(Debug, Default, Serialize)]
pub struct Report {
    /// Its seed, where it was drawn.
    pub seed: Option<u64>,
    /// How many balancers there were.
    pub balancers: usize,
    /// Faults by kind.
    pub faults: BTreeMap<&'static str, usize>,
    /// What clients got, by status or by what went wrong.
    pub answers: BTreeMap<String, usize>,
    /// Attempts that upstreams got.
    pub attempts: usize,
    /// Starts of balancers.
    pub starts: usize,
    /// Deaths that balancers announced of others who served at that time, of any reason, cuts included.
    pub believed_dead: usize,
    /// From the end of all faults until all saw one another.
    pub converged_ms: Option<u64>,
    /// How long it took.
    pub seconds: f64,
    /// What does not hold.
    pub breaches: Vec<String>,
    /// The ends of the logs of a storm with breaches.
    pub logs: BTreeMap<String, Vec<String>>,
}

/// Plays a time line.
pub fn play(setup: Setup, line: &Line, seed: Option<u64>) -> Result<Report, String> {
    let begun = Instant::now();
    let promised = promised(setup.balancers);
    let tier = setup.tier;
    let mut world = World::start(setup)?;
    let n = world.len();
    if tier && world.until(promised.converge, World::agrees).is_none() {
        return Err(format!("the tier does not come together: {:?}", world.views()));
    }
    for k in 0..n {
        // Some storms restore it.
        world.balancer(k).copy_state().map_err(|e| e.to_string())?;
    }
    world.watch();
    world.ask();
    std::thread::sleep(Duration::from_millis(300));
    drive(&world, line)?;
    world.history.note(What::Healed);
    let converged = if tier { world.until(promised.converge, World::agrees) } else { None };
    // What was told is now known by everybody: drains have to be kept from here on.
    std::thread::sleep(Duration::from_millis(500));
    world.quiet();
    let logs: BTreeMap<String, Vec<String>> = (0..n).map(|k| (name(k), world.balancer(k).log())).collect();
    let balancers = n;
    let history = world.end();
    let mut breaches = check::check(&history, &promised);
    if !tier {
        // There are no views.
        breaches.retain(|breach| breach.rule != "views converge");
    }
    let mut report = Report {
        seed,
        balancers,
        converged_ms: converged.map(|time| time.as_millis() as u64),
        seconds: begun.elapsed().as_secs_f64(),
        breaches: breaches.iter().map(Breach::to_string).collect(),
        ..Report::default()
    };
    for timed in &line.faults {
        *report.faults.entry(timed.fault.kind()).or_default() += 1;
    }
    let mut serving: BTreeSet<usize> = BTreeSet::new();
    let mut dead: BTreeSet<(usize, String)> = BTreeSet::new();
    for entry in &history {
        match &entry.what {
            What::Got { got, .. } => {
                let word = match got {
                    Got::Status(status) => status.to_string(),
                    other => format!("{other:?}"),
                };
                *report.answers.entry(word).or_default() += 1;
            }
            What::Attempt { .. } => report.attempts += 1,
            What::Serves { balancer } => {
                serving.insert(*balancer);
                report.starts += 1;
            }
            What::Down { balancer } => drop(serving.remove(balancer)),
            What::Shows { balancer, view } => {
                for member in &view.members {
                    let key = (*balancer, member.name.clone());
                    let serves = serving.iter().any(|k| name(*k) == member.name);
                    if member.state == "dead" && serves {
                        report.believed_dead += usize::from(dead.insert(key));
                    } else {
                        dead.remove(&key);
                    }
                }
            }
            _ => {}
        }
    }
    if !report.breaches.is_empty() {
        let last = |log: Vec<String>| log[log.len().saturating_sub(60)..].to_vec();
        report.logs = logs.into_iter().map(|(name, log)| (name, last(log))).collect();
    }
    Ok(report)
}

/// Does what the time line says, and undoes it.
fn drive(world: &World, line: &Line) -> Result<(), String> {
    let begun = Instant::now();
    // What begins and what ends, by time; of one moment ends come first.
    let mut agenda: Vec<(u64, bool, &Timed)> = Vec::new();
    for timed in &line.faults {
        agenda.push((timed.at_ms, true, timed));
        agenda.push((timed.at_ms + timed.for_ms, false, timed));
    }
    agenda.sort_by_key(|(at, begins, _)| (*at, *begins));
    for (at, begins, timed) in agenda {
        if let Some(wait) = Duration::from_millis(at).checked_sub(begun.elapsed()) {
            std::thread::sleep(wait);
        }
        let word = if begins { "begins" } else { "ends" };
        world.history.note(What::Fault { said: format!("{word}: {:?}", timed.fault) });
        if begins { begin(world, &timed.fault) } else { end(world, &timed.fault) }?;
    }
    world.heal_ways();
    Ok(())
}

fn numbers(of: &[usize]) -> Vec<usize> {
    of.iter().map(|n| n - 1).collect()
}

fn begin(world: &World, fault: &Fault) -> Result<(), String> {
    let ms = Duration::from_millis;
    match fault {
        Fault::Kill { balancers, .. } => numbers(balancers).iter().for_each(|n| world.kill(*n)),
        Fault::Term { balancers, .. } => numbers(balancers).iter().for_each(|n| world.term(*n)),
        Fault::Stop { balancers } => numbers(balancers).iter().for_each(|n| world.stop(*n)),
        Fault::Cut { from, to, both } => cut(world, from, to, *both, true),
        Fault::Loss { share, twice } => world.everywhere(|t| (t.loss, t.twice) = (*share, *twice)),
        Fault::Delay { least_ms, most_ms } => {
            world.everywhere(|trouble| trouble.delay = (ms(*least_ms), ms(*most_ms)));
        }
        Fault::Slow { bytes_per_s } => world.everywhere(|trouble| trouble.slow = *bytes_per_s),
        Fault::Refuse { from, to } => {
            world.between(&numbers(from), &numbers(to), |trouble| trouble.refuse = true);
        }
        Fault::Reset => world.reset(),
        Fault::Undiscovered { balancers } => {
            numbers(balancers).iter().for_each(|n| world.to_discovery(*n).set(|t| t.silent = true));
        }
        Fault::Upstream { upstream, delay_ms } => {
            let way = world.to_upstream(upstream - 1);
            way.set(|trouble| trouble.delay = (Duration::ZERO, ms(*delay_ms)));
        }
        Fault::Unwritable { balancers } => {
            for n in numbers(balancers) {
                let state = world.balancer(n).state();
                // A file where the directory should be: nothing can be written there, whoever we are.
                let moved =
                    std::fs::remove_dir_all(&state).and_then(|()| std::fs::write(&state, "no directory"));
                drop(moved);
            }
        }
        Fault::Drain { upstream } => world.drain(upstream - 1),
    }
    Ok(())
}

fn cut(world: &World, from: &[usize], to: &[usize], both: bool, silent: bool) {
    let (from, to) = (numbers(from), numbers(to));
    let change = |trouble: &mut Trouble| trouble.silent = silent;
    world.between(&from, &to, change);
    if both {
        world.between(&to, &from, change);
    }
}

fn end(world: &World, fault: &Fault) -> Result<(), String> {
    match fault {
        Fault::Kill { balancers, after } => world.start_all(&numbers(balancers), Keeps::from(*after))?,
        Fault::Term { balancers, after } => {
            for n in numbers(balancers) {
                if !world.balancer(n).ended(Duration::from_secs(40)) {
                    return Err(format!("{} does not end", name(n)));
                }
            }
            world.start_all(&numbers(balancers), Keeps::from(*after))?;
        }
        Fault::Stop { balancers } => numbers(balancers).iter().for_each(|n| world.go_on(*n)),
        Fault::Cut { from, to, both } => cut(world, from, to, *both, false),
        Fault::Loss { .. } => world.everywhere(|trouble| (trouble.loss, trouble.twice) = (0.0, 0.0)),
        Fault::Delay { .. } => {
            world.everywhere(|trouble| trouble.delay = (Duration::ZERO, Duration::ZERO));
        }
        Fault::Slow { .. } => world.everywhere(|trouble| trouble.slow = 0),
        Fault::Refuse { from, to } => {
            world.between(&numbers(from), &numbers(to), |trouble| trouble.refuse = false);
        }
        Fault::Undiscovered { balancers } => {
            numbers(balancers).iter().for_each(|n| world.to_discovery(*n).set(|t| t.silent = false));
        }
        Fault::Upstream { upstream, .. } => {
            let way = world.to_upstream(upstream - 1);
            way.set(|trouble| trouble.delay = (Duration::ZERO, Duration::ZERO));
            way.reset();
        }
        Fault::Unwritable { balancers } => {
            for n in numbers(balancers) {
                // The next start makes a directory there.
                let _ = std::fs::remove_file(world.balancer(n).state());
            }
        }
        Fault::Reset | Fault::Drain { .. } => {}
    }
    Ok(())
}

/// A table of storms as Markdown.
pub fn markdown(reports: &[Report]) -> String {
    let mut text = String::from(
        "| seed | faults | requests | 200 | refused or failed | broken by kills | believed dead while serving | converged | breaches |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    for report in reports {
        let all: usize = report.answers.values().sum();
        let of = |key: &str| report.answers.get(key).copied().unwrap_or(0);
        let broken = of("Broken") + of("Nothing");
        let seed = report.seed.map_or("-".into(), |seed| seed.to_string());
        let converged = report.converged_ms.map_or("-".into(), |ms| format!("{:.1} s", ms as f64 / 1e3));
        text += &format!(
            "| {seed} | {} | {all} | {} | {} | {broken} | {} | {converged} | {} |\n",
            report.faults.values().sum::<usize>(),
            of("200"),
            all - of("200") - broken,
            report.believed_dead,
            report.breaches.len()
        );
    }
    text
}
