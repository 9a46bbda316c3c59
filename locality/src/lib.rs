//! Zones in regions, and rules that say which zones serve whom: no I/O, no clock.
//!
//! [`topology`] has the places, [`rules`] what a text of rules comes to, [`language`] the text, [`state`] how a rule stands for a zone. `docs/design/places.md` has the reasons.

pub mod language;
pub mod rules;
pub mod state;
pub mod topology;

pub use language::{Fault, Names, compile};
pub use rules::{Place, Rule, Rules, Spill, Step, WhenLost};
pub use state::{Keeper, Phase, Seen};
pub use topology::{Region, Topology, Wrong, Zone};
