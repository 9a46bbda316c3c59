//! Rollout agent: applies new settings or a new program to some balancers first, and to the others once the
//! first are not worse.
//!
//! [`Agent`] runs its own thread. It reports request outcomes while a change runs and publishes the target
//! side of this balancer. On the leader, it applies [`maplehook_rollout::Command`]s to the agreed
//! [`Document`] and proposes the result by compare-and-set. The modules [`document`], [`staged_settings`],
//! [`evaluation`], [`leader`] and [`member`] perform no I/O. Design alternatives are described in
//! `docs/design/rollout.md`.

pub mod agent;
pub mod document;
pub mod evaluation;
#[cfg(test)]
mod golden_tests;
pub mod leader;
pub mod member;
pub mod messages;
mod messaging;
mod process_usage;
mod proposals;
mod runner;
pub mod staged_settings;
pub mod status;
pub mod status_board;

pub use agent::{Agent, AppliedSide, Link, Setup, StagedSettings};
pub use document::{Change, Content, Document};
pub use member::MemberTarget;
pub use status_board::StatusBoard;
