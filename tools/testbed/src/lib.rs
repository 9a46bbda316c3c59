//! Real balancers side by side, the faults between them, and checkers of what came of it.
//!
//! [`World`] starts built `maplehook` processes, each in a directory of its own, with a relay on every way between two of
//! them, to discovery and to the upstreams. [`nemesis`] is what is done to them and when, [`history`] all that was seen
//! from outside, on one clock, [`check`] what has to hold of it. [`storm`] puts them together. [`soak`] plays many short
//! lives of one balancer between clients and upstreams that misbehave.

pub mod balancer;
pub mod check;
pub mod fleet;
pub mod flood;
pub mod history;
pub mod judge;
pub mod measure;
pub mod nemesis;
pub mod places;
pub mod relay;
pub mod soak;
pub mod storm;
mod world;

pub use world::{DEADLINE, PATIENCE, Setup, World};
