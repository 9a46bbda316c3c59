//! Admin API: `GET /control/ready` and `/control/counters`; the tier, settings, locality and rollout endpoints exist
//! only if these features are configured. It serves HTTP/1.1 with one request per connection.
//!
//! The API runs on its own thread and reads counters in place, so that clients and large bodies can't delay it.
//! Requests have a time limit. While the maximum number of connections is open, the oldest is closed to admit others.

use crate::places::{self, PlacesApi};
use crate::rejections::{MAX_DISCARDED_BYTES, linger};
use crate::request_signing;
use crate::rollout;
use crate::settings_api::{self, SettingsApi};
use crate::tier::TierStatus;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{ALLOW, CACHE_CONTROL, CONTENT_TYPE, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use maplehook::metrics::{self, Metrics};
use maplehook_transport::StatusClient;
use std::collections::VecDeque;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::task::{JoinHandle, spawn};
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// Maximum number of simultaneously open connections per listener.
const MAX_CONNECTIONS: usize = 16;
/// Descriptors that the API needs: open connections, one accepted connection that is not yet counted, the
/// listener and its poller.
pub const DESCRIPTORS: usize = MAX_CONNECTIONS + 5;
/// Time limit for receiving a request.
const REQUEST_READ_TIMEOUT: Duration = Duration::from_secs(5);
/// Time limit for the response after the request is received. An admin request can wait for a lease to end.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(20);
/// Minimum time that a connection stays open while others wait. Clients normally send their request sooner.
const MIN_CONNECTION_TIME: Duration = Duration::from_millis(200);
/// Maximum size of the request line and headers.
const MAX_HEAD_BYTES: usize = 8 * 1024;
/// Time limit for the tier thread to return its status.
const TIER_STATUS_TIMEOUT: Duration = Duration::from_millis(800);
/// Pause before bind or accept is called again after an error.
const RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// Data and handlers behind the admin API.
#[derive(Clone, Default)]
pub struct AdminState {
    /// Request counters that `GET /control/counters` returns.
    pub tally: Arc<Metrics>,
    /// True while this process accepts clients.
    pub is_ready: Arc<AtomicBool>,
    /// Client for the tier's status; `None` without a tier.
    pub tier: Option<StatusClient>,
    /// True while all requests are rejected because this balancer has no valid lease.
    pub rejects_all: Arc<AtomicBool>,
    /// Settings endpoints; `None` if versions are not agreed on.
    pub settings: Option<Arc<SettingsApi>>,
    /// Locality and address endpoints; `None` without localities.
    pub places: Option<PlacesApi>,
    /// Rollout endpoints; `None` without a rollout agent.
    pub rollout: Option<rollout::RolloutApi>,
}

/// Admin address that another process of this balancer may still have bound.
pub struct DeferredAddress {
    /// Address to bind as soon as it is free.
    pub address: SocketAddr,
    /// Key under which the log names the bound address.
    pub log_key: &'static str,
    /// The listener closes when this channel receives a message or its sender is dropped.
    pub release: oneshot::Receiver<()>,
}

/// Binds `address`, serves the admin API on it until the process ends, and returns the bound address. Also serves
/// the API on the deferred address, once it can be bound.
pub fn serve(
    address: SocketAddr,
    state: AdminState,
    deferred: Option<DeferredAddress>,
) -> io::Result<SocketAddr> {
    let listener = std::net::TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    let bound = listener.local_addr()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    std::thread::Builder::new().name("operators".into()).stack_size(256 * 1024).spawn(move || {
        runtime.block_on(async move {
            if let Some(deferred) = deferred {
                spawn(serve_deferred(deferred, state.clone()));
            }
            match TcpListener::from_std(listener) {
                Ok(listener) => accept(listener, state).await,
                Err(e) => tracing::error!("the admin listener failed: {e}"),
            }
        });
    })?;
    Ok(bound)
}

async fn serve_deferred(
    DeferredAddress { address, log_key, mut release }: DeferredAddress,
    state: AdminState,
) {
    let mut is_waiting = false;
    let listener = loop {
        match TcpListener::bind(address).await {
            Ok(listener) => break listener,
            Err(e) if !std::mem::replace(&mut is_waiting, true) => {
                tracing::info!("operators' calls on {address} wait until the address is free: {e}");
            }
            Err(_) => {}
        }
        if timeout(RETRY_INTERVAL, &mut release).await.is_ok() {
            return;
        }
    };
    match listener.local_addr() {
        Ok(bound) => tracing::info!("operators may call {log_key}={bound}"),
        Err(e) => tracing::warn!("operators' calls on {address}: the bound address is unknown: {e}"),
    }
    tokio::select! {
        () = accept(listener, state) => {}
        _ = release => {}
    }
}

/// Task that serves an open connection, and the time when the connection was accepted.
struct OpenConnection {
    task: JoinHandle<()>,
    since: Instant,
}

async fn accept(listener: TcpListener, state: AdminState) {
    let mut connections: VecDeque<OpenConnection> = VecDeque::new();
    loop {
        connections.retain(|connection| !connection.task.is_finished());
        if connections.len() >= MAX_CONNECTIONS
            && let Some(mut oldest) = connections.pop_front()
        {
            // The limit is reached: close the oldest connection once it has been open for the minimum time.
            tokio::select! {
                _ = &mut oldest.task => {}
                () = sleep_until(oldest.since + MIN_CONNECTION_TIME) => {
                    oldest.task.abort();
                    let _ = oldest.task.await;
                }
            }
            continue;
        }
        match listener.accept().await {
            Ok((stream, _)) => {
                let task = spawn(serve_connection(stream, state.clone()));
                connections.push_back(OpenConnection { task, since: Instant::now() });
            }
            Err(e) => {
                tracing::debug!("accept on the admin listener failed: {e}");
                if let Some(oldest) = connections.pop_front() {
                    oldest.task.abort();
                }
                sleep(RETRY_INTERVAL).await;
            }
        }
    }
}

async fn serve_connection(stream: TcpStream, state: AdminState) {
    // If TCP_NODELAY can't be set, responses are only slower.
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let state = state.clone();
        async move { Ok::<_, Infallible>(respond(request, &state).await) }
    });
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new());
    builder.keep_alive(false).max_buf_size(MAX_HEAD_BYTES).header_read_timeout(REQUEST_READ_TIMEOUT);
    let served = timeout(
        REQUEST_READ_TIMEOUT + RESPONSE_TIMEOUT,
        builder.serve_connection(TokioIo::new(stream), service).without_shutdown(),
    );
    let Ok(Ok(parts)) = served.await else { return };
    linger(parts.io.into_inner(), MAX_DISCARDED_BYTES).await;
}

async fn respond(request: Request<Incoming>, state: &AdminState) -> Response<Full<Bytes>> {
    const TEXT: &str = "text/plain";
    let path = request.uri().path();
    let path_exists = match path {
        "/control/ready" | "/control/counters" => true,
        "/control/tier" => state.tier.is_some(),
        settings_api::PATH => state.settings.is_some(),
        rollout::PATH | rollout::OWN_TARGET_PATH => state.rollout.is_some(),
        places::PLACES_PATH | places::ADDRESSES_PATH => state.places.is_some(),
        path => state.places.is_some() && path.starts_with(places::ANNOUNCE_PREFIX),
    };
    let is_post = matches!(path, settings_api::PATH | places::PLACES_PATH | rollout::PATH)
        && *request.method() == Method::POST;
    let (status, content_type, text) = if !path_exists {
        let tier = if state.tier.is_some() { ", /control/tier" } else { "" };
        let settings = if state.settings.is_some() { ", /control/settings" } else { "" };
        let places =
            if state.places.is_some() { ", /control/places, /control/addresses, /announce/NAME" } else { "" };
        let rollout = if state.rollout.is_some() { ", /control/rollout, /control/rollout/own" } else { "" };
        let text =
            format!("/control/ready, /control/counters{tier}{settings}{places}{rollout} are what there is\n");
        (StatusCode::NOT_FOUND, TEXT, text)
    } else if !is_post && !matches!(*request.method(), Method::GET | Method::HEAD) {
        (StatusCode::METHOD_NOT_ALLOWED, TEXT, "GET alone\n".into())
    } else if !is_post && !request.body().is_end_stream() {
        (StatusCode::BAD_REQUEST, TEXT, "a call has no body\n".into())
    } else {
        match (path, &state.settings, &state.places) {
            (rollout::PATH | rollout::OWN_TARGET_PATH, ..) => rollout_response(request, state).await,
            ("/control/counters", ..) => {
                (StatusCode::OK, metrics::CONTENT_TYPE, state.tally.openmetrics_text())
            }
            ("/control/tier", ..) => tier_response(state).await,
            (settings_api::PATH, Some(api), _) => settings_response(request, api).await,
            (places::PLACES_PATH, _, Some(api)) => places_response(request, api).await,
            (places::ADDRESSES_PATH, _, Some(api)) => with_content_type(api.addresses()),
            (path, _, Some(api)) if path.starts_with(places::ANNOUNCE_PREFIX) => {
                with_content_type(api.announce(&path[places::ANNOUNCE_PREFIX.len()..]))
            }
            _ if state.is_ready.load(Ordering::Acquire) && !state.rejects_all.load(Ordering::Acquire) => {
                (StatusCode::OK, TEXT, "yes\n".into())
            }
            _ => (StatusCode::SERVICE_UNAVAILABLE, TEXT, "no\n".into()),
        }
    };
    let mut response = Response::new(Full::new(Bytes::from(text)));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
    if status == StatusCode::METHOD_NOT_ALLOWED {
        headers.insert(ALLOW, HeaderValue::from_static("GET, HEAD"));
    }
    response
}

async fn settings_response(
    request: Request<Incoming>,
    api: &SettingsApi,
) -> (StatusCode, &'static str, String) {
    let query = request.uri().query().map(str::to_owned);
    with_content_type(match read_post(request, settings_api::MAX_BODY_BYTES).await {
        Some(Ok((mac, body))) => api.handle_post(mac.as_deref(), &body).await,
        Some(Err(rejection)) => rejection,
        None => api.handle_get(query.as_deref()).await,
    })
}

async fn rollout_response(
    request: Request<Incoming>,
    state: &AdminState,
) -> (StatusCode, &'static str, String) {
    let Some(api) = &state.rollout else {
        return with_content_type((StatusCode::NOT_FOUND, "nothing\n".into()));
    };
    if request.uri().path() == rollout::OWN_TARGET_PATH {
        return with_content_type(api.own_target());
    }
    let query = request.uri().query().map(str::to_owned);
    with_content_type(match read_post(request, rollout::MAX_BODY_BYTES).await {
        Some(Ok((mac, body))) => api.handle_post(mac.as_deref(), &body).await,
        Some(Err(rejection)) => rejection,
        None => api.handle_get(query.as_deref()),
    })
}

async fn places_response(request: Request<Incoming>, api: &PlacesApi) -> (StatusCode, &'static str, String) {
    let query = request.uri().query().map(str::to_owned);
    with_content_type(match read_post(request, places::MAX_BODY_BYTES).await {
        Some(Ok((mac, body))) => api.handle_post(mac.as_deref(), &body).await,
        Some(Err(rejection)) => rejection,
        None => api.handle_get(query.as_deref()),
    })
}

/// Reads a `POST` and returns its MAC and body, or the error response if the body can't be read. Returns
/// `None` for other methods.
async fn read_post(
    request: Request<Incoming>,
    max_bytes: usize,
) -> Option<Result<(Option<String>, Bytes), (StatusCode, String)>> {
    let (parts, body) = request.into_parts();
    if parts.method != Method::POST {
        return None;
    }
    let mac =
        parts.headers.get(request_signing::MAC_HEADER).and_then(|mac| mac.to_str().ok()).map(str::to_owned);
    Some(match timeout(REQUEST_READ_TIMEOUT, Limited::new(body, max_bytes).collect()).await {
        Ok(Ok(body)) => Ok((mac, body.to_bytes())),
        Ok(Err(_)) | Err(_) => {
            Err((StatusCode::PAYLOAD_TOO_LARGE, "the body is too long, or broke off\n".into()))
        }
    })
}

/// Adds the content type. Successful responses are JSON, and so are errors that begin with a brace.
fn with_content_type((status, text): (StatusCode, String)) -> (StatusCode, &'static str, String) {
    let json = status == StatusCode::OK || text.starts_with('{');
    (status, if json { "application/json" } else { "text/plain" }, text)
}

async fn tier_response(state: &AdminState) -> (StatusCode, &'static str, String) {
    let status = match &state.tier {
        Some(client) => timeout(TIER_STATUS_TIMEOUT, client.status()).await.ok().flatten(),
        None => None,
    };
    let json = status.and_then(|status| serde_json::to_string(&TierStatus::from_node_status(&status)).ok());
    match json {
        Some(json) => (StatusCode::OK, "application/json", json + "\n"),
        None => (StatusCode::SERVICE_UNAVAILABLE, "text/plain", "the tier's thread does not answer\n".into()),
    }
}
