//! Discovery of a run: whole lists, to whoever asks and to whoever watches.

use super::balancer::lock;
use maplehook_test_servers::{discovery, entry, list, tell};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Interval of the empty lines on a watch.
const HEARTBEAT: Duration = Duration::from_secs(2);

/// How an upstream stands in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listing {
    /// It takes requests.
    Ready,
    /// It finishes what it has.
    Draining,
    /// It is not there.
    LeftOut,
}

struct State {
    upstreams: Vec<(SocketAddr, Listing)>,
    revision: u64,
    watches: Vec<TcpStream>,
}

impl State {
    fn text(&self) -> String {
        let listed =
            self.upstreams.iter().enumerate().filter(|(_, (_, listing))| *listing != Listing::LeftOut);
        let entries: Vec<String> = listed
            .map(|(n, (address, listing))| {
                let state = if *listing == Listing::Draining { "Terminating" } else { "Ready" };
                entry(&format!("s-{n}"), *address, state)
            })
            .collect();
        list(self.revision, true, &entries)
    }

    fn tell_all(&mut self, line: &str) {
        let chunk = format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
        self.watches.retain(|mut watch| watch.write_all(chunk.as_bytes()).is_ok());
    }
}

/// Running discovery. Its threads end with the program.
pub struct Discovery {
    /// Where it listens.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Discovery {
    /// Starts discovery with these upstreams, all ready.
    pub fn start(upstreams: impl Iterator<Item = SocketAddr>) -> Self {
        let upstreams = upstreams.map(|address| (address, Listing::Ready)).collect();
        let state = Arc::new(Mutex::new(State { upstreams, revision: 1, watches: Vec::new() }));
        let (address, calls) = discovery();
        let answered = Arc::clone(&state);
        thread::spawn(move || {
            for (target, stream) in calls {
                let state = &mut *lock(&answered);
                tell(&stream, &state.text());
                if target.contains("stream=1") {
                    state.watches.push(stream);
                } else {
                    let _ = (&stream).write_all(b"0\r\n\r\n");
                }
            }
        });
        let beating = Arc::downgrade(&state);
        thread::spawn(move || {
            let mut next = Instant::now();
            while let Some(state) = beating.upgrade() {
                lock(&state).tell_all("");
                drop(state);
                next += HEARTBEAT;
                thread::sleep(next.saturating_duration_since(Instant::now()));
            }
        });
        Self { address, state }
    }

    /// Changes how an upstream stands in the list, and tells it.
    pub fn list(&self, upstream: usize, listing: Listing) {
        let state = &mut *lock(&self.state);
        state.upstreams[upstream].1 = listing;
        state.revision += 1;
        let text = state.text();
        state.tell_all(&text);
    }

    /// Lists all upstreams as ready again.
    pub fn list_all(&self) {
        let count = lock(&self.state).upstreams.len();
        (0..count).for_each(|upstream| {
            let is_ready = lock(&self.state).upstreams[upstream].1 == Listing::Ready;
            if !is_ready {
                self.list(upstream, Listing::Ready);
            }
        });
    }
}
