//! Connections to upstreams: how many may be open, and which of them are idle.

use crate::parts::connection::{Connection, Unasked};
use crate::parts::descriptors::Descriptors;
use crate::parts::rate_limited_log::RateLimitedLog;
use maplehook_admission::DescriptorClass;
use maplehook_core::UpstreamId;
use rustc_hash::FxHashMap;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// How often idle connections are looked over.
const SWEEP_EVERY: Duration = Duration::from_millis(100);

/// How many of them at one look.
const SWEEP_MOST: usize = 512;

/// How long a connection rests before its next request while upstreams are known to answer twice. What comes of a second answer
/// while the connection is idle ends it; what comes once the next request is written would be taken for the answer to that.
const REST: Duration = Duration::from_millis(20);

/// How long upstreams are known for that.
const REST_KEPT: Duration = Duration::from_secs(60);

/// Connections open to all upstreams together.
#[derive(Default)]
struct Open {
    count: Cell<usize>,
    /// Attempts that wait for `freed`.
    waiting: Cell<usize>,
    freed: Notify,
}

impl Open {
    /// Waits until a connection is closed or falls idle.
    async fn changed(&self) {
        let _waits = Waits::new(&self.waiting);
        self.freed.notified().await;
    }

    /// Tells one that waits, and nobody else: who waits next would close one more than is needed.
    fn tell(&self) {
        if self.waiting.get() > 0 {
            self.freed.notify_one();
        }
    }
}

/// One that waits, until it is dropped.
struct Waits<'a>(&'a Cell<usize>);

impl<'a> Waits<'a> {
    fn new(waiting: &'a Cell<usize>) -> Self {
        waiting.set(waiting.get() + 1);
        Self(waiting)
    }
}

impl Drop for Waits<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// One of them, until its descriptor is closed.
pub struct Slot(Rc<Open>);

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.count.set(self.0.count.get() - 1);
        self.0.tell();
    }
}

/// What there is for an attempt.
pub enum Found {
    /// A connection that was idle.
    Idle(Connection),
    /// Room for a new one.
    Slot(Slot),
}

/// An idle connection.
struct Kept {
    upstream: UpstreamId,
    connection: Connection,
    since: Instant,
}

/// Idle connections by the order in which they fell idle.
#[derive(Default)]
struct Idle {
    kept: BTreeMap<u64, Kept>,
    /// The same by upstream; none is empty.
    of: FxHashMap<UpstreamId, VecDeque<u64>>,
    next: u64,
}

impl Idle {
    fn remove(&mut self, number: u64) -> Option<Kept> {
        let kept = self.kept.remove(&number)?;
        if let Some(of) = self.of.get_mut(&kept.upstream) {
            // At one of the ends, but for one that its upstream has closed.
            of.retain(|n| *n != number);
            if of.is_empty() {
                self.of.remove(&kept.upstream);
            }
        }
        Some(kept)
    }
}

/// The connections to all upstreams.
pub struct Pool {
    idle: RefCell<Idle>,
    open: Rc<Open>,
    descriptors: Rc<Descriptors>,
    idle_most: Cell<Duration>,
    /// When an upstream last spoke on an idle connection.
    unasked: Unasked,
    full: RateLimitedLog,
}

impl Pool {
    /// At most so many connections as there are descriptors for, each of use while it has not been idle for
    /// `idle_most`.
    pub fn new(descriptors: Rc<Descriptors>, idle_most: Duration) -> Self {
        let full = RateLimitedLog::default();
        Self {
            idle: RefCell::default(),
            open: Rc::default(),
            descriptors,
            idle_most: Cell::new(idle_most),
            unasked: Unasked::default(),
            full,
        }
    }

    /// From now on they are of use while they have not been idle for so long.
    pub fn retune(&self, idle_most: Duration) {
        self.idle_most.set(idle_most);
    }

    /// Keeps a connection on which nothing is out.
    pub fn put(&self, upstream: UpstreamId, connection: Connection) {
        if connection.is_closed() {
            return;
        }
        connection.rest(&self.unasked);
        let idle = &mut *self.idle.borrow_mut();
        let number = idle.next;
        idle.next += 1;
        idle.kept.insert(number, Kept { upstream, connection, since: Instant::now() });
        idle.of.entry(upstream).or_default().push_back(number);
        // Whoever waits for room has it here, or the connection itself.
        self.open.tell();
    }

    /// How long connections rest now.
    fn rest(&self) -> Duration {
        let lately = self.unasked.get().is_some_and(|at| at.elapsed() < REST_KEPT);
        if lately { REST } else { Duration::ZERO }
    }

    /// Of the connections to an upstream that have rested, the one that fell idle last, if any is still of use.
    fn take_rested(&self, upstream: UpstreamId) -> Option<Connection> {
        let rest = self.rest();
        self.take(upstream, |idle, of| {
            of.iter().rev().find(|number| idle[*number].since.elapsed() >= rest).copied()
        })
    }

    /// The connection to an upstream that has rested longest, if any is of use.
    fn take_longest_idle(&self, upstream: UpstreamId) -> Option<Connection> {
        self.take(upstream, |_, of| of.front().copied())
    }

    /// The connection to an upstream that is chosen, again until one is of use.
    fn take(
        &self,
        upstream: UpstreamId,
        choose: impl Fn(&BTreeMap<u64, Kept>, &VecDeque<u64>) -> Option<u64>,
    ) -> Option<Connection> {
        let idle = &mut *self.idle.borrow_mut();
        loop {
            let number = choose(&idle.kept, idle.of.get(&upstream)?)?;
            let kept = idle.remove(number)?;
            if kept.since.elapsed() < self.idle_most.get() && !kept.connection.is_closed() {
                return Some(kept.connection);
            }
        }
    }

    /// Closes the idle connections to an upstream.
    pub fn close(&self, upstream: UpstreamId) {
        let idle = &mut *self.idle.borrow_mut();
        for number in idle.of.remove(&upstream).unwrap_or_default() {
            idle.kept.remove(&number);
        }
    }

    /// Closes the one that has been idle longest, whoever is at its other end; `false` if none is idle.
    pub fn close_oldest(&self) -> bool {
        let idle = &mut *self.idle.borrow_mut();
        let number = idle.kept.first_key_value().map(|(number, _)| *number);
        number.and_then(|number| idle.remove(number)).is_some()
    }

    /// An idle connection to an upstream, or else room for one more, made by closing an idle one to another if need be.
    pub async fn found(&self, upstream: UpstreamId) -> Found {
        loop {
            if let Some(connection) = self.take_rested(upstream) {
                return Found::Idle(connection);
            }
            let most = self.descriptors.limit_of(DescriptorClass::Upstreams);
            if self.open.count.get() < most {
                break;
            }
            // Without room for another it can't rest.
            if let Some(connection) = self.take_longest_idle(upstream) {
                return Found::Idle(connection);
            }
            if !self.close_oldest() {
                self.full.warn(|| format!("all {most} connections to upstreams are in use"));
            }
            self.open.changed().await;
        }
        self.open.count.set(self.open.count.get() + 1);
        Found::Slot(Slot(Rc::clone(&self.open)))
    }

    /// There are fewer descriptors than there were: closes idle connections as far as that helps.
    pub fn shrink(&self) {
        let over =
            self.open.count.get().saturating_sub(self.descriptors.limit_of(DescriptorClass::Upstreams));
        for _ in 0..over {
            if !self.close_oldest() {
                break;
            }
        }
        // More descriptors than there were are for all that wait.
        self.open.freed.notify_waiters();
    }

    /// Closes what has been idle for long, again and again, and what its upstream has closed, a part at each look: in
    /// a large fleet there are thousands.
    pub async fn sweep(&self) {
        let mut next = 0;
        loop {
            tokio::time::sleep(SWEEP_EVERY).await;
            let (now, idle) = (Instant::now(), &mut *self.idle.borrow_mut());
            // In the order in which they fell idle.
            let old = idle.kept.iter().take_while(|(_, kept)| now - kept.since >= self.idle_most.get());
            let old: Vec<u64> = old.map(|(n, _)| *n).collect();
            let looked: Vec<(u64, bool)> = idle
                .kept
                .range(next..)
                .take(SWEEP_MOST)
                .map(|(n, kept)| (*n, kept.connection.is_closed()))
                .collect();
            next = looked.last().filter(|_| looked.len() == SWEEP_MOST).map_or(0, |(n, _)| n + 1);
            for number in
                old.into_iter().chain(looked.into_iter().filter(|(_, closed)| *closed).map(|(n, _)| n))
            {
                idle.remove(number);
            }
        }
    }

    /// How many connections are open.
    #[cfg(test)]
    pub fn open(&self) -> usize {
        self.open.count.get()
    }

    /// Room for one more connection to an upstream that has no idle one.
    #[cfg(test)]
    pub async fn slot(&self) -> Slot {
        const NOBODY: UpstreamId = UpstreamId(u64::MAX);
        match self.found(NOBODY).await {
            Found::Slot(slot) => slot,
            Found::Idle(_) => unreachable!("nobody has a connection"),
        }
    }
}

#[cfg(test)]
pub(crate) mod tests {
    use super::*;
    use tokio::net::TcpListener;

    const LONG: Duration = Duration::from_secs(20);

    /// Descriptors of which upstreams may have just `n`.
    pub fn descriptors(n: usize) -> Rc<Descriptors> {
        use maplehook_admission::descriptor_budget::{
            BASE_DESCRIPTORS, DISCOVERY_DESCRIPTORS, MIN_DESCRIPTORS, REJECTION_DESCRIPTORS,
        };
        let shared_out = MIN_DESCRIPTORS - BASE_DESCRIPTORS - DISCOVERY_DESCRIPTORS - REJECTION_DESCRIPTORS;
        let descriptors = Descriptors::new(MIN_DESCRIPTORS, 0, (n as f64 + 0.5) / shared_out as f64).unwrap();
        assert_eq!(descriptors.limit_of(DescriptorClass::Upstreams), n);
        descriptors
    }

    /// Guards warm connections where places run out: the one least likely to be used again makes room,
    /// whichever upstream it leads to.
    #[tokio::test(flavor = "local")]
    async fn the_longest_idle_makes_room() {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let peer = listener.local_addr().unwrap();
        let pool = Pool::new(descriptors(9), LONG);
        let order = [3, 8, 1, 7, 2, 9, 4, 6, 5].map(UpstreamId);
        for upstream in order {
            pool.put(upstream, Connection::open(peer, pool.slot().await).await.unwrap());
        }
        let mut slots = Vec::new();
        for (n, upstream) in order.into_iter().enumerate() {
            assert!(pool.idle.borrow().of.contains_key(&upstream));
            slots.push(pool.slot().await);
            assert!(!pool.idle.borrow().of.contains_key(&upstream), "{n}");
            assert_eq!((pool.idle.borrow().kept.len(), pool.open()), (8 - n, 9));
        }
    }
}
