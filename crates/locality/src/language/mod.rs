//! Rule language: compiles a text to [`Rules`] and reports each error with its line and column.
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
//! Further rules of the language:
//!
//! - Clauses appear in any order, each at most once. Only `prefer` is required. Defaults of the others:
//!   [`Spill::default`], 50 % usable, no limit beyond the region, no `never`, `when lost refuse`.
//! - `for class A, class B, tenant T` matches requests of class A or B and of tenant T. Without a listed
//!   class, all classes match; without a listed tenant, all tenants match. The first rule that matches a
//!   request applies.
//! - The rule without `for` is the default rule. It applies to requests that no other rule matches, may stand
//!   anywhere in the text, and is the last of [`Rules`]. A text has at most one. If it has none,
//!   [`Rule::near_first`] is added under the name `default`, which no rule with a `for` may have. The default
//!   rule is never reported as unused, because it also applies to requests with an unknown class or tenant.
//! - [`MAX_RULES`] includes the default rule, even one that was added. A rule has at most [`MAX_STEPS`]
//!   steps.
//! - If a deployment has no classes or no tenants, the table has a single row or column for them.
//! - `own region` includes the own zone unless an earlier step uses it. No step uses a zone that an earlier
//!   one uses.
//! - A zone whose round-trip time is unknown at compile time may turn out to be near, so a step with
//!   such a zone is not reported as having no effect.
//! - A rule's name consists of a letter or `_`, then letters, digits, `-` and `_`, with at most
//!   [`MAX_NAME_CHARS`] characters. Other names are quoted; in quotes, a backslash escapes a quote or a
//!   backslash.
//! - Percentages have at most four decimal places. Times are whole microseconds in `us`, `ms`, `s` or `m`
//!   (minutes), up to [`MAX_WITHIN`] after `within` and [`MAX_SPILL_DWELL`] after `for`.
//! - `beyond region` and `spill` are accepted where they have no effect: they are limits, and zones may be
//!   added later.
//! - A comment extends from `#` to the end of the line. [`format()`] preserves comments and moves those
//!   inside a clause before it.
//!
//! Tokens are split with `winnow`. The grammar is a hand-written parser, because after an error the parser
//! has to go on at the next clause and report all errors at once.

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

/// Maximum length of a text, in bytes.
pub const MAX_TEXT_BYTES: usize = 64 * 1024;
/// Maximum length of a rule's name, in characters.
pub const MAX_NAME_CHARS: usize = 64;
/// Maximum number of steps in one rule.
pub const MAX_STEPS: usize = 64;

/// Names that a text may use. Their order determines the indices in [`Rules`].
#[derive(Clone, Copy, Debug)]
pub struct Names<'a> {
    /// Zones and regions. Include only round-trip times that do not change later: the compiler uses them
    /// to find steps without effect.
    pub topology: &'a Topology,
    /// Names of the request classes.
    pub classes: &'a [String],
    /// Names of the tenants.
    pub tenants: &'a [String],
}

/// Compiles a text to rules, or returns all of its errors in the order of the text.
pub fn compile(text: &str, names: &Names<'_>) -> Result<Rules, Vec<Fault>> {
    let mut faults = Faults::default();
    let rules = check_length(text, &mut faults).then(|| {
        let parsed = parser::parse(text, &mut faults);
        check::check(&parsed, names, &mut faults)
    });
    match rules {
        Some(rules) if faults.is_empty() => Ok(rules),
        _ => Err(faults.into_list(text)),
    }
}

/// Parses a text to its syntax tree, or returns its syntax errors. Names are not resolved.
pub fn parse(text: &str) -> Result<ast::Text, Vec<Fault>> {
    let mut faults = Faults::default();
    let parsed = check_length(text, &mut faults).then(|| parser::parse(text, &mut faults).text);
    match parsed {
        Some(parsed) if faults.is_empty() => Ok(parsed),
        _ => Err(faults.into_list(text)),
    }
}

/// Formats a text in the standard layout. Formatting the result again does not change it. Names are not
/// resolved.
pub fn format(text: &str) -> Result<String, Vec<Fault>> {
    parse(text).map(|parsed| parsed.to_string())
}

fn check_length(text: &str, faults: &mut Faults) -> bool {
    if text.len() > MAX_TEXT_BYTES {
        faults.add(MAX_TEXT_BYTES, || {
            format!("the text has {} bytes, but at most {MAX_TEXT_BYTES} are allowed", text.len())
        });
    }
    text.len() <= MAX_TEXT_BYTES
}
