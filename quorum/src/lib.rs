//! One order for versions over a few voters, and a balancer's part in it.
//!
//! [`voter`] is Raft by the `raft` crate over what the log comes to, [`store`] a voter's disk, [`talk`] what balancers say to one
//! another, [`Agreeing`] the thread on which one takes part.

mod follow;
mod founding;
mod join;
mod leader;
mod run;
pub mod store;
pub mod talk;
pub mod voter;

pub use join::{agree, join};
pub use run::{Acting, Agreeing, Local, Mode, Setup, Wishes};
