//! HTTP/1.1 client connection that counts how much of a request the kernel accepted.

use crate::parts::attempt_limits::WithheldReason;
use crate::parts::body::{OutboundBody, Payload, WriteCounter};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use prometheus_client::metrics::counter::Counter;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::io::{self, IoSlice};
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// Buffer size of a connection and limit of a response head, in bytes. It bounds the memory that a peer can
/// occupy.
const MAX_BUFFER_BYTES: usize = 32 * 1024;

/// Most bytes read before the head of a response is complete. Interim responses precede it, and some peers
/// send them without end. The limit exceeds the longest head plus the part of the body that is read with it.
const MAX_BYTES_BEFORE_HEAD: usize = 256 * 1024;

/// Checked right before the first byte of a request is written. hyper writes in its own task, later than
/// [`Connection::send`], and the conditions may have changed by then.
pub type WritePermit = Box<dyn Fn() -> Result<(), WithheldReason>>;

/// Time at which data was last received on an idle connection, shared by the connections of a pool.
pub type UnsolicitedAt = Rc<Cell<Option<Instant>>>;

/// State of the current request on a connection.
#[derive(Default)]
struct ExchangeState {
    /// Present until the kernel accepts the first byte.
    permit: RefCell<Option<WritePermit>>,
    /// Time after which no byte of the request is written.
    write_by: Cell<Option<Instant>>,
    withheld: Cell<Option<WithheldReason>>,
    /// Write count of the connection when the first byte of the response arrived.
    written_at_first_byte: Cell<Option<u64>>,
    /// True while hyper holds bytes that the kernel has not accepted.
    is_unflushed: Cell<bool>,
    /// Bytes that may still be read before the response head is complete; `None` after the head.
    head_budget: Cell<Option<usize>>,
    /// Set while the connection is idle; records unsolicited data.
    idle_watch: RefCell<Option<UnsolicitedAt>>,
}

impl ExchangeState {
    /// Deducts the bytes read from the head budget. Fails if the budget is exhausted.
    fn charge_head_budget(&self, bytes: usize) -> io::Result<()> {
        let Some(remaining) = self.head_budget.get() else { return Ok(()) };
        let remaining = remaining.checked_sub(bytes).ok_or_else(|| {
            io::Error::new(io::ErrorKind::InvalidData, "too many bytes before the response head")
        })?;
        self.head_budget.set(Some(remaining));
        Ok(())
    }

    /// Records that data arrived.
    fn record_received(&self, written: u64) {
        if let Some(last_unsolicited) = &*self.idle_watch.borrow() {
            last_unsolicited.set(Some(Instant::now()));
        }
        if self.written_at_first_byte.get().is_none() {
            self.written_at_first_byte.set(Some(written));
        }
    }
}

/// TCP stream that counts written bytes, and releases its slot when the descriptor is closed.
struct CountingStream<S> {
    stream: TcpStream,
    written: Rc<WriteCounter>,
    exchange: Rc<ExchangeState>,
    _slot: S,
}

impl<S> CountingStream<S> {
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
        match SockRef::from(&self.stream).peek(&mut [MaybeUninit::uninit()]) {
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => Ok(()),
            Err(e) => Err(e),
            Ok(0) => Err(io::ErrorKind::UnexpectedEof.into()),
            Ok(_) => {
                self.exchange.record_received(self.written.count());
                Err(io::Error::new(io::ErrorKind::InvalidData, "unsolicited data on an idle connection"))
            }
        }
    }

    fn record_write(&self, poll: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(n)) = &poll {
            self.exchange.permit.take();
            self.exchange.idle_watch.take();
            self.written.record(*n);
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
        let before = buf.filled().len();
        let poll = Pin::new(&mut self.stream).poll_read(cx, buf);
        let read = buf.filled().len() - before;
        if read > 0 {
            self.exchange.record_received(self.written.count());
            self.exchange.charge_head_budget(read)?;
        }
        poll
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

/// Open connection. Dropping it closes it, even with a request in flight.
pub struct Connection {
    sender: SendRequest<OutboundBody>,
    task: AbortHandle,
    written: Rc<WriteCounter>,
    exchange: Rc<ExchangeState>,
    peer: SocketAddr,
}

impl Connection {
    /// Connects to `peer`; `slot` is released when the descriptor is closed.
    pub async fn open<S: Unpin + 'static>(peer: SocketAddr, slot: S) -> io::Result<Self> {
        let stream = TcpStream::connect(peer).await?;
        stream.set_nodelay(true)?;
        let (written, exchange) = <(Rc<WriteCounter>, Rc<ExchangeState>)>::default();
        let counting = CountingStream {
            stream,
            written: Rc::clone(&written),
            exchange: Rc::clone(&exchange),
            _slot: slot,
        };
        let io = TokioIo::new(counting);
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(io)
            .await
            .map_err(io::Error::other)?;
        // The sender reports how the connection ended.
        let task = tokio::task::spawn_local(async move { drop(connection.await) }).abort_handle();
        Ok(Self { sender, task, written, exchange, peer })
    }

    /// Returns the address of the upstream.
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Returns true if the connection is known to be closed.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Marks the connection as idle until the next request. Data received meanwhile is recorded in
    /// `last_unsolicited`.
    pub fn mark_idle(&self, last_unsolicited: &UnsolicitedAt) {
        self.exchange.idle_watch.replace(Some(Rc::clone(last_unsolicited)));
    }

    /// Waits until the connection accepts a request; returns false if it was closed.
    pub async fn ready(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Returns true if the kernel accepted everything that hyper wrote.
    pub fn is_flushed(&self) -> bool {
        !self.exchange.is_unflushed.get()
    }

    /// Returns the number of bytes that the kernel has accepted.
    pub fn written(&self) -> u64 {
        self.written.count()
    }

    /// Creates the body of a request on this connection.
    pub fn outbound(&self, payload: &Payload) -> OutboundBody {
        OutboundBody::new(payload, &self.written)
    }

    /// Counts the next request when it is completely written: after `length` bytes, or at the end of a
    /// streaming body.
    pub fn count_when_sent(&self, length: Option<u64>, counter: Option<Counter>) {
        self.written.begin_request(length, counter);
    }

    /// Sends a request and waits for the response head. Writes nothing if unsolicited data arrived before.
    pub async fn send(&mut self, request: Request<OutboundBody>) -> hyper::Result<Response<Incoming>> {
        self.send_with_permit(request, Box::new(|| Ok(())), None).await
    }

    /// Like [`Self::send`], but writes the first byte only with `permit`, and no byte at or after `write_by`.
    pub async fn send_with_permit(
        &mut self,
        request: Request<OutboundBody>,
        permit: WritePermit,
        write_by: Option<Instant>,
    ) -> hyper::Result<Response<Incoming>> {
        self.exchange.permit.replace(Some(permit));
        self.exchange.write_by.set(write_by);
        self.exchange.withheld.set(None);
        self.exchange.written_at_first_byte.set(None);
        self.exchange.head_budget.set(Some(MAX_BYTES_BEFORE_HEAD));
        let response = self.sender.send_request(request).await;
        self.exchange.head_budget.set(None);
        response
    }

    /// Returns why the rest of the request was withheld, if it was.
    pub fn withheld_reason(&self) -> Option<WithheldReason> {
        self.exchange.withheld.get()
    }

    /// Returns the connection's write count when the first byte of the response arrived.
    pub fn written_at_first_byte(&self) -> Option<u64> {
        self.exchange.written_at_first_byte.get()
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Returns a lower bound for the bytes of the encoded head: a streaming body adds framing headers.
pub fn head_length(request: &Request<OutboundBody>) -> u64 {
    let path = request.uri().path_and_query().map_or(1, |p| p.as_str().len());
    let line = request.method().as_str().len() + path + " ".len() + " HTTP/1.1\r\n".len();
    let headers = request.headers().iter();
    let headers: usize =
        headers.map(|(name, value)| name.as_str().len() + value.len() + ": \r\n".len()).sum();
    (line + headers + "\r\n".len()) as u64
}

/// Returns the bytes of an encoded request of known length: request line, headers and body.
pub fn wire_length(request: &Request<OutboundBody>) -> u64 {
    use hyper::body::Body;
    head_length(request) + request.body().size_hint().exact().unwrap_or(0)
}

#[cfg(test)]
mod tests {
    use super::*;
    use hyper::header::{CONTENT_LENGTH, HOST};
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    use tokio::net::TcpListener;

    /// Guards the proof that a request never ran, which depends on its exact encoded length.
    #[tokio::test(flavor = "local")]
    async fn the_computed_length_matches_the_bytes_on_the_wire() {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let peer = listener.local_addr().unwrap();
        for (method, body) in [("GET", ""), ("POST", ""), ("POST", "some text")] {
            let mut connection = Connection::open(peer, ()).await.unwrap();
            let mut request = Request::builder().method(method).uri("/book/day?n=1").header(HOST, "app.svc");
            if method == "POST" {
                request = request.header(CONTENT_LENGTH, body.len());
            }
            let request = request.body(connection.outbound(&Payload::Buffered(body.into()))).unwrap();
            let length = wire_length(&request);
            let upstream = async {
                let (mut stream, _) = listener.accept().await.unwrap();
                let mut read = vec![0; length as usize];
                stream.read_exact(&mut read).await.unwrap();
                stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").await.unwrap();
                String::from_utf8(read).unwrap()
            };
            let (response, read) = tokio::join!(connection.send(request), upstream);
            assert!(response.unwrap().status().is_success());
            assert!(read.ends_with(&format!("\r\n\r\n{body}")), "request on the wire: {read:?}");
            assert_eq!(connection.written(), length);
        }
    }
}
