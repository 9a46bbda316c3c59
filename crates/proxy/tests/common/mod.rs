//! The balancer as a process, and small peers for it on loopback. Ports are the system's choice; waits are on
//! conditions, up to `LONG`.

#![allow(dead_code, reason = "each file of tests uses its part")]

use command_fds::{CommandFdExt, FdMapping};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::fd::OwnedFd;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

pub mod gates;
pub mod halfway;
pub mod peers;
pub mod supervised;

pub use maplehook_test_servers::*;

/// A configuration, to be changed before the start.
pub struct Setup {
    pub discovery: SocketAddr,
    pub known: String,
    pub sockets: usize,
    /// Of the class `book`, which may not run twice, and of `look`, which may.
    pub deadline_ms: u64,
    pub asks: bool,
    /// The operator's file; none if empty.
    pub operator: String,
    /// Descriptors that it has from elsewhere, and knows nothing of: numbers 20 and up.
    pub others: usize,
    /// Whether operators may call.
    pub control: bool,
    /// The listening socket that it inherits as descriptor 7.
    pub inherits: Option<OwnedFd>,
    /// Its `$TMPDIR`, where it is not the tests' own.
    pub tmp: Option<PathBuf>,
    /// The platform's limit on memory.
    pub memory_mb: u64,
}

impl Setup {
    /// These upstreams, by address.
    pub fn with(upstreams: &[SocketAddr]) -> Self {
        let entries = upstreams.iter().enumerate().map(|(k, a)| entry(&format!("s-{k}"), *a, "Ready"));
        Self {
            discovery: nobody(),
            known: list(1, true, &entries.collect::<Vec<_>>()),
            sockets: 256,
            deadline_ms: 8000,
            asks: false,
            operator: String::new(),
            others: 0,
            control: false,
            inherits: None,
            tmp: None,
            memory_mb: 192,
        }
    }

    pub fn text(&self) -> String {
        let Self { discovery, known, sockets, deadline_ms, asks, memory_mb, .. } = self;
        let control = if self.control { r#""operator":"127.0.0.1:0","# } else { "" };
        let how = if *asks { "subscribe" } else { "automatic" };
        let class = |name: &str, effect: &str| {
            format!(
                r#"{{"name":"{name}","aim_ms":{deadline_ms},"hard_limit_ms":{deadline_ms},"late_worth":0.5,"effect":"{effect}","dedup_scope":"all","key_ttl_ms":5000}}"#
            )
        };
        let classes =
            [class("look", "idempotent"), class("book", "at_most_once"), class("keyed", "deduplicated")];
        format!(
            r#"{{"name":"n0",{control}"listen":"127.0.0.1:0","discovery":"{discovery}","seed":"8c1f30d27a5be964",
            "limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":{sockets}}},"known":{known},
            "settings":{{"balancers":1,"me":0,"classes":[{}],"discovery":"{how}",
            "failure_domains":["a","b"],"skus":["m"],"locality":0,
            "limits":{{"conn_idle_ms":60000,"connect_timeout_ms":2000,"try_limit":5,"retry_after":false}},
            "parties":[{{"name":"acme","allowance_per_s":1000.0}},{{"name":"lodge","allowance_per_s":1000.0}}]}}}}"#,
            classes.join(",")
        )
    }

    pub fn start(&self) -> Node {
        static COUNT: AtomicUsize = AtomicUsize::new(0);
        let number = COUNT.fetch_add(1, Ordering::SeqCst);
        let path = std::env::temp_dir().join(format!("maplehook-{}-{number}.json", std::process::id()));
        std::fs::write(&path, self.text()).unwrap();
        let mut command = Command::new("bash");
        let open = "for n in $(seq 20 $((19 + $0))); do eval \"exec $n</dev/null\"; done; exec \"$@\"";
        command.args(["-c", open, &self.others.to_string(), env!("CARGO_BIN_EXE_maplehook")]);
        let operator = path.with_extension("toml");
        if !self.operator.is_empty() {
            std::fs::write(&operator, &self.operator).unwrap();
            command.arg("--config").arg(&operator);
        }
        command.env("NODE_CONFIG", &path).env_remove("NODE_OPERATOR").env_remove("NODE_SOCKET_FD");
        if let Some(tmp) = &self.tmp {
            command.env("TMPDIR", tmp);
        }
        if let Some(socket) = &self.inherits {
            let parent_fd = socket.try_clone().unwrap();
            command.fd_mappings(vec![FdMapping { parent_fd, child_fd: 7 }]).unwrap();
            command.env("NODE_SOCKET_FD", "7");
        }
        Node::spawn(command, path)
    }
}

/// A balancer that the operator's file alone describes; `extra` goes before its upstreams.
pub fn run(upstreams: &[SocketAddr], extra: &str) -> Node {
    run_on(upstreams, extra, None)
}

/// The same on a socket that it inherits as descriptor 7.
pub fn run_on(upstreams: &[SocketAddr], extra: &str, inherits: Option<&OwnedFd>) -> Node {
    static COUNT: AtomicUsize = AtomicUsize::new(0);
    let number = COUNT.fetch_add(1, Ordering::SeqCst);
    let path = std::env::temp_dir().join(format!("maplehook-run-{}-{number}.toml", std::process::id()));
    let mut text = format!("[listen]\naddress = \"127.0.0.1:0\"\n{extra}\n");
    for (n, address) in upstreams.iter().enumerate() {
        text += &format!("[[upstream]]\nname = \"desk-{n}\"\naddress = \"{address}\"\n");
    }
    std::fs::write(&path, text).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_maplehook"));
    command.env_remove("NODE_CONFIG").env_remove("NODE_SOCKET_FD").arg("run").arg("--config").arg(&path);
    if let Some(socket) = inherits {
        let parent_fd = socket.try_clone().unwrap();
        command.fd_mappings(vec![FdMapping { parent_fd, child_fd: 7 }]).unwrap();
        command.env("NODE_SOCKET_FD", "7");
    }
    Node::spawn(command, path)
}

impl Node {
    fn spawn(mut command: Command, path: PathBuf) -> Self {
        let mut child = command.env("NODE_LOG", "info").stderr(Stdio::piped()).spawn().unwrap();
        let mut log = BufReader::new(child.stderr.take().unwrap());
        let (mut line, mut control) = (String::new(), None);
        let mut first = Vec::new();
        while !line.contains(" listen=") {
            line.clear();
            assert_ne!(log.read_line(&mut line).unwrap(), 0, "it has ended");
            control = control.or(line.split("control=").nth(1).map(|rest| rest.trim().parse().unwrap()));
            first.push(line.clone());
        }
        let address = line.split(" listen=").nth(1).and_then(|rest| rest.split(' ').next()).unwrap();
        let address = address.trim().parse().unwrap();
        // The log must go on being read, or it would fill.
        let lines: Arc<Mutex<Vec<String>>> = Arc::new(Mutex::new(first));
        let kept = Arc::clone(&lines);
        std::thread::spawn(move || {
            log.lines().map_while(Result::ok).for_each(|line| kept.lock().unwrap().push(line));
        });
        Node { child, address, control, path, lines }
    }

    /// The most memory that it has held, in KiB.
    pub fn peak_memory(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find(|line| line.starts_with("VmHWM")).unwrap();
        line.split_whitespace().nth(1).unwrap().parse().unwrap()
    }
}

/// A running balancer; killed when dropped.
pub struct Node {
    child: Child,
    pub address: SocketAddr,
    /// Where operators call.
    pub control: Option<SocketAddr>,
    path: PathBuf,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Node {
    pub fn connect(&self) -> Client {
        let stream = TcpStream::connect(self.address).unwrap();
        stream.set_read_timeout(Some(LONG)).unwrap();
        Client { reader: BufReader::new(stream) }
    }

    /// A connection from this address of the loopback net.
    pub fn connect_from(&self, address: &str) -> Client {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        let from: SocketAddr = format!("{address}:0").parse().unwrap();
        socket.bind(&from.into()).unwrap();
        socket.connect(&self.address.into()).unwrap();
        let stream = TcpStream::from(socket);
        stream.set_read_timeout(Some(LONG)).unwrap();
        Client { reader: BufReader::new(stream) }
    }

    /// Sets its limit on descriptors, from outside.
    pub fn limit(&self, descriptors: u64) {
        let (pid, hard) = (self.child.id() as i32, rlimit::Resource::NOFILE.get_hard().unwrap());
        rlimit::prlimit(pid, rlimit::Resource::NOFILE, Some((descriptors, hard)), None).unwrap();
    }

    /// How many descriptors it holds.
    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).unwrap().count()
    }

    /// The processor's time that it has used, in hundredths of a second.
    pub fn cpu(&self) -> u64 {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap();
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap().split_whitespace().collect();
        fields[11].parse::<u64>().unwrap() + fields[12].parse::<u64>().unwrap()
    }

    /// An operator's call.
    pub fn call(&self, target: &str) -> Message {
        let mut caller = self.caller();
        caller.write(&format!("GET {target} HTTP/1.1\r\nHost: operators\r\n\r\n"));
        let answer = caller.answer().expect("an answer");
        assert!(caller.ends(), "one call to a connection");
        answer
    }

    /// A connection to the operators' address.
    pub fn caller(&self) -> Client {
        let stream = TcpStream::connect(self.control.unwrap()).unwrap();
        stream.set_read_timeout(Some(LONG)).unwrap();
        Client { reader: BufReader::new(stream) }
    }

    /// A figure; the whole line is what stands before it.
    pub fn figure(&self, name: &str) -> u64 {
        let text = String::from_utf8(self.call("/control/counters").body).unwrap();
        let line = text.lines().find_map(|line| line.strip_prefix(&format!("{name} ")));
        line.unwrap_or_else(|| panic!("no {name} in {text}")).parse().unwrap()
    }

    /// Whether a figure is there and has this value.
    pub fn has_figure(&self, name: &str, value: u64) -> bool {
        let text = String::from_utf8(self.call("/control/counters").body).unwrap();
        text.lines().any(|line| line == format!("{name} {value}"))
    }

    /// Kills it.
    pub fn kill(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    pub fn terminate(&self) {
        self.signal("TERM");
    }

    /// Stops the process for so long.
    pub fn hold_up(&self, time: std::time::Duration) {
        let pid = nix::unistd::Pid::from_raw(self.child.id() as i32);
        nix::sys::signal::kill(pid, nix::sys::signal::Signal::SIGSTOP).unwrap();
        std::thread::sleep(time);
        nix::sys::signal::kill(pid, nix::sys::signal::Signal::SIGCONT).unwrap();
    }

    fn signal(&self, name: &str) {
        let kill = format!("kill -{name} {}", self.child.id());
        assert!(Command::new("sh").arg("-c").arg(kill).status().unwrap().success());
    }

    /// Whether its log says so.
    pub fn has_logged(&self, words: &str) -> bool {
        self.lines.lock().unwrap().iter().any(|line| line.contains(words))
    }

    /// How many lines of its log say so.
    pub fn logged(&self, words: &str) -> usize {
        self.lines.lock().unwrap().iter().filter(|line| line.contains(words)).count()
    }

    /// Puts another text in the place of its configuration and tells it so.
    pub fn reload(&self, text: &str) {
        let new = self.path.with_extension("new");
        std::fs::write(&new, text).unwrap();
        std::fs::rename(&new, &self.path).unwrap();
        self.signal("HUP");
    }

    pub fn wait(&mut self) -> ExitStatus {
        let mut ended = None;
        until("the balancer ends", || {
            ended = self.child.try_wait().unwrap();
            ended.is_some()
        });
        ended.unwrap()
    }

    pub fn runs(&mut self) -> bool {
        self.child.try_wait().unwrap().is_none()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.path);
        let _ = std::fs::remove_file(self.path.with_extension("toml"));
    }
}

/// A client's connection.
pub struct Client {
    reader: BufReader<TcpStream>,
}

impl Client {
    pub fn write(&mut self, text: &str) {
        self.reader.get_mut().write_all(text.as_bytes()).unwrap();
    }

    /// The same connection, for writing alone.
    pub fn writer(&self) -> TcpStream {
        self.reader.get_ref().try_clone().unwrap()
    }

    /// The answer; `None` if the connection ends instead.
    pub fn answer(&mut self) -> Option<Message> {
        Message::read(&mut self.reader)
    }

    /// Writes a request and reads its answer; `None` if the connection ends instead.
    pub fn try_exchange(&mut self, text: &str) -> Option<Message> {
        self.reader.get_mut().write_all(text.as_bytes()).ok()?;
        self.answer()
    }

    pub fn exchange(&mut self, text: &str) -> Message {
        self.write(text);
        self.answer().expect("an answer")
    }

    /// Whether the connection ends with nothing more on it.
    pub fn ends(&mut self) -> bool {
        let mut rest = Vec::new();
        self.reader.read_to_end(&mut rest).is_ok() && rest.is_empty()
    }
}

/// A request of the class `book`, which may not run twice.
pub fn book(left_ms: u64, body: &str) -> String {
    format!(
        "POST /book/day?n=1 HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: 9b1f03aa\r\nX-Account: acme\r\n\
         Cookie: user=7f\r\nX-Time-Left-Ms: {left_ms}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// The same under another id.
pub fn book_as(id: &str, body: &str) -> String {
    book(8000, body).replace("9b1f03aa", id)
}

/// A request of the class `look`, which is safe to repeat.
pub fn look(left_ms: u64) -> String {
    format!(
        "GET /look HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: 77aa\r\nX-Account: acme\r\n\
         X-Time-Left-Ms: {left_ms}\r\n\r\n"
    )
}
