//! What the voters' log comes to: versions, and the step at which the tier stands.
//!
//! A change goes in two steps, as online schema changes do: old, then the strictest reading of old and new, then new. Each
//! step has an epoch. Everything here follows from the log alone, the same at every voter.

use crate::shared_document::{MAX_BODY_BYTES, SharedDocument};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;
use std::fmt;

/// Versions that are kept; what is in force is among them.
pub const MAX_VERSIONS: usize = 32;
/// The longest text of a version.
pub const MAX_TEXT_BYTES: usize = 1 << 20;
/// What the texts of all versions that are kept may take, beside those in force.
pub const MAX_TOTAL_TEXT_BYTES: usize = 3 << 20;

/// The digest of a text: SHA-256 in hexadecimal.
pub fn digest(text: &str) -> String {
    Sha256::digest(text.as_bytes()).iter().fold(String::new(), |hex, byte| hex + &format!("{byte:02x}"))
}

/// A version: the shared part of an operator's file.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Version {
    /// Its number, which is given once.
    pub number: u64,
    /// The text.
    pub text: String,
    /// Its digest.
    pub digest: String,
    /// Who proposed it.
    #[serde(rename = "by")]
    pub proposed_by: String,
    /// When, in Unix milliseconds by the proposer's clock: for people alone.
    #[serde(rename = "at_ms")]
    pub proposed_at_unix_ms: u64,
    /// Whether it was taken back before it was in force everywhere.
    #[serde(rename = "undone")]
    pub is_undone: bool,
}

/// Where the tier stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Phase {
    /// Nothing is agreed: each goes by its own file, with care.
    Initial,
    /// This version alone.
    Stable(u64),
    /// Whatever both allow.
    Transition {
        /// The one before.
        from: u64,
        /// The one to come.
        to: u64,
    },
}

impl Phase {
    /// The versions within whose rules whoever acts on this step stays.
    pub fn compatible_versions(self) -> [Option<u64>; 2] {
        match self {
            Self::Initial => [None, None],
            Self::Stable(number) => [Some(number), None],
            Self::Transition { from, to } => [Some(from), Some(to)],
        }
    }

    /// Whether two balancers may act on these steps at the same time: some version's rules are kept by both.
    pub fn is_compatible_with(self, other: Self) -> bool {
        let theirs = other.compatible_versions();
        self.compatible_versions().into_iter().flatten().any(|number| theirs.contains(&Some(number)))
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

/// Something that is written into the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Command {
    /// A version is proposed, by somebody who knows this epoch.
    Propose {
        /// The epoch that the proposer has seen left by everybody.
        epoch: u64,
        /// The version that it takes to be in force, if that matters to it.
        expected: Option<u64>,
        /// The text.
        text: String,
        /// Who.
        proposed_by: String,
        /// When.
        proposed_at_unix_ms: u64,
    },
    /// The change goes on to its end.
    Advance {
        /// The epoch that everybody has, or can no longer act on what was before.
        epoch: u64,
    },
    /// The change is taken back.
    Undo {
        /// The epoch that it stands at.
        epoch: u64,
    },
    /// A member is not waited for until it is heard of again.
    Forget {
        /// Whom.
        name: String,
    },
    /// The common document has another body. Programs before it pass this over.
    ReplaceDocument {
        /// The number that has to be in force.
        expected: u64,
        /// The body.
        body: Vec<u8>,
    },
}

/// Why a command changes nothing.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum CommandError {
    /// Another version is in force than was expected.
    UnexpectedVersion {
        /// That one.
        active: u64,
    },
    /// A change is under way.
    TransitionInProgress {
        /// To which version.
        to: u64,
    },
    /// Something else came first.
    StaleEpoch {
        /// The epoch that holds.
        epoch: u64,
    },
    /// There is nothing to undo.
    NothingToUndo,
    /// The text is too long.
    TextTooLong,
    /// Another common document is in force than was expected.
    UnexpectedDocument {
        /// That one.
        number: u64,
    },
    /// The common document is too long.
    DocumentTooLong,
}

impl fmt::Display for CommandError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnexpectedVersion { active: in_force } => write!(f, "version {in_force} is in force"),
            Self::TransitionInProgress { to } => write!(f, "the change to version {to} is under way"),
            Self::StaleEpoch { epoch } => write!(f, "something else came first: epoch {epoch} holds"),
            Self::NothingToUndo => f.write_str("there is nothing to undo"),
            Self::TextTooLong => write!(f, "it is longer than {MAX_TEXT_BYTES} bytes"),
            Self::UnexpectedDocument { number } => write!(f, "common document {number} is in force"),
            Self::DocumentTooLong => write!(f, "it is longer than {MAX_BODY_BYTES} bytes"),
        }
    }
}

/// What the log comes to.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct VersionState {
    /// Counts steps.
    pub epoch: u64,
    /// The step.
    pub phase: Phase,
    /// The versions, the oldest first.
    pub versions: Vec<Version>,
    /// Members that are not waited for, and the epoch at which that was said.
    pub forgotten_members: BTreeMap<String, u64>,
    /// The step before this one.
    pub previous_phase: Phase,
    /// The common document. Whoever keeps these keeps it apart, last: programs before it read what they know.
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
    /// A version.
    pub fn version(&self, number: u64) -> Option<&Version> {
        self.versions.iter().find(|version| version.number == number)
    }

    /// The version in force: of a change that is under way the one before.
    pub fn active_version(&self) -> u64 {
        match self.phase {
            Phase::Initial => 0,
            Phase::Stable(number) | Phase::Transition { from: number, .. } => number,
        }
    }

    /// The texts that whoever acts on the step needs.
    pub fn required_versions(&self) -> Vec<&Version> {
        self.phase
            .compatible_versions()
            .into_iter()
            .flatten()
            .filter_map(|number| self.version(number))
            .collect()
    }

    /// Plays a command; `Ok` names the version that it concerns.
    pub fn apply(&mut self, command: &Command) -> Result<u64, CommandError> {
        match command {
            Command::Propose {
                epoch,
                expected: expect,
                text,
                proposed_by: by,
                proposed_at_unix_ms: at_ms,
            } => self.propose(*epoch, *expect, text, by, *at_ms),
            Command::Advance { epoch } => match self.phase {
                Phase::Transition { to, .. } if *epoch == self.epoch => {
                    self.enter_phase(Phase::Stable(to));
                    Ok(to)
                }
                _ => Err(CommandError::StaleEpoch { epoch: self.epoch }),
            },
            Command::Undo { epoch } => {
                if *epoch != self.epoch {
                    return Err(CommandError::StaleEpoch { epoch: self.epoch });
                }
                let Phase::Transition { from, to } = self.phase else {
                    return Err(CommandError::NothingToUndo);
                };
                if let Some(version) = self.versions.iter_mut().find(|version| version.number == to) {
                    version.is_undone = true;
                }
                // Whoever is at the step before keeps `from` too.
                self.enter_phase(Phase::Stable(from));
                Ok(from)
            }
            Command::Forget { name } => {
                self.forgotten_members.insert(name.clone(), self.epoch);
                Ok(self.active_version())
            }
            Command::ReplaceDocument { expected: expect, body } => {
                self.shared_document.replace(*expect, body)
            }
        }
    }

    fn propose(
        &mut self,
        epoch: u64,
        expect: Option<u64>,
        text: &str,
        by: &str,
        at_ms: u64,
    ) -> Result<u64, CommandError> {
        if text.len() > MAX_TEXT_BYTES {
            return Err(CommandError::TextTooLong);
        }
        let digest = digest(text);
        let same = |number: u64| self.version(number).is_some_and(|version| version.digest == digest);
        match self.phase {
            // Its proposer did not hear that it was taken.
            Phase::Stable(number) | Phase::Transition { to: number, .. } if same(number) => {
                return Ok(number);
            }
            Phase::Transition { to, .. } => return Err(CommandError::TransitionInProgress { to }),
            _ => {}
        }
        if expect.is_some_and(|expect| expect != self.active_version()) {
            return Err(CommandError::UnexpectedVersion { active: self.active_version() });
        }
        if epoch != self.epoch {
            return Err(CommandError::StaleEpoch { epoch: self.epoch });
        }
        let number = self.versions.last().map_or(1, |last| last.number + 1);
        let (text, by) = (text.to_owned(), by.to_owned());
        self.versions.push(Version {
            number,
            text,
            digest,
            proposed_by: by,
            proposed_at_unix_ms: at_ms,
            is_undone: false,
        });
        let step = match self.phase {
            Phase::Stable(from) => Phase::Transition { from, to: number },
            // Nobody acts on anything that was agreed.
            _ => Phase::Stable(number),
        };
        self.enter_phase(step);
        Ok(number)
    }

    fn enter_phase(&mut self, step: Phase) {
        self.epoch += 1;
        self.previous_phase = std::mem::replace(&mut self.phase, step);
        let kept = step.compatible_versions();
        while self.versions.len() > MAX_VERSIONS
            || self.versions.iter().map(|v| v.text.len()).sum::<usize>() > MAX_TOTAL_TEXT_BYTES
        {
            let Some(oldest) = self.versions.iter().position(|v| !kept.contains(&Some(v.number))) else {
                break;
            };
            self.versions.remove(oldest);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn propose(epoch: u64, expect: Option<u64>, text: &str) -> Command {
        Command::Propose {
            epoch,
            expected: expect,
            text: text.into(),
            proposed_by: "b1".into(),
            proposed_at_unix_ms: 0,
        }
    }

    fn settled() -> VersionState {
        let mut steps = VersionState::default();
        assert_eq!(steps.apply(&propose(0, None, "one")), Ok(1));
        steps
    }

    #[test]
    fn a_change_goes_by_the_strictest_reading() {
        let mut steps = settled();
        assert_eq!((steps.epoch, steps.phase), (1, Phase::Stable(1)));
        assert_eq!(steps.apply(&propose(1, Some(1), "two")), Ok(2));
        assert_eq!(steps.phase, Phase::Transition { from: 1, to: 2 });
        assert_eq!(
            steps.apply(&propose(2, None, "three")),
            Err(CommandError::TransitionInProgress { to: 2 })
        );
        assert_eq!(steps.apply(&propose(2, None, "two")), Ok(2), "its answer was lost");
        assert_eq!(steps.apply(&Command::Advance { epoch: 1 }), Err(CommandError::StaleEpoch { epoch: 2 }));
        assert_eq!(steps.apply(&Command::Advance { epoch: 2 }), Ok(2));
        assert_eq!(
            steps.apply(&propose(3, Some(1), "three")),
            Err(CommandError::UnexpectedVersion { active: 2 })
        );
        assert_eq!(steps.apply(&propose(2, None, "three")), Err(CommandError::StaleEpoch { epoch: 3 }));
        assert_eq!(steps.apply(&propose(3, None, "two")), Ok(2));
        assert_eq!(steps.epoch, 3);
    }

    #[test]
    fn a_change_that_is_half_in_force_is_taken_back_without_a_contradiction() {
        let mut steps = settled();
        let before = steps.phase;
        steps.apply(&propose(1, None, "two")).unwrap();
        let half = steps.phase;
        assert_eq!(steps.apply(&Command::Undo { epoch: 2 }), Ok(1));
        assert!(steps.phase.is_compatible_with(before) && steps.phase.is_compatible_with(half));
        assert!(steps.version(2).unwrap().is_undone);
        assert_eq!(steps.apply(&Command::Undo { epoch: 3 }), Err(CommandError::NothingToUndo));
        // The number is not given again.
        assert_eq!(steps.apply(&propose(3, None, "two again")), Ok(3));
    }

    fn commands() -> impl Strategy<Value = Vec<Command>> {
        let epoch = 0u64..12;
        let one = prop_oneof![
            (epoch.clone(), prop::option::of(0u64..6), "[a-d]").prop_map(|(e, x, text)| propose(e, x, &text)),
            epoch.clone().prop_map(|epoch| Command::Advance { epoch }),
            epoch.prop_map(|epoch| Command::Undo { epoch }),
            Just(Command::Forget { name: "b2".into() }),
        ];
        prop::collection::vec(one, 0..60)
    }

    proptest! {
        /// Whatever is in the log: neighbouring steps agree, numbers and epochs only rise, and what is needed is kept.
        #[test]
        fn neighbouring_steps_never_contradict(commands in commands()) {
            let mut steps = VersionState::default();
            let mut last = 0;
            for command in commands {
                let before = steps.clone();
                let played = steps.apply(&command);
                if played.is_err() {
                    prop_assert_eq!(&steps, &before);
                }
                if steps.epoch != before.epoch {
                    prop_assert_eq!(steps.epoch, before.epoch + 1);
                    prop_assert!(before.phase == Phase::Initial || steps.phase.is_compatible_with(before.phase));
                }
                let newest = steps.versions.last().map_or(0, |version| version.number);
                prop_assert!(newest >= last);
                last = newest;
                for number in steps.phase.compatible_versions().into_iter().flatten() {
                    prop_assert!(steps.version(number).is_some());
                }
                prop_assert!(steps.versions.len() <= MAX_VERSIONS);
            }
        }
    }

    #[test]
    fn versions_are_bounded_and_what_is_in_force_is_kept() {
        let mut steps = settled();
        for n in 0..100 {
            steps.apply(&propose(steps.epoch, None, &format!("text {n}"))).unwrap();
            steps.apply(&Command::Advance { epoch: steps.epoch }).unwrap();
        }
        assert_eq!(steps.versions.len(), MAX_VERSIONS);
        assert_eq!(steps.active_version(), 101);
        assert_eq!(steps.required_versions().len(), 1);
    }
}
