//! A tier of real processes, with relays on every way between them, to discovery and to the upstreams.

mod clients;
mod file;
mod looks;
mod ways;

pub(crate) use clients::exchange;
pub use file::settings;

use crate::balancer::{Balancer, Keeps};
use crate::check::name;
use crate::history::{History, What};
use crate::places::Map;
use crate::relay::{Relay, Way};
use file::{directory, file};
use maplehook_test_servers::app::{App, Keys};
use maplehook_test_servers::eureka::Eureka;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Output;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;
use tokio::runtime::Runtime;

/// A request's deadline at the balancers.
pub const DEADLINE: Duration = Duration::from_secs(2);
/// How long a client waits in all.
pub const PATIENCE: Duration = Duration::from_millis(3500);
/// Requests that may be open at once.
const OPEN_MOST: usize = 512;
/// Between two looks at what balancers show.
const LOOK: Duration = Duration::from_millis(200);

/// What a world is made of.
#[derive(Clone, Debug)]
pub struct Setup {
    /// The program.
    pub program: PathBuf,
    /// Another program, which each second balancer runs.
    pub beside: Option<PathBuf>,
    /// How many balancers: 1 to 32.
    pub balancers: usize,
    /// How many upstreams.
    pub upstreams: usize,
    /// Requests a second, over all balancers.
    pub rate: f64,
    /// Whether the balancers know each other.
    pub tier: bool,
    /// How they agree on versions: the lines of `[agreement]` but the voters.
    pub agreement: Option<String>,
    /// There is no agreement, and versions go by files and restarts; attempts show them in `Via`.
    pub by_files: bool,
    /// Upstreams stand in the files; there is no registry.
    pub listed: bool,
    /// What else stands in their files.
    pub extra: String,
    /// Zones, regions and rooms: each balancer has ways of its own to listed upstreams.
    pub map: Option<Map>,
}

impl Setup {
    /// Eight balancers before four upstreams.
    pub fn new(program: &Path) -> Self {
        Self {
            program: program.to_owned(),
            beside: None,
            balancers: 8,
            upstreams: 4,
            rate: 40.0,
            tier: true,
            agreement: None,
            by_files: false,
            listed: false,
            extra: String::new(),
            map: None,
        }
    }

    /// The longest contradiction that is promised.
    pub fn contradiction(&self) -> Duration {
        let line = self
            .agreement
            .as_ref()
            .and_then(|text| text.lines().find(|line| line.starts_with("contradiction_ms")));
        let ms = line.and_then(|line| line.split('=').nth(1)?.trim().parse().ok());
        Duration::from_millis(ms.unwrap_or(5000))
    }
}

/// A tier, and all that it has to do with.
pub struct World {
    /// What is seen.
    pub history: Arc<History>,
    /// The balancers.
    pub balancers: Vec<Mutex<Balancer>>,
    /// The upstreams.
    pub apps: Vec<App>,
    /// Discovery.
    pub registry: Eureka,
    /// The ways between balancers, by caller and called.
    ways: Vec<Vec<Arc<Way>>>,
    relays: Vec<Vec<Option<Relay>>>,
    /// The ways to discovery, by balancer.
    discovery: Vec<Arc<Way>>,
    /// By balancer where there is a map, else one row that all share.
    to_apps: Vec<Vec<Arc<Way>>>,
    addresses: Arc<Vec<Mutex<Option<SocketAddr>>>>,
    operators: Arc<Vec<Mutex<Option<SocketAddr>>>>,
    next_id: Arc<AtomicU64>,
    ends: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
    asking: Arc<AtomicBool>,
    directory: PathBuf,
    runtime: Runtime,
    setup: Setup,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl World {
    /// Prepares one, and starts the balancers together.
    pub fn start(setup: Setup) -> Result<Self, String> {
        let world = Self::prepare(setup)?;
        let all: Vec<usize> = (0..world.setup.balancers).collect();
        world.start_all(&all, Keeps::State)?;
        Ok(world)
    }

    /// Prepares one in which no balancer runs yet.
    pub fn prepare(setup: Setup) -> Result<Self, String> {
        let n = setup.balancers;
        if !(1..=32).contains(&n) {
            return Err("1 to 32 balancers".into());
        }
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()
            .map_err(|e| e.to_string())?;
        let directory = directory();
        std::fs::create_dir_all(&directory).map_err(|e| e.to_string())?;
        std::fs::write(directory.join("secret"), "the secret of the rig's tier")
            .map_err(|e| e.to_string())?;
        let keys = Keys::default();
        let room = |k: usize| setup.map.as_ref().map(|map| map.room(k));
        let apps: Vec<App> = (0..setup.upstreams).map(|k| App::with(keys.clone(), room(k))).collect();
        let rows = if setup.map.is_some() { n } else { 1 };
        let registry = Eureka::start();
        let way = || Arc::new(Way::default());
        let ways: Vec<Vec<Arc<Way>>> = (0..n).map(|_| (0..n).map(|_| way()).collect()).collect();
        let discovery: Vec<Arc<Way>> = (0..n).map(|_| way()).collect();
        let to_apps: Vec<Vec<Arc<Way>>> = (0..rows).map(|_| apps.iter().map(|_| way()).collect()).collect();
        let mut relays: Vec<Vec<Option<Relay>>> = Vec::new();
        let (mut to_registry, mut before_apps) = (Vec::new(), Vec::new());
        runtime
            .block_on(async {
                for (a, row) in ways.iter().enumerate() {
                    let mut relayed = Vec::new();
                    for (b, forward) in row.iter().enumerate() {
                        let back = Arc::clone(&ways[b][a]);
                        relayed.push(match a == b {
                            true => None,
                            false => Some(Relay::start(Arc::clone(forward), back).await?),
                        });
                    }
                    relays.push(relayed);
                }
                for way in &discovery {
                    to_registry.push(Relay::start(Arc::clone(way), Arc::clone(way)).await?);
                }
                for row in &to_apps {
                    let mut relayed = Vec::new();
                    for way in row {
                        let way = Arc::clone(way);
                        relayed.push(match setup.map {
                            Some(_) => Relay::strict(way).await?,
                            None => Relay::start(Arc::clone(&way), way).await?,
                        });
                    }
                    before_apps.push(relayed);
                }
                Ok::<_, std::io::Error>(())
            })
            .map_err(|e| format!("a relay: {e}"))?;
        for relay in &to_registry {
            relay.leads_to(Some(registry.address));
        }
        for row in &before_apps {
            row.iter().zip(&apps).for_each(|(relay, app)| relay.leads_to(Some(app.address)));
        }
        for (k, relay) in before_apps[0].iter().enumerate() {
            let zone = setup.map.as_ref().map(|map| map.zones()[map.upstreams[k].zone]);
            let label: Vec<(&str, &str)> = zone.into_iter().map(|zone| ("zone", zone)).collect();
            registry.register("APP", &format!("u{}", k + 1), relay.address, &label);
        }
        let mut balancers = Vec::new();
        for k in 0..n {
            let place = directory.join(name(k));
            let upstreams: Vec<SocketAddr> =
                before_apps[k % rows].iter().map(|relay| relay.address).collect();
            let file = file(&setup, k, &directory, &relays[k], to_registry[k].address, &upstreams);
            let program = setup.beside.as_ref().filter(|_| k % 2 == 1).unwrap_or(&setup.program);
            let balancer = Balancer::new(&name(k), program, &place, &file);
            balancers.push(Mutex::new(balancer.map_err(|e| format!("{}: {e}", place.display()))?));
        }
        let nowhere = || Arc::new((0..n).map(|_| Mutex::new(None)).collect::<Vec<_>>());
        Ok(Self {
            history: Arc::default(),
            balancers,
            apps,
            registry,
            ways,
            relays,
            discovery,
            to_apps,
            addresses: nowhere(),
            operators: nowhere(),
            next_id: Arc::default(),
            ends: Arc::default(),
            threads: Vec::new(),
            asking: Arc::new(AtomicBool::new(true)),
            directory,
            runtime,
            setup,
        })
    }

    /// Where clients come to each, as long as it serves.
    pub fn addresses(&self) -> Arc<Vec<Mutex<Option<SocketAddr>>>> {
        Arc::clone(&self.addresses)
    }

    /// Runs something beside all else, as long as the world is there.
    pub(crate) fn spawn(&self, what: impl Future<Output = ()> + Send + 'static) {
        self.runtime.spawn(what);
    }

    /// A balancer's own directory.
    pub(crate) fn place(&self, n: usize) -> PathBuf {
        self.directory.join(name(n))
    }

    /// Where operators call each, as long as it runs.
    pub fn operators(&self) -> Arc<Vec<Mutex<Option<SocketAddr>>>> {
        Arc::clone(&self.operators)
    }

    /// A balancer's file.
    pub fn file(&self, n: usize) -> String {
        std::fs::read_to_string(self.directory.join(name(n)).join("maplehook.toml")).unwrap_or_default()
    }

    /// The file with the tier's secret.
    pub fn secret(&self) -> PathBuf {
        self.directory.join("secret")
    }

    /// What a balancer shows of the versions; null where it shows nothing.
    pub fn settings_of(&self, n: usize) -> serde_json::Value {
        let answer = self.balancer(n).ask("/control/settings");
        answer.and_then(|(_, text)| serde_json::from_str(&text).ok()).unwrap_or_default()
    }

    /// Runs `maplehook settings` with these words against a balancer.
    pub fn settings(&self, n: usize, words: &[&str]) -> std::io::Result<Output> {
        let operator = self.balancer(n).operator;
        let operator = operator.ok_or_else(|| std::io::Error::other("it has no operators' address"))?;
        settings(&self.setup.program, operator, &self.secret(), words)
    }

    /// How many balancers there are.
    pub fn len(&self) -> usize {
        self.balancers.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.balancers.is_empty()
    }

    /// A balancer.
    pub fn balancer(&self, n: usize) -> MutexGuard<'_, Balancer> {
        lock(&self.balancers[n])
    }

    /// Starts some, side by side.
    pub fn start_all(&self, some: &[usize], keeps: Keeps) -> Result<(), String> {
        std::thread::scope(|scope| {
            let started: Vec<_> = some.iter().map(|n| scope.spawn(|| self.start_one(*n, keeps))).collect();
            started
                .into_iter()
                .try_for_each(|one| one.join().unwrap_or_else(|_| Err("a start panicked".into())))
        })
    }

    /// Starts one that does not run.
    pub fn start_one(&self, n: usize, keeps: Keeps) -> Result<(), String> {
        let mut balancer = self.balancer(n);
        balancer.start(keeps)?;
        *lock(&self.addresses[n]) = balancer.listen;
        *lock(&self.operators[n]) = balancer.operator;
        self.leads_to(n, balancer.tier);
        self.history.note(What::Serves { balancer: n });
        Ok(())
    }

    /// Somebody who is no process of the rig's goes by a balancer's name, and is reached there.
    pub fn stands_in(&self, n: usize, tier: SocketAddr) {
        self.leads_to(n, Some(tier));
    }

    /// Where all ways to a balancer lead.
    fn leads_to(&self, n: usize, tier: Option<SocketAddr>) {
        self.relays.iter().filter_map(|row| row[n].as_ref()).for_each(|relay| relay.leads_to(tier));
    }

    /// kill -9.
    pub fn kill(&self, n: usize) {
        self.history.note(What::Down { balancer: n });
        *lock(&self.operators[n]) = None;
        self.balancer(n).kill();
        *lock(&self.addresses[n]) = None;
    }

    /// SIGTERM.
    pub fn term(&self, n: usize) {
        self.history.note(What::Down { balancer: n });
        *lock(&self.operators[n]) = None;
        *lock(&self.addresses[n]) = None;
        self.balancer(n).term();
    }

    /// SIGSTOP.
    pub fn stop(&self, n: usize) {
        self.history.note(What::Down { balancer: n });
        self.balancer(n).stop();
    }

    /// SIGCONT.
    pub fn go_on(&self, n: usize) {
        self.balancer(n).go_on();
        self.history.note(What::Serves { balancer: n });
    }

    /// Ends all, and returns what was seen.
    pub fn end(mut self) -> Vec<crate::history::Entry> {
        self.ends.store(true, Ordering::SeqCst);
        for thread in self.threads.drain(..) {
            // One that has panicked has seen nothing more.
            let _ = thread.join();
        }
        for upstream in 0..self.apps.len() {
            self.seen_at(upstream);
        }
        let mut effects: BTreeMap<String, usize> = BTreeMap::new();
        for app in &self.apps {
            for (id, times) in app.effects() {
                *effects.entry(id).or_default() += times;
            }
        }
        for (id, times) in effects {
            self.history.note(What::Ran { id, times });
        }
        self.history.note(What::End);
        self.history.entries()
    }

    fn seen_at(&self, upstream: usize) {
        for seen in self.apps[upstream].seen() {
            let header = |name: &str| seen.headers.get(name).and_then(|value| value.to_str().ok());
            let id = header("x-correlation-id").unwrap_or("?").to_owned();
            let via = header("via").and_then(|via| via.rsplit("b").next()?.parse::<usize>().ok());
            let at = seen.at.saturating_duration_since(self.history.begun);
            let balancer = via.and_then(|n| n.checked_sub(1));
            let by_file = header("via").and_then(|via| via.rsplit("v").next()?.split('-').next());
            let by_file = by_file.filter(|_| self.setup.by_files);
            let version = header("x-maplehook-version").or(by_file).map(str::to_owned);
            self.history.note_at(at, What::Attempt { id, upstream, balancer, version });
        }
    }
}

impl Drop for World {
    fn drop(&mut self) {
        self.ends.store(true, Ordering::SeqCst);
        for balancer in &self.balancers {
            lock(balancer).kill();
        }
        // What is left there is only this world's.
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}
