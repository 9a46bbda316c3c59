//! Client of the platform's discovery: fetches the full list and watches for changes.
//!
//! A call ends at its timeout, and a watch after too long a silence; both then report
//! [`EndpointUpdate::failed`], and the decision module calls again. [`maplehook_core::discovery_timing`]
//! defines the timeouts, and shows why a change is always seen in time, even if calls hang or fail.

mod documents;
#[cfg(test)]
mod tests;
mod timeouts;

use crate::parts::body::{OutboundBody, collect_body};
use crate::parts::buffer_memory::BufferMemory;
use crate::parts::connection::Connection;
use crate::parts::descriptors::{self, Descriptors, is_descriptor_exhaustion};
use crate::parts::rate_limited_log::RateLimitedLog;
use crate::parts::upstream::EndpointState;
use crate::source::{EndpointUpdate, Entry, Source, Task};
pub use documents::MAX_DOCUMENT_BYTES;
use documents::{DocumentSplitter, WatchItem};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use maplehook_core::{Availability, CellId, KindId, UpdateScope, ZoneId};
use maplehook_platform_settings::IdNames;
use serde::Deserialize;
use serde_json::value::RawValue;
use std::cell::{Cell, Ref, RefCell};
use std::error::Error;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
pub use timeouts::DiscoveryTimeouts;
use timeouts::WatchDeadline;
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
    #[serde(default = "default_capacity_hint")]
    capacity_hint: f64,
    #[serde(default)]
    boot_ms: f64,
}

fn default_capacity_hint() -> f64 {
    1.0
}

/// Discovery client of one balancer.
pub struct Discovery {
    address: Cell<SocketAddr>,
    names: RefCell<IdNames>,
    descriptors: Rc<Descriptors>,
    /// Longest document that is read, in bytes.
    max_document_bytes: usize,
    /// Memory for the heads of discovery's answers.
    head_memory: BufferMemory,
    /// Version of the cached list; 0 if there is none.
    rev: Cell<u64>,
    timeouts: Cell<DiscoveryTimeouts>,
    warnings: RateLimitedLog,
}

/// Memory for the heads of all open calls, in bytes.
const MAX_HEADS_BYTES: usize = 256 * 1024;

type Failure = Box<dyn Error + Send + Sync>;

impl Discovery {
    /// Creates a client of the service at `address`; `names` maps zones and kinds to numeric ids.
    pub fn new(address: SocketAddr, names: IdNames, descriptors: Rc<Descriptors>) -> Self {
        Self {
            address: Cell::new(address),
            names: RefCell::new(names),
            descriptors,
            max_document_bytes: MAX_DOCUMENT_BYTES,
            head_memory: BufferMemory::new(MAX_HEADS_BYTES),
            rev: Cell::new(0),
            timeouts: Cell::new(DiscoveryTimeouts::SERVICE),
            warnings: RateLimitedLog::default(),
        }
    }

    /// Limits the length of documents, which is [`MAX_DOCUMENT_BYTES`] otherwise.
    #[must_use]
    pub fn with_max_document_bytes(self, max_document_bytes: usize) -> Self {
        Self { max_document_bytes: max_document_bytes.min(MAX_DOCUMENT_BYTES), ..self }
    }

    /// Sets the timeouts of the first steps of a call.
    pub fn set_timeouts(&self, timeouts: DiscoveryTimeouts) {
        self.timeouts.set(timeouts);
    }

    /// Returns the version of the cached list; 0 if there is none.
    pub fn rev(&self) -> u64 {
        self.rev.get()
    }

    /// Sets the version of a list that was obtained elsewhere, such as from a predecessor process.
    pub fn set_rev(&self, rev: u64) {
        self.rev.set(rev);
    }

    /// Returns the names of zones and kinds, by numeric id.
    pub fn names(&self) -> Ref<'_, IdNames> {
        self.names.borrow()
    }

    /// Replaces the names of zones and kinds.
    pub fn set_names(&self, names: IdNames) {
        *self.names.borrow_mut() = names;
    }

    /// Parses a full list or a set of changes. Skips unreadable entries; fails if the document itself is
    /// unreadable.
    fn parse_list(&self, text: &[u8], is_full: bool) -> Result<EndpointUpdate, Failure> {
        let list: RawList<'_> = serde_json::from_slice(text)?;
        let (is_full, current) = (is_full || list.all, self.rev.get());
        if !is_full && list.rev < current {
            // Discovery restarted its version numbers, so the changes since the cached list are unknown.
            return Err(format!(
                "changes up to version {} do not follow the cached version {current}",
                list.rev
            )
            .into());
        }
        let entries = list.targets.iter().filter_map(|raw| {
            let entry = self.parse_entry(raw.get());
            entry
                .map_err(|e| {
                    self.warnings.warn(|| format!("skipped a malformed entry of the endpoint list: {e}"))
                })
                .ok()
        });
        let entries = entries.collect();
        self.rev.set(list.rev);
        Ok(EndpointUpdate { scope: if is_full { UpdateScope::Full } else { UpdateScope::Changes }, entries })
    }

    fn parse_entry(&self, text: &str) -> Result<Entry, Failure> {
        let raw: RawEntry<'_> = serde_json::from_str(text)?;
        let availability = match raw.state.as_str() {
            "Ready" => Availability::Ready,
            "Terminating" => Availability::Draining,
            "Gone" => Availability::Removed,
            other => return Err(format!("{}: unknown state {other:?}", raw.uid).into()),
        };
        let endpoint = raw.endpoint.and_then(|e| serde_json::from_str(e.get()).ok());
        if endpoint.is_none() && availability == Availability::Ready {
            return Err(format!("{}: a ready upstream has no valid endpoint address", raw.uid).into());
        }
        let names = self.names.borrow();
        let position = |names: &[String], name: &str| names.iter().position(|n| n == name);
        Ok(Entry {
            id: crate::source::stable_id(&raw.uid),
            zone: ZoneId(position(&names.zones, &raw.az).map_or(u8::MAX, |z| z as u8)),
            kind: KindId(position(&names.kinds, &raw.model).map_or(u16::MAX, |k| k as u16)),
            cell: CellId(raw.pod_group),
            weight: raw.capacity_hint,
            state: EndpointState { endpoint, availability, boot_ms: raw.boot_ms.max(0.0) as u64 },
        })
    }

    /// Parses the list from the configuration, with the scope [`UpdateScope::Cached`].
    pub fn parse_cached_list(&self, text: &str) -> EndpointUpdate {
        let parsed = if text.is_empty() {
            Ok(EndpointUpdate::failed())
        } else {
            self.parse_list(text.as_bytes(), true)
        };
        let entries = parsed.map_or_else(
            |e| {
                tracing::warn!("the endpoint list in the configuration is malformed: {e}");
                Vec::new()
            },
            |update| update.entries,
        );
        EndpointUpdate { scope: UpdateScope::Cached, entries }
    }

    /// Changes the address of discovery; the cached list and its version remain. Returns true if the address
    /// differs, in which case an open watch must be restarted.
    pub fn set_address(&self, address: SocketAddr) -> bool {
        self.address.replace(address) != address
    }

    async fn run_watch(&self, report: &mut dyn FnMut(EndpointUpdate)) -> Result<(), Failure> {
        let mut deadline = WatchDeadline::new(self.timeouts.get(), Instant::now());
        let target = format!("/registry/instances?stream=1&index={}", self.rev.get());
        let (_connection, mut body) = self.request(&target, &mut deadline).await?;
        let mut documents = DocumentSplitter::new(self.max_document_bytes);
        while let Some(frame) = timeout_at(deadline.expires_at(), body.frame()).await? {
            let Ok(data) = frame?.into_data() else { continue };
            documents.push(&data);
            while let Some(item) = documents.next_item().map_err(|e| self.require_full_list(e.into()))? {
                match item {
                    WatchItem::Document(text) => {
                        report(self.parse_list(&text, false).map_err(|e| self.require_full_list(e))?)
                    }
                    WatchItem::EndOfLine if deadline.is_answered() => {}
                    // An empty line confirms the cached list: nothing has changed.
                    WatchItem::EndOfLine if self.rev.get() > 0 => report(EndpointUpdate::unchanged()),
                    WatchItem::EndOfLine => continue,
                }
                deadline.data_received(Instant::now());
            }
        }
        Ok(documents.finish()?)
    }

    /// Resets the version after unreadable data, so that the next call requests the full list: the data may
    /// have announced a drain.
    fn require_full_list(&self, error: Failure) -> Failure {
        self.rev.set(0);
        error
    }

    async fn request(
        &self,
        target: &str,
        deadline: &mut WatchDeadline,
    ) -> Result<(Connection, Incoming), Failure> {
        let address = self.address.get();
        let mut connection = timeout_at(deadline.expires_at(), self.connect(address)).await??;
        deadline.connected(Instant::now());
        let request = Request::get(target).header(HOST, address.to_string());
        let request = request.body(OutboundBody::default())?;
        let response = timeout_at(deadline.expires_at(), connection.send(request)).await??;
        deadline.head_received();
        if response.status() != StatusCode::OK {
            return Err(format!("discovery responded with status {}", response.status()).into());
        }
        Ok((connection, response.into_body()))
    }

    async fn fetch_list(&self) -> Result<EndpointUpdate, Failure> {
        let mut deadline = WatchDeadline::new(self.timeouts.get(), Instant::now());
        let (_connection, body) = self.request("/registry/instances", &mut deadline).await?;
        let length = body.size_hint().exact().map_or(0, |length| length as usize);
        if length > self.max_document_bytes {
            return Err(
                format!("a list of {length} bytes exceeds the limit of {}", self.max_document_bytes).into()
            );
        }
        let body = http_body_util::Limited::new(body, self.max_document_bytes);
        let text = timeout_at(deadline.expires_at(), collect_body(body, length)).await??;
        self.parse_list(&text, true)
    }

    /// Connects to discovery. If descriptors are exhausted, another holder frees one: updates must not wait.
    async fn connect(&self, address: SocketAddr) -> io::Result<Connection> {
        loop {
            match Connection::open(address, (), &self.head_memory).await {
                Err(e) if is_descriptor_exhaustion(&e) => {
                    self.descriptors.record_exhaustion("discovery");
                    sleep(descriptors::EXHAUSTION_BACKOFF).await;
                }
                result => return result,
            }
        }
    }
}

impl Source for Discovery {
    fn fetch(&self) -> Task<'_, EndpointUpdate> {
        Box::pin(async {
            self.fetch_list().await.unwrap_or_else(|e| {
                self.warnings.warn(|| format!("failed to fetch the endpoint list: {e}"));
                EndpointUpdate::failed()
            })
        })
    }

    fn watch<'a>(&'a self, report: &'a mut dyn FnMut(EndpointUpdate)) -> Task<'a, ()> {
        Box::pin(async {
            if let Err(e) = self.run_watch(report).await {
                self.warnings.warn(|| format!("endpoint watch ended: {e}"));
            }
            report(EndpointUpdate::failed());
        })
    }
}
