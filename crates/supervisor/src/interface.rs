//! The types that the supervisor's decisions speak of: settings, processes, events and actions.

use crate::saved_state::{ProgramDigest, Role, RolloutTarget};
use std::time::Duration;

/// How long a process may take to report that it accepts.
pub const ACCEPT_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a process certainly accepts clients after it has reported that it leaves.
pub const LEAVING_ACCEPT_PERIOD: Duration = Duration::from_millis(500);
/// Interval at which a balancer is asked which program it should run.
pub const ROLLOUT_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// The times, and the number, that an operator sets.
#[derive(Clone, Debug, PartialEq)]
pub struct SupervisorSettings {
    /// From the start of a process until it is ready.
    pub ready_timeout: Duration,
    /// For the trial of a new process.
    pub trial_timeout: Duration,
    /// From SIGTERM until SIGKILL.
    pub termination_grace: Duration,
    /// Wait after the first failure; doubled with each further one.
    pub initial_backoff: Duration,
    /// The longest wait.
    pub max_backoff: Duration,
    /// Failures in a row after which a program that is not stable yet is given up.
    pub max_crashes: u32,
    /// How long a program has to serve to be stable.
    pub stable_after: Duration,
    /// How long a client may wait for a process to accept it: the longest time that a request has.
    pub max_client_wait: Duration,
    /// How long the process of a new program may leave polls unanswered before it is rolled back.
    pub lost_contact_after: Duration,
}

/// The phase of a process. Deadlines are on the clock of the state machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Not ready yet; given up at this deadline.
    Starting(Duration),
    /// Under trial; given up at this deadline.
    Testing(Duration),
    /// Told to accept; given up at this deadline.
    Accepting(Duration),
    /// Serving since this time.
    Serving(Duration),
    /// Told to end; killed at this deadline.
    Terminating(Duration),
    /// Killed at this time.
    Killed(Duration),
}

/// A process under supervision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ManagedProcess {
    /// The number of its start.
    pub id: u64,
    /// Its program.
    pub program: ProgramDigest,
    /// Its phase.
    pub phase: Phase,
    /// Whether it may have accepted clients.
    pub may_have_accepted: bool,
}

/// A shutdown of the whole balancer that has begun.
#[derive(Debug)]
pub(crate) struct Shutdown {
    /// Whether a process is waited for that does not accept yet.
    pub(crate) awaits_acceptor: bool,
    /// The process that accepts the last clients.
    pub(crate) last_acceptor: Option<u64>,
    /// When listening ends, whoever still accepts.
    pub(crate) accepts_until: Duration,
}

/// What a balancer reports of a staged rollout of the program.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RolloutStatus {
    /// It knows of none.
    NoRollout,
    /// The program that it should run, or should no longer run.
    Target(RolloutTarget),
}

/// An event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// An operator requests this program.
    ProgramRequested(ProgramDigest),
    /// A process reports which program it should run.
    RolloutReported(u64, RolloutStatus),
    /// A process has not answered that poll.
    Unanswered(u64),
    /// A process is ready for its trial.
    Ready(u64),
    /// A process has passed its trial.
    TrialPassed(u64),
    /// A process has failed its trial, or could not be started, for this reason.
    Failed(u64, String),
    /// A process accepts clients.
    Accepting(u64),
    /// A process ends, and was not told to by its supervisor. For a while it still accepts clients.
    Leaving(u64),
    /// A process has ended.
    Exited(u64),
    /// The supervisor is to end, and all processes with it.
    Shutdown {
        /// Whether clients wait to be accepted.
        has_waiting_clients: bool,
    },
}

/// An action. Actions are carried out in order, once the saved state is on disk.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Start a process of this program.
    Start {
        /// The number of the start.
        id: u64,
        /// The program.
        program: ProgramDigest,
        /// How often processes of the program have died while they served.
        crashes: u32,
    },
    /// Make the trial's requests to a process.
    RunTrial {
        /// The number of its start.
        id: u64,
        /// Whether the response has to be the one that the operator expects; else any well-formed one does, since no other process
        /// serves meanwhile.
        strict: bool,
    },
    /// Tell a process to accept clients.
    Accept(u64),
    /// Tell a process whether another process of this balancer accepts, too.
    NotifySibling(u64, bool),
    /// Tell a process to end: since another one has taken over (`true`), or since the whole balancer ends.
    Terminate(u64, bool),
    /// Kill a process.
    Kill(u64),
    /// End listening, for all holders of the listening socket: nobody accepts clients any more. The next start listens anew.
    StopListening,
    /// Write a line to the log.
    Log(String),
    /// All processes have ended: end the supervisor.
    Exit,
}

/// A process of an earlier supervisor that was found at the start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdoptedProcess {
    /// The number of its start.
    pub id: u64,
    /// Its program.
    pub program: ProgramDigest,
    /// What it was there for.
    pub role: Role,
    /// Whether it accepts clients, as it reports itself.
    pub is_accepting: bool,
}
