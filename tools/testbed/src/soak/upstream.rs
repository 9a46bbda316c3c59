//! An upstream of a run: it records what it ran, and treats some requests badly.

use super::balancer::lock;
use super::long_bodies::{self, LongBody, PacedReader};
use super::plan::{Behaviour, UpstreamPlan};
use fastrand::Rng;
use maplehook_test_servers::Message;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Lateness of bytes after an answer that can't be recognised by what they are: they come within the rest that every
/// connection has. Later ones are left out, as on a machine that stands still.
const NOISE_DELAY: Duration = Duration::from_millis(4);
const MAX_NOISE_DELAY: Duration = Duration::from_millis(12);
/// How long a request without an answer keeps its connection.
const HANG: Duration = Duration::from_secs(8);

/// A request that an upstream ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Execution {
    /// Id of the request.
    pub id: String,
    /// Time of its last byte.
    pub at: Instant,
}

/// A running upstream. Its threads end with the connections of the balancer.
pub struct Upstream {
    /// Where it listens.
    pub address: SocketAddr,
    executions: Arc<Mutex<Vec<Execution>>>,
}

impl Upstream {
    /// Starts an upstream whose behaviour is drawn from `seed`.
    pub fn start(plan: UpstreamPlan, seed: u64, long_share: f64) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("the listener has an address");
        let executions: Arc<Mutex<Vec<Execution>>> = Arc::default();
        let shared = Arc::clone(&executions);
        thread::spawn(move || {
            for (number, stream) in listener.incoming().map_while(Result::ok).enumerate() {
                let _ = stream.set_nodelay(true);
                let (plan, executions) = (plan.clone(), Arc::clone(&shared));
                let number = seed.wrapping_mul(1_000_003).wrapping_add(number as u64);
                let rng = Rng::with_seed(number);
                let long_rng = long_bodies::generator(number);
                thread::spawn(move || {
                    Served { stream: &stream, plan, executions, rng }.run(long_rng, long_share)
                });
            }
        });
        Self { address, executions }
    }

    /// Returns what it ran since the last call.
    pub fn take_executions(&self) -> Vec<Execution> {
        std::mem::take(&mut *lock(&self.executions))
    }
}

/// A connection from the balancer.
struct Served<'a> {
    stream: &'a TcpStream,
    plan: UpstreamPlan,
    executions: Arc<Mutex<Vec<Execution>>>,
    rng: Rng,
}

impl Served<'_> {
    fn run(mut self, mut long_rng: Rng, long_share: f64) -> Option<()> {
        let stream = self.stream.try_clone().ok()?;
        let mut reader = BufReader::new(PacedReader::new(stream, &mut long_rng, long_share));
        while let Some(request) = Message::read(&mut reader) {
            let id = request.header("x-correlation-id").unwrap_or_default().to_owned();
            let long_answer = LongBody::asked_for(&request.line);
            if let Some(LongBody::Answer(bytes, over)) = long_answer {
                lock(&self.executions).push(Execution { id: id.clone(), at: Instant::now() });
                long_bodies::write_answer(self.stream, &id, bytes, over).ok()?;
                continue;
            }
            let behaviour = self.plan.draw_behaviour(&mut self.rng);
            if behaviour == Behaviour::Unprocessed {
                self.write("HTTP/1.1 503 Busy\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n")?;
                continue;
            }
            lock(&self.executions).push(Execution { id: id.clone(), at: Instant::now() });
            thread::sleep(self.plan.draw_work(&mut self.rng));
            self.treat(behaviour, &answer_to(&id))?;
        }
        Some(())
    }

    /// Returns `None` if the connection has ended.
    fn treat(&mut self, behaviour: Behaviour, answer: &str) -> Option<()> {
        match behaviour {
            Behaviour::Good | Behaviour::Unprocessed => self.write(answer),
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
