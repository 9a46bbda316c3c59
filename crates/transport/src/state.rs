//! The state directory: the number of the last start, and a lock, so that two processes can't both call it theirs.
//!
//! The record is written beside, synced, renamed, and the directory synced: after a crash there is the old one or the
//! new one. What can't be read or written is told in the log; the balancer starts all the same, since the time makes
//! its start later than any before it, as long as the clock goes forward.

use maplehook_cluster::{Name, start};
use std::fs::{self, File, TryLockError};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};

const RECORD: &str = "start";
const LOCK: &str = "lock";
/// What is to become the record. One name for all starts: what kill -9 leaves of it is overwritten by the next.
const NEW: &str = "start.new";
/// The longest record that is read.
const RECORD_MOST: u64 = 256;

/// A balancer's own directory.
#[derive(Debug)]
pub struct State {
    directory: PathBuf,
    /// Held as long as the process lives.
    _lock: Option<File>,
    /// Whether another process holds it.
    pub taken: bool,
    /// The start on record.
    pub recorded: Option<u64>,
}

impl State {
    /// Opens it; what is wrong with it goes to `odd`, one line each.
    pub fn open(directory: &Path, name: &Name, odd: &mut dyn FnMut(String)) -> Self {
        if let Err(e) = fs::create_dir_all(directory) {
            odd(format!("{}: {e}", directory.display()));
        }
        let path = directory.join(LOCK);
        let lock = File::options().create(true).truncate(false).write(true).open(&path);
        let (mut held, mut taken) = (None, false);
        match lock {
            Ok(file) => match file.try_lock() {
                Ok(()) => held = Some(file),
                Err(TryLockError::WouldBlock) => taken = true,
                Err(TryLockError::Error(e)) => odd(format!("{}: {e}", path.display())),
            },
            Err(e) => odd(format!("{}: {e}", path.display())),
        }
        let path = directory.join(RECORD);
        let recorded = match read(&path) {
            Ok(text) => start::read(&text, name).map_err(|e| odd(format!("{}: {e}", path.display()))).ok(),
            Err(e) if e.kind() == io::ErrorKind::NotFound => None,
            Err(e) => {
                odd(format!("{}: {e}", path.display()));
                None
            }
        };
        Self { directory: directory.to_owned(), _lock: held, taken, recorded }
    }

    /// Where the record is.
    pub fn directory(&self) -> &Path {
        &self.directory
    }
}

fn read(path: &Path) -> io::Result<String> {
    let mut text = String::new();
    File::open(path)?.take(RECORD_MOST).read_to_string(&mut text)?;
    Ok(text)
}

/// Records a start.
pub fn record(directory: &Path, name: &Name, start: u64) -> io::Result<()> {
    let new = directory.join(NEW);
    let written = (|| {
        let mut file = File::create(&new)?;
        file.write_all(start::record(name, start).as_bytes())?;
        file.sync_all()?;
        fs::rename(&new, directory.join(RECORD))?;
        File::open(directory)?.sync_all()
    })();
    if written.is_err() {
        // It may not be there.
        let _ = fs::remove_file(&new);
    }
    written
}

#[cfg(test)]
mod tests {
    use super::*;

    fn opened(directory: &Path) -> (State, Vec<String>) {
        let mut odd = Vec::new();
        let state = State::open(directory, &Name::new("b1").unwrap(), &mut |line| odd.push(line));
        (state, odd)
    }

    fn directory(name: &str) -> PathBuf {
        std::env::temp_dir().join(format!("maplehook-state-{}-{name}", std::process::id()))
    }

    #[test]
    fn a_start_is_kept_and_the_directory_is_one_processs() {
        let place = directory("kept");
        let name = Name::new("b1").unwrap();
        let (first, odd) = opened(&place);
        assert!(odd.is_empty() && first.recorded.is_none() && !first.taken);
        record(&place, &name, 77).unwrap();
        let (second, odd) = opened(&place);
        assert!(odd.is_empty() && second.taken, "the first one holds it");
        assert_eq!(second.recorded, Some(77));
        drop((first, second));
        assert!(!opened(&place).0.taken);
        fs::remove_dir_all(&place).unwrap();
    }

    /// The device stands for a disk without room: opening succeeds, and each write fails as it does there.
    #[test]
    fn a_full_disk_is_told_and_the_record_before_stays() {
        let place = directory("full");
        let name = Name::new("b1").unwrap();
        fs::create_dir_all(&place).unwrap();
        record(&place, &name, 77).unwrap();
        std::os::unix::fs::symlink("/dev/full", place.join(NEW)).unwrap();
        assert_eq!(record(&place, &name, 78).unwrap_err().kind(), io::ErrorKind::StorageFull);
        assert_eq!(opened(&place).0.recorded, Some(77));
        // There is room again.
        record(&place, &name, 79).unwrap();
        assert_eq!(opened(&place).0.recorded, Some(79));
        fs::remove_dir_all(&place).unwrap();
    }

    #[test]
    fn what_is_spoilt_or_not_a_directory_is_told_and_no_obstacle() {
        let place = directory("spoilt");
        fs::create_dir_all(&place).unwrap();
        fs::write(place.join(RECORD), "maplehook-start 1 b1 7").unwrap();
        let (state, odd) = opened(&place);
        assert!(state.recorded.is_none());
        assert!(odd.len() == 1 && odd[0].contains("cut short"), "{odd:?}");
        fs::remove_dir_all(&place).unwrap();
        fs::write(&place, "a file").unwrap();
        let (state, odd) = opened(&place);
        assert!(state.recorded.is_none() && !odd.is_empty());
        assert!(record(&place, &Name::new("b1").unwrap(), 8).is_err());
        fs::remove_file(&place).unwrap();
    }
}
