//! Where operators call: `GET /control/ready`, `GET /control/counters`, of a tier `GET /control/tier`, of places what `places.rs`
//! answers; HTTP/1.1, one call to a connection.
//!
//! It has a thread of its own, so that no client, tick or body can keep an operator waiting: the counts are read where
//! they stand. Callers that send nothing or half a call have so much time and so many places, and make room.

use crate::places::{self, Desk};
use crate::rejections::{MAX_DISCARDED_BYTES, linger};
use crate::rollout;
use crate::signed;
use crate::tier::Shown;
use crate::wishes::{self, Guard};
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

/// Calls that may be open at once.
const CALLS: usize = 16;
/// Descriptors that it may hold: the calls, one that has just been accepted, the listener and its poller's.
pub const DESCRIPTORS: usize = CALLS + 5;
/// How long a call may take to come whole.
const HEAD_MOST: Duration = Duration::from_secs(5);
/// How long it may take to be answered after that: a wish may wait for a lease.
const ANSWER_MOST: Duration = Duration::from_secs(20);
/// How long a caller is left its place, whoever waits: any that means it has asked by then.
const PROMPT: Duration = Duration::from_millis(200);
/// The longest head.
const BUFFER: usize = 8 * 1024;
/// How long the tier's thread has for its part of an answer.
const TIER_MOST: Duration = Duration::from_millis(800);
/// Pause after an accept that failed.
const PAUSE: Duration = Duration::from_millis(10);

/// What operators are told.
#[derive(Clone, Default)]
pub struct Board {
    /// The figures.
    pub tally: Arc<Metrics>,
    /// Whether this process takes clients.
    pub ready: Arc<AtomicBool>,
    /// How it stands in its tier, if it is of one.
    pub tier: Option<StatusClient>,
    /// Whether it refuses everything, since it has lost touch with the others.
    pub refuses: Arc<AtomicBool>,
    /// The versions, if it agrees on some.
    pub settings: Option<Arc<Guard>>,
    /// Places and addresses, if it takes part in them.
    pub places: Option<Desk>,
    /// Changes in stages, if it agrees on some.
    pub rollout: Option<rollout::Desk>,
}

/// A second address, which another process may still hold.
pub struct Late {
    /// The address.
    pub address: SocketAddr,
    /// How it is told in the log.
    pub told: &'static str,
    /// It is let go of when that is sent or dropped.
    pub release: oneshot::Receiver<()>,
}

/// Binds the address and answers there until the process ends, and at a later one. Returns the address.
pub fn serve(address: SocketAddr, board: Board, late: Option<Late>) -> io::Result<SocketAddr> {
    let listener = std::net::TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    let bound = listener.local_addr()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    std::thread::Builder::new().name("operators".into()).stack_size(256 * 1024).spawn(move || {
        runtime.block_on(async move {
            if let Some(late) = late {
                spawn(answer_late(late, board.clone()));
            }
            match TcpListener::from_std(listener) {
                Ok(listener) => accept(listener, board).await,
                Err(e) => tracing::error!("the operators' address: {e}"),
            }
        });
    })?;
    Ok(bound)
}

async fn answer_late(Late { address, told, mut release }: Late, board: Board) {
    let mut waits = false;
    let listener = loop {
        match TcpListener::bind(address).await {
            Ok(listener) => break listener,
            Err(e) if !std::mem::replace(&mut waits, true) => {
                tracing::info!("operators' calls on {address} wait: {e}");
            }
            Err(_) => {}
        }
        if timeout(PAUSE, &mut release).await.is_ok() {
            return;
        }
    };
    match listener.local_addr() {
        Ok(bound) => tracing::info!("operators may call {told}={bound}"),
        Err(e) => tracing::warn!("operators' calls on {address}: {e}"),
    }
    tokio::select! {
        () = accept(listener, board) => {}
        _ = release => {}
    }
}

/// An open call.
struct Call {
    task: JoinHandle<()>,
    since: Instant,
}

async fn accept(listener: TcpListener, board: Board) {
    let mut calls: VecDeque<Call> = VecDeque::new();
    loop {
        calls.retain(|call| !call.task.is_finished());
        if calls.len() >= CALLS
            && let Some(mut oldest) = calls.pop_front()
        {
            // It makes room, once it has had its time.
            tokio::select! {
                _ = &mut oldest.task => {}
                () = sleep_until(oldest.since + PROMPT) => {
                    oldest.task.abort();
                    let _ = oldest.task.await;
                }
            }
            continue;
        }
        match listener.accept().await {
            Ok((stream, _)) => {
                let task = spawn(call(stream, board.clone()));
                calls.push_back(Call { task, since: Instant::now() });
            }
            Err(e) => {
                tracing::debug!("the operators' address: {e}");
                if let Some(oldest) = calls.pop_front() {
                    oldest.task.abort();
                }
                sleep(PAUSE).await;
            }
        }
    }
}

async fn call(stream: TcpStream, board: Board) {
    // An unset option costs time, not truth.
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let board = board.clone();
        async move { Ok::<_, Infallible>(answer(request, &board).await) }
    });
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new());
    builder.keep_alive(false).max_buf_size(BUFFER).header_read_timeout(HEAD_MOST);
    let served = timeout(
        HEAD_MOST + ANSWER_MOST,
        builder.serve_connection(TokioIo::new(stream), service).without_shutdown(),
    );
    let Ok(Ok(parts)) = served.await else { return };
    linger(parts.io.into_inner(), MAX_DISCARDED_BYTES).await;
}

async fn answer(request: Request<Incoming>, board: &Board) -> Response<Full<Bytes>> {
    const TEXT: &str = "text/plain";
    let path = request.uri().path();
    let there_is = match path {
        "/control/ready" | "/control/counters" => true,
        "/control/tier" => board.tier.is_some(),
        wishes::PATH => board.settings.is_some(),
        rollout::PATH | rollout::OWN => board.rollout.is_some(),
        places::PLACES | places::ADDRESSES => board.places.is_some(),
        path => board.places.is_some() && path.starts_with(places::ANNOUNCE),
    };
    let posts =
        matches!(path, wishes::PATH | places::PLACES | rollout::PATH) && *request.method() == Method::POST;
    let (status, kind, text) = if !there_is {
        let tier = if board.tier.is_some() { ", /control/tier" } else { "" };
        let settings = if board.settings.is_some() { ", /control/settings" } else { "" };
        let places =
            if board.places.is_some() { ", /control/places, /control/addresses, /announce/NAME" } else { "" };
        let rollout = if board.rollout.is_some() { ", /control/rollout, /control/rollout/own" } else { "" };
        let text =
            format!("/control/ready, /control/counters{tier}{settings}{places}{rollout} are what there is\n");
        (StatusCode::NOT_FOUND, TEXT, text)
    } else if !posts && !matches!(*request.method(), Method::GET | Method::HEAD) {
        (StatusCode::METHOD_NOT_ALLOWED, TEXT, "GET alone\n".into())
    } else if !posts && !request.body().is_end_stream() {
        (StatusCode::BAD_REQUEST, TEXT, "a call has no body\n".into())
    } else {
        match (path, &board.settings, &board.places) {
            (rollout::PATH | rollout::OWN, ..) => rollouts(request, board).await,
            ("/control/counters", ..) => {
                (StatusCode::OK, metrics::CONTENT_TYPE, board.tally.openmetrics_text())
            }
            ("/control/tier", ..) => shown(board).await,
            (wishes::PATH, Some(guard), _) => settings(request, guard).await,
            (places::PLACES, _, Some(desk)) => desk_of(request, desk).await,
            (places::ADDRESSES, _, Some(desk)) => kind(desk.addresses()),
            (path, _, Some(desk)) if path.starts_with(places::ANNOUNCE) => {
                kind(desk.announce(&path[places::ANNOUNCE.len()..]))
            }
            _ if board.ready.load(Ordering::Acquire) && !board.refuses.load(Ordering::Acquire) => {
                (StatusCode::OK, TEXT, "yes\n".into())
            }
            _ => (StatusCode::SERVICE_UNAVAILABLE, TEXT, "no\n".into()),
        }
    };
    let mut response = Response::new(Full::new(Bytes::from(text)));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static(kind));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
    if status == StatusCode::METHOD_NOT_ALLOWED {
        headers.insert(ALLOW, HeaderValue::from_static("GET, HEAD"));
    }
    response
}

async fn settings(request: Request<Incoming>, guard: &Guard) -> (StatusCode, &'static str, String) {
    let query = request.uri().query().map(str::to_owned);
    kind(match posted(request, wishes::BODY_MOST).await {
        Some(Ok((mac, body))) => guard.wish(mac.as_deref(), &body).await,
        Some(Err(too_long)) => too_long,
        None => guard.show(query.as_deref()).await,
    })
}

async fn rollouts(request: Request<Incoming>, board: &Board) -> (StatusCode, &'static str, String) {
    let Some(desk) = &board.rollout else { return kind((StatusCode::NOT_FOUND, "nothing\n".into())) };
    if request.uri().path() == rollout::OWN {
        return kind(desk.own());
    }
    let query = request.uri().query().map(str::to_owned);
    kind(match posted(request, rollout::BODY_MOST).await {
        Some(Ok((mac, body))) => desk.wish(mac.as_deref(), &body).await,
        Some(Err(too_long)) => too_long,
        None => desk.show(query.as_deref()),
    })
}

async fn desk_of(request: Request<Incoming>, desk: &Desk) -> (StatusCode, &'static str, String) {
    let query = request.uri().query().map(str::to_owned);
    kind(match posted(request, places::BODY_MOST).await {
        Some(Ok((mac, body))) => desk.wish(mac.as_deref(), &body).await,
        Some(Err(too_long)) => too_long,
        None => desk.places(query.as_deref()),
    })
}

/// The MAC and the body of a `POST`; `None` for what is none.
async fn posted(
    request: Request<Incoming>,
    most: usize,
) -> Option<Result<(Option<String>, Bytes), (StatusCode, String)>> {
    let (parts, body) = request.into_parts();
    if parts.method != Method::POST {
        return None;
    }
    let mac = parts.headers.get(signed::MAC).and_then(|mac| mac.to_str().ok()).map(str::to_owned);
    Some(match timeout(HEAD_MOST, Limited::new(body, most).collect()).await {
        Ok(Ok(body)) => Ok((mac, body.to_bytes())),
        Ok(Err(_)) | Err(_) => {
            Err((StatusCode::PAYLOAD_TOO_LARGE, "the body is too long, or broke off\n".into()))
        }
    })
}

/// What is well is JSON, and so are the reasons that begin as such.
fn kind((status, text): (StatusCode, String)) -> (StatusCode, &'static str, String) {
    let json = status == StatusCode::OK || text.starts_with('{');
    (status, if json { "application/json" } else { "text/plain" }, text)
}

async fn shown(board: &Board) -> (StatusCode, &'static str, String) {
    let status = match &board.tier {
        Some(asks) => timeout(TIER_MOST, asks.status()).await.ok().flatten(),
        None => None,
    };
    let json = status.and_then(|status| serde_json::to_string(&Shown::of(&status)).ok());
    match json {
        Some(json) => (StatusCode::OK, "application/json", json + "\n"),
        None => (StatusCode::SERVICE_UNAVAILABLE, "text/plain", "the tier's thread does not answer\n".into()),
    }
}
