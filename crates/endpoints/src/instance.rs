//! What a source says of one instance.

use std::collections::BTreeMap;
use std::net::SocketAddr;

/// How an instance stands, by a source's word.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum InstanceStatus {
    /// It takes requests.
    Up,
    /// It has said, or was found, not to work.
    Down,
    /// An operator has taken it off.
    OutOfService,
    /// It starts.
    Starting,
    /// The source does not know.
    Unknown,
}

impl InstanceStatus {
    /// Whether requests may go there.
    pub fn is_up(self) -> bool {
        self == Self::Up
    }
}

/// An instance, as a source lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct Instance {
    /// By what it is known.
    pub key: String,
    /// Where it listens; `None` if the source says so in no usable way. Such a one is not offered.
    pub address: Option<SocketAddr>,
    /// How it stands.
    pub status: InstanceStatus,
    /// When it last changed, in the source's own numbers: later ones are larger.
    pub version: u64,
    /// When its process started, Unix time in milliseconds; 0 if not known.
    pub boot_ms: u64,
    /// What it can do, in multiples of another.
    pub weight: f64,
    /// Zone, kind, cell and whatever else is said of it, by name.
    pub labels: BTreeMap<String, String>,
}

impl Instance {
    /// One of which no more is known.
    pub fn new(key: impl Into<String>, status: InstanceStatus) -> Self {
        Self {
            key: key.into(),
            address: None,
            status,
            version: 0,
            boot_ms: 0,
            weight: 1.0,
            labels: BTreeMap::new(),
        }
    }
}
