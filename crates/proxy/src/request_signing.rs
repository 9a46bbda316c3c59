//! Signs and verifies admin requests that change state. A `POST` carries a MAC over its time, a random nonce
//! and its body, computed with the tier's secret. A signature is valid for a minute and can be used once.

use hyper::StatusCode;
use maplehook_transport::{SecretKey, unix_ms};
use serde::de::DeserializeOwned;
use std::collections::VecDeque;
use std::sync::{Mutex, PoisonError};

/// Header that carries the time, the nonce and the MAC.
pub const MAC_HEADER: &str = "x-maplehook-mac";
/// Largest difference between the time of a request and the local clock, in milliseconds.
const MAX_REQUEST_AGE_MS: u64 = 60_000;
/// Maximum number of recent signatures that are stored to detect replays. Further requests are rejected,
/// because their replays could not be detected.
const MAX_SEEN_REQUESTS: usize = 1024;
fn derive_key(secret: &SecretKey) -> SecretKey {
    secret.derive(&[b"maplehook operator 1"])
}

fn to_be_bytes(time: u64, nonce: u64) -> ([u8; 8], [u8; 8]) {
    (time.to_be_bytes(), nonce.to_be_bytes())
}

/// Returns the value of [`MAC_HEADER`] for a request body.
pub fn sign_request(secret: &SecretKey, body: &[u8]) -> String {
    let (time, nonce) = (unix_ms(), fastrand::u64(..));
    let (time_bytes, nonce_bytes) = to_be_bytes(time, nonce);
    let mac = derive_key(secret).sign(&[&time_bytes, &nonce_bytes, body]);
    mac.iter().fold(format!("{time}.{nonce}."), |text, byte| text + &format!("{byte:02x}"))
}

/// Verifies signatures of admin requests and detects replays.
pub struct RequestVerifier {
    key: SecretKey,
    seen_requests: Mutex<VecDeque<(u64, u64)>>,
}

impl RequestVerifier {
    /// Creates a verifier for the tier's secret.
    pub fn new(secret: &SecretKey) -> Self {
        Self { key: derive_key(secret), seen_requests: Mutex::default() }
    }

    /// Parses a signed request body. Returns the error response if the signature or the body is invalid.
    pub fn verify_and_parse<R: DeserializeOwned>(
        &self,
        header: Option<&str>,
        body: &[u8],
    ) -> Result<R, (StatusCode, String)> {
        if !header.is_some_and(|header| self.is_signature_valid(header, body)) {
            let why = "not signed with the tier's secret within the last minute, or made before\n";
            return Err((StatusCode::FORBIDDEN, why.into()));
        }
        serde_json::from_slice(body).map_err(|e| (StatusCode::BAD_REQUEST, format!("no wish: {e}\n")))
    }

    /// Returns true if the signature is valid, recent and not yet used.
    pub fn is_signature_valid(&self, header: &str, body: &[u8]) -> bool {
        let mut fields = header.split('.');
        let (Some(Ok(time)), Some(Ok(nonce)), Some(hex), None) = (
            fields.next().map(str::parse::<u64>),
            fields.next().map(str::parse::<u64>),
            fields.next(),
            fields.next(),
        ) else {
            return false;
        };
        let mac: Option<Vec<u8>> = (hex.is_ascii() && hex.len() % 2 == 0)
            .then(|| {
                (0..hex.len() / 2).map(|n| u8::from_str_radix(&hex[2 * n..2 * n + 2], 16).ok()).collect()
            })
            .flatten();
        let (time_bytes, nonce_bytes) = to_be_bytes(time, nonce);
        let now = unix_ms();
        if now.abs_diff(time) > MAX_REQUEST_AGE_MS
            || !mac.is_some_and(|mac| self.key.verify(&[&time_bytes, &nonce_bytes, body], &mac))
        {
            return false;
        }
        let mut seen_requests = self.seen_requests.lock().unwrap_or_else(PoisonError::into_inner);
        while seen_requests
            .front()
            .is_some_and(|(time, _)| now.saturating_sub(*time) > 2 * MAX_REQUEST_AGE_MS)
        {
            seen_requests.pop_front();
        }
        if seen_requests.contains(&(time, nonce)) || seen_requests.len() >= MAX_SEEN_REQUESTS {
            return false;
        }
        seen_requests.push_back((time, nonce));
        true
    }
}
