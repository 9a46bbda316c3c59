//! Answers without a stated length: nobody knows whether such an answer is short, so that its last byte
//! counts, or long, so that its first bytes count and the rest must not be cut off. It is judged by how it
//! comes.
//!
//! All times are [`Duration`]s on one monotonic clock that the embedder chooses.

use std::time::Duration;

/// Slowest mean rate of an answer that is expected to become long, in bytes per second: a quarter of the rate
/// of the slowest peers.
const MIN_LONG_ANSWER_RATE: f64 = 16.0 * 1024.0;
/// Fewest bytes of an answer that has stopped for it to be taken for the beginning of a long one.
const MIN_LONG_ANSWER_BEGINNING: u64 = 1024;
/// An answer has stopped once its upstream has been silent for this many times as long as it took before.
const MAX_SILENCE_FACTOR: u32 = 2;

/// Progress of an answer without a stated length, from its head on.
#[derive(Clone, Debug, Default)]
pub struct UnsizedAnswer {
    received: u64,
    /// Time spent waiting for the upstream, without the current wait.
    waited: Duration,
    waiting_since: Option<Duration>,
}

impl UnsizedAnswer {
    /// Records that the upstream has sent nothing more.
    pub fn on_wait(&mut self, now: Duration) {
        self.waiting_since.get_or_insert(now);
    }

    /// Records that `bytes` were received.
    pub fn on_data(&mut self, now: Duration, bytes: usize) {
        let since = self.waiting_since.take();
        self.waited += since.map_or(Duration::ZERO, |since| now.saturating_sub(since));
        self.received += bytes as u64;
    }

    /// Returns the number of bytes received.
    pub fn received(&self) -> u64 {
        self.received
    }

    /// Returns true if the answer may become long though it has stopped: it is passed on by the time at which
    /// an answer must have begun. A shorter one becomes a failure with a status.
    pub fn may_become_long(&self) -> bool {
        self.received >= MIN_LONG_ANSWER_BEGINNING
    }

    /// Returns true if the answer still comes, fast enough to become long.
    pub fn is_coming(&self, now: Duration) -> bool {
        let silence = self.waiting_since.map_or(Duration::ZERO, |since| now.saturating_sub(since));
        self.received > 0 && silence <= self.longest_silence()
    }

    /// Returns when the answer has to be cut off, unless more of it comes: not before `end_by`, the time by
    /// which a short one must have ended, and once it has stopped. `None` if the upstream is not waited for.
    pub fn cut_off_at(&self, end_by: Duration) -> Option<Duration> {
        Some(end_by.max(self.waiting_since? + self.longest_silence()))
    }

    /// Returns how long the upstream may stay silent now.
    fn longest_silence(&self) -> Duration {
        let by_rate = Duration::from_secs_f64(self.received as f64 / MIN_LONG_ANSWER_RATE);
        by_rate.saturating_sub(self.waited).min(self.waited * MAX_SILENCE_FACTOR)
    }
}
