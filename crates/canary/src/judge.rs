//! The judge of one stage: it is given the reports of both sides, one interval at a time, and asked for a verdict at any moment.
//!
//! Each metric, over all requests and by class and tenant, is a confidence sequence of its own over the differences between the
//! sides within the same interval. The stated rate of false stops is divided among all tests and all stages. A fault that both sides
//! share does not show in differences; that both do badly is reported separately, and the change is not blamed for it.

use crate::confidence_sequence::ConfidenceSequence;
use crate::report::{IntervalReport, MAX_GROUPS, Reports, RequestCounts, Side};
use crate::scope::Scope;
use crate::stratification::{difference, pairs};
use crate::thresholds::{Metric, Thresholds};
use maplehook_cluster::Name;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Classes and tenants that are tested separately, the busiest first.
pub(crate) const MAX_SCOPES: usize = 16;
/// Intervals of the old side that its baseline is made of.
const BASELINE_INTERVALS: usize = 30;
/// Latest intervals of the old side, which are compared with its baseline before they become part of it.
const RECENT_INTERVALS: usize = 5;
/// A gross difference stops a stage after so many intervals in a row, each with so many requests on the new side.
pub(crate) const GROSS_INTERVALS: u32 = 3;
pub(crate) const GROSS_REQUESTS: u64 = 20;
/// Standard deviations of sampling noise that a gross difference has to exceed.
const GROSS_DEVIATIONS: f64 = 3.0;
/// Variance of the logarithm of a ratio between two processes of the same program, which differ by a few hundredths.
const RATIO_NOISE: f64 = 0.05 * 0.05;
/// A request is slow above this quantile of the old side.
const SLOW_QUANTILE: f64 = 0.95;

/// What is known of one metric in one scope.
#[derive(Clone, Debug, Default)]
pub(crate) struct MetricTest {
    pub(crate) sequence: ConfidenceSequence,
    /// Counted requests and all requests, of the old and the new side.
    pub(crate) counts: [(u64, u64); 2],
    /// Intervals in a row with a gross difference.
    pub(crate) gross_intervals: u32,
}

/// What a balancer's clients got as somebody else observed it: the load balancer in front, or peers that probed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ExternalObservation {
    /// Responses that were as they should be.
    pub served: u64,
    /// Failures, and requests without any response.
    pub failed: u64,
}

/// An external observation beside what the balancer itself reported over the same time.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ObservedReports {
    pub(crate) observed: ExternalObservation,
    pub(crate) reported: ExternalObservation,
}

/// The judge of one stage.
#[derive(Clone, Debug)]
pub struct Judge {
    pub(crate) thresholds: Thresholds,
    pub(crate) tests: BTreeMap<(Scope, Metric), MetricTest>,
    /// Scopes that are tested besides all requests.
    scopes: BTreeSet<Scope>,
    /// Requests of each balancer in the last interval that it reported.
    last_totals: BTreeMap<Name, u64>,
    /// Shares of bad requests on the old side in the intervals of its baseline.
    pub(crate) baseline: VecDeque<f64>,
    /// The same of the latest intervals.
    pub(crate) recent: VecDeque<f64>,
    /// Time above which a request is slow, by class, in units of [`crate::report::TIME_UNIT_US`].
    slow_times: BTreeMap<String, u64>,
    /// Crashes on the old and the new side.
    pub(crate) crashes: [u32; 2],
    /// Attempts at draining upstreams on the old and the new side.
    pub(crate) drain_violations: [u32; 2],
    /// Intervals in a row that a balancer has not reported.
    pub(crate) missed_intervals: BTreeMap<Name, u64>,
    sides: BTreeMap<Name, Side>,
    pub(crate) external: BTreeMap<Name, ObservedReports>,
    pub(crate) intervals: u64,
    /// Requests on the old and the new side.
    pub(crate) requests: [u64; 2],
    /// What the old side did just before the last of it was changed, where the stage leaves no old side.
    reference: Option<IntervalReport>,
}

/// Share of requests that failed or were rejected.
fn bad_share(reports: &[&IntervalReport]) -> Option<f64> {
    let (bad, all) = reports
        .iter()
        .flat_map(|report| report.groups.values())
        .fold((0, 0), |(bad, all), counts| (bad + counts.failed + counts.rejected, all + counts.total()));
    (all > 0).then(|| bad as f64 / all as f64)
}

/// Mean of the logarithms of a positive amount over reports; none where no report has it.
fn mean_log(reports: &[&IntervalReport], amount: impl Fn(&IntervalReport) -> Option<f64>) -> Option<f64> {
    let amounts = reports.iter().filter_map(|report| amount(report));
    let logs: Vec<f64> = amounts.filter(|amount| *amount > 0.0).map(f64::ln).collect();
    (!logs.is_empty()).then(|| logs.iter().sum::<f64>() / logs.len() as f64)
}

impl Judge {
    /// A judge that has seen nothing. `baseline` holds the shares of bad requests in intervals before the stage.
    pub fn new(thresholds: Thresholds, baseline: &[f64]) -> Self {
        Self {
            thresholds,
            tests: BTreeMap::new(),
            scopes: BTreeSet::new(),
            last_totals: BTreeMap::new(),
            baseline: baseline.iter().rev().take(BASELINE_INTERVALS).rev().copied().collect(),
            recent: VecDeque::new(),
            slow_times: BTreeMap::new(),
            crashes: [0; 2],
            drain_violations: [0; 2],
            missed_intervals: BTreeMap::new(),
            sides: BTreeMap::new(),
            external: BTreeMap::new(),
            intervals: 0,
            requests: [0; 2],
            reference: None,
        }
    }

    /// The judge of a stage that leaves no balancer unchanged: the new side is compared with what the old one did just before, all
    /// of it together. Whatever has changed meanwhile for everybody counts against the new side, since nothing tells it apart.
    pub fn with_reference(thresholds: Thresholds, reference: IntervalReport) -> Self {
        Self { reference: Some(reference), ..Self::new(thresholds, &[]) }
    }

    /// Shares of bad requests on the old side that its baseline is made of.
    pub fn baseline(&self) -> Vec<f64> {
        self.baseline.iter().copied().collect()
    }

    /// Takes in the reports of one interval. A balancer that is on a side and has no report has missed it.
    pub fn record_interval(&mut self, sides: &BTreeMap<Name, Side>, reports: &Reports) {
        self.intervals += 1;
        self.sides.clone_from(sides);
        self.missed_intervals.retain(|name, _| sides.contains_key(name));
        let [mut old, new] = self.split_by_side(sides, reports);
        let lost = self.lost_requests();
        let reference = self.reference.take();
        if !sides.values().any(|side| *side == Side::Old) {
            old.extend(&reference);
        }
        for (side, reports) in [&old, &new].into_iter().enumerate() {
            self.requests[side] += reports.iter().map(|report| report.total()).sum::<u64>();
        }
        self.update_baseline(&old);
        self.select_scopes(&old, &new);
        self.test_all_shares(&old, &new, lost);
        self.test_ratios(&old, &new);
        self.update_slow_times(&old);
        self.reference = reference;
    }

    /// Records what a balancer's clients got over an interval for which it reported `reported` itself.
    pub fn record_external_observation(
        &mut self,
        name: &Name,
        observed: ExternalObservation,
        reported: ExternalObservation,
    ) {
        let both = self.external.entry(name.clone()).or_default();
        both.observed.add(observed);
        both.reported.add(reported);
    }

    /// The side of a balancer; the old one for balancers that no side was given for.
    pub(crate) fn side_of(&self, name: &Name) -> Side {
        self.sides.get(name).copied().unwrap_or(Side::Old)
    }

    /// Reports of the old and the new side; notes what each balancer reported or that it did not.
    fn split_by_side<'a>(
        &mut self,
        sides: &BTreeMap<Name, Side>,
        reports: &'a Reports,
    ) -> [Vec<&'a IntervalReport>; 2] {
        let mut by_side = [Vec::new(), Vec::new()];
        for (name, side) in sides {
            let side = *side as usize;
            let Some(report) = reports.get(name) else {
                *self.missed_intervals.entry(name.clone()).or_default() += 1;
                continue;
            };
            self.missed_intervals.remove(name);
            self.last_totals.insert(name.clone(), report.total());
            self.crashes[side] = self.crashes[side].saturating_add(report.crashes);
            self.drain_violations[side] = self.drain_violations[side].saturating_add(report.drain_violations);
            by_side[side].push(report);
        }
        by_side
    }

    /// Requests that unresponsive balancers of the new side would have had: they count as failed. Of an unresponsive old one nothing
    /// is known, and the stage waits.
    fn lost_requests(&self) -> u64 {
        let unresponsive = self.missed_intervals.keys().filter(|name| self.side_of(name) == Side::New);
        let totals = unresponsive.filter_map(|name| self.last_totals.get(name));
        totals.fold(0u64, |sum, total| sum.saturating_add(*total))
    }

    /// Moves the oldest of the recent intervals into the baseline, unless the old side does unusually badly: a fault does not become
    /// normal by lasting.
    fn update_baseline(&mut self, old: &[&IntervalReport]) {
        let Some(share) = bad_share(old) else { return };
        self.recent.push_back(share);
        let is_unusual = self.unusual_old_side().is_some();
        if self.recent.len() > RECENT_INTERVALS {
            self.baseline.extend(self.recent.pop_front().filter(|_| !is_unusual));
        }
        if self.baseline.len() > BASELINE_INTERVALS {
            self.baseline.pop_front();
        }
    }

    /// The busiest classes and tenants are tested separately, from the first interval in which they are among the busiest.
    fn select_scopes(&mut self, old: &[&IntervalReport], new: &[&IntervalReport]) {
        if self.scopes.len() >= MAX_SCOPES {
            return;
        }
        let mut totals: BTreeMap<Scope, u64> = BTreeMap::new();
        for (group, counts) in old.iter().chain(new).flat_map(|report| &report.groups) {
            *totals.entry(Scope::Class(group.class.clone())).or_default() += counts.total();
            if !group.tenant.is_empty() {
                *totals.entry(Scope::Tenant(group.tenant.clone())).or_default() += counts.total();
            }
        }
        let mut busiest: Vec<(u64, Scope)> =
            totals.into_iter().map(|(scope, total)| (total, scope)).collect();
        busiest.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.cmp(&b.1)));
        for (_, scope) in busiest {
            if self.scopes.len() < MAX_SCOPES {
                self.scopes.insert(scope);
            }
        }
    }

    fn test_all_shares(&mut self, old: &[&IntervalReport], new: &[&IntervalReport], lost: u64) {
        let scopes: Vec<Scope> = std::iter::once(Scope::All).chain(self.scopes.iter().cloned()).collect();
        for scope in scopes {
            let mut pairs = pairs(old, new, &|group| scope.contains(group));
            if scope == Scope::All
                && let Some((_, counts)) = pairs.first_mut()
            {
                counts.failed = counts.failed.saturating_add(lost);
            }
            for metric in Metric::SHARES {
                self.test_share(&scope, metric, &pairs);
            }
        }
    }

    fn test_share(&mut self, scope: &Scope, metric: Metric, pairs: &[(RequestCounts, RequestCounts)]) {
        // One threshold for all: that of the slowest class. Where none is known yet, no request is slow.
        let slow_time = self.slow_times.values().copied().max();
        let share = move |counts: &RequestCounts| match metric {
            Metric::Failed => (counts.failed, counts.total()),
            Metric::Rejected => (counts.rejected, counts.total()),
            Metric::Late => (counts.late, counts.answered()),
            _ => slow_time.map_or((0, 0), |time| (counts.slower_than(time), counts.answered())),
        };
        let Some((difference, sampling_variance)) = difference(pairs, &share) else { return };
        let test = self.tests.entry((scope.clone(), metric)).or_default();
        test.sequence.push(difference, sampling_variance);
        let mut new_requests = 0;
        for (side, counts) in pairs.iter().flat_map(|(old, new)| [(0, old), (1, new)]) {
            let (counted, all) = share(counts);
            test.counts[side].0 += counted;
            test.counts[side].1 += all;
            new_requests += if side == 1 { all } else { 0 };
        }
        // With few requests on either side, sampling alone brings such a difference now and then, and with many classes, tenants and
        // intervals three times in a row too.
        let certain = difference - GROSS_DEVIATIONS * sampling_variance.sqrt();
        let is_gross = certain > self.thresholds.gross && new_requests >= GROSS_REQUESTS;
        test.gross_intervals = if is_gross { test.gross_intervals + 1 } else { 0 };
    }

    fn test_ratios(&mut self, old: &[&IntervalReport], new: &[&IntervalReport]) {
        for metric in Metric::RATIOS {
            let amount = move |report: &IntervalReport| match metric {
                Metric::Cpu => {
                    let total = report.total();
                    (total >= GROSS_REQUESTS).then(|| report.cpu_us as f64 / total as f64)
                }
                Metric::Memory => Some(report.memory_kb as f64),
                _ => Some(report.descriptors as f64),
            };
            if let (Some(old), Some(new)) = (mean_log(old, amount), mean_log(new, amount)) {
                let test = self.tests.entry((Scope::All, metric)).or_default();
                test.sequence.push(new - old, RATIO_NOISE);
            }
        }
    }

    /// What the old side did in this interval says what is slow in the next one: never what is judged itself.
    fn update_slow_times(&mut self, old: &[&IntervalReport]) {
        let mut classes: BTreeMap<&str, RequestCounts> = BTreeMap::new();
        for (group, counts) in old.iter().flat_map(|report| &report.groups) {
            classes.entry(&group.class).or_default().add(counts);
        }
        for (class, counts) in classes {
            if let Some(time) = counts.quantile(SLOW_QUANTILE) {
                self.slow_times.insert(class.to_owned(), time);
            }
        }
        if self.slow_times.len() > MAX_GROUPS {
            self.slow_times.pop_first();
        }
    }
}

impl ExternalObservation {
    fn add(&mut self, other: Self) {
        self.served = self.served.saturating_add(other.served);
        self.failed = self.failed.saturating_add(other.failed);
    }

    /// Number of requests.
    pub(crate) fn total(self) -> u64 {
        self.served + self.failed
    }
}
