//! Peers for tests: upstreams and discovery on loopback that do as they are told. Ports are the system's choice;
//! waits are on conditions, up to [`LONG`].

pub mod app;
mod echo;
pub mod eureka;
mod hosted;
pub mod process;
pub mod registry;
pub mod room;
pub mod router;
pub mod station;

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The longest wait for a condition.
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
    /// Its first line.
    pub line: String,
    /// Names in lower case, and values.
    pub headers: Vec<(String, String)>,
    /// The body.
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
        if message.header("transfer-encoding").is_some() {
            message.chunks(stream)?;
            return Some(message);
        }
        let n = message.header("content-length").map_or(0, |n| n.parse().unwrap());
        message.body.resize(n, 0);
        stream.read_exact(&mut message.body).ok()?;
        message.length += n;
        Some(message)
    }

    /// Reads a body in chunks, and passes over its trailers.
    fn chunks(&mut self, stream: &mut impl BufRead) -> Option<()> {
        loop {
            let mut line = String::new();
            self.length += stream.read_line(&mut line).ok().filter(|n| *n > 0)?;
            let size = usize::from_str_radix(line.trim().split(';').next()?.trim(), 16).ok()?;
            let before = self.body.len();
            if size == 0 {
                while !line.trim().is_empty() {
                    line.clear();
                    self.length += stream.read_line(&mut line).ok().filter(|n| *n > 0)?;
                }
                return Some(());
            }
            self.body.resize(before + size, 0);
            stream.read_exact(&mut self.body[before..]).ok()?;
            self.length += size + stream.read_line(&mut String::new()).ok().filter(|n| *n > 0)?;
        }
    }
    /// The value of the first header of this name.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, value)| value.as_str())
    }

    /// The status of an answer.
    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or_else(|| panic!("{self:?}"))
    }
}

/// What an upstream does about a request.
#[derive(Clone, Copy, Debug, PartialEq)]
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

/// A good answer.
pub const OK: &str = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX-Own: kept\r\n\r\ndone";

/// An upstream.
pub struct Upstream {
    /// Where it listens.
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

    /// Requests that have come whole, in order.
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
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
    socket.bind(&any.into()).unwrap();
    let address = socket.local_addr().unwrap().as_socket().unwrap();
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

/// A list of these entries.
pub fn list(rev: u64, all: bool, entries: &[String]) -> String {
    format!(r#"{{"rev":{rev},"all":{all},"targets":[{}]}}"#, entries.join(","))
}
