//! HTTP/1.1 client connection that counts how much of a request the kernel accepted.

mod counting_stream;

use crate::parts::attempt_limits::WithheldReason;
use crate::parts::body::{OutboundBody, Payload, WriteCounter};
use crate::parts::buffer_memory::BufferMemory;
use crate::parts::unsolicited::{UnsolicitedKind, UnsolicitedObserver};
use counting_stream::{CountingStream, ExchangeState};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use maplehook_core::repeated_responses::ConnectionResponses;
use prometheus_client::metrics::counter::Counter;
use std::cell::{Cell, RefCell};
use std::error::Error;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::{Instant, sleep, timeout};

/// Buffer size of a connection and limit of a response head, in bytes. It bounds the memory that a peer can
/// occupy.
const MAX_BUFFER_BYTES: usize = 32 * 1024;

/// Most bytes read before the head of a response is complete. Interim responses precede it, and some peers
/// send them without end. The limit exceeds the longest head plus the part of the body that is read with it.
const MAX_BYTES_BEFORE_HEAD: usize = 256 * 1024;

/// Checked right before the first byte of a request is written. hyper writes in its own task, later than
/// [`Connection::send`], and the conditions may have changed by then.
pub type WritePermit = Box<dyn Fn() -> Result<(), WithheldReason>>;

/// Open connection. Dropping it closes it, even with a request in flight.
pub struct Connection {
    sender: SendRequest<OutboundBody>,
    task: AbortHandle,
    written: Rc<WriteCounter>,
    exchange: Rc<ExchangeState>,
    peer: SocketAddr,
    responses: RefCell<ConnectionResponses>,
    /// True if there was no memory to keep the buffer of the last request's head.
    has_long_head: Cell<bool>,
}

impl Connection {
    /// Connects to `peer`; `slot` is released when the descriptor is closed. The heads of its messages are reserved
    /// from `memory`.
    pub async fn open<S: Unpin + 'static>(
        peer: SocketAddr,
        slot: S,
        memory: &BufferMemory,
    ) -> io::Result<Self> {
        let stream = TcpStream::connect(peer).await?;
        stream.set_nodelay(true)?;
        let (written, exchange) =
            (Rc::<WriteCounter>::default(), ExchangeState::new(next_number(), peer, memory));
        let io = TokioIo::new(CountingStream::new(stream, Rc::clone(&written), Rc::clone(&exchange), slot));
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(io)
            .await
            .map_err(io::Error::other)?;
        let state = Rc::clone(&exchange);
        let task = tokio::task::spawn_local(async move {
            // The sender reports the error of a request in flight.
            if let Err(e) = connection.await {
                tracing::debug!(connection = state.connection, %peer, "connection to an upstream ended: {e}");
                if is_unexpected_message(&e) {
                    state.report(UnsolicitedKind::BehindResponse, &[]);
                }
            }
            state.ended.notify_one();
        });
        Ok(Self {
            sender,
            task: task.abort_handle(),
            written,
            exchange,
            peer,
            responses: RefCell::default(),
            has_long_head: Cell::default(),
        })
    }

    /// Returns the address of the upstream.
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Returns true if the connection is known to be closed.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Returns true if the connection must not be kept for another request, since its buffers have grown and no
    /// memory was left for them.
    pub fn exceeds_memory(&self) -> bool {
        self.has_long_head.get()
    }

    /// Returns the number of the connection in the log.
    pub fn number(&self) -> u64 {
        self.exchange.connection
    }

    /// Reports unsolicited data to `observer` from now on.
    pub fn observe(&self, observer: Rc<dyn UnsolicitedObserver>) {
        self.exchange.set_observer(observer);
    }

    /// Reports data that the caller recognised as unsolicited.
    pub fn report_unsolicited(&self, kind: UnsolicitedKind) {
        self.exchange.report(kind, &[]);
    }

    /// Records the digest of a response, and returns true if it repeats an earlier one.
    pub fn record_digest(&self, digest: u64) -> bool {
        self.responses.borrow_mut().record(digest)
    }

    /// Waits up to `limit` for anything that follows the response in hand, which is suspected to be a second
    /// response to an earlier request. Returns true if the connection ended, as it does over unsolicited data.
    pub async fn ends_within(&self, limit: Duration) -> bool {
        self.exchange.suspected_delay.set(self.since_last_response());
        let has_ended = timeout(limit, self.exchange.ended.notified()).await.is_ok();
        self.exchange.suspected_delay.set(None);
        has_ended
    }

    /// Marks the connection as idle until the next request.
    pub fn mark_idle(&self) {
        self.exchange.end_response();
    }

    /// Returns the time since the end of the last response; `None` before the first.
    pub fn since_last_response(&self) -> Option<Duration> {
        self.exchange.since_last_response()
    }

    /// Waits until the last response is at least `rest` ago; returns false if the connection was closed.
    pub async fn rest(&self, rest: Duration) -> bool {
        let remaining = self.since_last_response().map(|idle| rest.saturating_sub(idle)).unwrap_or_default();
        sleep(remaining).await;
        !self.is_closed()
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
        self.exchange.heads.begin();
        let head_bytes = usize::try_from(head_length(&request)).unwrap_or(usize::MAX);
        self.has_long_head.set(!self.exchange.heads.extend(head_bytes, 0));
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

/// Returns the number of the next connection.
fn next_number() -> u64 {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    NEXT.fetch_add(1, Ordering::Relaxed)
}

/// Returns true if hyper ended the connection over data that belongs to no response. hyper has no predicate
/// for this error; it is the only one without a source that none of the other predicates covers.
fn is_unexpected_message(e: &hyper::Error) -> bool {
    let is_other = e.is_parse()
        || e.is_user()
        || e.is_canceled()
        || e.is_closed()
        || e.is_incomplete_message()
        || e.is_body_write_aborted()
        || e.is_shutdown()
        || e.is_timeout();
    !is_other && e.source().is_none()
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
            let mut connection = Connection::open(peer, (), &BufferMemory::new(1 << 20)).await.unwrap();
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
