//! Final answers of the balancer's own: what their status and headers are, whoever writes them.

use crate::Unfit;
use crate::names::OWN;
use http::header::{ALLOW, CONNECTION, RETRY_AFTER};
use http::{HeaderValue, Response, StatusCode};
use std::time::Duration;

/// Response to a request whose id or key is that of another request, which is open.
pub const IDENTITY_IN_USE: Unfit =
    Unfit::new(StatusCode::CONFLICT, "another request with this id or key is open");
/// Response to a request whose id or key is that of another request, which was answered.
pub const IDENTITY_REUSED: Unfit =
    Unfit::new(StatusCode::UNPROCESSABLE_ENTITY, "the id or key was used for another request");

/// How our own answers are worded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Own {
    /// Whether they say so in `X-Maplehook`, so that they can be told from an upstream's.
    pub signed: bool,
}

impl Own {
    /// It never ran; trying again is harmless, after some time if one is given.
    pub fn refused(self, retry_after: Option<Duration>) -> Response<&'static str> {
        let mut response = self.answer(StatusCode::SERVICE_UNAVAILABLE, "refused", "refused");
        let value = retry_after.and_then(|t| format!("{:.3}", t.as_secs_f64()).parse().ok());
        if let Some(value) = value {
            response.headers_mut().insert(RETRY_AFTER, value);
        }
        response
    }

    /// It may have run.
    pub fn failed(self) -> Response<&'static str> {
        self.answer(StatusCode::BAD_GATEWAY, "failed", "failed")
    }

    /// It is no request.
    pub fn unfit(self, unfit: &Unfit) -> Response<&'static str> {
        let mut response = self.answer(unfit.status, unfit.why, "unfit");
        if let Some(allow) = &unfit.allow {
            response.headers_mut().insert(ALLOW, allow.clone());
        }
        if unfit.closes {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    fn answer(self, status: StatusCode, text: &'static str, word: &'static str) -> Response<&'static str> {
        let mut response = Response::new(text);
        *response.status_mut() = status;
        if self.signed {
            response.headers_mut().insert(OWN, HeaderValue::from_static(word));
        }
        response
    }
}
