//! How connections are rejected, and why.

use std::time::Duration;

/// Rejections a second that get a whole response; the others are closed without one.
const RESPONSES_PER_SECOND: f64 = 500.0;
/// Rejections that may get a whole response at once.
const RESPONSE_BURST: f64 = 64.0;
/// The fractional part of the golden ratio, whose multiples are spread evenly over the unit interval.
const GOLDEN_RATIO: f64 = 0.618_033_988_75;

/// How a connection is rejected.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rejection {
    /// The reason.
    pub reason: RejectionReason,
    /// Whether the client gets a whole response; the connection is closed without one otherwise.
    pub has_response: bool,
    /// The time after which the client may connect again.
    pub retry_after: Duration,
}

/// Why a connection is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectionReason {
    /// Its address, or its prefix, opens connections at more than its rate.
    Rate,
    /// Its address, or its prefix, has as many connections as it may have.
    Share,
    /// The capacity is used up by connections that can't be evicted.
    Full,
}

impl RejectionReason {
    /// The reason's label in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Rate => "rate",
            Self::Share => "share",
            Self::Full => "full",
        }
    }
}

/// Decides how each rejection is made: the rate of whole responses is limited, and the times to come back are spread.
pub(crate) struct RejectionLimiter {
    tokens: f64,
    /// When the tokens were last refilled, in seconds.
    refilled_at: f64,
    rejections: u64,
}

impl RejectionLimiter {
    /// A limiter with all of its burst.
    pub fn new() -> Self {
        Self { tokens: RESPONSE_BURST, refilled_at: 0.0, rejections: 0 }
    }

    /// Makes a rejection whose time to come back is about `retry_after`.
    pub fn reject(&mut self, now: Duration, reason: RejectionReason, retry_after: Duration) -> Rejection {
        let at = now.as_secs_f64();
        let refill = (at - self.refilled_at).max(0.0) * RESPONSES_PER_SECOND;
        self.tokens = (self.tokens + refill).min(RESPONSE_BURST);
        self.refilled_at = at;
        let has_response = self.tokens >= 1.0;
        if has_response {
            self.tokens -= 1.0;
        }
        // Spread evenly over half to one and a half times, so that the clients do not return together.
        self.rejections = self.rejections.wrapping_add(1);
        let spread = (self.rejections as f64 * GOLDEN_RATIO).fract();
        Rejection { reason, has_response, retry_after: retry_after.mul_f64(0.5 + spread) }
    }
}
