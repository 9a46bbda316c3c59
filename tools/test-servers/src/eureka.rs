//! A Eureka registry, from the public description of its REST operations: register, renew, cancel, status override and
//! its removal, metadata, the whole list, its changes, by application, VIP and instance, in JSON and XML, with the
//! hash of the list, leases that expire and self-preservation. It fails as it is told to ([`Mode`]).

mod registry;
mod rest;
mod service;
mod xml;

use registry::{Registry, mark};
use serde_json::{Map, Value, json};
use service::serve;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// How the registry answers those who read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// As it should.
    #[default]
    Well,
    /// With this status.
    Status(u16),
    /// By ending the connection.
    Reset,
    /// Not at all: the connection stays open.
    Mute,
    /// One byte at a time, for ever.
    Drip,
    /// With a list of nobody.
    Empty,
    /// With every other instance.
    Half,
    /// With half of the document.
    Truncated,
    /// With a document of which bytes were changed.
    Garbled,
    /// With a hash that is not the list's.
    WrongHash,
    /// With what was true when this mode began.
    Stale,
}

impl Mode {
    /// By its name, as in a schedule.
    pub fn named(name: &str) -> Option<Self> {
        Some(match name {
            "well" => Self::Well,
            "reset" => Self::Reset,
            "mute" => Self::Mute,
            "drip" => Self::Drip,
            "empty" => Self::Empty,
            "half" => Self::Half,
            "truncated" => Self::Truncated,
            "garbled" => Self::Garbled,
            "wrong-hash" => Self::WrongHash,
            "stale" => Self::Stale,
            status => Self::Status(status.parse().ok()?),
        })
    }
}

#[derive(Default)]
struct State {
    registry: Mutex<Registry>,
    mode: Mutex<(Mode, Option<Registry>)>,
    requests: Mutex<BTreeMap<&'static str, usize>>,
    word: Mutex<Option<String>>,
    bytes: std::sync::atomic::AtomicUsize,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A registry. It ends when it is dropped.
pub struct Eureka {
    /// Where it listens.
    pub address: SocketAddr,
    state: Arc<State>,
    end: watch::Sender<bool>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl Eureka {
    /// Starts one at a port of the system's choice.
    pub fn start() -> Self {
        Self::listen(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap()
    }

    /// Starts one there.
    pub fn listen(address: SocketAddr) -> std::io::Result<Self> {
        let listener = std::net::TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let (end, ended) = watch::channel(false);
        let state: Arc<State> = Arc::default();
        let shared = Arc::clone(&state);
        let thread = std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
            runtime.block_on(serve(listener, shared, ended));
        });
        Ok(Self { address, state, end, thread: Some(thread) })
    }

    /// Registers an instance: its application, its id, where it listens, and its metadata.
    pub fn register(&self, app: &str, id: &str, address: SocketAddr, metadata: &[(&str, &str)]) {
        let metadata: Map<String, Value> =
            metadata.iter().map(|(name, value)| ((*name).to_owned(), Value::from(*value))).collect();
        let info = json!({
            "instanceId": id, "hostName": address.ip().to_string(), "ipAddr": address.ip().to_string(),
            "status": "UP", "port": {"$": address.port(), "@enabled": "true"},
            "securePort": {"$": "443", "@enabled": "false"}, "vipAddress": app.to_lowercase(),
            "countryId": 1, "dataCenterInfo": {"@class": "MyDataCenterInfo", "name": "MyOwn"},
            "metadata": metadata, "leaseInfo": {"durationInSecs": 3600},
        });
        if let Value::Object(info) = info {
            lock(&self.state.registry).register(app, info);
        }
    }

    /// Marks an instance, as an operator does by an override; `UP` removes it.
    pub fn mark(&self, app: &str, id: &str, status: &str) {
        mark(&mut lock(&self.state.registry), app, id, status);
    }

    /// Cancels an instance.
    pub fn cancel(&self, app: &str, id: &str) {
        lock(&self.state.registry).remove(app, id);
    }

    /// From now on it answers so.
    pub fn fails(&self, mode: Mode) {
        let before = lock(&self.state.registry).clone();
        *lock(&self.state.mode) = (mode, Some(before));
    }

    /// All leases have ended, as when nobody's renewals get through.
    pub fn lapse(&self) {
        let mut registry = lock(&self.state.registry);
        for registered in registry.apps.values_mut().flat_map(BTreeMap::values_mut) {
            registered.lease = Duration::ZERO;
        }
    }

    /// From now on it asks for this word of basic authentication: user and password in Base64.
    pub fn demands(&self, word: &str) {
        *lock(&self.state.word) = Some(format!("Basic {word}"));
    }

    /// It has restarted, and knows nobody.
    pub fn forget(&self) {
        *lock(&self.state.registry) = Registry::default();
    }

    /// Its clock is behind by so much from now on.
    pub fn clock_behind(&self, by: Duration) {
        lock(&self.state.registry).behind_ms = by.as_millis() as u64;
    }

    /// The changes so far are no news any more, as some minutes later.
    pub fn quiet(&self) {
        lock(&self.state.registry).recent.clear();
    }

    /// Whether leases stay where more than a share of the renewals is missing.
    pub fn preserves(&self, preserves: bool) {
        lock(&self.state.registry).preserves = preserves;
    }

    /// Takes over what another one knows, as a replica does.
    pub fn replicate(&self, other: &Self) {
        let known = lock(&other.state.registry).clone();
        *lock(&self.state.registry) = known;
    }

    /// Instances that it knows, by id, with their status.
    pub fn known(&self) -> BTreeMap<String, String> {
        let registry = lock(&self.state.registry);
        let all = registry.apps.values().flat_map(BTreeMap::iter);
        all.map(|(id, r)| (id.clone(), r.info["status"].as_str().unwrap_or_default().to_owned())).collect()
    }

    /// Renewals of an instance, its registration included.
    pub fn renewals(&self, app: &str, id: &str) -> u32 {
        lock(&self.state.registry).apps.get(app).and_then(|app| app.get(id)).map_or(0, |r| r.renewals)
    }

    /// Requests by kind: `apps`, `delta`, `other`.
    pub fn requests(&self) -> BTreeMap<&'static str, usize> {
        lock(&self.state.requests).clone()
    }

    /// Bytes of the answers so far.
    pub fn bytes(&self) -> usize {
        self.state.bytes.load(std::sync::atomic::Ordering::SeqCst)
    }

    /// Plays a schedule, line by line: `MS mark APP ID STATUS`, `MS cancel APP ID`, `MS register APP ID ADDRESS`,
    /// `MS mode NAME`, `MS forget`; milliseconds from the start. Returns when the last is done.
    pub fn play(&self, schedule: &str) -> Result<(), String> {
        let start = Instant::now();
        for (n, line) in schedule.lines().enumerate() {
            let words: Vec<&str> = line.split_whitespace().collect();
            if words.is_empty() || line.starts_with('#') {
                continue;
            }
            let wrong = || format!("line {}: {line:?}", n + 1);
            let at = words[0].parse().map(Duration::from_millis).map_err(|_| wrong())?;
            std::thread::sleep(at.saturating_sub(start.elapsed()));
            match &words[1..] {
                ["mark", app, id, status] => self.mark(app, id, status),
                ["cancel", app, id] => self.cancel(app, id),
                ["register", app, id, address] => {
                    self.register(app, id, address.parse().map_err(|_| wrong())?, &[]);
                }
                ["mode", name] => self.fails(Mode::named(name).ok_or_else(wrong)?),
                ["forget"] => self.forget(),
                _ => return Err(wrong()),
            }
        }
        Ok(())
    }
}

impl Drop for Eureka {
    fn drop(&mut self) {
        self.end.send_replace(true);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
