//! The ways in.

use axum::Router;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use maplehook_proxy::Daemon;
use maplehook_proxy::config::Config;
use maplehook_tower::{Balance, Balancing, CallError, Client, RejectionReason};
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::runtime::Runtime;
use tokio::sync::oneshot;
use tower::ServiceExt;

/// The longest wait for an answer.
const LONG: Duration = Duration::from_secs(20);
/// The longest body of a request, everywhere.
pub const BODY_MOST: usize = 64 * 1024;

/// What is asked.
#[derive(Clone, Debug)]
pub struct Ask {
    /// The method.
    pub method: &'static str,
    /// The target.
    pub target: String,
    /// The headers.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

/// What an answer is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// An upstream's.
    Served(u16),
    /// Ours: it never ran.
    Refused,
    /// Ours: it may have run.
    Failed,
    /// Ours: it is no request.
    Unfit(u16),
    /// It broke half way, and its client could tell.
    Broken,
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Served(status) => write!(f, "{status}"),
            Self::Refused => f.write_str("refused"),
            Self::Failed => f.write_str("failed"),
            Self::Unfit(status) => write!(f, "unfit {status}"),
            Self::Broken => f.write_str("broken"),
        }
    }
}

/// What came.
#[derive(Clone, Debug, PartialEq)]
pub struct Got {
    /// What it is.
    pub verdict: Verdict,
    /// The body, of an upstream's answer.
    pub body: Vec<u8>,
    /// Whether a refusal says when to return.
    pub retry_after: bool,
}

/// A way in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// The daemon under the platform's protocol.
    Platform,
    /// The daemon under an operator's file.
    Daemon,
    /// The library's client.
    Client,
    /// The layer in an axum host.
    Axum,
}

impl Way {
    /// All of them.
    pub const ALL: [Self; 4] = [Self::Platform, Self::Daemon, Self::Client, Self::Axum];

    /// Opens it before these upstreams.
    pub fn open(self, upstreams: &[SocketAddr]) -> Open {
        let runtime =
            tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build().unwrap();
        let inside = match self {
            Self::Platform => {
                let config = Config::parse(&platform(upstreams)).unwrap();
                let daemon = Daemon::on_platform(config, maplehook_config::Operator::default()).unwrap();
                Inside::Http { address: daemon.address, signed: false, _daemon: Some(daemon), host: None }
            }
            Self::Daemon => {
                let text = format!("[listen]\naddress = \"127.0.0.1:0\"\n{}", file(upstreams));
                let daemon = Daemon::start(maplehook_config::parse(&text).unwrap()).unwrap();
                Inside::Http { address: daemon.address, signed: true, _daemon: Some(daemon), host: None }
            }
            Self::Client => Inside::Client(Balancing::from_file(&file(upstreams)).unwrap()),
            Self::Axum => {
                let balancing = Balancing::from_file(&file(upstreams)).unwrap();
                let app: Router = Router::new().layer(Balance::new(&balancing));
                let (stop, stopped) = oneshot::channel::<()>();
                let listener = runtime.block_on(tokio::net::TcpListener::bind("127.0.0.1:0")).unwrap();
                let address = listener.local_addr().unwrap();
                let served = runtime.spawn(async move {
                    let stopped = async move { drop(stopped.await) };
                    axum::serve(listener, app).with_graceful_shutdown(stopped).await
                });
                let host = Some(Host { balancing, stop: Some(stop), _served: served });
                Inside::Http { address, signed: true, _daemon: None, host }
            }
        };
        let http = reqwest::Client::builder()
            .redirect(reqwest::redirect::Policy::none())
            .no_proxy()
            .timeout(LONG)
            .build()
            .unwrap();
        Open { inside: Some(inside), runtime, http }
    }
}

struct Host {
    balancing: Balancing,
    stop: Option<oneshot::Sender<()>>,
    _served: tokio::task::JoinHandle<std::io::Result<()>>,
}

enum Inside {
    Http { address: SocketAddr, signed: bool, _daemon: Option<Daemon>, host: Option<Host> },
    Client(Balancing),
}

/// A way in that is open.
pub struct Open {
    inside: Option<Inside>,
    runtime: Runtime,
    http: reqwest::Client,
}

/// A request that is under way.
pub type Pending = tokio::task::JoinHandle<Got>;

impl Open {
    /// Where it listens, if it does.
    pub fn address(&self) -> Option<SocketAddr> {
        match self.inside.as_ref()? {
            Inside::Http { address, .. } => Some(*address),
            Inside::Client(_) => None,
        }
    }

    /// Begins to ask. Aborting it is a client that goes away.
    pub fn begin(&self, ask: &Ask) -> Pending {
        let ask = ask.clone();
        match self.inside.as_ref().expect("it is open") {
            Inside::Http { address, signed, .. } => {
                let mut request = self
                    .http
                    .request(ask.method.parse().unwrap(), format!("http://{address}{}", ask.target))
                    .body(ask.body);
                for (name, value) in &ask.headers {
                    request = request.header(name, value);
                }
                let signed = *signed;
                self.runtime.spawn(async move { by_http(request, signed).await })
            }
            Inside::Client(balancing) => {
                let mut request = http::Request::builder()
                    .method(ask.method)
                    .uri(&ask.target)
                    .header("host", "127.0.0.1")
                    .header("accept", "*/*");
                for (name, value) in &ask.headers {
                    request = request.header(name, value);
                }
                let request = request.body(Full::new(Bytes::from(ask.body))).unwrap();
                let client = Client::new(balancing);
                self.runtime.spawn(async move { by_client(client, request).await })
            }
        }
    }

    /// Asks, and waits for the answer.
    pub fn ask(&self, ask: &Ask) -> Got {
        self.wait(self.begin(ask))
    }

    /// Waits for the answer.
    pub fn wait(&self, pending: Pending) -> Got {
        self.runtime.block_on(pending).unwrap()
    }

    /// Begins a planned end, on another thread; what is returned is joined when it is over.
    pub fn end(&mut self) -> std::thread::JoinHandle<()> {
        let (inside, handle) = (self.inside.take(), self.runtime.handle().clone());
        std::thread::spawn(move || match inside {
            Some(Inside::Http { host: Some(mut host), .. }) => {
                drop(host.stop.take());
                handle.block_on(host.balancing.shutdown(LONG));
            }
            Some(Inside::Client(balancing)) => handle.block_on(balancing.shutdown(LONG)),
            ended => drop(ended),
        })
    }
}

async fn by_http(request: reqwest::RequestBuilder, signed: bool) -> Got {
    let response = match request.send().await {
        Ok(response) => response,
        Err(_) => return Got { verdict: Verdict::Broken, body: Vec::new(), retry_after: false },
    };
    let status = response.status().as_u16();
    let own = response.headers().get("x-maplehook").map(|word| word.to_str().unwrap().to_owned());
    let retry_after = response.headers().contains_key("retry-after");
    let verdict = match (own.as_deref(), signed) {
        (Some("refused"), _) => Verdict::Refused,
        (Some("failed"), _) => Verdict::Failed,
        (Some(_), _) => Verdict::Unfit(status),
        // The platform's own answers are known by their status alone.
        (None, false) => match status {
            200 => Verdict::Served(200),
            429 | 503 => Verdict::Refused,
            502 => Verdict::Failed,
            status => Verdict::Unfit(status),
        },
        (None, true) => Verdict::Served(status),
    };
    match response.bytes().await {
        Ok(body) => Got { verdict, body: body.to_vec(), retry_after },
        Err(_) => Got { verdict: Verdict::Broken, body: Vec::new(), retry_after },
    }
}

async fn by_client(client: Client, request: http::Request<Full<Bytes>>) -> Got {
    let own = |verdict, retry_after| Got { verdict, body: Vec::new(), retry_after };
    match client.oneshot(request).await {
        Ok(response) => {
            let status = response.status().as_u16();
            match response.into_body().collect().await {
                Ok(body) => Got {
                    verdict: Verdict::Served(status),
                    body: body.to_bytes().to_vec(),
                    retry_after: false,
                },
                Err(_) => own(Verdict::Broken, false),
            }
        }
        Err(CallError::Unfit(unfit)) => own(Verdict::Unfit(unfit.status.as_u16()), false),
        Err(CallError::Refused(refusal)) => match refusal.reason {
            RejectionReason::BodyTooLong => own(Verdict::Unfit(413), false),
            RejectionReason::BodyIncomplete | RejectionReason::InvalidCall => own(Verdict::Unfit(400), false),
            RejectionReason::IdentityInUse => own(Verdict::Unfit(409), false),
            RejectionReason::IdentityReused => own(Verdict::Unfit(422), false),
            RejectionReason::NoCapacity | RejectionReason::QueueFull | RejectionReason::ShuttingDown => {
                own(Verdict::Refused, refusal.retry_after.is_some())
            }
        },
        Err(CallError::Failed) => own(Verdict::Failed, false),
    }
}

/// Milliseconds that a client waits, in every class.
const DEADLINE_MS: u64 = 8000;

fn platform(upstreams: &[SocketAddr]) -> String {
    let targets = upstreams.iter().enumerate().map(|(n, address)| {
        serde_json::json!({"uid": format!("desk-{n}"), "endpoint": address.to_string(), "az": "a", "model": "m",
            "pod_group": 0, "state": "Ready", "capacity_hint": 1.0, "boot_ms": 0})
    });
    let targets = targets.collect::<Vec<_>>();
    let class = |name: &str, effect: &str| {
        serde_json::json!({"name": name, "aim_ms": DEADLINE_MS, "hard_limit_ms": DEADLINE_MS, "late_worth": 0.5,
            "effect": effect, "dedup_scope": "all", "key_ttl_ms": 60_000})
    };
    let classes =
        [class("look", "idempotent"), class("book", "at_most_once"), class("keyed", "deduplicated")];
    serde_json::json!({
        "name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
        "known": {"rev": 1, "all": true, "targets": targets},
        "settings": {"balancers": 1, "me": 0, "classes": classes, "discovery": "automatic",
            "failure_domains": ["a"], "skus": ["m"], "locality": 0,
            "limits": {"conn_idle_ms": 60_000, "connect_timeout_ms": 2000, "try_limit": 3, "second_copies": false},
            "parties": [{"name": "acme", "allowance_per_s": 10_000.0}, {"name": "lodge", "allowance_per_s": 10_000.0}]}
    })
    .to_string()
}

fn file(upstreams: &[SocketAddr]) -> String {
    let mut text = String::from("[headers]\nx_forwarded = false\n[balancer]\nconnect_timeout_ms = 2000\n");
    for tenant in ["acme", "lodge"] {
        text += &format!("[[tenant]]\nname = \"{tenant}\"\n");
    }
    for (name, method, effect) in
        [("look", "GET", "idempotent"), ("book", "POST", "at_most_once"), ("keyed", "POST", "keyed")]
    {
        text += &format!(
            "[[class]]\nname = \"{name}\"\npath = \"/{name}/**\"\nmethods = [\"{method}\"]\neffect = \"{effect}\"\n\
             deadline_ms = {DEADLINE_MS}\naim_ms = {DEADLINE_MS}\nbody_most_bytes = {BODY_MOST}\nidle_ms = 500\n"
        );
    }
    for (n, address) in upstreams.iter().enumerate() {
        text += &format!("[[upstream]]\nname = \"desk-{n}\"\naddress = \"{address}\"\n");
    }
    text
}
