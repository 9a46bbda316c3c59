//! Produces the response to one request.

use super::{Server, ShutdownPhase};
use crate::client::{ClientConnection, MessageKind};
use crate::inbound::ClientStream;
use crate::requests::{ReadyRequest, VERSION_HEADER, body_fault_response};
use crate::responses::{TrackedBody, conflict_response, final_response, own_response, plain_response};
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, HeaderValue, RETRY_AFTER};
use hyper::{Request, Response, StatusCode};
use maplehook::parts::answer::ResponseBody;
use maplehook::parts::body::{Fault, SenderProgress, Upload, discard_body};
use maplehook::parts::driver::Answer;
use maplehook_http_semantics::Unfit;
use std::future::poll_fn;
use std::net::IpAddr;
use std::rc::Rc;
use std::task::Poll;
use tokio::task::spawn_local;

/// Response to a request that is not forwarded; it permits a retry.
const NOT_FORWARDED: Unfit = Unfit::new(StatusCode::SERVICE_UNAVAILABLE, "nothing is sent on any more");

/// Response to a request whose client has sent so much behind it that its end could not be seen; it permits a
/// retry.
const TOO_MUCH_PIPELINED: Unfit =
    Unfit::new(StatusCode::SERVICE_UNAVAILABLE, "too much was sent behind this request");

impl Server {
    /// Returns the final response to a request.
    pub(super) async fn respond(
        &self,
        stream: &Rc<ClientStream>,
        peer: IpAddr,
        request: Request<Incoming>,
    ) -> Response<TrackedBody> {
        let client = stream.client();
        let is_shutting_down = || *self.phase.borrow() != ShutdownPhase::Serving;
        stream.heads().begin();
        client.on_head(self.requests.request_label(request.headers()));
        let (mut kind, mut open_id) = (MessageKind::Request, None);
        let mut response = match request.uri().path() {
            "/health/ready" | "/health/live" if request.body().is_end_stream() => {
                kind = MessageKind::Health;
                if is_shutting_down() && request.uri().path() == "/health/ready" {
                    plain_response(StatusCode::SERVICE_UNAVAILABLE, "leaving")
                } else {
                    plain_response(StatusCode::OK, "ok")
                }
            }
            _ => match self.read_before_shutdown(stream, peer, request).await {
                Ok(mut ready) => {
                    open_id = ready.open_id.take();
                    self.dispatch(client, ready).await
                }
                Err(unfit) => {
                    kind = MessageKind::Invalid;
                    self.count_invalid(&unfit);
                    if unfit.status == StatusCode::REQUEST_TIMEOUT {
                        client.mark_timeout_reported();
                    }
                    let label = client.label();
                    tracing::debug!(
                        %peer, %label, status = unfit.status.as_u16(), "invalid request: {}", unfit.why
                    );
                    let mut response = own_response(self.unfit_response(&unfit));
                    add_version_header(&mut response, self.requests.version());
                    response
                }
            },
        };
        // The buffer that the head is written from stays as long as the connection.
        let fields = response.headers().iter();
        let head_bytes = fields.map(|(name, value)| name.as_str().len() + value.len()).sum();
        let has_head_memory = stream.heads().extend(head_bytes, response.headers().len());
        let is_streaming = matches!(response.body(), ResponseBody::Stream(_));
        let should_close =
            (!is_streaming && client.on_response(kind)) || client.is_close_requested() || !has_head_memory;
        // A pipelined request has been read or will be, and gets its response before the connection closes.
        if (should_close && !client.has_complete_pipelined_request())
            || (is_shutting_down() && !client.has_pipelined_bytes())
        {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        // A streaming response is pending until its body ends.
        let broken_answers = &self.dispatcher.tally().answers_broken;
        response.map(|body| TrackedBody::new(body, client, broken_answers, open_id))
    }

    /// Returns the response to a request that is not forwarded.
    pub(super) fn unfit_response(&self, unfit: &Unfit) -> Response<&'static str> {
        let mut response = self.own_responses.unfit(unfit);
        if unfit.status == StatusCode::SERVICE_UNAVAILABLE {
            response.headers_mut().insert(RETRY_AFTER, HeaderValue::from_static("1"));
        }
        response
    }

    /// Counts a response to an invalid request.
    pub(super) fn count_invalid(&self, unfit: &Unfit) {
        self.dispatcher.tally().unfit.increment(unfit.status.canonical_reason().unwrap_or("other"));
    }

    async fn dispatch(&self, client: &ClientConnection, ready: ReadyRequest) -> Response<ResponseBody> {
        let ReadyRequest { request, identity, upload, version, .. } = ready;
        let (answer, _) = self.dispatcher.dispatch(request, identity).await;
        client.on_upstream_response();
        if let Answer::Conflict(conflict) = &answer {
            self.count_invalid(&conflict_response(*conflict));
        }
        upload.iter().for_each(Upload::discard_rest);
        let mut response = match (answer, upload.and_then(|upload| upload.fault())) {
            // The client caused the failure, so the response reports that fault.
            (Answer::Rejected(_) | Answer::Failed, Some(fault)) => {
                if fault == Fault::Slow {
                    client.mark_timeout_reported();
                }
                own_response(self.own_responses.unfit(&body_fault_response(fault)))
            }
            (answer, _) => final_response(answer, self.own_responses),
        };
        add_version_header(&mut response, version);
        response
    }

    /// Reads a request for forwarding, unless the process stops forwarding or the client disconnects
    /// meanwhile.
    async fn read_before_shutdown(
        &self,
        stream: &Rc<ClientStream>,
        peer: IpAddr,
        request: Request<Incoming>,
    ) -> Result<ReadyRequest, Unfit> {
        let mut phase = self.phase.clone();
        let mut ready = tokio::select! {
            biased;
            result = self.read_request(stream.client(), peer, request) => result?,
            () = stream.wait_for_request_timeout() => return Err(body_fault_response(Fault::Slow)),
            _ = phase.wait_for(|phase| *phase == ShutdownPhase::Stopped) => return Err(NOT_FORWARDED),
        };
        if let Some(upload) = &ready.upload {
            upload.time().follow_sender(Rc::clone(stream.client()) as Rc<dyn SenderProgress>);
        }
        ready.request.label = stream.client().label();
        ready.request.presence = Some(stream.presence());
        // The client of a pipelined request may have disconnected by now.
        let is_client_gone = poll_fn(|cx| Poll::Ready(stream.poll_client_gone(cx).is_ready())).await;
        if is_client_gone || *self.phase.borrow() == ShutdownPhase::Stopped {
            Err(NOT_FORWARDED)
        } else if stream.is_end_hidden() {
            Err(TOO_MUCH_PIPELINED)
        } else {
            Ok(ready)
        }
    }

    /// Reads a request, including its body unless that streams.
    async fn read_request(
        &self,
        client: &ClientConnection,
        peer: IpAddr,
        request: Request<Incoming>,
    ) -> Result<ReadyRequest, Unfit> {
        let (parts, body) = request.into_parts();
        let head = match self.requests.parse_head(parts, peer, client.has_hidden_length()) {
            Ok(head) => head,
            Err(unfit) => {
                if !self.requests.is_strict() {
                    spawn_local(discard_body(body));
                }
                return Err(unfit);
            }
        };
        let (tenant, is_authenticated) = (head.tenant(), head.is_authenticated);
        let ready = self.requests.read_body(head, body, peer, || client.request_completed_at()).await?;
        client.on_request(
            tenant.0,
            is_authenticated,
            ready.upload.as_ref().map(|upload| upload.time().sender_timeout()),
        );
        Ok(ready)
    }
}

/// Adds the version that the request was handled under to the response.
fn add_version_header(response: &mut Response<ResponseBody>, version: Option<HeaderValue>) {
    if let Some(version) = version {
        response.headers_mut().insert(VERSION_HEADER, version);
    }
}
