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
const WORDS: usize = 16;

/// How a supervisor reaches this process.
#[derive(Debug)]
pub struct Supervised {
    path: PathBuf,
    digest: String,
}

impl Supervised {
    /// By the environment; `None` without a supervisor.
    pub fn from_env() -> Option<Self> {
        let path = std::env::var_os(control_socket::SOCKET_VARIABLE)?.into();
        let digest = std::env::var(control_socket::DIGEST_VARIABLE).unwrap_or_default();
        Some(Self { path, digest })
    }

    /// Lets the supervisor come. `operators`: where it may always ask.
    pub fn begin(
        self,
        listener: std::net::TcpListener,
        operators: SocketAddr,
        release: oneshot::Sender<()>,
    ) -> io::Result<Led> {
        let trial = std::net::TcpListener::bind("127.0.0.1:0")?;
        trial.set_nonblocking(true)?;
        let shown =
            ProcessInfo { digest: self.digest, operators, trial: trial.local_addr()?, accepts: false };
        let (tell, words) = mpsc::channel(WORDS);
        let (beside_to, beside) = watch::channel(false);
        control_socket::serve(&self.path, listener, shown, move |word| match word {
            SupervisorCommand::SiblingAccepts(two) => drop(beside_to.send_replace(two)),
            // A supervisor that floods is told nothing.
            word => drop(tell.try_send(word)),
        })?;
        Ok(Led { trial: Some(TcpListener::from_std(trial)?), words, beside, _release: release })
    }
}

/// The way from the supervisor.
pub struct Led {
    trial: Option<TcpListener>,
    words: mpsc::Receiver<SupervisorCommand>,
    beside: watch::Receiver<bool>,
    /// Lets go of the operators' address when it is dropped.
    _release: oneshot::Sender<()>,
}

/// What became of a trial.
pub enum Tried {
    /// It may accept, and says so there.
    Accepts(SyncSender<()>),
    /// It is to end.
    Ends,
}

impl Led {
    /// Where it is tried; once.
    pub fn trial(&mut self) -> Option<TcpListener> {
        self.trial.take()
    }

    /// Whether another process of this balancer accepts, too.
    pub fn beside(&self) -> watch::Receiver<bool> {
        self.beside.clone()
    }

    /// Waits until it may accept.
    pub async fn tried(&mut self, term: &mut Signal) -> Result<Tried, Box<dyn Error>> {
        tokio::select! {
            _ = term.recv() => Ok(Tried::Ends),
            word = self.words.recv() => match word {
                Some(SupervisorCommand::Accept(tell)) => Ok(Tried::Accepts(tell)),
                Some(SupervisorCommand::Shutdown) => Ok(Tried::Ends),
                _ => Err("the supervisor is gone, and has not told this process to accept".into()),
            }
        }
    }

    /// Waits until the whole balancer is to end.
    pub async fn ends(&mut self) {
        loop {
            match self.words.recv().await {
                Some(SupervisorCommand::Shutdown) => return,
                // A supervisor that was killed just now may not have heard the answer.
                Some(SupervisorCommand::Accept(tell)) => drop(tell.try_send(())),
                Some(_) => {}
                None => std::future::pending().await,
            }
        }
    }
}

/// The settings of one of `beside` two processes of a balancer: together they grant what one does.
pub fn halved(settings: Settings, beside: bool) -> Settings {
    let balancers = settings.balancers.saturating_mul(1 + u32::from(beside));
    Settings { balancers, ..settings }
}

/// Waits until another process comes or goes; for good, where none can.
pub async fn changes(beside: Option<&mut watch::Receiver<bool>>) {
    if let Some(beside) = beside
        && beside.changed().await.is_ok()
    {
        return;
    }
    std::future::pending().await
}

/// Retunes the decisions of a balancer whose settings stay, as another process comes or goes.
pub async fn follow(settings: Settings, mut beside: watch::Receiver<bool>, driver: Rc<Driver>) {
    while beside.changed().await.is_ok() {
        let two = *beside.borrow_and_update();
        tracing::info!(two, "guarantees are shared with another process, or no more");
        driver.update_settings(halved(settings.clone(), two), Vec::new());
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn two_processes_grant_what_one_does() {
        let settings = Settings { balancers: 3, ..Settings::default() };
        assert_eq!(halved(settings.clone(), true).balancers, 6);
        assert_eq!(halved(settings, false).balancers, 3);
    }
}
