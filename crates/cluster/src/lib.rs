//! Cluster membership and endpoint gossip among balancers, without I/O, clock or unseeded randomness.
//!
//! [`Cluster`] is the state machine of one balancer: it is given datagrams and the time, and returns what to send and
//! what has changed. [`endpoint_gossip`] holds what balancers announce of upstreams, and [`merge_policy::MergePolicy`]
//! decides what one balancer makes of it. `docs/design/tier.md` has the reasons.
//!
//! The caller owns sockets, clock, state directory and authentication (see the crate `maplehook-transport`); this crate
//! owns the wire form of datagrams, membership, failure detection and the store of announcements.
//!
//! ```
//! use maplehook_cluster::{Cluster, ClusterSettings, Name, Output};
//! use std::time::Duration;
//!
//! let name = |text| Name::new(text).unwrap();
//! let mut b1 = Cluster::new(ClusterSettings::new(name("b1"), 1, vec![name("b2")], 7), Duration::ZERO);
//! let mut b2 = Cluster::new(ClusterSettings::new(name("b2"), 1, vec![name("b1")], 8), Duration::ZERO);
//! for ms in (0..1000).map(Duration::from_millis) {
//!     b1.poll(ms);
//!     b2.poll(ms);
//!     for output in b1.take_outputs() {
//!         if let Output::Send(_, datagram) = output { b2.handle_datagram(ms, &datagram).unwrap(); }
//!     }
//!     for output in b2.take_outputs() {
//!         if let Output::Send(_, datagram) = output { b1.handle_datagram(ms, &datagram).unwrap(); }
//!     }
//! }
//! assert!(b1.is_alive(&name("b2")) && b2.is_alive(&name("b1")));
//! ```
#![deny(
    missing_docs,
    clippy::too_many_lines,
    clippy::cognitive_complexity,
    clippy::missing_errors_doc,
    clippy::result_large_err
)]
#![cfg_attr(not(test), deny(clippy::unwrap_used))]

mod absent_peers;
mod actions;
mod cluster;
pub mod endpoint_gossip;
mod events;
mod foca_adapter;
pub mod generation;
pub mod hash;
mod identity;
mod member_list;
pub mod merge_policy;
mod name;
mod poll;
mod receive;
mod replay_window;
pub mod rtt;
mod settings;
mod suspicion;
mod wire;

pub use cluster::Cluster;
pub use events::{DatagramCounters, DatagramError, MembershipEvent, Output};
pub use identity::{Identity, IncompatibleVersionError, ProgramVersion, WIRE_VERSIONS, WireVersions};
pub use member_list::{ExclusionReason, MemberState, MemberStatus};
pub use name::{MAX_NAME_BYTES, Name};
pub use replay_window::ReplayError;
pub use rtt::RttEstimator;
pub use settings::{ClusterSettings, PROBE_PERIOD};
pub use wire::{MAC_BYTES, MAX_DATAGRAM_BYTES, MAX_PAYLOAD_BYTES, reports_dead_member};
