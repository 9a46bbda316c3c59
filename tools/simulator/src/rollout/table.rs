//! What came of many changes, as a table.

use super::harm::Harm;
use super::play::{Case, End, Outcome, play};
use super::ways::Way;
use rayon::prelude::*;
use statrs::distribution::{Beta, ContinuousCDF};

/// Many changes of one kind.
pub struct Row {
    /// What was played; the seed is the first.
    pub case: Case,
    /// What came of each.
    pub outcomes: Vec<Outcome>,
}

/// Plays a kind of change on so many seeds, from its own on.
pub fn row(case: &Case, seeds: u64) -> Result<Row, String> {
    let seeded = (case.seed..case.seed + seeds).into_par_iter();
    let outcomes: Result<Vec<Outcome>, String> = seeded.map(|seed| play(&Case { seed, ..*case })).collect();
    Ok(Row { case: *case, outcomes: outcomes? })
}

/// A share's bounds at 95 %, exact (Clopper and Pearson, 1934).
pub fn bounds(count: usize, of: usize) -> (f64, f64) {
    let (k, n) = (count as f64, of as f64);
    let at = |a: f64, b: f64, p: f64| Beta::new(a, b).map_or(f64::NAN, |beta| beta.inverse_cdf(p));
    let low = if count == 0 { 0.0 } else { at(k, n - k + 1.0, 0.025) };
    let high = if count == of { 1.0 } else { at(k + 1.0, n - k, 0.975) };
    (low, high)
}

fn spread(mut times: Vec<u64>) -> String {
    times.sort_unstable();
    let at = |share: f64| times.get(((times.len() as f64 - 1.0) * share) as usize);
    match (at(0.5), at(0.9)) {
        (Some(median), Some(most)) => format!("{median} / {most}"),
        _ => "-".into(),
    }
}

impl Row {
    /// How many were stopped.
    pub fn stopped(&self) -> usize {
        self.outcomes.iter().filter(|outcome| matches!(outcome.end, End::Stopped(_))).count()
    }

    /// How many neither ended nor were stopped.
    pub fn open(&self) -> usize {
        self.outcomes.iter().filter(|outcome| matches!(outcome.end, End::Open(_))).count()
    }

    /// The mean share of the day's requests that the change did harm to.
    pub fn harmed(&self) -> f64 {
        self.outcomes.iter().map(|outcome| outcome.harmed).sum::<f64>() / self.outcomes.len().max(1) as f64
    }

    /// Its line of a table in Markdown.
    pub fn line(&self) -> String {
        let (case, n) = (&self.case, self.outcomes.len());
        let (low, high) = bounds(self.stopped(), n);
        let times =
            |of: &dyn Fn(&Outcome) -> Option<u64>| spread(self.outcomes.iter().filter_map(of).collect());
        let faults = if case.faults { ", faults" } else { "" };
        format!(
            "| {} | {}{faults} | {} | {}/{n} | {low:.3}-{high:.3} | {} | {} | {} | {} | {:.4} |\n",
            case.balancers,
            case.harm,
            case.way.word(),
            self.stopped(),
            self.open(),
            times(&|o| o.stop),
            times(&|o| o.undo),
            times(&|o| o.done),
            100.0 * self.harmed(),
        )
    }

    /// Why some were stopped, or wait: each reason with how often, the commonest first.
    pub fn reasons(&self) -> Vec<(usize, String)> {
        let mut reasons: std::collections::BTreeMap<String, usize> = Default::default();
        for outcome in &self.outcomes {
            if let End::Stopped(why) | End::Open(why) = &outcome.end {
                let short: String = why.chars().filter(|c| !c.is_ascii_digit()).take(70).collect();
                *reasons.entry(short).or_default() += 1;
            }
        }
        let mut reasons: Vec<(usize, String)> = reasons.into_iter().map(|(why, n)| (n, why)).collect();
        reasons.sort_by(|a, b| b.cmp(a));
        reasons
    }
}

/// All kinds of changes for so many balancers.
pub fn cases(balancers: usize, harms: &[Harm], ways: &[Way], faults: bool, seed: u64) -> Vec<Case> {
    let of = |harm: &Harm| {
        ways.iter().map(|way| Case { balancers, harm: *harm, way: *way, faults, seed }).collect::<Vec<_>>()
    };
    harms.iter().flat_map(of).collect()
}

/// The head of a table in Markdown; times are median / nine in ten.
pub const HEAD: &str = "| balancers | change | decides | stopped | at 95 % | open | stop s | undo s | done s | harmed % |\n\
                        |---|---|---|---|---|---|---|---|---|---|\n";
