//! Histories of many processes as files, and a judge that reads them afterwards, without the run.
//!
//! [`record`] is the schema. `docs/design/places.md` has the reasons.

pub mod record;

pub use record::{Header, Outcome, Record, SCHEMA, What};
