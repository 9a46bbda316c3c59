//! What the supervisor's decisions speak of: processes, what happens, what is to be done.

use crate::memory::{Digest, Role, Told};
use std::time::Duration;

/// How long a process may take to say that it accepts.
pub const ACCEPTS: Duration = Duration::from_secs(5);
/// Between two questions to a balancer which program it should run.
pub const POLL: Duration = Duration::from_millis(500);
/// The times, and the number, that an operator sets.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// From its start until it is ready.
    pub ready: Duration,
    /// For the trial.
    pub trial: Duration,
    /// From SIGTERM until SIGKILL.
    pub grace: Duration,
    /// Wait after the first death; twice as long after each further one.
    pub backoff: Duration,
    /// The longest wait.
    pub backoff_most: Duration,
    /// Deaths in a row after which a program that is not good yet is given up.
    pub crashes: u32,
    /// How long a program has to serve to be good.
    pub good: Duration,
    /// How long a new program's process may leave questions unanswered.
    pub cut_off: Duration,
}

/// Where a process stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Not ready yet; it is given up then.
    Starting(Duration),
    /// Tried; it is given up then.
    Tried(Duration),
    /// Told to accept; it is given up then.
    Accepting(Duration),
    /// Serves since then.
    Serving(Duration),
    /// Told to end; killed then.
    Ending(Duration),
    /// Killed at that time.
    Killed(Duration),
}

/// A process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Process {
    /// The number of its start.
    pub id: u64,
    /// Its program.
    pub program: Digest,
    /// Where it stands.
    pub phase: Phase,
    /// Whether it may have accepted.
    pub accepted: bool,
}

/// What a balancer says that it should run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Own {
    /// It knows of no roll-out of a program.
    Nothing,
    /// How it stands with one.
    Change(Told),
}

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// An operator wants this program.
    Wanted(Digest),
    /// A process says what it should run.
    Said(u64, Own),
    /// A process has not answered that question.
    Unanswered(u64),
    /// It is ready to be tried.
    Ready(u64),
    /// It has passed its trial.
    Passed(u64),
    /// It has failed it, or could not be started.
    Failed(u64, String),
    /// It accepts.
    Accepts(u64),
    /// It is gone.
    Died(u64),
    /// The supervisor is to end, and all with it.
    Stop,
}

/// What is to be done, in this order, once the memory is on disk.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Start this program; it has crashed so often.
    Start {
        /// The number of the start.
        id: u64,
        /// The program.
        program: Digest,
        /// How often its processes have died while they served.
        crashes: u32,
    },
    /// Make requests of it. `strict`: the answer has to be the one that the operator expects; else any well-formed one does,
    /// since nobody serves meanwhile.
    Try {
        /// The number of its start.
        id: u64,
        /// Whether the answer has to be the expected one.
        strict: bool,
    },
    /// Tell it to accept.
    Accept(u64),
    /// Tell it whether another process of this balancer accepts too.
    Beside(u64, bool),
    /// Tell it to end: another one is there (`true`), or the whole balancer ends.
    Term(u64, bool),
    /// Kill it.
    Kill(u64),
    /// Tell operators.
    Note(String),
    /// All have ended.
    End,
}

/// A process that was found at the supervisor's start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Found {
    /// The number of its start.
    pub id: u64,
    /// Its program.
    pub program: Digest,
    /// What it was there for.
    pub role: Role,
    /// Whether it accepts, by its own word.
    pub accepted: bool,
}
