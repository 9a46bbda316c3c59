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
    /// Sends a request to an upstream and waits for the answer until `give_up`; `repeat`: it was attempted before.
    pub async fn attempt(
        self: &Rc<Self>,
        id: UpstreamId,
        outgoing: &Outgoing,
        give_up: Instant,
        repeat: bool,
    ) -> Ended {
        self.send(id, outgoing, give_up, Some(&self.tally.sends), repeat).await
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
mod tests;
