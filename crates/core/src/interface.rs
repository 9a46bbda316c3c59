//! Public interface of the crate: settings, the events that a balancer handles, and the actions that it
//! returns.
//!
//! All times are [`Duration`](std::time::Duration)s on one monotonic clock that the embedder chooses.

mod action;
pub mod discovery_timing;
mod effect;
mod endpoint;
mod event;
pub mod fleet_size;
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
