//! The clients of a run: each sends one request after the other, and keeps its connection while it may.

use super::balancer::lock;
use super::faults::{self, FaultPair};
use super::long_bodies::{self, LongBody};
use super::plan::Plan;
use super::{ANSWER_MARGIN, MAX_COUNTED_DEADLINE};
use fastrand::Rng;
use maplehook_test_servers::Message;
use std::io::{BufRead, BufReader, ErrorKind, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Longest pause of a client between two requests.
const MAX_PAUSE: Duration = Duration::from_millis(30);
/// Pause of a client that can't connect.
const RECONNECT_PAUSE: Duration = Duration::from_millis(10);
/// How much longer than the rules allow a client waits, to tell a late answer from none.
const EXTRA_PATIENCE: Duration = Duration::from_secs(1);

/// Shortest read timeout that a socket takes for one.
const MIN_READ_TIMEOUT: Duration = Duration::from_millis(1);
/// Length of the bodies in which clients of the crowd stop.
const STOPPED_BODY_BYTES: usize = 60 * 1024;

/// How a request ended for its client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// With an answer.
    Answered {
        /// Its status.
        status: u16,
        /// Its body.
        body: Vec<u8>,
    },
    /// With the end of the connection, and no byte of an answer.
    Closed,
    /// With the end of the connection in the middle of an answer.
    Cut,
    /// With nothing, for as long as the client waits.
    Silent,
    /// With the client, which has closed its connection.
    Left,
}

/// A request as its client saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Its id.
    pub id: String,
    /// True if it may run more than once.
    pub is_safe: bool,
    /// Its long body or that of its answer.
    pub long_body: Option<LongBody>,
    /// How long its client waits for the answer.
    pub wait: Duration,
    /// True if it was the first on its connection.
    pub is_first: bool,
    /// Time before its first byte; after its last one if its body is long.
    pub sent_at: Instant,
    /// Time of the first byte of its answer, or of its end.
    pub answered_at: Instant,
    /// Time of its end.
    pub ended_at: Instant,
    /// How it ended.
    pub end: End,
    /// True if more came behind the answer.
    pub has_extra_bytes: bool,
}

/// Running clients.
pub struct Clients {
    stopped: Arc<AtomicBool>,
    requests: Arc<Mutex<Vec<Request>>>,
    threads: Vec<JoinHandle<()>>,
}

impl Clients {
    /// Starts the clients and the crowd of one life.
    pub fn start(plan: &Plan, balancer: SocketAddr, life: u64) -> Self {
        let (stopped, requests): (Arc<AtomicBool>, Arc<Mutex<Vec<Request>>>) = Default::default();
        let mut threads = Vec::new();
        for n in 0..plan.clients {
            let client = Client {
                name: format!("{life}-{n}"),
                balancer,
                deadline: plan.deadline,
                faults: plan.faults,
                fault_rng: faults::generator(life.wrapping_mul(7919).wrapping_add(n as u64)),
                long_share: plan.long_share,
                long_rng: long_bodies::generator(life.wrapping_mul(7919).wrapping_add(n as u64)),
                rng: Rng::with_seed(life.wrapping_mul(7919).wrapping_add(n as u64)),
                stopped: Arc::clone(&stopped),
                requests: Arc::clone(&requests),
            };
            threads.push(thread::spawn(move || client.run()));
        }
        let (crowd, until) = (plan.crowd, Arc::clone(&stopped));
        threads.push(thread::spawn(move || crowd_in(balancer, crowd, &until)));
        Self { stopped, requests, threads }
    }

    /// Ends the clients of a balancer that was killed, and returns the requests that they sent before.
    pub fn stop(self, killed_at: Instant) -> Vec<Request> {
        self.stopped.store(true, Ordering::SeqCst);
        for thread in self.threads {
            // A client that has panicked would hide its requests.
            thread.join().expect("no client panics");
        }
        let mut requests = std::mem::take(&mut *lock(&self.requests));
        requests.retain(|request| request.sent_at < killed_at);
        requests
    }
}

/// Opens connections and keeps them. Every second one says nothing, the others stop in a long body.
fn crowd_in(balancer: SocketAddr, count: usize, stopped: &AtomicBool) {
    let crowd: Vec<_> = (0..count).map_while(|_| TcpStream::connect(balancer).ok()).collect();
    for (number, stream) in crowd.iter().enumerate().skip(1).step_by(2) {
        let text = format!(
            "POST /book HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: crowd-{number}\r\nX-Account: acme\r\n\
             X-Time-Left-Ms: 3000\r\nContent-Length: {STOPPED_BODY_BYTES}\r\n\r\n{}",
            "z".repeat(STOPPED_BODY_BYTES - 1)
        );
        // The balancer may have closed the connection, and need not read all of it.
        let _ = stream.set_nonblocking(true);
        let _ = { stream }.write(text.as_bytes());
    }
    while !stopped.load(Ordering::SeqCst) {
        thread::sleep(RECONNECT_PAUSE);
    }
    drop(crowd);
}

struct Client {
    name: String,
    balancer: SocketAddr,
    deadline: Duration,
    faults: FaultPair,
    fault_rng: Rng,
    long_share: f64,
    long_rng: Rng,
    rng: Rng,
    stopped: Arc<AtomicBool>,
    requests: Arc<Mutex<Vec<Request>>>,
}

impl Client {
    fn run(mut self) {
        let mut sent = 0;
        while !self.stopped.load(Ordering::SeqCst) {
            match self.connect() {
                Some(stream) => self.use_connection(stream, &mut sent),
                None => thread::sleep(RECONNECT_PAUSE),
            }
        }
    }

    fn connect(&self) -> Option<BufReader<TcpStream>> {
        let stream = TcpStream::connect(self.balancer).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(self.patience())).ok()?;
        Some(BufReader::new(stream))
    }

    fn patience(&self) -> Duration {
        self.deadline + ANSWER_MARGIN + EXTRA_PATIENCE
    }

    /// Sends requests on a connection until it ends.
    fn use_connection(&mut self, mut stream: BufReader<TcpStream>, sent: &mut usize) {
        let mut is_first = true;
        while !self.stopped.load(Ordering::SeqCst) {
            *sent += 1;
            let id = format!("{}-{sent}", self.name);
            let is_safe = self.rng.bool();
            let long_body = LongBody::draw(&mut self.long_rng, self.long_share);
            let is_safe = is_safe && !matches!(long_body, Some(LongBody::Request(_)));
            let wait = self.faults.draw_wait(&mut self.fault_rng, self.deadline);
            let leave_after = self.faults.draw_leave(&mut self.fault_rng, wait);
            let before = Instant::now();
            let text = self.request_text(&id, is_safe, long_body, wait);
            if stream.get_mut().write_all(text.as_bytes()).is_err() {
                return;
            }
            let sent_at = if long_body.is_some() { Instant::now() } else { before };
            let patience = leave_after.map_or(self.patience(), |after| after.max(MIN_READ_TIMEOUT));
            let _ = stream.get_ref().set_read_timeout(Some(patience));
            let (mut end, keeps_connection, answered_at) = read_answer(&mut stream);
            let ended_at = Instant::now();
            if leave_after.is_some() && matches!(end, End::Silent | End::Cut) {
                end = End::Left;
                let _ = stream.get_ref().shutdown(Shutdown::Both);
            }
            let is_answered = matches!(end, End::Answered { .. });
            thread::sleep(MAX_PAUSE.mul_f64(self.rng.f64()));
            let has_extra_bytes = is_answered && has_more(&stream);
            let request = Request {
                id,
                is_safe,
                long_body,
                wait,
                is_first,
                sent_at,
                answered_at,
                ended_at,
                end,
                has_extra_bytes,
            };
            lock(&self.requests).push(request);
            is_first = false;
            if !is_answered || !keeps_connection {
                return;
            }
        }
    }

    fn request_text(&self, id: &str, is_safe: bool, long_body: Option<LongBody>, wait: Duration) -> String {
        let deadline_ms = wait.min(MAX_COUNTED_DEADLINE * 2).as_millis();
        let line = if is_safe { "GET /look" } else { "POST /book" };
        let query = long_body.map(LongBody::query).unwrap_or_default();
        let body = match long_body {
            Some(LongBody::Request(bytes)) => "x".repeat(bytes),
            _ if is_safe => String::new(),
            _ => "body".to_owned(),
        };
        let length = if is_safe { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
        format!(
            "{line}{query} HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: {id}\r\nX-Account: acme\r\n\
             X-Time-Left-Ms: {deadline_ms}\r\n{length}\r\n{body}"
        )
    }
}

/// Reads an answer; returns false with it if the balancer announced the end of the connection, and the time of its
/// first byte.
fn read_answer(stream: &mut BufReader<TcpStream>) -> (End, bool, Instant) {
    let begun = stream.fill_buf().map(<[u8]>::is_empty);
    let answered_at = Instant::now();
    match begun {
        Ok(true) => return (End::Closed, false, answered_at),
        Ok(false) => {}
        Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
            return (End::Silent, false, answered_at);
        }
        Err(_) => return (End::Closed, false, answered_at),
    }
    let Some(answer) = Message::read(stream) else { return (End::Cut, false, answered_at) };
    let is_closing = answer.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"));
    (End::Answered { status: answer.status(), body: answer.body }, !is_closing, answered_at)
}

/// Returns true if something has come behind the answer.
fn has_more(stream: &BufReader<TcpStream>) -> bool {
    let socket = stream.get_ref();
    let _ = socket.set_nonblocking(true);
    let has_more = !stream.buffer().is_empty() || socket.peek(&mut [0]).is_ok_and(|n| n > 0);
    let _ = socket.set_nonblocking(false);
    has_more
}
