//! The clients' side: accepts connections, reads requests, writes final answers.

use crate::driver::{Answer, Asked, Driver};
use crate::headers::{self, ACCOUNT, CORRELATION_ID, IDEMPOTENCY_KEY, REPEAT, TIME_LEFT, WEIGHT_HINT};
use crate::seldom::Seldom;
use crate::upstream::Outgoing;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, HeaderMap, HeaderName, HeaderValue, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use lapisroute::{ClassId, Effect, TenantId};
use lapisroute_settings::Site;
use rustc_hash::FxHashMap;
use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, Semaphore, watch};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout, timeout_at};

/// The longest body of a request.
const BODY_MOST: usize = 64 * 1024;
/// What is taken off a client's time: the way of the request here and of the answer back, and the timers.
const ON_THE_WAY: Duration = Duration::from_millis(4);
/// The longest time left that is believed.
const TIME_LEFT_MOST: u64 = 3_600_000;
/// A connection on which no head comes for so long is closed.
const HEAD_TIMEOUT: Duration = Duration::from_secs(60);
/// How long a connection that is to end may take over the rest of an answer, or of a head it has begun.
const LINGER: Duration = Duration::from_millis(250);
/// Pause after an accept has failed: when descriptors have run out, trying at once only spins.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// Size of a connection's buffer, the longest head.
const BUFFER: usize = 32 * 1024;

/// Why a request is not handed to the module.
struct Unfit(StatusCode, &'static str);

/// How far the end of this process has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Not at all.
    Serving,
    /// Not ready any more; connections end with their next answer.
    Leaving,
    /// Nothing new is accepted; connections end between requests.
    Closing,
}

/// What clients reach.
pub struct Server {
    driver: Rc<Driver>,
    classes: FxHashMap<String, (ClassId, Effect)>,
    tenants: FxHashMap<String, TenantId>,
    phase: watch::Receiver<Phase>,
    clients: RefCell<FxHashMap<u64, Rc<Client>>>,
    count: Cell<u64>,
    odd: Seldom,
}

/// A client's connection.
struct Client {
    /// Since when no request is on it.
    idle_since: Cell<Option<Instant>>,
    /// Told when it is to end after the answer in hand, or at once.
    close: Notify,
    /// It has been told.
    closing: Cell<bool>,
}

impl Server {
    /// A server that hands requests to `driver`.
    pub fn new(driver: Rc<Driver>, site: &Site, phase: watch::Receiver<Phase>) -> Rc<Self> {
        let effects = site.settings.classes.iter().map(|c| c.effect);
        let classes = site.names.classes.iter().cloned().zip(effects).enumerate();
        let classes = classes.map(|(k, (name, effect))| (name, (ClassId(k as u16), effect)));
        let tenants = site.names.tenants.iter().cloned().enumerate();
        let tenants = tenants.map(|(k, name)| (name, TenantId(k as u32)));
        let (classes, tenants) = (classes.collect(), tenants.collect());
        Rc::new(Self {
            driver,
            classes,
            tenants,
            phase,
            clients: RefCell::default(),
            count: Cell::new(0),
            odd: Seldom::default(),
        })
    }

    /// Accepts clients, at most `most` at a time, until the process is closing; returns when the last of
    /// them has gone.
    pub async fn run(self: Rc<Self>, listener: TcpListener, most: usize) {
        let places = Arc::new(Semaphore::new(most));
        let mut phase = self.phase.clone();
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                _ = phase.wait_for(|p| *p == Phase::Closing) => break,
            };
            let stream = match accepted {
                Ok((stream, _)) => stream,
                Err(e) => {
                    self.odd.warn(|| format!("accept: {e}"));
                    sleep(ACCEPT_PAUSE).await;
                    continue;
                }
            };
            // Again and again: all may be busy now, and keep their connections once they are not.
            let place = loop {
                if places.available_permits() == 0 {
                    self.close_longest_idle();
                }
                if let Ok(Ok(place)) = timeout(LINGER, Arc::clone(&places).acquire_owned()).await {
                    break place;
                }
            };
            let server = Rc::clone(&self);
            spawn_local(async move {
                server.connection(stream).await;
                drop(place);
            });
        }
        drop(listener);
        let _ = places.acquire_many(most as u32).await;
    }

    /// Makes a place for a client that waits: one that only keeps its connection can open another.
    fn close_longest_idle(&self) {
        let clients = self.clients.borrow();
        let open = clients.values().filter(|c| !c.closing.get());
        let idle = open.filter_map(|c| c.idle_since.get().map(|since| (since, c)));
        if let Some((_, client)) = idle.min_by_key(|(since, _)| *since) {
            client.closing.set(true);
            client.close.notify_one();
        }
    }

    async fn connection(self: Rc<Self>, stream: TcpStream) {
        // An unset option costs time, not truth.
        let _ = stream.set_nodelay(true);
        let mut phase = self.phase.clone();
        let number = self.count.replace(self.count.get() + 1);
        let client = Rc::new(Client {
            idle_since: Cell::new(Some(Instant::now())),
            close: Notify::new(),
            closing: Cell::new(false),
        });
        self.clients.borrow_mut().insert(number, Rc::clone(&client));
        let (server, of) = (Rc::clone(&self), Rc::clone(&client));
        let service = service_fn(move |request| {
            let (server, client) = (Rc::clone(&server), Rc::clone(&of));
            async move {
                client.idle_since.set(None);
                let response = server.respond(request).await;
                client.idle_since.set(Some(Instant::now()));
                Ok::<_, Infallible>(response)
            }
        });
        let mut builder = http1::Builder::new();
        builder.timer(TokioTimer::new()).header_read_timeout(HEAD_TIMEOUT).max_buf_size(BUFFER);
        let connection = builder.serve_connection(TokioIo::new(stream), service);
        tokio::pin!(connection);
        let close = async {
            tokio::select! {
                _ = client.close.notified() => (),
                _ = phase.wait_for(|p| *p == Phase::Closing) => (),
            }
        };
        let ended = tokio::select! {
            ended = connection.as_mut() => ended,
            () = close => {
                connection.as_mut().graceful_shutdown();
                loop {
                    match timeout(LINGER, connection.as_mut()).await {
                        Ok(ended) => break ended,
                        // Part of a head at most: nothing was taken.
                        Err(_) if client.idle_since.get().is_some() => break Ok(()),
                        Err(_) => {}
                    }
                }
            }
        };
        if let Err(e) = ended {
            tracing::debug!("client: {e}");
        }
        self.clients.borrow_mut().remove(&number);
    }

    async fn respond(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let leaving = || *self.phase.borrow() != Phase::Serving;
        let mut response = match request.uri().path() {
            "/health/ready" if leaving() => plain(StatusCode::SERVICE_UNAVAILABLE, "leaving"),
            "/health/ready" | "/health/live" => plain(StatusCode::OK, "ok"),
            _ => match self.read(request).await {
                Ok(asked) => worded(self.driver.ask(asked).answer().await),
                Err(Unfit(status, why)) => plain(status, why),
            },
        };
        if leaving() {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    /// Reads a request, its body included.
    async fn read(&self, request: Request<Incoming>) -> Result<Asked, Unfit> {
        let came = Instant::now();
        let (parts, body) = request.into_parts();
        let mut headers = parts.headers;
        let class = parts.uri.path().trim_start_matches('/').split('/').next().unwrap_or_default();
        let Some((class, effect)) = self.classes.get(class).copied() else {
            return Err(Unfit(StatusCode::NOT_FOUND, "unknown class"));
        };
        let method = if effect == Effect::Idempotent { Method::GET } else { Method::POST };
        if parts.method != method {
            return Err(Unfit(StatusCode::METHOD_NOT_ALLOWED, "the class has another method"));
        }
        if headers.get(CORRELATION_ID).is_none_or(|id| id.is_empty()) {
            return Err(Unfit(StatusCode::BAD_REQUEST, "no X-Correlation-Id"));
        }
        if matches!(effect, Effect::Deduplicated { .. }) && !headers.contains_key(IDEMPOTENCY_KEY) {
            return Err(Unfit(StatusCode::BAD_REQUEST, "no Idempotency-Key"));
        }
        let tenant = match text(&headers, &ACCOUNT).map(|name| self.tenants.get(name)) {
            Some(Some(tenant)) => *tenant,
            _ if self.tenants.is_empty() => TenantId(0),
            _ => return Err(Unfit(StatusCode::FORBIDDEN, "unknown account")),
        };
        let Some(left) = text(&headers, &TIME_LEFT).and_then(|t| t.trim().parse::<u64>().ok()) else {
            return Err(Unfit(StatusCode::BAD_REQUEST, "no readable X-Time-Left-Ms"));
        };
        let left = Duration::from_millis(left.min(TIME_LEFT_MOST));
        let deadline = came + left.saturating_sub(ON_THE_WAY);
        let work_ms = match headers.get(WEIGHT_HINT) {
            None => None,
            Some(hint) => match hint.to_str().ok().and_then(|h| h.trim().parse::<f64>().ok()) {
                Some(us) if us.is_finite() && us >= 0.0 => Some(us / 1e3),
                _ => return Err(Unfit(StatusCode::BAD_REQUEST, "unreadable X-Weight-Hint")),
            },
        };
        let repeat = headers.get(REPEAT).is_some_and(|v| v.as_bytes() == b"1");
        const TOO_LONG: Unfit = Unfit(StatusCode::PAYLOAD_TOO_LARGE, "the body is too long");
        if body.size_hint().lower() > BODY_MOST as u64 {
            return Err(TOO_LONG);
        }
        let body = match timeout_at(came + left, Limited::new(body, BODY_MOST).collect()).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(e)) if e.is::<http_body_util::LengthLimitError>() => return Err(TOO_LONG),
            Ok(Err(_)) => return Err(Unfit(StatusCode::BAD_REQUEST, "the body broke off")),
            Err(_) => return Err(Unfit(StatusCode::REQUEST_TIMEOUT, "the body did not come in time")),
        };
        headers::strip_hop_by_hop(&mut headers);
        let target = parts.uri.path_and_query().map(|p| hyper::Uri::from(p.clone())).unwrap_or_default();
        let outgoing = Outgoing { method, target, headers, body };
        Ok(Asked { class, tenant, deadline, work_ms, repeat, outgoing })
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

fn plain(status: StatusCode, text: &'static str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    response
}

/// The words for a final answer.
fn worded(answer: Answer) -> Response<Full<Bytes>> {
    match answer {
        Answer::Served(served) => {
            let mut response = Response::new(Full::new(served.body));
            *response.headers_mut() = served.headers;
            response
        }
        Answer::Refused(retry_after) => {
            let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, "refused");
            let value = retry_after.and_then(|t| format!("{:.3}", t.as_secs_f64()).parse().ok());
            if let Some(value) = value {
                response.headers_mut().insert(RETRY_AFTER, value);
            }
            response
        }
        Answer::Failed => plain(StatusCode::BAD_GATEWAY, "failed"),
    }
}
