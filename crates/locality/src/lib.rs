//! Zones in regions, and rules that say which zones serve whom: no I/O, no clock.
//!
//! [`topology`] has the places, [`language`] the text of rules, [`rules`] what it comes to, [`health`] how a step stands at an
//! instant, [`mod@explain`] why a request goes where it goes, [`contradict`] what of two texts can't stand side by side.
//! `docs/design/places.md` has the reasons.

pub mod contradict;
pub mod explain;
pub mod health;
pub mod language;
pub mod rules;
pub mod topology;

pub use contradict::{contradictions, strictest};
pub use explain::{Explanation, explain};
pub use health::LocalityHealth;
pub use language::{Fault, Names, compile};
pub use rules::{Rule, Rules, Spill, Step, StepTarget, WhenLost};
pub use topology::{Region, Topology, TopologyError, Zone};
