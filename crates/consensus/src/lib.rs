//! One order for versions over a few voters, and a balancer's part in it.
//!
//! [`voter`] is Raft by the `raft` crate over what the log comes to, [`store`] a voter's disk, [`talk`] what balancers say to one
//! another, [`Agreeing`] the thread on which one takes part.

mod acting;
mod agreeing;
mod checks;
mod common;
mod follow;
mod founding;
#[cfg(test)]
mod golden_tests;
mod join;
mod leader;
mod local;
mod log;
mod run;
mod settle;
mod shelf;
mod standing;
pub mod store;
pub mod talk;
pub mod voter;

pub use acting::{Acting, Local, Mode};
pub use agreeing::{Agreeing, Setup, Wishes};
pub use common::{Behind, Common, PLACES, Put, Standing, Ways};
pub use join::{agree, join, join_when_free};
pub use shelf::{PART_MOST, Topic};
