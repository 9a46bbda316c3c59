//! All decisions of a balancer, alone. Their types, events and actions stand in `interface.rs`.
//!
//! The ordinary path is the paper's: every tick refills one token bucket a tenant by a guaranteed rate and a
//! share, in proportion to demand, of the spare room W of the upstreams; a request that finds a token is
//! admitted, any other refused on arrival; admitted requests take turns round robin over the ready upstreams,
//! skipping one that holds clearly more than the next ones. Everything else here is an exception to that path
//! and says what it guards against. Times are seconds.

use crate::heritage::{ClassHeritage, Heritage, TenantHeritage, UpstreamHeritage};
use crate::interface::*;
use crate::state::{Attempt, Bucket, Facts, Health, Learned, Request, Sums, Upstream};
use crate::stats::Chance;
use rustc_hash::FxHashMap;
use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

/// Share of the admitted under which a class does not set how long queues may be.
const SHARE_LEAST: f64 = 0.02;
/// Seconds between refills: short against any aim, long against one look over the fleet.
const TICK: f64 = 0.025;
/// Share of the aim that work may spend in the fleet on average before room is gone; past it, many miss.
const ROOM: f64 = 0.4;
/// The same where reports tell how busy the cores are, so that latency need only guard.
const ROOM_TOLD: f64 = 0.55;
/// Times its least mean latency a class may take in any case, up to that share of the aim: what work takes
/// alone is no queue, and no refusal makes it less. Seconds over which the least creeps up.
const ALONE: f64 = 1.6;
const ALONE_MOST: f64 = 0.6;
const LEAST_OVER: f64 = 30.0;
/// Seconds and requests over which demand V_i is counted at least: a tick sees too few to go by.
const DEMAND_OVER: f64 = 1.0;
const DEMAND_COUNT: f64 = 10.0;
/// Seconds over which C is counted under strain, and a rate once reached is forgotten otherwise.
const RATE_OVER: f64 = 2.0;
const RATE_KEPT: f64 = 30.0;
/// Share of the upstreams' cores that spare room may keep busy where reports tell, and what is added for
/// demand over the shares, by its worth: where it is worth little, so is the risk.
const BUSY: f64 = 0.62;
const BUSY_MORE: f64 = 0.4;
/// Weight of the newest report in that share, and seconds for which it stands without a further one.
const BUSY_NEWEST: f64 = 0.02;
const BUSY_KEPT: f64 = 3.0;
/// Bucket size T_i: a second of the guarantee or this share of the tenant's demand, whichever is more, and
/// this many tokens, so that a small tenant's chance pairs are not refused.
const BUCKET: f64 = 0.2;
const BUCKET_LEAST: f64 = 3.0;
/// Guarantees grow with the middle tenant's demand and this much more, up to so many equal parts.
const PART_SPARE: f64 = 1.3;
const PART_MOST: f64 = 4.0;
/// Seconds after which what was last heard of a class or by probes fades, over as long again.
const HEARD: f64 = 5.0;
/// Part of a guarantee lost for each part of what is held that is too much: for demand over it, inside.
const CUT: (f64, f64) = (20.0, 2.0);
const CUT_FROM: f64 = 0.25;
/// Turns looked ahead by the skip rule; two is the design's.
const LOOK_AHEAD: usize = 5;
/// Holding this many times what another in sight holds, and half a request more, is clearly more.
const CLEARLY: f64 = 1.5;
/// What an overdue attempt counts for, in held requests: its upstream is stuck or silent.
const OVERDUE_HELD: f64 = 4.0;
/// Share of attempts of a class that are not overdue: the rest are worth a second look.
const USUAL: f64 = 0.95;
/// An attempt is overdue at this share of the aim at the latest, so that another still has time.
const OVERDUE_BY: f64 = 0.6;
/// Times the usual after which an overdue attempt is looked at again, and by how many times it the one sent
/// later to the same upstream, that has its answer, has to have passed it: it was lost on its way.
const LOST_LOOK: f64 = 1.0;
const LOST_BY: f64 = 0.5;
/// Further attempts earned by each request admitted, and how many of them can be saved up.
const RETRY_SHARE: f64 = 0.1;
const RETRY_SAVED: f64 = 10.0;
/// Seconds over which what was learned of one upstream fades, and answers it takes to believe it.
const PACE_KEPT: f64 = 10.0;
const PACE_DOUBT: f64 = 4.0;
/// Faults in a row after which an upstream is ejected for the class that met them ...
const FAULTS: u32 = 2;
/// ... or one, where the class had no answer there for these seconds while others answer it within this
/// share of its aim: not so under overload, when all are slow and leaving some makes it worse.
const HEARD_OF: f64 = 3.0;
const QUICK: f64 = 0.5;
/// Broken connections in a row, and seconds without an answer, after which an upstream is held for dead and
/// ejected; what one that can't be made counts for. A process that dies breaks all it has and refuses new
/// ones; where one connection in ten breaks, three in a row are met every few seconds.
const BREAKS: u32 = 3;
const BREAKS_REFUSED: u32 = 2;
const BREAKS_OVER: f64 = 0.25;
/// Seconds of the first ejection; each one more without a success doubles it, three times at most.
const EJECT: f64 = 1.5;
/// Share of the ready upstreams that may be ejected: when more seem ill, the fault is not theirs.
const EJECTED_MOST: f64 = 0.6;
/// What a cold upstream gets for each unit of capacity: this share of what would push it over.
const COLD_SHARE: f64 = 0.4;
/// Points of cross-zone price at which other zones get no ordinary turns; less in proportion.
const FAR_PRICE: f64 = 0.05;
/// Other zones get turns whatever their price while this share of the requests is refused on arrival; past
/// the second there is no room anywhere, and the way would be paid for nothing. Seconds and requests over
/// which it is counted; how much more of the turns a second, how much less with room, and the most of them.
const SPILL_AT: f64 = 0.02;
const SPILL_MOST: f64 = 0.4;
const SPILL_SEEN: f64 = 1.0;
const SPILL_COUNT: f64 = 10.0;
const SPILL_UP: f64 = 0.5;
const SPILL_DOWN: f64 = 0.1;
const SPILL_TO: f64 = 0.6;
/// Seconds after which a load report is half forgotten.
const REPORT_KEPT: f64 = 1.0;
/// Upstreams a further attempt looks at for the least loaded.
const FURTHER_LOOK: usize = 6;
/// Upstreams in a subset for each request a second that the balancer may get, and at the least.
const SUBSET_EACH: f64 = 0.7;
const SUBSET_LEAST: f64 = 2.0;
/// Subsets that each upstream is in at the least.
const SUBSETS_EACH: usize = 4;
/// Share of the aim after which an attempt whose late answer is worth nothing is given up.
const AIM_LEFT: f64 = 0.98;

/// Weight of the newest in the mean latency of those answered.
const ANSWERS_NEWEST: f64 = 0.1;
/// What an attempt given up counts for as a latency, in the time it was waited for: it would take longer.
const GIVEN_UP: f64 = 1.5;
/// Seconds over which a class's latency is averaged where answers are few, and weight of one where not.
const LATENCY_OVER: f64 = 3.0;
const LATENCY_NEWEST: f64 = 0.02;

/// A connection idle for this long may have been dropped unseen; seconds for which that is held.
const IDLE: f64 = 0.3;
const REAP_KEPT: f64 = 15.0;

/// The timer of the tick.
const TICK_TIMER: TimerId = TimerId(0);

/// Upstreams that are weighed at a tick at the most, beside those in use.
const SLICE: usize = 512;

/// One balancer's decisions. See the crate's page for its use.
#[derive(Default)]
pub struct Balancer {
    set: Settings,
    now: Duration, // of the event in hand
    at: f64,       // the same in seconds
    out: Vec<Action>,
    rng: Chance,
    ring: Vec<Upstream>, // all that are listed
    index: FxHashMap<UpstreamId, usize>,
    turns: Vec<usize>,   // the subset, in this balancer's own order
    touched: Vec<usize>, // of the ring: something was sent or came back since they were weighed
    weighed: usize,      // the turn up to which all have been weighed in this round
    sums: Sums,
    facts: Facts,
    shortest: f64, // aim
    subset_least: usize,
    choose_at: f64,         // when the subset is looked at again
    sigma: usize,           // the counter of the round robin
    ahead: VecDeque<usize>, // the turns after it
    requests: FxHashMap<RequestId, Request>,
    silent: [f64; 2], // share of attempts never answered, on connections in use and on idle ones
    reap: f64,        // idle time after which a connection may be dead
    reap_until: f64,
    due: BTreeSet<(Duration, RequestId, u8)>, // when attempts out become overdue
    buckets: Vec<Bucket>,
    classes: Vec<Learned>,
    rate: f64,     // C for each unit of turn weight
    done: f64,     // completions of the running tick
    rate_now: f64, // completions a second, smoothed
    room: f64,     // W
    spill: f64,    // how far requests are let into other zones, for want of room in this one
    asked: f64,    // requests of late, and how many of them were refused on arrival
    turned: f64,
    busy: f64, // share of the upstreams' cores in use, by their reports
    busy_at: f64,
    retries: f64,
    ticking: bool,
    last_tick: f64,
    watching: bool,
    ask_at: f64,
    ask_failures: u32,
}

impl Balancer {
    /// A balancer with these settings; `seed` is its only source of chance.
    pub fn new(set: Settings, seed: u64) -> Result<Self, SettingsError> {
        set.check()?;
        let count = set.tenants.len().max(1);
        let buckets = (0..count).map(|i| bucket(&set, i));
        let classes = set.classes.iter().map(unlearned);
        Ok(Self {
            subset_least: subset_least(&set),
            rng: Chance::with_seed(seed),
            buckets: buckets.collect(),
            classes: classes.collect(),
            rate_now: stated_each(&set),
            shortest: shortest(&set),
            set,
            busy_at: f64::NEG_INFINITY,
            retries: RETRY_SAVED,
            ..Self::default()
        })
    }

    /// Entries of state held: upstreams, requests, attempts to look after. Bounded: see the tests.
    pub fn entries(&self) -> usize {
        self.ring.len() + self.index.len() + self.requests.len() + self.due.len()
    }

    /// How many upstreams are listed, and how many of them get nothing now: they drain, or are ejected.
    pub fn listed(&self) -> (usize, usize) {
        let listed = || self.ring.iter().filter(|u| u.ready || u.draining);
        let spare = self.facts.spare_ejections;
        let avoided = |u: &&Upstream| u.draining || (u.ejected_until > self.at && spare);
        (listed().count(), listed().filter(avoided).count())
    }

    /// Takes in one event and adds what is to be done about it.
    pub fn handle(&mut self, now: Duration, event: Event<'_>, actions: &mut Vec<Action>) {
        std::mem::swap(&mut self.out, actions);
        let at = now.as_secs_f64();
        (self.now, self.at) = (now, at);
        if !std::mem::replace(&mut self.ticking, true) {
            self.last_tick = at;
            self.ask_at = at + self.set.ask_every.as_secs_f64() * 0.1 * self.rng.f64();
            let after = Duration::from_secs_f64(TICK * self.rng.f64());
            self.out.push(Action::Timer { after, timer: TICK_TIMER });
        }
        match event {
            Event::Fleet { scope, listed } => self.fleet(scope, listed),
            Event::Request { id, class, tenant, time_left, .. } => {
                self.request(id, usize::from(class.0), tenant.0 as usize, time_left);
            }
            Event::StreamStarted { id, attempt, latency } => self.stream_started(id, attempt.0, latency),
            Event::AttemptEnded { id, attempt, upstream, outcome, latency, finished, report } => {
                self.report(upstream, report);
                self.attempt_ended(id, attempt.0, outcome, latency.as_secs_f64(), finished);
            }
            Event::RequestGone { id } => self.end(id),
            Event::ProbeEnded { upstream, report, .. } => self.report(upstream, report),
            Event::Inherited { heritage } => self.inherit(heritage),
            Event::Retuned { settings, gone } => self.retune(settings, gone),
            Event::Timer { timer: TICK_TIMER } => self.tick(),
            Event::Timer { .. } => {}
        }
        std::mem::swap(&mut self.out, actions);
    }

    /// A request is admitted when its tenant's bucket has a token for it, else refused on arrival.
    fn request(&mut self, id: RequestId, class: usize, tenant: usize, left: Duration) {
        if class >= self.classes.len() {
            self.out.push(Action::Fail { id });
            return;
        }
        let tenant = tenant.min(self.buckets.len() - 1);
        let bucket = &mut self.buckets[tenant];
        bucket.arrivals += 1.0;
        self.asked += 1.0;
        let turn = if bucket.tokens >= 1.0 { self.next_turn(class) } else { None };
        let Some(turn) = turn else {
            self.turned += 1.0;
            self.refuse(id, left);
            return;
        };
        self.buckets[tenant].tokens -= 1.0;
        self.retries = (self.retries + RETRY_SHARE).min(RETRY_SAVED);
        for (k, learned) in self.classes.iter_mut().enumerate() {
            learned.share += 0.01 * (f64::from(u8::from(k == class)) - learned.share);
        }
        let deadline = self.at + left.as_secs_f64();
        let c = &self.set.classes[class];
        let lasts = c.late_worth > 0.0 || c.aim_stretch > 0.0 || c.streamed;
        let aim = self.at + AIM_LEFT * c.aim.as_secs_f64();
        let worth_until = if lasts { deadline } else { deadline.min(aim) };
        let (attempts, ended, streaming) = (Vec::new(), false, false);
        let (effect, attempts_most) = (c.effect, self.set.max_attempts);
        let request =
            Request { class, effect, attempts_most, worth_until, deadline, attempts, ended, streaming };
        self.requests.insert(id, request);
        self.send(id, turn);
    }

    /// A refusal always tells when to come back. The moment is spread by the request's own number, so that
    /// those refused together do not return together.
    fn refuse(&mut self, id: RequestId, left: Duration) {
        let longest = self.set.max_retry_after.min(left / 2);
        let retry_after = longest.mul_f64(0.5 + 0.5 * Chance::with_seed(u64::from(id.0)).f64());
        self.out.push(Action::Refuse { id, retry_after: Some(retry_after) });
    }

    /// What the next process may know of this one.
    pub fn heritage(&self) -> Heritage {
        let class = |l: &Learned| {
            let Learned { latency, answers, least, usual, share, .. } = *l;
            Some(ClassHeritage { latency, answers, least, usual, share })
        };
        let upstream = |u: &Upstream| UpstreamHeritage {
            id: u.id,
            cold_for: u.started.map(|s| (self.at - s).max(0.0)),
            ejected_for: (u.ejected_until - self.at).max(0.0),
            ejections: u.ejections,
            pace: u.pace,
            seen: u.seen,
        };
        let tenant = |b: &Bucket| Some(TenantHeritage { tokens: b.tokens.max(0.0), demand: b.demand });
        Heritage {
            rates: Some((self.rate, self.rate_now)),
            classes: self.classes.iter().map(class).collect(),
            tenants: self.buckets.iter().map(tenant).collect(),
            upstreams: self.ring.iter().filter(|u| u.ready || u.draining).map(upstream).collect(),
        }
    }

    /// Goes on where the process before this one stands: else every replacement would open the ramp of a cold
    /// upstream and fill every bucket anew, and learn the same again at the clients' cost.
    fn inherit(&mut self, heritage: &Heritage) {
        if let Some((rate, rate_now)) = heritage.rates {
            // One that had nothing to do has learned nothing that a fresh start does not grant.
            (self.rate, self.rate_now) = (rate.max(self.rate), rate_now.max(self.rate_now));
        }
        let classes = self.set.classes.iter().zip(&mut self.classes).zip(&heritage.classes);
        for ((c, l), h) in classes.filter_map(|(both, h)| Some((both, (*h)?))) {
            let aim = c.aim.as_secs_f64();
            (l.latency, l.answers) = (h.latency.min(2.0 * aim), h.answers.min(2.0 * aim));
            (l.least, l.usual) = (h.least.min(2.0 * aim), h.usual.clamp(2.0 * TICK, aim.max(2.0 * TICK)));
            (l.share, l.at) = (h.share.min(1.0), self.at);
        }
        for (b, h) in self.buckets.iter_mut().zip(&heritage.tenants).filter_map(|(b, h)| Some((b, (*h)?))) {
            (b.tokens, b.demand) = (h.tokens.min(b.tokens), h.demand);
        }
        for h in &heritage.upstreams {
            let Some(u) = self.index.get(&h.id).map(|j| &mut self.ring[*j]) else { continue };
            if let Some(cold) = h.cold_for.filter(|c| *c < self.set.cold_time.as_secs_f64()) {
                // The colder of what is listed and what is handed over.
                let started = self.at - cold;
                u.started = Some(u.started.map_or(started, |s| s.max(started)));
                u.credit = 0.0;
            }
            (u.ejections, u.ejected_until) = (h.ejections, self.at + h.ejected_for.min(60.0));
            (u.pace, u.seen) = (h.pace.min(5.0), h.seen);
        }
        self.choose_subset();
    }

    /// Other settings. What was learned stays; a request under way keeps its class, and the stricter of both
    /// readings holds for what is still sent for it.
    fn retune(&mut self, set: &Settings, gone: &[TenantId]) {
        if set.check().is_err() || set.classes.len() < self.classes.len() {
            return;
        }
        for r in self.requests.values_mut() {
            r.effect = r.effect.stricter(set.classes[r.class].effect);
            r.attempts_most = r.attempts_most.min(set.max_attempts);
        }
        self.classes.extend(set.classes[self.classes.len()..].iter().map(unlearned));
        self.ring.iter_mut().for_each(|u| u.health.resize(set.classes.len(), Health::default()));
        for i in 0..set.tenants.len().max(1) {
            let new = bucket(set, i);
            match self.buckets.get_mut(i) {
                Some(b) => (b.part, b.gone) = (new.part, false),
                None => self.buckets.push(new),
            }
        }
        for tenant in gone {
            if let Some(b) = self.buckets.get_mut(tenant.0 as usize) {
                b.gone = true;
            }
        }
        (self.shortest, self.subset_least) = (shortest(set), subset_least(set));
        self.set = set.clone();
        self.choose_subset();
    }

    /// The tick: W and the grants, then the fleet's weights, overdue attempts and discovery.
    fn tick(&mut self) {
        let (at, tau) = (self.at, (self.at - self.last_tick).clamp(0.0, 1.0));
        self.last_tick = at;
        if at >= self.choose_at {
            self.choose_subset();
        }
        self.weigh(false);
        self.grant(tau);
        while let Some(&(when, id, attempt)) = self.due.first().filter(|d| d.0 <= self.now) {
            self.due.remove(&(when, id, attempt));
            self.overdue(id, attempt);
        }
        if self.set.ask_for_fleet && !self.watching && at >= self.ask_at {
            // An unanswered call is asked again well before silence counts as having been told.
            self.ask_at = at + self.set.ask_every.as_secs_f64() * (0.4 + 0.2 * self.rng.f64());
            self.out.push(Action::WatchFleet);
        }
        self.out.push(Action::Timer { after: Duration::from_secs_f64(TICK), timer: TICK_TIMER });
    }

    /// Mean latency over the classes as they are admitted.
    fn latency(&self) -> f64 {
        let shares: f64 = self.classes.iter().map(|l| l.share).sum();
        self.classes.iter().map(|l| l.latency * l.share).sum::<f64>() / shares.max(1e-9)
    }

    /// W = sum of (tau C_j + (Q_j - q_j)) in this balancer's own share, then u_i for each tenant.
    fn grant(&mut self, tau: f64) {
        let at = self.at;
        // What nothing new is heard of fades: else W under nil admits nothing that could tell otherwise.
        for (c, l) in self.set.classes.iter().zip(&mut self.classes).filter(|(_, l)| at > l.at + HEARD) {
            l.latency -= (tau / HEARD).min(1.0) * (l.latency - 0.5 * ROOM * c.aim.as_secs_f64()).max(0.0);
        }
        // Queues are shared by all classes: the one whose answers come closest to its aim sets how much they
        // may grow, or by how much they are too long.
        let classes = self.set.classes.iter().zip(&self.classes).filter(|(_, l)| l.share > SHARE_LEAST);
        let told = at - self.busy_at < BUSY_KEPT;
        let part = if told { ROOM_TOLD } else { ROOM };
        let target = |aim: f64, l: &Learned| (part * aim).max((ALONE * l.least).min(ALONE_MOST * aim));
        let slack = classes.map(|(c, l)| target(c.aim.as_secs_f64(), l) - l.latency);
        let slack = slack.fold(f64::INFINITY, f64::min);
        let mut within = (self.latency() + slack).max(0.0);
        let weights = self.sums.weights.max(1e-9);
        self.rate_now += (tau / RATE_OVER).min(1.0) * (self.done / tau.max(1e-6) - self.rate_now);
        self.done = 0.0;
        let seen = self.rate_now / weights;
        if told {
            let busy = BUSY + BUSY_MORE * self.set.over_share_worth.min(0.5);
            // A rate once reached under load would go on admitting what turns a crowded upstream slow.
            let able = seen * (busy / self.busy.max(0.1)).min(2.0);
            self.rate += (tau / RATE_OVER).min(1.0) * (able - self.rate);
            within = within.min(self.latency());
        } else {
            let over = if slack < 0.0 { RATE_OVER } else { RATE_KEPT };
            self.rate = (self.rate + (tau / over).min(1.0) * (seen - self.rate)).max(seen);
        }
        let (taken, least) = (self.sums.held, 1.0 / f64::from(self.set.balancers));
        // One place in all at least: where nothing is stated a start from nothing takes long.
        let room = self.sums.free * (tau * self.rate + (self.rate * within).max(least)) - taken;
        self.room = room;
        // Who is refused here may be served elsewhere, for the price of the way. Slowly back: else it swings.
        let fade = (-tau / SPILL_SEEN).exp();
        (self.asked, self.turned) = (self.asked * fade, self.turned * fade);
        let turned = self.turned / self.asked.max(SPILL_COUNT);
        let short = turned > SPILL_AT && turned < SPILL_MOST;
        self.spill = (self.spill + tau * if short { SPILL_UP } else { -SPILL_DOWN }).clamp(0.0, 1.0);
        let total: f64 = self.buckets.iter().map(|b| b.demand).sum();
        // Long enough to hold a few requests: a tenant that happened to be silent is not without demand.
        let over = DEMAND_OVER.max(DEMAND_COUNT / total.max(0.1));
        // Where room is missing, those over their guarantee lose it first; the rest too when much is missing,
        // as after the loss of half the fleet: nobody is served from full queues.
        let missing = (-room / f64::max(taken, 1e-9)).max(0.0);
        // Where the middle tenant asks for more than its part, this balancer carries more; no tenant surges.
        let there = self.buckets.iter().filter(|b| !b.gone);
        let mut asks: Vec<f64> = there.map(|b| b.demand / b.part.max(1e-9)).collect();
        asks.sort_by(f64::total_cmp);
        let more = (asks.get(asks.len() / 2).unwrap_or(&1.0) * PART_SPARE).clamp(1.0, PART_MOST);
        // ... unless much is missing: then all surge, as with retries in a jam.
        let more = 1.0 + (more - 1.0) * (1.0 - missing).max(0.0);
        self.buckets.iter_mut().for_each(|b| b.guarantee = b.part * more);
        for b in &mut self.buckets {
            let size = BUCKET_LEAST + (BUCKET * b.demand).max(b.guarantee); // T_i
            let cut = if b.demand > b.guarantee { CUT.0 * missing } else { CUT.1 * (missing - CUT_FROM) };
            let share = if total > 0.0 { b.demand / total } else { 0.0 };
            // Only whole tokens count against a share of W under one request: else it stops short of one.
            let open = (room - b.tokens.floor()).max(0.0);
            let grant = (1.0 - cut).clamp(0.0, 1.0) * b.guarantee * tau + share * open;
            b.tokens += grant.min((size - b.tokens).max(0.0));
            b.demand += (tau / over).min(1.0) * (b.arrivals / tau.max(1e-6) - b.demand);
            b.arrivals = 0.0;
        }
    }

    /// What all have in common that can do something now. It changes with the list, and with ejections.
    fn compare(&mut self) {
        let turns = || self.turns.iter().map(|j| &self.ring[*j]);
        let ready = turns().filter(|u| u.ready).count() as f64;
        let ejected = turns().filter(|u| u.ready && u.ejected_until > self.at).count() as f64;
        let near = |u: &Upstream| u.ready && u.zone == self.set.zone && u.ejected_until <= self.at;
        self.facts = Facts {
            largest: turns().map(|u| u.size).fold(1e-9, f64::max),
            spare_ejections: ejected <= EJECTED_MOST * ready,
            near_ready: turns().any(near),
        };
    }

    /// What each upstream can do now, and the turns it gets for it. In a large fleet those that were in use
    /// are weighed at each tick, and of the others a part, one after another: the tick takes no longer.
    fn weigh(&mut self, all: bool) {
        let n = self.turns.len();
        let mut visits = std::mem::take(&mut self.touched);
        let all = all || visits.len() + SLICE >= n;
        if all {
            self.compare();
            visits.clear();
            visits.extend(&self.turns);
            (self.sums, self.weighed) = (Sums::default(), 0);
            self.ring.iter_mut().for_each(|u| u.part = Sums::default());
        } else {
            let end = (self.weighed + SLICE).min(n);
            visits.extend(&self.turns[self.weighed..end]);
            self.weighed = if end == n { 0 } else { end };
        }
        visits.iter().for_each(|j| self.weigh_one(*j));
        if self.weighed == 0 && !all {
            // What rounding has left over a round.
            let parts = self.turns.iter().map(|j| &self.ring[*j].part);
            self.sums = parts.fold(Sums::default(), |sum, part| sum.plus(part, 1.0));
        }
        // A cold upstream earns turns by the clock: where others are skipped the ring turns faster.
        let Sums { warm, warm_rate, .. } = self.sums;
        let each = if warm >= 0.5 { self.rate * warm_rate / warm } else { self.rate };
        let cold = COLD_SHARE * self.set.fall_multiple;
        for j in &visits {
            let u = &mut self.ring[*j];
            let tau = std::mem::take(&mut u.waited);
            if u.started.is_some() {
                u.credit = (u.credit + tau * each * cold * u.weight).min(1.5);
            }
        }
        visits.clear();
        self.touched = visits;
    }

    fn weigh_one(&mut self, j: usize) {
        let far = (1.0 - self.set.prices.cross_zone / FAR_PRICE).max(SPILL_TO * self.spill);
        let cold_from = self.set.cold_from.min(1.0);
        let Facts { largest, spare_ejections, near_ready } = self.facts;
        let u = &mut self.ring[j];
        if !u.member {
            return;
        }
        let tau = (self.at - u.weighed_at).clamp(0.0, 1.0);
        (u.weighed_at, u.waited) = (self.at, u.waited + tau);
        u.seen *= (-tau / PACE_KEPT).exp();
        u.ghosts *= (-tau / self.shortest).exp();
        let pace = (u.pace * u.seen + PACE_DOUBT) / (u.seen + PACE_DOUBT);
        let climb = u.started.map_or(1.0, |s| {
            let share = ((self.at - s) / self.set.cold_time.as_secs_f64().max(1e-6)).clamp(0.0, 1.0);
            cold_from + (1.0 - cold_from) * share
        });
        if climb >= 1.0 {
            u.started = None;
        }
        u.capacity = (u.size / largest * climb / pace.clamp(0.25, 4.0)).max(1e-3);
        let usable = u.ready && (u.ejected_until <= self.at || !spare_ejections);
        let zone = if u.zone == self.set.zone || !near_ready { 1.0 } else { far };
        u.weight = if usable { u.capacity * zone } else { 0.0 };
        let mut part = Sums::default();
        if u.weight > 0.0 {
            // One whose requests are overdue has no room, in part or all, but what it holds is held: else,
            // when all are stuck, W and what is missing are nil together and no guarantee is cut.
            part.held = f64::from(u.in_flight.saturating_sub(u.lost)) + u.ghosts;
            let free = 1.0 - (f64::from(u.overdue) + u.ghosts) / part.held.max(1.0);
            (part.weights, part.free) = (u.weight, u.weight * free);
            if u.started.is_none() {
                (part.warm, part.warm_rate) = (1.0, u.weight);
            }
        }
        self.sums = self.sums.plus(&u.part, -1.0).plus(&part, 1.0);
        u.part = part;
    }

    /// What an upstream holds for its capacity: own requests and, fading with age, reported ones.
    fn holds(&self, j: usize) -> f64 {
        let u = &self.ring[j];
        let age = (self.last_tick - u.held_at).max(0.0);
        let reported = u.held * (-age / REPORT_KEPT).exp();
        (f64::from(u.in_flight.saturating_sub(u.lost))
            + OVERDUE_HELD * f64::from(u.overdue)
            + u.ghosts
            + reported)
            / u.capacity
    }

    /// Steps the counter to the next upstream that has earned a turn.
    fn step(&mut self) -> Option<usize> {
        for _ in 0..self.turns.len() * 8 {
            self.sigma = (self.sigma + 1) % self.turns.len();
            let j = self.turns[self.sigma];
            let u = &mut self.ring[j];
            if u.weight <= 0.0 {
                continue;
            }
            if u.started.is_none() {
                u.credit = (u.credit + u.weight).min(2.0);
            }
            if u.credit >= 1.0 {
                u.credit -= 1.0;
                return Some(j);
            }
        }
        None
    }

    /// The round robin with its skip rule: the first in turn that does not hold clearly more than the least
    /// of those in sight. Who is ejected for this class keeps its turn for the others.
    fn next_turn(&mut self, class: usize) -> Option<usize> {
        let ring = &self.ring;
        self.ahead.retain(|j| ring[*j].weight > 0.0 && ring[*j].ready);
        // Few are ejected, as a rule nobody: only a trial, one at a time and ever more seldom, looks for them
        // through all, since each may cost a request that nothing repeats.
        let out = self.classes[class].out;
        if out > 0 && self.at >= self.classes[class].trial_at {
            let ill = |j: &&usize| self.ring[**j].health[class].ejected && self.ring[**j].weight > 0.0;
            let tried = |j: &&usize| self.ring[**j].health[class].tried;
            let oldest = self.turns.iter().filter(ill).min_by(|a, b| tried(a).total_cmp(&tried(b)));
            let (l, oldest) = (&mut self.classes[class], oldest.copied());
            l.trials += u32::from(oldest.is_some());
            l.trial_at = self.at + EJECT * f64::from(1 << l.trials.min(4)) * (0.75 + 0.5 * self.rng.f64());
            if let Some(j) = oldest {
                self.ring[j].health[class].tried = self.at;
                return oldest;
            }
        }
        let all = out >= self.turns.len();
        let fit = |b: &Self, j: usize| all || !b.ring[j].health[class].ejected;
        let mut sight = self.ahead.iter().filter(|j| fit(self, **j)).count();
        while sight < LOOK_AHEAD && self.ahead.len() < LOOK_AHEAD + self.turns.len() {
            let Some(j) = self.step() else { break };
            self.ahead.push_back(j);
            sight += usize::from(fit(self, j));
        }
        if self.ahead.len() >= LOOK_AHEAD + self.turns.len() {
            self.ahead.pop_front();
        }
        let seen = self.ahead.iter().filter(|j| fit(self, **j)).take(LOOK_AHEAD);
        let least = seen.map(|j| self.holds(*j)).fold(f64::INFINITY, f64::min);
        let mut k = 0;
        while let Some(&j) = self.ahead.get(k) {
            if !fit(self, j) {
                k += 1;
                continue;
            }
            self.ahead.remove(k);
            if self.holds(j) <= least * CLEARLY + 0.5 {
                return Some(j);
            }
        }
        None
    }

    fn send(&mut self, id: RequestId, turn: usize) {
        touch(&mut self.touched, self.ring.len(), turn);
        let Some(r) = self.requests.get_mut(&id) else { return };
        let u = &mut self.ring[turn];
        let mut idle = if u.in_flight > 0 || u.used_at <= 0.0 { 0.0 } else { self.at - u.used_at };
        if idle > self.reap && self.at < self.reap_until && self.silent[1] > 2.0 * self.silent[0] {
            self.out.push(Action::CloseIdle { upstream: u.id });
            idle = 0.0;
        }
        u.used_at = self.at;
        u.in_flight += 1;
        u.health[r.class].sent = self.at;
        let class = &self.set.classes[r.class];
        let overdue = self.classes[r.class].usual.min(OVERDUE_BY * class.aim.as_secs_f64());
        // Where no second copy may run beside the first, what may be repeated is given up when overdue: here
        // if it can't be called back, else then, and only if another can follow.
        let last = r.attempts.len() + 1 >= usize::from(r.attempts_most);
        let repeatable = r.effect != Effect::AtMostOnce && !class.streamed;
        let blind = !self.set.hedging && !self.set.cancelling;
        let again =
            (blind && repeatable && !last && self.retries >= 1.0).then(|| Duration::from_secs_f64(overdue));
        // What is worth nothing after its aim is not waited for any longer: upstreams that drop what is
        // called back have room for others, and silence is known sooner. It ends just before, not as late.
        let spent = Duration::from_secs_f64((r.worth_until - self.at).clamp(1e-3, 1e6));
        let timeout = again.or((r.worth_until < r.deadline).then_some(spent));
        self.out.push(Action::Attempt { id, upstream: u.id, timeout });
        self.due.insert((self.now + Duration::from_secs_f64(overdue), id, r.attempts.len() as u8));
        let (upstream, zone, cell, sent) = (u.id, u.zone, u.cell, self.at);
        r.attempts.push(Attempt { upstream, zone, cell, sent, out: true, idle, ..Attempt::default() });
    }

    /// Whether an attempt of a request may go to an upstream without an effect happening twice.
    fn safe(&self, r: &Request, u: &Upstream) -> bool {
        let Some(first) = r.attempts.iter().find(|a| a.out || a.may_have_run) else { return true };
        let Effect::Deduplicated { group, ttl } = r.effect else {
            return r.effect == Effect::Idempotent;
        };
        // For the way there: a connection may have to be made first.
        let margin = self.set.connect_timeout.as_secs_f64() + 0.05;
        let same = match group {
            DedupGroup::All => true,
            DedupGroup::Zone => u.zone == first.zone,
            DedupGroup::Cell => u.cell == first.cell,
        };
        same && self.at + margin < first.sent + ttl.as_secs_f64()
    }

    /// Sends a further attempt where the class and the retry budget allow one.
    fn further(&mut self, id: RequestId, cost: f64) -> bool {
        let Some(j) = self.follows(id, cost) else { return false };
        self.retries -= cost;
        self.send(id, j);
        true
    }

    /// Where a further attempt would go, if one may.
    fn follows(&mut self, id: RequestId, cost: f64) -> Option<usize> {
        let r = self.requests.get(&id)?;
        let at = self.at;
        if r.ended
            || r.streaming
            || r.attempts.len() >= usize::from(r.attempts_most)
            || at + 1e-3 >= r.deadline
            || at + 0.5 * self.classes[r.class].latency >= r.worth_until
            || self.retries < cost
            || self.ring.is_empty()
            || is_spent(r)
        {
            return None;
        }
        // Outside the subset only where nobody in it will do, as for a key known to one cell.
        let (n, m, from) = (self.turns.len(), self.ring.len(), self.rng.usize(..));
        let all = (1..=n).map(|k| self.turns[(self.sigma + k) % n]).chain((0..m).map(|k| (k + from % m) % m));
        let fit = all.filter(|j| self.fits(r, &self.ring[*j])).take(FURTHER_LOOK);
        let far = |u: &Upstream| f64::from(u8::from(u.zone != self.set.zone) + 2 * u8::from(!u.member));
        let held = |j: usize| 1e6 * far(&self.ring[j]) + self.holds(j);
        fit.min_by(|a, b| held(*a).total_cmp(&held(*b)))
    }

    /// Whether an upstream may take a further attempt of a request.
    fn fits(&self, r: &Request, u: &Upstream) -> bool {
        // Not onto a cold upstream: a failure's retries together are the burst that pushes it over.
        u.ready
            && u.started.is_none()
            && u.ejected_until <= self.at
            && !u.health[r.class].ejected
            && r.attempts.iter().all(|a| a.upstream != u.id)
            && self.safe(r, u)
    }

    /// An attempt is out for longer than is usual: its upstream is passed over, and a second copy may go out.
    /// Looked at again later, it may turn out to be lost: then it holds nothing, and its upstream is well.
    fn overdue(&mut self, id: RequestId, attempt: u8) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        let Some(a) = r.attempts.get_mut(usize::from(attempt)).filter(|a| a.out && !a.streams) else {
            return;
        };
        let usual = self.classes[r.class].usual;
        let first = !std::mem::replace(&mut a.overdue, true);
        if let Some(j) = self.index.get(&a.upstream).copied() {
            touch(&mut self.touched, self.ring.len(), j);
            let u = &mut self.ring[j];
            // A queue serves in turn: one that is passed by so much stands in none. Whom nobody followed
            // can't be passed: it counts as any other then, so that somebody does.
            let h = &u.health[r.class];
            a.lost = !first && h.passed > a.sent + LOST_BY * usual;
            let counts = first || (a.counted && !a.lost && h.sent > a.sent);
            count_overdue(u, a, counts);
            u.lost += u32::from(a.lost);
        }
        if !a.lost {
            self.due.insert((self.now + Duration::from_secs_f64(LOST_LOOK * usual), id, attempt));
        }
        // Room for one: the overdue attempt itself is counted in what is held.
        if first && self.set.hedging && self.room > -1.0 {
            self.further(id, 1.0);
        } else if first && !self.set.hedging && self.set.cancelling {
            // Nothing is given up for which nothing can follow: it may still be answered.
            // What follows is paid for now: many may be called back at one tick.
            if self.follows(id, 1.0).is_some()
                && let Some(a) =
                    self.requests.get_mut(&id).and_then(|r| r.attempts.get_mut(usize::from(attempt)))
            {
                a.paid = true;
                self.retries -= 1.0;
                self.out.push(Action::Cancel { id, attempt: AttemptNo(attempt) });
            }
        }
    }

    /// An attempt streams: it stands in no queue at its upstream from here on, never overdue. Else a few
    /// long answers would look like a fleet without room.
    fn stream_started(&mut self, id: RequestId, attempt: u8, latency: Option<Duration>) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        r.streaming = true;
        let class = r.class;
        let Some(a) = r.attempts.get_mut(usize::from(attempt)).filter(|a| a.out && !a.streams) else {
            return;
        };
        a.streams = true;
        let (upstream, way) = (a.upstream, (a.overdue, std::mem::take(&mut a.lost), a.idle));
        if let Some(j) = self.index.get(&upstream).copied() {
            touch(&mut self.touched, self.ring.len(), j);
            let u = &mut self.ring[j];
            count_overdue(u, a, false);
            u.lost = u.lost.saturating_sub(u32::from(way.1));
            u.in_flight = u.in_flight.saturating_sub(u32::from(latency.is_none()));
        }
        if let Some(latency) = latency {
            // One answer is enough.
            let others = r.attempts.iter().enumerate().filter(|(k, a)| a.out && *k != usize::from(attempt));
            let cancelled = others.filter(|_| self.set.cancelling);
            let cancel = cancelled.map(|(k, _)| Action::Cancel { id, attempt: AttemptNo(k as u8) });
            self.out.extend(cancel);
            self.learn(upstream, class, Outcome::Ok, latency.as_secs_f64(), way);
        }
    }

    fn attempt_ended(&mut self, id: RequestId, attempt: u8, outcome: Outcome, latency: f64, finished: bool) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        let Some(a) = r.attempts.get_mut(usize::from(attempt)).filter(|a| a.out) else { return };
        a.out = false;
        a.may_have_run = !outcome.never_ran();
        let (upstream, way, class, ended) = (a.upstream, (a.overdue, a.lost, a.idle), r.class, r.ended);
        let (streams, paid) = (a.streams, a.paid);
        if let Some(j) = self.index.get(&upstream).copied() {
            touch(&mut self.touched, self.ring.len(), j);
            let u = &mut self.ring[j];
            count_overdue(u, a, false);
            u.lost = u.lost.saturating_sub(u32::from(way.1));
            if streams {
                match outcome {
                    Outcome::Reset => u.breaks += 1,
                    Outcome::Ok | Outcome::Error => (u.breaks, u.alive_at) = (0, self.at),
                    _ => {}
                }
            }
        }
        let owed = !finished && !ended;
        let (others, deadline) = (r.attempts.iter().any(|a| a.out), r.deadline);
        if !streams {
            self.learn(upstream, class, outcome, latency, way);
        }
        if finished {
            self.end(id);
        } else if owed && !others {
            // A try that never ran adds no work to the fleet: it costs a tenth.
            let cost = if outcome.never_ran() { 0.1 } else { 1.0 };
            if !self.further(id, if paid { 0.0 } else { cost }) {
                self.give_up(id, deadline);
            }
        }
        if ended && !others {
            self.requests.remove(&id);
        }
    }

    /// The final answer when no attempt is out and none may follow: a refusal only if nothing can have run.
    fn give_up(&mut self, id: RequestId, deadline: f64) {
        let Some(r) = self.requests.remove(&id) else { return };
        let safe = r.effect == Effect::Idempotent;
        if safe || r.attempts.iter().all(|a| !a.may_have_run) {
            let left = (deadline - self.at).max(0.0);
            self.refuse(id, Duration::from_secs_f64(left.min(1e6)));
        } else {
            self.out.push(Action::Fail { id });
        }
    }

    /// The request is over: nothing more is sent for it; what is still out is called back.
    fn end(&mut self, id: RequestId) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        let was_ended = std::mem::replace(&mut r.ended, true);
        if !was_ended && self.set.cancelling {
            for (k, _) in r.attempts.iter().enumerate().filter(|(_, a)| a.out) {
                self.out.push(Action::Cancel { id, attempt: AttemptNo(k as u8) });
            }
        }
        if r.attempts.iter().all(|a| !a.out) {
            self.requests.remove(&id);
        }
    }

    /// What one outcome tells of its upstream, its class and the fleet.
    fn learn(
        &mut self,
        id: UpstreamId,
        class: usize,
        outcome: Outcome,
        latency: f64,
        way: (bool, bool, f64),
    ) {
        let (overdue, lost, idle) = way;
        let aim = self.set.classes[class].aim.as_secs_f64();
        let learned = &mut self.classes[class];
        let ratio = latency / learned.latency.max(1e-6);
        let ok = outcome == Outcome::Ok;
        if ok {
            self.done += 1.0;
            learned.answers += ANSWERS_NEWEST * (latency - learned.answers);
            learned.usual *=
                if latency > learned.usual { 1.0 + 0.05 * USUAL } else { 1.0 - 0.05 * (1.0 - USUAL) };
            learned.usual = learned.usual.clamp(2.0 * TICK, aim);
        }
        let unanswered = matches!(outcome, Outcome::TimedOut | Outcome::Cancelled) && overdue;
        let slow = unanswered && !lost;
        if ok || slow {
            let latency = if ok { latency.min(2.0 * aim) } else { (GIVEN_UP * latency).min(2.0 * aim) };
            let newest = ((self.at - learned.at) / LATENCY_OVER).clamp(LATENCY_NEWEST, 0.2);
            learned.at = self.at;
            learned.latency += newest * (latency - learned.latency);
            let over = if learned.latency < learned.least { LATENCY_OVER } else { LEAST_OVER };
            learned.least += (newest * LATENCY_OVER / over) * (learned.latency - learned.least);
        }
        // Silence on idle connections, not on those in use, is laid to the way there: something drops them
        // unseen. They are closed before use. Harm where that is wrong: a handshake a use, for a while.
        let silent = &mut self.silent;
        if ok || unanswered {
            let share = &mut silent[usize::from(idle > IDLE)];
            *share += 0.2 * (f64::from(u8::from(unanswered)) - *share);
        }
        if unanswered && idle > IDLE && silent[1] > 0.3 && silent[1] > 2.0 * silent[0] {
            let before = if self.at < self.reap_until { self.reap } else { f64::INFINITY };
            (self.reap, self.reap_until) = (before.min(idle / 2.0).max(IDLE), self.at + REAP_KEPT);
        }
        let out = (self.classes[class].out + 1) as f64 <= EJECTED_MOST * self.turns.len() as f64;
        let Some(u) = self.index.get(&id).map(|j| &mut self.ring[*j]) else { return };
        u.used_at = self.at;
        u.in_flight = u.in_flight.saturating_sub(1);
        if ok || slow {
            let ratio = ratio.min(5.0);
            u.seen += 1.0;
            u.pace += (ratio - u.pace) / u.seen.max(1.0);
        }
        let (h, l) = (&mut u.health[class], &mut self.classes[class]);
        if ok {
            (h.faults, h.answered) = (0, self.at);
            h.passed = h.passed.max(self.at - latency);
            if !overdue {
                u.ejections = 0;
                if std::mem::take(&mut h.ejected) {
                    l.out = l.out.saturating_sub(usize::from(u.member));
                    // What ailed it may have been the others' trouble too: they are tried at once.
                    (l.trials, l.trial_at) = (0, self.at);
                }
            }
        }
        match outcome {
            Outcome::Ok | Outcome::Error | Outcome::Rejected | Outcome::Overloaded => {
                (u.breaks, u.alive_at) = (0, self.at);
            }
            Outcome::Reset => u.breaks += 1,
            Outcome::ConnectFailed => u.breaks += BREAKS_REFUSED,
            _ => {}
        }
        let dead = u.breaks >= BREAKS && self.at - u.alive_at > BREAKS_OVER;
        match outcome {
            Outcome::ConnectFailed | Outcome::Reset if dead && u.ejected_until <= self.at => {
                u.breaks = 0;
                let length = EJECT * f64::from(1 << u.ejections.min(3));
                u.ejections += 1;
                u.ejected_until = self.at + length * (0.75 + 0.5 * self.rng.f64());
                // Back as if cold, from a first turn at a random time: a slow trial by all balancers.
                u.started = Some(u.ejected_until);
                u.credit = self.rng.f64();
                u.fresh = true;
                self.choose_at = self.at;
            }
            // It looks the emptiest to the skip rule, whatever makes it turn requests of a class away.
            Outcome::Rejected => {
                (u.held, u.held_at) = (u.held.max(2.0 * OVERDUE_HELD), self.at);
                h.faults += 1;
            }
            // It is not ill, but others are to be asked first for a while.
            Outcome::Overloaded => (u.held, u.held_at) = (u.held.max(2.0 * OVERDUE_HELD), self.at),
            Outcome::Error => h.faults += 1,
            Outcome::TimedOut | Outcome::Cancelled if overdue => h.faults += 1,
            _ => {}
        }
        let quick = self.at - h.answered > HEARD_OF && l.answers < QUICK * aim;
        if !h.ejected && out && (h.faults >= FAULTS || (quick && h.faults > 0 && outcome != Outcome::Error)) {
            (h.faults, h.ejected, h.tried) = (0, true, self.at);
            l.out += usize::from(u.member);
            if l.trial_at <= self.at {
                (l.trials, l.trial_at) = (0, self.at + EJECT * (0.75 + 0.5 * self.rng.f64()));
            }
        }
        // Where the fault is the upstream's own, it says nothing of the room elsewhere.
        u.ghosts += f64::from(u8::from(slow && !h.ejected));
    }

    fn report(&mut self, id: UpstreamId, report: &[f32]) {
        let Some(u) = self.index.get(&id).map(|j| &mut self.ring[*j]) else { return };
        // Reports are old: less own requests of now they say nothing of the others, who hold their part.
        let others = 1.0 - 1.0 / f64::from(self.set.balancers.max(1));
        let mut most = None;
        for (field, value) in self.set.report_fields.iter().zip(report).filter(|(_, v)| v.is_finite()) {
            let value = f64::from(*value).clamp(0.0, 1e4);
            match field {
                LoadField::InFlight | LoadField::Queue => most = Some(value.max(most.unwrap_or(0.0))),
                LoadField::Utilization => {
                    self.busy += BUSY_NEWEST * (value.min(1.0) - self.busy);
                    self.busy_at = self.at;
                }
                _ => {}
            }
        }
        if let Some(most) = most {
            (u.held, u.held_at) = (most * others, self.at);
        }
    }

    fn fleet(&mut self, scope: FleetScope, listed: &[Listed]) {
        if scope == FleetScope::Failed {
            // Doubling, jittered waits: a list service that was down must not meet all at once.
            let longest = self.set.ask_every.as_secs_f64() * 0.8;
            let wait = (longest / 16.0) * f64::from(1u32 << self.ask_failures.min(4));
            self.ask_failures += 1;
            self.watching = false;
            self.ask_at = self.at + wait * (0.5 + 0.5 * self.rng.f64());
            return;
        }
        if scope != FleetScope::Cached {
            self.watching = true;
            self.ask_failures = 0;
        }
        let mut changed = scope != FleetScope::Changes;
        if changed {
            // What a full list no longer names is gone.
            self.ring.iter_mut().for_each(|u| (u.ready, u.draining) = (false, false));
        }
        let (first, mut grown) = (self.ring.is_empty(), false);
        for l in listed {
            let started = l.started.map(|s| s.as_secs_f64());
            let j = *self.index.entry(l.id).or_insert_with(|| {
                // A newcomer to a list already known has just started, whatever the list says.
                let started = started.or((!first).then_some(self.at));
                let credit = self.rng.f64();
                let health = vec![Health::default(); self.classes.len()];
                self.ring.push(Upstream {
                    health,
                    id: l.id,
                    started,
                    credit,
                    capacity: 1.0,
                    alive_at: f64::NEG_INFINITY,
                    weighed_at: self.at,
                    fresh: !first,
                    ..Upstream::default()
                });
                grown = true;
                self.ring.len() - 1
            });
            let u = &mut self.ring[j];
            (u.zone, u.cell) = (l.zone, l.cell);
            changed |= u.ready != (l.availability == Availability::Ready);
            u.ready = l.availability == Availability::Ready;
            u.draining = l.availability == Availability::Draining;
            let weight = if l.weight > 0.0 && l.weight.is_finite() { l.weight } else { 1.0 };
            match self.set.weights {
                Weights::Off => u.size = 1.0,
                Weights::Size => u.size = weight,
                Weights::Live => {
                    u.size = u.size.max(weight);
                    let others = 1.0 - 1.0 / f64::from(self.set.balancers.max(1));
                    (u.held, u.held_at) = ((u.size / weight - 1.0) * others, self.at);
                }
            }
            let fresh =
                |s: &f64| self.at - s < self.set.cold_time.as_secs_f64() && u.started.is_none_or(|k| *s > k);
            if let Some(s) = started.filter(fresh) {
                // It has restarted: what was held against it is void, and it is cold.
                u.started = Some(s);
                (u.ejections, u.ejected_until, u.credit) = (0, 0.0, self.rng.f64());
                u.health.fill(Health::default());
                (u.fresh, changed) = (true, true);
            }
        }
        let gone = |u: &Upstream| !u.ready && !u.draining && u.in_flight == 0;
        if grown || self.ring.iter().filter(|u| gone(u)).count() > self.ring.len() / 4 {
            // The gone leave: else churn of the fleet would grow state as long as a balancer lives.
            self.ring.retain(|u| !gone(u));
            self.index = self.ring.iter().enumerate().map(|(j, u)| (u.id, j)).collect();
            changed = true;
        }
        if changed {
            self.choose_subset();
        } else {
            self.weigh(true);
        }
    }

    /// Chooses who takes turns: all that are ready, or a subset where one balancer sees too little to keep a
    /// connection to each in use and to learn what it needs of each. Balancers that share a shuffled order
    /// of the ids get neighbouring parts of it, so that each upstream is in about as many subsets as any
    /// other. Guards against upstreams that run out of connections and against judging by stale news; who is
    /// ejected is replaced by the next in the order. Harm: fewer to choose from.
    fn choose_subset(&mut self) {
        let mut order: Vec<usize> = (0..self.ring.len()).filter(|j| self.ring[*j].ready).collect();
        // Few balancers take more each: every upstream is in several subsets, and one alone takes all.
        let n = order.len();
        let least = self.subset_least.max(SUBSETS_EACH * n / (self.set.balancers as usize).max(1));
        let all = least * 5 >= n * 4;
        let blocks = (n / least.max(1)).max(1);
        let (round, place) = (self.set.index as usize / blocks, self.set.index as usize % blocks * least);
        let mut members = 0;
        for u in &mut self.ring {
            u.member &= u.ready;
            if !u.member {
                // Time without turns earns none.
                (u.weighed_at, u.waited) = (self.at, 0.0);
            }
        }
        // Who comes back from ejection is looked at again then.
        let until = self.ring.iter().map(|u| u.ejected_until).filter(|t| *t > self.at);
        self.choose_at = until.fold(f64::INFINITY, f64::min);
        if !all {
            order
                .sort_by_cached_key(|j| Chance::with_seed(self.ring[*j].id.0 ^ (round as u64) << 48).u64(..));
            order.rotate_left(place % n.max(1));
        }
        for (rank, j) in order.iter().enumerate() {
            let u = &mut self.ring[*j];
            let usable = u.ejected_until <= self.at;
            // Once in it stays in, so that connections stay warm; newcomers have their place by the order.
            u.member = all || (usable && (u.member || (u.fresh && rank < least)));
            u.fresh &= !usable;
            members += usize::from(u.member);
        }
        for j in &order {
            let u = &mut self.ring[*j];
            if members < least && !u.member && u.ejected_until <= self.at {
                (u.member, members) = (true, members + 1);
            }
        }
        for j in order.iter().rev() {
            let u = &mut self.ring[*j];
            if members > least && u.member && !all {
                (u.member, members) = (false, members - 1);
                self.out.push(Action::CloseIdle { upstream: u.id });
            }
        }
        self.turns = order;
        self.turns.retain(|j| self.ring[*j].member);
        // Each balancer has its own order, so that counters do not march in step.
        self.rng.shuffle(&mut self.turns);
        (self.sigma, self.ahead) = (0, VecDeque::new());
        self.touched.clear();
        for (class, learned) in self.classes.iter_mut().enumerate() {
            let ill = |j: &&usize| self.ring[**j].health[class].ejected;
            learned.out = self.turns.iter().filter(ill).count();
        }
        self.weigh(true);
    }
}

/// The bucket of a tenant of whom nothing is known: full.
fn bucket(set: &Settings, i: usize) -> Bucket {
    let stated = set.tenants.get(i).map_or(0.0, |t| t.allowance_per_s);
    let part = if stated > 0.0 { stated / f64::from(set.balancers) } else { 1.0 };
    let tokens = BUCKET_LEAST + part;
    Bucket { tokens, arrivals: 0.0, demand: 0.0, part, guarantee: part, gone: false }
}

/// A class of which nothing is known.
fn unlearned(class: &Class) -> Learned {
    let aim = class.aim.as_secs_f64();
    Learned {
        latency: aim * 0.3,
        least: aim * 0.2,
        usual: aim * OVERDUE_BY,
        share: 1.0,
        ..Learned::default()
    }
}

/// What each balancer gets of all that the tenants are granted, a second.
fn stated_each(set: &Settings) -> f64 {
    let stated: f64 = set.tenants.iter().map(|t| t.allowance_per_s).filter(|a| a.is_finite()).sum();
    stated.max(1.0) / f64::from(set.balancers)
}

fn subset_least(set: &Settings) -> usize {
    (SUBSET_EACH * stated_each(set)).clamp(SUBSET_LEAST, 1e6) as usize
}

fn shortest(set: &Settings) -> f64 {
    set.classes.iter().map(|c| c.aim.as_secs_f64()).fold(f64::INFINITY, f64::min)
}

/// Whether nobody may have a request any more: it may run once, and may have.
fn is_spent(r: &Request) -> bool {
    r.effect == Effect::AtMostOnce && r.attempts.iter().any(|a| a.out || a.may_have_run)
}

/// Counts an attempt in among the overdue of its upstream, or out: once each, whatever comes in between.
fn count_overdue(u: &mut Upstream, a: &mut Attempt, counts: bool) {
    let was = std::mem::replace(&mut a.counted, counts);
    u.overdue = (u.overdue + u32::from(counts)).saturating_sub(u32::from(was));
}

/// Something was sent to an upstream, or came back: it is weighed at the next tick. Past as many as there
/// are, all of them will be.
fn touch(touched: &mut Vec<usize>, most: usize, j: usize) {
    if touched.len() <= most {
        touched.push(j);
    }
}
