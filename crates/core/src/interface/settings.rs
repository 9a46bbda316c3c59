//! Settings: the classes of requests, the tenants, and the figures that hold for all of them.

use super::{Effect, ZoneId};
use std::time::Duration;

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// The latency objective: an answer within this time earns the full value.
    pub latency_objective: Duration,
    /// The objective grows by this multiple of the request's own work, where the work is known.
    pub objective_stretch: f64,
    /// The longest time that a client waits.
    pub deadline: Duration,
    /// The value of one answer in time.
    pub value: f64,
    /// The share of the value left for an answer after the objective.
    pub late_value: f64,
    /// What a repeat of a request may do.
    pub effect: Effect,
    /// Whether the answer is a stream, which [`Event::StreamStarted`](crate::Event::StreamStarted) reports.
    pub is_streamed: bool,
}

/// A customer whose traffic shares the fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// The requests a second, over all balancers, that the tenant is allowed; 0 if nothing is stated.
    pub allowance_per_s: f64,
}

impl Default for Class {
    /// Returns a class whose requests may not run twice and are wanted within a second.
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

/// What an upstream's listed weight means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Weights {
    /// The weight means nothing.
    Off,
    /// The weight is the upstream's registered size, or about that.
    Size,
    /// The weight is its size divided by 1 + the requests that each core held a while ago.
    Live,
}

/// Where load reports come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reports {
    /// There are no load reports.
    Off,
    /// A load report comes with every outcome and probe.
    Inline,
    /// A load report comes with probes only.
    OnProbe,
}

/// The meaning of one value in a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadField {
    /// The requests that the upstream has in flight.
    InFlight,
    /// The requests that wait in its queue.
    Queue,
    /// The share of its CPU in use.
    Utilization,
    /// Its recent service time in milliseconds.
    ServiceMs,
    /// The requests that it serves a second.
    RequestRate,
    /// The errors that it answers a second.
    ErrorRate,
    /// A value that this version does not know.
    Other,
}

/// Prices: the cost of an action, in the value of an average request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Prices {
    /// An attempt in another zone.
    pub cross_zone: f64,
    /// A hundred connections held open to an upstream, all along.
    pub connection: f64,
    /// A new connection.
    pub handshake: f64,
    /// A request that ends unserved only after its latency objective.
    pub late_fail: f64,
    /// A probe.
    pub probe: f64,
    /// Upstream work that served nobody, as much as a mean request takes.
    pub waste: f64,
}

/// The settings of one balancer.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// How many balancers share the fleet, this one included.
    pub balancers: u32,
    /// This one's number among them, from 0.
    pub index: u32,
    /// The zone that this balancer runs in.
    pub zone: ZoneId,
    /// The classes of requests; at least one.
    pub classes: Vec<Class>,
    /// The tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// The value of a request over its tenant's allowance, as a share of its class's value.
    pub over_allowance_value: f64,
    /// Whether a request's value is in proportion to its work.
    pub is_value_by_work: bool,
    /// Whether the balancer has to call a discovery service for its endpoints, by
    /// [`Action::WatchEndpoints`](crate::Action::WatchEndpoints) and
    /// [`Action::FetchEndpoints`](crate::Action::FetchEndpoints).
    pub has_endpoint_discovery: bool,
    /// The interval of discovery calls: a balancer that has been silent for this time is held to know all
    /// that was listed when it called last.
    pub endpoint_poll_interval: Duration,
    /// The share of its full capacity that an upstream has when it starts.
    pub slow_start_min_share: f64,
    /// The time after which an upstream that started has its full capacity.
    pub slow_start_window: Duration,
    /// An upstream in slow start fails when it gets more than this multiple of its present capacity for
    /// `overload_window`.
    pub overload_multiple: f64,
    /// The time for which an upstream in slow start bears more than that.
    pub overload_window: Duration,
    /// The most attempts that one request may have.
    pub max_attempts: u8,
    /// Whether two attempts of a request may be in flight together.
    pub can_hedge: bool,
    /// Whether attempts may be cancelled.
    pub can_cancel: bool,
    /// Whether probes are allowed.
    pub can_probe: bool,
    /// The longest `Retry-After` that clients heed.
    pub max_retry_after: Duration,
    /// A connection that is not made in this time counts as failed.
    pub connect_timeout: Duration,
    /// A connection that is not used for this time closes.
    pub connection_idle_timeout: Duration,
    /// The most attempts that one connection carries at once.
    pub max_streams: u32,
    /// The share of misses, by class, that is tolerated where the goal has a part for the slow end.
    pub tail_miss: Option<f64>,
    /// The CPU time that a request and its outcomes may cost; zero if there is no limit.
    pub cpu_per_request: Duration,
    /// What the upstreams' listed weights mean.
    pub weights: Weights,
    /// Where load reports come from.
    pub reports: Reports,
    /// The values in a load report, in order.
    pub report_fields: Vec<LoadField>,
    /// What actions cost.
    pub prices: Prices,
}

impl Default for Settings {
    /// Returns the settings of a single balancer without discovery and, as yet, without classes.
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

/// Why no decision is possible with some [`Settings`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettingsError {
    /// There are no classes.
    NoClasses,
    /// There are no balancers, not even this one.
    NoBalancers,
    /// The named figure is negative, not a number, or zero where it can't be.
    OutOfRange(&'static str),
}

impl Settings {
    /// Checks whether decisions are possible with these figures.
    ///
    /// # Errors
    ///
    /// Names the first figure that permits no decisions.
    pub fn check(&self) -> Result<(), SettingsError> {
        if self.classes.is_empty() {
            return Err(SettingsError::NoClasses);
        }
        if self.balancers == 0 {
            return Err(SettingsError::NoBalancers);
        }
        self.check_counts()?;
        self.check_figures()?;
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

    fn check_figures(&self) -> Result<(), SettingsError> {
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

/// Checks that each figure is a finite number that is not negative; the error has the name of the first that
/// is not.
fn check_not_negative(figures: &[(f64, &'static str)]) -> Result<(), SettingsError> {
    let invalid = figures.iter().find(|(figure, _)| !(*figure >= 0.0 && figure.is_finite()));
    invalid.map_or(Ok(()), |(_, name)| Err(SettingsError::OutOfRange(name)))
}

impl std::fmt::Display for SettingsError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::NoClasses => write!(f, "settings name no request class"),
            Self::NoBalancers => write!(f, "settings count no balancers"),
            Self::OutOfRange(what) => write!(f, "settings: {what} is out of range"),
        }
    }
}

impl std::error::Error for SettingsError {}
