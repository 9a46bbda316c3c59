//! The process supervisor of a balancer on one machine: it holds the listening socket, starts the balancer, replaces one program by
//! another, and goes back to the last stable one.
//!
//! [`state_machine`] decides, without I/O or clock, over the types of [`interface`]; it owns the [`saved_state`] that outlives the
//! supervisor. Around it, all with I/O: [`supervisor`] is the event loop on the main thread and owns everything else; the
//! [`state_directory`] keeps the saved state, a lock and the sockets; the [`program_directory`] has the programs by their digests;
//! [`process`] starts and signals processes; [`control_socket`] is the channel to a process, and one thread for each process waits
//! on it and polls it. `docs/design/rollout.md` has the reasons, `docs/SUPERVISE.md` is for operators.

#![deny(
    missing_docs,
    clippy::too_many_lines,
    clippy::cognitive_complexity,
    clippy::missing_errors_doc,
    clippy::result_large_err
)]
#![cfg_attr(not(test), deny(clippy::unwrap_used))]

mod adoption;
pub mod control_connection;
pub mod control_socket;
mod failures;
pub mod http_client;
pub mod interface;
mod listening;
pub mod process;
mod process_monitor;
pub mod program_directory;
mod rollout_report;
mod rollout_target;
pub mod saved_state;
mod shutdown;
pub mod state_directory;
pub mod state_machine;
pub mod supervisor;
