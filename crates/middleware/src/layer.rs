//! The layer: requests that a class matches go to the upstreams, all others to the service inside.

use crate::client::{CallError, call};
use crate::setup::{Balancing, Shared};
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body::Body;
use http_body_util::Either;
use maplehook::{RejectionReason, ReplyBody};
use maplehook_http_semantics::{IDENTITY_IN_USE, IDENTITY_REUSED, Unfit};
use std::error::Error;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use tower_layer::Layer;
use tower_service::Service;

/// The layer. Put it round a router with `Router::layer`; with `Router::nest` the classes' paths are those that the
/// nested router sees.
#[derive(Clone)]
pub struct Balance {
    shared: Arc<Shared>,
}

impl Balance {
    /// One before these upstreams.
    pub fn new(balancing: &Balancing) -> Self {
        Self { shared: Arc::clone(&balancing.shared) }
    }
}

impl<S> Layer<S> for Balance {
    type Service = Balanced<S>;

    fn layer(&self, inner: S) -> Balanced<S> {
        Balanced { shared: Arc::clone(&self.shared), inner }
    }
}

/// A service inside the layer.
#[derive(Clone)]
pub struct Balanced<S> {
    shared: Arc<Shared>,
    inner: S,
}

impl<S, B, R> Service<Request<B>> for Balanced<S>
where
    S: Service<Request<B>, Response = Response<R>>,
    S::Future: Send + 'static,
    R: Body<Data = Bytes> + Send + 'static,
    B: Body<Data = Bytes> + Send + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    type Response = Response<Either<ReplyBody, R>>;
    type Error = S::Error;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, S::Error>> + Send>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), S::Error>> {
        self.inner.poll_ready(cx)
    }

    fn call(&mut self, request: Request<B>) -> Self::Future {
        let own = self.shared.own;
        let fit = match self.shared.rules.read(request.method(), request.uri(), request.headers()) {
            Ok(fit) => fit,
            // No class of ours: the host's own handlers know better.
            Err(Unfit { status: StatusCode::NOT_FOUND | StatusCode::METHOD_NOT_ALLOWED, .. }) => {
                let inner = self.inner.call(request);
                return Box::pin(async move { Ok(inner.await?.map(Either::Right)) });
            }
            Err(unfit) => return Box::pin(async move { Ok(worded(own.unfit(&unfit))) }),
        };
        let shared = Arc::clone(&self.shared);
        Box::pin(async move {
            Ok(match call(&shared, fit, request).await {
                Ok(response) => response.map(Either::Left),
                Err(CallError::Unfit(unfit)) => worded(own.unfit(&unfit)),
                Err(CallError::Refused(refusal)) => match refusal.reason {
                    RejectionReason::BodyTooLong => {
                        worded(own.unfit(&Unfit::new(StatusCode::PAYLOAD_TOO_LARGE, "the body is too long")))
                    }
                    RejectionReason::BodyIncomplete => {
                        worded(own.unfit(&Unfit::new(StatusCode::BAD_REQUEST, "the body broke off")))
                    }
                    RejectionReason::InvalidCall => {
                        worded(own.unfit(&Unfit::new(StatusCode::BAD_REQUEST, "an unfit head")))
                    }
                    RejectionReason::IdentityInUse => worded(own.unfit(&IDENTITY_IN_USE)),
                    RejectionReason::IdentityReused => worded(own.unfit(&IDENTITY_REUSED)),
                    RejectionReason::NoCapacity
                    | RejectionReason::QueueFull
                    | RejectionReason::ShuttingDown => worded(own.refused(refusal.retry_after)),
                },
                Err(CallError::Failed) => worded(own.failed()),
            })
        })
    }
}

fn worded<R>(response: Response<&'static str>) -> Response<Either<ReplyBody, R>> {
    response.map(|text| Either::Left(ReplyBody::Buffered(Bytes::from_static(text.as_bytes()))))
}
