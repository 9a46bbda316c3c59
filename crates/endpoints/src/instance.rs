//! Instances as a source reports them.

use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Status of an instance, as reported by a source.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum InstanceStatus {
    /// The instance takes requests.
    Up,
    /// The instance reported a failure or failed a check.
    Down,
    /// An operator took the instance out of service.
    OutOfService,
    /// The instance has not finished starting.
    Starting,
    /// The source does not know the status.
    Unknown,
}

impl InstanceStatus {
    /// Returns true if the instance may take requests.
    pub fn is_up(self) -> bool {
        self == Self::Up
    }
}

/// An instance with the attributes that a source reports.
#[derive(Clone, Debug, PartialEq)]
pub struct Instance {
    /// Identity of the instance, unique within the fleet.
    pub key: String,
    /// Address the instance listens on. `None` if the source reports no usable address; the instance then
    /// gets no new requests.
    pub address: Option<SocketAddr>,
    /// Status reported by the source.
    pub status: InstanceStatus,
    /// Version of the reported data, in the source's numbering. A later change has a larger version.
    pub version: u64,
    /// Start of the process, in milliseconds of Unix time. 0 if not known.
    pub boot_ms: u64,
    /// Relative capacity; 1 is the default.
    pub weight: f64,
    /// Labels such as zone, kind and cell, by name.
    pub labels: BTreeMap<String, String>,
}

impl Instance {
    /// Creates an instance without address and labels, with weight 1.
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
