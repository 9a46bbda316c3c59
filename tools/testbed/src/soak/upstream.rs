//! An upstream of a run: it records what it ran, and treats some requests badly.

use super::balancer::lock;
use super::broken::BrokenAnswer;
use super::faults::{self, Fault, FaultPair};
use super::long_bodies::{self, LongBody, PacedReader};
use super::plan::{Behaviour, UpstreamPlan};
use fastrand::Rng;
use maplehook_test_servers::Message;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, Weak};
use std::thread;
use std::time::{Duration, Instant};

/// Lateness of bytes after an answer that can't be recognised by what they are: they come within the rest that every
/// connection has. Later ones are left out, as on a machine that stands still.
const NOISE_DELAY: Duration = Duration::from_millis(4);
const MAX_NOISE_DELAY: Duration = Duration::from_millis(12);
/// Longest body of a request that comes at once.
const MAX_SHORT_BODY_BYTES: usize = 4096;
/// How long a request without an answer keeps its connection.
const HANG: Duration = Duration::from_secs(8);

/// A request that an upstream ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Execution {
    /// Id of the request.
    pub id: String,
    /// Time of its last byte; `None` if it may have come before, or if its body is long.
    pub arrived_at: Option<Instant>,
    /// True once its answer was written.
    is_answered: bool,
    /// True if its answer broke off.
    pub breaks: bool,
}

/// What an upstream has run, and what it is doing.
#[derive(Default)]
struct Shared {
    executions: Vec<Execution>,
    connections: Vec<Weak<TcpStream>>,
    /// Until then it refuses connections.
    down_until: Option<Instant>,
}

impl Shared {
    fn is_down(&self) -> bool {
        self.down_until.is_some_and(|until| Instant::now() < until)
    }

    fn last_of(&mut self, id: &str) -> Option<&mut Execution> {
        self.executions.iter_mut().rev().find(|execution| execution.id == id)
    }
}

/// A running upstream. Its threads end with the connections of the balancer.
pub struct Upstream {
    /// Where it listens.
    pub address: SocketAddr,
    shared: Arc<Mutex<Shared>>,
}

impl Upstream {
    /// Starts an upstream whose behaviour is drawn from `seed`.
    pub fn start(plan: UpstreamPlan, seed: u64, long_share: f64, pair: FaultPair) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("the listener has an address");
        let shared: Arc<Mutex<Shared>> = Arc::default();
        let served = Arc::clone(&shared);
        thread::spawn(move || {
            for (number, stream) in listener.incoming().map_while(Result::ok).enumerate() {
                if lock(&served).is_down() {
                    let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
                    continue;
                }
                let _ = stream.set_nodelay(true);
                let stream = Arc::new(stream);
                lock(&served).connections.push(Arc::downgrade(&stream));
                let (plan, shared) = (plan.clone(), Arc::clone(&served));
                let number = seed.wrapping_mul(1_000_003).wrapping_add(number as u64);
                let rng = Rng::with_seed(number);
                let (long_rng, fault_rng) = (long_bodies::generator(number), faults::generator(number));
                thread::spawn(move || {
                    Served { stream: &stream, plan, shared, rng, pair, fault_rng }.run(long_rng, long_share)
                });
            }
        });
        Self { address, shared }
    }

    /// Ends all connections, and refuses new ones for so long.
    pub fn go_down_for(&self, time: Duration) {
        let shared = &mut *lock(&self.shared);
        shared.down_until = Some(Instant::now() + time);
        for stream in std::mem::take(&mut shared.connections).iter().filter_map(Weak::upgrade) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        shared.executions.iter_mut().filter(|execution| !execution.is_answered).for_each(|e| e.breaks = true);
    }

    /// Returns what it ran since the last call.
    pub fn take_executions(&self) -> Vec<Execution> {
        std::mem::take(&mut lock(&self.shared).executions)
    }
}

/// A connection from the balancer.
struct Served<'a> {
    stream: &'a TcpStream,
    plan: UpstreamPlan,
    shared: Arc<Mutex<Shared>>,
    rng: Rng,
    pair: FaultPair,
    fault_rng: Rng,
}

impl Served<'_> {
    fn run(mut self, mut long_rng: Rng, long_share: f64) -> Option<()> {
        let stream = self.stream.try_clone().ok()?;
        let mut reader = BufReader::new(PacedReader::new(stream, &mut long_rng, long_share));
        loop {
            let has_waited = !reader.buffer().is_empty() || self.has_unread_bytes();
            let request = Message::read(&mut reader)?;
            let is_long = request.body.len() > MAX_SHORT_BODY_BYTES;
            let arrived_at = (!has_waited && !is_long).then(Instant::now);
            let id = request.header("x-correlation-id").unwrap_or_default().to_owned();
            let long_answer = LongBody::asked_for(&request.line);
            if let Some(LongBody::Answer(bytes, over)) = long_answer {
                self.record(&id, arrived_at);
                long_bodies::write_answer(self.stream, &id, bytes, over).ok()?;
                self.record_answered(&id);
                continue;
            }
            let behaviour = self.plan.draw_behaviour(&mut self.rng);
            if behaviour == Behaviour::Unprocessed {
                self.write("HTTP/1.1 503 Busy\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n")?;
                continue;
            }
            self.record(&id, arrived_at);
            thread::sleep(self.plan.draw_work(&mut self.rng));
            if self.pair.draw_break(&mut self.fault_rng) {
                lock(&self.shared).last_of(&id)?.breaks = true;
                let may_be_closed =
                    self.pair.has(Fault::UpstreamsCrash) || self.pair.has(Fault::UpstreamsComeLate);
                BrokenAnswer::draw(&mut self.fault_rng, may_be_closed).write(self.stream).ok()?;
                return None;
            }
            self.treat(behaviour, &answer_to(&id), &id)?;
        }
    }

    fn record(&self, id: &str, arrived_at: Option<Instant>) {
        let execution = Execution { id: id.to_owned(), arrived_at, is_answered: false, breaks: false };
        lock(&self.shared).executions.push(execution);
    }

    fn record_answered(&self, id: &str) {
        if let Some(execution) = lock(&self.shared).last_of(id) {
            execution.is_answered = true;
        }
    }

    /// Returns true if something has come that was not read.
    fn has_unread_bytes(&self) -> bool {
        let socket = socket2::SockRef::from(self.stream);
        let _ = socket.set_nonblocking(true);
        let has_bytes = self.stream.peek(&mut [0]).is_ok_and(|n| n > 0);
        let _ = socket.set_nonblocking(false);
        has_bytes
    }

    /// Returns `None` if the connection has ended.
    fn treat(&mut self, behaviour: Behaviour, answer: &str, id: &str) -> Option<()> {
        match behaviour {
            Behaviour::Good | Behaviour::Unprocessed => {
                self.write(answer)?;
                self.record_answered(id);
                Some(())
            }
            Behaviour::SecondAnswer(delay) => {
                self.write(answer)?;
                thread::sleep(delay);
                self.write(answer)
            }
            Behaviour::SecondAnswerBehind => self.write(&answer.repeat(2)),
            Behaviour::Noise => self.answer_and_add(answer, "\u{1}\u{2} noise\r\n\r\n"),
            Behaviour::PartOfSecondAnswer => self.answer_and_add(answer, &answer[..answer.len() / 2]),
            Behaviour::Pieces => answer.as_bytes().chunks(9).try_for_each(|piece| {
                thread::sleep(Duration::from_millis(1));
                self.stream.write_all(piece).ok()
            }),
            Behaviour::Error => self.write("HTTP/1.1 500 Oh\r\nContent-Length: 4\r\n\r\noops"),
            Behaviour::CloseAfterAnswer => self.write(answer).and(None),
            Behaviour::Reset => {
                let _ = socket2::SockRef::from(self.stream).set_linger(Some(Duration::ZERO));
                None
            }
            Behaviour::Hang => {
                thread::sleep(HANG);
                None
            }
            Behaviour::Spoilt => self.write("HTTP/1.1 2x0 OK\r\n\r\n"),
        }
    }

    fn write(&self, text: &str) -> Option<()> {
        let mut stream = self.stream;
        stream.write_all(text.as_bytes()).ok()
    }

    fn answer_and_add(&self, answer: &str, more: &str) -> Option<()> {
        self.write(answer)?;
        let answered_at = Instant::now();
        thread::sleep(NOISE_DELAY);
        if answered_at.elapsed() > MAX_NOISE_DELAY { Some(()) } else { self.write(more) }
    }
}

/// Answer whose body names the request that it was made for.
fn answer_to(id: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{id}", id.len())
}
