//! A client's stream. The HTTP connection reads it; while that does not read, it is read ahead of it, so that the end of
//! the client's sending is seen as long as a request of it waits, whatever has come behind that request.

use crate::client::{Client, Stand};
use bytes::{Buf, BytesMut};
use maplehook::parts::attempt_limits::Presence;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::future::pending;
use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, sleep_until};

/// The most that is read ahead of one client, and of all together. The end of a client that has sent more than that behind
/// a request is seen with the answer: its kernel may not even have told it to ours.
const AHEAD_MOST: usize = 256 * 1024;
const AHEAD_OF_ALL: usize = 4 * 1024 * 1024;
/// The same of a body that streams, beyond what its upstream takes: whether its client has stopped is seen by what comes. More
/// of those must not keep the ends of other clients from being seen.
const UPLOAD_AHEAD_MOST: usize = 128 * 1024;
const UPLOADS_AHEAD_OF_ALL: usize = AHEAD_OF_ALL / 2;
/// How often it is looked at whether a part of a body that streams waits unread.
const LOOK_EVERY: Duration = Duration::from_millis(100);
/// A look at whether anything has come.
pub const GLANCE: Duration = Duration::from_millis(1);
/// Read at a time.
const PIECE: usize = 4096;

/// How many bytes are read ahead of all clients.
pub type OfAll = Rc<Cell<usize>>;

/// What is read ahead of one client.
struct Ahead {
    bytes: BytesMut,
    of_all: OfAll,
}

impl Ahead {
    fn is_full(&self, most: usize, of_all: usize) -> bool {
        self.bytes.len() >= most || self.of_all.get() >= of_all
    }

    fn push(&mut self, piece: &[u8]) {
        self.bytes.extend_from_slice(piece);
        self.of_all.set(self.of_all.get() + piece.len());
    }

    fn take(&mut self, buf: &mut ReadBuf<'_>) {
        let n = self.bytes.len().min(buf.remaining());
        buf.put_slice(&self.bytes[..n]);
        self.bytes.advance(n);
        self.of_all.set(self.of_all.get() - n);
    }
}

impl Drop for Ahead {
    fn drop(&mut self) {
        self.of_all.set(self.of_all.get() - self.bytes.len());
    }
}

/// A client's stream and what was read of it ahead.
pub struct Wire {
    client: Rc<Client>,
    stream: RefCell<TcpStream>,
    ahead: RefCell<Ahead>,
    /// Whether the HTTP connection waits for bytes: it sees the end by itself then.
    wanted: Cell<bool>,
    /// Whether the client has ended its sending.
    ended: Cell<bool>,
    /// Whether our sending is ended.
    shut: Cell<bool>,
    /// Whether something is being written that the kernel has not taken whole.
    writes: Cell<bool>,
}

/// A client's stream that the HTTP connection has left while its client has not ended its sending.
pub enum Left {
    /// Our sending is ended.
    Shut(TcpStream),
    /// Nothing is being written on it.
    Quiet(TcpStream),
}

impl Wire {
    /// The stream of this client, one of those who share the room `of_all`.
    pub fn new(stream: TcpStream, client: Rc<Client>, of_all: OfAll) -> Rc<Self> {
        Rc::new(Self {
            client,
            stream: RefCell::new(stream),
            ahead: RefCell::new(Ahead { bytes: BytesMut::new(), of_all }),
            wanted: Cell::new(false),
            ended: Cell::new(false),
            shut: Cell::new(false),
            writes: Cell::new(false),
        })
    }

    /// Whose it is.
    pub fn client(&self) -> &Rc<Client> {
        &self.client
    }

    /// Whether its client has ended its sending.
    pub fn has_ended(&self) -> bool {
        self.ended.get()
    }

    /// Tells whether its client is still there. It holds on to nothing.
    pub fn presence(self: &Rc<Self>) -> Presence {
        let wire = Rc::downgrade(self);
        Presence::new(move || wire.upgrade().is_some_and(|wire| !wire.has_left()))
    }

    /// Whether its client has ended its sending, as far as that can be seen past bytes that nobody has read.
    fn has_left(&self) -> bool {
        let gone = |e: io::Error| e.kind() != io::ErrorKind::WouldBlock;
        self.ended.get() || self.peek().map_or_else(gone, |has_come| !has_come)
    }

    /// Whether bytes have come that nobody has read; `false` at the end. The kernel is asked itself: what the runtime knows of
    /// the stream may be older.
    fn peek(&self) -> io::Result<bool> {
        let (mut byte, stream) = ([MaybeUninit::uninit()], self.stream.borrow());
        uninterrupted(|| SockRef::from(&*stream).peek(&mut byte)).map(|n| n > 0)
    }

    /// Whether its client has gone that is owed an answer. It is polled after the HTTP connection: what that waits for
    /// is left to it.
    pub fn poll_gone(&self, cx: &mut Context<'_>) -> Poll<()> {
        if self.client.stand() != Stand::Held {
            return Poll::Pending;
        }
        if self.client.whole_at().is_some() {
            self.read_ahead(cx, AHEAD_MOST, AHEAD_OF_ALL);
        } else if self.client.is_uploading() {
            self.read_ahead(cx, UPLOAD_AHEAD_MOST, UPLOADS_AHEAD_OF_ALL);
        }
        if self.ended.get() { Poll::Ready(()) } else { Poll::Pending }
    }

    /// Reads what has come while the HTTP connection does not, within these bounds.
    fn read_ahead(&self, cx: &mut Context<'_>, most: usize, of_all: usize) {
        while !self.wanted.get() && !self.ended.get() && !self.ahead.borrow().is_full(most, of_all) {
            let mut piece = [MaybeUninit::uninit(); PIECE];
            let mut piece = ReadBuf::uninit(&mut piece);
            if self.poll_stream(cx, &mut piece).is_pending() {
                return;
            }
            self.ahead.borrow_mut().push(piece.filled());
        }
    }

    /// Reads the stream itself, and takes note of what comes and of the end.
    fn poll_stream(&self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read = ready!(Pin::new(&mut *self.stream.borrow_mut()).poll_read(cx, buf));
        let came = &buf.filled()[before..];
        if came.is_empty() {
            self.ended.set(true);
        } else {
            self.client.arrived(came);
        }
        Poll::Ready(read)
    }

    fn poll_read(&self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let ahead = &mut *self.ahead.borrow_mut();
        if !ahead.bytes.is_empty() {
            ahead.take(buf);
        } else if !self.ended.get() {
            let read = self.poll_stream(cx, buf);
            self.wanted.set(read.is_pending());
            ready!(read)?;
        }
        self.client.took(buf.filled().len() - before);
        Poll::Ready(Ok(()))
    }

    /// Waits until the rest of the request that is being read has had its time. What has come by then is looked at first: a
    /// process that stood still finds its timers before that.
    pub async fn stops(&self) {
        let mut looked = false;
        while let Some(due) = self.client.read_by() {
            if due > Instant::now() {
                looked = false;
                sleep_until(due).await;
            } else if !looked && self.has_unread() {
                looked = true;
                self.client.has_unread();
                sleep(GLANCE).await;
            } else {
                return;
            }
        }
        pending().await
    }

    /// Whether bytes have come that nobody has read.
    pub fn has_unread(&self) -> bool {
        self.peek().unwrap_or(false)
    }

    /// Watches bodies that stream, as long as it is polled: a client has not stopped of whose bytes some wait unread.
    pub async fn watches_uploads(&self) {
        loop {
            while self.client.is_uploading() {
                if self.has_unread() {
                    // Its window may be full, however little that is: it can't be told whether it would send more.
                    self.client.has_unread();
                }
                sleep(LOOK_EVERY).await;
            }
            self.client.upload_begins().await;
        }
    }

    /// The stream, where its client may still hear of it. `None` as long as the HTTP connection lives, and where an answer
    /// on it was broken off.
    pub fn into_left(wire: Rc<Self>) -> Option<Left> {
        let wire = Rc::into_inner(wire)?;
        let (ended, shut, writes) = (wire.ended.get(), wire.shut.get(), wire.writes.get());
        let stream = wire.stream.into_inner();
        match (ended, shut) {
            (true, _) => None,
            (false, true) => Some(Left::Shut(stream)),
            (false, false) => Some(Left::Quiet(stream)).filter(|_| !writes),
        }
    }
}

/// Makes a call again for as long as a signal interrupts it, which says nothing of the stream.
fn uninterrupted<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    loop {
        match call() {
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            done => return done,
        }
    }
}

/// The stream as the HTTP connection has it.
pub struct Inbound(pub Rc<Wire>);

impl AsyncRead for Inbound {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        self.0.poll_read(cx, buf)
    }
}

impl AsyncWrite for Inbound {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.0.writes.set(true);
        let poll = Pin::new(&mut *self.0.stream.borrow_mut()).poll_write(cx, buf);
        self.0.client.wrote(poll)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.0.writes.set(true);
        let poll = Pin::new(&mut *self.0.stream.borrow_mut()).poll_write_vectored(cx, bufs);
        self.0.client.wrote(poll)
    }

    fn is_write_vectored(&self) -> bool {
        self.0.stream.borrow().is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The HTTP connection flushes once it has handed on all that it has.
        let flushed = Pin::new(&mut *self.0.stream.borrow_mut()).poll_flush(cx);
        self.0.writes.set(self.0.writes.get() && flushed.is_pending());
        flushed
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.0.shut.set(true);
        Pin::new(&mut *self.0.stream.borrow_mut()).poll_shutdown(cx)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards clients against being taken for gone, or for silent, because a signal came.
    #[test]
    fn an_interrupted_call_is_made_again() {
        let mut results =
            vec![Ok(3), Err(io::ErrorKind::Interrupted.into()), Err(io::ErrorKind::Interrupted.into())];
        assert_eq!(uninterrupted(|| results.pop().unwrap()).unwrap(), 3);
        let waits = uninterrupted(|| Err::<(), _>(io::ErrorKind::WouldBlock.into()));
        assert_eq!(waits.unwrap_err().kind(), io::ErrorKind::WouldBlock);
    }

    /// Guards a client whose upstream takes nothing and whose window is full, however small that is: it has not stopped.
    #[tokio::test(flavor = "local", start_paused = true)]
    async fn a_client_whose_window_is_full_has_not_stopped() {
        const SILENCE: Duration = Duration::from_millis(2500);
        let listener = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        let any: std::net::SocketAddr = "127.0.0.1:0".parse().unwrap();
        // What is accepted has this, too.
        listener.set_recv_buffer_size(4096).unwrap();
        listener.bind(&any.into()).unwrap();
        listener.listen(1).unwrap();
        let address = listener.local_addr().unwrap().as_socket().unwrap();
        let mut sender = std::net::TcpStream::connect(address).unwrap();
        let stream = std::net::TcpStream::from(listener.accept().unwrap().0);
        stream.set_nonblocking(true).unwrap();
        let client = crate::client::tests::alone();
        let wire = Wire::new(TcpStream::from_std(stream).unwrap(), Rc::clone(&client), OfAll::default());
        client.arrived(b"POST / HTTP/1.1\r\nContent-Length: 9000000\r\n\r\n");
        client.reads(maplehook::label::Label::default());
        client.holds(0, false, Some(SILENCE));
        sender.set_nonblocking(true).unwrap();
        while std::io::Write::write(&mut sender, &[b'x'; 4096]).is_ok() {}
        tokio::select! {
            () = wire.watches_uploads() => {}
            () = sleep(2 * SILENCE) => {}
        }
        assert_eq!(client.overdue_for(), None);
    }
}
