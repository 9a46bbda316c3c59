//! A storm: a tier under load, a time line of faults, the end of all of them, and the checkers.

mod faults;
mod versions;

use crate::check::{self, Breach, Did, Promised, name};
use crate::history::{Got, What};
use crate::nemesis::Line;
use crate::world::{PATIENCE, Setup, World};
use faults::drive;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use versions::{Proposer, proposed_and_lost, roll};

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
    /// Versions that somebody was told are agreed on.
    pub agreed: usize,
    /// Times that the agreed state was read.
    pub looks: usize,
    /// The longest time for which two balancers acted on versions that contradict each other, and which.
    pub contradiction_ms: Option<(u64, String)>,
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
    let (tier, agrees, by_files) = (setup.tier, setup.agreement.is_some(), setup.by_files);
    let contradiction = setup.contradiction();
    let program = setup.program.clone();
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
    let proposer = agrees.then(|| Proposer::start(&world, program, seed.unwrap_or(0)));
    let by_files = by_files && !agrees;
    let (stop, mut changes) = (AtomicBool::new(false), 0);
    let driven = std::thread::scope(|scope| {
        let roller = by_files.then(|| scope.spawn(|| roll(&world, &stop, seed.unwrap_or(0))));
        let driven = drive(&world, line, agrees);
        stop.store(true, Ordering::SeqCst);
        if let Some(roller) = roller {
            changes = roller.join().unwrap_or(0);
        }
        driven
    });
    let proposed = proposer.map(Proposer::stop);
    driven?;
    world.history.note(What::Healed);
    let converged = if tier { world.until(promised.converge, World::agrees) } else { None };
    // What was told is now known by everybody: drains have to be kept from here on.
    std::thread::sleep(Duration::from_millis(500));
    world.quiet();
    let mut lost = Vec::new();
    let (mut agreed, mut looks) = (changes, 0);
    if let Some(calls) = &proposed {
        let versions: Vec<(u64, String)> = calls
            .iter()
            .filter_map(|call| match &call.did {
                Did::Proposed { version, mark } => Some((*version, mark.clone())),
                _ => None,
            })
            .collect();
        agreed = versions.len();
        looks = calls.iter().filter(|call| matches!(call.did, Did::Saw { .. })).count();
        lost = proposed_and_lost(&world, &versions);
        lost.extend(check::linearizable(calls));
    }
    let logs: BTreeMap<String, Vec<String>> = (0..n).map(|k| (name(k), world.balancer(k).log())).collect();
    let balancers = n;
    let history = world.end();
    let mut breaches = check::check(&history, &promised);
    let contradicted = (agrees || by_files).then(|| check::longest_contradiction(&history));
    if let Some((longest, what)) = &contradicted
        && agrees
        && *longest > contradiction
    {
        let (rule, seen) = ("no contradiction", format!("{longest:?}: {what}"));
        breaches.push(Breach { at: Duration::ZERO, rule, seen });
    }
    breaches.extend(lost);
    if !tier {
        // There are no views.
        breaches.retain(|breach| breach.rule != "views converge");
    }
    let mut report = Report {
        seed,
        balancers,
        converged_ms: converged.map(|time| time.as_millis() as u64),
        agreed,
        looks,
        contradiction_ms: contradicted.map(|(longest, what)| (longest.as_millis() as u64, what)),
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
