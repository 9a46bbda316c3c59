//! New connections: each waits for its first byte with nothing but its descriptor, and is admitted with it.

use super::{EndReason, Server, ShutdownPhase};
use crate::inbound::peek;
use maplehook_admission::silent_connections::SilentId;
use maplehook_admission::{Room, SilentConnections};
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

/// Interval of the checks whether evicted connections have closed, and the most of them.
const EVICTION_CHECK_INTERVAL: Duration = Duration::from_millis(2);
const MAX_EVICTION_CHECKS: u32 = 25;

/// The silent connections, with the signals that close them.
pub(super) struct Arrivals {
    silent: RefCell<SilentConnections>,
    close_signals: RefCell<HashMap<SilentId, Rc<Notify>>>,
    started_at: Instant,
    emptied: Notify,
}

/// Keeps a connection among the silent ones until it is dropped.
struct SilentGuard {
    server: Rc<Server>,
    id: SilentId,
}

impl Drop for SilentGuard {
    fn drop(&mut self) {
        self.server.arrivals.remove(self.id);
    }
}

impl Arrivals {
    pub(super) fn new() -> Self {
        Self {
            silent: RefCell::default(),
            close_signals: RefCell::default(),
            started_at: Instant::now(),
            emptied: Notify::new(),
        }
    }

    fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    fn insert(&self) -> (SilentId, Rc<Notify>) {
        let id = self.silent.borrow_mut().insert(self.now());
        let close_signal = Rc::<Notify>::default();
        self.close_signals.borrow_mut().insert(id, Rc::clone(&close_signal));
        (id, close_signal)
    }

    fn remove(&self, id: SilentId) {
        self.close_signals.borrow_mut().remove(&id);
        self.silent.borrow_mut().remove(id);
        if self.silent.borrow().is_empty() {
            self.emptied.notify_waiters();
        }
    }

    /// Asks a silent connection to close. It is no longer counted from now on.
    fn close(&self, id: SilentId) {
        if let Some(close_signal) = self.close_signals.borrow_mut().remove(&id) {
            close_signal.notify_one();
        }
        self.silent.borrow_mut().remove(id);
    }

    /// Asks the oldest silent connection to close. Returns false if there is none.
    fn close_oldest(&self) -> bool {
        let oldest = self.silent.borrow().oldest();
        oldest.inspect(|id| self.close(*id)).is_some()
    }

    /// Waits until no connection is silent.
    pub(super) async fn wait_until_empty(&self) {
        loop {
            let emptied = self.emptied.notified();
            if self.silent.borrow().is_empty() {
                return;
            }
            emptied.await;
        }
    }
}

impl Server {
    /// Has silent connections closed where descriptors are exhausted, and where the limit has fallen.
    pub(super) fn share_descriptors(self: &Rc<Self>) {
        let (for_relief, for_limits) = (Rc::downgrade(self), Rc::downgrade(self));
        self.descriptors
            .add_relief(move || for_relief.upgrade().is_some_and(|server| server.arrivals.close_oldest()));
        self.descriptors.on_limits_changed(move || {
            if let Some(server) = for_limits.upgrade() {
                server.close_excess();
            }
        });
    }

    /// Closes the oldest silent connections, for as long as there are too many connections.
    fn close_excess(&self) {
        let limit = self.max_client_descriptors();
        while self.admission.open_connections() + self.arrivals.silent.borrow().len() > limit {
            if !self.arrivals.close_oldest() {
                return;
            }
        }
    }

    /// Takes a new connection, which waits for its first byte unless its client is known. Returns true if another
    /// connection was asked to close for it.
    pub(super) fn take(self: &Rc<Self>, stream: TcpStream, address: IpAddr) -> bool {
        let has_evicted = self.make_room();
        if self.admission.is_known(address) {
            return self.admit(stream, address) || has_evicted;
        }
        let (id, close_signal) = self.arrivals.insert();
        let silent = SilentGuard { server: Rc::clone(self), id };
        spawn_local(Rc::clone(self).wait_for_first_byte(stream, address, silent, close_signal));
        has_evicted
    }

    /// Closes a connection that has less claim to its descriptor than a new one, if none is left.
    fn make_room(&self) -> bool {
        let arrivals = &self.arrivals;
        let (admitted, limit) = (self.admission.open_connections(), self.max_client_descriptors());
        let prompt = self.admission.prompt();
        let room = arrivals.silent.borrow().room(arrivals.now(), admitted, limit, prompt);
        match room {
            Room::Free | Room::Taken => false,
            Room::IdleOr(_) if self.admission.evict_long_idle() => true,
            Room::Silent(id) | Room::IdleOr(id) => {
                arrivals.close(id);
                true
            }
        }
    }

    async fn wait_for_first_byte(
        self: Rc<Self>,
        stream: TcpStream,
        address: IpAddr,
        silent: SilentGuard,
        close_signal: Rc<Notify>,
    ) {
        let (mut phase, mut first_byte) = (self.phase.clone(), [0]);
        let ended = tokio::select! {
            biased;
            // Unlike `readable`, completes only once there is something to read.
            _ = stream.peek(&mut first_byte) => None,
            _ = phase.wait_for(|phase| *phase >= ShutdownPhase::Closing) => None,
            () = close_signal.notified() => Some(EndReason::Evicted),
            () = sleep(self.admission.first_byte_timeout()) => Some(EndReason::NothingReceived),
        };
        // The runtime may not have seen the first byte yet.
        if let Some(reason) = ended.filter(|_| is_silent(&stream)) {
            self.dispatcher.tally().clients_ended.increment(reason.name());
            tracing::debug!(peer = %address, reason = reason.name(), "silent client connection ended");
            return;
        }
        self.wait_for_evictions().await;
        drop(silent);
        self.admit(stream, address);
    }

    /// Waits until another connection can be evicted, for as long as closing one takes.
    async fn wait_for_evictions(&self) {
        for _ in 0..MAX_EVICTION_CHECKS {
            if !self.admission.awaits_evictions() {
                return;
            }
            sleep(EVICTION_CHECK_INTERVAL).await;
        }
    }
}

/// Returns true if nothing was received on an open connection.
fn is_silent(stream: &TcpStream) -> bool {
    matches!(peek(stream), Err(e) if e.kind() == std::io::ErrorKind::WouldBlock)
}
