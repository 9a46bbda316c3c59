//! A balancer's part in changes in stages: settings or a program that go to some first, and to the others once those do not do worse.
//!
//! [`Taking`] is a thread of its own: it reports what became of requests while a change runs, says by what to act here, and, at the
//! leader, plays [`maplehook_rollout::Command`]s on the agreed [`Document`] and puts what comes of it by compare-and-set. Pure are
//! [`document`], [`parts`] (what of settings may differ between stages), [`judging`], [`lead`] and [`member`];
//! `docs/design/rollout.md` has the options that were weighed.

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
