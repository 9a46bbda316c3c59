//! Which balancers are there, and what they tell one another: without I/O, clock or unseeded chance.
//!
//! [`Tier`] takes datagrams and time, and says what to send. [`words::Words`] is what balancers tell one another of
//! upstreams, [`care::Care`] what one makes of it. `docs/design/tier.md` has the reasons.
//!
//! ```
//! use maplehook_cluster::{Name, Output, Settings, Tier};
//! use std::time::Duration;
//!
//! let name = |text| Name::new(text).unwrap();
//! let mut b1 = Tier::new(Settings::new(name("b1"), 1, vec![name("b2")], 7), Duration::ZERO);
//! let mut b2 = Tier::new(Settings::new(name("b2"), 1, vec![name("b1")], 8), Duration::ZERO);
//! for ms in (0..1000).map(Duration::from_millis) {
//!     b1.poll(ms);
//!     b2.poll(ms);
//!     for output in b1.take() {
//!         if let Output::Send(_, datagram) = output { b2.handle(ms, &datagram).unwrap(); }
//!     }
//!     for output in b2.take() {
//!         if let Output::Send(_, datagram) = output { b1.handle(ms, &datagram).unwrap(); }
//!     }
//! }
//! assert!(b1.is_here(&name("b2")) && b2.is_here(&name("b1")));
//! ```

pub mod care;
mod gossip;
mod hearing;
mod identity;
mod interface;
mod name;
mod peers;
mod roster;
pub mod start;
mod suspicion;
mod tier;
pub mod trips;
mod turning;
mod window;
mod wire;
pub mod words;

pub use identity::{Identity, Mismatch, Program, WIRE, Wire};
pub use interface::{Counts, Event, Output, PERIOD, Refused, Settings};
pub use name::{LONGEST, Name};
pub use roster::{Apart, Seen, State};
pub use tier::Tier;
pub use trips::Trips;
pub use window::Stale;
pub use wire::{DATAGRAM_MOST, MAC, PAYLOAD_MOST, tells_of_a_death};
