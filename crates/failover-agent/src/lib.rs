//! A balancer reports what it sees of zones, and acts by the plan that is agreed on.
//!
//! [`Taking`] is the thread; [`rates`], [`lead`] and [`talk`] decide nothing by a clock of their own. `docs/design/places.md` has the
//! reasons.

mod agent;
pub mod config;
#[cfg(test)]
mod golden_tests;
mod history;
pub mod leader;
pub mod messages;
mod messaging;
mod observations;
mod probe;
pub mod rates;
mod routing;
mod runner;
pub mod status;
pub mod status_board;

pub use agent::{ActiveRouting, Agent, Link, Setup};
pub use config::Config;
pub use probe::MAX_PROBE_TARGETS;
pub use status_board::StatusBoard;
