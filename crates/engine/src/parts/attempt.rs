//! Attempts: a request at one upstream, and what came of it.
//!
//! That an attempt never ran is said only of what can be proved: no connection was made, the kernel did not take so
//! much of the request that it could have begun before the connection ended, or the upstream says so itself.

mod reply;

use crate::parts::answer::{ResponseBody, Stream, UpstreamResponse};
use crate::parts::attempt_limits::{AttemptLimits, WithheldReason};
use crate::parts::body::Payload;
use crate::parts::connection::{Connection, Permit, head_length, wire_length};
use crate::parts::headers::{LOAD, TIME_LEFT};
use crate::parts::upstream::{Upstream, Upstreams};
use bytes::Bytes;
use hyper::body::Body;
use hyper::header::{CONTENT_LENGTH, HOST, HeaderMap, HeaderValue, TE};
use hyper::http::response::Parts;
use hyper::{Method, Request, StatusCode, Uri};
use maplehook_core::{Outcome, Reports, UpstreamId};
use maplehook_http_semantics::{Begins, Means, Passage};
use prometheus_client::metrics::counter::Counter;
use reply::{Broken, Coming, Reply, exchange};
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// How long a probe may take.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// A request as it is passed on.
#[derive(Clone, Debug)]
pub struct OutboundRequest {
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
pub struct AttemptResult {
    /// The outcome.
    pub outcome: Outcome,
    /// The final answer, if it is one.
    pub response: Option<UpstreamResponse>,
    /// An error in the upstream's own words, for when nothing is left to try.
    pub words: Option<UpstreamResponse>,
    /// A load report, in the order of the settings; empty if none came.
    pub report: Vec<f32>,
}

impl From<Outcome> for AttemptResult {
    fn from(outcome: Outcome) -> Self {
        Self { outcome, response: None, words: None, report: Vec::new() }
    }
}

impl Upstreams {
    /// Sends a request to an upstream and waits for the answer, within these terms.
    pub async fn attempt(
        self: &Rc<Self>,
        id: UpstreamId,
        outgoing: &OutboundRequest,
        terms: AttemptLimits,
    ) -> AttemptResult {
        self.send(id, outgoing, &terms, Some(&self.tally.sends)).await
    }

    /// The same; `sends` counts what has left whole.
    async fn send(
        self: &Rc<Self>,
        id: UpstreamId,
        outgoing: &OutboundRequest,
        terms: &AttemptLimits,
        sends: Option<&Counter>,
    ) -> AttemptResult {
        let Some(upstream) = self.get(id) else { return Outcome::NotSent.into() };
        let process = upstream.process.get();
        loop {
            if outgoing.body.is_spent() {
                return Outcome::NotSent.into();
            }
            let (mut connection, reused) = match self.connection(id, &upstream, terms.give_up).await {
                Ok(got) => got,
                Err(outcome) => return outcome.into(),
            };
            let told = terms.left();
            let permit = self.permit(&upstream, process, terms, told);
            if permit().is_err() {
                self.put_back(id, &upstream, process, connection);
                return Outcome::NotSent.into();
            }
            let request = request(outgoing, told, &connection);
            let (before, head, all) = (connection.written(), head_length(&request), wire_length(&request));
            let stated = matches!(outgoing.body, Payload::Buffered(_)).then_some(all);
            connection.counts(stated, sends.cloned());
            // What has gone less far than this can't have begun.
            let begins = if outgoing.passage.begins == Begins::LastByte { all } else { head };
            let permit = begin_with(permit, terms);
            let answer = connection.send_if(request, permit, terms.write_by);
            let exchanged = exchange(answer, &outgoing.passage, &self.room);
            let exchanged = within(&outgoing.body, terms.give_up, exchanged).await;
            let written = connection.written() - before;
            // One that streams has its end where its last byte is, whatever it says of its length.
            let may_have_begun = match &outgoing.body {
                Payload::Upload(upload) if outgoing.passage.begins == Begins::LastByte => {
                    upload.is_complete()
                }
                _ => written >= begins,
            };
            match exchanged {
                Some(Ok(reply)) if is_anothers(&reply, outgoing, &connection, before + all) => {
                    tracing::debug!(upstream = id.0, written, all, "an answer before the request");
                    return if may_have_begun { Outcome::Error } else { Outcome::ConnectFailed }.into();
                }
                Some(Ok(reply)) => {
                    let from = (id, upstream, process);
                    return self.answered(from, connection, outgoing, reply, before + all);
                }
                // It was held back for too long, or had ended unseen while idle. Nothing of the request has left: it is worded
                // anew, or another connection is taken.
                Some(Err(_)) if written == 0 && connection.withheld() == Some(WithheldReason::Outdated) => {}
                Some(Err(_)) if written == 0 && reused && connection.withheld().is_none() => {}
                Some(Err(e)) => {
                    tracing::debug!(upstream = id.0, written, all, "broken: {e}");
                    return match e {
                        _ if is_its_senders(&outgoing.body) => Outcome::Cancelled,
                        // It has been read, whole or not, by an upstream that lives and has answered.
                        Broken::Spoilt(_) => Outcome::Error,
                        Broken::Ended(_) if may_have_begun => Outcome::Reset,
                        Broken::Ended(_) if connection.withheld().is_some() => Outcome::NotSent,
                        Broken::Ended(_) => Outcome::ConnectFailed,
                    }
                    .into();
                }
                None if is_its_senders(&outgoing.body) => return Outcome::Cancelled.into(),
                None if !may_have_begun => return Outcome::NotSent.into(),
                None => return Outcome::TimedOut.into(),
            }
        }
    }

    /// Whether a request that tells `told` may be written now: the upstream may have begun to drain, or to be another process,
    /// while the connection was made, and this process may have been stopped.
    fn permit(
        self: &Rc<Self>,
        upstream: &Rc<Upstream>,
        process: u32,
        terms: &AttemptLimits,
        told: Duration,
    ) -> impl Fn() -> Result<(), WithheldReason> + 'static {
        let (upstreams, upstream, terms) = (Rc::clone(self), Rc::clone(upstream), terms.clone());
        move || {
            if !upstream.takes(process) || !upstreams.may_write(terms.repeat) {
                return Err(WithheldReason::TooLate);
            }
            terms.allow(told)
        }
    }

    /// Asks an upstream how it is.
    pub async fn probe(self: &Rc<Self>, id: UpstreamId) -> AttemptResult {
        let target =
            Uri::from_static(if self.reports.get() == Reports::Off { "/health/live" } else { "/stats" });
        let mut headers = HeaderMap::with_capacity(3);
        headers.insert(HOST, HeaderValue::from_static("upstream"));
        let (body, passage) = (Payload::Buffered(Bytes::new()), Rc::clone(&self.probing));
        let outgoing = OutboundRequest { method: Method::GET, target, headers, body, passage };
        let terms = AttemptLimits::first(Instant::now() + PROBE_TIMEOUT);
        let mut ended = self.send(id, &outgoing, &terms, None).await;
        if let Some(UpstreamResponse { body: ResponseBody::Buffered(body), .. }) = &ended.response
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
        (id, upstream, process): (UpstreamId, Rc<Upstream>, u32),
        connection: Connection,
        outgoing: &OutboundRequest,
        reply: Reply,
        whole: u64,
    ) -> AttemptResult {
        let Reply { parts: Parts { status, mut headers, .. }, means, body } = reply;
        let load = headers.remove(LOAD).filter(|_| self.reports.get() == Reports::Inline);
        let report = load.map_or_else(Vec::new, |load| self.read_report(load.as_bytes()));
        let headless = outgoing.method == Method::HEAD || status == StatusCode::NOT_MODIFIED;
        self.forwarding.answer(&mut headers, matches!(body, Coming::Streams(..)), headless);
        // An answer that came before the request had left whole leaves the rest in the way.
        let payload = outgoing.body.clone();
        let has_left = move |connection: &Connection| match &payload {
            Payload::Buffered(_) => connection.written() >= whole,
            Payload::Upload(upload) => upload.is_complete() && connection.is_flushed(),
        };
        let body = match body {
            Coming::Whole(body) => {
                if has_left(&connection) {
                    self.put_back(id, &upstream, process, connection);
                }
                ResponseBody::Buffered(body)
            }
            Coming::Streams(read, incoming) => {
                let (upstreams, (idle, total)) = (Rc::clone(self), outgoing.passage.patience());
                let put_back = Box::new(move |connection: Connection| {
                    if has_left(&connection) {
                        upstreams.put_back(id, &upstream, process, connection);
                    }
                });
                let until = Instant::now() + total;
                ResponseBody::Stream(Stream::new(read, incoming, connection, put_back, idle, until))
            }
        };
        let (response, spoke) =
            (UpstreamResponse { status, headers, body }, outgoing.passage.last_error_passes);
        let (outcome, response, words) = match means {
            Means::Final { well: true } => (Outcome::Ok, Some(response), None),
            Means::Final { well: false } => (Outcome::Error, Some(response), None),
            Means::TurnedAway => (Outcome::Rejected, None, None),
            Means::Overload => (Outcome::Overloaded, None, Some(response).filter(|_| spoke)),
            Means::Error => (Outcome::Error, None, Some(response).filter(|_| spoke)),
        };
        AttemptResult { outcome, response, words, report }
    }
}

/// A permit that tells the terms when it is given.
fn begin_with(permit: impl Fn() -> Result<(), WithheldReason> + 'static, terms: &AttemptLimits) -> Permit {
    let terms = terms.clone();
    Box::new(move || {
        permit()?;
        terms.begin();
        Ok(())
    })
}

/// Whether an answer can't be that to the request which has left whole once its connection has written `whole`: it began to
/// come before that, and upstreams of this kind begin with the last byte. It is a second answer to the request before.
fn is_anothers(reply: &Reply, outgoing: &OutboundRequest, connection: &Connection, whole: u64) -> bool {
    outgoing.passage.begins == Begins::LastByte
        && matches!(outgoing.body, Payload::Buffered(_))
        && matches!(reply.means, Means::Final { .. })
        && connection.written_when_heard().is_some_and(|written| written < whole)
}

/// Whether a request has broken by its sender's fault.
fn is_its_senders(body: &Payload) -> bool {
    matches!(body, Payload::Upload(upload) if upload.fault().is_some())
}

/// What comes in time. A body that streams has times of its own.
async fn within<T>(body: &Payload, give_up: Instant, exchange: impl Future<Output = T>) -> Option<T> {
    match body {
        Payload::Buffered(_) => timeout_at(give_up, exchange).await.ok(),
        Payload::Upload(upload) => tokio::select! {
            done = exchange => Some(done),
            () = upload.is_over() => None,
        },
    }
}

/// The request of one attempt: how long the balancer will wait is its own.
fn request(
    outgoing: &OutboundRequest,
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

#[cfg(test)]
mod tests;
