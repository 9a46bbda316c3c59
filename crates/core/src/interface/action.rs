//! The actions that a balancer wants carried out.

use super::*;
use std::time::Duration;

/// Something [`Balancer`](crate::Balancer) wants done; a list of actions is carried out in its order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request to an upstream.
    Attempt {
        /// The request.
        id: RequestId,
        /// The upstream to send it to.
        upstream: UpstreamId,
        /// The time after which the attempt is given up; `None`: when the client's deadline passes.
        timeout: Option<Duration>,
    },
    /// Stop waiting for one attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// The attempt.
        attempt: AttemptNo,
    },
    /// Final answer: the request was not taken; trying again is harmless.
    Reject {
        /// The request.
        id: RequestId,
        /// How long the client should stay away.
        retry_after: Option<Duration>,
    },
    /// Final answer: the request failed; it may have taken effect.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Deliver [`Event::Timer`] after some time.
    Timer {
        /// The time from now.
        after: Duration,
        /// The timer's id.
        timer: TimerId,
    },
    /// Watch the discovery service for changes from now on. A call without an answer after
    /// [`discovery_timing::CALL_TIMEOUT`], and a watch silent for [`discovery_timing::WATCH_IDLE_TIMEOUT`],
    /// are reported as [`UpdateScope::Failed`].
    WatchEndpoints,
    /// Fetch the whole list from the discovery service once; the same time-out holds.
    FetchEndpoints,
    /// Close the idle connections to an upstream; connections in use stay.
    CloseIdle {
        /// The upstream.
        upstream: UpstreamId,
    },
    /// Probe an upstream.
    Probe {
        /// The upstream.
        upstream: UpstreamId,
    },
    /// Write a line to the operators' log.
    Log {
        /// The text of the line.
        line: String,
    },
}
