//! Overdue attempts: sends a hedge, or cancels the attempt for a retry. Times are in seconds.

use crate::interface::*;
use crate::state::Balancer;
use std::time::Duration;

/// An overdue attempt is presumed lost if the same upstream has answered an attempt sent more than this many
/// hedge delays later. The check repeats after each hedge delay.
const LOST_MARGIN_DELAYS: f64 = 0.5;
/// Headroom below which no hedge is sent; negative because the overdue attempt counts as in flight.
const MIN_HEDGE_HEADROOM: f64 = -1.0;
/// Seconds of silence after which an attempt whose answer has begun counts as one without an answer.
/// Upstreams may pause for a while between two parts of a long answer.
const MAX_ANSWER_SILENCE_S: f64 = 1.0;
/// Retry-budget cost of a hedge.
const HEDGE_COST: f64 = 1.0;

impl Balancer {
    /// Handles all attempts that have become overdue.
    pub(crate) fn handle_overdue_attempts(&mut self) {
        while let Some(&timer) = self.overdue_timers.first().filter(|timer| timer.0 <= self.now) {
            self.overdue_timers.remove(&timer);
            let (_, id, attempt) = timer;
            self.on_attempt_overdue(id, AttemptNo(attempt));
        }
    }

    /// Records that part of an attempt's answer has arrived.
    pub(crate) fn on_answer_progress(&mut self, id: RequestId, attempt: AttemptNo) {
        let request = self.requests.get_mut(&id);
        let answered = request.and_then(|request| request.attempts.get_mut(usize::from(attempt.0)));
        if let Some(answered) = answered {
            answered.last_progress_at = Some(self.now_s);
        }
    }

    /// Postpones the check of an attempt whose answer arrives. Returns true if it was postponed.
    fn postpone_overdue_check(&mut self, id: RequestId, attempt: AttemptNo) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        let answered = request.attempts.get(usize::from(attempt.0)).filter(|attempt| attempt.is_in_flight);
        let last_progress_at = answered.and_then(|attempt| attempt.last_progress_at);
        let silent_at = last_progress_at.map(|at| at + MAX_ANSWER_SILENCE_S);
        let Some(silent_at) = silent_at.filter(|at| *at > self.now_s) else { return false };
        let next_check = self.now + Duration::from_secs_f64(silent_at - self.now_s);
        self.overdue_timers.insert((next_check, id, attempt.0));
        true
    }

    /// Handles an attempt that has exceeded the hedge delay: its upstream is skipped, and a hedge may be
    /// sent. If a later check finds the attempt lost, the attempt no longer counts as load and its upstream
    /// counts as healthy.
    fn on_attempt_overdue(&mut self, id: RequestId, attempt: AttemptNo) {
        if self.postpone_overdue_check(id, attempt) {
            return;
        }
        let Some(is_first_time) = self.mark_overdue(id, attempt) else { return };
        if !is_first_time {
            return;
        }
        if self.settings.can_hedge {
            if self.headroom > MIN_HEDGE_HEADROOM {
                self.try_retry(id, HEDGE_COST);
            }
        } else if self.settings.can_cancel {
            self.cancel_for_retry(id, attempt);
        }
    }

    /// Marks an attempt as overdue or, on a later check, as lost. Returns true on the first check, and `None`
    /// if no such attempt is in flight.
    fn mark_overdue(&mut self, id: RequestId, attempt: AttemptNo) -> Option<bool> {
        let request = self.requests.get_mut(&id)?;
        let position = usize::from(attempt.0);
        let overdue = request.attempts.get_mut(position).filter(|a| a.is_in_flight && !a.is_streaming)?;
        let hedge_delay = self.classes[request.class].hedge_delay;
        let is_first_time = !std::mem::replace(&mut overdue.is_overdue, true);
        if let Some(index) = self.index_by_id.get(&overdue.upstream).copied() {
            self.refresh_queue.push(index, self.upstreams.len());
            let upstream = &mut self.upstreams[index];
            // Queues serve in order, so an attempt overtaken by this margin is not queued. If no later
            // attempt was sent, none can overtake: the attempt stops counting as overdue, so that its
            // upstream receives another one.
            let health = &upstream.health[request.class];
            let newest_answered_sent_at = health.answered_sent_at;
            overdue.is_lost = !is_first_time
                && newest_answered_sent_at > overdue.sent_at + LOST_MARGIN_DELAYS * hedge_delay;
            let was_followed = health.last_sent_at > overdue.sent_at;
            let still_counts = overdue.is_counted_overdue && !overdue.is_lost && was_followed;
            upstream.count_overdue(overdue, is_first_time || still_counts);
            upstream.lost_count += u32::from(overdue.is_lost);
            if is_first_time {
                self.observations.record_overdue(upstream.zone);
            }
        }
        if !overdue.is_lost {
            let next_check = self.now + Duration::from_secs_f64(hedge_delay);
            self.overdue_timers.insert((next_check, id, attempt.0));
        }
        Some(is_first_time)
    }

    /// Cancels an overdue attempt if a retry can follow; otherwise the attempt may still be answered. Charges
    /// the retry now, since one tick may cancel many attempts.
    fn cancel_for_retry(&mut self, id: RequestId, attempt: AttemptNo) {
        if self.retry_target(id, HEDGE_COST).is_none() {
            return;
        }
        let request = self.requests.get_mut(&id);
        let overdue = request.and_then(|r| r.attempts.get_mut(usize::from(attempt.0)));
        if let Some(overdue) = overdue {
            overdue.is_retry_paid = true;
            self.retry_budget -= HEDGE_COST;
            self.actions.push(Action::Cancel { id, attempt });
        }
    }
}
