//! The supervisor's side of a control socket.

use crate::control_socket::{
    ACCEPTS_LINE, LEAVING_LINE, LINE_TIMEOUT, MAX_LINE_BYTES, ProcessInfo, is_listening,
};
use rustix::net::{RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, recvmsg, sockopt::socket_peercred};
use std::io::{self, ErrorKind, IoSliceMut, Read, Write};
use std::mem::MaybeUninit;
use std::net::TcpListener;
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::time::Duration;

/// A connection to a balancer's control socket.
#[derive(Debug)]
pub struct ControlConnection {
    stream: UnixStream,
    /// What the balancer told of itself when the connection was made.
    pub info: ProcessInfo,
    /// Its process id, by the system.
    pub pid: u32,
}

fn invalid(what: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what.to_owned())
}

impl ControlConnection {
    /// Connects to a balancer's control socket, and receives the listening socket; `None` if that does not listen any more, since the
    /// balancer ends.
    ///
    /// # Errors
    ///
    /// If there is no such socket, its owner is another user, or it does not send its info and the socket in time.
    pub fn connect(path: &Path) -> io::Result<(Self, Option<TcpListener>)> {
        let stream = UnixStream::connect(path)?;
        stream.set_read_timeout(Some(LINE_TIMEOUT))?;
        stream.set_write_timeout(Some(LINE_TIMEOUT))?;
        let peer = socket_peercred(&stream)?;
        if peer.uid != rustix::process::geteuid() {
            return Err(invalid("it is another user's"));
        }
        let (line, socket) = receive_info(&stream)?;
        let info = serde_json::from_slice(&line)?;
        let listener = TcpListener::from(socket.ok_or_else(|| invalid("it has handed no socket"))?);
        let pid = peer.pid.as_raw_nonzero().get().unsigned_abs();
        Ok((Self { stream, info, pid }, Some(listener).filter(is_listening)))
    }

    /// Sends a command. It takes two seconds at the most.
    ///
    /// # Errors
    ///
    /// If the connection has ended or does not take the command in time.
    pub fn send(&self, command: &str) -> io::Result<()> {
        (&self.stream).write_all(format!("{command}\n").as_bytes())
    }

    /// Waits for the answer to `accept`.
    ///
    /// # Errors
    ///
    /// If another answer is received, or none in time.
    pub fn wait_until_accepting(&self, timeout: Duration) -> io::Result<()> {
        let line = self.read_line(timeout)?;
        if line == ACCEPTS_LINE { Ok(()) } else { Err(io::Error::other(format!("it answers {line:?}"))) }
    }

    /// Waits until the balancer reports that it ends without a command to do so; `false` if it has not done so in time.
    ///
    /// # Errors
    ///
    /// If the connection has ended.
    pub fn wait_until_leaving(&self, timeout: Duration) -> io::Result<bool> {
        match self.read_line(timeout) {
            // Any other line is of a later program.
            Ok(line) => Ok(line == LEAVING_LINE),
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => Ok(false),
            Err(e) => Err(e),
        }
    }

    /// Reads one line and nothing after it.
    fn read_line(&self, timeout: Duration) -> io::Result<String> {
        self.stream.set_read_timeout(Some(timeout))?;
        let mut line = Vec::new();
        while line.last() != Some(&b'\n') && line.len() < MAX_LINE_BYTES {
            let mut byte = [0];
            (&self.stream).read_exact(&mut byte)?;
            line.extend_from_slice(&byte);
        }
        String::from_utf8(line).map_err(|_| invalid("it has not sent text"))
    }
}

/// The first line of a connection, and the socket that is passed along with it.
fn receive_info(stream: &UnixStream) -> io::Result<(Vec<u8>, Option<OwnedFd>)> {
    let (mut line, mut socket) = (Vec::new(), None);
    while !line.ends_with(b"\n") {
        let mut buffer = [0; MAX_LINE_BYTES];
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
        let mut control = RecvAncillaryBuffer::new(&mut space);
        let received =
            recvmsg(stream, &mut [IoSliceMut::new(&mut buffer)], &mut control, RecvFlags::CMSG_CLOEXEC)?;
        for message in control.drain() {
            if let RecvAncillaryMessage::ScmRights(sockets) = message {
                socket = sockets.last().or(socket);
            }
        }
        line.extend_from_slice(&buffer[..received.bytes]);
        if received.bytes == 0 || line.len() > MAX_LINE_BYTES {
            return Err(invalid("it has not said who it is"));
        }
    }
    Ok((line, socket))
}
