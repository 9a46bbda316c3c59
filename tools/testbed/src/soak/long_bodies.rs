//! Long bodies of a run: which requests have them, how clients write them, and how upstreams read and write them.
//!
//! They are drawn from a generator of their own, so that a seed plays everything else as it did without them.

use fastrand::Rng;
use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

/// Distinguishes the generators of long bodies from the others of a seed.
const SALT: u64 = 0x6c6f_6e67;
/// Shares of the requests that have a long body, by seed.
const LONG_SHARES: [f64; 3] = [0.0, 0.05, 0.2];
/// Share of the connections on which an upstream reads slowly, and bytes per second there.
const SLOW_READER_SHARE: f64 = 0.2;
const SLOW_READ_RATE: f64 = 100_000.0;
/// Bytes of one read on such a connection.
const SLOW_READ_BYTES: usize = 2 * 1024;
/// Pieces in which a long answer is written.
const ANSWER_PIECES: u32 = 20;
/// Name of the query parameter that asks for a long answer.
const ANSWER_PARAMETER: &str = "long=";

/// Returns the generator of long bodies for `number`, which is unique to its user.
pub fn generator(number: u64) -> Rng {
    Rng::with_seed(number ^ SALT)
}

/// Returns the share of long bodies in the run of a seed.
pub fn share(seed: u64) -> f64 {
    LONG_SHARES[generator(seed).usize(..LONG_SHARES.len())]
}

/// Long body of a request or its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LongBody {
    /// The answer has about this many bytes and no length, and is written over this time.
    Answer(usize, Duration),
    /// The request has this many bytes.
    Request(usize),
}

impl LongBody {
    /// Draws the long body of the next request, if it has one.
    pub fn draw(rng: &mut Rng, share: f64) -> Option<Self> {
        if rng.f64() >= share {
            return None;
        }
        let over = Duration::from_millis(rng.u64(300..=1500));
        Some(match rng.bool() {
            true => Self::Answer(rng.usize(90_000..=200_000), over),
            false => Self::Request(rng.usize(100_000..=600_000)),
        })
    }

    /// Returns the query by which the upstream knows what to answer.
    pub fn query(self) -> String {
        match self {
            Self::Answer(bytes, over) => format!("?{ANSWER_PARAMETER}{bytes},{}", over.as_millis()),
            Self::Request(_) => String::new(),
        }
    }

    /// Returns the long answer that a request line asks for.
    pub fn asked_for(request_line: &str) -> Option<Self> {
        let value = request_line.split(ANSWER_PARAMETER).nth(1)?.split(' ').next()?;
        let (bytes, over) = value.split_once(',')?;
        Some(Self::Answer(bytes.parse().ok()?, Duration::from_millis(over.parse().ok()?)))
    }
}

/// Writes an answer without a length that repeats the id of its request.
pub fn write_answer(mut stream: &TcpStream, id: &str, bytes: usize, over: Duration) -> io::Result<()> {
    stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
    let piece = id.repeat((bytes / id.len()).div_ceil(ANSWER_PIECES as usize));
    let chunk = format!("{:x}\r\n{piece}\r\n", piece.len());
    for _ in 0..ANSWER_PIECES {
        thread::sleep(over / ANSWER_PIECES);
        stream.write_all(chunk.as_bytes())?;
    }
    stream.write_all(b"0\r\n\r\n")
}

/// Returns true if a body is the id of its request, once or repeated.
pub fn is_made_for(body: &[u8], id: &str) -> bool {
    !body.is_empty() && body.chunks(id.len()).all(|part| part == id.as_bytes())
}

/// Reads from a connection, on some connections slowly.
pub struct PacedReader {
    stream: TcpStream,
    is_slow: bool,
    next_read: Instant,
}

impl PacedReader {
    /// Wraps a connection; `rng` decides whether it is read slowly. Without long bodies none is.
    pub fn new(stream: TcpStream, rng: &mut Rng, share: f64) -> Self {
        let is_slow = share > 0.0 && rng.f64() < SLOW_READER_SHARE;
        Self { stream, is_slow, next_read: Instant::now() }
    }
}

impl Read for PacedReader {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        if !self.is_slow {
            return self.stream.read(buffer);
        }
        thread::sleep(self.next_read.saturating_duration_since(Instant::now()));
        let length = buffer.len().min(SLOW_READ_BYTES);
        let read = self.stream.read(&mut buffer[..length])?;
        self.next_read = Instant::now() + Duration::from_secs_f64(read as f64 / SLOW_READ_RATE);
        Ok(read)
    }
}
