//! The interface of the decision module: its settings, the events it is told, the actions it answers.
//!
//! All times are [`Duration`]s on one clock of the embedder's choice that only goes forward.

pub mod asking;
mod settings;
mod shares;

use crate::heritage::Heritage;
use std::time::Duration;

pub use settings::*;
pub use shares::*;

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

    /// What figures call it.
    pub fn name(self) -> &'static str {
        match self {
            Self::Ok => "ok",
            Self::Error => "error",
            Self::Rejected => "rejected",
            Self::TimedOut => "timed_out",
            Self::ConnectFailed => "connect_failed",
            Self::Reset => "reset",
            Self::Cancelled => "cancelled",
            Self::NotSent => "not_sent",
            Self::Overloaded => "overloaded",
        }
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
    /// The list service is elsewhere from now on: it is asked there at once, and what was out at its old place has
    /// been given up.
    FleetMoved,
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
    /// Which zones each group of requests goes to from now on, until told otherwise. `None`: the module chooses, as it
    /// does at the start. Ignored if [`Shares::check`] finds fault with them.
    Shares {
        /// The shares.
        shares: Option<&'a Shares>,
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
    /// Ask the list service for changes from now on. A call without an answer after [`asking::CALL_LONGEST`], and a
    /// watch silent for [`asking::SILENCE_LONGEST`], are told as [`FleetScope::Failed`].
    WatchFleet,
    /// Ask the list service for the whole list once; the same time holds.
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
