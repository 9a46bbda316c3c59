//! Threads that monitor one process: one waits until it exits, one speaks with it over its control socket.

use crate::control_connection::ControlConnection;
use crate::http_client::request;
use crate::interface::{ACCEPT_TIMEOUT, Event, ROLLOUT_POLL_INTERVAL};
use crate::process::ProcessHandle;
use crate::rollout_report::parse_rollout_status;
use crate::supervisor::{Notification, TrialRequest};
use std::io;
use std::path::PathBuf;
use std::process::Child;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::time::Duration;
use thiserror::Error;

/// How often a new process is looked for, and asked whether it is ready.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// How long a response of the operators' address may take.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);
/// The path that a trial requests where none is set.
const DEFAULT_TRIAL_PATH: &str = "/";
const READY_PATH: &str = "/control/ready";
const ROLLOUT_PATH: &str = "/control/rollout/own";
const STACK_BYTES: usize = 256 * 1024;

/// A command to the thread that speaks with a process.
pub(crate) enum MonitorCommand {
    /// Run its trial; `strict`: the response has to be the expected one.
    RunTrial { strict: bool },
    /// Tell it to accept clients.
    Accept,
}

/// Why a trial failed.
#[derive(Debug, Error)]
enum TrialError {
    #[error("its trial, {method} {path}: {error}")]
    Request { method: String, path: String, error: io::Error },
    #[error("its trial, {method} {path}: {status} instead of {expected}")]
    Status { method: String, path: String, status: u16, expected: u16 },
}

/// The channel to the thread that speaks with a process; the thread ends when this is dropped.
pub(crate) struct ProcessMonitor(Sender<MonitorCommand>);

struct MonitorThread {
    id: u64,
    path: PathBuf,
    trial: (TrialRequest, Duration),
    commands: Receiver<MonitorCommand>,
    notifications: Sender<Notification>,
}

fn spawn(name: &str, run: impl FnOnce() + Send + 'static) -> io::Result<()> {
    std::thread::Builder::new().name(name.into()).stack_size(STACK_BYTES).spawn(run).map(drop)
}

/// Notifies the supervisor when a child has exited.
pub(crate) fn wait_for_child(
    mut child: Child,
    id: u64,
    notifications: Sender<Notification>,
) -> io::Result<()> {
    spawn("reaps", move || {
        match child.wait() {
            Ok(status) => tracing::info!(id, "ended: {status}"),
            Err(e) => tracing::warn!(id, "its end: {e}"),
        }
        // Nobody reads it once the supervisor ends.
        let _ = notifications.send(Notification::Event(Event::Exited(id)));
    })
}

/// Notifies the supervisor when a process that is no child has exited.
pub(crate) fn wait_for_process(
    handle: Arc<ProcessHandle>,
    id: u64,
    notifications: Sender<Notification>,
) -> io::Result<()> {
    spawn("waits", move || {
        handle.wait_for_exit();
        tracing::info!(id, "ended");
        let _ = notifications.send(Notification::Event(Event::Exited(id)));
    })
}

impl ProcessMonitor {
    /// Starts to speak with a process: a new one, or one that there is a connection to.
    pub(crate) fn start(
        id: u64,
        path: PathBuf,
        trial: (TrialRequest, Duration),
        connection: Option<Arc<ControlConnection>>,
        notifications: Sender<Notification>,
    ) -> io::Result<Self> {
        let (sender, commands) = channel();
        let thread = MonitorThread { id, path, trial, commands, notifications };
        spawn("speaks", move || match connection {
            Some(connection) if connection.info.accepts => thread.poll_rollout(&connection),
            // One that was found only to be ended.
            Some(_) => {}
            None => thread.run(),
        })?;
        Ok(Self(sender))
    }

    pub(crate) fn send(&self, command: MonitorCommand) {
        // Its process is gone if the thread is.
        let _ = self.0.send(command);
    }
}

impl MonitorThread {
    fn notify(&self, event: Event) {
        let _ = self.notifications.send(Notification::Event(event));
    }

    /// Pauses; `false` once the process is gone.
    fn pause(&self, time: Duration) -> bool {
        !matches!(self.commands.recv_timeout(time), Err(RecvTimeoutError::Disconnected))
    }

    /// Brings a new process from its start to serving, and then polls it.
    fn run(self) {
        let Some(connection) = self.connect() else { return };
        let linked = Notification::Connected(self.id, Arc::clone(&connection));
        let _ = self.notifications.send(linked);
        if !self.wait_until_ready(&connection) {
            return;
        }
        self.notify(Event::Ready(self.id));
        while let Ok(command) = self.commands.recv() {
            match command {
                MonitorCommand::RunTrial { strict } => {
                    self.notify(match self.run_trial(&connection, strict) {
                        Ok(()) => Event::TrialPassed(self.id),
                        Err(e) => Event::Failed(self.id, e.to_string()),
                    })
                }
                MonitorCommand::Accept => return self.accept(&connection),
            }
        }
    }

    fn connect(&self) -> Option<Arc<ControlConnection>> {
        loop {
            match ControlConnection::connect(&self.path) {
                // The listening socket is the supervisor's own.
                Ok((connection, _listener)) => return Some(Arc::new(connection)),
                Err(_) if self.pause(CHECK_INTERVAL) => {}
                Err(_) => return None,
            }
        }
    }

    fn wait_until_ready(&self, connection: &ControlConnection) -> bool {
        let is_ready = || {
            let response = request(connection.info.operators, "GET", READY_PATH, RESPONSE_TIMEOUT);
            response.is_ok_and(|response| response.status == 200)
        };
        while !is_ready() {
            if !self.pause(CHECK_INTERVAL) {
                return false;
            }
        }
        true
    }

    fn run_trial(&self, connection: &ControlConnection, strict: bool) -> Result<(), TrialError> {
        let (TrialRequest { method, path, status }, timeout) = &self.trial;
        let path = if path.is_empty() { DEFAULT_TRIAL_PATH } else { path };
        let names = || (method.clone(), path.to_owned());
        let response = request(connection.info.trial, method, path, *timeout).map_err(|error| {
            let (method, path) = names();
            TrialError::Request { method, path, error }
        })?;
        match *status {
            Some(expected) if strict && expected != response.status => {
                let (method, path) = names();
                Err(TrialError::Status { method, path, status: response.status, expected })
            }
            _ => Ok(()),
        }
    }

    fn accept(&self, connection: &ControlConnection) {
        let accepted =
            connection.send("accept").and_then(|()| connection.wait_until_accepting(ACCEPT_TIMEOUT));
        match accepted {
            Ok(()) => {
                self.notify(Event::Accepting(self.id));
                self.poll_rollout(connection);
            }
            Err(e) => self.notify(Event::Failed(self.id, format!("it does not accept: {e}"))),
        }
    }

    /// Waits until the next poll is due, and reports if the process leaves meanwhile; `false` once the process is gone.
    fn wait_for_poll(&self, connection: &ControlConnection) -> bool {
        match connection.wait_until_leaving(ROLLOUT_POLL_INTERVAL) {
            Ok(true) => self.notify(Event::Leaving(self.id)),
            Ok(false) => {}
            Err(_) => return self.pause(ROLLOUT_POLL_INTERVAL),
        }
        self.pause(Duration::ZERO)
    }

    /// Polls which program the process should run.
    fn poll_rollout(&self, connection: &ControlConnection) {
        while self.wait_for_poll(connection) {
            let response = request(connection.info.operators, "GET", ROLLOUT_PATH, RESPONSE_TIMEOUT).ok();
            let status = response.and_then(|response| parse_rollout_status(response.status, &response.body));
            self.notify(match status {
                Some(status) => Event::RolloutReported(self.id, status),
                None => Event::Unanswered(self.id),
            });
        }
    }
}
