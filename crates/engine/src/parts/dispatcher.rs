//! The desk: where requests come in. One that must not run twice and can be known again goes through the ledger.

use crate::ledger::{Bounds, BoundsError, Ending, EntryId, Identity, Ledger, Opened, Waiter};
use crate::parts::answer::UpstreamResponse;
use crate::parts::driver::{Answer, Driver, RequestContext, Trace};
use crate::tally::{Counting, Tally};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Notify, oneshot};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep_until};

/// When somebody may come back for whom the ledger has no room.
const COME_BACK: Duration = Duration::from_secs(1);

type Told = (Answer, Trace);

/// An answer as the ledger keeps it.
struct Kept {
    served: UpstreamResponse,
    trace: Trace,
}

impl Kept {
    fn told(&self) -> Told {
        self.served.copy().map_or((Answer::Failed, self.trace), |served| (Answer::Served(served), self.trace))
    }
}

/// Where requests come in.
pub struct Dispatcher {
    driver: Rc<Driver>,
    counting: Rc<Counting>,
    ledger: RefCell<Ledger<Rc<Kept>>>,
    waiting: RefCell<HashMap<Waiter, oneshot::Sender<Told>>>,
    next: Cell<Waiter>,
    inside: Cell<usize>,
    left: Notify,
}

/// Counts as inside until it is dropped.
pub struct InFlightGuard(Rc<Dispatcher>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let inside = self.0.inside.get() - 1;
        self.0.inside.set(inside);
        if inside == 0 {
            self.0.left.notify_waiters();
        }
    }
}

/// Somebody who waits for an entry's ending, until it is dropped.
struct Waits {
    desk: Rc<Dispatcher>,
    entry: EntryId,
    waiter: Waiter,
}

impl Drop for Waits {
    fn drop(&mut self) {
        if self.desk.waiting.borrow_mut().remove(&self.waiter).is_some() {
            self.desk.ledger.borrow_mut().left(self.entry, self.waiter);
        }
    }
}

impl Dispatcher {
    /// One before this driver; it counts what it is asked.
    pub fn new(
        driver: Rc<Driver>,
        counting: Rc<Counting>,
        bounds: Bounds,
        seed: u64,
    ) -> Result<Rc<Self>, BoundsError> {
        Ok(Rc::new(Self {
            driver,
            counting,
            ledger: RefCell::new(Ledger::new(bounds, seed)?),
            waiting: RefCell::default(),
            next: Cell::new(0),
            inside: Cell::new(0),
            left: Notify::new(),
        }))
    }

    /// The driver behind it.
    pub fn driver(&self) -> &Rc<Driver> {
        &self.driver
    }

    /// The figures that it counts in.
    pub fn tally(&self) -> &Tally {
        self.counting.tally()
    }

    /// Somebody is inside from now on.
    pub fn track(self: &Rc<Self>) -> InFlightGuard {
        self.inside.set(self.inside.get() + 1);
        InFlightGuard(Rc::clone(self))
    }

    /// Waits until nobody is inside.
    pub async fn wait_until_idle(&self) {
        loop {
            let left = self.left.notified();
            if self.inside.get() == 0 {
                return;
            }
            left.await;
        }
    }

    /// The final answer to a request. When this is dropped before, the client has gone: what is out is called back,
    /// but for what has an identity, which goes on, so that whoever asks again has its answer.
    pub async fn dispatch(self: &Rc<Self>, asked: RequestContext, identity: Option<Identity>) -> Told {
        let owed = self.counting.taken(asked.class, asked.tenant);
        let (mut answer, trace) = self.answer(asked, identity).await;
        owed.answered(&mut answer);
        (answer, trace)
    }

    async fn answer(self: &Rc<Self>, asked: RequestContext, identity: Option<Identity>) -> Told {
        let Some(identity) = identity else { return self.driver.submit(asked).answer().await };
        let (waiter, deadline) = (self.next.replace(self.next.get() + 1), asked.deadline);
        let opened = self.ledger.borrow_mut().open(self.driver.now(), &identity, waiter);
        let entry = match opened {
            Opened::First(entry) => {
                let (desk, inside) = (Rc::clone(self), self.track());
                spawn_local(async move {
                    let (answer, trace) = desk.driver.submit(asked).answer().await;
                    desk.finish(entry, answer, trace);
                    drop(inside);
                });
                entry
            }
            Opened::Joined(entry) => entry,
            Opened::Ended(ending) => return told(&ending),
            Opened::Crowded | Opened::Full => return (Answer::Rejected(Some(COME_BACK)), Trace::default()),
        };
        self.wait(entry, waiter, deadline).await
    }

    async fn wait(self: &Rc<Self>, entry: EntryId, waiter: Waiter, deadline: Instant) -> Told {
        const FAILED: Told = (Answer::Failed, Trace { attempts: 0, upstream: None });
        let (reply, answer) = oneshot::channel();
        self.waiting.borrow_mut().insert(waiter, reply);
        let _waits = Waits { desk: Rc::clone(self), entry, waiter };
        tokio::select! {
            biased;
            answer = answer => answer.unwrap_or(FAILED),
            // The first may wait longer than this one does. It may have run.
            () = sleep_until(deadline + Duration::from_millis(50)) => FAILED,
        }
    }

    fn finish(&self, entry: EntryId, answer: Answer, trace: Trace) {
        let (ending, length) = match &answer {
            Answer::Served(served) => match (served.copy(), served.length()) {
                (Some(served), Some(length)) => (Ending::Served(Rc::new(Kept { served, trace })), length),
                _ => (Ending::ServedNotKept, 0),
            },
            Answer::Rejected(_) => (Ending::Refused, 0),
            Answer::Failed => (Ending::Failed, 0),
        };
        // Whoever waits has it, also where it is too long to be kept.
        let others = ending.clone();
        let waiters = self.ledger.borrow_mut().ended(self.driver.now(), entry, ending, length);
        let mut answer = Some((answer, trace));
        for waiter in waiters {
            let Some(reply) = self.waiting.borrow_mut().remove(&waiter) else { continue };
            let _ = reply.send(answer.take().unwrap_or_else(|| told(&others)));
        }
    }
}

/// What one is told who asks again for what has ended.
fn told(ending: &Ending<Rc<Kept>>) -> Told {
    match ending {
        Ending::Served(kept) => kept.told(),
        Ending::ServedNotKept | Ending::Failed => (Answer::Failed, Trace::default()),
        Ending::Refused => (Answer::Rejected(Some(COME_BACK)), Trace::default()),
    }
}
