//! Processes: started with the listening socket, identified by process id and start time, watched and signalled by `pidfd`.

use crate::control_socket;
use crate::saved_state::ProgramDigest;
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
/// How often a process is checked where the system has no `pidfd`.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// How long a program's file may be busy, since its writer still has it open.
const FILE_BUSY_TIMEOUT: Duration = Duration::from_secs(1);

/// Start time of a process, in ticks since the machine's boot; `None` if there is no such process, or only a zombie.
pub fn start_time(pid: u32) -> Option<u64> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    // Field 2, the name, may hold anything. Field 3 is the state, field 22 the start (proc_pid_stat(5)).
    let mut fields = stat.rsplit_once(')')?.1.split_whitespace();
    let state = fields.next()?;
    let start = fields.nth(18)?;
    (!matches!(state, "Z" | "X")).then(|| start.parse().ok()).flatten()
}

/// A handle to one process, which no other process can take over.
#[derive(Debug)]
pub struct ProcessHandle {
    pid: u32,
    started: u64,
    pidfd: Option<OwnedFd>,
}

impl ProcessHandle {
    /// Opens the process of this id; where its start time is known, only the one that was started then.
    pub fn open(pid: u32, known: Option<u64>) -> Option<Self> {
        let raw = Pid::from_raw(pid.try_into().ok()?)?;
        // First the descriptor: what it stands for does not change any more.
        let pidfd = pidfd_open(raw, PidfdFlags::empty()).ok();
        let started = start_time(pid).filter(|started| known.is_none_or(|known| known == *started))?;
        Some(Self { pid, started, pidfd })
    }

    /// Its process id and start time.
    pub fn id(&self) -> (u32, u64) {
        (self.pid, self.started)
    }

    /// Whether it is still running.
    pub fn is_running(&self) -> bool {
        start_time(self.pid) == Some(self.started)
    }

    /// Waits until it has exited.
    pub fn wait_for_exit(&self) {
        while self.is_running() {
            let polled = self.pidfd.as_ref().map(|fd| poll(&mut [PollFd::new(fd, PollFlags::IN)], None));
            if !matches!(polled, Some(Ok(_))) {
                std::thread::sleep(CHECK_INTERVAL);
            }
        }
    }

    fn signal(&self, signal: Signal) {
        let sent = match &self.pidfd {
            Some(fd) => pidfd_send_signal(fd, signal),
            None if self.is_running() => {
                Pid::from_raw(self.pid as i32).map_or(Ok(()), |pid| kill_process(pid, signal))
            }
            None => Ok(()),
        };
        if let Err(e) = sent {
            tracing::debug!(pid = self.pid, "{signal:?}: {e}");
        }
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Kills it with its process group: the balancer of a script must not outlive the script.
    pub fn kill(&self) {
        if self.is_running()
            && let Some(pid) = Pid::from_raw(self.pid as i32)
        {
            // It is the leader of its own group; one that is not has none of this number.
            let _ = kill_process_group(pid, Signal::KILL);
        }
        self.signal(Signal::KILL);
    }
}

/// Starts a balancer with the listening socket. `digest` and `crashes` are passed in its environment.
///
/// # Errors
///
/// If the program cannot be executed.
pub fn start(
    program: &Path,
    config: &Path,
    listener: &TcpListener,
    control_path: &Path,
    (digest, crashes): (&ProgramDigest, u32),
) -> io::Result<Child> {
    let begun = Instant::now();
    loop {
        let mut command = Command::new(program);
        command
            .args(["run".as_ref(), "--config".as_ref(), config.as_os_str()])
            .env("NODE_SOCKET_FD", SOCKET.to_string())
            .env(control_socket::SOCKET_VARIABLE, control_path)
            .env(control_socket::DIGEST_VARIABLE, digest.as_str())
            .env(control_socket::CRASHES_VARIABLE, crashes.to_string())
            .stdin(Stdio::null())
            // What a terminal sends to the supervisor is not for it.
            .process_group(0);
        let socket = FdMapping { parent_fd: listener.try_clone()?.into(), child_fd: SOCKET };
        command.fd_mappings(vec![socket]).map_err(io::Error::other)?;
        match command.spawn() {
            Err(e)
                if e.kind() == io::ErrorKind::ExecutableFileBusy && begun.elapsed() < FILE_BUSY_TIMEOUT =>
            {
                std::thread::sleep(CHECK_INTERVAL);
            }
            spawned => return spawned,
        }
    }
}
