//! When a connection to an upstream may carry its next request.
//!
//! HTTP/1.1 matches responses to requests by their order alone: what an upstream sends on a connection, for
//! example a second response to the request before, is taken for the response to the next request if it
//! arrives after that was written. A connection therefore rests after each response. Data that arrives during
//! the rest closes it. The rest of an upstream grows with the longest delay that it has shown.

use std::time::Duration;

/// Rest of connections to an upstream that has shown no longer delay.
pub const MIN_REST: Duration = Duration::from_millis(20);
/// Longest rest. Connections to an upstream that needs a longer one are not reused.
pub const MAX_REST: Duration = Duration::from_secs(1);
/// Ratio of the rest to the longest delay that an upstream has shown.
const REST_PER_DELAY: u32 = 3;
/// Share of the time that attempts may spend waiting for the connections to one upstream to rest. Beyond it,
/// further connections are opened: the pool is too small for its traffic.
const MAX_WAIT_SHARE: f64 = 0.1;
/// Longest unused waiting time that is saved up.
const MAX_WAIT_CREDIT: Duration = Duration::from_millis(100);
/// Waiting time that each further connection allows.
const WAIT_CREDIT_PER_CONNECTION: Duration = MIN_REST;
/// New connections that rest after a sign that the upstream may send data before the first request.
const SUSPECTED_CONNECTIONS: u8 = 3;

/// Unsolicited data, as far as it matters for the reuse of connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnsolicitedSign {
    /// Data before the first request of a connection.
    BeforeFirstRequest,
    /// Data this long after a response.
    AfterResponse {
        /// Time since the end of the response.
        delay: Duration,
        /// True if it was the first response on the connection: it may have been sent before the request.
        is_first: bool,
    },
}

/// What one upstream has shown, and the rest of its connections that follows from it.
#[derive(Debug)]
pub struct ReusePolicy {
    longest_delay: Duration,
    speaks_first: bool,
    has_shown_unsolicited_data: bool,
    /// New connections that still have to rest.
    suspected_connections: u8,
    wait_credit: Duration,
    credited_at: Duration,
}

impl Default for ReusePolicy {
    fn default() -> Self {
        Self {
            longest_delay: Duration::ZERO,
            speaks_first: false,
            has_shown_unsolicited_data: false,
            suspected_connections: 0,
            wait_credit: MAX_WAIT_CREDIT,
            credited_at: Duration::ZERO,
        }
    }
}

impl ReusePolicy {
    /// Records unsolicited data. What an upstream has shown is not forgotten.
    pub fn record(&mut self, sign: UnsolicitedSign) {
        self.has_shown_unsolicited_data = true;
        match sign {
            UnsolicitedSign::BeforeFirstRequest => self.speaks_first = true,
            UnsolicitedSign::AfterResponse { delay, is_first } => {
                self.longest_delay = self.longest_delay.max(delay);
                if is_first {
                    self.suspected_connections = SUSPECTED_CONNECTIONS;
                }
            }
        }
    }

    /// Returns true once the upstream has sent data that no request asked for.
    pub fn has_shown_unsolicited_data(&self) -> bool {
        self.has_shown_unsolicited_data
    }

    /// Returns the time from the end of a response to the next request on its connection, or `None` if no
    /// connection is reused.
    pub fn rest(&self) -> Option<Duration> {
        let rest = self.longest_delay.saturating_mul(REST_PER_DELAY).max(MIN_REST);
        (rest <= MAX_REST).then_some(rest)
    }

    /// Returns the time from the set-up of a connection to its first request.
    pub fn rest_of_new_connection(&self) -> Duration {
        if self.speaks_first || self.suspected_connections > 0 { MIN_REST } else { Duration::ZERO }
    }

    /// Records that a new connection rested without unsolicited data.
    pub fn record_quiet_start(&mut self) {
        self.suspected_connections = self.suspected_connections.saturating_sub(1);
    }

    /// Returns true if an attempt should wait for `remaining_rest`, and false if it should open a connection.
    /// A wait is cheaper than a handshake unless waits are frequent. `now` counts from any fixed time.
    pub fn may_wait(&mut self, now: Duration, remaining_rest: Duration) -> bool {
        let earned = now.saturating_sub(self.credited_at).mul_f64(MAX_WAIT_SHARE);
        self.wait_credit = (self.wait_credit + earned).min(MAX_WAIT_CREDIT);
        self.credited_at = now;
        if let Some(left) = self.wait_credit.checked_sub(remaining_rest) {
            self.wait_credit = left;
            return true;
        }
        // The pool grows by one connection at a time: whether that was enough shows in further waits.
        self.wait_credit += WAIT_CREDIT_PER_CONNECTION;
        false
    }
}
