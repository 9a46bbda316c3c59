//! The rules of connection admission, for any order of events and in the floods that it is made for.

mod eviction;
mod invariants;
mod known_clients;
mod source_limits;

use maplehook_admission::{AdmissionDecision, AdmissionPolicy, ConnectionId};
use std::net::{IpAddr, Ipv4Addr};
use std::time::Duration;

/// A time in milliseconds.
fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// The address of a client.
fn ip(n: u32) -> IpAddr {
    Ipv4Addr::from(0x7f00_0000 + n).into()
}

/// The connection that was admitted, and the one that was evicted for it.
fn admitted(decision: AdmissionDecision) -> (ConnectionId, Option<ConnectionId>) {
    match decision {
        AdmissionDecision::Admitted { id, evicted } => (id, evicted),
        AdmissionDecision::Rejected(rejection) => panic!("{rejection:?}"),
    }
}

/// A policy with a reserve for the clients of a network.
fn known_network(network: &str) -> AdmissionPolicy {
    AdmissionPolicy { reserve: 0.25, known: vec![network.parse().unwrap()], ..AdmissionPolicy::default() }
}
