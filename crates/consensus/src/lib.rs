//! Consensus on the versions of a configuration and on a shared document: Raft over a few voters, and every other member's part.
//!
//! [`voter`] runs Raft over the replicated state, [`store`] is a voter's disk, and [`messages`] are what members send each other.
//! [`ConsensusService`] owns the thread of one member: it renews the member's lease, on a voter it votes, and on the leader it grants
//! leases, validates proposed versions and ends transitions. Whoever serves requests watches its [`ActiveVersion`] and reports back
//! the epoch that it acts on. The rules of versions and leases themselves are in `maplehook-versions`, which has no I/O.
//!
//! # The shared document
//!
//! Beside the versions there is one document with a part for each [`PartKind`]. The leader alone proposes it ([`PartProposal`]). It is
//! pushed to all members that hold a lease, which report the number that they act on. Leases on it are granted together with those on
//! the versions, and expire whatever the policy for the latter is.
//!
//! A member whose program does not know the document reports no number, receives no document, and is listed without a number. A voter
//! of such a program ignores the entries, but counts for their majority; while it is the leader, nothing is proposed and no lease on
//! the document is granted. After an upgrade its log may lack entries that it has compacted
//! ([`SharedDocument::has_gap`](maplehook_versions::SharedDocument::has_gap)). The next entry closes the gap. If it
//! becomes the leader before that, it waits for the longest lease and continues from the highest number that members report.

#![deny(
    missing_docs,
    clippy::too_many_lines,
    clippy::cognitive_complexity,
    clippy::missing_errors_doc,
    clippy::result_large_err
)]
#![cfg_attr(not(test), deny(clippy::unwrap_used))]

mod active_version;
mod admin;
mod admin_requests;
mod bootstrap;
mod compaction;
mod config;
mod dispatch;
mod document_leases;
mod document_parts;
mod document_proposals;
mod document_state;
mod document_status;
mod error;
mod event_loop;
#[cfg(test)]
mod golden_tests;
mod join;
mod leader;
mod lease_grants;
mod lease_requests;
mod local_status;
pub mod messages;
mod part_channels;
mod phase_rules;
mod ready;
mod replicated_state;
mod rules;
mod runner;
mod send_budget;
mod service;
pub mod store;
mod validation;
pub mod voter;
mod voter_replacement;

pub use active_version::{ActiveVersion, EnforcementMode};
pub use admin::{AdminClient, LocalStatus};
pub use config::ConsensusConfig;
pub use document_parts::{DocumentPart, MAX_PART_BYTES, PartKind};
pub use error::{JoinError, ProposalError, RulesError, StartError};
pub use join::{join_cluster, join_cluster_when_free, start_consensus};
pub use part_channels::{
    LaggingMember, PartChannels, PartProposal, SHARED_DOCUMENT_TOPIC, SharedDocumentStatus,
};
pub use service::ConsensusService;
