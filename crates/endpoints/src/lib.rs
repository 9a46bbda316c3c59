//! Which upstreams there are, by what several sources say of them. No I/O and no clock: time comes in.
//!
//! A source says two kinds of things, and they weigh differently:
//!
//! - **A word** on one instance: up, down, out of service, starting, unknown, deleted. It acts at once.
//! - **Absence** from a list. A few that are missing act at once too: nothing new goes there, and when further lists
//!   agree they are gone. But an empty list, or the sudden loss of more than a share of the fleet, is more often a
//!   fault of the registry than of the fleet: those stay on offer, held, until the loss is confirmed or taken back.
//!   What passes on the sockets settles it sooner, and no hold outlives its bound.
//!
//! An error says nothing of the fleet at all.
//!
//! ```
//! use maplehook_endpoints::{Bounds, Instance, Membership, Origin, MemberState, InstanceStatus};
//! use std::time::Duration;
//!
//! let at = Duration::from_secs;
//! let desk = |key: &str, status| Instance {
//!     address: Some("127.0.0.1:9001".parse().unwrap()),
//!     ..Instance::new(key, status)
//! };
//! let mut fleet = Membership::new(Bounds::default(), 1);
//! let origin = Origin { source: 0, replica: 0 };
//! fleet.apply_list(at(1), origin, vec![desk("a", InstanceStatus::Up)]);
//! assert_eq!(fleet.state("a"), MemberState::Available);
//! // The registry has restarted, empty: that is not a fleet of nothing.
//! fleet.apply_list(at(2), origin, Vec::new());
//! assert_eq!(fleet.state("a"), MemberState::Available);
//! // A word is one.
//! fleet.apply_list(at(3), origin, vec![desk("a", InstanceStatus::OutOfService)]);
//! assert_eq!(fleet.state("a"), MemberState::Draining);
//! ```
//!
//! # Precedence
//!
//! Sources are numbered by precedence, 0 first. Of those that list an instance, the first whose word is *fresh* (heard
//! of within [`Bounds::fresh`]) decides; if none is, the first that has a word at all. Within one source a later word
//! replaces an earlier one. Where a source changes its replica, words that are older by the instance's own version
//! are passed over for [`Bounds::lag`], but for those that take an instance off: a replica that lags must not put back
//! what was taken off, and to drain one for nothing is the lesser harm.
//!
//! # Identity
//!
//! An instance is its key. The same key at another address has moved; one with a later `boot` has restarted. The same
//! address under another key is one process: the key that started last has it, the others are drained.

mod fleet;
mod instance;

pub use fleet::{Bounds, Hold, Member, MemberState, Membership, Origin};
pub use instance::{Instance, InstanceStatus};
