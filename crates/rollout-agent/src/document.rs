//! What is agreed on of changes in stages: one part of the common document.

use maplehook_canary::IntervalReport;
use maplehook_consensus::MAX_PART_BYTES;
use maplehook_rollout::{Rollout, RolloutState};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// The longest text of settings, in bytes: with all the rest it fits into the part.
pub const MAX_SETTINGS_BYTES: usize = 128 << 10;
/// Changes that are remembered.
const PAST_MOST: usize = 16;
/// Lines of evidence that are kept of a stage.
pub(crate) const EVIDENCE_MOST: usize = 8;

/// What changes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Content {
    /// The shared sections of an operator's file.
    Settings {
        /// Their text.
        text: String,
        /// The version that is in force meanwhile.
        #[serde(rename = "rests_on")]
        base_version: u64,
    },
    /// A program.
    Program {
        /// Its path.
        path: String,
        /// SHA-256 of its bytes, in hexadecimal.
        digest: String,
    },
}

/// A stage as it went.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StageRecord {
    /// Which, from 0 on.
    pub stage: usize,
    /// Since when, in Unix milliseconds.
    pub since_ms: u64,
    /// Until when; none while it runs.
    pub until_ms: Option<u64>,
    /// What was known at its end, measure by measure.
    pub evidence: Vec<String>,
    /// What it came to.
    pub verdict: String,
}

/// The change that runs, or ran last.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Plan and state.
    pub rollout: Rollout,
    /// What changes.
    pub content: Content,
    /// At which balancer an operator began it.
    pub by: String,
    /// When, in Unix milliseconds.
    #[serde(rename = "at_ms")]
    pub started_at_ms: u64,
    /// The stages that have begun.
    #[serde(rename = "watched")]
    pub stage_records: Vec<StageRecord>,
    /// What the old ones did just before the last of them was changed.
    #[serde(rename = "before")]
    pub baseline: Option<IntervalReport>,
    /// Of a program: who may be away now to be changed, or has been.
    pub released: BTreeSet<String>,
    /// Of settings: the version that they have become.
    pub version: Option<u64>,
}

impl Change {
    /// Whether no other change may begin.
    pub fn is_active(&self) -> bool {
        let settings = matches!(self.content, Content::Settings { .. });
        let unsaid = settings && self.rollout.state == RolloutState::Completed && self.version.is_none();
        unsaid || !self.rollout.state.is_over()
    }

    /// Whether everybody is in a stage: nobody is left to compare with.
    pub fn stage_includes_all_members(&self, stage: usize) -> bool {
        self.rollout.order.stage(stage).len() == self.rollout.order.members().len()
    }
}

/// A change that is over.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PastChange {
    /// Its number.
    pub number: u64,
    /// When it began, in Unix milliseconds.
    #[serde(rename = "at_ms")]
    pub started_at_ms: u64,
    /// At which balancer it was begun.
    pub by: String,
    /// What changed.
    #[serde(rename = "what")]
    pub content: String,
    /// How it ended.
    #[serde(rename = "ended")]
    pub outcome: String,
}

/// All of it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Document {
    /// The number of the last change.
    pub number: u64,
    /// The change that runs, or ran last.
    pub change: Option<Change>,
    /// Those before, the latest last.
    pub past: Vec<PastChange>,
}

impl Document {
    /// For the log; an error where it is too long.
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

    /// From the log; `None` for what is none, as of a later program.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }

    /// Another change takes the place of the last one, which is remembered.
    pub fn begin(&mut self, change: Change) {
        self.number = change.rollout.number;
        if let Some(last) = self.change.replace(change) {
            self.past.push(past(&last));
        }
        let spare = self.past.len().saturating_sub(PAST_MOST);
        self.past.drain(..spare);
    }

    /// All changes, the one that runs among them, the latest last.
    pub fn history(&self) -> Vec<PastChange> {
        self.past.iter().cloned().chain(self.change.as_ref().map(past)).collect()
    }
}

impl Content {
    /// In words.
    pub fn words(&self) -> String {
        match self {
            Self::Settings { base_version: rests_on, .. } => format!("settings on version {rests_on}"),
            Self::Program { path, digest } => format!("program {path} ({})", &digest[..digest.len().min(12)]),
        }
    }
}

/// How a state is said.
pub fn words(state: &RolloutState) -> String {
    match state {
        RolloutState::Running(stage) => format!("running stage {}", stage + 1),
        RolloutState::Paused { stage, why, .. } => format!("held at stage {}: {why}", stage + 1),
        RolloutState::RollingBack { why } => format!("undoing: {why}"),
        RolloutState::RolledBack { why } => format!("undone: {why}"),
        RolloutState::RollbackFailed { why, members: who } => {
            format!("undone ({why}), but not known to be as before: {}", who.join(", "))
        }
        RolloutState::Planned | RolloutState::Completed => state.name().into(),
    }
}

fn past(change: &Change) -> PastChange {
    let version = change.version.map_or(String::new(), |version| format!(", version {version}"));
    PastChange {
        number: change.rollout.number,
        started_at_ms: change.started_at_ms,
        by: change.by.clone(),
        content: change.content.words(),
        outcome: words(&change.rollout.state) + &version,
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    proptest! {
        /// No panic on what the log holds.
        #[test]
        fn garbage_is_no_harm(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
            if let Some(document) = Document::decode(&bytes) {
                let _ = document.history();
            }
        }
    }
}
