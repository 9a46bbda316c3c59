//! The signed token by which a request shows that its client is known to the operator: `v1.TENANT.EXPIRY.SIGNATURE`.
//!
//! `EXPIRY` is Unix time in seconds, `SIGNATURE` the HMAC-SHA256 (RFC 2104) of all that stands before its dot,
//! in lower-case hexadecimal. The tenant's name holds no dot. Whoever has the token may use it until it
//! expires: it is for networks that the operator trusts to keep it secret.

use hmac::{Hmac, Mac};
use sha2::Sha256;
use std::fmt;
use thiserror::Error;

/// The longest token, in bytes.
const MAX_TOKEN_BYTES: usize = 512;
/// The shortest secret, in bytes.
const MIN_SECRET_BYTES: usize = 16;

/// Why a token is not valid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum TokenError {
    /// It has not the form of a token.
    #[error("not of the form v1.TENANT.EXPIRY.SIGNATURE")]
    Malformed,
    /// It was not signed with this secret.
    #[error("not signed with this secret")]
    Forged,
    /// It has expired.
    #[error("expired")]
    Expired,
}

/// Signs and verifies tokens.
#[derive(Clone)]
pub struct TokenSigner(Hmac<Sha256>);

impl fmt::Debug for TokenSigner {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Signer(secret)")
    }
}

impl TokenSigner {
    /// A signer with this secret; `None` if it has fewer than 16 bytes and could be guessed.
    pub fn new(secret: &[u8]) -> Option<Self> {
        (secret.len() >= MIN_SECRET_BYTES).then(|| Hmac::new_from_slice(secret).ok()).flatten().map(Self)
    }

    /// A token of a tenant that is valid until `expiry`, in seconds of Unix time. `None` if the name can't stand in a token.
    pub fn sign(&self, tenant: &str, expiry: u64) -> Option<String> {
        let fits = !tenant.is_empty() && tenant.bytes().all(|b| b.is_ascii_graphic() && b != b'.');
        let text = format!("v1.{tenant}.{expiry}");
        let signature = self.mac(text.as_bytes()).finalize().into_bytes();
        let token = signature.iter().fold(text + ".", |token, byte| token + &format!("{byte:02x}"));
        (fits && token.len() <= MAX_TOKEN_BYTES).then_some(token)
    }

    /// The tenant that a token names, at Unix time `now` in seconds.
    ///
    /// # Errors
    ///
    /// If the token is malformed, was signed with another secret, or has expired.
    pub fn verify<'a>(&self, token: &'a str, now: u64) -> Result<&'a str, TokenError> {
        let parts = || {
            let (text, signature) = token.rsplit_once('.')?;
            let mut fields = text.split('.');
            let (version, tenant, expiry) = (fields.next()?, fields.next()?, fields.next()?);
            let plain = version == "v1" && fields.next().is_none() && !tenant.is_empty();
            let digits = !expiry.is_empty() && expiry.bytes().all(|b| b.is_ascii_digit());
            let signature = decode_hex(signature)?;
            (plain && digits).then_some((text, tenant, expiry.parse().ok()?, signature))
        };
        let parts = (token.len() <= MAX_TOKEN_BYTES).then(parts).flatten();
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

/// The bytes of a text in lower-case hexadecimal; `None` if it is none.
fn decode_hex(text: &str) -> Option<Vec<u8>> {
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
mod tests;
