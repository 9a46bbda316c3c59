//! The snapshot of a process, and whether the next one may use it.

use crate::error::SnapshotError;
use crate::format;
use maplehook_core::Availability;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// How old a snapshot may be. A process that serves writes several in that time.
pub const MAX_SNAPSHOT_AGE: Duration = Duration::from_secs(5);
/// How far the clock of its writer may be ahead.
const MAX_CLOCK_LEAD: Duration = Duration::from_secs(1);

/// An upstream as its process knew it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SnapshotEndpoint {
    /// The upstream's id.
    pub id: u64,
    /// The numbers of its zone, kind and cell.
    #[serde(rename = "place")]
    pub location: (u8, u16, u16),
    /// Its weight.
    pub weight: f64,
    /// The address on which it listens.
    pub endpoint: Option<SocketAddr>,
    /// Whether it takes requests; otherwise it drains.
    #[serde(rename = "ready")]
    pub is_ready: bool,
    /// When it started according to the list, in Unix milliseconds.
    pub boot_ms: u64,
    /// What was learned of it.
    pub learned: LearnedEndpoint,
}

/// What was learned of an upstream. Times are in seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LearnedEndpoint {
    /// How long it has been in slow start, if it is.
    #[serde(rename = "cold_for")]
    pub in_slow_start_for: Option<f64>,
    /// How long it stays ejected.
    pub ejected_for: f64,
    /// The number of its ejections in a row.
    pub ejections: u32,
    /// Its latency as a multiple of the usual one, and the number of responses behind that.
    #[serde(rename = "pace")]
    pub latency_ratio_and_samples: (f64, f64),
}

/// What a process knew.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HotRestartSnapshot {
    /// The balancer's name.
    pub name: String,
    /// When its process started, in Unix milliseconds.
    pub started_ms: u64,
    /// When the snapshot was written, in Unix milliseconds.
    pub written_ms: u64,
    /// The names of the zones and of the kinds, by number.
    #[serde(rename = "names")]
    pub zone_and_kind_names: (Vec<String>, Vec<String>),
    /// The revision up to which the list was followed.
    pub rev: u64,
    /// The list of upstreams.
    pub upstreams: Vec<SnapshotEndpoint>,
    /// Completions a second for each unit of turn weight, and in all.
    pub rates: (f64, f64),
    /// By class: the mean latency, that of those answered, the least, the usual, and the class's share.
    pub classes: BTreeMap<String, [f64; 5]>,
    /// By tenant: the tokens in its bucket, and its demand in requests a second.
    pub tenants: BTreeMap<String, (f64, f64)>,
}

/// The process that reads a snapshot.
#[derive(Clone, Copy, Debug)]
pub struct SnapshotReader<'a> {
    /// The balancer's name.
    pub name: &'a str,
    /// When the process started, in Unix milliseconds.
    pub started_ms: u64,
    /// The time now, in Unix milliseconds.
    pub now_ms: u64,
}

impl HotRestartSnapshot {
    /// Returns the file, or `None` if it would be too long.
    pub fn encode(&self) -> Option<Vec<u8>> {
        format::encode(serde_json::to_vec(self).ok()?)
    }

    /// Reads a file.
    ///
    /// # Errors
    ///
    /// Fails if the file is of another format, incomplete, too long or corrupt.
    pub fn decode(file: &[u8]) -> Result<Self, SnapshotError> {
        serde_json::from_slice(format::decode(file)?).map_err(|_| SnapshotError::Corrupt)
    }

    /// Checks that the snapshot is of the reader's predecessor and recent enough to be used, and returns its age.
    ///
    /// # Errors
    ///
    /// Tells which of these does not hold.
    pub fn check_age(&self, reader: SnapshotReader<'_>) -> Result<Duration, SnapshotError> {
        if self.name != reader.name {
            return Err(SnapshotError::OtherBalancer);
        }
        if self.started_ms >= reader.started_ms {
            return Err(SnapshotError::NotEarlier);
        }
        if self.written_ms > reader.now_ms + MAX_CLOCK_LEAD.as_millis() as u64 {
            return Err(SnapshotError::FromFuture);
        }
        let age = Duration::from_millis(reader.now_ms.saturating_sub(self.written_ms));
        if age > MAX_SNAPSHOT_AGE { Err(SnapshotError::Stale(age)) } else { Ok(age) }
    }

    /// Returns whether the snapshot is recent and of a process that started after the reader: the reader then leaves the
    /// file to it.
    pub fn is_by_successor(&self, reader: SnapshotReader<'_>) -> bool {
        let age_ms = reader.now_ms.saturating_sub(self.written_ms);
        let is_recent = age_ms <= MAX_SNAPSHOT_AGE.as_millis() as u64;
        self.name == reader.name && self.started_ms > reader.started_ms && is_recent
    }
}

impl SnapshotEndpoint {
    /// Returns the availability of the upstream.
    pub fn availability(&self) -> Availability {
        if self.is_ready { Availability::Ready } else { Availability::Draining }
    }
}
