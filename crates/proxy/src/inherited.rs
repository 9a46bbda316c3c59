//! The listening socket that the platform holds and this process inherits.
//!
//! Several processes share it: it is never shut down here, only closed, and that it does not block is true for all.

use socket2::{Domain, Socket, Type};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::{FromRawFd, OwnedFd, RawFd};

/// The variable that names its descriptor.
pub const VARIABLE: &str = "NODE_SOCKET_FD";

/// Takes over the socket that [`VARIABLE`] names, if it names one. To be called first of all, once: later its number may
/// belong to somebody else in this process.
#[expect(unsafe_code, reason = "no crate takes over a descriptor by a number of the platform's own choice")]
pub fn take() -> Option<io::Result<TcpListener>> {
    let text = std::env::var(VARIABLE).ok()?;
    let fd: RawFd = match text.trim().parse() {
        Ok(fd) if fd > 2 => fd,
        _ => return Some(Err(io::Error::other(format!("{text:?} is no descriptor's number")))),
    };
    let kind = match std::fs::read_link(format!("/proc/self/fd/{fd}")) {
        Ok(kind) => kind,
        Err(e) => return Some(Err(io::Error::new(e.kind(), format!("descriptor {fd} is not open")))),
    };
    if !kind.to_string_lossy().starts_with("socket:") {
        return Some(Err(io::Error::other(format!("descriptor {fd} is no socket"))));
    }
    // SAFETY: it is open, as was just read, and nobody else in this process owns it: the platform passes it on for this
    // process to take, and this runs once, before anything else is opened or closed.
    let owned = unsafe { OwnedFd::from_raw_fd(fd) };
    Some(listening(owned.into()))
}

fn listening(socket: Socket) -> io::Result<TcpListener> {
    let address = socket.local_addr()?;
    let inet = [Domain::IPV4, Domain::IPV6].contains(&socket.domain()?);
    if !inet || socket.r#type()? != Type::STREAM || !socket.is_listener()? {
        return Err(io::Error::other(format!("no TCP socket that listens: {:?}", address.as_socket())));
    }
    socket.set_nonblocking(true)?;
    Ok(socket.into())
}

/// What was taken, if it is where clients connect; else the balancer's own socket does as well, unless somebody holds that address.
pub fn fit(taken: Option<io::Result<TcpListener>>, listen: SocketAddr) -> Option<TcpListener> {
    taken?
        .and_then(|listener| serves(&listener, listen).map(|()| listener))
        .map_err(|e| tracing::warn!("{VARIABLE}: {e}; binding {listen} instead"))
        .ok()
}

/// Whether it is where clients connect, by the configuration.
fn serves(listener: &TcpListener, listen: SocketAddr) -> io::Result<()> {
    let local = listener.local_addr()?;
    let same = local.port() == listen.port() && (local.ip() == listen.ip() || local.ip().is_unspecified());
    if same || listen.port() == 0 {
        return Ok(());
    }
    Err(io::Error::other(format!("it listens on {local}, and the configuration says {listen}")))
}
