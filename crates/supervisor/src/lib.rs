//! The small parent of a balancer on a machine: it holds the listening socket, starts the balancer, puts one program in the
//! place of another, and goes back to the last good one.
//!
//! [`machine`] decides, without I/O or clock, over [`words`]; [`memory`] is what outlives the supervisor. Round them: [`store`] the state
//! directory, [`programs`] the directory of programs, [`process`] processes, [`hand`] the way to them, [`ask`] requests of its
//! own, [`shell`] the loop. `docs/design/rollout.md` has the reasons, `docs/SUPERVISE.md` is for operators.

pub mod ask;
pub mod hand;
pub mod machine;
pub mod memory;
pub mod process;
pub mod programs;
pub mod shell;
pub mod store;
mod told;
mod watch;
pub mod words;
