//! Operators' calls that change something: a `POST` bears a MAC made with the tier's secret over its time, a drawn number and its
//! body, good for a minute, once.

use hyper::StatusCode;
use maplehook_transport::{SecretKey, unix_ms};
use serde::de::DeserializeOwned;
use std::collections::VecDeque;
use std::sync::{Mutex, PoisonError};

/// The header that bears the MAC.
pub const MAC_HEADER: &str = "x-maplehook-mac";
/// How old a call may be.
const MAX_REQUEST_AGE_MS: u64 = 60_000;
/// The most calls that are remembered: more in a minute are refused.
const MAX_SEEN_REQUESTS: usize = 1024;
fn key(secret: &SecretKey) -> SecretKey {
    secret.derive(&[b"maplehook operator 1"])
}

fn encode_nonce(time: u64, nonce: u64) -> ([u8; 8], [u8; 8]) {
    (time.to_be_bytes(), nonce.to_be_bytes())
}

/// What a call shows: the value of its header.
pub fn sign_request(secret: &SecretKey, body: &[u8]) -> String {
    let (time, nonce) = (unix_ms(), fastrand::u64(..));
    let (time_bytes, nonce_bytes) = encode_nonce(time, nonce);
    let mac = key(secret).sign(&[&time_bytes, &nonce_bytes, body]);
    mac.iter().fold(format!("{time}.{nonce}."), |text, byte| text + &format!("{byte:02x}"))
}

/// Tells calls that are from somebody who has the secret.
pub struct RequestVerifier {
    key: SecretKey,
    seen_requests: Mutex<VecDeque<(u64, u64)>>,
}

impl RequestVerifier {
    /// Under this secret.
    pub fn new(secret: &SecretKey) -> Self {
        Self { key: key(secret), seen_requests: Mutex::default() }
    }

    /// The wish in the body of a call, or how that is answered where it is not sound.
    pub fn verify_and_parse<R: DeserializeOwned>(
        &self,
        header: Option<&str>,
        body: &[u8],
    ) -> Result<R, (StatusCode, String)> {
        if !header.is_some_and(|header| self.is_valid(header, body)) {
            let why = "not signed with the tier's secret within the last minute, or made before\n";
            return Err((StatusCode::FORBIDDEN, why.into()));
        }
        serde_json::from_slice(body).map_err(|e| (StatusCode::BAD_REQUEST, format!("no wish: {e}\n")))
    }

    /// Whether a call is from somebody who has it, is fresh, and was not made before.
    pub fn is_valid(&self, header: &str, body: &[u8]) -> bool {
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
        let (time_bytes, nonce_bytes) = encode_nonce(time, nonce);
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
