//! Events that the embedder reports to a balancer.

use super::*;
use std::time::Duration;

/// Event that the embedder reports to [`Balancer`](crate::Balancer).
#[derive(Clone, Debug, PartialEq)]
pub enum Event<'a> {
    /// Discovery has reported endpoints. A balancer's first event is an update of scope `Cached`.
    EndpointUpdate {
        /// Completeness of the update.
        scope: UpdateScope,
        /// Listed or changed endpoints, depending on `scope`.
        endpoints: &'a [Endpoint],
    },
    /// The discovery service has a new address. The balancer calls the new address at once; the embedder has
    /// already abandoned its calls to the old address.
    DiscoveryMoved,
    /// A client's request has arrived.
    Request {
        /// Unique id of the request.
        id: RequestId,
        /// Class that sets the latency objective of the request.
        class: ClassId,
        /// Tenant whose token bucket the request draws from.
        tenant: TenantId,
        /// Time until the client stops waiting.
        time_left: Duration,
        /// Expected work in milliseconds on a standard core, if known.
        work_ms: Option<f64>,
        /// True if the client reports an earlier try of this request.
        is_repeat: bool,
    },
    /// A streamed answer, or a request's streamed body, has started. From now on the request has no deadline,
    /// and the duration of the attempt says nothing about its upstream.
    StreamStarted {
        /// Request that streams.
        id: RequestId,
        /// Attempt that streams.
        attempt: AttemptNo,
        /// Time from sending the attempt to the start of the answer; `None` if the request's body streams.
        latency: Option<Duration>,
    },
    /// Part of a final answer has arrived that is not passed on yet, since nobody knows how long it is. The
    /// embedder reports this from the head on, as long as more arrives.
    AnswerProgress {
        /// Request that is being answered.
        id: RequestId,
        /// Attempt that is being answered.
        attempt: AttemptNo,
    },
    /// An attempt has ended. The embedder reports this once for each attempt.
    AttemptEnded {
        /// Request that the attempt belongs to.
        id: RequestId,
        /// Number of the attempt within the request.
        attempt: AttemptNo,
        /// Upstream that the attempt was sent to.
        upstream: UpstreamId,
        /// Result of the attempt.
        outcome: Outcome,
        /// Time from sending the attempt to its end.
        latency: Duration,
        /// True if this or an earlier outcome gave the request its final answer.
        is_finished: bool,
        /// Load report with values in the order of [`Settings::report_fields`]; empty if none was received.
        report: &'a [f32],
    },
    /// The client has disconnected; the request needs no answer.
    RequestCancelled {
        /// Request of the disconnected client.
        id: RequestId,
    },
    /// A probe has ended.
    ProbeEnded {
        /// Upstream that was probed.
        upstream: UpstreamId,
        /// Result of the probe.
        outcome: Outcome,
        /// Time from sending the probe to its end.
        latency: Duration,
        /// Load report with values in the order of [`Settings::report_fields`]; empty if none was received.
        report: &'a [f32],
    },
    /// The settings have changed. Classes and tenants keep their positions; new ones may be appended, and
    /// none is dropped. Requests in flight keep their class, and their further attempts obey both the old and
    /// the new settings.
    SettingsChanged {
        /// New settings. They are ignored if [`Settings::check`] rejects them or they have fewer classes.
        settings: &'a Settings,
        /// Tenants that no longer exist.
        removed_tenants: &'a [TenantId],
    },
    /// The traffic split has changed. A split that [`TrafficSplit::check`] rejects is ignored.
    TrafficSplit {
        /// New split; `None` if the balancer chooses zones itself, as it does at the start.
        split: Option<&'a TrafficSplit>,
    },
    /// The previous process has handed over its learned state. This event follows the update that lists the
    /// endpoints of the previous process.
    LearnedStateRestored {
        /// State learned by the previous process.
        learned: &'a LearnedState,
    },
    /// A timer set by [`Action::Timer`] is due.
    Timer {
        /// Id from the action.
        timer: TimerId,
    },
}
