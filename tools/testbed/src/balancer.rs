//! A balancer as a process: its directory, its file, its log, and what may be done to it.

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde::Deserialize;
use std::fs;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// The longest wait for a start.
const START: Duration = Duration::from_secs(30);
/// How long an operator waits for an answer.
const ASK: Duration = Duration::from_millis(1500);
/// Lines of a log that are kept.
const LINES_MOST: usize = 20_000;

/// What a balancer shows of another.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Member {
    /// Its name.
    pub name: String,
    /// Its start.
    pub incarnation: u64,
    /// What is believed of it.
    pub state: String,
}

/// What a balancer shows of its tier.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct View {
    /// Its own start.
    pub incarnation: u64,
    /// Whether it speaks.
    pub speaks: bool,
    /// All that it has seen, itself among them.
    pub members: Vec<Member>,
}

/// What a directory of a balancer is restored to before its next start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Keeps {
    /// What it has.
    State,
    /// An older copy of it.
    OldState,
    /// Nothing.
    Nothing,
}

/// A balancer, whether it runs or not.
pub struct Balancer {
    /// Its name.
    pub name: String,
    program: PathBuf,
    directory: PathBuf,
    child: Option<Child>,
    /// Where clients come, operators call, and others speak to it.
    pub listen: Option<SocketAddr>,
    /// Where operators call.
    pub operator: Option<SocketAddr>,
    /// Where other balancers reach it.
    pub tier: Option<SocketAddr>,
    log: Arc<Mutex<Vec<String>>>,
    stopped: bool,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn word<'a>(line: &'a str, key: &str) -> Option<&'a str> {
    line.split([' ', '\t']).find_map(|word| word.strip_prefix(key))
}

impl Balancer {
    /// One with a directory of its own, and its file in there.
    pub fn new(name: &str, program: &Path, directory: &Path, file: &str) -> std::io::Result<Self> {
        fs::create_dir_all(directory)?;
        fs::write(directory.join("maplehook.toml"), file)?;
        Ok(Self {
            name: name.to_owned(),
            program: program.to_owned(),
            directory: directory.to_owned(),
            child: None,
            listen: None,
            operator: None,
            tier: None,
            log: Arc::default(),
            stopped: false,
        })
    }

    /// Its state directory.
    pub fn state(&self) -> PathBuf {
        self.directory.join("state")
    }

    /// Another file, from its next start on.
    pub fn configure(&self, file: &str) -> std::io::Result<()> {
        fs::write(self.directory.join("maplehook.toml"), file)
    }

    /// Keeps a copy of its state, for [`Keeps::OldState`].
    pub fn copy_state(&self) -> std::io::Result<()> {
        match fs::read(self.state().join("start")) {
            Ok(bytes) => fs::write(self.directory.join("start.old"), bytes),
            Err(e) if e.kind() == std::io::ErrorKind::NotFound => Ok(()),
            Err(e) => Err(e),
        }
    }

    /// Starts it and waits until it serves.
    pub fn start(&mut self, keeps: Keeps) -> Result<(), String> {
        // Somebody else may have started it meanwhile.
        if self.runs() {
            return Ok(());
        }
        match keeps {
            Keeps::State => {}
            // It may not be there.
            Keeps::Nothing => drop(fs::remove_dir_all(self.state())),
            Keeps::OldState => {
                let restored = fs::create_dir_all(self.state())
                    .and_then(|()| fs::copy(self.directory.join("start.old"), self.state().join("start")));
                drop(restored);
            }
        }
        let file = self.directory.join("maplehook.toml");
        let mut child = Command::new(&self.program)
            .args(["run", "--config"])
            .arg(file)
            .env_remove("NODE_CONFIG")
            .env("NODE_LOG", "info")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .map_err(|e| format!("{}: {e}; is it built?", self.program.display()))?;
        let log = child.stderr.take().ok_or("no log")?;
        self.child = Some(child);
        (self.listen, self.operator, self.tier, self.stopped) = (None, None, None, false);
        let lines = Arc::clone(&self.log);
        let from = lock(&lines).len();
        let kept = Arc::clone(&lines);
        std::thread::spawn(move || {
            for line in BufReader::new(log).lines().map_while(Result::ok) {
                let mut kept = lock(&kept);
                if kept.len() < LINES_MOST {
                    kept.push(line);
                }
            }
        });
        let begun = Instant::now();
        while begun.elapsed() < START {
            let told = lock(&lines)[from..].to_vec();
            let find = |key: &str| told.iter().find_map(|line| word(line, key)?.parse().ok());
            self.operator = find("operator_listen=");
            self.tier = find("tier_listen=");
            self.listen = find("listen=");
            if self.listen.is_some() {
                return Ok(());
            }
            if !self.runs() {
                let log = lock(&lines)[from..].join("\n");
                return Err(format!("{} has ended: {log}", self.name));
            }
            std::thread::sleep(Duration::from_millis(3));
        }
        Err(format!("{} does not start", self.name))
    }

    /// Whether the process is there, stopped or not.
    pub fn runs(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Whether it is there and not stopped.
    pub fn serves(&mut self) -> bool {
        !self.stopped && self.runs()
    }

    fn signal(&self, signal: Signal) {
        if let Some(child) = &self.child {
            // It may have ended by itself.
            let _ = kill(Pid::from_raw(child.id().cast_signed()), signal);
        }
    }

    /// kill -9.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // It may have ended by itself.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// SIGSTOP.
    pub fn stop(&mut self) {
        self.signal(Signal::SIGSTOP);
        self.stopped = true;
    }

    /// SIGCONT.
    pub fn go_on(&mut self) {
        self.signal(Signal::SIGCONT);
        self.stopped = false;
    }

    /// SIGTERM.
    pub fn term(&self) {
        self.signal(Signal::SIGTERM);
    }

    /// Waits until it has ended by itself.
    pub fn ended(&mut self, most: Duration) -> bool {
        let begun = Instant::now();
        while self.runs() {
            if begun.elapsed() > most {
                return false;
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        self.child = None;
        true
    }

    /// Its log so far.
    pub fn log(&self) -> Vec<String> {
        lock(&self.log).clone()
    }

    /// Asks at its operators' address.
    pub fn ask(&self, path: &str) -> Option<(u16, String)> {
        ask(self.operator?, path)
    }

    /// What it shows of its tier.
    pub fn view(&self) -> Option<View> {
        view(self.operator?)
    }

    /// The process.
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// What it has had written to disks, in bytes.
    pub fn written(&self) -> Option<u64> {
        let text = fs::read_to_string(format!("/proc/{}/io", self.child.as_ref()?.id())).ok()?;
        text.lines().find_map(|line| line.strip_prefix("write_bytes: ")?.trim().parse().ok())
    }

    /// What its threads are called.
    pub fn threads(&self) -> Option<Vec<String>> {
        let tasks = fs::read_dir(format!("/proc/{}/task", self.child.as_ref()?.id())).ok()?;
        let name = |task: fs::DirEntry| fs::read_to_string(task.path().join("comm")).ok();
        let mut names: Vec<String> =
            tasks.filter_map(Result::ok).filter_map(name).map(|name| name.trim().to_owned()).collect();
        names.sort();
        Some(names)
    }

    /// What the process has used: processor's time, and memory in KiB.
    pub fn used(&self) -> Option<(Duration, u64)> {
        let of = |name: &str| {
            let pid = self.child.as_ref()?.id();
            fs::read_to_string(format!("/proc/{pid}/{name}")).ok()
        };
        let stat = of("stat")?;
        let fields: Vec<u64> =
            stat.rsplit(')').next()?.split_whitespace().map(|f| f.parse().unwrap_or(0)).collect();
        let memory = of("status")?.lines().find_map(|line| line.strip_prefix("VmRSS:").map(str::to_owned))?;
        let memory = memory.split_whitespace().next()?.parse().ok()?;
        // USER_HZ is 100 on every Linux.
        Some((Duration::from_millis(10 * (fields.get(11)? + fields.get(12)?)), memory))
    }
}

/// What a balancer shows of its tier at this address.
pub fn view(operator: SocketAddr) -> Option<View> {
    let (status, body) = ask(operator, "/control/tier")?;
    (status == 200).then(|| serde_json::from_str(&body).ok()).flatten()
}

/// One call of an operator.
pub fn ask(address: SocketAddr, path: &str) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, ASK).ok()?;
    stream.set_read_timeout(Some(ASK)).ok()?;
    write!(stream, "GET {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n").ok()?;
    let mut text = String::new();
    stream.take(4 << 20).read_to_string(&mut text).ok()?;
    let (head, body) = text.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    Some((status, body.to_owned()))
}

impl Drop for Balancer {
    fn drop(&mut self) {
        self.kill();
    }
}
