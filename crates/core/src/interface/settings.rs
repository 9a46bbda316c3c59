//! What a balancer is told of its surroundings: classes, tenants, and the figures that hold for all of them.

use super::{Effect, ZoneId};
use std::time::Duration;

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// An answer within this time earns the full worth.
    pub aim: Duration,
    /// The aim grows by this multiple of the request's own work, where the work is known.
    pub aim_stretch: f64,
    /// The longest a client waits.
    pub deadline: Duration,
    /// What one answer in time is worth.
    pub worth: f64,
    /// The share of the worth left for an answer after the aim.
    pub late_worth: f64,
    /// What a repeat may do.
    pub effect: Effect,
    /// The answer is a stream: [`Event::StreamStarted`](crate::Event::StreamStarted) is told.
    pub streamed: bool,
}

/// A customer whose traffic shares the fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Requests a second over all balancers that count as within its share; 0 = not stated.
    pub allowance_per_s: f64,
}

impl Default for Class {
    /// A class that may not run twice, wanted within a second.
    fn default() -> Self {
        Self {
            aim: Duration::from_secs(1),
            aim_stretch: 0.0,
            deadline: Duration::from_secs(3),
            worth: 1.0,
            late_worth: 0.0,
            effect: Effect::AtMostOnce,
            streamed: false,
        }
    }
}

/// What an upstream's listed weight means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Weights {
    /// Nothing.
    Off,
    /// Its registered size, or about that.
    Size,
    /// Its size divided by 1 + the requests each core held a while ago.
    Live,
}

/// Where load reports come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reports {
    /// There are none.
    Off,
    /// With every outcome and probe.
    Inline,
    /// With probes only.
    OnProbe,
}

/// The meaning of one value in a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadField {
    /// Requests the upstream holds.
    InFlight,
    /// Requests waiting in it.
    Queue,
    /// The share of its CPU in use.
    Utilization,
    /// Its recent service time in milliseconds.
    ServiceMs,
    /// Requests served a second.
    RequestRate,
    /// Errors a second.
    ErrorRate,
    /// Something this version does not know.
    Other,
}

/// Prices: what an act costs, in the worth of an average request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Prices {
    /// An attempt in another zone.
    pub cross_zone: f64,
    /// A hundred connections held open to an upstream, all along.
    pub connection: f64,
    /// A new connection.
    pub handshake: f64,
    /// A request that ends unserved only after its aim.
    pub late_fail: f64,
    /// A probe.
    pub probe: f64,
    /// Upstream work that served nobody, a mean request's worth of it.
    pub waste: f64,
}

/// What one balancer is told once, at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// How many balancers share the fleet, this one included.
    pub balancers: u32,
    /// This one's number among them, from 0.
    pub index: u32,
    /// The zone this balancer stands in.
    pub zone: ZoneId,
    /// The classes of requests; at least one.
    pub classes: Vec<Class>,
    /// The tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// What a request over its tenant's allowance is worth, as a share of its class's worth.
    pub over_share_worth: f64,
    /// A request's worth is in proportion to its work.
    pub worth_by_work: bool,
    /// The list of upstreams must be asked for: [`Action::WatchFleet`](crate::Action::WatchFleet),
    /// [`Action::FetchFleet`](crate::Action::FetchFleet).
    pub ask_for_fleet: bool,
    /// A balancer silent for this long counts as told of all that was listed then.
    pub ask_every: Duration,
    /// A starting upstream can do at least this share of its work ...
    pub cold_from: f64,
    /// ... and all of it after this long.
    pub cold_time: Duration,
    /// A cold upstream falls over when sent more than this multiple of its present capacity ...
    pub fall_multiple: f64,
    /// ... for this long.
    pub fall_time: Duration,
    /// The most attempts one request may have.
    pub max_attempts: u8,
    /// Two attempts of a request may be out together.
    pub hedging: bool,
    /// Attempts may be cancelled.
    pub cancelling: bool,
    /// Probes are allowed.
    pub probing: bool,
    /// The longest stay away that clients heed.
    pub max_retry_after: Duration,
    /// A connection not made in this time counts as failed.
    pub connect_timeout: Duration,
    /// A connection not used for this long closes.
    pub conn_idle: Duration,
    /// Attempts that one connection carries at once.
    pub max_streams: u32,
    /// The share of misses, by class, that is tolerated where the goal has a part for the slow end.
    pub tail_miss: Option<f64>,
    /// CPU that a request and its outcomes may cost; zero: no limit.
    pub cpu_per_request: Duration,
    /// What upstreams' listed weights mean.
    pub weights: Weights,
    /// Where load reports come from.
    pub reports: Reports,
    /// The values in a load report, in order.
    pub report_fields: Vec<LoadField>,
    /// What acts cost.
    pub prices: Prices,
}

impl Default for Settings {
    /// One balancer that is told its list, with no classes yet.
    fn default() -> Self {
        Self {
            balancers: 1,
            index: 0,
            zone: ZoneId(0),
            classes: Vec::new(),
            tenants: Vec::new(),
            over_share_worth: 0.1,
            worth_by_work: false,
            ask_for_fleet: false,
            ask_every: Duration::from_secs(10),
            cold_from: 0.3,
            cold_time: Duration::from_secs(10),
            fall_multiple: 3.0,
            fall_time: Duration::from_secs(2),
            max_attempts: 3,
            hedging: true,
            cancelling: true,
            probing: false,
            max_retry_after: Duration::from_secs(1),
            connect_timeout: Duration::from_millis(250),
            conn_idle: Duration::from_secs(60),
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
    /// No balancer: not even this one.
    NoBalancers,
    /// The named figure is negative, not a number, or zero where it can't be.
    OutOfRange(&'static str),
}

impl Settings {
    /// Whether decisions are possible with these figures; the error names the first that permits none.
    pub fn check(&self) -> Result<(), SettingsError> {
        let out = |what| Err(SettingsError::OutOfRange(what));
        let real = |x: f64| x >= 0.0 && x.is_finite();
        if self.classes.is_empty() {
            return Err(SettingsError::NoClasses);
        }
        if self.balancers == 0 {
            return Err(SettingsError::NoBalancers);
        }
        if self.max_attempts == 0 {
            return out("max_attempts");
        }
        if self.index >= self.balancers {
            return out("index");
        }
        if self.max_streams == 0 {
            return out("max_streams");
        }
        for (x, what) in [
            (self.over_share_worth, "over_share_worth"),
            (self.cold_from, "cold_from"),
            (self.fall_multiple, "fall_multiple"),
            (self.prices.cross_zone, "prices.cross_zone"),
            (self.prices.connection, "prices.connection"),
            (self.prices.handshake, "prices.handshake"),
            (self.prices.late_fail, "prices.late_fail"),
            (self.tail_miss.unwrap_or(0.0), "tail_miss"),
            (self.prices.probe, "prices.probe"),
            (self.prices.waste, "prices.waste"),
        ] {
            if !real(x) {
                return out(what);
            }
        }
        for class in &self.classes {
            if class.aim.is_zero() {
                return out("class aim");
            }
            for (x, what) in [
                (class.worth, "class worth"),
                (class.late_worth, "class late_worth"),
                (class.aim_stretch, "class aim_stretch"),
            ] {
                if !real(x) {
                    return out(what);
                }
            }
        }
        for tenant in &self.tenants {
            if !real(tenant.allowance_per_s) {
                return out("tenant allowance_per_s");
            }
        }
        Ok(())
    }
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
