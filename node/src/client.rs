//! One client's connection: how far it has come, and what its bytes tell before a request is made of them.

use crate::framing::Framing;
use crate::server::End;
use maplehook::label::Label;
use maplehook::parts::body::Pace;
use maplehook_admission::ConnId;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// The time from the connection, or from a later request's first byte, to the request's last byte, and the bytes a second
/// that add to it: a client may be slow, as long as it moves on.
const READ_MOST: Duration = Duration::from_secs(5);
const READ_RATE: f64 = 8.0 * 1024.0;
/// A connection on which nothing has been asked for so long is closed.
const IDLE_MOST: Duration = Duration::from_secs(6);
/// An answer that has been written for so long has been read, or its client holds up what comes after it.
const READ_BY_NOW: Duration = Duration::from_secs(3);
/// Between two looks at a connection on which a request may begin at any time.
const LOOK_EVERY: Duration = Duration::from_millis(500);
/// Time for the word on why a request that did not come whole is not answered.
const PROMPT: Duration = Duration::from_millis(250);
/// How far a connection has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stand {
    /// Nothing of use has come on it yet.
    New,
    /// The head of a request is here, the rest of it is not.
    Reading,
    /// A request is owed its answer.
    Held,
    /// The last request has its answer.
    Idle,
}

/// What an answer was to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Question {
    /// A request.
    Request,
    /// Our health.
    Health,
    /// What is no request.
    Unfit,
}

/// Who is told what clients do.
pub trait Keeper {
    /// A part of a request has come.
    fn came(&self, id: ConnId);
    /// A request is whole and fit.
    fn held(&self, id: ConnId, tenant: u32, vouched: bool);
    /// A request has its answer; `true`: the connection ends with it.
    fn answered(&self, id: ConnId) -> bool;
    /// A question that is no request has its answer; `true`: the connection ends with it.
    fn checked(&self, id: ConnId) -> bool;
    /// A connection has ended.
    fn left(&self, id: ConnId);
}

/// What is known of a client's connection.
pub struct Client {
    keeper: Rc<dyn Keeper>,
    id: ConnId,
    stand: Cell<Stand>,
    /// Whether a request of it was ever fit to be answered.
    useful: Cell<bool>,
    /// Since when nothing of use has come, or since the last answer.
    since: Cell<Instant>,
    /// When the request that is being read began, and what has come since.
    begun: Cell<Option<Instant>>,
    came: Cell<usize>,
    /// When its last byte came.
    heard: Cell<Instant>,
    /// What it calls its last request, for the log.
    label: Cell<Label>,
    /// Where its requests begin and end, and whether the head of the one in hand hides a length.
    framing: RefCell<Framing>,
    hides_a_length: Cell<bool>,
    /// How long it may leave an answer unread, and since when it does.
    stall: Duration,
    blocked: Cell<Option<Instant>>,
    /// Told when it is to make room, and whether it was.
    close: Notify,
    told: Cell<bool>,
}

impl Client {
    /// One that has just been let in under this name.
    pub fn new(keeper: Rc<dyn Keeper>, id: ConnId, stall: Duration) -> Self {
        Self {
            keeper,
            id,
            stall,
            blocked: Cell::new(None),
            stand: Cell::new(Stand::New),
            useful: Cell::new(false),
            since: Cell::new(Instant::now()),
            begun: Cell::new(None),
            came: Cell::new(0),
            heard: Cell::new(Instant::now()),
            label: Cell::default(),
            framing: RefCell::default(),
            hides_a_length: Cell::new(false),
            close: Notify::new(),
            told: Cell::new(false),
        }
    }

    /// How far it has come.
    pub fn stand(&self) -> Stand {
        self.stand.get()
    }

    /// A head has come, of a request that its client calls by this label. Returns how fast the rest has to come.
    pub fn reads(&self, label: Label) -> Pace {
        self.label.set(label);
        self.hides_a_length.set(self.framing.borrow_mut().next());
        let begun = self.begun.take().unwrap_or_else(Instant::now);
        let begun = if self.stand.replace(Stand::Reading) == Stand::New { self.since.get() } else { begun };
        self.begun.set(Some(begun));
        self.pace(begun)
    }

    fn pace(&self, begun: Instant) -> Pace {
        Pace { begun, grace: READ_MOST, rate: READ_RATE }
    }

    /// When what began then has to have come so far as to go on.
    fn read_by(&self, begun: Instant) -> Instant {
        self.pace(begun).due(self.came.get())
    }

    /// The request is here whole and fit to be answered. `vouched`: it shows that its client is known.
    pub fn holds(&self, tenant: u32, vouched: bool) {
        self.begun.set(None);
        self.stand.set(Stand::Held);
        self.keeper.held(self.id, tenant, vouched);
    }

    /// The answer is made; `true`: the connection ends with it. A client that has only sent what is unfit
    /// stays as new as it was.
    pub fn answered(&self, question: Question) -> bool {
        self.begun.set(None);
        self.came.set(0);
        self.useful.set(self.useful.get() || question == Question::Request);
        if self.useful.get() || question == Question::Health {
            self.stand.set(Stand::Idle);
            self.since.set(Instant::now());
        } else {
            self.stand.set(Stand::New);
        }
        match question {
            Question::Request => self.keeper.answered(self.id),
            Question::Health | Question::Unfit => self.keeper.checked(self.id),
        }
    }

    /// The connection has ended.
    pub fn leaves(&self) {
        self.keeper.left(self.id);
    }

    /// Whether the head that is read names a length beside its encoding: hyper does not show that one.
    pub fn hides_a_length(&self) -> bool {
        self.hides_a_length.get()
    }

    /// Whether the next request has begun to come behind the one that is answered.
    pub fn has_more(&self) -> bool {
        self.framing.borrow().has_more()
    }

    /// Whether a whole request stands behind the one that is answered: it is owed its answer too.
    pub fn has_whole(&self) -> bool {
        self.framing.borrow().has_whole()
    }

    /// When the last byte came of the request that is read, where that can be told.
    pub fn whole_at(&self) -> Option<Instant> {
        self.framing.borrow().whole_at()
    }

    /// Whether a part of a request has come that is not whole yet.
    pub fn is_writing(&self) -> bool {
        self.stand.get() == Stand::Reading || (self.stand.get() != Stand::Held && self.has_more())
    }

    /// When it is to be closed, as things stand.
    fn due(&self) -> Option<Instant> {
        match (self.stand.get(), self.begun.get()) {
            (Stand::New, _) => Some(self.read_by(self.since.get())),
            // A bit more: the answer says why.
            (Stand::Reading, Some(begun)) => Some(self.read_by(begun) + PROMPT),
            (Stand::Idle, Some(begun)) => Some(self.read_by(begun)),
            (Stand::Idle, None) => Some(self.since.get() + IDLE_MOST),
            // An answer that streams waits for its reader, but not for ever.
            (Stand::Held, _) => self.blocked.get().and_then(|since| since.checked_add(self.stall)),
            (Stand::Reading, None) => None,
        }
    }

    /// Why it is to end, where it has had all the time that it may take for what it does.
    pub fn overdue_for(&self) -> Option<End> {
        let end = match self.stand.get() {
            Stand::New if self.came.get() == 0 => End::Silent,
            Stand::New | Stand::Reading => End::Stopped,
            Stand::Idle if self.is_writing() => End::Stopped,
            Stand::Idle => End::Rested,
            Stand::Held => End::Unread,
        };
        self.due().filter(|due| *due <= Instant::now()).map(|_| end)
    }

    /// Since when nothing has come from it.
    pub fn silence(&self) -> Duration {
        self.heard.get().elapsed()
    }

    /// What it calls its last request.
    pub fn label(&self) -> Label {
        self.label.get()
    }

    /// How many bytes have come since its last answer.
    pub fn came_since_answer(&self) -> usize {
        self.came.get()
    }

    /// Whether its last answer lies so far back that it has long been read.
    pub fn has_rested(&self) -> bool {
        self.stand.get() == Stand::Idle && self.since.get().elapsed() > READ_BY_NOW
    }

    /// Whether it has left an answer unread for too long.
    pub fn is_stalled(&self) -> bool {
        self.blocked.get().is_some_and(|since| since.elapsed() >= self.stall)
    }

    /// Bytes for it were taken by the kernel, or were not.
    pub fn wrote<T>(&self, poll: Poll<T>) -> Poll<T> {
        let blocked = match (&poll, self.blocked.get()) {
            (Poll::Ready(_), _) => None,
            (Poll::Pending, since) => Some(since.unwrap_or_else(Instant::now)),
        };
        self.blocked.set(blocked);
        poll
    }

    /// Waits until it has to make room, or has had all the time that it may take for what it does.
    pub async fn is_to_end(&self) {
        tokio::select! {
            () = self.close.notified() => (),
            () = self.overdue() => (),
        }
    }

    async fn overdue(&self) {
        loop {
            let (now, due) = (Instant::now(), self.due());
            if due.is_some_and(|due| due <= now) {
                return;
            }
            let look = now + LOOK_EVERY;
            let until = match due {
                Some(due) if self.stand.get() == Stand::New => due,
                due => due.map_or(look, |due| due.min(look)),
            };
            tokio::time::sleep_until(until).await;
        }
    }

    /// Has it make room.
    pub fn end(&self) {
        self.told.set(true);
        self.close.notify_one();
    }

    /// Whether it has to make room.
    pub fn is_told(&self) -> bool {
        self.told.get()
    }

    /// Waits until it has to make room.
    pub async fn told(&self) {
        if !self.told.get() {
            self.close.notified().await;
        }
    }

    /// These bytes have come from it, whoever reads them when.
    pub fn arrived(&self, bytes: &[u8]) {
        let now = Instant::now();
        self.heard.set(now);
        self.framing.borrow_mut().came(bytes, now);
    }

    /// So many bytes are taken in as a part of a request.
    pub fn took(&self, bytes: usize) {
        if bytes == 0 {
            return;
        }
        if self.stand.get() == Stand::Idle && self.begun.get().is_none() {
            self.begun.set(Some(Instant::now()));
        }
        if self.stand.get() != Stand::Held {
            self.keeper.came(self.id);
        }
        self.came.set(self.came.get().saturating_add(bytes));
    }
}

#[cfg(test)]
pub mod tests {
    use super::*;

    struct Nobody;

    impl Keeper for Nobody {
        fn came(&self, _: ConnId) {}
        fn held(&self, _: ConnId, _: u32, _: bool) {}
        fn answered(&self, _: ConnId) -> bool {
            false
        }
        fn checked(&self, _: ConnId) -> bool {
            false
        }
        fn left(&self, _: ConnId) {}
    }

    /// A client of which nobody is told.
    pub fn alone() -> Rc<Client> {
        let mut door = maplehook_admission::Door::new(maplehook_admission::Policy::default(), 10, &[], 7);
        let arrival = door.arrive(Duration::ZERO, "127.0.0.1".parse().unwrap());
        let maplehook_admission::Arrival::Kept { id, .. } = arrival else { panic!("refused") };
        Rc::new(Client::new(Rc::new(Nobody), id, READ_MOST))
    }
}
