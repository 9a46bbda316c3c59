//! Lifecycle of attempts: sending, completion, and the final answer of the request. Times are in seconds.

use crate::attempt_result::AttemptResult;
use crate::interface::*;
use crate::latency_estimator::MAX_HEDGE_DELAY_SHARE;
use crate::request::{Attempt, Request};
use crate::state::Balancer;
use std::time::Duration;

/// Retry-budget cost of a retry after an attempt that never ran and so added no load.
const NEVER_RAN_RETRY_COST: f64 = 0.1;
const RETRY_COST: f64 = 1.0;

impl Balancer {
    /// Sends an attempt of a request to the upstream at position `index`.
    pub(crate) fn send_attempt(&mut self, id: RequestId, index: usize) {
        self.refresh_queue.push(index, self.upstreams.len());
        let Some(request) = self.requests.get(&id) else { return };
        let class = request.class;
        let hedge_delay = self.hedge_delay(class);
        let timeout = self.attempt_timeout(request, hedge_delay);
        let idle_before_s = self.close_if_dead(index);
        let Some(request) = self.requests.get_mut(&id) else { return };
        let upstream = &mut self.upstreams[index];
        self.observations.record_attempt(upstream.zone);
        if let Some(split) = &mut self.split {
            split.record_attempt(request, upstream.zone);
        }
        upstream.last_used_at = self.now_s;
        upstream.in_flight += 1;
        upstream.health[class].last_sent_at = self.now_s;
        self.last_attempt_at = self.now_s;
        self.actions.push(Action::Attempt { id, upstream: upstream.id, timeout });
        let overdue_at = self.now + Duration::from_secs_f64(hedge_delay);
        self.overdue_timers.insert((overdue_at, id, request.attempts.len() as u8));
        request.attempts.push(Attempt {
            upstream: upstream.id,
            zone: upstream.zone,
            cell: upstream.cell,
            sent_at: self.now_s,
            is_in_flight: true,
            idle_before_s,
            ..Attempt::default()
        });
    }

    /// Returns the seconds after which an attempt of a class is overdue.
    fn hedge_delay(&self, class: usize) -> f64 {
        let objective = self.settings.classes[class].latency_objective.as_secs_f64();
        self.classes[class].hedge_delay.min(MAX_HEDGE_DELAY_SHARE * objective)
    }

    /// Returns the timeout of the next attempt of a request; `None` if only the client's deadline limits it.
    fn attempt_timeout(&self, request: &Request, hedge_delay: f64) -> Option<Duration> {
        // Without hedging, an overdue attempt ends early so that its request can be retried. Where attempts
        // can't be cancelled, the timeout ends it; otherwise the tick cancels it if a retry can follow.
        let is_last = request.attempts.len() + 1 >= usize::from(request.max_attempts);
        let is_streamed = self.settings.classes[request.class].is_streamed;
        let is_repeatable = request.effect != Effect::AtMostOnce && !is_streamed;
        let can_only_time_out = !self.settings.can_hedge && !self.settings.can_cancel;
        if can_only_time_out && is_repeatable && !is_last && self.retry_budget >= RETRY_COST {
            return Some(Duration::from_secs_f64(hedge_delay));
        }
        // Times out an attempt whose answer has no value any more, unless the handshake for a new connection
        // costs more than the wasted upstream work.
        let prices = &self.settings.prices;
        let is_abort_cheaper = prices.handshake <= prices.waste;
        let useful_for = Duration::from_secs_f64((request.useful_until - self.now_s).clamp(1e-3, 1e6));
        (request.useful_until < request.deadline && is_abort_cheaper).then_some(useful_for)
    }

    /// Closes the idle connections to an upstream if they may be dead. Returns the idle seconds of the
    /// connection that the attempt will use.
    fn close_if_dead(&mut self, index: usize) -> f64 {
        let upstream = &self.upstreams[index];
        let is_in_use = upstream.in_flight > 0 || upstream.last_used_at <= 0.0;
        let idle_s = if is_in_use { 0.0 } else { self.now_s - upstream.last_used_at };
        if !self.idle_connections.may_be_dead(idle_s, self.now_s) {
            return idle_s;
        }
        self.actions.push(Action::CloseIdle { upstream: upstream.id });
        0.0
    }

    /// Handles the start of a stream. A streaming attempt occupies no queue slot and is never overdue;
    /// otherwise a few long answers would make their upstreams look overloaded.
    pub(crate) fn on_stream_started(&mut self, id: RequestId, attempt: AttemptNo, latency: Option<Duration>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.is_streaming = true;
        let class = request.class;
        let position = usize::from(attempt.0);
        let streaming = request.attempts.get_mut(position).filter(|a| a.is_in_flight && !a.is_streaming);
        let Some(streaming) = streaming else { return };
        streaming.is_streaming = true;
        let upstream_id = streaming.upstream;
        let was_lost = std::mem::take(&mut streaming.is_lost);
        let result = AttemptResult {
            outcome: Outcome::Ok,
            latency: latency.unwrap_or_default().as_secs_f64(),
            was_overdue: streaming.is_overdue,
            was_lost,
            idle_before_s: streaming.idle_before_s,
        };
        if let Some(index) = self.index_by_id.get(&upstream_id).copied() {
            self.refresh_queue.push(index, self.upstreams.len());
            let upstream = &mut self.upstreams[index];
            upstream.remove_overdue(streaming, was_lost);
            upstream.in_flight = upstream.in_flight.saturating_sub(u32::from(latency.is_none()));
        }
        if latency.is_some() {
            // One answer is enough: cancels the other attempts.
            self.cancel_attempts(id, Some(position));
            self.record_result(upstream_id, class, &result);
        }
    }

    /// Cancels the in-flight attempts of a request, if allowed, except the one at position `except`.
    fn cancel_attempts(&mut self, id: RequestId, except: Option<usize>) {
        let Some(request) = self.requests.get(&id).filter(|_| self.settings.can_cancel) else { return };
        let in_flight = request.attempts.iter().enumerate().filter(|(_, a)| a.is_in_flight);
        let others = in_flight.filter(|(k, _)| Some(*k) != except);
        self.actions.extend(others.map(|(k, _)| Action::Cancel { id, attempt: AttemptNo(k as u8) }));
    }

    /// Handles the end of an attempt: finishes, retries or abandons its request.
    pub(crate) fn on_attempt_ended(
        &mut self,
        id: RequestId,
        attempt: AttemptNo,
        outcome: Outcome,
        latency: f64,
        is_finished: bool,
    ) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let ended = request.attempts.get_mut(usize::from(attempt.0)).filter(|a| a.is_in_flight);
        let Some(ended) = ended else { return };
        ended.is_in_flight = false;
        ended.may_have_run = !outcome.never_ran();
        let (was_streaming, is_retry_paid) = (ended.is_streaming, ended.is_retry_paid);
        let result = AttemptResult {
            outcome,
            latency,
            was_overdue: ended.is_overdue,
            was_lost: ended.is_lost,
            idle_before_s: ended.idle_before_s,
        };
        let (class, upstream_id) = (request.class, ended.upstream);
        self.release_attempt(id, attempt, outcome);
        if !was_streaming {
            self.record_result(upstream_id, class, &result);
        }
        self.decide_next_step(id, outcome, is_finished, is_retry_paid);
    }

    /// Removes an ended attempt from the counters of its upstream.
    fn release_attempt(&mut self, id: RequestId, attempt: AttemptNo, outcome: Outcome) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let ended = &mut request.attempts[usize::from(attempt.0)];
        let Some(index) = self.index_by_id.get(&ended.upstream).copied() else { return };
        self.refresh_queue.push(index, self.upstreams.len());
        let upstream = &mut self.upstreams[index];
        let was_lost = ended.is_lost;
        upstream.remove_overdue(ended, was_lost);
        if !ended.is_streaming {
            return;
        }
        match outcome {
            Outcome::Reset => upstream.broken_connections += 1,
            Outcome::Ok | Outcome::Error => {
                upstream.broken_connections = 0;
                upstream.last_answer_at = self.now_s;
            }
            _ => {}
        }
    }

    /// Finishes, retries or abandons a request after one of its attempts has ended.
    fn decide_next_step(&mut self, id: RequestId, outcome: Outcome, is_finished: bool, is_retry_paid: bool) {
        let Some(request) = self.requests.get(&id) else { return };
        let (had_ended, is_another_in_flight) = (request.has_ended, request.has_attempt_in_flight());
        if is_finished {
            self.end_request(id);
        } else if !had_ended && !is_another_in_flight {
            let cost = if outcome.never_ran() { NEVER_RAN_RETRY_COST } else { RETRY_COST };
            if !self.try_retry(id, if is_retry_paid { 0.0 } else { cost }) {
                self.give_up(id);
            }
        }
        if had_ended && !is_another_in_flight {
            self.requests.remove(&id);
        }
    }

    /// Sends the final answer of a request that has no attempt in flight and no retry left. Rejects the
    /// request only if no attempt can have run or a repeat is harmless; otherwise fails it.
    fn give_up(&mut self, id: RequestId) {
        let Some(request) = self.requests.remove(&id) else { return };
        let is_repeat_harmless = request.effect == Effect::Idempotent;
        if is_repeat_harmless || request.attempts.iter().all(|a| !a.may_have_run) {
            let time_left = (request.deadline - self.now_s).max(0.0);
            self.reject(id, Duration::from_secs_f64(time_left.min(1e6)));
        } else {
            self.actions.push(Action::Fail { id });
        }
    }

    /// Ends a request: sends no further attempts and cancels those in flight.
    pub(crate) fn end_request(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let had_ended = std::mem::replace(&mut request.has_ended, true);
        let has_attempt_in_flight = request.has_attempt_in_flight();
        if !had_ended {
            self.cancel_attempts(id, None);
        }
        if !has_attempt_in_flight {
            self.requests.remove(&id);
        }
    }
}
