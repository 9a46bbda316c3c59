//! The events that an embedder tells a balancer.

use super::*;
use std::time::Duration;

/// Something the embedder tells [`Balancer`](crate::Balancer).
#[derive(Clone, Debug, PartialEq)]
pub enum Event<'a> {
    /// Discovery has news of the endpoints. The first event of a balancer's life is a `Cached` update.
    EndpointUpdate {
        /// How complete the update is.
        scope: UpdateScope,
        /// The endpoints.
        endpoints: &'a [Endpoint],
    },
    /// The discovery service has moved: it is called at its new address at once, and the calls to the old one
    /// have been given up.
    DiscoveryMoved,
    /// A client's request has arrived.
    Request {
        /// The request's id.
        id: RequestId,
        /// The request's class.
        class: ClassId,
        /// The request's tenant.
        tenant: TenantId,
        /// How long the client still waits.
        time_left: Duration,
        /// The expected work in milliseconds on a standard core, where it is known.
        work_ms: Option<f64>,
        /// Whether the client says that it has tried this request before.
        is_repeat: bool,
    },
    /// A streamed answer, or a request's streamed body, has started. The request has no deadline from now on,
    /// and the duration of the attempt says nothing about its upstream.
    StreamStarted {
        /// The request.
        id: RequestId,
        /// The attempt that streams.
        attempt: AttemptNo,
        /// The time since the attempt was sent, if the answer streams; `None` if the request's body streams.
        latency: Option<Duration>,
    },
    /// An attempt has ended. The embedder reports this once for each attempt.
    AttemptEnded {
        /// The request.
        id: RequestId,
        /// The attempt.
        attempt: AttemptNo,
        /// The upstream it was sent to.
        upstream: UpstreamId,
        /// How it ended.
        outcome: Outcome,
        /// The time since it was sent.
        latency: Duration,
        /// Whether the request has its final answer, by this outcome or before it.
        is_finished: bool,
        /// A load report with values in the order of [`Settings::report_fields`]; empty if none came.
        report: &'a [f32],
    },
    /// The client has disconnected; no answer is owed any more.
    RequestCancelled {
        /// The request.
        id: RequestId,
    },
    /// A probe has ended.
    ProbeEnded {
        /// The upstream that was probed.
        upstream: UpstreamId,
        /// How the probe ended.
        outcome: Outcome,
        /// The time since it was sent.
        latency: Duration,
        /// A load report; empty if none came.
        report: &'a [f32],
    },
    /// The settings have changed. Classes and tenants keep their positions, and there are no fewer; others
    /// may follow. Requests in flight keep their class, and their further attempts obey both the old and the
    /// new settings.
    SettingsChanged {
        /// The settings from now on. They are ignored if [`Settings::check`] rejects them or they have fewer
        /// classes.
        settings: &'a Settings,
        /// Tenants that exist no longer.
        removed_tenants: &'a [TenantId],
    },
    /// The zones that each group of requests goes to from now on. `None`: the balancer chooses zones itself,
    /// as it does at the start. A split that [`TrafficSplit::check`] rejects is ignored.
    TrafficSplit {
        /// The split.
        split: Option<&'a TrafficSplit>,
    },
    /// What the process before this one had learned. It comes after the endpoints that process knew.
    LearnedStateRestored {
        /// The state learned.
        learned: &'a LearnedState,
    },
    /// A timer set by [`Action::Timer`] is due.
    Timer {
        /// The timer.
        timer: TimerId,
    },
}
