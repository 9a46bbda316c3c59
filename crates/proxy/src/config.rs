//! Balancer configuration from the platform: the JSON file that `NODE_CONFIG` names.

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

/// Parsed and validated configuration file of the platform.
#[derive(Debug)]
pub struct Config {
    /// Name of the balancer, which is also part of the name of its handover file.
    pub name: String,
    /// Address that clients connect to.
    pub listen: SocketAddr,
    /// Address of the admin API, if it is enabled.
    pub operator: Option<SocketAddr>,
    /// Address of the discovery service.
    pub discovery: SocketAddr,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Resource limits of the process.
    pub limits: Limits,
    /// Endpoint list of an earlier discovery, in the discovery's JSON format; empty if there is none.
    pub cached_endpoints: String,
    /// Classes, tenants and other settings, which a reload can change.
    pub settings_state: ActiveSettings,
    /// Keys that a reloaded file must have, too. All values except the limits are replaced by null.
    required_shape: Value,
}

/// Reason why a configuration is invalid.
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

/// Resource limits that the platform sets.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default)]
pub struct Limits {
    /// CPU cores; can be a fraction.
    pub cores: f64,
    /// Memory limit, in MiB.
    pub memory_mb: u64,
    /// Maximum number of open file descriptors.
    pub sockets: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self { cores: 1.0, memory_mb: 192, sockets: 1024 }
    }
}

/// Returns the path and the text of the file that `NODE_CONFIG` names.
fn read_config_file() -> Result<(String, String), ConfigError> {
    let path = std::env::var_os("NODE_CONFIG")
        .ok_or_else(|| ConfigError("NODE_CONFIG names no configuration file".into()))?;
    let text = read_utf8_file(Path::new(&path)).map_err(ConfigError)?;
    Ok((path.to_string_lossy().into_owned(), text))
}

/// Deserializes JSON. Errors name the key, line and column.
fn parse_json<'a, T: Deserialize<'a>>(text: &'a str) -> Result<T, ConfigError> {
    let mut json = serde_json::Deserializer::from_str(text);
    let result = serde_path_to_error::deserialize(&mut json).map_err(|e| {
        let path = e.path().to_string();
        // If parsing fails before the first key, the error path is a question mark.
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

    /// Reads the file again and returns the discovery address and the updated settings. Other values can't
    /// change while the process runs. `now` is the time since the start of the process.
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
        let to_config_error = |error: SettingsParseError| ConfigError(error.to_string());
        let value: Value = parse_json(text)?;
        check_required_keys(&self.required_shape, &value, "").map_err(to_config_error)?;
        let raw: RawConfig<'_> = parse_json(text)?;
        let settings_state =
            settings_state.updated(now, raw.settings.get(), "settings").map_err(to_config_error)?;
        Ok((raw.discovery, settings_state))
    }

    /// Parses and validates the text of a configuration file.
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
            // The cached list is used only at the start, and `ActiveSettings` checks the keys of the settings.
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

    /// Returns the memory limit of the process, in bytes.
    pub fn memory_bytes(&self) -> usize {
        usize::try_from(self.limits.memory_mb).unwrap_or(usize::MAX).saturating_mul(1024 * 1024)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const VALID_CONFIG: &str = r#"{"name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": {"rev": 4, "targets": []},
        "settings": {"classes": [{"name": "a", "aim_ms": 200, "effect": "idempotent"}]}}"#;

    #[test]
    fn parses_a_valid_configuration() {
        let config = Config::parse(VALID_CONFIG).unwrap();
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
            let error = Config::parse(&VALID_CONFIG.replace(from, to)).unwrap_err().to_string();
            assert!(error.contains(expected), "{error}");
        }
    }
}
