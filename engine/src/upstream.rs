//! The upstreams' side: their addresses, attempts and probes, and what the outcomes are.
//!
//! That an attempt never ran is said only of what can be proved: no connection was made, the kernel did not
//! take the request's last byte before the connection ended, or the upstream says so itself.

use crate::connection::{Connection, wire_length};
use crate::descriptors::{self, Descriptors, out_of_descriptors, own_fault};
use crate::headers::{self, LOAD, TIME_LEFT, UNPROCESSED};
use crate::pool::Pool;
use crate::seldom::Seldom;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Body;
use hyper::header::{CONTENT_LENGTH, HOST, HeaderMap, HeaderValue, TRANSFER_ENCODING};
use hyper::{Method, Request, Response, StatusCode, Uri};
use lapisroute::{Availability, LoadField, Outcome, Reports, Settings, UpstreamId};
use rustc_hash::FxHashMap;
use std::cell::{Cell, RefCell};
use std::error::Error;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout_at};

/// The longest body of an answer; more is no answer. Those of requests are shorter: some answers hold some
/// hundred KiB.
const BODY_MOST: usize = 1024 * 1024;
/// Answers up to this length always find room; longer ones share what there is.
const BODY_SMALL: usize = 64 * 1024;
/// Share of the upstreams' idle time after which a connection is closed or not used any more: a request that
/// crosses the upstream's own close ends as a reset, and an unsafe one is lost to its client then.
const IDLE_SHARE: f64 = 0.8;
/// How long a probe may take.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// A request as it is passed on.
pub struct Outgoing {
    /// Its method.
    pub method: Method,
    /// Path and query.
    pub target: Uri,
    /// Its end-to-end headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

/// An upstream's 200 answer.
#[derive(Debug)]
pub struct Served {
    /// Its end-to-end headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

/// How an attempt or a probe ended.
#[derive(Debug)]
pub struct Ended {
    /// The outcome.
    pub outcome: Outcome,
    /// The answer, with [`Outcome::Ok`].
    pub served: Option<Served>,
    /// A load report, in the order of the settings; empty if none came.
    pub report: Vec<f32>,
}

impl From<Outcome> for Ended {
    fn from(outcome: Outcome) -> Self {
        Self { outcome, served: None, report: Vec::new() }
    }
}

/// An entry of the list, as far as connections go.
#[derive(Clone, Debug, PartialEq)]
pub struct Place {
    /// Where it listens; `None` if the list did not say so in a readable way.
    pub endpoint: Option<SocketAddr>,
    /// Whether it takes requests.
    pub availability: Availability,
    /// When it last started, by the list.
    pub boot_ms: u64,
}

struct Upstream {
    endpoint: Cell<Option<SocketAddr>>,
    boot_ms: Cell<u64>,
    /// Cleared once it drains or is gone: attempts that still wait for a connection look here.
    ready: Cell<bool>,
}

/// All upstreams known.
pub struct Upstreams {
    known: RefCell<FxHashMap<UpstreamId, Rc<Upstream>>>,
    pool: Pool,
    descriptors: Rc<Descriptors>,
    long_answers: Room,
    connect_timeout: Duration,
    reports: Reports,
    report_fields: Vec<LoadField>,
    odd_reports: Seldom,
    short: Seldom,
}

impl Upstreams {
    /// None yet; connections to them share the descriptors that upstreams may have, and long answers in hand
    /// hold at most `long_answers` bytes.
    pub fn new(settings: &Settings, descriptors: Rc<Descriptors>, long_answers: usize) -> Self {
        Self {
            known: RefCell::default(),
            pool: Pool::new(Rc::clone(&descriptors), settings.conn_idle.mul_f64(IDLE_SHARE)),
            descriptors,
            long_answers: Room(Arc::new(AtomicUsize::new(long_answers))),
            connect_timeout: settings.connect_timeout,
            reports: settings.reports,
            report_fields: settings.report_fields.clone(),
            odd_reports: Seldom::default(),
            short: Seldom::default(),
        }
    }

    /// Takes in what the list says of one.
    pub fn place(&self, id: UpstreamId, place: &Place) {
        let mut known = self.known.borrow_mut();
        if place.availability == Availability::Gone {
            if let Some(upstream) = known.remove(&id) {
                upstream.ready.set(false);
            }
            self.pool.close(id);
            return;
        }
        let upstream = known.entry(id).or_insert_with(|| {
            Rc::new(Upstream {
                endpoint: Cell::new(None),
                boot_ms: Cell::new(place.boot_ms),
                ready: Cell::new(false),
            })
        });
        let moved = place.endpoint.is_some() && upstream.endpoint.get() != place.endpoint;
        if moved {
            upstream.endpoint.set(place.endpoint);
        }
        upstream.ready.set(place.availability == Availability::Ready);
        // Connections to a process that is no more, or wants nothing new, serve nobody.
        if upstream.boot_ms.replace(place.boot_ms) != place.boot_ms || moved || !upstream.ready.get() {
            self.pool.close(id);
        }
    }

    /// Forgets all that `listed` does not name: they are gone.
    pub fn keep_only(&self, listed: impl Fn(UpstreamId) -> bool) {
        self.known.borrow_mut().retain(|id, upstream| {
            let stays = listed(*id);
            if !stays {
                upstream.ready.set(false);
                self.pool.close(*id);
            }
            stays
        });
    }

    /// Closes the idle connections to one.
    pub fn close_idle(&self, id: UpstreamId) {
        self.pool.close(id);
    }

    /// Closes the connection that has been idle longest, for its descriptor; `false` if none is idle.
    pub fn close_oldest(&self) -> bool {
        self.pool.close_oldest()
    }

    /// There are fewer descriptors than there were, or more.
    pub fn resized(&self) {
        self.pool.shrink();
    }

    /// Closes what has been idle for long, again and again.
    pub async fn sweep(&self) {
        self.pool.sweep().await;
    }

    fn put_back(&self, id: UpstreamId, upstream: &Upstream, connection: Connection) {
        if upstream.ready.get() && upstream.endpoint.get() == Some(connection.peer()) {
            self.pool.put(id, connection);
        }
    }

    /// A connection in use before, or else a new one; `true`: in use before.
    async fn connection(
        &self,
        id: UpstreamId,
        upstream: &Upstream,
        give_up: Instant,
    ) -> Result<(Connection, bool), Outcome> {
        while let Some(mut connection) = self.pool.take(id) {
            if connection.is_usable().await {
                return Ok((connection, true));
            }
        }
        let Some(endpoint) = upstream.endpoint.get() else { return Err(Outcome::NotSent) };
        let until = give_up.min(Instant::now() + self.connect_timeout);
        loop {
            // Out of descriptors or of time says nothing of the upstream.
            let Ok(slot) = timeout_at(until, self.pool.slot()).await else { return Err(Outcome::NotSent) };
            match timeout_at(until, Connection::open(endpoint, slot)).await {
                Ok(Ok(connection)) => return Ok((connection, false)),
                Ok(Err(e)) if out_of_descriptors(&e) => {
                    self.descriptors.starved("connect");
                    if Instant::now() + descriptors::PAUSE >= until {
                        return Err(Outcome::NotSent);
                    }
                    sleep(descriptors::PAUSE).await;
                }
                Ok(Err(e)) if own_fault(&e) => {
                    self.short.warn(|| format!("no connection to {endpoint}: {e}"));
                    return Err(Outcome::NotSent);
                }
                Ok(Err(e)) => {
                    tracing::debug!(%endpoint, "no connection: {e}");
                    return Err(Outcome::ConnectFailed);
                }
                Err(_) if until == give_up => return Err(Outcome::NotSent),
                Err(_) => return Err(Outcome::ConnectFailed),
            }
        }
    }

    /// Sends a request to an upstream and waits for the answer until `give_up`.
    pub async fn attempt(&self, id: UpstreamId, outgoing: &Outgoing, give_up: Instant) -> Ended {
        let upstream = self.known.borrow().get(&id).map(Rc::clone);
        let Some(upstream) = upstream else { return Outcome::NotSent.into() };
        loop {
            let (mut connection, reused) = match self.connection(id, &upstream, give_up).await {
                Ok(got) => got,
                Err(outcome) => return outcome.into(),
            };
            let left = give_up.saturating_duration_since(Instant::now());
            // The moment of writing: it may have begun to drain while the connection was made.
            if !upstream.ready.get() || left.is_zero() {
                self.put_back(id, &upstream, connection);
                return Outcome::NotSent.into();
            }
            let request = request(outgoing, left);
            let (before, length) = (connection.written(), wire_length(&request));
            let exchanged = timeout_at(give_up, exchange(&mut connection, request, &self.long_answers)).await;
            let written = connection.written() - before;
            match exchanged {
                Ok(Ok(response)) => {
                    // An answer that came before the request had left whole leaves the rest in the way.
                    if written >= length {
                        self.put_back(id, &upstream, connection);
                    }
                    return self.answered(response);
                }
                // It had ended unseen while idle. Nothing of the request has left: another is taken.
                Ok(Err(_)) if reused && written == 0 => {}
                Ok(Err(e)) => {
                    tracing::debug!(upstream = id.0, written, length, "broken: {e}");
                    return match e {
                        // It has been read, whole or not, by an upstream that lives and has answered.
                        Broken::Spoilt(_) => Outcome::Error,
                        Broken::Ended(_) if written < length => Outcome::ConnectFailed,
                        Broken::Ended(_) => Outcome::Reset,
                    }
                    .into();
                }
                Err(_) => {
                    return if written < length { Outcome::NotSent } else { Outcome::TimedOut }.into();
                }
            }
        }
    }

    /// Asks an upstream how it is.
    pub async fn probe(&self, id: UpstreamId) -> Ended {
        let target = Uri::from_static(if self.reports == Reports::Off { "/health/live" } else { "/stats" });
        let mut headers = HeaderMap::with_capacity(3);
        headers.insert(HOST, HeaderValue::from_static("upstream"));
        let outgoing = Outgoing { method: Method::GET, target, headers, body: Bytes::new() };
        let mut ended = self.attempt(id, &outgoing, Instant::now() + PROBE_TIMEOUT).await;
        if let Some(served) = &ended.served
            && self.reports != Reports::Off
            && ended.report.is_empty()
        {
            ended.report = self.read_report(&served.body);
        }
        ended
    }

    fn answered(&self, response: Response<Bytes>) -> Ended {
        let (parts, body) = response.into_parts();
        let mut headers = parts.headers;
        let load = headers.remove(LOAD).filter(|_| self.reports == Reports::Inline);
        let report = load.map_or_else(Vec::new, |load| self.read_report(load.as_bytes()));
        let unprocessed = headers.get(UNPROCESSED).is_some_and(|v| v.as_bytes() == b"1");
        let outcome = match parts.status {
            StatusCode::OK => Outcome::Ok,
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if unprocessed => Outcome::Rejected,
            _ => Outcome::Error,
        };
        headers::strip_hop_by_hop(&mut headers);
        let served = (outcome == Outcome::Ok).then_some(Served { headers, body });
        Ended { outcome, served, report }
    }

    fn read_report(&self, text: &[u8]) -> Vec<f32> {
        let read = std::str::from_utf8(text).ok().and_then(|t| headers::load_report(t, &self.report_fields));
        read.unwrap_or_else(|| {
            let shown = || String::from_utf8_lossy(&text[..text.len().min(80)]).into_owned();
            self.odd_reports.warn(|| format!("unreadable load report {:?}", shown()));
            Vec::new()
        })
    }
}

/// The request of one attempt: how long the balancer will wait is its own.
fn request(outgoing: &Outgoing, left: Duration) -> Request<Full<Bytes>> {
    let mut headers = outgoing.headers.clone();
    headers.insert(TIME_LEFT, HeaderValue::from(left.as_millis() as u64));
    if outgoing.method != Method::GET || !outgoing.body.is_empty() {
        headers.insert(CONTENT_LENGTH, HeaderValue::from(outgoing.body.len()));
    }
    let mut request = Request::new(Full::new(outgoing.body.clone()));
    *request.method_mut() = outgoing.method.clone();
    *request.uri_mut() = outgoing.target.clone();
    *request.headers_mut() = headers;
    request
}

/// Why an exchange came to no answer.
#[derive(Debug)]
enum Broken {
    /// The connection ended.
    Ended(Failure),
    /// What came is no answer, though the connection stands: the request may have run, and the upstream is
    /// no worse than one that answers with an error.
    Spoilt(Failure),
}

type Failure = Box<dyn Error + Send + Sync>;

impl fmt::Display for Broken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Ended(e) => write!(f, "ended: {e}"),
            Self::Spoilt(e) => write!(f, "spoilt: {e}"),
        }
    }
}

impl From<hyper::Error> for Broken {
    fn from(e: hyper::Error) -> Self {
        if e.is_parse() { Self::Spoilt(e.into()) } else { Self::Ended(e.into()) }
    }
}

/// What went wrong with a body: hyper gives the reason for a framing that can't be read as invalid data.
fn broken_body(e: Failure) -> Broken {
    let io = e.source().and_then(|e| e.downcast_ref::<io::Error>()).map(io::Error::kind);
    let unreadable = matches!(io, Some(io::ErrorKind::InvalidData | io::ErrorKind::InvalidInput));
    if unreadable || e.is::<LengthLimitError>() { Broken::Spoilt(e) } else { Broken::Ended(e) }
}

/// Room for long answers, from the head's word on their length until the client has them.
#[derive(Clone)]
struct Room(Arc<AtomicUsize>);

impl Room {
    fn take(&self, length: usize) -> Option<Taken> {
        let left = self.0.load(Ordering::Relaxed).checked_sub(length)?;
        self.0.store(left, Ordering::Relaxed);
        Some(Taken { room: self.clone(), length })
    }
}

struct Taken {
    room: Room,
    length: usize,
}

impl Drop for Taken {
    fn drop(&mut self) {
        self.room.0.fetch_add(self.length, Ordering::Relaxed);
    }
}

/// A long body and its room, given back together.
struct Long(Bytes, #[expect(dead_code, reason = "held for its drop")] Taken);

impl AsRef<[u8]> for Long {
    fn as_ref(&self) -> &[u8] {
        &self.0
    }
}

/// One request and its whole answer.
async fn exchange(
    connection: &mut Connection,
    request: Request<Full<Bytes>>,
    room: &Room,
) -> Result<Response<Bytes>, Broken> {
    let (parts, body) = connection.send(request).await?.into_parts();
    if parts.headers.contains_key(CONTENT_LENGTH) && parts.headers.contains_key(TRANSFER_ENCODING) {
        return Err(Broken::Spoilt("two lengths".into()));
    }
    let stated = body.size_hint().lower();
    if stated > BODY_MOST as u64 {
        return Err(Broken::Spoilt(format!("{stated} bytes are too long").into()));
    }
    let room = |length: usize| match length {
        ..=BODY_SMALL => Ok(None),
        _ => room.take(length).map(Some).ok_or_else(|| Broken::Spoilt("no room for a long answer".into())),
    };
    let mut taken = room(stated as usize)?;
    let body = Limited::new(body, BODY_MOST).collect().await.map_err(broken_body)?.to_bytes();
    if taken.is_none() {
        // It did not say how long it was.
        taken = room(body.len())?;
    }
    let body = match taken {
        Some(taken) => Bytes::from_owner(Long(body, taken)),
        None => body,
    };
    Ok(Response::from_parts(parts, body))
}

#[cfg(test)]
mod tests {
    use super::*;
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    use tokio::net::TcpListener;
    use tokio::task::spawn_local;

    const ID: UpstreamId = UpstreamId(7);
    const LONG: Duration = Duration::from_secs(20);

    fn outgoing() -> Outgoing {
        Outgoing {
            method: Method::POST,
            target: Uri::from_static("/book"),
            headers: HeaderMap::new(),
            body: Bytes::from_static(b"x"),
        }
    }

    async fn upstreams(most_open: usize) -> (Rc<Upstreams>, TcpListener, Place) {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let settings = Settings { connect_timeout: LONG, conn_idle: LONG, ..Settings::default() };
        let upstreams =
            Rc::new(Upstreams::new(&settings, crate::pool::tests::descriptors(most_open), 4 * BODY_MOST));
        let endpoint = Some(listener.local_addr().unwrap());
        let place = Place { endpoint, availability: Availability::Ready, boot_ms: 0 };
        upstreams.place(ID, &place);
        (upstreams, listener, place)
    }

    /// Guards the drain rule where an attempt was decided on before the news and has no connection yet.
    #[tokio::test(flavor = "local")]
    async fn an_attempt_that_waits_for_a_connection_heeds_a_drain() {
        let (upstreams, listener, mut place) = upstreams(1).await;
        let held = Rc::clone(&upstreams);
        let first = spawn_local(async move { held.attempt(ID, &outgoing(), Instant::now() + LONG).await });
        let (mut stream, _) = listener.accept().await.unwrap();
        assert!(stream.read(&mut [0; 1024]).await.unwrap() > 0);
        // The only place is taken: this one waits.
        let waits = Rc::clone(&upstreams);
        let second = spawn_local(async move { waits.attempt(ID, &outgoing(), Instant::now() + LONG).await });
        tokio::task::yield_now().await;
        place.availability = Availability::Draining;
        upstreams.place(ID, &place);
        stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").await.unwrap();
        assert_eq!(first.await.unwrap().outcome, Outcome::Ok, "what it has it finishes");
        assert_eq!(second.await.unwrap().outcome, Outcome::NotSent);
        assert_eq!(stream.read(&mut [0; 1024]).await.unwrap_or(0), 0, "nothing more came");
    }

    /// Guards against another request's answer: what came behind an answer on a kept connection, a second copy
    /// perhaps and perhaps unseen by this process as yet, is not taken for the answer to the next request.
    #[tokio::test(flavor = "local")]
    async fn what_came_behind_an_answer_serves_nobody() {
        let (upstreams, listener, _) = upstreams(8).await;
        for behind_at_once in [true, false] {
            for _ in 0..20 {
                upstreams.close_idle(ID);
                let first = async {
                    let (mut stream, _) = listener.accept().await.unwrap();
                    assert!(stream.read(&mut [0; 1024]).await.unwrap() > 0);
                    let twice = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\noldHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold";
                    let (now, later) =
                        twice.split_at(if behind_at_once { twice.len() } else { twice.len() / 2 });
                    stream.write_all(now).await.unwrap();
                    (stream, later)
                };
                let request = outgoing();
                let (ended, (mut stream, later)) =
                    tokio::join!(upstreams.attempt(ID, &request, Instant::now() + LONG), first);
                assert_eq!(ended.outcome, Outcome::Ok);
                // No task runs between this and the next attempt, but for this write.
                assert_eq!(stream.try_write(later).unwrap(), later.len());
                let second = async {
                    let (mut stream, _) = listener.accept().await.unwrap();
                    assert!(stream.read(&mut [0; 1024]).await.unwrap() > 0);
                    stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nnew").await.unwrap();
                    stream
                };
                let both =
                    async { tokio::join!(upstreams.attempt(ID, &request, Instant::now() + LONG), second) };
                let (ended, _second) =
                    timeout_at(Instant::now() + LONG, both).await.expect("a new connection");
                assert_eq!(&ended.served.expect("an answer").body[..], b"new");
                let _ = stream.read(&mut [0; 1]).await;
            }
        }
    }

    /// Guards against the moment between an upstream's close and this process's look at it.
    #[tokio::test(flavor = "local")]
    async fn a_connection_that_has_just_been_closed_is_not_written_to() {
        let (upstreams, listener, _) = upstreams(8).await;
        for _ in 0..20 {
            let answer = async {
                let (mut stream, _) = listener.accept().await.unwrap();
                assert!(stream.read(&mut [0; 1024]).await.unwrap() > 0);
                stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").await.unwrap();
                stream
            };
            let request = outgoing();
            // Without the guard the request goes into the old connection and no new one ever comes.
            let both = async { tokio::join!(upstreams.attempt(ID, &request, Instant::now() + LONG), answer) };
            let (ended, stream) = timeout_at(Instant::now() + LONG, both).await.expect("a new connection");
            assert_eq!(ended.outcome, Outcome::Ok);
            // No task runs between this and the next attempt.
            drop(stream);
        }
    }

    /// Guards a fleet whose answers come spoilt now and then from being taken for dead: each such answer is an
    /// error of an upstream that lives, ends the attempt at once, and its connection serves nobody again.
    /// An answer that breaks off with its connection is another thing.
    #[tokio::test(flavor = "local")]
    async fn a_spoilt_answer_is_an_error_and_no_reset() {
        let (upstreams, listener, _) = upstreams(8).await;
        let long = format!("HTTP/1.1 200 OK\r\nX-Long: {}", "y".repeat(80 * 1024));
        let body = format!(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n110000\r\n{}",
            "y".repeat(0x11_0000)
        );
        for (text, outcome) in [
            ("\u{1}\u{2} noise \r\n\r\n", Outcome::Error),
            ("HTTP/1.1 2x0 OK\r\n\r\n", Outcome::Error),
            (&long, Outcome::Error),
            ("HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\ndone", Outcome::Error),
            ("HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\ndone", Outcome::Error),
            ("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\ndone", Outcome::Error),
            ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\ndone", Outcome::Error),
            (
                "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                Outcome::Error,
            ),
            (&body, Outcome::Error),
            (
                "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
                Outcome::Ok,
            ),
        ] {
            let answer = async {
                let (mut stream, _) = listener.accept().await.unwrap();
                assert!(stream.read(&mut [0; 1024]).await.unwrap() > 0);
                // Where it is cut off on the way, its end was seen early enough.
                let _ = stream.write_all(text.as_bytes()).await;
                stream
            };
            let request = outgoing();
            let both = async { tokio::join!(upstreams.attempt(ID, &request, Instant::now() + LONG), answer) };
            let (ended, _open) = timeout_at(Instant::now() + LONG, both).await.expect("a new connection");
            assert_eq!(ended.outcome, outcome, "{:?}", &text[..text.len().min(80)]);
        }
        for text in ["", "HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\nhalf"] {
            upstreams.close_idle(ID);
            let answer = async {
                let (mut stream, _) = listener.accept().await.unwrap();
                assert!(stream.read(&mut [0; 1024]).await.unwrap() > 0);
                stream.write_all(text.as_bytes()).await.unwrap();
            };
            let request = outgoing();
            let (ended, ()) = tokio::join!(upstreams.attempt(ID, &request, Instant::now() + LONG), answer);
            assert_eq!(ended.outcome, Outcome::Reset, "{text:?}");
        }
    }

    /// Guards long answers, which some upstreams give, and this machine's memory against many at once: their
    /// room comes back when the client's side lets go of them.
    #[tokio::test(flavor = "local")]
    async fn long_answers_pass_while_there_is_room() {
        let (upstreams, listener, _) = upstreams(8).await;
        let body = "y".repeat(BODY_MOST);
        let stated = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        let chunk = format!("Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{body}\r\n0\r\n\r\n", body.len());
        let chunked = format!("HTTP/1.1 200 OK\r\n{chunk}");
        let mut held = Vec::new();
        for n in 0..10 {
            upstreams.close_idle(ID);
            let answer = async {
                let (mut stream, _) = listener.accept().await.unwrap();
                assert!(stream.read(&mut [0; 1024]).await.unwrap() > 0);
                let text = if n % 2 == 0 { &stated } else { &chunked };
                // Where there is no room it is cut off.
                let _ = stream.write_all(text.as_bytes()).await;
            };
            let request = outgoing();
            let (ended, ()) = tokio::join!(upstreams.attempt(ID, &request, Instant::now() + LONG), answer);
            if !(4..=5).contains(&n) {
                let served = ended.served.expect("there is room");
                assert_eq!(served.body.len(), BODY_MOST);
                held.push(served);
            } else {
                assert_eq!(ended.outcome, Outcome::Error, "{n}");
            }
            if n == 5 {
                held.clear();
            }
        }
    }

    /// Guards against running out of descriptors: an idle connection makes room, and where there is none
    /// the wait ends as not sent, which says nothing of the upstream.
    #[tokio::test(flavor = "local")]
    async fn connections_stay_under_the_limit() {
        let (upstreams, listener, place) = upstreams(1).await;
        let other = UpstreamId(8);
        upstreams.place(other, &place);
        for id in [ID, other] {
            let answer = async {
                let (mut stream, _) = listener.accept().await.unwrap();
                assert!(stream.read(&mut [0; 1024]).await.unwrap() > 0);
                stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").await.unwrap();
                stream
            };
            let request = outgoing();
            let (ended, _stream) =
                tokio::join!(upstreams.attempt(id, &request, Instant::now() + LONG), answer);
            assert_eq!(ended.outcome, Outcome::Ok);
            assert_eq!(upstreams.pool.open(), 1);
        }
        let _taken = upstreams.pool.slot().await;
        let ended = upstreams.attempt(ID, &outgoing(), Instant::now() + Duration::from_millis(50)).await;
        assert_eq!(ended.outcome, Outcome::NotSent);
    }
}
