//! Overdue attempts: a hedge beside them, or their cancellation in favour of a retry. Times are seconds.

use crate::interface::*;
use crate::state::Balancer;
use std::time::Duration;

/// By how many hedge delays an attempt that was sent later to the same upstream, and answered, has to have
/// overtaken an overdue one for it to count as lost on its way. It is looked at again after each hedge delay.
const LOST_AFTER_DELAYS: f64 = 0.5;
/// The headroom below which no hedge is sent: the overdue attempt itself counts as in flight.
const MIN_HEDGE_HEADROOM: f64 = -1.0;
/// What a hedge costs of the retry budget.
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

    /// Handles an attempt that has been out for longer than the hedge delay: its upstream is passed over, and
    /// a hedge may go out. Looked at again later, the attempt may turn out to be lost: then it occupies
    /// nothing, and its upstream is well.
    fn on_attempt_overdue(&mut self, id: RequestId, attempt: AttemptNo) {
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

    /// Marks an attempt as overdue or, later, as lost. Returns whether it was not overdue before; `None` if
    /// there is no such attempt in flight.
    fn mark_overdue(&mut self, id: RequestId, attempt: AttemptNo) -> Option<bool> {
        let request = self.requests.get_mut(&id)?;
        let position = usize::from(attempt.0);
        let overdue = request.attempts.get_mut(position).filter(|a| a.is_in_flight && !a.is_streaming)?;
        let hedge_delay = self.classes[request.class].hedge_delay;
        let is_first_time = !std::mem::replace(&mut overdue.is_overdue, true);
        if let Some(index) = self.index_by_id.get(&overdue.upstream).copied() {
            self.refresh_queue.push(index, self.upstreams.len());
            let upstream = &mut self.upstreams[index];
            // A queue serves in order: an attempt that is overtaken by so much stands in none. One that no
            // other attempt followed can't be overtaken: it counts as any other then, so that one does.
            let health = &upstream.health[request.class];
            let lost_before = health.answered_sent_at;
            overdue.is_lost =
                !is_first_time && lost_before > overdue.sent_at + LOST_AFTER_DELAYS * hedge_delay;
            let was_followed = health.last_sent_at > overdue.sent_at;
            let still_counts = overdue.is_counted_overdue && !overdue.is_lost && was_followed;
            upstream.count_overdue(overdue, is_first_time || still_counts);
            upstream.lost += u32::from(overdue.is_lost);
            if is_first_time {
                self.observations.record_overdue(upstream.zone);
            }
        }
        if !overdue.is_lost {
            let next_look = self.now + Duration::from_secs_f64(hedge_delay);
            self.overdue_timers.insert((next_look, id, attempt.0));
        }
        Some(is_first_time)
    }

    /// Cancels an overdue attempt if a retry can follow: else it may still be answered. The retry is paid for
    /// now, since many attempts may be cancelled at one tick.
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
