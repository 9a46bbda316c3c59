//! Processes: started with the listening socket, known by their id and start, watched and signalled by `pidfd`.

use crate::hand;
use crate::memory::Digest;
use command_fds::{CommandFdExt, FdMapping};
use rustix::event::{PollFd, PollFlags, poll};
use rustix::process::{
    Pid, PidfdFlags, Signal, kill_process, kill_process_group, pidfd_open, pidfd_send_signal,
};
use std::io;
use std::net::TcpListener;
use std::os::fd::OwnedFd;
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// The descriptor that a process inherits the listening socket as.
const SOCKET: i32 = 7;
/// How often a process is looked at where the system has no `pidfd`.
const LOOK: Duration = Duration::from_millis(50);
/// How long a program's file may be busy, since whoever wrote it has it open.
const BUSY: Duration = Duration::from_secs(1);

/// When a process was started, in the system's ticks; `None` if there is no such process, or only what is left of one.
pub fn started(pid: u32) -> Option<u64> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    // Field 2, the name, may hold anything. Field 3 is the state, field 22 the start (proc_pid_stat(5)).
    let mut fields = stat.rsplit_once(')')?.1.split_whitespace();
    let state = fields.next()?;
    let start = fields.nth(18)?;
    (!matches!(state, "Z" | "X")).then(|| start.parse().ok()).flatten()
}

/// A process.
#[derive(Debug)]
pub struct Handle {
    pid: u32,
    started: u64,
    pidfd: Option<OwnedFd>,
}

impl Handle {
    /// The process of this id; where `started` is known it has to be the one that was started then.
    pub fn of(pid: u32, known: Option<u64>) -> Option<Self> {
        let raw = Pid::from_raw(pid.try_into().ok()?)?;
        // First the descriptor: what it stands for does not change any more.
        let pidfd = pidfd_open(raw, PidfdFlags::empty()).ok();
        let started = started(pid).filter(|started| known.is_none_or(|known| known == *started))?;
        Some(Self { pid, started, pidfd })
    }

    /// Its id, and its start.
    pub fn id(&self) -> (u32, u64) {
        (self.pid, self.started)
    }

    /// Whether it still runs.
    pub fn runs(&self) -> bool {
        started(self.pid) == Some(self.started)
    }

    /// Waits until it is gone.
    pub fn gone(&self) {
        while self.runs() {
            let polled = self.pidfd.as_ref().map(|fd| poll(&mut [PollFd::new(fd, PollFlags::IN)], None));
            if !matches!(polled, Some(Ok(_))) {
                std::thread::sleep(LOOK);
            }
        }
    }

    fn signal(&self, signal: Signal) {
        let sent = match &self.pidfd {
            Some(fd) => pidfd_send_signal(fd, signal),
            None if self.runs() => {
                Pid::from_raw(self.pid as i32).map_or(Ok(()), |pid| kill_process(pid, signal))
            }
            None => Ok(()),
        };
        if let Err(e) = sent {
            tracing::debug!(pid = self.pid, "{signal:?}: {e}");
        }
    }

    /// Asks it to end.
    pub fn term(&self) {
        self.signal(Signal::TERM);
    }

    /// Ends it, and whom it has started: a script's balancer must not stay without its script.
    pub fn kill(&self) {
        if self.runs()
            && let Some(pid) = Pid::from_raw(self.pid as i32)
        {
            // It is the leader of its own group; one that is not has none of this number.
            let _ = kill_process_group(pid, Signal::KILL);
        }
        self.signal(Signal::KILL);
    }
}

/// Starts a balancer with the listening socket.
pub fn start(
    program: &Path,
    config: &Path,
    listener: &TcpListener,
    hand: &Path,
    (digest, crashes): (&Digest, u32),
) -> io::Result<Child> {
    let begun = Instant::now();
    loop {
        let mut command = Command::new(program);
        command
            .args(["run".as_ref(), "--config".as_ref(), config.as_os_str()])
            .env("NODE_SOCKET_FD", SOCKET.to_string())
            .env(hand::VARIABLE, hand)
            .env(hand::DIGEST, digest.as_str())
            .env(hand::CRASHES, crashes.to_string())
            .stdin(Stdio::null())
            // What a terminal sends to the supervisor is not for it.
            .process_group(0);
        let socket = FdMapping { parent_fd: listener.try_clone()?.into(), child_fd: SOCKET };
        command.fd_mappings(vec![socket]).map_err(io::Error::other)?;
        match command.spawn() {
            Err(e) if e.kind() == io::ErrorKind::ExecutableFileBusy && begun.elapsed() < BUSY => {
                std::thread::sleep(LOOK);
            }
            spawned => return spawned,
        }
    }
}
