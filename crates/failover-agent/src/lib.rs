//! A balancer reports what it sees of zones, and acts by the plan that is agreed on.
//!
//! [`Taking`] is the thread; [`rates`], [`lead`] and [`talk`] decide nothing by a clock of their own. `docs/design/places.md` has the
//! reasons.

mod act;
pub mod board;
pub mod config;
#[cfg(test)]
mod golden_tests;
mod history;
pub mod lead;
mod probe;
pub mod rates;
mod run;
mod sees;
pub mod shown;
mod taking;
pub mod talk;
mod tell;

pub use board::Board;
pub use config::Config;
pub use probe::TARGETS_MOST;
pub use taking::{Acted, Link, Setup, Taking};
