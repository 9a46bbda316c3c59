//! The balancer of a run as a process.

use super::HOLD_UP;
use super::plan::{Plan, SignalKind};
use super::upstream::Upstream;
use maplehook_test_servers::{entry, list};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread;

/// Locks a mutex, also after a panic of another thread.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A running balancer; killed when dropped.
pub struct Balancer {
    child: Child,
    configuration: PathBuf,
    /// Where clients connect.
    pub address: SocketAddr,
}

impl Balancer {
    /// Starts the process of one life, and waits until it serves.
    pub fn start(
        program: &Path,
        plan: &Plan,
        upstreams: &[Upstream],
        discovery: SocketAddr,
        life: usize,
    ) -> Result<Self, String> {
        let name = format!("maplehook-soak-{}-{}-{life}.json", std::process::id(), plan.seed);
        let configuration = std::env::temp_dir().join(name);
        std::fs::write(&configuration, configuration_text(plan, upstreams, discovery))
            .map_err(|e| e.to_string())?;
        let mut child = Command::new(program)
            .env("NODE_CONFIG", &configuration)
            .env("NODE_LOG", "info")
            .env_remove("NODE_OPERATOR")
            .env_remove("NODE_SOCKET_FD")
            .stderr(Stdio::piped())
            .spawn()
            .map_err(|e| format!("{}: {e}; is it built?", program.display()))?;
        let log = child.stderr.take().ok_or("the process has no log")?;
        let mut lines = BufReader::new(log).lines().map_while(Result::ok);
        let serving =
            lines.find(|line| line.contains(" listen=")).ok_or("the balancer ended at its start")?;
        let address = serving.split(" listen=").nth(1).and_then(|rest| rest.split(' ').next());
        let address = address.and_then(|address| address.parse().ok()).ok_or("no address in the log")?;
        // The log must go on being read, or it would fill.
        thread::spawn(move || lines.for_each(drop));
        Ok(Self { child, configuration, address })
    }

    /// Returns true until the process has ended.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Sends a signal.
    pub fn signal(&self, kind: SignalKind) -> Result<(), String> {
        match kind {
            SignalKind::Terminate => self.send(Signal::SIGTERM),
            SignalKind::Reload => self.send(Signal::SIGHUP),
            SignalKind::HoldUp => {
                self.send(Signal::SIGSTOP)?;
                thread::sleep(HOLD_UP);
                self.send(Signal::SIGCONT)
            }
        }
    }

    fn send(&self, signal: Signal) -> Result<(), String> {
        let pid = Pid::from_raw(self.child.id() as i32);
        kill(pid, signal).map_err(|e| format!("{signal}: {e}"))
    }

    /// Returns the most memory that the process has held, in KiB; `None` if it has ended.
    pub fn peak_memory_kib(&self) -> Option<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
        line.split_whitespace().next()?.parse().ok()
    }

    /// Sends SIGKILL and waits for the end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Balancer {
    fn drop(&mut self) {
        self.kill();
        let _ = std::fs::remove_file(&self.configuration);
    }
}

fn configuration_text(plan: &Plan, upstreams: &[Upstream], discovery: SocketAddr) -> String {
    let entries: Vec<String> = upstreams
        .iter()
        .enumerate()
        .map(|(n, upstream)| entry(&format!("s-{n}"), upstream.address, "Ready"))
        .collect();
    let known = list(1, true, &entries);
    let (deadline_ms, sockets, memory_mb) = (plan.deadline.as_millis(), plan.sockets, plan.memory_mb);
    let class = |name: &str, effect: &str| {
        format!(
            r#"{{"name":"{name}","aim_ms":{deadline_ms},"hard_limit_ms":{deadline_ms},"late_worth":0.5,"effect":"{effect}"}}"#
        )
    };
    let classes = [class("look", "idempotent"), class("book", "at_most_once")].join(",");
    format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"{:016x}",
        "limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":{sockets}}},"known":{known},
        "settings":{{"balancers":1,"me":0,"classes":[{classes}],"discovery":"automatic",
        "failure_domains":["a","b"],"skus":["m"],"locality":0,
        "limits":{{"conn_idle_ms":5000,"connect_timeout_ms":100,"try_limit":4,"retry_after":false}},
        "parties":[{{"name":"acme","allowance_per_s":4000.0}}]}}}}"#,
        plan.seed
    )
}
