//! A laboratory: a deterministic emulator of clients, balancers and upstreams round the real decisions.
//!
//! Time is a queue of events; those of one instant happen in the order in which they were caused, so that no map
//! decides. The same [`World`] and seed give the same [`Report`], on any machine.
//!
//! - [`Decides`] is the one trait behind which a policy stands: the decision module's own events and actions. The real
//!   `Balancer` is one; peers' policies are others, under the same rules.
//! - [`Station`] is an upstream: servers, a queue, a time of service.
//! - [`Time`] is a distribution of times.
//! - [`run`] plays a world.

mod agenda;
mod peers;
mod report;
mod station;
mod time;
mod world;

pub use peers::{Decides, LeastRequest, RandomChoice, RoundRobin};
pub use report::Report;
pub use station::Station;
pub use time::Time;
pub use world::{Load, Refused, World, run};
