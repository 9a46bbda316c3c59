//! The settings of the membership state machine.

use crate::identity::{ProgramVersion, WIRE_VERSIONS, WireVersions};
use crate::name::Name;
use std::time::Duration;

/// The time between two probes while the local health score is 0.
pub const PROBE_PERIOD: Duration = Duration::from_millis(500);

/// The settings of one balancer's membership.
#[derive(Clone, Debug)]
pub struct ClusterSettings {
    /// The balancer's name.
    pub name: Name,
    /// The generation of this process; see [`crate::generation`].
    pub generation: u64,
    /// The generation on record before this one, if any: late datagrams of it are no second process.
    pub previous_generation: Option<u64>,
    /// The version of this program.
    pub program: ProgramVersion,
    /// The wire versions that this program speaks.
    pub wire: WireVersions,
    /// The other balancers of the configuration.
    pub peers: Vec<Name>,
    /// The seed of all random choices.
    pub seed: u64,
}

impl ClusterSettings {
    /// Returns the settings of this program under a name.
    pub fn new(name: Name, generation: u64, peers: Vec<Name>, seed: u64) -> Self {
        Self {
            name,
            generation,
            previous_generation: None,
            program: ProgramVersion::default(),
            wire: WIRE_VERSIONS,
            peers,
            seed,
        }
    }
}
