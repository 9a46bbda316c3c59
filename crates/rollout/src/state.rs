//! The states of a rollout, and the events that operators read.

use serde::{Deserialize, Serialize};

/// The state of a rollout.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RolloutState {
    /// It has not started.
    Planned,
    /// The members of this stage are being changed and watched.
    Running(usize),
    /// It waits at a stage: for an operator, or for a fault of both sides to end.
    Paused {
        /// The stage.
        stage: usize,
        /// The reason.
        why: String,
        /// Whether only an operator can resume it.
        by_operator: bool,
    },
    /// All members are going back.
    RollingBack {
        /// The reason.
        why: String,
    },
    /// All members are as before.
    RolledBack {
        /// The reason.
        why: String,
    },
    /// All members are changed, but for those that were out of reach.
    Completed,
    /// Some members are not known to be as before.
    RollbackFailed {
        /// The reason of the rollback.
        why: String,
        /// Those members.
        members: Vec<String>,
    },
}

impl RolloutState {
    /// Its name, as operators read it.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Planned => "planned",
            Self::Running(_) => "running",
            Self::Paused { .. } => "held",
            Self::RollingBack { .. } => "undoing",
            Self::RolledBack { .. } => "undone",
            Self::Completed => "done",
            Self::RollbackFailed { .. } => "failed to undo",
        }
    }

    /// Whether another rollout may start.
    pub fn is_over(&self) -> bool {
        matches!(self, Self::RolledBack { .. } | Self::Completed)
    }
}

/// An event in the history of a rollout.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RolloutEvent {
    /// The step that it led to.
    pub step: u64,
    /// What happened, for operators.
    pub text: String,
}
