//! How a process leaves: whether another process accepts clients in its place decides how long it goes on accepting
//! them itself.

use super::ServingHooks;
use crate::server::ShutdownPhase;
use crate::supervised::SupervisorChannel;
use maplehook_eureka::Registrar;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::Signal;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::timeout;

/// Time for which connections are still accepted after SIGTERM if no other process accepts them. The platform's
/// front end assigns new connections for up to 0.4 s after SIGTERM.
const LAST_ACCEPT_TIME: Duration = Duration::from_millis(600);
/// Time that idle connections stay open after SIGTERM if another process accepts new ones at once. A connection
/// used in this time closes after its response, so that few requests are sent on a closing connection.
const REPLACED_DRAIN_TIME: Duration = Duration::from_millis(2000);

/// Who accepts clients after this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Departure {
    /// Another process, which accepts on the same listener already.
    Replaced,
    /// Nobody yet: somebody other than the supervisor has ended this process. The supervisor starts another one.
    Unannounced,
    /// Nobody: the whole balancer ends.
    Final,
}

impl Departure {
    /// Phase of the server until the drain time is over.
    pub(super) fn first_phase(self) -> ShutdownPhase {
        match self {
            Self::Replaced => ShutdownPhase::Draining,
            Self::Unannounced | Self::Final => ShutdownPhase::NotReady,
        }
    }

    /// Time until idle connections close. A process that is not replaced accepts clients until then.
    pub(super) fn drain_time(self) -> Duration {
        match self {
            Self::Replaced => REPLACED_DRAIN_TIME,
            Self::Unannounced | Self::Final => LAST_ACCEPT_TIME,
        }
    }
}

/// Waits until the process is told to end. Without a supervisor, whoever shares the listener with this process has
/// another process accept before it sends SIGTERM.
pub(super) async fn wait_for_departure(
    address: SocketAddr,
    hooks: Option<ServingHooks>,
    sigterm: &mut Signal,
    supervisor: Option<&mut SupervisorChannel>,
    is_listener_shared: bool,
) -> Departure {
    let unsupervised = if is_listener_shared { Departure::Replaced } else { Departure::Final };
    match (hooks, supervisor) {
        (Some(ServingHooks { on_ready, stop }), _) => {
            on_ready(address);
            tokio::select! { _ = sigterm.recv() => {} _ = stop => {} }
            unsupervised
        }
        (None, Some(supervisor)) => tokio::select! {
            biased;
            () = supervisor.wait_for_shutdown() => Departure::Final,
            _ = sigterm.recv() => departure_on_sigterm(supervisor),
        },
        (None, None) => {
            sigterm.recv().await;
            unsupervised
        }
    }
}

fn departure_on_sigterm(supervisor: &SupervisorChannel) -> Departure {
    let is_supervised = supervisor.announce_leaving();
    if supervisor.is_replaced() {
        Departure::Replaced
    } else if is_supervised {
        Departure::Unannounced
    } else {
        Departure::Final
    }
}

/// Waits for the other process of an unannounced departure, while this one still accepts clients. Returns what the
/// departure has become.
pub(super) async fn wait_for_successor(
    departure: Departure,
    supervisor: &mut SupervisorChannel,
) -> Departure {
    let replaced = supervisor.wait_until_replaced();
    let told = async {
        tokio::select! {
            biased;
            () = supervisor.wait_for_shutdown() => Departure::Final,
            () = replaced => Departure::Replaced,
        }
    };
    match departure {
        Departure::Unannounced => timeout(LAST_ACCEPT_TIME, told).await.unwrap_or(departure),
        Departure::Replaced | Departure::Final => departure,
    }
}

/// Registration of this balancer in Eureka, and the task that keeps it alive.
pub(super) struct ActiveRegistration {
    registrar: Rc<Registrar>,
    task: JoinHandle<()>,
}

impl ActiveRegistration {
    pub(super) fn start(registrar: Registrar) -> Self {
        let registrar = Rc::new(registrar);
        let kept = Rc::clone(&registrar);
        Self { registrar, task: spawn_local(async move { kept.keep().await }) }
    }

    /// Stops keeping the registration alive. The next process of a supervisor goes on with it.
    pub(super) fn release(&self) {
        self.task.abort();
    }

    /// Deregisters a balancer whose registration was released, so that clients of the registry stop sending requests.
    /// Does not wait for it.
    pub(super) fn deregister(self) {
        spawn_local(async move {
            if !self.registrar.deregister().await {
                tracing::warn!(
                    "deregistration failed; the registry removes the instance when its lease expires"
                );
            }
        });
    }
}
