//! The interface of the decision module: its settings, the events it is told, the actions it answers.
//!
//! All times are [`Duration`]s on one clock of the embedder's choice that only goes forward.

use crate::heritage::Heritage;
use std::time::Duration;

/// A client's request; never reused by one embedder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId(pub u32);
/// A server behind the proxy. The number carries no meaning.
#[derive(Default, Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct UpstreamId(pub u64);
/// Position in [`Settings::classes`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClassId(pub u16);
/// Position in [`Settings::tenants`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TenantId(pub u32);
/// A failure domain.
#[derive(Default, Clone, Copy, Debug, PartialEq, Eq)]
pub struct ZoneId(pub u8);
/// A hardware kind: upstreams of one kind are alike.
#[derive(Default, Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct KindId(pub u16);
/// A small set of upstreams that share which idempotency keys they have seen.
#[derive(Default, Clone, Copy, Debug, PartialEq, Eq)]
pub struct CellId(pub u16);
/// The attempts of one request are numbered 0, 1, 2 ... in the order of [`Action::Attempt`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptNo(pub u8);
/// Names a timer set by [`Action::Timer`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimerId(pub u32);

/// What a repeat of a request may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Repeats are harmless.
    Idempotent,
    /// Upstreams of one group drop a repeat that is sent within `ttl` of the first send that may have run.
    Deduplicated {
        /// Which upstreams share the memory of a key.
        group: DedupGroup,
        /// How long they remember it.
        ttl: Duration,
    },
    /// It must never run twice.
    AtMostOnce,
}

impl Effect {
    /// What satisfies both: whatever this allows, each of them does.
    pub fn stricter(self, other: Self) -> Self {
        match (self, other) {
            (Self::Idempotent, effect) | (effect, Self::Idempotent) => effect,
            (Self::Deduplicated { group: a, ttl: s }, Self::Deduplicated { group: b, ttl: t }) => {
                let group = match (a, b) {
                    (DedupGroup::All, group) | (group, DedupGroup::All) => group,
                    _ if a == b => a,
                    // A cell and a zone: nothing says that one lies within the other.
                    _ => return Self::AtMostOnce,
                };
                Self::Deduplicated { group, ttl: s.min(t) }
            }
            _ => Self::AtMostOnce,
        }
    }
}

/// The upstreams that drop one another's repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupGroup {
    /// All of them.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

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
    /// The answer is a stream: [`Event::StreamStarted`] is told.
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
    /// The list of upstreams must be asked for: [`Action::WatchFleet`], [`Action::FetchFleet`].
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

/// What the list of upstreams says of one of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// It takes requests.
    Ready,
    /// It finishes what it has; nothing new goes there.
    Draining,
    /// It is no more.
    Gone,
}

/// One upstream as listed.
#[derive(Clone, Debug, PartialEq)]
pub struct Listed {
    /// Its id.
    pub id: UpstreamId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its kind.
    pub kind: KindId,
    /// Its cell.
    pub cell: CellId,
    /// Whether it takes requests.
    pub availability: Availability,
    /// Its weight; see [`Settings::weights`].
    pub weight: f64,
    /// When its process last started, if that was not long ago.
    pub started: Option<Duration>,
}

/// How complete a piece of news about the list is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FleetScope {
    /// Only the entries that changed.
    Changes,
    /// The whole list; what is missing is gone.
    Full,
    /// The whole list as this balancer last held it, perhaps out of date.
    Cached,
    /// A call failed or the watch broke; the list held stays.
    Failed,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// The upstream answered with an error; it may have run.
    Error,
    /// Turned away unseen: the queue was full, or it drains.
    Rejected,
    /// No answer in time; it may have run, or may still.
    TimedOut,
    /// No connection in time; it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Cancelled; it may have run.
    Cancelled,
    /// Not sent at all.
    NotSent,
    /// The upstream said that it has too much to do; it may have run all the same.
    Overloaded,
}

impl Outcome {
    /// Whether this outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Self::Rejected | Self::ConnectFailed | Self::NotSent)
    }
}

/// Something the embedder tells [`Balancer`](crate::Balancer).
#[derive(Clone, Debug, PartialEq)]
pub enum Event<'a> {
    /// News of the list of upstreams. The first event of a balancer's life is a `Cached` one.
    Fleet {
        /// How complete it is.
        scope: FleetScope,
        /// The entries.
        listed: &'a [Listed],
    },
    /// A client's request has come.
    Request {
        /// Its id.
        id: RequestId,
        /// Its class.
        class: ClassId,
        /// Its tenant.
        tenant: TenantId,
        /// How long the client still waits.
        time_left: Duration,
        /// Expected work in milliseconds on a standard core, where known.
        work_ms: Option<f64>,
        /// The client says that it has tried this before.
        repeat: bool,
    },
    /// A streamed answer, or a request's streamed body, has started: the request has no deadline any more, and how
    /// long the attempt lasts says nothing of its upstream.
    StreamStarted {
        /// The request.
        id: RequestId,
        /// The attempt that streams.
        attempt: AttemptNo,
        /// Time since it was sent, of an answer; `None`: it is the request that streams.
        latency: Option<Duration>,
    },
    /// An attempt has ended; told once for each.
    AttemptEnded {
        /// The request.
        id: RequestId,
        /// The attempt.
        attempt: AttemptNo,
        /// Where it was sent.
        upstream: UpstreamId,
        /// How it ended.
        outcome: Outcome,
        /// Time since it was sent.
        latency: Duration,
        /// The request has its final answer, by this outcome or before it.
        finished: bool,
        /// A load report, its values as in [`Settings::report_fields`]; empty if none came.
        report: &'a [f32],
    },
    /// The client has gone; no answer is owed.
    RequestGone {
        /// The request.
        id: RequestId,
    },
    /// A probe has ended.
    ProbeEnded {
        /// The upstream probed.
        upstream: UpstreamId,
        /// How it ended.
        outcome: Outcome,
        /// Time since it was sent.
        latency: Duration,
        /// A load report; empty if none came.
        report: &'a [f32],
    },
    /// The settings have changed. Classes and tenants keep their positions, and there are no fewer; others may follow.
    /// Requests under way keep their class, and what is sent for them from now on obeys both the old and the new settings.
    Retuned {
        /// The settings from now on. Ignored if [`Settings::check`] finds fault with them, or they have fewer classes.
        settings: &'a Settings,
        /// Tenants that are not there any more.
        gone: &'a [TenantId],
    },
    /// What the process before this one had learned; after the list that it knew.
    Inherited {
        /// That.
        heritage: &'a Heritage,
    },
    /// A timer set by [`Action::Timer`] is due.
    Timer {
        /// Which.
        timer: TimerId,
    },
}

/// Something [`Balancer`](crate::Balancer) wants done, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request to an upstream.
    Attempt {
        /// The request.
        id: RequestId,
        /// Where to.
        upstream: UpstreamId,
        /// When to give this attempt up; `None`: when the client does.
        timeout: Option<Duration>,
    },
    /// Stop waiting for one attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// The attempt.
        attempt: AttemptNo,
    },
    /// Final answer: not taken; trying again is harmless.
    Refuse {
        /// The request.
        id: RequestId,
        /// How long the client should stay away.
        retry_after: Option<Duration>,
    },
    /// Final answer: failed; nothing is promised of the effect.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Ask for [`Event::Timer`] after some time.
    Timer {
        /// How long from now.
        after: Duration,
        /// Its name.
        timer: TimerId,
    },
    /// Ask the list service for changes from now on.
    WatchFleet,
    /// Ask the list service for the whole list once.
    FetchFleet,
    /// Close the idle connections to an upstream; those in use stay.
    CloseIdle {
        /// Which.
        upstream: UpstreamId,
    },
    /// Probe an upstream.
    Probe {
        /// Which.
        upstream: UpstreamId,
    },
    /// A line for the operators.
    Log {
        /// Its text.
        line: String,
    },
}
