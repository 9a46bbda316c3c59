//! A change that goes to balancers in stages: the plan, who is in which stage, and where it stands.
//!
//! [`plan`] reads a plan, [`order`] says who is in which stage and who may be changed now, [`state`] is the state machine that all
//! voters play alike: its commands are entries of their log. `docs/design/rollout.md` has the options that were weighed.

pub mod command;
#[cfg(test)]
mod explore;
pub mod order;
pub mod plan;
pub mod state;

pub use command::{Command, Judged, Refused};
pub use order::Order;
pub use plan::{Change, Plan, Stage};
pub use state::{Rollout, State};
