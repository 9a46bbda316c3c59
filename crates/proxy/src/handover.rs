//! Hot restart: hands the endpoint list and learned state over to the next process on the same socket, in a
//! file in `$TMPDIR`. `maplehook_hot_restart` decides which parts of the file are still valid.

use maplehook::parts::descriptors::Descriptors;
use maplehook::parts::discovery::Discovery;
use maplehook::parts::driver::Driver;
use maplehook::parts::rate_limited_log::RateLimitedLog;
use maplehook::parts::upstream::EndpointState;
use maplehook::source::{EndpointUpdate, Entry, Source, Task};
use maplehook_core::LearnedState;
use maplehook_core::{Availability, CellId, KindId, UpdateScope, UpstreamId, ZoneId};
use maplehook_hot_restart::{
    HotRestartSnapshot, LearnedEndpoint, MAX_SNAPSHOT_BYTES, SnapshotEndpoint, SnapshotReader,
};
use maplehook_platform_settings::IdNames;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{self, Read};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::{Instant, sleep};

/// Interval between writes of the file.
const WRITE_INTERVAL: Duration = Duration::from_millis(500);

/// Time for which the predecessor may still run: it gets its termination signal within 6 s, and then has 3.7
/// s to end.
const MAX_OVERLAP: Duration = Duration::from_secs(10);

/// A source that records the endpoint list on its way from discovery to the balancer.
pub struct EndpointRecorder {
    discovery: Rc<Discovery>,
    endpoints: RefCell<BTreeMap<UpstreamId, Entry>>,
}

impl EndpointRecorder {
    /// Creates a recorder whose list starts with `initial`.
    pub fn new(discovery: Rc<Discovery>, initial: &EndpointUpdate) -> Rc<Self> {
        let recorder = Self { discovery, endpoints: RefCell::default() };
        recorder.apply(initial);
        Rc::new(recorder)
    }

    fn apply(&self, update: &EndpointUpdate) {
        let endpoints = &mut *self.endpoints.borrow_mut();
        if matches!(update.scope, UpdateScope::Full | UpdateScope::Cached) {
            endpoints.clear();
        }
        for entry in &update.entries {
            if entry.state.availability == Availability::Removed {
                endpoints.remove(&entry.id);
            } else {
                endpoints.insert(entry.id, entry.clone());
            }
        }
    }
}

impl Source for EndpointRecorder {
    fn fetch(&self) -> Task<'_, EndpointUpdate> {
        Box::pin(async {
            let update = self.discovery.fetch().await;
            self.apply(&update);
            update
        })
    }

    fn watch<'a>(&'a self, on_update: &'a mut dyn FnMut(EndpointUpdate)) -> Task<'a, ()> {
        Box::pin(async {
            let mut record = |update: EndpointUpdate| {
                self.apply(&update);
                on_update(update);
            };
            self.discovery.watch(&mut record).await;
        })
    }
}

/// The handover file, as this process reads and writes it.
pub struct HandoverFile {
    path: PathBuf,
    name: String,
    started_ms: u64,
    /// Modification time of the file that this process wrote last.
    last_written: Cell<Option<SystemTime>>,
    write_warnings: RateLimitedLog,
}

/// State that the predecessor left in the handover file.
pub struct PredecessorState {
    snapshot: HotRestartSnapshot,
    age: Duration,
}

fn now_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(now.as_millis()).unwrap_or(u64::MAX)
}

impl HandoverFile {
    /// Returns the handover file of the balancer `name`, in `$TMPDIR`; `None` if that variable is not set.
    pub fn for_balancer(name: &str) -> Option<Self> {
        let sanitize = |c: char| if c.is_ascii_alphanumeric() || c == '-' { c } else { '_' };
        let file = format!("maplehook-{}.handover", name.chars().map(sanitize).collect::<String>());
        let path = PathBuf::from(std::env::var_os("TMPDIR")?).join(file);
        let (last_written, write_warnings) = (Cell::new(None), RateLimitedLog::default());
        Some(Self { path, name: name.to_owned(), started_ms: now_ms(), last_written, write_warnings })
    }

    fn reader(&self) -> SnapshotReader<'_> {
        SnapshotReader { name: &self.name, started_ms: self.started_ms, now_ms: now_ms() }
    }

    fn read(&self) -> io::Result<Vec<u8>> {
        let mut text = Vec::new();
        File::open(&self.path)?.take(MAX_SNAPSHOT_BYTES as u64 + 1).read_to_end(&mut text)?;
        Ok(text)
    }

    /// Loads the predecessor's state, if the file has a valid one for the same zones and kinds.
    pub fn load(&self, names: &IdNames) -> Option<PredecessorState> {
        let text = match self.read() {
            Ok(text) => text,
            Err(e) if e.kind() == io::ErrorKind::NotFound => return None,
            Err(e) => {
                tracing::warn!("hot restart state ignored: {}: {e}", self.path.display());
                return None;
            }
        };
        let loaded = HotRestartSnapshot::decode(&text).and_then(|snapshot| {
            let age = snapshot.check_age(self.reader())?;
            Ok(PredecessorState { snapshot, age })
        });
        match loaded {
            Ok(state) if state.snapshot.zone_and_kind_names == (names.zones.clone(), names.kinds.clone()) => {
                tracing::info!(age = ?state.age, upstreams = state.snapshot.upstreams.len(), "taken over");
                Some(state)
            }
            Ok(_) => {
                tracing::warn!("hot restart state ignored: zone or kind names have changed");
                None
            }
            Err(e) => {
                tracing::warn!("hot restart state ignored: {}: {e}", self.path.display());
                None
            }
        }
    }

    /// Writes this process's state periodically, unless a successor writes the file. While two processes run,
    /// each may use half of `max_descriptors`, because the platform counts both as one balancer.
    /// `has_predecessor`: a predecessor may still run.
    pub async fn write_periodically(
        self,
        recorder: Rc<EndpointRecorder>,
        driver: Rc<Driver>,
        descriptors: Rc<Descriptors>,
        max_descriptors: usize,
        has_predecessor: bool,
    ) {
        let started_at = Instant::now();
        let mut was_alone = true;
        loop {
            let written = descriptors.with_spare(|| self.write(&recorder, &driver));
            let has_successor = written.unwrap_or_else(|e| {
                self.write_warnings
                    .warn(|| format!("cannot write hot restart state: {}: {e}", self.path.display()));
                false
            });
            let is_alone = !has_successor && (!has_predecessor || started_at.elapsed() > MAX_OVERLAP);
            if std::mem::replace(&mut was_alone, is_alone) != is_alone {
                tracing::info!(
                    is_alone,
                    "descriptor limit changed: halved while another process of this balancer runs"
                );
                descriptors.set_configured_limit(if is_alone {
                    max_descriptors
                } else {
                    max_descriptors / 2
                });
            }
            sleep(WRITE_INTERVAL).await;
        }
    }

    /// Writes the file once. Returns true, without writing, if a successor writes it.
    fn write(&self, recorder: &EndpointRecorder, driver: &Driver) -> io::Result<bool> {
        let modified = fs::metadata(&self.path).and_then(|file| file.modified()).ok();
        if modified.is_some()
            && modified != self.last_written.get()
            && self.read().is_ok_and(|text| {
                HotRestartSnapshot::decode(&text).is_ok_and(|s| s.is_by_successor(self.reader()))
            })
        {
            return Ok(true);
        }
        let snapshot = self.snapshot(recorder, &driver.learned_state());
        let text =
            snapshot.encode().ok_or_else(|| io::Error::other("the snapshot exceeds the maximum size"))?;
        let temporary_path = self.path.with_extension(format!("{}.new", std::process::id()));
        let written = fs::write(&temporary_path, text).and_then(|()| {
            self.last_written.set(fs::metadata(&temporary_path)?.modified().ok());
            fs::rename(&temporary_path, &self.path)
        });
        if written.is_err() {
            let _ = fs::remove_file(&temporary_path);
        }
        written.map(|()| false)
    }

    fn snapshot(&self, recorder: &EndpointRecorder, learned_state: &LearnedState) -> HotRestartSnapshot {
        let names = recorder.discovery.names();
        let to_snapshot = |entry: &Entry| SnapshotEndpoint {
            id: entry.id.0,
            location: (entry.zone.0, entry.kind.0, entry.cell.0),
            weight: entry.weight,
            endpoint: entry.state.endpoint,
            is_ready: entry.state.availability == Availability::Ready,
            boot_ms: entry.state.boot_ms,
            learned: LearnedEndpoint::default(),
        };
        let mut snapshot = HotRestartSnapshot {
            name: self.name.clone(),
            started_ms: self.started_ms,
            written_ms: now_ms(),
            zone_and_kind_names: (names.zones.clone(), names.kinds.clone()),
            rev: recorder.discovery.rev(),
            upstreams: recorder.endpoints.borrow().values().map(to_snapshot).collect(),
            rates: Default::default(),
            classes: BTreeMap::new(),
            tenants: BTreeMap::new(),
        };
        snapshot.set_learned_state(learned_state, &names.classes, &names.tenants);
        snapshot
    }
}

impl PredecessorState {
    /// Returns the predecessor's endpoint list, or `configured` if the configuration's revision is newer.
    pub fn endpoints(&self, configured: EndpointUpdate, discovery: &Discovery) -> EndpointUpdate {
        if self.snapshot.rev < discovery.rev() || self.snapshot.upstreams.is_empty() {
            return configured;
        }
        discovery.set_rev(self.snapshot.rev);
        let to_entry = |endpoint: &SnapshotEndpoint| Entry {
            id: UpstreamId(endpoint.id),
            zone: ZoneId(endpoint.location.0),
            kind: KindId(endpoint.location.1),
            cell: CellId(endpoint.location.2),
            weight: endpoint.weight,
            state: EndpointState {
                endpoint: endpoint.endpoint,
                availability: endpoint.availability(),
                boot_ms: endpoint.boot_ms,
            },
        };
        EndpointUpdate {
            scope: UpdateScope::Cached,
            entries: self.snapshot.upstreams.iter().map(to_entry).collect(),
        }
    }

    /// Returns the learned state of the predecessor, aged to the present.
    pub fn learned_state(&self, names: &IdNames) -> LearnedState {
        self.snapshot.to_learned_state(self.age, &names.classes, &names.tenants)
    }
}
