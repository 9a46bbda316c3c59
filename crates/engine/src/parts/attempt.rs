//! Attempts: one request sent to one upstream, and its outcome.
//!
//! An attempt counts as not run only if that is proved: no connection was made, the connection ended before
//! the kernel had taken enough of the request for the upstream to start it, or the upstream rejected it
//! explicitly.

mod repeat_check;
mod reply;
mod unsized_body;

use crate::parts::answer::{ResponseBody, Stream, StreamOrigin, StreamTime, UpstreamResponse};
use crate::parts::attempt_limits::{AttemptLimits, WithheldReason};
use crate::parts::body::Payload;
use crate::parts::connection::{Connection, WritePermit, head_length, wire_length};
use crate::parts::exchange_time::ExchangeTime;
use crate::parts::headers::{LOAD, TIME_LEFT};
use crate::parts::time_limit::LimitedExchange;
use crate::parts::unsolicited::UnsolicitedKind;
use crate::parts::upstream::{Upstream, Upstreams};
use bytes::Bytes;
use hyper::body::Body;
use hyper::header::{CONTENT_LENGTH, HOST, HeaderMap, HeaderValue, TE};
use hyper::http::response::Parts;
use hyper::{Method, Request, StatusCode, Uri};
use maplehook_core::{Outcome, Reports, UpstreamId};
use maplehook_http_semantics::{Begins, Means, Passage};
use prometheus_client::metrics::counter::Counter;
use reply::{ExchangeError, ReceivedBody, Reply, exchange};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Time limit of one probe, connection setup included.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Request in the form in which it is forwarded to an upstream.
#[derive(Clone, Debug)]
pub struct OutboundRequest {
    /// HTTP method of the client's request.
    pub method: Method,
    /// Request target: path and query.
    pub target: Uri,
    /// End-to-end headers; hop-by-hop headers are already removed.
    pub headers: HeaderMap,
    /// Buffered or streaming body.
    pub body: Payload,
    /// Forwarding policy of the request's class.
    pub passage: Rc<Passage>,
}

/// Result of an attempt or a probe. A final response may still be streaming.
#[derive(Debug)]
pub struct AttemptResult {
    /// Outcome that is reported to the decision module.
    pub outcome: Outcome,
    /// Final response for the client, if the attempt produced one.
    pub response: Option<UpstreamResponse>,
    /// The upstream's error response; the client gets it if no further attempt is made.
    pub error_response: Option<UpstreamResponse>,
    /// Values of the load report, in the order of the settings; empty without a report.
    pub load_report: Vec<f32>,
}

impl From<Outcome> for AttemptResult {
    fn from(outcome: Outcome) -> Self {
        Self { outcome, response: None, error_response: None, load_report: Vec::new() }
    }
}

impl Upstreams {
    /// Sends a request to an upstream and waits for the response, within the given limits.
    pub async fn attempt(
        self: &Rc<Self>,
        id: UpstreamId,
        outgoing: &OutboundRequest,
        limits: AttemptLimits,
    ) -> AttemptResult {
        self.send(id, outgoing, &limits, Some(&self.tally.sends)).await
    }

    /// Implements attempts and probes; `sends` counts requests that were completely written.
    async fn send(
        self: &Rc<Self>,
        id: UpstreamId,
        outgoing: &OutboundRequest,
        limits: &AttemptLimits,
        sends: Option<&Counter>,
    ) -> AttemptResult {
        let Some(upstream) = self.get(id) else { return Outcome::NotSent.into() };
        let process_epoch = upstream.process_epoch.get();
        let time = ExchangeTime::new(&outgoing.body, limits);
        loop {
            if outgoing.body.is_spent() {
                return Outcome::NotSent.into();
            }
            let acquired = time.limit(self.acquire_connection(id, &upstream, limits.answer_by)).await;
            let (mut connection, is_reused) = match acquired {
                Ok(Ok(pair)) => pair,
                Ok(Err(outcome)) => return outcome.into(),
                Err(_) if is_sender_fault(&outgoing.body) => return Outcome::Cancelled.into(),
                Err(_) => return Outcome::NotSent.into(),
            };
            let (connection_number, idle_before) = (connection.number(), connection.since_last_response());
            let announced = time.announced();
            let permit = self.permit(&upstream, process_epoch, limits, &time, announced);
            if permit().is_err() {
                self.return_connection(id, &upstream, process_epoch, connection);
                return Outcome::NotSent.into();
            }
            let request = request(outgoing, announced, &connection);
            let started_at = Instant::now();
            let (written_before, head_bytes, request_length) =
                (connection.written(), head_length(&request), wire_length(&request));
            let known_length = matches!(outgoing.body, Payload::Buffered(_)).then_some(request_length);
            connection.count_when_sent(known_length, sends.cloned());
            // An upstream that received fewer bytes cannot have started the request.
            let start_threshold =
                if outgoing.passage.begins == Begins::LastByte { request_length } else { head_bytes };
            let permit = mark_started_on_permit(permit, limits);
            let response = connection.send_with_permit(request, permit, limits.write_by);
            let exchange_result =
                exchange(response, &outgoing.passage, &self.body_memory, &time, limits.progress()).await;
            let written = connection.written() - written_before;
            // A streaming body is complete when its last byte was written, whatever length it announced.
            let may_have_started = match &outgoing.body {
                Payload::Upload(upload) if outgoing.passage.begins == Begins::LastByte => {
                    upload.is_complete()
                }
                _ => written >= start_threshold,
            };
            let request_end = written_before + request_length;
            let may_be_duplicate = is_reused && upstream.reuse.has_shown_unsolicited_data();
            match exchange_result {
                Ok(reply)
                    if is_stale_response(&reply, outgoing, &connection, request_end, may_be_duplicate) =>
                {
                    connection.report_unsolicited(UnsolicitedKind::BeforeRequestEnd);
                    tracing::debug!(
                        upstream = id.0,
                        connection = connection_number,
                        written,
                        request_length,
                        "response before the end of the request"
                    );
                    return if may_have_started { Outcome::Error } else { Outcome::ConnectFailed }.into();
                }
                Ok(reply) => {
                    tracing::debug!(
                        upstream = id.0,
                        connection = connection_number,
                        ?idle_before,
                        status = reply.parts.status.as_u16(),
                        "response received"
                    );
                    let response_time = started_at.elapsed();
                    if !self
                        .is_confirmed(&upstream, &connection, &reply, response_time, time.begin_by())
                        .await
                    {
                        return Outcome::Error.into();
                    }
                    let origin = StreamOrigin {
                        upstream: id,
                        connection: connection_number,
                        started_at,
                        written,
                        log: Rc::clone(&self.time_limits),
                    };
                    let sender = (upstream, process_epoch);
                    return self.handle_response(sender, origin, connection, outgoing, reply, request_end);
                }
                Err(ExchangeError::TimedOut(limit)) => {
                    self.time_limits.record(&LimitedExchange {
                        limit,
                        upstream: id,
                        connection: connection_number,
                        lasted: started_at.elapsed(),
                        written,
                        received: 0,
                    });
                    return match limit {
                        _ if is_sender_fault(&outgoing.body) => Outcome::Cancelled,
                        _ if may_have_started => Outcome::TimedOut,
                        _ => Outcome::NotSent,
                    }
                    .into();
                }
                // The time left in the request is stale, or the connection was closed while idle. No byte was
                // written: build the request again, or use another connection.
                Err(_)
                    if written == 0
                        && connection.withheld_reason() == Some(WithheldReason::StaleTimeLeft) => {}
                Err(e) if written == 0 && is_reused && connection.withheld_reason().is_none() => {
                    tracing::debug!(
                        upstream = id.0,
                        connection = connection_number,
                        ?idle_before,
                        "connection closed before its next request: {e}"
                    );
                }
                Err(e) => {
                    tracing::debug!(
                        upstream = id.0,
                        connection = connection_number,
                        ?idle_before,
                        written,
                        request_length,
                        "exchange failed: {e}"
                    );
                    return match e {
                        _ if is_sender_fault(&outgoing.body) => Outcome::Cancelled,
                        // The upstream is alive and read at least part of the request.
                        ExchangeError::Malformed(_) if written > 0 => Outcome::Error,
                        _ if may_have_started => Outcome::Reset,
                        _ if connection.withheld_reason().is_some() => Outcome::NotSent,
                        _ => Outcome::ConnectFailed,
                    }
                    .into();
                }
            }
        }
    }

    /// Returns a check that a request with the announced time left may be written now. While the connection
    /// was being made, the upstream may have started to drain or been restarted, or this process may have
    /// been suspended.
    fn permit(
        self: &Rc<Self>,
        upstream: &Rc<Upstream>,
        process_epoch: u32,
        limits: &AttemptLimits,
        time: &ExchangeTime,
        announced: Duration,
    ) -> impl Fn() -> Result<(), WithheldReason> + 'static {
        let (upstreams, upstream, limits) = (Rc::clone(self), Rc::clone(upstream), limits.clone());
        let time = time.clone();
        move || {
            if !upstream.accepts(process_epoch) || !upstreams.may_write(limits.is_repeat) {
                return Err(WithheldReason::TooLate);
            }
            limits.check(announced, time.announced())
        }
    }

    /// Sends a health probe to an upstream.
    pub async fn probe(self: &Rc<Self>, id: UpstreamId) -> AttemptResult {
        let target =
            Uri::from_static(if self.reports.get() == Reports::Off { "/health/live" } else { "/stats" });
        let mut headers = HeaderMap::with_capacity(3);
        headers.insert(HOST, HeaderValue::from_static("upstream"));
        let (body, passage) = (Payload::Buffered(Bytes::new()), Rc::clone(&self.probe_passage));
        let outgoing = OutboundRequest { method: Method::GET, target, headers, body, passage };
        let limits = AttemptLimits::first(Instant::now() + PROBE_TIMEOUT);
        let mut result = self.send(id, &outgoing, &limits, None).await;
        if let Some(UpstreamResponse { body: ResponseBody::Buffered(body), .. }) = &result.response
            && self.reports.get() != Reports::Off
            && result.load_report.is_empty()
        {
            result.load_report = self.read_report(body);
        }
        result
    }

    /// Converts a response into a result. `request_end` is the connection's write count at the end of the
    /// request.
    fn handle_response(
        self: &Rc<Self>,
        (upstream, process_epoch): (Rc<Upstream>, u32),
        origin: StreamOrigin,
        connection: Connection,
        outgoing: &OutboundRequest,
        reply: Reply,
        request_end: u64,
    ) -> AttemptResult {
        let Reply { parts: Parts { status, mut headers, .. }, means, body } = reply;
        let id = origin.upstream;
        let report_header = headers.remove(LOAD).filter(|_| self.reports.get() == Reports::Inline);
        let load_report =
            report_header.map_or_else(Vec::new, |report_header| self.read_report(report_header.as_bytes()));
        let is_bodiless = outgoing.method == Method::HEAD || status == StatusCode::NOT_MODIFIED;
        self.forwarding.answer(&mut headers, matches!(body, ReceivedBody::Streaming(..)), is_bodiless);
        // If the response arrived before the request was complete, the unwritten rest blocks the connection.
        let request_body = outgoing.body.clone();
        let is_fully_written = move |connection: &Connection| match &request_body {
            Payload::Buffered(_) => connection.written() >= request_end,
            Payload::Upload(upload) => upload.is_complete() && connection.is_flushed(),
        };
        let body = match body {
            ReceivedBody::Complete(_) | ReceivedBody::Dropped => {
                if is_fully_written(&connection) {
                    self.return_connection(id, &upstream, process_epoch, connection);
                }
                body.into_complete().map(ResponseBody::Buffered)
            }
            ReceivedBody::Streaming(prefetched, incoming, progress) => {
                let (upstreams, (idle, total)) = (Rc::clone(self), outgoing.passage.patience());
                let return_connection = Box::new(move |connection: Connection| {
                    if is_fully_written(&connection) {
                        upstreams.return_connection(id, &upstream, process_epoch, connection);
                    }
                });
                let time = StreamTime::new(idle, Instant::now() + total, progress, origin);
                let stream = Stream::new(prefetched, incoming, connection, return_connection, time);
                Some(ResponseBody::Stream(stream))
            }
        };
        let response = body.map(|body| UpstreamResponse { status, headers, body });
        let passes_error = outgoing.passage.last_error_passes;
        let (outcome, response, error_response) = match means {
            Means::Final { well: true } => (Outcome::Ok, response, None),
            Means::Final { well: false } => (Outcome::Error, response, None),
            Means::TurnedAway => (Outcome::Rejected, None, None),
            Means::Overload => (Outcome::Overloaded, None, response.filter(|_| passes_error)),
            Means::Error => (Outcome::Error, None, response.filter(|_| passes_error)),
        };
        AttemptResult { outcome, response, error_response, load_report }
    }
}

/// Wraps a permit so that it marks the attempt as started when it is granted.
fn mark_started_on_permit(
    permit: impl Fn() -> Result<(), WithheldReason> + 'static,
    limits: &AttemptLimits,
) -> WritePermit {
    let limits = limits.clone();
    Box::new(move || {
        permit()?;
        limits.mark_started();
        Ok(())
    })
}

/// Returns true if the response cannot belong to the request that ends at write count `request_end`: it began
/// before that, and upstreams of this kind respond only after the last byte. It is a duplicate response to
/// the previous request. Some upstreams respond early to a body that streams, which is only doubted with
/// `may_be_duplicate`.
fn is_stale_response(
    reply: &Reply,
    outgoing: &OutboundRequest,
    connection: &Connection,
    request_end: u64,
    may_be_duplicate: bool,
) -> bool {
    if outgoing.passage.begins != Begins::LastByte || !matches!(reply.means, Means::Final { .. }) {
        return false;
    }
    let Some(written_at_first_byte) = connection.written_at_first_byte() else { return false };
    match &outgoing.body {
        Payload::Buffered(_) => written_at_first_byte < request_end,
        Payload::Upload(upload) => {
            let is_fully_written = upload.is_complete() && connection.is_flushed();
            may_be_duplicate && (!is_fully_written || written_at_first_byte < connection.written())
        }
    }
}

/// Returns true if the request failed because of its sender.
fn is_sender_fault(body: &Payload) -> bool {
    matches!(body, Payload::Upload(upload) if upload.fault().is_some())
}

/// Builds the request of one attempt; the time left differs from attempt to attempt.
fn request(
    outgoing: &OutboundRequest,
    time_left: Duration,
    connection: &Connection,
) -> Request<crate::parts::body::OutboundBody> {
    let mut headers = outgoing.headers.clone();
    headers.insert(TIME_LEFT, HeaderValue::from(time_left.as_millis() as u64));
    let body = connection.outbound(&outgoing.body);
    let needs_length = matches!(outgoing.method, Method::POST | Method::PUT | Method::PATCH);
    if let Some(length) = body.size_hint().exact().filter(|length| *length > 0 || needs_length) {
        headers.insert(CONTENT_LENGTH, HeaderValue::from(length));
    }
    // A streamed response may carry trailers.
    headers.insert(TE, HeaderValue::from_static("trailers"));
    let mut request = Request::new(body);
    *request.method_mut() = outgoing.method.clone();
    *request.uri_mut() = outgoing.target.clone();
    *request.headers_mut() = headers;
    request
}

#[cfg(test)]
mod tests;
