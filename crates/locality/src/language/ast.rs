//! A text as it is written: rules, clauses, comments, and where each stands.

use std::ops::Range;
use std::time::Duration;

/// Something and the bytes where it stands. Two are the same if they say the same, wherever they stand.
#[derive(Clone, Debug)]
pub struct At<T> {
    /// What is said.
    pub node: T,
    /// Where, in bytes of the text.
    pub span: Range<usize>,
}

impl<T: PartialEq> PartialEq for At<T> {
    fn eq(&self, other: &Self) -> bool {
        self.node == other.node
    }
}

/// A share, in millionths: so that what is printed is what was written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Percent(pub u32);

impl Percent {
    /// All.
    pub const WHOLE: Self = Self(1_000_000);

    /// As a share, 0 to 1.
    pub fn share(self) -> f64 {
        f64::from(self.0) / 1e6
    }
}

/// A text.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Text {
    /// Its rules.
    pub rules: Vec<RuleText>,
    /// Comments after the last one.
    pub end: Vec<String>,
}

/// A rule.
#[derive(Clone, Debug, PartialEq)]
pub struct RuleText {
    /// Comments before it.
    pub before: Vec<String>,
    /// Its name.
    pub name: At<String>,
    /// A comment behind its opening brace.
    pub head: Option<String>,
    /// Its clauses; at most one of each kind.
    pub clauses: Vec<ClauseText>,
    /// Comments behind its last clause.
    pub end: Vec<String>,
    /// A comment behind its closing brace.
    pub after: Option<String>,
}

/// A clause.
#[derive(Clone, Debug, PartialEq)]
pub struct ClauseText {
    /// Comments before it, and those that stood inside it.
    pub before: Vec<String>,
    /// What it says.
    pub clause: At<Clause>,
    /// A comment behind it on the same line.
    pub after: Option<String>,
}

/// What a clause says.
#[derive(Clone, Debug, PartialEq)]
pub enum Clause {
    /// `for class "x", tenant "y"`
    For(Vec<At<Subject>>),
    /// `prefer own zone > anywhere`
    Prefer(Vec<At<StepText>>),
    /// `spill over 80% for 1s, back under 60% for 5s`
    SpillOver(Over),
    /// `spill below 50% usable`
    SpillBelow(At<Percent>),
    /// `beyond region at most 30%`
    Beyond(At<Percent>),
    /// `never zone "a", region "b"`
    Never(Vec<At<Named>>),
    /// `when lost refuse`: whether anywhere is meant.
    WhenLost(bool),
}

impl Clause {
    /// Kinds are printed in the order of these numbers.
    pub fn kind(&self) -> usize {
        match self {
            Self::For(_) => 0,
            Self::Prefer(_) => 1,
            Self::SpillOver(_) => 2,
            Self::SpillBelow(_) => 3,
            Self::Beyond(_) => 4,
            Self::Never(_) => 5,
            Self::WhenLost(_) => 6,
        }
    }

    /// By what words each kind begins.
    pub const WORDS: [&str; 7] =
        ["for", "prefer", "spill over", "spill below", "beyond region", "never", "when lost"];
}

/// Whom a rule is for.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Subject {
    /// A class by name.
    Class(String),
    /// A tenant by name.
    Tenant(String),
}

/// A place by name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Named {
    /// A zone.
    Zone(String),
    /// A region.
    Region(String),
}

/// Where a step leads.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlaceText {
    /// `own zone`
    OwnZone,
    /// `own region`
    OwnRegion,
    /// `zone "a"`, `region "b"`
    Named(Named),
    /// `anywhere`
    Anywhere,
}

/// A step of `prefer`.
#[derive(Clone, Debug, PartialEq)]
pub struct StepText {
    /// Where it leads.
    pub place: PlaceText,
    /// How far at the most, there and back.
    pub within: Option<At<Duration>>,
}

/// `spill over`.
#[derive(Clone, Debug, PartialEq)]
pub struct Over {
    /// Load over which it begins.
    pub over: At<Percent>,
    /// For how long.
    pub over_for: At<Duration>,
    /// Load under which it ends.
    pub back: At<Percent>,
    /// For how long.
    pub back_for: At<Duration>,
}

impl<T> At<T> {
    /// Something that stands nowhere, for texts that are made and not read.
    pub fn nowhere(node: T) -> Self {
        Self { node, span: 0..0 }
    }
}
