//! A driver on the test's thread, and upstreams that answer only when the test tells them to.

#![allow(dead_code, reason = "each test file uses only some of these helpers")]

pub mod manual_attempts;
pub mod pushed_source;
pub mod timed_calls;

use bytes::Bytes;
use hyper::{HeaderMap, Method, Uri};
use maplehook::label::Label;
use maplehook::metrics::Metrics;
use maplehook::parts::attempt::OutboundRequest;
use maplehook::parts::body::Payload;
use maplehook::parts::buffer_memory::BufferMemory;
use maplehook::parts::descriptors::Descriptors;
use maplehook::parts::driver::{Answer, Driver, RequestContext};
use maplehook::parts::upstream::{EndpointState, Upstreams};
use maplehook::source::{EndpointUpdate, Entry, Fixed};
use maplehook_admission::DescriptorClass;
use maplehook_core::{
    Availability, Balancer, CellId, Class, ClassId, DedupGroup, Effect, KindId, Settings, Tenant, TenantId,
    UpdateScope, UpstreamId, ZoneId,
};
use maplehook_http_semantics::{Forwarding, Passage};
use maplehook_test_servers::LONG;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;
use tokio::time::Instant;

pub const IDEMPOTENT: u16 = 0;
pub const AT_MOST_ONCE: u16 = 1;
pub const DEDUPLICATED: u16 = 2;
/// Time for which upstreams deduplicate requests with the same key.
pub const DEDUP_WINDOW: Duration = Duration::from_secs(1);

/// Returns settings with one class for each effect, without hedging and without cancellation.
pub fn settings() -> Settings {
    let class = |effect| Class { latency_objective: LONG, deadline: LONG, effect, ..Class::default() };
    let keyed = Effect::Deduplicated { group: DedupGroup::Zone, ttl: DEDUP_WINDOW };
    Settings {
        classes: vec![class(Effect::Idempotent), class(Effect::AtMostOnce), class(keyed)],
        tenants: vec![Tenant { allowance_per_s: 1e4 }],
        connect_timeout: Duration::from_millis(300),
        can_hedge: false,
        can_cancel: false,
        max_attempts: 4,
        ..Settings::default()
    }
}

/// Creates an empty set of upstreams that may have `max_open` connections in total.
pub fn upstreams(settings: &Settings, max_open: usize) -> Rc<Upstreams> {
    upstreams_counting(settings, max_open, Arc::default())
}

/// The same with metrics that the test reads.
pub fn upstreams_counting(settings: &Settings, max_open: usize, metrics: Arc<Metrics>) -> Rc<Upstreams> {
    use maplehook_admission::descriptor_budget::{
        BASE_DESCRIPTORS, DISCOVERY_DESCRIPTORS, MIN_DESCRIPTORS, REJECTION_DESCRIPTORS,
    };
    let shared_descriptors =
        (MIN_DESCRIPTORS - BASE_DESCRIPTORS - DISCOVERY_DESCRIPTORS - REJECTION_DESCRIPTORS) as f64;
    let descriptors =
        Descriptors::new(MIN_DESCRIPTORS, 0, (max_open as f64 + 0.5) / shared_descriptors).unwrap();
    assert_eq!(descriptors.limit_of(DescriptorClass::Upstreams), max_open);
    let (body_memory, forwarding) = (BufferMemory::new(1 << 20), Forwarding::platform());
    Rc::new(Upstreams::new(settings, descriptors, body_memory, forwarding, metrics))
}

/// Returns an endpoint list entry in zone 0 with id `n`.
pub fn entry(n: usize, address: SocketAddr, availability: Availability, boot_ms: u64) -> Entry {
    Entry {
        id: UpstreamId(n as u64),
        zone: ZoneId(0),
        kind: KindId(0),
        cell: CellId(0),
        weight: 1.0,
        state: EndpointState { endpoint: Some(address), availability, boot_ms },
    }
}

pub fn driver(settings: Settings, upstreams: Rc<Upstreams>, addresses: &[SocketAddr]) -> Rc<Driver> {
    let ready = |(n, address): (usize, &SocketAddr)| entry(n, *address, Availability::Ready, 0);
    let entries = addresses.iter().enumerate().map(ready).collect();
    let known = EndpointUpdate { scope: UpdateScope::Cached, entries };
    let balancer = Balancer::new(settings, 7).unwrap();
    Driver::start(balancer, upstreams, Rc::new(Fixed::default()), known)
}

/// Returns a request of this class with `id` as its correlation id.
pub fn outbound_request(class: u16, id: &str) -> OutboundRequest {
    let mut headers = HeaderMap::new();
    headers.insert("x-correlation-id", id.parse().unwrap());
    let method = if class == IDEMPOTENT { Method::GET } else { Method::POST };
    let body = if class == IDEMPOTENT { Bytes::new() } else { Bytes::from_static(b"body") };
    let passage = Rc::new(Passage::platform());
    OutboundRequest {
        method,
        target: Uri::from_static("/day"),
        headers,
        body: Payload::Buffered(body),
        passage,
    }
}

pub fn request_context(class: u16, id: &str) -> RequestContext {
    RequestContext {
        class: ClassId(class),
        tenant: TenantId(0),
        deadline: Instant::now() + LONG,
        work_ms: None,
        repeat: false,
        outgoing: outbound_request(class, id),
        label: Label::default(),
        presence: None,
    }
}

pub fn answer_name(answer: &Answer) -> &'static str {
    match answer {
        Answer::Served(_) => "served",
        Answer::Rejected(_) => "rejected",
        Answer::Failed => "failed",
        Answer::Conflict(_) => "conflict",
    }
}

/// Runs the tasks of this thread until the condition holds. Panics after [`LONG`].
pub async fn wait_until(condition: &str, mut is_true: impl FnMut() -> bool) {
    let start = Instant::now();
    while !is_true() {
        assert!(start.elapsed() < LONG, "timed out waiting for: {condition}");
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

/// Runs each woken task of this thread once, in the order in which they were woken. `yield_now` would poll
/// for I/O events first.
pub async fn yield_once() {
    let mut is_first_poll = true;
    std::future::poll_fn(|cx| {
        cx.waker().wake_by_ref();
        if std::mem::take(&mut is_first_poll) { Poll::Pending } else { Poll::Ready(()) }
    })
    .await;
}

/// Runs all runnable tasks for a few milliseconds.
pub async fn run_tasks() {
    for _ in 0..4 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

/// Upstream server that does nothing until the test calls its functions.
pub struct ManualUpstream {
    listener: TcpListener,
    pub address: SocketAddr,
    pub connections: Vec<Connection>,
}

/// Connection from the balancer to a [`ManualUpstream`].
pub struct Connection {
    stream: TcpStream,
    /// Received bytes that do not form a complete request yet.
    buffered: Vec<u8>,
    /// True if either side has closed the connection.
    pub is_closed: bool,
}

/// Request that a [`ManualUpstream`] has received completely.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    /// Index into [`ManualUpstream::connections`].
    pub connection: usize,
    /// Value of the `x-correlation-id` header.
    pub id: String,
    /// Value of the `x-time-left-ms` header.
    pub time_left: Duration,
}

impl ManualUpstream {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        let address = listener.local_addr().unwrap();
        Self { listener, address, connections: Vec::new() }
    }

    /// Accepts a pending connection. Returns false if there is none.
    pub fn accept(&mut self) -> bool {
        let Ok((stream, _)) = self.listener.accept() else { return false };
        stream.set_nonblocking(true).unwrap();
        self.connections.push(Connection { stream, buffered: Vec::new(), is_closed: false });
        true
    }

    /// Returns true if the connection has received bytes that are not read yet.
    pub fn has_unread_bytes(&self, connection: usize) -> bool {
        self.connections[connection].stream.peek(&mut [0]).is_ok_and(|n| n > 0)
    }

    /// Accepts connections, reads received bytes and returns the next complete request.
    pub fn next_request(&mut self) -> Option<ReceivedRequest> {
        while self.accept() {}
        self.connections.iter_mut().enumerate().find_map(|(n, connection)| connection.next_request(n))
    }

    pub fn write(&mut self, connection: usize, text: &str) {
        // The balancer may have closed the connection.
        let _ = self.connections[connection].stream.write_all(text.as_bytes());
    }

    pub fn answer(&mut self, connection: usize, body: &str) {
        self.write(connection, &ok_response(body));
    }

    /// Closes a connection gracefully. Its index stays in use.
    pub fn close(&mut self, connection: usize) {
        let _ = self.connections[connection].stream.shutdown(std::net::Shutdown::Both);
        self.connections[connection].is_closed = true;
    }

    /// Resets a connection. Its index stays in use.
    pub fn reset(&mut self, connection: usize) {
        let socket = socket2::SockRef::from(&self.connections[connection].stream);
        let _ = socket.set_linger(Some(Duration::ZERO));
        // Dropping the stream sends the reset, so an unconnected socket replaces it.
        let unconnected = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        self.connections[connection] =
            Connection { stream: unconnected.into(), buffered: Vec::new(), is_closed: true };
    }
}

impl Connection {
    fn next_request(&mut self, connection: usize) -> Option<ReceivedRequest> {
        let mut buffer = [0; 64 * 1024];
        while !self.is_closed {
            match self.stream.read(&mut buffer) {
                Ok(0) => self.is_closed = true,
                Ok(n) => self.buffered.extend_from_slice(&buffer[..n]),
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(_) => self.is_closed = true,
            }
        }
        let text = String::from_utf8_lossy(&self.buffered).into_owned();
        let (head, _) = text.split_once("\r\n\r\n")?;
        let header = |answer_name: &str| {
            let lines = head.lines().filter_map(|line| line.split_once(": "));
            lines
                .filter(|(n, _)| n.eq_ignore_ascii_case(answer_name))
                .map(|(_, value)| value.to_owned())
                .next()
        };
        let body_length: usize = header("content-length").map_or(0, |n| n.parse().unwrap());
        let request_length = head.len() + 4 + body_length;
        if self.buffered.len() < request_length {
            return None;
        }
        let id = header("x-correlation-id").unwrap_or_default();
        let time_left = header("x-time-left-ms").map_or(0, |ms| ms.parse().unwrap());
        self.buffered.drain(..request_length);
        Some(ReceivedRequest { connection, id, time_left: Duration::from_millis(time_left) })
    }
}

pub fn ok_response(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

pub const ERROR_RESPONSE: &str = "HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n";
pub const UNPROCESSED_RESPONSE: &str = "HTTP/1.1 503 Later\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n";
