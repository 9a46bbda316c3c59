//! A text as it is written: rules, clauses, comments, and where each stands.

use std::ops::Range;
use std::time::Duration;

/// Something and the bytes where it stands. Two are the same if they say the same, wherever they stand.
#[derive(Clone, Debug)]
pub struct Spanned<T> {
    /// What is said.
    pub node: T,
    /// Where, in bytes of the text.
    pub span: Range<usize>,
}

impl<T: PartialEq> PartialEq for Spanned<T> {
    fn eq(&self, other: &Self) -> bool {
        self.node == other.node
    }
}

/// A share, in millionths: so that what is printed is what was written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Percent(pub u32);

impl Percent {
    /// All.
    pub const HUNDRED: Self = Self(1_000_000);

    /// As a share, 0 to 1.
    pub fn share(self) -> f64 {
        f64::from(self.0) / 1e6
    }
}

/// A text.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Text {
    /// Its rules.
    pub rules: Vec<RuleSyntax>,
    /// Comments after the last one.
    pub end: Vec<String>,
}

/// A rule.
#[derive(Clone, Debug, PartialEq)]
pub struct RuleSyntax {
    /// Comments before it.
    pub before: Vec<String>,
    /// Its name.
    pub name: Spanned<String>,
    /// A comment behind its opening brace.
    pub head: Option<String>,
    /// Its clauses; at most one of each kind.
    pub clauses: Vec<ClauseSyntax>,
    /// Comments behind its last clause.
    pub end: Vec<String>,
    /// A comment behind its closing brace.
    pub after: Option<String>,
}

/// A clause.
#[derive(Clone, Debug, PartialEq)]
pub struct ClauseSyntax {
    /// Comments before it, and those that stood inside it.
    pub before: Vec<String>,
    /// What it says.
    pub clause: Spanned<Clause>,
    /// A comment behind it on the same line.
    pub after: Option<String>,
}

/// What a clause says.
#[derive(Clone, Debug, PartialEq)]
pub enum Clause {
    /// `for class "x", tenant "y"`
    For(Vec<Spanned<Subject>>),
    /// `prefer own zone > anywhere`
    Prefer(Vec<Spanned<StepSyntax>>),
    /// `spill over 80% for 1s, back under 60% for 5s`
    SpillOver(SpillThresholds),
    /// `spill below 50% usable`
    SpillBelow(Spanned<Percent>),
    /// `beyond region at most 30%`
    Beyond(Spanned<Percent>),
    /// `never zone "a", region "b"`
    Never(Vec<Spanned<NamedLocality>>),
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
    pub const KEYWORDS: [&str; 7] =
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
pub enum NamedLocality {
    /// A zone.
    Zone(String),
    /// A region.
    Region(String),
}

/// Where a step leads.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TargetSyntax {
    /// `own zone`
    OwnZone,
    /// `own region`
    OwnRegion,
    /// `zone "a"`, `region "b"`
    Named(NamedLocality),
    /// `anywhere`
    Anywhere,
}

/// A step of `prefer`.
#[derive(Clone, Debug, PartialEq)]
pub struct StepSyntax {
    /// Where it leads.
    pub target: TargetSyntax,
    /// How far at the most, there and back.
    pub within: Option<Spanned<Duration>>,
}

/// `spill over`.
#[derive(Clone, Debug, PartialEq)]
pub struct SpillThresholds {
    /// Load over which it begins.
    pub over: Spanned<Percent>,
    /// For how long.
    pub over_for: Spanned<Duration>,
    /// Load under which it ends.
    pub back: Spanned<Percent>,
    /// For how long.
    pub back_for: Spanned<Duration>,
}

impl<T> Spanned<T> {
    /// Something that stands nowhere, for texts that are made and not read.
    pub fn unspanned(node: T) -> Self {
        Self { node, span: 0..0 }
    }
}
