//! One order for versions over a few voters, and a balancer's part in it.
//!
//! [`voter`] is Raft by the `raft` crate over what the log comes to, [`store`] a voter's disk, [`talk`] what balancers say to one
//! another, [`Agreeing`] the thread on which one takes part.

mod active_version;
mod bootstrap;
mod document_parts;
mod document_status;
#[cfg(test)]
mod golden_tests;
mod join;
mod leader;
mod lease_requests;
mod local_status;
pub mod messages;
mod ready;
mod replicated_state;
mod runner;
mod service;
mod shared_document;
pub mod store;
mod validation;
pub mod voter;

pub use active_version::{ActiveVersion, EnforcementMode, LocalStatus};
pub use document_parts::{MAX_PART_BYTES, PartKind};
pub use join::{agree, join, join_when_free};
pub use service::{AdminClient, ConsensusConfig, ConsensusService};
pub use shared_document::{
    DocumentPart, LaggingMember, PartChannels, PartProposal, SHARED_DOCUMENT_TOPIC, SharedDocumentStatus,
};
