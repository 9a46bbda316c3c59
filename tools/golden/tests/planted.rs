//! A rename that would change a form is found.

use maplehook_golden::{Format, compare, samples};
use serde::{Deserialize, Serialize};

#[derive(Debug, Serialize, Deserialize)]
struct Before {
    number: u64,
    #[serde(default)]
    name: String,
    state: State,
}

#[derive(Debug, Serialize, Deserialize)]
enum State {
    Idle,
    Busy { since_ms: u64 },
}

/// A field is renamed, without its old name for serde.
#[derive(Debug, Serialize, Deserialize)]
struct Renamed {
    number: u64,
    #[serde(default)]
    label: String,
    state: State,
}

/// The same, with it.
#[derive(Debug, Serialize, Deserialize)]
struct RenamedForSerde {
    number: u64,
    #[serde(default, rename = "name")]
    label: String,
    state: State,
}

/// Two fields have changed places.
#[derive(Debug, Serialize, Deserialize)]
struct Moved {
    #[serde(default)]
    name: String,
    number: u64,
    state: State,
}

#[derive(Debug, Serialize, Deserialize)]
struct RenamedVariant {
    number: u64,
    #[serde(default)]
    name: String,
    state: RenamedState,
}

#[derive(Debug, Serialize, Deserialize)]
enum RenamedState {
    Resting,
    Busy { since_ms: u64 },
}

fn lines(format: Format) -> String {
    let line = |value: &Before| match format {
        Format::Json => serde_json::to_string(value).unwrap() + "\n",
        Format::Postcard => maplehook_golden::hex(&postcard::to_stdvec(value).unwrap()) + "\n",
    };
    samples::<Before>(maplehook_golden::TEXTS).iter().map(line).collect()
}

#[test]
fn samples_have_every_variant() {
    let samples = samples::<Before>(maplehook_golden::TEXTS);
    assert!(samples.iter().any(|sample| matches!(sample.state, State::Idle)));
    assert!(samples.iter().any(|sample| matches!(sample.state, State::Busy { .. })));
}

#[test]
fn a_renamed_field_or_variant_fails_where_names_are_written() {
    let json = lines(Format::Json);
    assert!(compare::<Before>(Format::Json, &json).is_ok());
    assert!(compare::<RenamedForSerde>(Format::Json, &json).is_ok());
    assert!(compare::<Renamed>(Format::Json, &json).is_err());
    assert!(compare::<RenamedVariant>(Format::Json, &json).is_err());
}

#[test]
fn a_moved_field_fails_where_positions_are_written_and_names_are_free() {
    let postcard = lines(Format::Postcard);
    assert!(compare::<Renamed>(Format::Postcard, &postcard).is_ok());
    assert!(compare::<RenamedVariant>(Format::Postcard, &postcard).is_ok());
    assert!(compare::<Moved>(Format::Postcard, &postcard).is_err());
}
