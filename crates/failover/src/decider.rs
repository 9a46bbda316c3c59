//! The leader's state machine: takes reports and proposes documents to agree on.

use crate::bounds::Bounds;
use crate::capacity::{CapacityEstimator, ZoneCapacity, aggregate_demand, partition_reports};
use crate::compose::PublishedState;
use crate::document::{Document, Evacuation, Plan, ZoneState, ZoneStatus};
use crate::orders::{Order, OrderError};
use crate::plan::{Planner, PlannerInput, demand_table};
use crate::priorities::{PriorityLists, ZoneSet, zone_bit};
use crate::reachability::Reachability;
use crate::remap;
use crate::report::Report;
use crate::report_store::{MAX_BALANCERS, ReportStore, digest};
use crate::rtt::RttTable;
use crate::verdict::VerdictMatrix;
use crate::zone_health::ZoneHealth;
use maplehook_locality::{Rules, Topology, Zone};
use std::collections::BTreeMap;
use std::time::Duration;

/// Minimum time between two evaluations.
const TICK_INTERVAL: Duration = Duration::from_millis(200);
/// Time to wait for agreement on a proposal before the next one is made.
const PROPOSAL_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval at which changed metrics alone are proposed.
const METRICS_INTERVAL: Duration = Duration::from_secs(5);
/// Time for which a new leader collects reports before it decides, unless most balancers have reported
/// earlier. It covers two reports of each balancer.
const STARTUP_DELAY: Duration = Duration::from_secs(1);

/// Time within which a new leader learns about all running balancers.
const MEMBER_DISCOVERY_TIME: Duration = Duration::from_secs(120);

/// Capacities and demand at the last evaluation.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct ObservedLoad {
    pub capacities: Vec<ZoneCapacity>,
    pub demand: BTreeMap<(u16, Zone), f64>,
}

/// The leader's state machine.
#[derive(Clone, Debug)]
pub struct Decider {
    pub(crate) topology: Topology,
    pub(crate) priorities: PriorityLists,
    pub(crate) bounds: Bounds,
    rules: Rules,
    rtt_table: RttTable,
    report_store: ReportStore,
    estimator: CapacityEstimator,
    /// Usable capacity of each zone when it was last healthy, in requests per second.
    pub(crate) healthy_capacity: Vec<f64>,
    pub(crate) zone_health: Vec<ZoneHealth>,
    pub(crate) published: Vec<PublishedState>,
    reach: Reachability,
    pub(crate) unreachable_from: Vec<ZoneSet>,
    pub(crate) assessments: Vec<crate::verdict::ZoneAssessment>,
    planner: Planner,
    pub(crate) observed: ObservedLoad,
    pub(crate) evacuations: Vec<(Evacuation, Option<Duration>)>,
    pub(crate) shared_cause: Option<String>,
    /// Time at which a shared cause was last detected.
    pub(crate) shared_cause_seen_at: Option<Duration>,
    pub(crate) agreed: Document,
    proposed: Option<(Document, Duration)>,
    pub(crate) hold: Option<crate::document::PlanHold>,
    decide_after: Duration,
    last_tick: Option<Duration>,
    metrics_at: Duration,
    /// Number of balancers per zone. A new leader takes the larger of the reported and the agreed number.
    balancer_counts: Vec<usize>,
    /// Time from which the list of balancers is complete.
    members_known_at: Duration,
}

impl Decider {
    /// Creates the state, continuing from the document agreed before, if there is one.
    pub fn new(
        topology: Topology,
        rules: Rules,
        bounds: Bounds,
        previous: Option<&Document>,
        now: Duration,
    ) -> Self {
        let priorities = PriorityLists::new(&topology, &rules);
        let empty = Document { zone_statuses: Vec::new(), ..Document::default() };
        let agreed = remap::remap_with(previous.unwrap_or(&empty), &topology, &rules, &priorities);
        let move_budget = if previous.is_some() { 0.0 } else { bounds.max_moved_per_s };
        let mut decider = Self {
            topology,
            priorities,
            bounds,
            rules,
            rtt_table: RttTable::default(),
            report_store: ReportStore::default(),
            estimator: CapacityEstimator::default(),
            healthy_capacity: Vec::new(),
            zone_health: Vec::new(),
            published: Vec::new(),
            reach: Reachability::default(),
            unreachable_from: Vec::new(),
            assessments: Vec::new(),
            planner: Planner::new(now, move_budget),
            observed: ObservedLoad::default(),
            evacuations: Vec::new(),
            shared_cause: None,
            shared_cause_seen_at: None,
            agreed: Document::default(),
            proposed: None,
            hold: None,
            decide_after: now + STARTUP_DELAY,
            last_tick: None,
            metrics_at: now,
            balancer_counts: Vec::new(),
            members_known_at: now + MEMBER_DISCOVERY_TIME,
        };
        decider.adopt(agreed, now);
        decider
    }

    /// Replaces the state with that of an agreed document, whichever leader proposed it.
    fn adopt(&mut self, agreed: Document, now: Duration) {
        let damping = self.bounds.damping;
        self.zone_health =
            agreed.zone_statuses.iter().map(|status| ZoneHealth::restore(status, now, &damping)).collect();
        self.healthy_capacity =
            agreed.zone_statuses.iter().map(|status| f64::from(status.usable).max(0.0)).collect();
        let published = |status: &ZoneStatus| PublishedState {
            state: status.state,
            since: now,
            prior_age: Duration::from_millis(status.since_ms),
        };
        self.published = agreed.zone_statuses.iter().map(published).collect();
        self.reach = Reachability::restore(&agreed.zone_statuses, now);
        self.unreachable_from = vec![0; agreed.zone_statuses.len()];
        let balancer_counts = agreed.plan.spare_section(2, agreed.zone_statuses.len());
        self.balancer_counts =
            balancer_counts.iter().map(|count| count.clamp(0.0, MAX_BALANCERS as f32) as usize).collect();
        self.balancer_counts.resize(agreed.zone_statuses.len(), 0);
        let until = |e: &Evacuation| e.remaining_ms.map(|ms| now + Duration::from_millis(ms));
        self.evacuations = agreed.evacuations.iter().map(|e| (e.clone(), until(e))).collect();
        self.shared_cause.clone_from(&agreed.shared_cause);
        self.shared_cause_seen_at = self.shared_cause.is_some().then_some(now);
        self.hold.clone_from(&agreed.hold);
        self.agreed = agreed;
        self.proposed = None;
    }

    /// Returns the agreed document, mapped to the current topology and rules.
    pub fn document(&self) -> &Document {
        &self.agreed
    }

    /// Returns the digest that reports have to carry.
    pub fn digest(&self) -> u64 {
        self.agreed.digest
    }

    /// Sets the balancers with a zone, and the number of balancers without one.
    pub fn set_members(&mut self, all: &[(String, Zone)], unlocated: usize) {
        self.report_store.set_members(all, unlocated);
    }

    /// Stores a report. Returns true if it was accepted.
    pub fn record_report(&mut self, now: Duration, from: &str, report: Report) -> bool {
        let expected = (self.agreed.digest, self.zone_health.len(), self.rules.all().len());
        self.report_store.record_report(now, from, report, expected)
    }

    /// Applies the agreed round-trip times. If they change a step of a rule, planning restarts.
    pub fn set_rtt_table(&mut self, rtt_table: &RttTable) {
        if self.rtt_table == *rtt_table {
            return;
        }
        self.rtt_table = rtt_table.clone();
        self.topology.set_measured_rtts(rtt_table.resolve(&self.topology.clone()));
        let priorities = PriorityLists::new(&self.topology, &self.rules);
        if priorities != self.priorities {
            self.priorities = priorities;
            self.planner = Planner::new(self.last_tick.unwrap_or_default(), 0.0);
        }
    }

    /// Applies another topology or other rules. The state is carried over by names; the members have to be
    /// set again.
    pub fn reconfigure(&mut self, mut topology: Topology, rules: Rules, now: Duration) {
        topology.set_measured_rtts(self.rtt_table.resolve(&topology.clone()));
        if digest(&topology, &rules) == self.agreed.digest {
            self.priorities = PriorityLists::new(&topology, &rules);
            (self.topology, self.rules) = (topology, rules);
            return;
        }
        // State that was not agreed on yet is carried over as well.
        let mut current = self.compose(now, self.newest_plan().clone());
        current.plan.epoch = self.epoch();
        self.priorities = PriorityLists::new(&topology, &rules);
        let remapped = remap::remap_with(&current, &topology, &rules, &self.priorities);
        (self.topology, self.rules) = (topology, rules);
        self.report_store.clear();
        self.estimator = CapacityEstimator::default();
        self.observed = ObservedLoad::default();
        self.planner = Planner::new(now, 0.0);
        self.adopt(remapped, now);
        self.decide_after = now + STARTUP_DELAY;
        self.members_known_at = now + MEMBER_DISCOVERY_TIME;
    }

    /// Applies a document that was committed to the log.
    pub fn accepted(&mut self, document: &Document) {
        match &self.proposed {
            Some((proposed, _)) if proposed == document => {
                self.agreed = document.clone();
                self.proposed = None;
            }
            // An earlier proposal of this leader was committed while a newer one is pending.
            Some((proposed, _)) if document.plan.epoch < proposed.plan.epoch => {
                if document.digest == self.agreed.digest {
                    self.agreed = document.clone();
                }
            }
            _ if *document == self.agreed => {}
            _ => {
                let remapped = remap::remap_with(document, &self.topology, &self.rules, &self.priorities);
                self.adopt(remapped, self.last_tick.unwrap_or_default());
            }
        }
    }

    fn epoch(&self) -> u64 {
        self.proposed.as_ref().map_or(0, |(proposed, _)| proposed.plan.epoch).max(self.agreed.plan.epoch)
    }

    fn newest_plan(&self) -> &Plan {
        &self.agreed.plan
    }

    /// Evaluates the reports. Returns a document to propose if there is a change.
    pub fn tick(&mut self, now: Duration) -> Option<Document> {
        let elapsed = match self.last_tick {
            Some(last_tick) if now < last_tick + TICK_INTERVAL => return None,
            Some(last_tick) => now - last_tick,
            None => Duration::ZERO,
        };
        if !self.evaluate(now, elapsed) {
            return None;
        }
        if self.proposed.as_ref().is_some_and(|(_, at)| now < *at + PROPOSAL_TIMEOUT) {
            return None;
        }
        self.propose(now, false)
    }

    /// Updates the state from the reports. Returns false if there are too few reports to decide.
    fn evaluate(&mut self, now: Duration, elapsed: Duration) -> bool {
        let zones = self.zone_health.len();
        let fresh_reports = self.report_store.fresh_reports(now, self.bounds.max_report_age);
        self.last_tick = Some(now);
        if elapsed > self.bounds.max_report_age {
            // The process was paused: it collects reports first, as a new leader does.
            self.decide_after = now + STARTUP_DELAY;
        }
        // Three quarters of the balancers that the last plan counted.
        let total_balancers: usize = self.balancer_counts.iter().sum();
        let min_reports = self.report_store.counts().0.max(2).max(total_balancers * 3 / 4);
        if fresh_reports.is_empty() || now < self.decide_after && fresh_reports.len() < min_reports {
            return false;
        }
        let reported = self.report_store.balancer_counts(zones);
        let members_known = now >= self.members_known_at;
        for (count, reported) in self.balancer_counts.iter_mut().zip(reported) {
            *count = if members_known { reported } else { reported.max(*count) };
        }
        let (plausible, implausible) = partition_reports(zones, &fresh_reports);
        let (verdicts, accepted) = VerdictMatrix::of(zones, &plausible);
        self.assessments = verdicts.assess(&self.report_store, &fresh_reports);
        let capacity: f64 = self.observed.capacities.iter().map(|capacity| capacity.usable).sum();
        let demand = aggregate_demand(&accepted, &implausible, capacity);
        let demand_rate = demand.values().sum();
        let mut capacities = self.estimator.of(now, zones, &verdicts, &accepted, demand_rate);
        self.reserve_for_unlocated(&mut capacities, demand_rate);
        self.observed = ObservedLoad { capacities, demand };
        self.evacuations.retain(|(_, until)| until.is_none_or(|until| now < until));
        self.decide_zone_states(now, elapsed);
        if self.shared_cause.is_none() {
            self.reach.observe(now, zones, &verdicts, &self.bounds);
        }
        let retained = self.retained_zones();
        let down = |zone: usize| self.zone_health[zone].state == ZoneState::Unreachable;
        let sources =
            |n: usize| if down(n) { 0 } else { self.reach.unreachable_from(Zone(n as u16)) & !retained };
        self.unreachable_from = (0..zones).map(sources).collect();
        true
    }

    /// Subtracts the estimated traffic of balancers without a zone from the capacities: the same average as
    /// for balancers with a zone.
    fn reserve_for_unlocated(&self, capacities: &mut [ZoneCapacity], demand_rate: f64) {
        let (located, unlocated) = self.report_store.counts();
        let unlocated_rate = demand_rate * unlocated as f64 / located.max(1) as f64;
        let all: f64 = capacities.iter().map(|capacity| capacity.usable).sum();
        if unlocated_rate > 0.0 && all > 0.0 {
            capacities.iter_mut().for_each(|c| c.usable -= (unlocated_rate * c.usable / all).min(c.usable));
        }
    }

    /// Returns the failed zones that a limit keeps in service.
    fn retained_zones(&self) -> ZoneSet {
        crate::flow::zone_set(self.zone_health.len(), |zone| self.zone_health[zone].retained)
    }

    /// Returns the capacity of each zone, and its fallback capacity for when nothing else is available.
    pub(crate) fn capacities(&self) -> (Vec<f64>, Vec<f64>) {
        let zone_capacity = |(zone, capacity): (usize, &ZoneCapacity)| {
            let health = &self.zone_health[zone];
            // A zone that looks failing but is not declared so keeps its capacity: dwell times and limits
            // apply to capacities too.
            let retains = health.retained || health.appears_failing() && !health.is_failing();
            let usable =
                if retains { capacity.usable.max(self.healthy_capacity[zone]) } else { capacity.usable };
            let admitted = usable * health.admitted_share;
            // As a fallback, half of an unhealthy zone and all of a returning zone can be used.
            let fallback = match health.state {
                ZoneState::Unhealthy => (usable * 0.5 - admitted).max(0.0),
                ZoneState::Returning => (usable - admitted).max(0.0),
                _ => 0.0,
            };
            (admitted, fallback)
        };
        self.observed.capacities.iter().enumerate().map(zone_capacity).unzip()
    }

    /// Returns the reachable zones of each zone, and the set of impaired zones, as input for the planner.
    pub(crate) fn reachability(&self) -> (Vec<ZoneSet>, ZoneSet) {
        let zones = self.zone_health.len();
        let impaired = |zone: usize| {
            let health = &self.zone_health[zone];
            health.state != ZoneState::Serving && health.admitted_share < 1.0
        };
        let retained = self.retained_zones();
        let mut reach = self.reach.matrix(zones, retained);
        // A zone kept in service by a limit keeps its own traffic but receives none from other zones.
        for (from, targets) in reach.iter_mut().enumerate() {
            let from = Zone(from as u16);
            *targets &= !retained | zone_bit(from) | self.priorities.first_steps(from);
        }
        (reach, crate::flow::zone_set(zones, impaired))
    }

    /// Returns a new document if it differs from the agreed one in more than metrics, or if metrics are due.
    fn propose(&mut self, now: Duration, by_operator: bool) -> Option<Document> {
        let metrics_due = now.saturating_sub(self.metrics_at) >= METRICS_INTERVAL;
        let mut plan = None;
        if self.hold.is_none() && self.shared_cause.is_none() && !self.observed.capacities.is_empty() {
            let (capacity, fallback) = self.capacities();
            let (reach, impaired) = self.reachability();
            let has_capacity = capacity.iter().chain(&fallback).any(|capacity| *capacity > 0.0);
            let listed: Vec<f64> = self.observed.capacities.iter().map(|capacity| capacity.listed).collect();
            let table = demand_table(&self.observed.demand, capacity.len());
            let input = PlannerInput {
                priorities: &self.priorities,
                capacity: &capacity,
                fallback: &fallback,
                listed: &listed,
                reach: &reach,
                impaired,
                balancer_counts: &self.balancer_counts,
                demand: &table,
            };
            // Without any capacity, no plan is better than the current one.
            plan = has_capacity
                .then(|| self.planner.plan(now, &input, &self.agreed.plan, metrics_due, &self.bounds))
                .flatten();
        }
        let replanned = plan.is_some();
        let mut document = self.compose(now, plan.unwrap_or_else(|| self.agreed.plan.clone()));
        if replanned {
            document.plan.epoch = self.epoch() + 1;
        }
        let was_pending = self.proposed.is_some();
        if !(replanned || by_operator || was_pending || metrics_due || self.has_significant_change(&document))
        {
            return None;
        }
        self.metrics_at = now;
        if document == self.agreed {
            self.proposed = None;
            return None;
        }
        self.proposed = Some((document.clone(), now));
        Some(document)
    }

    /// Applies an operator's order and returns the document to agree on.
    pub fn order(&mut self, now: Duration, order: Order) -> Result<Document, OrderError> {
        self.apply_order(now, order)?;
        self.recover(now, Duration::ZERO);
        let unchanged = self.agreed.clone();
        Ok(self.propose(now, true).unwrap_or(unchanged))
    }
}
