//! Versioned configuration with leases: how members of a cluster move from one version to the next, with a bound on how long two of
//! them may enforce conflicting rules. There is no I/O and no clock here; `maplehook-consensus` runs it.
//!
//! - [`VersionState`] is the replicated state machine, which [`Command`]s drive through [`Phase`]s.
//! - [`LeaseManager`] is the leader's side of leases on a phase, [`LeaseHolder`] a member's; [`LeaseTimes`] has their durations.
//! - [`SharedDocument`] is one body of bytes beside the versions, with [`DocumentLeaseManager`] and [`DocumentLeaseHolder`] for its
//!   leases.
//! - [`compatibility`] says which versions conflict, and reads two versions as strictly as either; [`locality_rules`] is its part for
//!   zones and regions.
//! - [`StableIds`] keeps the ids of classes, tenants and zones across versions.
//!
//! `docs/design/agreement.md` has the reasons.

#![deny(
    missing_docs,
    clippy::too_many_lines,
    clippy::cognitive_complexity,
    clippy::missing_errors_doc,
    clippy::result_large_err
)]
#![cfg_attr(not(test), deny(clippy::unwrap_used))]

mod command;
pub mod compatibility;
mod document_leases;
mod lease_holder;
mod lease_manager;
mod lease_times;
pub mod locality_rules;
mod shared_document;
mod stable_ids;
mod version_state;

pub use command::{Command, CommandError, MAX_BODY_BYTES, MAX_TEXT_BYTES};
pub use document_leases::{DocumentLeaseHolder, DocumentLeaseManager};
pub use lease_holder::{EffectiveRules, LeaseHolder, PhaseUpdate};
pub use lease_manager::{LeaseManager, PendingMember};
pub use lease_times::{LeaseExpiryPolicy, LeaseTimes, MAX_CLOCK_DRIFT, MAX_CONFLICT, MIN_CONFLICT};
pub use shared_document::SharedDocument;
pub use stable_ids::{ResolvedRules, StableIds};
pub use version_state::{MAX_TOTAL_TEXT_BYTES, MAX_VERSIONS, Phase, Version, VersionState, digest};
