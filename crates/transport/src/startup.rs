//! What a node does before it becomes a member: it binds its port, opens its state directory and takes its generation.

use crate::config::NodeConfig;
use crate::state_directory::{self, StateDirectory};
use maplehook_cluster::generation;
use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::oneshot;
use tokio::time::timeout;

/// How often a port is sought that is free for both protocols.
const MAX_BIND_ATTEMPTS: usize = 32;
/// The time between two attempts to bind a port that another process still holds.
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// What a node starts with.
pub(crate) struct Startup {
    pub(crate) listener: TcpListener,
    pub(crate) socket: UdpSocket,
    /// Holds the lock of the directory.
    pub(crate) state_directory: Option<StateDirectory>,
    pub(crate) previous_generation: Option<u64>,
    pub(crate) generation: u64,
}

/// Returns the Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(now.as_millis()).unwrap_or(u64::MAX)
}

/// Binds the same port for both protocols.
fn bind(address: SocketAddr) -> io::Result<(TcpListener, UdpSocket)> {
    let mut attempts = 0;
    loop {
        let listener = TcpListener::bind(address)?;
        match UdpSocket::bind(listener.local_addr()?) {
            Ok(socket) => {
                listener.set_nonblocking(true)?;
                socket.set_nonblocking(true)?;
                return Ok((listener, socket));
            }
            // The system chose a port that is taken for datagrams.
            Err(_) if address.port() == 0 && attempts < MAX_BIND_ATTEMPTS => attempts += 1,
            Err(e) => return Err(e),
        }
    }
}

fn open_state_directory(config: &NodeConfig) -> Option<StateDirectory> {
    let (directory, problems) = StateDirectory::open(config.state_directory.as_deref()?, &config.name);
    for problem in problems {
        tracing::warn!("tier.state: {problem}");
    }
    if directory.is_locked_elsewhere {
        tracing::warn!(
            "tier.state: {}: another process holds it; if it goes by the name {} too, this later one stays",
            directory.path().display(),
            config.name
        );
    }
    Some(directory)
}

impl Startup {
    /// Binds the port, opens the state directory, and takes and records a generation.
    pub(crate) fn new(config: &NodeConfig) -> io::Result<Self> {
        let (listener, socket) = bind(config.listen)?;
        let address = listener.local_addr()?;
        let state_directory = open_state_directory(config);
        let previous_generation = state_directory.as_ref().and_then(|directory| directory.recorded);
        let generation = generation::next(unix_ms(), fastrand::u64(..), previous_generation);
        if let Some(directory) = &state_directory
            && let Err(e) = state_directory::record_generation(directory.path(), &config.name, generation)
        {
            tracing::warn!(
                "tier.state: {}: the start is not recorded: {e}; the next one goes by the clock alone",
                directory.path().display()
            );
        }
        tracing::info!(tier_listen = %address, name = %config.name, generation, "cluster node started");
        Ok(Self { listener, socket, state_directory, previous_generation, generation })
    }

    /// Does the same once the port is free, and returns `None` if the node is to stop before that.
    pub(crate) async fn when_port_is_free(
        config: &NodeConfig,
        stop: &mut oneshot::Receiver<()>,
    ) -> Option<Self> {
        let mut is_reported = false;
        loop {
            match Self::new(config) {
                Ok(startup) => return Some(startup),
                Err(e) if !std::mem::replace(&mut is_reported, true) => {
                    tracing::info!("tier.listen: {}: {e}; it is waited for", config.listen);
                }
                Err(_) => {}
            }
            if timeout(BIND_RETRY_INTERVAL, &mut *stop).await.is_ok() {
                return None;
            }
        }
    }
}
