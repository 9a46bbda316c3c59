//! What came of a run.

use hdrhistogram::Histogram;
use std::time::Duration;

/// What came of a run. Times are in microseconds.
#[derive(Clone, Debug)]
pub struct Report {
    /// Requests that clients made.
    pub asked: u64,
    /// Served within their aim.
    pub in_time: u64,
    /// Served.
    pub served: u64,
    /// Refused.
    pub refused: u64,
    /// Failed.
    pub failed: u64,
    /// Attempts beyond the first of a request.
    pub further: u64,
    /// Requests that must not run twice, and did.
    pub twice: u64,
    /// Attempts that found their upstream full.
    pub full: u64,
    /// From a request to its answer, of those served.
    pub latency: Histogram<u64>,
    /// From an attempt's arrival at its upstream to the begin of its service.
    pub waited: Histogram<u64>,
    /// Time that all servers worked, together.
    pub worked: Duration,
    /// When the last request had its answer.
    pub lasted: Duration,
    /// Of everything that happened, in its order: two runs that agree here were the same.
    pub digest: u64,
    /// It had more in hand than it may hold, and ended before its time.
    pub jammed: bool,
}

impl Report {
    pub(crate) fn new() -> Result<Self, String> {
        let histogram = || Histogram::new_with_bounds(1, 3_600_000_000, 3).map_err(|e| e.to_string());
        Ok(Self {
            asked: 0,
            in_time: 0,
            served: 0,
            refused: 0,
            failed: 0,
            further: 0,
            twice: 0,
            full: 0,
            latency: histogram()?,
            waited: histogram()?,
            worked: Duration::ZERO,
            lasted: Duration::ZERO,
            digest: 0xcbf2_9ce4_8422_2325,
            jammed: false,
        })
    }

    pub(crate) fn note(&mut self, at: Duration, what: u64) {
        for word in [at.as_nanos() as u64, what] {
            self.digest = (self.digest ^ word).wrapping_mul(0x0000_0100_0000_01b3).rotate_left(23);
        }
    }
}
