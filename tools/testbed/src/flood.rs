//! Garbage at a balancer's port for others: datagrams of every length, some that look like ours, and callers that say nothing,
//! or garbage, or never end.

use std::io::Write;
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// The longest flood.
const MOST: Duration = Duration::from_secs(60);
/// Datagrams between two pauses, and a pause: 20,000 a second and less.
const BURST: usize = 100;
const PAUSE: Duration = Duration::from_millis(5);
/// Callers that are held open.
const CALLERS: usize = 40;

/// A flood, until it is dropped.
pub struct Flood {
    stop: Arc<AtomicBool>,
    sent: Arc<AtomicU64>,
    thread: Option<JoinHandle<()>>,
}

impl Flood {
    /// Begins one.
    pub fn start(port: SocketAddr) -> std::io::Result<Self> {
        let socket = UdpSocket::bind("127.0.0.1:0")?;
        let (stop, sent) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
        let (stopped, counted) = (Arc::clone(&stop), Arc::clone(&sent));
        let thread = std::thread::spawn(move || {
            let callers: Vec<TcpStream> = (0..CALLERS)
                .filter_map(|n| {
                    let mut stream = TcpStream::connect_timeout(&port, Duration::from_secs(1)).ok()?;
                    if n % 2 == 0 {
                        // It may be turned away meanwhile.
                        let _ = stream.write_all(&[255; 4096]);
                    }
                    Some(stream)
                })
                .collect();
            let begun = Instant::now();
            let mut n = 0usize;
            while !stopped.load(Ordering::SeqCst) && begun.elapsed() < MOST {
                for _ in 0..BURST {
                    n += 1;
                    let mut garbage = vec![n as u8; n % 400];
                    if n.is_multiple_of(3) && garbage.len() > 2 {
                        garbage[..2].copy_from_slice(b"mh");
                    }
                    // What a full buffer loses is made up for by the next.
                    let _ = socket.send_to(&garbage, port);
                }
                counted.store(n as u64, Ordering::SeqCst);
                std::thread::sleep(PAUSE);
            }
            drop(callers);
        });
        Ok(Self { stop, sent, thread: Some(thread) })
    }

    /// Datagrams so far.
    pub fn sent(&self) -> u64 {
        self.sent.load(Ordering::SeqCst)
    }
}

impl Drop for Flood {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        if let Some(thread) = self.thread.take() {
            // One that has panicked floods no more.
            let _ = thread.join();
        }
    }
}
