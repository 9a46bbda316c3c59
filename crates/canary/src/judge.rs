//! The judge of one stage: fed with the reports of both sides, an interval at a time; asked for a verdict whenever somebody likes.
//!
//! Each measure, over all and by class and tenant, is a confidence sequence of its own over the differences between the sides within
//! the same interval. The stated rate of false stops is shared out over all that is looked at and all stages. What both sides have in
//! common does not show in differences; that both do badly is said apart, and nobody is blamed for it.

use crate::bounds::{Bounds, Measure};
use crate::report::{Cell, Key, Report, Reports, Side};
use crate::sequence::Sequence;
use crate::strata::{difference, pairs};
use maplehook_cluster::Name;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;

/// Classes and tenants that are looked at apart, the busiest first.
pub(crate) const APART_MOST: usize = 16;
/// Intervals of the old side by which it is seen what is usual.
const USUAL: usize = 30;
/// A difference that needs no long look: so many intervals in a row, each with so many requests on the new side.
pub(crate) const GROSS_INTERVALS: u32 = 3;
pub(crate) const GROSS_REQUESTS: u64 = 20;
/// And beyond what counting brings, by so many standard deviations.
const GROSS_DEVIATIONS: f64 = 3.0;

/// Which requests a test is of.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Of {
    All,
    Class(String),
    Tenant(String),
}

impl Of {
    fn keeps(&self, key: &Key) -> bool {
        match self {
            Self::All => true,
            Self::Class(class) => key.class == *class,
            Self::Tenant(tenant) => key.tenant == *tenant,
        }
    }
}

impl fmt::Display for Of {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::All => f.write_str("all requests"),
            Self::Class(class) => write!(f, "class {class}"),
            Self::Tenant(tenant) => write!(f, "tenant {tenant}"),
        }
    }
}

/// What is known of one measure of some requests.
#[derive(Clone, Debug, Default)]
pub(crate) struct Test {
    pub(crate) sequence: Sequence,
    /// Counted and of how many, old and new.
    pub(crate) counts: [(u64, u64); 2],
    pub(crate) gross: u32,
}

/// What a balancer's clients got, as others have seen it: the front, or peers that tried.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Outside {
    /// Answers that were as they should be.
    pub served: u64,
    /// Failures, and nothing at all.
    pub failed: u64,
}

/// The judge of a stage.
#[derive(Clone, Debug)]
pub struct Judge {
    pub(crate) bounds: Bounds,
    pub(crate) tests: BTreeMap<(Of, Measure), Test>,
    pub(crate) apart: BTreeSet<Of>,
    /// What each had in the last interval in which it was heard of.
    pub(crate) heard: BTreeMap<Name, u64>,
    /// Requests that failed or were refused on the old side, as shares, of the last intervals.
    pub(crate) usual: VecDeque<f64>,
    pub(crate) recent: VecDeque<f64>,
    pub(crate) slow: BTreeMap<String, u64>,
    pub(crate) crashes: [u32; 2],
    pub(crate) broken: [u32; 2],
    pub(crate) silent: BTreeMap<Name, u64>,
    pub(crate) sides: BTreeMap<Name, Side>,
    pub(crate) outside: BTreeMap<Name, (Outside, u64, u64)>,
    pub(crate) intervals: u64,
    pub(crate) requests: [u64; 2],
    /// What the old ones did just before the last of them was changed.
    pub(crate) before: Option<Report>,
}

fn bad(reports: &[&Report]) -> Option<f64> {
    let (bad, all) = reports
        .iter()
        .flat_map(|report| report.cells.values())
        .fold((0, 0), |(bad, all), cell| (bad + cell.failed + cell.refused, all + cell.total()));
    (all > 0).then(|| bad as f64 / all as f64)
}

impl Judge {
    /// One that has seen nothing. `before`: shares of bad requests in intervals before the stage, by which it is known what is usual.
    pub fn new(bounds: Bounds, before: &[f64]) -> Self {
        Self {
            bounds,
            tests: BTreeMap::new(),
            apart: BTreeSet::new(),
            heard: BTreeMap::new(),
            usual: before.iter().rev().take(USUAL).rev().copied().collect(),
            recent: VecDeque::new(),
            slow: BTreeMap::new(),
            crashes: [0; 2],
            broken: [0; 2],
            silent: BTreeMap::new(),
            sides: BTreeMap::new(),
            outside: BTreeMap::new(),
            intervals: 0,
            requests: [0; 2],
            before: None,
        }
    }

    /// One of a stage that leaves nobody as before: it is compared with what the old ones did just before, all of it together. What
    /// has changed meanwhile for all counts against the new ones: there is nobody to tell it by.
    pub fn after(bounds: Bounds, before: Report) -> Self {
        Self { before: Some(before), ..Self::new(bounds, &[]) }
    }

    /// The shares of bad requests at the old ones by which it is known what is usual.
    pub fn usual(&self) -> Vec<f64> {
        self.usual.iter().copied().collect()
    }

    /// The reports of an interval, and who is on which side. Whoever is on a side and has no report is silent.
    pub fn interval(&mut self, sides: &BTreeMap<Name, Side>, reports: &Reports) {
        self.intervals += 1;
        self.sides.clone_from(sides);
        self.silent.retain(|name, _| sides.contains_key(name));
        let mut told: [Vec<&Report>; 2] = [Vec::new(), Vec::new()];
        for (name, side) in sides {
            match reports.get(name) {
                Some(report) => {
                    self.silent.remove(name);
                    self.heard.insert(name.clone(), report.total());
                    self.crashes[*side as usize] =
                        self.crashes[*side as usize].saturating_add(report.crashes);
                    self.broken[*side as usize] =
                        self.broken[*side as usize].saturating_add(report.drains_broken);
                    told[*side as usize].push(report);
                }
                None => *self.silent.entry(name.clone()).or_default() += 1,
            }
        }
        // What a silent new one would have had counts as failed; of a silent old one nothing is known, and nothing goes on.
        let silent = self.silent.keys().filter(|name| self.side_of(name) == Side::New);
        let missing =
            silent.filter_map(|name| self.heard.get(name)).fold(0u64, |sum, n| sum.saturating_add(*n));
        let before = self.before.take();
        if !sides.values().any(|side| *side == Side::Old) {
            told[0].extend(&before);
        }
        let [old, new] = &told;
        for (side, reports) in told.iter().enumerate() {
            self.requests[side] += reports.iter().map(|report| report.total()).sum::<u64>();
        }
        if let Some(share) = bad(old) {
            self.recent.push_back(share);
            // Trouble does not become usual by lasting.
            let odd = self.unusual().is_some();
            if self.recent.len() > 5 {
                self.usual.extend(self.recent.pop_front().filter(|_| !odd));
            }
            if self.usual.len() > USUAL {
                self.usual.pop_front();
            }
        }
        self.choose(old, new);
        let all: Vec<Of> = std::iter::once(Of::All).chain(self.apart.iter().cloned()).collect();
        for of in all {
            let mut found = pairs(old, new, &|key| of.keeps(key));
            if of == Of::All
                && let Some((_, cell)) = found.first_mut()
            {
                cell.failed = cell.failed.saturating_add(missing);
            }
            for measure in Measure::SHARES {
                self.share(&of, measure, &found);
            }
        }
        self.ratios(old, new);
        // By what the old ones did now is it said what is slow in the next interval: never by what is judged.
        let mut classes: BTreeMap<&str, Cell> = BTreeMap::new();
        for (key, cell) in old.iter().flat_map(|report| &report.cells) {
            classes.entry(&key.class).or_default().add(cell);
        }
        for (class, cell) in classes {
            if let Some(time) = cell.quantile(0.95) {
                self.slow.insert(class.to_owned(), time);
            }
        }
        if self.slow.len() > crate::report::KEYS_MOST {
            self.slow.pop_first();
        }
        self.before = before;
    }

    /// What a balancer's clients got, seen by somebody else, over an interval in which it said itself that it served so many and
    /// failed so many.
    pub fn seen_outside(&mut self, name: &Name, outside: Outside, served: u64, failed: u64) {
        let (seen, said_served, said_failed) = self.outside.entry(name.clone()).or_default();
        seen.served = seen.served.saturating_add(outside.served);
        seen.failed = seen.failed.saturating_add(outside.failed);
        *said_served = said_served.saturating_add(served);
        *said_failed = said_failed.saturating_add(failed);
    }

    /// The busiest classes and tenants are looked at apart from the first time on that they are among them.
    fn choose(&mut self, old: &[&Report], new: &[&Report]) {
        if self.apart.len() >= APART_MOST {
            return;
        }
        let mut busy: BTreeMap<Of, u64> = BTreeMap::new();
        for (key, cell) in old.iter().chain(new).flat_map(|report| &report.cells) {
            *busy.entry(Of::Class(key.class.clone())).or_default() += cell.total();
            if !key.tenant.is_empty() {
                *busy.entry(Of::Tenant(key.tenant.clone())).or_default() += cell.total();
            }
        }
        let mut busy: Vec<(u64, Of)> = busy.into_iter().map(|(of, n)| (n, of)).collect();
        busy.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.cmp(&b.1)));
        for (_, of) in busy {
            if self.apart.len() < APART_MOST {
                self.apart.insert(of);
            }
        }
    }

    fn share(&mut self, of: &Of, measure: Measure, found: &[(Cell, Cell)]) {
        // One threshold for all: that of the slowest class. Where nothing is known yet nothing is slow.
        let slow = self.slow.values().copied().max();
        let share = move |cell: &Cell| match measure {
            Measure::Failed => (cell.failed, cell.total()),
            Measure::Refused => (cell.refused, cell.total()),
            Measure::Late => (cell.late, cell.answered()),
            _ => slow.map_or((0, 0), |slow| (cell.slower_than(slow), cell.answered())),
        };
        let Some((difference, counting)) = difference(found, &share) else { return };
        let test = self.tests.entry((of.clone(), measure)).or_default();
        test.sequence.push(difference, counting);
        let mut of_new = 0;
        for (side, cell) in found.iter().flat_map(|(a, b)| [(0, a), (1, b)]) {
            let (counted, all) = share(cell);
            test.counts[side].0 += counted;
            test.counts[side].1 += all;
            of_new += if side == 1 { all } else { 0 };
        }
        // Of few requests on either side counting alone brings such a difference now and then, and with many classes, tenants and
        // intervals three times in a row too.
        let sure = difference - GROSS_DEVIATIONS * counting.sqrt();
        let gross = sure > self.bounds.gross && of_new >= GROSS_REQUESTS;
        test.gross = if gross { test.gross + 1 } else { 0 };
    }

    fn ratios(&mut self, old: &[&Report], new: &[&Report]) {
        let mean = |reports: &[&Report], value: &dyn Fn(&Report) -> Option<f64>| -> Option<f64> {
            let logs: Vec<f64> =
                reports.iter().filter_map(|r| value(r)).filter(|v| *v > 0.0).map(f64::ln).collect();
            (!logs.is_empty()).then(|| logs.iter().sum::<f64>() / logs.len() as f64)
        };
        for measure in Measure::RATIOS {
            let value = move |report: &Report| match measure {
                Measure::Cpu => {
                    (report.total() >= GROSS_REQUESTS).then(|| report.cpu_us as f64 / report.total() as f64)
                }
                Measure::Memory => Some(report.memory_kb as f64),
                _ => Some(report.descriptors as f64),
            };
            if let (Some(a), Some(b)) = (mean(old, &value), mean(new, &value)) {
                let test = self.tests.entry((Of::All, measure)).or_default();
                // Two processes of the same program differ by a few hundredths.
                test.sequence.push(b - a, 0.05 * 0.05);
            }
        }
    }
}
