//! The small parent of a balancer on a machine: it holds the listening socket, starts the balancer, puts one program in the
//! place of another, and goes back to the last good one.
//!
//! [`machine`] decides, without I/O or clock, over [`words`]; [`memory`] is what outlives the supervisor.

pub mod machine;
pub mod memory;
mod told;
pub mod words;
