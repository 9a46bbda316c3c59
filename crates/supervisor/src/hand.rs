//! The way between a supervisor and a balancer: a Unix socket of the balancer's, in the supervisor's directory.
//!
//! Whoever comes with the same user id is handed the listening socket and one line of JSON that says who is there; then it says
//! `accept`, `beside`, `alone` and `end`, a line each, of which the first is answered by `accepts`. A supervisor that was killed leaves nothing that the
//! next one needs: it comes to the same socket. A process that has not been told to accept ends when its supervisor goes.

use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer, SendAncillaryMessage,
    SendFlags, recvmsg, sendmsg, sockopt::socket_peercred,
};
use serde::{Deserialize, Serialize};
use std::io::{self, BufRead, BufReader, IoSlice, IoSliceMut, Write};
use std::mem::MaybeUninit;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::AsFd;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::mpsc::{SyncSender, sync_channel};
use std::time::Duration;

/// The variable that names the socket that a balancer is to make.
pub const VARIABLE: &str = "MAPLEHOOK_HAND";
/// The variable that tells a balancer the SHA-256 of its program.
pub const DIGEST: &str = "MAPLEHOOK_DIGEST";
/// The variable that tells it how often its program has died here while it served.
pub const CRASHES: &str = "MAPLEHOOK_CRASHES";
/// Descriptors that the balancer's side may hold: the socket, connections, the private address.
pub const DESCRIPTORS: usize = 8;
/// Connections that may be open at once.
const CONNECTIONS: usize = 4;
/// How long a process that is not told to accept waits for its supervisor.
pub const ALONE: Duration = Duration::from_secs(10);
/// How long a process may take to begin to accept.
const BEGINS: Duration = Duration::from_secs(4);
/// How long the two may take over a line.
const LINE: Duration = Duration::from_secs(2);
/// The longest line.
const LINE_MOST: usize = 1024;

/// What a balancer says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shown {
    /// Its program, by its SHA-256.
    pub digest: String,
    /// Where it answers operators' calls, on loopback and as long as it lives.
    pub operators: SocketAddr,
    /// Where it can be tried.
    pub trial: SocketAddr,
    /// Whether it accepts clients.
    pub accepts: bool,
}

/// What a balancer is told.
#[derive(Debug)]
pub enum Word {
    /// To accept clients; to say so there once it does.
    Accept(SyncSender<()>),
    /// Whether another process of this balancer accepts, too.
    Beside(bool),
    /// To end, since the whole balancer does.
    End,
    /// Its supervisor is gone, and it was not told to accept.
    Lost,
}

/// The balancer's side.
struct Hand {
    shown: Shown,
    listener: TcpListener,
    accepts: AtomicBool,
    came: AtomicBool,
    open: AtomicUsize,
    tell: Box<dyn Fn(Word) + Send + Sync>,
}

/// Makes the socket, and tells what comes by it, on threads that live as long as the process.
pub fn offer(
    path: &Path,
    listener: TcpListener,
    shown: Shown,
    tell: impl Fn(Word) + Send + Sync + 'static,
) -> io::Result<()> {
    let socket = UnixListener::bind(path)?;
    let hand = Arc::new(Hand {
        shown,
        listener,
        accepts: AtomicBool::new(false),
        came: AtomicBool::new(false),
        open: AtomicUsize::new(0),
        tell: Box::new(tell),
    });
    let spawn = |name: &str, run: Box<dyn FnOnce() + Send>| {
        std::thread::Builder::new().name(name.into()).stack_size(128 * 1024).spawn(run)
    };
    let waits = Arc::clone(&hand);
    spawn(
        "hand-waits",
        Box::new(move || {
            std::thread::sleep(ALONE);
            if !waits.came.load(Ordering::Acquire) {
                (waits.tell)(Word::Lost);
            }
        }),
    )?;
    spawn(
        "hand",
        Box::new(move || {
            for stream in socket.incoming() {
                let Ok(stream) = stream else {
                    std::thread::sleep(Duration::from_millis(50));
                    continue;
                };
                let own = socket_peercred(&stream).is_ok_and(|peer| peer.uid == rustix::process::geteuid());
                if !own || hand.open.fetch_add(1, Ordering::AcqRel) >= CONNECTIONS {
                    if own {
                        hand.open.fetch_sub(1, Ordering::AcqRel);
                    }
                    continue;
                }
                let one = Arc::clone(&hand);
                let served = std::thread::Builder::new()
                    .name("hand-one".into())
                    .stack_size(128 * 1024)
                    .spawn(move || {
                        if let Err(e) = one.serve(stream) {
                            tracing::debug!("the supervisor's connection: {e}");
                        }
                        one.open.fetch_sub(1, Ordering::AcqRel);
                        if !one.accepts.load(Ordering::Acquire) {
                            (one.tell)(Word::Lost);
                        }
                    });
                if served.is_err() {
                    hand.open.fetch_sub(1, Ordering::AcqRel);
                }
            }
        }),
    )?;
    Ok(())
}

impl Hand {
    fn serve(&self, stream: UnixStream) -> io::Result<()> {
        self.came.store(true, Ordering::Release);
        stream.set_write_timeout(Some(LINE))?;
        let shown = Shown { accepts: self.accepts.load(Ordering::Acquire), ..self.shown.clone() };
        let line = serde_json::to_string(&shown)? + "\n";
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
        let mut control = SendAncillaryBuffer::new(&mut space);
        let sockets = [self.listener.as_fd()];
        control.push(SendAncillaryMessage::ScmRights(&sockets));
        let sent = sendmsg(&stream, &[IoSlice::new(line.as_bytes())], &mut control, SendFlags::NOSIGNAL)?;
        (&stream).write_all(&line.as_bytes()[sent..])?;
        let mut reader = BufReader::new(&stream);
        loop {
            let mut word = String::new();
            if io::Read::take(&mut reader, LINE_MOST as u64).read_line(&mut word)? == 0 {
                return Ok(());
            }
            match word.trim_end() {
                "accept" => {
                    let (tell, told) = sync_channel(1);
                    (self.tell)(Word::Accept(tell));
                    if told.recv_timeout(BEGINS).is_ok() {
                        self.accepts.store(true, Ordering::Release);
                        (&stream).write_all(b"accepts\n")?;
                    }
                }
                "beside" => (self.tell)(Word::Beside(true)),
                "alone" => (self.tell)(Word::Beside(false)),
                "end" => (self.tell)(Word::End),
                // Of a later supervisor.
                _ => {}
            }
        }
    }
}

/// The supervisor's side.
#[derive(Debug)]
pub struct Link {
    stream: UnixStream,
    /// What the balancer says of itself.
    pub shown: Shown,
    /// Its id at the system, by the system's word.
    pub pid: u32,
}

impl Link {
    /// Comes to a balancer's socket, and takes the listening socket.
    pub fn connect(path: &Path) -> io::Result<(Self, TcpListener)> {
        let stream = UnixStream::connect(path)?;
        stream.set_read_timeout(Some(LINE))?;
        stream.set_write_timeout(Some(LINE))?;
        let peer = socket_peercred(&stream)?;
        let bad = |what: &str| io::Error::new(io::ErrorKind::InvalidData, what.to_owned());
        if peer.uid != rustix::process::geteuid() {
            return Err(bad("it is another user's"));
        }
        let (mut line, mut taken) = (Vec::new(), None);
        while !line.ends_with(b"\n") {
            let mut buffer = [0; LINE_MOST];
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
            let mut control = RecvAncillaryBuffer::new(&mut space);
            let read =
                recvmsg(&stream, &mut [IoSliceMut::new(&mut buffer)], &mut control, RecvFlags::CMSG_CLOEXEC)?;
            for message in control.drain() {
                if let RecvAncillaryMessage::ScmRights(sockets) = message {
                    taken = sockets.last().or(taken);
                }
            }
            line.extend_from_slice(&buffer[..read.bytes]);
            if read.bytes == 0 || line.len() > LINE_MOST {
                return Err(bad("it has not said who it is"));
            }
        }
        let shown = serde_json::from_slice(&line)?;
        let listener = taken.ok_or_else(|| bad("it has handed no socket"))?;
        let pid = peer.pid.as_raw_nonzero().get().unsigned_abs();
        Ok((Self { stream, shown, pid }, listener.into()))
    }

    /// Says a word. It takes two seconds at the most.
    pub fn say(&self, word: &str) -> io::Result<()> {
        (&self.stream).write_all(format!("{word}\n").as_bytes())
    }

    /// Waits for the answer to `accept`.
    pub fn hears_accepts(&self, most: Duration) -> io::Result<()> {
        self.stream.set_read_timeout(Some(most))?;
        let mut line = String::new();
        io::Read::take(BufReader::new(&self.stream), LINE_MOST as u64).read_line(&mut line)?;
        if line == "accepts\n" { Ok(()) } else { Err(io::Error::other(format!("it answers {line:?}"))) }
    }
}
