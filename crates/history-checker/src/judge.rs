//! The rules that a history is held to. Each is a pure function over it.
//!
//! A history comes sorted by time, as [`crate::file::read`] and [`crate::file::merge`] give it.

mod announce;
mod contradict;
mod epochs;
mod facts;
mod load;
mod near;
mod requests;
mod spans;
mod swings;
mod tally;

use crate::file::History;

/// Something that should not have been.
#[derive(Clone, Debug, PartialEq)]
pub struct Breach {
    /// The name of the rule, as in [`RULES`].
    pub rule: &'static str,
    /// From when, in microseconds of the history's clock.
    pub at_us: u64,
    /// Until when.
    pub until_us: u64,
    /// What, for people.
    pub what: String,
    /// The records that show it, by their places in the history.
    pub records: Vec<usize>,
}

/// What a rule found.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Finding {
    /// How many things it could judge: none means that the history says nothing of this rule.
    pub judged: u64,
    /// In order of time.
    pub breaches: Vec<Breach>,
}

/// A rule.
#[derive(Clone, Copy, Debug)]
pub struct Rule {
    /// Its name.
    pub name: &'static str,
    /// What it wants.
    pub wants: &'static str,
    /// Whether a breach stands on a number of records, of which some may be left out.
    pub counts: bool,
    /// Holds a history to it.
    pub judge: fn(&History) -> Finding,
}

/// All rules.
pub const RULES: [Rule; 11] = [
    rule("epochs", "plans' epochs are linearizable", false, epochs::judge),
    rule(
        "contradict",
        "no two plans that contradict are acted on together for longer than allowed",
        false,
        contradict::judge,
    ),
    rule("one", "an address of one site has one announcer at the most", false, announce::one),
    rule("gap", "somebody announces while a site is healthy", false, announce::gap),
    rule("withdrawn", "a site that has nothing left withdraws in time", false, announce::withdrawn),
    rule("near", "requests stay near while that is safe", false, near::judge),
    rule("load", "no zone is over its room by spill", true, load::judge),
    rule("swings", "a zone's share does not swing", true, swings::judge),
    rule("lost", "each request ends once, in time, and none is lost", false, requests::lost),
    rule("twice", "nothing that must run once runs twice", false, requests::twice),
    rule("drains", "an upstream that drains gets nothing new", false, requests::drains),
];

const fn rule(name: &'static str, wants: &'static str, counts: bool, judge: fn(&History) -> Finding) -> Rule {
    Rule { name, wants, counts, judge }
}

/// The rule of a name.
pub fn named(name: &str) -> Option<&'static Rule> {
    RULES.iter().find(|rule| rule.name == name)
}

/// All breaches, in order of the rules and then of time.
pub fn judge(history: &History) -> Vec<Breach> {
    RULES.iter().flat_map(|rule| (rule.judge)(history).breaches).collect()
}
