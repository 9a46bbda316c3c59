//! A storm: a tier under load, a time line of faults, the end of all of them, and the checkers.

use crate::balancer::{Keeps, ask};
use crate::check::{self, Breach, Call, Did, Promised, name};
use crate::history::{Got, What};
use crate::nemesis::{After, Fault, Line, Timed};
use crate::relay::Trouble;
use crate::world::{PATIENCE, Setup, World, settings};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// The first so many vote.
const VOTERS: usize = 3;

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

/// Does what the time line says, and undoes it.
fn drive(world: &World, line: &Line, agrees: bool) -> Result<(), String> {
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
        let spared = agrees.then(|| spare_voters(&timed.fault));
        let fault = spared.as_ref().unwrap_or(&timed.fault);
        if begins { begin(world, fault) } else { end(world, fault) }?;
    }
    world.heal_ways();
    Ok(())
}

/// A voter that loses its log votes no more, by design: two of three that do end all changes. Those are not what a storm is for.
fn spare_voters(fault: &Fault) -> Fault {
    let mut fault = fault.clone();
    match &mut fault {
        Fault::Unwritable { balancers } => balancers.retain(|n| *n > VOTERS),
        Fault::Kill { balancers, after } | Fault::Term { balancers, after }
            if *after == After::Nothing && balancers.iter().any(|n| *n <= VOTERS) =>
        {
            *after = After::State;
        }
        _ => {}
    }
    fault
}

/// What an operator does without an agreement: each version goes into all files, and one balancer after the other is started anew;
/// whoever is away has it at its next start. How many versions.
fn roll(world: &World, stop: &AtomicBool, seed: u64) -> usize {
    let mut draw = fastrand::Rng::with_seed(seed);
    let mut version = 1;
    while !stop.load(Ordering::SeqCst) {
        std::thread::sleep(Duration::from_millis(draw.u64(200..900)));
        version += 1;
        for n in 0..world.len() {
            let text = world.file(n).replacen(
                &format!("via = \"v{}-", version - 1),
                &format!("via = \"v{version}-"),
                1,
            );
            // Its next start reads it.
            let _ = world.balancer(n).configure(&text);
        }
        for n in 0..world.len() {
            if stop.load(Ordering::SeqCst) {
                break;
            }
            if !world.balancer(n).serves() {
                continue;
            }
            world.term(n);
            if !world.balancer(n).ended(Duration::from_secs(8)) {
                world.kill(n);
            }
            if let Err(e) = world.start_one(n, Keeps::State) {
                eprintln!("{e}");
            }
        }
    }
    version - 1
}

/// Those who propose one version after the other, and look how it stands, at any balancer.
struct Proposer {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<Vec<Call>>>,
}

/// Looks how it stands, all the time.
fn look(world: &World, stop: &Arc<AtomicBool>, seed: u64) -> JoinHandle<Vec<Call>> {
    let (stopped, operators, history) = (Arc::clone(stop), world.operators(), Arc::clone(&world.history));
    std::thread::spawn(move || {
        let mut draw = fastrand::Rng::with_seed(seed);
        let mut calls = Vec::new();
        while !stopped.load(Ordering::SeqCst) {
            std::thread::sleep(Duration::from_millis(draw.u64(20..200)));
            let n = draw.usize(..operators.len());
            let operator = *operators[n].lock().unwrap_or_else(PoisonError::into_inner);
            let from = history.now();
            let shown = operator.and_then(|operator| ask(operator, "/control/settings"));
            let shown = shown.and_then(|(_, text)| serde_json::from_str::<serde_json::Value>(&text).ok());
            let Some(shown) = shown else { continue };
            // Only what the leader has said is the agreed state; a balancer's own view may be an older one.
            let newest = shown["agreed"].as_str().and_then(|label| label.rsplit('-').next()?.parse().ok());
            if let (Some(epoch), Some(newest)) = (shown["epoch_agreed"].as_u64(), newest) {
                calls.push(Call { from, to: history.now(), did: Did::Saw { epoch, newest } });
            }
        }
        calls
    })
}

impl Proposer {
    fn start(world: &World, program: PathBuf, seed: u64) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let (stopped, operators) = (Arc::clone(&stop), world.operators());
        let (secret, text) = (world.secret(), world.file(0));
        let history = Arc::clone(&world.history);
        let looks = [look(world, &stop, seed ^ 1), look(world, &stop, seed ^ 2)];
        let thread = std::thread::spawn(move || {
            let mut draw = fastrand::Rng::with_seed(seed);
            let mut told = Vec::new();
            let mut round = 0u64;
            while !stopped.load(Ordering::SeqCst) {
                round += 1;
                std::thread::sleep(Duration::from_millis(draw.u64(200..900)));
                let n = draw.usize(..operators.len());
                let operator = *operators[n].lock().unwrap_or_else(PoisonError::into_inner);
                let Some(operator) = operator else { continue };
                // Looser and stricter, in turn; each text is another one.
                let effect = match round % 3 {
                    0 => "effect = \"at_most_once\"".to_owned(),
                    1 => format!("effect = \"keyed\"\nkey_ttl_ms = {}", 1000 + round),
                    _ => "effect = \"idempotent\"".to_owned(),
                };
                let mark = format!("[[class]]\nname = \"mark-{round}\"\npath = \"/mark\"\n");
                let next = text.replacen("effect = \"idempotent\"", &effect, 1).replacen(
                    "[[class]]",
                    &format!("{mark}[[class]]"),
                    1,
                );
                let file = secret.with_file_name("proposed.toml");
                if std::fs::write(&file, next).is_err() {
                    continue;
                }
                let (from, mark) = (history.now(), format!("mark-{round}"));
                let path = file.display().to_string();
                let asked = settings(&program, operator, &secret, &["propose", &path, "--json"]);
                let Ok(output) = asked else { continue };
                let number = serde_json::from_slice::<serde_json::Value>(&output.stdout).ok();
                let number = number.filter(|_| output.status.success());
                let did = match number.and_then(|json| json["version"].as_u64()) {
                    Some(version) => Did::Proposed { version, mark },
                    // What was refused became nothing.
                    None if output.status.code() == Some(3) => continue,
                    None => Did::Unknown { mark },
                };
                told.push(Call { from, to: history.now(), did });
            }
            told
        });
        let threads = looks.into_iter().chain([thread]).collect();
        Self { stop, threads }
    }

    fn stop(self) -> Vec<Call> {
        self.stop.store(true, Ordering::SeqCst);
        // One that has panicked has done nothing that is known.
        self.threads.into_iter().flat_map(|thread| thread.join().unwrap_or_default()).collect()
    }
}

/// Versions that were acknowledged, and are not what was proposed under their numbers.
fn proposed_and_lost(world: &World, proposed: &[(u64, String)]) -> Vec<Breach> {
    let mut lost = Vec::new();
    let Some((newest, _)) = proposed.last() else { return lost };
    for (number, mark) in proposed.iter().filter(|(number, _)| number + 30 > *newest) {
        let mut shown = None;
        // Whoever leads has to be found first.
        let found = world.until(Duration::from_secs(20), |world| {
            shown = (0..world.len())
                .find_map(|n| world.balancer(n).ask(&format!("/control/settings?show={number}")))
                .filter(|(status, _)| *status == 200)
                .map(|(_, text)| text);
            shown.is_some()
        });
        let right = shown.as_ref().is_some_and(|text| text.contains(&format!("{mark}\\\"")));
        if found.is_none() || !right {
            let seen = format!("version {number} was agreed on as {mark} and is {shown:?}");
            lost.push(Breach { at: world.history.now(), rule: "what was agreed stays", seen });
        }
    }
    lost
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
        Fault::Full { balancers } => {
            for n in numbers(balancers) {
                let state = world.balancer(n).state();
                // Each write through it fails as on a disk without room. Where the directory is no directory it can't be written either.
                let full = std::fs::create_dir_all(&state)
                    .and_then(|()| std::os::unix::fs::symlink("/dev/full", state.join("start.new")));
                drop(full);
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
        Fault::Full { balancers } => {
            for n in numbers(balancers) {
                // A start that has failed there has taken it away.
                let _ = std::fs::remove_file(world.balancer(n).state().join("start.new"));
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
