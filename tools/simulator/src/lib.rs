//! A laboratory: a deterministic emulator of clients, balancers and upstreams round the real decisions.
//!
//! Time is a queue of events; those of one instant happen in the order in which they were caused, so that no map
//! decides. The same [`World`] and seed give the same [`Report`], on any machine and in any number of threads.
//!
//! - [`policies::Decides`] is the one trait behind which a policy stands: the decision module's own events and actions.
//!   The real `Balancer` is one; peers' policies are others, under the same rules, and each breach is counted.
//! - [`World`] is what is played: [`Station`]s, ways, discovery, [`Clients`], [`Fault`]s.
//! - [`run`] plays one; [`Report`] is what came of it.
//! - [`mod@file`] reads an experiment, [`experiment`] plays all of it, in parallel, and goes on where it stopped;
//!   [`results`] holds what came of it, [`chart`] and [`page`] draw it.
//! - [`hunt`] searches an experiment's ranges for the worst day and shrinks it to what matters.
//! - [`load`] asks a real server as an experiment's clients would, [`calibrate`] compares the two.
//! - [`paper`] is the experiment of the paper that the design rests on.
//! - [`members`] emulates balancers that know each other.
//! - [`agreed`] explores how they agree on versions.
//! - [`places`] emulates zones and regions, and explores how plans and addresses come into force.
//! - [`rollout`] plays changes in stages.
//! - [`rules`] explores what may come between a request and its answer, exhaustively.

mod agenda;
pub mod agreed;
mod arrivals;
pub mod calibrate;
pub mod chart;
pub mod experiment;
mod faults;
pub mod file;
pub mod hunt;
pub mod load;
pub mod members;
pub mod page;
pub mod paper;
pub mod places;
mod play;
pub mod policies;
mod report;
pub mod results;
pub mod rollout;
pub mod rules;
mod station;
pub mod stats;
mod tier;
mod time;
mod trouble;
mod ways;
mod window;
mod world;

pub use arrivals::{Shape, Stream};
pub use faults::{Fault, Harm, When, Whom};
pub use play::run;
pub use report::{Breaches, Got, Report, Second, measure_names};
pub use station::{Choke, Cold, Station};
pub use time::Time;
pub use world::{Clients, Connections, Discovery, Network, Refused, World};
