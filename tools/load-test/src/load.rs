//! Clients: those that flood, and those that confirm.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

/// The longest wait for anything.
const LONG: Duration = Duration::from_secs(3);

/// What a connection of a flood does.
#[derive(Clone, Copy, Debug)]
pub enum Does {
    /// Nothing at all.
    Mute,
    /// Half a head, and nothing more.
    Head,
    /// A head a byte at a time.
    Drip,
    /// A head and the beginning of its body.
    Body,
    /// Closes at once.
    Churn,
    /// Books, and keeps its connection for good.
    Keeps,
    /// Books as fast as it is answered.
    Books,
}

/// A flood that goes on until it is stopped, a minute at the most.
pub struct Flood {
    stop: Arc<AtomicBool>,
    /// Connections opened.
    pub opened: Arc<AtomicU64>,
    tasks: JoinSet<()>,
}

/// Connects from an address of the loopback net; closing leaves no port waiting.
pub async fn connect(from: Ipv4Addr, to: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket2::SockRef::from(&socket).set_linger(Some(Duration::ZERO))?;
    socket.bind(SocketAddr::from((from, 0)))?;
    let stream = timeout(LONG, socket.connect(to)).await??;
    stream.set_nodelay(true)?;
    Ok(stream)
}

impl Flood {
    /// `loops` connections at a time, each from the address that `from` gives for its number.
    pub fn start(
        to: SocketAddr,
        does: Does,
        loops: usize,
        from: impl Fn(u64) -> Ipv4Addr + Send + Sync + 'static,
    ) -> Self {
        let (stop, opened): (Arc<AtomicBool>, Arc<AtomicU64>) = Default::default();
        let from = Arc::new(from);
        let mut tasks = JoinSet::new();
        for _ in 0..loops {
            let (stop, opened, from) = (Arc::clone(&stop), Arc::clone(&opened), Arc::clone(&from));
            tasks.spawn(async move {
                let start = Instant::now();
                while !stop.load(Ordering::Relaxed) && start.elapsed() < Duration::from_secs(60) {
                    let number = opened.fetch_add(1, Ordering::Relaxed);
                    let Ok(stream) = connect(from(number), to).await else {
                        sleep(Duration::from_millis(2)).await;
                        continue;
                    };
                    let _ = timeout(LONG, abuse(stream, does, number, &stop)).await;
                }
            });
        }
        Self { stop, opened, tasks }
    }

    /// Ends it.
    pub async fn end(mut self) {
        self.stop.store(true, Ordering::Relaxed);
        let _ = timeout(LONG, async { while self.tasks.join_next().await.is_some() {} }).await;
    }
}

async fn abuse(mut stream: TcpStream, does: Does, number: u64, stop: &AtomicBool) {
    let mut buffer = [0; 1024];
    let (id, stopped) = (format!("f{number}"), || stop.load(Ordering::Relaxed));
    match does {
        Does::Churn => return,
        Does::Mute => {}
        Does::Head => drop(stream.write_all(b"POST /book HTTP/1.1\r\nHost: a\r\nX-Acc").await),
        Does::Body => {
            let text = booking("walkers", &id).replace("Content-Length: 5", "Content-Length: 5000");
            let _ = stream.write_all(text.as_bytes()).await;
        }
        Does::Drip => {
            for byte in b"POST /book HTTP/1.1\r\n" {
                if stopped() || stream.write_all(&[*byte]).await.is_err() {
                    return;
                }
                sleep(Duration::from_millis(200)).await;
            }
        }
        Does::Keeps => {
            let _ = stream.write_all(booking("walkers", &id).as_bytes()).await;
        }
        Does::Books => {
            for n in 0.. {
                let text = booking("lodge", &format!("{id}-{n}"));
                if stopped() || stream.write_all(text.as_bytes()).await.is_err() {
                    return;
                }
                if !matches!(stream.read(&mut buffer).await, Ok(1..)) {
                    return;
                }
            }
        }
    }
    // Until it is closed on, or the flood ends.
    while !stopped() {
        match timeout(Duration::from_millis(100), stream.read(&mut buffer)).await {
            Ok(Ok(1..)) | Err(_) => {}
            _ => return,
        }
    }
}

/// A booking that may not run twice.
pub fn booking(tenant: &str, id: &str) -> String {
    format!(
        "POST /book HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: {id}\r\nX-Account: {tenant}\r\n\
         X-Time-Left-Ms: 2000\r\nContent-Length: 5\r\n\r\nwords"
    )
}

/// How bookings went.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    /// Answered with 200, and how long each took.
    pub served: Vec<Duration>,
    /// Told that trying again is harmless.
    pub refused: u64,
    /// Any other answer.
    pub failed: u64,
    /// No whole answer to a request that was written whole.
    pub ended: u64,
    /// No connection.
    pub unconnected: u64,
}

impl Tally {
    /// All that were asked.
    pub fn asked(&self) -> u64 {
        self.served.len() as u64 + self.refused + self.failed + self.ended + self.unconnected
    }

    /// Share served.
    pub fn share(&self) -> f64 {
        self.served.len() as f64 / (self.asked() as f64).max(1.0)
    }

    /// The time within which this share of the served were.
    pub fn within(&self, share: f64) -> Duration {
        let mut sorted = self.served.clone();
        sorted.sort();
        let at = ((sorted.len() as f64 * share) as usize).min(sorted.len().saturating_sub(1));
        sorted.get(at).copied().unwrap_or_default()
    }

    fn add(&mut self, other: Self) {
        self.served.extend(other.served);
        self.refused += other.refused;
        self.failed += other.failed;
        self.ended += other.ended;
        self.unconnected += other.unconnected;
    }
}

/// Clients that book at an even pace on connections that they keep.
#[derive(Clone, Copy)]
pub struct Booking {
    /// Whom they book with.
    pub to: SocketAddr,
    /// Their address.
    pub from: Ipv4Addr,
    /// How many they are.
    pub clients: usize,
    /// Time from one booking of a client to its next.
    pub every: Duration,
    /// For how long.
    pub lasts: Duration,
    /// Their tenant.
    pub tenant: &'static str,
}

impl Booking {
    /// Books, and tells how it went.
    pub async fn run(self) -> Tally {
        let mut tasks = JoinSet::new();
        for n in 0..self.clients {
            tasks.spawn(async move {
                // Not all at one moment.
                sleep(self.every.mul_f64(n as f64 / self.clients as f64)).await;
                self.client(n).await
            });
        }
        let mut tally = Tally::default();
        while let Some(one) = tasks.join_next().await {
            tally.add(one.unwrap_or_default());
        }
        tally
    }

    async fn client(self, n: usize) -> Tally {
        let (mut tally, start, mut kept) = (Tally::default(), Instant::now(), None);
        let mut k = 0;
        while start.elapsed() < self.lasts {
            k += 1;
            let begun = Instant::now();
            let id = format!("{}-{n}-{k}", self.from);
            self.book(&mut kept, &id, &mut tally).await;
            sleep(self.every.saturating_sub(begun.elapsed())).await;
        }
        tally
    }

    async fn book(self, kept: &mut Option<TcpStream>, id: &str, tally: &mut Tally) {
        let begun = Instant::now();
        let text = booking(self.tenant, id);
        // A connection may be ended between two requests; the next is asked once more on a new one.
        for fresh in [false, true] {
            let reused = kept.is_some() && !fresh;
            let stream = match kept.take().filter(|_| !fresh) {
                Some(stream) => Ok(stream),
                None => connect(self.from, self.to).await,
            };
            let Ok(mut stream) = stream else {
                tally.unconnected += 1;
                return;
            };
            match timeout(LONG, exchange(&mut stream, &text)).await {
                Ok(Some((status, keeps))) => {
                    match status {
                        200 => tally.served.push(begun.elapsed()),
                        429 | 503 => tally.refused += 1,
                        _ => tally.failed += 1,
                    }
                    *kept = keeps.then_some(stream);
                    return;
                }
                _ if reused => {}
                _ => {
                    tally.ended += 1;
                    return;
                }
            }
        }
    }
}

/// Sends a request and reads its answer: the status, and whether the connection stays.
pub async fn exchange(stream: &mut TcpStream, text: &str) -> Option<(u16, bool)> {
    // Refused at the door, the answer may be there before the request is written.
    let _ = stream.write_all(text.as_bytes()).await;
    let (mut bytes, mut buffer) = (Vec::new(), [0; 2048]);
    loop {
        let n = stream.read(&mut buffer).await.ok().filter(|n| *n > 0)?;
        bytes.extend_from_slice(&buffer[..n]);
        let Some(head) = bytes.windows(4).position(|w| w == b"\r\n\r\n") else { continue };
        let text = std::str::from_utf8(&bytes[..head]).ok()?.to_ascii_lowercase();
        let length = text.lines().find_map(|l| l.strip_prefix("content-length:"))?.trim().parse::<usize>();
        if bytes.len() >= head + 4 + length.ok()? {
            let status = text.split(' ').nth(1)?.parse().ok()?;
            return Some((status, !text.contains("connection: close")));
        }
    }
}
