//! How a process leaves: whether another process accepts clients in its place decides how long it goes on accepting them itself.

use super::ServingHooks;
use crate::server::ShutdownPhase;
use crate::supervised::SupervisorChannel;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::signal::unix::Signal;

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
    /// Nobody: the whole balancer ends.
    Final,
}

impl Departure {
    /// Phase of the server until the drain time is over.
    pub(super) fn first_phase(self) -> ShutdownPhase {
        match self {
            Self::Replaced => ShutdownPhase::Draining,
            Self::Final => ShutdownPhase::NotReady,
        }
    }

    /// Time until idle connections close. A process that is not replaced accepts clients until then.
    pub(super) fn drain_time(self) -> Duration {
        match self {
            Self::Replaced => REPLACED_DRAIN_TIME,
            Self::Final => LAST_ACCEPT_TIME,
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
            _ = sigterm.recv() => Departure::Replaced,
        },
        (None, None) => {
            sigterm.recv().await;
            unsupervised
        }
    }
}
