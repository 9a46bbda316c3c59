//! Recognition of responses that repeat an earlier response on their connection.
//!
//! A second response that arrives after the rest of its connection answers the wrong request: the next
//! one, or a later one if others were answered meanwhile. It can be recognised if it is a copy of the
//! first. Such a response is held: if the upstream sends more, that is the true response, and the held
//! one was a copy. Many applications send equal responses to different requests, so that a digest that
//! was also received on another connection is not suspicious, and an upstream whose held responses turn
//! out to be true is not suspected any more. Where nearly all responses differ, silence behind a
//! repeated one does not make it true.

use std::collections::VecDeque;
use std::time::Duration;

/// Digests that are remembered.
const REMEMBERED_DIGESTS: usize = 256;
/// Responses of a connection whose copies are recognised. A connection rests after each, so that these took
/// 0.6 s at least.
const REMEMBERED_ON_CONNECTION: usize = 32;
/// Different responses after which repeats are unusual, and how many there have to be for each common one.
const MIN_DISTINCT: u32 = 8;
const DISTINCT_PER_COMMON: u32 = 16;
/// Held responses that turned out to be true, after which an upstream is not suspected any more.
const MAX_FALSE_SUSPICIONS: u8 = 3;
/// A held response waits this many times as long as the slowest response of its upstream took, since that is
/// how long the true response may take. Longer, and the attempt would be given up as overdue.
const HELD_PER_RESPONSE_TIME: u32 = 4;
/// Bounds of the time for which a response is held, unless the client waits for less.
const MIN_HELD: Duration = Duration::from_millis(100);
const MAX_HELD: Duration = Duration::from_secs(2);
/// Largest share of the time left to the request for which a response is held.
const MAX_HELD_SHARE: f64 = 0.5;

/// Digests of the last responses on one connection.
#[derive(Debug, Default)]
pub struct ConnectionResponses {
    digests: VecDeque<u64>,
}

impl ConnectionResponses {
    /// Records a response, and returns true if it repeats one of the last.
    pub fn record(&mut self, digest: u64) -> bool {
        let is_repeat = self.digests.contains(&digest);
        if self.digests.back() != Some(&digest) {
            if self.digests.len() == REMEMBERED_ON_CONNECTION {
                self.digests.pop_front();
            }
            self.digests.push_back(digest);
        }
        is_repeat
    }
}

#[derive(Clone, Copy, Debug)]
struct Received {
    digest: u64,
    connection: u64,
    is_common: bool,
}

/// Digests of recent responses of all upstreams. Each digest has one place in a table of fixed size.
#[derive(Debug)]
pub struct RecentResponses {
    slots: Vec<Option<Received>>,
    /// Numbers of digests that were new, and of those that became common.
    distinct: u32,
    common: u32,
}

impl Default for RecentResponses {
    fn default() -> Self {
        Self { slots: vec![None; REMEMBERED_DIGESTS], distinct: 0, common: 0 }
    }
}

impl RecentResponses {
    /// Records a response with this digest on a connection.
    pub fn record(&mut self, digest: u64, connection: u64) {
        match self.slot(digest) {
            Some(received) if received.digest == digest => {
                if received.connection != connection {
                    self.record_common(digest, connection);
                }
            }
            slot => {
                *slot = Some(Received { digest, connection, is_common: false });
                self.distinct = self.distinct.saturating_add(1);
            }
        }
    }

    /// Records that equal responses with this digest are true.
    pub fn record_common(&mut self, digest: u64, connection: u64) {
        if !self.is_common(digest) {
            self.common = self.common.saturating_add(1);
        }
        *self.slot(digest) = Some(Received { digest, connection, is_common: true });
    }

    /// Returns true if nearly all responses differ. Some are equal in any case: two attempts of one request
    /// may both be answered.
    pub fn are_repeats_unusual(&self) -> bool {
        self.distinct >= MIN_DISTINCT && self.common.saturating_mul(DISTINCT_PER_COMMON) < self.distinct
    }

    /// Returns true if responses with this digest are known to answer different requests.
    pub fn is_common(&mut self, digest: u64) -> bool {
        self.slot(digest).is_some_and(|received| received.digest == digest && received.is_common)
    }

    fn slot(&mut self, digest: u64) -> &mut Option<Received> {
        let index = digest % self.slots.len() as u64;
        &mut self.slots[index as usize]
    }
}

/// Suspicion of one upstream.
#[derive(Debug, Default)]
pub struct RepeatPolicy {
    false_suspicions: u8,
    slowest_response: Duration,
}

impl RepeatPolicy {
    /// Returns true if a response that equals an earlier one on its connection has to be held. An upstream
    /// that `has_shown_unsolicited_data` stays under suspicion.
    pub fn is_suspicious(
        &self,
        digest: u64,
        recent: &mut RecentResponses,
        has_shown_unsolicited_data: bool,
    ) -> bool {
        let is_suspected = has_shown_unsolicited_data || self.false_suspicions < MAX_FALSE_SUSPICIONS;
        is_suspected && !recent.is_common(digest)
    }

    /// Returns true if a held response is served although nothing has confirmed it. The true response may
    /// never come, so that silence proves nothing for an upstream that `has_shown_unsolicited_data`, or where
    /// equal responses are unusual.
    pub fn is_served_after_silence(has_shown_unsolicited_data: bool, recent: &RecentResponses) -> bool {
        !has_shown_unsolicited_data && !recent.are_repeats_unusual()
    }

    /// Records the time from a request to its response.
    pub fn record_response_time(&mut self, time: Duration) {
        self.slowest_response = self.slowest_response.max(time);
    }

    /// Returns how long a suspicious response is held, while its client waits for another `time_left`.
    pub fn hold_time(&self, time_left: Duration) -> Duration {
        let expected = self.slowest_response.saturating_mul(HELD_PER_RESPONSE_TIME);
        expected.clamp(MIN_HELD, MAX_HELD).min(time_left.mul_f64(MAX_HELD_SHARE))
    }

    /// Records that a held response was true.
    pub fn record_false_suspicion(&mut self) {
        self.false_suspicions = self.false_suspicions.saturating_add(1);
    }
}
