//! The way between two balancers, and the thread that runs it.
//!
//! [`Member`] takes part in a tier: datagrams carry the gossip of `maplehook_cluster`, framed messages on connections what is
//! too long for one. Both bear a MAC under a secret that the tier shares. `docs/design/tier.md` has the reasons.

mod begun;
pub mod connection;
pub mod frames;
pub mod hub;
mod member;
mod part;
pub mod queue;
mod run;
mod secret;
pub mod state;

pub use begun::unix_ms;
pub use member::{Asks, Member};
pub use part::{Part, Status, Talk, Told};
pub use run::Measured;
pub use secret::{Datagrams, Secret};
