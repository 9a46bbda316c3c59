//! Counters and sums per zone and per group of requests; no decisions.

use crate::interface::{Outcome, ZoneId};
use crate::upstream::Upstream;

/// Seconds over which a zone's load is averaged if answers are few, and the bounds of the weight of one
/// answer.
const LOAD_WINDOW_S: f64 = 3.0;
const MIN_SAMPLE_WEIGHT: f64 = 0.02;
const MAX_SAMPLE_WEIGHT: f64 = 0.2;
/// Largest load that one attempt can indicate.
const MAX_LOAD_SAMPLE: f64 = 10.0;
/// Half-life, in seconds, of a zone's load without new answers.
const LOAD_HALF_LIFE_S: f64 = 5.0;

/// State of a zone as observed by one balancer. Counters accumulate from the balancer's start.
#[derive(Clone, Debug, PartialEq)]
pub struct ZoneObservation {
    /// Observed zone.
    pub zone: ZoneId,
    /// Total weight of the upstreams listed as ready.
    pub listed_weight: f64,
    /// Part of the listed weight that is usable now: not ejected, and reduced during slow start.
    pub usable_weight: f64,
    /// Part of the listed weight that is missing because of slow start.
    pub warming_weight: f64,
    /// Attempts in flight in the zone.
    pub in_flight: u64,
    /// Attempts sent to the zone.
    pub sent: u64,
    /// Attempts answered within the latency objective.
    pub succeeded: u64,
    /// Attempts answered after the objective, or ended unanswered while the upstream answered others.
    pub slow: u64,
    /// Attempts that exceeded the hedge delay, and attempts in `slow` that did not. The first kind counts as
    /// soon as the delay passes; a hanging upstream would otherwise show only a full deadline later.
    pub lagging: u64,
    /// Attempts that ended with an error, a rejection or an overload report.
    pub failed: u64,
    /// Attempts whose connection failed or broke, and unanswered attempts that were lost or since which the
    /// upstream has answered nothing.
    pub unreachable: u64,
    /// Ratio of the latency to the longest mean latency that leaves headroom; 0 without recent attempts.
    pub load: f64,
}

/// Counters of a group of requests at one balancer, accumulated since the group was added.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GroupObservation {
    /// Requests that have arrived.
    pub requests: u64,
    /// Arrived requests that were rejected on arrival.
    pub rejected: u64,
}

/// Counters and mean load of one zone.
#[derive(Clone, Copy, Default)]
struct ZoneCounters {
    sent: u64,
    succeeded: u64,
    slow: u64,
    lagging: u64,
    failed: u64,
    unreachable: u64,
    load: f64,
    load_updated_at: f64,
}

impl ZoneCounters {
    /// Returns the load, which decays without new answers.
    fn decayed_load(&self, now: f64) -> f64 {
        self.load * (-(now - self.load_updated_at).max(0.0) / LOAD_HALF_LIFE_S).exp2()
    }

    /// Counts a slow attempt; an overdue one already counts as lagging.
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
            // An attempt cancelled before it was overdue, or never sent, says nothing about the zone.
            Outcome::Cancelled if !attempt.was_overdue => {}
            Outcome::NotSent => {}
            Outcome::TimedOut | Outcome::Cancelled if attempt.was_lost || is_silent => self.unreachable += 1,
            Outcome::TimedOut | Outcome::Cancelled => self.record_slow(attempt),
        }
    }

    fn record_load(&mut self, attempt: &ObservedAttempt, now: f64) {
        let load = (attempt.latency / attempt.max_mean_latency.max(1e-6)).min(MAX_LOAD_SAMPLE);
        let weight =
            ((now - self.load_updated_at) / LOAD_WINDOW_S).clamp(MIN_SAMPLE_WEIGHT, MAX_SAMPLE_WEIGHT);
        self.load_updated_at = now;
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
            load: self.decayed_load(now),
        }
    }
}

/// Result of an attempt as input to the counters.
pub(crate) struct ObservedAttempt {
    pub(crate) outcome: Outcome,
    pub(crate) latency: f64,
    /// Latency objective of the attempt's class.
    pub(crate) objective: f64,
    /// Longest mean latency that leaves headroom.
    pub(crate) max_mean_latency: f64,
    pub(crate) was_overdue: bool,
    pub(crate) was_lost: bool,
}

/// Counters of all zones and groups.
#[derive(Default)]
pub(crate) struct Observations {
    /// Counters by zone id, up to the highest zone that an attempt was sent to.
    zones: Vec<ZoneCounters>,
    groups: Vec<GroupObservation>,
}

impl Observations {
    /// Resizes the list of groups; new groups start at zero.
    pub(crate) fn resize_groups(&mut self, count: usize) {
        self.groups.resize(count, GroupObservation::default());
    }

    /// Returns the counters of each group.
    pub(crate) fn groups(&self) -> &[GroupObservation] {
        &self.groups
    }

    /// Counts an arrived request of a group.
    pub(crate) fn record_request(&mut self, group: usize, is_rejected: bool) {
        if let Some(counters) = self.groups.get_mut(group) {
            counters.requests += 1;
            counters.rejected += u64::from(is_rejected);
        }
    }

    /// Counts an attempt sent to a zone.
    pub(crate) fn record_attempt(&mut self, zone: ZoneId) {
        let position = usize::from(zone.0);
        if position >= self.zones.len() {
            self.zones.resize(position + 1, ZoneCounters::default());
        }
        self.zones[position].sent += 1;
    }

    /// Counts an attempt that has exceeded the hedge delay.
    pub(crate) fn record_overdue(&mut self, zone: ZoneId) {
        if let Some(counters) = self.zones.get_mut(usize::from(zone.0)) {
            counters.lagging += 1;
        }
    }

    /// Counts an ended attempt. The state of `upstream` must not include this result yet.
    pub(crate) fn record_result(&mut self, upstream: &Upstream, now: f64, attempt: &ObservedAttempt) {
        let Some(counters) = self.zones.get_mut(usize::from(upstream.zone.0)) else { return };
        let is_silent = upstream.last_answer_at < now - attempt.latency;
        counters.record_outcome(attempt, is_silent);
        let timed_out_in_queue = attempt.outcome == Outcome::TimedOut && !attempt.was_lost;
        if attempt.outcome == Outcome::Ok || timed_out_in_queue {
            counters.record_load(attempt, now);
        }
    }

    /// Returns the highest load among the zones that a split reaches.
    pub(crate) fn highest_load(&self, now: f64, reach: &[f64]) -> f64 {
        let reached = self.zones.iter().zip(reach).filter(|(_, reach)| **reach > 0.0);
        reached.map(|(counters, _)| counters.decayed_load(now)).fold(0.0, f64::max)
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
