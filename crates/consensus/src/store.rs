//! What a voter must not forget: its vote, its log, and the state that the log has led to. It is synced to disk before any message is
//! sent that depends on it.
//!
//! `redb` commits a transaction as a whole or not at all. A second file, written once when the log is created, marks a directory that
//! has had a log. If that file exists without a log, the log was lost, and a voter that has lost its log must not vote.

use fail::fail_point;
use protobuf::Message as _;
use raft::eraftpb::{Entry, HardState, Snapshot};
use redb::{Database, ReadableTable, TableDefinition};
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

const LOG_TABLE: TableDefinition<'_, u64, &[u8]> = TableDefinition::new("log");
const STATE_TABLE: TableDefinition<'_, &str, &[u8]> = TableDefinition::new("state");
const HARD_STATE_KEY: &str = "hard";
const SNAPSHOT_KEY: &str = "snapshot";

const LOG_FILE: &str = "log.redb";
/// Marks a directory that has had a log.
const HAS_VOTED_FILE: &str = "has-voted";
/// Holds the number of a voter that has no log yet.
const BOOTSTRAP_FILE: &str = "founding";
/// Holds the names and numbers of the voters with which the log began.
const FOUNDERS_FILE: &str = "founders";
/// Holds the number of a voter that has replaced another one.
const REPLACEMENT_FILE: &str = "seat";

/// Why a store can't be used.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The directory has had a log, which is missing.
    #[error("this voter's log is lost: it takes no part in votes any more")]
    Lost,
    /// A file or the directory can't be written.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// A file can't be read.
    #[error("{}: {source}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// A file that must hold a number does not.
    #[error("{}: no number", path.display())]
    InvalidNumber {
        /// The file.
        path: PathBuf,
    },
    /// The database can't be opened or read.
    #[error("{}: {source}", path.display())]
    Open {
        /// The database file.
        path: PathBuf,
        /// The cause.
        source: DatabaseError,
    },
    /// The database can't be written.
    #[error(transparent)]
    Database(#[from] DatabaseError),
    /// Raft rejects what the store holds, or what it is told to store.
    #[error(transparent)]
    Raft(#[from] raft::Error),
    /// The state can't be encoded.
    #[error(transparent)]
    Encode(#[from] postcard::Error),
    /// A log entry can't be decoded.
    #[error(transparent)]
    Decode(#[from] protobuf::ProtobufError),
}

/// A failure of the database. The cause is boxed, since it is large.
#[derive(Debug, thiserror::Error)]
#[error(transparent)]
pub struct DatabaseError(Box<DatabaseErrorKind>);

impl<E: Into<DatabaseErrorKind>> From<E> for DatabaseError {
    fn from(error: E) -> Self {
        Self(Box::new(error.into()))
    }
}

/// What failed in the database.
#[derive(Debug, thiserror::Error)]
pub enum DatabaseErrorKind {
    /// The file can't be opened or created.
    #[error(transparent)]
    Open(#[from] redb::DatabaseError),
    /// A transaction can't begin.
    #[error(transparent)]
    Transaction(#[from] redb::TransactionError),
    /// A table can't be opened.
    #[error(transparent)]
    Table(#[from] redb::TableError),
    /// A value can't be read or written.
    #[error(transparent)]
    Storage(#[from] redb::StorageError),
    /// A transaction can't be committed.
    #[error(transparent)]
    Commit(#[from] redb::CommitError),
    /// A value can't be encoded or decoded.
    #[error(transparent)]
    Encoding(#[from] protobuf::ProtobufError),
}

/// What is on disk.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PersistedState {
    /// The term, the vote and the commit index.
    pub hard_state: HardState,
    /// The state that the log has led to, up to an index.
    pub snapshot: Snapshot,
    /// The entries after that index.
    pub entries: Vec<Entry>,
}

impl PersistedState {
    /// Returns the state of a log that begins with a snapshot.
    pub fn initial(snapshot: &Snapshot) -> Self {
        let metadata = snapshot.get_metadata();
        let hard_state = HardState { term: metadata.term, commit: metadata.index, ..HardState::default() };
        Self { hard_state, snapshot: snapshot.clone(), entries: Vec::new() }
    }
}

/// What is written in one transaction.
#[derive(Clone, Debug, Default)]
pub struct WriteBatch<'a> {
    /// The term, the vote and the commit index, if they have changed.
    pub hard_state: Option<&'a HardState>,
    /// A snapshot that replaces the log up to its index.
    pub snapshot: Option<&'a Snapshot>,
    /// Entries that replace those from the first one's index on.
    pub entries: &'a [Entry],
}

/// The points at which tests kill a process while it writes.
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

/// The store of a voter.
pub struct Store {
    database: Database,
}

impl Store {
    /// Opens the store of a directory. Returns `None` if it has never had one.
    ///
    /// # Errors
    ///
    /// If the log was lost or can't be read.
    pub fn open(directory: &Path) -> Result<Option<(Self, PersistedState)>, StoreError> {
        let path = directory.join(LOG_FILE);
        match (path.exists(), has_voted(directory)) {
            (false, false) => return Ok(None),
            (false, true) => return Err(StoreError::Lost),
            // The creation was interrupted, so that this voter can't have voted.
            (true, false) => {
                fs::remove_file(&path)?;
                return Ok(None);
            }
            (true, true) => {}
        }
        match Self::open_database(&path) {
            Ok(opened) => Ok(Some(opened)),
            Err(source) => Err(StoreError::Open { path, source }),
        }
    }

    fn open_database(path: &Path) -> Result<(Self, PersistedState), DatabaseError> {
        let store = Self { database: Database::open(path)? };
        let state = store.read()?;
        Ok((store, state))
    }

    /// Creates a store whose log begins with a snapshot.
    ///
    /// # Errors
    ///
    /// If the files can't be written.
    pub fn create(directory: &Path, snapshot: &Snapshot) -> Result<Self, StoreError> {
        let path = directory.join(LOG_FILE);
        fs::create_dir_all(directory)?;
        let database = Database::create(&path)
            .map_err(|error| StoreError::Open { path: path.clone(), source: error.into() })?;
        let store = Self { database };
        fail_point!("create: made");
        let PersistedState { hard_state, .. } = PersistedState::initial(snapshot);
        store.write(&WriteBatch { hard_state: Some(&hard_state), snapshot: Some(snapshot), entries: &[] })?;
        fail_point!("create: written");
        // The voter may vote only from here on.
        write_atomically(&directory.join(HAS_VOTED_FILE), b"1\n")?;
        Ok(store)
    }

    fn read(&self) -> Result<PersistedState, DatabaseError> {
        let transaction = self.database.begin_read()?;
        let (log, state) = (transaction.open_table(LOG_TABLE)?, transaction.open_table(STATE_TABLE)?);
        let mut persisted = PersistedState::default();
        if let Some(bytes) = state.get(HARD_STATE_KEY)? {
            persisted.hard_state = HardState::parse_from_bytes(bytes.value())?;
        }
        if let Some(bytes) = state.get(SNAPSHOT_KEY)? {
            persisted.snapshot = Snapshot::parse_from_bytes(bytes.value())?;
        }
        for row in log.iter()? {
            let (_, bytes) = row?;
            persisted.entries.push(Entry::parse_from_bytes(bytes.value())?);
        }
        Ok(persisted)
    }

    /// Writes a batch as a whole or not at all. It is synced to disk when this returns without an error.
    ///
    /// # Errors
    ///
    /// If the database can't be written.
    pub fn write(&self, batch: &WriteBatch<'_>) -> Result<(), StoreError> {
        Ok(self.write_transaction(batch)?)
    }

    fn write_transaction(&self, batch: &WriteBatch<'_>) -> Result<(), DatabaseError> {
        let mut transaction = self.database.begin_write()?;
        fail_point!("write: begun");
        // This is the default, stated because everything depends on the data being synced.
        transaction.set_durability(redb::Durability::Immediate);
        {
            let mut log = transaction.open_table(LOG_TABLE)?;
            let mut state = transaction.open_table(STATE_TABLE)?;
            if let Some(hard_state) = batch.hard_state {
                state.insert(HARD_STATE_KEY, hard_state.write_to_bytes()?.as_slice())?;
            }
            if let Some(snapshot) = batch.snapshot {
                state.insert(SNAPSHOT_KEY, snapshot.write_to_bytes()?.as_slice())?;
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
        transaction.commit()?;
        fail_point!("write: synced");
        Ok(())
    }
}

/// Returns whether a directory has, or has had, a voter's log.
pub fn has_voted(directory: &Path) -> bool {
    directory.join(HAS_VOTED_FILE).exists()
}

/// Returns the number by which a voter without a log is known to the others, which stays the same after a restart. `drawn` is used if
/// there is none yet.
///
/// # Errors
///
/// If the number can't be read or written.
pub fn bootstrap_number(directory: &Path, drawn: u64) -> Result<u64, StoreError> {
    let path = directory.join(BOOTSTRAP_FILE);
    if let Some(number) = read_number(path.clone())? {
        return Ok(number);
    }
    fs::create_dir_all(directory)?;
    write_atomically(&path, drawn.to_string().as_bytes())?;
    Ok(drawn)
}

/// Returns the number under which this voter has replaced another one; `None` if the log began with this voter.
///
/// # Errors
///
/// If the number can't be read.
pub fn replacement_number(directory: &Path) -> Result<Option<u64>, StoreError> {
    read_number(directory.join(REPLACEMENT_FILE))
}

/// Replaces what a directory holds by the empty log of a voter that replaces another one under this number.
///
/// # Errors
///
/// If the files can't be removed or written.
pub fn create_replacement(directory: &Path, number: u64) -> Result<(Store, PersistedState), StoreError> {
    fs::create_dir_all(directory)?;
    // The mark goes first: a log without it is an interrupted creation.
    for name in [HAS_VOTED_FILE, LOG_FILE, FOUNDERS_FILE, BOOTSTRAP_FILE] {
        fail_point!("seat: clears");
        match fs::remove_file(directory.join(name)) {
            Err(error) if error.kind() != io::ErrorKind::NotFound => return Err(error.into()),
            _ => {}
        }
    }
    fail_point!("seat: cleared");
    write_atomically(&directory.join(REPLACEMENT_FILE), number.to_string().as_bytes())?;
    Ok((Store::create(directory, &Snapshot::default())?, PersistedState::default()))
}

/// Writes the names and numbers of the voters with which this voter's log begins.
///
/// # Errors
///
/// If the file can't be written.
pub fn write_founders(directory: &Path, founders: &[(String, u64)]) -> Result<(), StoreError> {
    let lines: String = founders.iter().map(|(name, number)| format!("{name} {number}\n")).collect();
    Ok(write_atomically(&directory.join(FOUNDERS_FILE), lines.as_bytes())?)
}

/// Returns the names and numbers of the voters with which the log began; none if they can't be read.
pub fn read_founders(directory: &Path) -> Vec<(String, u64)> {
    let text = fs::read_to_string(directory.join(FOUNDERS_FILE)).unwrap_or_default();
    let parse_line = |line: &str| {
        let (name, number) = line.split_once(' ')?;
        Some((name.to_owned(), number.parse().ok()?))
    };
    text.lines().filter_map(parse_line).collect()
}

/// Returns the number that a file holds; `None` if there is no such file.
fn read_number(path: PathBuf) -> Result<Option<u64>, StoreError> {
    match fs::read_to_string(&path) {
        Ok(text) => match text.trim().parse() {
            Ok(number) => Ok(Some(number)),
            Err(_) => Err(StoreError::InvalidNumber { path }),
        },
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(source) => Err(StoreError::Read { path, source }),
    }
}

/// Writes a file that afterwards exists as a whole or not at all.
fn write_atomically(path: &Path, text: &[u8]) -> io::Result<()> {
    let new_path = path.with_extension("new");
    let mut file = File::create(&new_path)?;
    fail_point!("put: made");
    file.write_all(text)?;
    fail_point!("put: written");
    file.sync_all()?;
    fail_point!("put: synced");
    fs::rename(&new_path, path)?;
    fail_point!("put: renamed");
    match path.parent() {
        Some(directory) => File::open(directory)?.sync_all(),
        None => Ok(()),
    }
}

#[cfg(test)]
mod tests;
