//! What a settings object has to hold beyond its form: figures within their ranges, names that stand once. What is wrong is
//! named by its keys.

use crate::tuned::MOST;
use crate::{Raw, Site};
use maplehook_core::SettingsError;
use serde_json::Value;
use std::fmt;

/// The longest deadline, and the most attempts, that may be set.
const DEADLINE_MOST_MS: f64 = 86_400_000.0;
const ATTEMPTS_MOST: f64 = 10_000.0;
/// The longest of the other times, some thirty years, and the largest of the other figures: whatever is calculated from two of
/// them is still a time that a clock can hold.
const TIME_MOST_MS: f64 = 1e12;
const FIGURE_MOST: f64 = 1e6;
/// The most requests a second that a tenant may be allowed.
const RATE_MOST: f64 = 1e9;
/// Zones and kinds of upstreams are told apart by numbers of this many values, of which the last stands for any other.
const ZONES_MOST: usize = u8::MAX as usize;
const KINDS_MOST: usize = u16::MAX as usize;
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

/// Why a text is turned down.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Wrong {
    /// Where: keys from the outermost on.
    pub path: String,
    /// What is wrong there.
    pub what: String,
}

impl fmt::Display for Wrong {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.what)
    }
}

impl std::error::Error for Wrong {}

/// What is wrong at this path.
pub(crate) fn wrong(path: impl Into<String>, what: impl Into<String>) -> Wrong {
    Wrong { path: path.into(), what: what.into() }
}

/// A path that begins at another; `.` is the other itself.
fn under(path: &str, inner: &str) -> String {
    if inner == "." { path.to_owned() } else { format!("{path}.{inner}") }
}

/// Reads a text that stands at `path` in its file.
pub(crate) fn value(text: &str, path: &str) -> Result<Value, Wrong> {
    let mut json = serde_json::Deserializer::from_str(text);
    let value = serde_path_to_error::deserialize(&mut json)
        .map_err(|e| wrong(under(path, &e.path().to_string()), e.inner().to_string()))?;
    json.end().map_err(|e| wrong(path, e.to_string()))?;
    Ok(value)
}

/// The settings that a text, which has been read as this value, states; with figures that decisions can be made by.
pub(crate) fn site(text: &str, value: &Value, path: &str) -> Result<Site, Wrong> {
    numbers(value, path)?;
    let raw: Raw = serde_path_to_error::deserialize(value)
        .map_err(|e| wrong(under(path, &e.path().to_string()), e.inner().to_string()))?;
    // Of a key that stands twice the value has one alone.
    serde_json::from_str::<Raw>(text).map_err(|e| wrong(path, e.to_string()))?;
    let new = crate::site(raw).map_err(|e| wrong(format!("{path}.{}", e.path), e.what))?;
    new.settings.check().map_err(|e| wrong(format!("{path}.{}", key_of(&e)), e.to_string()))?;
    distinct(&new.names.classes, path, "classes")?;
    distinct(&new.names.tenants, path, "parties")?;
    for (names, most, key) in [
        (&new.names.classes, MOST, "classes"),
        (&new.names.zones, ZONES_MOST, "failure_domains"),
        (&new.names.kinds, KINDS_MOST, "skus"),
    ] {
        if names.len() > most {
            return Err(wrong(format!("{path}.{key}"), format!("too many: {most} at most")));
        }
    }
    Ok(new)
}

/// Which key a fault of the library's settings is about.
fn key_of(fault: &SettingsError) -> &str {
    match fault {
        SettingsError::NoClasses => "classes",
        SettingsError::NoBalancers => "balancers",
        SettingsError::OutOfRange("index") => "me",
        SettingsError::OutOfRange("max_attempts") => "limits.try_limit",
        SettingsError::OutOfRange("max_streams") => "limits.max_streams",
        SettingsError::OutOfRange("tail_miss") => "goal.tail_miss",
        SettingsError::OutOfRange(key) => key,
    }
}

/// The first key that `like` has, or all entries of a list in it, and `new` lacks.
pub fn missing(like: &Value, new: &Value, path: &str) -> Result<(), Wrong> {
    match (like, new) {
        (Value::Object(like), Value::Object(new)) => like.iter().try_for_each(|(key, like)| {
            let path = if path.is_empty() { key.clone() } else { format!("{path}.{key}") };
            missing(like, new.get(key).ok_or_else(|| wrong(&path, "it is missing"))?, &path)
        }),
        (Value::Object(_), _) => Err(wrong(path, "it is no object")),
        (Value::Array(like), Value::Array(new)) => {
            let Some(Value::Object(first)) = like.first() else { return Ok(()) };
            let common = || first.keys().filter(|key| like.iter().all(|entry| entry.get(key).is_some()));
            new.iter().enumerate().try_for_each(|(n, entry)| {
                let lacks = common().find(|key| entry.get(key).is_none());
                lacks.map_or(Ok(()), |key| Err(wrong(format!("{path}[{n}].{key}"), "it is missing")))
            })
        }
        (Value::Array(_), _) => Err(wrong(path, "it is no list")),
        _ => Ok(()),
    }
}

/// Figures within their ranges.
fn numbers(settings: &Value, path: &str) -> Result<(), Wrong> {
    for (n, class) in entries(settings, "classes").enumerate() {
        let at = |key: &str| (class.get(key), format!("{path}.classes[{n}].{key}"));
        above(at("hard_limit_ms"), DEADLINE_MOST_MS)?;
        above(at("aim_ms"), DEADLINE_MOST_MS)?;
        within(at("key_ttl_ms"), TIME_MOST_MS)?;
        for key in ["aim_stretch", "worth", "late_worth"] {
            within(at(key), FIGURE_MOST)?;
        }
    }
    for (n, tenant) in entries(settings, "parties").enumerate() {
        let path = format!("{path}.parties[{n}].allowance_per_s");
        within((tenant.get("allowance_per_s"), path), RATE_MOST)?;
    }
    let at = |(section, key): (&str, &str)| {
        let value = settings.get(section).and_then(|section| section.get(key));
        (value, format!("{path}.{section}.{key}"))
    };
    above(at(("limits", "try_limit")), ATTEMPTS_MOST)?;
    TIMES.into_iter().try_for_each(|key| within(at(key), TIME_MOST_MS))?;
    FIGURES.into_iter().try_for_each(|key| within(at(key), FIGURE_MOST))?;
    within((settings.get("over_share_worth"), format!("{path}.over_share_worth")), FIGURE_MOST)
}

/// A value, if there is one, and where it stands.
type Figure<'a> = (Option<&'a Value>, String);

/// A number above 0 that is not more than this.
fn above((value, path): Figure<'_>, most: f64) -> Result<(), Wrong> {
    match value.map(Value::as_f64) {
        None => Ok(()),
        Some(Some(n)) if n > 0.0 && n <= most => Ok(()),
        Some(_) => Err(wrong(path, format!("it has to be a number above 0, {most} at most"))),
    }
}

/// A number from 0 to this; what is no number is named by whoever reads it.
fn within((value, path): Figure<'_>, most: f64) -> Result<(), Wrong> {
    match value.and_then(Value::as_f64) {
        Some(n) if !(0.0..=most).contains(&n) => {
            Err(wrong(path, format!("it has to be a number from 0 to {most}")))
        }
        _ => Ok(()),
    }
}

fn entries<'a>(settings: &'a Value, key: &str) -> impl Iterator<Item = &'a Value> {
    settings.get(key).and_then(Value::as_array).into_iter().flatten()
}

fn distinct(names: &[String], path: &str, key: &str) -> Result<(), Wrong> {
    let again = names.iter().enumerate().find(|(n, name)| name.is_empty() || names[..*n].contains(name));
    let what = |name: &String| if name.is_empty() { "no name".into() } else { format!("{name:?} twice") };
    again.map_or(Ok(()), |(n, name)| Err(wrong(format!("{path}.{key}[{n}].name"), what(name))))
}
