//! Bodies by which a lost part shows, and what an application tells of a request.

use hyper::HeaderMap;
use serde::{Deserialize, Serialize};
use std::time::Instant;

/// Byte `n` of a long body: no two near one another are alike, so that a part that is missing shows.
pub fn pattern(n: usize) -> u8 {
    ((n as u64).wrapping_mul(2_654_435_761) >> 13) as u8
}

/// So many bytes of it.
pub fn patterned(length: usize) -> Vec<u8> {
    (0..length).map(pattern).collect()
}

/// What `/echo` tells.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Echo {
    /// The method.
    pub method: String,
    /// The target as it came.
    pub target: String,
    /// The headers in their order, names in lower case.
    pub headers: Vec<(String, String)>,
    /// The body's length.
    pub length: usize,
    /// Whether it was [`pattern`] throughout.
    pub patterned: bool,
    /// The trailers.
    pub trailers: Vec<(String, String)>,
}

impl Echo {
    /// The value of the first header of this name.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, value)| value.as_str())
    }
}

/// A request as it came.
#[derive(Clone, Debug)]
pub struct Seen {
    /// Its method.
    pub method: String,
    /// Its target.
    pub target: String,
    /// Its headers.
    pub headers: HeaderMap,
    /// When its head came.
    pub at: Instant,
}
