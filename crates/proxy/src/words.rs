//! The words for final answers: an upstream's, or our own, which can be told apart.

use crate::client::{Client, Question};
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
use std::task::{Context, Poll};

/// An answer of our own.
pub fn own(response: Response<&'static str>) -> Response<ResponseBody> {
    response.map(|text| ResponseBody::Buffered(Bytes::from_static(text.as_bytes())))
}

/// An answer without any word on who gives it.
pub fn plain(status: StatusCode, text: &'static str) -> Response<ResponseBody> {
    let mut response = Response::new(text);
    *response.status_mut() = status;
    own(response)
}

/// An answer of our own as bytes, for a connection that ends with it.
pub fn raw(response: &Response<&'static str>) -> Vec<u8> {
    let (status, body) = (response.status(), *response.body());
    let mut bytes = format!("HTTP/1.1 {status}\r\n").into_bytes();
    for (name, value) in response.headers().iter().filter(|(name, _)| *name != CONNECTION) {
        bytes.extend_from_slice(name.as_str().as_bytes());
        bytes.extend_from_slice(b": ");
        bytes.extend_from_slice(value.as_bytes());
        bytes.extend_from_slice(b"\r\n");
    }
    let rest = format!("connection: close\r\ncontent-length: {}\r\n\r\n{body}", body.len());
    bytes.extend_from_slice(rest.as_bytes());
    bytes
}

/// A final answer.
pub fn worded(answer: Answer, words: Own) -> Response<ResponseBody> {
    match answer {
        Answer::Served(UpstreamResponse { status, headers, body }) => {
            let mut response = Response::new(body);
            *response.status_mut() = status;
            *response.headers_mut() = headers;
            response
        }
        Answer::Rejected(retry_after) => own(words.refused(retry_after)),
        Answer::Failed => own(words.failed()),
    }
}

/// The body of an answer on its way to its client.
pub struct Tail {
    body: ResponseBody,
    /// Told at the end of one that streams.
    client: Option<Rc<Client>>,
}

impl Tail {
    /// This body, for this client.
    pub fn new(body: ResponseBody, client: &Rc<Client>) -> Self {
        let client = matches!(body, ResponseBody::Stream(_)).then(|| Rc::clone(client));
        Self { body, client }
    }
}

impl Drop for Tail {
    fn drop(&mut self) {
        if let Some(client) = self.client.take()
            && client.answered(Question::Request)
        {
            client.end();
        }
    }
}

impl Body for Tail {
    type Data = Bytes;
    type Error = Failure;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Failure>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
