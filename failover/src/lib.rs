//! What balancers see of zones, and the plan they make of it in common: no I/O, no clock, no chance.
//!
//! [`report`] is what each balancer says, [`document`] what all agree on. `docs/design/places.md` has the reasons.

pub mod document;
pub mod report;

pub use document::{Document, Evacuation, Held, Place, PlaceState, Plan, Row, Share, WHOLE};
pub use report::{Demand, Report, Sight};
