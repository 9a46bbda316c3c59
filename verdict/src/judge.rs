//! The judge of one stage: fed with the reports of both sides, an interval at a time; asked for a verdict whenever somebody likes.
//!
//! Each measure, over all and by class and tenant, is a confidence sequence of its own over the differences between the sides within
//! the same interval. The stated rate of false stops is shared out over all that is looked at and all stages. What both sides have in
//! common does not show in differences; that both do badly is said apart, and nobody is blamed for it.

use crate::report::{Cell, Key, Report, Reports, Side};
use crate::sequence::Sequence;
use crate::strata::{difference, pairs};
use maplehook_tier::Name;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;

/// Classes and tenants that are looked at apart, the busiest first.
const APART_MOST: usize = 16;
/// Intervals of the old side by which it is seen what is usual.
const USUAL: usize = 30;
/// A difference that needs no long look: so many intervals in a row, each with so many requests on the new side.
const GROSS_INTERVALS: u32 = 3;
const GROSS_REQUESTS: u64 = 20;

/// What is compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Measure {
    /// Requests that failed, as a share.
    Failed,
    /// Refused, as a share.
    Refused,
    /// Served late, as a share of the served.
    Late,
    /// Slower than 19 in 20 were on the old side just before, as a share of the served.
    Slow,
    /// Processor's time a request, as a ratio.
    Cpu,
    /// Memory, as a ratio.
    Memory,
    /// Descriptors, as a ratio.
    Descriptors,
}

impl Measure {
    /// All of them, with the keys by which a plan names them.
    pub const ALL: [(&str, Self); 7] = [
        ("failed", Self::Failed),
        ("refused", Self::Refused),
        ("late", Self::Late),
        ("slow", Self::Slow),
        ("cpu", Self::Cpu),
        ("memory", Self::Memory),
        ("descriptors", Self::Descriptors),
    ];
    const SHARES: [Self; 4] = [Self::Failed, Self::Refused, Self::Late, Self::Slow];
    const RATIOS: [Self; 3] = [Self::Cpu, Self::Memory, Self::Descriptors];

    fn words(self) -> &'static str {
        match self {
            Self::Failed => "failed",
            Self::Refused => "refused",
            Self::Late => "served late",
            Self::Slow => "slow",
            Self::Cpu => "processor's time a request",
            Self::Memory => "memory",
            Self::Descriptors => "descriptors",
        }
    }
}

/// What counts as worse.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Bounds {
    /// By so much a measure may be worse and the stage still goes on: a share, or the logarithm of a ratio.
    pub allowed: BTreeMap<Measure, f64>,
    /// By so much more in three intervals in a row the stage is stopped without a longer look.
    pub gross: f64,
    /// The rate of false stops over the whole change.
    pub false_stops: f64,
    /// Stages that share it.
    pub stages: u32,
    /// Intervals that a balancer may be silent.
    pub silence: u64,
    /// A difference between what a balancer says that it served and what its clients got, as a share.
    pub lies: f64,
}

impl Default for Bounds {
    fn default() -> Self {
        use Measure::{Cpu, Descriptors, Failed, Late, Memory, Refused, Slow};
        let allowed = [
            (Failed, 0.005),
            (Refused, 0.02),
            (Late, 0.02),
            (Slow, 0.05),
            (Cpu, 0.2),
            (Memory, 0.4),
            (Descriptors, 0.7),
        ];
        Self {
            allowed: allowed.into_iter().collect(),
            gross: 0.25,
            false_stops: 0.01,
            stages: 4,
            silence: 5,
            lies: 0.05,
        }
    }
}

/// What a stage comes to.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// There is too little to say: what is missing.
    Short(String),
    /// It is not worse by more than is allowed, as far as is stated to be sure.
    Well,
    /// It does worse: what, where, and how sure.
    Worse(String),
    /// Both sides do badly, or the others are silent: nobody is blamed, and nothing goes on.
    Shared(String),
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Short(why) => write!(f, "too little to say: {why}"),
            Self::Well => f.write_str("not worse by more than is allowed"),
            Self::Worse(why) => write!(f, "worse: {why}"),
            Self::Shared(why) => write!(f, "trouble on both sides: {why}"),
        }
    }
}

/// Which requests a test is of.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Of {
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
struct Test {
    sequence: Sequence,
    /// Counted and of how many, old and new.
    counts: [(u64, u64); 2],
    gross: u32,
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
    bounds: Bounds,
    tests: BTreeMap<(Of, Measure), Test>,
    apart: BTreeSet<Of>,
    /// What each had in the last interval in which it was heard of.
    heard: BTreeMap<Name, u64>,
    /// Requests that failed or were refused on the old side, as shares, of the last intervals.
    usual: VecDeque<f64>,
    recent: VecDeque<f64>,
    slow: BTreeMap<String, u64>,
    crashes: [u32; 2],
    broken: [u32; 2],
    silent: BTreeMap<Name, u64>,
    sides: BTreeMap<Name, Side>,
    outside: BTreeMap<Name, (Outside, u64, u64)>,
    intervals: u64,
    requests: [u64; 2],
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
        }
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
        let gross = difference > self.bounds.gross && of_new >= GROSS_REQUESTS;
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

    fn alpha(&self, of: &Of) -> f64 {
        let each = self.bounds.false_stops / f64::from(self.bounds.stages.max(1));
        let measures = (Measure::SHARES.len() + Measure::RATIOS.len()) as f64;
        // Half for what is over all, half for what is looked at apart.
        match of {
            Of::All => each / 2.0 / measures,
            _ => each / 2.0 / (Measure::SHARES.len() * APART_MOST) as f64,
        }
    }

    fn words(&self, of: &Of, measure: Measure, test: &Test, low: f64) -> String {
        let sure = 100.0 * (1.0 - self.alpha(of));
        let ratio = Measure::RATIOS.contains(&measure);
        if ratio {
            return format!(
                "{}: {:.2} times the old ones' over {} intervals; at least {:.2} times ({sure:.2} % sure)",
                measure.words(),
                test.sequence.mean().exp(),
                test.sequence.len(),
                low.exp()
            );
        }
        let [(a, n), (b, m)] = test.counts;
        let percent = |a: u64, n: u64| 100.0 * a as f64 / n.max(1) as f64;
        format!(
            "{}, {of}: new {:.2} % of {m}, old {:.2} % of {n} over the same {} intervals; at least {:.2} points more ({sure:.2} % sure)",
            measure.words(),
            percent(b, m),
            percent(a, n),
            test.sequence.len(),
            100.0 * low
        )
    }

    /// What it comes to so far. `least`: intervals and requests on the new side without which nothing goes on.
    pub fn verdict(&self, least_intervals: u64, least_requests: u64) -> Verdict {
        if self.crashes[1] > 0 && self.crashes[0] == 0 {
            return Verdict::Worse(format!("{} crashes of new processes, none of old ones", self.crashes[1]));
        }
        if self.broken[1] > 0 && self.broken[0] == 0 {
            return Verdict::Worse(format!(
                "{} attempts of new ones at upstreams that drain",
                self.broken[1]
            ));
        }
        if let Some((name, why)) = self.lies() {
            return Verdict::Worse(format!("{name} reports other figures than its clients see: {why}"));
        }
        for ((of, measure), test) in &self.tests {
            if test.gross >= GROSS_INTERVALS {
                let low = self.bounds.gross;
                return Verdict::Worse(self.words(of, *measure, test, low));
            }
            if let Some((low, _)) = test.sequence.bounds(self.alpha(of))
                && low > self.allowed(*measure) / 2.0
            {
                return Verdict::Worse(self.words(of, *measure, test, low));
            }
        }
        let silent = |side: Side| {
            let long = |(name, n): &(&Name, &u64)| **n >= self.bounds.silence && self.side_of(name) == side;
            let silent = self.silent.iter().find(long);
            silent.map(|(name, n)| format!("{name} has told nothing for {n} intervals"))
        };
        if let Some(why) = silent(Side::New) {
            return Verdict::Worse(why);
        }
        if let Some(why) = silent(Side::Old) {
            return Verdict::Shared(why);
        }
        if let Some(why) = self.unusual() {
            return Verdict::Shared(why);
        }
        if self.crashes[1] > 0 {
            return Verdict::Shared(format!(
                "{} crashes of new processes, {} of old ones",
                self.crashes[1], self.crashes[0]
            ));
        }
        if self.intervals < least_intervals || self.requests[1] < least_requests {
            return Verdict::Short(format!(
                "{} of {least_intervals} intervals, {} of {least_requests} requests at the new ones",
                self.intervals, self.requests[1]
            ));
        }
        for measure in Measure::SHARES.into_iter().chain(Measure::RATIOS) {
            // Where nothing is served nothing can be late.
            let Some(test) = self.tests.get(&(Of::All, measure)) else {
                if matches!(measure, Measure::Failed | Measure::Refused) {
                    return Verdict::Short(format!(
                        "nothing that both sides have in common: {}",
                        measure.words()
                    ));
                }
                continue;
            };
            match test.sequence.bounds(self.alpha(&Of::All)) {
                Some((_, high)) if high <= self.allowed(measure) => {}
                Some((_, high)) => {
                    return Verdict::Short(format!(
                        "{} may still be worse by {:.2}, allowed is {:.2}",
                        measure.words(),
                        high,
                        self.allowed(measure)
                    ));
                }
                None => return Verdict::Short(format!("{}: too few intervals", measure.words())),
            }
        }
        Verdict::Well
    }

    fn allowed(&self, measure: Measure) -> f64 {
        self.bounds.allowed.get(&measure).copied().unwrap_or(0.0)
    }

    fn side_of(&self, name: &Name) -> Side {
        self.sides.get(name).copied().unwrap_or(Side::Old)
    }

    /// Whoever says that it serves, and does not.
    fn lies(&self) -> Option<(&Name, String)> {
        self.outside.iter().filter(|(name, _)| self.side_of(name) == Side::New).find_map(
            |(name, (seen, served, failed))| {
                let (all, said) = (seen.served + seen.failed, served + failed);
                if all < GROSS_REQUESTS || said == 0 {
                    return None;
                }
                let (seen, said) = (seen.failed as f64 / all as f64, *failed as f64 / said as f64);
                // Counting alone may differ by a little.
                let noise = 4.0 * ((seen * (1.0 - seen) + 0.01) / all as f64).sqrt();
                (seen - said > self.bounds.lies + noise)
                    .then(|| (name, format!("{:.1} % failed, it says {:.1} %", 100.0 * seen, 100.0 * said)))
            },
        )
    }

    /// Whether the old side does much worse than it usually does.
    fn unusual(&self) -> Option<String> {
        if self.usual.len() < 5 || self.recent.len() < 3 {
            return None;
        }
        let mean = |shares: &VecDeque<f64>| shares.iter().sum::<f64>() / shares.len() as f64;
        let (usual, now) = (mean(&self.usual), mean(&self.recent));
        (now > usual * 2.0 + 0.02).then(|| {
            format!(
                "{:.1} % of the old ones' requests fail or are refused, usually {:.1} %",
                100.0 * now,
                100.0 * usual
            )
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn name(n: usize) -> Name {
        Name::new(&format!("b{n}")).unwrap()
    }

    /// What a balancer has: requests, and of each hundred how many fail.
    struct World {
        judge: Judge,
        sides: BTreeMap<Name, Side>,
        interval: u64,
    }

    impl World {
        /// Four old ones and one new.
        fn new() -> Self {
            let sides = (0..5).map(|n| (name(n), if n == 0 { Side::New } else { Side::Old })).collect();
            let judge = Judge::new(Bounds::default(), &[0.01; 10]);
            Self { judge, sides, interval: 0 }
        }

        fn play(&mut self, intervals: u64, report: impl Fn(usize, u64, &mut Report) -> bool) {
            for _ in 0..intervals {
                self.interval += 1;
                let mut reports = Reports::new();
                for n in 0..5 {
                    let mut told = Report::new(self.interval, if n % 2 == 0 { "a" } else { "b" });
                    (told.cpu_us, told.memory_kb, told.descriptors) = (200_000, 9000, 60);
                    for tenant in ["x", "y"] {
                        for k in 0..100u64 {
                            // A spread of times, the same for all.
                            let us = 5_000 + 400 * ((k * 37 + self.interval * 11 + n as u64 * 53) % 100);
                            told.cell("look", tenant).served_after(us, false);
                        }
                        told.cell("look", tenant).failed += self.interval % 2;
                    }
                    if report(n, self.interval, &mut told) {
                        reports.insert(name(n), told);
                    }
                }
                self.judge.interval(&self.sides, &reports);
            }
        }

        fn verdict(&self) -> Verdict {
            self.judge.verdict(20, 1000)
        }

        fn worse(&self, part: &str) {
            let verdict = self.verdict();
            assert!(matches!(&verdict, Verdict::Worse(why) if why.contains(part)), "{verdict}");
        }
    }

    #[test]
    fn a_good_one_goes_on_once_there_is_enough() {
        let mut world = World::new();
        world.play(10, |_, _, _| true);
        assert!(matches!(world.verdict(), Verdict::Short(_)), "{}", world.verdict());
        // Each of the two is needed.
        world.play(110, |_, _, _| true);
        assert!(matches!(world.judge.verdict(500, 1000), Verdict::Short(_)));
        assert!(matches!(world.judge.verdict(20, 1_000_000), Verdict::Short(_)));
        let mut world = World::new();
        world.play(120, |_, _, _| true);
        assert_eq!(world.verdict(), Verdict::Well);
    }

    #[test]
    fn harm_is_found_and_named() {
        let mut world = World::new();
        world.play(60, |n, _, report| {
            if n == 0 {
                report.cell("look", "x").failed += 5;
            }
            true
        });
        world.worse("failed");
        // At one tenant's requests alone, of which there are few.
        let mut world = World::new();
        world.play(80, |n, _, report| {
            let cell = report.cell("look", "rare");
            cell.served += 10;
            if n == 0 {
                (cell.served, cell.failed) = (9, 1);
            }
            true
        });
        world.worse("tenant rare");
        // 30 ms slower.
        let mut world = World::new();
        world.play(60, |n, interval, report| {
            if n == 0 {
                *report.cell("look", "x") = Cell::default();
                for k in 0..100u64 {
                    report.cell("look", "x").served_after(35_000 + 400 * ((k * 37 + interval) % 100), false);
                }
            }
            true
        });
        world.worse("slow");
        // It leaks.
        let mut world = World::new();
        world.play(120, |n, interval, report| {
            if n == 0 {
                report.descriptors += 5 * interval;
            }
            true
        });
        world.worse("descriptors");
    }

    #[test]
    fn gross_harm_needs_no_long_look() {
        let mut world = World::new();
        world.play(4, |n, _, report| {
            if n == 0 {
                let cell = report.cell("look", "x");
                (cell.failed, cell.served) = (cell.total(), 0);
            }
            true
        });
        world.worse("failed");
    }

    #[test]
    fn crashes_lies_broken_drains_and_silence_are_evidence() {
        let mut world = World::new();
        world.play(1, |n, _, report| {
            report.crashes = u32::from(n == 0);
            true
        });
        world.worse("crashes");
        let mut world = World::new();
        world.play(1, |n, _, report| {
            report.drains_broken = u32::from(n == 0);
            true
        });
        world.worse("drain");
        let mut world = World::new();
        world.play(2, |_, _, _| true);
        world.judge.seen_outside(&name(0), Outside { served: 20, failed: 60 }, 200, 0);
        world.worse("reports other figures");
        let mut world = World::new();
        world.play(3, |_, _, _| true);
        world.play(6, |n, _, _| n != 0);
        assert!(matches!(world.verdict(), Verdict::Worse(_)), "{}", world.verdict());
    }

    #[test]
    fn shared_trouble_blames_nobody_and_holds() {
        let mut world = World::new();
        world.play(10, |_, _, _| true);
        world.play(40, |_, interval, report| {
            // All upstreams fail a third of all, now and then more.
            for tenant in ["x", "y"] {
                report.cell("look", tenant).failed += 40 + interval % 7;
            }
            true
        });
        assert!(matches!(world.verdict(), Verdict::Shared(_)), "{}", world.verdict());
        // Everybody crashes: by the machines, or by what is asked.
        let mut world = World::new();
        world.play(30, |_, interval, report| {
            report.crashes = u32::from(interval == 3);
            true
        });
        assert!(matches!(world.verdict(), Verdict::Shared(_)), "{}", world.verdict());
        // An old one that is silent: nothing goes on, and nobody is blamed.
        let mut world = World::new();
        world.play(5, |_, _, _| true);
        world.play(40, |n, _, _| n != 3);
        assert!(matches!(world.verdict(), Verdict::Shared(_)), "{}", world.verdict());
    }

    /// The old ones are the bad ones: the change may go on.
    #[test]
    fn old_ones_that_do_worse_stop_nothing() {
        let mut world = World::new();
        world.play(200, |n, _, report| {
            if n > 0 {
                report.cell("look", "x").failed += 6;
            }
            true
        });
        assert_eq!(world.verdict(), Verdict::Well);
    }

    /// Without a word from the new ones nothing ever goes on.
    #[test]
    fn too_little_never_advances() {
        let mut world = World::new();
        world.play(200, |n, _, report| {
            if n == 0 {
                report.cells.clear();
            }
            true
        });
        assert!(matches!(world.verdict(), Verdict::Short(_)), "{}", world.verdict());
    }
}
