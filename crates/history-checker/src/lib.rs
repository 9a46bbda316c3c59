//! Histories of many processes as files, and a judge that reads them afterwards, without the run.
//!
//! [`record`] is the schema, [`file`](mod@file) reads, writes and merges, [`judge`](mod@judge) holds a history to its rules, [`shrink`](mod@shrink)
//! finds the shortest part that still breaks one, [`report`](mod@report) is what a command prints. `docs/design/places.md` has the reasons.

pub mod file;
pub mod judge;
pub mod record;
pub mod report;
pub mod shrink;

pub use file::{Fault, History, Part, merge, read, read_part, write};
pub use judge::{Breach, Finding, RULES, Rule, judge};
pub use record::{Header, Outcome, Record, SCHEMA, What};
pub use report::report;
pub use shrink::shrink;
