//! The traffic shares that one balancer applies, with and without the lease on the shared document.
//!
//! With the lease, the balancer applies the plan. Without it, the balancer starts from the last plan and
//! moves traffic by its own observations, but no more than its part of the agreed spare capacity, so that all
//! disconnected balancers together stay within the capacity. If no plan was ever received, it prefers near
//! zones and moves at most a fixed, cautious share of the capacity that it observes.

use crate::document::{Document, FULL_SHARE, ZoneState};
use crate::priorities::{PriorityLists, ZoneSet, zone_bit, zones_in};
use crate::remap;
use crate::report::{Demand, ZoneObservation};
use crate::rtt::RttTable;
use crate::verdict::Verdict;
use maplehook_locality::{Rules, Topology, Zone};
use std::time::Duration;

/// Time for which a zone has to be unreachable from this balancer before traffic is moved away.
const UNREACHABLE_AFTER: Duration = Duration::from_secs(1);
/// Time for which an avoided zone has to look reachable before traffic returns. If no traffic or probe
/// confirms it, the time doubles with each failure, up to [`MAX_BACKOFF_DOUBLINGS`] times.
const RETRY_AFTER: Duration = Duration::from_secs(5);
const MAX_BACKOFF_DOUBLINGS: u32 = 5;
/// Share of the planned traffic that tries out a zone without other evidence, and the duration of the trial:
/// longer than most attempts of one second take to fail.
const TRIAL_SHARE: f64 = 0.1;
const TRIAL_TIME: Duration = Duration::from_secs(2);
/// Time without a failure after which the failure count of a zone is reset.
const FAILURE_MEMORY: Duration = Duration::from_secs(60);
/// Longer pauses between two ticks count as this time.
const MAX_TICK_GAP: Duration = Duration::from_millis(500);
/// Share of a zone's capacity that all balancers without any plan may use together.
const NO_PLAN_SHARE: f64 = 0.2;

/// Destinations of the requests of one rule that arrive at this balancer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Shares {
    /// Share of the rule's requests per zone, 0 to 1.
    pub to: Vec<(Zone, f64)>,
    /// Share of the rule's requests that is rejected, 0 to 1.
    pub rejected: f64,
}

/// The routing that a balancer applies.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EffectiveRouting {
    /// Set if the lease is valid and the agreed plan is applied.
    pub uses_shared_plan: bool,
    /// Reason for the routing, for logs and operators.
    pub reason: &'static str,
    /// Epoch of the plan that the routing starts from; 0 without a plan.
    pub epoch: u64,
    /// Shares of each rule, by rule index.
    pub rules: Vec<Shares>,
}

/// This balancer's own view of one zone.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct LocalZoneState {
    avoided: bool,
    unreachable_for: Duration,
    healthy_since: Option<Duration>,
    /// Start of the current uninterrupted outage.
    unreachable_since: Option<Duration>,
    /// Number of recent failures, which determines the retry delay.
    failures: u32,
    /// Set while the avoided zone is tried out with a small share of traffic.
    in_trial: bool,
}

/// State machine that computes the routing of one balancer.
#[derive(Clone, Debug)]
pub struct BalancerRouting {
    topology: Topology,
    rules: Rules,
    priorities: PriorityLists,
    zone: Zone,
    balancers: usize,
    document: Option<Document>,
    rtt_table: RttTable,
    local_states: Vec<LocalZoneState>,
    last_tick: Duration,
    routing: EffectiveRouting,
}

impl BalancerRouting {
    /// Creates the state of a balancer in `zone`.
    pub fn new(topology: Topology, rules: Rules, zone: Zone, now: Duration) -> Self {
        let priorities = PriorityLists::new(&topology, &rules);
        let local_states = vec![LocalZoneState::default(); priorities.region_of.len()];
        let routing = EffectiveRouting::default();
        Self {
            topology,
            rules,
            priorities,
            zone,
            balancers: 1,
            document: None,
            rtt_table: RttTable::default(),
            local_states,
            last_tick: now,
            routing,
        }
    }

    /// Applies the agreed round-trip times. Call it before the document that was agreed on with them.
    pub fn set_rtt_table(&mut self, rtt_table: &RttTable) {
        if self.rtt_table != *rtt_table {
            self.rtt_table = rtt_table.clone();
            let (topology, rules) = (self.topology.clone(), self.rules.clone());
            self.reconfigure(topology, rules, self.zone);
        }
    }

    /// Applies another topology or other rules. The agreed document is carried over by names.
    pub fn reconfigure(&mut self, mut topology: Topology, rules: Rules, zone: Zone) {
        topology.set_measured_rtts(self.rtt_table.resolve(&topology.clone()));
        let priorities = PriorityLists::new(&topology, &rules);
        let old = std::mem::replace(&mut self.topology, topology);
        let carried_over = |new: Zone| {
            let previous = old.zone(self.topology.zone_name(new));
            previous.and_then(|zone| self.local_states.get(usize::from(zone.0))).copied().unwrap_or_default()
        };
        self.local_states = self.topology.zones().map(carried_over).collect();
        (self.rules, self.priorities, self.zone) = (rules, priorities, zone);
        if let Some(document) = self.document.take() {
            self.document = Some(remap::remap_with(&document, &self.topology, &self.rules, &self.priorities));
        }
    }

    /// Applies a newly agreed document.
    pub fn set_document(&mut self, document: &Document) {
        self.document = Some(remap::remap_with(document, &self.topology, &self.rules, &self.priorities));
    }

    /// Sets the number of balancers that share the spare capacity: all configured balancers, connected or
    /// not, with or without a zone.
    pub fn set_balancer_count(&mut self, count: usize) {
        self.balancers = count.max(1);
    }

    /// Returns the routing of the last tick.
    pub fn routing(&self) -> &EffectiveRouting {
        &self.routing
    }

    /// Computes the routing to apply now. `lease` tells if the lease on the shared document is valid;
    /// `observations` and `demand` are this balancer's own.
    pub fn tick(
        &mut self,
        now: Duration,
        lease: bool,
        observations: &[ZoneObservation],
        demand: &[Demand],
    ) -> &EffectiveRouting {
        self.observe(now, observations);
        let uses_shared_plan = lease && self.document.is_some();
        let reason = match (&self.document, lease) {
            (Some(_), true) => "the shared plan",
            (Some(_), false) => "disconnected: the last plan, with local failover within the spare capacity",
            (None, _) => "no plan yet: near zones first, with local failover within a cautious limit",
        };
        let mut rules: Vec<Shares> =
            (0..self.rules.all().len() as u16).map(|rule| self.planned_shares(rule, observations)).collect();
        if !uses_shared_plan {
            self.fail_over_locally(&mut rules, observations, demand);
        }
        let epoch = self.document.as_ref().map_or(0, |document| document.plan.epoch);
        self.routing = EffectiveRouting { uses_shared_plan, reason, epoch, rules };
        &self.routing
    }

    /// Returns the zones that are unreachable without interruption and for how many milliseconds, for the
    /// report.
    pub fn unreachable_ms(&self) -> Vec<(Zone, u16)> {
        let elapsed_ms = |since: Duration| {
            self.last_tick.saturating_sub(since).as_millis().min(u128::from(u16::MAX)) as u16
        };
        let outage = |(zone, local): (usize, &LocalZoneState)| {
            Some((Zone(zone as u16), elapsed_ms(local.unreachable_since?)))
        };
        self.local_states.iter().enumerate().filter_map(outage).collect()
    }

    fn observe(&mut self, now: Duration, observations: &[ZoneObservation]) {
        // After a pause of the process, nothing is known about the time in between.
        if now.saturating_sub(self.last_tick) > MAX_TICK_GAP {
            self.local_states.iter_mut().for_each(|local| local.unreachable_since = None);
        }
        let elapsed = now.saturating_sub(self.last_tick).min(MAX_TICK_GAP);
        self.last_tick = self.last_tick.max(now);
        for observation in observations {
            let Some(local) = self.local_states.get_mut(usize::from(observation.zone.0)) else { continue };
            let verdict = Verdict::of(observation);
            local.unreachable_since =
                (verdict == Verdict::Unreachable).then(|| local.unreachable_since.unwrap_or(now));
            if verdict == Verdict::Unreachable {
                local.unreachable_for = (local.unreachable_for + elapsed).min(UNREACHABLE_AFTER);
                // An error during the trial counts as another failure immediately.
                if !local.avoided && local.unreachable_for >= UNREACHABLE_AFTER || local.in_trial {
                    (local.avoided, local.in_trial) = (true, false);
                    local.failures = (local.failures + 1).min(MAX_BACKOFF_DOUBLINGS + 1);
                }
                local.healthy_since = None;
            } else {
                local.unreachable_for = local.unreachable_for.saturating_sub(elapsed / 2);
                let since = *local.healthy_since.get_or_insert(now);
                let waited = now.saturating_sub(since);
                // A balancer that sends nothing to a zone observes no errors either, and would start trials
                // over and over.
                let unverified = verdict <= Verdict::Idle;
                let doublings = if unverified { local.failures.saturating_sub(1) } else { 0 };
                if local.in_trial && waited >= TRIAL_TIME {
                    (local.avoided, local.in_trial, local.healthy_since) = (false, false, Some(now));
                } else if local.avoided && !local.in_trial && waited >= RETRY_AFTER * (1 << doublings) {
                    (local.avoided, local.in_trial, local.healthy_since) =
                        (unverified, unverified, Some(now));
                } else if !local.avoided && waited >= FAILURE_MEMORY {
                    local.failures = 0;
                }
            }
        }
    }

    /// Returns the plan's row, or without one the first step of the rule, weighted by usable capacity.
    fn planned_shares(&self, rule: u16, observations: &[ZoneObservation]) -> Shares {
        if let Some(row) = self.document.as_ref().and_then(|document| document.plan.row(rule, self.zone)) {
            let part = |part: u16| f64::from(part) / f64::from(FULL_SHARE);
            let to: Vec<(Zone, f64)> = row.to.iter().map(|share| (share.zone, part(share.part))).collect();
            let sent: f64 = to.iter().map(|(_, part)| part).sum();
            return Shares { to, rejected: (1.0 - sent).max(0.0) };
        }
        let first =
            self.priorities.list_index(rule, self.zone).and_then(|n| self.priorities.lists[n].steps.first());
        let step = first.copied().unwrap_or(0);
        let usable = |zone: usize| {
            let observation = observations.iter().find(|observation| usize::from(observation.zone.0) == zone);
            observation.map_or(0.0, |observation| f64::from(observation.usable)).max(0.0)
        };
        let all: f64 = zones_in(step).map(usable).sum();
        let even_part = 1.0 / f64::from(step.count_ones().max(1));
        let part = |zone: usize| if all > 0.0 { usable(zone) / all } else { even_part };
        let to: Vec<(Zone, f64)> = zones_in(step)
            .map(|zone| (Zone(zone as u16), part(zone)))
            .filter(|(_, part)| *part > 0.0)
            .collect();
        Shares { rejected: if to.is_empty() { 1.0 } else { 0.0 }, to }
    }

    /// Moves traffic from avoided zones to zones with spare capacity.
    fn fail_over_locally(&self, rules: &mut [Shares], observations: &[ZoneObservation], demand: &[Demand]) {
        let zones = self.local_states.len();
        let agreed_state = |zone: usize| {
            self.document
                .as_ref()
                .and_then(|document| document.zone_statuses.get(zone))
                .map_or(ZoneState::Serving, |status| status.state)
        };
        let is_closed =
            |zone: usize| matches!(agreed_state(zone), ZoneState::Unreachable | ZoneState::Evacuated);
        let observed =
            |zone: usize| observations.iter().find(|observation| usize::from(observation.zone.0) == zone);
        let is_healthy = |zone: usize| {
            !self.local_states[zone].avoided
                && observed(zone).is_some_and(|observation| {
                    !Verdict::of(observation).is_failing() && observation.listed > 0.0
                })
        };
        // If no zone looks healthy, the fault is likely to be local: the routing does not change.
        if !(0..zones).any(is_healthy) {
            return;
        }
        let set = |predicate: &dyn Fn(usize) -> bool| crate::flow::zone_set(zones, predicate);
        let (avoided, healthy_open) =
            (set(&|zone| self.local_states[zone].avoided), set(&|zone| is_healthy(zone) && !is_closed(zone)));
        let candidates = if healthy_open == 0 { set(&is_healthy) } else { healthy_open };
        let rule_rate = |rule: usize| {
            let found = demand.iter().find(|demand| usize::from(demand.rule) == rule);
            found.map_or(0.0, |demand| f64::from(demand.asked)).max(0.0)
        };
        let total: f64 = (0..rules.len()).map(rule_rate).sum();
        let mut spare_rate: Vec<f64> =
            (0..zones).map(|zone| self.spare_rate(zone, observed(zone), total)).collect();
        for (n, shares) in rules.iter_mut().enumerate() {
            let Some(list) = self.priorities.list_index(n as u16, self.zone) else { continue };
            let rule_rate = rule_rate(n);
            let mut displaced = 0.0;
            for (zone, part) in shares.to.iter_mut().filter(|(zone, _)| avoided & zone_bit(*zone) != 0) {
                let in_trial = self.local_states[usize::from(zone.0)].in_trial;
                let trial_part = if in_trial { *part * TRIAL_SHARE } else { 0.0 };
                displaced += *part - trial_part;
                *part = trial_part;
            }
            if displaced <= 0.0 {
                continue;
            }
            shares.to.retain(|(_, part)| *part > 0.0);
            let list = &self.priorities.lists[list];
            let mut remote_budget = list.max_remote_share;
            for (zone, part) in &shares.to {
                remote_budget -= if list.remote_zones & zone_bit(*zone) != 0 { *part } else { 0.0 };
            }
            for step in &list.steps {
                let targets: ZoneSet = step & candidates;
                for zone in zones_in(targets) {
                    let is_remote = list.remote_zones >> zone & 1 == 1;
                    let free_part = if rule_rate > 0.0 {
                        spare_rate[zone] / rule_rate
                    } else {
                        f64::from(u8::from(spare_rate[zone] > 0.0))
                    };
                    let limit = if is_remote { remote_budget.max(0.0) } else { 1.0 };
                    let part = displaced.min(free_part).min(limit);
                    if part <= 0.0 {
                        continue;
                    }
                    spare_rate[zone] -= part * rule_rate;
                    displaced -= part;
                    remote_budget -= if is_remote { part } else { 0.0 };
                    let zone = Zone(zone as u16);
                    match shares.to.iter_mut().find(|(z, _)| *z == zone) {
                        Some((_, old)) => *old += part,
                        None => shares.to.push((zone, part)),
                    }
                }
            }
            shares.to.sort_by_key(|(zone, _)| *zone);
            shares.rejected = (1.0 - shares.to.iter().map(|(_, part)| part).sum::<f64>()).max(0.0);
        }
    }

    /// Returns the rate that this balancer may send to a zone in addition to the plan, in requests per
    /// second.
    fn spare_rate(&self, zone: usize, observation: Option<&ZoneObservation>, rule_rate: f64) -> f64 {
        match (&self.document, observation) {
            (Some(document), _) => {
                document.plan.spare_rate(self.local_states.len(), self.zone, zone, self.balancers)
            }
            (None, Some(observation)) if observation.stated => {
                NO_PLAN_SHARE * f64::from(observation.usable) / self.balancers as f64
            }
            // Capacities are unknown: the limit is a share of the balancer's own requests.
            (None, Some(_)) => NO_PLAN_SHARE * rule_rate,
            (None, None) => 0.0,
        }
    }
}
