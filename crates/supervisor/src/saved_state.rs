//! The state that outlives the supervisor: its programs and their processes, as JSON.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use thiserror::Error;

/// Version of the format.
pub const VERSION: u32 = 1;
/// ProgramDirectory that are remembered with their crashes, or as refused; beyond that any but those in use are forgotten.
const MAX_REMEMBERED: usize = 64;

/// A program, by its SHA-256 in hexadecimal.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct ProgramDigest(String);

impl ProgramDigest {
    /// A digest of 64 digits, `0` to `f`; `None` for any other text, which could also name a file elsewhere.
    pub fn new(text: &str) -> Option<Self> {
        let good = text.len() == 64 && text.bytes().all(|b| b.is_ascii_digit() || (b'a'..=b'f').contains(&b));
        good.then(|| Self(text.to_owned()))
    }

    /// The digits.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl TryFrom<String> for ProgramDigest {
    type Error = InvalidDigestError;

    fn try_from(text: String) -> Result<Self, InvalidDigestError> {
        Self::new(&text).ok_or(InvalidDigestError(text))
    }
}

impl From<ProgramDigest> for String {
    fn from(digest: ProgramDigest) -> Self {
        digest.0
    }
}

impl fmt::Display for ProgramDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// What a process is there for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Role {
    /// It serves.
    #[serde(rename = "present")]
    Serving,
    /// It is to serve once it has passed its trial.
    #[serde(rename = "next")]
    Candidate,
    /// It is ending.
    #[serde(rename = "leaving")]
    Terminating,
}

/// A process as it was last known.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProcessRecord {
    /// The number of its start.
    pub id: u64,
    /// Its program.
    pub program: ProgramDigest,
    /// What it is there for.
    pub role: Role,
    /// Its process id, and its start time in ticks since the machine's boot: both together name one process. `None` if it was about
    /// to be started.
    pub process: Option<(u32, u64)>,
}

/// What a balancer has reported of a staged rollout of the program.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutTarget {
    /// Number of the rollout.
    pub number: u64,
    /// The program that it brings.
    pub program: ProgramDigest,
    /// Whether this balancer is to run it.
    #[serde(rename = "new")]
    pub is_target: bool,
    /// Whether the rollout is not over yet.
    #[serde(rename = "runs")]
    pub is_in_progress: bool,
}

/// What outlives the supervisor. The names in the file are those of its first format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SupervisorState {
    /// Version of the format.
    pub version: u32,
    /// The program that the operator's file named last.
    #[serde(rename = "file")]
    pub configured_program: ProgramDigest,
    /// The program that is to be run.
    #[serde(rename = "wanted")]
    pub target_program: ProgramDigest,
    /// The program that serves, or served last.
    #[serde(rename = "base")]
    pub serving_program: ProgramDigest,
    /// The program that served before that, while a rollback is possible.
    #[serde(rename = "before")]
    pub previous_program: Option<ProgramDigest>,
    /// The latest report of a rollout; earlier formats have none.
    #[serde(rename = "told", default)]
    pub rollout_target: Option<RolloutTarget>,
    /// The program that has served for long enough to be trusted.
    #[serde(rename = "last_good")]
    pub last_stable_program: Option<ProgramDigest>,
    /// Programs that are not tried again until another one was requested.
    #[serde(rename = "refused")]
    pub rejected_programs: BTreeSet<ProgramDigest>,
    /// How often a process of each program has died while it served.
    #[serde(rename = "crashes")]
    pub crash_counts: BTreeMap<ProgramDigest, u32>,
    /// Deaths and failures in a row.
    #[serde(rename = "failures")]
    pub consecutive_failures: u32,
    /// Number of the next start.
    pub next_id: u64,
    /// The processes.
    pub processes: Vec<ProcessRecord>,
}

/// Why a state file is not taken.
#[derive(Debug, PartialEq, Eq, Error)]
pub enum StateFileError {
    /// It was written by a later program, in this version of the format.
    #[error("its version is {0}, this program's is {VERSION}")]
    NewerVersion(u32),
    /// It cannot be read, for this reason.
    #[error("it can't be read: {0}")]
    Malformed(String),
}

/// A text is no digest of a program.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{0:?} is no SHA-256 in hexadecimal")]
pub struct InvalidDigestError(pub String);

impl SupervisorState {
    /// The state of a first start.
    pub fn new(program: ProgramDigest) -> Self {
        Self {
            version: VERSION,
            configured_program: program.clone(),
            target_program: program.clone(),
            serving_program: program,
            previous_program: None,
            rollout_target: None,
            last_stable_program: None,
            rejected_programs: BTreeSet::new(),
            crash_counts: BTreeMap::new(),
            consecutive_failures: 0,
            next_id: 1,
            processes: Vec::new(),
        }
    }

    /// Decodes the text of a state file.
    ///
    /// # Errors
    ///
    /// If it was written by a later program, or is malformed.
    pub fn decode(text: &str) -> Result<Self, StateFileError> {
        #[derive(Deserialize)]
        struct Versioned {
            version: u32,
        }
        let malformed = |e: serde_json::Error| StateFileError::Malformed(e.to_string());
        let Versioned { version } = serde_json::from_str(text).map_err(malformed)?;
        if version > VERSION {
            return Err(StateFileError::NewerVersion(version));
        }
        serde_json::from_str(text).map_err(malformed)
    }

    /// Encodes the text of a state file.
    pub fn encode(&self) -> String {
        // There is nothing in it that JSON can't say.
        serde_json::to_string(self).unwrap_or_default() + "\n"
    }

    /// Forgets crashes and rejections of programs that are not in use, beyond a limit.
    pub fn forget_unused(&mut self) {
        let used = [
            Some(&self.target_program),
            Some(&self.serving_program),
            self.previous_program.as_ref(),
            self.last_stable_program.as_ref(),
        ];
        let used: Vec<ProgramDigest> = used.into_iter().flatten().cloned().collect();
        let is_unused = |digest: &ProgramDigest| !used.contains(digest);
        while self.crash_counts.len() > MAX_REMEMBERED {
            let Some(first) = self.crash_counts.keys().find(|d| is_unused(d)).cloned() else { break };
            self.crash_counts.remove(&first);
        }
        while self.rejected_programs.len() > MAX_REMEMBERED {
            let Some(first) = self.rejected_programs.iter().find(|d| is_unused(d)).cloned() else { break };
            self.rejected_programs.remove(&first);
        }
    }
}

#[cfg(test)]
mod tests;
