//! Canary analysis of a staged rollout: do the changed balancers do worse than the unchanged ones over the *same* time?
//!
//! [`IntervalReport`] is what one balancer counted in one interval, bounded in bytes. [`Judge`] takes the reports of both sides,
//! interval by interval, and gives a [`Verdict`] at any moment: each [`Metric`] is a [`ConfidenceSequence`] over the differences
//! between the sides, within limits that [`Thresholds`] states. Nothing here has I/O or a clock; the judge of a running stage is
//! owned by the rollout agent of the leader. `docs/design/rollout.md` has the options that were weighed.

#![deny(
    missing_docs,
    clippy::too_many_lines,
    clippy::cognitive_complexity,
    clippy::missing_errors_doc,
    clippy::result_large_err
)]
#![cfg_attr(not(test), deny(clippy::unwrap_used))]

pub mod confidence_sequence;
pub mod judge;
pub mod report;
mod request_counts;
mod scope;
mod stratification;
pub mod thresholds;
mod verdict;

pub use confidence_sequence::ConfidenceSequence;
pub use judge::Judge;
pub use report::{IntervalReport, RequestCounts, RequestGroup, Side};
pub use thresholds::{Metric, Thresholds, Verdict};
