//! A balancer's part in changes in stages: settings or a program that go to some first, and to the others once those do not do worse.
//!
//! [`Taking`] is a thread of its own: it reports what became of requests while a change runs, says by what to act here, and, at the
//! leader, plays [`maplehook_rollout::Command`]s on the agreed [`Document`] and puts what comes of it by compare-and-set. Pure are
//! [`document`], [`parts`] (what of settings may differ between stages), [`judging`], [`lead`] and [`member`];
//! `docs/design/rollout.md` has the options that were weighed.

pub mod board;
pub mod document;
#[cfg(test)]
mod golden_tests;
pub mod judging;
pub mod lead;
mod machine;
pub mod member;
pub mod parts;
mod put;
mod run;
pub mod shown;
pub mod taking;
pub mod talk;
mod tell;

pub use board::Board;
pub use document::{Change, Content, Document};
pub use member::Wanted;
pub use taking::{Acked, Link, Setup, Staged, Taking};
