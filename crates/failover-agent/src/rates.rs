//! From counters that only rise to rates over the last second: what a report is made of. Pure.

use maplehook_failover::report::RATE_WINDOW;
use maplehook_failover::{Demand, ZoneObservation};
use maplehook_locality::Zone;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Snapshots that are kept: more of them do not make a rate better.
const KEPT: usize = 16;

/// A zone's counters and figures at one moment, as the serving thread has them.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ZoneCounters {
    /// Which.
    pub zone: Zone,
    /// Whether rooms are requests a second; else they are weights.
    pub stated: bool,
    /// What the listed upstreams could take if all were well and warm.
    pub listed: f64,
    /// What those can take now that can be used.
    pub usable: f64,
    /// Part of `listed` that is missing since upstreams are cold.
    pub slow_start: f64,
    /// What is held there against what could be held in good time.
    pub load: f64,
    /// Mean time of a new connection, in milliseconds.
    pub connect_ms: f64,
    /// Attempts that were sent, ever.
    pub sent: u64,
    /// Answered in time.
    pub ok: u64,
    /// Late, or given up while the upstream was reached.
    pub slow: u64,
    /// Answered with an error.
    pub failed: u64,
    /// Not reached.
    pub unreached: u64,
}

/// A rule's counters.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RuleCounters {
    /// Requests that came, ever.
    pub requests: u64,
    /// Refused here.
    pub rejected: u64,
}

/// Everything at one moment.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CounterSnapshot {
    /// When, on the process's clock.
    pub at: Duration,
    /// The digest of the topology and rules that zones and rules are counted by.
    pub digest: u64,
    /// Whether clients are taken.
    pub ready: bool,
    /// Zones, sorted.
    pub zones: Vec<ZoneCounters>,
    /// Rules, in their order.
    pub rules: Vec<RuleCounters>,
    /// Where listed upstreams of each zone listen, some of them if there are many.
    pub upstreams: Arc<Vec<(Zone, SocketAddr)>>,
}

/// The snapshots of the last second.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SnapshotWindow {
    kept: VecDeque<CounterSnapshot>,
}

impl SnapshotWindow {
    /// Takes one in. Counters by other zones and rules than before begin anew.
    pub fn push(&mut self, seen: CounterSnapshot) {
        if self.kept.back().is_some_and(|last| last.digest != seen.digest || last.at >= seen.at) {
            self.kept.clear();
        }
        self.kept.push_back(seen);
        let newest = self.kept.back().map_or(Duration::ZERO, |last| last.at);
        // One that is just older than the span stays: rates are over the whole of it.
        while self.kept.len() > KEPT
            || self.kept.get(1).is_some_and(|second| second.at + RATE_WINDOW <= newest)
        {
            self.kept.pop_front();
        }
    }

    /// The newest.
    pub fn last(&self) -> Option<&CounterSnapshot> {
        self.kept.back()
    }

    /// What a report says of zones and rules; nothing before there are two snapshots.
    pub fn rates(&self) -> (Vec<ZoneObservation>, Vec<Demand>) {
        let (Some(first), Some(last)) = (self.kept.front(), self.kept.back()) else {
            return Default::default();
        };
        let span = last.at.saturating_sub(first.at).as_secs_f64();
        if span <= 0.0 {
            return Default::default();
        }
        // Counters that fell are of another start of what counts.
        let rate = |now: u64, before: u64| (now.saturating_sub(before) as f64 / span) as f32;
        let sight = |z: &ZoneCounters| {
            let before = first.zones.iter().find(|other| other.zone == z.zone).copied().unwrap_or_default();
            ZoneObservation {
                zone: z.zone,
                stated: z.stated,
                listed: z.listed as f32,
                usable: z.usable as f32,
                warming: z.slow_start as f32,
                sent: rate(z.sent, before.sent),
                ok: rate(z.ok, before.ok),
                slow: rate(z.slow, before.slow),
                failed: rate(z.failed, before.failed),
                unreached: rate(z.unreached, before.unreached),
                connect_ms: z.connect_ms as f32,
                load: z.load as f32,
                ..ZoneObservation::default()
            }
        };
        let demand = |(rule, seen): (usize, &RuleCounters)| {
            let before = first.rules.get(rule).copied().unwrap_or_default();
            let requests = rate(seen.requests, before.requests);
            let rejected = rate(seen.rejected, before.rejected);
            (requests > 0.0).then_some(Demand { rule: rule as u16, asked: requests, rejected })
        };
        (last.zones.iter().map(sight).collect(), last.rules.iter().enumerate().filter_map(demand).collect())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn seen(ms: u64, sent: u64, requests: u64) -> CounterSnapshot {
        CounterSnapshot {
            at: Duration::from_millis(ms),
            zones: vec![ZoneCounters { zone: Zone(1), sent, ok: sent / 2, ..ZoneCounters::default() }],
            rules: vec![RuleCounters::default(), RuleCounters { requests, rejected: 0 }],
            ..CounterSnapshot::default()
        }
    }

    #[test]
    fn rates_are_over_the_last_second() {
        let mut window = SnapshotWindow::default();
        window.push(seen(0, 0, 0));
        assert_eq!(window.rates(), Default::default());
        for n in 1..=20u64 {
            // 100 a second for the first two seconds, 50 after that.
            let sent = if n <= 10 { 20 * n } else { 200 + 10 * (n - 10) };
            window.push(seen(200 * n, sent, 2 * sent));
        }
        let (sights, demand) = window.rates();
        assert_eq!((sights[0].zone, sights[0].sent, sights[0].ok), (Zone(1), 50.0, 25.0));
        assert_eq!(demand, [Demand { rule: 1, asked: 100.0, rejected: 0.0 }]);
        assert!(window.kept.len() <= 7, "what is older is forgotten");
    }

    #[test]
    fn other_rules_begin_anew_and_counters_that_fall_do_no_harm() {
        let mut window = SnapshotWindow::default();
        window.push(seen(0, 500, 500));
        window.push(seen(500, 100, 100));
        assert_eq!(window.rates().0[0].sent, 0.0);
        window.push(CounterSnapshot { digest: 7, ..seen(600, 100, 100) });
        assert_eq!(window.rates(), Default::default());
        // A clock that stands still, or goes back, has no rates.
        window.push(CounterSnapshot { digest: 7, ..seen(600, 300, 100) });
        assert_eq!(window.rates(), Default::default());
    }
}
