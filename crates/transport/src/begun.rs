//! A part in a tier begins: its port, its directory, the number of its start.

use crate::part::Part;
use crate::state::{self, State};
use maplehook_cluster::start;
use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::oneshot;
use tokio::time::timeout;

/// Tries to find a port that is free for both protocols.
const TRIES: usize = 32;
/// How often a port is looked at that another process still holds.
const LOOK: Duration = Duration::from_millis(10);

/// What a part in a tier begins with.
pub(crate) struct Begun {
    pub(crate) listener: TcpListener,
    pub(crate) socket: UdpSocket,
    /// Holds the lock.
    pub(crate) state: Option<State>,
    pub(crate) recorded: Option<u64>,
    pub(crate) start: u64,
}

/// The time, in Unix milliseconds.
pub fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(now.as_millis()).unwrap_or(u64::MAX)
}

/// Binds the same port for both protocols.
fn bind(address: SocketAddr) -> io::Result<(TcpListener, UdpSocket)> {
    let mut tries = 0;
    loop {
        let listener = TcpListener::bind(address)?;
        match UdpSocket::bind(listener.local_addr()?) {
            Ok(socket) => {
                listener.set_nonblocking(true)?;
                socket.set_nonblocking(true)?;
                return Ok((listener, socket));
            }
            // The system chose a port that is taken for datagrams.
            Err(_) if address.port() == 0 && tries < TRIES => tries += 1,
            Err(e) => return Err(e),
        }
    }
}

impl Begun {
    /// Takes port and directory, and a start.
    pub(crate) fn new(part: &Part) -> io::Result<Self> {
        let (listener, socket) = bind(part.listen)?;
        let address = listener.local_addr()?;
        let mut odd = |line: String| tracing::warn!("tier.state: {line}");
        let state = part.state.as_deref().map(|directory| State::open(directory, &part.name, &mut odd));
        let recorded = state.as_ref().and_then(|state| state.recorded);
        let start = start::next(unix_ms(), fastrand::u64(..), recorded);
        if let Some(state) = &state {
            if state.taken {
                tracing::warn!(
                    "tier.state: {}: another process holds it; if it goes by the name {} too, this later one stays",
                    state.directory().display(),
                    part.name
                );
            }
            if let Err(e) = state::record(state.directory(), &part.name, start) {
                tracing::warn!(
                    "tier.state: {}: the start is not recorded: {e}; the next one goes by the clock alone",
                    state.directory().display()
                );
            }
        }
        tracing::info!(tier_listen = %address, name = %part.name, start, "takes part in a tier");
        Ok(Self { listener, socket, state, recorded, start })
    }

    /// The same, once the port is free; `None` if it is to stop before.
    pub(crate) async fn when_free(part: &Part, stopped: &mut oneshot::Receiver<()>) -> Option<Self> {
        let mut told = false;
        loop {
            match Self::new(part) {
                Ok(begun) => return Some(begun),
                Err(e) if !std::mem::replace(&mut told, true) => {
                    tracing::info!("tier.listen: {}: {e}; it is waited for", part.listen);
                }
                Err(_) => {}
            }
            if timeout(LOOK, &mut *stopped).await.is_ok() {
                return None;
            }
        }
    }
}
