//! The balancer as a process, and small peers for it on loopback. Ports are the system's choice; waits are on
//! conditions, up to `LONG`.

#![allow(dead_code, reason = "each file of tests uses its part")]

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

pub const LONG: Duration = Duration::from_secs(20);

/// Waits until something holds.
pub fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < LONG, "in vain: {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// A message as it came: its first line, its headers in lower case, its body.
#[derive(Clone, Debug)]
pub struct Message {
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Bytes from first to last.
    pub length: usize,
}

impl Message {
    /// Reads one; `None` if the connection ends instead.
    pub fn read(stream: &mut impl BufRead) -> Option<Self> {
        let (mut line, mut headers, mut length) = (String::new(), Vec::new(), 0);
        length += stream.read_line(&mut line).ok().filter(|n| *n > 0)?;
        loop {
            let mut header = String::new();
            length += stream.read_line(&mut header).ok().filter(|n| *n > 0)?;
            let Some((name, value)) = header.trim_end().split_once(':') else { break };
            headers.push((name.to_lowercase(), value.trim().to_owned()));
        }
        let mut message = Self { line: line.trim_end().to_owned(), headers, body: Vec::new(), length };
        let n = message.header("content-length").map_or(0, |n| n.parse().unwrap());
        message.body.resize(n, 0);
        stream.read_exact(&mut message.body).ok()?;
        message.length += n;
        Some(message)
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or_else(|| panic!("{self:?}"))
    }
}

/// What an upstream does about a request.
#[derive(Clone, Copy, PartialEq)]
pub enum Then {
    /// Answers with these bytes and keeps the connection.
    Answer(&'static str),
    /// Answers so, and closes the connection without having said that it would.
    AnswerAndClose(&'static str),
    /// Closes the connection.
    Close,
    /// Says nothing.
    Mute,
}

pub const OK: &str = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX-Own: kept\r\n\r\ndone";

/// An upstream.
pub struct Upstream {
    pub address: SocketAddr,
    seen: Arc<Mutex<Vec<Message>>>,
    connections: Arc<AtomicUsize>,
    ended: Arc<AtomicUsize>,
}

impl Upstream {
    /// One that does the same about every request.
    pub fn start(then: Then) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let seen: Arc<Mutex<Vec<Message>>> = Arc::default();
        let (connections, ended): (Arc<AtomicUsize>, Arc<AtomicUsize>) = Default::default();
        let upstream = Self {
            address,
            seen: Arc::clone(&seen),
            connections: Arc::clone(&connections),
            ended: Arc::clone(&ended),
        };
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                connections.fetch_add(1, Ordering::SeqCst);
                let (seen, ended) = (Arc::clone(&seen), Arc::clone(&ended));
                std::thread::spawn(move || {
                    let mut reader = BufReader::new(stream.try_clone().unwrap());
                    while let Some(message) = Message::read(&mut reader) {
                        seen.lock().unwrap().push(message);
                        match then {
                            Then::Answer(text) if (&stream).write_all(text.as_bytes()).is_ok() => {}
                            Then::AnswerAndClose(text) => {
                                let _ = (&stream).write_all(text.as_bytes());
                                break;
                            }
                            Then::Mute => {}
                            Then::Close | Then::Answer(_) => break,
                        }
                    }
                    let _ = stream.shutdown(std::net::Shutdown::Both);
                    ended.fetch_add(1, Ordering::SeqCst);
                });
            }
        });
        upstream
    }

    pub fn seen(&self) -> Vec<Message> {
        self.seen.lock().unwrap().clone()
    }

    /// Connections that have come.
    pub fn connections(&self) -> usize {
        self.connections.load(Ordering::SeqCst)
    }

    /// Connections that have ended, by either side.
    pub fn ended(&self) -> usize {
        self.ended.load(Ordering::SeqCst)
    }
}

/// An address at which nobody listens. Its port stays taken, so that no other peer of these tests gets it.
pub fn nobody() -> SocketAddr {
    let socket = tokio::net::TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = socket.local_addr().unwrap();
    std::mem::forget(socket);
    address
}

/// Discovery: it tells what was asked of it, each call with the stream on which to answer.
pub fn discovery() -> (SocketAddr, Receiver<(String, TcpStream)>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (address, (calls, received)) = (listener.local_addr().unwrap(), channel());
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let read = Message::read(&mut BufReader::new(&stream));
            let calls: &Sender<_> = &calls;
            if let Some(message) = read {
                let target = message.line.split(' ').nth(1).unwrap_or_default().to_owned();
                (&stream).write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").unwrap();
                let _ = calls.send((target, stream));
            }
        }
    });
    (address, received)
}

/// Writes a line of a watch.
pub fn tell(mut stream: &TcpStream, line: &str) {
    write!(stream, "{:x}\r\n{line}\n\r\n", line.len() + 1).unwrap();
}

/// An entry of a list.
pub fn entry(uid: &str, address: SocketAddr, state: &str) -> String {
    format!(
        r#"{{"uid":"{uid}","endpoint":"{address}","az":"a","model":"m","pod_group":0,"state":"{state}","capacity_hint":1.0,"boot_ms":0}}"#
    )
}

pub fn list(rev: u64, all: bool, entries: &[String]) -> String {
    format!(r#"{{"rev":{rev},"all":{all},"targets":[{}]}}"#, entries.join(","))
}

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
        }
    }

    pub fn text(&self) -> String {
        let Self { discovery, known, sockets, deadline_ms, asks, .. } = self;
        let how = if *asks { "subscribe" } else { "automatic" };
        let class = |name: &str, effect: &str| {
            format!(
                r#"{{"name":"{name}","aim_ms":{deadline_ms},"hard_limit_ms":{deadline_ms},"late_worth":0.5,"effect":"{effect}","dedup_scope":"all","key_ttl_ms":5000}}"#
            )
        };
        let classes =
            [class("look", "idempotent"), class("book", "at_most_once"), class("keyed", "deduplicated")];
        format!(
            r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"8c1f30d27a5be964",
            "limits":{{"cores":1.0,"memory_mb":192,"sockets":{sockets}}},"known":{known},
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
        let mut command = Command::new(env!("CARGO_BIN_EXE_maplehook"));
        let operator = path.with_extension("toml");
        if !self.operator.is_empty() {
            std::fs::write(&operator, &self.operator).unwrap();
            command.arg("--config").arg(&operator);
        }
        let mut child =
            command.env("NODE_CONFIG", &path).env("NODE_LOG", "info").stderr(Stdio::piped()).spawn().unwrap();
        let mut log = BufReader::new(child.stderr.take().unwrap());
        let mut line = String::new();
        while !line.contains("listen=") {
            line.clear();
            assert_ne!(log.read_line(&mut line).unwrap(), 0, "it has ended");
        }
        let address = line.split("listen=").nth(1).and_then(|rest| rest.split(' ').next()).unwrap();
        let address = address.trim().parse().unwrap();
        // The log must go on being read, or it would fill.
        let lines: Arc<Mutex<Vec<String>>> = Arc::default();
        let kept = Arc::clone(&lines);
        std::thread::spawn(move || {
            log.lines().map_while(Result::ok).for_each(|line| kept.lock().unwrap().push(line));
        });
        Node { child, address, path, lines }
    }
}

/// A running balancer; killed when dropped.
pub struct Node {
    child: Child,
    pub address: SocketAddr,
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

    pub fn terminate(&self) {
        self.signal("TERM");
    }

    fn signal(&self, name: &str) {
        let kill = format!("kill -{name} {}", self.child.id());
        assert!(Command::new("sh").arg("-c").arg(kill).status().unwrap().success());
    }

    /// Whether its log says so.
    pub fn has_logged(&self, words: &str) -> bool {
        self.lines.lock().unwrap().iter().any(|line| line.contains(words))
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
