//! A balancer under test, and what it uses.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdin, Command, Stdio};
use std::time::{Duration, Instant};

/// A process under test; killed when dropped.
pub struct Process {
    child: Child,
    _input: Option<ChildStdin>,
    files: Vec<PathBuf>,
    /// Where it listens.
    pub address: SocketAddr,
}

/// What a process has used.
#[derive(Clone, Copy, Debug, Default)]
pub struct Used {
    /// Processor's time.
    pub cpu: Duration,
    /// Descriptors held.
    pub descriptors: usize,
    /// Memory in KiB.
    pub memory_kb: u64,
    /// When this was so.
    pub at: Option<Instant>,
}

impl Process {
    /// A balancer in front of one upstream, with this operator's file; its limits are the platform's least.
    pub fn balancer(
        program: &Path,
        upstream: SocketAddr,
        sockets: usize,
        operator: &str,
    ) -> Result<Self, String> {
        let base = std::env::temp_dir().join(format!(
            "maplehook-load-test-{}-{}",
            std::process::id(),
            Instant::now().elapsed().as_nanos() + u128::from(upstream.port())
        ));
        let (config, file) = (base.with_extension("json"), base.with_extension("toml"));
        let class = |name: &str, effect: &str| {
            format!(
                r#"{{"name":"{name}","aim_ms":500,"hard_limit_ms":2000,"late_worth":0.5,"effect":"{effect}"}}"#
            )
        };
        let text = format!(
            r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:9","seed":"8c1f30d27a5be964",
            "limits":{{"cores":1.0,"memory_mb":64,"sockets":{sockets}}},
            "known":{{"rev":1,"all":true,"targets":[{{"uid":"s-0","endpoint":"{upstream}","az":"a","model":"m","state":"Ready"}}]}},
            "settings":{{"balancers":1,"me":0,"classes":[{},{}],"discovery":"automatic",
            "failure_domains":["a"],"skus":["m"],"locality":0,
            "limits":{{"conn_idle_ms":60000,"connect_timeout_ms":200,"try_limit":3}},
            "parties":[{{"name":"walkers","allowance_per_s":4000.0}},{{"name":"lodge","allowance_per_s":4000.0}}]}}}}"#,
            class("look", "idempotent"),
            class("book", "at_most_once")
        );
        std::fs::write(&config, text).map_err(|e| e.to_string())?;
        std::fs::write(&file, operator).map_err(|e| e.to_string())?;
        let mut command = Command::new(program);
        command.arg("--config").arg(&file).env("NODE_CONFIG", &config).stderr(Stdio::piped());
        Self::logging(command, program, vec![config, file])
    }

    /// A balancer that an operator's file alone describes.
    pub fn by_file(program: &Path, text: &str) -> Result<Self, String> {
        let unique = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let unique = unique.map_or(0, |t| t.as_nanos());
        let file =
            std::env::temp_dir().join(format!("maplehook-load-test-{}-{unique}.toml", std::process::id()));
        std::fs::write(&file, text).map_err(|e| e.to_string())?;
        let mut command = Command::new(program);
        command.arg("run").arg("--config").arg(&file).stderr(Stdio::piped());
        Self::logging(command, program, vec![file])
    }

    fn logging(mut command: Command, program: &Path, files: Vec<PathBuf>) -> Result<Self, String> {
        let mut child = command.spawn().map_err(|e| format!("{}: {e}; is it built?", program.display()))?;
        let log = child.stderr.take().ok_or("no log")?;
        let mut lines = BufReader::new(log).lines().map_while(Result::ok);
        let said = lines.find(|line| line.contains(" listen=")).ok_or("the balancer ended")?;
        let address = said.split(" listen=").nth(1).and_then(|rest| rest.split(' ').next());
        let address = address.and_then(|a| a.parse().ok()).ok_or("no address")?;
        std::thread::spawn(move || lines.for_each(drop));
        Ok(Self { child, _input: None, files, address })
    }

    /// Another mode of this program that prints its address on its first line.
    pub fn own(arguments: &[&str]) -> Result<Self, String> {
        let program = std::env::current_exe().map_err(|e| e.to_string())?;
        let mut command = Command::new(program);
        command.args(arguments).stdin(Stdio::piped()).stdout(Stdio::piped());
        let mut child = command.spawn().map_err(|e| e.to_string())?;
        let mut line = String::new();
        let output = child.stdout.take().ok_or("no output")?;
        BufReader::new(output).read_line(&mut line).map_err(|e| e.to_string())?;
        let address = line.trim().parse().map_err(|_| format!("not an address: {line:?}"))?;
        let input = child.stdin.take();
        Ok(Self { child, _input: input, files: Vec::new(), address })
    }

    /// What it has used so far.
    pub fn used(&self) -> Used {
        let of = |name: &str| std::fs::read_to_string(format!("/proc/{}/{name}", self.child.id()));
        let stat = of("stat").unwrap_or_default();
        let fields: Vec<u64> = stat
            .rsplit(')')
            .next()
            .map(|rest| rest.split_whitespace().map(|f| f.parse().unwrap_or(0)).collect())
            .unwrap_or_default();
        let ticks = fields.get(11).unwrap_or(&0) + fields.get(12).unwrap_or(&0);
        let status = of("status").unwrap_or_default();
        let memory = status.lines().find_map(|l| l.strip_prefix("VmHWM:")).map(|l| l.trim().to_owned());
        Used {
            // USER_HZ is 100 on every Linux.
            cpu: Duration::from_millis(10 * ticks),
            descriptors: std::fs::read_dir(format!("/proc/{}/fd", self.child.id()))
                .map_or(0, Iterator::count),
            memory_kb: memory.and_then(|m| m.split(' ').next()?.parse().ok()).unwrap_or(0),
            at: Some(Instant::now()),
        }
    }

    /// The processor's time that its threads have used, as the scheduler counts it: finer than [`Used::cpu`], and without those that
    /// have ended. `None` where the system does not tell.
    pub fn ran(&self) -> Option<Duration> {
        let tasks = std::fs::read_dir(format!("/proc/{}/task", self.child.id())).ok()?;
        let mut ran = Duration::ZERO;
        for task in tasks.flatten() {
            let text = std::fs::read_to_string(task.path().join("schedstat")).ok()?;
            ran += Duration::from_nanos(text.split(' ').next()?.parse().ok()?);
        }
        Some(ran)
    }

    /// Sets its limit on descriptors.
    pub fn limit(&self, descriptors: u64) -> Result<(), String> {
        let hard = rlimit::Resource::NOFILE.get_hard().map_err(|e| e.to_string())?;
        let pid = self.child.id() as i32;
        rlimit::prlimit(pid, rlimit::Resource::NOFILE, Some((descriptors, hard)), None)
            .map_err(|e| e.to_string())
    }

    /// Whether it runs.
    pub fn runs(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Used {
    /// Cores used since then.
    pub fn cores_since(&self, before: &Self) -> f64 {
        let (Some(now), Some(then)) = (self.at, before.at) else { return 0.0 };
        (self.cpu.saturating_sub(before.cpu)).as_secs_f64() / (now - then).as_secs_f64()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        for file in &self.files {
            let _ = std::fs::remove_file(file);
        }
    }
}
