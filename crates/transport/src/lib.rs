//! The peer transport of a cluster, and the thread that runs it.
//!
//! [`ClusterNode`] runs one balancer's membership: datagrams carry the gossip of `maplehook_cluster`, framed messages on
//! connections what is too long for a datagram. Both bear a MAC under a secret that the cluster shares.
//! `docs/design/tier.md` has the reasons.
//!
//! The thread of a node owns its sockets, its state directory and all connections; whoever starts a node owns the
//! configuration and the channels to it. What a message of another topic means is decided by its sender and its receiver.
#![deny(
    missing_docs,
    clippy::too_many_lines,
    clippy::cognitive_complexity,
    clippy::missing_errors_doc,
    clippy::result_large_err
)]
#![cfg_attr(not(test), deny(clippy::unwrap_used))]

mod channels;
mod config;
pub mod connection;
pub mod connection_pool;
mod event_loop;
pub mod frames;
mod gossip_message;
pub mod handshake;

mod node;
mod secret_key;
pub mod send_queue;
mod startup;
pub mod state_directory;
mod status;

pub use channels::{GossipSnapshot, MeasuredRtts, PeerChannel};
pub use config::NodeConfig;
pub use node::ClusterNode;
pub use secret_key::{DatagramAuthenticator, SecretError, SecretKey};
pub use startup::unix_ms;
pub use status::{NodeStatus, StatusClient};
