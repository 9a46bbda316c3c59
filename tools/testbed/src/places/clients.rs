//! Clients by zone: an open load whose rate may change while it runs, through routers or straight to balancers.

use super::recorder::Recorder;
use crate::check::name;
use crate::history::{Got, Kind};
use crate::world::{PATIENCE, exchange};
use maplehook_history_checker::{Outcome, What};
use maplehook_test_servers::router::{Router, unix_us};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// Requests of one zone that may be open at once.
const OPEN_MOST: usize = 512;
/// How often a zone without demand is looked at.
const LOOK: Duration = Duration::from_millis(10);

/// By what way clients come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Front {
    /// Each zone's own router, to whomever announces.
    Routers,
    /// Straight to a balancer of their zone that runs, else of their region, else to any.
    Direct,
}

/// Where balancers listen, while they run.
type Addresses = Arc<Vec<Mutex<Option<SocketAddr>>>>;

/// All clients.
pub(super) struct Clients {
    pub(super) recorder: Arc<Recorder>,
    pub(super) front: Front,
    /// One by zone.
    pub(super) routers: Vec<Arc<Router>>,
    /// The service that clients use.
    pub(super) service: String,
    pub(super) addresses: Addresses,
    /// How far each balancer is from each zone: own zone, own region, elsewhere.
    pub(super) distance: Vec<Vec<u8>>,
    /// Requests a second, by zone.
    pub(super) rates: Mutex<Vec<f64>>,
    pub(super) zones: Vec<String>,
    pub(super) next: AtomicU64,
    pub(super) open: AtomicUsize,
    /// Not sent, since too many were open: the rig was too slow.
    pub(super) held: AtomicU64,
    pub(super) ends: AtomicBool,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// What an answer is in a history.
fn outcome(got: &Got) -> Outcome {
    match got {
        Got::Status(status) if (200..400).contains(status) => Outcome::Ok,
        Got::Status(429 | 503) => Outcome::Refused,
        Got::Status(_) | Got::Twice => Outcome::Failed,
        Got::Broken | Got::Nothing => Outcome::Lost,
    }
}

impl Clients {
    /// The clients of one zone, until they end.
    pub(super) async fn of_zone(self: Arc<Self>, zone: usize, seed: u64) {
        let mut draw = fastrand::Rng::with_seed(seed);
        let open = Arc::new(AtomicUsize::new(0));
        let mut due = Instant::now();
        while !self.ends.load(Ordering::SeqCst) {
            let rate = lock(&self.rates)[zone];
            if rate <= 0.0 {
                sleep(LOOK).await;
                due = Instant::now();
                continue;
            }
            // Not in step with other zones, and not in bursts: bursts beyond a room are not what is looked at.
            due += Duration::from_secs_f64((0.7 + 0.6 * draw.f64()) / rate);
            if let Some(wait) = due.checked_duration_since(Instant::now()) {
                sleep(wait).await;
            }
            if open.load(Ordering::SeqCst) >= OPEN_MOST {
                self.held.fetch_add(1, Ordering::SeqCst);
                continue;
            }
            let kind = [Kind::Look, Kind::Book, Kind::Look, Kind::Keyed][draw.usize(..4)];
            let (clients, open) = (Arc::clone(&self), Arc::clone(&open));
            open.fetch_add(1, Ordering::SeqCst);
            self.open.fetch_add(1, Ordering::SeqCst);
            tokio::spawn(async move {
                clients.asks(zone, kind).await;
                open.fetch_sub(1, Ordering::SeqCst);
                clients.open.fetch_sub(1, Ordering::SeqCst);
            });
        }
    }

    /// Somebody near who runs, in turn.
    fn near(&self, zone: usize, number: u64) -> Option<(usize, SocketAddr)> {
        let run = |(n, address): (usize, &Mutex<Option<SocketAddr>>)| Some((n, (*lock(address))?));
        let run: Vec<(usize, SocketAddr)> = self.addresses.iter().enumerate().filter_map(run).collect();
        let nearest = run.iter().map(|(n, _)| self.distance[*n][zone]).min()?;
        let near: Vec<_> = run.into_iter().filter(|(n, _)| self.distance[*n][zone] == nearest).collect();
        Some(near[(number % near.len() as u64) as usize])
    }

    async fn asks(&self, zone: usize, kind: Kind) {
        let id = self.next.fetch_add(1, Ordering::SeqCst) + 1;
        let by = format!("client-{}", self.zones[zone]);
        let (mut to, address) = match self.front {
            Front::Routers => (self.routers[zone].name.clone(), self.routers[zone].front(&self.service)),
            Front::Direct => match self.near(zone, id) {
                Some((n, address)) => (name(n), Some(address)),
                None => ("nobody".to_owned(), None),
            },
        };
        // Before the connection: that is a part of what a client waits for.
        let at = unix_us();
        let mut own = None;
        let asked = async {
            let Ok(stream) = TcpStream::connect(address?).await else { return None };
            own = stream.local_addr().ok();
            Some(exchange(stream, &id.to_string(), kind).await)
        };
        let got = timeout(PATIENCE, asked).await;
        // Who never had a connection has sent nothing.
        let got = got.unwrap_or(Some(Got::Nothing)).filter(|_| own.is_some());
        let ended = unix_us();
        let mut outcome = got.as_ref().map_or(Outcome::Refused, outcome);
        if let (Front::Routers, Some(own)) = (self.front, own) {
            match self.routers[zone].sent_to(own) {
                Some(balancer) => to = balancer,
                // The router had nobody: nothing has run.
                None => outcome = Outcome::Refused,
            }
        }
        let (class, once) = match kind {
            Kind::Look => ("look", false),
            Kind::Book => ("book", true),
            Kind::Keyed => ("keyed", false),
        };
        self.recorder.note_at(at, &by, What::Sent { id, to, class: class.to_owned(), once });
        self.recorder.note_at(ended, &by, What::Ended { id, outcome });
    }
}
