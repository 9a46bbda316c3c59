//! One order for versions over a few voters.
//!
//! [`voter`] is Raft by the `raft` crate over what the log comes to, [`store`] a voter's disk.

pub mod store;
pub mod voter;
