//! Client of the platform's discovery: fetches the full list and watches for changes.
//!
//! A call ends at its timeout, and a watch after too long a silence; both then report
//! [`EndpointUpdate::failed`], and the decision module calls again. [`maplehook_core::discovery_timing`]
//! defines the timeouts, and shows why a change is always seen in time, even if calls hang or fail.

mod documents;
mod list;
#[cfg(test)]
mod tests;
mod timeouts;

use crate::metrics::ReasonCounters;
use crate::parts::body::OutboundBody;
use crate::parts::buffer_memory::BufferMemory;
use crate::parts::connection::Connection;
use crate::parts::descriptors::{self, Descriptors, is_descriptor_exhaustion};
use crate::parts::rate_limited_log::RateLimitedLog;
use crate::source::{EndpointUpdate, Source, Task};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use list::{ListError, ListItem, ListReader, ReadList};
use maplehook_core::UpdateScope;
use maplehook_platform_settings::IdNames;
use std::cell::{Cell, Ref, RefCell};
use std::error::Error;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
pub use timeouts::DiscoveryTimeouts;
use timeouts::WatchDeadline;
use tokio::time::{Instant, sleep, timeout_at};

/// Discovery client of one balancer.
pub struct Discovery {
    address: Cell<SocketAddr>,
    names: RefCell<IdNames>,
    descriptors: Rc<Descriptors>,
    /// Memory for the heads of discovery's answers.
    head_memory: BufferMemory,
    /// Version of the cached list; 0 if there is none.
    rev: Cell<u64>,
    timeouts: Cell<DiscoveryTimeouts>,
    warnings: RateLimitedLog,
    /// Lists that were not put in force, by reason.
    lists_turned_down: ReasonCounters,
    /// Last time at which discovery has confirmed or changed the list.
    confirmed_at: Cell<Instant>,
    /// Number of lists in a row that were not put in force.
    bad_lists: Cell<u32>,
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
            head_memory: BufferMemory::new(MAX_HEADS_BYTES),
            rev: Cell::new(0),
            timeouts: Cell::new(DiscoveryTimeouts::SERVICE),
            warnings: RateLimitedLog::default(),
            lists_turned_down: ReasonCounters::default(),
            confirmed_at: Cell::new(Instant::now()),
            bad_lists: Cell::new(0),
        }
    }

    /// Counts lists that are not put in force in `counters`, by reason.
    #[must_use]
    pub fn counting_in(self, counters: ReasonCounters) -> Self {
        Self { lists_turned_down: counters, ..self }
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

    /// Puts a full list or a set of changes in force.
    fn accept(&self, list: ReadList, is_call_for_all: bool) -> Result<EndpointUpdate, ListError> {
        let ReadList { rev, is_full, entries } = list;
        let (is_full, cached) = (is_full || is_call_for_all, self.rev.get());
        if !is_full && rev < cached {
            // Discovery restarted its version numbers, so the changes since the cached list are unknown.
            return Err(ListError::VersionGap { rev, cached });
        }
        self.rev.set(rev);
        self.on_confirmed();
        Ok(EndpointUpdate { scope: if is_full { UpdateScope::Full } else { UpdateScope::Changes }, entries })
    }

    /// Records that the list in force is what discovery has.
    fn on_confirmed(&self) {
        self.confirmed_at.set(Instant::now());
        self.bad_lists.set(0);
    }

    /// Reads on in a text that is one list; `list` is that list once it is complete.
    fn read_one_list(
        &self,
        reader: &mut ListReader,
        mut data: &[u8],
        list: &mut Option<ReadList>,
    ) -> Result<(), ListError> {
        let names = self.names.borrow();
        while let Some(item) = reader.next_item(&mut data, &names, &self.warnings)? {
            if let ListItem::List(next) = item
                && list.replace(next).is_some()
            {
                return Err(ListError::NotOneList);
            }
        }
        Ok(())
    }

    /// Parses a full list or a set of changes, and puts it in force.
    fn parse_list(&self, text: &[u8], is_full: bool) -> Result<EndpointUpdate, ListError> {
        let (mut reader, mut list) = (ListReader::new(), None);
        self.read_one_list(&mut reader, text, &mut list)?;
        reader.finish()?;
        self.accept(list.ok_or(ListError::NotOneList)?, is_full)
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
        let mut reader = ListReader::new();
        while let Some(frame) = timeout_at(deadline.expires_at(), body.frame()).await? {
            let Ok(data) = frame?.into_data() else { continue };
            let mut unread = &data[..];
            while let Some(item) = self.next_item(&mut reader, &mut unread)? {
                match item {
                    ListItem::List(list) => {
                        report(self.accept(list, false).map_err(|e| self.require_full_list(e))?)
                    }
                    ListItem::EndOfLine if deadline.is_answered() => self.on_confirmed(),
                    // An empty line confirms the cached list: nothing has changed.
                    ListItem::EndOfLine if self.rev.get() > 0 => {
                        self.on_confirmed();
                        report(EndpointUpdate::unchanged())
                    }
                    ListItem::EndOfLine => continue,
                }
                deadline.data_received(Instant::now());
            }
        }
        Ok(reader.finish()?)
    }

    fn next_item(&self, reader: &mut ListReader, unread: &mut &[u8]) -> Result<Option<ListItem>, ListError> {
        let item = reader.next_item(unread, &self.names.borrow(), &self.warnings);
        item.map_err(|e| self.require_full_list(e))
    }

    /// Resets the version after unreadable data, so that the next call requests the full list: the data may
    /// have announced a drain.
    fn require_full_list(&self, error: ListError) -> ListError {
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
        let (_connection, mut body) = self.request("/registry/instances", &mut deadline).await?;
        let (mut reader, mut list) = (ListReader::new(), None);
        while let Some(frame) = timeout_at(deadline.expires_at(), body.frame()).await? {
            let Ok(data) = frame?.into_data() else { continue };
            self.read_one_list(&mut reader, &data, &mut list)?;
        }
        reader.finish()?;
        Ok(self.accept(list.ok_or(ListError::NotOneList)?, true)?)
    }

    /// Counts and logs the failure of a call. A list that can't be put in force is logged with the age of the one
    /// that stays in force: no drain is learnt until discovery has another one. Returns the pause before the next
    /// call.
    fn record_failure(&self, call: &str, failure: &Failure) -> Duration {
        let Some(list_error) = failure.downcast_ref::<ListError>() else {
            self.warnings.warn(|| format!("{call}: {failure}"));
            return Duration::ZERO;
        };
        self.lists_turned_down.increment(list_error.name());
        self.bad_lists.set(self.bad_lists.get().saturating_add(1));
        let age = self.confirmed_at.get().elapsed();
        self.warnings.warn(|| {
            format!(
                "{call}: {list_error}; the list is out of date, discovery has confirmed it {age:?} ago: correct \
                 the list at discovery"
            )
        });
        self.timeouts.get().pause_after_bad_lists(self.bad_lists.get())
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
                self.record_failure("failed to fetch the endpoint list", &e);
                EndpointUpdate::failed()
            })
        })
    }

    fn watch<'a>(&'a self, report: &'a mut dyn FnMut(EndpointUpdate)) -> Task<'a, ()> {
        Box::pin(async {
            let ended = self.run_watch(report).await;
            let pause = ended.err().map(|e| self.record_failure("endpoint watch ended", &e));
            report(EndpointUpdate::failed());
            if let Some(pause) = pause.filter(|pause| !pause.is_zero()) {
                sleep(pause).await;
            }
        })
    }
}
