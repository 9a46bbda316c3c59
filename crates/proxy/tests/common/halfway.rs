//! Clients that stop in the middle of a request and stay, a way between that holds the rest of one back, and a watch that
//! tells what of a wait is the machine's own.

use super::{Client, LONG, Node};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Within this after its last byte a client that has stopped is owed an error or the end of its connection.
pub const OWED_WITHIN: Duration = Duration::from_secs(3);

/// Watches how much later than asked for a thread of this machine is woken: nothing in a test is timed closer than that.
pub struct Lateness {
    most_us: Arc<AtomicU64>,
    ends: Arc<AtomicBool>,
}

impl Lateness {
    pub fn watch() -> Self {
        const STEP: Duration = Duration::from_millis(5);
        let (most_us, ends) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicBool::new(false)));
        let (most, end) = (Arc::clone(&most_us), Arc::clone(&ends));
        thread::spawn(move || {
            while !end.load(Ordering::Relaxed) {
                let slept = Instant::now();
                thread::sleep(STEP);
                most.fetch_max((slept.elapsed() - STEP).as_micros() as u64, Ordering::Relaxed);
            }
        });
        Self { most_us, ends }
    }

    /// The most so far.
    pub fn most(&self) -> Duration {
        Duration::from_micros(self.most_us.load(Ordering::Relaxed))
    }
}

impl Drop for Lateness {
    fn drop(&mut self) {
        self.ends.store(true, Ordering::Relaxed);
    }
}

/// Where a request is cut.
#[derive(Clone, Debug)]
pub struct Cut {
    pub what: &'static str,
    /// All that is sent of the request.
    pub sent: String,
}

/// A request of the class `book` under this id with this framing and a part of its body.
fn partly(id: &str, framing: &str, body: &str) -> String {
    format!(
        "POST /book/day HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: {id}\r\nX-Account: acme\r\n\
         X-Time-Left-Ms: 8000\r\n{framing}\r\n\r\n{body}"
    )
}

/// Every kind of place in which a request may be cut; ids begin with `of`.
pub fn cuts(of: &str) -> Vec<Cut> {
    let whole = partly(&format!("{of}-0"), "Content-Length: 3", "abc");
    let head_end = whole.len() - 3;
    let mut cuts: Vec<Cut> = [
        ("one byte", 1),
        ("request line", 11),
        ("between headers", 30),
        ("in a header", 55),
        ("the last line", head_end - 1),
        ("no body", head_end),
        ("half a body", head_end + 1),
    ]
    .map(|(what, bytes)| Cut { what, sent: whole[..bytes].into() })
    .into();
    let part = |length: usize| "x".repeat(length);
    let bodies = [
        ("40 KB of 60 KB", "Content-Length: 60000", part(40_000)),
        ("100 KB of 200 KB", "Content-Length: 200000", part(100_000)),
        ("1 KB of 900 MB", "Content-Length: 900000000", part(1000)),
        ("told to go on", "Expect: 100-continue\r\nContent-Length: 3", String::new()),
        ("chunk size", "Transfer-Encoding: chunked", "5\r\n".into()),
        ("in a chunk", "Transfer-Encoding: chunked", "5\r\nab".into()),
        ("between chunks", "Transfer-Encoding: chunked", "5\r\nabcde\r\n".into()),
        ("in trailers", "Transfer-Encoding: chunked", "5\r\nabcde\r\n0\r\nT: 1\r\n".into()),
    ];
    for (n, (what, framing, body)) in bodies.into_iter().enumerate() {
        cuts.push(Cut { what, sent: partly(&format!("{of}-{}", n + 1), framing, &body) });
    }
    cuts
}

/// What a client that has stopped hears.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Word {
    Error(u16),
    End,
}

/// Reads until a client that has stopped hears of it; answers to requests before are passed over.
pub fn word(client: &mut Client) -> Word {
    loop {
        match client.answer().map(|answer| answer.status()) {
            None => return Word::End,
            Some(status @ 400..) => return Word::Error(status),
            Some(_) => {}
        }
    }
}

/// Each of these clients with where it stopped and when: all have to hear of it in time, counted from then.
pub fn all_hear_in_time(stopped: Vec<(String, Client, Instant)>, lateness: &Lateness) {
    let waits = stopped.into_iter().map(|(what, mut client, since)| {
        thread::spawn(move || {
            let word = word(&mut client);
            let after = since.elapsed();
            assert!(word == Word::End || client.ends(), "{what}: something more behind {word:?}");
            (what, word, after)
        })
    });
    let heard: Vec<_> = waits.collect::<Vec<_>>().into_iter().map(|wait| wait.join().unwrap()).collect();
    let most = OWED_WITHIN + lateness.most();
    let late: Vec<_> = heard.iter().filter(|(_, _, after)| *after > most).collect();
    assert!(late.is_empty(), "{} of {} heard too late: {late:#?}", late.len(), heard.len());
}

/// A way to a balancer that passes so many bytes of each client and then holds the rest back; what comes from the balancer
/// passes.
pub fn held_back_after(node: &Node, bytes: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (address, target) = (listener.local_addr().unwrap(), node.address);
    thread::spawn(move || {
        for client in listener.incoming().map_while(Result::ok) {
            let balancer = TcpStream::connect(target).unwrap();
            let (mut from, mut to) = (client.try_clone().unwrap(), balancer.try_clone().unwrap());
            thread::spawn(move || {
                let mut passes = (&mut from).take(bytes as u64);
                let _ = std::io::copy(&mut passes, &mut to);
                // The rest is taken from the client and goes nowhere; the way stays open.
                let _ = std::io::copy(&mut from, &mut std::io::sink());
            });
            let (mut from, mut to) = (balancer, client);
            thread::spawn(move || {
                let _ = std::io::copy(&mut from, &mut to);
                let _ = to.shutdown(std::net::Shutdown::Write);
            });
        }
    });
    address
}

/// A client's connection by way of this address.
pub fn connect(address: SocketAddr) -> Client {
    let stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(LONG)).unwrap();
    Client { reader: std::io::BufReader::new(stream) }
}

impl Client {
    /// Writes, and leaves out what can't be written because the balancer takes no more of it.
    pub fn write_what_is_taken(&mut self, text: &str) {
        let _ = self.reader.get_mut().write_all(text.as_bytes());
    }
}
