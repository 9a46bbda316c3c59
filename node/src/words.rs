//! The words for final answers: an upstream's, or our own, which can be told apart.

use crate::client::{Client, Question};
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use hyper::header::{ALLOW, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use maplehook::answer::{AnswerBody, Served};
use maplehook::body::Failure;
use maplehook::driver::Answer;
use maplehook::headers::OWN;
use maplehook_routes::Unfit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

/// The words for final answers.
pub struct Words {
    /// Whether our own say so in a header.
    pub own: bool,
}

impl Words {
    /// An answer of our own.
    pub fn plain(&self, status: StatusCode, text: &'static str) -> Response<AnswerBody> {
        let mut response = Response::new(AnswerBody::Whole(Bytes::from_static(text.as_bytes())));
        *response.status_mut() = status;
        response
    }

    /// The answer to what is no request.
    pub fn unfit(&self, unfit: &Unfit) -> Response<AnswerBody> {
        let mut response = self.plain(unfit.status, unfit.why);
        if let Some(allow) = &unfit.allow {
            response.headers_mut().insert(ALLOW, allow.clone());
        }
        self.signed(response, "unfit")
    }

    /// A final answer.
    pub fn of(&self, answer: Answer) -> Response<AnswerBody> {
        match answer {
            Answer::Served(Served { status, headers, body }) => {
                let mut response = Response::new(body);
                *response.status_mut() = status;
                *response.headers_mut() = headers;
                response
            }
            Answer::Refused(retry_after) => {
                let mut response = self.plain(StatusCode::SERVICE_UNAVAILABLE, "refused");
                let value = retry_after.and_then(|t| format!("{:.3}", t.as_secs_f64()).parse().ok());
                if let Some(value) = value {
                    response.headers_mut().insert(RETRY_AFTER, value);
                }
                self.signed(response, "refused")
            }
            Answer::Failed => self.signed(self.plain(StatusCode::BAD_GATEWAY, "failed"), "failed"),
        }
    }

    fn signed(&self, mut response: Response<AnswerBody>, word: &'static str) -> Response<AnswerBody> {
        if self.own {
            response.headers_mut().insert(OWN, HeaderValue::from_static(word));
        }
        response
    }
}

/// The body of an answer on its way to its client.
pub struct Tail {
    body: AnswerBody,
    /// Told at the end of one that streams.
    client: Option<Rc<Client>>,
}

impl Tail {
    /// This body, for this client.
    pub fn new(body: AnswerBody, client: &Rc<Client>) -> Self {
        let client = matches!(body, AnswerBody::Stream(_)).then(|| Rc::clone(client));
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
