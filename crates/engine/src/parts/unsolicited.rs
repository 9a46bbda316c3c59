//! Unsolicited data: bytes from an upstream that are not part of the response to a request in flight.

use crate::metrics::ReasonCounters;
use crate::parts::rate_limited_log::RateLimitedLog;
use maplehook_core::UpstreamId;
use std::net::SocketAddr;
use std::time::Duration;

/// Most bytes of unsolicited data that are logged.
pub const MAX_EXCERPT_BYTES: usize = 64;

/// Start of the notice with which some servers close an idle connection (RFC 9110, section 15.5.9).
const TIMEOUT_NOTICE: &[u8] = b"HTTP/1.1 408";

/// State of the connection on which unsolicited data was noticed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnsolicitedKind {
    /// The connection has carried no request yet.
    BeforeFirstRequest,
    /// The connection was idle after a response.
    Idle,
    /// The data came in one read with the end of a response.
    BehindResponse,
    /// A request was still being written.
    BeforeRequestEnd,
    /// A response repeated the one before, and more data followed it.
    RepeatedResponse,
    /// The upstream announced that it closes an idle connection.
    TimeoutNotice,
}

impl UnsolicitedKind {
    /// Returns the kind of data that arrived on a connection without a request in flight.
    pub fn without_request(excerpt: &[u8], has_carried_request: bool) -> Self {
        match has_carried_request {
            _ if excerpt.starts_with(TIMEOUT_NOTICE) => Self::TimeoutNotice,
            true => Self::Idle,
            false => Self::BeforeFirstRequest,
        }
    }

    /// Returns the name in metrics and in the log.
    pub fn name(self) -> &'static str {
        match self {
            Self::BeforeFirstRequest => "before_first_request",
            Self::Idle => "idle",
            Self::BehindResponse => "behind_response",
            Self::BeforeRequestEnd => "before_request_end",
            Self::RepeatedResponse => "repeated_response",
            Self::TimeoutNotice => "timeout_notice",
        }
    }
}

/// Unsolicited data on one connection.
#[derive(Clone, Copy, Debug)]
pub struct UnsolicitedData<'a> {
    /// Number of the connection in the log.
    pub connection: u64,
    /// Address of the upstream.
    pub peer: SocketAddr,
    /// State of the connection.
    pub kind: UnsolicitedKind,
    /// Time since the end of the last response on the connection; zero without one.
    pub delay: Duration,
    /// Number of responses that the connection has carried.
    pub responses: u64,
    /// First bytes of the data, as far as they are known.
    pub excerpt: &'a [u8],
}

/// Receives reports of unsolicited data, at most one for each connection.
pub trait UnsolicitedObserver {
    /// Called when the data is noticed. The connection is closed afterwards.
    fn unsolicited_data(&self, data: &UnsolicitedData);
}

/// Logs and counts unsolicited data of all upstreams.
#[derive(Default)]
pub struct UnsolicitedLog {
    warnings: RateLimitedLog,
    counters: ReasonCounters,
}

impl UnsolicitedLog {
    /// Creates a log that counts in `counters`.
    pub fn new(counters: ReasonCounters) -> Self {
        Self { counters, ..Self::default() }
    }

    /// Logs and counts data of one upstream.
    pub fn record(&self, upstream: UpstreamId, data: &UnsolicitedData) {
        self.counters.increment(data.kind.name());
        self.warnings.warn(|| {
            format!(
                "unsolicited data from upstream {} ({}) on connection {}: {}, {:?} after the last response, {:?}",
                upstream.0,
                data.peer,
                data.connection,
                data.kind.name(),
                data.delay,
                String::from_utf8_lossy(data.excerpt)
            )
        });
    }
}
