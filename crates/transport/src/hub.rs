//! All connections of a balancer: whom to keep one to, when to call again, and what is refused.
//!
//! A balancer keeps connections to the two that follow it in the circle of names, so that however many there are each
//! has about four; others are called when there is something to say to them.

use crate::connection::{self, Ended, Open, Us};
use crate::frames::Message;
use crate::queue::Queue;
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

/// Strangers that may greet at once.
const GREETING_MOST: usize = 16;
/// Messages that may wait for their taker.
const INCOMING_MOST: usize = 64;
/// The first pause after a call that failed, and the longest.
const PAUSE: (Duration, Duration) = (Duration::from_millis(200), Duration::from_secs(10));
/// A connection that nobody needs stays for so long.
const IDLE: Duration = Duration::from_secs(30);
/// Pause after an accept that failed.
const ACCEPT_AGAIN: Duration = Duration::from_millis(50);

/// Counts for operators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Connections that are open.
    pub open: u64,
    /// Calls that failed.
    pub failed: u64,
    /// Connections that broke.
    pub broken: u64,
    /// Callers that were refused.
    pub refused: u64,
    /// Messages that came.
    pub messages: u64,
    /// Messages that were dropped since too many waited.
    pub dropped: u64,
}

/// Somebody that there is a connection to, or a call.
struct Way {
    queue: Queue,
    task: AbortHandle,
    /// When it was needed last.
    used: Instant,
}

/// All connections.
pub struct Hub {
    us: RefCell<Us>,
    addresses: BTreeMap<Name, SocketAddr>,
    /// Those that we call.
    dialled: RefCell<BTreeMap<Name, Way>>,
    /// Those that called us.
    accepted: RefCell<BTreeMap<Name, Way>>,
    starts: RefCell<BTreeMap<Name, u64>>,
    greeting: Cell<usize>,
    counts: Cell<Counts>,
    incoming: mpsc::Sender<(Name, Message)>,
}

impl Hub {
    /// One, and where messages come out.
    pub fn new(us: Us, addresses: BTreeMap<Name, SocketAddr>) -> (Rc<Self>, mpsc::Receiver<(Name, Message)>) {
        let (incoming, taker) = mpsc::channel(INCOMING_MOST);
        let hub = Self {
            us: RefCell::new(us),
            addresses,
            dialled: RefCell::default(),
            accepted: RefCell::default(),
            starts: RefCell::default(),
            greeting: Cell::new(0),
            counts: Cell::default(),
            incoming,
        };
        (Rc::new(hub), taker)
    }

    fn count(&self, what: impl FnOnce(&mut Counts)) {
        let mut counts = self.counts.get();
        what(&mut counts);
        self.counts.set(counts);
    }

    /// What was counted.
    pub fn counts(&self) -> Counts {
        let (dialled, accepted) = (self.dialled.borrow(), self.accepted.borrow());
        let dropped = dialled.values().chain(accepted.values()).map(|way| way.queue.dropped()).sum::<u64>();
        let counts = self.counts.get();
        Counts { dropped: counts.dropped + dropped, ..counts }
    }

    /// We go on under another start.
    pub fn renew(&self, start: u64) {
        self.us.borrow_mut().start = start;
    }

    /// The latest start that is known of a name: what is of an earlier one is refused, and ends.
    pub fn knows(&self, name: &Name, start: u64) {
        let mut starts = self.starts.borrow_mut();
        let known = starts.entry(name.clone()).or_default();
        *known = (*known).max(start);
    }

    /// Connections are kept to these, and others end when they are no longer used.
    pub fn keep(self: &Rc<Self>, names: &[Name]) {
        let now = Instant::now();
        for name in names {
            self.way(name, |way| way.used = now);
        }
        let over: Vec<Name> = self
            .dialled
            .borrow()
            .iter()
            .filter(|(_, way)| way.used.elapsed() > IDLE)
            .map(|(name, _)| name.clone())
            .collect();
        for name in over {
            self.drop_way(&name);
        }
    }

    fn drop_way(&self, name: &Name) {
        if let Some(way) = self.dialled.borrow_mut().remove(name) {
            way.task.abort();
            self.count(|counts| counts.dropped += way.queue.dropped());
        }
    }

    /// Sends, on whichever connection there is, or on one that is made for it.
    pub fn send(self: &Rc<Self>, to: &Name, message: Message) {
        if let Some(way) = self.accepted.borrow_mut().get_mut(to).filter(|way| !way.task.is_finished()) {
            way.queue.push(message);
            return;
        }
        self.way(to, |way| {
            way.used = Instant::now();
            way.queue.push(message);
        });
    }

    /// The way to somebody; it begins to call where there was none.
    fn way(self: &Rc<Self>, to: &Name, with: impl FnOnce(&mut Way)) {
        let Some(address) = self.addresses.get(to).copied() else { return };
        let mut dialled = self.dialled.borrow_mut();
        let way = dialled.entry(to.clone()).or_insert_with(|| {
            let queue = Queue::default();
            let call = Rc::clone(self).call(to.clone(), address, queue.clone());
            Way { queue, task: spawn_local(call).abort_handle(), used: Instant::now() }
        });
        with(way);
    }

    /// Calls again and again.
    async fn call(self: Rc<Self>, to: Name, address: SocketAddr, queue: Queue) {
        let mut pause = PAUSE.0;
        loop {
            let (us, known) = (self.us.borrow().clone(), self.starts.borrow().get(&to).copied());
            match connection::dial(&us, &to, address, known).await {
                Ok(open) => {
                    let begun = Instant::now();
                    self.knows(&to, open.start);
                    tracing::debug!(%to, "linked");
                    let ended = self.run(open, queue.clone()).await;
                    tracing::debug!(%to, "the link has ended: {ended}");
                    if begun.elapsed() > PAUSE.1 {
                        pause = PAUSE.0;
                    }
                }
                Err(e) => {
                    self.count(|counts| counts.failed += 1);
                    tracing::debug!(%to, "no link: {e}");
                }
            }
            sleep(pause.mul_f64(0.5 + 0.5 * fastrand::f64())).await;
            pause = (pause * 2).min(PAUSE.1);
        }
    }

    async fn run(&self, open: Open, queue: Queue) -> Ended {
        self.count(|counts| counts.open += 1);
        // Also where the task is ended from outside.
        let _open = Counted(self);
        let ended = open.run(queue, self.incoming.clone()).await;
        self.count(|counts| counts.broken += 1);
        ended
    }

    /// Takes callers, for good.
    pub async fn accept(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) if self.greeting.get() < GREETING_MOST => {
                    self.greeting.set(self.greeting.get() + 1);
                    spawn_local(Rc::clone(&self).greet(stream));
                }
                Ok(_) => self.count(|counts| counts.refused += 1),
                Err(e) => {
                    tracing::debug!("the tier's address: {e}");
                    sleep(ACCEPT_AGAIN).await;
                }
            }
        }
    }

    async fn greet(self: Rc<Self>, stream: TcpStream) {
        let us = self.us.borrow().clone();
        let greeted = connection::accept(
            &us,
            stream,
            |name| self.starts.borrow().get(name).copied(),
            |name| self.addresses.contains_key(name),
        )
        .await;
        self.greeting.set(self.greeting.get() - 1);
        let open = match greeted {
            Ok(open) => open,
            Err(e) => {
                self.count(|counts| counts.refused += 1);
                tracing::debug!("a caller is refused: {e}");
                return;
            }
        };
        let (name, queue) = (open.name.clone(), Queue::default());
        self.knows(&name, open.start);
        let hub = Rc::clone(&self);
        let task = spawn_local({
            let queue = queue.clone();
            async move { drop(hub.run(open, queue).await) }
        });
        let way = Way { queue, task: task.abort_handle(), used: Instant::now() };
        // A caller that calls again has lost its first connection, whatever this side thinks of it.
        if let Some(before) = self.accepted.borrow_mut().insert(name, way) {
            before.task.abort();
            self.count(|counts| counts.dropped += before.queue.dropped());
        }
    }
}

struct Counted<'a>(&'a Hub);

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        self.0.count(|counts| counts.open -= 1);
    }
}

/// The two that follow a name in the circle of all that are here.
pub fn successors<'a>(own: &Name, here: impl Iterator<Item = &'a Name>) -> Vec<Name> {
    let mut sorted: Vec<&Name> = here.filter(|name| *name != own).collect();
    sorted.sort_unstable();
    let after = sorted.partition_point(|name| *name < own);
    (0..sorted.len().min(2)).map(|n| sorted[(after + n) % sorted.len()].clone()).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_circle_links_all() {
        let names: Vec<Name> = ["a", "b", "c", "d"].map(|n| Name::new(n).unwrap()).into();
        let of =
            |n: usize| successors(&names[n], names.iter()).iter().map(|n| n.to_string()).collect::<String>();
        assert_eq!((of(0), of(2), of(3)), ("bc".into(), "da".into(), "ab".into()));
        assert_eq!(successors(&names[0], names[..2].iter()), [names[1].clone()]);
        assert!(successors(&names[0], names[..1].iter()).is_empty());
    }
}
