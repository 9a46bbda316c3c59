//! Takes the listening socket that the platform or supervisor opened for this process.
//!
//! Several processes share the socket: only the last one that accepts may shut it down, and its non-blocking mode
//! applies to all of them.

use socket2::{Domain, Socket, Type};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::{FromRawFd, OwnedFd, RawFd};

/// Environment variable with the number of the socket's descriptor.
pub const FD_VARIABLE: &str = "NODE_SOCKET_FD";

/// Takes the listening socket that [`FD_VARIABLE`] names, if the variable is set. Must be called once, before
/// anything else is opened: later the number may belong to another descriptor of this process.
#[expect(unsafe_code, reason = "no crate wraps a descriptor whose number the environment gives")]
pub fn take() -> Option<io::Result<TcpListener>> {
    let text = std::env::var(FD_VARIABLE).ok()?;
    let fd: RawFd = match text.trim().parse() {
        Ok(fd) if fd > 2 => fd,
        _ => return Some(Err(io::Error::other(format!("{text:?} is not a file descriptor number")))),
    };
    let link = match std::fs::read_link(format!("/proc/self/fd/{fd}")) {
        Ok(link) => link,
        Err(e) => return Some(Err(io::Error::new(e.kind(), format!("descriptor {fd} is not open")))),
    };
    if !link.to_string_lossy().starts_with("socket:") {
        return Some(Err(io::Error::other(format!("descriptor {fd} is not a socket"))));
    }
    // SAFETY: the descriptor is open, as just checked, and has no other owner in this process: it was passed
    // on for this process to own, and this function runs once, before anything else is opened or closed.
    let descriptor = unsafe { OwnedFd::from_raw_fd(fd) };
    Some(check_listener(descriptor.into()))
}

fn check_listener(socket: Socket) -> io::Result<TcpListener> {
    let address = socket.local_addr()?;
    let is_inet = [Domain::IPV4, Domain::IPV6].contains(&socket.domain()?);
    if !is_inet || socket.r#type()? != Type::STREAM || !socket.is_listener()? {
        return Err(io::Error::other(format!("not a listening TCP socket: {:?}", address.as_socket())));
    }
    socket.set_nonblocking(true)?;
    Ok(socket.into())
}

/// Returns the inherited listener if it listens on the configured address. Otherwise logs the reason and
/// returns `None`; the balancer then binds `listen` itself, which fails if another process holds that
/// address.
pub fn matching_listener(
    inherited: Option<io::Result<TcpListener>>,
    listen: SocketAddr,
) -> Option<TcpListener> {
    inherited?
        .and_then(|listener| check_address(&listener, listen).map(|()| listener))
        .map_err(|e| tracing::warn!("{FD_VARIABLE}: {e}; binding {listen} instead"))
        .ok()
}

/// Checks that the listener accepts connections to the configured address.
fn check_address(listener: &TcpListener, listen: SocketAddr) -> io::Result<()> {
    let local = listener.local_addr()?;
    let is_same_address =
        local.port() == listen.port() && (local.ip() == listen.ip() || local.ip().is_unspecified());
    if is_same_address || listen.port() == 0 {
        return Ok(());
    }
    Err(io::Error::other(format!(
        "the inherited socket listens on {local}, but the configuration says {listen}"
    )))
}
