//! The directory of programs: each file is named by its own SHA-256. Nothing is fetched.

use crate::saved_state::ProgramDigest;
use sha2::{Digest as _, Sha256};
use std::collections::HashMap;
use std::fs::{self, File};
use std::io;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Files whose digest is cached.
const MAX_REMEMBERED: usize = 64;

/// What identifies the content of a file without reading it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct FileStamp {
    inode: u64,
    length: u64,
    modified_ns: i128,
    changed_ns: i128,
}

impl FileStamp {
    fn of(path: &Path) -> io::Result<Self> {
        let file = fs::metadata(path)?;
        let ns = |seconds: i64, ns: i64| i128::from(seconds) * 1_000_000_000 + i128::from(ns);
        Ok(Self {
            inode: file.ino(),
            length: file.len(),
            modified_ns: ns(file.mtime(), file.mtime_nsec()),
            changed_ns: ns(file.ctime(), file.ctime_nsec()),
        })
    }
}

/// Why a program cannot be started.
#[derive(Debug, Error)]
pub enum ProgramError {
    /// Its file cannot be read.
    #[error("{}: {error}", path.display())]
    Io {
        /// The file.
        path: PathBuf,
        /// What failed.
        #[source]
        error: io::Error,
    },
    /// Its file is not what its name says.
    #[error("{}: its SHA-256 is {digest}", path.display())]
    WrongDigest {
        /// The file.
        path: PathBuf,
        /// Its digest.
        digest: ProgramDigest,
    },
}

/// The directory of programs, with the digests of those that were verified.
#[derive(Debug)]
pub struct ProgramDirectory {
    directory: PathBuf,
    verified: HashMap<ProgramDigest, FileStamp>,
}

/// The SHA-256 of a file.
///
/// # Errors
///
/// If the file cannot be read.
pub fn file_digest(path: &Path) -> io::Result<ProgramDigest> {
    let mut hash = Sha256::new();
    io::copy(&mut File::open(path)?, &mut hash)?;
    let text: String = hash.finalize().iter().map(|byte| format!("{byte:02x}")).collect();
    ProgramDigest::new(&text).ok_or_else(|| io::Error::other("no digest"))
}

impl ProgramDirectory {
    /// The directory at this path.
    pub fn new(directory: &Path) -> Self {
        Self { directory: directory.to_owned(), verified: HashMap::new() }
    }

    /// Path of a program's file, once its digest is verified.
    ///
    /// # Errors
    ///
    /// If there is no such file, or it has another digest.
    pub fn verified_path(&mut self, program: &ProgramDigest) -> Result<PathBuf, ProgramError> {
        let path = self.directory.join(program.as_str());
        let failed = |error: io::Error| ProgramError::Io { path: path.clone(), error };
        let stamp = FileStamp::of(&path).map_err(failed)?;
        if self.verified.get(program) == Some(&stamp) {
            return Ok(path);
        }
        let digest = file_digest(&path).map_err(failed)?;
        if &digest != program {
            return Err(ProgramError::WrongDigest { path, digest });
        }
        // A file that changed while it was read is verified again next time.
        if FileStamp::of(&path).map_err(failed)? == stamp {
            if self.verified.len() >= MAX_REMEMBERED {
                self.verified.clear();
            }
            self.verified.insert(program.clone(), stamp);
        }
        Ok(path)
    }
}

#[cfg(test)]
mod tests;
