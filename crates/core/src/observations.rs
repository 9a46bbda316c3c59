//! What a balancer observes of each zone and each group of requests: counters and sums, no decisions.

use crate::interface::{Outcome, ZoneId};
use crate::upstream::Upstream;

/// Seconds over which a zone's load is averaged where answers are few, and the least and the largest weight
/// of one answer.
const LOAD_OVER_S: f64 = 3.0;
const MIN_SAMPLE_WEIGHT: f64 = 0.02;
const MAX_SAMPLE_WEIGHT: f64 = 0.2;
/// The largest load that one attempt can tell.
const MAX_LOAD_SAMPLE: f64 = 10.0;
/// Seconds after which what was last observed of a zone's load is half forgotten.
const LOAD_HALF_LIFE_S: f64 = 5.0;

/// A zone as one balancer observes it. Counters go on from the balancer's start.
#[derive(Clone, Debug, PartialEq)]
pub struct ZoneObservation {
    /// The zone.
    pub zone: ZoneId,
    /// The weight of the upstreams that are listed as ready.
    pub listed_weight: f64,
    /// Of that, the weight that can be used now: not ejected, and as far as slow start has come.
    pub usable_weight: f64,
    /// The weight that is missing because upstreams are in slow start.
    pub warming_weight: f64,
    /// The attempts in flight in the zone.
    pub in_flight: u64,
    /// The attempts sent.
    pub sent: u64,
    /// The attempts answered within the latency objective.
    pub succeeded: u64,
    /// The attempts answered later, or given up while the upstream answered others.
    pub slow: u64,
    /// The attempts that were out for longer than the hedge delay, whatever became of them, and those of
    /// `slow` that were not. They count at once: what hangs would otherwise be seen a whole deadline later.
    pub lagging: u64,
    /// The attempts that met errors or were turned away.
    pub failed: u64,
    /// The attempts without a connection, with a broken one, or since which nothing was heard from the
    /// upstream.
    pub unreachable: u64,
    /// The latency over the longest mean latency that leaves headroom; 0 if nothing was sent of late.
    pub load: f64,
}

/// A group of requests as one balancer observes it. Counters go on from the moment when the group came to be.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GroupObservation {
    /// The requests that have arrived.
    pub requests: u64,
    /// Of these, the requests that were rejected on arrival.
    pub rejected: u64,
}

/// The counters of one zone.
#[derive(Clone, Copy, Default)]
struct ZoneCounters {
    sent: u64,
    succeeded: u64,
    slow: u64,
    lagging: u64,
    failed: u64,
    unreachable: u64,
    load: f64,
    load_at: f64,
}

impl ZoneCounters {
    /// Returns the load, which fades while nothing new is heard.
    fn faded_load(&self, now: f64) -> f64 {
        self.load * (-(now - self.load_at).max(0.0) / LOAD_HALF_LIFE_S).exp2()
    }

    /// Counts a slow attempt; an overdue one lags already.
    fn record_slow(&mut self, attempt: &ObservedAttempt) {
        self.slow += 1;
        self.lagging += u64::from(!attempt.was_overdue);
    }

    fn record_outcome(&mut self, attempt: &ObservedAttempt, is_silent: bool) {
        match attempt.outcome {
            Outcome::Ok if attempt.latency <= attempt.objective => self.succeeded += 1,
            Outcome::Ok => self.record_slow(attempt),
            Outcome::Error | Outcome::Rejected | Outcome::Overloaded => self.failed += 1,
            Outcome::ConnectFailed | Outcome::Reset => self.unreachable += 1,
            // Cancelled before its time, or never sent: it tells nothing.
            Outcome::Cancelled if !attempt.was_overdue => {}
            Outcome::NotSent => {}
            Outcome::TimedOut | Outcome::Cancelled if attempt.was_lost || is_silent => self.unreachable += 1,
            Outcome::TimedOut | Outcome::Cancelled => self.record_slow(attempt),
        }
    }

    fn record_load(&mut self, attempt: &ObservedAttempt, now: f64) {
        let load = (attempt.latency / attempt.max_mean_latency.max(1e-6)).min(MAX_LOAD_SAMPLE);
        let weight = ((now - self.load_at) / LOAD_OVER_S).clamp(MIN_SAMPLE_WEIGHT, MAX_SAMPLE_WEIGHT);
        self.load_at = now;
        self.load += weight * (load - self.load);
    }

    fn observation(&self, zone: ZoneId, now: f64) -> ZoneObservation {
        ZoneObservation {
            zone,
            listed_weight: 0.0,
            usable_weight: 0.0,
            warming_weight: 0.0,
            in_flight: 0,
            sent: self.sent,
            succeeded: self.succeeded,
            slow: self.slow,
            lagging: self.lagging,
            failed: self.failed,
            unreachable: self.unreachable,
            load: self.faded_load(now),
        }
    }
}

/// How an attempt ended, as it is counted.
pub(crate) struct ObservedAttempt {
    pub(crate) outcome: Outcome,
    pub(crate) latency: f64,
    /// The latency objective of its class.
    pub(crate) objective: f64,
    /// The longest mean latency that leaves headroom.
    pub(crate) max_mean_latency: f64,
    pub(crate) was_overdue: bool,
    pub(crate) was_lost: bool,
}

/// The counters of all zones and groups.
#[derive(Default)]
pub(crate) struct Observations {
    /// By zone, as far as the last zone that an attempt was sent to.
    zones: Vec<ZoneCounters>,
    groups: Vec<GroupObservation>,
}

impl Observations {
    /// Sets the number of groups.
    pub(crate) fn resize_groups(&mut self, count: usize) {
        self.groups.resize(count, GroupObservation::default());
    }

    /// Returns each group's counters.
    pub(crate) fn groups(&self) -> &[GroupObservation] {
        &self.groups
    }

    /// Counts a request of a group that has arrived.
    pub(crate) fn record_request(&mut self, group: usize, is_rejected: bool) {
        if let Some(counters) = self.groups.get_mut(group) {
            counters.requests += 1;
            counters.rejected += u64::from(is_rejected);
        }
    }

    /// Counts an attempt that goes to a zone.
    pub(crate) fn record_attempt(&mut self, zone: ZoneId) {
        let position = usize::from(zone.0);
        if position >= self.zones.len() {
            self.zones.resize(position + 1, ZoneCounters::default());
        }
        self.zones[position].sent += 1;
    }

    /// Counts an attempt that has been out for longer than the hedge delay.
    pub(crate) fn record_overdue(&mut self, zone: ZoneId) {
        if let Some(counters) = self.zones.get_mut(usize::from(zone.0)) {
            counters.lagging += 1;
        }
    }

    /// Counts an attempt that has ended at an upstream, whose state does not include this result yet.
    pub(crate) fn record_result(&mut self, upstream: &Upstream, now: f64, attempt: &ObservedAttempt) {
        let Some(counters) = self.zones.get_mut(usize::from(upstream.zone.0)) else { return };
        let is_silent = upstream.last_answer_at < now - attempt.latency;
        counters.record_outcome(attempt, is_silent);
        let timed_out_in_queue = attempt.outcome == Outcome::TimedOut && !attempt.was_lost;
        if attempt.outcome == Outcome::Ok || timed_out_in_queue {
            counters.record_load(attempt, now);
        }
    }

    /// Returns the highest load of the zones that a split reaches.
    pub(crate) fn highest_load(&self, now: f64, reach: &[f64]) -> f64 {
        let reached = self.zones.iter().zip(reach).filter(|(_, reach)| **reach > 0.0);
        reached.map(|(counters, _)| counters.faded_load(now)).fold(0.0, f64::max)
    }

    /// Returns the counters of each zone that an attempt was sent to, without the weights of its upstreams.
    pub(crate) fn used_zones(&self, now: f64) -> impl Iterator<Item = ZoneObservation> {
        let used = self.zones.iter().enumerate().filter(|(_, counters)| counters.sent > 0);
        used.map(move |(zone, counters)| counters.observation(ZoneId(zone as u8), now))
    }

    /// Returns the observation of a zone that no attempt was sent to.
    pub(crate) fn unused_zone(zone: ZoneId, now: f64) -> ZoneObservation {
        ZoneCounters::default().observation(zone, now)
    }
}
