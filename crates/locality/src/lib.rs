//! Zones in regions, and rules that say which zones serve whom: no I/O, no clock.
//!
//! [`topology`] has the places, [`language`] the text of rules, [`rules`] what it comes to, [`state`] how a step stands at an
//! instant, [`mod@explain`] why a request goes where it goes, [`contradict`] what of two texts can't stand side by side.
//! `docs/design/places.md` has the reasons.

pub mod contradict;
pub mod explain;
pub mod language;
pub mod rules;
pub mod state;
pub mod topology;

pub use contradict::{contradictions, strictest};
pub use explain::{Explanation, explain};
pub use language::{Fault, Names, compile};
pub use rules::{Place, Rule, Rules, Spill, Step, WhenLost};
pub use state::Seen;
pub use topology::{Region, Topology, Wrong, Zone};
