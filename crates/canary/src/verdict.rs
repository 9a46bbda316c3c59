//! What a judge concludes from what it has recorded, and the texts that operators read.

use crate::judge::{GROSS_INTERVALS, GROSS_REQUESTS, Judge, MAX_SCOPES, MetricTest, ObservedReports};
use crate::report::Side;
use crate::scope::Scope;
use crate::thresholds::{Metric, Verdict};
use maplehook_cluster::Name;
use std::collections::VecDeque;

/// Intervals of baseline, and of recent intervals, below which nothing is called unusual.
const MIN_BASELINE_INTERVALS: usize = 5;
const MIN_RECENT_INTERVALS: usize = 3;
/// Bad requests of the old side are unusual above so many times its baseline, and this share more.
const UNUSUAL_MULTIPLE: f64 = 2.0;
const UNUSUAL_SHARE: f64 = 0.02;
/// Standard deviations of sampling noise that are allowed between reported and observed failures.
const MISREPORT_DEVIATIONS: f64 = 4.0;

fn percent(counted: u64, all: u64) -> f64 {
    100.0 * counted as f64 / all.max(1) as f64
}

impl Judge {
    /// The conclusion so far. Below `min_intervals`, or `min_requests` on the new side, nothing passes.
    pub fn verdict(&self, min_intervals: u64, min_requests: u64) -> Verdict {
        if let Some(why) = self.regression() {
            return Verdict::Regression(why);
        }
        if let Some(why) = self.shared_fault() {
            return Verdict::SharedFault(why);
        }
        if let Some(why) = self.missing_evidence(min_intervals, min_requests) {
            return Verdict::Inconclusive(why);
        }
        Verdict::Pass
    }

    /// What is known so far, old against new, metric by metric over all requests.
    pub fn evidence(&self) -> Vec<String> {
        let of_all_requests = self.tests.iter().filter(|((scope, _), _)| *scope == Scope::All);
        of_all_requests.map(|((_, metric), test)| self.describe_evidence(*metric, test)).collect()
    }

    fn regression(&self) -> Option<String> {
        let [old_crashes, new_crashes] = self.crashes;
        if new_crashes > 0 && old_crashes == 0 {
            return Some(format!("{new_crashes} crashes of new processes, none of old ones"));
        }
        let [old_violations, new_violations] = self.drain_violations;
        if new_violations > 0 && old_violations == 0 {
            return Some(format!("{new_violations} attempts of new ones at upstreams that drain"));
        }
        if let Some((name, why)) = self.misreporting() {
            return Some(format!("{name} reports other figures than its clients see: {why}"));
        }
        let failed = self.tests.iter().find_map(|((scope, metric), test)| {
            let low = self.failed_bound(scope, *metric, test)?;
            Some(self.describe_regression(scope, *metric, test, low))
        });
        failed.or_else(|| self.unresponsive(Side::New))
    }

    fn shared_fault(&self) -> Option<String> {
        let [old_crashes, new_crashes] = self.crashes;
        let crashes = || format!("{new_crashes} crashes of new processes, {old_crashes} of old ones");
        self.unresponsive(Side::Old)
            .or_else(|| self.unusual_old_side())
            .or_else(|| (new_crashes > 0).then(crashes))
    }

    fn missing_evidence(&self, min_intervals: u64, min_requests: u64) -> Option<String> {
        let new_requests = self.requests[1];
        if self.intervals < min_intervals || new_requests < min_requests {
            return Some(format!(
                "{} of {min_intervals} intervals, {new_requests} of {min_requests} requests at the new ones",
                self.intervals
            ));
        }
        let mut metrics = Metric::SHARES.into_iter().chain(Metric::RATIOS);
        metrics.find_map(|metric| self.missing_evidence_of(metric))
    }

    fn missing_evidence_of(&self, metric: Metric) -> Option<String> {
        let label = metric.label();
        let Some(test) = self.tests.get(&(Scope::All, metric)) else {
            // Where nothing is served nothing can be late.
            let is_required = matches!(metric, Metric::Failed | Metric::Rejected);
            return is_required.then(|| format!("nothing that both sides have in common: {label}"));
        };
        // A balancer with few requests has a time a request in few intervals only: waiting for more could take for ever.
        if metric == Metric::Cpu && test.sequence.len() * 2 < self.intervals {
            return None;
        }
        let allowed = self.allowed(metric);
        match test.sequence.bounds(self.alpha(&Scope::All)) {
            Some((_, high)) if high <= allowed => None,
            Some((_, high)) => {
                Some(format!("{label} may still be worse by {high:.2}, allowed is {allowed:.2}"))
            }
            None => Some(format!("{label}: too few intervals")),
        }
    }

    /// The lower bound of a difference that is too large, if it is.
    fn failed_bound(&self, scope: &Scope, metric: Metric, test: &MetricTest) -> Option<f64> {
        if test.gross_intervals >= GROSS_INTERVALS {
            return Some(self.thresholds.gross);
        }
        let (low, _) = test.sequence.bounds(self.alpha(scope))?;
        (low > self.allowed(metric) / 2.0).then_some(low)
    }

    /// The rate of false alarms that one test may have.
    fn alpha(&self, scope: &Scope) -> f64 {
        let each_stage = self.thresholds.false_stop_rate / f64::from(self.thresholds.stages.max(1));
        let metrics = (Metric::SHARES.len() + Metric::RATIOS.len()) as f64;
        // Half for the tests over all requests, half for those by class and tenant.
        match scope {
            Scope::All => each_stage / 2.0 / metrics,
            _ => each_stage / 2.0 / (Metric::SHARES.len() * MAX_SCOPES) as f64,
        }
    }

    fn allowed(&self, metric: Metric) -> f64 {
        self.thresholds.allowed.get(&metric).copied().unwrap_or(0.0)
    }

    fn describe_regression(&self, scope: &Scope, metric: Metric, test: &MetricTest, low: f64) -> String {
        let certainty = 100.0 * (1.0 - self.alpha(scope));
        let (label, intervals) = (metric.label(), test.sequence.len());
        if metric.is_ratio() {
            return format!(
                "{label}: {:.2} times the old ones' over {intervals} intervals; at least {:.2} times ({certainty:.2} % sure)",
                test.sequence.mean().exp(),
                low.exp()
            );
        }
        let [(old, all_old), (new, all_new)] = test.counts;
        format!(
            "{label}, {scope}: new {:.2} % of {all_new}, old {:.2} % of {all_old} over the same {intervals} intervals; at least {:.2} points more ({certainty:.2} % sure)",
            percent(new, all_new),
            percent(old, all_old),
            100.0 * low
        )
    }

    fn describe_evidence(&self, metric: Metric, test: &MetricTest) -> String {
        let sequence = &test.sequence;
        let describe = |value: f64| {
            if metric.is_ratio() {
                format!("{:.2} times", value.exp())
            } else {
                format!("{:+.2} points", 100.0 * value)
            }
        };
        let sides = if metric.is_ratio() {
            describe(sequence.mean())
        } else {
            let [(old, all_old), (new, all_new)] = test.counts;
            format!(
                "new {:.2} % of {all_new}, old {:.2} % of {all_old}",
                percent(new, all_new),
                percent(old, all_old)
            )
        };
        let certainty = match sequence.bounds(self.alpha(&Scope::All)) {
            Some((low, high)) => format!("between {} and {}", describe(low), describe(high)),
            None => "too few intervals to be sure of anything".into(),
        };
        format!("{}: {sides} over {} intervals; {certainty}", metric.label(), sequence.len())
    }

    /// A balancer of this side that has not reported for too long.
    fn unresponsive(&self, side: Side) -> Option<String> {
        let max = self.thresholds.max_missed_intervals;
        let is_unresponsive = |(name, missed): &(&Name, &u64)| **missed >= max && self.side_of(name) == side;
        let unresponsive = self.missed_intervals.iter().find(is_unresponsive);
        unresponsive.map(|(name, missed)| format!("{name} has told nothing for {missed} intervals"))
    }

    /// A balancer of the new side that reports to serve, and does not.
    fn misreporting(&self) -> Option<(&Name, String)> {
        let mut of_new_side = self.external.iter().filter(|(name, _)| self.side_of(name) == Side::New);
        of_new_side.find_map(|(name, both)| Some((name, self.misreport(both)?)))
    }

    fn misreport(&self, both: &ObservedReports) -> Option<String> {
        let (observed, reported) = (both.observed.total(), both.reported.total());
        if observed < GROSS_REQUESTS || reported == 0 {
            return None;
        }
        let observed_share = both.observed.failed as f64 / observed as f64;
        let reported_share = both.reported.failed as f64 / reported as f64;
        // Sampling alone may make a small difference.
        let variance = (observed_share * (1.0 - observed_share) + 0.01) / observed as f64;
        let noise = MISREPORT_DEVIATIONS * variance.sqrt();
        let is_misreported = observed_share - reported_share > self.thresholds.max_misreported_share + noise;
        is_misreported.then(|| {
            format!("{:.1} % failed, it says {:.1} %", 100.0 * observed_share, 100.0 * reported_share)
        })
    }

    /// Whether the old side does much worse than its baseline.
    pub(crate) fn unusual_old_side(&self) -> Option<String> {
        if self.baseline.len() < MIN_BASELINE_INTERVALS || self.recent.len() < MIN_RECENT_INTERVALS {
            return None;
        }
        let mean = |shares: &VecDeque<f64>| shares.iter().sum::<f64>() / shares.len() as f64;
        let (baseline, recent) = (mean(&self.baseline), mean(&self.recent));
        (recent > baseline * UNUSUAL_MULTIPLE + UNUSUAL_SHARE).then(|| {
            format!(
                "{:.1} % of the old ones' requests fail or are refused, usually {:.1} %",
                100.0 * recent,
                100.0 * baseline
            )
        })
    }
}
