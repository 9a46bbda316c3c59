//! Time limits that end an exchange with an upstream, for logs and metrics.

use crate::metrics::ReasonCounters;
use crate::parts::rate_limited_log::RateLimitedLog;
use maplehook_core::UpstreamId;
use std::time::Duration;

/// Limit that has ended an exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TimeLimit {
    /// The answer has not begun by the time it is due.
    AnswerDue,
    /// An answer without a stated length is short, late, and does not come fast enough to become long.
    ShortAnswerDue,
    /// The upstream has accepted or sent no data for too long.
    UpstreamIdle,
    /// The client has sent no data for too long in the middle of a body.
    ClientIdle,
    /// The body has taken too long in all.
    Total,
}

impl TimeLimit {
    /// Returns the name of the limit in metrics and in the log.
    pub fn name(self) -> &'static str {
        match self {
            Self::AnswerDue => "answer_due",
            Self::ShortAnswerDue => "short_answer_due",
            Self::UpstreamIdle => "upstream_idle",
            Self::ClientIdle => "client_idle",
            Self::Total => "total",
        }
    }

    /// Returns the party that was waited for.
    pub fn waited_for(self) -> &'static str {
        match self {
            Self::AnswerDue | Self::ShortAnswerDue | Self::UpstreamIdle | Self::Total => "upstream",
            Self::ClientIdle => "client",
        }
    }
}

/// Exchange that a time limit has ended.
#[derive(Debug)]
pub struct LimitedExchange {
    /// The limit.
    pub limit: TimeLimit,
    /// Upstream of the exchange.
    pub upstream: UpstreamId,
    /// Number of the connection in the log.
    pub connection: u64,
    /// Time from the start of the attempt to its end.
    pub lasted: Duration,
    /// Bytes of the request that were written.
    pub written: u64,
    /// Bytes of the answer's body that were received, as far as they are counted.
    pub received: u64,
}

/// Counts and logs the exchanges that a time limit has ended.
#[derive(Default)]
pub struct TimeLimitLog {
    warnings: RateLimitedLog,
    counters: ReasonCounters,
}

impl TimeLimitLog {
    /// Creates a log that counts in `counters`.
    pub fn new(counters: ReasonCounters) -> Self {
        Self { warnings: RateLimitedLog::default(), counters }
    }

    /// Records the end of an exchange.
    pub fn record(&self, exchange: &LimitedExchange) {
        let LimitedExchange { limit, upstream, connection, lasted, written, received } = exchange;
        let message = || {
            format!(
                "time limit {} ended the exchange with upstream {} on connection {connection}: waited for the {} \
                 until {lasted:?} after its start, {written} bytes written, {received} received",
                limit.name(),
                upstream.0,
                limit.waited_for()
            )
        };
        self.counters.increment(limit.name());
        tracing::debug!("{}", message());
        self.warnings.warn(message);
    }
}
