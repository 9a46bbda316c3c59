//! Plays an experiment: every point, policy and replicate, in parallel; what is done already is not done again.

use crate::file::{Expect, Plan, Point};
use crate::play::run;
use crate::policies::{self, Maker};
use crate::report::Report;
use crate::results::{Line, Out, Table, read, words, write_all};
use crate::world::World;
use rayon::prelude::*;
use std::collections::{BTreeMap, HashSet};
use std::fmt::Write;
use std::hash::{Hash, Hasher};
use std::io;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::Path;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};

/// Why an experiment came to no end.
#[derive(Debug)]
pub enum Failure {
    /// Its file.
    Plan(maplehook_config::Faults),
    /// Its results.
    Io(io::Error),
    /// Its threads.
    Threads(String),
}

impl std::fmt::Display for Failure {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Plan(faults) => faults.fmt(f),
            Self::Io(e) => e.fmt(f),
            Self::Threads(e) => e.fmt(f),
        }
    }
}

impl std::error::Error for Failure {}

impl From<io::Error> for Failure {
    fn from(e: io::Error) -> Self {
        Self::Io(e)
    }
}

impl From<maplehook_config::Faults> for Failure {
    fn from(faults: maplehook_config::Faults) -> Self {
        Self::Plan(faults)
    }
}

/// How an experiment is played.
pub struct How<'a> {
    /// Threads; 0: as many as there are cores.
    pub threads: usize,
    /// Set when it is to stop after the runs in hand.
    pub stop: &'a AtomicBool,
    /// Told after each run: how many are done, of how many.
    pub told: &'a (dyn Fn(usize, usize) + Sync),
    /// Where policies come from, by name; `None`: [`policies::named`].
    pub makers: Option<&'a Makers<'a>>,
}

/// Finds the maker of a policy by its name.
pub type Makers<'a> = dyn Fn(&str) -> Option<Box<Maker<'a>>> + Sync + 'a;

/// A mark of a file's text.
fn mark(text: &str) -> String {
    let mut hasher = rustc_hash::FxHasher::default();
    text.hash(&mut hasher);
    format!("{:016x}", hasher.finish())
}

fn json(at: &BTreeMap<String, toml::Value>) -> BTreeMap<String, serde_json::Value> {
    let of = |value: &toml::Value| serde_json::to_value(value).unwrap_or(serde_json::Value::Null);
    at.iter().map(|(key, value)| (key.clone(), of(value))).collect()
}

/// Plays one world by one policy. A policy that panics is reported (where panics unwind).
pub fn one(world: &World, make: &Maker<'_>) -> Result<Report, String> {
    match catch_unwind(AssertUnwindSafe(|| run(world, make))) {
        Ok(report) => report.map_err(|e| e.to_string()),
        Err(panic) => {
            let words = panic.downcast_ref::<String>().map(String::as_str);
            let words = words.or_else(|| panic.downcast_ref::<&str>().copied());
            Err(format!("the policy panicked: {}", words.unwrap_or("without a word")))
        }
    }
}

struct Case<'p> {
    point: &'p Point,
    line: Line,
}

/// Plays what is not done yet, and writes each run's line to `out` when it is done. In the end all lines stand there in
/// the order of the file, whatever order they came in.
pub fn play(plan: &Plan, out: &Path, how: &How<'_>) -> Result<Vec<Line>, Failure> {
    let points = plan.points()?;
    let file = mark(plan.text());
    let mut cases = Vec::new();
    for point in &points {
        for policy in &plan.policies {
            for replicate in 0..plan.replicates {
                let line = Line {
                    experiment: plan.name.clone(),
                    file: file.clone(),
                    at: json(&point.at),
                    policy: policy.clone(),
                    replicate,
                    seed: plan.seed + u64::from(replicate),
                    digest: String::new(),
                    measures: BTreeMap::new(),
                    panicked: None,
                    seconds: Vec::new(),
                    loads: Vec::new(),
                    quantiles: Vec::new(),
                };
                cases.push(Case { point, line });
            }
        }
    }
    let order: Vec<String> = cases.iter().map(|c| c.line.key()).collect();
    let mut before = read(out)?;
    before.retain(|line| line.file == file);
    let done: HashSet<String> = before.iter().map(Line::key).collect();
    cases.retain(|case| !done.contains(&case.line.key()));
    let sink = Mutex::new((Out::open(out, &before)?, before, None::<io::Error>));
    let (total, already) = (order.len(), order.len() - cases.len());
    (how.told)(already, total);
    let threads = rayon::ThreadPoolBuilder::new().num_threads(how.threads).build();
    threads.map_err(|e| Failure::Threads(e.to_string()))?.install(|| {
        cases.into_par_iter().for_each(|case| {
            if how.stop.load(Ordering::Relaxed) {
                return;
            }
            let line = played(case, how.makers);
            let mut sink = sink.lock().unwrap_or_else(|e| e.into_inner());
            if let Err(e) = sink.0.add(&line) {
                how.stop.store(true, Ordering::Relaxed);
                sink.2 = Some(e);
            }
            sink.1.push(line);
            (how.told)(sink.1.len(), total);
        });
    });
    let (_, mut lines, failed) = sink.into_inner().unwrap_or_else(|e| e.into_inner());
    if let Some(e) = failed {
        return Err(e.into());
    }
    let place: BTreeMap<&String, usize> = order.iter().enumerate().map(|(n, key)| (key, n)).collect();
    lines.sort_by_key(|line| place.get(&line.key()).copied());
    write_all(out, &lines)?;
    Ok(lines)
}

fn played(case: Case<'_>, makers: Option<&Makers<'_>>) -> Line {
    let Case { point, mut line } = case;
    let world = World { seed: line.seed, ..point.world.clone() };
    let report = match makers {
        Some(makers) => makers(&line.policy).map(|make| one(&world, &*make)),
        None => policies::named(&line.policy).map(|named| one(&world, &named.make)),
    };
    match report {
        Some(Ok(report)) => line.fill(&report, line.replicate == 0),
        Some(Err(e)) => line.panicked = Some(e),
        None => line.panicked = Some("no such policy".into()),
    }
    line
}

/// What became of an expectation at one point.
#[derive(Clone, Debug, PartialEq)]
pub struct Verdict {
    /// In words: what was expected where, and what came.
    pub words: String,
    /// It holds with the confidence asked for; `None`: the runs do not decide it.
    pub holds: Option<bool>,
}

/// Holds results against what was expected.
pub fn judge(plan: &Plan, lines: &[Line]) -> Vec<Verdict> {
    let table = Table::new(lines, plan.confidence);
    let mut verdicts = Vec::new();
    for expect in &plan.expects {
        let wanted = json(&expect.at);
        let points = table.points().into_iter().filter(|at| wanted.iter().all(|(k, v)| at.get(k) == Some(v)));
        let mut met = false;
        for at in points {
            met = true;
            verdicts.push(verdict(expect, &table, at));
        }
        if !met {
            let words = format!("line {}: no point has {}", expect.line, words(&wanted));
            verdicts.push(Verdict { words, holds: None });
        }
    }
    for line in lines.iter().filter(|l| l.panicked.is_some()) {
        let why = line.panicked.as_deref().unwrap_or_default();
        let words = format!("{} by {}, seed {}: {why}", words(&line.at), line.policy, line.seed);
        verdicts.push(Verdict { words, holds: Some(false) });
    }
    verdicts
}

fn verdict(expect: &Expect, table: &Table<'_>, at: &BTreeMap<String, serde_json::Value>) -> Verdict {
    let Expect { policy, measure, than, at_least, at_most, line, .. } = expect;
    let mean = match than {
        Some(than) => table.difference(at, (policy, than), measure),
        None => table.mean(at, policy, measure),
    };
    let mut words = format!("line {line}: {} of {policy}", measure);
    if let Some(than) = than {
        let _ = write!(words, ", more than of {than} by");
    }
    for (bound, word) in [(at_least, "at least"), (at_most, "at most")] {
        if let Some(bound) = bound {
            let _ = write!(words, " {word} {bound}");
        }
    }
    let Some(mean) = mean else {
        return Verdict { words: format!("{words}, {}: nothing was measured", self::words(at)), holds: None };
    };
    let _ = write!(words, ", {}: {mean}", self::words(at));
    // The whole interval has to keep to a bound, or to lie beyond it.
    let low =
        at_least.map(|b| if mean.least() >= b { Some(true) } else { (mean.most() < b).then_some(false) });
    let high =
        at_most.map(|b| if mean.most() <= b { Some(true) } else { (mean.least() > b).then_some(false) });
    let holds = match (low.unwrap_or(Some(true)), high.unwrap_or(Some(true))) {
        (Some(false), _) | (_, Some(false)) => Some(false),
        (Some(true), Some(true)) => Some(true),
        _ => None,
    };
    Verdict { words, holds }
}
