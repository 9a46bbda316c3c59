//! What became of requests: counts by outcome, and a histogram of response times.

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

/// Unit of response times: 0.1 ms.
pub const TIME_UNIT_US: u64 = 100;
/// Longest response time in that unit: a minute. A longer one counts as that.
pub(crate) const MAX_TIME: u64 = 600_000;
/// Distinct response times that are encoded.
const MAX_ENCODED_TIMES: usize = 256;

/// What became of requests of one class and tenant.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "EncodedCounts", into = "EncodedCounts")]
pub struct RequestCounts {
    /// Served within the latency objective of the class.
    pub served: u64,
    /// Served later than that.
    pub late: u64,
    /// Rejected.
    pub rejected: u64,
    /// Failed, or without a response in time.
    pub failed: u64,
    times: Option<Histogram<u32>>,
}

/// The counts as they are sent: response times, and how many requests had each.
#[derive(Clone, Serialize, Deserialize)]
struct EncodedCounts {
    served: u64,
    late: u64,
    rejected: u64,
    failed: u64,
    times: Vec<(u32, u32)>,
}

fn new_histogram() -> Option<Histogram<u32>> {
    // One significant digit: a resolution of a sixteenth, in a kilobyte. These bounds are known to be valid.
    Histogram::new_with_bounds(1, MAX_TIME, 1).ok()
}

impl From<EncodedCounts> for RequestCounts {
    fn from(encoded: EncodedCounts) -> Self {
        let EncodedCounts { served, late, rejected, failed, times } = encoded;
        let mut counts = Self { served, late, rejected, failed, times: None };
        for (time, count) in times.into_iter().take(MAX_ENCODED_TIMES) {
            counts.record_time(u64::from(time), count);
        }
        counts
    }
}

impl From<RequestCounts> for EncodedCounts {
    fn from(counts: RequestCounts) -> Self {
        let RequestCounts { served, late, rejected, failed, times } = counts;
        let recorded = times.iter().flat_map(Histogram::iter_recorded);
        let times = recorded.map(|v| (v.value_iterated_to() as u32, v.count_since_last_iteration() as u32));
        // Where there are too many, the longest matter most.
        let mut times: Vec<(u32, u32)> = times.collect();
        let surplus = times.len().saturating_sub(MAX_ENCODED_TIMES);
        times.drain(..surplus);
        Self { served, late, rejected, failed, times }
    }
}

impl RequestCounts {
    /// Counts a request that was served after so many microseconds; `is_late`: after its latency objective.
    pub fn record_served(&mut self, us: u64, is_late: bool) {
        if is_late {
            self.late += 1;
        } else {
            self.served += 1;
        }
        self.record_time(us / TIME_UNIT_US, 1);
    }

    /// Number of requests.
    pub fn total(&self) -> u64 {
        self.answered().saturating_add(self.rejected).saturating_add(self.failed)
    }

    /// Number of requests that were served, in time or late.
    pub fn answered(&self) -> u64 {
        self.served.saturating_add(self.late)
    }

    /// Number of served requests that took longer than `time`, in units of [`TIME_UNIT_US`].
    pub fn slower_than(&self, time: u64) -> u64 {
        self.times.as_ref().map_or(0, |times| times.count_between(time + 1, MAX_TIME.max(time + 1)))
    }

    /// The response time below which this share of the served requests stayed, in units of [`TIME_UNIT_US`]; `None` if none was
    /// served.
    pub fn quantile(&self, share: f64) -> Option<u64> {
        self.times.as_ref().filter(|times| !times.is_empty()).map(|times| times.value_at_quantile(share))
    }

    /// Adds the counts of other requests.
    pub fn add(&mut self, other: &Self) {
        self.served = self.served.saturating_add(other.served);
        self.late = self.late.saturating_add(other.late);
        self.rejected = self.rejected.saturating_add(other.rejected);
        self.failed = self.failed.saturating_add(other.failed);
        match (&mut self.times, &other.times) {
            // Both have the same bounds, so that adding cannot fail.
            (Some(times), Some(more)) => drop(times.add(more)),
            (times @ None, Some(_)) => times.clone_from(&other.times),
            (_, None) => {}
        }
    }

    fn record_time(&mut self, time: u64, count: u32) {
        if self.times.is_none() {
            self.times = new_histogram();
        }
        if let Some(times) = &mut self.times {
            // Within the bounds this fails only if a count overflows.
            let _ = times.record_n(time.clamp(1, MAX_TIME), count);
        }
    }
}
