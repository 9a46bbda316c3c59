//! Final responses: those of an upstream, and the balancer's own, which can be distinguished from an
//! upstream's.

use crate::client::{ClientConnection, MessageKind};
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use hyper::header::CONNECTION;
use hyper::{Response, StatusCode};
use maplehook::parts::answer::{ResponseBody, UpstreamResponse};
use maplehook::parts::body::Failure;
use maplehook::parts::driver::Answer;
use maplehook_http_semantics::Own;
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
    }
}

/// The body of a final response, which reports the end of a streaming response to the client's connection.
pub struct TrackedBody {
    body: ResponseBody,
    /// The connection to notify when a streaming body is dropped; `None` for a complete body.
    client: Option<Rc<ClientConnection>>,
}

impl TrackedBody {
    /// Wraps the body of a response to `client`.
    pub fn new(body: ResponseBody, client: &Rc<ClientConnection>) -> Self {
        let client = matches!(body, ResponseBody::Stream(_)).then(|| Rc::clone(client));
        Self { body, client }
    }
}

impl Drop for TrackedBody {
    fn drop(&mut self) {
        if let Some(client) = self.client.take()
            && client.on_response(MessageKind::Request)
        {
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
        if let Some(client) = &self.client {
            ready!(client.poll_writable(cx));
        }
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
