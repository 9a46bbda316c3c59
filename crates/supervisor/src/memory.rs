//! What outlives the supervisor: which programs there were, and which processes.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// The version of the format.
pub const VERSION: u32 = 1;
/// Programs that are remembered with their crashes, or as refused; beyond that any but those in use are forgotten.
const REMEMBERED: usize = 64;

/// A program, by its SHA-256 in hexadecimal.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Digest(String);

impl Digest {
    /// 64 digits, `0` to `f`; `None` for anything else, which could also name a file elsewhere.
    pub fn new(text: &str) -> Option<Self> {
        let good = text.len() == 64 && text.bytes().all(|b| b.is_ascii_digit() || (b'a'..=b'f').contains(&b));
        good.then(|| Self(text.to_owned()))
    }

    /// The digits.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl TryFrom<String> for Digest {
    type Error = String;

    fn try_from(text: String) -> Result<Self, String> {
        Self::new(&text).ok_or_else(|| format!("{text:?} is no SHA-256 in hexadecimal"))
    }
}

impl From<Digest> for String {
    fn from(digest: Digest) -> Self {
        digest.0
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// What a process is there for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Serves.
    Present,
    /// Is tried.
    Next,
    /// Ends.
    Leaving,
}

/// A process as it was last known.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Known {
    /// The number of its start.
    pub id: u64,
    /// Its program.
    pub program: Digest,
    /// What it is there for.
    pub role: Role,
    /// Its id at the system, and when that says it was started, in ticks since the machine's start: both together name one
    /// process. `None`: it was about to be started.
    pub process: Option<(u32, u64)>,
}

/// What a balancer has said of a change of the program in stages.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Told {
    /// The change's number.
    pub number: u64,
    /// The program that it brings.
    pub program: Digest,
    /// Whether this balancer is to run it.
    pub new: bool,
    /// Whether the change is not over yet.
    pub runs: bool,
}

/// What outlives the supervisor.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Memory {
    /// The version of the format.
    pub version: u32,
    /// What the operator's file said last.
    pub file: Digest,
    /// What is to be run.
    pub wanted: Digest,
    /// What serves, or served last.
    pub base: Digest,
    /// What served before that, while there may be a way back.
    pub before: Option<Digest>,
    /// The last word of a roll-out; earlier programs knew none.
    #[serde(default)]
    pub told: Option<Told>,
    /// What has served for long enough to be trusted.
    pub last_good: Option<Digest>,
    /// What is not tried again until something else was told.
    pub refused: BTreeSet<Digest>,
    /// How often a program's process has died while it served.
    pub crashes: BTreeMap<Digest, u32>,
    /// Deaths and failures in a row.
    pub failures: u32,
    /// The number of the next start.
    pub next_id: u64,
    /// The processes.
    pub processes: Vec<Known>,
}

/// Why a memory is not taken.
#[derive(Debug, PartialEq, Eq)]
pub enum Unfit {
    /// It was written by a later program.
    Newer(u32),
    /// It can't be read.
    Garbled(String),
}

impl fmt::Display for Unfit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Newer(version) => write!(f, "its version is {version}, this program's is {VERSION}"),
            Self::Garbled(why) => write!(f, "it can't be read: {why}"),
        }
    }
}

impl std::error::Error for Unfit {}

impl Memory {
    /// Of a first start.
    pub fn new(program: Digest) -> Self {
        Self {
            version: VERSION,
            file: program.clone(),
            wanted: program.clone(),
            base: program,
            before: None,
            told: None,
            last_good: None,
            refused: BTreeSet::new(),
            crashes: BTreeMap::new(),
            failures: 0,
            next_id: 1,
            processes: Vec::new(),
        }
    }

    /// Reads a text.
    pub fn read(text: &str) -> Result<Self, Unfit> {
        #[derive(Deserialize)]
        struct Versioned {
            version: u32,
        }
        let garbled = |e: serde_json::Error| Unfit::Garbled(e.to_string());
        let Versioned { version } = serde_json::from_str(text).map_err(garbled)?;
        if version > VERSION {
            return Err(Unfit::Newer(version));
        }
        serde_json::from_str(text).map_err(garbled)
    }

    /// As a text.
    pub fn text(&self) -> String {
        // There is nothing in it that JSON can't say.
        serde_json::to_string(self).unwrap_or_default() + "\n"
    }

    /// Forgets programs that are no more spoken of, beyond so many.
    pub fn bound(&mut self) {
        let used = [Some(&self.wanted), Some(&self.base), self.before.as_ref(), self.last_good.as_ref()];
        let used: Vec<Digest> = used.into_iter().flatten().cloned().collect();
        let spare = |digest: &Digest| !used.contains(digest);
        while self.crashes.len() > REMEMBERED {
            let Some(first) = self.crashes.keys().find(|d| spare(d)).cloned() else { break };
            self.crashes.remove(&first);
        }
        while self.refused.len() > REMEMBERED {
            let Some(first) = self.refused.iter().find(|d| spare(d)).cloned() else { break };
            self.refused.remove(&first);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_memory_is_read_as_it_was_written_and_nothing_else_is() {
        let mut memory = Memory::new(Digest::new(&"a".repeat(64)).unwrap());
        memory.processes.push(Known {
            id: 7,
            program: memory.base.clone(),
            role: Role::Present,
            process: Some((12, 3456)),
        });
        let text = memory.text();
        assert_eq!(Memory::read(&text).unwrap(), memory);
        for cut in 0..text.len() - 2 {
            assert!(Memory::read(&text[..cut]).is_err(), "{cut}");
        }
        assert_eq!(Memory::read(&text.replacen(":1,", ":2,", 1)), Err(Unfit::Newer(2)));
        assert!(matches!(Memory::read(&text.replacen("aaaa", "../a", 1)), Err(Unfit::Garbled(_))));
    }

    #[test]
    fn what_is_remembered_is_bounded_and_what_is_in_use_stays() {
        let digest = |n: u32| Digest::new(&format!("{n:064x}")).unwrap();
        let mut memory = Memory::new(digest(0));
        for n in 0..200 {
            memory.crashes.insert(digest(n), 1);
            memory.refused.insert(digest(n));
            memory.bound();
        }
        assert_eq!((memory.crashes.len(), memory.refused.len()), (REMEMBERED, REMEMBERED));
        assert!(memory.crashes.contains_key(&digest(0)) && memory.crashes.contains_key(&digest(199)));
    }
}
