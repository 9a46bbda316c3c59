//! A flood from one address.

use crate::common::{LONG, Node};
use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// A flood from one address: mute and half-sent connections, opened again as soon as they end. It ends by
/// itself.
pub struct Flood {
    stop: Arc<AtomicBool>,
    pub opened: Arc<AtomicUsize>,
    loops: Vec<std::thread::JoinHandle<()>>,
}

impl Flood {
    pub fn start(node: &Node, from: &'static str, loops: usize) -> Self {
        let (stop, opened): (Arc<AtomicBool>, Arc<AtomicUsize>) = Default::default();
        let to = node.address;
        let loops = (0..loops).map(|n| {
            let (stop, opened) = (Arc::clone(&stop), Arc::clone(&opened));
            std::thread::spawn(move || {
                let (start, mut open) = (Instant::now(), std::collections::VecDeque::new());
                while !stop.load(Ordering::Relaxed) && start.elapsed() < LONG {
                    let socket =
                        socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
                    let from: std::net::SocketAddr = format!("{from}:0").parse().unwrap();
                    // Its ports are not to run out: a reset leaves none waiting.
                    socket.set_linger(Some(Duration::ZERO)).unwrap();
                    if socket.bind(&from.into()).is_err()
                        || socket.connect_timeout(&to.into(), Duration::from_secs(1)).is_err()
                    {
                        continue;
                    }
                    let mut stream = TcpStream::from(socket);
                    if n % 2 == 0 {
                        let _ = stream.write_all(b"POST /book HTTP/1.1\r\nHost: a\r\nX-Account: ac");
                    }
                    opened.fetch_add(1, Ordering::Relaxed);
                    open.push_back(stream);
                    if open.len() > 40 {
                        open.pop_front();
                    }
                }
            })
        });
        let loops = loops.collect();
        Self { stop, opened, loops }
    }

    pub fn end(self) -> usize {
        self.stop.store(true, Ordering::Relaxed);
        self.loops.into_iter().for_each(|l| l.join().unwrap());
        self.opened.load(Ordering::Relaxed)
    }
}
