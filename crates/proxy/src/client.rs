//! One client's connection: how far it has come, and what its bytes tell before a request is made of them.

mod progress;

pub use progress::Allowance;

use crate::framing::Framing;
use crate::server::End;
use maplehook::label::Label;
use maplehook_admission::ConnectionId;
use progress::{PROMPT, Progress};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// A connection on which nothing has been asked for so long is closed.
const IDLE_MOST: Duration = Duration::from_secs(6);
/// An answer that has been written for so long has been read, or its client holds up what comes after it.
const READ_BY_NOW: Duration = Duration::from_secs(3);
/// Between two looks at a connection on which a request may begin at any time.
const LOOK_EVERY: Duration = Duration::from_millis(500);
/// The attempt that has a body which stops tells its client so; after this its connection does.
const WORDING: Duration = Duration::from_millis(50);
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
    fn came(&self, id: ConnectionId);
    /// A request is whole and fit.
    fn held(&self, id: ConnectionId, tenant: u32, vouched: bool);
    /// A request has its answer; `true`: the connection ends with it.
    fn answered(&self, id: ConnectionId) -> bool;
    /// A question that is no request has its answer; `true`: the connection ends with it.
    fn checked(&self, id: ConnectionId) -> bool;
    /// A connection has ended.
    fn left(&self, id: ConnectionId);
}

/// What is known of a client's connection.
pub struct Client {
    keeper: Rc<dyn Keeper>,
    id: ConnectionId,
    stand: Cell<Stand>,
    /// Whether a request of it was ever fit to be answered.
    useful: Cell<bool>,
    /// Since when nothing of use has come, or since the last answer.
    since: Cell<Instant>,
    progress: Progress,
    /// How long nothing may come of the body that streams, where the request in hand has one and no answer yet.
    upload: Cell<Option<Duration>>,
    upload_begins: Notify,
    /// Whether it has been told that its request did not come in time.
    cut_short: Cell<bool>,
    /// What it calls its last request, for the log.
    label: Cell<Label>,
    /// Where its requests begin and end, and whether the head of the one in hand hides a length.
    framing: RefCell<Framing>,
    hides_a_length: Cell<bool>,
    /// Told when it is to make room, and whether it was.
    close: Notify,
    told: Cell<bool>,
}

impl Client {
    /// One that has just been let in under this name.
    pub fn new(keeper: Rc<dyn Keeper>, id: ConnectionId, allowance: Allowance) -> Self {
        Self {
            keeper,
            id,
            progress: Progress::new(allowance),
            upload: Cell::new(None),
            upload_begins: Notify::new(),
            cut_short: Cell::new(false),
            stand: Cell::new(Stand::New),
            useful: Cell::new(false),
            since: Cell::new(Instant::now()),
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

    /// A head has come, of a request that its client calls by this label.
    pub fn reads(&self, label: Label) {
        self.label.set(label);
        self.hides_a_length.set(self.framing.borrow_mut().next());
        let begun = self.progress.begun().unwrap_or_else(Instant::now);
        let begun = if self.stand.replace(Stand::Reading) == Stand::New { self.since.get() } else { begun };
        self.progress.begin(begun);
    }

    /// The request is here and fit to be answered, whole or with a body that streams, of which nothing may come for as long
    /// as `upload` says. `vouched`: it shows that its client is known.
    pub fn holds(&self, tenant: u32, vouched: bool, upload: Option<Duration>) {
        self.progress.end();
        self.upload.set(upload);
        if upload.is_some() {
            self.upload_begins.notify_one();
        }
        self.stand.set(Stand::Held);
        self.keeper.held(self.id, tenant, vouched);
    }

    /// The answer is made; `true`: the connection ends with it. A client that has only sent what is unfit
    /// stays as new as it was.
    pub fn answered(&self, question: Question) -> bool {
        self.progress.restart();
        self.upload.set(None);
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

    /// The answer has come: what its client still sends of its request is not waited for.
    pub fn has_answer(&self) {
        self.upload.set(None);
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

    /// Whether it is owed no answer and has sent a part of a request that is not whole. One that does not read its last
    /// answer is not asked for the rest.
    fn is_midway(&self) -> bool {
        match self.stand.get() {
            Stand::Reading => true,
            Stand::New | Stand::Idle => !self.progress.is_blocked() && self.framing.borrow().has_part(),
            Stand::Held => false,
        }
    }

    /// How long nothing may come of the rest of the body that streams, where it has not come whole.
    fn uploads(&self) -> Option<Duration> {
        self.upload.get().filter(|_| self.framing.borrow().awaits_body())
    }

    /// When it is to be closed, as things stand.
    fn due(&self) -> Option<Instant> {
        let begun = self.progress.begun().unwrap_or(self.since.get());
        match self.stand.get() {
            Stand::New => Some(self.progress.read_by(self.since.get())),
            // A bit more: the answer says why.
            Stand::Reading => Some(self.progress.read_by(begun) + PROMPT),
            Stand::Idle if self.is_midway() => Some(self.progress.read_by(begun)),
            Stand::Idle => Some(self.since.get() + IDLE_MOST),
            // An answer that streams waits for its reader, but not for ever.
            Stand::Held => self.progress.unread_by().or_else(|| self.upload_by()),
        }
    }

    /// Until when the body that streams has to go on.
    fn upload_by(&self) -> Option<Instant> {
        self.uploads().map(|silence| self.progress.silent_by(silence) + WORDING)
    }

    /// Waits until a body begins to stream.
    pub async fn upload_begins(&self) {
        self.upload_begins.notified().await;
    }

    /// Whether more is to come of a body that streams.
    pub fn is_uploading(&self) -> bool {
        self.uploads().is_some()
    }

    /// Why it is to end, where it has had all the time that it may take for what it does.
    pub fn overdue_for(&self) -> Option<End> {
        let end = match self.stand.get() {
            _ if self.is_midway() => End::Stopped,
            Stand::Held if self.progress.unread_by().is_none() => End::Stopped,
            Stand::Held => End::Unread,
            Stand::New => End::Silent,
            Stand::Reading | Stand::Idle => End::Rested,
        };
        self.due().filter(|due| *due <= Instant::now()).map(|_| end)
    }

    /// Until when more has to come of the request that is being read.
    pub fn read_by(&self) -> Option<Instant> {
        self.progress.begun().map(|begun| self.progress.read_by(begun))
    }

    /// Whether it has stopped in the middle of a request that it is owed no answer to, and has had its time.
    pub fn has_stopped(&self) -> bool {
        self.overdue_for() == Some(End::Stopped)
    }

    /// It is told that its request did not come in time.
    pub fn is_cut_short(&self) {
        self.cut_short.set(true);
    }

    /// Whether it was told so.
    pub fn was_cut_short(&self) -> bool {
        self.cut_short.get()
    }

    /// How long nothing has come from it.
    pub fn silence(&self) -> Duration {
        self.progress.silence()
    }

    /// What it calls its last request.
    pub fn label(&self) -> Label {
        self.label.get()
    }

    /// How many bytes have come since its last answer.
    pub fn came_since_answer(&self) -> usize {
        self.progress.came()
    }

    /// Whether its last answer lies so far back that it has long been read.
    pub fn has_rested(&self) -> bool {
        self.stand.get() == Stand::Idle && self.since.get().elapsed() > READ_BY_NOW
    }

    /// Whether it has left an answer unread for too long.
    pub fn is_stalled(&self) -> bool {
        self.progress.unread_by().is_some_and(|by| by <= Instant::now())
    }

    /// Bytes for it were taken by the kernel, or were not.
    pub fn wrote<T>(&self, poll: Poll<T>) -> Poll<T> {
        self.progress.wrote(&poll);
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
        self.progress.hears(now);
        self.framing.borrow_mut().came(bytes, now);
    }

    /// Bytes of it wait that nobody has read.
    pub fn has_unread(&self) {
        self.progress.hears(Instant::now());
    }

    /// So many bytes are taken in as a part of a request.
    pub fn took(&self, bytes: usize) {
        if bytes == 0 {
            return;
        }
        if self.stand.get() == Stand::Idle && self.progress.begun().is_none() {
            self.progress.begin(Instant::now());
        }
        if self.stand.get() != Stand::Held {
            self.keeper.came(self.id);
        }
        self.progress.took(bytes);
    }
}

#[cfg(test)]
pub mod tests;
