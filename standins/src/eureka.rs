//! A Eureka registry, from the public description of its REST operations: register, renew, cancel, status override and
//! its removal, metadata, the whole list, its changes, by application, VIP and instance, in JSON and XML, with the
//! hash of the list, leases that expire and self-preservation. It fails as it is told to ([`Mode`]).

use flate2::write::GzEncoder;
use http_body_util::{BodyExt, Full, combinators::BoxBody};
use hyper::body::{Bytes, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response};
use hyper_util::rt::TokioIo;
use quick_xml::events::{BytesEnd, BytesStart, BytesText, Event};
use quick_xml::{Reader, Writer};
use serde_json::{Map, Value, json};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::net::TcpListener;
use tokio::sync::watch;

/// For how long changes are listed.
const RECENT: Duration = Duration::from_secs(180);
/// Share of the renewals that have to come, or no lease expires any more.
const PRESERVE: f64 = 0.85;

/// How the registry answers those who read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// As it should.
    #[default]
    Well,
    /// With this status.
    Status(u16),
    /// By ending the connection.
    Reset,
    /// Not at all: the connection stays open.
    Mute,
    /// One byte at a time, for ever.
    Drip,
    /// With a list of nobody.
    Empty,
    /// With every other instance.
    Half,
    /// With half of the document.
    Truncated,
    /// With a document of which bytes were changed.
    Garbled,
    /// With a hash that is not the list's.
    WrongHash,
    /// With what was true when this mode began.
    Stale,
}

impl Mode {
    /// By its name, as in a schedule.
    pub fn named(name: &str) -> Option<Self> {
        Some(match name {
            "well" => Self::Well,
            "reset" => Self::Reset,
            "mute" => Self::Mute,
            "drip" => Self::Drip,
            "empty" => Self::Empty,
            "half" => Self::Half,
            "truncated" => Self::Truncated,
            "garbled" => Self::Garbled,
            "wrong-hash" => Self::WrongHash,
            "stale" => Self::Stale,
            status => Self::Status(status.parse().ok()?),
        })
    }
}

#[derive(Clone)]
struct Registered {
    /// The instance as it was registered, its status folded in.
    info: Map<String, Value>,
    lease: Duration,
    renewed: Instant,
    renewals: u32,
}

#[derive(Clone)]
struct Change {
    at: Instant,
    app: String,
    info: Map<String, Value>,
}

#[derive(Default, Clone)]
struct Registry {
    apps: BTreeMap<String, BTreeMap<String, Registered>>,
    recent: Vec<Change>,
    version: u64,
    preserves: bool,
    /// Milliseconds by which its clock is behind.
    behind_ms: u64,
}

impl Registry {
    fn now_ms(&self) -> u64 {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
        now.saturating_sub(self.behind_ms)
    }

    fn touch(&mut self, app: &str, id: &str, action: &str) -> bool {
        let now = self.now_ms();
        let Some(registered) = self.apps.get_mut(app).and_then(|app| app.get_mut(id)) else { return false };
        registered.info.insert("lastUpdatedTimestamp".into(), now.to_string().into());
        registered.info.insert("actionType".into(), action.into());
        let change = Change { at: Instant::now(), app: app.to_owned(), info: registered.info.clone() };
        self.recent.push(change);
        self.version += 1;
        true
    }

    fn register(&mut self, app: &str, mut info: Map<String, Value>) -> Option<String> {
        let text = |name: &str| info.get(name).and_then(Value::as_str).map(str::to_owned);
        let id = text("instanceId").or_else(|| text("hostName"))?;
        let lease = info.get("leaseInfo").and_then(|lease| lease.get("durationInSecs")).and_then(number);
        info.insert("app".into(), app.into());
        info.entry("status").or_insert("UP".into());
        info.entry("overriddenstatus").or_insert("UNKNOWN".into());
        info.entry("lastDirtyTimestamp").or_insert(self.now_ms().to_string().into());
        let before = self.apps.get(app).and_then(|app| app.get(&id));
        // An override outlives a registration.
        if let Some(overridden) =
            before.and_then(|b| b.info.get("overriddenstatus")).filter(|s| *s != "UNKNOWN")
        {
            info.insert("status".into(), overridden.clone());
            info.insert("overriddenstatus".into(), overridden.clone());
        }
        let lease = Duration::from_secs(lease.unwrap_or(90));
        let registered = Registered { info, lease, renewed: Instant::now(), renewals: 1 };
        self.apps.entry(app.to_owned()).or_default().insert(id.clone(), registered);
        self.touch(app, &id, "ADDED");
        Some(id)
    }

    fn remove(&mut self, app: &str, id: &str) -> bool {
        let removed = self.touch(app, id, "DELETED");
        if let Some(instances) = self.apps.get_mut(app) {
            instances.remove(id);
            if instances.is_empty() {
                self.apps.remove(app);
            }
        }
        removed
    }

    /// Leases that nobody renewed end, unless so many do at once that it is the network's fault.
    fn evict(&mut self) {
        let all: Vec<(String, String, bool)> = self
            .apps
            .iter()
            .flat_map(|(app, instances)| {
                let expired = |r: &Registered| r.renewed.elapsed() > r.lease;
                instances.iter().map(move |(id, r)| (app.clone(), id.clone(), expired(r)))
            })
            .collect();
        let expired = all.iter().filter(|(_, _, expired)| *expired).count();
        if self.preserves && (all.len() - expired) as f64 <= PRESERVE * all.len() as f64 {
            return;
        }
        for (app, id, _) in all.iter().filter(|(_, _, expired)| *expired) {
            self.remove(app, id);
        }
        self.recent.retain(|change| change.at.elapsed() < RECENT);
    }

    fn hash(&self) -> String {
        let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
        for registered in self.apps.values().flat_map(BTreeMap::values) {
            let status = registered.info.get("status").and_then(Value::as_str).unwrap_or("UNKNOWN");
            *counts.entry(status).or_default() += 1;
        }
        counts.iter().map(|(status, n)| format!("{status}_{n}_")).collect()
    }

    fn of(&self, wanted: impl Fn(&str, &Map<String, Value>) -> bool) -> Vec<(String, Vec<Value>)> {
        let apps = self.apps.iter().map(|(app, instances)| {
            let infos =
                instances.values().filter(|r| wanted(app, &r.info)).map(|r| Value::Object(r.info.clone()));
            (app.clone(), infos.collect::<Vec<_>>())
        });
        apps.filter(|(_, infos)| !infos.is_empty()).collect()
    }
}

#[derive(Default)]
struct State {
    registry: Mutex<Registry>,
    mode: Mutex<(Mode, Option<Registry>)>,
    requests: Mutex<BTreeMap<&'static str, usize>>,
    word: Mutex<Option<String>>,
    bytes: std::sync::atomic::AtomicUsize,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A registry. It ends when it is dropped.
pub struct Eureka {
    /// Where it listens.
    pub address: SocketAddr,
    state: Arc<State>,
    end: watch::Sender<bool>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl Eureka {
    /// Starts one at a port of the system's choice.
    pub fn start() -> Self {
        Self::listen(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap()
    }

    /// Starts one there.
    pub fn listen(address: SocketAddr) -> std::io::Result<Self> {
        let listener = std::net::TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let (end, ended) = watch::channel(false);
        let state: Arc<State> = Arc::default();
        let shared = Arc::clone(&state);
        let thread = std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
            runtime.block_on(serve(listener, shared, ended));
        });
        Ok(Self { address, state, end, thread: Some(thread) })
    }

    /// Registers an instance: its application, its id, where it listens, and its metadata.
    pub fn register(&self, app: &str, id: &str, address: SocketAddr, metadata: &[(&str, &str)]) {
        let metadata: Map<String, Value> =
            metadata.iter().map(|(name, value)| ((*name).to_owned(), Value::from(*value))).collect();
        let info = json!({
            "instanceId": id, "hostName": address.ip().to_string(), "ipAddr": address.ip().to_string(),
            "status": "UP", "port": {"$": address.port(), "@enabled": "true"},
            "securePort": {"$": "443", "@enabled": "false"}, "vipAddress": app.to_lowercase(),
            "countryId": 1, "dataCenterInfo": {"@class": "MyDataCenterInfo", "name": "MyOwn"},
            "metadata": metadata, "leaseInfo": {"durationInSecs": 3600},
        });
        if let Value::Object(info) = info {
            lock(&self.state.registry).register(app, info);
        }
    }

    /// Marks an instance, as an operator does by an override; `UP` removes it.
    pub fn mark(&self, app: &str, id: &str, status: &str) {
        mark(&mut lock(&self.state.registry), app, id, status);
    }

    /// Cancels an instance.
    pub fn cancel(&self, app: &str, id: &str) {
        lock(&self.state.registry).remove(app, id);
    }

    /// From now on it answers so.
    pub fn fails(&self, mode: Mode) {
        let before = lock(&self.state.registry).clone();
        *lock(&self.state.mode) = (mode, Some(before));
    }

    /// All leases have ended, as when nobody's renewals get through.
    pub fn lapse(&self) {
        let mut registry = lock(&self.state.registry);
        for registered in registry.apps.values_mut().flat_map(BTreeMap::values_mut) {
            registered.lease = Duration::ZERO;
        }
    }

    /// From now on it asks for this word of basic authentication: user and password in Base64.
    pub fn demands(&self, word: &str) {
        *lock(&self.state.word) = Some(format!("Basic {word}"));
    }

    /// It has restarted, and knows nobody.
    pub fn forget(&self) {
        *lock(&self.state.registry) = Registry::default();
    }

    /// Its clock is behind by so much from now on.
    pub fn clock_behind(&self, by: Duration) {
        lock(&self.state.registry).behind_ms = by.as_millis() as u64;
    }

    /// The changes so far are no news any more, as some minutes later.
    pub fn quiet(&self) {
        lock(&self.state.registry).recent.clear();
    }

    /// Whether leases stay where more than a share of the renewals is missing.
    pub fn preserves(&self, preserves: bool) {
        lock(&self.state.registry).preserves = preserves;
    }

    /// Takes over what another one knows, as a replica does.
    pub fn replicate(&self, other: &Self) {
        let known = lock(&other.state.registry).clone();
        *lock(&self.state.registry) = known;
    }

    /// Instances that it knows, by id, with their status.
    pub fn known(&self) -> BTreeMap<String, String> {
        let registry = lock(&self.state.registry);
        let all = registry.apps.values().flat_map(BTreeMap::iter);
        all.map(|(id, r)| (id.clone(), r.info["status"].as_str().unwrap_or_default().to_owned())).collect()
    }

    /// Renewals of an instance, its registration included.
    pub fn renewals(&self, app: &str, id: &str) -> u32 {
        lock(&self.state.registry).apps.get(app).and_then(|app| app.get(id)).map_or(0, |r| r.renewals)
    }

    /// Requests by kind: `apps`, `delta`, `other`.
    pub fn requests(&self) -> BTreeMap<&'static str, usize> {
        lock(&self.state.requests).clone()
    }

    /// Bytes of the answers so far.
    pub fn bytes(&self) -> usize {
        self.state.bytes.load(std::sync::atomic::Ordering::SeqCst)
    }

    /// Plays a schedule, line by line: `MS mark APP ID STATUS`, `MS cancel APP ID`, `MS register APP ID ADDRESS`,
    /// `MS mode NAME`, `MS forget`; milliseconds from the start. Returns when the last is done.
    pub fn play(&self, schedule: &str) -> Result<(), String> {
        let start = Instant::now();
        for (n, line) in schedule.lines().enumerate() {
            let words: Vec<&str> = line.split_whitespace().collect();
            if words.is_empty() || line.starts_with('#') {
                continue;
            }
            let wrong = || format!("line {}: {line:?}", n + 1);
            let at = words[0].parse().map(Duration::from_millis).map_err(|_| wrong())?;
            std::thread::sleep(at.saturating_sub(start.elapsed()));
            match &words[1..] {
                ["mark", app, id, status] => self.mark(app, id, status),
                ["cancel", app, id] => self.cancel(app, id),
                ["register", app, id, address] => {
                    self.register(app, id, address.parse().map_err(|_| wrong())?, &[]);
                }
                ["mode", name] => self.fails(Mode::named(name).ok_or_else(wrong)?),
                ["forget"] => self.forget(),
                _ => return Err(wrong()),
            }
        }
        Ok(())
    }
}

impl Drop for Eureka {
    fn drop(&mut self) {
        self.end.send_replace(true);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn mark(registry: &mut Registry, app: &str, id: &str, status: &str) -> bool {
    let Some(registered) = registry.apps.get_mut(app).and_then(|app| app.get_mut(id)) else { return false };
    let overridden = if status == "UP" { "UNKNOWN" } else { status };
    registered.info.insert("status".into(), status.into());
    registered.info.insert("overriddenstatus".into(), overridden.into());
    registry.touch(app, id, "MODIFIED")
}

fn number(value: &Value) -> Option<u64> {
    value.as_u64().or_else(|| value.as_str()?.parse().ok())
}

async fn serve(listener: std::net::TcpListener, state: Arc<State>, mut ended: watch::Receiver<bool>) {
    let listener = TcpListener::from_std(listener).unwrap();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = ended.wait_for(|ended| *ended) => return,
        };
        let Ok((stream, _)) = accepted else { continue };
        let _ = stream.set_nodelay(true);
        let (state, mut ended) = (Arc::clone(&state), ended.clone());
        tokio::spawn(async move {
            let reset = tokio::sync::Notify::new();
            let service = service_fn(|request| async {
                match respond(&state, request).await {
                    Some(response) => Ok::<_, Infallible>(response),
                    None => {
                        reset.notify_one();
                        std::future::pending().await
                    }
                }
            });
            tokio::select! {
                _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service) => {}
                () = reset.notified() => {}
                _ = ended.wait_for(|ended| *ended) => {}
            }
        });
    }
}

type AnyBody = BoxBody<Bytes, Infallible>;

fn plain(status: u16) -> Response<AnyBody> {
    Response::builder().status(status).body(Full::default().boxed()).unwrap()
}

/// `None`: the connection ends.
async fn respond(state: &State, request: Request<Incoming>) -> Option<Response<AnyBody>> {
    let (parts, body) = request.into_parts();
    let path = parts.uri.path().to_owned();
    let query: Vec<(String, String)> = parts
        .uri
        .query()
        .unwrap_or_default()
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .map(|(name, value)| (name.to_owned(), value.to_owned()))
        .collect();
    // Whatever the base path is.
    let words: Vec<String> = path
        .split('/')
        .skip_while(|word| !matches!(*word, "apps" | "vips" | "svips" | "instances"))
        .filter(|word| !word.is_empty())
        .map(|word| word.replace("%3A", ":").replace("%3a", ":"))
        .collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    let kind = match &words[..] {
        ["apps"] => "apps",
        ["apps", "delta"] => "delta",
        _ => "other",
    };
    *lock(&state.requests).entry(kind).or_default() += 1;
    let header = |name: &str| parts.headers.get(name).and_then(|v| v.to_str().ok()).unwrap_or_default();
    if lock(&state.word).as_ref().is_some_and(|word| word != header("authorization")) {
        return Some(plain(401));
    }
    if parts.method != Method::GET {
        let xml = header("content-type").contains("xml");
        let body = body.collect().await.ok()?.to_bytes();
        return Some(plain(write(&mut lock(&state.registry), &parts.method, &words, &query, &body, xml)));
    }
    let (mode, before) = lock(&state.mode).clone();
    match mode {
        Mode::Status(status) => return Some(plain(status)),
        Mode::Reset => return None,
        Mode::Mute => std::future::pending().await,
        _ => {}
    }
    let registry = match (mode, before) {
        (Mode::Stale, Some(before)) => before,
        _ => {
            let mut registry = lock(&state.registry);
            registry.evict();
            registry.clone()
        }
    };
    let Some(mut document) = read(&registry, &words) else { return Some(plain(404)) };
    spoil(&mut document, mode);
    // As real servers do where nothing is asked for.
    let xml = !header("accept").contains("json");
    let mut text = if xml { to_xml(&document) } else { document.to_string().into_bytes() };
    match mode {
        Mode::Truncated => text.truncate(text.len() / 2),
        Mode::Garbled => (0..text.len()).step_by(17).for_each(|n| text[n] = b'\x01'),
        Mode::Drip => {
            let mut sent = 0;
            let stream = futures_util::stream::unfold((), move |()| {
                let byte = text.get(sent).copied().unwrap_or(b' ');
                sent += 1;
                async move {
                    tokio::time::sleep(Duration::from_millis(100)).await;
                    Some((Ok(hyper::body::Frame::data(Bytes::copy_from_slice(&[byte]))), ()))
                }
            });
            let body = http_body_util::StreamBody::new(Box::pin(stream));
            return Some(Response::new(BodyExt::boxed(SyncBody(Mutex::new(body)))));
        }
        _ => {}
    }
    let media_type = if xml { "application/xml" } else { "application/json" };
    let mut response = Response::builder().header("content-type", media_type);
    if header("accept-encoding").contains("gzip") {
        let mut encoder = GzEncoder::new(Vec::new(), flate2::Compression::fast());
        encoder.write_all(&text).ok()?;
        text = encoder.finish().ok()?;
        response = response.header("content-encoding", "gzip");
    }
    state.bytes.fetch_add(text.len(), std::sync::atomic::Ordering::SeqCst);
    response.body(Full::new(Bytes::from(text)).boxed()).ok()
}

/// A body that is polled by one task, whatever threads there are.
struct SyncBody<B>(Mutex<B>);

impl<B: hyper::body::Body<Data = Bytes, Error = Infallible> + Unpin> hyper::body::Body for SyncBody<B> {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        self: std::pin::Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Result<hyper::body::Frame<Bytes>, Infallible>>> {
        std::pin::Pin::new(&mut *lock(&self.0)).poll_frame(cx)
    }
}

fn write(
    registry: &mut Registry,
    method: &Method,
    words: &[&str],
    query: &[(String, String)],
    body: &[u8],
    xml: bool,
) -> u16 {
    let value = query.iter().find(|(name, _)| name == "value").map(|(_, value)| value.as_str());
    let found = |found: bool| if found { 200 } else { 404 };
    match (method.as_str(), words) {
        ("POST", ["apps", app]) => {
            let document = if xml { from_xml(body) } else { serde_json::from_slice(body).ok() };
            let info = document.and_then(|mut d: Value| d.get_mut("instance").map(Value::take));
            match info {
                Some(Value::Object(info)) if registry.register(app, info.clone()).is_some() => 204,
                _ => 400,
            }
        }
        ("PUT", ["apps", app, id]) => {
            let registered = registry.apps.get_mut(*app).and_then(|app| app.get_mut(*id));
            if let Some(registered) = registered {
                (registered.renewed, registered.renewals) = (Instant::now(), registered.renewals + 1);
                return 200;
            }
            404
        }
        ("PUT", ["apps", app, id, "status"]) => found(mark(registry, app, id, value.unwrap_or("UP"))),
        ("DELETE", ["apps", app, id, "status"]) => found(mark(registry, app, id, "UP")),
        ("PUT", ["apps", app, id, "metadata"]) => {
            let Some(registered) = registry.apps.get_mut(*app).and_then(|app| app.get_mut(*id)) else {
                return 404;
            };
            let metadata = registered.info.entry("metadata").or_insert_with(|| json!({}));
            for (name, value) in query {
                metadata[name] = value.as_str().into();
            }
            found(registry.touch(app, id, "MODIFIED"))
        }
        ("DELETE", ["apps", app, id]) => found(registry.remove(app, id)),
        _ => 405,
    }
}

fn read(registry: &Registry, words: &[&str]) -> Option<Value> {
    let applications = |apps: Vec<(String, Vec<Value>)>| {
        let apps: Vec<Value> = apps
            .into_iter()
            .map(|(name, instances)| json!({"name": name, "instance": one_or_more(instances)}))
            .collect();
        json!({"applications": {
            "versions__delta": registry.version.to_string(), "apps__hashcode": registry.hash(),
            "application": one_or_more(apps),
        }})
    };
    let text =
        |info: &Map<String, Value>, name: &str| info.get(name).and_then(Value::as_str).map(str::to_owned);
    match words {
        ["apps"] => Some(applications(registry.of(|_, _| true))),
        ["apps", "delta"] => {
            let mut apps: BTreeMap<String, Vec<Value>> = BTreeMap::new();
            for change in &registry.recent {
                apps.entry(change.app.clone()).or_default().push(Value::Object(change.info.clone()));
            }
            Some(applications(apps.into_iter().collect()))
        }
        ["apps", app] => {
            let (name, instances) = registry.of(|name, _| name == *app).pop()?;
            Some(json!({"application": {"name": name, "instance": one_or_more(instances)}}))
        }
        ["apps", _, id] | ["instances", id] => {
            let found = registry.of(|_, info| text(info, "instanceId").as_deref() == Some(*id));
            Some(json!({"instance": found.into_iter().next()?.1.into_iter().next()?}))
        }
        ["vips", vip] | ["svips", vip] => {
            let of_vip = |info: &Map<String, Value>| {
                text(info, "vipAddress").is_some_and(|vips| vips.split(',').any(|name| name == *vip))
            };
            let apps = registry.of(|_, info| of_vip(info));
            if apps.is_empty() { None } else { Some(applications(apps)) }
        }
        _ => None,
    }
}

/// Real servers write one element without a list round it.
fn one_or_more(mut values: Vec<Value>) -> Value {
    if values.len() == 1 { values.remove(0) } else { Value::Array(values) }
}

fn spoil(document: &mut Value, mode: Mode) {
    let Some(applications) = document.get_mut("applications") else { return };
    match mode {
        Mode::Empty => {
            applications["application"] = json!([]);
            applications["apps__hashcode"] = "".into();
        }
        Mode::WrongHash => applications["apps__hashcode"] = "UP_4711_".into(),
        Mode::Half => {
            let halve = |app: &mut Value| {
                if let Some(Value::Array(instances)) = app.get_mut("instance") {
                    let mut n = 0;
                    instances.retain(|_| {
                        n += 1;
                        n % 2 == 0
                    });
                }
            };
            match &mut applications["application"] {
                Value::Array(apps) => apps.iter_mut().for_each(halve),
                app => halve(app),
            }
        }
        _ => {}
    }
}

fn to_xml(document: &Value) -> Vec<u8> {
    let mut writer = Writer::new(Vec::new());
    if let Value::Object(fields) = document {
        fields.iter().for_each(|(name, value)| element(&mut writer, name, value));
    }
    writer.into_inner()
}

fn element(writer: &mut Writer<Vec<u8>>, name: &str, value: &Value) {
    let words = |value: &Value| value.as_str().map_or_else(|| value.to_string(), str::to_owned);
    match value {
        Value::Array(values) => values.iter().for_each(|value| element(writer, name, value)),
        Value::Object(fields) => {
            let mut start = BytesStart::new(name);
            for (name, value) in fields.iter().filter(|(name, _)| name.starts_with('@')) {
                // `@enabled` is the attribute `enabled`.
                start.push_attribute((&name[1..], words(value).as_str()));
            }
            let _ = writer.write_event(Event::Start(start));
            for (name, value) in fields.iter().filter(|(name, _)| !name.starts_with('@')) {
                if name == "$" {
                    let _ = writer.write_event(Event::Text(BytesText::new(&words(value))));
                } else {
                    element(writer, name, value);
                }
            }
            let _ = writer.write_event(Event::End(BytesEnd::new(name)));
        }
        value => {
            let _ = writer.write_event(Event::Start(BytesStart::new(name)));
            let _ = writer.write_event(Event::Text(BytesText::new(&words(value))));
            let _ = writer.write_event(Event::End(BytesEnd::new(name)));
        }
    }
}

fn from_xml(text: &[u8]) -> Option<Value> {
    let text = std::str::from_utf8(text).ok()?;
    let mut reader = Reader::from_str(text);
    let mut open: Vec<(String, Map<String, Value>, String)> = vec![Default::default()];
    let named = |element: &BytesStart<'_>| String::from_utf8_lossy(element.name().as_ref()).into_owned();
    loop {
        match reader.read_event().ok()? {
            Event::Start(element) => {
                let mut fields = Map::new();
                for attribute in element.attributes() {
                    let attribute = attribute.ok()?;
                    let name = format!("@{}", String::from_utf8_lossy(attribute.key.as_ref()));
                    fields.insert(name, attribute.unescape_value().ok()?.into_owned().into());
                }
                open.push((named(&element), fields, String::new()));
            }
            Event::Empty(element) => drop(open.last_mut()?.1.insert(named(&element), "".into())),
            Event::Text(part) => open.last_mut()?.2.push_str(&part.decode().ok()?),
            Event::End(_) => {
                let (name, mut fields, words) = open.pop()?;
                let value = if fields.is_empty() {
                    Value::from(words.trim())
                } else {
                    if !words.trim().is_empty() {
                        fields.insert("$".into(), words.trim().into());
                    }
                    Value::Object(fields)
                };
                open.last_mut()?.1.insert(name, value);
            }
            Event::Eof => break,
            _ => {}
        }
    }
    Some(Value::Object(open.pop()?.1))
}
