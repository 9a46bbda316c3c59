//! One table of scenarios, run against every way in: the daemon under the platform's protocol, the daemon under an
//! operator's file, the library's client, and the layer in an axum host. What is asked of each is the same outcome,
//! the same bytes at the stand-in, and the same count of effects.
//!
//! `cargo run -p maplehook-conformance` prints the table; the tests hold it to what it says.

mod scenarios;
mod ways;

pub use scenarios::{Row, run_all};
pub use ways::{Ask, Got, Verdict, Way};
