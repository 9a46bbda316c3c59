//! Actions that the embedder carries out for a balancer.

use super::*;
use std::time::Duration;

/// Instruction to the embedder; a list of actions is carried out in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request to an upstream.
    Attempt {
        /// Request to send.
        id: RequestId,
        /// Upstream that receives the request.
        upstream: UpstreamId,
        /// Timeout of the attempt; `None` if only the client's deadline limits it.
        timeout: Option<Duration>,
    },
    /// Stop waiting for one attempt.
    Cancel {
        /// Request that the attempt belongs to.
        id: RequestId,
        /// Number of the attempt within the request.
        attempt: AttemptNo,
    },
    /// Final answer: the request was not accepted and can be repeated safely.
    Reject {
        /// Rejected request.
        id: RequestId,
        /// Time for which the client should wait before a retry.
        retry_after: Option<Duration>,
    },
    /// Final answer: the request failed and may have taken effect.
    Fail {
        /// Failed request.
        id: RequestId,
    },
    /// Deliver [`Event::Timer`] after a delay.
    Timer {
        /// Delay from now.
        after: Duration,
        /// Id that the event has to carry.
        timer: TimerId,
    },
    /// Watch the discovery service for changes from now on. A call without an answer within
    /// [`discovery_timing::CALL_TIMEOUT`], and a watch without a message for
    /// [`discovery_timing::WATCH_IDLE_TIMEOUT`], are reported as [`UpdateScope::Failed`].
    WatchEndpoints,
    /// Fetch the complete list from the discovery service once; the same timeout applies.
    FetchEndpoints,
    /// Close the idle connections to an upstream; connections in use stay open.
    CloseIdle {
        /// Upstream whose idle connections are closed.
        upstream: UpstreamId,
    },
    /// Probe an upstream and report the result as [`Event::ProbeEnded`].
    Probe {
        /// Upstream to probe.
        upstream: UpstreamId,
    },
    /// Write a line to the operator log.
    Log {
        /// Text of the log line.
        line: String,
    },
}
