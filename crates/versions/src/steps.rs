//! What the voters' log comes to: versions, and the step at which the tier stands.
//!
//! A change goes in two steps, as online schema changes do: old, then the strictest reading of old and new, then new. Each
//! step has an epoch. Everything here follows from the log alone, the same at every voter.

use crate::common::{BODY_MOST, Document};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;
use std::fmt;

/// Versions that are kept; what is in force is among them.
pub const KEPT: usize = 32;
/// The longest text of a version.
pub const TEXT_MOST: usize = 1 << 20;
/// What the texts of all versions that are kept may take, beside those in force.
pub const TEXTS_MOST: usize = 3 << 20;

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
    pub by: String,
    /// When, in Unix milliseconds by the proposer's clock: for people alone.
    pub at_ms: u64,
    /// Whether it was taken back before it was in force everywhere.
    pub undone: bool,
}

/// Where the tier stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Step {
    /// Nothing is agreed: each goes by its own file, with care.
    Unsettled,
    /// This version alone.
    Settled(u64),
    /// Whatever both allow.
    Strictest {
        /// The one before.
        from: u64,
        /// The one to come.
        to: u64,
    },
}

impl Step {
    /// The versions within whose rules whoever acts on this step stays.
    pub fn keeps(self) -> [Option<u64>; 2] {
        match self {
            Self::Unsettled => [None, None],
            Self::Settled(number) => [Some(number), None],
            Self::Strictest { from, to } => [Some(from), Some(to)],
        }
    }

    /// Whether two balancers may act on these steps at the same time: some version's rules are kept by both.
    pub fn agrees(self, other: Self) -> bool {
        let theirs = other.keeps();
        self.keeps().into_iter().flatten().any(|number| theirs.contains(&Some(number)))
    }
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unsettled => f.write_str("unsettled"),
            Self::Settled(_) => f.write_str("settled"),
            Self::Strictest { .. } => f.write_str("strictest"),
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
        expect: Option<u64>,
        /// The text.
        text: String,
        /// Who.
        by: String,
        /// When.
        at_ms: u64,
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
    Common {
        /// The number that has to be in force.
        expect: u64,
        /// The body.
        body: Vec<u8>,
    },
}

/// Why a command changes nothing.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Refused {
    /// Another version is in force than was expected.
    Expected {
        /// That one.
        in_force: u64,
    },
    /// A change is under way.
    Busy {
        /// To which version.
        to: u64,
    },
    /// Something else came first.
    Late {
        /// The epoch that holds.
        epoch: u64,
    },
    /// There is nothing to undo.
    Nothing,
    /// The text is too long.
    TooLong,
    /// Another common document is in force than was expected.
    Common {
        /// That one.
        number: u64,
    },
    /// The common document is too long.
    BodyTooLong,
}

impl fmt::Display for Refused {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Expected { in_force } => write!(f, "version {in_force} is in force"),
            Self::Busy { to } => write!(f, "the change to version {to} is under way"),
            Self::Late { epoch } => write!(f, "something else came first: epoch {epoch} holds"),
            Self::Nothing => f.write_str("there is nothing to undo"),
            Self::TooLong => write!(f, "it is longer than {TEXT_MOST} bytes"),
            Self::Common { number } => write!(f, "common document {number} is in force"),
            Self::BodyTooLong => write!(f, "it is longer than {BODY_MOST} bytes"),
        }
    }
}

/// What the log comes to.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Steps {
    /// Counts steps.
    pub epoch: u64,
    /// The step.
    pub step: Step,
    /// The versions, the oldest first.
    pub versions: Vec<Version>,
    /// Members that are not waited for, and the epoch at which that was said.
    pub forgotten: BTreeMap<String, u64>,
    /// The step before this one.
    pub before: Step,
    /// The common document. Whoever keeps these keeps it apart, last: programs before it read what they know.
    #[serde(skip)]
    pub common: Document,
}

impl Default for Steps {
    fn default() -> Self {
        Self {
            epoch: 0,
            step: Step::Unsettled,
            versions: Vec::new(),
            forgotten: BTreeMap::new(),
            before: Step::Unsettled,
            common: Document::default(),
        }
    }
}

impl Steps {
    /// A version.
    pub fn version(&self, number: u64) -> Option<&Version> {
        self.versions.iter().find(|version| version.number == number)
    }

    /// The version in force: of a change that is under way the one before.
    pub fn in_force(&self) -> u64 {
        match self.step {
            Step::Unsettled => 0,
            Step::Settled(number) | Step::Strictest { from: number, .. } => number,
        }
    }

    /// The texts that whoever acts on the step needs.
    pub fn texts(&self) -> Vec<&Version> {
        self.step.keeps().into_iter().flatten().filter_map(|number| self.version(number)).collect()
    }

    /// Plays a command; `Ok` names the version that it concerns.
    pub fn play(&mut self, command: &Command) -> Result<u64, Refused> {
        match command {
            Command::Propose { epoch, expect, text, by, at_ms } => {
                self.propose(*epoch, *expect, text, by, *at_ms)
            }
            Command::Advance { epoch } => match self.step {
                Step::Strictest { to, .. } if *epoch == self.epoch => {
                    self.go(Step::Settled(to));
                    Ok(to)
                }
                _ => Err(Refused::Late { epoch: self.epoch }),
            },
            Command::Undo { epoch } => {
                if *epoch != self.epoch {
                    return Err(Refused::Late { epoch: self.epoch });
                }
                let Step::Strictest { from, to } = self.step else { return Err(Refused::Nothing) };
                if let Some(version) = self.versions.iter_mut().find(|version| version.number == to) {
                    version.undone = true;
                }
                // Whoever is at the step before keeps `from` too.
                self.go(Step::Settled(from));
                Ok(from)
            }
            Command::Forget { name } => {
                self.forgotten.insert(name.clone(), self.epoch);
                Ok(self.in_force())
            }
            Command::Common { expect, body } => self.common.play(*expect, body),
        }
    }

    fn propose(
        &mut self,
        epoch: u64,
        expect: Option<u64>,
        text: &str,
        by: &str,
        at_ms: u64,
    ) -> Result<u64, Refused> {
        if text.len() > TEXT_MOST {
            return Err(Refused::TooLong);
        }
        let digest = digest(text);
        let same = |number: u64| self.version(number).is_some_and(|version| version.digest == digest);
        match self.step {
            // Its proposer did not hear that it was taken.
            Step::Settled(number) | Step::Strictest { to: number, .. } if same(number) => return Ok(number),
            Step::Strictest { to, .. } => return Err(Refused::Busy { to }),
            _ => {}
        }
        if expect.is_some_and(|expect| expect != self.in_force()) {
            return Err(Refused::Expected { in_force: self.in_force() });
        }
        if epoch != self.epoch {
            return Err(Refused::Late { epoch: self.epoch });
        }
        let number = self.versions.last().map_or(1, |last| last.number + 1);
        let (text, by) = (text.to_owned(), by.to_owned());
        self.versions.push(Version { number, text, digest, by, at_ms, undone: false });
        let step = match self.step {
            Step::Settled(from) => Step::Strictest { from, to: number },
            // Nobody acts on anything that was agreed.
            _ => Step::Settled(number),
        };
        self.go(step);
        Ok(number)
    }

    fn go(&mut self, step: Step) {
        self.epoch += 1;
        self.before = std::mem::replace(&mut self.step, step);
        let kept = step.keeps();
        while self.versions.len() > KEPT
            || self.versions.iter().map(|v| v.text.len()).sum::<usize>() > TEXTS_MOST
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
        Command::Propose { epoch, expect, text: text.into(), by: "b1".into(), at_ms: 0 }
    }

    fn settled() -> Steps {
        let mut steps = Steps::default();
        assert_eq!(steps.play(&propose(0, None, "one")), Ok(1));
        steps
    }

    #[test]
    fn a_change_goes_by_the_strictest_reading() {
        let mut steps = settled();
        assert_eq!((steps.epoch, steps.step), (1, Step::Settled(1)));
        assert_eq!(steps.play(&propose(1, Some(1), "two")), Ok(2));
        assert_eq!(steps.step, Step::Strictest { from: 1, to: 2 });
        assert_eq!(steps.play(&propose(2, None, "three")), Err(Refused::Busy { to: 2 }));
        assert_eq!(steps.play(&propose(2, None, "two")), Ok(2), "its answer was lost");
        assert_eq!(steps.play(&Command::Advance { epoch: 1 }), Err(Refused::Late { epoch: 2 }));
        assert_eq!(steps.play(&Command::Advance { epoch: 2 }), Ok(2));
        assert_eq!(steps.play(&propose(3, Some(1), "three")), Err(Refused::Expected { in_force: 2 }));
        assert_eq!(steps.play(&propose(2, None, "three")), Err(Refused::Late { epoch: 3 }));
        assert_eq!(steps.play(&propose(3, None, "two")), Ok(2));
        assert_eq!(steps.epoch, 3);
    }

    #[test]
    fn a_change_that_is_half_in_force_is_taken_back_without_a_contradiction() {
        let mut steps = settled();
        let before = steps.step;
        steps.play(&propose(1, None, "two")).unwrap();
        let half = steps.step;
        assert_eq!(steps.play(&Command::Undo { epoch: 2 }), Ok(1));
        assert!(steps.step.agrees(before) && steps.step.agrees(half));
        assert!(steps.version(2).unwrap().undone);
        assert_eq!(steps.play(&Command::Undo { epoch: 3 }), Err(Refused::Nothing));
        // The number is not given again.
        assert_eq!(steps.play(&propose(3, None, "two again")), Ok(3));
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
            let mut steps = Steps::default();
            let mut last = 0;
            for command in commands {
                let before = steps.clone();
                let played = steps.play(&command);
                if played.is_err() {
                    prop_assert_eq!(&steps, &before);
                }
                if steps.epoch != before.epoch {
                    prop_assert_eq!(steps.epoch, before.epoch + 1);
                    prop_assert!(before.step == Step::Unsettled || steps.step.agrees(before.step));
                }
                let newest = steps.versions.last().map_or(0, |version| version.number);
                prop_assert!(newest >= last);
                last = newest;
                for number in steps.step.keeps().into_iter().flatten() {
                    prop_assert!(steps.version(number).is_some());
                }
                prop_assert!(steps.versions.len() <= KEPT);
            }
        }
    }

    #[test]
    fn versions_are_bounded_and_what_is_in_force_is_kept() {
        let mut steps = settled();
        for n in 0..100 {
            steps.play(&propose(steps.epoch, None, &format!("text {n}"))).unwrap();
            steps.play(&Command::Advance { epoch: steps.epoch }).unwrap();
        }
        assert_eq!(steps.versions.len(), KEPT);
        assert_eq!(steps.in_force(), 101);
        assert_eq!(steps.texts().len(), 1);
    }
}
