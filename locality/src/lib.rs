//! Zones in regions, and rules that say which zones serve whom: no I/O, no clock.
//!
//! [`topology`] has the places, [`rules`] what a text of rules comes to. `docs/design/places.md` has the reasons.

pub mod rules;
pub mod topology;

pub use rules::{Place, Rule, Rules, Spill, Step, WhenLost};
pub use topology::{Region, Topology, Wrong, Zone};
