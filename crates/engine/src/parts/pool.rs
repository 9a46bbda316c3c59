//! Connection pool: limits the open connections to upstreams and stores the idle ones.

#[cfg(test)]
use crate::metrics::ReasonCounters;
use crate::parts::connection::Connection;
use crate::parts::descriptors::Descriptors;
use crate::parts::rate_limited_log::RateLimitedLog;
use crate::parts::reuse::{RestEffect, ReuseGuard};
use maplehook_admission::DescriptorClass;
use maplehook_core::UpstreamId;
use rustc_hash::FxHashMap;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep};

/// Interval of the sweep over idle connections.
const SWEEP_INTERVAL: Duration = Duration::from_millis(100);

/// Most connections that one sweep checks for a close by the upstream.
const MAX_CHECKED_PER_SWEEP: usize = 512;

/// Count of open connections to all upstreams.
#[derive(Default)]
struct OpenConnections {
    count: Cell<usize>,
    /// Number of attempts that wait for `freed`.
    waiting: Cell<usize>,
    freed: Notify,
}

impl OpenConnections {
    /// Waits until a connection is closed or becomes idle.
    async fn wait_for_change(&self) {
        let _guard = WaiterGuard::new(&self.waiting);
        self.freed.notified().await;
    }

    /// Wakes one waiter. A stored permit would make a later waiter close one connection too many, so nothing
    /// is notified without a waiter.
    fn notify_one(&self) {
        if self.waiting.get() > 0 {
            self.freed.notify_one();
        }
    }
}

/// Counts one waiter until the guard is dropped.
struct WaiterGuard<'a>(&'a Cell<usize>);

impl<'a> WaiterGuard<'a> {
    fn new(waiting: &'a Cell<usize>) -> Self {
        waiting.set(waiting.get() + 1);
        Self(waiting)
    }
}

impl Drop for WaiterGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Permission for one open connection; released when its descriptor is closed.
pub struct Slot(Rc<OpenConnections>);

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.count.set(self.0.count.get() - 1);
        self.0.notify_one();
    }
}

/// Connection for an attempt, or permission to open one.
pub enum Acquired {
    /// A reusable connection.
    Idle(Connection),
    /// Permission to open a new connection.
    Slot(Slot),
}

/// Idle connection and the time at which it became idle.
struct IdleConnection {
    upstream: UpstreamId,
    connection: Connection,
    since: Instant,
}

/// Idle connections in the order in which they became idle.
#[derive(Default)]
struct IdleConnections {
    by_age: BTreeMap<u64, IdleConnection>,
    /// Sequence numbers of idle connections by upstream; no queue is empty.
    by_upstream: FxHashMap<UpstreamId, VecDeque<u64>>,
    next_sequence: u64,
}

impl IdleConnections {
    /// Adds a connection that became idle now.
    fn push(&mut self, entry: IdleConnection) {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.insert(sequence, entry);
    }

    /// Adds a connection at its place in the order.
    fn insert(&mut self, sequence: u64, entry: IdleConnection) {
        let by_upstream = self.by_upstream.entry(entry.upstream).or_default();
        by_upstream.insert(by_upstream.partition_point(|n| *n < sequence), sequence);
        self.by_age.insert(sequence, entry);
    }

    fn remove(&mut self, sequence: u64) -> Option<IdleConnection> {
        let entry = self.by_age.remove(&sequence)?;
        if let Some(by_upstream) = self.by_upstream.get_mut(&entry.upstream) {
            // Usually at one of the ends, except for a connection closed by its upstream.
            by_upstream.retain(|n| *n != sequence);
            if by_upstream.is_empty() {
                self.by_upstream.remove(&entry.upstream);
            }
        }
        Some(entry)
    }
}

/// Idle connection that is reserved for one attempt until it has rested. Dropping it returns it to the pool.
struct RestingConnection<'a> {
    pool: &'a Pool,
    sequence: u64,
    /// Value of `Pool::closures` at the reservation.
    closures: u64,
    entry: Option<IdleConnection>,
}

impl RestingConnection<'_> {
    /// Returns true if the idle connections of an upstream were closed since the reservation, which may have
    /// been meant for this one too.
    fn is_outdated(&self) -> bool {
        self.pool.closures.get() != self.closures
    }

    /// Waits for the rest; returns `None` if the connection was closed, or must not be reused any more.
    async fn rested(mut self, reuse: &ReuseGuard) -> Option<Connection> {
        loop {
            // Data on another connection may have extended the rest.
            let remaining = reuse.rest()?.saturating_sub(self.entry.as_ref()?.since.elapsed());
            if remaining.is_zero() {
                let is_outdated = self.is_outdated();
                let connection = self.entry.take()?.connection;
                return (!is_outdated && !connection.is_closed()).then_some(connection);
            }
            sleep(remaining).await;
        }
    }
}

impl Drop for RestingConnection<'_> {
    fn drop(&mut self) {
        let is_outdated = self.is_outdated();
        if let Some(entry) = self.entry.take().filter(|_| !is_outdated) {
            self.pool.idle.borrow_mut().insert(self.sequence, entry);
            self.pool.open.notify_one();
        }
    }
}

/// Connections to all upstreams.
pub struct Pool {
    idle: RefCell<IdleConnections>,
    open: Rc<OpenConnections>,
    descriptors: Rc<Descriptors>,
    max_idle: Cell<Duration>,
    /// Number of calls of `Pool::close_idle`.
    closures: Cell<u64>,
    limit_warnings: RateLimitedLog,
}

impl Pool {
    /// Creates a pool bounded by the descriptor budget. A connection can be reused until it has been idle for
    /// `max_idle`.
    pub fn new(descriptors: Rc<Descriptors>, max_idle: Duration) -> Self {
        let limit_warnings = RateLimitedLog::default();
        Self {
            idle: RefCell::default(),
            open: Rc::default(),
            descriptors,
            max_idle: Cell::new(max_idle),
            closures: Cell::default(),
            limit_warnings,
        }
    }

    /// Sets how long a connection may be idle before it is no longer reused.
    pub fn set_max_idle(&self, max_idle: Duration) {
        self.max_idle.set(max_idle);
    }

    /// Stores a connection without a request in flight.
    pub fn store_idle(&self, upstream: UpstreamId, connection: Connection) {
        if connection.is_closed() || connection.exceeds_memory() {
            return;
        }
        connection.mark_idle();
        self.idle.borrow_mut().push(IdleConnection { upstream, connection, since: Instant::now() });
        // A waiter either takes this connection or closes it to open its own.
        self.open.notify_one();
    }

    /// Takes the connection to an upstream that became idle last, among those that have rested.
    fn take_rested(&self, upstream: UpstreamId, rest: Duration) -> Option<Connection> {
        self.take_usable(upstream, |idle, by_upstream| {
            by_upstream.iter().rev().find(|sequence| idle[*sequence].since.elapsed() >= rest).copied()
        })
    }

    /// Reserves the connection to an upstream that has rested longest, if waiting for it is better than
    /// opening another one. At the limit another one can only be opened in the place of an idle one.
    fn reserve_resting(
        &self,
        upstream: UpstreamId,
        reuse: &ReuseGuard,
        max_wait: Duration,
        is_full: bool,
    ) -> Option<RestingConnection<'_>> {
        let rest = reuse.rest()?;
        let idle = &mut *self.idle.borrow_mut();
        let is_open = |sequence: &&u64| idle.by_age.get(sequence).is_some_and(|e| !e.connection.is_closed());
        let sequence = *idle.by_upstream.get(&upstream)?.iter().find(is_open)?;
        let remaining = rest.saturating_sub(idle.by_age.get(&sequence)?.since.elapsed());
        if remaining > max_wait || !(is_full || reuse.may_wait(remaining)) {
            reuse.record_effect(RestEffect::Opened, remaining);
            return None;
        }
        reuse.record_effect(RestEffect::Waited, remaining);
        let (closures, entry) = (self.closures.get(), idle.remove(sequence));
        Some(RestingConnection { pool: self, sequence, closures, entry })
    }

    /// Takes connections by `choose` until one is usable; the unusable ones are closed.
    fn take_usable(
        &self,
        upstream: UpstreamId,
        choose: impl Fn(&BTreeMap<u64, IdleConnection>, &VecDeque<u64>) -> Option<u64>,
    ) -> Option<Connection> {
        let idle = &mut *self.idle.borrow_mut();
        loop {
            let sequence = choose(&idle.by_age, idle.by_upstream.get(&upstream)?)?;
            let entry = idle.remove(sequence)?;
            if entry.since.elapsed() < self.max_idle.get() && !entry.connection.is_closed() {
                return Some(entry.connection);
            }
        }
    }

    /// Closes the idle connections to an upstream.
    pub fn close_idle(&self, upstream: UpstreamId) {
        self.closures.set(self.closures.get() + 1);
        self.discard_idle(upstream);
    }

    fn discard_idle(&self, upstream: UpstreamId) {
        let idle = &mut *self.idle.borrow_mut();
        for sequence in idle.by_upstream.remove(&upstream).unwrap_or_default() {
            idle.by_age.remove(&sequence);
        }
    }

    /// Closes the open connection that has been idle longest, of any upstream; returns false if none is idle.
    pub fn close_oldest(&self) -> bool {
        let idle = &mut *self.idle.borrow_mut();
        loop {
            let sequence = idle.by_age.first_key_value().map(|(sequence, _)| *sequence);
            let Some(entry) = sequence.and_then(|sequence| idle.remove(sequence)) else { return false };
            // One that its upstream has closed has already released its slot.
            if !entry.connection.is_closed() {
                return true;
            }
        }
    }

    /// Returns an idle connection to an upstream, or a slot for a new one. It may wait up to `max_wait` for a
    /// connection to rest. At the limit it closes an idle connection to another upstream, or waits.
    pub(crate) async fn acquire(
        &self,
        upstream: UpstreamId,
        reuse: &ReuseGuard,
        max_wait: Duration,
    ) -> Acquired {
        loop {
            match reuse.rest().map(|rest| self.take_rested(upstream, rest)) {
                Some(Some(connection)) => return Acquired::Idle(connection),
                Some(None) => {}
                None => self.discard_idle(upstream),
            }
            let limit = self.descriptors.limit_of(DescriptorClass::Upstreams);
            let is_full = self.open.count.get() >= limit;
            if let Some(resting) = self.reserve_resting(upstream, reuse, max_wait, is_full) {
                match resting.rested(reuse).await {
                    Some(connection) => return Acquired::Idle(connection),
                    None => continue,
                }
            }
            if !is_full {
                break;
            }
            if !self.close_oldest() {
                self.limit_warnings.warn(|| format!("all {limit} connections to upstreams are in use"));
            }
            self.open.wait_for_change().await;
        }
        self.open.count.set(self.open.count.get() + 1);
        Acquired::Slot(Slot(Rc::clone(&self.open)))
    }

    /// Applies a changed descriptor limit: closes idle connections over the limit and wakes all waiters.
    pub fn apply_limit(&self) {
        let excess =
            self.open.count.get().saturating_sub(self.descriptors.limit_of(DescriptorClass::Upstreams));
        for _ in 0..excess {
            if !self.close_oldest() {
                break;
            }
        }
        // The limit may have risen, which can serve every waiter.
        self.open.freed.notify_waiters();
    }

    /// Closes connections that have been idle too long or were closed by the upstream; never returns. Each
    /// sweep checks a part, since a large fleet has thousands of connections.
    pub async fn sweep(&self) {
        let mut next = 0;
        loop {
            sleep(SWEEP_INTERVAL).await;
            let (now, idle) = (Instant::now(), &mut *self.idle.borrow_mut());
            // Iterates in the order in which connections became idle.
            let expired =
                idle.by_age.iter().take_while(|(_, entry)| now - entry.since >= self.max_idle.get());
            let expired: Vec<u64> = expired.map(|(n, _)| *n).collect();
            let checked: Vec<(u64, bool)> = idle
                .by_age
                .range(next..)
                .take(MAX_CHECKED_PER_SWEEP)
                .map(|(n, entry)| (*n, entry.connection.is_closed()))
                .collect();
            next =
                checked.last().filter(|_| checked.len() == MAX_CHECKED_PER_SWEEP).map_or(0, |(n, _)| n + 1);
            for sequence in
                expired.into_iter().chain(checked.into_iter().filter(|(_, closed)| *closed).map(|(n, _)| n))
            {
                idle.remove(sequence);
            }
        }
    }

    /// Returns the sequence of open connections.
    #[cfg(test)]
    pub fn open_count(&self) -> usize {
        self.open.count.get()
    }

    /// Reserves a slot for a new connection.
    #[cfg(test)]
    pub async fn reserve_slot(&self) -> Slot {
        const UNUSED_ID: UpstreamId = UpstreamId(u64::MAX);
        let reuse = ReuseGuard::new(UNUSED_ID, Rc::default(), ReasonCounters::default());
        match self.acquire(UNUSED_ID, &reuse, Duration::ZERO).await {
            Acquired::Slot(slot) => slot,
            Acquired::Idle(_) => unreachable!("the id has no connections"),
        }
    }
}

#[cfg(test)]
pub(crate) mod tests;
