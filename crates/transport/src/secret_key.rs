//! The secret that a cluster shares, and what it authenticates: HMAC-SHA256 (RFC 2104), truncated to 128 bits (section 5
//! there).

use hmac::{Hmac, Mac};
use maplehook_cluster::{MAC_BYTES, MAX_DATAGRAM_BYTES};
use sha2::Sha256;
use std::fmt;
use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// The length of the shortest secret, in bytes.
const MIN_SECRET_BYTES: usize = 16;
/// The first bytes of a datagram.
const DATAGRAM_MAGIC: &[u8] = b"mh";

/// Why a secret can't be read.
#[derive(Debug, Error)]
pub enum SecretError {
    /// The file can't be read.
    #[error("{}: {source}", path.display())]
    Io {
        /// The file.
        path: PathBuf,
        /// The error of the system.
        source: io::Error,
    },
    /// The secret is too short.
    #[error("{}: a secret has {MIN_SECRET_BYTES} bytes at least", path.display())]
    TooShort {
        /// The file.
        path: PathBuf,
    },
}

/// A shared secret, or a key that is derived from one.
#[derive(Clone)]
pub struct SecretKey(Hmac<Sha256>);

impl fmt::Debug for SecretKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("SecretKey")
    }
}

impl SecretKey {
    /// Returns the key made of these bytes, or `None` if they are too few.
    pub fn new(bytes: &[u8]) -> Option<Self> {
        (bytes.len() >= MIN_SECRET_BYTES).then(|| Hmac::new_from_slice(bytes).ok()).flatten().map(Self)
    }

    /// Reads the secret in a file, without the white space around it.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read or the secret is too short.
    pub fn read(path: &Path) -> Result<Self, SecretError> {
        let bytes =
            std::fs::read(path).map_err(|source| SecretError::Io { path: path.to_owned(), source })?;
        Self::new(bytes.trim_ascii()).ok_or_else(|| SecretError::TooShort { path: path.to_owned() })
    }

    /// Derives a key for one purpose: what is signed for one purpose never passes for another.
    pub fn derive(&self, parts: &[&[u8]]) -> Self {
        let key = self.mac_of(parts).finalize().into_bytes();
        // HMAC takes keys of any length.
        Self(Hmac::new_from_slice(&key).unwrap_or_else(|_| self.0.clone()))
    }

    fn mac_of(&self, parts: &[&[u8]]) -> Hmac<Sha256> {
        let mut mac = self.0.clone();
        for part in parts {
            // With its length, so that no two lists of parts read the same.
            mac.update(&(part.len() as u64).to_be_bytes());
            mac.update(part);
        }
        mac
    }

    /// Returns the MAC over these parts.
    pub fn sign(&self, parts: &[&[u8]]) -> [u8; MAC_BYTES] {
        let mut mac = [0; MAC_BYTES];
        mac.copy_from_slice(&self.mac_of(parts).finalize().into_bytes()[..MAC_BYTES]);
        mac
    }

    /// Returns whether this is the MAC over these parts, in constant time.
    pub fn verify(&self, parts: &[&[u8]], mac: &[u8]) -> bool {
        mac.len() == MAC_BYTES && self.mac_of(parts).verify_truncated_left(mac).is_ok()
    }
}

/// Adds MACs to datagrams, and verifies them.
#[derive(Clone, Debug)]
pub struct DatagramAuthenticator(SecretKey);

impl DatagramAuthenticator {
    /// Returns the authenticator under a cluster's secret.
    pub fn new(secret: &SecretKey) -> Self {
        Self(secret.derive(&[b"maplehook datagram 1"]))
    }

    /// Returns the datagram: the payload with its MAC.
    pub fn seal(&self, mut payload: Vec<u8>) -> Vec<u8> {
        let mac = self.0.sign(&[&payload]);
        payload.extend_from_slice(&mac);
        payload
    }

    /// Returns the payload, or `None` if the MAC is wrong or the datagram too short or too long.
    pub fn open<'a>(&self, datagram: &'a [u8]) -> Option<&'a [u8]> {
        if datagram.len() > MAX_DATAGRAM_BYTES || !datagram.starts_with(DATAGRAM_MAGIC) {
            return None;
        }
        let (payload, mac) = datagram.split_at_checked(datagram.len().checked_sub(MAC_BYTES)?)?;
        self.0.verify(&[payload], mac).then_some(payload)
    }
}

#[cfg(test)]
mod tests;
