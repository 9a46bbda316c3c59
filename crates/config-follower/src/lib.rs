//! Lets a program that embeds the engine follow the versions of a cluster, as a member that does not vote.
//!
//! [`start`] reads an operator's file with `[tier]` and `[agreement]`, and starts an engine with the file's rules, read conservatively
//! until the active version is known. From then on the engine follows that version. The file is a complete one, but the program does
//! not listen at its `listen.address`. [`Follower::active_rules`] has the rules by which request heads are classified now; a request
//! keeps the ids under which it was classified. `docs/AGREEMENT.md` has the rest.

#![deny(
    missing_docs,
    clippy::too_many_lines,
    clippy::cognitive_complexity,
    clippy::missing_errors_doc,
    clippy::result_large_err
)]
#![cfg_attr(not(test), deny(clippy::unwrap_used))]

mod engine_lease;
mod error;
mod follower;
mod task;

pub use engine_lease::engine_lease;
pub use error::FollowError;
pub use follower::{Follower, start};
pub use task::ActiveRules;
