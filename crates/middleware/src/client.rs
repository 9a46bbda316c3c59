//! The client: a service that takes requests to the upstreams.

use crate::setup::{Balancing, Shared};
use bytes::Bytes;
use http::{Request, Response};
use http_body::Body;
use maplehook::{Call, CallBody, Outcome, Rejection, Reply, ReplyBody};
use maplehook_core::UpstreamId;
use maplehook_http_semantics::{Fit, Peer, Unfit};
use std::error::Error;
use std::fmt;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use tower_service::Service;

/// How an answer came about; in the extensions of answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Trace {
    /// Attempts that it took.
    pub attempts: u8,
    /// The upstream whose answer it is.
    pub upstream: Option<UpstreamId>,
}

/// Why there is no answer of an upstream.
#[derive(Debug)]
pub enum CallError {
    /// It is no request that any class takes.
    Unfit(Unfit),
    /// It never ran; trying again is harmless. A body that is too long says so here.
    Refused(Rejection),
    /// It may have run.
    Failed,
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unfit(unfit) => write!(f, "unfit: {}", unfit.why),
            Self::Refused(refusal) => refusal.fmt(f),
            Self::Failed => f.write_str("failed: it may have run"),
        }
    }
}

impl Error for CallError {}

/// A service that takes requests to the upstreams. It may be cloned, and used on any runtime.
#[derive(Clone)]
pub struct Client {
    shared: Arc<Shared>,
}

impl Client {
    /// A way to these upstreams.
    pub fn new(balancing: &Balancing) -> Self {
        Self { shared: Arc::clone(&balancing.shared) }
    }
}

/// Hands a request that was found fit to the engine.
pub(crate) async fn call<B>(
    shared: &Shared,
    fit: Fit,
    request: Request<B>,
) -> Result<Response<ReplyBody>, CallError>
where
    B: Body<Data = Bytes> + Send + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let id = fit.identity();
    let (mut parts, body) = request.into_parts();
    if fit.id.is_none() {
        shared.rules.mint(&mut parts.headers, fastrand::u128(..));
    }
    let body = if body.is_end_stream() { CallBody::Buffered(Bytes::new()) } else { CallBody::stream(body) };
    let call = Call {
        class: fit.class,
        tenant: fit.tenant,
        wait: fit.wait,
        id,
        method: parts.method,
        target: parts.uri,
        headers: parts.headers,
        body,
        peer: parts.extensions.get::<Peer>().copied(),
    };
    match shared.handle.call(call).await {
        Outcome::Served(Reply { status, headers, body, attempts, upstream }) => {
            let mut response = Response::new(body);
            *response.status_mut() = status;
            *response.headers_mut() = headers;
            response.extensions_mut().insert(Trace { attempts, upstream });
            Ok(response)
        }
        Outcome::Rejected(refusal) => Err(CallError::Refused(refusal)),
        Outcome::Failed => Err(CallError::Failed),
    }
}

impl<B> Service<Request<B>> for Client
where
    B: Body<Data = Bytes> + Send + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    type Response = Response<ReplyBody>;
    type Error = CallError;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, CallError>> + Send>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), CallError>> {
        // Whoever finds no room is refused at once, harmlessly, and does not wait here.
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: Request<B>) -> Self::Future {
        let shared = Arc::clone(&self.shared);
        Box::pin(async move {
            let fit = shared.rules.read(request.method(), request.uri(), request.headers());
            call(&shared, fit.map_err(CallError::Unfit)?, request).await
        })
    }
}
