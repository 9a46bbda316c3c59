//! A balancer that reads its upstreams from a registry, its desk nodes, and clients that ask all the time.

#![allow(dead_code, reason = "each file of tests uses its part")]

pub use maplehook_proxy::Daemon;
pub use maplehook_test_servers::app::App;
pub use maplehook_test_servers::eureka::Eureka;
pub use maplehook_test_servers::{LONG, until};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

pub const APP: &str = "DESKS";

pub fn file(registries: &[&Eureka], extra: &str) -> String {
    let servers: Vec<String> = registries.iter().map(|r| format!("\"{}\"", r.address)).collect();
    format!(
        "[listen]\naddress = \"127.0.0.1:0\"\n[eureka]\nservers = [{}]\npoll_ms = 100\ntimeout_ms = 300\n{extra}\n\
         [[class]]\nname = \"look\"\npath = \"/**\"\neffect = \"idempotent\"\ndeadline_ms = 2000\n",
        servers.join(", ")
    )
}

pub fn start(registries: &[&Eureka], extra: &str) -> Daemon {
    Daemon::start(maplehook_config::parse(&file(registries, extra)).unwrap()).unwrap()
}

pub fn id(n: usize) -> String {
    format!("desk-{n}")
}

pub fn fleet(registry: &Eureka, count: usize) -> Vec<App> {
    let apps: Vec<App> = (0..count).map(|_| App::start()).collect();
    apps.iter().enumerate().for_each(|(n, app)| registry.register(APP, &id(n), app.address, &[]));
    apps
}

/// Asks once on a connection of its own; the status, or 0.
pub fn ask(address: SocketAddr) -> u16 {
    let Ok(mut stream) = TcpStream::connect(address) else { return 0 };
    stream.set_read_timeout(Some(LONG)).unwrap();
    if stream.write_all(b"GET /day HTTP/1.1\r\nHost: app\r\nConnection: close\r\n\r\n").is_err() {
        return 0;
    }
    maplehook_test_servers::Message::read(&mut BufReader::new(stream)).map_or(0, |message| message.status())
}

/// Clients that ask all the time, and what they got.
pub struct Load {
    stop: Arc<AtomicBool>,
    served: Arc<AtomicUsize>,
    other: Arc<AtomicUsize>,
    threads: Vec<std::thread::JoinHandle<()>>,
}

impl Load {
    pub fn start(address: SocketAddr, clients: usize) -> Self {
        let (stop, served, other): (Arc<AtomicBool>, Arc<AtomicUsize>, Arc<AtomicUsize>) = Default::default();
        let threads = (0..clients).map(|_| {
            let (stop, served, other) = (Arc::clone(&stop), Arc::clone(&served), Arc::clone(&other));
            std::thread::spawn(move || {
                while !stop.load(Ordering::SeqCst) {
                    let count = if ask(address) == 200 { &served } else { &other };
                    count.fetch_add(1, Ordering::SeqCst);
                    std::thread::sleep(Duration::from_millis(2));
                }
            })
        });
        Self { threads: threads.collect(), stop, served, other }
    }

    /// How many were served so far.
    pub fn served(&self) -> usize {
        self.served.load(Ordering::SeqCst)
    }

    /// Ends it: served, and not.
    pub fn end(self) -> (usize, usize) {
        self.stop.store(true, Ordering::SeqCst);
        self.threads.into_iter().for_each(|thread| thread.join().unwrap());
        (self.served.load(Ordering::SeqCst), self.other.load(Ordering::SeqCst))
    }
}

pub fn asks(daemon: &Daemon) {
    let _ = ask(daemon.address);
}

pub fn serves(daemon: &Daemon) {
    until("it serves", || ask(daemon.address) == 200);
}
