//! Syntax tree of the rule language: rules, clauses and comments, with their positions in the text.

use std::ops::Range;
use std::time::Duration;

/// A syntax node with its byte range. Equality ignores the byte range.
#[derive(Clone, Debug)]
pub struct Spanned<T> {
    /// Syntax node.
    pub node: T,
    /// Byte range of the node in the text.
    pub span: Range<usize>,
}

impl<T: PartialEq> PartialEq for Spanned<T> {
    fn eq(&self, other: &Self) -> bool {
        self.node == other.node
    }
}

/// A percentage in millionths of the total, so that the printed value equals the written one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Percent(pub u32);

impl Percent {
    /// 100 %.
    pub const HUNDRED: Self = Self(1_000_000);

    /// Returns the percentage as a share, 0 to 1.
    pub fn share(self) -> f64 {
        f64::from(self.0) / 1e6
    }
}

/// Syntax tree of a complete text.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Text {
    /// Rules in the order of the text.
    pub rules: Vec<RuleSyntax>,
    /// Comments after the last rule, without `#`.
    pub comments_at_end: Vec<String>,
}

/// Syntax of one rule, with its comments.
#[derive(Clone, Debug, PartialEq)]
pub struct RuleSyntax {
    /// Comments before the rule.
    pub comments_before: Vec<String>,
    /// Name of the rule.
    pub name: Spanned<String>,
    /// Comment on the line of the opening brace.
    pub opening_comment: Option<String>,
    /// Clauses in the order of the text, at most one of each kind.
    pub clauses: Vec<ClauseSyntax>,
    /// Comments between the last clause and the closing brace.
    pub comments_at_end: Vec<String>,
    /// Comment on the line of the closing brace.
    pub comment_after: Option<String>,
}

/// Syntax of one clause, with its comments.
#[derive(Clone, Debug, PartialEq)]
pub struct ClauseSyntax {
    /// Comments before the clause, and comments moved out of it.
    pub comments_before: Vec<String>,
    /// Content of the clause, without its comments.
    pub clause: Spanned<Clause>,
    /// Comment after the clause, on the same line.
    pub comment_after: Option<String>,
}

/// Content of a clause.
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
    BeyondRegion(Spanned<Percent>),
    /// `never zone "a", region "b"`
    Never(Vec<Spanned<NamedLocality>>),
    /// `when lost refuse` (false) or `when lost anywhere` (true).
    WhenLost(bool),
}

impl Clause {
    /// Returns the number of the clause's kind. Clauses are printed in this order.
    pub fn kind(&self) -> usize {
        match self {
            Self::For(_) => 0,
            Self::Prefer(_) => 1,
            Self::SpillOver(_) => 2,
            Self::SpillBelow(_) => 3,
            Self::BeyondRegion(_) => 4,
            Self::Never(_) => 5,
            Self::WhenLost(_) => 6,
        }
    }

    /// Leading keywords of each kind of clause, indexed by [`Self::kind`].
    pub const KEYWORDS: [&str; 7] =
        ["for", "prefer", "spill over", "spill below", "beyond region", "never", "when lost"];
}

/// Class or tenant that a rule applies to.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Subject {
    /// Name of a class.
    Class(String),
    /// Name of a tenant.
    Tenant(String),
}

/// Zone or region given by name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum NamedLocality {
    /// Name of a zone.
    Zone(String),
    /// Name of a region.
    Region(String),
}

/// Syntax of a step's target.
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

/// Syntax of one step of a `prefer` clause.
#[derive(Clone, Debug, PartialEq)]
pub struct StepSyntax {
    /// Zones that the step sends requests to.
    pub target: TargetSyntax,
    /// Maximum round-trip time to a zone.
    pub within: Option<Spanned<Duration>>,
}

/// Content of a `spill over` clause.
#[derive(Clone, Debug, PartialEq)]
pub struct SpillThresholds {
    /// Load above which spilling begins.
    pub over: Spanned<Percent>,
    /// Time for which the load has to stay above `over`.
    pub over_for: Spanned<Duration>,
    /// Load below which spilling ends.
    pub back: Spanned<Percent>,
    /// Time for which the load has to stay below `back`.
    pub back_for: Spanned<Duration>,
}

impl<T> Spanned<T> {
    /// Creates a node with an empty byte range, for syntax trees that are not parsed from a text.
    pub fn unspanned(node: T) -> Self {
        Self { node, span: 0..0 }
    }
}
