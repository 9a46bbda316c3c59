//! Many balancers side by side in emulated time, before upstreams that are queues: what one after another sends to
//! those that have just started is added up.
#![allow(dead_code)]

use super::day::{Cold, Day, START};
use maplehook_core::*;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// Time for the news that an upstream refuses, or that a cancelled attempt is gone.
const AT_ONCE: f64 = 0.001;
/// Requests that have to be turned away, and seconds on end, for a balancer that serves nothing.
const DARK_ASKED: u32 = 15;
const DARK_OVER: f64 = 4.0;

enum Happening {
    Arrival,
    /// The upstreams that start cold have gone.
    Crash,
    /// They are back, or new ones come.
    Start,
    /// A balancer is told of the start.
    Told(usize),
    Timer(usize, TimerId),
    Ended(usize, RequestId, usize, Outcome),
}

/// What became of one request.
struct Open {
    deadline: f64,
    class: usize,
    answered: bool,
    attempts: Vec<(usize, f64, bool)>, // upstream, since when, ended
}

/// How long requests have come to a balancer with nothing in between that it did for one.
#[derive(Default)]
struct Dark {
    asked: u32,
    since: f64,
}

impl Dark {
    /// One more has come. Whether that makes it too long, counted from some time on; it is counted anew then.
    fn is_too_long(&mut self, now: f64, from: f64) -> bool {
        if self.asked == 0 || self.since < from {
            (self.asked, self.since) = (0, now);
        }
        self.asked += 1;
        let too_long = self.asked >= DARK_ASKED && now - self.since >= DARK_OVER;
        if too_long {
            self.asked = 0;
        }
        too_long
    }
}

/// One balancer and what it is seen to do.
struct Player {
    balancer: Balancer,
    life: u32,
    told: bool,
    open: HashMap<RequestId, Open>,
    unsent: Dark,
    unserved: Dark,
}

/// An upstream: a queue that takes one request after another.
struct Server {
    free_at: f64,
    busy: f64, // share of its time in use, fading
    busy_at: f64,
}

/// What was seen of the upstreams that started cold.
#[derive(Default)]
pub struct Seen {
    /// By upstream: when something was sent there by a balancer that had been told, in order.
    pub told: Vec<Vec<f64>>,
    /// Sent there by others.
    pub untold: usize,
    /// Requests that came and that were answered, from the start on.
    pub asked: usize,
    pub served: usize,
    /// How often a balancer sent nothing for too long, and served nothing while all upstreams were well.
    pub unsent: usize,
    pub unserved: usize,
}

pub struct World<'a> {
    day: &'a Day,
    now: f64,
    next: u64,
    events: BTreeMap<(u64, u64), (u32, Happening)>,
    players: Vec<Player>,
    servers: Vec<Server>,
    chance: fastrand::Rng,
    seen: Seen,
    actions: Vec<Action>,
}

/// Plays a day.
pub fn play(day: &Day) -> Seen {
    let mut world = World::new(day);
    world.run();
    world.seen
}

impl<'a> World<'a> {
    fn new(day: &'a Day) -> Self {
        let server = |_| Server { free_at: 0.0, busy: 0.0, busy_at: 0.0 };
        let mut world = Self {
            day,
            now: 0.0,
            next: 0,
            events: BTreeMap::new(),
            players: Vec::new(),
            servers: (0..day.upstreams).map(server).collect(),
            chance: fastrand::Rng::with_seed(day.seed),
            seen: Seen { told: vec![Vec::new(); day.cold], ..Seen::default() },
            actions: Vec::new(),
        };
        for index in 0..day.balancers {
            let balancer = world.balancer(index);
            let open = HashMap::new();
            let (unsent, unserved) = (Dark::default(), Dark::default());
            world.players.push(Player { balancer, life: 0, told: false, open, unsent, unserved });
            let listed = world.list(index);
            world.tell(index, Event::EndpointUpdate { scope: UpdateScope::Cached, endpoints: &listed });
        }
        world.at(0.0, 0, Happening::Arrival);
        if day.kind == Cold::Restarted {
            world.at(START - day.down, 0, Happening::Crash);
        }
        world.at(START, 0, Happening::Start);
        world
    }

    fn balancer(&mut self, index: usize) -> Balancer {
        let set = self.day.settings(index);
        Balancer::new(set, self.chance.u64(..)).expect("settings permit decisions")
    }

    fn at(&mut self, when: f64, life: u32, happening: Happening) {
        self.next += 1;
        self.events.insert(((when.max(self.now) * 1e9) as u64, self.next), (life, happening));
    }

    fn run(&mut self) {
        while let Some(((when, _), (life, happening))) = self.events.pop_first() {
            self.now = when as f64 / 1e9;
            if self.now > self.day.length {
                return;
            }
            match happening {
                Happening::Arrival => self.arrival(),
                Happening::Crash => self.crash(),
                Happening::Start => self.start(),
                Happening::Told(b) => self.told(b, life),
                Happening::Timer(b, timer) if self.players[b].life == life => {
                    self.tell(b, Event::Timer { timer });
                }
                Happening::Ended(b, id, k, outcome) if self.players[b].life == life => {
                    self.ended(b, id, k, outcome);
                }
                _ => {}
            }
        }
    }

    /// The list as a balancer has it from now on.
    fn list(&self, index: usize) -> Vec<Endpoint> {
        let told = self.players[index].told;
        let present = |j: &usize| told || self.day.kind == Cold::Restarted || *j >= self.day.cold;
        (0..self.day.upstreams).filter(present).map(|j| self.day.listed(j, told)).collect()
    }

    fn arrival(&mut self) {
        let rate = self.day.rate_at(self.now);
        let gap = -self.chance.f64().max(1e-12).ln() / rate;
        self.at(self.now + gap, 0, Happening::Arrival);
        let b = self.day.balancer_of(self.chance.f64());
        let tenant = self.day.tenant_of(self.chance.f64());
        let class = self.chance.usize(..self.day.set.classes.len());
        let time_left = self.day.set.classes[class].deadline;
        self.next += 1;
        let id = RequestId(self.next as u32);
        let open = Open {
            deadline: self.now + time_left.as_secs_f64(),
            class,
            answered: false,
            attempts: Vec::new(),
        };
        let player = &mut self.players[b];
        player.open.insert(id, open);
        let from = START.max(self.day.outage.until());
        self.seen.unsent += usize::from(player.unsent.is_too_long(self.now, from));
        self.seen.unserved += usize::from(player.unserved.is_too_long(self.now, from));
        self.seen.asked += usize::from(self.now >= START);
        let (class, tenant) = (ClassId(class as u16), TenantId(tenant as u32));
        self.tell(b, Event::Request { id, class, tenant, time_left, work_ms: None, is_repeat: false });
    }

    fn crash(&mut self) {
        for b in 0..self.players.len() {
            let mut broken = Vec::new();
            for (id, open) in &self.players[b].open {
                let there = open.attempts.iter().enumerate().filter(|(_, a)| a.0 < self.day.cold && !a.2);
                broken.extend(there.map(|(k, _)| (*id, k)));
            }
            broken.sort();
            for (id, k) in broken {
                self.at(self.now, self.players[b].life, Happening::Ended(b, id, k, Outcome::Reset));
            }
        }
    }

    /// Some balancers end in the same moment, and others follow them.
    fn start(&mut self) {
        self.servers[..self.day.cold].iter_mut().for_each(|s| s.free_at = self.now);
        for b in 0..self.players.len() {
            let fate = self.chance.f64();
            if fate < self.day.fresh + self.day.handed {
                let heritage = (fate >= self.day.fresh).then(|| self.players[b].balancer.learned_state());
                let listed_before = self.list(b);
                let balancer = self.balancer(b);
                let player = &mut self.players[b];
                player.balancer = balancer;
                player.life += 1;
                player.open.clear();
                if let Some(heritage) = &heritage {
                    self.tell(
                        b,
                        Event::EndpointUpdate { scope: UpdateScope::Cached, endpoints: &listed_before },
                    );
                    self.tell(b, Event::LearnedStateRestored { learned: heritage });
                } else {
                    self.players[b].told = true;
                    let listed = self.list(b);
                    self.tell(b, Event::EndpointUpdate { scope: UpdateScope::Cached, endpoints: &listed });
                }
            }
            let (life, late) = (self.players[b].life, self.day.late * self.chance.f64());
            self.at(self.now + late, life, Happening::Told(b));
        }
    }

    fn told(&mut self, b: usize, life: u32) {
        if self.players[b].life != life || self.players[b].told {
            return;
        }
        self.players[b].told = true;
        let listed = self.list(b);
        if self.day.whole {
            self.tell(b, Event::EndpointUpdate { scope: UpdateScope::Full, endpoints: &listed });
        } else {
            let new = &listed[..self.day.cold];
            self.tell(b, Event::EndpointUpdate { scope: UpdateScope::Changes, endpoints: new });
        }
    }

    fn tell(&mut self, b: usize, event: Event<'_>) {
        let mut actions = std::mem::take(&mut self.actions);
        self.players[b].balancer.handle(Duration::from_secs_f64(self.now), event, &mut actions);
        let life = self.players[b].life;
        for action in actions.drain(..) {
            match action {
                Action::Timer { after, timer } => {
                    self.at(self.now + after.as_secs_f64(), life, Happening::Timer(b, timer));
                }
                Action::Attempt { id, upstream, timeout } => self.sent(b, id, upstream, timeout),
                Action::Cancel { id, attempt } => {
                    let ended = Happening::Ended(b, id, usize::from(attempt.0), Outcome::Cancelled);
                    self.at(self.now + AT_ONCE, life, ended);
                }
                Action::Reject { id, .. } | Action::Fail { id } => {
                    if let Some(open) = self.players[b].open.get_mut(&id) {
                        open.answered = true;
                    }
                    self.forget(b, id);
                }
                _ => {}
            }
        }
        self.actions = actions;
    }

    fn sent(&mut self, b: usize, id: RequestId, upstream: UpstreamId, timeout: Option<Duration>) {
        let j = self.day.place(upstream);
        let player = &mut self.players[b];
        player.unsent.asked = 0;
        let (life, told) = (player.life, player.told);
        let Some(open) = player.open.get_mut(&id) else { return };
        open.attempts.push((j, self.now, false));
        let (k, class) = (open.attempts.len() - 1, open.class);
        let until = timeout.map_or(f64::INFINITY, |t| self.now + t.as_secs_f64()).min(open.deadline);
        let starts_cold = j < self.day.cold;
        if starts_cold && self.now >= START {
            if told {
                self.seen.told[j].push(self.now);
            } else {
                self.seen.untold += 1;
            }
        }
        let (when, outcome) = self.serve(j, class, starts_cold);
        let (when, outcome) = if when > until { (until, Outcome::TimedOut) } else { (when, outcome) };
        self.at(when, life, Happening::Ended(b, id, k, outcome));
    }

    /// When an upstream answers, and what.
    fn serve(&mut self, j: usize, class: usize, starts_cold: bool) -> (f64, Outcome) {
        let day = self.day;
        let down = day.kind == Cold::Restarted && (START - day.down..START).contains(&self.now);
        if starts_cold && down {
            return (self.now + AT_ONCE, Outcome::ConnectFailed);
        }
        if starts_cold && self.now >= START && day.hangs_for == Some(class) {
            return (f64::INFINITY, Outcome::TimedOut);
        }
        if day.outage.holds(self.now) {
            return match day.outage.outcome {
                Outcome::TimedOut => (f64::INFINITY, Outcome::TimedOut),
                outcome => (self.now + AT_ONCE, outcome),
            };
        }
        let climb = if starts_cold { day.climb(self.now - START) } else { 1.0 };
        let rate = day.size(j) * day.able * climb;
        let server = &mut self.servers[j];
        server.busy *= (server.busy_at - self.now).exp();
        server.busy_at = self.now;
        if server.free_at - self.now > day.queue {
            return (self.now + AT_ONCE, Outcome::Rejected);
        }
        server.busy += 1.0 / rate;
        server.free_at = server.free_at.max(self.now) + 1.0 / rate;
        let work = day.service * (0.5 + self.chance.f64()) / if day.slow_when_cold { climb } else { 1.0 };
        ((self.now + work).max(server.free_at), Outcome::Ok)
    }

    fn ended(&mut self, b: usize, id: RequestId, k: usize, outcome: Outcome) {
        let player = &mut self.players[b];
        let Some(open) = player.open.get_mut(&id).filter(|o| !o.attempts[k].2) else { return };
        let (j, since, _) = open.attempts[k];
        open.attempts[k].2 = true;
        let served = outcome == Outcome::Ok && !open.answered;
        open.answered |= served;
        if outcome == Outcome::Ok {
            player.unserved.asked = 0;
        }
        self.seen.served += usize::from(served && self.now >= START);
        let report = [self.servers[j].busy.min(1.0) as f32];
        let report = if outcome == Outcome::Ok { &report[..self.day.set.report_fields.len()] } else { &[] };
        let finished = open.answered;
        let ended = Event::AttemptEnded {
            id,
            attempt: AttemptNo(k as u8),
            upstream: self.day.id(j),
            outcome,
            latency: Duration::from_secs_f64(self.now - since),
            is_finished: finished,
            report,
        };
        self.tell(b, ended);
        self.forget(b, id);
    }

    fn forget(&mut self, b: usize, id: RequestId) {
        let open = &mut self.players[b].open;
        if open.get(&id).is_some_and(|o| o.answered && o.attempts.iter().all(|a| a.2)) {
            open.remove(&id);
        }
    }
}
