//! The TCP stream of a client connection. While the HTTP connection does not read, the stream is read ahead
//! of it, so that the end of the client's stream is detected while a request is pending, whatever was
//! received behind that request.

mod read_ahead;

pub use read_ahead::ReadAheadTotal;

use crate::client::{ClientConnection, ConnectionState};
use maplehook::parts::attempt_limits::Presence;
use maplehook::parts::head_memory::HeadMemory;
use read_ahead::{ReadAhead, ReadAheadPurpose};
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::future::{Future, pending};
use std::io;
use std::mem::MaybeUninit;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll, Waker, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, sleep_until};

/// Interval of the checks for unread bytes of a streaming body.
const UNREAD_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval of the checks for the end of a client with more unread bytes than may be read ahead.
const HIDDEN_END_CHECK_INTERVAL: Duration = Duration::from_millis(25);
/// Time for which the runtime is polled for bytes that were just received.
pub const POLL_TIMEOUT: Duration = Duration::from_millis(1);
/// Number of bytes per read. hyper doubles its buffer, and keeps it, after a read that fills it; the first is one
/// byte longer.
const READ_CHUNK_BYTES: usize = 8 * 1024 - 1;

/// A client's TCP stream with the bytes that were read ahead.
pub struct ClientStream {
    client: Rc<ClientConnection>,
    stream: RefCell<TcpStream>,
    read_ahead: RefCell<ReadAhead>,
    /// Notified when no more may be read ahead.
    read_ahead_full: Notify,
    /// Memory of the heads on this connection.
    heads: HeadMemory,
    /// Notified when there is no memory for the request that is being received; `is_out_of_memory` is true from
    /// then on.
    out_of_memory: Notify,
    is_out_of_memory: Cell<bool>,
    /// True if the HTTP connection waits for bytes; it then detects the end of the stream itself.
    http_awaits_bytes: Cell<bool>,
    /// True if the client has closed its side of the stream.
    has_client_eof: Cell<bool>,
    /// True if the balancer has closed its side of the stream.
    is_write_shut: Cell<bool>,
    /// True if the kernel has not yet taken all bytes of the current write.
    has_pending_write: Cell<bool>,
}

/// The stream that remains after the HTTP connection, if the client has not closed its side.
pub enum RemainingStream {
    /// The balancer has closed its side.
    WriteShut(TcpStream),
    /// Both sides are open and no write is pending.
    WriteIdle(TcpStream),
}

impl ClientStream {
    /// Wraps the stream of `client`. `total` counts the bytes read ahead of all clients.
    pub fn new(stream: TcpStream, client: Rc<ClientConnection>, total: Rc<ReadAheadTotal>) -> Rc<Self> {
        Rc::new(Self {
            client,
            stream: RefCell::new(stream),
            heads: HeadMemory::new(total.memory()),
            read_ahead: RefCell::new(ReadAhead::new(total)),
            read_ahead_full: Notify::new(),
            out_of_memory: Notify::new(),
            is_out_of_memory: Cell::new(false),
            http_awaits_bytes: Cell::new(false),
            has_client_eof: Cell::new(false),
            is_write_shut: Cell::new(false),
            has_pending_write: Cell::new(false),
        })
    }

    /// Returns the connection that the stream belongs to.
    pub fn client(&self) -> &Rc<ClientConnection> {
        &self.client
    }

    /// Returns true if the client was seen to close its side of the stream.
    pub fn has_client_eof(&self) -> bool {
        self.has_client_eof.get()
    }

    /// Returns a handle that reports whether the client is still connected. The handle does not keep the
    /// stream alive.
    pub fn presence(self: &Rc<Self>) -> Presence {
        let stream = Rc::downgrade(self);
        Presence::new(move || stream.upgrade().is_some_and(|stream| !stream.is_client_gone()))
    }

    /// Returns true if the client has closed its side, or if that can't be seen past its unread bytes.
    fn is_client_gone(&self) -> bool {
        let is_closed = |e: io::Error| e.kind() != io::ErrorKind::WouldBlock;
        self.has_client_eof.get()
            || self.is_end_hidden()
            || self.is_read_closed()
            || self.peek().map_or_else(is_closed, |has_bytes| !has_bytes)
    }

    /// Returns true if the client may have closed its side behind a complete request without that being seen: it
    /// has sent more than may be read ahead.
    pub fn is_end_hidden(&self) -> bool {
        !self.http_awaits_bytes.get()
            && !self.has_client_eof.get()
            && self.client.request_completed_at().is_some()
            && !self.may_read_ahead(ReadAheadPurpose::DetectEnd)
            && self.has_unread_bytes()
    }

    fn may_read_ahead(&self, purpose: ReadAheadPurpose) -> bool {
        !self.client.has_many_pipelined_requests()
            && self.read_ahead.borrow().may_grow(READ_CHUNK_BYTES, purpose)
    }

    /// Returns true if the kernel has reported the end of the stream or a reset, also behind unread bytes.
    fn is_read_closed(&self) -> bool {
        let stream = self.stream.borrow();
        let ready = pin!(stream.ready(Interest::READABLE));
        let poll = ready.poll(&mut Context::from_waker(Waker::noop()));
        matches!(poll, Poll::Ready(Ok(ready)) if ready.is_read_closed())
    }

    /// Waits until the kernel reports the end of a client that has sent more than may be read ahead behind its
    /// request.
    pub async fn wait_for_hidden_end(&self) {
        loop {
            while self.client.state() == ConnectionState::Held && self.is_end_hidden() {
                if self.is_read_closed() {
                    self.has_client_eof.set(true);
                    return;
                }
                sleep(HIDDEN_END_CHECK_INTERVAL).await;
            }
            self.read_ahead_full.notified().await;
        }
    }

    /// Returns true if the receive buffer has unread bytes, and false at the end of the stream. Asks the
    /// kernel directly, because the runtime's readiness state may be stale.
    fn peek(&self) -> io::Result<bool> {
        peek(&self.stream.borrow())
    }

    /// Completes if the client of a pending request has closed its side. Must be polled after the HTTP
    /// connection, which takes precedence for the bytes that it waits for.
    pub fn poll_client_gone(&self, cx: &mut Context<'_>) -> Poll<()> {
        if self.client.state() != ConnectionState::Held {
            return Poll::Pending;
        }
        if self.client.request_completed_at().is_some() {
            self.read_ahead(cx, ReadAheadPurpose::DetectEnd);
        } else if self.client.is_uploading() {
            self.read_ahead(cx, ReadAheadPurpose::Upload);
        }
        if self.has_client_eof.get() { Poll::Ready(()) } else { Poll::Pending }
    }

    /// Reads ahead while the HTTP connection does not read, within the limits of the purpose.
    fn read_ahead(&self, cx: &mut Context<'_>, purpose: ReadAheadPurpose) {
        while !self.http_awaits_bytes.get() && !self.has_client_eof.get() && self.may_read_ahead(purpose) {
            let mut chunk = [MaybeUninit::uninit(); READ_CHUNK_BYTES];
            let mut chunk = ReadBuf::uninit(&mut chunk);
            if self.poll_stream(cx, &mut chunk).is_pending() {
                return;
            }
            self.read_ahead.borrow_mut().push(chunk.filled());
        }
        if !self.http_awaits_bytes.get() && !self.has_client_eof.get() {
            self.look_for_end(cx);
        }
    }

    /// Looks for the end of the stream while nothing may be read ahead.
    fn look_for_end(&self, cx: &mut Context<'_>) {
        let mut byte = [MaybeUninit::uninit()];
        match self.stream.borrow().poll_peek(cx, &mut ReadBuf::uninit(&mut byte)) {
            Poll::Ready(Ok(1..)) => {
                self.client.on_unread();
                self.read_ahead_full.notify_one();
            }
            Poll::Ready(Ok(0) | Err(_)) => self.has_client_eof.set(true),
            Poll::Pending => {}
        }
    }

    /// Reads from the socket, and records received bytes or the end of the stream.
    fn poll_stream(&self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let filled_before = buf.filled().len();
        let Poll::Ready(read) = Pin::new(&mut *self.stream.borrow_mut()).poll_read(cx, buf) else {
            self.client.on_drained();
            return Poll::Pending;
        };
        let received = &buf.filled()[filled_before..];
        if received.is_empty() {
            self.has_client_eof.set(true);
        } else {
            self.client.on_received(received);
        }
        Poll::Ready(read)
    }

    fn poll_read(&self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let filled_before = buf.filled().len();
        let read_ahead = &mut *self.read_ahead.borrow_mut();
        if self.is_out_of_memory.get() {
            return Poll::Pending;
        }
        if !read_ahead.is_empty() {
            read_ahead.take(buf, READ_CHUNK_BYTES);
        } else if !self.has_client_eof.get() {
            let mut chunk = [MaybeUninit::uninit(); READ_CHUNK_BYTES];
            let mut chunk = ReadBuf::uninit(&mut chunk[..buf.remaining().min(READ_CHUNK_BYTES)]);
            let read = self.poll_stream(cx, &mut chunk);
            self.http_awaits_bytes.set(read.is_pending());
            ready!(read)?;
            buf.put_slice(chunk.filled());
        }
        let consumed = &buf.filled()[filled_before..];
        if !self.reserve_head(consumed) {
            self.is_out_of_memory.set(true);
            self.out_of_memory.notify_one();
            buf.set_filled(filled_before);
            return Poll::Pending;
        }
        self.client.on_consumed(consumed.len());
        Poll::Ready(Ok(()))
    }

    /// Reserves memory for bytes that the HTTP connection reads, if they belong to a head. Returns false if there
    /// is none.
    fn reserve_head(&self, bytes: &[u8]) -> bool {
        if bytes.is_empty() || !self.client.is_receiving_head() {
            return true;
        }
        self.heads.receive(bytes) && self.heads.reserve_with(self.client.framing_memory())
    }

    /// Returns the memory of the heads on this connection.
    pub fn heads(&self) -> &HeadMemory {
        &self.heads
    }

    /// Waits until there is no memory for the request that is being received.
    pub async fn wait_until_out_of_memory(&self) {
        self.out_of_memory.notified().await;
    }

    /// Returns true if there was no memory for the request that is being received.
    pub fn is_out_of_memory(&self) -> bool {
        self.is_out_of_memory.get()
    }

    /// Waits until the request that is being read times out. Bytes that were already received are read first,
    /// because the timers of a process that was suspended expire before it reads them.
    pub async fn wait_for_request_timeout(&self) {
        let mut has_checked = false;
        while let Some(deadline) = self.client.request_deadline() {
            if deadline > Instant::now() {
                has_checked = false;
                sleep_until(deadline).await;
            } else if !has_checked && self.has_unread_bytes() {
                has_checked = true;
                self.client.on_unread_bytes();
                sleep(POLL_TIMEOUT).await;
            } else {
                return;
            }
        }
        pending().await
    }

    /// Returns true if the receive buffer has unread bytes.
    pub fn has_unread_bytes(&self) -> bool {
        self.peek().unwrap_or(false)
    }

    /// Watches streaming bodies for as long as the future is polled: a client with unread bytes has not
    /// stalled.
    pub async fn watch_uploads(&self) {
        loop {
            while self.client.is_uploading() {
                if self.has_unread_bytes() {
                    // The receive window may be full, however small it is, so the client may be unable to
                    // send more.
                    self.client.on_unread_bytes();
                }
                sleep(UNREAD_CHECK_INTERVAL).await;
            }
            self.client.wait_for_upload().await;
        }
    }

    /// Returns the stream if the client can still receive on it. `None` while the HTTP connection exists, and
    /// after a response that was cut off.
    pub fn into_remaining(stream: Rc<Self>) -> Option<RemainingStream> {
        let stream = Rc::into_inner(stream)?;
        let (has_client_eof, is_write_shut, has_pending_write) =
            (stream.has_client_eof.get(), stream.is_write_shut.get(), stream.has_pending_write.get());
        let stream = stream.stream.into_inner();
        match (has_client_eof, is_write_shut) {
            (true, _) => None,
            (false, true) => Some(RemainingStream::WriteShut(stream)),
            (false, false) => Some(RemainingStream::WriteIdle(stream)).filter(|_| !has_pending_write),
        }
    }
}

/// Returns true if the receive buffer of a stream has unread bytes, and false at its end.
pub fn peek(stream: &TcpStream) -> io::Result<bool> {
    let mut byte = [MaybeUninit::uninit()];
    retry_on_interrupt(|| SockRef::from(stream).peek(&mut byte)).map(|n| n > 0)
}

/// Repeats a system call while a signal interrupts it; the interruption says nothing about the stream.
fn retry_on_interrupt<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    loop {
        match call() {
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}

/// Reader and writer of the client stream for the HTTP connection.
pub struct HttpIo(pub Rc<ClientStream>);

impl AsyncRead for HttpIo {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        self.0.poll_read(cx, buf)
    }
}

impl AsyncWrite for HttpIo {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.0.has_pending_write.set(true);
        let poll = Pin::new(&mut *self.0.stream.borrow_mut()).poll_write(cx, buf);
        self.0.client.on_write(poll)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.0.has_pending_write.set(true);
        let poll = Pin::new(&mut *self.0.stream.borrow_mut()).poll_write_vectored(cx, bufs);
        self.0.client.on_write(poll)
    }

    fn is_write_vectored(&self) -> bool {
        self.0.stream.borrow().is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The HTTP connection flushes after it has written everything that it has.
        let flushed = Pin::new(&mut *self.0.stream.borrow_mut()).poll_flush(cx);
        self.0.has_pending_write.set(self.0.has_pending_write.get() && flushed.is_pending());
        if flushed.is_ready() {
            self.0.client.on_flushed();
        }
        flushed
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.0.is_write_shut.set(true);
        Pin::new(&mut *self.0.stream.borrow_mut()).poll_shutdown(cx)
    }
}

#[cfg(test)]
mod tests;
