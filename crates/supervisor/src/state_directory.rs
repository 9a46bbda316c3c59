//! The supervisor's own directory: its saved state, a lock, and the control sockets of its processes.
//!
//! The state is written to a new file, synced, renamed, and the directory synced: after a crash there is the old or the new one.

use crate::saved_state::{StateFileError, SupervisorState};
use std::fs::{self, DirBuilder, File, TryLockError};
use std::io::{self, Read, Write};
use std::os::unix::fs::DirBuilderExt;
use std::path::{Path, PathBuf};
use thiserror::Error;

const STATE_FILE: &str = "supervise.json";
const NEW_STATE_FILE: &str = "supervise.json.new";
const LOCK_FILE: &str = "lock";
const SOCKET_PREFIX: &str = "hand-";
/// The longest state file that is read.
const MAX_STATE_BYTES: u64 = 1 << 20;
/// The longest path that a Unix socket may have, in bytes.
const MAX_SOCKET_PATH_BYTES: usize = 107;

/// Why the state directory cannot be used. The texts name the key of the operator's file.
#[derive(Debug, Error)]
pub enum StateDirectoryError {
    /// It cannot be created or locked.
    #[error("supervise.state: {}: {error}", path.display())]
    Io {
        /// The directory.
        path: PathBuf,
        /// What failed.
        #[source]
        error: io::Error,
    },
    /// Another supervisor holds its lock.
    #[error("supervise.state: {}: another supervisor holds it", path.display())]
    Locked {
        /// The directory.
        path: PathBuf,
    },
    /// A Unix socket in it would have too long a path.
    #[error("supervise.state: {}: too long a path: a Unix socket in it may have {MAX_SOCKET_PATH_BYTES} bytes", path.display())]
    PathTooLong {
        /// The directory.
        path: PathBuf,
    },
}

/// Why the saved state cannot be loaded.
#[derive(Debug, Error)]
pub enum LoadStateError {
    /// The file cannot be read.
    #[error("{}: {error}", path.display())]
    Io {
        /// The file.
        path: PathBuf,
        /// What failed.
        #[source]
        error: io::Error,
    },
    /// The file is not one that this program takes.
    #[error("{}: {error}", path.display())]
    Invalid {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        #[source]
        error: StateFileError,
    },
}

/// The state directory, held by this process alone.
#[derive(Debug)]
pub struct StateDirectory {
    directory: PathBuf,
    /// Held as long as the process lives.
    _lock: File,
}

impl StateDirectory {
    /// Opens the directory, and creates it if it does not exist.
    ///
    /// # Errors
    ///
    /// If it cannot be created, another supervisor holds it, or its path is too long for a socket.
    pub fn open(directory: &Path) -> Result<Self, StateDirectoryError> {
        let path = directory.to_owned();
        let failed = |error: io::Error| StateDirectoryError::Io { path: path.clone(), error };
        DirBuilder::new().recursive(true).mode(0o700).create(directory).map_err(failed)?;
        let lock = File::options()
            .create(true)
            .truncate(false)
            .write(true)
            .open(directory.join(LOCK_FILE))
            .map_err(failed)?;
        match lock.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => return Err(StateDirectoryError::Locked { path }),
            Err(TryLockError::Error(error)) => return Err(failed(error)),
        }
        let opened = Self { directory: path.clone(), _lock: lock };
        if opened.socket_path(u64::MAX).as_os_str().len() > MAX_SOCKET_PATH_BYTES {
            return Err(StateDirectoryError::PathTooLong { path });
        }
        Ok(opened)
    }

    /// The saved state, if there is any.
    ///
    /// # Errors
    ///
    /// If the file cannot be read or is not taken. That is no obstacle to a start without it.
    pub fn load(&self) -> Result<Option<SupervisorState>, LoadStateError> {
        let path = self.directory.join(STATE_FILE);
        let mut text = String::new();
        let read = File::open(&path).and_then(|file| file.take(MAX_STATE_BYTES).read_to_string(&mut text));
        match read {
            Ok(_) => {}
            Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(None),
            Err(error) => return Err(LoadStateError::Io { path, error }),
        }
        SupervisorState::decode(&text).map(Some).map_err(|error| LoadStateError::Invalid { path, error })
    }

    /// Saves the state.
    ///
    /// # Errors
    ///
    /// If it cannot be written; the former state stays then.
    pub fn save(&self, state: &SupervisorState) -> io::Result<()> {
        let new = self.directory.join(NEW_STATE_FILE);
        let mut file = File::create(&new)?;
        file.write_all(state.encode().as_bytes())?;
        file.sync_all()?;
        fs::rename(&new, self.directory.join(STATE_FILE))?;
        File::open(&self.directory)?.sync_all()
    }

    /// Path of the control socket of a start.
    pub fn socket_path(&self, id: u64) -> PathBuf {
        self.directory.join(format!("{SOCKET_PREFIX}{id}"))
    }

    /// Numbers of the starts of which there is a control socket.
    pub fn socket_ids(&self) -> Vec<u64> {
        let Ok(entries) = fs::read_dir(&self.directory) else { return Vec::new() };
        let id = |entry: fs::DirEntry| entry.file_name().to_str()?.strip_prefix(SOCKET_PREFIX)?.parse().ok();
        entries.flatten().filter_map(id).collect()
    }

    /// Removes the control socket of a start.
    pub fn remove_socket(&self, id: u64) {
        // The process may never have created it.
        let _ = fs::remove_file(self.socket_path(id));
    }
}

#[cfg(test)]
mod tests;
