//! Applies the decisions of connection admission to the client connections.

use crate::client::{ClientConnection, ClientTimeouts, ConnectionObserver};
use maplehook_admission::address::NetworkSet;
use maplehook_admission::{
    AdmissionDecision, ConnectionAdmission, ConnectionId, Rejection, RejectionReason, ResponseDecision,
};
use rustc_hash::FxHashMap;
use std::cell::RefCell;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Connection admission, and the admitted connections by id.
pub struct AdmissionController {
    started_at: Instant,
    admission: RefCell<ConnectionAdmission>,
    clients: RefCell<FxHashMap<ConnectionId, Rc<ClientConnection>>>,
    closed: Notify,
    /// Timeouts of every admitted connection.
    timeouts: ClientTimeouts,
}

impl AdmissionController {
    /// Creates a controller without connections.
    pub fn new(admission: ConnectionAdmission, timeouts: ClientTimeouts) -> Rc<Self> {
        Rc::new(Self {
            started_at: Instant::now(),
            admission: RefCell::new(admission),
            clients: RefCell::default(),
            closed: Notify::new(),
            timeouts,
        })
    }

    fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Admits or rejects a new connection from `address`. For an admitted one, also returns true if another
    /// connection was asked to close for it.
    pub fn admit(self: &Rc<Self>, address: IpAddr) -> Result<(Rc<ClientConnection>, bool), Rejection> {
        let decision = self.admission.borrow_mut().admit(self.now(), address);
        match decision {
            AdmissionDecision::Admitted { id, evicted } => {
                let observer = Rc::clone(self) as Rc<dyn ConnectionObserver>;
                let client = Rc::new(ClientConnection::new(observer, id, self.timeouts));
                self.clients.borrow_mut().insert(id, Rc::clone(&client));
                self.request_close(evicted);
                Ok((client, evicted.is_some()))
            }
            AdmissionDecision::Rejected(rejection) => Err(rejection),
        }
    }

    /// Returns true if the client at `address` belongs to the networks of known clients.
    pub fn is_known(&self, address: IpAddr) -> bool {
        self.admission.borrow().is_listed(address)
    }

    /// Returns the number of admitted connections that are not closed yet.
    pub fn open_connections(&self) -> usize {
        self.clients.borrow().len()
    }

    /// Returns the time within which the first bytes of a connection usually come.
    pub fn prompt(&self) -> Duration {
        self.admission.borrow().prompt()
    }

    /// Returns true if so many evicted connections are not closed yet that no other can be evicted.
    pub fn awaits_evictions(&self) -> bool {
        self.admission.borrow().awaits_evictions()
    }

    /// Returns the longest time that a connection may send nothing.
    pub fn first_byte_timeout(&self) -> Duration {
        self.timeouts.request_idle
    }

    /// Asks a connection to close that has been idle for long. Returns false if there is none.
    pub fn evict_long_idle(&self) -> bool {
        let evicted = self.admission.borrow_mut().evict_long_idle(self.now());
        self.request_close(evicted);
        evicted.is_some()
    }

    /// Records that the first byte of an admitted connection has come already.
    pub fn on_first_byte(&self, client: &ClientConnection) {
        self.on_bytes(client.id());
    }

    /// Returns a rejection without an admission decision, for a connection that can't be accepted at all.
    pub fn reject(&self, reason: RejectionReason) -> Rejection {
        self.admission.borrow_mut().reject(self.now(), reason)
    }

    /// Sets the maximum number of connections, and asks those above it to close.
    pub fn set_capacity(&self, capacity: usize) {
        self.admission.borrow_mut().set_capacity(capacity);
        loop {
            let evicted = self.admission.borrow_mut().evict_excess(self.now());
            if evicted.is_none() {
                break;
            }
            self.request_close(evicted);
        }
    }

    /// Sets the guaranteed allowance of each tenant, per second.
    pub fn set_tenant_guarantees(&self, guarantees: &[f64]) {
        self.admission.borrow_mut().set_tenant_guarantees(guarantees);
    }

    /// Sets the networks of known clients, in addition to those of the balancer's own configuration file.
    pub fn set_known_networks(&self, networks: NetworkSet) {
        self.admission.borrow_mut().set_known_networks(networks);
    }

    /// Asks one evictable connection to close, to free its descriptor. Returns false if there is none.
    pub fn evict_one(&self) -> bool {
        let evicted = self.admission.borrow_mut().evict_one(self.now());
        self.request_close(evicted);
        evicted.is_some()
    }

    /// Waits until every connection is closed.
    pub async fn wait_until_empty(&self) {
        loop {
            let closed = self.closed.notified();
            if self.clients.borrow().is_empty() {
                return;
            }
            closed.await;
        }
    }

    fn apply(&self, decision: ResponseDecision) -> bool {
        self.request_close(decision.evicted);
        decision.should_close
    }

    fn request_close(&self, id: Option<ConnectionId>) {
        if let Some(client) = id.and_then(|id| self.clients.borrow().get(&id).cloned()) {
            client.request_close();
        }
    }
}

impl ConnectionObserver for AdmissionController {
    fn on_bytes(&self, id: ConnectionId) {
        self.admission.borrow_mut().on_bytes(self.now(), id);
    }

    fn on_request(&self, id: ConnectionId, tenant: u32, is_authenticated: bool) {
        self.admission.borrow_mut().on_request(self.now(), id, Some(tenant), is_authenticated);
    }

    fn on_response(&self, id: ConnectionId) -> bool {
        let decision = self.admission.borrow_mut().on_response(self.now(), id);
        self.apply(decision)
    }

    fn on_health_check_response(&self, id: ConnectionId) -> bool {
        let decision = self.admission.borrow_mut().on_health_check_response(self.now(), id);
        self.apply(decision)
    }

    fn on_close(&self, id: ConnectionId) {
        self.admission.borrow_mut().on_close(id);
        self.clients.borrow_mut().remove(&id);
        self.closed.notify_waiters();
    }
}
