//! Admission of client connections: which are admitted, which are rejected, and which are evicted when the capacity is used up.
//! Nothing here has I/O, a clock or a source of random numbers: the embedder reports events with their times and carries out the
//! decisions. It owns the sockets; [`ConnectionAdmission`] owns what is known of the connections.
//!
//! | module | its job |
//! | --- | --- |
//! | [`connection_admission`] | the decisions at each accept, request, response and close |
//! | [`decision`] | the decisions, as they are handed to the embedder |
//! | [`rejection`] | how and why a connection is rejected |
//! | [`policy`] | the operator's settings, with their ranges |
//! | [`address`] | addresses, prefixes and sets of networks |
//! | [`token`] | signed tokens by which a request shows that its client is known |
//! | [`descriptor_budget`] | how many file descriptors clients and upstreams may hold |
//! | [`silent_connections`] | connections that have sent nothing yet, and which of them close for others |
//! | [`memory_budget`] | how many connections and how many buffered bytes the memory limit permits |
//!
//! # The rules
//!
//! 1. A connection with a request in flight is never evicted.
//! 2. The reserve belongs to known clients: an unknown one never takes its last places.
//! 3. When the capacity is used up, the connection is evicted with which least is lost: first one that has sent nothing, or has
//!    stopped within a request, for long; then one that has only sent health checks, then one that has been idle for long, then the
//!    younger ones, and last one that is still sending its request. Unknown clients are evicted before known ones.
//! 4. An address is limited by what its connections do, not by their number: only unproven connections, which have not sent a valid
//!    request yet, count against its limit, and a valid request returns what the connection took of its rate. So an address that
//!    many clients share may hold all the unreserved places with connections in use.
//! 5. Each decision takes bounded time, and memory is bounded whatever the number of addresses.
//!
//! # Example
//!
//! ```
//! use maplehook_admission::{AdmissionDecision, AdmissionPolicy, ConnectionAdmission};
//! use std::time::Duration;
//!
//! let mut admission = ConnectionAdmission::new(AdmissionPolicy::default(), 2, &[], 7);
//! let now = Duration::ZERO;
//! let client = "192.0.2.1".parse().unwrap();
//! let AdmissionDecision::Admitted { id, evicted: None } = admission.admit(now, client) else { panic!("there is capacity") };
//! admission.on_request(now, id, None, false);
//! // Its request is in flight: it is not evicted, whoever connects.
//! let AdmissionDecision::Admitted { .. } = admission.admit(now, client) else { panic!("there is capacity") };
//! let AdmissionDecision::Admitted { evicted: Some(evicted), .. } = admission.admit(now, client) else { panic!("one is evicted") };
//! assert_ne!(evicted, id);
//! ```

#![deny(
    missing_docs,
    clippy::too_many_lines,
    clippy::cognitive_complexity,
    clippy::missing_errors_doc,
    clippy::result_large_err
)]
#![cfg_attr(not(test), deny(clippy::unwrap_used))]

pub mod address;
mod connection;
pub mod connection_admission;
mod connection_table;
pub mod decision;
pub mod descriptor_budget;
mod linked_list;
pub mod memory_budget;
pub mod policy;
pub mod rejection;
pub mod silent_connections;
mod source_table;
mod tenant_connections;
pub mod token;

pub use connection_admission::ConnectionAdmission;
pub use decision::{AdmissionDecision, ConnectionId, ResponseDecision};
pub use descriptor_budget::{DescriptorBudget, DescriptorClass};
pub use memory_budget::{ConnectionLimits, MemoryBudget};
pub use policy::{AdmissionPolicy, PolicyError};
pub use rejection::{Rejection, RejectionReason};
pub use silent_connections::{Room, SilentConnections};
