//! The records of a batch.

use maplehook_core::{
    AttemptNo, ClassId, Endpoint, Outcome, RequestId, TenantId, TimerId, UpdateScope, UpstreamId,
};
use std::time::Duration;

/// One record of a batch.
#[derive(Debug, PartialEq)]
pub(crate) enum Record {
    /// Defines a list of endpoints that later records name by its number.
    EndpointList { list: u32, endpoints: Vec<Endpoint> },
    /// Starts an instance of the balancer.
    Start { seed: u64, settings: String },
    /// Stops an instance.
    Stop,
    /// Discovery has news of the endpoints.
    EndpointUpdate { scope: UpdateScope, list: u32 },
    /// A client's request has arrived.
    Request {
        id: RequestId,
        class: ClassId,
        tenant: TenantId,
        time_left: Duration,
        work_ms: Option<f64>,
        is_repeat: bool,
    },
    /// A streamed answer has started.
    StreamStarted { id: RequestId, attempt: AttemptNo, latency: Duration },
    /// An attempt has ended.
    AttemptEnded { id: RequestId, attempt: AttemptNo, is_finished: bool, end: AttemptEnd },
    /// A probe has ended.
    ProbeEnded { end: AttemptEnd },
    /// The client has disconnected.
    RequestCancelled { id: RequestId },
    /// A timer is due.
    Timer { timer: TimerId },
    /// A message of another balancer, which is ignored.
    PeerMessage,
}

/// How an attempt or a probe ended, and the load report that came with it.
#[derive(Debug, PartialEq)]
pub(crate) struct AttemptEnd {
    pub(crate) upstream: UpstreamId,
    pub(crate) outcome: Outcome,
    pub(crate) latency: Duration,
    pub(crate) report: Vec<f32>,
}

/// A record with its place in the batch.
#[derive(Debug, PartialEq)]
pub(crate) struct LocatedRecord {
    /// The byte of the batch at which it begins.
    pub(crate) offset: usize,
    /// The instance it is for; 0 for [`Record::EndpointList`], which is for all.
    pub(crate) instance: u32,
    pub(crate) record: Record,
}
