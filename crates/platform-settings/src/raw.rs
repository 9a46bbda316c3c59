//! The form of the settings object. Every name on the wire is a `serde` name; a missing key takes the
//! default.

use serde::Deserialize;

/// A class of requests.
#[derive(Deserialize)]
#[serde(default)]
pub(crate) struct RawClass {
    #[serde(rename = "aim_ms")]
    pub(crate) latency_objective_ms: f64,
    #[serde(rename = "aim_stretch")]
    pub(crate) objective_stretch: f64,
    #[serde(rename = "hard_limit_ms")]
    pub(crate) deadline_ms: f64,
    #[serde(rename = "worth")]
    pub(crate) value: f64,
    #[serde(rename = "late_worth")]
    pub(crate) late_value: f64,
    pub(crate) effect: String,
    pub(crate) dedup_scope: Option<String>,
    pub(crate) key_ttl_ms: f64,
    pub(crate) streamed: bool,
    pub(crate) name: String,
}

impl Default for RawClass {
    fn default() -> Self {
        Self {
            latency_objective_ms: 1000.0,
            objective_stretch: 0.0,
            deadline_ms: 3000.0,
            value: 1.0,
            late_value: 0.0,
            effect: "at_most_once".into(),
            dedup_scope: None,
            key_ttl_ms: 0.0,
            streamed: false,
            name: String::new(),
        }
    }
}

/// A tenant.
#[derive(Deserialize, Default)]
#[serde(default)]
pub(crate) struct RawTenant {
    pub(crate) allowance_per_s: f64,
    pub(crate) name: String,
}

/// What a balancer may do.
#[derive(Deserialize, Default)]
#[serde(default)]
pub(crate) struct RawLimits {
    pub(crate) cancelling: Option<bool>,
    #[serde(rename = "conn_idle_ms")]
    pub(crate) connection_idle_timeout_ms: Option<f64>,
    pub(crate) connect_timeout_ms: Option<f64>,
    #[serde(rename = "cpu_us_per_request")]
    pub(crate) cpu_micros_per_request: f64,
    pub(crate) max_streams: Option<u32>,
    #[serde(rename = "try_limit")]
    pub(crate) max_attempts: Option<u32>,
    pub(crate) max_retry_after_ms: Option<f64>,
    #[serde(rename = "may_probe")]
    pub(crate) probing: Option<bool>,
    #[serde(rename = "second_copies")]
    pub(crate) hedging: Option<bool>,
}

/// What upstreams and discovery guarantee.
#[derive(Deserialize, Default)]
#[serde(default)]
pub(crate) struct RawGuarantees {
    #[serde(rename = "ask_every_ms")]
    pub(crate) endpoint_poll_interval_ms: Option<f64>,
    #[serde(rename = "cold_from")]
    pub(crate) slow_start_min_share: Option<f64>,
    #[serde(rename = "cold_ms")]
    pub(crate) slow_start_window_ms: Option<f64>,
    #[serde(rename = "fall_multiple")]
    pub(crate) overload_multiple: Option<f64>,
    #[serde(rename = "overload_for_ms")]
    pub(crate) overload_window_ms: Option<f64>,
}

/// What actions cost.
#[derive(Deserialize, Default)]
#[serde(default)]
pub(crate) struct RawPrices {
    pub(crate) connection: f64,
    pub(crate) cross_zone: f64,
    pub(crate) handshake: f64,
    pub(crate) late_fail: f64,
    pub(crate) probe: f64,
    pub(crate) waste: f64,
}

/// How the balancer is judged.
#[derive(Deserialize, Default)]
#[serde(default)]
pub(crate) struct RawGoal {
    #[serde(rename = "slow_end")]
    pub(crate) tail_weight: Option<f64>,
    pub(crate) tail_miss: Option<f64>,
}

/// Load reports.
#[derive(Deserialize, Default)]
#[serde(default)]
pub(crate) struct RawTelemetry {
    #[serde(rename = "how")]
    pub(crate) reports: Option<String>,
    pub(crate) fields: Vec<String>,
}

/// The settings object.
#[derive(Deserialize, Default)]
#[serde(default)]
pub(crate) struct RawSettings {
    pub(crate) balancers: Option<u32>,
    #[serde(rename = "me")]
    pub(crate) index: u32,
    pub(crate) goal: RawGoal,
    #[serde(rename = "locality")]
    pub(crate) zone: u8,
    pub(crate) classes: Vec<RawClass>,
    #[serde(rename = "parties")]
    pub(crate) tenants: Vec<RawTenant>,
    pub(crate) discovery: Option<String>,
    #[serde(rename = "failure_domains")]
    pub(crate) zones: Vec<String>,
    pub(crate) guarantees: RawGuarantees,
    pub(crate) limits: RawLimits,
    #[serde(rename = "over_share_worth")]
    pub(crate) over_allowance_value: Option<f64>,
    pub(crate) prices: RawPrices,
    #[serde(rename = "skus")]
    pub(crate) kinds: Vec<String>,
    pub(crate) telemetry: RawTelemetry,
    pub(crate) weight_kind: Option<String>,
    #[serde(rename = "worth_by")]
    pub(crate) value_by: Option<String>,
}
