//! Carries out the decisions of connection admission: it knows the clients behind the ids of connections.

use crate::client::{Allowance, Client, Keeper};
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

/// Connection admission and the clients that it has admitted.
pub struct Entrance {
    start: Instant,
    admission: RefCell<ConnectionAdmission>,
    clients: RefCell<FxHashMap<ConnectionId, Rc<Client>>>,
    left: Notify,
    /// How long clients may leave things undone.
    allowance: Allowance,
}

impl Entrance {
    /// One with nobody in it.
    pub fn new(admission: ConnectionAdmission, allowance: Allowance) -> Rc<Self> {
        Rc::new(Self {
            start: Instant::now(),
            admission: RefCell::new(admission),
            clients: RefCell::default(),
            left: Notify::new(),
            allowance,
        })
    }

    fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Someone has connected: the client, and whether another was told to end for it; or why it is refused.
    pub fn arrive(self: &Rc<Self>, address: IpAddr) -> Result<(Rc<Client>, bool), Rejection> {
        let decision = self.admission.borrow_mut().admit(self.now(), address);
        match decision {
            AdmissionDecision::Admitted { id, evicted } => {
                let keeper = Rc::clone(self) as Rc<dyn Keeper>;
                let client = Rc::new(Client::new(keeper, id, self.allowance));
                self.clients.borrow_mut().insert(id, Rc::clone(&client));
                self.end(evicted);
                Ok((client, evicted.is_some()))
            }
            AdmissionDecision::Rejected(rejection) => Err(rejection),
        }
    }

    /// Why nobody can be let in at all now.
    pub fn refuse(&self, reason: RejectionReason) -> Rejection {
        self.admission.borrow_mut().reject(self.now(), reason)
    }

    /// There are this many places from now on.
    pub fn resize(&self, places: usize) {
        self.admission.borrow_mut().set_capacity(places);
        loop {
            let excess = self.admission.borrow_mut().evict_excess(self.now());
            if excess.is_none() {
                break;
            }
            self.end(excess);
        }
    }

    /// The tenants are guaranteed this from now on.
    pub fn guarantee(&self, guarantees: &[f64]) {
        self.admission.borrow_mut().set_tenant_guarantees(guarantees);
    }

    /// Clients from there are known from now on, beside those of the own file.
    pub fn know(&self, networks: NetworkSet) {
        self.admission.borrow_mut().set_known_networks(networks);
    }

    /// Ends one connection that may end, for its descriptor; `false` if there is none.
    pub fn shed(&self) -> bool {
        let shed = self.admission.borrow_mut().evict_one(self.now());
        self.end(shed);
        shed.is_some()
    }

    /// Waits until nobody is in it.
    pub async fn is_empty(&self) {
        loop {
            let left = self.left.notified();
            if self.clients.borrow().is_empty() {
                return;
            }
            left.await;
        }
    }

    fn follow(&self, decision: ResponseDecision) -> bool {
        self.end(decision.evicted);
        decision.should_close
    }

    fn end(&self, id: Option<ConnectionId>) {
        if let Some(client) = id.and_then(|id| self.clients.borrow().get(&id).cloned()) {
            client.end();
        }
    }
}

impl Keeper for Entrance {
    fn came(&self, id: ConnectionId) {
        self.admission.borrow_mut().on_bytes(self.now(), id);
    }

    fn held(&self, id: ConnectionId, tenant: u32, vouched: bool) {
        self.admission.borrow_mut().on_request(self.now(), id, Some(tenant), vouched);
    }

    fn answered(&self, id: ConnectionId) -> bool {
        let decision = self.admission.borrow_mut().on_response(self.now(), id);
        self.follow(decision)
    }

    fn checked(&self, id: ConnectionId) -> bool {
        let decision = self.admission.borrow_mut().on_health_check_response(self.now(), id);
        self.follow(decision)
    }

    fn left(&self, id: ConnectionId) {
        self.admission.borrow_mut().on_close(id);
        self.clients.borrow_mut().remove(&id);
        self.left.notify_waiters();
    }
}
