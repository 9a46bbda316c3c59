//! Merges the reports of several discovery sources into one list of upstreams. The crate does no I/O and
//! reads no clock: the caller passes the time.
//!
//! A source reports two kinds of changes, which are treated differently:
//!
//! - **Status** of one instance: up, down, out of service, starting, unknown or deleted. A status takes
//!   effect at once, except that many deletions at a time are treated like absence.
//! - **Absence** from a list. If few instances are missing, they get no new requests, and further lists
//!   without them remove them. An empty list, or the sudden loss of a large share of the fleet, is more often
//!   a fault of the registry than of the fleet. Those instances are held available until the loss is
//!   confirmed or they are listed again. Failed connections end a hold sooner, and no hold exceeds its limit.
//!
//! A failed query of a source changes nothing.
//!
//! ```
//! use maplehook_endpoints::{Bounds, Instance, Membership, Origin, MemberState, InstanceStatus};
//! use std::time::Duration;
//!
//! let at = Duration::from_secs;
//! let instance = |key: &str, status| Instance {
//!     address: Some("127.0.0.1:9001".parse().unwrap()),
//!     ..Instance::new(key, status)
//! };
//! let mut fleet = Membership::new(Bounds::default(), 1);
//! let origin = Origin { source: 0, replica: 0 };
//! fleet.apply_list(at(1), origin, vec![instance("a", InstanceStatus::Up)]);
//! assert_eq!(fleet.state("a"), MemberState::Available);
//! // A registry that restarts with an empty list does not empty the fleet.
//! fleet.apply_list(at(2), origin, Vec::new());
//! assert_eq!(fleet.state("a"), MemberState::Available);
//! // An explicit status takes effect at once.
//! fleet.apply_list(at(3), origin, vec![instance("a", InstanceStatus::OutOfService)]);
//! assert_eq!(fleet.state("a"), MemberState::Draining);
//! ```
//!
//! # Precedence
//!
//! Sources are numbered by precedence, 0 first. Among the sources that have a record of an instance, the
//! first *fresh* source decides: one with an update within [`Bounds::freshness`]. If no source is fresh, the
//! first with a record decides. Within one source, a later report replaces an earlier one. After a source
//! changes its replica, reports with an older instance version are ignored for [`Bounds::max_replica_lag`] if
//! they report the instance up: a lagging replica must not restore an instance that was taken out. Older
//! reports that take an instance out are applied, since draining an instance without need does less harm.
//!
//! # Identity
//!
//! The key identifies an instance. The same key at another address has moved; a later `boot_ms` means a
//! restart. Keys that share an address belong to one process: the key with the latest start is available, the
//! others drain.

mod fleet;
mod instance;

pub use fleet::{Bounds, Hold, Member, MemberState, Membership, Origin};
pub use instance::{Instance, InstanceStatus};
