//! The commands of a rollout, and the reasons for which one is rejected.

use maplehook_canary::Side;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// What the analysis of a stage says of it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum StageVerdict {
    /// The stage is not worse.
    Pass,
    /// The stage is worse, for this reason.
    Regression(String),
    /// Both sides have the same fault.
    SharedFault(String),
    /// The shared fault is over.
    Recovered,
    /// There was too little evidence for too long.
    Inconclusive(String),
}

/// A command: an entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Command {
    /// Starts the rollout, or resumes a paused one.
    Proceed {
        /// The step that the author has seen.
        step: u64,
    },
    /// Pauses the rollout, by an operator.
    Pause {
        /// The step that the author has seen.
        step: u64,
    },
    /// Rolls the change back.
    RollBack {
        /// The step that the author has seen.
        step: u64,
        /// The reason, for operators.
        why: String,
    },
    /// A member reports which side it is on.
    ReportSide {
        /// The member.
        name: String,
        /// Its side.
        side: Side,
        /// The latest step that it knows: a member that does not know of a rollback yet may still change.
        known_step: u64,
    },
    /// Applies the verdict on a stage.
    ApplyVerdict {
        /// The step that the author has seen.
        step: u64,
        /// The stage that was analysed.
        stage: usize,
        /// The verdict.
        verdict: StageVerdict,
    },
    /// Gives up waiting for members that have not confirmed the rollback in time.
    GiveUpRollback {
        /// The step that the author has seen.
        step: u64,
    },
}

/// Why a command changes nothing.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, Error)]
pub enum RolloutError {
    /// Another command came first.
    #[error("something else came first: step {step} holds")]
    Stale {
        /// The present step.
        step: u64,
    },
    /// The command is not possible in the present state, whose name this is.
    #[error("not while it is {0}")]
    WrongState(String),
    /// The stage is not changed completely yet.
    #[error("not changed yet: {}", members.join(", "))]
    StageIncomplete {
        /// Members that are not known to be changed.
        members: Vec<String>,
    },
    /// There is no member of this name.
    #[error("there is no balancer {0:?}")]
    UnknownMember(String),
    /// The change cannot be rolled back any more, for this reason.
    #[error("there is no way back: {0}")]
    Irreversible(String),
}
