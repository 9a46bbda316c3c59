//! Does a stage do worse? Old and new balancers over the *same* time, from what each counts.
//!
//! [`report`] is what a balancer tells of an interval, bounded in bytes; [`sequence`] a confidence sequence over differences between
//! the sides, good at whatever moment it is looked at; [`judge`] puts them together. `docs/design/rollout.md` has the options that
//! were weighed.

pub mod bounds;
mod ending;
pub mod judge;
pub mod report;
pub mod sequence;
mod strata;

pub use bounds::{Bounds, Measure, Verdict};
pub use judge::Judge;
pub use report::{Cell, Key, Report, Side};
