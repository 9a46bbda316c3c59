//! A supervisor with its directories, programs that are scripts, and a client that never rests.

use super::*;
use maplehook_supervisor::process;
use maplehook_supervisor::saved_state::{ProgramDigest, Role, SupervisorState};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::AtomicBool;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Who answers `GET /` with 200, and all else too.
pub const CLASS: &str = "[[class]]\nname = 'all'\npath = '/**'\neffect = 'idempotent'\n";
const REQUEST: &str = "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";

/// A supervisor's directories and file. Whatever it has started is killed when this is dropped.
pub struct Place {
    folder: PathBuf,
    /// Where clients connect.
    pub address: SocketAddr,
    /// Where operators call.
    pub operators: SocketAddr,
    pub upstream: Arc<Upstream>,
    /// The upstream that the file names instead of that one.
    pub listed: Option<SocketAddr>,
    /// Further keys of `[supervise]`, and sections after it.
    pub more: String,
    /// The balancer's program.
    pub balancer: String,
}

/// An address of the loopback net that nobody has now. It is this process's own: at 127.0.0.1 a connection of some client could
/// come to have the same port before it is listened on, or while one process lets go of it for another.
pub fn free() -> SocketAddr {
    let [_, a, b, c] = std::process::id().to_be_bytes();
    let own = std::net::Ipv4Addr::new(127, 64 | (a & 63), b, c);
    std::net::TcpListener::bind((own, 0)).unwrap().local_addr().unwrap()
}

impl Place {
    pub fn new(name: &str) -> Self {
        let folder = std::env::temp_dir().join(format!("maplehook-sv-{}-{name}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(folder.join("programs")).unwrap();
        let (address, operators, upstream) = (free(), free(), Arc::new(Upstream::start(Then::Answer(OK))));
        let more =
            "ready_ms = 10000\ngrace_ms = 3000\nbackoff_ms = 20\nbackoff_most_ms = 200\ngood_ms = 300\n";
        let balancer = env!("CARGO_BIN_EXE_maplehook").to_owned();
        Self { folder, address, operators, upstream, listed: None, more: more.into(), balancer }
    }

    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// Puts a program among the others.
    pub fn program(&self, bytes: &[u8]) -> ProgramDigest {
        use std::os::unix::fs::PermissionsExt;
        let new = self.folder.join("new");
        std::fs::write(&new, bytes).unwrap();
        std::fs::set_permissions(&new, std::fs::Permissions::from_mode(0o755)).unwrap();
        let digest = maplehook_supervisor::program_directory::file_digest(&new).unwrap();
        std::fs::rename(&new, self.folder.join("programs").join(digest.as_str())).unwrap();
        digest
    }

    /// Puts a script among the programs.
    pub fn script(&self, text: &str) -> ProgramDigest {
        self.program(format!("#!/bin/sh\n{text}\n").as_bytes())
    }

    /// A balancer like any other, but for its digest.
    pub fn good(&self, number: usize) -> ProgramDigest {
        self.script(&format!("# {number}\nexec {} \"$@\"", self.balancer))
    }

    pub fn config(&self) -> PathBuf {
        self.folder.join("b.toml")
    }

    /// Writes the file, with this program to run.
    pub fn wants(&self, program: &ProgramDigest) {
        let Self { folder, address, operators, more, upstream, .. } = self;
        let (place, listed) = (folder.display(), self.listed.unwrap_or(upstream.address));
        let text = format!(
            "[listen]\naddress = '{address}'\n[operator]\naddress = '{operators}'\n{CLASS}\
             [[upstream]]\nname = 'desk-0'\naddress = '{listed}'\n[supervise]\nprograms = '{place}/programs'\n\
             state = '{place}/state'\nprogram = '{program}'\n{more}"
        );
        let new = folder.join("b.new");
        std::fs::write(&new, text).unwrap();
        std::fs::rename(new, self.config()).unwrap();
    }

    pub fn supervise(&self) -> Supervisor {
        let mut command = Command::new(env!("CARGO_BIN_EXE_maplehook"));
        command.args(["supervise", "--config"]).arg(self.config()).env("NODE_LOG", "info");
        command.env("STAND_IN", self.folder.join("own"));
        command.env_remove("NODE_CONFIG").env_remove("NODE_SOCKET_FD").stderr(Stdio::piped());
        let mut child = command.spawn().unwrap();
        let log = BufReader::new(child.stderr.take().unwrap());
        let lines: Arc<Mutex<Vec<String>>> = Arc::default();
        let kept = Arc::clone(&lines);
        std::thread::spawn(move || {
            log.lines().map_while(Result::ok).for_each(|line| kept.lock().unwrap().push(line));
        });
        Supervisor { child, lines }
    }

    /// What the supervisor remembers.
    pub fn memory(&self) -> Option<SupervisorState> {
        SupervisorState::decode(&std::fs::read_to_string(self.folder.join("state/supervise.json")).ok()?).ok()
    }

    /// The process that serves, by the supervisor's word.
    pub fn present(&self) -> Option<(u32, ProgramDigest)> {
        let memory = self.memory()?;
        let known = memory.processes.into_iter().find(|known| known.role == Role::Serving)?;
        Some((known.process?.0, known.program))
    }

    /// Whether this program serves, alone.
    pub fn serves(&self, program: &ProgramDigest) -> bool {
        let alone = self.memory().is_some_and(|memory| memory.processes.len() == 1);
        alone && self.present().is_some_and(|(pid, of)| of == *program && process::start_time(pid).is_some())
    }

    pub fn until_serves(&self, program: &ProgramDigest) {
        until("the program serves alone", || self.serves(program));
    }

    /// An operator's call.
    pub fn call(&self, path: &str) -> Option<u16> {
        maplehook_supervisor::http_client::request(self.operators, "GET", path, LONG)
            .ok()
            .map(|answer| answer.status)
    }

    /// All that live of what was started here, by the arguments that they were started with.
    pub fn alive(&self) -> Vec<u32> {
        let config = self.config().display().to_string();
        let of = |pid: u32| {
            let line = std::fs::read(format!("/proc/{pid}/cmdline")).unwrap_or_default();
            let line = String::from_utf8_lossy(&line).into_owned();
            line.contains(&config) && !line.contains("supervise\0")
        };
        let pids = std::fs::read_dir("/proc").unwrap().flatten();
        pids.filter_map(|entry| entry.file_name().to_str()?.parse().ok()).filter(|pid| of(*pid)).collect()
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        for pid in self.alive() {
            signal(pid, "KILL");
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Signals a process that may have gone.
pub fn signal(pid: u32, name: &str) {
    let kill = format!("kill -{name} {pid} 2>/dev/null");
    let _ = Command::new("sh").arg("-c").arg(kill).status();
}

/// A supervisor; killed when dropped.
pub struct Supervisor {
    child: Child,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Supervisor {
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn reload(&self) {
        signal(self.pid(), "HUP");
    }

    /// How many descriptors (`fd`) or threads (`task`) it has.
    pub fn count(&self, what: &str) -> usize {
        std::fs::read_dir(format!("/proc/{}/{what}", self.pid())).unwrap().count()
    }

    /// How often a line with this text was logged.
    pub fn said(&self, text: &str) -> usize {
        self.lines.lock().unwrap().iter().filter(|line| line.contains(text)).count()
    }

    /// The numbers of the lines with this text.
    pub fn lines_of(&self, text: &str) -> Vec<usize> {
        let lines = self.lines.lock().unwrap();
        (0..lines.len()).filter(|n| lines[*n].contains(text)).collect()
    }

    /// Waits for a line with this text.
    pub fn until_said(&self, text: &str) {
        let start = Instant::now();
        while self.said(text) == 0 {
            let so_far = || self.lines.lock().unwrap().join("\n");
            assert!(start.elapsed() < LONG, "{text:?} was not said:\n{}", so_far());
            std::thread::sleep(Duration::from_millis(1));
        }
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Ends it as an operator does, with all that it has started.
    pub fn end(mut self) {
        signal(self.pid(), "TERM");
        assert!(self.child.wait().unwrap().success());
    }

    pub fn wait(&mut self) -> ExitStatus {
        self.child.wait().unwrap()
    }

    pub fn all(&self) -> String {
        self.lines.lock().unwrap().join("\n")
    }
}

impl Drop for Supervisor {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Connects every 5 ms and asks; each has to be answered with 200.
pub struct Steady {
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<(usize, Vec<String>)>>,
}

fn ask_once(address: SocketAddr) -> Result<(), String> {
    let mut stream = TcpStream::connect(address).map_err(|e| format!("connect: {e}"))?;
    stream.set_read_timeout(Some(LONG)).unwrap();
    stream.write_all(REQUEST.as_bytes()).map_err(|e| format!("write: {e}"))?;
    match Message::read(&mut BufReader::new(stream)) {
        Some(answer) if answer.status() == 200 => Ok(()),
        Some(answer) => Err(answer.line),
        None => Err("no answer".into()),
    }
}

impl Steady {
    pub fn start(address: SocketAddr) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = Arc::clone(&stop);
        let thread = std::thread::spawn(move || {
            let (mut asked, mut wrong) = (0, Vec::new());
            while !stopped.load(Ordering::Relaxed) {
                asked += 1;
                wrong.extend(ask_once(address).err());
                std::thread::sleep(Duration::from_millis(5));
            }
            (asked, wrong)
        });
        Self { stop, thread: Some(thread) }
    }

    /// How many asked, and what they met instead of 200.
    pub fn end(mut self) -> (usize, Vec<String>) {
        self.stop.store(true, Ordering::Relaxed);
        self.thread.take().unwrap().join().unwrap()
    }

    /// All were answered.
    pub fn all_served(self) {
        let (asked, wrong) = self.end();
        assert!(asked > 0 && wrong.is_empty(), "of {asked}: {wrong:?}");
    }
}
