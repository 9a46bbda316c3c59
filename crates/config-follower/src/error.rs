//! Errors of starting a follower.

use maplehook::StartError as EngineStartError;
use maplehook_config::Faults;
use maplehook_consensus::{JoinError, StartError};
use std::io;

/// Why a follower does not start.
#[derive(Debug, thiserror::Error)]
pub enum FollowError {
    /// The file is invalid.
    #[error(transparent)]
    File(Faults),
    /// The file lacks a part that a follower needs.
    #[error("the file has no {0}")]
    Missing(&'static str),
    /// The engine does not start.
    #[error(transparent)]
    Engine(EngineStartError),
    /// The member does not join the cluster.
    #[error(transparent)]
    Join(#[from] JoinError),
    /// The consensus service does not start.
    #[error(transparent)]
    Consensus(#[from] StartError),
    /// The follower's thread or its runtime can't be created.
    #[error(transparent)]
    Thread(#[from] io::Error),
}
