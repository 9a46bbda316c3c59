//! Zones grouped in regions, and rules that select the zones which serve a request. The crate does no I/O and
//! reads no clock.
//!
//! [`topology`] holds zones and regions, [`language`] compiles the text of rules, and [`rules`] holds the
//! compiled rules. [`health`] combines the health of zones, [`mod@explain`] explains the routing of a
//! request, and [`contradict`] compares two sets of rules. `docs/design/places.md` gives the design reasons.

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
