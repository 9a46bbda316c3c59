//! The language of rules: text to tables, with every fault told by its place.
//!
//! ```text
//! rule booking {
//!   for class "confirm", class "hold-day", tenant "lodge";
//!   prefer own zone > own region within 3ms > region "south" > anywhere;
//!   spill over 80% for 1s, back under 60% for 5s;
//!   spill below 50% usable;
//!   beyond region at most 30%;
//!   never zone "luxor";
//!   when lost refuse;
//! }
//! ```
//!
//! What the example does not say:
//!
//! - Clauses stand in any order, each once at most. Only `prefer` is needed; the others are as in [`Rule`]'s parts where they are not
//!   written: [`Spill::default`], 50 % usable, all beyond the region, no `never`, `when lost refuse`.
//! - `for class A, class B, tenant T` fits a request of A or B (any class if none is listed) that is T's (anybody's if none is).
//! - The rule without `for` is for whomever no other fits, wherever it stands, and is the last of [`Rules`]; there is one at most.
//!   If none is written, [`Rule::near_first`] is added by the name `default`, which no rule with a `for` may bear. It is never
//!   unreachable: it is also for classes and tenants that a request names and nobody knows.
//! - [`MAX_RULES`] counts it, written or added; a rule has [`MAX_STEPS`] steps at the most.
//! - Where a deployment has no class or no tenant by name, the tables have one each.
//! - `own region` has the own zone too if no step before it led there; a step never leads to a zone twice.
//! - A way whose time is not known when a text is compiled may turn out near: no step is called unreachable for it.
//! - A rule's name is a word: a letter or `_`, then letters, digits, `-`, `_`; [`MAX_NAME_CHARS`] at the most. Other names stand in
//!   quotes; in them a backslash stands before a quote or a backslash.
//! - Percentages have four places at most. Times are whole microseconds, in `us`, `ms`, `s` or `m` (minutes): up to
//!   [`MAX_WITHIN`] with `within`, [`MAX_SPILL_DWELL`] with `for`.
//! - `beyond region` and `spill` are no faults where they have nothing to act on: they are bounds, and a zone may come later.
//! - Comments go from `#` to the end of the line. [`format()`] keeps them: one inside a clause moves before it.
//!
//! The pieces are cut by `winnow`; the grammar above them is by hand, since after a fault it goes on at the next clause, and all
//! faults are to be told at once.

pub mod ast;
mod check;
mod clauses;
mod fault;
mod lexer;
mod parser;
mod print;
mod reach;

pub use clauses::{MAX_SPILL_DWELL, MAX_WITHIN};
pub use fault::{Fault, MAX_FAULTS};

use crate::rules::Rules;
#[cfg(doc)]
use crate::rules::{MAX_RULES, Rule, Spill};
use crate::topology::Topology;
use fault::Faults;

/// The most bytes of a text.
pub const MAX_TEXT_BYTES: usize = 64 * 1024;
/// The most characters of a rule's name.
pub const MAX_NAME_CHARS: usize = 64;
/// The most steps of one rule.
pub const MAX_STEPS: usize = 64;

/// The names that a text may use, by position as in the tables.
#[derive(Clone, Copy, Debug)]
pub struct Names<'a> {
    /// Zones and regions. Ways that stand in it are taken as they are: of ways that change, state none.
    pub topology: &'a Topology,
    /// Classes of requests.
    pub classes: &'a [String],
    /// Tenants.
    pub tenants: &'a [String],
}

/// A text as tables, or all of its faults in the order of the text.
pub fn compile(text: &str, names: &Names<'_>) -> Result<Rules, Vec<Fault>> {
    let mut faults = Faults::default();
    let rules = bounded(text, &mut faults).then(|| {
        let parsed = parser::parse(text, &mut faults);
        check::check(&parsed, names, &mut faults)
    });
    match rules {
        Some(rules) if faults.is_empty() => Ok(rules),
        _ => Err(faults.told(text)),
    }
}

/// A text as it is written, or its faults as far as they need no names.
pub fn parse(text: &str) -> Result<ast::Text, Vec<Fault>> {
    let mut faults = Faults::default();
    let parsed = bounded(text, &mut faults).then(|| parser::parse(text, &mut faults).text);
    match parsed {
        Some(parsed) if faults.is_empty() => Ok(parsed),
        _ => Err(faults.told(text)),
    }
}

/// A text in the one way to write it; again, it stays as it is. Names need not exist.
pub fn format(text: &str) -> Result<String, Vec<Fault>> {
    parse(text).map(|parsed| parsed.to_string())
}

fn bounded(text: &str, faults: &mut Faults) -> bool {
    if text.len() > MAX_TEXT_BYTES {
        faults.add(MAX_TEXT_BYTES, || format!("the text has {} bytes; {MAX_TEXT_BYTES} at most", text.len()));
    }
    text.len() <= MAX_TEXT_BYTES
}
