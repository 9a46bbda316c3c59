//! What a balancer counts of its requests and of the upstreams' load reports, to estimate headroom from.
//! Times are seconds.

/// Seconds over which the throughput is counted.
pub(crate) const THROUGHPUT_OVER_S: f64 = 2.0;
/// Seconds over which rejected requests are counted, and the fewest requests that count as the whole.
const REJECTED_OVER_S: f64 = 1.0;
const REJECTED_MIN_REQUESTS: f64 = 10.0;
/// The weight of the newest report in the CPU utilization.
const NEWEST_REPORT_WEIGHT: f64 = 0.02;

/// The completions of a balancer's requests.
#[derive(Default)]
pub(crate) struct Throughput {
    /// Completions a second for each unit of weight: `C`.
    pub(crate) per_weight: f64,
    /// Completions since the last tick.
    pub(crate) completed: f64,
    /// Completions a second, smoothed.
    pub(crate) per_second: f64,
}

impl Throughput {
    pub(crate) fn count_tick(&mut self, elapsed: f64) {
        let per_second = self.completed / elapsed.max(1e-6);
        self.per_second += (elapsed / THROUGHPUT_OVER_S).min(1.0) * (per_second - self.per_second);
        self.completed = 0.0;
    }
}

/// The requests that arrived of late, and those of them that were rejected; both fade.
#[derive(Default)]
pub(crate) struct RecentArrivals {
    pub(crate) requests: f64,
    pub(crate) rejected: f64,
}

impl RecentArrivals {
    pub(crate) fn fade(&mut self, elapsed: f64) {
        let factor = (-elapsed / REJECTED_OVER_S).exp();
        self.requests *= factor;
        self.rejected *= factor;
    }

    pub(crate) fn rejected_share(&self) -> f64 {
        self.rejected / self.requests.max(REJECTED_MIN_REQUESTS)
    }
}

/// The CPU utilization of the upstreams by their load reports.
#[derive(Default)]
pub(crate) struct CpuUtilization {
    pub(crate) share: f64,
    pub(crate) reported_at: f64,
}

impl CpuUtilization {
    /// Takes in the utilization that a load report tells of one upstream.
    pub(crate) fn record(&mut self, share: f64, now: f64) {
        self.share += NEWEST_REPORT_WEIGHT * (share - self.share);
        self.reported_at = now;
    }
}
