//! Discovery: the whole list when asked for it, and the watch on its changes.
//!
//! A call is given up when its time is up, and a watch when it has been silent for too long; both end with
//! [`EndpointUpdate::failed`], and the decision module asks again. The figures, and why a change is known in time whatever
//! hangs or is refused, stand in [`maplehook_core::discovery_timing`].

mod documents;
mod patience;
#[cfg(test)]
mod tests;

use crate::parts::body::Outbound;
use crate::parts::connection::Connection;
use crate::parts::descriptors::{self, Descriptors, is_descriptor_exhaustion};
use crate::parts::rate_limited_log::RateLimitedLog;
use crate::parts::upstream::EndpointState;
use crate::source::{EndpointUpdate, Entry, Source, Task};
use documents::{DOCUMENT_MOST, Documents, Said};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use maplehook_core::{Availability, CellId, KindId, UpdateScope, ZoneId};
use maplehook_platform_settings::IdNames;
pub use patience::DiscoveryTimeouts;
use patience::Silence;
use serde::Deserialize;
use serde_json::value::RawValue;
use std::cell::{Cell, Ref, RefCell};
use std::error::Error;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::time::{Instant, sleep, timeout_at};

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
    names: RefCell<IdNames>,
    descriptors: Rc<Descriptors>,
    /// The version of the list in hand; 0: none.
    rev: Cell<u64>,
    patience: Cell<DiscoveryTimeouts>,
    odd: RateLimitedLog,
}

type Failure = Box<dyn Error + Send + Sync>;

impl Discovery {
    /// One service for all balancers at an address; `names` turn zones and kinds into numbers.
    pub fn new(address: SocketAddr, names: IdNames, descriptors: Rc<Descriptors>) -> Self {
        Self {
            address: Cell::new(address),
            names: RefCell::new(names),
            descriptors,
            rev: Cell::new(0),
            patience: Cell::new(DiscoveryTimeouts::SERVICE),
            odd: RateLimitedLog::default(),
        }
    }

    /// How long each step of a call may take.
    pub fn set_timeouts(&self, patience: DiscoveryTimeouts) {
        self.patience.set(patience);
    }

    /// How far the list was followed; 0: not at all.
    pub fn rev(&self) -> u64 {
        self.rev.get()
    }

    /// The list is known up to here from elsewhere.
    pub fn set_rev(&self, rev: u64) {
        self.rev.set(rev);
    }

    /// What the numbers are called.
    pub fn names(&self) -> Ref<'_, IdNames> {
        self.names.borrow()
    }

    /// Zones and kinds have these numbers from now on.
    pub fn set_names(&self, names: IdNames) {
        *self.names.borrow_mut() = names;
    }

    /// Reads a list, or what has changed. An entry that can't be read is skipped; a list that can't be read is an error.
    fn read(&self, text: &[u8], whole: bool) -> Result<EndpointUpdate, Failure> {
        let list: RawList<'_> = serde_json::from_slice(text)?;
        let (whole, held) = (whole || list.all, self.rev.get());
        if !whole && list.rev < held {
            // Discovery has begun to count anew. What has changed since, this does not say.
            return Err(format!("changes up to version {}, and {held} is in hand", list.rev).into());
        }
        let entries = list.targets.iter().filter_map(|raw| {
            let entry = self.entry(raw.get());
            entry.map_err(|e| self.odd.warn(|| format!("unreadable list entry: {e}"))).ok()
        });
        let entries = entries.collect();
        self.rev.set(list.rev);
        Ok(EndpointUpdate { scope: if whole { UpdateScope::Full } else { UpdateScope::Changes }, entries })
    }

    fn entry(&self, text: &str) -> Result<Entry, Failure> {
        let raw: RawEntry<'_> = serde_json::from_str(text)?;
        let availability = match raw.state.as_str() {
            "Ready" => Availability::Ready,
            "Terminating" => Availability::Draining,
            "Gone" => Availability::Removed,
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
            state: EndpointState { endpoint, availability, boot_ms: raw.boot_ms.max(0.0) as u64 },
        })
    }

    /// The list from the configuration, as [`UpdateScope::Cached`].
    pub fn parse_cached_list(&self, text: &str) -> EndpointUpdate {
        let read =
            if text.is_empty() { Ok(EndpointUpdate::failed()) } else { self.read(text.as_bytes(), true) };
        let entries = read.map_or_else(
            |e| {
                tracing::warn!("the list known before the start is unreadable: {e}");
                Vec::new()
            },
            |news| news.entries,
        );
        EndpointUpdate { scope: UpdateScope::Cached, entries }
    }

    /// From now on discovery is elsewhere. The list in hand, and how far it was followed, stay as they are.
    /// `true` if that is news: a watch that there is has to be begun anew.
    pub fn set_address(&self, address: SocketAddr) -> bool {
        self.address.replace(address) != address
    }

    async fn follow(&self, tell: &mut dyn FnMut(EndpointUpdate)) -> Result<(), Failure> {
        let mut silence = Silence::new(self.patience.get(), Instant::now());
        let target = format!("/registry/instances?stream=1&index={}", self.rev.get());
        let (_connection, mut body) = self.ask(&target, &mut silence).await?;
        let mut documents = Documents::default();
        while let Some(frame) = timeout_at(silence.broken_at(), body.frame()).await? {
            let Ok(data) = frame?.into_data() else { continue };
            documents.push(&data);
            while let Some(said) = documents.next().map_err(|e| self.distrust(e.into()))? {
                match said {
                    Said::Document(text) => tell(self.read(&text, false).map_err(|e| self.distrust(e))?),
                    Said::EndOfLine if silence.answered() => {}
                    // Nothing has changed since the list in hand: that is an answer.
                    Said::EndOfLine if self.rev.get() > 0 => tell(EndpointUpdate::unchanged()),
                    Said::EndOfLine => continue,
                }
                silence.said(Instant::now());
            }
        }
        Ok(documents.finish()?)
    }

    /// What discovery said is missing now, a drain perhaps: the next call asks for the whole list.
    fn distrust(&self, why: Failure) -> Failure {
        self.rev.set(0);
        why
    }

    async fn ask(&self, target: &str, silence: &mut Silence) -> Result<(Connection, Incoming), Failure> {
        let address = self.address.get();
        let mut connection = timeout_at(silence.broken_at(), self.connect(address)).await??;
        silence.connected(Instant::now());
        let request = Request::get(target).header(HOST, address.to_string());
        let request = request.body(Outbound::default())?;
        let response = timeout_at(silence.broken_at(), connection.send(request)).await??;
        silence.headed();
        if response.status() != StatusCode::OK {
            return Err(format!("status {}", response.status()).into());
        }
        Ok((connection, response.into_body()))
    }

    async fn list(&self) -> Result<EndpointUpdate, Failure> {
        let mut silence = Silence::new(self.patience.get(), Instant::now());
        let (_connection, body) = self.ask("/registry/instances", &mut silence).await?;
        let body = http_body_util::Limited::new(body, DOCUMENT_MOST);
        let text = timeout_at(silence.broken_at(), body.collect()).await??.to_bytes();
        self.read(&text, true)
    }

    /// What discovery has to tell may not wait for a descriptor: somebody else gives one up.
    async fn connect(&self, address: SocketAddr) -> io::Result<Connection> {
        loop {
            match Connection::open(address, ()).await {
                Err(e) if is_descriptor_exhaustion(&e) => {
                    self.descriptors.record_exhaustion("discovery");
                    sleep(descriptors::EXHAUSTION_BACKOFF).await;
                }
                ended => return ended,
            }
        }
    }
}

impl Source for Discovery {
    fn fetch(&self) -> Task<'_, EndpointUpdate> {
        Box::pin(async {
            self.list().await.unwrap_or_else(|e| {
                self.odd.warn(|| format!("no list: {e}"));
                EndpointUpdate::failed()
            })
        })
    }

    fn watch<'a>(&'a self, tell: &'a mut dyn FnMut(EndpointUpdate)) -> Task<'a, ()> {
        Box::pin(async {
            if let Err(e) = self.follow(tell).await {
                self.odd.warn(|| format!("watch ended: {e}"));
            }
            tell(EndpointUpdate::failed());
        })
    }
}
