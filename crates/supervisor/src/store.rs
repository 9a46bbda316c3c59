//! The supervisor's own directory: what it remembers, a lock, and the sockets of its balancers.
//!
//! The memory is written beside, synced, renamed, and the directory synced: after a crash there is the old one or the new one.

use crate::memory::{Memory, Unfit};
use std::fs::{self, DirBuilder, File, TryLockError};
use std::io::{self, Read, Write};
use std::os::unix::fs::DirBuilderExt;
use std::path::{Path, PathBuf};

const NAME: &str = "supervise.json";
const NEW: &str = "supervise.json.new";
const LOCK: &str = "lock";
const HAND: &str = "hand-";
/// The longest memory that is read.
const LENGTH_MOST: u64 = 1 << 20;
/// The longest path that a Unix socket may have.
const PATH_MOST: usize = 107;

/// The directory.
#[derive(Debug)]
pub struct Store {
    directory: PathBuf,
    /// Held as long as the process lives.
    _lock: File,
}

impl Store {
    /// Opens it, for this process alone.
    pub fn open(directory: &Path) -> Result<Self, String> {
        let told = |e: io::Error| format!("supervise.state: {}: {e}", directory.display());
        DirBuilder::new().recursive(true).mode(0o700).create(directory).map_err(told)?;
        let lock = File::options()
            .create(true)
            .truncate(false)
            .write(true)
            .open(directory.join(LOCK))
            .map_err(told)?;
        match lock.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => {
                return Err(format!("supervise.state: {}: another supervisor holds it", directory.display()));
            }
            Err(TryLockError::Error(e)) => return Err(told(e)),
        }
        let store = Self { directory: directory.to_owned(), _lock: lock };
        if store.hand(u64::MAX).as_os_str().len() > PATH_MOST {
            return Err(format!(
                "supervise.state: {}: too long a path: a Unix socket in it may have {PATH_MOST} bytes",
                directory.display()
            ));
        }
        Ok(store)
    }

    /// What is remembered, if anything; what can't be taken is an error to tell, and no obstacle.
    pub fn read(&self) -> Result<Option<Memory>, String> {
        let path = self.directory.join(NAME);
        let told = |e: String| format!("{}: {e}", path.display());
        let mut text = String::new();
        match File::open(&path) {
            Ok(file) => file.take(LENGTH_MOST).read_to_string(&mut text).map_err(|e| told(e.to_string()))?,
            Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(None),
            Err(e) => return Err(told(e.to_string())),
        };
        Memory::read(&text).map(Some).map_err(|e: Unfit| told(e.to_string()))
    }

    /// Writes it.
    pub fn write(&self, memory: &Memory) -> io::Result<()> {
        let new = self.directory.join(NEW);
        let mut file = File::create(&new)?;
        file.write_all(memory.text().as_bytes())?;
        file.sync_all()?;
        fs::rename(&new, self.directory.join(NAME))?;
        File::open(&self.directory)?.sync_all()
    }

    /// The socket of a start.
    pub fn hand(&self, id: u64) -> PathBuf {
        self.directory.join(format!("{HAND}{id}"))
    }

    /// The starts of which there is a socket.
    pub fn hands(&self) -> Vec<u64> {
        let Ok(entries) = fs::read_dir(&self.directory) else { return Vec::new() };
        let id = |entry: fs::DirEntry| entry.file_name().to_str()?.strip_prefix(HAND)?.parse().ok();
        entries.flatten().filter_map(id).collect()
    }

    /// A start is over.
    pub fn forget(&self, id: u64) {
        // It may never have made one.
        let _ = fs::remove_file(self.hand(id));
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::memory::Digest;

    #[test]
    fn a_memory_outlives_its_writer_and_a_spoilt_one_is_told() {
        let place = std::env::temp_dir().join(format!("maplehook-supervisor-{}", std::process::id()));
        let store = Store::open(&place).unwrap();
        assert_eq!(store.read(), Ok(None));
        assert!(Store::open(&place).unwrap_err().contains("another supervisor"));
        let memory = Memory::new(Digest::new(&"b".repeat(64)).unwrap());
        store.write(&memory).unwrap();
        assert_eq!(store.read(), Ok(Some(memory.clone())));
        fs::write(store.hand(7), "").unwrap();
        assert_eq!(store.hands(), [7]);
        store.forget(7);
        assert!(store.hands().is_empty());
        for (text, says) in [(&memory.text()[..40], "can't be read"), ("{\"version\":9}", "its version is 9")]
        {
            fs::write(place.join(NAME), text).unwrap();
            assert!(store.read().unwrap_err().contains(says), "{text}");
        }
        // A full disk keeps what was there.
        store.write(&memory).unwrap();
        std::os::unix::fs::symlink("/dev/full", place.join(NEW)).unwrap();
        assert!(store.write(&Memory { failures: 7, ..memory.clone() }).is_err());
        assert_eq!(store.read(), Ok(Some(memory)));
        let long = place.join("x".repeat(100));
        assert!(Store::open(&long).unwrap_err().contains("too long"));
        fs::remove_dir_all(&place).unwrap();
    }
}
