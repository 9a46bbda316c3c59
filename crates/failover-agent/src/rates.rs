//! Converts monotonic counters into rates over the last second, which reports contain. No I/O and no clock.

use maplehook_failover::report::RATE_WINDOW;
use maplehook_failover::{Demand, ZoneObservation};
use maplehook_locality::Zone;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Maximum number of stored snapshots; more snapshots do not improve a rate.
const MAX_SNAPSHOTS: usize = 16;

/// Counters and gauges of a zone at one moment, supplied by the serving thread.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ZoneCounters {
    /// Zone number in the topology.
    pub zone: Zone,
    /// True if capacities are in requests per second; otherwise they are weights.
    pub stated: bool,
    /// Capacity of the listed upstreams if all were healthy and out of slow start.
    pub listed: f64,
    /// Capacity of the usable upstreams now.
    pub usable: f64,
    /// Part of `listed` that is missing because of slow start.
    pub slow_start: f64,
    /// Ratio of requests in flight to the number that can be served within the latency objective.
    pub load: f64,
    /// Mean connection time in milliseconds.
    pub connect_ms: f64,
    /// Total number of forwarded attempts.
    pub sent: u64,
    /// Total number of attempts answered in time.
    pub ok: u64,
    /// Total number of attempts that were late, or cancelled after reaching the upstream.
    pub slow: u64,
    /// Total number of attempts answered with an error.
    pub failed: u64,
    /// Total number of attempts that did not reach the upstream.
    pub unreached: u64,
}

/// Counters of a locality rule.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RuleCounters {
    /// Total number of received requests.
    pub requests: u64,
    /// Total number of requests that this balancer rejected.
    pub rejected: u64,
}

/// All counters of a balancer at one moment.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CounterSnapshot {
    /// Time of the snapshot on the process clock.
    pub at: Duration,
    /// Digest of the topology and rules that number the zones and rules.
    pub digest: u64,
    /// True if the balancer accepts clients.
    pub ready: bool,
    /// Zone counters, sorted by zone.
    pub zones: Vec<ZoneCounters>,
    /// Rule counters, in the order of the rules.
    pub rules: Vec<RuleCounters>,
    /// Endpoints of the listed upstreams with their zones; a long list is truncated.
    pub upstreams: Arc<Vec<(Zone, SocketAddr)>>,
}

/// Snapshots of the last second.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SnapshotWindow {
    snapshots: VecDeque<CounterSnapshot>,
}

impl SnapshotWindow {
    /// Adds a snapshot. Clears older snapshots if the topology, the rules or the clock have changed.
    pub fn push(&mut self, snapshot: CounterSnapshot) {
        if self.snapshots.back().is_some_and(|last| last.digest != snapshot.digest || last.at >= snapshot.at)
        {
            self.snapshots.clear();
        }
        self.snapshots.push_back(snapshot);
        let newest_at = self.snapshots.back().map_or(Duration::ZERO, |last| last.at);
        // Retains one snapshot older than the window, so that rates cover the complete window.
        while self.snapshots.len() > MAX_SNAPSHOTS
            || self.snapshots.get(1).is_some_and(|second| second.at + RATE_WINDOW <= newest_at)
        {
            self.snapshots.pop_front();
        }
    }

    /// Returns the newest snapshot.
    pub fn last(&self) -> Option<&CounterSnapshot> {
        self.snapshots.back()
    }

    /// Returns the observations and demand for a report; both are empty until there are two snapshots.
    pub fn rates(&self) -> (Vec<ZoneObservation>, Vec<Demand>) {
        let (Some(first), Some(last)) = (self.snapshots.front(), self.snapshots.back()) else {
            return Default::default();
        };
        let span = last.at.saturating_sub(first.at).as_secs_f64();
        if span <= 0.0 {
            return Default::default();
        }
        // A decreased counter means that the counting side restarted; the rate is then 0.
        let rate = |now: u64, before: u64| (now.saturating_sub(before) as f64 / span) as f32;
        let observation = |counters: &ZoneCounters| {
            let before =
                first.zones.iter().find(|other| other.zone == counters.zone).copied().unwrap_or_default();
            ZoneObservation {
                zone: counters.zone,
                stated: counters.stated,
                listed: counters.listed as f32,
                usable: counters.usable as f32,
                warming: counters.slow_start as f32,
                sent: rate(counters.sent, before.sent),
                ok: rate(counters.ok, before.ok),
                slow: rate(counters.slow, before.slow),
                failed: rate(counters.failed, before.failed),
                unreached: rate(counters.unreached, before.unreached),
                connect_ms: counters.connect_ms as f32,
                load: counters.load as f32,
                ..ZoneObservation::default()
            }
        };
        let demand = |(rule, counters): (usize, &RuleCounters)| {
            let before = first.rules.get(rule).copied().unwrap_or_default();
            let request_rate = rate(counters.requests, before.requests);
            let rejected = rate(counters.rejected, before.rejected);
            (request_rate > 0.0).then_some(Demand { rule: rule as u16, asked: request_rate, rejected })
        };
        (
            last.zones.iter().map(observation).collect(),
            last.rules.iter().enumerate().filter_map(demand).collect(),
        )
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn snapshot(ms: u64, sent: u64, requests: u64) -> CounterSnapshot {
        CounterSnapshot {
            at: Duration::from_millis(ms),
            zones: vec![ZoneCounters { zone: Zone(1), sent, ok: sent / 2, ..ZoneCounters::default() }],
            rules: vec![RuleCounters::default(), RuleCounters { requests, rejected: 0 }],
            ..CounterSnapshot::default()
        }
    }

    #[test]
    fn rates_cover_the_last_second() {
        let mut window = SnapshotWindow::default();
        window.push(snapshot(0, 0, 0));
        assert_eq!(window.rates(), Default::default());
        for n in 1..=20u64 {
            // The rate is 100 per second for two seconds and 50 per second afterwards.
            let sent = if n <= 10 { 20 * n } else { 200 + 10 * (n - 10) };
            window.push(snapshot(200 * n, sent, 2 * sent));
        }
        let (observations, demand) = window.rates();
        assert_eq!((observations[0].zone, observations[0].sent, observations[0].ok), (Zone(1), 50.0, 25.0));
        assert_eq!(demand, [Demand { rule: 1, asked: 100.0, rejected: 0.0 }]);
        assert!(window.snapshots.len() <= 7, "snapshots older than the window are dropped");
    }

    #[test]
    fn a_changed_digest_or_decreased_counter_yields_no_rate() {
        let mut window = SnapshotWindow::default();
        window.push(snapshot(0, 500, 500));
        window.push(snapshot(500, 100, 100));
        assert_eq!(window.rates().0[0].sent, 0.0);
        window.push(CounterSnapshot { digest: 7, ..snapshot(600, 100, 100) });
        assert_eq!(window.rates(), Default::default());
        // Rates are empty when the clock stands still or goes back.
        window.push(CounterSnapshot { digest: 7, ..snapshot(600, 300, 100) });
        assert_eq!(window.rates(), Default::default());
    }
}
