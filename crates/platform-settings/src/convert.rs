//! The conversion of a settings object into the settings of the decisions.

use crate::error::SettingsParseError;
use crate::raw::{RawClass, RawPrices, RawSettings, RawTenant};
use maplehook_core::{
    Class, DedupGroup, Effect, LoadField, Prices, Reports, Settings, Tenant, Weights, ZoneId,
};
use std::time::Duration;

/// The most attempts that a request may have, whatever the object states.
const MAX_ATTEMPTS: u32 = 250;

/// What a settings object states.
#[derive(Clone, Debug, PartialEq)]
pub struct PlatformSettings {
    /// The settings of the decisions.
    pub settings: Settings,
    /// The names of the ids in them.
    pub names: IdNames,
}

/// Names by position: those of classes and tenants as in [`Settings`], those of zones and kinds as their ids.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct IdNames {
    /// The names of the classes of requests.
    pub classes: Vec<String>,
    /// The names of the tenants.
    pub tenants: Vec<String>,
    /// The names of the zones.
    pub zones: Vec<String>,
    /// The names of the hardware kinds.
    pub kinds: Vec<String>,
}

/// Returns a time in milliseconds as a `Duration`: zero for a figure that is no time, and the longest
/// `Duration` for one that is too long.
pub fn duration_from_ms(value: f64) -> Duration {
    if value.is_nan() || value <= 0.0 {
        return Duration::ZERO;
    }
    Duration::try_from_secs_f64(value / 1e3).unwrap_or(Duration::MAX)
}

/// Returns the meaning of a value in a load report by its name in settings or in reports.
pub fn load_field(name: &str) -> LoadField {
    match name {
        "concurrent" | "inflight" => LoadField::InFlight,
        "depth" | "queue" => LoadField::Queue,
        "load_share" | "util" => LoadField::Utilization,
        "mean_ms" | "latency_ms" => LoadField::ServiceMs,
        "tps" | "qps" => LoadField::RequestRate,
        "err_ps" | "eps" => LoadField::ErrorRate,
        _ => LoadField::Other,
    }
}

/// Reads the text of a settings object. Its figures are not checked.
///
/// # Errors
///
/// Fails if the text is not of that form.
pub fn parse(text: &str) -> Result<PlatformSettings, SettingsParseError> {
    let raw = serde_json::from_str(text).map_err(|e| SettingsParseError::new("settings", e.to_string()))?;
    convert(raw).map_err(|e| SettingsParseError::new("settings", e.to_string()))
}

/// Converts a settings object. Fails, with a path that begins inside the object, if a word in it is unknown.
pub(crate) fn convert(raw: RawSettings) -> Result<PlatformSettings, SettingsParseError> {
    let classes = raw.classes.iter().enumerate().map(convert_class).collect::<Result<_, _>>()?;
    let settings = Settings {
        classes,
        tenants: raw.tenants.iter().map(convert_tenant).collect(),
        prices: convert_prices(&raw.prices),
        ..convert_figures(&raw)
    };
    let names = IdNames {
        classes: raw.classes.into_iter().map(|c| c.name).collect(),
        tenants: raw.tenants.into_iter().map(|t| t.name).collect(),
        zones: raw.zones,
        kinds: raw.kinds,
    };
    Ok(PlatformSettings { settings, names })
}

/// Converts what concerns the balancer as a whole.
fn convert_figures(raw: &RawSettings) -> Settings {
    let base = Settings::default();
    let (limits, guarantees) = (&raw.limits, &raw.guarantees);
    let time = |value: Option<f64>, default: Duration| value.map_or(default, duration_from_ms);
    Settings {
        balancers: raw.balancers.unwrap_or(base.balancers),
        index: raw.index,
        zone: ZoneId(raw.zone),
        over_allowance_value: raw.over_allowance_value.unwrap_or(base.over_allowance_value),
        is_value_by_work: raw.value_by.as_deref() == Some("work"),
        has_endpoint_discovery: raw.discovery.as_deref() == Some("subscribe"),
        endpoint_poll_interval: time(guarantees.endpoint_poll_interval_ms, base.endpoint_poll_interval),
        slow_start_min_share: guarantees.slow_start_min_share.unwrap_or(base.slow_start_min_share),
        slow_start_window: time(guarantees.slow_start_window_ms, base.slow_start_window),
        overload_multiple: guarantees.overload_multiple.unwrap_or(base.overload_multiple),
        overload_window: time(guarantees.overload_window_ms, base.overload_window),
        max_attempts: limits.max_attempts.map_or(base.max_attempts, |n| n.min(MAX_ATTEMPTS) as u8),
        can_hedge: limits.hedging.unwrap_or(base.can_hedge),
        can_cancel: limits.cancelling.unwrap_or(base.can_cancel),
        can_probe: limits.probing.unwrap_or(base.can_probe),
        max_retry_after: time(limits.max_retry_after_ms, base.max_retry_after),
        connect_timeout: time(limits.connect_timeout_ms, base.connect_timeout),
        connection_idle_timeout: time(limits.connection_idle_timeout_ms, base.connection_idle_timeout),
        max_streams: limits.max_streams.unwrap_or(base.max_streams),
        tail_miss: raw.goal.tail_weight.filter(|w| *w > 0.0).and(raw.goal.tail_miss),
        cpu_per_request: duration_from_ms(limits.cpu_micros_per_request / 1e3),
        weights: convert_weights(raw.weight_kind.as_deref()),
        reports: convert_reports(raw.telemetry.reports.as_deref()),
        report_fields: raw.telemetry.fields.iter().map(|name| load_field(name)).collect(),
        ..base
    }
}

/// Converts the class at a position; the error names what is wrong with it by its key.
fn convert_class((position, raw): (usize, &RawClass)) -> Result<Class, SettingsParseError> {
    let effect = convert_effect(raw).map_err(|e| e.below(&format!("classes[{position}]")))?;
    Ok(Class {
        latency_objective: duration_from_ms(raw.latency_objective_ms),
        objective_stretch: raw.objective_stretch,
        deadline: duration_from_ms(raw.deadline_ms),
        value: raw.value,
        late_value: raw.late_value,
        effect,
        is_streamed: raw.streamed,
    })
}

fn convert_effect(raw: &RawClass) -> Result<Effect, SettingsParseError> {
    match raw.effect.as_str() {
        "idempotent" => Ok(Effect::Idempotent),
        "at_most_once" => Ok(Effect::AtMostOnce),
        "deduplicated" => {
            let group = convert_dedup_group(raw.dedup_scope.as_deref())?;
            Ok(Effect::Deduplicated { group, ttl: duration_from_ms(raw.key_ttl_ms) })
        }
        other => Err(SettingsParseError::new("effect", format!("unknown effect {other:?}"))),
    }
}

fn convert_dedup_group(scope: Option<&str>) -> Result<DedupGroup, SettingsParseError> {
    match scope {
        Some("all") => Ok(DedupGroup::All),
        Some("zone") => Ok(DedupGroup::Zone),
        Some("cell") => Ok(DedupGroup::Cell),
        None => Err(SettingsParseError::new("dedup_scope", "it is missing")),
        Some(other) => Err(SettingsParseError::new("dedup_scope", format!("unknown scope {other:?}"))),
    }
}

fn convert_tenant(raw: &RawTenant) -> Tenant {
    Tenant { allowance_per_s: raw.allowance_per_s }
}

fn convert_weights(kind: Option<&str>) -> Weights {
    match kind {
        Some("live") => Weights::Live,
        Some("nominal" | "rough") => Weights::Size,
        _ => Weights::Off,
    }
}

fn convert_reports(reports: Option<&str>) -> Reports {
    match reports {
        Some("inline") => Reports::Inline,
        Some("on_probe") => Reports::OnProbe,
        _ => Reports::Off,
    }
}

fn convert_prices(raw: &RawPrices) -> Prices {
    Prices {
        cross_zone: raw.cross_zone,
        connection: raw.connection,
        handshake: raw.handshake,
        late_fail: raw.late_fail,
        probe: raw.probe,
        waste: raw.waste,
    }
}
