//! The event loop of the supervisor: notifications become events of the state machine, its actions are carried out.

use crate::adoption::{Adopted, Adoption};
use crate::control_connection::ControlConnection;
use crate::control_socket;
use crate::interface::{Action, Event, SupervisorSettings};
use crate::process::{self, ProcessHandle};
use crate::process_monitor::{MonitorCommand, ProcessMonitor, wait_for_child, wait_for_process};
use crate::program_directory::{ProgramDirectory, ProgramError};
use crate::saved_state::{ProgramDigest, SupervisorState};
use crate::state_directory::{StateDirectory, StateDirectoryError};
use crate::state_machine::StateMachine;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::time::{Duration, Instant};
use thiserror::Error;

/// The longest wait without a look at the time.
const MAX_WAIT: Duration = Duration::from_secs(1);
/// How long a balancer has to take in that the whole of it ends, before the signal.
const SHUTDOWN_NOTICE: Duration = Duration::from_millis(50);

/// The request by which a new process is tried before it may accept clients.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TrialRequest {
    /// The method.
    pub method: String,
    /// The path.
    pub path: String,
    /// The status that the response has to have; any if `None`.
    pub status: Option<u16>,
}

/// What an operator configures.
#[derive(Clone, Debug)]
pub struct SupervisorConfig {
    /// The address that clients connect to.
    pub listen: SocketAddr,
    /// Connections that may wait to be accepted.
    pub backlog: i32,
    /// The operator's file, for the balancers.
    pub config: PathBuf,
    /// The directory of programs.
    pub programs: PathBuf,
    /// The supervisor's own directory.
    pub state: PathBuf,
    /// The program to run.
    pub program: ProgramDigest,
    /// The request by which a new process is tried.
    pub trial: TrialRequest,
    /// Times and numbers.
    pub settings: SupervisorSettings,
}

/// Why the supervisor ends, or does not start.
#[derive(Debug, Error)]
pub enum SupervisorError {
    /// Its directory cannot be used.
    #[error(transparent)]
    StateDirectory(#[from] StateDirectoryError),
    /// The clients' address cannot be bound.
    #[error("listen on {address}: {error}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What failed.
        #[source]
        error: io::Error,
    },
    /// The system refuses a thread, a signal handler or the like.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// All threads that could notify it are gone.
    #[error("no thread is left")]
    Disconnected,
}

/// Why a process cannot be started.
#[derive(Debug, Error)]
enum StartError {
    #[error(transparent)]
    Program(#[from] ProgramError),
    #[error("the clients' address: {0}")]
    Listen(io::Error),
    #[error("{}: {error}", path.display())]
    Spawn { path: PathBuf, error: io::Error },
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// What the event loop is notified of.
pub(crate) enum Notification {
    /// An event.
    Event(Event),
    /// There is a connection to a process.
    Connected(u64, Arc<ControlConnection>),
    /// A signal.
    Signal(i32),
}

/// The handles to a process.
struct RunningProcess {
    handle: Option<Arc<ProcessHandle>>,
    connection: Option<Arc<ControlConnection>>,
    monitor: ProcessMonitor,
}

struct Supervisor<'a> {
    config: &'a SupervisorConfig,
    directory: StateDirectory,
    programs: ProgramDirectory,
    listener: TcpListener,
    state_machine: StateMachine,
    processes: BTreeMap<u64, RunningProcess>,
    /// The state as it was saved last.
    saved: Option<SupervisorState>,
    notifications: Sender<Notification>,
}

/// Supervises until SIGTERM. At SIGHUP, `reload` reads anew which program is to run.
///
/// # Errors
///
/// If the directory or the clients' address cannot be used, or the system refuses a thread.
pub fn run<E: std::fmt::Display>(
    config: &SupervisorConfig,
    reload: impl Fn() -> Result<ProgramDigest, E>,
) -> Result<(), SupervisorError> {
    let directory = StateDirectory::open(&config.state)?;
    let (notifications, received) = channel();
    forward_signals(notifications.clone())?;
    let saved = directory.load().unwrap_or_else(|e| {
        tracing::error!("nothing is remembered: {e}");
        None
    });
    let state = saved.unwrap_or_else(|| SupervisorState::new(config.program.clone()));
    let Adoption { found, adopted, listener } = Adoption::run(&directory, &state);
    let listener = match listener {
        Some(listener) => listener,
        None => bind(config.listen, config.backlog)
            .map_err(|error| SupervisorError::Listen { address: config.listen, error })?,
    };
    tracing::info!(listen = %listener.local_addr()?, adopted = adopted.len(), "supervising");
    let start = Instant::now();
    let seed = fastrand::u64(..);
    let state_machine = StateMachine::resume(config.settings.clone(), state, &found, seed, Duration::ZERO);
    let mut supervisor = Supervisor {
        config,
        directory,
        programs: ProgramDirectory::new(&config.programs),
        listener,
        state_machine,
        processes: BTreeMap::new(),
        saved: None,
        notifications,
    };
    for Adopted { id, connection, handle } in adopted {
        wait_for_process(Arc::clone(&handle), id, supervisor.notifications.clone())?;
        supervisor.monitor(id, Some(handle), connection.map(Arc::new))?;
    }
    supervisor.run(start, &received, reload)
}

fn forward_signals(notifications: Sender<Notification>) -> io::Result<()> {
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP])?;
    let forward = move || {
        for signal in signals.forever() {
            if notifications.send(Notification::Signal(signal)).is_err() {
                return;
            }
        }
    };
    std::thread::Builder::new().name("signals".into()).spawn(forward).map(drop)
}

fn bind(address: SocketAddr, backlog: i32) -> io::Result<TcpListener> {
    let domain = socket2::Domain::for_address(address);
    let socket = socket2::Socket::new(domain, socket2::Type::STREAM, None)?;
    // As after a crash: the address may still have connections that are closing.
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(backlog)?;
    Ok(socket.into())
}

impl Supervisor<'_> {
    fn run<E: std::fmt::Display>(
        mut self,
        start: Instant,
        received: &Receiver<Notification>,
        reload: impl Fn() -> Result<ProgramDigest, E>,
    ) -> Result<(), SupervisorError> {
        // A file that was changed while no supervisor ran is an operator's request.
        let configured = self.state_machine.saved_state(|_| None).configured_program;
        let is_changed = configured != self.config.program;
        let mut event =
            if is_changed { Event::ProgramRequested(self.config.program.clone()) } else { Event::Tick };
        loop {
            let actions = self.state_machine.handle(start.elapsed(), event);
            self.save_state();
            for action in actions {
                if action == Action::Exit {
                    tracing::info!("gone");
                    return Ok(());
                }
                self.execute(action);
            }
            let now = start.elapsed();
            let wait = self.state_machine.next_deadline(now).map_or(MAX_WAIT, |at| at.saturating_sub(now));
            event = self.next_event(received, wait.min(MAX_WAIT), &reload)?;
            if let Event::Exited(id) = event {
                self.processes.remove(&id);
                self.directory.remove_socket(id);
            }
        }
    }

    fn next_event<E: std::fmt::Display>(
        &mut self,
        received: &Receiver<Notification>,
        wait: Duration,
        reload: impl Fn() -> Result<ProgramDigest, E>,
    ) -> Result<Event, SupervisorError> {
        Ok(match received.recv_timeout(wait) {
            Ok(Notification::Event(event)) => event,
            Ok(Notification::Connected(id, connection)) => {
                if let Some(process) = self.processes.get_mut(&id) {
                    process.connection = Some(connection);
                }
                Event::Tick
            }
            Ok(Notification::Signal(SIGHUP)) => match reload() {
                Ok(program) => Event::ProgramRequested(program),
                Err(e) => {
                    tracing::warn!("the program to run stays as it is: {e}");
                    Event::Tick
                }
            },
            Ok(Notification::Signal(_)) => {
                Event::Shutdown { has_waiting_clients: control_socket::has_waiting_clients(&self.listener) }
            }
            Err(RecvTimeoutError::Timeout) => Event::Tick,
            Err(RecvTimeoutError::Disconnected) => return Err(SupervisorError::Disconnected),
        })
    }

    /// Saves the state before any action that rests on it: the next supervisor has to know of it.
    fn save_state(&mut self) {
        let process_id = |id| self.processes.get(&id).and_then(|process| Some(process.handle.as_ref()?.id()));
        let state = self.state_machine.saved_state(process_id);
        if self.saved.as_ref() == Some(&state) {
            return;
        }
        match self.directory.save(&state) {
            Ok(()) => self.saved = Some(state),
            Err(e) => tracing::error!("the next supervisor will not know how things stand: {e}"),
        }
    }

    fn notify(&self, event: Event) {
        // The loop that receives it is this one's.
        let _ = self.notifications.send(Notification::Event(event));
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Start { id, program, crashes } => {
                if let Err(e) = self.start_process(id, &program, crashes) {
                    self.notify(Event::Failed(id, e.to_string()));
                }
                self.save_state();
            }
            Action::RunTrial { id, strict } => self.command_monitor(id, MonitorCommand::RunTrial { strict }),
            Action::Accept(id) => self.command_monitor(id, MonitorCommand::Accept),
            Action::NotifySibling(id, is_there) => self.send(id, if is_there { "beside" } else { "alone" }),
            Action::Terminate(id, is_replaced) => {
                if !is_replaced {
                    self.send(id, "end");
                    std::thread::sleep(SHUTDOWN_NOTICE);
                }
                self.signal(id, ProcessHandle::terminate);
            }
            Action::Kill(id) => self.signal(id, ProcessHandle::kill),
            Action::StopListening => control_socket::stop_listening(&self.listener),
            Action::Log(text) => tracing::info!("{text}"),
            Action::Exit => {}
        }
    }

    fn start_process(&mut self, id: u64, program: &ProgramDigest, crashes: u32) -> Result<(), StartError> {
        let path = self.programs.verified_path(program)?;
        if !control_socket::is_listening(&self.listener) {
            let address = self.listener.local_addr().map_err(StartError::Listen)?;
            self.listener = bind(address, self.config.backlog).map_err(StartError::Listen)?;
        }
        let socket = self.directory.socket_path(id);
        self.directory.remove_socket(id);
        let child = process::start(&path, &self.config.config, &self.listener, &socket, (program, crashes))
            .map_err(|error| StartError::Spawn { path, error })?;
        let pid = child.id();
        tracing::info!(id, pid, %program, crashes, "started");
        wait_for_child(child, id, self.notifications.clone())?;
        // A process that has exited already is reported by the thread that waits for it.
        let handle = ProcessHandle::open(pid, None).map(Arc::new);
        Ok(self.monitor(id, handle, None)?)
    }

    /// Monitors a process, over a connection where there is one.
    fn monitor(
        &mut self,
        id: u64,
        handle: Option<Arc<ProcessHandle>>,
        connection: Option<Arc<ControlConnection>>,
    ) -> io::Result<()> {
        let trial = (self.config.trial.clone(), self.config.settings.trial_timeout);
        let socket = self.directory.socket_path(id);
        let monitor =
            ProcessMonitor::start(id, socket, trial, connection.clone(), self.notifications.clone())?;
        self.processes.insert(id, RunningProcess { handle, connection, monitor });
        Ok(())
    }

    fn command_monitor(&self, id: u64, command: MonitorCommand) {
        if let Some(process) = self.processes.get(&id) {
            process.monitor.send(command);
        }
    }

    fn send(&self, id: u64, command: &str) {
        let connection = self.processes.get(&id).and_then(|process| process.connection.as_ref());
        if let Some(Err(e)) = connection.map(|connection| connection.send(command)) {
            tracing::debug!(id, "{command}: {e}");
        }
    }

    fn signal(&self, id: u64, signal: impl Fn(&ProcessHandle)) {
        match self.processes.get(&id) {
            Some(RunningProcess { handle: Some(handle), .. }) => signal(handle),
            // It is reported by the thread that waits for it.
            Some(_) => {}
            // It was never started.
            None => self.notify(Event::Exited(id)),
        }
    }
}
