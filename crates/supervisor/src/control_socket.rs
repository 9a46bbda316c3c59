//! The balancer's side of the control socket: a Unix socket that the balancer creates in the supervisor's state directory.
//!
//! A peer with the same user id is sent the listening socket and one line of JSON, the [`ProcessInfo`]. It then sends the commands
//! `accept`, `beside`, `alone` and `end`, one a line, of which the first is answered by `accepts`. It is sent `leaving` once the process
//! ends without such a command, so that it starts another one in time. A supervisor that was killed leaves nothing that the next one needs: that one connects to the same socket. A process that has not been told to accept ends when its
//! supervisor goes.
//!
//! The listening socket has several holders: the supervisor and each of its processes. Whoever accepts last of all ends listening for
//! every holder, by [`ControlSocket::stop_listening`]; else the system would let in clients that nobody serves.

use rustix::event::{PollFd, PollFlags, Timespec, poll};
use rustix::net::{
    SendAncillaryBuffer, SendAncillaryMessage, SendFlags, Shutdown, sendmsg, shutdown,
    sockopt::{socket_acceptconn, socket_peercred},
};
use serde::{Deserialize, Serialize};
use std::io::{self, BufRead, BufReader, IoSlice, Write};
use std::mem::MaybeUninit;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::AsFd;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{SyncSender, sync_channel};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;

/// The variable that names the control socket that a balancer is to create.
pub const SOCKET_VARIABLE: &str = "MAPLEHOOK_HAND";
/// The variable that gives a balancer the SHA-256 of its program.
pub const DIGEST_VARIABLE: &str = "MAPLEHOOK_DIGEST";
/// The variable that gives it the number of times that its program has died here while it served.
pub const CRASHES_VARIABLE: &str = "MAPLEHOOK_CRASHES";
/// Descriptors that the balancer's side may hold: the socket, connections, the private address.
pub const DESCRIPTORS: usize = 8;
/// Connections that may be open at once.
const MAX_CONNECTIONS: usize = 4;
/// How long a process that is not told to accept waits for its supervisor.
pub const SUPERVISOR_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a process may take to begin to accept.
const ACCEPT_START_TIMEOUT: Duration = Duration::from_secs(4);
/// How long either side may take over a line.
pub(crate) const LINE_TIMEOUT: Duration = Duration::from_secs(2);
/// The longest line, in bytes.
pub(crate) const MAX_LINE_BYTES: usize = 1024;
/// Wait after a connection that could not be accepted.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// What a process answers to the command to accept.
pub(crate) const ACCEPTS_LINE: &str = "accepts\n";
/// What a process sends when it ends without a command to do so.
pub(crate) const LEAVING_LINE: &str = "leaving\n";
const STACK_BYTES: usize = 128 * 1024;

/// What a balancer tells its supervisor of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProcessInfo {
    /// Its program, by its SHA-256.
    pub digest: String,
    /// Where it answers operators' requests, on loopback and as long as it lives.
    pub operators: SocketAddr,
    /// Where the requests of its trial are to be made.
    pub trial: SocketAddr,
    /// Whether it accepts clients.
    pub accepts: bool,
}

/// What a balancer is told by its supervisor.
#[derive(Debug)]
pub enum SupervisorCommand {
    /// Accept clients, and report on this channel once that is so.
    Accept(SyncSender<()>),
    /// Another process of this balancer accepts, too, or does no longer.
    SiblingAccepts(bool),
    /// End, since the whole balancer does.
    Shutdown,
    /// The supervisor is gone, and the process was not told to accept.
    SupervisorLost,
}

/// An open connection of a supervisor.
struct SupervisorConnection {
    stream: UnixStream,
    /// Whether the supervisor has sent the command to end.
    has_sent_end: AtomicBool,
}

impl SupervisorConnection {
    fn send_leaving(&self) {
        if let Err(e) = (&self.stream).write_all(LEAVING_LINE.as_bytes()) {
            tracing::debug!("the supervisor's connection: {e}");
        }
    }
}

/// The balancer's side.
pub struct ControlSocket {
    info: ProcessInfo,
    listener: TcpListener,
    is_accepting: AtomicBool,
    was_connected: AtomicBool,
    /// The open connections. While they are locked, nobody is sent the listening socket.
    connections: Mutex<Vec<Arc<SupervisorConnection>>>,
    /// Whether the process ends without a command to do so. Changes only while the connections are locked.
    is_leaving: AtomicBool,
    on_command: Box<dyn Fn(SupervisorCommand) + Send + Sync>,
}

/// Creates the socket, and calls `on_command` with what is received on it, on threads that live as long as the process.
///
/// # Errors
///
/// If the socket cannot be created or a thread not be started.
pub fn serve(
    path: &Path,
    listener: TcpListener,
    info: ProcessInfo,
    on_command: impl Fn(SupervisorCommand) + Send + Sync + 'static,
) -> io::Result<Arc<ControlSocket>> {
    let socket = UnixListener::bind(path)?;
    let control = Arc::new(ControlSocket {
        info,
        listener,
        is_accepting: AtomicBool::new(false),
        was_connected: AtomicBool::new(false),
        connections: Mutex::default(),
        is_leaving: AtomicBool::new(false),
        on_command: Box::new(on_command),
    });
    let (waiting, accepting) = (Arc::clone(&control), Arc::clone(&control));
    spawn("hand-waits", move || waiting.wait_for_supervisor())?;
    spawn("hand", move || accepting.accept_connections(&socket))?;
    Ok(control)
}

/// Whether a socket still listens.
pub(crate) fn is_listening(listener: &TcpListener) -> bool {
    socket_acceptconn(listener).unwrap_or(false)
}

/// Whether clients wait to be accepted.
pub(crate) fn has_waiting_clients(listener: &TcpListener) -> bool {
    let now = Timespec::default();
    let polled = poll(&mut [PollFd::new(listener, PollFlags::IN)], Some(&now));
    polled.is_ok_and(|ready| ready > 0)
}

/// Ends listening for all holders of the socket. Whoever waits to be accepted is reset.
pub(crate) fn stop_listening(listener: &TcpListener) {
    if is_listening(listener)
        && let Err(e) = shutdown(listener, Shutdown::Both)
    {
        tracing::warn!("the listener stays open: {e}");
    }
}

fn spawn(name: &str, run: impl FnOnce() + Send + 'static) -> io::Result<JoinHandle<()>> {
    std::thread::Builder::new().name(name.into()).stack_size(STACK_BYTES).spawn(run)
}

impl ControlSocket {
    fn wait_for_supervisor(&self) {
        std::thread::sleep(SUPERVISOR_TIMEOUT);
        if !self.was_connected.load(Ordering::Acquire) {
            (self.on_command)(SupervisorCommand::SupervisorLost);
        }
    }

    fn accept_connections(self: &Arc<Self>, socket: &UnixListener) {
        for stream in socket.incoming() {
            let Ok(stream) = stream else {
                std::thread::sleep(ACCEPT_RETRY_INTERVAL);
                continue;
            };
            if let Some(connection) = self.add_connection(stream) {
                let (control, added) = (Arc::clone(self), Arc::clone(&connection));
                if spawn("hand-one", move || control.run_connection(&added)).is_err() {
                    self.remove_connection(&connection);
                }
            }
        }
    }

    fn lock_connections(&self) -> MutexGuard<'_, Vec<Arc<SupervisorConnection>>> {
        self.connections.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a connection, if it is of the same user and one more may be open. The supervisor is sent the process info.
    fn add_connection(&self, stream: UnixStream) -> Option<Arc<SupervisorConnection>> {
        let is_same_user = socket_peercred(&stream).is_ok_and(|peer| peer.uid == rustix::process::geteuid());
        let mut connections = self.lock_connections();
        if !is_same_user || connections.len() >= MAX_CONNECTIONS {
            return None;
        }
        stream.set_write_timeout(Some(LINE_TIMEOUT)).ok()?;
        if let Err(e) = self.send_info(&stream) {
            tracing::debug!("the supervisor's connection: {e}");
            return None;
        }
        let connection = Arc::new(SupervisorConnection { stream, has_sent_end: AtomicBool::new(false) });
        if self.is_leaving.load(Ordering::Acquire) {
            connection.send_leaving();
        }
        connections.push(Arc::clone(&connection));
        self.was_connected.store(true, Ordering::Release);
        Some(connection)
    }

    fn remove_connection(&self, connection: &Arc<SupervisorConnection>) {
        self.lock_connections().retain(|other| !Arc::ptr_eq(other, connection));
    }

    /// Tells every supervisor that the process ends without a command to do so. Returns whether one is connected.
    pub fn announce_leaving(&self) -> bool {
        let connections = self.lock_connections();
        self.is_leaving.store(true, Ordering::Release);
        connections.iter().for_each(|connection| connection.send_leaving());
        !connections.is_empty()
    }

    /// Ends listening for all holders of the socket, if nobody is to accept after this process: each supervisor that is connected
    /// has sent the command to end, or there is none. To be called when this process has accepted its last client.
    pub fn stop_listening(&self) {
        let connections = self.lock_connections();
        if connections.iter().all(|connection| connection.has_sent_end.load(Ordering::Acquire)) {
            stop_listening(&self.listener);
        }
    }

    fn run_connection(&self, connection: &Arc<SupervisorConnection>) {
        if let Err(e) = self.read_commands(connection) {
            tracing::debug!("the supervisor's connection: {e}");
        }
        self.remove_connection(connection);
        if !self.is_accepting.load(Ordering::Acquire) {
            (self.on_command)(SupervisorCommand::SupervisorLost);
        }
    }

    fn read_commands(&self, connection: &SupervisorConnection) -> io::Result<()> {
        let mut reader = BufReader::new(&connection.stream);
        loop {
            let mut line = String::new();
            if io::Read::take(&mut reader, MAX_LINE_BYTES as u64).read_line(&mut line)? == 0 {
                return Ok(());
            }
            match line.trim_end() {
                "accept" => self.start_accepting(&connection.stream)?,
                "beside" => (self.on_command)(SupervisorCommand::SiblingAccepts(true)),
                "alone" => (self.on_command)(SupervisorCommand::SiblingAccepts(false)),
                "end" => {
                    connection.has_sent_end.store(true, Ordering::Release);
                    (self.on_command)(SupervisorCommand::Shutdown);
                }
                // A command of a later supervisor.
                _ => {}
            }
        }
    }

    /// Sends the process info, and the listening socket with it.
    fn send_info(&self, mut stream: &UnixStream) -> io::Result<()> {
        let info = ProcessInfo { accepts: self.is_accepting.load(Ordering::Acquire), ..self.info.clone() };
        let line = serde_json::to_string(&info)? + "\n";
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
        let mut control = SendAncillaryBuffer::new(&mut space);
        let sockets = [self.listener.as_fd()];
        control.push(SendAncillaryMessage::ScmRights(&sockets));
        let sent = sendmsg(stream, &[IoSlice::new(line.as_bytes())], &mut control, SendFlags::NOSIGNAL)?;
        stream.write_all(&line.as_bytes()[sent..])
    }

    fn start_accepting(&self, mut stream: &UnixStream) -> io::Result<()> {
        let (report, accepting) = sync_channel(1);
        (self.on_command)(SupervisorCommand::Accept(report));
        if accepting.recv_timeout(ACCEPT_START_TIMEOUT).is_ok() {
            self.is_accepting.store(true, Ordering::Release);
            stream.write_all(ACCEPTS_LINE.as_bytes())?;
        }
        Ok(())
    }
}
