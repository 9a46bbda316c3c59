//! Leaves what this process knows to the next one on the same socket, and takes what the one before has left: a file in
//! `$TMPDIR`. What of it is taken, `maplehook_hot_restart` decides.

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

/// How often the file is written.
const WRITE_EVERY: Duration = Duration::from_millis(500);

/// How long a process before this one may still be there: it is told to leave within 6 s, and has 3.7 s for that.
const BESIDE: Duration = Duration::from_secs(10);

/// The list as it stands, followed on its way from discovery to the decisions.
pub struct Remembered {
    discovery: Rc<Discovery>,
    list: RefCell<BTreeMap<UpstreamId, Entry>>,
}

impl Remembered {
    /// A list that begins with this.
    pub fn new(discovery: Rc<Discovery>, known: &EndpointUpdate) -> Rc<Self> {
        let remembered = Self { discovery, list: RefCell::default() };
        remembered.take(known);
        Rc::new(remembered)
    }

    fn take(&self, news: &EndpointUpdate) {
        let list = &mut *self.list.borrow_mut();
        if matches!(news.scope, UpdateScope::Full | UpdateScope::Cached) {
            list.clear();
        }
        for entry in &news.entries {
            if entry.state.availability == Availability::Removed {
                list.remove(&entry.id);
            } else {
                list.insert(entry.id, entry.clone());
            }
        }
    }
}

impl Source for Remembered {
    fn fetch(&self) -> Task<'_, EndpointUpdate> {
        Box::pin(async {
            let news = self.discovery.fetch().await;
            self.take(&news);
            news
        })
    }

    fn watch<'a>(&'a self, tell: &'a mut dyn FnMut(EndpointUpdate)) -> Task<'a, ()> {
        Box::pin(async {
            let mut tell = |news: EndpointUpdate| {
                self.take(&news);
                tell(news);
            };
            self.discovery.watch(&mut tell).await;
        })
    }
}

/// The file, for one process.
pub struct Handover {
    path: PathBuf,
    name: String,
    started_ms: u64,
    /// When the file that this process wrote last was changed.
    own: Cell<Option<SystemTime>>,
    odd: RateLimitedLog,
}

/// What the process before has left.
pub struct Left {
    snapshot: HotRestartSnapshot,
    age: Duration,
}

fn now_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(now.as_millis()).unwrap_or(u64::MAX)
}

impl Handover {
    /// The file of the balancer of this name, in `$TMPDIR`; `None` where that is not set.
    pub fn of(name: &str) -> Option<Self> {
        let plain = |c: char| if c.is_ascii_alphanumeric() || c == '-' { c } else { '_' };
        let file = format!("maplehook-{}.handover", name.chars().map(plain).collect::<String>());
        let path = PathBuf::from(std::env::var_os("TMPDIR")?).join(file);
        let (own, odd) = (Cell::new(None), RateLimitedLog::default());
        Some(Self { path, name: name.to_owned(), started_ms: now_ms(), own, odd })
    }

    fn reader(&self) -> SnapshotReader<'_> {
        SnapshotReader { name: &self.name, started_ms: self.started_ms, now_ms: now_ms() }
    }

    fn read(&self) -> io::Result<Vec<u8>> {
        let mut text = Vec::new();
        File::open(&self.path)?.take(MAX_SNAPSHOT_BYTES as u64 + 1).read_to_end(&mut text)?;
        Ok(text)
    }

    /// What the process before this one has left, if that can be taken.
    pub fn take(&self, names: &IdNames) -> Option<Left> {
        let text = match self.read() {
            Ok(text) => text,
            Err(e) if e.kind() == io::ErrorKind::NotFound => return None,
            Err(e) => {
                tracing::warn!("nothing is taken over: {}: {e}", self.path.display());
                return None;
            }
        };
        let left = HotRestartSnapshot::decode(&text).and_then(|snapshot| {
            let age = snapshot.check_age(self.reader())?;
            Ok(Left { snapshot, age })
        });
        match left {
            Ok(left) if left.snapshot.zone_and_kind_names == (names.zones.clone(), names.kinds.clone()) => {
                tracing::info!(age = ?left.age, upstreams = left.snapshot.upstreams.len(), "taken over");
                Some(left)
            }
            Ok(_) => {
                tracing::warn!("nothing is taken over: zones or kinds have changed");
                None
            }
            Err(e) => {
                tracing::warn!("nothing is taken over: {}: {e}", self.path.display());
                None
            }
        }
    }

    /// Writes what this process knows, again and again, unless a later process does. While there are two, each has half of
    /// the `allowed` descriptors: the platform counts them as one balancer's. `follows`: there may be one before this.
    pub async fn keep(
        self,
        remembered: Rc<Remembered>,
        driver: Rc<Driver>,
        descriptors: Rc<Descriptors>,
        allowed: usize,
        follows: bool,
    ) {
        let begun = Instant::now();
        let mut alone = true;
        loop {
            let written = descriptors.with_spare(|| self.write(&remembered, &driver));
            let later = written.unwrap_or_else(|e| {
                self.odd
                    .warn(|| format!("nothing is left for the next process: {}: {e}", self.path.display()));
                false
            });
            let is_alone = !later && (!follows || begun.elapsed() > BESIDE);
            if std::mem::replace(&mut alone, is_alone) != is_alone {
                tracing::info!(is_alone, "the descriptors are shared with another process, or no more");
                descriptors.set_configured_limit(if is_alone { allowed } else { allowed / 2 });
            }
            sleep(WRITE_EVERY).await;
        }
    }

    /// `true`: a later process writes.
    fn write(&self, remembered: &Remembered, driver: &Driver) -> io::Result<bool> {
        let changed = fs::metadata(&self.path).and_then(|file| file.modified()).ok();
        if changed.is_some()
            && changed != self.own.get()
            && self.read().is_ok_and(|text| {
                HotRestartSnapshot::decode(&text).is_ok_and(|s| s.is_by_successor(self.reader()))
            })
        {
            return Ok(true);
        }
        let snapshot = self.snapshot(remembered, &driver.learned_state());
        let text =
            snapshot.encode().ok_or_else(|| io::Error::other("there is more to say than is allowed"))?;
        let new = self.path.with_extension(format!("{}.new", std::process::id()));
        let written = fs::write(&new, text).and_then(|()| {
            self.own.set(fs::metadata(&new)?.modified().ok());
            fs::rename(&new, &self.path)
        });
        if written.is_err() {
            let _ = fs::remove_file(&new);
        }
        written.map(|()| false)
    }

    fn snapshot(&self, remembered: &Remembered, heritage: &LearnedState) -> HotRestartSnapshot {
        let names = remembered.discovery.names();
        let known = |entry: &Entry| SnapshotEndpoint {
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
            rev: remembered.discovery.rev(),
            upstreams: remembered.list.borrow().values().map(known).collect(),
            rates: Default::default(),
            classes: BTreeMap::new(),
            tenants: BTreeMap::new(),
        };
        snapshot.set_learned_state(heritage, &names.classes, &names.tenants);
        snapshot
    }
}

impl Left {
    /// The list, unless `known` by the configuration is newer.
    pub fn list(&self, known: EndpointUpdate, discovery: &Discovery) -> EndpointUpdate {
        if self.snapshot.rev < discovery.rev() || self.snapshot.upstreams.is_empty() {
            return known;
        }
        discovery.set_rev(self.snapshot.rev);
        let entry = |known: &SnapshotEndpoint| Entry {
            id: UpstreamId(known.id),
            zone: ZoneId(known.location.0),
            kind: KindId(known.location.1),
            cell: CellId(known.location.2),
            weight: known.weight,
            state: EndpointState {
                endpoint: known.endpoint,
                availability: known.availability(),
                boot_ms: known.boot_ms,
            },
        };
        EndpointUpdate {
            scope: UpdateScope::Cached,
            entries: self.snapshot.upstreams.iter().map(entry).collect(),
        }
    }

    /// What was learned.
    pub fn heritage(&self, names: &IdNames) -> LearnedState {
        self.snapshot.to_learned_state(self.age, &names.classes, &names.tenants)
    }
}
