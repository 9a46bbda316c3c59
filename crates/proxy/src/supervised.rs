//! A balancer that a supervisor has started: it is tried on an address of its own and accepts clients once it is told to.
//!
//! What another process of the same balancer may still hold - the operators' address, the tier's port and directory - it takes
//! when that has let go, and lets go of first of all when it ends.

use crate::control;
use maplehook::parts::driver::Driver;
use maplehook_core::Settings;
use maplehook_supervisor::control_socket::{self, ProcessInfo, SupervisorCommand};
use std::error::Error;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::mpsc::SyncSender;
use tokio::net::TcpListener;
use tokio::signal::unix::Signal;
use tokio::sync::{mpsc, oneshot, watch};

/// Descriptors beside those of a balancer on its own: a second operators' address, and the way to the supervisor.
pub const DESCRIPTORS: usize = control::DESCRIPTORS + control_socket::DESCRIPTORS;
/// Words that may wait.
const MAX_QUEUED_COMMANDS: usize = 16;

/// How a supervisor reaches this process.
#[derive(Debug)]
pub struct SupervisorEnvironment {
    path: PathBuf,
    digest: String,
}

impl SupervisorEnvironment {
    /// By the environment; `None` without a supervisor.
    pub fn from_env() -> Option<Self> {
        let path = std::env::var_os(control_socket::SOCKET_VARIABLE)?.into();
        let digest = std::env::var(control_socket::DIGEST_VARIABLE).unwrap_or_default();
        Some(Self { path, digest })
    }

    /// Lets the supervisor come. `operators`: where it may always ask.
    pub fn connect_supervisor(
        self,
        listener: std::net::TcpListener,
        operators: SocketAddr,
        release: oneshot::Sender<()>,
    ) -> io::Result<SupervisorChannel> {
        let trial = std::net::TcpListener::bind("127.0.0.1:0")?;
        trial.set_nonblocking(true)?;
        let process_info =
            ProcessInfo { digest: self.digest, operators, trial: trial.local_addr()?, accepts: false };
        let (command_sender, commands) = mpsc::channel(MAX_QUEUED_COMMANDS);
        let (sibling_sender, sibling) = watch::channel(false);
        control_socket::serve(&self.path, listener, process_info, move |command| match command {
            SupervisorCommand::SiblingAccepts(has_sibling) => drop(sibling_sender.send_replace(has_sibling)),
            // A supervisor that floods is told nothing.
            command => drop(command_sender.try_send(command)),
        })?;
        Ok(SupervisorChannel {
            trial: Some(TcpListener::from_std(trial)?),
            commands,
            sibling,
            _release: release,
        })
    }
}

/// The way from the supervisor.
pub struct SupervisorChannel {
    trial: Option<TcpListener>,
    commands: mpsc::Receiver<SupervisorCommand>,
    sibling: watch::Receiver<bool>,
    /// Lets go of the operators' address when it is dropped.
    _release: oneshot::Sender<()>,
}

/// What became of a trial.
pub enum TrialOutcome {
    /// It may accept, and says so there.
    Accept(SyncSender<()>),
    /// It is to end.
    Shutdown,
}

impl SupervisorChannel {
    /// Where it is tried; once.
    pub fn trial(&mut self) -> Option<TcpListener> {
        self.trial.take()
    }

    /// Whether another process of this balancer accepts, too.
    pub fn watch_sibling(&self) -> watch::Receiver<bool> {
        self.sibling.clone()
    }

    /// Waits until it may accept.
    pub async fn wait_for_trial_outcome(
        &mut self,
        term: &mut Signal,
    ) -> Result<TrialOutcome, Box<dyn Error>> {
        tokio::select! {
            _ = term.recv() => Ok(TrialOutcome::Shutdown),
            command = self.commands.recv() => match command {
                Some(SupervisorCommand::Accept(acknowledge)) => Ok(TrialOutcome::Accept(acknowledge)),
                Some(SupervisorCommand::Shutdown) => Ok(TrialOutcome::Shutdown),
                _ => Err("the supervisor is gone, and has not told this process to accept".into()),
            }
        }
    }

    /// Waits until the whole balancer is to end.
    pub async fn wait_for_shutdown(&mut self) {
        loop {
            match self.commands.recv().await {
                Some(SupervisorCommand::Shutdown) => return,
                // A supervisor that was killed just now may not have heard the answer.
                Some(SupervisorCommand::Accept(acknowledge)) => drop(acknowledge.try_send(())),
                Some(_) => {}
                None => std::future::pending().await,
            }
        }
    }
}

/// The settings of one of `beside` two processes of a balancer: together they grant what one does.
pub fn share_with_sibling(settings: Settings, has_sibling: bool) -> Settings {
    let balancers = settings.balancers.saturating_mul(1 + u32::from(has_sibling));
    Settings { balancers, ..settings }
}

/// Waits until another process comes or goes; for good, where none can.
pub async fn sibling_changed(sibling: Option<&mut watch::Receiver<bool>>) {
    if let Some(sibling) = sibling
        && sibling.changed().await.is_ok()
    {
        return;
    }
    std::future::pending().await
}

/// Retunes the decisions of a balancer whose settings stay, as another process comes or goes.
pub async fn follow_sibling(settings: Settings, mut sibling: watch::Receiver<bool>, driver: Rc<Driver>) {
    while sibling.changed().await.is_ok() {
        let has_sibling = *sibling.borrow_and_update();
        tracing::info!(has_sibling, "guarantees are shared with another process, or no more");
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
