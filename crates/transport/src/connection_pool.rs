//! All connections of a node: which peers it keeps one to, when it dials again, and which callers it rejects.
//!
//! A node keeps connections to its two successors in the ring of names, so that however many nodes there are each has
//! about four connections; other peers are dialed when there is a message for them.

use crate::connection::{self, Connection, ConnectionError, LocalNode};
use crate::frames::Message;
use crate::send_queue::SendQueue;
use maplehook_cluster::Name;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::{Instant, sleep};

/// How many callers may be in their handshake at once.
const MAX_HANDSHAKES: usize = 16;
/// How many received messages may wait for the event loop.
const MAX_INCOMING_MESSAGES: usize = 64;
/// The first and the longest delay after a dial that failed.
const MIN_REDIAL_DELAY: Duration = Duration::from_millis(200);
const MAX_REDIAL_DELAY: Duration = Duration::from_secs(10);
/// How long a connection stays that is not used.
const MAX_IDLE_TIME: Duration = Duration::from_secs(30);
/// The delay after an accept that failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// How many successors a node keeps connections to.
const SUCCESSORS: usize = 2;

/// Counters of connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConnectionCounters {
    /// Connections that are open.
    pub open: u64,
    /// Dials that failed.
    pub dial_failures: u64,
    /// Connections that were lost.
    pub lost: u64,
    /// Callers that were rejected.
    pub rejected: u64,
    /// Messages that were received.
    pub messages: u64,
    /// Messages that were dropped since too many waited.
    pub dropped: u64,
}

/// A peer that there is a connection to, or that is being dialed.
struct PooledConnection {
    queue: SendQueue,
    task: AbortHandle,
    last_used_at: Instant,
}

/// All connections of a node.
pub struct ConnectionPool {
    local: RefCell<LocalNode>,
    addresses: BTreeMap<Name, SocketAddr>,
    /// Connections that this node dials.
    dialed: RefCell<BTreeMap<Name, PooledConnection>>,
    /// Connections that peers have dialed.
    accepted: RefCell<BTreeMap<Name, PooledConnection>>,
    /// The latest known generation of each peer.
    generations: RefCell<BTreeMap<Name, u64>>,
    handshakes: Cell<usize>,
    counters: Cell<ConnectionCounters>,
    incoming: mpsc::Sender<(Name, Message)>,
}

impl ConnectionPool {
    /// Returns a pool without connections, and where received messages come out.
    pub fn new(
        local: LocalNode,
        addresses: BTreeMap<Name, SocketAddr>,
    ) -> (Rc<Self>, mpsc::Receiver<(Name, Message)>) {
        let (incoming, messages) = mpsc::channel(MAX_INCOMING_MESSAGES);
        let pool = Self {
            local: RefCell::new(local),
            addresses,
            dialed: RefCell::default(),
            accepted: RefCell::default(),
            generations: RefCell::default(),
            handshakes: Cell::new(0),
            counters: Cell::default(),
            incoming,
        };
        (Rc::new(pool), messages)
    }

    fn count(&self, change: impl FnOnce(&mut ConnectionCounters)) {
        let mut counters = self.counters.get();
        change(&mut counters);
        self.counters.set(counters);
    }

    /// Returns the counters.
    pub fn counters(&self) -> ConnectionCounters {
        let (dialed, accepted) = (self.dialed.borrow(), self.accepted.borrow());
        let current = dialed.values().chain(accepted.values());
        let dropped: u64 = current.map(|connection| connection.queue.dropped()).sum();
        let counters = self.counters.get();
        ConnectionCounters { dropped: counters.dropped + dropped, ..counters }
    }

    /// Sets the generation of this node for connections to come.
    pub fn set_generation(&self, generation: u64) {
        self.local.borrow_mut().generation = generation;
    }

    /// Records a generation of a peer: callers of an earlier one are rejected.
    pub fn record_generation(&self, name: &Name, generation: u64) {
        let mut generations = self.generations.borrow_mut();
        let known = generations.entry(name.clone()).or_default();
        *known = (*known).max(generation);
    }

    /// Keeps connections to these peers, and closes others that are not used.
    pub fn keep_connected(self: &Rc<Self>, names: &[Name]) {
        let now = Instant::now();
        for name in names {
            self.with_dialed(name, |connection| connection.last_used_at = now);
        }
        let idle: Vec<Name> = self
            .dialed
            .borrow()
            .iter()
            .filter(|(_, connection)| connection.last_used_at.elapsed() > MAX_IDLE_TIME)
            .map(|(name, _)| name.clone())
            .collect();
        for name in idle {
            self.close_dialed(&name);
        }
    }

    fn close_dialed(&self, name: &Name) {
        let connection = self.dialed.borrow_mut().remove(name);
        if let Some(connection) = connection {
            self.close(&connection);
        }
    }

    fn close(&self, connection: &PooledConnection) {
        connection.task.abort();
        self.count(|counters| counters.dropped += connection.queue.dropped());
    }

    /// Sends a message on whichever connection there is, or on one that is made for it.
    pub fn send(self: &Rc<Self>, to: &Name, message: Message) {
        let mut accepted = self.accepted.borrow_mut();
        if let Some(connection) = accepted.get_mut(to).filter(|connection| !connection.task.is_finished()) {
            connection.queue.push(message);
            return;
        }
        drop(accepted);
        self.with_dialed(to, |connection| {
            connection.last_used_at = Instant::now();
            connection.queue.push(message);
        });
    }

    /// Calls `action` with the dialed connection to a peer, and starts to dial where there is none.
    fn with_dialed(self: &Rc<Self>, to: &Name, action: impl FnOnce(&mut PooledConnection)) {
        let Some(address) = self.addresses.get(to).copied() else { return };
        let mut dialed = self.dialed.borrow_mut();
        let connection = dialed.entry(to.clone()).or_insert_with(|| {
            let queue = SendQueue::default();
            let task = spawn_local(Rc::clone(self).keep_dialing(to.clone(), address, queue.clone()));
            PooledConnection { queue, task: task.abort_handle(), last_used_at: Instant::now() }
        });
        action(connection);
    }

    /// Dials a peer again whenever the connection ends, with exponential backoff and jitter.
    async fn keep_dialing(self: Rc<Self>, to: Name, address: SocketAddr, queue: SendQueue) {
        let mut delay = MIN_REDIAL_DELAY;
        loop {
            let (local, known) = (self.local.borrow().clone(), self.generations.borrow().get(&to).copied());
            match connection::dial(&local, &to, address, known).await {
                Ok(connection) => {
                    let opened_at = Instant::now();
                    self.record_generation(&to, connection.generation);
                    tracing::debug!(%to, "peer connection opened");
                    let reason = self.run(connection, queue.clone()).await;
                    tracing::debug!(%to, %reason, "peer connection closed");
                    if opened_at.elapsed() > MAX_REDIAL_DELAY {
                        delay = MIN_REDIAL_DELAY;
                    }
                }
                Err(error) => {
                    self.count(|counters| counters.dial_failures += 1);
                    tracing::debug!(%to, %error, "peer dial failed");
                }
            }
            sleep(delay.mul_f64(0.5 + 0.5 * fastrand::f64())).await;
            delay = (delay * 2).min(MAX_REDIAL_DELAY);
        }
    }

    async fn run(&self, connection: Connection, queue: SendQueue) -> ConnectionError {
        self.count(|counters| counters.open += 1);
        // Counts it as closed also where the task is aborted.
        let _open = OpenGuard(self);
        let reason = connection.run(queue, self.incoming.clone()).await;
        self.count(|counters| counters.lost += 1);
        reason
    }

    /// Accepts callers, and never returns.
    pub async fn accept(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) if self.handshakes.get() < MAX_HANDSHAKES => {
                    self.handshakes.set(self.handshakes.get() + 1);
                    spawn_local(Rc::clone(&self).handle_caller(stream));
                }
                Ok(_) => self.count(|counters| counters.rejected += 1),
                Err(error) => {
                    tracing::debug!(%error, "accept failed on the cluster address");
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    async fn handle_caller(self: Rc<Self>, stream: TcpStream) {
        let local = self.local.borrow().clone();
        let accepted = connection::accept(
            &local,
            stream,
            |name| self.generations.borrow().get(name).copied(),
            |name| self.addresses.contains_key(name),
        )
        .await;
        self.handshakes.set(self.handshakes.get() - 1);
        match accepted {
            Ok(connection) => self.add_accepted(connection),
            Err(error) => {
                self.count(|counters| counters.rejected += 1);
                tracing::debug!(%error, "peer connection rejected");
            }
        }
    }

    fn add_accepted(self: Rc<Self>, connection: Connection) {
        let (name, queue) = (connection.name.clone(), SendQueue::default());
        self.record_generation(&name, connection.generation);
        let pool = Rc::clone(&self);
        let task = spawn_local({
            let queue = queue.clone();
            async move { drop(pool.run(connection, queue).await) }
        });
        let new = PooledConnection { queue, task: task.abort_handle(), last_used_at: Instant::now() };
        // A caller that calls again has lost its first connection, whatever this side thinks of it.
        let replaced = self.accepted.borrow_mut().insert(name, new);
        if let Some(replaced) = replaced {
            self.close(&replaced);
        }
    }
}

/// Counts a connection as open until it is dropped.
struct OpenGuard<'a>(&'a ConnectionPool);

impl Drop for OpenGuard<'_> {
    fn drop(&mut self) {
        self.0.count(|counters| counters.open -= 1);
    }
}

/// Returns the successors of a name in the ring of all names that are alive.
pub fn successors<'a>(own_name: &Name, alive: impl Iterator<Item = &'a Name>) -> Vec<Name> {
    let mut ring: Vec<&Name> = alive.filter(|name| *name != own_name).collect();
    ring.sort_unstable();
    let next = ring.partition_point(|name| *name < own_name);
    (0..ring.len().min(SUCCESSORS)).map(|n| ring[(next + n) % ring.len()].clone()).collect()
}

#[cfg(test)]
mod tests;
