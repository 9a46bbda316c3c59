//! What balancers say to one another of places, and what operators want.

use maplehook_address_announcement::State;
use maplehook_failover::Document;
use maplehook_failover::rtt::{PeerRtt, RttTable};
use serde::{Deserialize, Serialize};

/// All that is agreed on beside versions: one body in the agreement's log.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct AgreedState {
    /// Zones, and where requests go.
    pub places: Document,
    /// Service addresses.
    pub addresses: State,
    /// Round trips between zones. Programs that know none leave it out, and read what stands before it.
    #[serde(rename = "trips")]
    pub rtts: RttTable,
}

impl AgreedState {
    /// For the log.
    pub fn encode(&self) -> Vec<u8> {
        // Nothing in it is of a kind that can't be encoded.
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// From the log; `None` for what is none, as of a later program.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let ((places, addresses), rest) = postcard::take_from_bytes(bytes).ok()?;
        let rtts = if rest.is_empty() { RttTable::default() } else { postcard::from_bytes(rest).ok()? };
        let agreed = Self { places, addresses, rtts };
        let sound = agreed.places.is_sound() && agreed.addresses.is_sound() && agreed.rtts.is_sound();
        sound.then_some(agreed)
    }
}

/// What an operator wants. Places and sites go by their names.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OperatorRequest {
    /// A zone or a region is taken out.
    Evacuate {
        /// Which.
        place: String,
        /// For how long; until it is released if there is none.
        for_ms: Option<u64>,
        /// Though the rest could not bear it.
        anyway: bool,
    },
    /// The plan stays as it is.
    Hold,
    /// What was held or taken out is so no more.
    Release {
        /// The zone or region; all, and the hold, if there is none.
        place: Option<String>,
    },
    /// An address goes to a site.
    Move {
        /// Which.
        name: String,
        /// Where.
        site: String,
        /// Though it seems ill.
        anyway: bool,
    },
    /// A site announces an address no more.
    Withdraw {
        /// Which.
        name: String,
        /// Where.
        site: String,
        /// Though it is the last.
        anyway: bool,
    },
    /// It may again.
    Restore {
        /// Which.
        name: String,
        /// Where.
        site: String,
    },
}

/// How a wish ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reply {
    /// It stands in the log under this number.
    Done(u64),
    /// It is not done, and why; asking again is of no use as long as things stand so.
    Refused(String),
    /// It is not done, or nobody knows; asking again is harmless.
    Unavailable(String),
}

/// What is said.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum AgentMessage {
    /// What a balancer sees: an encoded [`maplehook_failover::Report`].
    Report(Vec<u8>),
    /// An operator's wish, passed on to the leader.
    #[serde(rename = "Wish")]
    ForwardedRequest {
        /// By which its end is known.
        ticket: u64,
        /// Who passes it on.
        by: String,
        /// What.
        #[serde(rename = "wish")]
        request: OperatorRequest,
    },
    /// Its end.
    #[serde(rename = "End")]
    RequestOutcome {
        /// Which.
        ticket: u64,
        /// How.
        reply: Reply,
    },
    /// Round trips to other balancers. A message of its own: reports stay as programs before it read them.
    #[serde(rename = "Trips")]
    RoundTripTimes(Vec<PeerRtt>),
}
