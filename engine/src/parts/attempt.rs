//! Attempts: a request at one upstream, and what came of it.
//!
//! That an attempt never ran is said only of what can be proved: no connection was made, the kernel did not take so
//! much of the request that it could have begun before the connection ended, or the upstream says so itself.

use crate::parts::answer::{AnswerBody, Served, Stream, is_unreadable};
use crate::parts::body::{Failure, Gathered, Payload, gather};
use crate::parts::connection::{Connection, head_length, wire_length};
use crate::parts::headers::{LOAD, TIME_LEFT};
use crate::parts::room::{Room, Taken};
use crate::parts::upstream::{Upstream, Upstreams};
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Frame, Incoming};
use hyper::header::{CONTENT_LENGTH, HOST, HeaderMap, HeaderValue, TE, TRANSFER_ENCODING};
use hyper::http::response::Parts;
use hyper::{Method, Request, StatusCode, Uri};
use lapisroute::{Outcome, Reports, UpstreamId};
use maplehook_routes::{Answers, Begins, Means, Passage};
use prometheus_client::metrics::counter::Counter;
use std::collections::VecDeque;
use std::fmt;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// The longest body of an answer that does not pass.
const ERROR_MOST: usize = 64 * 1024;
/// How long a probe may take.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// A request as it is passed on.
#[derive(Clone, Debug)]
pub struct Outgoing {
    /// Its method.
    pub method: Method,
    /// Path and query.
    pub target: Uri,
    /// Its end-to-end headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Payload,
    /// How messages of its class pass.
    pub passage: Rc<Passage>,
}

/// How an attempt or a probe ended, or that its answer streams from now on.
#[derive(Debug)]
pub struct Ended {
    /// The outcome.
    pub outcome: Outcome,
    /// The final answer, if it is one.
    pub served: Option<Served>,
    /// An error in the upstream's own words, for when nothing is left to try.
    pub words: Option<Served>,
    /// A load report, in the order of the settings; empty if none came.
    pub report: Vec<f32>,
}

impl From<Outcome> for Ended {
    fn from(outcome: Outcome) -> Self {
        Self { outcome, served: None, words: None, report: Vec::new() }
    }
}

/// The head of an answer, and its body.
struct Reply {
    parts: Parts,
    means: Means,
    body: Coming,
}

enum Coming {
    Whole(Bytes),
    Streams(VecDeque<Frame<Bytes>>, Incoming),
}

impl Upstreams {
    /// Sends a request to an upstream and waits for the answer until `give_up`.
    pub async fn attempt(self: &Rc<Self>, id: UpstreamId, outgoing: &Outgoing, give_up: Instant) -> Ended {
        self.send(id, outgoing, give_up, Some(&self.tally.sends), false).await
    }

    /// The same of a request that was attempted before.
    pub async fn repeat(self: &Rc<Self>, id: UpstreamId, outgoing: &Outgoing, give_up: Instant) -> Ended {
        self.send(id, outgoing, give_up, Some(&self.tally.sends), true).await
    }

    /// The same; `sends` counts what has left whole.
    async fn send(
        self: &Rc<Self>,
        id: UpstreamId,
        outgoing: &Outgoing,
        give_up: Instant,
        sends: Option<&Counter>,
        repeat: bool,
    ) -> Ended {
        let Some(upstream) = self.get(id) else { return Outcome::NotSent.into() };
        loop {
            if outgoing.body.is_spent() {
                return Outcome::NotSent.into();
            }
            let (mut connection, reused) = match self.connection(id, &upstream, give_up).await {
                Ok(got) => got,
                Err(outcome) => return outcome.into(),
            };
            let left = give_up.saturating_duration_since(Instant::now());
            // The moment of writing: it may have begun to drain while the connection was made.
            if !upstream.ready.get() || left.is_zero() || !self.may_write(repeat) {
                self.put_back(id, &upstream, connection);
                return Outcome::NotSent.into();
            }
            let request = request(outgoing, left, &connection);
            let (before, head, all) = (connection.written(), head_length(&request), wire_length(&request));
            let stated = matches!(outgoing.body, Payload::Whole(_)).then_some(all);
            connection.counts(stated, sends.cloned());
            // What has gone less far than this can't have begun.
            let begins = if outgoing.passage.begins == Begins::LastByte { all } else { head };
            let exchanged = exchange(&mut connection, request, &outgoing.passage, &self.room);
            let exchanged = within(&outgoing.body, give_up, exchanged).await;
            let written = connection.written() - before;
            // One that streams has its end where its last byte is, whatever it says of its length.
            let may_have_begun = match &outgoing.body {
                Payload::Upload(upload) if outgoing.passage.begins == Begins::LastByte => upload.is_whole(),
                _ => written >= begins,
            };
            match exchanged {
                Some(Ok(reply)) => {
                    return self.answered(id, upstream, connection, outgoing, reply, before + all);
                }
                // It had ended unseen while idle. Nothing of the request has left: another is taken.
                Some(Err(_)) if reused && written == 0 => {}
                Some(Err(e)) => {
                    tracing::debug!(upstream = id.0, written, all, "broken: {e}");
                    return match e {
                        _ if is_its_senders(&outgoing.body) => Outcome::Cancelled,
                        // It has been read, whole or not, by an upstream that lives and has answered.
                        Broken::Spoilt(_) => Outcome::Error,
                        Broken::Ended(_) if !may_have_begun => Outcome::ConnectFailed,
                        Broken::Ended(_) => Outcome::Reset,
                    }
                    .into();
                }
                None if is_its_senders(&outgoing.body) => return Outcome::Cancelled.into(),
                None if !may_have_begun => return Outcome::NotSent.into(),
                None => return Outcome::TimedOut.into(),
            }
        }
    }

    /// Asks an upstream how it is.
    pub async fn probe(self: &Rc<Self>, id: UpstreamId) -> Ended {
        let target =
            Uri::from_static(if self.reports.get() == Reports::Off { "/health/live" } else { "/stats" });
        let mut headers = HeaderMap::with_capacity(3);
        headers.insert(HOST, HeaderValue::from_static("upstream"));
        let (body, passage) = (Payload::Whole(Bytes::new()), Rc::clone(&self.probing));
        let outgoing = Outgoing { method: Method::GET, target, headers, body, passage };
        let mut ended = self.send(id, &outgoing, Instant::now() + PROBE_TIMEOUT, None, false).await;
        if let Some(Served { body: AnswerBody::Whole(body), .. }) = &ended.served
            && self.reports.get() != Reports::Off
            && ended.report.is_empty()
        {
            ended.report = self.read_report(body);
        }
        ended
    }

    /// Takes in an answer. `whole` is what its connection has written when the request has left whole.
    fn answered(
        self: &Rc<Self>,
        id: UpstreamId,
        upstream: Rc<Upstream>,
        connection: Connection,
        outgoing: &Outgoing,
        reply: Reply,
        whole: u64,
    ) -> Ended {
        let Reply { parts: Parts { status, mut headers, .. }, means, body } = reply;
        let load = headers.remove(LOAD).filter(|_| self.reports.get() == Reports::Inline);
        let report = load.map_or_else(Vec::new, |load| self.read_report(load.as_bytes()));
        let headless = outgoing.method == Method::HEAD || status == StatusCode::NOT_MODIFIED;
        self.forwarding.answer(&mut headers, matches!(body, Coming::Streams(..)), headless);
        // An answer that came before the request had left whole leaves the rest in the way.
        let payload = outgoing.body.clone();
        let has_left = move |connection: &Connection| match &payload {
            Payload::Whole(_) => connection.written() >= whole,
            Payload::Upload(upload) => upload.is_whole(),
        };
        let body = match body {
            Coming::Whole(body) => {
                if has_left(&connection) {
                    self.put_back(id, &upstream, connection);
                }
                AnswerBody::Whole(body)
            }
            Coming::Streams(read, incoming) => {
                let (upstreams, (idle, total)) = (Rc::clone(self), outgoing.passage.patience());
                let put_back = Box::new(move |connection: Connection| {
                    if has_left(&connection) {
                        upstreams.put_back(id, &upstream, connection);
                    }
                });
                let until = Instant::now() + total;
                AnswerBody::Stream(Stream::new(read, incoming, connection, put_back, idle, until))
            }
        };
        let (served, spoke) = (Served { status, headers, body }, outgoing.passage.last_error_passes);
        let (outcome, served, words) = match means {
            Means::Final { well: true } => (Outcome::Ok, Some(served), None),
            Means::Final { well: false } => (Outcome::Error, Some(served), None),
            Means::TurnedAway => (Outcome::Rejected, None, None),
            Means::Overload => (Outcome::Overloaded, None, Some(served).filter(|_| spoke)),
            Means::Error => (Outcome::Error, None, Some(served).filter(|_| spoke)),
        };
        Ended { outcome, served, words, report }
    }
}

/// Whether a request has broken by its sender's fault.
fn is_its_senders(body: &Payload) -> bool {
    matches!(body, Payload::Upload(upload) if upload.fault().is_some())
}

/// What comes in time. A body that streams has times of its own.
async fn within<T>(body: &Payload, give_up: Instant, exchange: impl Future<Output = T>) -> Option<T> {
    match body {
        Payload::Whole(_) => timeout_at(give_up, exchange).await.ok(),
        Payload::Upload(upload) => tokio::select! {
            done = exchange => Some(done),
            () = upload.is_over() => None,
        },
    }
}

/// The request of one attempt: how long the balancer will wait is its own.
fn request(
    outgoing: &Outgoing,
    left: Duration,
    connection: &Connection,
) -> Request<crate::parts::body::Outbound> {
    let mut headers = outgoing.headers.clone();
    // The time of a body that streams is its own; the answer's counts from its last byte.
    let left = outgoing.body.upload().map_or(left, |upload| upload.answer_most().min(left));
    headers.insert(TIME_LEFT, HeaderValue::from(left.as_millis() as u64));
    let body = connection.outbound(&outgoing.body);
    let enclosing = matches!(outgoing.method, Method::POST | Method::PUT | Method::PATCH);
    if let Some(length) = body.size_hint().exact().filter(|length| *length > 0 || enclosing) {
        headers.insert(CONTENT_LENGTH, HeaderValue::from(length));
    }
    // What streams may have trailers.
    headers.insert(TE, HeaderValue::from_static("trailers"));
    let mut request = Request::new(body);
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

/// What went wrong with a body.
fn broken_body(e: Failure) -> Broken {
    if is_unreadable(&e) { Broken::Spoilt(e) } else { Broken::Ended(e) }
}

/// One request, and its answer: whole, or from its first byte.
async fn exchange(
    connection: &mut Connection,
    request: Request<crate::parts::body::Outbound>,
    passage: &Passage,
    room: &Room,
) -> Result<Reply, Broken> {
    let (parts, body) = connection.send(request).await?.into_parts();
    if parts.headers.contains_key(CONTENT_LENGTH) && parts.headers.contains_key(TRANSFER_ENCODING) {
        return Err(Broken::Spoilt("two lengths".into()));
    }
    if parts.status == StatusCode::SWITCHING_PROTOCOLS {
        return Err(Broken::Spoilt("an upgrade that nobody asked for".into()));
    }
    let means = passage.meaning.of(parts.status, &parts.headers);
    let Answers { buffer, hold, most, .. } = passage.answers;
    let body = match means {
        Means::Final { .. } => {
            let stated = body.size_hint().exact();
            if let Some(n) = stated.filter(|n| *n > most) {
                return Err(Broken::Spoilt(format!("{n} bytes are too long").into()));
            }
            let holds = match stated {
                Some(n) => (n <= buffer as u64).then_some(n as usize),
                None => (!hold.is_zero()).then_some(buffer),
            };
            match holds.and_then(|n| room.take_long(n)) {
                Some(taken) if stated.is_some() => {
                    Coming::Whole(taken.with(gather(body).await.map_err(broken_body)?))
                }
                Some(taken) => held(body, buffer, Instant::now() + hold, taken).await?,
                // Where there is no room to hold it, its reader sets the pace.
                None => Coming::Streams(VecDeque::new(), body),
            }
        }
        _ => Coming::Whole(whole(body, ERROR_MOST, room).await?),
    };
    Ok(Reply { parts, means, body })
}

/// A body that did not say how long it is: whole if it ends within `buffer` bytes and by `until`.
async fn held(mut body: Incoming, buffer: usize, until: Instant, taken: Taken) -> Result<Coming, Broken> {
    let mut read = Gathered::default();
    let mut trailers = None;
    while read.len() <= buffer && trailers.is_none() {
        let Ok(frame) = timeout_at(until, body.frame()).await else { break };
        match frame.transpose().map_err(|e| broken_body(e.into()))?.map(Frame::into_data) {
            Some(Ok(data)) => read.push(data),
            // They follow what is passed on as it came.
            Some(Err(last)) => trailers = Some(last),
            None => return Ok(Coming::Whole(taken.shrunk(read.len()).with(read.whole()))),
        }
    }
    let data = read.whole();
    let data = (!data.is_empty()).then(|| Frame::data(data));
    Ok(Coming::Streams(data.into_iter().chain(trailers).collect(), body))
}

/// A whole body of `most` bytes at the most, if there is room for it.
async fn whole(body: Incoming, most: usize, room: &Room) -> Result<Bytes, Broken> {
    let stated = body.size_hint().exact().map_or(most, |n| usize::try_from(n).unwrap_or(usize::MAX));
    if stated > most {
        return Err(Broken::Spoilt(format!("{stated} bytes are too long").into()));
    }
    let taken = room.take_long(stated).ok_or_else(|| Broken::Spoilt("no room for an answer".into()))?;
    let body = gather(Limited::new(body, most)).await.map_err(broken_body)?;
    Ok(taken.shrunk(body.len()).with(body))
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::parts::upstream::Place;
    use lapisroute::{Availability, Settings};
    use std::sync::Arc;
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    use tokio::net::TcpListener;
    use tokio::task::spawn_local;

    const ID: UpstreamId = UpstreamId(7);
    const LONG: Duration = Duration::from_secs(20);
    const SHORT: usize = 64 * 1024;
    const ROOM: usize = 4 << 20;

    fn outgoing() -> Outgoing {
        Outgoing {
            method: Method::POST,
            target: Uri::from_static("/book"),
            headers: HeaderMap::new(),
            body: Payload::Whole(Bytes::from_static(b"x")),
            passage: Rc::new(Passage::platform()),
        }
    }

    async fn upstreams(most_open: usize) -> (Rc<Upstreams>, TcpListener, Place) {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let settings = Settings { connect_timeout: LONG, conn_idle: LONG, ..Settings::default() };
        let upstreams = Rc::new(Upstreams::new(
            &settings,
            crate::parts::pool::tests::descriptors(most_open),
            Room::new(ROOM),
            maplehook_routes::Forwarding::platform(),
            Arc::default(),
        ));
        let endpoint = Some(listener.local_addr().unwrap());
        let place = Place { endpoint, availability: Availability::Ready, boot_ms: 0 };
        upstreams.place(ID, &place);
        (upstreams, listener, place)
    }

    /// Guards what is acted on after its time: a process that was stopped writes no repeat by rules that have run out.
    #[tokio::test(flavor = "local")]
    async fn a_lease_that_has_run_out_is_found_in_the_moment_of_writing() {
        use crate::parts::upstream::Lease;
        let (upstreams, listener, _) = upstreams(8).await;
        let until = Instant::now();
        upstreams.lease(Lease::Until { until, first_too: false });
        let request = outgoing();
        let ended = upstreams.repeat(ID, &request, Instant::now() + LONG).await;
        assert_eq!(ended.outcome, Outcome::NotSent);
        upstreams.lease(Lease::Until { until, first_too: true });
        let ended = upstreams.attempt(ID, &request, Instant::now() + LONG).await;
        assert_eq!(ended.outcome, Outcome::NotSent);
        // Within its time, and for a first attempt where that may go on, it is written.
        for lease in [
            Lease::Until { until: Instant::now() + LONG, first_too: true },
            Lease::Until { until, first_too: false },
        ] {
            upstreams.lease(lease);
            let held = Rc::clone(&upstreams);
            let attempt =
                spawn_local(async move { held.attempt(ID, &outgoing(), Instant::now() + LONG).await });
            // The first ones were made for what was not written.
            loop {
                let (mut stream, _) = listener.accept().await.unwrap();
                let mut first = [0; 4];
                if stream.read_exact(&mut first).await.is_ok() {
                    break;
                }
            }
            attempt.abort();
        }
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
                let AnswerBody::Whole(body) = ended.served.expect("an answer").body else {
                    panic!("it streams")
                };
                assert_eq!(body, "new");
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
        let body =
            format!("HTTP/1.1 500 Oh\r\nTransfer-Encoding: chunked\r\n\r\n11000\r\n{}", "y".repeat(0x1_1000));
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

    /// Guards this machine's memory against many answers at once: short ones are held while there is room, and give it
    /// back when the client's side lets go of them; without room they stream, as long ones do in any case.
    #[tokio::test(flavor = "local")]
    async fn answers_are_held_while_there_is_room_and_else_stream() {
        let (upstreams, listener, _) = upstreams(8).await;
        let mut held = Vec::new();
        for (n, length) in (0..70).map(|n| (n, SHORT)).chain([(70, SHORT + 1), (71, 1 << 20)]) {
            let body = "y".repeat(length);
            let chunks =
                body.as_bytes().chunks(4 << 10).map(|c| format!("1000\r\n{}\r\n", "y".repeat(c.len())));
            let text = match n % 2 {
                0 => format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}"),
                _ => format!(
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{}0\r\n\r\n",
                    chunks.collect::<String>()
                ),
            };
            upstreams.close_idle(ID);
            let request = outgoing();
            let answers = async {
                let (mut stream, _) = listener.accept().await.unwrap();
                assert!(stream.read(&mut [0; 1024]).await.unwrap() > 0);
                spawn_local(async move {
                    let _ = stream.write_all(text.as_bytes()).await;
                    let _ = stream.read(&mut [0; 1]).await;
                });
            };
            let (ended, ()) = tokio::join!(upstreams.attempt(ID, &request, Instant::now() + LONG), answers);
            let served = ended.served.expect("an answer");
            let streams = matches!(served.body, AnswerBody::Stream(_));
            assert_eq!(streams, n >= 64, "{n}");
            if streams {
                assert_eq!(served.body.collect().await.unwrap().to_bytes().len(), length, "{n}");
            } else {
                held.push(served);
            }
        }
        drop(held);
        assert_eq!(upstreams.room.left(), ROOM);
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
