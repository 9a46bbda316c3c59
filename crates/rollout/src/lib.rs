//! A staged rollout of a change of settings or of the program: its plan, which member is in which stage, and its state.
//!
//! [`plan`] has the plan and the parser of its file, [`order`] says which members are in which stage and which of them may be changed
//! now, [`Rollout`] is the state machine that all voters apply alike: its [`Command`]s are entries of their log. Nothing here has I/O
//! or a clock; the state is owned by the replicated log, and the rollout agent of the leader proposes the commands.
//! `docs/design/rollout.md` has the options that were weighed.

#![deny(
    missing_docs,
    clippy::too_many_lines,
    clippy::cognitive_complexity,
    clippy::missing_errors_doc,
    clippy::result_large_err
)]
#![cfg_attr(not(test), deny(clippy::unwrap_used))]

pub mod command;
pub mod order;
pub mod plan;
mod plan_file;
pub mod rollout;
pub mod state;

pub use command::{Command, RolloutError, StageVerdict};
pub use order::{StageOrder, UnknownMemberError};
pub use plan::{Change, Plan, Stage};
pub use rollout::{Rollout, side_without_leader};
pub use state::RolloutState;
