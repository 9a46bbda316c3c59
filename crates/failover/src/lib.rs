//! What balancers see of zones, and the plan they make of it in common: no I/O, no clock, no chance.
//!
//! [`report`] is what each balancer says, [`document`] what all agree on. `docs/design/places.md` has the reasons.
//!
//! [`decider`] is the leader's machine: [`heard`], [`evidence`], [`reach`] and [`damp`] say how zones stand, [`room`] what they can
//! take, [`plan`] (with [`ladders`], [`flow`] and [`pouring`]) where requests go, `judge` what the [`bounds`] allow.

pub mod acting;
pub mod bounds;
pub mod damp;
pub mod decider;
pub mod document;
pub mod evidence;
pub mod flow;
pub mod heard;
mod judge;
pub mod ladders;
pub mod names;
pub mod orders;
pub mod plan;
pub mod pouring;
pub mod reach;
pub mod report;
pub mod room;
mod service;
pub mod trips;
mod written;

pub use acting::{Acting, Acts, Shares};
pub use bounds::{Bounds, Damping};
pub use decider::Decider;
pub use document::{Document, Evacuation, Held, Place, PlaceState, Plan, Row, Share, WHOLE};
pub use heard::digest;
pub use orders::{Order, Refusal};
pub use report::{Demand, Report, Sight};
