//! Event dispatch and the periodic tick of the balancer.
//!
//! Every tick refills one token bucket per tenant with a guaranteed rate and a share, in proportion to
//! demand, of the headroom `W` of the upstreams. A request that finds a token is admitted; any other is
//! rejected on arrival. Admitted requests take slots round robin over the ready upstreams, skipping an
//! upstream whose load is clearly higher than that of the next ones. This algorithm comes from a paper; each
//! deviation from the paper states the failure that it prevents. Times are in seconds.

use crate::interface::*;
use crate::latency_estimator::ClassStatistics;
use crate::random::SeededRandom;
use crate::retry::MAX_RETRY_BUDGET;
use crate::rotation::Rotation;
use crate::state::{Balancer, allowance_per_balancer, shortest_objective};
use crate::subsetting::min_subset_size;
use crate::throughput::{CpuUtilization, Throughput};
use crate::tick::{TICK_INTERVAL_S, TICK_TIMER};
use crate::token_bucket::TokenBucket;
use std::time::Duration;

/// Longest interval, in seconds, for which one tick refills tokens.
const MAX_TICK_S: f64 = 1.0;

impl Balancer {
    /// Creates a balancer whose random numbers depend on `seed` alone.
    ///
    /// # Errors
    ///
    /// Returns an error if [`Settings::check`] rejects the settings.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.check()?;
        let tenants = settings.tenants.len().max(1);
        let per_second = allowance_per_balancer(&settings);
        Ok(Self {
            min_subset_size: min_subset_size(&settings),
            rng: SeededRandom::with_seed(seed),
            buckets: (0..tenants).map(|tenant| TokenBucket::new(&settings, tenant)).collect(),
            classes: settings.classes.iter().map(ClassStatistics::new).collect(),
            throughput: Throughput { per_second, ..Throughput::default() },
            shortest_objective: shortest_objective(&settings),
            settings,
            utilization: CpuUtilization { reported_at: f64::NEG_INFINITY, ..CpuUtilization::default() },
            retry_budget: MAX_RETRY_BUDGET,
            rotations: vec![Rotation::default()],
            ..Self::default()
        })
    }

    /// Handles an event at time `now` and appends the resulting actions to `actions`.
    pub fn handle(&mut self, now: Duration, event: Event<'_>, actions: &mut Vec<Action>) {
        std::mem::swap(&mut self.actions, actions);
        self.now = now;
        self.now_s = now.as_secs_f64();
        if !std::mem::replace(&mut self.has_started, true) {
            self.start();
        }
        self.dispatch(event);
        std::mem::swap(&mut self.actions, actions);
    }

    /// Schedules the first tick at a random time, so that balancers that start together don't tick together.
    fn start(&mut self) {
        self.last_tick_s = self.now_s;
        self.schedule_first_discovery_call();
        let after = Duration::from_secs_f64(TICK_INTERVAL_S * self.rng.f64());
        self.actions.push(Action::Timer { after, timer: TICK_TIMER });
    }

    fn dispatch(&mut self, event: Event<'_>) {
        match event {
            Event::EndpointUpdate { scope, endpoints } => self.on_endpoint_update(scope, endpoints),
            Event::DiscoveryMoved => self.on_discovery_moved(),
            Event::Request { id, class, tenant, time_left, .. } => {
                self.on_request(id, class, tenant, time_left);
            }
            Event::StreamStarted { id, attempt, latency } => self.on_stream_started(id, attempt, latency),
            Event::AnswerProgress { id, attempt } => self.on_answer_progress(id, attempt),
            Event::AttemptEnded { id, attempt, upstream, outcome, latency, is_finished, report } => {
                self.on_load_report(upstream, report);
                self.on_attempt_ended(id, attempt, outcome, latency.as_secs_f64(), is_finished);
            }
            Event::RequestCancelled { id } => self.end_request(id),
            Event::ProbeEnded { upstream, report, .. } => self.on_load_report(upstream, report),
            Event::LearnedStateRestored { learned } => self.restore_learned_state(learned),
            Event::SettingsChanged { settings, removed_tenants } => {
                self.change_settings(settings, removed_tenants);
            }
            Event::TrafficSplit { split } => self.set_split(split),
            Event::Timer { timer: TICK_TIMER } => self.tick(),
            Event::Timer { .. } => {}
        }
    }

    /// Runs the periodic work: subset and weights, token refills, overdue attempts and discovery calls.
    fn tick(&mut self) {
        let last_tick_s = std::mem::replace(&mut self.last_tick_s, self.now_s);
        let elapsed = (self.now_s - last_tick_s).clamp(0.0, MAX_TICK_S);
        if self.now_s >= self.next_subset_choice_at {
            self.choose_subset();
        }
        self.refresh_weights();
        self.update_headroom(elapsed);
        self.update_spillover(elapsed);
        self.refill_buckets(elapsed);
        self.handle_overdue_attempts();
        self.poll_discovery();
        self.actions
            .push(Action::Timer { after: Duration::from_secs_f64(TICK_INTERVAL_S), timer: TICK_TIMER });
    }
}
