//! Failover agent: reports a balancer's observations of zones and applies the agreed plan.
//!
//! [`Agent`] runs the thread; [`rates`], [`leader`] and [`messages`] read no clock themselves. The design is
//! described in `docs/design/places.md`.

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
