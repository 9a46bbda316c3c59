//! Process of a balancer that was started by a supervisor. It is tested on a private address and accepts clients
//! only on the supervisor's command.
//!
//! Another process of the same balancer can still hold the admin address, the tier's port and the tier's directory.
//! This process acquires them after their release, and releases them first when it ends.

use crate::control;
use maplehook::parts::driver::Driver;
use maplehook_core::Settings;
use maplehook_supervisor::control_socket::{self, ControlSocket, ProcessInfo, SupervisorCommand};
use std::error::Error;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::mpsc::SyncSender;
use tokio::net::TcpListener;
use tokio::signal::unix::Signal;
use tokio::sync::{mpsc, oneshot, watch};

/// Additional descriptors under a supervisor: a second admin listener and the control socket.
pub const DESCRIPTORS: usize = control::DESCRIPTORS + control_socket::DESCRIPTORS;
/// Maximum number of queued commands from the supervisor.
const MAX_QUEUED_COMMANDS: usize = 16;

/// Environment of a process that was started by a supervisor.
#[derive(Debug)]
pub struct SupervisorEnvironment {
    path: PathBuf,
    digest: String,
}

impl SupervisorEnvironment {
    /// Reads the environment variables of the supervisor. Returns `None` without a supervisor.
    pub fn from_env() -> Option<Self> {
        let path = std::env::var_os(control_socket::SOCKET_VARIABLE)?.into();
        let digest = std::env::var(control_socket::DIGEST_VARIABLE).unwrap_or_default();
        Some(Self { path, digest })
    }

    /// Opens the control socket. `operators` is the private admin address, which the supervisor can always reach.
    pub fn open_control_socket(
        self,
        listener: std::net::TcpListener,
        operators: SocketAddr,
        release: oneshot::Sender<()>,
    ) -> io::Result<SupervisorChannel> {
        let trial_listener = std::net::TcpListener::bind("127.0.0.1:0")?;
        trial_listener.set_nonblocking(true)?;
        let process_info = ProcessInfo {
            digest: self.digest,
            operators,
            trial: trial_listener.local_addr()?,
            accepts: false,
        };
        let (command_sender, commands) = mpsc::channel(MAX_QUEUED_COMMANDS);
        let (sibling_sender, sibling) = watch::channel(false);
        let on_command = move |command| match command {
            SupervisorCommand::SiblingAccepts(has_sibling) => drop(sibling_sender.send_replace(has_sibling)),
            // Commands beyond the queue's capacity are dropped.
            command => drop(command_sender.try_send(command)),
        };
        let control_socket = control_socket::serve(&self.path, listener, process_info, on_command)?;
        Ok(SupervisorChannel {
            trial_listener: Some(TcpListener::from_std(trial_listener)?),
            commands,
            sibling,
            control_socket,
            release: Some(release),
        })
    }
}

/// Commands of the supervisor, and the listener for its trial requests.
pub struct SupervisorChannel {
    trial_listener: Option<TcpListener>,
    commands: mpsc::Receiver<SupervisorCommand>,
    sibling: watch::Receiver<bool>,
    control_socket: Arc<ControlSocket>,
    /// Releases the shared admin address when it is dropped.
    release: Option<oneshot::Sender<()>>,
}

/// Command that ends a trial.
pub enum TrialOutcome {
    /// Accept clients, then acknowledge the command through this sender.
    Accept(SyncSender<()>),
    /// End the process.
    Shutdown,
}

impl SupervisorChannel {
    /// Returns the listener for trial requests. Calls after the first return `None`.
    pub fn take_trial_listener(&mut self) -> Option<TcpListener> {
        self.trial_listener.take()
    }

    /// Returns this process's side of the control socket.
    pub fn control_socket(&self) -> Arc<ControlSocket> {
        Arc::clone(&self.control_socket)
    }

    /// Returns a receiver whose value is true while another process of this balancer accepts clients.
    pub fn watch_sibling(&self) -> watch::Receiver<bool> {
        self.sibling.clone()
    }

    /// Waits for the command that ends the trial. SIGTERM counts as a shutdown command.
    pub async fn wait_for_trial_outcome(
        &mut self,
        term: &mut Signal,
    ) -> Result<TrialOutcome, Box<dyn Error>> {
        tokio::select! {
            _ = term.recv() => Ok(TrialOutcome::Shutdown),
            command = self.commands.recv() => match command {
                Some(SupervisorCommand::Accept(acknowledge)) => {
                    // A sibling that accepts already is an older process.
                    self.sibling.mark_unchanged();
                    Ok(TrialOutcome::Accept(acknowledge))
                }
                Some(SupervisorCommand::Shutdown) => Ok(TrialOutcome::Shutdown),
                _ => Err("the supervisor closed its connection before it sent the command to accept".into()),
            }
        }
    }

    /// Releases the shared admin address for the next process.
    pub fn release_admin_address(&mut self) {
        self.release = None;
    }

    /// Tells the supervisor that this process ends without its command. Returns whether there is a supervisor.
    pub fn announce_leaving(&self) -> bool {
        self.control_socket.announce_leaving()
    }

    /// Returns true if a process that was started after this one accepts clients.
    pub fn is_replaced(&self) -> bool {
        self.sibling.has_changed().unwrap_or(false) && *self.sibling.borrow()
    }

    /// Returns a future that ends once a process that was started after this one accepts clients.
    pub fn wait_until_replaced(&self) -> impl Future<Output = ()> + use<> {
        let mut sibling = self.sibling.clone();
        let mut is_told_since_accept = sibling.has_changed().unwrap_or(false);
        async move {
            while !(is_told_since_accept && *sibling.borrow_and_update()) {
                if sibling.changed().await.is_err() {
                    return std::future::pending().await;
                }
                is_told_since_accept = true;
            }
        }
    }

    /// Waits for the command to shut down all processes of the balancer. SIGTERM ends only this process.
    pub async fn wait_for_shutdown(&mut self) {
        loop {
            match self.commands.recv().await {
                Some(SupervisorCommand::Shutdown) => return,
                // A restarted supervisor repeats the command if it was killed before it received the acknowledgement.
                Some(SupervisorCommand::Accept(acknowledge)) => drop(acknowledge.try_send(())),
                Some(_) => {}
                None => std::future::pending().await,
            }
        }
    }
}

/// Doubles the number of balancers that share the guarantees if `has_sibling` is true: two processes of one
/// balancer together grant what one process grants.
pub fn share_with_sibling(settings: Settings, has_sibling: bool) -> Settings {
    let balancers = settings.balancers.saturating_mul(1 + u32::from(has_sibling));
    Settings { balancers, ..settings }
}

/// Waits until a sibling process starts or stops accepting clients. Never returns without a supervisor.
pub async fn sibling_changed(sibling: Option<&mut watch::Receiver<bool>>) {
    if let Some(sibling) = sibling
        && sibling.changed().await.is_ok()
    {
        return;
    }
    std::future::pending().await
}

/// Updates the driver's guarantees whenever a sibling process starts or stops accepting clients.
pub async fn follow_sibling(settings: Settings, mut sibling: watch::Receiver<bool>, driver: Rc<Driver>) {
    while sibling.changed().await.is_ok() {
        let has_sibling = *sibling.borrow_and_update();
        tracing::info!(two = has_sibling, "the number of processes that share the guarantees changed");
        driver.update_settings(share_with_sibling(settings.clone(), has_sibling), Vec::new());
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn two_processes_together_grant_what_one_grants() {
        let settings = Settings { balancers: 3, ..Settings::default() };
        assert_eq!(share_with_sibling(settings.clone(), true).balancers, 6);
        assert_eq!(share_with_sibling(settings, false).balancers, 3);
    }
}
