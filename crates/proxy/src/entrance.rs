//! Carries out what the door decides: it knows the clients behind the door's names.

use crate::client::{Allowance, Client, Keeper};
use maplehook_admission::address::Networks;
use maplehook_admission::{After, Arrival, ConnId, Door, Reason, Refusal};
use rustc_hash::FxHashMap;
use std::cell::RefCell;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// The door and the clients that it has let in.
pub struct Entrance {
    start: Instant,
    door: RefCell<Door>,
    clients: RefCell<FxHashMap<ConnId, Rc<Client>>>,
    left: Notify,
    /// How long clients may leave things undone.
    allowance: Allowance,
}

impl Entrance {
    /// One with nobody in it.
    pub fn new(door: Door, allowance: Allowance) -> Rc<Self> {
        Rc::new(Self {
            start: Instant::now(),
            door: RefCell::new(door),
            clients: RefCell::default(),
            left: Notify::new(),
            allowance,
        })
    }

    fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Someone has connected: the client, and whether another was told to end for it; or why it is refused.
    pub fn arrive(self: &Rc<Self>, address: IpAddr) -> Result<(Rc<Client>, bool), Refusal> {
        let arrival = self.door.borrow_mut().arrive(self.now(), address);
        match arrival {
            Arrival::Kept { id, ends } => {
                let keeper = Rc::clone(self) as Rc<dyn Keeper>;
                let client = Rc::new(Client::new(keeper, id, self.allowance));
                self.clients.borrow_mut().insert(id, Rc::clone(&client));
                self.end(ends);
                Ok((client, ends.is_some()))
            }
            Arrival::Refused(refusal) => Err(refusal),
        }
    }

    /// Why nobody can be let in at all now.
    pub fn refuse(&self, reason: Reason) -> Refusal {
        self.door.borrow_mut().refuse(self.now(), reason)
    }

    /// There are this many places from now on.
    pub fn resize(&self, places: usize) {
        self.door.borrow_mut().resize(places);
        loop {
            let excess = self.door.borrow_mut().excess(self.now());
            if excess.is_none() {
                break;
            }
            self.end(excess);
        }
    }

    /// The tenants are guaranteed this from now on.
    pub fn guarantee(&self, guarantees: &[f64]) {
        self.door.borrow_mut().guarantee(guarantees);
    }

    /// Clients from there are known from now on, beside those of the own file.
    pub fn know(&self, networks: Networks) {
        self.door.borrow_mut().know(networks);
    }

    /// Ends one connection that may end, for its descriptor; `false` if there is none.
    pub fn shed(&self) -> bool {
        let shed = self.door.borrow_mut().shed(self.now());
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

    fn follow(&self, after: After) -> bool {
        self.end(after.ends);
        after.close
    }

    fn end(&self, id: Option<ConnId>) {
        if let Some(client) = id.and_then(|id| self.clients.borrow().get(&id).cloned()) {
            client.end();
        }
    }
}

impl Keeper for Entrance {
    fn came(&self, id: ConnId) {
        self.door.borrow_mut().came(self.now(), id);
    }

    fn held(&self, id: ConnId, tenant: u32, vouched: bool) {
        self.door.borrow_mut().held(self.now(), id, Some(tenant), vouched);
    }

    fn answered(&self, id: ConnId) -> bool {
        let after = self.door.borrow_mut().answered(self.now(), id);
        self.follow(after)
    }

    fn checked(&self, id: ConnId) -> bool {
        let after = self.door.borrow_mut().checked(self.now(), id);
        self.follow(after)
    }

    fn left(&self, id: ConnId) {
        self.door.borrow_mut().left(id);
        self.clients.borrow_mut().remove(&id);
        self.left.notify_waiters();
    }
}
