//! Relays: every way between two processes goes through one, which does to it what it is told.
//!
//! A [`Way`] is one direction. A relay forwards the datagrams that come to its port one way, and connections both ways:
//! what the caller says goes by the first way, what it is answered by the second. Nothing leaves loopback.

use maplehook_test_servers::router::unix_us;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// Datagrams that may be on their way at once, and connections of a relay.
const PENDING_MOST: usize = 4096;
const CONNECTIONS_MOST: usize = 256;
/// Tries in vain that are kept.
const TRIED_MOST: usize = 100_000;
/// What a lost segment of a connection costs: it is sent again.
const SENT_AGAIN: Duration = Duration::from_millis(200);
/// How often a way that is silent is looked at.
const LOOK: Duration = Duration::from_millis(5);
/// Connections that fill the queue of a silent port, and how long each may take.
const FILL_MOST: usize = 4;
const FILLS: Duration = Duration::from_millis(30);
/// Of a port that is open.
const BACKLOG: i32 = 1024;
/// How long a connection to the target may take.
const CONNECT: Duration = Duration::from_secs(2);

/// What a way does to what passes it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Trouble {
    /// Nothing passes: datagrams are lost, connections stand still.
    pub silent: bool,
    /// Share that is lost.
    pub loss: f64,
    /// Share of datagrams that come twice.
    pub twice: f64,
    /// The shortest and the longest delay, drawn for each by itself: datagrams change their order.
    pub delay: (Duration, Duration),
    /// Bytes a second on a connection; 0: any.
    pub slow: u64,
    /// Connections are refused.
    pub refuse: bool,
}

/// One direction between two processes.
#[derive(Debug)]
pub struct Way {
    trouble: Mutex<Trouble>,
    changes: watch::Sender<()>,
    resets: watch::Sender<u64>,
    pending: AtomicUsize,
    /// When somebody tried to use it though it let nothing pass, in microseconds of the Unix clock.
    tried: Mutex<Vec<u64>>,
}

impl Default for Way {
    fn default() -> Self {
        Self {
            trouble: Mutex::default(),
            changes: watch::Sender::new(()),
            resets: watch::Sender::new(0),
            pending: AtomicUsize::new(0),
            tried: Mutex::default(),
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Way {
    /// What it does now.
    pub fn trouble(&self) -> Trouble {
        *lock(&self.trouble)
    }

    /// What it does from now on.
    pub fn set(&self, change: impl FnOnce(&mut Trouble)) {
        change(&mut lock(&self.trouble));
        self.changes.send_replace(());
    }

    /// Resets all connections that use it.
    pub fn reset(&self) {
        self.resets.send_modify(|n| *n += 1);
    }

    /// When somebody tried to use it though it let nothing pass: new connections, and requests on old ones.
    pub fn tried(&self) -> Vec<u64> {
        lock(&self.tried).clone()
    }

    fn tries(&self) {
        let mut tried = lock(&self.tried);
        if tried.len() < TRIED_MOST {
            tried.push(unix_us());
        }
    }

    fn delay(&self) -> Duration {
        let (least, most) = self.trouble().delay;
        least + most.saturating_sub(least).mul_f64(fastrand::f64())
    }

    async fn speaks(&self) {
        while self.trouble().silent {
            sleep(LOOK).await;
        }
    }
}

/// A port that forwards to wherever its target is.
#[derive(Clone, Debug)]
pub struct Relay {
    /// Where it listens, for datagrams and connections.
    pub address: SocketAddr,
    target: Arc<Mutex<Option<SocketAddr>>>,
}

impl Relay {
    /// Starts one. It ends with the runtime.
    pub async fn start(forward: Arc<Way>, back: Arc<Way>) -> io::Result<Self> {
        Self::of(forward, back, false).await
    }

    /// One whose port itself refuses, or answers nothing, while its way does: whoever only connects and sends nothing sees it, too.
    pub async fn strict(way: Arc<Way>) -> io::Result<Self> {
        Self::of(Arc::clone(&way), way, true).await
    }

    async fn of(forward: Arc<Way>, back: Arc<Way>, strict: bool) -> io::Result<Self> {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let (listener, socket) = loop {
            let socket = UdpSocket::bind(any).await?;
            // The port may be taken for connections. A port that was asked for by its number is kept while it refuses.
            if let Ok(listener) = TcpListener::bind(socket.local_addr()?).await {
                break (listener, socket);
            }
        };
        let relay = Self { address: listener.local_addr()?, target: Arc::default() };
        tokio::spawn(datagrams(Arc::new(socket), Arc::clone(&relay.target), Arc::clone(&forward)));
        tokio::spawn(connections(listener, Arc::clone(&relay.target), forward, back, strict));
        Ok(relay)
    }

    /// Where it forwards to from now on.
    pub fn leads_to(&self, target: Option<SocketAddr>) {
        *lock(&self.target) = target;
    }
}

async fn datagrams(socket: Arc<UdpSocket>, target: Arc<Mutex<Option<SocketAddr>>>, way: Arc<Way>) {
    let Ok(out) = UdpSocket::bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).await else { return };
    let out = Arc::new(out);
    let mut buffer = vec![0; 64 * 1024];
    loop {
        // An earlier one came to a port where nobody listens: nothing to read.
        let Ok((length, _)) = socket.recv_from(&mut buffer).await else { continue };
        let trouble = way.trouble();
        let Some(to) = *lock(&target) else { continue };
        if trouble.silent || fastrand::f64() < trouble.loss {
            continue;
        }
        let copies = if fastrand::f64() < trouble.twice { 2 } else { 1 };
        for _ in 0..copies {
            let delay = way.delay();
            if delay.is_zero() {
                // What can't be sent is lost.
                let _ = out.send_to(&buffer[..length], to).await;
            } else if way.pending.fetch_add(1, Ordering::SeqCst) < PENDING_MOST {
                let (way, out, bytes) = (Arc::clone(&way), Arc::clone(&out), buffer[..length].to_vec());
                tokio::spawn(async move {
                    sleep(delay).await;
                    way.pending.fetch_sub(1, Ordering::SeqCst);
                    let _ = out.send_to(&bytes, to).await;
                });
            } else {
                way.pending.fetch_sub(1, Ordering::SeqCst);
            }
        }
    }
}

async fn connections(
    mut listener: TcpListener,
    target: Arc<Mutex<Option<SocketAddr>>>,
    forward: Arc<Way>,
    back: Arc<Way>,
    strict: bool,
) {
    let open = Arc::new(AtomicUsize::new(0));
    let mut changes = forward.changes.subscribe();
    loop {
        changes.mark_unchanged();
        let trouble = forward.trouble();
        if strict && (trouble.refuse || trouble.silent) {
            listener = match closed(listener, trouble.refuse, &forward, &mut changes).await {
                Ok(listener) => listener,
                // Nobody can be told: its port stays as it is.
                Err(_) => return,
            };
            continue;
        }
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = changes.changed(), if strict => continue,
        };
        let Ok((stream, _)) = accepted else {
            sleep(LOOK).await;
            continue;
        };
        let to = *lock(&target);
        let trouble = forward.trouble();
        if trouble.refuse || trouble.silent {
            forward.tries();
        }
        if trouble.refuse || to.is_none() || open.load(Ordering::SeqCst) >= CONNECTIONS_MOST {
            end(&stream);
            continue;
        }
        let (forward, back, open) = (Arc::clone(&forward), Arc::clone(&back), Arc::clone(&open));
        open.fetch_add(1, Ordering::SeqCst);
        tokio::spawn(async move {
            if let Some(to) = to {
                pass(stream, to, &forward, &back).await;
            }
            open.fetch_sub(1, Ordering::SeqCst);
        });
    }
}

/// Keeps a port that refuses, or is silent, until its way is otherwise.
async fn closed(
    listener: TcpListener,
    refuse: bool,
    way: &Way,
    changes: &mut watch::Receiver<()>,
) -> io::Result<TcpListener> {
    let listener = listener.into_std()?;
    let socket = socket2::SockRef::from(&listener);
    let mut fill = Vec::new();
    if refuse {
        // Linux listens no more and keeps the port.
        socket.shutdown(std::net::Shutdown::Read)?;
    } else {
        // A queue that is full leaves the next one without any answer.
        socket.listen(0)?;
        let address = listener.local_addr()?;
        while fill.len() < FILL_MOST
            && let Ok(Ok(stream)) = timeout(FILLS, TcpStream::connect(address)).await
        {
            fill.push(stream);
        }
    }
    loop {
        changes.mark_unchanged();
        let now = way.trouble();
        if now.refuse != refuse || !(refuse || now.silent) {
            break;
        }
        // Its sender is a part of the way.
        let _ = changes.changed().await;
    }
    drop(fill);
    socket.listen(BACKLOG)?;
    TcpListener::from_std(listener)
}

/// With a reset, as a broken way ends.
fn end(stream: &TcpStream) {
    // Where the option can't be set it ends like any.
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

async fn pass(caller: TcpStream, to: SocketAddr, forward: &Way, back: &Way) {
    let (mut torn, mut torn_back) = (forward.resets.subscribe(), back.resets.subscribe());
    torn.mark_unchanged();
    torn_back.mark_unchanged();
    forward.speaks().await;
    let Ok(Ok(called)) = timeout(CONNECT, TcpStream::connect(to)).await else {
        end(&caller);
        return;
    };
    // An unset option costs time, not truth.
    let _ = (caller.set_nodelay(true), called.set_nodelay(true));
    let (from_caller, to_caller) = caller.into_split();
    let (from_called, to_called) = called.into_split();
    let passing = async {
        tokio::join!(pump(from_caller, to_called, forward, true), pump(from_called, to_caller, back, false));
    };
    tokio::select! {
        () = passing => {}
        _ = torn.changed() => {}
        _ = torn_back.changed() => {}
    }
}

/// `calls`: what passes are requests.
async fn pump(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, way: &Way, calls: bool) {
    let mut buffer = vec![0; 16 * 1024];
    loop {
        let slow = way.trouble().slow;
        let most = if slow > 0 { (slow as usize / 20).clamp(1, buffer.len()) } else { buffer.len() };
        let Ok(length) = from.read(&mut buffer[..most]).await else { return };
        if calls && length > 0 && way.trouble().silent {
            way.tries();
        }
        way.speaks().await;
        let Trouble { loss, slow, .. } = way.trouble();
        let mut wait = way.delay();
        while fastrand::f64() < loss.min(0.9) {
            wait += SENT_AGAIN;
        }
        if slow > 0 {
            wait += Duration::from_secs_f64(length as f64 / slow as f64);
        }
        if !wait.is_zero() {
            sleep(wait).await;
        }
        if length == 0 {
            // The end passes like anything else.
            let _ = to.shutdown().await;
            return;
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    async fn echoing() -> (Relay, Arc<Way>) {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let way = Arc::new(Way::default());
        let relay = Relay::strict(Arc::clone(&way)).await.unwrap();
        relay.leads_to(listener.local_addr().ok());
        tokio::spawn(async move {
            loop {
                let (mut stream, _) = listener.accept().await.unwrap();
                tokio::spawn(async move {
                    let _ = stream.write_all(b"yes").await;
                });
            }
        });
        (relay, way)
    }

    async fn answers(relay: &Relay) -> Option<bool> {
        let ask = async {
            let mut stream = TcpStream::connect(relay.address).await.ok()?;
            let mut got = [0; 3];
            stream.read_exact(&mut got).await.ok().map(|_| got == *b"yes")
        };
        timeout(Duration::from_millis(300), ask).await.unwrap_or(Some(false))
    }

    /// Refused at once, or without any answer, and back at the same port.
    #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
    async fn a_strict_port_refuses_and_is_silent_by_itself() {
        let (relay, way) = echoing().await;
        let refused = |e: io::Error| e.kind() == io::ErrorKind::ConnectionRefused;
        for _ in 0..3 {
            assert_eq!(answers(&relay).await, Some(true));
            way.set(|trouble| trouble.refuse = true);
            let begun = std::time::Instant::now();
            while !TcpStream::connect(relay.address).await.is_err_and(refused) {
                assert!(begun.elapsed() < Duration::from_secs(5), "it takes connections");
                sleep(LOOK).await;
            }
            way.set(|trouble| (trouble.refuse, trouble.silent) = (false, true));
            sleep(Duration::from_millis(200)).await;
            for _ in 0..3 {
                let made = timeout(Duration::from_millis(100), TcpStream::connect(relay.address)).await;
                assert!(made.is_err(), "{made:?}");
            }
            way.set(|trouble| trouble.silent = false);
            let begun = std::time::Instant::now();
            while answers(&relay).await != Some(true) {
                assert!(begun.elapsed() < Duration::from_secs(5), "it is not back");
                sleep(LOOK).await;
            }
        }
    }
}
