//! The signed word by which a client shows that the operator knows it: `v1.TENANT.EXPIRY.SIGNATURE`.
//!
//! `EXPIRY` is Unix time in seconds, `SIGNATURE` the HMAC-SHA256 (RFC 2104) of all that stands before its dot,
//! in lower-case hexadecimal. The tenant's name holds no dot. Whoever has the word may use it until it
//! expires: it is for networks that the operator trusts to keep it.

use hmac::{Hmac, Mac};
use sha2::Sha256;
use std::fmt;

/// The longest word that is looked at.
const LONGEST: usize = 512;

/// Why a word is not believed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenError {
    /// It has not the form of one.
    Malformed,
    /// It was not signed with this secret.
    Forged,
    /// Its time is over.
    Expired,
}

impl fmt::Display for TokenError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Malformed => "not of the form v1.TENANT.EXPIRY.SIGNATURE",
            Self::Forged => "not signed with this secret",
            Self::Expired => "expired",
        })
    }
}

impl std::error::Error for TokenError {}

/// Signs and checks words.
#[derive(Clone)]
pub struct Signer(Hmac<Sha256>);

impl fmt::Debug for Signer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Signer(secret)")
    }
}

impl Signer {
    /// One with this secret; at least 16 bytes of it keep it from being guessed.
    pub fn new(secret: &[u8]) -> Option<Self> {
        (secret.len() >= 16).then(|| Hmac::new_from_slice(secret).ok()).flatten().map(Self)
    }

    /// A word for a tenant, good until `expiry`. `None` where the name can't stand in one.
    pub fn sign(&self, tenant: &str, expiry: u64) -> Option<String> {
        let fits = !tenant.is_empty() && tenant.bytes().all(|b| b.is_ascii_graphic() && b != b'.');
        let text = format!("v1.{tenant}.{expiry}");
        let signature = self.mac(text.as_bytes()).finalize().into_bytes();
        let word = signature.iter().fold(text + ".", |word, byte| word + &format!("{byte:02x}"));
        (fits && word.len() <= LONGEST).then_some(word)
    }

    /// The tenant whom a word names, at Unix time `now`.
    pub fn check<'a>(&self, word: &'a str, now: u64) -> Result<&'a str, TokenError> {
        let parts = || {
            let (text, signature) = word.rsplit_once('.')?;
            let mut fields = text.split('.');
            let (version, tenant, expiry) = (fields.next()?, fields.next()?, fields.next()?);
            let plain = version == "v1" && fields.next().is_none() && !tenant.is_empty();
            let digits = !expiry.is_empty() && expiry.bytes().all(|b| b.is_ascii_digit());
            let signature = hex(signature)?;
            (plain && digits).then_some((text, tenant, expiry.parse().ok()?, signature))
        };
        let parts = (word.len() <= LONGEST).then(parts).flatten();
        let (text, tenant, expiry, signature): (_, _, u64, _) = parts.ok_or(TokenError::Malformed)?;
        self.mac(text.as_bytes()).verify_slice(&signature).map_err(|_| TokenError::Forged)?;
        if expiry <= now { Err(TokenError::Expired) } else { Ok(tenant) }
    }

    fn mac(&self, text: &[u8]) -> Hmac<Sha256> {
        let mut mac = self.0.clone();
        mac.update(text);
        mac
    }
}

fn hex(text: &str) -> Option<Vec<u8>> {
    let digit = |b: u8| match b {
        b'0'..=b'9' => Some(b - b'0'),
        b'a'..=b'f' => Some(b - b'a' + 10),
        _ => None,
    };
    let bytes = text.as_bytes();
    let pairs = bytes.chunks_exact(2).map(|pair| Some(digit(pair[0])? << 4 | digit(pair[1])?));
    if bytes.len().is_multiple_of(2) { pairs.collect() } else { None }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn signer() -> Signer {
        Signer::new(b"sixteen bytes or more").unwrap()
    }

    #[test]
    fn a_word_is_good_until_it_expires() {
        let word = signer().sign("wadi-lodge", 1000).unwrap();
        assert_eq!(signer().check(&word, 999), Ok("wadi-lodge"));
        assert_eq!(signer().check(&word, 1000), Err(TokenError::Expired));
        let other = Signer::new(b"another secret of ours").unwrap();
        assert_eq!(other.check(&word, 999), Err(TokenError::Forged));
        assert!(Signer::new(b"short").is_none());
        assert_eq!((signer().sign("a.b", 1), signer().sign("", 1)), (None, None));
        assert!(!format!("{:?}", signer()).contains("sixteen"));
    }

    proptest! {
        /// Guards against a word changed anywhere, and against a panic on whatever a peer sends.
        #[test]
        fn no_changed_word_is_believed(at in 0_usize..90, byte in 0_u8..128, noise in ".{0,80}") {
            let word = signer().sign("wadi-lodge", 1000).unwrap();
            let mut changed = word.clone().into_bytes();
            let at = at % changed.len();
            changed[at] = byte;
            let changed = String::from_utf8(changed).unwrap();
            prop_assert_eq!(signer().check(&changed, 1).is_ok(), changed == word);
            prop_assert!(signer().check(&noise, 1).is_err());
            prop_assert!(signer().check(&word[..at], 1).is_err());
        }
    }
}
