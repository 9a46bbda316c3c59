//! Counters of completions, rejections and reported CPU utilization, from which headroom is estimated. Times
//! are in seconds.

/// Seconds over which the throughput is averaged.
pub(crate) const THROUGHPUT_WINDOW_S: f64 = 2.0;
/// Seconds over which rejections are averaged, and the fewest requests that their share is based on.
const REJECTED_WINDOW_S: f64 = 1.0;
const REJECTED_MIN_REQUESTS: f64 = 10.0;
/// Weight of the newest report in the CPU utilization.
const NEWEST_REPORT_WEIGHT: f64 = 0.02;

/// Completion rates of a balancer's requests.
#[derive(Default)]
pub(crate) struct Throughput {
    /// Completions per second for each unit of weight, `C`.
    pub(crate) per_weight: f64,
    /// Completions since the last tick.
    pub(crate) completed: f64,
    /// Completions per second, smoothed.
    pub(crate) per_second: f64,
}

impl Throughput {
    pub(crate) fn update_per_second(&mut self, elapsed: f64) {
        let per_second = self.completed / elapsed.max(1e-6);
        self.per_second += (elapsed / THROUGHPUT_WINDOW_S).min(1.0) * (per_second - self.per_second);
        self.completed = 0.0;
    }
}

/// Recently arrived requests and how many of them were rejected; both counts decay.
#[derive(Default)]
pub(crate) struct RecentArrivals {
    pub(crate) requests: f64,
    pub(crate) rejected: f64,
}

impl RecentArrivals {
    pub(crate) fn fade(&mut self, elapsed: f64) {
        let factor = (-elapsed / REJECTED_WINDOW_S).exp();
        self.requests *= factor;
        self.rejected *= factor;
    }

    pub(crate) fn rejected_share(&self) -> f64 {
        self.rejected / self.requests.max(REJECTED_MIN_REQUESTS)
    }
}

/// CPU utilization of the upstreams, averaged over their load reports.
#[derive(Default)]
pub(crate) struct CpuUtilization {
    pub(crate) share: f64,
    pub(crate) reported_at: f64,
}

impl CpuUtilization {
    /// Records the CPU utilization from one upstream's load report.
    pub(crate) fn record(&mut self, share: f64, now: f64) {
        self.share += NEWEST_REPORT_WEIGHT * (share - self.share);
        self.reported_at = now;
    }
}
