//! What is compared between the two sides, which differences are tolerated, and what an analysis concludes.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// A metric that is compared between the two sides.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Metric {
    /// Failed requests, as a share of all.
    Failed,
    /// Rejected requests, as a share of all.
    Rejected,
    /// Requests served after their latency objective, as a share of the served ones.
    Late,
    /// Requests slower than the 95th percentile of the old side just before, as a share of the served ones.
    Slow,
    /// Processor time a request, as a ratio.
    Cpu,
    /// Memory, as a ratio.
    Memory,
    /// Open descriptors, as a ratio.
    Descriptors,
}

impl Metric {
    /// All metrics, with the keys by which a plan names them.
    pub const ALL: [(&str, Self); 7] = [
        ("failed", Self::Failed),
        ("refused", Self::Rejected),
        ("late", Self::Late),
        ("slow", Self::Slow),
        ("cpu", Self::Cpu),
        ("memory", Self::Memory),
        ("descriptors", Self::Descriptors),
    ];
    pub(crate) const SHARES: [Self; 4] = [Self::Failed, Self::Rejected, Self::Late, Self::Slow];
    pub(crate) const RATIOS: [Self; 3] = [Self::Cpu, Self::Memory, Self::Descriptors];

    /// Whether it is a ratio of two amounts, of which the logarithm is compared; any other is a share.
    pub(crate) fn is_ratio(self) -> bool {
        Self::RATIOS.contains(&self)
    }

    /// How operators read it.
    pub(crate) fn label(self) -> &'static str {
        match self {
            Self::Failed => "failed",
            Self::Rejected => "refused",
            Self::Late => "served late",
            Self::Slow => "slow",
            Self::Cpu => "processor's time a request",
            Self::Memory => "memory",
            Self::Descriptors => "descriptors",
        }
    }
}

/// Differences between the sides that are tolerated, and how sure a conclusion has to be.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Thresholds {
    /// How much worse a metric may be while the stage goes on: a difference of shares, or the logarithm of a ratio.
    pub allowed: BTreeMap<Metric, f64>,
    /// A difference of shares so large that three intervals in a row stop the stage without a longer look.
    pub gross: f64,
    /// Rate of false stops over the whole rollout. Above 0, below 1.
    pub false_stop_rate: f64,
    /// Number of stages that share that rate.
    pub stages: u32,
    /// Intervals without a report after which a balancer counts as unresponsive.
    pub max_missed_intervals: u64,
    /// Difference between the failures that a balancer reports and those that its clients see, as a share, above which its reports
    /// are not believed.
    pub max_misreported_share: f64,
}

impl Default for Thresholds {
    fn default() -> Self {
        use Metric::{Cpu, Descriptors, Failed, Late, Memory, Rejected, Slow};
        let allowed = [
            (Failed, 0.005),
            (Rejected, 0.02),
            (Late, 0.02),
            (Slow, 0.05),
            (Cpu, 0.2),
            (Memory, 0.4),
            (Descriptors, 0.7),
        ];
        Self {
            allowed: allowed.into_iter().collect(),
            gross: 0.25,
            false_stop_rate: 0.01,
            stages: 4,
            max_missed_intervals: 5,
            max_misreported_share: 0.05,
        }
    }
}

/// What the analysis of a stage concludes so far.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// There is too little evidence; the text says what is missing.
    Inconclusive(String),
    /// The new side is not worse by more than is allowed, as sure as the thresholds demand.
    Pass,
    /// The new side is worse; the text says in what, where, and how sure that is.
    Regression(String),
    /// Both sides do badly, or the old side is unresponsive: the change is not blamed, and the stage waits.
    SharedFault(String),
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Inconclusive(why) => write!(f, "too little to say: {why}"),
            Self::Pass => f.write_str("not worse by more than is allowed"),
            Self::Regression(why) => write!(f, "worse: {why}"),
            Self::SharedFault(why) => write!(f, "trouble on both sides: {why}"),
        }
    }
}
