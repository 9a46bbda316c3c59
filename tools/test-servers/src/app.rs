//! An application behind a balancer: an HTTP/1.1 server whose paths say what it does.
//!
//! | path | what it does |
//! | --- | --- |
//! | `/status/N` | answers with status N |
//! | `/echo` | reads the body, and tells as JSON what came |
//! | `/bytes/N`, `/chunked/N` | N bytes of [`pattern`], with and without a length |
//! | `/events/N/MS` | N events, one every MS milliseconds |
//! | `/cookies`, `/gzip`, `/etag`, `/moved`, `/trailers` | headers and trailers that have to pass |
//! | `/break/N` | says N bytes, sends half of them and ends the connection |
//! | `/cut` | ends the connection in the middle of the request's body |
//! | `/torn/N` | the same without saying how long it is |
//! | `/early` | answers before it has read the body |
//! | `/slow/MS` | answers after MS milliseconds |
//! | `/silent/N` | says N bytes, sends half of them, and then nothing |
//! | `/busy` | turns it away: 503 with the marker; it has not run |
//! | `/reset` | runs it, and ends the connection without a word |
//! | `/error/N` | runs it, and answers with status N |
//! | anything else | runs it, and answers 200 |
//!
//! A first part `look`, `book` or `keyed` is passed over: it names a class to the balancer.

pub use crate::echo::{Echo, Seen, pattern, patterned};
use crate::hosted::Hosted;
use crate::room::{Behaviour, Does, Room, Run};
use http_body_util::{BodyExt, Full, StreamBody, combinators::BoxBody};
use hyper::body::{Bytes, Frame, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{HeaderMap, Method, Request, Response};
use hyper_util::rt::TokioIo;
use std::collections::{HashMap, HashSet};
use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};

/// A chunk of a long answer.
const CHUNK: usize = 16 * 1024;
/// The longest pause that a path may ask for.
const PAUSE_MOST: u64 = 60_000;

type AnyBody = BoxBody<Bytes, std::io::Error>;

/// Keys that several applications have seen: a repeat of a class `keyed` runs at none of them again.
#[derive(Clone, Default)]
pub struct Keys(Arc<Mutex<HashSet<String>>>);

#[derive(Default)]
struct State {
    keys: Keys,
    seen: Mutex<Vec<Seen>>,
    effects: Mutex<HashMap<String, usize>>,
    targets: Mutex<HashMap<String, usize>>,
    connections: AtomicUsize,
    bytes: AtomicUsize,
    draining: AtomicBool,
    room: Option<Room>,
}

/// An application. It ends when it is dropped, and ends its connections.
pub struct App {
    /// Where it listens.
    pub address: SocketAddr,
    state: Arc<State>,
    hosted: Hosted,
}

impl App {
    /// Starts one, on a thread of its own.
    pub fn start() -> Self {
        Self::sharing(Keys::default())
    }

    /// The same, with the keys that others have seen.
    pub fn sharing(keys: Keys) -> Self {
        Self::with(keys, None)
    }

    /// The same; it bears no more than its room, as [`App::behaves`] says, and [`App::runs`] tells when it began to work for whom.
    pub fn with(keys: Keys, room: Option<Room>) -> Self {
        let state = Arc::new(State { keys, room, ..State::default() });
        let shared = Arc::clone(&state);
        let hosted = Hosted::start(move |listener, ended| serve(listener, shared, ended));
        Self { address: hosted.address, state, hosted }
    }

    /// Requests whose heads have come, in order.
    pub fn seen(&self) -> Vec<Seen> {
        lock(&self.state.seen).clone()
    }

    /// How many there were.
    pub fn requests(&self) -> usize {
        lock(&self.state.seen).len()
    }

    /// How often each effect has happened, by the id or key of its request, or its target.
    pub fn effects(&self) -> HashMap<String, usize> {
        lock(&self.state.effects).clone()
    }

    /// How often something ran by this target, whatever its id.
    pub fn ran(&self, target: &str) -> usize {
        lock(&self.state.targets).get(target).copied().unwrap_or(0)
    }

    /// Connections that have come.
    pub fn connections(&self) -> usize {
        self.state.connections.load(Ordering::SeqCst)
    }

    /// Bytes of long answers that have been made: how far ahead of a slow reader it was let run.
    pub fn made(&self) -> usize {
        self.state.bytes.load(Ordering::SeqCst)
    }

    /// From now on it turns everything new away.
    pub fn drain(&self) {
        self.state.draining.store(true, Ordering::SeqCst);
    }

    /// How it behaves from now on, if it has a room.
    pub fn behaves(&self, behaviour: Behaviour) {
        self.state.room.iter().for_each(|room| room.behaves(behaviour));
    }

    /// When it began to work for whom, if it has a room.
    pub fn runs(&self) -> Vec<Run> {
        self.state.room.as_ref().map(Room::runs).unwrap_or_default()
    }

    /// Dies: its connections end at once, new ones are refused.
    pub fn kill(&mut self) {
        self.hosted.end();
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn serve(listener: TcpListener, state: Arc<State>, mut ended: watch::Receiver<bool>) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = ended.wait_for(|ended| *ended) => return,
        };
        let Ok((stream, _)) = accepted else { continue };
        let _ = stream.set_nodelay(true);
        state.connections.fetch_add(1, Ordering::SeqCst);
        let (state, mut ended) = (Arc::clone(&state), ended.clone());
        tokio::spawn(async move {
            let (break_off, mut broken) = mpsc::channel::<()>(1);
            let service = service_fn(|request| {
                let (state, break_off) = (Arc::clone(&state), break_off.clone());
                async move { Ok::<_, Infallible>(respond(&state, request, break_off).await) }
            });
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            tokio::select! {
                _ = connection => {}
                _ = broken.recv() => {}
                _ = ended.wait_for(|ended| *ended) => {}
            }
        });
    }
}

fn text(status: u16, words: &str) -> Response<AnyBody> {
    let body = Full::new(Bytes::copy_from_slice(words.as_bytes())).map_err(|never| match never {});
    Response::builder().status(status).body(body.boxed()).unwrap()
}

/// Sends what `make` makes, one frame at a time, as long as it is read.
fn streamed<F, M>(make: M) -> AnyBody
where
    F: Future<Output = ()> + Send + 'static,
    M: FnOnce(mpsc::Sender<Result<Frame<Bytes>, std::io::Error>>) -> F,
{
    let (frames, mut received) = mpsc::channel(1);
    tokio::spawn(make(frames));
    let stream = futures_util::stream::poll_fn(move |cx| received.poll_recv(cx));
    BodyExt::boxed(StreamBody::new(stream))
}

/// Waits for its turn; an answer, if it was turned away or has failed.
async fn worked(state: &State, headers: &HeaderMap) -> Option<Response<AnyBody>> {
    let room = state.room.as_ref()?;
    let value = |name: &str| headers.get(name).and_then(|v| v.to_str().ok()).unwrap_or_default();
    let through = value("via").rsplit(' ').next().unwrap_or_default();
    match room.takes(Instant::now(), value("x-correlation-id"), through) {
        Does::Works(takes) => tokio::time::sleep(takes).await,
        Does::Fails(takes) => {
            tokio::time::sleep(takes).await;
            return Some(text(500, "an error of its own"));
        }
        Does::Full => {
            let mut response = text(503, "full");
            response.headers_mut().insert("x-unprocessed", "1".parse().unwrap());
            return Some(response);
        }
    }
    room.goes_on().await;
    None
}

async fn respond(
    state: &Arc<State>,
    request: Request<Incoming>,
    break_off: mpsc::Sender<()>,
) -> Response<AnyBody> {
    let (parts, mut body) = request.into_parts();
    let target = parts.uri.to_string();
    lock(&state.seen).push(Seen {
        method: parts.method.to_string(),
        target: target.clone(),
        headers: parts.headers.clone(),
        at: Instant::now(),
    });
    let path = parts.uri.path().to_owned();
    let keyed = path.starts_with("/keyed/");
    let mut words: Vec<&str> = path.trim_start_matches('/').split('/').collect();
    if words.len() > 1 && matches!(words[0], "look" | "book" | "keyed") {
        words.remove(0);
    }
    let number = |n: usize| words.get(n).and_then(|w| w.parse::<u64>().ok()).unwrap_or(0);
    if state.draining.load(Ordering::SeqCst) || words[0] == "busy" {
        let mut response = text(503, "turned away");
        response.headers_mut().insert("x-unprocessed", "1".parse().unwrap());
        return response;
    }
    if words[0] == "early" {
        // What comes is read away: closed on with bytes unread, the connection would take the answer along.
        tokio::spawn(body.collect());
        return text(200, "early");
    }
    if words[0] == "cut" {
        let mut read = 0;
        while let Some(Ok(frame)) = body.frame().await {
            read += frame.data_ref().map_or(0, Bytes::len);
            if read > 100_000 {
                let _ = break_off.send(()).await;
                std::future::pending().await
            }
        }
    }
    let Ok(body) = body.collect().await else { return text(400, "broke off") };
    let trailers = body.trailers().cloned().unwrap_or_default();
    let body = body.to_bytes();
    if let Some(refused) = worked(state, &parts.headers).await {
        return refused;
    }
    let run = || {
        let value = |name: &str| parts.headers.get(name).and_then(|v| v.to_str().ok()).map(str::to_owned);
        let id = value("idempotency-key").or_else(|| value("x-correlation-id")).unwrap_or(target.clone());
        *lock(&state.targets).entry(target.clone()).or_default() += 1;
        if !keyed || lock(&state.keys.0).insert(id.clone()) {
            *lock(&state.effects).entry(id).or_default() += 1;
        }
    };
    let length = number(1) as usize;
    match words[0] {
        "status" => {
            let status = number(1) as u16;
            let mut response = text(status, if matches!(status, 204 | 304) { "" } else { "as told" });
            response.headers_mut().insert("x-own", "kept".parse().unwrap());
            response
        }
        "echo" => {
            run();
            let list = |headers: &HeaderMap| {
                let pairs = headers.iter();
                pairs
                    .map(|(n, v)| (n.to_string(), String::from_utf8_lossy(v.as_bytes()).into_owned()))
                    .collect()
            };
            let echo = Echo {
                method: parts.method.to_string(),
                target,
                headers: list(&parts.headers),
                length: body.len(),
                patterned: body.iter().enumerate().all(|(n, b)| *b == pattern(n)),
                trailers: list(&trailers),
            };
            text(200, &serde_json::to_string(&echo).unwrap())
        }
        "bytes" | "chunked" | "break" | "silent" | "torn" => {
            let (state, whole) = (Arc::clone(state), matches!(words[0], "bytes" | "chunked"));
            let silent = words[0] == "silent";
            let head_only = parts.method == Method::HEAD;
            let end = if whole || head_only { length } else { length / 2 };
            let body = streamed(|frames| async move {
                let mut at = 0;
                while at < end && !head_only {
                    let next = end.min(at + CHUNK);
                    let chunk: Vec<u8> = (at..next).map(pattern).collect();
                    state.bytes.fetch_add(chunk.len(), Ordering::SeqCst);
                    if frames.send(Ok(Frame::data(chunk.into()))).await.is_err() {
                        return;
                    }
                    at = next;
                }
                if silent {
                    tokio::time::sleep(Duration::from_millis(PAUSE_MOST)).await;
                } else if !whole {
                    // What has been sent is to arrive first.
                    tokio::time::sleep(Duration::from_millis(20)).await;
                    let _ = break_off.send(()).await;
                    tokio::time::sleep(Duration::from_millis(PAUSE_MOST)).await;
                }
            });
            let mut response = Response::new(body);
            if !matches!(words[0], "chunked" | "torn") {
                response.headers_mut().insert("content-length", length.into());
            }
            response
        }
        "events" => {
            let (count, pause) = (number(1), number(2).min(PAUSE_MOST));
            let body = streamed(|frames| async move {
                for n in 0..count {
                    if n > 0 {
                        tokio::time::sleep(Duration::from_millis(pause)).await;
                    }
                    let event = format!("data: {n}\n\n");
                    if frames.send(Ok(Frame::data(event.into()))).await.is_err() {
                        return;
                    }
                }
            });
            let mut response = Response::new(body);
            response.headers_mut().insert("content-type", "text/event-stream".parse().unwrap());
            response
        }
        "cookies" => {
            let mut response = text(200, "two");
            response.headers_mut().append("set-cookie", "a=1; Path=/".parse().unwrap());
            response.headers_mut().append("set-cookie", "b=2; Path=/".parse().unwrap());
            response
        }
        "gzip" => {
            let mut response = text(200, "\u{1f}\u{8}not unpacked");
            response.headers_mut().insert("content-encoding", "gzip".parse().unwrap());
            response
        }
        "etag" => {
            let fresh = parts.headers.get("if-none-match").is_some_and(|tag| tag == "\"v1\"");
            let mut response = if fresh { text(304, "") } else { text(200, "the first version") };
            response.headers_mut().insert("etag", "\"v1\"".parse().unwrap());
            response
        }
        "moved" => {
            let mut response = text(302, "");
            response.headers_mut().insert("location", "/days/2?n=1".parse().unwrap());
            response
        }
        "trailers" => {
            let body = streamed(|frames| async move {
                let _ = frames.send(Ok(Frame::data("body".into()))).await;
                let trailers = [("x-sum".parse().unwrap(), "abc".parse().unwrap())].into_iter().collect();
                let _ = frames.send(Ok(Frame::trailers(trailers))).await;
            });
            let mut response = Response::new(body);
            response.headers_mut().insert("trailer", "x-sum".parse().unwrap());
            response
        }
        "slow" => {
            run();
            tokio::time::sleep(Duration::from_millis(number(1).min(PAUSE_MOST))).await;
            text(200, "slow")
        }
        "reset" => {
            run();
            let _ = break_off.send(()).await;
            std::future::pending().await
        }
        "error" => {
            run();
            text(number(1) as u16, "an error of its own")
        }
        _ => {
            run();
            let mut response = text(200, "done");
            response.headers_mut().insert("x-own", "kept".parse().unwrap());
            response
        }
    }
}
