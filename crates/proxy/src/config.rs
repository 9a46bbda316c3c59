//! What the platform tells a balancer at its start: the JSON file that `NODE_CONFIG` names.

use crate::command::read_utf8_file;
use maplehook_admission::descriptor_budget::{MIN_DESCRIPTORS, TooFewDescriptorsError};
use maplehook_platform_settings::{ActiveSettings, SettingsParseError, check_required_keys};
use serde::Deserialize;
use serde_json::Value;
use serde_json::value::RawValue;
use std::fmt;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

/// One part of so many of the memory may hold long answers; reading one takes it twice for a moment.
const RESPONSE_BUFFER_MEMORY_DIVISOR: usize = 5;

/// A balancer's configuration.
#[derive(Debug)]
pub struct Config {
    /// The balancer's name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where operators call, if they may.
    pub operator: Option<SocketAddr>,
    /// Where discovery answers.
    pub discovery: SocketAddr,
    /// The seed of all chance.
    pub seed: u64,
    /// What the process may use.
    pub limits: Limits,
    /// The upstreams last known, in discovery's form; empty if none are.
    pub cached_endpoints: String,
    /// The settings of the site.
    pub settings_state: ActiveSettings,
    /// The keys that the file has to go on having.
    required_shape: Value,
}

/// Why no balancer can start.
#[derive(Debug)]
pub struct ConfigError(String);

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for ConfigError {}

#[derive(Deserialize)]
struct RawConfig<'a> {
    #[serde(default)]
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
    #[serde(default)]
    operator: Option<SocketAddr>,
    seed: String,
    #[serde(default)]
    limits: Limits,
    #[serde(borrow, default)]
    known: Option<&'a RawValue>,
    #[serde(borrow)]
    settings: &'a RawValue,
}

/// What the platform lets a balancer use.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default)]
pub struct Limits {
    /// Cores, or the part of one.
    pub cores: f64,
    /// Memory.
    pub memory_mb: u64,
    /// Descriptors.
    pub sockets: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self { cores: 1.0, memory_mb: 192, sockets: 1024 }
    }
}

/// The file that `NODE_CONFIG` names: its name, and its text.
fn read_config_file() -> Result<(String, String), ConfigError> {
    let path = std::env::var_os("NODE_CONFIG")
        .ok_or_else(|| ConfigError("NODE_CONFIG names no configuration file".into()))?;
    let text = read_utf8_file(Path::new(&path)).map_err(ConfigError)?;
    Ok((path.to_string_lossy().into_owned(), text))
}

/// Reads JSON; what can't be read is named with its key, line and column.
fn parse_json<'a, T: Deserialize<'a>>(text: &'a str) -> Result<T, ConfigError> {
    let mut json = serde_json::Deserializer::from_str(text);
    let result = serde_path_to_error::deserialize(&mut json).map_err(|e| {
        let path = e.path().to_string();
        // Where no key has been read yet there is a question mark.
        let key = path.trim_end_matches(['.', '?']);
        ConfigError(if key.is_empty() { e.inner().to_string() } else { format!("{key}: {}", e.inner()) })
    })?;
    json.end().map_err(|e| ConfigError(e.to_string()))?;
    Ok(result)
}

impl Config {
    /// Reads the file that `NODE_CONFIG` names.
    pub fn from_env() -> Result<Self, ConfigError> {
        let (path, text) = read_config_file()?;
        let mut config = Self::parse(&text).map_err(|e| ConfigError(format!("{path}: {e}")))?;
        if let (None, Ok(operator)) = (config.operator, std::env::var("NODE_OPERATOR")) {
            let operator = operator.parse().map_err(|e| ConfigError(format!("NODE_OPERATOR: {e}")))?;
            config.operator = Some(operator);
        }
        Ok(config)
    }

    /// What of the file that `NODE_CONFIG` names now may be taken while this process runs: discovery's address and the
    /// settings, `now` since its start; whole, or not at all.
    pub fn reload(
        &self,
        now: Duration,
        settings_state: &ActiveSettings,
    ) -> Result<(SocketAddr, ActiveSettings), ConfigError> {
        let (path, text) = read_config_file()?;
        self.reload_from_text(now, settings_state, &text).map_err(|e| ConfigError(format!("{path}: {e}")))
    }

    fn reload_from_text(
        &self,
        now: Duration,
        settings_state: &ActiveSettings,
        text: &str,
    ) -> Result<(SocketAddr, ActiveSettings), ConfigError> {
        let to_config_error = |to_config_error: SettingsParseError| ConfigError(to_config_error.to_string());
        let value: Value = parse_json(text)?;
        check_required_keys(&self.required_shape, &value, "").map_err(to_config_error)?;
        let raw: RawConfig<'_> = parse_json(text)?;
        let settings_state =
            settings_state.updated(now, raw.settings.get(), "settings").map_err(to_config_error)?;
        Ok((raw.discovery, settings_state))
    }

    /// Reads the text of that file.
    pub fn parse(text: &str) -> Result<Self, ConfigError> {
        let mut required_shape: Value = parse_json(text)?;
        let raw: RawConfig<'_> = parse_json(text)?;
        let seed = u64::from_str_radix(&raw.seed, 16).map_err(|e| ConfigError(format!("seed: {e}")))?;
        if raw.limits.sockets < MIN_DESCRIPTORS {
            return Err(ConfigError(format!(
                "limits.sockets: {}",
                TooFewDescriptorsError(raw.limits.sockets)
            )));
        }
        let settings_state =
            ActiveSettings::new(raw.settings.get(), "settings").map_err(|e| ConfigError(e.to_string()))?;
        if let Value::Object(required_shape) = &mut required_shape {
            // What it knew of the list is of no use to a process that runs, and the settings know their own keys.
            required_shape.remove("known");
            required_shape
                .iter_mut()
                .filter(|(key, _)| *key != "limits")
                .for_each(|(_, value)| *value = Value::Null);
        }
        Ok(Self {
            name: raw.name,
            listen: raw.listen,
            operator: raw.operator,
            discovery: raw.discovery,
            seed,
            limits: raw.limits,
            cached_endpoints: raw.known.map_or_else(String::new, |k| k.get().to_owned()),
            settings_state,
            required_shape,
        })
    }

    /// How many bytes the long answers in hand may hold.
    pub fn max_buffered_response_bytes(&self) -> usize {
        (self.limits.memory_mb as usize).saturating_mul(1024 * 1024) / RESPONSE_BUFFER_MEMORY_DIVISOR
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const VALID: &str = r#"{"name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": {"rev": 4, "targets": []},
        "settings": {"classes": [{"name": "a", "aim_ms": 200, "effect": "idempotent"}]}}"#;

    #[test]
    fn parses_a_valid_configuration() {
        let config = Config::parse(VALID).unwrap();
        assert_eq!((config.seed, config.limits.sockets), (0x8c1f_30d2_7a5b_e964, 1024));
        assert!(config.cached_endpoints.contains("targets"));
    }

    #[test]
    fn names_the_invalid_value_in_the_error() {
        for (from, to, expected) in [
            ("127.0.0.1:9", "nowhere", "socket address"),
            ("8c1f", "zzzz", "seed"),
            ("idempotent", "maybe", "maybe"),
        ] {
            let error = Config::parse(&VALID.replace(from, to)).unwrap_err().to_string();
            assert!(error.contains(expected), "{error}");
        }
    }
}
