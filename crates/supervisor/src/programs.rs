//! The directory of programs: each file is called by its own SHA-256. Nothing is fetched.

use crate::memory::Digest;
use sha2::{Digest as _, Sha256};
use std::collections::HashMap;
use std::fs::{self, File};
use std::io;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};

/// Files whose digest is remembered.
const REMEMBERED: usize = 64;

/// What a file was when its digest was taken: inode, length, last changes in nanoseconds.
type Stamp = (u64, u64, i128, i128);

/// The directory.
#[derive(Debug)]
pub struct Programs {
    directory: PathBuf,
    seen: HashMap<Digest, Stamp>,
}

/// The SHA-256 of a file.
pub fn digest(path: &Path) -> io::Result<Digest> {
    let mut hash = Sha256::new();
    io::copy(&mut File::open(path)?, &mut hash)?;
    let text: String = hash.finalize().iter().map(|byte| format!("{byte:02x}")).collect();
    Digest::new(&text).ok_or_else(|| io::Error::other("no digest"))
}

impl Programs {
    /// This directory.
    pub fn new(directory: &Path) -> Self {
        Self { directory: directory.to_owned(), seen: HashMap::new() }
    }

    /// The file of a program, if it is there and is what its name says.
    pub fn fit(&mut self, program: &Digest) -> Result<PathBuf, String> {
        let path = self.directory.join(program.as_str());
        let told = |e: io::Error| format!("{}: {e}", path.display());
        let stamp = || {
            let file = fs::metadata(&path)?;
            let at = |seconds: i64, ns: i64| i128::from(seconds) * 1_000_000_000 + i128::from(ns);
            let changed = (at(file.mtime(), file.mtime_nsec()), at(file.ctime(), file.ctime_nsec()));
            Ok((file.ino(), file.len(), changed.0, changed.1))
        };
        let before: Stamp = stamp().map_err(told)?;
        if self.seen.get(program) == Some(&before) {
            return Ok(path);
        }
        let found = digest(&path).map_err(told)?;
        if &found != program {
            return Err(format!("{}: its SHA-256 is {found}", path.display()));
        }
        // One that changed meanwhile is looked at again.
        if stamp().map_err(told)? == before {
            if self.seen.len() >= REMEMBERED {
                self.seen.clear();
            }
            self.seen.insert(program.clone(), before);
        }
        Ok(path)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_program_is_taken_by_its_digest_alone() {
        let place = std::env::temp_dir().join(format!("maplehook-programs-{}", std::process::id()));
        fs::create_dir_all(&place).unwrap();
        // FIPS 180-2, appendix B.1.
        let abc = Digest::new("ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad").unwrap();
        let mut programs = Programs::new(&place);
        assert!(programs.fit(&abc).unwrap_err().contains("No such file"));
        fs::write(place.join(abc.as_str()), "abc").unwrap();
        assert!(programs.fit(&abc).is_ok() && programs.fit(&abc).is_ok());
        // The same length, another content.
        fs::write(place.join(abc.as_str()), "abd").unwrap();
        assert!(programs.fit(&abc).unwrap_err().contains("its SHA-256 is"));
        fs::remove_dir_all(&place).unwrap();
    }
}
