//! The replicated state machine of versions.
//!
//! A change takes two transitions, as online schema changes do: from the old version to the strictest reading of both, and from there
//! to the new version. Each phase has an epoch. The state follows from the log alone and is the same on every voter.

use crate::command::{Command, CommandError, MAX_TEXT_BYTES};
use crate::shared_document::SharedDocument;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;
use std::fmt;

/// The most versions that are retained, those of the present phase included.
pub const MAX_VERSIONS: usize = 32;
/// The most bytes that the texts of retained versions may take, beside those of the present phase.
pub const MAX_TOTAL_TEXT_BYTES: usize = 3 << 20;

/// Returns the digest of a text: SHA-256 in hexadecimal.
pub fn digest(text: &str) -> String {
    Sha256::digest(text.as_bytes()).iter().fold(String::new(), |hex, byte| hex + &format!("{byte:02x}"))
}

/// A version of the shared part of operators' files. Operators see it as JSON, whose names are the serialized ones.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Version {
    /// The number, which is given only once.
    pub number: u64,
    /// The text.
    pub text: String,
    /// The digest of the text.
    pub digest: String,
    /// The name of the proposer.
    #[serde(rename = "by")]
    pub proposed_by: String,
    /// The time of the proposal by the proposer's clock, in Unix milliseconds. It is for people alone.
    #[serde(rename = "at_ms")]
    pub proposed_at_unix_ms: u64,
    /// Whether the version was undone before its transition was complete.
    #[serde(rename = "undone")]
    pub is_undone: bool,
}

/// The phase in which the cluster is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Phase {
    /// There is no version: each member enforces its own file, read conservatively.
    Initial,
    /// This version is active.
    Stable(u64),
    /// Only what both versions allow is allowed.
    Transition {
        /// The previous version.
        from: u64,
        /// The next version.
        to: u64,
    },
}

impl Phase {
    /// Returns the number of the active version: during a transition, of the previous one; 0 before the first version.
    pub fn active_version(self) -> u64 {
        match self {
            Self::Initial => 0,
            Self::Stable(number) | Self::Transition { from: number, .. } => number,
        }
    }

    /// Returns the versions whose rules a member in this phase complies with.
    pub fn compatible_versions(self) -> [Option<u64>; 2] {
        match self {
            Self::Initial => [None, None],
            Self::Stable(number) => [Some(number), None],
            Self::Transition { from, to } => [Some(from), Some(to)],
        }
    }

    /// Returns whether two members may be in these phases at the same time: both comply with the rules of some version.
    pub fn is_compatible_with(self, other: Self) -> bool {
        let others = other.compatible_versions();
        self.compatible_versions().into_iter().flatten().any(|number| others.contains(&Some(number)))
    }
}

impl fmt::Display for Phase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Initial => f.write_str("unsettled"),
            Self::Stable(_) => f.write_str("settled"),
            Self::Transition { .. } => f.write_str("strictest"),
        }
    }
}

/// The state that the log leads to. It is encoded by `postcard`, so the order of fields is its format.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct VersionState {
    /// The number of phases so far.
    pub epoch: u64,
    /// The present phase.
    pub phase: Phase,
    /// The retained versions, the oldest first.
    pub versions: Vec<Version>,
    /// The members that are not waited for, with the epoch in which they were forgotten.
    pub forgotten_members: BTreeMap<String, u64>,
    /// The previous phase.
    pub previous_phase: Phase,
    /// The shared document. Whoever encodes this state must encode the document separately, after the rest: earlier programs read
    /// what they know and ignore what follows.
    #[serde(skip)]
    pub shared_document: SharedDocument,
}

impl Default for VersionState {
    fn default() -> Self {
        Self {
            epoch: 0,
            phase: Phase::Initial,
            versions: Vec::new(),
            forgotten_members: BTreeMap::new(),
            previous_phase: Phase::Initial,
            shared_document: SharedDocument::default(),
        }
    }
}

impl VersionState {
    /// Returns a retained version.
    pub fn version(&self, number: u64) -> Option<&Version> {
        self.versions.iter().find(|version| version.number == number)
    }

    /// Returns the number of the active version: during a transition, of the previous one; 0 before the first version.
    pub fn active_version(&self) -> u64 {
        self.phase.active_version()
    }

    /// Returns the versions that a member needs in the present phase.
    pub fn required_versions(&self) -> Vec<&Version> {
        let numbers = self.phase.compatible_versions().into_iter().flatten();
        numbers.filter_map(|number| self.version(number)).collect()
    }

    /// Applies a command. Returns the number of the version, or of the shared document, that it concerns.
    ///
    /// # Errors
    ///
    /// If the command does not fit the state, which then stays as it is.
    pub fn apply(&mut self, command: &Command) -> Result<u64, CommandError> {
        match command {
            Command::Propose { epoch, expected, text, proposed_by, proposed_at_unix_ms } => {
                if text.len() > MAX_TEXT_BYTES {
                    return Err(CommandError::TextTooLong);
                }
                let digest = digest(text);
                if let Some(number) = self.check_proposal(*epoch, *expected, &digest)? {
                    return Ok(number);
                }
                let number = self.versions.last().map_or(1, |last| last.number + 1);
                self.add_version(Version {
                    number,
                    text: text.clone(),
                    digest,
                    proposed_by: proposed_by.clone(),
                    proposed_at_unix_ms: *proposed_at_unix_ms,
                    is_undone: false,
                });
                Ok(number)
            }
            Command::Advance { epoch } => self.advance(*epoch),
            Command::Undo { epoch } => self.undo(*epoch),
            Command::Forget { name } => {
                self.forgotten_members.insert(name.clone(), self.epoch);
                Ok(self.active_version())
            }
            Command::ReplaceDocument { expected, body } => self.shared_document.replace(*expected, body),
        }
    }

    /// Checks whether a text with this digest can become the next version. Returns the number of the version if it already is: the
    /// proposer has missed the outcome of an earlier proposal.
    fn check_proposal(
        &self,
        epoch: u64,
        expected: Option<u64>,
        digest: &str,
    ) -> Result<Option<u64>, CommandError> {
        let has_digest = |number: u64| self.version(number).is_some_and(|known| known.digest == digest);
        match self.phase {
            Phase::Stable(number) | Phase::Transition { to: number, .. } if has_digest(number) => {
                return Ok(Some(number));
            }
            Phase::Transition { to, .. } => return Err(CommandError::TransitionInProgress { to }),
            _ => {}
        }
        let active = self.active_version();
        if expected.is_some_and(|expected| expected != active) {
            return Err(CommandError::UnexpectedVersion { active });
        }
        if epoch != self.epoch {
            return Err(CommandError::StaleEpoch { epoch: self.epoch });
        }
        Ok(None)
    }

    fn add_version(&mut self, version: Version) {
        let to = version.number;
        self.versions.push(version);
        self.enter_phase(match self.phase {
            Phase::Stable(from) => Phase::Transition { from, to },
            // No member acts on any version yet.
            _ => Phase::Stable(to),
        });
    }

    fn advance(&mut self, epoch: u64) -> Result<u64, CommandError> {
        match self.phase {
            Phase::Transition { to, .. } if epoch == self.epoch => {
                self.enter_phase(Phase::Stable(to));
                Ok(to)
            }
            _ => Err(CommandError::StaleEpoch { epoch: self.epoch }),
        }
    }

    /// Returns to the previous version, which members in the transition comply with, too.
    fn undo(&mut self, epoch: u64) -> Result<u64, CommandError> {
        if epoch != self.epoch {
            return Err(CommandError::StaleEpoch { epoch: self.epoch });
        }
        let Phase::Transition { from, to } = self.phase else { return Err(CommandError::NothingToUndo) };
        if let Some(version) = self.versions.iter_mut().find(|version| version.number == to) {
            version.is_undone = true;
        }
        self.enter_phase(Phase::Stable(from));
        Ok(from)
    }

    fn enter_phase(&mut self, phase: Phase) {
        self.epoch += 1;
        self.previous_phase = std::mem::replace(&mut self.phase, phase);
        self.drop_old_versions();
    }

    /// Removes the oldest versions that the present phase does not need, until the limits are kept.
    fn drop_old_versions(&mut self) {
        let required = self.phase.compatible_versions();
        while self.versions.len() > MAX_VERSIONS || self.total_text_bytes() > MAX_TOTAL_TEXT_BYTES {
            let is_removable = |version: &Version| !required.contains(&Some(version.number));
            let Some(oldest) = self.versions.iter().position(is_removable) else { break };
            self.versions.remove(oldest);
        }
    }

    fn total_text_bytes(&self) -> usize {
        self.versions.iter().map(|version| version.text.len()).sum()
    }
}

#[cfg(test)]
mod tests;
