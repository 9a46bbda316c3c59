//! The state directory of a node: the record of the last generation, and a lock, so that two processes can't both hold it.
//!
//! The record is written to a new file, synced, renamed, and the directory synced: after a crash there is the old record
//! or the new one. What can't be read or written is reported; the node starts all the same, since the time makes its
//! generation higher than any before it, as long as the clock goes forward.

use maplehook_cluster::Name;
use maplehook_cluster::generation::{self, GenerationRecordError};
use std::fs::{self, File, TryLockError};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};
use thiserror::Error;

const RECORD_FILE: &str = "start";
const LOCK_FILE: &str = "lock";
/// The file that becomes the record. All processes use one name: what a killed one leaves is overwritten by the next.
const NEW_RECORD_FILE: &str = "start.new";
/// How much of a record is read, in bytes.
const MAX_RECORD_BYTES: u64 = 256;

/// What is wrong with a state directory. None of it keeps a node from starting.
#[derive(Debug, Error)]
pub enum StateDirectoryError {
    /// The directory, its lock or its record can't be created, opened, locked or read.
    #[error("{}: {source}", path.display())]
    Io {
        /// The file or directory.
        path: PathBuf,
        /// The error of the system.
        source: io::Error,
    },
    /// The record of the last generation can't be used.
    #[error("{}: {source}", path.display())]
    Record {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        source: GenerationRecordError,
    },
}

/// The state directory of a node.
#[derive(Debug)]
pub struct StateDirectory {
    path: PathBuf,
    /// Held as long as the process lives.
    _lock: Option<File>,
    /// Whether another process holds the lock.
    pub is_locked_elsewhere: bool,
    /// The generation on record.
    pub recorded: Option<u64>,
}

impl StateDirectory {
    /// Opens a state directory, creates it if need be, and returns it with what is wrong with it.
    pub fn open(path: &Path, name: &Name) -> (Self, Vec<StateDirectoryError>) {
        let mut problems = Vec::new();
        if let Err(source) = fs::create_dir_all(path) {
            problems.push(StateDirectoryError::Io { path: path.to_owned(), source });
        }
        let lock = lock(path).unwrap_or_else(|e| {
            problems.push(e);
            Lock { file: None, is_held_elsewhere: false }
        });
        let recorded = read_generation(path, name).unwrap_or_else(|e| {
            problems.push(e);
            None
        });
        let directory = Self {
            path: path.to_owned(),
            _lock: lock.file,
            is_locked_elsewhere: lock.is_held_elsewhere,
            recorded,
        };
        (directory, problems)
    }

    /// Returns the path of the directory.
    pub fn path(&self) -> &Path {
        &self.path
    }
}

struct Lock {
    file: Option<File>,
    is_held_elsewhere: bool,
}

fn lock(directory: &Path) -> Result<Lock, StateDirectoryError> {
    let path = directory.join(LOCK_FILE);
    let locked = File::options()
        .create(true)
        .truncate(false)
        .write(true)
        .open(&path)
        .map_err(TryLockError::Error)
        .and_then(|file| file.try_lock().map(|()| file));
    match locked {
        Ok(file) => Ok(Lock { file: Some(file), is_held_elsewhere: false }),
        Err(TryLockError::WouldBlock) => Ok(Lock { file: None, is_held_elsewhere: true }),
        Err(TryLockError::Error(source)) => Err(StateDirectoryError::Io { path, source }),
    }
}

fn read_generation(directory: &Path, name: &Name) -> Result<Option<u64>, StateDirectoryError> {
    let path = directory.join(RECORD_FILE);
    match read_record(&path) {
        Ok(text) => match generation::decode_record(&text, name) {
            Ok(generation) => Ok(Some(generation)),
            Err(source) => Err(StateDirectoryError::Record { path, source }),
        },
        Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(source) => Err(StateDirectoryError::Io { path, source }),
    }
}

fn read_record(path: &Path) -> io::Result<String> {
    let mut text = String::new();
    File::open(path)?.take(MAX_RECORD_BYTES).read_to_string(&mut text)?;
    Ok(text)
}

/// Records a generation, such that a crash leaves the old record or the new one.
///
/// # Errors
///
/// Fails if the record can't be written; the old one then stays.
pub fn record_generation(directory: &Path, name: &Name, generation: u64) -> io::Result<()> {
    let new_record = directory.join(NEW_RECORD_FILE);
    let written = write_record(directory, &new_record, &generation::encode_record(name, generation));
    if written.is_err() {
        // It may not be there.
        let _ = fs::remove_file(&new_record);
    }
    written
}

fn write_record(directory: &Path, new_record: &Path, text: &str) -> io::Result<()> {
    let mut file = File::create(new_record)?;
    file.write_all(text.as_bytes())?;
    file.sync_all()?;
    fs::rename(new_record, directory.join(RECORD_FILE))?;
    File::open(directory)?.sync_all()
}

#[cfg(test)]
mod tests;
