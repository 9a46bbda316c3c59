//! The public interface of the decisions: settings, the events a balancer is told, and the actions it
//! answers.
//!
//! All times are [`Duration`](std::time::Duration)s on one clock of the embedder's choice that only goes
//! forward.

mod action;
pub mod discovery_timing;
mod effect;
mod endpoint;
mod event;
mod ids;
mod learned_state;
mod outcome;
mod settings;
mod traffic_split;

pub use action::*;
pub use effect::*;
pub use endpoint::*;
pub use event::*;
pub use ids::*;
pub use learned_state::*;
pub use outcome::*;
pub use settings::*;
pub use traffic_split::*;
