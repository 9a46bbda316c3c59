//! What balancers see of zones, and the plan they make of it in common: no I/O, no clock, no chance.
//!
//! [`report`] is what each balancer says, [`document`] what all agree on. `docs/design/places.md` has the reasons.
//!
//! [`decider`] is the leader's machine: [`heard`], [`evidence`], [`reach`] and [`damp`] say how zones stand, [`room`] what they can
//! take, [`plan`] (with [`ladders`], [`flow`] and [`pouring`]) where requests go, `judge` what the [`bounds`] allow.

pub mod assignment;
pub mod balancer_routing;
pub mod bounds;
pub mod damp;
pub mod decider;
pub mod document;
pub mod evidence;
pub mod flow;
pub mod heard;
mod judge;
pub mod names;
pub mod orders;
pub mod plan;
pub mod priorities;
pub mod reach;
pub mod report;
pub mod room;
pub mod rtt;
mod service;
mod written;

pub use balancer_routing::{BalancerRouting, EffectiveRouting, Shares};
pub use bounds::{Bounds, Damping};
pub use decider::Decider;
pub use document::{Document, Evacuation, FULL_SHARE, Plan, PlanHold, Row, Share, ZoneState, ZoneStatus};
pub use heard::digest;
pub use orders::{Order, OrderError};
pub use report::{Demand, Report, ZoneObservation};
