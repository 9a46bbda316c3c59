//! Adoption of the processes of an earlier supervisor: those on record, and those that have a control socket in the state directory.

use crate::control_connection::ControlConnection;
use crate::interface::AdoptedProcess;
use crate::process::ProcessHandle;
use crate::saved_state::{ProcessRecord, ProgramDigest, Role, SupervisorState};
use crate::state_directory::StateDirectory;
use std::net::TcpListener;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How long a recorded process that serves is tried to be reached at the start.
const ADOPTION_TIMEOUT: Duration = Duration::from_secs(30);
/// Between two attempts.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// The handles to an adopted process.
pub(crate) struct Adopted {
    /// The number of its start.
    pub(crate) id: u64,
    /// The connection to its control socket, if it answered.
    pub(crate) connection: Option<ControlConnection>,
    /// The process.
    pub(crate) handle: Arc<ProcessHandle>,
}

/// What was found at the start.
#[derive(Default)]
pub(crate) struct Adoption {
    /// The processes, for the decisions.
    pub(crate) found: Vec<AdoptedProcess>,
    /// The handles to them.
    pub(crate) adopted: Vec<Adopted>,
    /// The listening socket, if one of them has passed it on and it still listens.
    pub(crate) listener: Option<TcpListener>,
}

impl Adoption {
    /// Looks for the processes of an earlier supervisor.
    pub(crate) fn run(directory: &StateDirectory, state: &SupervisorState) -> Self {
        let recorded = state.processes.iter().map(|record| record.id);
        let mut ids: Vec<u64> = recorded.chain(directory.socket_ids()).collect();
        ids.sort_unstable();
        ids.dedup();
        let mut adoption = Self::default();
        for id in ids {
            let record = state.processes.iter().find(|record| record.id == id);
            adoption.adopt(directory, id, record);
        }
        adoption
    }

    fn adopt(&mut self, directory: &StateDirectory, id: u64, record: Option<&ProcessRecord>) {
        let recorded = record.and_then(|record| record.process);
        let recorded = recorded.and_then(|(pid, started)| ProcessHandle::open(pid, Some(started)));
        let connected = connect(directory, id, record, recorded.as_ref());
        let handle = match &connected {
            Some((connection, _)) => ProcessHandle::open(connection.pid, None),
            None => recorded,
        };
        let Some(handle) = handle else {
            directory.remove_socket(id);
            return;
        };
        let info = connected.as_ref().map(|(connection, _)| &connection.info);
        let reported = info.and_then(|info| ProgramDigest::new(&info.digest));
        let Some(program) = reported.or_else(|| record.map(|record| record.program.clone())) else {
            tracing::warn!(id, pid = handle.id().0, "a process that does not say what it is is left alone");
            return;
        };
        let is_accepting = info.is_some_and(|info| info.accepts);
        tracing::info!(id, pid = handle.id().0, %program, accepted = is_accepting, "found");
        let role = record.map_or(Role::Candidate, |record| record.role);
        self.found.push(AdoptedProcess { id, program, role, is_accepting });
        let (connection, listener) = connected.unzip();
        self.listener = self.listener.take().or(listener.flatten());
        self.adopted.push(Adopted { id, connection, handle: Arc::new(handle) });
    }
}

/// Connects to a process. One that serves and does not answer may be stopped: it is waited for, since no other process can pass the
/// listening socket on.
fn connect(
    directory: &StateDirectory,
    id: u64,
    record: Option<&ProcessRecord>,
    recorded: Option<&ProcessHandle>,
) -> Option<(ControlConnection, Option<TcpListener>)> {
    let deadline = Instant::now() + ADOPTION_TIMEOUT;
    loop {
        match ControlConnection::connect(&directory.socket_path(id)) {
            Ok(connected) => return Some(connected),
            Err(e) => {
                let is_worth_waiting = record.is_some_and(|record| record.role == Role::Serving)
                    && recorded.is_some_and(ProcessHandle::is_running)
                    && Instant::now() < deadline;
                if !is_worth_waiting {
                    tracing::debug!(id, "not adopted: {e}");
                    return None;
                }
                std::thread::sleep(RETRY_INTERVAL);
            }
        }
    }
}
