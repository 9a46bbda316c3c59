//! Asks a real server as an experiment's clients would: open loop, at times that are known beforehand. A request's
//! latency runs from the time at which it was to be sent, so that a server that stalls can't hide what waited for it.

use crate::arrivals::{Source, who, zipf};
use crate::world::World;
use hdrhistogram::Histogram;
use http_body_util::{BodyExt, Empty};
use hyper::body::Bytes;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use maplehook_core::Effect;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio::time::{Instant, sleep_until, timeout};

/// Idle connections that are kept.
const KEPT_MOST: usize = 4096;
/// Requests that may be out at once; one more counts as not sent, and is told.
const OUT_MOST: u64 = 20_000;

/// One request that is to be sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Planned {
    /// When, from the start.
    pub at: Duration,
    /// Whose.
    pub tenant: u32,
    /// Of which class.
    pub class: usize,
}

/// All that a world's clients ask, in order, by its seed alone.
pub fn schedule(world: &World) -> Vec<Planned> {
    let mut chance = ChaCha8Rng::seed_from_u64(world.seed.wrapping_mul(8).wrapping_add(1));
    let tenants = zipf(world.tenants, world.zipf);
    let mut all = Vec::new();
    for stream in &world.streams {
        let (mut source, mut now) = (Source::new(stream.clone()), Duration::ZERO);
        while let Some(at) = source.next(now, &mut chance).filter(|at| *at < world.lasts) {
            let (tenant, class) = who(world, &tenants, source.tenant(), &mut chance);
            all.push(Planned { at, tenant, class });
            now = at;
        }
    }
    all.sort_by_key(|p| p.at);
    all
}

/// What came of a load.
#[derive(Clone, Debug, Serialize)]
pub struct Loaded {
    /// Requests that were to be sent.
    pub planned: u64,
    /// Answers by status.
    pub statuses: BTreeMap<u16, u64>,
    /// No answer in time.
    pub timed_out: u64,
    /// Connections that could not be made, or that broke.
    pub broken: u64,
    /// Not sent, since too many were out.
    pub unsent: u64,
    /// The share of requests answered well within their class's aim.
    pub in_time: f64,
    /// Quantiles of latency from the intended time, in ms, of all that were answered well.
    pub quantiles_ms: BTreeMap<String, f64>,
    /// The same from the time at which they were sent: what a tool that waits for answers would report.
    pub from_sent_ms: BTreeMap<String, f64>,
    /// The latest that a request was sent after its time, in ms: the tool's own fault.
    pub behind_most_ms: f64,
    /// How long it lasted, in seconds.
    pub lasted_s: f64,
}

/// Whom to ask, and how.
#[derive(Clone, Debug)]
pub struct Target {
    /// Where.
    pub address: SocketAddr,
    /// The host that requests name.
    pub host: String,
    /// What goes before a class's path.
    pub path: String,
    /// The names of the classes.
    pub classes: Vec<String>,
    /// The header that names a tenant, and one that bears a key, if they are sent.
    pub tenant_header: Option<String>,
}

impl Target {
    /// From an URL, `http://HOST:PORT/PATH`; the host has to be an address of this machine.
    pub fn new(url: &str, classes: Vec<String>) -> Result<Self, String> {
        let uri: hyper::Uri = url.parse().map_err(|e| format!("{url}: {e}"))?;
        if uri.scheme_str() != Some("http") {
            return Err(format!("{url}: only http:// is spoken"));
        }
        let authority = uri.authority().ok_or_else(|| format!("{url}: no host"))?;
        let ip: std::net::IpAddr = match authority.host().trim_matches(['[', ']']) {
            "localhost" => std::net::Ipv4Addr::LOCALHOST.into(),
            host => host.parse().map_err(|_| format!("{url}: the host has to be an address or localhost"))?,
        };
        let address = SocketAddr::new(ip, authority.port_u16().unwrap_or(80));
        let path = uri.path().trim_end_matches('/').to_owned();
        let tenant_header = Some("x-account".into());
        Ok(Self { address, host: authority.to_string(), path, classes, tenant_header })
    }
}

struct Counts {
    latency: Histogram<u64>,
    sent: Histogram<u64>,
    statuses: BTreeMap<u16, u64>,
    in_time: u64,
    timed_out: u64,
    broken: u64,
    behind: Duration,
}

struct Shared {
    target: Target,
    idle: Mutex<Vec<SendRequest<Empty<Bytes>>>>,
    counts: Mutex<Counts>,
    out: AtomicU64,
}

/// Sends all of it at its time. `told` hears once a second how many are answered and how many are out.
pub async fn run(
    world: &World,
    target: Target,
    stop: &AtomicBool,
    told: &(dyn Fn(u64, u64) + Sync),
) -> Result<Loaded, String> {
    let planned = schedule(world);
    let histogram = || Histogram::new_with_bounds(1, 3_600_000_000, 3).map_err(|e| e.to_string());
    let counts = Counts {
        latency: histogram()?,
        sent: histogram()?,
        statuses: BTreeMap::new(),
        in_time: 0,
        timed_out: 0,
        broken: 0,
        behind: Duration::ZERO,
    };
    let shared = Arc::new(Shared {
        target,
        idle: Mutex::new(Vec::new()),
        counts: Mutex::new(counts),
        out: AtomicU64::new(0),
    });
    let start = Instant::now();
    let (mut unsent, mut done, mut next_word) = (0, 0, Duration::from_secs(1));
    let mut tasks = tokio::task::JoinSet::new();
    for one in &planned {
        sleep_until(start + one.at).await;
        while tasks.try_join_next().is_some() {
            done += 1;
        }
        if one.at >= next_word {
            told(done, shared.out.load(Ordering::Relaxed));
            next_word += Duration::from_secs(1);
        }
        if stop.load(Ordering::Relaxed) {
            break;
        }
        if shared.out.load(Ordering::Relaxed) >= OUT_MOST {
            unsent += 1;
            continue;
        }
        shared.out.fetch_add(1, Ordering::Relaxed);
        let class = world.classes[one.class].clone();
        let (shared, one) = (Arc::clone(&shared), *one);
        tasks.spawn(async move {
            ask(&shared, one, start, &class).await;
            shared.out.fetch_sub(1, Ordering::Relaxed);
        });
    }
    while tasks.join_next().await.is_some() {}
    let lasted_s = start.elapsed().as_secs_f64();
    let counts = shared.counts.lock().await;
    let quantiles = |h: &Histogram<u64>| {
        let of = [("p50", 0.5), ("p90", 0.9), ("p99", 0.99), ("p999", 0.999), ("max", 1.0)];
        of.map(|(name, q)| (name.to_owned(), h.value_at_quantile(q) as f64 / 1000.0)).into()
    };
    Ok(Loaded {
        planned: planned.len() as u64,
        statuses: counts.statuses.clone(),
        timed_out: counts.timed_out,
        broken: counts.broken,
        unsent,
        in_time: counts.in_time as f64 / planned.len().max(1) as f64,
        quantiles_ms: quantiles(&counts.latency),
        from_sent_ms: quantiles(&counts.sent),
        behind_most_ms: counts.behind.as_secs_f64() * 1000.0,
        lasted_s,
    })
}

async fn ask(shared: &Shared, one: Planned, start: Instant, class: &maplehook_core::Class) {
    let (intended, sent) = (start + one.at, Instant::now());
    let answered = timeout(class.deadline, exchange(shared, one, class)).await;
    let (now, mut counts) = (Instant::now(), shared.counts.lock().await);
    counts.behind = counts.behind.max(sent - intended);
    match answered {
        Ok(Ok(status)) => {
            *counts.statuses.entry(status.as_u16()).or_default() += 1;
            if status.is_success() {
                counts.latency.saturating_record((now - intended).as_micros() as u64);
                counts.sent.saturating_record((now - sent).as_micros() as u64);
                counts.in_time += u64::from(now - intended <= class.latency_objective);
            }
        }
        Ok(Err(_)) => counts.broken += 1,
        Err(_) => counts.timed_out += 1,
    }
}

async fn exchange(shared: &Shared, one: Planned, class: &maplehook_core::Class) -> io::Result<StatusCode> {
    let name = shared.target.classes.get(one.class).map_or("", String::as_str);
    let safe = class.effect == Effect::Idempotent;
    let mut request = Request::builder()
        .method(if safe { Method::GET } else { Method::POST })
        .uri(format!("{}/{name}", shared.target.path))
        .header("host", &shared.target.host);
    if let Some(header) = &shared.target.tenant_header {
        request = request.header(header, format!("tenant-{}", one.tenant));
    }
    if matches!(class.effect, Effect::Deduplicated { .. }) {
        request = request.header("idempotency-key", format!("lab-{}-{}", one.tenant, one.at.as_nanos()));
    }
    if !safe {
        request = request.header("content-length", "0");
    }
    let request = request.body(Empty::new()).map_err(io::Error::other)?;
    let kept = shared.idle.lock().await.pop().filter(|sender| !sender.is_closed());
    let mut sender = match kept {
        Some(sender) => sender,
        None => {
            let stream = TcpStream::connect(shared.target.address).await?;
            stream.set_nodelay(true)?;
            let (sender, connection) =
                http1::handshake(TokioIo::new(stream)).await.map_err(io::Error::other)?;
            tokio::spawn(connection);
            sender
        }
    };
    sender.ready().await.map_err(io::Error::other)?;
    let response = sender.send_request(request).await.map_err(io::Error::other)?;
    let status = response.status();
    let mut body = response.into_body();
    while let Some(frame) = body.frame().await {
        frame.map_err(io::Error::other)?;
    }
    let mut idle = shared.idle.lock().await;
    if idle.len() < KEPT_MOST {
        idle.push(sender);
    }
    Ok(status)
}
