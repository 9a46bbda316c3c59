//! What balancers of a tier share, and what it signs: HMAC-SHA256 (RFC 2104), cut to 128 bits (section 5 there).

use hmac::{Hmac, Mac};
use maplehook_cluster::{DATAGRAM_MOST, MAC};
use sha2::Sha256;
use std::fmt;
use std::path::Path;

/// The least secret, in bytes.
const LEAST: usize = 16;

/// A key.
#[derive(Clone)]
pub struct Secret(Hmac<Sha256>);

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret")
    }
}

impl Secret {
    /// One made of these bytes, if they are enough.
    pub fn new(bytes: &[u8]) -> Option<Self> {
        (bytes.len() >= LEAST).then(|| Hmac::new_from_slice(bytes).ok()).flatten().map(Self)
    }

    /// The one in a file, without the white space round it.
    pub fn read(path: &Path) -> Result<Self, String> {
        let bytes = std::fs::read(path).map_err(|e| format!("{}: {e}", path.display()))?;
        Self::new(bytes.trim_ascii())
            .ok_or_else(|| format!("{}: a secret has {LEAST} bytes at least", path.display()))
    }

    /// A key of its own for one purpose: what is signed for one never passes for another.
    pub fn derive(&self, parts: &[&[u8]]) -> Self {
        let key = self.over(parts).finalize().into_bytes();
        // HMAC takes keys of any length.
        Self(Hmac::new_from_slice(&key).unwrap_or_else(|_| self.0.clone()))
    }

    fn over(&self, parts: &[&[u8]]) -> Hmac<Sha256> {
        let mut mac = self.0.clone();
        for part in parts {
            // With its length, so that no two lists of parts read the same.
            mac.update(&(part.len() as u64).to_be_bytes());
            mac.update(part);
        }
        mac
    }

    /// The MAC over some parts.
    pub fn sign(&self, parts: &[&[u8]]) -> [u8; MAC] {
        let mut mac = [0; MAC];
        mac.copy_from_slice(&self.over(parts).finalize().into_bytes()[..MAC]);
        mac
    }

    /// Whether that is the MAC over these parts, in constant time.
    pub fn verifies(&self, parts: &[&[u8]], mac: &[u8]) -> bool {
        mac.len() == MAC && self.over(parts).verify_truncated_left(mac).is_ok()
    }
}

/// Signs and checks datagrams.
#[derive(Clone, Debug)]
pub struct Datagrams(Secret);

impl Datagrams {
    /// Under the tier's secret.
    pub fn new(secret: &Secret) -> Self {
        Self(secret.derive(&[b"maplehook datagram 1"]))
    }

    /// With its MAC.
    pub fn seal(&self, mut payload: Vec<u8>) -> Vec<u8> {
        let mac = self.0.sign(&[&payload]);
        payload.extend_from_slice(&mac);
        payload
    }

    /// Without it, if it is right.
    pub fn open<'a>(&self, datagram: &'a [u8]) -> Option<&'a [u8]> {
        if datagram.len() > DATAGRAM_MOST || !datagram.starts_with(b"mh") {
            return None;
        }
        let (payload, mac) = datagram.split_at_checked(datagram.len().checked_sub(MAC)?)?;
        self.0.verifies(&[payload], mac).then_some(payload)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn short_secrets_are_none() {
        assert!(Secret::new(b"fifteen bytes..").is_none());
        assert!(Secret::new(b"sixteen bytes...").is_some());
    }

    proptest! {
        /// One bit that is changed, or another secret, and it is refused.
        #[test]
        fn what_was_changed_is_refused(mut text in prop::collection::vec(any::<u8>(), 0..200), at in any::<u16>(), bit in 0u8..8) {
            text.splice(0..0, *b"mh");
            let ours = Datagrams::new(&Secret::new(b"the secret of the tier").unwrap());
            let theirs = Datagrams::new(&Secret::new(b"another secret, longer").unwrap());
            let sealed = ours.seal(text.clone());
            prop_assert_eq!(ours.open(&sealed), Some(&text[..]));
            prop_assert!(theirs.open(&sealed).is_none());
            let mut changed = sealed.clone();
            changed[usize::from(at) % sealed.len()] ^= 1 << bit;
            prop_assert!(ours.open(&changed).is_none());
            prop_assert!(ours.open(&sealed[..sealed.len() - 1]).is_none());
        }
    }
}
