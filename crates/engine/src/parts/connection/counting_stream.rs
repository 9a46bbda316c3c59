//! TCP stream of a connection: counts written bytes, checks each write, and notices unsolicited data.

use crate::parts::attempt_limits::WithheldReason;
use crate::parts::body::WriteCounter;
use crate::parts::buffer_memory::BufferMemory;
use crate::parts::connection::WritePermit;
use crate::parts::head_memory::HeadMemory;
use crate::parts::unsolicited::{MAX_EXCERPT_BYTES, UnsolicitedData, UnsolicitedKind, UnsolicitedObserver};
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::io::{self, IoSlice, Read};
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Bytes of one read. hyper doubles its buffer, and keeps it, after a read that fills it; the first is one byte
/// longer.
const MAX_READ_BYTES: usize = 8 * 1024 - 1;

/// State of the current request on a connection.
pub(super) struct ExchangeState {
    /// Number of the connection in the log.
    pub(super) connection: u64,
    pub(super) peer: SocketAddr,
    /// Present until the kernel accepts the first byte.
    pub(super) permit: RefCell<Option<WritePermit>>,
    /// Time after which no byte of the request is written.
    pub(super) write_by: Cell<Option<Instant>>,
    pub(super) withheld: Cell<Option<WithheldReason>>,
    /// Write count of the connection when the first byte of the response arrived.
    pub(super) written_at_first_byte: Cell<Option<u64>>,
    /// True while hyper holds bytes that the kernel has not accepted.
    pub(super) is_unflushed: Cell<bool>,
    /// Bytes that may still be read before the response head is complete; `None` after the head.
    pub(super) head_budget: Cell<Option<usize>>,
    /// Memory of the heads on this connection.
    pub(super) heads: HeadMemory,
    /// True while no request is in flight.
    is_idle: Cell<bool>,
    /// End of the last response; `None` before the first.
    last_response_end: Cell<Option<Instant>>,
    /// Number of responses received.
    responses: Cell<u64>,
    /// Time from the last response to the one in hand, while that is suspected to be a second one.
    pub(super) suspected_delay: Cell<Option<Duration>>,
    /// Notified when the connection has ended.
    pub(super) ended: Notify,
    /// Receives the first report of unsolicited data.
    observer: RefCell<Option<Rc<dyn UnsolicitedObserver>>>,
}

impl ExchangeState {
    pub(super) fn new(connection: u64, peer: SocketAddr, memory: &BufferMemory) -> Rc<Self> {
        Rc::new(Self {
            connection,
            peer,
            permit: RefCell::default(),
            write_by: Cell::default(),
            withheld: Cell::default(),
            written_at_first_byte: Cell::default(),
            is_unflushed: Cell::default(),
            head_budget: Cell::default(),
            heads: HeadMemory::new(memory),
            is_idle: Cell::new(true),
            last_response_end: Cell::default(),
            responses: Cell::default(),
            suspected_delay: Cell::default(),
            ended: Notify::new(),
            observer: RefCell::default(),
        })
    }

    pub(super) fn set_observer(&self, observer: Rc<dyn UnsolicitedObserver>) {
        self.observer.replace(Some(observer));
    }

    /// Records the end of a response: the connection is idle from now on.
    pub(super) fn end_response(&self) {
        self.is_idle.set(true);
        self.last_response_end.set(Some(Instant::now()));
        self.responses.set(self.responses.get() + 1);
    }

    /// Returns the time since the end of the last response; `None` before the first.
    pub(super) fn since_last_response(&self) -> Option<Duration> {
        self.last_response_end.get().map(|end| end.elapsed())
    }

    /// Reports unsolicited data, unless the connection has reported some before.
    pub(super) fn report(&self, kind: UnsolicitedKind, excerpt: &[u8]) {
        let Some(observer) = self.observer.take() else { return };
        let (kind, delay) = match (kind, self.suspected_delay.get()) {
            (_, Some(delay)) => (UnsolicitedKind::RepeatedResponse, delay),
            // What came together with a response was not late.
            (UnsolicitedKind::BehindResponse, None) => (kind, Duration::ZERO),
            (_, None) => (kind, self.since_last_response().unwrap_or_default()),
        };
        let (connection, peer, responses) = (self.connection, self.peer, self.responses.get());
        observer.unsolicited_data(&UnsolicitedData { connection, peer, kind, delay, responses, excerpt });
    }

    /// Deducts the bytes read from the head budget. Fails if the budget or the memory is exhausted.
    fn charge_head_budget(&self, bytes: &[u8]) -> io::Result<()> {
        let Some(remaining) = self.head_budget.get() else { return Ok(()) };
        let remaining = remaining.checked_sub(bytes.len()).ok_or_else(|| {
            io::Error::new(io::ErrorKind::InvalidData, "too many bytes before the response head")
        })?;
        if !self.heads.receive(bytes) {
            return Err(io::Error::new(io::ErrorKind::OutOfMemory, "no memory left for the response head"));
        }
        self.head_budget.set(Some(remaining));
        Ok(())
    }

    /// Records that data arrived; `excerpt` holds its first bytes.
    fn record_received(&self, written: u64, excerpt: &[u8]) {
        if self.is_idle.get() {
            self.report(UnsolicitedKind::without_request(excerpt, written > 0), excerpt);
        }
        if self.written_at_first_byte.get().is_none() {
            self.written_at_first_byte.set(Some(written));
        }
    }
}

/// TCP stream that counts written bytes, and releases its slot when the descriptor is closed.
pub(super) struct CountingStream<S> {
    stream: TcpStream,
    written: Rc<WriteCounter>,
    exchange: Rc<ExchangeState>,
    _slot: S,
}

impl<S> CountingStream<S> {
    pub(super) fn new(
        stream: TcpStream,
        written: Rc<WriteCounter>,
        exchange: Rc<ExchangeState>,
        slot: S,
    ) -> Self {
        Self { stream, written, exchange, _slot: slot }
    }

    /// Fails if nothing may be written now. The first byte of a request needs its permit, and a connection
    /// that is open and has no unread data.
    fn check_write(&self) -> io::Result<()> {
        self.exchange.is_unflushed.set(true);
        if let Some(permit) = &*self.exchange.permit.borrow() {
            self.check_idle()?;
            permit().map_err(|reason| self.withhold(reason))?;
        }
        match self.exchange.write_by.get() {
            Some(by) if by <= Instant::now() => Err(self.withhold(WithheldReason::TooLate)),
            _ => Ok(()),
        }
    }

    fn withhold(&self, reason: WithheldReason) -> io::Error {
        self.exchange.withheld.set(Some(reason));
        io::Error::other("withheld")
    }

    /// Fails if there is unsolicited data or the connection was closed. The check asks the kernel, because
    /// this process may not have polled the socket yet: data after an earlier response must not become the
    /// response to the next request, and a request written to a closed connection would be reset, which an
    /// unsafe request cannot survive.
    fn check_idle(&self) -> io::Result<()> {
        let socket = SockRef::from(&self.stream);
        match socket.peek(&mut [MaybeUninit::uninit()]) {
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => Ok(()),
            Err(e) => Err(e),
            Ok(0) => Err(io::ErrorKind::UnexpectedEof.into()),
            Ok(_) => {
                // The connection is closed, so that the data may be consumed.
                let mut excerpt = [0; MAX_EXCERPT_BYTES];
                let length = (&*socket).read(&mut excerpt).unwrap_or_default();
                self.exchange.record_received(self.written.count(), &excerpt[..length]);
                Err(io::Error::new(io::ErrorKind::InvalidData, "unsolicited data on an idle connection"))
            }
        }
    }

    fn record_write(&self, poll: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        match &poll {
            Poll::Ready(Ok(n)) => {
                self.exchange.permit.take();
                self.exchange.is_idle.set(false);
                self.written.record(*n);
            }
            Poll::Ready(Err(_)) => {}
            Poll::Pending => self.written.record_blocked(),
        }
        poll
    }
}

impl<S: Unpin> AsyncRead for CountingStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let mut chunk = [MaybeUninit::uninit(); MAX_READ_BYTES];
        let mut chunk = ReadBuf::uninit(&mut chunk[..buf.remaining().min(MAX_READ_BYTES)]);
        ready!(Pin::new(&mut self.stream).poll_read(cx, &mut chunk))?;
        let received = chunk.filled();
        if !received.is_empty() {
            let excerpt = &received[..received.len().min(MAX_EXCERPT_BYTES)];
            self.exchange.record_received(self.written.count(), excerpt);
            self.exchange.charge_head_budget(received)?;
        }
        buf.put_slice(received);
        Poll::Ready(Ok(()))
    }
}

impl<S: Unpin> AsyncWrite for CountingStream<S> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.check_write()?;
        let poll = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.record_write(poll)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.check_write()?;
        let poll = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.record_write(poll)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // hyper flushes when it has nothing left to write.
        self.exchange.is_unflushed.set(false);
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
