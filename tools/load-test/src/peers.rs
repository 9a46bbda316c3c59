//! The peers of a rig: an upstream, a server to measure beside, a holder of ports.

use std::io::{self, Read};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// An upstream that serves everything after a while.
pub struct Upstream {
    /// Where it listens.
    pub address: SocketAddr,
    /// Requests that have come.
    pub seen: Arc<AtomicU64>,
}

impl Upstream {
    /// One that takes this long for each request, and keeps its connections or closes each with its answer.
    pub async fn start(takes: Duration, keeps: bool) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let (address, seen) = (listener.local_addr()?, Arc::new(AtomicU64::new(0)));
        let count = Arc::clone(&seen);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, takes, keeps, Arc::clone(&count)));
            }
        });
        Ok(Self { address, seen })
    }
}

/// The length of the whole request at the start of these bytes, if it is there.
fn request(bytes: &[u8]) -> Option<usize> {
    let head = bytes.windows(4).position(|w| w == b"\r\n\r\n")? + 4;
    let text = std::str::from_utf8(&bytes[..head]).ok()?.to_ascii_lowercase();
    let length = text.lines().find_map(|line| line.strip_prefix("content-length:"));
    let whole = head + length.map_or(Some(0), |l| l.trim().parse().ok())?;
    (bytes.len() >= whole).then_some(whole)
}

async fn serve(mut stream: TcpStream, takes: Duration, keeps: bool, seen: Arc<AtomicU64>) {
    let _ = stream.set_nodelay(true);
    let (mut bytes, mut buffer) = (Vec::new(), [0; 4096]);
    loop {
        while let Some(whole) = request(&bytes) {
            bytes.drain(..whole);
            seen.fetch_add(1, Ordering::Relaxed);
            tokio::time::sleep(takes).await;
            let close = if keeps { "" } else { "Connection: close\r\n" };
            let answer = format!("HTTP/1.1 200 OK\r\n{close}Content-Length: 4\r\n\r\ndone");
            if stream.write_all(answer.as_bytes()).await.is_err() || !keeps {
                return;
            }
        }
        match stream.read(&mut buffer).await {
            Ok(n) if n > 0 => bytes.extend_from_slice(&buffer[..n]),
            _ => return,
        }
    }
}

/// Accepts and closes, as cheaply as one thread can that waits in the kernel.
pub fn plain() -> io::Result<()> {
    let listener = std::net::TcpListener::bind("127.0.0.1:0")?;
    println!("{}", listener.local_addr()?);
    // Whoever started it closes its input at the end.
    std::thread::spawn(|| {
        let _ = io::stdin().read(&mut [0; 1]);
        std::process::exit(0);
    });
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        listener.set_nonblocking(true)?;
        let listener = TcpListener::from_std(listener)?;
        loop {
            drop(listener.accept().await);
        }
    })
}

/// Holds these local ports, so that no connection is made from them, until the input ends.
pub fn hold_ports(from: u16, to: u16) {
    let hold = |port: u16| {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).ok()?;
        socket.bind(&SocketAddr::from((Ipv4Addr::UNSPECIFIED, port)).into()).ok()?;
        Some(socket)
    };
    let mut held: Vec<_> = (from..=to).map(|port| (port, hold(port))).collect();
    // Ports of connections that have just ended may come free.
    for _ in 0..1 {
        if held.iter().all(|(_, socket)| socket.is_some()) {
            break;
        }
        std::thread::sleep(Duration::from_secs(1));
        for (port, socket) in held.iter_mut().filter(|(_, socket)| socket.is_none()) {
            *socket = hold(*port);
        }
    }
    println!("127.0.0.1:{}", held.iter().filter(|(_, socket)| socket.is_some()).count().min(65_535));
    let _ = io::stdin().read(&mut [0; 1]);
}
