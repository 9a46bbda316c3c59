//! Discovery: the whole list when asked for it, and the watch on its changes.

use crate::parts::body::Outbound;
use crate::parts::connection::Connection;
use crate::parts::descriptors::{self, Descriptors, out_of_descriptors};
use crate::parts::seldom::Seldom;
use crate::parts::upstream::Place;
use crate::source::{Entry, News, Source, Task};
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use lapisroute::{Availability, CellId, FleetScope, KindId, ZoneId};
use lapisroute_settings::Names;
use serde::Deserialize;
use serde_json::value::RawValue;
use std::cell::{Cell, Ref, RefCell};
use std::error::Error;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout, timeout_at};

/// A watch has a line to say every 2 s. Without one for this long, it is dead, whatever its connection looks
/// like.
const SILENCE_MOST: Duration = Duration::from_millis(3500);
/// How long a connection to discovery may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);
/// The longest line, and the longest list: more is no list.
const LINE_MOST: usize = 8 * 1024 * 1024;

#[derive(Deserialize)]
struct RawList<'a> {
    rev: u64,
    #[serde(default)]
    all: bool,
    #[serde(borrow)]
    targets: Vec<&'a RawValue>,
}

#[derive(Deserialize)]
struct RawEntry<'a> {
    uid: String,
    #[serde(borrow, default)]
    endpoint: Option<&'a RawValue>,
    state: String,
    #[serde(default)]
    az: String,
    #[serde(default)]
    model: String,
    #[serde(default)]
    pod_group: u16,
    #[serde(default = "one")]
    capacity_hint: f64,
    #[serde(default)]
    boot_ms: f64,
}

fn one() -> f64 {
    1.0
}

/// Where discovery is, and how far this balancer has followed it.
pub struct Discovery {
    address: Cell<SocketAddr>,
    names: RefCell<Names>,
    descriptors: Rc<Descriptors>,
    /// The version of the list in hand; 0: none.
    rev: Cell<u64>,
    odd: Seldom,
}

type Failure = Box<dyn Error + Send + Sync>;

impl Discovery {
    /// Discovery at an address; `names` turn zones and kinds into numbers.
    pub fn new(address: SocketAddr, names: Names, descriptors: Rc<Descriptors>) -> Self {
        let names = RefCell::new(names);
        Self { address: Cell::new(address), names, descriptors, rev: Cell::new(0), odd: Seldom::default() }
    }

    /// How far the list was followed; 0: not at all.
    pub fn rev(&self) -> u64 {
        self.rev.get()
    }

    /// The list is known up to here from elsewhere.
    pub fn resume(&self, rev: u64) {
        self.rev.set(rev);
    }

    /// What the numbers are called.
    pub fn names(&self) -> Ref<'_, Names> {
        self.names.borrow()
    }

    /// Zones and kinds have these numbers from now on.
    pub fn rename(&self, names: Names) {
        *self.names.borrow_mut() = names;
    }

    /// Reads a list. An entry that can't be read is skipped; a list that can't be read is an error.
    fn read(&self, text: &[u8]) -> Result<News, Failure> {
        let list: RawList<'_> = serde_json::from_slice(text)?;
        let entries = list.targets.iter().filter_map(|raw| {
            let entry = self.entry(raw.get());
            entry.map_err(|e| self.odd.warn(|| format!("unreadable list entry: {e}"))).ok()
        });
        let entries = entries.collect();
        self.rev.set(list.rev);
        Ok(News { scope: if list.all { FleetScope::Full } else { FleetScope::Changes }, entries })
    }

    fn entry(&self, text: &str) -> Result<Entry, Failure> {
        let raw: RawEntry<'_> = serde_json::from_str(text)?;
        let availability = match raw.state.as_str() {
            "Ready" => Availability::Ready,
            "Terminating" => Availability::Draining,
            "Gone" => Availability::Gone,
            other => return Err(format!("{}: unknown state {other:?}", raw.uid).into()),
        };
        let endpoint = raw.endpoint.and_then(|e| serde_json::from_str(e.get()).ok());
        if endpoint.is_none() && availability == Availability::Ready {
            return Err(format!("{}: no address", raw.uid).into());
        }
        let names = self.names.borrow();
        let place = |names: &[String], name: &str| names.iter().position(|n| n == name);
        Ok(Entry {
            id: crate::source::stable_id(&raw.uid),
            zone: ZoneId(place(&names.zones, &raw.az).map_or(u8::MAX, |z| z as u8)),
            kind: KindId(place(&names.kinds, &raw.model).map_or(u16::MAX, |k| k as u16)),
            cell: CellId(raw.pod_group),
            weight: raw.capacity_hint,
            place: Place { endpoint, availability, boot_ms: raw.boot_ms.max(0.0) as u64 },
        })
    }

    /// The list from the configuration, as [`FleetScope::Cached`].
    pub fn known(&self, text: &str) -> News {
        let read = if text.is_empty() { Ok(News::failed()) } else { self.read(text.as_bytes()) };
        let entries = read.map_or_else(
            |e| {
                tracing::warn!("the list known before the start is unreadable: {e}");
                Vec::new()
            },
            |news| news.entries,
        );
        News { scope: FleetScope::Cached, entries }
    }

    /// From now on discovery is elsewhere. The list in hand, and how far it was followed, stay as they are.
    /// `true` if that is news: a watch that there is has to be begun anew.
    pub fn move_to(&self, address: SocketAddr) -> bool {
        self.address.replace(address) != address
    }

    async fn follow(&self, tell: &mut dyn FnMut(News)) -> Result<(), Failure> {
        let target = format!("/registry/instances?stream=1&index={}", self.rev.get());
        let (_connection, mut body) = timeout(SILENCE_MOST, self.ask(&target)).await??;
        let (mut pending, mut last_line) = (BytesMut::new(), Instant::now());
        while let Some(frame) = timeout_at(last_line + SILENCE_MOST, body.frame()).await? {
            let Ok(data) = frame?.into_data() else { continue };
            let mut searched = pending.len();
            pending.extend_from_slice(&data);
            while let Some(n) = pending[searched..].iter().position(|byte| *byte == b'\n') {
                let line = pending.split_to(searched + n + 1);
                (searched, last_line) = (0, Instant::now());
                let line = line.trim_ascii();
                if line.is_empty() {
                    continue;
                }
                match self.read(line) {
                    Ok(news) => tell(news),
                    Err(e) => {
                        // What it said is missing now, a drain perhaps: the whole list is asked for again.
                        self.rev.set(0);
                        return Err(e);
                    }
                }
            }
            if pending.len() > LINE_MOST {
                return Err("a line without an end".into());
            }
        }
        Ok(())
    }

    async fn ask(&self, target: &str) -> Result<(Connection, Incoming), Failure> {
        let address = self.address.get();
        let mut connection = timeout(CONNECT_TIMEOUT, self.connect(address)).await??;
        let request = Request::get(target).header(HOST, address.to_string());
        let response = connection.send(request.body(Outbound::default())?).await?;
        if response.status() != StatusCode::OK {
            return Err(format!("status {}", response.status()).into());
        }
        Ok((connection, response.into_body()))
    }

    async fn list(&self) -> Result<News, Failure> {
        let (_connection, body) = timeout(SILENCE_MOST, self.ask("/registry/instances")).await??;
        let body = http_body_util::Limited::new(body, LINE_MOST);
        let text = timeout(SILENCE_MOST, body.collect()).await??.to_bytes();
        let news = self.read(&text)?;
        Ok(News { scope: FleetScope::Full, ..news })
    }

    /// What discovery has to tell may not wait for a descriptor: somebody else gives one up.
    async fn connect(&self, address: SocketAddr) -> io::Result<Connection> {
        loop {
            match Connection::open(address, ()).await {
                Err(e) if out_of_descriptors(&e) => {
                    self.descriptors.starved("discovery");
                    sleep(descriptors::PAUSE).await;
                }
                ended => return ended,
            }
        }
    }
}

impl Source for Discovery {
    fn fetch(&self) -> Task<'_, News> {
        Box::pin(async {
            self.list().await.unwrap_or_else(|e| {
                self.odd.warn(|| format!("no list: {e}"));
                News::failed()
            })
        })
    }

    fn watch<'a>(&'a self, tell: &'a mut dyn FnMut(News)) -> Task<'a, ()> {
        Box::pin(async {
            if let Err(e) = self.follow(tell).await {
                self.odd.warn(|| format!("watch ended: {e}"));
            }
            tell(News::failed());
        })
    }
}
