//! Known upstreams: their addresses, availability and connections.

use crate::metrics::Metrics;
use crate::parts::buffer_memory::BufferMemory;
use crate::parts::connection::Connection;
use crate::parts::descriptors::{self, Descriptors, is_descriptor_exhaustion, is_local_failure};
use crate::parts::driver::ConnectStats;
use crate::parts::headers;
use crate::parts::pool::{Acquired, Pool};
use crate::parts::rate_limited_log::RateLimitedLog;
use crate::parts::reuse::{RestEffect, ReuseGuard};
use crate::parts::time_limit::TimeLimitLog;
use crate::parts::unsolicited::{UnsolicitedLog, UnsolicitedObserver};
use maplehook_core::repeated_responses::RecentResponses;
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

/// Fraction of the upstreams' idle timeout after which a connection is closed or not reused. A request that
/// crosses the upstream's own close ends as a reset, and an unsafe request cannot be retried then.
const IDLE_TIMEOUT_FRACTION: f64 = 0.8;

/// Fraction of the time for a connection that an attempt may spend waiting for an idle connection to rest.
const MAX_REST_WAIT_FRACTION: f64 = 0.25;

/// Connection-related part of an entry of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointState {
    /// Listening address; `None` if the list had no readable address.
    pub endpoint: Option<SocketAddr>,
    /// Availability according to the list: ready, draining or removed.
    pub availability: Availability,
    /// Last start according to the list, as Unix time in milliseconds.
    pub boot_ms: u64,
}

pub(crate) struct Upstream {
    endpoint: Cell<Option<SocketAddr>>,
    boot_ms: Cell<u64>,
    zone: Cell<ZoneId>,
    /// Counts processes behind this upstream: incremented at each restart and each change of address.
    pub(crate) process_epoch: Cell<u32>,
    /// False once the upstream drains or is removed; attempts that wait for a connection check it.
    pub(crate) is_ready: Cell<bool>,
    pub(crate) reuse: Rc<ReuseGuard>,
}

impl Upstream {
    /// Returns true if the upstream accepts requests and still runs the process that a request was assigned
    /// to. A restarted process is in slow start.
    pub(crate) fn accepts(&self, process_epoch: u32) -> bool {
        self.is_ready.get() && self.process_epoch.get() == process_epoch
    }
}

/// All known upstreams, and their connections.
pub struct Upstreams {
    by_id: RefCell<FxHashMap<UpstreamId, Rc<Upstream>>>,
    pub(crate) pool: Pool,
    descriptors: Rc<Descriptors>,
    pub(crate) body_memory: BufferMemory,
    pub(crate) forwarding: Forwarding,
    pub(crate) probe_passage: Rc<Passage>,
    pub(crate) tally: Arc<Metrics>,
    connect_timeout: Cell<Duration>,
    /// Deduplication window of each class; `None` for classes without keys.
    dedup_windows: RefCell<Vec<Option<Duration>>>,
    pub(crate) reports: Cell<Reports>,
    report_fields: RefCell<Vec<LoadField>>,
    report_warnings: RateLimitedLog,
    local_failure_warnings: RateLimitedLog,
    pub(crate) time_limits: Rc<TimeLimitLog>,
    unsolicited: Rc<UnsolicitedLog>,
    pub(crate) recent_responses: RefCell<RecentResponses>,
    lease: Cell<Lease>,
    /// Connection statistics by zone id.
    connect_stats: RefCell<BTreeMap<u8, ConnectStats>>,
}

/// Validity of the rules under which requests are decided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lease {
    /// The rules do not expire.
    Unlimited,
    /// The rules expire. After that no retry is written and, with `covers_first_attempts`, no attempt at all.
    Until {
        /// Expiry time.
        until: Instant,
        /// True if first attempts also stop at the expiry.
        covers_first_attempts: bool,
    },
}

impl Upstreams {
    /// Creates an empty set. Its connections share the descriptors of the upstream class, and its buffered
    /// bodies share `body_memory`.
    pub fn new(
        settings: &Settings,
        descriptors: Rc<Descriptors>,
        body_memory: BufferMemory,
        forwarding: Forwarding,
        tally: Arc<Metrics>,
    ) -> Self {
        let time_limits = Rc::new(TimeLimitLog::new(tally.time_limits.clone()));
        let unsolicited = Rc::new(UnsolicitedLog::new(tally.unsolicited.clone()));
        Self {
            by_id: RefCell::default(),
            pool: Pool::new(
                Rc::clone(&descriptors),
                settings.connection_idle_timeout.mul_f64(IDLE_TIMEOUT_FRACTION),
            ),
            descriptors,
            body_memory,
            forwarding,
            probe_passage: Rc::new(Passage::platform()),
            tally,
            connect_timeout: Cell::new(settings.connect_timeout),
            dedup_windows: RefCell::new(dedup_windows(settings)),
            reports: Cell::new(settings.reports),
            report_fields: RefCell::new(settings.report_fields.clone()),
            report_warnings: RateLimitedLog::default(),
            local_failure_warnings: RateLimitedLog::default(),
            time_limits,
            unsolicited,
            recent_responses: RefCell::default(),
            lease: Cell::new(Lease::Unlimited),
            connect_stats: RefCell::default(),
        }
    }

    /// Sets the lease on the rules. It is checked at the moment of writing: a process that was suspended must
    /// not continue under expired rules.
    pub fn set_lease(&self, lease: Lease) {
        self.lease.set(lease);
    }

    /// Returns true if the lease allows an attempt to be written now.
    pub(crate) fn may_write(&self, is_repeat: bool) -> bool {
        match self.lease.get() {
            Lease::Unlimited => true,
            Lease::Until { until, covers_first_attempts } => {
                !(is_repeat || covers_first_attempts) || Instant::now() < until
            }
        }
    }

    /// Applies new settings; open connections remain.
    pub fn update_settings(&self, settings: &Settings) {
        self.pool.set_max_idle(settings.connection_idle_timeout.mul_f64(IDLE_TIMEOUT_FRACTION));
        self.connect_timeout.set(settings.connect_timeout);
        *self.dedup_windows.borrow_mut() = dedup_windows(settings);
        self.reports.set(settings.reports);
        self.report_fields.borrow_mut().clone_from(&settings.report_fields);
    }

    /// Returns the deduplication window of a class, or `None` if the class has no keys.
    pub(crate) fn dedup_window(&self, class: ClassId) -> Option<Duration> {
        self.dedup_windows.borrow().get(usize::from(class.0)).copied().flatten()
    }

    /// Applies the list entry of one upstream.
    pub fn update_endpoint(&self, id: UpstreamId, zone: ZoneId, state: &EndpointState) {
        let mut by_id = self.by_id.borrow_mut();
        if state.availability == Availability::Removed {
            if let Some(upstream) = by_id.remove(&id) {
                upstream.is_ready.set(false);
            }
            self.pool.close_idle(id);
            return;
        }
        let upstream = by_id.entry(id).or_insert_with(|| {
            Rc::new(Upstream {
                endpoint: Cell::new(None),
                boot_ms: Cell::new(state.boot_ms),
                zone: Cell::new(zone),
                process_epoch: Cell::new(0),
                is_ready: Cell::new(false),
                reuse: ReuseGuard::new(id, Rc::clone(&self.unsolicited), self.tally.connection_rests.clone()),
            })
        });
        upstream.zone.set(zone);
        let has_moved = state.endpoint.is_some() && upstream.endpoint.get() != state.endpoint;
        if has_moved {
            upstream.endpoint.set(state.endpoint);
        }
        upstream.is_ready.set(state.availability == Availability::Ready);
        let is_new_process = upstream.boot_ms.replace(state.boot_ms) != state.boot_ms || has_moved;
        if is_new_process {
            upstream.process_epoch.set(upstream.process_epoch.get().wrapping_add(1));
        }
        // Connections to a replaced or draining process cannot be used again.
        if is_new_process || !upstream.is_ready.get() {
            self.pool.close_idle(id);
        }
    }

    /// Returns the zones and addresses of upstreams that accept requests.
    pub(crate) fn endpoints(&self) -> Vec<(ZoneId, SocketAddr)> {
        let by_id = self.by_id.borrow();
        let ready = by_id.values().filter(|upstream| upstream.is_ready.get());
        ready.filter_map(|upstream| Some((upstream.zone.get(), upstream.endpoint.get()?))).collect()
    }

    /// Removes all upstreams that `listed` rejects.
    pub fn retain_listed(&self, listed: impl Fn(UpstreamId) -> bool) {
        self.by_id.borrow_mut().retain(|id, upstream| {
            let is_listed = listed(*id);
            if !is_listed {
                upstream.is_ready.set(false);
                self.pool.close_idle(*id);
            }
            is_listed
        });
    }

    /// Closes the idle connections to an upstream.
    pub fn close_idle(&self, id: UpstreamId) {
        self.pool.close_idle(id);
    }

    /// Closes the connection that has been idle longest, to free its descriptor; returns false if none is
    /// idle.
    pub fn close_oldest(&self) -> bool {
        self.pool.close_oldest()
    }

    /// Applies a changed descriptor limit to the pool.
    pub fn apply_descriptor_limit(&self) {
        self.pool.apply_limit();
    }

    /// Closes unusable idle connections periodically; never returns.
    pub async fn run_idle_sweep(&self) {
        self.pool.sweep().await;
    }

    /// Returns a connection to the pool, if it still leads to the current process of the upstream.
    pub(crate) fn return_connection(
        &self,
        id: UpstreamId,
        upstream: &Upstream,
        process_epoch: u32,
        connection: Connection,
    ) {
        if !upstream.accepts(process_epoch) || upstream.endpoint.get() != Some(connection.peer()) {
            return;
        }
        if upstream.reuse.rest().is_none() {
            upstream.reuse.record_effect(RestEffect::NotReused, Duration::MAX);
            return;
        }
        self.pool.store_idle(id, connection);
    }

    /// Returns a connection to an upstream, and true if it was used before.
    pub(crate) async fn acquire_connection(
        &self,
        id: UpstreamId,
        upstream: &Upstream,
        answer_by: Instant,
    ) -> Result<(Connection, bool), Outcome> {
        let Some(endpoint) = upstream.endpoint.get() else { return Err(Outcome::NotSent) };
        let now = Instant::now();
        let deadline = answer_by.min(now + self.connect_timeout.get());
        let max_wait = deadline.saturating_duration_since(now).mul_f64(MAX_REST_WAIT_FRACTION);
        loop {
            // A shortage of descriptors or time on this side does not count against the upstream.
            let slot = match timeout_at(deadline, self.pool.acquire(id, &upstream.reuse, max_wait)).await {
                Ok(Acquired::Slot(slot)) => slot,
                Ok(Acquired::Idle(mut connection)) => match timeout_at(deadline, connection.ready()).await {
                    Ok(true) => return Ok((connection, true)),
                    Ok(false) => continue,
                    Err(_) => return Err(Outcome::NotSent),
                },
                Err(_) => return Err(Outcome::NotSent),
            };
            let started_at = Instant::now();
            match timeout_at(deadline, Connection::open(endpoint, slot, &self.body_memory)).await {
                Ok(Ok(connection)) => {
                    connection.observe(Rc::clone(&upstream.reuse) as Rc<dyn UnsolicitedObserver>);
                    self.record_connect_time(upstream.zone.get(), started_at.elapsed());
                    return match timeout_at(answer_by, upstream.reuse.rest_new(&connection)).await {
                        Ok(true) => Ok((connection, false)),
                        Ok(false) => Err(Outcome::ConnectFailed),
                        Err(_) => Err(Outcome::NotSent),
                    };
                }
                Ok(Err(e)) if is_descriptor_exhaustion(&e) => {
                    self.descriptors.record_exhaustion("connect");
                    if Instant::now() + descriptors::EXHAUSTION_BACKOFF >= deadline {
                        return Err(Outcome::NotSent);
                    }
                    sleep(descriptors::EXHAUSTION_BACKOFF).await;
                }
                Ok(Err(e)) if is_local_failure(&e) => {
                    self.local_failure_warnings
                        .warn(|| format!("cannot connect to {endpoint} for lack of local resources: {e}"));
                    return Err(Outcome::NotSent);
                }
                Ok(Err(e)) => {
                    tracing::debug!(%endpoint, "connection failed: {e}");
                    return Err(Outcome::ConnectFailed);
                }
                Err(_) if deadline == answer_by => return Err(Outcome::NotSent),
                Err(_) => return Err(Outcome::ConnectFailed),
            }
        }
    }

    fn record_connect_time(&self, zone: ZoneId, time: Duration) {
        let connect_stats = &mut *self.connect_stats.borrow_mut();
        let stats = connect_stats.entry(zone.0).or_default();
        (stats.count, stats.total_time) = (stats.count + 1, stats.total_time + time);
    }

    /// Returns the connection statistics by zone.
    pub(crate) fn connect_stats(&self) -> Vec<(ZoneId, ConnectStats)> {
        self.connect_stats.borrow().iter().map(|(zone, stats)| (ZoneId(*zone), *stats)).collect()
    }

    pub(crate) fn get(&self, id: UpstreamId) -> Option<Rc<Upstream>> {
        self.by_id.borrow().get(&id).map(Rc::clone)
    }

    pub(crate) fn read_report(&self, text: &[u8]) -> Vec<f32> {
        let values = std::str::from_utf8(text)
            .ok()
            .and_then(|t| headers::load_report(t, &self.report_fields.borrow()));
        values.unwrap_or_else(|| {
            let excerpt = || String::from_utf8_lossy(&text[..text.len().min(80)]).into_owned();
            self.report_warnings.warn(|| format!("malformed load report {:?}", excerpt()));
            Vec::new()
        })
    }
}

/// Returns the window of each class within which a repeated key does not run again.
fn dedup_windows(settings: &Settings) -> Vec<Option<Duration>> {
    let dedup_window = |effect| match effect {
        Effect::Deduplicated { ttl, .. } => Some(ttl),
        Effect::Idempotent | Effect::AtMostOnce => None,
    };
    settings.classes.iter().map(|class| dedup_window(class.effect)).collect()
}
