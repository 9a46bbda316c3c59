//! The settings as the simulator's wire and the platform's configuration state them, a JSON object, turned
//! into the library's, with the names that stand for the numbers in it.
//!
//! Keys that are not known are skipped; keys that are missing take the values of `Settings::default()`.

mod check;
mod tuned;

pub use check::{Wrong, missing};
pub use tuned::Tuned;

use maplehook_core::{
    Class, DedupGroup, Effect, LoadField, Prices, Reports, Settings, Tenant, Weights, ZoneId,
};
use serde::Deserialize;
use std::time::Duration;

#[derive(Deserialize)]
#[serde(default)]
struct RawClass {
    aim_ms: f64,
    aim_stretch: f64,
    hard_limit_ms: f64,
    worth: f64,
    late_worth: f64,
    effect: String,
    dedup_scope: Option<String>,
    key_ttl_ms: f64,
    streamed: bool,
    name: String,
}

impl Default for RawClass {
    fn default() -> Self {
        Self {
            aim_ms: 1000.0,
            aim_stretch: 0.0,
            hard_limit_ms: 3000.0,
            worth: 1.0,
            late_worth: 0.0,
            effect: "at_most_once".into(),
            dedup_scope: None,
            key_ttl_ms: 0.0,
            streamed: false,
            name: String::new(),
        }
    }
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct RawTenant {
    allowance_per_s: f64,
    name: String,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct RawLimits {
    cancelling: Option<bool>,
    conn_idle_ms: Option<f64>,
    connect_timeout_ms: Option<f64>,
    cpu_us_per_request: f64,
    max_streams: Option<u32>,
    try_limit: Option<u32>,
    max_retry_after_ms: Option<f64>,
    may_probe: Option<bool>,
    second_copies: Option<bool>,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct RawGuarantees {
    ask_every_ms: Option<f64>,
    cold_from: Option<f64>,
    cold_ms: Option<f64>,
    fall_multiple: Option<f64>,
    overload_for_ms: Option<f64>,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct RawPrices {
    connection: f64,
    cross_zone: f64,
    handshake: f64,
    late_fail: f64,
    probe: f64,
    waste: f64,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct RawGoal {
    slow_end: Option<f64>,
    tail_miss: Option<f64>,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct RawTelemetry {
    how: Option<String>,
    fields: Vec<String>,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct Raw {
    balancers: Option<u32>,
    me: u32,
    goal: RawGoal,
    locality: u8,
    classes: Vec<RawClass>,
    parties: Vec<RawTenant>,
    discovery: Option<String>,
    failure_domains: Vec<String>,
    guarantees: RawGuarantees,
    limits: RawLimits,
    over_share_worth: Option<f64>,
    prices: RawPrices,
    skus: Vec<String>,
    telemetry: RawTelemetry,
    weight_kind: Option<String>,
    worth_by: Option<String>,
}

/// What a settings object says.
#[derive(Clone, Debug, PartialEq)]
pub struct Site {
    /// The library's settings.
    pub settings: Settings,
    /// What the numbers in them are called.
    pub names: Names,
}

/// Names by position: those of classes and tenants as in [`Settings`], those of zones and kinds as their ids.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Names {
    /// The classes of requests.
    pub classes: Vec<String>,
    /// The tenants.
    pub tenants: Vec<String>,
    /// The zones.
    pub zones: Vec<String>,
    /// The kinds of upstreams.
    pub kinds: Vec<String>,
}

/// A time in milliseconds as a `Duration`; what is no such time becomes zero, what is too long the longest.
pub fn ms(value: f64) -> Duration {
    if value.is_nan() || value <= 0.0 {
        return Duration::ZERO;
    }
    Duration::try_from_secs_f64(value / 1e3).unwrap_or(Duration::MAX)
}

/// The class at this position; what is wrong with it is named by its key.
fn class((n, raw): (usize, &RawClass)) -> Result<Class, Wrong> {
    let wrong = |key: &str, what: String| Err(Wrong { path: format!("classes[{n}].{key}"), what });
    let effect = match (raw.effect.as_str(), raw.dedup_scope.as_deref()) {
        ("idempotent", _) => Effect::Idempotent,
        ("at_most_once", _) => Effect::AtMostOnce,
        ("deduplicated", scope) => Effect::Deduplicated {
            group: match scope {
                Some("all") => DedupGroup::All,
                Some("zone") => DedupGroup::Zone,
                Some("cell") => DedupGroup::Cell,
                None => return wrong("dedup_scope", "it is missing".into()),
                Some(other) => return wrong("dedup_scope", format!("unknown scope {other:?}")),
            },
            ttl: ms(raw.key_ttl_ms),
        },
        (other, _) => return wrong("effect", format!("unknown effect {other:?}")),
    };
    Ok(Class {
        aim: ms(raw.aim_ms),
        aim_stretch: raw.aim_stretch,
        deadline: ms(raw.hard_limit_ms),
        worth: raw.worth,
        late_worth: raw.late_worth,
        effect,
        streamed: raw.streamed,
    })
}

/// The value of a load report that goes by this name in settings or in reports.
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

/// Reads the settings' text.
pub fn parse(text: &str) -> Result<Site, String> {
    let raw = serde_json::from_str(text).map_err(|e| format!("settings: {e}"))?;
    site(raw).map_err(|e| format!("settings: {e}"))
}

fn site(raw: Raw) -> Result<Site, Wrong> {
    let base = Settings::default();
    let (limits, rules) = (&raw.limits, &raw.guarantees);
    let time = |value: Option<f64>, or: Duration| value.map_or(or, ms);
    let settings = Settings {
        balancers: raw.balancers.unwrap_or(base.balancers),
        index: raw.me,
        zone: ZoneId(raw.locality),
        classes: raw.classes.iter().enumerate().map(class).collect::<Result<_, _>>()?,
        tenants: raw.parties.iter().map(|t| Tenant { allowance_per_s: t.allowance_per_s }).collect(),
        over_share_worth: raw.over_share_worth.unwrap_or(base.over_share_worth),
        worth_by_work: raw.worth_by.as_deref() == Some("work"),
        ask_for_fleet: raw.discovery.as_deref() == Some("subscribe"),
        ask_every: time(rules.ask_every_ms, base.ask_every),
        cold_from: rules.cold_from.unwrap_or(base.cold_from),
        cold_time: time(rules.cold_ms, base.cold_time),
        fall_multiple: rules.fall_multiple.unwrap_or(base.fall_multiple),
        fall_time: time(rules.overload_for_ms, base.fall_time),
        max_attempts: limits.try_limit.map_or(base.max_attempts, |n| n.min(250) as u8),
        hedging: limits.second_copies.unwrap_or(base.hedging),
        cancelling: limits.cancelling.unwrap_or(base.cancelling),
        probing: limits.may_probe.unwrap_or(base.probing),
        max_retry_after: time(limits.max_retry_after_ms, base.max_retry_after),
        connect_timeout: time(limits.connect_timeout_ms, base.connect_timeout),
        conn_idle: time(limits.conn_idle_ms, base.conn_idle),
        max_streams: limits.max_streams.unwrap_or(base.max_streams),
        tail_miss: raw.goal.slow_end.filter(|w| *w > 0.0).and(raw.goal.tail_miss),
        cpu_per_request: ms(limits.cpu_us_per_request / 1e3),
        weights: match raw.weight_kind.as_deref() {
            Some("live") => Weights::Live,
            Some("nominal" | "rough") => Weights::Size,
            _ => Weights::Off,
        },
        reports: match raw.telemetry.how.as_deref() {
            Some("inline") => Reports::Inline,
            Some("on_probe") => Reports::OnProbe,
            _ => Reports::Off,
        },
        report_fields: raw.telemetry.fields.iter().map(|name| load_field(name)).collect(),
        prices: Prices {
            cross_zone: raw.prices.cross_zone,
            connection: raw.prices.connection,
            handshake: raw.prices.handshake,
            late_fail: raw.prices.late_fail,
            probe: raw.prices.probe,
            waste: raw.prices.waste,
        },
    };
    let names = Names {
        classes: raw.classes.into_iter().map(|c| c.name).collect(),
        tenants: raw.parties.into_iter().map(|t| t.name).collect(),
        zones: raw.failure_domains,
        kinds: raw.skus,
    };
    Ok(Site { settings, names })
}
