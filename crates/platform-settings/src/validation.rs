//! The validation of a settings object beyond its form: figures within their ranges, and names that are
//! unique. A fault is named by its keys.

use crate::convert::{PlatformSettings, convert};
use crate::error::SettingsParseError;
use crate::raw::RawSettings;
use maplehook_core::SettingsError;
use serde_json::Value;

/// The most classes, and the most tenants, that may have ids at once, the removed ones among them.
pub(crate) const MAX_IDS: usize = 1024;
/// The longest deadline, and the most attempts, that may be set.
const MAX_DEADLINE_MS: f64 = 86_400_000.0;
const MAX_ATTEMPTS: f64 = 10_000.0;
/// The longest of the other times, some thirty years, and the largest of the other figures: whatever is
/// calculated from two of them is still a time that a clock can hold.
const MAX_TIME_MS: f64 = 1e12;
const MAX_FIGURE: f64 = 1e6;
/// The most requests a second that a tenant may be allowed.
const MAX_RATE: f64 = 1e9;
/// Zones and kinds of upstreams have numbers with this many values, of which the last stands for any other.
const MAX_ZONES: usize = u8::MAX as usize;
const MAX_KINDS: usize = u16::MAX as usize;
/// Times that may be zero, by section and key.
const TIMES: [(&str, &str); 7] = [
    ("guarantees", "ask_every_ms"),
    ("guarantees", "cold_ms"),
    ("guarantees", "overload_for_ms"),
    ("limits", "conn_idle_ms"),
    ("limits", "connect_timeout_ms"),
    ("limits", "cpu_us_per_request"),
    ("limits", "max_retry_after_ms"),
];
/// Other figures that may be zero, by section and key.
const FIGURES: [(&str, &str); 8] = [
    ("guarantees", "cold_from"),
    ("guarantees", "fall_multiple"),
    ("prices", "connection"),
    ("prices", "cross_zone"),
    ("prices", "handshake"),
    ("prices", "late_fail"),
    ("prices", "probe"),
    ("prices", "waste"),
];

/// Returns a path that begins at another; `.` is the other itself.
fn join_path(path: &str, inner: &str) -> String {
    if inner == "." { path.to_owned() } else { format!("{path}.{inner}") }
}

/// Names a fault that `serde` has found by its path.
fn serde_error(path: &str, error: &serde_path_to_error::Error<serde_json::Error>) -> SettingsParseError {
    SettingsParseError::new(join_path(path, &error.path().to_string()), error.inner().to_string())
}

/// Reads a JSON text that stands at `path` in its file.
pub(crate) fn parse_value(text: &str, path: &str) -> Result<Value, SettingsParseError> {
    let mut json = serde_json::Deserializer::from_str(text);
    let value = serde_path_to_error::deserialize(&mut json).map_err(|e| serde_error(path, &e))?;
    json.end().map_err(|e| SettingsParseError::new(path, e.to_string()))?;
    Ok(value)
}

/// Returns the settings that a text states, which has been read as this value. Fails if they permit no
/// decisions.
pub(crate) fn parse_validated(
    text: &str,
    value: &Value,
    path: &str,
) -> Result<PlatformSettings, SettingsParseError> {
    check_figures(value, path)?;
    let raw: RawSettings = serde_path_to_error::deserialize(value).map_err(|e| serde_error(path, &e))?;
    // Of a key that stands twice the value has only one.
    serde_json::from_str::<RawSettings>(text).map_err(|e| SettingsParseError::new(path, e.to_string()))?;
    let new = convert(raw).map_err(|e| e.below(path))?;
    new.settings.check().map_err(|e| SettingsParseError::new(key_of(&e), e.to_string()).below(path))?;
    check_names(&new, path)?;
    Ok(new)
}

/// Returns the key that a fault of the settings of the decisions is about.
fn key_of(error: &SettingsError) -> &str {
    match error {
        SettingsError::NoClasses => "classes",
        SettingsError::NoBalancers => "balancers",
        SettingsError::OutOfRange("index") => "me",
        SettingsError::OutOfRange("max_attempts") => "limits.try_limit",
        SettingsError::OutOfRange("max_streams") => "limits.max_streams",
        SettingsError::OutOfRange("tail_miss") => "goal.tail_miss",
        SettingsError::OutOfRange(key) => key,
    }
}

fn check_names(new: &PlatformSettings, path: &str) -> Result<(), SettingsParseError> {
    check_unique(&new.names.classes, path, "classes")?;
    check_unique(&new.names.tenants, path, "parties")?;
    for (names, limit, key) in [
        (&new.names.classes, MAX_IDS, "classes"),
        (&new.names.zones, MAX_ZONES, "failure_domains"),
        (&new.names.kinds, MAX_KINDS, "skus"),
    ] {
        if names.len() > limit {
            return Err(SettingsParseError::new(key, format!("too many: {limit} at most")).below(path));
        }
    }
    Ok(())
}

fn check_unique(names: &[String], path: &str, key: &str) -> Result<(), SettingsParseError> {
    let is_invalid = |(n, name): &(usize, &String)| name.is_empty() || names[..*n].contains(name);
    let Some((n, name)) = names.iter().enumerate().find(is_invalid) else { return Ok(()) };
    let reason = if name.is_empty() { "no name".into() } else { format!("{name:?} twice") };
    Err(SettingsParseError::new(format!("{path}.{key}[{n}].name"), reason))
}

/// Checks that `new` has every key that `reference` has, and in each entry of a list the keys that all
/// entries of the reference's list have.
///
/// # Errors
///
/// Names the first key that is missing.
pub fn check_required_keys(reference: &Value, new: &Value, path: &str) -> Result<(), SettingsParseError> {
    match (reference, new) {
        (Value::Object(reference), Value::Object(new)) => reference.iter().try_for_each(|(key, value)| {
            let path = if path.is_empty() { key.clone() } else { format!("{path}.{key}") };
            let new = new.get(key).ok_or_else(|| SettingsParseError::new(&path, "it is missing"))?;
            check_required_keys(value, new, &path)
        }),
        (Value::Object(_), _) => Err(SettingsParseError::new(path, "it is no object")),
        (Value::Array(reference), Value::Array(new)) => check_entries(reference, new, path),
        (Value::Array(_), _) => Err(SettingsParseError::new(path, "it is no list")),
        _ => Ok(()),
    }
}

/// Checks that each entry of a list has the keys that all entries of the reference have.
fn check_entries(reference: &[Value], new: &[Value], path: &str) -> Result<(), SettingsParseError> {
    let Some(Value::Object(first)) = reference.first() else { return Ok(()) };
    let is_common = |key: &&String| reference.iter().all(|entry| entry.get(key).is_some());
    new.iter().enumerate().try_for_each(|(n, entry)| {
        let missing = first.keys().filter(is_common).find(|key| entry.get(key).is_none());
        let error = |key| SettingsParseError::new(format!("{path}[{n}].{key}"), "it is missing");
        missing.map_or(Ok(()), |key| Err(error(key)))
    })
}

/// Checks that figures are within their ranges.
fn check_figures(settings: &Value, path: &str) -> Result<(), SettingsParseError> {
    for (n, class) in entries(settings, "classes").enumerate() {
        check_class(class, &format!("{path}.classes[{n}]"))?;
    }
    for (n, tenant) in entries(settings, "parties").enumerate() {
        Figure::of(tenant, &format!("{path}.parties[{n}]"), "allowance_per_s").check_at_most(MAX_RATE)?;
    }
    let figure = |(section, key): (&str, &str)| Figure {
        value: settings.get(section).and_then(|section| section.get(key)),
        path: format!("{path}.{section}.{key}"),
    };
    figure(("limits", "try_limit")).check_positive(MAX_ATTEMPTS)?;
    TIMES.into_iter().try_for_each(|key| figure(key).check_at_most(MAX_TIME_MS))?;
    FIGURES.into_iter().try_for_each(|key| figure(key).check_at_most(MAX_FIGURE))?;
    Figure::of(settings, path, "over_share_worth").check_at_most(MAX_FIGURE)
}

fn check_class(class: &Value, path: &str) -> Result<(), SettingsParseError> {
    Figure::of(class, path, "hard_limit_ms").check_positive(MAX_DEADLINE_MS)?;
    Figure::of(class, path, "aim_ms").check_positive(MAX_DEADLINE_MS)?;
    Figure::of(class, path, "key_ttl_ms").check_at_most(MAX_TIME_MS)?;
    let keys = ["aim_stretch", "worth", "late_worth"];
    keys.into_iter().try_for_each(|key| Figure::of(class, path, key).check_at_most(MAX_FIGURE))
}

/// A value of the object, if it is there, and its path.
struct Figure<'a> {
    value: Option<&'a Value>,
    path: String,
}

impl<'a> Figure<'a> {
    fn of(object: &'a Value, path: &str, key: &str) -> Self {
        Self { value: object.get(key), path: format!("{path}.{key}") }
    }

    /// Checks that the value is a number above 0 and not more than a limit.
    fn check_positive(self, limit: f64) -> Result<(), SettingsParseError> {
        match self.value.map(Value::as_f64) {
            None => Ok(()),
            Some(Some(n)) if n > 0.0 && n <= limit => Ok(()),
            Some(_) => {
                let reason = format!("it has to be a number above 0, {limit} at most");
                Err(SettingsParseError::new(self.path, reason))
            }
        }
    }

    /// Checks that a number is from 0 to a limit; what is no number is named by the code that reads it.
    fn check_at_most(self, limit: f64) -> Result<(), SettingsParseError> {
        match self.value.and_then(Value::as_f64) {
            Some(n) if !(0.0..=limit).contains(&n) => {
                let reason = format!("it has to be a number from 0 to {limit}");
                Err(SettingsParseError::new(self.path, reason))
            }
            _ => Ok(()),
        }
    }
}

fn entries<'a>(settings: &'a Value, key: &str) -> impl Iterator<Item = &'a Value> {
    settings.get(key).and_then(Value::as_array).into_iter().flatten()
}
