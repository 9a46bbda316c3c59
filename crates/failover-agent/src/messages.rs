//! Messages between the agents, and operators' requests.

use maplehook_address_announcement::State;
use maplehook_failover::Document;
use maplehook_failover::rtt::{PeerRtt, RttTable};
use serde::{Deserialize, Serialize};

/// Part of the shared document for failover: one entry in the consensus log.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct AgreedState {
    /// Zone states and the failover plan.
    pub places: Document,
    /// Sites, holders and withdrawals of the service addresses.
    pub addresses: State,
    /// Round-trip times between zones. Programs without support for them omit this field and read only the
    /// fields before it.
    #[serde(rename = "trips")]
    pub rtts: RttTable,
}

impl AgreedState {
    /// Encodes the state for the log.
    pub fn encode(&self) -> Vec<u8> {
        // Encoding cannot fail: the state contains only encodable types.
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// Decodes a state from the log; `None` if it is malformed or comes from a newer program.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let ((places, addresses), rest) = postcard::take_from_bytes(bytes).ok()?;
        let rtts = if rest.is_empty() { RttTable::default() } else { postcard::from_bytes(rest).ok()? };
        let agreed = Self { places, addresses, rtts };
        let is_sound = agreed.places.is_sound() && agreed.addresses.is_sound() && agreed.rtts.is_sound();
        is_sound.then_some(agreed)
    }
}

/// Request of an operator; places and sites are given by name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OperatorRequest {
    /// Evacuates a zone or a region.
    Evacuate {
        /// Name of the zone or region.
        place: String,
        /// Duration in milliseconds; without it, the evacuation lasts until it is released.
        for_ms: Option<u64>,
        /// Evacuates even if the remaining zones lack the capacity.
        anyway: bool,
    },
    /// Pauses all plan changes.
    Hold,
    /// Ends an evacuation or a pause.
    Release {
        /// Zone or region to release; without it, all evacuations and the pause end.
        place: Option<String>,
    },
    /// Moves an address to a site.
    Move {
        /// Configured name of the address to move.
        name: String,
        /// Name of the destination site.
        site: String,
        /// Moves the address even if the site appears unhealthy.
        anyway: bool,
    },
    /// Withdraws an address from a site.
    Withdraw {
        /// Configured name of the address to withdraw.
        name: String,
        /// Region name of the site.
        site: String,
        /// Withdraws the address even from its last site.
        anyway: bool,
    },
    /// Allows a withdrawn site to announce an address again.
    Restore {
        /// Configured name of the withdrawn address.
        name: String,
        /// Region name of the site.
        site: String,
    },
}

/// Outcome of an operator's request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reply {
    /// The change is in the log under this number.
    Done(u64),
    /// Rejected for the given reason; a repeated request fails until the state changes.
    Refused(String),
    /// Not done, or the outcome is unknown; the request may be repeated safely.
    Unavailable(String),
}

/// Message between two agents.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum AgentMessage {
    /// Observations of a balancer: an encoded [`maplehook_failover::Report`].
    Report(Vec<u8>),
    /// Operator request that is forwarded to the leader.
    #[serde(rename = "Wish")]
    ForwardedRequest {
        /// Identifier that the outcome refers to.
        ticket: u64,
        /// Name of the forwarding balancer.
        by: String,
        /// Request to apply on the leader.
        #[serde(rename = "wish")]
        request: OperatorRequest,
    },
    /// Outcome of a forwarded request.
    #[serde(rename = "End")]
    RequestOutcome {
        /// Identifier of the forwarded request.
        ticket: u64,
        /// Reply to pass on to the operator.
        reply: Reply,
    },
    /// Round-trip times to the peers. A separate message, because older programs could not decode an extended
    /// report.
    #[serde(rename = "Trips")]
    RoundTripTimes(Vec<PeerRtt>),
}
