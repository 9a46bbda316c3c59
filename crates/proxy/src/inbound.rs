//! The TCP stream of a client connection. While the HTTP connection does not read, the stream is read ahead
//! of it, so that the end of the client's stream is detected while a request is pending, whatever was
//! received behind that request.

use crate::client::{ClientConnection, ConnectionState};
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

/// Maximum number of bytes read ahead of one client, and of all clients together. The end of a client that
/// has sent more than that behind a request is detected only with the response: its kernel may not have
/// transmitted the end at all.
const MAX_READ_AHEAD_BYTES: usize = 256 * 1024;
const MAX_TOTAL_READ_AHEAD_BYTES: usize = 4 * 1024 * 1024;
/// The same limits for streaming bodies, beyond what the upstream accepts: received bytes show that the
/// client has not stalled. Uploads may use only part of the total, so that the ends of other clients are
/// still detected.
const MAX_UPLOAD_READ_AHEAD_BYTES: usize = 128 * 1024;
const MAX_TOTAL_UPLOAD_READ_AHEAD_BYTES: usize = MAX_TOTAL_READ_AHEAD_BYTES / 2;
/// Interval of the checks for unread bytes of a streaming body.
const UNREAD_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which the runtime is polled for bytes that were just received.
pub const POLL_TIMEOUT: Duration = Duration::from_millis(1);
/// Number of bytes per read.
const READ_CHUNK_BYTES: usize = 4096;

/// Number of bytes that are read ahead of all clients together.
pub type TotalReadAhead = Rc<Cell<usize>>;

/// Bytes read ahead of one client, which count towards the total of all clients.
struct ReadAhead {
    bytes: BytesMut,
    total: TotalReadAhead,
}

impl ReadAhead {
    fn is_full(&self, max_bytes: usize, max_total_bytes: usize) -> bool {
        self.bytes.len() >= max_bytes || self.total.get() >= max_total_bytes
    }

    fn push(&mut self, chunk: &[u8]) {
        self.bytes.extend_from_slice(chunk);
        self.total.set(self.total.get() + chunk.len());
    }

    fn take(&mut self, buf: &mut ReadBuf<'_>) {
        let n = self.bytes.len().min(buf.remaining());
        buf.put_slice(&self.bytes[..n]);
        self.bytes.advance(n);
        self.total.set(self.total.get() - n);
    }
}

impl Drop for ReadAhead {
    fn drop(&mut self) {
        self.total.set(self.total.get() - self.bytes.len());
    }
}

/// A client's TCP stream with the bytes that were read ahead.
pub struct ClientStream {
    client: Rc<ClientConnection>,
    stream: RefCell<TcpStream>,
    read_ahead: RefCell<ReadAhead>,
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
    pub fn new(stream: TcpStream, client: Rc<ClientConnection>, total: TotalReadAhead) -> Rc<Self> {
        Rc::new(Self {
            client,
            stream: RefCell::new(stream),
            read_ahead: RefCell::new(ReadAhead { bytes: BytesMut::new(), total }),
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

    /// Returns true if the client has closed its side, as far as that is visible past unread bytes.
    fn is_client_gone(&self) -> bool {
        let is_closed = |e: io::Error| e.kind() != io::ErrorKind::WouldBlock;
        self.has_client_eof.get() || self.peek().map_or_else(is_closed, |has_bytes| !has_bytes)
    }

    /// Returns true if the receive buffer has unread bytes, and false at the end of the stream. Asks the
    /// kernel directly, because the runtime's readiness state may be stale.
    fn peek(&self) -> io::Result<bool> {
        let (mut byte, stream) = ([MaybeUninit::uninit()], self.stream.borrow());
        retry_on_interrupt(|| SockRef::from(&*stream).peek(&mut byte)).map(|n| n > 0)
    }

    /// Completes if the client of a pending request has closed its side. Must be polled after the HTTP
    /// connection, which takes precedence for the bytes that it waits for.
    pub fn poll_client_gone(&self, cx: &mut Context<'_>) -> Poll<()> {
        if self.client.state() != ConnectionState::Held {
            return Poll::Pending;
        }
        if self.client.request_completed_at().is_some() {
            self.read_ahead(cx, MAX_READ_AHEAD_BYTES, MAX_TOTAL_READ_AHEAD_BYTES);
        } else if self.client.is_uploading() {
            self.read_ahead(cx, MAX_UPLOAD_READ_AHEAD_BYTES, MAX_TOTAL_UPLOAD_READ_AHEAD_BYTES);
        }
        if self.has_client_eof.get() { Poll::Ready(()) } else { Poll::Pending }
    }

    /// Reads ahead while the HTTP connection does not read, up to these limits.
    fn read_ahead(&self, cx: &mut Context<'_>, max_bytes: usize, max_total_bytes: usize) {
        while !self.http_awaits_bytes.get()
            && !self.has_client_eof.get()
            && !self.read_ahead.borrow().is_full(max_bytes, max_total_bytes)
        {
            let mut chunk = [MaybeUninit::uninit(); READ_CHUNK_BYTES];
            let mut chunk = ReadBuf::uninit(&mut chunk);
            if self.poll_stream(cx, &mut chunk).is_pending() {
                return;
            }
            self.read_ahead.borrow_mut().push(chunk.filled());
        }
    }

    /// Reads from the socket, and records received bytes or the end of the stream.
    fn poll_stream(&self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let filled_before = buf.filled().len();
        let read = ready!(Pin::new(&mut *self.stream.borrow_mut()).poll_read(cx, buf));
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
        if !read_ahead.bytes.is_empty() {
            read_ahead.take(buf);
        } else if !self.has_client_eof.get() {
            let read = self.poll_stream(cx, buf);
            self.http_awaits_bytes.set(read.is_pending());
            ready!(read)?;
        }
        self.client.on_consumed(buf.filled().len() - filled_before);
        Poll::Ready(Ok(()))
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
        flushed
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.0.is_write_shut.set(true);
        Pin::new(&mut *self.0.stream.borrow_mut()).poll_shutdown(cx)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against treating a client as disconnected or stalled because a signal interrupted a system
    /// call.
    #[test]
    fn interrupted_calls_are_retried() {
        let mut results =
            vec![Ok(3), Err(io::ErrorKind::Interrupted.into()), Err(io::ErrorKind::Interrupted.into())];
        assert_eq!(retry_on_interrupt(|| results.pop().unwrap()).unwrap(), 3);
        let error = retry_on_interrupt(|| Err::<(), _>(io::ErrorKind::WouldBlock.into()));
        assert_eq!(error.unwrap_err().kind(), io::ErrorKind::WouldBlock);
    }

    /// Guards uploads whose upstream accepts nothing: a client whose receive window is full, however small,
    /// has not stalled.
    #[tokio::test(flavor = "local", start_paused = true)]
    async fn uploads_blocked_by_a_full_receive_window_do_not_time_out() {
        const UPLOAD_IDLE: Duration = Duration::from_millis(2500);
        let listener = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        let any_port: std::net::SocketAddr = "127.0.0.1:0".parse().unwrap();
        // Accepted sockets inherit the buffer size.
        listener.set_recv_buffer_size(4096).unwrap();
        listener.bind(&any_port.into()).unwrap();
        listener.listen(1).unwrap();
        let address = listener.local_addr().unwrap().as_socket().unwrap();
        let mut sender = std::net::TcpStream::connect(address).unwrap();
        let stream = std::net::TcpStream::from(listener.accept().unwrap().0);
        stream.set_nonblocking(true).unwrap();
        let client = crate::client::tests::unobserved_connection();
        let stream = ClientStream::new(
            TcpStream::from_std(stream).unwrap(),
            Rc::clone(&client),
            TotalReadAhead::default(),
        );
        client.on_received(b"POST / HTTP/1.1\r\nContent-Length: 9000000\r\n\r\n");
        client.on_head(maplehook::label::Label::default());
        client.on_request(0, false, Some(UPLOAD_IDLE));
        sender.set_nonblocking(true).unwrap();
        while std::io::Write::write(&mut sender, &[b'x'; 4096]).is_ok() {}
        tokio::select! {
            () = stream.watch_uploads() => {}
            () = sleep(2 * UPLOAD_IDLE) => {}
        }
        assert_eq!(client.expiry_reason(), None);
    }
}
