//! A driver on this thread with upstreams that a test plays by hand: nothing is answered until the test says so.

#![allow(dead_code, reason = "each file of tests uses its part")]

use bytes::Bytes;
use hyper::{HeaderMap, Method, Uri};
use maplehook::label::Label;
use maplehook::parts::attempt::OutboundRequest;
use maplehook::parts::body::Payload;
use maplehook::parts::body_memory::BodyMemory;
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

pub const LOOK: u16 = 0;
pub const BOOK: u16 = 1;
pub const KEYED: u16 = 2;
/// How long a key is remembered.
pub const WINDOW: Duration = Duration::from_secs(1);

/// Three classes, one of each effect. No second copies, no calling back.
pub fn settings() -> Settings {
    let class = |effect| Class { latency_objective: LONG, deadline: LONG, effect, ..Class::default() };
    let keyed = Effect::Deduplicated { group: DedupGroup::Zone, ttl: WINDOW };
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

/// None yet; so many connections to them may be open.
pub fn upstreams(settings: &Settings, most_open: usize) -> Rc<Upstreams> {
    use maplehook_admission::descriptor_budget::{
        BASE_DESCRIPTORS, DISCOVERY_DESCRIPTORS, MIN_DESCRIPTORS, REJECTION_DESCRIPTORS,
    };
    let shared_out =
        (MIN_DESCRIPTORS - BASE_DESCRIPTORS - DISCOVERY_DESCRIPTORS - REJECTION_DESCRIPTORS) as f64;
    let descriptors = Descriptors::new(MIN_DESCRIPTORS, 0, (most_open as f64 + 0.5) / shared_out).unwrap();
    assert_eq!(descriptors.limit_of(DescriptorClass::Upstreams), most_open);
    let (room, forwarding) = (BodyMemory::new(1 << 20), Forwarding::platform());
    Rc::new(Upstreams::new(settings, descriptors, room, forwarding, Arc::default()))
}

/// An entry of the list, in zone 0.
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

pub fn driver(settings: Settings, upstreams: Rc<Upstreams>, peers: &[SocketAddr]) -> Rc<Driver> {
    let ready = |(n, address): (usize, &SocketAddr)| entry(n, *address, Availability::Ready, 0);
    let entries = peers.iter().enumerate().map(ready).collect();
    let known = EndpointUpdate { scope: UpdateScope::Cached, entries };
    let balancer = Balancer::new(settings, 7).unwrap();
    Driver::start(balancer, upstreams, Rc::new(Fixed::default()), known)
}

/// A request under this id.
pub fn outgoing(class: u16, id: &str) -> OutboundRequest {
    let mut headers = HeaderMap::new();
    headers.insert("x-correlation-id", id.parse().unwrap());
    let method = if class == LOOK { Method::GET } else { Method::POST };
    let body = if class == LOOK { Bytes::new() } else { Bytes::from_static(b"words") };
    let passage = Rc::new(Passage::platform());
    OutboundRequest {
        method,
        target: Uri::from_static("/day"),
        headers,
        body: Payload::Buffered(body),
        passage,
    }
}

pub fn asked(class: u16, id: &str) -> RequestContext {
    RequestContext {
        class: ClassId(class),
        tenant: TenantId(0),
        deadline: Instant::now() + LONG,
        work_ms: None,
        repeat: false,
        outgoing: outgoing(class, id),
        label: Label::default(),
        presence: None,
    }
}

pub fn name(answer: &Answer) -> &'static str {
    match answer {
        Answer::Served(_) => "served",
        Answer::Rejected(_) => "refused",
        Answer::Failed => "failed",
    }
}

/// Lets all tasks of this thread run until something holds.
pub async fn settle(what: &str, mut holds: impl FnMut() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < LONG, "in vain: {what}");
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

/// Lets each task of this thread run that has been woken, once: they take turns in the order in which they were woken. (What
/// `yield_now` lets go first is the look for what has come from outside.)
pub async fn turn() {
    let mut waits = true;
    std::future::poll_fn(|cx| {
        cx.waker().wake_by_ref();
        if std::mem::take(&mut waits) { Poll::Pending } else { Poll::Ready(()) }
    })
    .await;
}

/// Lets all tasks run that can, a few times over.
pub async fn pass() {
    for _ in 0..4 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

/// An upstream without a task of its own.
pub struct Peer {
    listener: TcpListener,
    pub address: SocketAddr,
    pub links: Vec<Link>,
}

/// One of its connections.
pub struct Link {
    stream: TcpStream,
    /// What has come and belongs to no whole request yet.
    read: Vec<u8>,
    /// The balancer has closed it.
    pub ended: bool,
}

/// A request that has come whole.
#[derive(Clone, Debug)]
pub struct Come {
    pub link: usize,
    pub id: String,
    /// What it was told of the time that is left.
    pub told: Duration,
}

impl Peer {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        let address = listener.local_addr().unwrap();
        Self { listener, address, links: Vec::new() }
    }

    /// Whether a connection has come that was not accepted yet; it is accepted.
    pub fn accept(&mut self) -> bool {
        let Ok((stream, _)) = self.listener.accept() else { return false };
        stream.set_nonblocking(true).unwrap();
        self.links.push(Link { stream, read: Vec::new(), ended: false });
        true
    }

    /// Whether something has come that was not read yet.
    pub fn has_begun(&self, link: usize) -> bool {
        self.links[link].stream.peek(&mut [0]).is_ok_and(|n| n > 0)
    }

    /// Takes in what has come, and returns the next whole request.
    pub fn next(&mut self) -> Option<Come> {
        while self.accept() {}
        self.links.iter_mut().enumerate().find_map(|(link, l)| l.next(link))
    }

    pub fn write(&mut self, link: usize, text: &str) {
        // The balancer may have closed it just now.
        let _ = self.links[link].stream.write_all(text.as_bytes());
    }

    pub fn answer(&mut self, link: usize, body: &str) {
        self.write(link, &ok(body));
    }

    /// Ends a connection in order; it stays in its place.
    pub fn close(&mut self, link: usize) {
        let _ = self.links[link].stream.shutdown(std::net::Shutdown::Both);
        self.links[link].ended = true;
    }

    /// Resets a connection; it stays in its place.
    pub fn reset(&mut self, link: usize) {
        let socket = socket2::SockRef::from(&self.links[link].stream);
        let _ = socket.set_linger(Some(Duration::ZERO));
        // Its place is taken by one that leads nowhere.
        let nowhere = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        self.links[link] = Link { stream: nowhere.into(), read: Vec::new(), ended: true };
    }
}

impl Link {
    fn next(&mut self, link: usize) -> Option<Come> {
        let mut buffer = [0; 64 * 1024];
        while !self.ended {
            match self.stream.read(&mut buffer) {
                Ok(0) => self.ended = true,
                Ok(n) => self.read.extend_from_slice(&buffer[..n]),
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(_) => self.ended = true,
            }
        }
        let text = String::from_utf8_lossy(&self.read).into_owned();
        let (head, _) = text.split_once("\r\n\r\n")?;
        let header = |name: &str| {
            let lines = head.lines().filter_map(|line| line.split_once(": "));
            lines.filter(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, value)| value.to_owned()).next()
        };
        let length: usize = header("content-length").map_or(0, |n| n.parse().unwrap());
        let whole = head.len() + 4 + length;
        if self.read.len() < whole {
            return None;
        }
        let id = header("x-correlation-id").unwrap_or_default();
        let told = header("x-time-left-ms").map_or(0, |ms| ms.parse().unwrap());
        self.read.drain(..whole);
        Some(Come { link, id, told: Duration::from_millis(told) })
    }
}

pub fn ok(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

pub const ERROR: &str = "HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n";
pub const TURNED_AWAY: &str = "HTTP/1.1 503 Later\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n";
