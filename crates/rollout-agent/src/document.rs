//! Rollout part of the shared document.

use maplehook_canary::IntervalReport;
use maplehook_consensus::MAX_PART_BYTES;
use maplehook_rollout::{Rollout, RolloutState};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Maximum size of a settings text in bytes; with all other fields it fits into the document part.
pub const MAX_SETTINGS_BYTES: usize = 128 << 10;
/// Maximum number of past changes in the document.
const MAX_PAST_CHANGES: usize = 16;
/// Maximum number of evidence lines that the document stores per stage.
pub(crate) const MAX_EVIDENCE_LINES: usize = 8;

/// Content of a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Content {
    /// Shared sections of an operator's settings file.
    Settings {
        /// Text of the shared sections.
        text: String,
        /// Version that stays in force during the rollout.
        #[serde(rename = "rests_on")]
        base_version: u64,
    },
    /// Another version of the program.
    Program {
        /// File path of the program.
        path: String,
        /// SHA-256 of the program file in hexadecimal.
        digest: String,
    },
}

/// Record of a stage that has begun.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StageRecord {
    /// Stage index, starting at 0.
    pub stage: usize,
    /// Start of the stage in Unix milliseconds.
    pub since_ms: u64,
    /// End of the stage in Unix milliseconds; `None` while it runs.
    pub until_ms: Option<u64>,
    /// Evidence at the end of the stage, one line per measure.
    pub evidence: Vec<String>,
    /// Readable verdict; empty while the stage runs.
    pub verdict: String,
}

/// The running or most recent change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Rollout plan and state.
    pub rollout: Rollout,
    /// Content of the change.
    pub content: Content,
    /// Balancer at which an operator started the change.
    pub by: String,
    /// Start of the change in Unix milliseconds.
    #[serde(rename = "at_ms")]
    pub started_at_ms: u64,
    /// Records of the stages that have begun.
    #[serde(rename = "watched")]
    pub stage_records: Vec<StageRecord>,
    /// Report of the old side from just before the last stage, which has no old side to compare with.
    #[serde(rename = "before")]
    pub baseline: Option<IntervalReport>,
    /// Balancers that may restart, or have restarted, with the new program.
    pub released: BTreeSet<String>,
    /// Version number of the completed settings.
    pub version: Option<u64>,
}

impl Change {
    /// Returns true while no other change may begin.
    pub fn is_active(&self) -> bool {
        let is_settings = matches!(self.content, Content::Settings { .. });
        let awaits_version =
            is_settings && self.rollout.state == RolloutState::Completed && self.version.is_none();
        awaits_version || !self.rollout.state.is_over()
    }

    /// Returns true if a stage contains all balancers, so that none are left for comparison.
    pub fn stage_has_all_members(&self, stage: usize) -> bool {
        self.rollout.order.stage(stage).len() == self.rollout.order.members().len()
    }
}

/// A change that has ended or was replaced by a newer one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PastChange {
    /// Number of the change.
    pub number: u64,
    /// Start of the change in Unix milliseconds.
    #[serde(rename = "at_ms")]
    pub started_at_ms: u64,
    /// Balancer at which the change was started.
    pub by: String,
    /// Readable content of the change.
    #[serde(rename = "what")]
    pub content: String,
    /// Readable final state.
    #[serde(rename = "ended")]
    pub outcome: String,
}

/// Rollout state that the balancers agree on.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Document {
    /// Number of the newest change.
    pub number: u64,
    /// The running or most recent change.
    pub change: Option<Change>,
    /// Earlier changes, the newest last.
    pub past: Vec<PastChange>,
}

impl Document {
    /// Encodes the document for the log; fails if the document is too long.
    pub fn encode(&self) -> Result<Vec<u8>, String> {
        let bytes = postcard::to_allocvec(self).map_err(|e| e.to_string())?;
        if bytes.len() > MAX_PART_BYTES {
            return Err(format!(
                "{} bytes are more than the {MAX_PART_BYTES} that may be agreed on",
                bytes.len()
            ));
        }
        Ok(bytes)
    }

    /// Decodes a document from the log; `None` if it is malformed or comes from a newer program.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }

    /// Starts a change and moves the previous change to the past changes.
    pub fn begin(&mut self, change: Change) {
        self.number = change.rollout.number;
        if let Some(previous) = self.change.replace(change) {
            self.past.push(to_past(&previous));
        }
        let excess = self.past.len().saturating_sub(MAX_PAST_CHANGES);
        self.past.drain(..excess);
    }

    /// Returns all changes including the running one, the newest last.
    pub fn history(&self) -> Vec<PastChange> {
        self.past.iter().cloned().chain(self.change.as_ref().map(to_past)).collect()
    }
}

impl Content {
    /// Returns a readable description of the content.
    pub fn describe(&self) -> String {
        match self {
            Self::Settings { base_version, .. } => format!("settings on version {base_version}"),
            Self::Program { path, digest } => format!("program {path} ({})", &digest[..digest.len().min(12)]),
        }
    }
}

/// Returns a readable description of a rollout state.
pub fn state_text(state: &RolloutState) -> String {
    match state {
        RolloutState::Running(stage) => format!("running stage {}", stage + 1),
        RolloutState::Paused { stage, why, .. } => format!("held at stage {}: {why}", stage + 1),
        RolloutState::RollingBack { why } => format!("undoing: {why}"),
        RolloutState::RolledBack { why } => format!("undone: {why}"),
        RolloutState::RollbackFailed { why, members } => {
            format!("undone ({why}), but not known to be as before: {}", members.join(", "))
        }
        RolloutState::Planned | RolloutState::Completed => state.name().into(),
    }
}

fn to_past(change: &Change) -> PastChange {
    let version = change.version.map_or(String::new(), |version| format!(", version {version}"));
    PastChange {
        number: change.rollout.number,
        started_at_ms: change.started_at_ms,
        by: change.by.clone(),
        content: change.content.describe(),
        outcome: state_text(&change.rollout.state) + &version,
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    proptest! {
        /// Malformed log entries must not cause a panic.
        #[test]
        fn malformed_bytes_do_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
            if let Some(document) = Document::decode(&bytes) {
                let _ = document.history();
            }
        }
    }
}
