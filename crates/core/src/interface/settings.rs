//! Settings: request classes, tenants, and the values that apply to all of them.

use super::{Effect, ZoneId};
use std::time::Duration;

/// Class of requests with the same objective, value and repeat semantics.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Latency objective; an answer within this time earns the full value.
    pub latency_objective: Duration,
    /// Multiple of the request's own work that is added to the objective, if the work is known.
    pub objective_stretch: f64,
    /// Longest time that a client waits for an answer.
    pub deadline: Duration,
    /// Value of an answer within the objective.
    pub value: f64,
    /// Share of the value that is left for an answer after the objective.
    pub late_value: f64,
    /// Effect of sending a request of the class more than once.
    pub effect: Effect,
    /// True if the answer is a stream, which [`Event::StreamStarted`](crate::Event::StreamStarted) reports.
    pub is_streamed: bool,
}

/// Customer whose traffic shares the upstreams with other customers.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Requests per second that the tenant may send over all balancers; 0 if not configured.
    pub allowance_per_s: f64,
}

impl Default for Class {
    /// Returns a class of at-most-once requests with a latency objective of one second.
    fn default() -> Self {
        Self {
            latency_objective: Duration::from_secs(1),
            objective_stretch: 0.0,
            deadline: Duration::from_secs(3),
            value: 1.0,
            late_value: 0.0,
            effect: Effect::AtMostOnce,
            is_streamed: false,
        }
    }
}

/// Meaning of an upstream's listed weight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Weights {
    /// The weight is ignored.
    Off,
    /// The weight is approximately the upstream's registered size.
    Size,
    /// The weight is the upstream's size divided by 1 + its earlier requests in flight per core.
    Live,
}

/// Source of load reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reports {
    /// Upstreams send no load reports.
    Off,
    /// Each outcome and each probe carries a load report.
    Inline,
    /// Only probes carry load reports.
    OnProbe,
}

/// Meaning of one value in a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadField {
    /// Requests in flight at the upstream.
    InFlight,
    /// Requests that wait in the upstream's queue.
    Queue,
    /// Share of the upstream's CPU in use.
    Utilization,
    /// Recent service time in milliseconds.
    ServiceMs,
    /// Requests served per second.
    RequestRate,
    /// Errors answered per second.
    ErrorRate,
    /// Value that this version does not know.
    Other,
}

/// Costs of a balancer's actions, in units of the value of an average request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Prices {
    /// One attempt in another zone.
    pub cross_zone: f64,
    /// One hundred connections to an upstream that stay open permanently.
    pub connection: f64,
    /// One new connection.
    pub handshake: f64,
    /// One request that fails only after its latency objective.
    pub late_fail: f64,
    /// One probe.
    pub probe: f64,
    /// Wasted upstream work of one average request.
    pub waste: f64,
}

/// Settings of one balancer.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Number of balancers that share the upstreams, including this one.
    pub balancers: u32,
    /// Index of this balancer among all balancers, from 0.
    pub index: u32,
    /// Zone that this balancer runs in.
    pub zone: ZoneId,
    /// Request classes; at least one.
    pub classes: Vec<Class>,
    /// Tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Value of a request over its tenant's allowance, as a share of its class's value.
    pub over_allowance_value: f64,
    /// True if the value of a request is proportional to its work.
    pub is_value_by_work: bool,
    /// True if the balancer has to call a discovery service for its endpoints, by
    /// [`Action::WatchEndpoints`](crate::Action::WatchEndpoints) and
    /// [`Action::FetchEndpoints`](crate::Action::FetchEndpoints).
    pub has_endpoint_discovery: bool,
    /// Interval of discovery calls. A balancer that has not called for this time is expected to know
    /// everything that was listed at its last call.
    pub endpoint_poll_interval: Duration,
    /// Share of its full capacity that an upstream has when it starts.
    pub slow_start_min_share: f64,
    /// Time from an upstream's start until it has its full capacity.
    pub slow_start_window: Duration,
    /// Multiple of its present capacity that makes an upstream in slow start fail if the load exceeds it for
    /// `overload_window`.
    pub overload_multiple: f64,
    /// Time for which an upstream in slow start withstands a load above `overload_multiple`.
    pub overload_window: Duration,
    /// Maximum number of attempts per request.
    pub max_attempts: u8,
    /// True if two attempts of a request may be in flight at the same time.
    pub can_hedge: bool,
    /// True if attempts may be cancelled.
    pub can_cancel: bool,
    /// True if probes are allowed.
    pub can_probe: bool,
    /// Longest `Retry-After` that clients respect.
    pub max_retry_after: Duration,
    /// Time after which a connection that is not established counts as failed.
    pub connect_timeout: Duration,
    /// Time after which an unused connection closes.
    pub connection_idle_timeout: Duration,
    /// Maximum number of concurrent attempts on one connection.
    pub max_streams: u32,
    /// Tolerated share of missed objectives per class; `None` if the goal does not include tail latency.
    pub tail_miss: Option<f64>,
    /// CPU time that a request and its outcomes may cost the balancer; zero if there is no limit.
    pub cpu_per_request: Duration,
    /// Meaning of the upstreams' listed weights.
    pub weights: Weights,
    /// Source of load reports.
    pub reports: Reports,
    /// Meaning of each value in a load report, in order.
    pub report_fields: Vec<LoadField>,
    /// Costs of the balancer's actions.
    pub prices: Prices,
}

impl Default for Settings {
    /// Returns the settings of a single balancer without discovery; classes still have to be added.
    fn default() -> Self {
        Self {
            balancers: 1,
            index: 0,
            zone: ZoneId(0),
            classes: Vec::new(),
            tenants: Vec::new(),
            over_allowance_value: 0.1,
            is_value_by_work: false,
            has_endpoint_discovery: false,
            endpoint_poll_interval: Duration::from_secs(10),
            slow_start_min_share: 0.3,
            slow_start_window: Duration::from_secs(10),
            overload_multiple: 3.0,
            overload_window: Duration::from_secs(2),
            max_attempts: 3,
            can_hedge: true,
            can_cancel: true,
            can_probe: false,
            max_retry_after: Duration::from_secs(1),
            connect_timeout: Duration::from_millis(250),
            connection_idle_timeout: Duration::from_secs(60),
            max_streams: 100,
            tail_miss: None,
            cpu_per_request: Duration::ZERO,
            weights: Weights::Size,
            reports: Reports::Off,
            report_fields: Vec::new(),
            prices: Prices::default(),
        }
    }
}

/// Reason why [`Settings::check`] rejects settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettingsError {
    /// There are no request classes.
    NoClasses,
    /// The number of balancers is zero.
    NoBalancers,
    /// The named value is outside its valid range.
    OutOfRange(&'static str),
}

impl Settings {
    /// Checks that a balancer can run with these settings.
    ///
    /// # Errors
    ///
    /// Returns the first value that is invalid.
    pub fn check(&self) -> Result<(), SettingsError> {
        if self.classes.is_empty() {
            return Err(SettingsError::NoClasses);
        }
        if self.balancers == 0 {
            return Err(SettingsError::NoBalancers);
        }
        self.check_counts()?;
        self.check_shares_and_prices()?;
        self.classes.iter().try_for_each(Class::check)?;
        self.tenants.iter().try_for_each(Tenant::check)
    }

    fn check_counts(&self) -> Result<(), SettingsError> {
        if self.max_attempts == 0 {
            return Err(SettingsError::OutOfRange("max_attempts"));
        }
        if self.index >= self.balancers {
            return Err(SettingsError::OutOfRange("index"));
        }
        if self.max_streams == 0 {
            return Err(SettingsError::OutOfRange("max_streams"));
        }
        Ok(())
    }

    fn check_shares_and_prices(&self) -> Result<(), SettingsError> {
        check_not_negative(&[
            (self.over_allowance_value, "over_share_worth"),
            (self.slow_start_min_share, "cold_from"),
            (self.overload_multiple, "fall_multiple"),
            (self.prices.cross_zone, "prices.cross_zone"),
            (self.prices.connection, "prices.connection"),
            (self.prices.handshake, "prices.handshake"),
            (self.prices.late_fail, "prices.late_fail"),
            (self.tail_miss.unwrap_or(0.0), "tail_miss"),
            (self.prices.probe, "prices.probe"),
            (self.prices.waste, "prices.waste"),
        ])
    }
}

impl Class {
    fn check(&self) -> Result<(), SettingsError> {
        if self.latency_objective.is_zero() {
            return Err(SettingsError::OutOfRange("class aim"));
        }
        check_not_negative(&[
            (self.value, "class worth"),
            (self.late_value, "class late_worth"),
            (self.objective_stretch, "class aim_stretch"),
        ])
    }
}

impl Tenant {
    fn check(&self) -> Result<(), SettingsError> {
        check_not_negative(&[(self.allowance_per_s, "tenant allowance_per_s")])
    }
}

/// Returns an error with the name of the first value that is negative or not finite.
fn check_not_negative(values: &[(f64, &'static str)]) -> Result<(), SettingsError> {
    let invalid = values.iter().find(|(value, _)| !(*value >= 0.0 && value.is_finite()));
    invalid.map_or(Ok(()), |(_, name)| Err(SettingsError::OutOfRange(name)))
}

impl std::fmt::Display for SettingsError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::NoClasses => write!(f, "settings: there is no request class"),
            Self::NoBalancers => write!(f, "settings: there are no balancers"),
            Self::OutOfRange(name) => write!(f, "settings: {name} is out of range"),
        }
    }
}

impl std::error::Error for SettingsError {}
