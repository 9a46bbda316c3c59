//! The leader's machine: reports in, documents to be agreed on out.

use crate::bounds::Bounds;
use crate::damp::Standing;
use crate::document::{Document, Evacuation, Plan, ZoneState, ZoneStatus};
use crate::evidence::Views;
use crate::heard::{HEARD_MOST, Heard, digest};
use crate::names;
use crate::orders::{Order, OrderError};
use crate::plan::{Planner, Setting, by_rule};
use crate::priorities::{PriorityLists, Zones, zone_bit};
use crate::reach::Reach;
use crate::report::Report;
use crate::room::{CapacityEstimator, Room, credible, demand};
use crate::rtt::RttTable;
use crate::written::Shown;
use maplehook_locality::{Rules, Topology, Zone};
use std::collections::BTreeMap;
use std::time::Duration;

/// The least time between two looks.
const LOOK: Duration = Duration::from_millis(200);
/// How long a proposal is waited for.
const AGREED_WITHIN: Duration = Duration::from_secs(1);
/// How often figures alone are agreed anew.
const FIGURES: Duration = Duration::from_secs(5);
/// How long whoever begins to lead listens, unless most have spoken before: two reports of each.
const SETTLES: Duration = Duration::from_secs(1);

/// How long whoever begins may not have heard of a balancer that there is.
const KNOWS: Duration = Duration::from_secs(120);

/// What was seen and asked for at the last look.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Situation {
    pub rooms: Vec<Room>,
    pub demand: BTreeMap<(u16, Zone), f64>,
}

/// The leader's machine.
#[derive(Clone, Debug)]
pub struct Decider {
    pub(crate) topology: Topology,
    pub(crate) priorities: PriorityLists,
    pub(crate) bounds: Bounds,
    rules: Rules,
    measured: RttTable,
    heard: Heard,
    rooms: CapacityEstimator,
    /// What each zone listed and could take when it was last well.
    pub(crate) remembered: Vec<f64>,
    pub(crate) standings: Vec<Standing>,
    pub(crate) shown: Vec<Shown>,
    reach: Reach,
    pub(crate) cut: Vec<Zones>,
    pub(crate) seen_now: Vec<crate::evidence::Seen>,
    planner: Planner,
    pub(crate) situation: Situation,
    pub(crate) evacuations: Vec<(Evacuation, Option<Duration>)>,
    pub(crate) shared_cause: Option<String>,
    /// When it was last seen.
    pub(crate) shared_at: Option<Duration>,
    pub(crate) agreed: Document,
    proposed: Option<(Document, Duration)>,
    pub(crate) hold: Option<crate::document::PlanHold>,
    settled: Duration,
    looked: Option<Duration>,
    figures_at: Duration,
    /// How many balancers each zone has; whoever begins takes the larger of what it hears and what was agreed.
    crews: Vec<usize>,
    /// From when on it has heard of all that there are.
    knows: Duration,
}

impl Decider {
    /// Goes on from what was agreed before, if anything was.
    pub fn new(
        topology: Topology,
        rules: Rules,
        bounds: Bounds,
        before: Option<&Document>,
        now: Duration,
    ) -> Self {
        let priorities = PriorityLists::new(&topology, &rules);
        let none = Document { zone_statuses: Vec::new(), ..Document::default() };
        let agreed = names::read_with(before.unwrap_or(&none), &topology, &rules, &priorities);
        let may_move = if before.is_some() { 0.0 } else { bounds.max_moved_per_s };
        let mut decider = Self {
            topology,
            priorities,
            bounds,
            rules,
            measured: RttTable::default(),
            heard: Heard::default(),
            rooms: CapacityEstimator::default(),
            remembered: Vec::new(),
            standings: Vec::new(),
            shown: Vec::new(),
            reach: Reach::default(),
            cut: Vec::new(),
            seen_now: Vec::new(),
            planner: Planner::new(now, may_move),
            situation: Situation::default(),
            evacuations: Vec::new(),
            shared_cause: None,
            shared_at: None,
            agreed: Document::default(),
            proposed: None,
            hold: None,
            settled: now + SETTLES,
            looked: None,
            figures_at: now,
            crews: Vec::new(),
            knows: now + KNOWS,
        };
        decider.take(agreed, now);
        decider
    }

    /// Takes over what was agreed, whoever wrote it.
    fn take(&mut self, agreed: Document, now: Duration) {
        let damping = self.bounds.damping;
        self.standings =
            agreed.zone_statuses.iter().map(|place| Standing::of(place, now, &damping)).collect();
        self.remembered = agreed.zone_statuses.iter().map(|place| f64::from(place.usable).max(0.0)).collect();
        let shown = |place: &ZoneStatus| Shown {
            state: place.state,
            since: now,
            older: Duration::from_millis(place.since_ms),
        };
        self.shown = agreed.zone_statuses.iter().map(shown).collect();
        self.reach = Reach::of(&agreed.zone_statuses, now);
        self.cut = vec![0; agreed.zone_statuses.len()];
        let crews = agreed.plan.spare_part(2, agreed.zone_statuses.len());
        self.crews = crews.iter().map(|crew| crew.clamp(0.0, HEARD_MOST as f32) as usize).collect();
        self.crews.resize(agreed.zone_statuses.len(), 0);
        let until = |e: &Evacuation| e.remaining_ms.map(|left| now + Duration::from_millis(left));
        self.evacuations = agreed.evacuations.iter().map(|e| (e.clone(), until(e))).collect();
        self.shared_cause.clone_from(&agreed.shared_cause);
        self.shared_at = self.shared_cause.is_some().then_some(now);
        self.hold.clone_from(&agreed.hold);
        self.agreed = agreed;
        self.proposed = None;
    }

    /// What is agreed on, as this topology and these rules count.
    pub fn document(&self) -> &Document {
        &self.agreed
    }

    /// The digest that reports have to bear.
    pub fn digest(&self) -> u64 {
        self.agreed.digest
    }

    /// Which balancers there are with places, each with its zone, and how many without.
    pub fn set_members(&mut self, all: &[(String, Zone)], without: usize) {
        self.heard.set_members(all, without);
    }

    /// Takes a report; says whether it is counted.
    pub fn record_report(&mut self, now: Duration, from: &str, report: Report) -> bool {
        let by = (self.agreed.digest, self.standings.len(), self.rules.all().len());
        self.heard.record_report(now, from, report, by)
    }

    /// Ways between zones as they are agreed on: where they move a step, what stands is planned for anew.
    pub fn set_rtt_table(&mut self, measured: &RttTable) {
        if self.measured == *measured {
            return;
        }
        self.measured = measured.clone();
        self.topology.set_measured(measured.resolve(&self.topology.clone()));
        let priorities = PriorityLists::new(&self.topology, &self.rules);
        if priorities != self.priorities {
            self.priorities = priorities;
            self.planner = Planner::new(self.looked.unwrap_or_default(), 0.0);
        }
    }

    /// Other places or rules: what stands is carried over by name. Who is a member has to be told anew.
    pub fn reconfigure(&mut self, mut topology: Topology, rules: Rules, now: Duration) {
        topology.set_measured(self.measured.resolve(&topology.clone()));
        if digest(&topology, &rules) == self.agreed.digest {
            self.priorities = PriorityLists::new(&topology, &rules);
            (self.topology, self.rules) = (topology, rules);
            return;
        }
        // What is known now and not yet agreed on is carried over as well.
        let mut current = self.compose(now, self.newest_plan().clone());
        current.plan.epoch = self.epoch();
        self.priorities = PriorityLists::new(&topology, &rules);
        let read = names::read_with(&current, &topology, &rules, &self.priorities);
        (self.topology, self.rules) = (topology, rules);
        self.heard.forget();
        self.rooms = CapacityEstimator::default();
        self.situation = Situation::default();
        self.planner = Planner::new(now, 0.0);
        self.take(read, now);
        self.settled = now + SETTLES;
        self.knows = now + KNOWS;
    }

    /// A document stands in the log.
    pub fn accepted(&mut self, document: &Document) {
        match &self.proposed {
            Some((proposed, _)) if proposed == document => {
                self.agreed = document.clone();
                self.proposed = None;
            }
            // An older one of our own, while a newer is on its way.
            Some((proposed, _)) if document.plan.epoch < proposed.plan.epoch => {
                if document.digest == self.agreed.digest {
                    self.agreed = document.clone();
                }
            }
            _ if *document == self.agreed => {}
            _ => {
                let read = names::read_with(document, &self.topology, &self.rules, &self.priorities);
                self.take(read, self.looked.unwrap_or_default());
            }
        }
    }

    fn epoch(&self) -> u64 {
        self.proposed.as_ref().map_or(0, |(proposed, _)| proposed.plan.epoch).max(self.agreed.plan.epoch)
    }

    fn newest_plan(&self) -> &Plan {
        &self.agreed.plan
    }

    /// Looks at what is heard, and says what is to be agreed on anew, if anything is.
    pub fn tick(&mut self, now: Duration) -> Option<Document> {
        let passed = match self.looked {
            Some(looked) if now < looked + LOOK => return None,
            Some(looked) => now - looked,
            None => Duration::ZERO,
        };
        if !self.look(now, passed) {
            return None;
        }
        if self.proposed.as_ref().is_some_and(|(_, at)| now < *at + AGREED_WITHIN) {
            return None;
        }
        self.propose(now, false)
    }

    /// Takes in what is heard; `false` if that is nothing to decide on yet.
    fn look(&mut self, now: Duration, passed: Duration) -> bool {
        let zones = self.standings.len();
        let fresh = self.heard.fresh(now, self.bounds.stale);
        self.looked = Some(now);
        if passed > self.bounds.stale {
            // Stopped and woken: it listens first, as whoever begins.
            self.settled = now + SETTLES;
        }
        // Of those that were counted when the last plan was made, three in four.
        let crews: usize = self.crews.iter().sum();
        let most = self.heard.counts().0.max(2).max(crews * 3 / 4);
        if fresh.is_empty() || now < self.settled && fresh.len() < most {
            return false;
        }
        let known = self.heard.crews(zones);
        let knows = now >= self.knows;
        for (crew, known) in self.crews.iter_mut().zip(known) {
            *crew = if knows { known } else { known.max(*crew) };
        }
        let (can_be, wild) = credible(zones, &fresh);
        let (views, counted) = Views::of(zones, &can_be);
        self.seen_now = views.seen(&self.heard, &fresh);
        let room: f64 = self.situation.rooms.iter().map(|room| room.usable).sum();
        let demand = demand(&counted, &wild, room);
        let asked = demand.values().sum();
        let mut rooms = self.rooms.of(now, zones, &views, &counted, asked);
        self.without(&mut rooms, asked);
        self.situation = Situation { rooms, demand };
        self.evacuations.retain(|(_, until)| until.is_none_or(|until| now < until));
        self.judge(now, passed);
        if self.shared_cause.is_none() {
            self.reach.look(now, zones, &views, &self.bounds);
        }
        let kept = self.kept();
        let lost = |zone: usize| self.standings[zone].state == ZoneState::Unreachable;
        let cut = |zone: usize| if lost(zone) { 0 } else { self.reach.cut_from(Zone(zone as u16)) & !kept };
        self.cut = (0..zones).map(cut).collect();
        true
    }

    /// Takes what balancers without places are likely to send out of the rooms: as much each as those with places.
    fn without(&self, rooms: &mut [Room], asked: f64) {
        let (with, without) = self.heard.counts();
        let theirs = asked * without as f64 / with.max(1) as f64;
        let all: f64 = rooms.iter().map(|room| room.usable).sum();
        if theirs > 0.0 && all > 0.0 {
            rooms.iter_mut().for_each(|room| room.usable -= (theirs * room.usable / all).min(room.usable));
        }
    }

    /// Zones that a bound holds in.
    fn kept(&self) -> Zones {
        crate::flow::zones_where(self.standings.len(), |zone| self.standings[zone].kept)
    }

    /// What each zone can be given, and what each that is ill can be given at last.
    pub(crate) fn given(&self) -> (Vec<f64>, Vec<f64>) {
        let of = |(zone, room): (usize, &Room)| {
            let standing = &self.standings[zone];
            // What seems bad and is not called so yet has its room: dwell times and bounds hold for rooms as well.
            let held = standing.kept || standing.seems_bad() && !standing.is_bad();
            let usable = if held { room.usable.max(self.remembered[zone]) } else { room.usable };
            let given = usable * standing.given;
            // Where nothing else is left: half of what is ill, and all of what is well again.
            let last = match standing.state {
                ZoneState::Unhealthy => (usable * 0.5 - given).max(0.0),
                ZoneState::Returning => (usable - given).max(0.0),
                _ => 0.0,
            };
            (given, last)
        };
        self.situation.rooms.iter().enumerate().map(of).unzip()
    }

    /// Reach and trouble, as the planner takes them.
    pub(crate) fn ways(&self) -> (Vec<Zones>, Zones) {
        let zones = self.standings.len();
        let troubled = |zone: usize| {
            let standing = &self.standings[zone];
            standing.state != ZoneState::Serving && standing.given < 1.0
        };
        let kept = self.kept();
        let mut reach = self.reach.matrix(zones, kept);
        // What a bound holds in keeps its own; nobody else's is moved to it.
        for (from, reached) in reach.iter_mut().enumerate() {
            let from = Zone(from as u16);
            *reached &= !kept | zone_bit(from) | self.priorities.firsts(from);
        }
        (reach, crate::flow::zones_where(zones, troubled))
    }

    /// A new document, if it differs from the one that stands by more than figures, or these are due.
    fn propose(&mut self, now: Duration, ordered: bool) -> Option<Document> {
        let due = now.saturating_sub(self.figures_at) >= FIGURES;
        let mut plan = None;
        if self.hold.is_none() && self.shared_cause.is_none() && !self.situation.rooms.is_empty() {
            let (room, last) = self.given();
            let (reach, troubled) = self.ways();
            let any = room.iter().chain(&last).any(|room| *room > 0.0);
            let listed: Vec<f64> = self.situation.rooms.iter().map(|room| room.listed).collect();
            let table = by_rule(&self.situation.demand, room.len());
            let setting = Setting {
                priorities: &self.priorities,
                room: &room,
                last: &last,
                listed: &listed,
                reach: &reach,
                troubled,
                crews: &self.crews,
                demand: &table,
            };
            // Where there is no room anywhere, no plan is better than another.
            plan =
                any.then(|| self.planner.plan(now, &setting, &self.agreed.plan, due, &self.bounds)).flatten();
        }
        let replanned = plan.is_some();
        let mut document = self.compose(now, plan.unwrap_or_else(|| self.agreed.plan.clone()));
        if replanned {
            document.plan.epoch = self.epoch() + 1;
        }
        let waited = self.proposed.is_some();
        if !(replanned || ordered || waited || due || self.differs(&document)) {
            return None;
        }
        self.figures_at = now;
        if document == self.agreed {
            self.proposed = None;
            return None;
        }
        self.proposed = Some((document.clone(), now));
        Some(document)
    }

    /// Does what an operator orders: the document is to be agreed on, and the order stands from now on.
    pub fn order(&mut self, now: Duration, order: Order) -> Result<Document, OrderError> {
        self.allow(now, order)?;
        self.mend(now, Duration::ZERO);
        let unchanged = self.agreed.clone();
        Ok(self.propose(now, true).unwrap_or(unchanged))
    }
}
