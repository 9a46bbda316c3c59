//! Failover planning across zones: balancers report on zones, and a leader computes a shared plan. The crate
//! does no I/O and uses no clock and no random numbers.
//!
//! [`report`] is the report of each balancer, [`document`] the shared document. `docs/design/places.md`
//! explains the design.
//!
//! [`decider`] is the leader's state machine. [`report_store`], [`verdict`], [`reachability`] and
//! [`zone_health`] determine the zone states, [`capacity`] the capacities, [`plan`] (with [`priorities`],
//! [`flow`] and [`assignment`]) the traffic shares, and `zone_decision` applies the [`bounds`].

pub mod assignment;
pub mod balancer_routing;
pub mod bounds;
pub mod capacity;
mod compose;
pub mod decider;
pub mod document;
pub mod flow;
pub mod orders;
pub mod plan;
pub mod priorities;
pub mod reachability;
mod region_service;
pub mod remap;
pub mod report;
pub mod report_store;
pub mod rtt;
pub mod verdict;
mod zone_decision;
pub mod zone_health;

pub use balancer_routing::{BalancerRouting, EffectiveRouting, Shares};
pub use bounds::{Bounds, Damping};
pub use decider::Decider;
pub use document::{Document, Evacuation, FULL_SHARE, Plan, PlanHold, Row, Share, ZoneState, ZoneStatus};
pub use orders::{Order, OrderError};
pub use report::{Demand, Report, ZoneObservation};
pub use report_store::digest;
