//! The parser of the platform's settings object: the JSON object that the simulator's wire and the platform's
//! configuration share, turned into the [`Settings`](maplehook_core::Settings) of the decisions, with the
//! names of the ids in them. The crate does no I/O and reads no clock.
//!
//! Keys that are not known are skipped; keys that are missing take the values of `Settings::default()`.
//!
//! | module | what it owns |
//! | --- | --- |
//! | `raw` | the form of the JSON object, key by key |
//! | `convert` | its conversion into [`PlatformSettings`], by [`parse`] without further checks |
//! | `validation` | the ranges of its figures, and the names that have to be unique |
//! | `active` | [`ActiveSettings`]: the settings in force of a process, and their change while it runs |
//! | `error` | [`SettingsParseError`] |

#![deny(
    missing_docs,
    clippy::too_many_lines,
    clippy::cognitive_complexity,
    clippy::missing_errors_doc,
    clippy::result_large_err
)]
#![cfg_attr(not(test), deny(clippy::unwrap_used))]

mod active;
mod convert;
mod error;
mod raw;
mod validation;

pub use active::ActiveSettings;
pub use convert::{IdNames, PlatformSettings, duration_from_ms, load_field, parse};
pub use error::SettingsParseError;
pub use validation::check_required_keys;
