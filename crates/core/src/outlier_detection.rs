//! Outlier detection: ejects failing upstreams for one class or for all, and returns them to service by
//! trials. Times are in seconds.

use crate::attempt_result::AttemptResult;
use crate::headroom::MAX_LATENCY_SHARE;
use crate::interface::{Outcome, UpstreamId};
use crate::observations::ObservedAttempt;
use crate::rotation::Rotation;
use crate::state::Balancer;
use crate::upstream::{OVERDUE_LOAD, Upstream};
use crate::upstream_weights::MAX_EJECTED_SHARE;

/// Consecutive failures after which an upstream is ejected for the class of the failed requests.
const MAX_CONSECUTIVE_FAILURES: u32 = 2;
/// A single failure ejects an upstream that has not answered the class for these seconds, if others answer
/// the class within this share of its latency objective. Under overload all upstreams are slow, and avoiding
/// some of them makes the overload worse.
const SILENT_AFTER_S: f64 = 3.0;
const QUICK_ANSWER_SHARE: f64 = 0.5;
/// Consecutive broken connections, and seconds without an answer, after which an upstream is considered dead
/// and ejected.
const MAX_BROKEN_CONNECTIONS: u32 = 3;
const DEAD_AFTER_S: f64 = 0.25;
/// Broken connections that a failed connect counts for: a dying process breaks all its connections and
/// refuses new ones.
const FAILED_CONNECT_COUNT: u32 = 2;
/// An upstream counts as dead only if upstreams that do answer have such a run of broken connections with
/// less than this probability. Otherwise, where a third of the connections are late, all upstreams would be
/// ejected in turn and then be in slow start.
const MAX_BREAK_PROBABILITY: f64 = 0.06;
/// Weight of the newest run of broken connections in the estimate of that probability.
const NEWEST_RUN_WEIGHT: f64 = 0.05;
/// Seconds of the first ejection. Each further ejection without a success doubles the duration, up to this
/// number of doublings.
const INITIAL_EJECTION_S: f64 = 1.5;
const MAX_EJECTION_DOUBLINGS: u32 = 3;
const MAX_TRIAL_DOUBLINGS: u32 = 4;
/// Largest latency ratio that one attempt can indicate.
const MAX_LATENCY_RATIO: f64 = 5.0;

impl Balancer {
    /// Updates the statistics of an upstream, its class and the balancer with the result of an attempt.
    pub(crate) fn record_result(&mut self, id: UpstreamId, class: usize, result: &AttemptResult) {
        let objective = self.settings.classes[class].latency_objective.as_secs_f64();
        let latency_ratio = self.classes[class].latency_ratio(result.latency);
        self.throughput.completed += f64::from(u8::from(result.is_ok()));
        self.classes[class].record(result, objective, self.now_s);
        self.idle_connections.record(result, self.now_s);
        let Some(index) = self.index_by_id.get(&id).copied() else { return };
        self.observe_result(index, class, result, objective);
        let upstream = &mut self.upstreams[index];
        upstream.last_used_at = self.now_s;
        upstream.in_flight = upstream.in_flight.saturating_sub(1);
        if result.is_latency_sample() {
            upstream.record_latency_ratio(latency_ratio.min(MAX_LATENCY_RATIO));
        }
        let previous_breaks = consecutive_breaks(upstream);
        if result.is_ok() {
            self.record_success(index, class, result);
        }
        self.record_connection(index, result.outcome, previous_breaks);
        if is_connection_failure(result.outcome) && self.is_dead(index) {
            self.eject(index);
        }
        self.record_failure(index, class, result);
        if self.has_failed_for_class(index, class, result.outcome, objective) {
            self.eject_for_class(index, class);
        }
        // A slow attempt at an ejected upstream says nothing about the headroom of the others.
        let upstream = &mut self.upstreams[index];
        let is_abandoned = result.is_slow() && !upstream.health[class].is_ejected;
        upstream.abandoned_load += f64::from(u8::from(is_abandoned));
    }

    fn observe_result(&mut self, index: usize, class: usize, result: &AttemptResult, objective: f64) {
        let observed = ObservedAttempt {
            outcome: result.outcome,
            latency: result.latency,
            objective,
            max_mean_latency: self.classes[class].max_mean_latency(MAX_LATENCY_SHARE, objective),
            was_overdue: result.was_overdue,
            was_lost: result.was_lost,
        };
        self.observations.record_result(&self.upstreams[index], self.now_s, &observed);
    }

    /// Records a success; one before the hedge delay ends the upstream's ejection for the class.
    fn record_success(&mut self, index: usize, class: usize, result: &AttemptResult) {
        let upstream = &mut self.upstreams[index];
        let health = &mut upstream.health[class];
        health.failures = 0;
        health.last_answer_at = self.now_s;
        health.answered_sent_at = health.answered_sent_at.max(self.now_s - result.latency);
        if result.was_overdue {
            return;
        }
        upstream.ejections = 0;
        if std::mem::take(&mut health.is_ejected) {
            let statistics = &mut self.classes[class];
            let was_counted = usize::from(upstream.is_in_subset);
            statistics.ejected_count = statistics.ejected_count.saturating_sub(was_counted);
            // Other ejected upstreams may have had the same fault, so their trials start at once.
            statistics.failed_trials = 0;
            statistics.next_trial_at = self.now_s;
        }
    }

    /// Counts consecutive broken connections, and updates their probability at healthy upstreams.
    fn record_connection(&mut self, index: usize, outcome: Outcome, previous_breaks: u32) {
        let upstream = &mut self.upstreams[index];
        match outcome {
            Outcome::Ok | Outcome::Error | Outcome::Rejected | Outcome::Overloaded => {
                if previous_breaks > 0 {
                    self.break_probability =
                        updated_break_probability(self.break_probability, previous_breaks);
                }
                upstream.broken_connections = 0;
                upstream.last_answer_at = self.now_s;
            }
            Outcome::Reset => upstream.broken_connections += 1,
            Outcome::ConnectFailed => upstream.broken_connections += FAILED_CONNECT_COUNT,
            _ => {}
        }
    }

    /// Returns true if an upstream is considered dead because of its broken connections.
    fn is_dead(&self, index: usize) -> bool {
        let upstream = &self.upstreams[index];
        let breaks = upstream.broken_connections;
        let excess = breaks.clamp(MAX_BROKEN_CONNECTIONS, 99) - MAX_BROKEN_CONNECTIONS;
        let probability = self.break_probability.powi(excess as i32 / 2 + 1);
        breaks >= MAX_BROKEN_CONNECTIONS
            && probability < MAX_BREAK_PROBABILITY
            && self.now_s - upstream.last_answer_at > DEAD_AFTER_S
            && !upstream.is_ejected(self.now_s)
    }

    /// Ejects an upstream for all classes. The upstream returns in slow start with its first slot at a random
    /// time, so that all balancers together try it slowly.
    fn eject(&mut self, index: usize) {
        let upstream = &mut self.upstreams[index];
        upstream.broken_connections = 0;
        let duration_s = INITIAL_EJECTION_S * f64::from(1 << upstream.ejections.min(MAX_EJECTION_DOUBLINGS));
        upstream.ejections += 1;
        upstream.ejected_until = self.now_s + duration_s * (0.75 + 0.5 * self.rng.f64());
        upstream.slow_start_since = Some(upstream.ejected_until);
        upstream.credit = self.rng.f64();
        upstream.is_new = true;
        self.next_subset_choice_at = self.now_s;
    }

    /// Counts a failure of an upstream for a class.
    fn record_failure(&mut self, index: usize, class: usize, result: &AttemptResult) {
        let upstream = &mut self.upstreams[index];
        let health = &mut upstream.health[class];
        match result.outcome {
            // An upstream that rejects requests of a class looks least loaded to the skip rule, so its load
            // is raised. An overloaded upstream has not failed, but others are preferred for a while.
            Outcome::Rejected | Outcome::Overloaded => {
                upstream.reported_load = upstream.reported_load.max(2.0 * OVERDUE_LOAD);
                upstream.reported_at = self.now_s;
                health.failures += u32::from(result.outcome == Outcome::Rejected);
            }
            Outcome::Error => health.failures += 1,
            Outcome::TimedOut | Outcome::Cancelled if result.was_overdue => health.failures += 1,
            _ => {}
        }
    }

    /// Returns true if an outcome causes the ejection of an upstream for a class.
    fn has_failed_for_class(&self, index: usize, class: usize, outcome: Outcome, objective: f64) -> bool {
        let health = &self.upstreams[index].health[class];
        if health.is_ejected || outcome == Outcome::Ok {
            return false;
        }
        let is_silent = self.now_s - health.last_answer_at > SILENT_AFTER_S;
        let others_are_quick = self.classes[class].answered_latency < QUICK_ANSWER_SHARE * objective;
        let is_one_failure_enough = is_silent && others_are_quick && outcome != Outcome::Error;
        let has_failed =
            health.failures >= MAX_CONSECUTIVE_FAILURES || (is_one_failure_enough && health.failures > 0);
        has_failed && self.may_eject_another(index, class)
    }

    /// Returns true if one more upstream may be ejected for a class. The limit applies to the whole subset
    /// or, with a split, to the zone, since no other zone can take its requests.
    fn may_eject_another(&self, index: usize, class: usize) -> bool {
        let (ejected, count) = match &self.split {
            None => (self.classes[class].ejected_count, self.subset.len()),
            Some(split) => self.ejected_in_zone(split.rotation(self.upstreams[index].zone), class),
        };
        (ejected + 1) as f64 <= MAX_EJECTED_SHARE * count as f64
    }

    fn ejected_in_zone(&self, rotation: usize, class: usize) -> (usize, usize) {
        let entries = self.rotations.get(rotation).map_or(&[][..], |r| r.entries(&self.subset));
        let ejected = entries.iter().filter(|index| self.upstreams[**index].health[class].is_ejected);
        (ejected.count(), entries.len())
    }

    fn eject_for_class(&mut self, index: usize, class: usize) {
        let upstream = &mut self.upstreams[index];
        let health = &mut upstream.health[class];
        health.failures = 0;
        health.is_ejected = true;
        health.last_trial_at = self.now_s;
        let statistics = &mut self.classes[class];
        statistics.ejected_count += usize::from(upstream.is_in_subset);
        if statistics.next_trial_at <= self.now_s {
            statistics.failed_trials = 0;
            statistics.next_trial_at = self.now_s + INITIAL_EJECTION_S * (0.75 + 0.5 * self.rng.f64());
        }
    }

    /// Takes an upstream that is ejected for a class and due for a trial. Usually none is ejected, so only a
    /// due trial searches the rotation. Trials run one at a time at growing intervals, since each may cost a
    /// request that can't be retried.
    pub(crate) fn take_trial(&mut self, class: usize, rotation: &Rotation) -> Option<usize> {
        let statistics = &self.classes[class];
        if statistics.ejected_count == 0 || self.now_s < statistics.next_trial_at {
            return None;
        }
        let trial = self.longest_untried(class, rotation);
        let statistics = &mut self.classes[class];
        statistics.failed_trials += u32::from(trial.is_some());
        let doublings = statistics.failed_trials.min(MAX_TRIAL_DOUBLINGS);
        let wait = INITIAL_EJECTION_S * f64::from(1 << doublings) * (0.75 + 0.5 * self.rng.f64());
        statistics.next_trial_at = self.now_s + wait;
        let upstream = &mut self.upstreams[trial?];
        upstream.health[class].last_trial_at = self.now_s;
        upstream.credit -= f64::from(u8::from(upstream.slow_start_since.is_some()));
        trial
    }

    /// Returns the upstream of a rotation that is ejected for a class and was tried longest ago. An upstream
    /// in slow start must have earned a slot; otherwise trials would exceed its slow-start rate.
    fn longest_untried(&self, class: usize, rotation: &Rotation) -> Option<usize> {
        let may_try = |u: &Upstream| u.weight > 0.0 && (u.slow_start_since.is_none() || u.credit >= 1.0);
        let ejected = rotation.entries(&self.subset).iter().copied().filter(|index| {
            let upstream = &self.upstreams[*index];
            upstream.health[class].is_ejected && may_try(upstream)
        });
        let last_trial_at = |index: &usize| self.upstreams[*index].health[class].last_trial_at;
        ejected.min_by(|a, b| last_trial_at(a).total_cmp(&last_trial_at(b)))
    }
}

fn is_connection_failure(outcome: Outcome) -> bool {
    matches!(outcome, Outcome::ConnectFailed | Outcome::Reset)
}

/// Returns the consecutive broken connections of an upstream; at least the limit if it is ejected.
fn consecutive_breaks(upstream: &Upstream) -> u32 {
    let min_breaks = if upstream.ejections > 0 { MAX_BROKEN_CONNECTIONS } else { 0 };
    upstream.broken_connections.max(min_breaks)
}

/// Returns the new probability that one more connection breaks after another at an upstream that does answer,
/// given a further run of `breaks` that ended with an answer.
fn updated_break_probability(probability: f64, breaks: u32) -> f64 {
    let previous_weight = 1.0 - NEWEST_RUN_WEIGHT;
    let complement = (1.0 - probability) * previous_weight.powi((breaks.clamp(1, 20) as i32 - 1) / 2);
    previous_weight * (1.0 - complement)
}
