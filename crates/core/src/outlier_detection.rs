//! Outlier detection: ejection of upstreams that fail, for one class or for all, and the trials that bring
//! them back. Times are seconds.

use crate::attempt_result::AttemptResult;
use crate::headroom::LATENCY_SHARE;
use crate::interface::{Outcome, UpstreamId};
use crate::observations::ObservedAttempt;
use crate::rotation::Rotation;
use crate::state::Balancer;
use crate::upstream::{OVERDUE_LOAD, Upstream};
use crate::upstream_weights::MAX_EJECTED_SHARE;

/// Failures in a row after which an upstream is ejected for the class that met them.
const MAX_FAILURES: u32 = 2;
/// One failure is enough where the class had no answer from the upstream for these seconds while others
/// answer it within this share of its latency objective: under overload all are slow, and leaving some makes
/// it worse.
const UNHEARD_AFTER_S: f64 = 3.0;
const QUICK_SHARE: f64 = 0.5;
/// Broken connections in a row, and seconds without an answer, after which an upstream is held for dead and
/// ejected.
const MAX_BROKEN_CONNECTIONS: u32 = 3;
const DEAD_AFTER_S: f64 = 0.25;
/// What a connection that can't be made counts for: a process that dies breaks all it has and refuses new
/// ones.
const REFUSED_CONNECTION_COUNT: u32 = 2;
/// More broken connections in a row are needed where upstreams that do answer have as many by more than this
/// chance, with the weight of the newest: where a third come late, all would be held for dead in turn and
/// then be in slow start.
const MAX_CHANCE_OF_BREAKS: f64 = 0.06;
const NEWEST_BREAK_WEIGHT: f64 = 0.05;
/// Seconds of the first ejection; each further one without a success doubles it, this many times at most.
const BASE_EJECTION_S: f64 = 1.5;
const MAX_EJECTION_DOUBLINGS: u32 = 3;
const MAX_TRIAL_DOUBLINGS: u32 = 4;
/// The largest latency ratio that one attempt can tell.
const MAX_LATENCY_RATIO: f64 = 5.0;

impl Balancer {
    /// Takes in what the result of an attempt tells of its upstream, its class and all upstreams.
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
        let breaks_before = breaks_in_a_row(upstream);
        if result.is_ok() {
            self.record_success(index, class, result);
        }
        self.record_connection(index, result.outcome, breaks_before);
        if is_connection_failure(result.outcome) && self.is_dead(index) {
            self.eject(index);
        }
        self.record_failure(index, class, result);
        if self.has_failed_for_class(index, class, result.outcome, objective) {
            self.eject_for_class(index, class);
        }
        // Where the fault is the upstream's own, it tells nothing of the headroom elsewhere.
        let upstream = &mut self.upstreams[index];
        let is_abandoned = result.is_slow() && !upstream.health[class].is_ejected;
        upstream.abandoned += f64::from(u8::from(is_abandoned));
    }

    fn observe_result(&mut self, index: usize, class: usize, result: &AttemptResult, objective: f64) {
        let observed = ObservedAttempt {
            outcome: result.outcome,
            latency: result.latency,
            objective,
            max_mean_latency: self.classes[class].max_mean_latency(LATENCY_SHARE, objective),
            was_overdue: result.was_overdue,
            was_lost: result.was_lost,
        };
        self.observations.record_result(&self.upstreams[index], self.now_s, &observed);
    }

    /// Takes in a success; one in time ends the upstream's ejections.
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
            // The others may have had the same trouble: they are tried at once.
            statistics.failed_trials = 0;
            statistics.next_trial_at = self.now_s;
        }
    }

    /// Counts broken connections in a row, and how often they are due to chance.
    fn record_connection(&mut self, index: usize, outcome: Outcome, breaks_before: u32) {
        let upstream = &mut self.upstreams[index];
        match outcome {
            Outcome::Ok | Outcome::Error | Outcome::Rejected | Outcome::Overloaded => {
                if breaks_before > 0 {
                    self.break_chance = break_chance_after(self.break_chance, breaks_before);
                }
                upstream.broken_connections = 0;
                upstream.last_answer_at = self.now_s;
            }
            Outcome::Reset => upstream.broken_connections += 1,
            Outcome::ConnectFailed => upstream.broken_connections += REFUSED_CONNECTION_COUNT,
            _ => {}
        }
    }

    /// Returns whether an upstream is to be held for dead by its broken connections.
    fn is_dead(&self, index: usize) -> bool {
        let upstream = &self.upstreams[index];
        let breaks = upstream.broken_connections;
        let excess = breaks.clamp(MAX_BROKEN_CONNECTIONS, 99) - MAX_BROKEN_CONNECTIONS;
        let chance = self.break_chance.powi(excess as i32 / 2 + 1);
        breaks >= MAX_BROKEN_CONNECTIONS
            && chance < MAX_CHANCE_OF_BREAKS
            && self.now_s - upstream.last_answer_at > DEAD_AFTER_S
            && !upstream.is_ejected(self.now_s)
    }

    /// Ejects an upstream for all classes. It comes back in slow start, with its first slot at a random time,
    /// so that all balancers together try it slowly.
    fn eject(&mut self, index: usize) {
        let upstream = &mut self.upstreams[index];
        upstream.broken_connections = 0;
        let length = BASE_EJECTION_S * f64::from(1 << upstream.ejections.min(MAX_EJECTION_DOUBLINGS));
        upstream.ejections += 1;
        upstream.ejected_until = self.now_s + length * (0.75 + 0.5 * self.rng.f64());
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
            // An upstream that turns requests of a class away looks the least loaded to the skip rule. One
            // that is overloaded does not fail, but others are to be asked first for a while.
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

    /// Returns whether an upstream is to be ejected for a class after an outcome.
    fn has_failed_for_class(&self, index: usize, class: usize, outcome: Outcome, objective: f64) -> bool {
        let health = &self.upstreams[index].health[class];
        if health.is_ejected || outcome == Outcome::Ok {
            return false;
        }
        let is_unheard = self.now_s - health.last_answer_at > UNHEARD_AFTER_S;
        let others_are_quick = self.classes[class].answered_latency < QUICK_SHARE * objective;
        let one_is_enough = is_unheard && others_are_quick && outcome != Outcome::Error;
        let has_failed = health.failures >= MAX_FAILURES || (one_is_enough && health.failures > 0);
        has_failed && self.may_eject_one_more(index, class)
    }

    /// Returns whether few enough of the upstreams that share a rotation are ejected for a class: of all, or
    /// with a split of those in the same zone, since no other can take what goes there.
    fn may_eject_one_more(&self, index: usize, class: usize) -> bool {
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
            statistics.next_trial_at = self.now_s + BASE_EJECTION_S * (0.75 + 0.5 * self.rng.f64());
        }
    }

    /// Returns an upstream that is ejected for a class and due for a trial. Few are ejected, as a rule none:
    /// only a trial, one at a time and ever more seldom, searches all of them, since each may cost a request
    /// that nothing repeats.
    pub(crate) fn take_trial(&mut self, class: usize, rotation: &Rotation) -> Option<usize> {
        let statistics = &self.classes[class];
        if statistics.ejected_count == 0 || self.now_s < statistics.next_trial_at {
            return None;
        }
        let trial = self.longest_untried(class, rotation);
        let statistics = &mut self.classes[class];
        statistics.failed_trials += u32::from(trial.is_some());
        let doublings = statistics.failed_trials.min(MAX_TRIAL_DOUBLINGS);
        let wait = BASE_EJECTION_S * f64::from(1 << doublings) * (0.75 + 0.5 * self.rng.f64());
        statistics.next_trial_at = self.now_s + wait;
        let upstream = &mut self.upstreams[trial?];
        upstream.health[class].last_trial_at = self.now_s;
        upstream.credit -= f64::from(u8::from(upstream.slow_start_since.is_some()));
        trial
    }

    /// Returns the upstream of a rotation that is ejected for a class and was tried longest ago. One in slow
    /// start has to have earned a slot: else trials would come on top of its part.
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

/// Returns the broken connections in a row of an upstream, of which an ejected one has had enough.
fn breaks_in_a_row(upstream: &Upstream) -> u32 {
    let before_ejection = if upstream.ejections > 0 { MAX_BROKEN_CONNECTIONS } else { 0 };
    upstream.broken_connections.max(before_ejection)
}

/// Returns the chance that one more connection breaks after one has, at an upstream that does answer, after
/// another run of breaks that ended in an answer.
fn break_chance_after(chance: f64, breaks: u32) -> f64 {
    let keep = 1.0 - NEWEST_BREAK_WEIGHT;
    let others = (1.0 - chance) * keep.powi((breaks.clamp(1, 20) as i32 - 1) / 2);
    keep * (1.0 - others)
}
