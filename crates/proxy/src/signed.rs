//! Operators' calls that change something: a `POST` bears a MAC made with the tier's secret over its time, a drawn number and its
//! body, good for a minute, once.

use hyper::StatusCode;
use maplehook_transport::{SecretKey, unix_ms};
use serde::de::DeserializeOwned;
use std::collections::VecDeque;
use std::sync::{Mutex, PoisonError};

/// The header that bears the MAC.
pub const MAC: &str = "x-maplehook-mac";
/// How old a call may be.
const FRESH_MS: u64 = 60_000;
/// The most calls that are remembered: more in a minute are refused.
const SEEN_MOST: usize = 1024;
fn key(secret: &SecretKey) -> SecretKey {
    secret.derive(&[b"maplehook operator 1"])
}

fn parts(time: u64, number: u64) -> ([u8; 8], [u8; 8]) {
    (time.to_be_bytes(), number.to_be_bytes())
}

/// What a call shows: the value of its header.
pub fn signed(secret: &SecretKey, body: &[u8]) -> String {
    let (time, number) = (unix_ms(), fastrand::u64(..));
    let (at, drawn) = parts(time, number);
    let mac = key(secret).sign(&[&at, &drawn, body]);
    mac.iter().fold(format!("{time}.{number}."), |text, byte| text + &format!("{byte:02x}"))
}

/// Tells calls that are from somebody who has the secret.
pub struct Seal {
    key: SecretKey,
    seen: Mutex<VecDeque<(u64, u64)>>,
}

impl Seal {
    /// Under this secret.
    pub fn new(secret: &SecretKey) -> Self {
        Self { key: key(secret), seen: Mutex::default() }
    }

    /// The wish in the body of a call, or how that is answered where it is not sound.
    pub fn opened<W: DeserializeOwned>(
        &self,
        header: Option<&str>,
        body: &[u8],
    ) -> Result<W, (StatusCode, String)> {
        if !header.is_some_and(|header| self.is_sound(header, body)) {
            let why = "not signed with the tier's secret within the last minute, or made before\n";
            return Err((StatusCode::FORBIDDEN, why.into()));
        }
        serde_json::from_slice(body).map_err(|e| (StatusCode::BAD_REQUEST, format!("no wish: {e}\n")))
    }

    /// Whether a call is from somebody who has it, is fresh, and was not made before.
    pub fn is_sound(&self, header: &str, body: &[u8]) -> bool {
        let mut words = header.split('.');
        let (Some(Ok(time)), Some(Ok(number)), Some(hex), None) = (
            words.next().map(str::parse::<u64>),
            words.next().map(str::parse::<u64>),
            words.next(),
            words.next(),
        ) else {
            return false;
        };
        let mac: Option<Vec<u8>> = (hex.is_ascii() && hex.len() % 2 == 0)
            .then(|| {
                (0..hex.len() / 2).map(|n| u8::from_str_radix(&hex[2 * n..2 * n + 2], 16).ok()).collect()
            })
            .flatten();
        let (at, drawn) = parts(time, number);
        let now = unix_ms();
        if now.abs_diff(time) > FRESH_MS
            || !mac.is_some_and(|mac| self.key.verify(&[&at, &drawn, body], &mac))
        {
            return false;
        }
        let mut seen = self.seen.lock().unwrap_or_else(PoisonError::into_inner);
        while seen.front().is_some_and(|(time, _)| now.saturating_sub(*time) > 2 * FRESH_MS) {
            seen.pop_front();
        }
        if seen.contains(&(time, number)) || seen.len() >= SEEN_MOST {
            return false;
        }
        seen.push_back((time, number));
        true
    }
}
