//! One client's connection: how far it has come, and what its bytes tell before a request is made of them.

use maplehook_admission::ConnId;
use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Instant;

/// The longest time from the connection, or from a later request's first byte, to the request's last byte.
pub const READ_MOST: Duration = Duration::from_secs(2);
/// A connection on which nothing has been asked for so long is closed.
const IDLE_MOST: Duration = Duration::from_secs(6);
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
    /// A request begins on a connection between two.
    fn began(&self, id: ConnId);
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
    /// When the request that is being read began.
    begun: Cell<Option<Instant>>,
    /// Lines that have come so far and begin with the name of [`LENGTH`], and those of them accounted for.
    lengths: Cell<u64>,
    accounted: Cell<u64>,
    matched: Cell<usize>,
    /// How long it may leave an answer unread, and since when it does.
    stall: Duration,
    blocked: Cell<Option<Instant>>,
    /// Told when it is to make room.
    close: Notify,
}

const LENGTH: &[u8] = b"content-length";
/// The rest of the line is no header's name, or was looked at.
const SKIP: usize = usize::MAX;

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
            lengths: Cell::new(0),
            accounted: Cell::new(0),
            matched: Cell::new(0),
            close: Notify::new(),
        }
    }

    /// How far it has come.
    pub fn stand(&self) -> Stand {
        self.stand.get()
    }

    /// A head has come. Returns when the request has to be whole.
    pub fn reads(&self) -> Instant {
        let begun = self.begun.take().unwrap_or_else(Instant::now);
        let begun = if self.stand.replace(Stand::Reading) == Stand::New { self.since.get() } else { begun };
        self.begun.set(Some(begun));
        begun + READ_MOST
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

    /// Whether a head names a length that hyper does not show: it drops `Content-Length` where there is
    /// `Transfer-Encoding` too, in either order. `shown` are those that it does show. Where in doubt, as
    /// with lines of an earlier body that look alike, they are taken for hidden.
    pub fn hides_a_length(&self, shown: usize) -> bool {
        let accounted = self.accounted.get() + shown as u64;
        self.accounted.set(accounted);
        self.lengths.get() > accounted
    }

    /// When it is to be closed, as things stand.
    fn due(&self) -> Option<Instant> {
        match (self.stand.get(), self.begun.get()) {
            (Stand::New, _) => Some(self.since.get() + READ_MOST),
            // A bit more: the answer says why.
            (Stand::Reading, Some(begun)) => Some(begun + READ_MOST + PROMPT),
            (Stand::Idle, Some(begun)) => Some(begun + READ_MOST),
            (Stand::Idle, None) => Some(self.since.get() + IDLE_MOST),
            // An answer that streams waits for its reader, but not for ever.
            (Stand::Held, _) => self.blocked.get().and_then(|since| since.checked_add(self.stall)),
            (Stand::Reading, None) => None,
        }
    }

    /// Whether it has left an answer unread for too long.
    pub fn is_stalled(&self) -> bool {
        self.blocked.get().is_some_and(|since| since.elapsed() >= self.stall)
    }

    /// Bytes for it were taken by the kernel, or were not.
    fn wrote<T>(&self, poll: Poll<T>) -> Poll<T> {
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
        self.close.notify_one();
    }

    fn came(&self, mut bytes: &[u8]) {
        if bytes.is_empty() {
            return;
        }
        if self.stand.get() == Stand::Idle && self.begun.get().is_none() {
            self.begun.set(Some(Instant::now()));
            self.keeper.began(self.id);
        }
        let mut matched = self.matched.get();
        while let Some(byte) = bytes.first() {
            if LENGTH.get(matched).is_some_and(|b| *b == byte.to_ascii_lowercase()) {
                (matched, bytes) = (matched + 1, &bytes[1..]);
                if matched == LENGTH.len() {
                    self.lengths.set(self.lengths.get() + 1);
                }
            } else if let Some(n) = memchr::memchr(b'\n', bytes) {
                (matched, bytes) = (0, &bytes[n + 1..]);
            } else {
                (matched, bytes) = (SKIP, &[]);
            }
        }
        self.matched.set(matched);
    }
}

/// A client's stream, looked at as it is read.
pub struct Inbound {
    stream: TcpStream,
    client: Rc<Client>,
}

impl Inbound {
    /// The stream of this client.
    pub fn new(stream: TcpStream, client: Rc<Client>) -> Self {
        Self { stream, client }
    }
}

impl AsyncRead for Inbound {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        self.client.came(&buf.filled()[before..]);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Inbound {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.client.wrote(poll)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.client.wrote(poll)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

#[cfg(test)]
pub mod tests {
    use super::*;

    struct Nobody;

    impl Keeper for Nobody {
        fn began(&self, _: ConnId) {}
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

    /// Guards the look for hidden lengths: however the bytes are cut, and whatever the name's case.
    #[tokio::test]
    async fn lengths_are_found_however_they_come() {
        let text =
            b"POST / HTTP/1.1\r\nX: content-length\r\ncOntent-Length: 4\r\nContent-Lengt: 1\r\n\r\nabcd";
        for cut in 1..text.len() {
            let client = alone();
            text.chunks(cut).for_each(|chunk| client.came(chunk));
            assert!(client.hides_a_length(0), "{cut}");
            let client = alone();
            text.chunks(cut).for_each(|chunk| client.came(chunk));
            assert!(!client.hides_a_length(1), "{cut}");
        }
    }
}
