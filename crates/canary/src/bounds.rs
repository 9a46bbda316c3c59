//! What is compared, what counts as worse, and what a stage comes to.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

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
    pub(crate) const SHARES: [Self; 4] = [Self::Failed, Self::Refused, Self::Late, Self::Slow];
    pub(crate) const RATIOS: [Self; 3] = [Self::Cpu, Self::Memory, Self::Descriptors];

    pub(crate) fn words(self) -> &'static str {
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
