//! The upstreams: where they are, whether they take requests, the connections to them.

use crate::parts::body_memory::BodyMemory;
use crate::parts::connection::Connection;
use crate::parts::descriptors::{self, Descriptors, is_descriptor_exhaustion, is_local_failure};
use crate::parts::driver::ConnectStats;
use crate::parts::headers;
use crate::parts::pool::{Found, Pool};
use crate::parts::rate_limited_log::RateLimitedLog;
use crate::tally::Tally;
use maplehook_core::{
    Availability, ClassId, Effect, LoadField, Outcome, Reports, Settings, UpstreamId, ZoneId,
};
use maplehook_http_semantics::{Forwarding, Passage};
use rustc_hash::FxHashMap;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout_at};

/// Share of the upstreams' idle time after which a connection is closed or not used any more: a request that
/// crosses the upstream's own close ends as a reset, and an unsafe one is lost to its client then.
const IDLE_SHARE: f64 = 0.8;

/// An entry of the list, as far as connections go.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointState {
    /// Where it listens; `None` if the list did not say so in a readable way.
    pub endpoint: Option<SocketAddr>,
    /// Whether it takes requests.
    pub availability: Availability,
    /// When it last started, by the list.
    pub boot_ms: u64,
}

pub(crate) struct Upstream {
    endpoint: Cell<Option<SocketAddr>>,
    boot_ms: Cell<u64>,
    zone: Cell<ZoneId>,
    /// Counts the processes that have listened for it: one more with each start and each move.
    pub(crate) process: Cell<u32>,
    /// Cleared once it drains or is gone: attempts that still wait for a connection look here.
    pub(crate) ready: Cell<bool>,
}

impl Upstream {
    /// Whether it takes requests and is still the process that a request was decided for: another one is cold.
    pub(crate) fn takes(&self, process: u32) -> bool {
        self.ready.get() && self.process.get() == process
    }
}

/// All upstreams known.
pub struct Upstreams {
    known: RefCell<FxHashMap<UpstreamId, Rc<Upstream>>>,
    pub(crate) pool: Pool,
    descriptors: Rc<Descriptors>,
    pub(crate) room: BodyMemory,
    pub(crate) forwarding: Forwarding,
    pub(crate) probing: Rc<Passage>,
    pub(crate) tally: Arc<Tally>,
    connect_timeout: Cell<Duration>,
    /// How long the keys of each class are remembered, where it has keys.
    windows: RefCell<Vec<Option<Duration>>>,
    pub(crate) reports: Cell<Reports>,
    report_fields: RefCell<Vec<LoadField>>,
    odd_reports: RateLimitedLog,
    short: RateLimitedLog,
    lease: Cell<Lease>,
    /// Connections made, by zone.
    connects: RefCell<BTreeMap<u8, ConnectStats>>,
}

/// Until when the rules hold by which requests were decided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lease {
    /// For good.
    Unlimited,
    /// Until then; after that nothing is written a second time, and where `covers_first_attempts` nothing at all.
    Until {
        /// When it ends.
        until: Instant,
        /// Whether that is so of a first attempt too.
        covers_first_attempts: bool,
    },
}

impl Upstreams {
    /// None yet; connections to them share the descriptors that upstreams may have, and bodies in hand the room.
    pub fn new(
        settings: &Settings,
        descriptors: Rc<Descriptors>,
        room: BodyMemory,
        forwarding: Forwarding,
        tally: Arc<Tally>,
    ) -> Self {
        Self {
            known: RefCell::default(),
            pool: Pool::new(Rc::clone(&descriptors), settings.connection_idle_timeout.mul_f64(IDLE_SHARE)),
            descriptors,
            room,
            forwarding,
            probing: Rc::new(Passage::platform()),
            tally,
            connect_timeout: Cell::new(settings.connect_timeout),
            windows: RefCell::new(windows(settings)),
            reports: Cell::new(settings.reports),
            report_fields: RefCell::new(settings.report_fields.clone()),
            odd_reports: RateLimitedLog::default(),
            short: RateLimitedLog::default(),
            lease: Cell::new(Lease::Unlimited),
            connects: RefCell::default(),
        }
    }

    /// Until when the rules hold. It is looked at in the moment of writing: a process that was stopped must not go on by rules
    /// that have run out meanwhile.
    pub fn set_lease(&self, lease: Lease) {
        self.lease.set(lease);
    }

    /// Whether an attempt may be written now.
    pub(crate) fn may_write(&self, repeat: bool) -> bool {
        match self.lease.get() {
            Lease::Unlimited => true,
            Lease::Until { until, covers_first_attempts } => {
                !(repeat || covers_first_attempts) || Instant::now() < until
            }
        }
    }

    /// The settings have changed. Connections that are open stay.
    pub fn retune(&self, settings: &Settings) {
        self.pool.retune(settings.connection_idle_timeout.mul_f64(IDLE_SHARE));
        self.connect_timeout.set(settings.connect_timeout);
        *self.windows.borrow_mut() = windows(settings);
        self.reports.set(settings.reports);
        self.report_fields.borrow_mut().clone_from(&settings.report_fields);
    }

    /// How long the keys of a class are remembered; `None`: it has none.
    pub(crate) fn window(&self, class: ClassId) -> Option<Duration> {
        self.windows.borrow().get(usize::from(class.0)).copied().flatten()
    }

    /// Takes in what the list says of one.
    pub fn update_endpoint(&self, id: UpstreamId, zone: ZoneId, place: &EndpointState) {
        let mut known = self.known.borrow_mut();
        if place.availability == Availability::Removed {
            if let Some(upstream) = known.remove(&id) {
                upstream.ready.set(false);
            }
            self.pool.close(id);
            return;
        }
        let upstream = known.entry(id).or_insert_with(|| {
            Rc::new(Upstream {
                endpoint: Cell::new(None),
                boot_ms: Cell::new(place.boot_ms),
                zone: Cell::new(zone),
                process: Cell::new(0),
                ready: Cell::new(false),
            })
        });
        upstream.zone.set(zone);
        let moved = place.endpoint.is_some() && upstream.endpoint.get() != place.endpoint;
        if moved {
            upstream.endpoint.set(place.endpoint);
        }
        upstream.ready.set(place.availability == Availability::Ready);
        let another = upstream.boot_ms.replace(place.boot_ms) != place.boot_ms || moved;
        if another {
            upstream.process.set(upstream.process.get().wrapping_add(1));
        }
        // Connections to a process that is no more, or wants nothing new, serve nobody.
        if another || !upstream.ready.get() {
            self.pool.close(id);
        }
    }

    /// Where those listen that take requests.
    pub(crate) fn endpoints(&self) -> Vec<(ZoneId, SocketAddr)> {
        let known = self.known.borrow();
        let ready = known.values().filter(|upstream| upstream.ready.get());
        ready.filter_map(|upstream| Some((upstream.zone.get(), upstream.endpoint.get()?))).collect()
    }

    /// Forgets all that `listed` does not name: they are gone.
    pub fn retain_listed(&self, listed: impl Fn(UpstreamId) -> bool) {
        self.known.borrow_mut().retain(|id, upstream| {
            let stays = listed(*id);
            if !stays {
                upstream.ready.set(false);
                self.pool.close(*id);
            }
            stays
        });
    }

    /// Closes the idle connections to one.
    pub fn close_idle(&self, id: UpstreamId) {
        self.pool.close(id);
    }

    /// Closes the connection that has been idle longest, for its descriptor; `false` if none is idle.
    pub fn close_oldest(&self) -> bool {
        self.pool.close_oldest()
    }

    /// There are fewer descriptors than there were, or more.
    pub fn apply_descriptor_limit(&self) {
        self.pool.shrink();
    }

    /// Closes what has been idle for long, again and again.
    pub async fn sweep(&self) {
        self.pool.sweep().await;
    }

    /// Keeps a connection that leads to this process of an upstream.
    pub(crate) fn put_back(&self, id: UpstreamId, upstream: &Upstream, process: u32, connection: Connection) {
        if upstream.takes(process) && upstream.endpoint.get() == Some(connection.peer()) {
            self.pool.put(id, connection);
        }
    }

    /// A connection in use before, or else a new one; `true`: in use before.
    pub(crate) async fn connection(
        &self,
        id: UpstreamId,
        upstream: &Upstream,
        give_up: Instant,
    ) -> Result<(Connection, bool), Outcome> {
        let Some(endpoint) = upstream.endpoint.get() else { return Err(Outcome::NotSent) };
        let until = give_up.min(Instant::now() + self.connect_timeout.get());
        loop {
            // Out of descriptors or of time says nothing of the upstream.
            let slot = match timeout_at(until, self.pool.found(id)).await {
                Ok(Found::Slot(slot)) => slot,
                Ok(Found::Idle(mut connection)) => match timeout_at(until, connection.is_usable()).await {
                    Ok(true) => return Ok((connection, true)),
                    Ok(false) => continue,
                    Err(_) => return Err(Outcome::NotSent),
                },
                Err(_) => return Err(Outcome::NotSent),
            };
            let begun = Instant::now();
            match timeout_at(until, Connection::open(endpoint, slot)).await {
                Ok(Ok(connection)) => {
                    let connects = &mut *self.connects.borrow_mut();
                    let of = connects.entry(upstream.zone.get().0).or_default();
                    (of.count, of.total_time) = (of.count + 1, of.total_time + begun.elapsed());
                    return Ok((connection, false));
                }
                Ok(Err(e)) if is_descriptor_exhaustion(&e) => {
                    self.descriptors.record_exhaustion("connect");
                    if Instant::now() + descriptors::EXHAUSTION_BACKOFF >= until {
                        return Err(Outcome::NotSent);
                    }
                    sleep(descriptors::EXHAUSTION_BACKOFF).await;
                }
                Ok(Err(e)) if is_local_failure(&e) => {
                    self.short.warn(|| format!("no connection to {endpoint}: {e}"));
                    return Err(Outcome::NotSent);
                }
                Ok(Err(e)) => {
                    tracing::debug!(%endpoint, "no connection: {e}");
                    return Err(Outcome::ConnectFailed);
                }
                Err(_) if until == give_up => return Err(Outcome::NotSent),
                Err(_) => return Err(Outcome::ConnectFailed),
            }
        }
    }

    /// Connections made, by zone.
    pub(crate) fn connects(&self) -> Vec<(ZoneId, ConnectStats)> {
        self.connects.borrow().iter().map(|(zone, of)| (ZoneId(*zone), *of)).collect()
    }

    pub(crate) fn get(&self, id: UpstreamId) -> Option<Rc<Upstream>> {
        self.known.borrow().get(&id).map(Rc::clone)
    }

    pub(crate) fn read_report(&self, text: &[u8]) -> Vec<f32> {
        let read = std::str::from_utf8(text)
            .ok()
            .and_then(|t| headers::load_report(t, &self.report_fields.borrow()));
        read.unwrap_or_else(|| {
            let shown = || String::from_utf8_lossy(&text[..text.len().min(80)]).into_owned();
            self.odd_reports.warn(|| format!("unreadable load report {:?}", shown()));
            Vec::new()
        })
    }
}

/// The windows of all classes in which a repeat of a key has no second effect.
fn windows(settings: &Settings) -> Vec<Option<Duration>> {
    let window = |effect| match effect {
        Effect::Deduplicated { ttl, .. } => Some(ttl),
        Effect::Idempotent | Effect::AtMostOnce => None,
    };
    settings.classes.iter().map(|class| window(class.effect)).collect()
}
