//! Final responses: those of an upstream, and the balancer's own, which can be distinguished from an
//! upstream's.

use crate::client::{ClientConnection, MessageKind};
use crate::requests::OpenRequestId;
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use hyper::header::CONNECTION;
use hyper::{Response, StatusCode};
use maplehook::ledger::IdentityConflict;
use maplehook::metrics::ReasonCounters;
use maplehook::parts::answer::{ResponseBody, UpstreamResponse, record_broken_answer};
use maplehook::parts::body::Failure;
use maplehook::parts::driver::Answer;
use maplehook_core::request_lifecycle::{BrokenAnswer, RequestLifecycle};
use maplehook_http_semantics::{IDENTITY_IN_USE, IDENTITY_REUSED, Own, Unfit};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

/// Turns one of the balancer's own responses into one with a body that hyper can send.
pub fn own_response(response: Response<&'static str>) -> Response<ResponseBody> {
    response.map(|text| ResponseBody::Buffered(Bytes::from_static(text.as_bytes())))
}

/// Creates a response without the header that marks the balancer's own responses.
pub fn plain_response(status: StatusCode, text: &'static str) -> Response<ResponseBody> {
    let mut response = Response::new(text);
    *response.status_mut() = status;
    own_response(response)
}

/// Serializes one of the balancer's own responses for a connection that closes after it.
pub fn response_bytes(response: &Response<&'static str>) -> Vec<u8> {
    let (status, body) = (response.status(), *response.body());
    let mut bytes = format!("HTTP/1.1 {status}\r\n").into_bytes();
    for (name, value) in response.headers().iter().filter(|(name, _)| *name != CONNECTION) {
        bytes.extend_from_slice(name.as_str().as_bytes());
        bytes.extend_from_slice(b": ");
        bytes.extend_from_slice(value.as_bytes());
        bytes.extend_from_slice(b"\r\n");
    }
    let head_end_and_body = format!("connection: close\r\ncontent-length: {}\r\n\r\n{body}", body.len());
    bytes.extend_from_slice(head_end_and_body.as_bytes());
    bytes
}

/// Turns the outcome of a request into the final response.
pub fn final_response(answer: Answer, own: Own) -> Response<ResponseBody> {
    match answer {
        Answer::Served(UpstreamResponse { status, headers, body }) => {
            let mut response = Response::new(body);
            *response.status_mut() = status;
            *response.headers_mut() = headers;
            response
        }
        Answer::Rejected(retry_after) => own_response(own.refused(retry_after)),
        Answer::Failed => own_response(own.failed()),
        Answer::Conflict(conflict) => own_response(own.unfit(&conflict_response(conflict))),
    }
}

/// Returns the response to a request whose id or key belongs to another one.
pub fn conflict_response(conflict: IdentityConflict) -> Unfit {
    match conflict {
        IdentityConflict::Open => IDENTITY_IN_USE,
        IdentityConflict::Answered => IDENTITY_REUSED,
    }
}

/// What a streaming response belongs to.
struct StreamedResponse {
    client: Rc<ClientConnection>,
    request: Rc<RequestLifecycle>,
    /// Failure of the body, until the head has left.
    failure: Option<Failure>,
    broken_answers: ReasonCounters,
    /// Keeps the request's id reserved until its answer has left.
    _open_id: Option<OpenRequestId>,
}

impl StreamedResponse {
    /// Completes once the failure of the body may end the connection: the HTTP connection drops with it what
    /// it has not flushed, such as the head.
    fn poll_failure(&mut self, cx: &Context<'_>) -> Poll<Option<Failure>> {
        if self.request.broken_answer() == BrokenAnswer::AwaitsHead {
            self.client.wake_when_flushed(cx);
            return Poll::Pending;
        }
        record_broken_answer(&self.broken_answers, BrokenAnswer::BrokenOff);
        Poll::Ready(self.failure.take())
    }
}

/// The body of a final response, which reports the end of a streaming response to the client's connection.
pub struct TrackedBody {
    body: ResponseBody,
    /// `None` for a complete body.
    streamed: Option<StreamedResponse>,
}

impl TrackedBody {
    /// Wraps the body of a response to `client`, whose head goes to the HTTP connection now. Bodies that fail are
    /// counted in `broken_answers`. `open_id` is released once the body has left.
    pub fn new(
        body: ResponseBody,
        client: &Rc<ClientConnection>,
        broken_answers: &ReasonCounters,
        open_id: Option<OpenRequestId>,
    ) -> Self {
        let streamed = match &body {
            ResponseBody::Buffered(_) => None,
            ResponseBody::Stream(stream) => {
                client.on_head_queued(stream.lifecycle());
                Some(StreamedResponse {
                    client: Rc::clone(client),
                    request: Rc::clone(stream.lifecycle()),
                    failure: None,
                    broken_answers: broken_answers.clone(),
                    _open_id: open_id,
                })
            }
        };
        Self { body, streamed }
    }
}

impl Drop for TrackedBody {
    fn drop(&mut self) {
        let Some(StreamedResponse { client, .. }) = self.streamed.take() else { return };
        client.on_streamed();
        if client.on_response(MessageKind::Request) {
            client.request_close();
        }
    }
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = Failure;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Failure>>> {
        let Self { body, streamed } = &mut *self;
        let Some(streamed) = streamed else { return Pin::new(body).poll_frame(cx) };
        if streamed.failure.is_none() {
            ready!(streamed.client.poll_writable(cx));
            match ready!(Pin::new(body).poll_frame(cx)) {
                Some(Err(failure)) => streamed.failure = Some(failure),
                frame => return Poll::Ready(frame),
            }
        }
        streamed.poll_failure(cx).map(|failure| failure.map(Err))
    }

    fn is_end_stream(&self) -> bool {
        let has_failure = self.streamed.as_ref().is_some_and(|streamed| streamed.failure.is_some());
        !has_failure && self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
