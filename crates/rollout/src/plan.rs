//! The plan of a rollout: what changes, in which stages, and what is tolerated.

use maplehook_canary::Thresholds;
use serde::{Deserialize, Serialize};
use std::path::PathBuf;
use std::time::Duration;

pub use crate::plan_file::parse;

/// What a rollout changes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// The shared sections of this operator's file.
    Settings(PathBuf),
    /// The program at this path.
    Program(PathBuf),
}

/// The members of a stage.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum StageMembers {
    /// A share of all members, spread over the zones. Above 0, up to 1.
    Share(f64),
    /// The members of these names, and all of the stages before.
    Names(Vec<String>),
}

/// A stage.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Stage {
    /// Its members.
    pub members: StageMembers,
    /// For how long it is watched at the least.
    pub min_duration: Duration,
    /// Requests at its changed members without which it does not pass.
    pub min_requests: u64,
}

/// What happens to a stage with too little evidence for too long.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum InconclusivePolicy {
    /// It waits for an operator.
    Pause,
    /// The change is rolled back.
    RollBack,
}

/// What a changed member does that has lost contact with the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LostContactPolicy {
    /// It rolls back by itself: nobody judges it any more.
    RollBack,
    /// It stays changed.
    Stay,
}

/// A plan.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// What changes.
    pub change: Change,
    /// The stages; the last one is everybody.
    pub stages: Vec<Stage>,
    /// Differences between changed and unchanged members that are tolerated.
    pub thresholds: Thresholds,
    /// What happens to a stage with too little evidence.
    pub inconclusive_policy: InconclusivePolicy,
    /// After this time.
    pub inconclusive_after: Duration,
    /// What a changed member does that has lost contact with the leader.
    pub lost_contact_policy: LostContactPolicy,
    /// After this time.
    pub lost_contact_after: Duration,
    /// Interval over which each member counts what it reports.
    pub report_interval: Duration,
    /// Share of a zone's members that may be out of service at once.
    pub max_zone_share: f64,
    /// Share of a stage's members that may be out of reach.
    pub max_missing_share: f64,
}
