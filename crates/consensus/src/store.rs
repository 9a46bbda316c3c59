//! What a voter may not forget: its vote, its part of the log, and what the log came to. On disk, synced before anything is
//! answered that rests on it.
//!
//! `redb` commits a transaction whole or not at all. A second file, written first and once, says that this directory has had a
//! log: where that is there and the log is not, it was lost, and a voter that has lost its log must not vote.

use fail::fail_point;
use protobuf::Message as _;
use raft::eraftpb::{Entry, HardState, Snapshot};
use redb::{Database, ReadableTable, TableDefinition};
use std::fmt;
use std::fs::{self, File};
use std::io::Write;
use std::path::{Path, PathBuf};

const LOG: TableDefinition<'_, u64, &[u8]> = TableDefinition::new("log");
const STATE: TableDefinition<'_, &str, &[u8]> = TableDefinition::new("state");
const HARD: &str = "hard";
const SNAPSHOT: &str = "snapshot";
/// The files.
const NAME: &str = "log.redb";
const HAD: &str = "has-voted";
const FOUNDING: &str = "founding";
const FOUNDERS: &str = "founders";
const SEAT: &str = "seat";

/// Why a store can't be used.
#[derive(Debug)]
pub enum StoreError {
    /// It was there and is not any more.
    Lost,
    /// It can't be read or written.
    Unusable(String),
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Lost => f.write_str("this voter's log is lost: it takes no part in votes any more"),
            Self::Unusable(why) => f.write_str(why),
        }
    }
}

impl std::error::Error for StoreError {}

fn unusable(e: impl fmt::Display) -> StoreError {
    StoreError::Unusable(e.to_string())
}

/// What is on disk.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PersistedState {
    /// Term, vote and commit.
    pub hard_state: HardState,
    /// What the log came to, up to an index.
    pub snapshot: Snapshot,
    /// The entries behind it.
    pub entries: Vec<Entry>,
}

/// What is to be written at once.
#[derive(Clone, Debug, Default)]
pub struct WriteBatch<'a> {
    /// Term, vote and commit, if they have changed.
    pub hard_state: Option<&'a HardState>,
    /// A snapshot that takes the place of the log up to its index.
    pub snapshot: Option<&'a Snapshot>,
    /// Entries; what stands at their index and behind it is void.
    pub entries: &'a [Entry],
}

/// The points at which a process may be killed while it writes, for tests that do so.
pub const WRITE_POINTS: [&str; 11] = [
    "put: made",
    "put: written",
    "put: synced",
    "put: renamed",
    "create: made",
    "create: written",
    "write: begun",
    "write: whole",
    "write: synced",
    "seat: clears",
    "seat: cleared",
];

/// A voter's disk.
pub struct Store {
    database: Database,
}

/// A file that is there whole, or not at all.
fn write_atomically(path: &Path, text: &[u8]) -> std::io::Result<()> {
    let new = path.with_extension("new");
    let mut file = File::create(&new)?;
    fail_point!("put: made");
    file.write_all(text)?;
    fail_point!("put: written");
    file.sync_all()?;
    fail_point!("put: synced");
    fs::rename(&new, path)?;
    fail_point!("put: renamed");
    match path.parent() {
        Some(directory) => File::open(directory)?.sync_all(),
        None => Ok(()),
    }
}

/// The number by which a voter that has no log yet is known to the others; the same after a restart.
pub fn bootstrap_number(directory: &Path, drawn: u64) -> Result<u64, StoreError> {
    let path = directory.join(FOUNDING);
    if let Some(number) = read_number(&path)? {
        return Ok(number);
    }
    fs::create_dir_all(directory).map_err(unusable)?;
    write_atomically(&path, drawn.to_string().as_bytes()).map_err(unusable)?;
    Ok(drawn)
}

/// The number that a file holds; `None` where there is no such file.
fn read_number(path: &Path) -> Result<Option<u64>, StoreError> {
    match fs::read_to_string(path) {
        Ok(text) => {
            let number = text.trim().parse();
            number.map(Some).map_err(|_| StoreError::Unusable(format!("{}: no number", path.display())))
        }
        Err(e) if e.kind() == std::io::ErrorKind::NotFound => Ok(None),
        Err(e) => Err(StoreError::Unusable(format!("{}: {e}", path.display()))),
    }
}

impl PersistedState {
    /// That of a log that begins with this.
    pub fn initial(snapshot: &Snapshot) -> Self {
        let metadata = snapshot.get_metadata();
        let hard = HardState { term: metadata.term, commit: metadata.index, ..HardState::default() };
        Self { hard_state: hard, snapshot: snapshot.clone(), entries: Vec::new() }
    }
}

/// The number under which this voter took its place, where it did so after the log had begun.
pub fn replacement_number(directory: &Path) -> Result<Option<u64>, StoreError> {
    read_number(&directory.join(SEAT))
}

/// Whether there is a voter's log here, or was one.
pub fn has_voted(directory: &Path) -> bool {
    directory.join(HAD).exists()
}

/// Clears the directory for a voter that takes a place, under this number: what was there is of a voter that is none any more.
pub fn create_replacement(directory: &Path, number: u64) -> Result<(Store, PersistedState), StoreError> {
    fs::create_dir_all(directory).map_err(unusable)?;
    // The mark goes first: what is left of the log without it is a creation that was torn.
    for name in [HAD, NAME, FOUNDERS, FOUNDING] {
        fail_point!("seat: clears");
        match fs::remove_file(directory.join(name)) {
            Err(e) if e.kind() != std::io::ErrorKind::NotFound => return Err(unusable(e)),
            _ => {}
        }
    }
    fail_point!("seat: cleared");
    write_atomically(&directory.join(SEAT), number.to_string().as_bytes()).map_err(unusable)?;
    Ok((Store::create(directory, &Snapshot::default())?, PersistedState::default()))
}

/// Keeps with whom this voter's log began, by the numbers that they went by.
pub fn write_founders(directory: &Path, founded: &[(String, u64)]) -> Result<(), StoreError> {
    let lines: String = founded.iter().map(|(name, number)| format!("{name} {number}\n")).collect();
    write_atomically(&directory.join(FOUNDERS), lines.as_bytes()).map_err(unusable)
}

/// With whom it began; nobody where that can't be read.
pub fn read_founders(directory: &Path) -> Vec<(String, u64)> {
    let text = fs::read_to_string(directory.join(FOUNDERS)).unwrap_or_default();
    let line = |line: &str| {
        let (name, number) = line.split_once(' ')?;
        Some((name.to_owned(), number.parse().ok()?))
    };
    text.lines().filter_map(line).collect()
}

impl Store {
    /// Opens the one that is there; `None` where there never was one.
    pub fn open(directory: &Path) -> Result<Option<(Self, PersistedState)>, StoreError> {
        let (path, had) = (directory.join(NAME), directory.join(HAD));
        match (path.exists(), had.exists()) {
            (false, false) => return Ok(None),
            (false, true) => return Err(StoreError::Lost),
            // A creation that was torn: nothing can have been voted by it.
            (true, false) => {
                fs::remove_file(&path).map_err(unusable)?;
                return Ok(None);
            }
            (true, true) => {}
        }
        let database =
            Database::open(&path).map_err(|e| StoreError::Unusable(format!("{}: {e}", path.display())))?;
        let store = Self { database };
        let kept = store.read().map_err(|e| StoreError::Unusable(format!("{}: {e}", path.display())))?;
        Ok(Some((store, kept)))
    }

    /// Makes one that begins with this.
    pub fn create(directory: &Path, begins: &Snapshot) -> Result<Self, StoreError> {
        let path: PathBuf = directory.join(NAME);
        fs::create_dir_all(directory).map_err(unusable)?;
        let database =
            Database::create(&path).map_err(|e| StoreError::Unusable(format!("{}: {e}", path.display())))?;
        let store = Self { database };
        fail_point!("create: made");
        let PersistedState { hard_state: hard, .. } = PersistedState::initial(begins);
        store.write(&WriteBatch { hard_state: Some(&hard), snapshot: Some(begins), entries: &[] })?;
        fail_point!("create: written");
        // Only now may it vote.
        write_atomically(&directory.join(HAD), b"1\n").map_err(unusable)?;
        Ok(store)
    }

    fn read(&self) -> Result<PersistedState, Box<dyn std::error::Error>> {
        let read = self.database.begin_read()?;
        let (log, state) = (read.open_table(LOG)?, read.open_table(STATE)?);
        let mut kept = PersistedState::default();
        if let Some(bytes) = state.get(HARD)? {
            kept.hard_state = HardState::parse_from_bytes(bytes.value())?;
        }
        if let Some(bytes) = state.get(SNAPSHOT)? {
            kept.snapshot = Snapshot::parse_from_bytes(bytes.value())?;
        }
        for row in log.iter()? {
            let (_, bytes) = row?;
            kept.entries.push(Entry::parse_from_bytes(bytes.value())?);
        }
        Ok(kept)
    }

    /// Writes it, whole or not at all; when this returns well it is on the disk.
    pub fn write(&self, batch: &WriteBatch<'_>) -> Result<(), StoreError> {
        self.try_write(batch).map_err(unusable)
    }

    fn try_write(&self, batch: &WriteBatch<'_>) -> Result<(), Box<dyn std::error::Error>> {
        // Synced: the default, named since everything rests on it.
        let mut write = self.database.begin_write()?;
        fail_point!("write: begun");
        write.set_durability(redb::Durability::Immediate);
        {
            let (mut log, mut state) = (write.open_table(LOG)?, write.open_table(STATE)?);
            if let Some(hard) = batch.hard_state {
                state.insert(HARD, hard.write_to_bytes()?.as_slice())?;
            }
            if let Some(snapshot) = batch.snapshot {
                state.insert(SNAPSHOT, snapshot.write_to_bytes()?.as_slice())?;
                log.retain_in(..=snapshot.get_metadata().index, |_, _| false)?;
            }
            if let Some(first) = batch.entries.first() {
                log.retain_in(first.index.., |_, _| false)?;
            }
            for entry in batch.entries {
                log.insert(entry.index, entry.write_to_bytes()?.as_slice())?;
            }
        }
        fail_point!("write: whole");
        write.commit()?;
        fail_point!("write: synced");
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn directory(name: &str) -> PathBuf {
        let path = std::env::temp_dir().join(format!("maplehook-consensus-{}-{name}", std::process::id()));
        let _ = fs::remove_dir_all(&path);
        path
    }

    fn entry(index: u64, term: u64) -> Entry {
        let mut entry = Entry::default();
        (entry.index, entry.term) = (index, term);
        entry
    }

    #[test]
    fn what_was_written_is_there_and_what_was_overwritten_is_not() {
        let place = directory("written");
        assert!(Store::open(&place).unwrap().is_none(), "there never was one");
        let mut begins = Snapshot::default();
        (begins.mut_metadata().index, begins.mut_metadata().term) = (1, 1);
        let store = Store::create(&place, &begins).unwrap();
        let mut hard = HardState::default();
        (hard.term, hard.vote) = (3, 7);
        let entries = [entry(2, 1), entry(3, 1), entry(4, 1)];
        store.write(&WriteBatch { hard_state: Some(&hard), snapshot: None, entries: &entries }).unwrap();
        // Another leader's word for what is not committed.
        store.write(&WriteBatch { entries: &[entry(3, 2)], ..WriteBatch::default() }).unwrap();
        drop(store);
        let (store, kept) = Store::open(&place).unwrap().unwrap();
        assert_eq!((kept.hard_state.term, kept.hard_state.vote), (3, 7));
        assert_eq!(kept.entries, [entry(2, 1), entry(3, 2)]);
        let mut later = Snapshot::default();
        later.mut_metadata().index = 2;
        store.write(&WriteBatch { snapshot: Some(&later), ..WriteBatch::default() }).unwrap();
        drop(store);
        let (_, kept) = Store::open(&place).unwrap().unwrap();
        assert_eq!((kept.snapshot.get_metadata().index, kept.entries.len()), (2, 1));
        fs::remove_dir_all(&place).unwrap();
    }

    #[test]
    fn a_log_that_is_lost_is_told_from_none_and_from_one_that_is_spoilt() {
        let place = directory("lost");
        Store::create(&place, &Snapshot::default()).unwrap();
        fs::write(place.join(NAME), "garbage").unwrap();
        assert!(matches!(Store::open(&place), Err(StoreError::Unusable(_))));
        fs::remove_file(place.join(NAME)).unwrap();
        assert!(matches!(Store::open(&place), Err(StoreError::Lost)));
        fs::remove_dir_all(&place).unwrap();
        // A creation that was killed half way has voted for nobody.
        fs::create_dir_all(&place).unwrap();
        fs::write(place.join(NAME), "half").unwrap();
        assert!(Store::open(&place).unwrap().is_none());
        assert_eq!(bootstrap_number(&place, 5).unwrap(), 5);
        assert_eq!(bootstrap_number(&place, 6).unwrap(), 5, "the same after a restart");
        fs::remove_dir_all(&place).unwrap();
    }
}
