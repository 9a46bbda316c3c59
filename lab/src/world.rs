//! A world, and how it is played.

use crate::agenda::Agenda;
use crate::peers::Decides;
use crate::report::Report;
use crate::station::{Came, Hall, Station};
use crate::time::Time;
use lapisroute::{
    Action, AttemptNo, Availability, CellId, Class, ClassId, Effect, Event, FleetScope, KindId, Listed,
    Outcome, RequestId, TenantId, TimerId, UpstreamId, ZoneId,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::fmt;
use std::time::Duration;

/// Requests that may be in hand at once: a world with more has jammed.
const HELD_MOST: usize = 4_000_000;

/// Who asks.
#[derive(Clone, Debug, PartialEq)]
pub struct Load {
    /// Requests a second over all balancers, by a Poisson process.
    pub rate: f64,
    /// Tenants, equally likely.
    pub tenants: u32,
    /// Classes, with their share.
    pub shares: Vec<f64>,
}

/// A world.
#[derive(Clone, Debug, PartialEq)]
pub struct World {
    /// How long clients ask.
    pub lasts: Duration,
    /// What happens before this counts in no figure.
    pub settles: Duration,
    /// Balancers, which clients use in turn at random.
    pub balancers: usize,
    /// Upstreams.
    pub stations: Vec<Station>,
    /// The way between a balancer and an upstream, each way.
    pub network: Time,
    /// The classes.
    pub classes: Vec<Class>,
    /// Who asks.
    pub load: Load,
    /// The seed of all chance.
    pub seed: u64,
}

/// Why a world is not played.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refused(String);

impl fmt::Display for Refused {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for Refused {}

impl World {
    fn check(&self) -> Result<(), Refused> {
        let sound = [
            (self.balancers > 0, "a balancer at least"),
            (!self.stations.is_empty(), "an upstream at least"),
            (self.stations.iter().all(|s| s.servers > 0), "an upstream has a server at least"),
            (
                !self.classes.is_empty() && self.classes.len() == self.load.shares.len(),
                "a share for each class",
            ),
            (
                self.load.shares.iter().all(|s| *s >= 0.0) && self.load.shares.iter().sum::<f64>() > 0.0,
                "shares",
            ),
            (self.load.rate > 0.0 && self.load.rate.is_finite(), "a rate above nil"),
            (self.settles <= self.lasts, "it settles before it ends"),
        ];
        match sound.iter().find(|(sound, _)| !sound) {
            Some((_, what)) => Err(Refused(format!("the world has no {what}"))),
            None => Ok(()),
        }
    }
}

enum What {
    Asks,
    Reaches(u32, u8),
    Done(u32, u8),
    Returns(u32, u8, Outcome),
    GiveUp(u32, u8),
    Timer(usize, TimerId),
}

struct Attempt {
    upstream: usize,
    sent: Duration,
    reached: Duration,
    out: bool,
}

struct Request {
    balancer: usize,
    class: usize,
    born: Duration,
    counts: bool,
    answered: bool,
    ran: u32,
    attempts: Vec<Attempt>,
}

struct Play<'a> {
    world: &'a World,
    policies: Vec<Box<dyn Decides>>,
    agenda: Agenda<What>,
    halls: Vec<Hall<(u32, u8)>>,
    requests: Vec<Request>,
    open: usize,
    /// Chance of clients, of services and of the network: what one draws changes nothing of the others.
    chance: [ChaCha8Rng; 3],
    report: Report,
    actions: Vec<Action>,
}

/// Plays a world with one policy for each balancer. It ends when everything has its answer.
pub fn run(world: &World, policies: Vec<Box<dyn Decides>>) -> Result<Report, Refused> {
    world.check()?;
    if policies.len() != world.balancers {
        return Err(Refused(format!("{} policies for {} balancers", policies.len(), world.balancers)));
    }
    let chance = [1, 2, 3].map(|n| ChaCha8Rng::seed_from_u64(world.seed.wrapping_mul(4).wrapping_add(n)));
    let mut play = Play {
        world,
        policies,
        agenda: Agenda::new(),
        halls: world.stations.iter().map(|_| Hall { busy: 0, waiting: Default::default() }).collect(),
        requests: Vec::new(),
        open: 0,
        chance,
        report: Report::new().map_err(Refused)?,
        actions: Vec::new(),
    };
    play.start();
    play.play();
    Ok(play.report)
}

impl Play<'_> {
    fn start(&mut self) {
        let listed: Vec<Listed> = (0..self.world.stations.len())
            .map(|n| Listed {
                id: UpstreamId(n as u64),
                zone: ZoneId(0),
                kind: KindId(0),
                cell: CellId(0),
                availability: Availability::Ready,
                weight: 1.0,
                started: None,
            })
            .collect();
        for balancer in 0..self.policies.len() {
            self.tell(balancer, Event::Fleet { scope: FleetScope::Cached, listed: &listed });
        }
        self.agenda.after(Duration::ZERO, What::Asks);
    }

    fn play(&mut self) {
        while let Some(what) = self.agenda.next() {
            let now = self.agenda.now();
            // Only timers are left, which never end.
            if now > self.world.lasts && self.open == 0 {
                break;
            }
            if self.open > HELD_MOST || self.agenda.len() > 4 * HELD_MOST {
                self.report.jammed = true;
                break;
            }
            match what {
                What::Asks => self.asks(now),
                What::Reaches(request, no) => self.reaches(now, request, no),
                What::Done(request, no) => self.done(now, request, no),
                What::Returns(request, no, outcome) => self.ended(now, request, no, outcome),
                What::GiveUp(request, no) => self.ended(now, request, no, Outcome::TimedOut),
                What::Timer(balancer, timer) => self.tell(balancer, Event::Timer { timer }),
            }
        }
    }

    fn asks(&mut self, now: Duration) {
        if now >= self.world.lasts || self.requests.len() >= u32::MAX as usize {
            return;
        }
        let load = &self.world.load;
        let gap = Time::Exponential(Duration::from_secs_f64(1.0 / load.rate)).draw(&mut self.chance[0]);
        self.agenda.after(gap, What::Asks);
        let balancer = self.chance[0].random_range(0..self.world.balancers);
        let tenant = self.chance[0].random_range(0..load.tenants.max(1));
        let mut mark = self.chance[0].random::<f64>() * load.shares.iter().sum::<f64>();
        let class = load.shares.iter().position(|share| {
            mark -= share;
            mark < 0.0
        });
        let class = class.unwrap_or(load.shares.len() - 1);
        let id = self.requests.len() as u32;
        let counts = now >= self.world.settles;
        self.report.asked += u64::from(counts);
        self.requests.push(Request {
            balancer,
            class,
            born: now,
            counts,
            answered: false,
            ran: 0,
            attempts: Vec::new(),
        });
        self.open += 1;
        let time_left = self.world.classes[class].deadline;
        self.tell(
            balancer,
            Event::Request {
                id: RequestId(id),
                class: ClassId(class as u16),
                tenant: TenantId(tenant),
                time_left,
                work_ms: None,
                repeat: false,
            },
        );
    }

    fn tell(&mut self, balancer: usize, event: Event<'_>) {
        let mut actions = std::mem::take(&mut self.actions);
        self.policies[balancer].handle(self.agenda.now(), event, &mut actions);
        for action in actions.drain(..) {
            self.carry_out(balancer, action);
        }
        self.actions = actions;
    }

    fn carry_out(&mut self, balancer: usize, action: Action) {
        let now = self.agenda.now();
        match action {
            Action::Attempt { id, upstream, timeout } => {
                let Some(request) = self.requests.get_mut(id.0 as usize) else { return };
                let no = request.attempts.len() as u8;
                let upstream = upstream.0 as usize;
                let left = (request.born + self.world.classes[request.class].deadline).saturating_sub(now);
                request.attempts.push(Attempt { upstream, sent: now, reached: now, out: true });
                self.report.further += u64::from(request.counts && no > 0);
                self.report.note(now, u64::from(id.0) << 32 | upstream as u64);
                let way = self.world.network.draw(&mut self.chance[2]);
                self.agenda.after(way, What::Reaches(id.0, no));
                self.agenda.after(timeout.map_or(left, |t| t.min(left)), What::GiveUp(id.0, no));
            }
            Action::Cancel { id, attempt } => {
                self.agenda.after(Duration::ZERO, What::Returns(id.0, attempt.0, Outcome::Cancelled))
            }
            Action::Refuse { id, .. } => self.answer(id.0, false),
            Action::Fail { id } => self.answer(id.0, true),
            Action::Timer { after, timer } => self.agenda.after(after, What::Timer(balancer, timer)),
            Action::WatchFleet
            | Action::FetchFleet
            | Action::CloseIdle { .. }
            | Action::Probe { .. }
            | Action::Log { .. } => {}
        }
    }

    fn answer(&mut self, id: u32, failed: bool) {
        let now = self.agenda.now();
        let Some(request) = self.requests.get_mut(id as usize).filter(|r| !r.answered) else { return };
        request.answered = true;
        (self.open, self.report.lasted) = (self.open - 1, now);
        self.report.note(now, u64::from(id) | 1 << 40);
        if request.counts {
            let place = if failed { &mut self.report.failed } else { &mut self.report.refused };
            *place += 1;
        }
    }

    fn reaches(&mut self, now: Duration, id: u32, no: u8) {
        let attempt = &mut self.requests[id as usize].attempts[usize::from(no)];
        // Given up on the way: its connection has ended before it came.
        if !attempt.out {
            return;
        }
        attempt.reached = now;
        let upstream = attempt.upstream;
        match self.halls[upstream].come(&self.world.stations[upstream], (id, no)) {
            Came::Served => self.begin(now, id, no),
            Came::Waits => {}
            Came::Full => {
                self.report.full += u64::from(self.requests[id as usize].counts);
                let way = self.world.network.draw(&mut self.chance[2]);
                self.agenda.after(way, What::Returns(id, no, Outcome::Rejected));
            }
        }
    }

    fn begin(&mut self, now: Duration, id: u32, no: u8) {
        let request = &mut self.requests[id as usize];
        request.ran += 1;
        let unsafe_again = request.ran == 2 && self.world.classes[request.class].effect == Effect::AtMostOnce;
        self.report.twice += u64::from(unsafe_again);
        let attempt = &request.attempts[usize::from(no)];
        if request.counts {
            self.report.waited.saturating_record((now - attempt.reached).as_micros() as u64);
        }
        let takes = self.world.stations[attempt.upstream].service.draw(&mut self.chance[1]);
        self.report.worked += takes;
        self.agenda.after(takes, What::Done(id, no));
    }

    fn done(&mut self, now: Duration, id: u32, no: u8) {
        let upstream = self.requests[id as usize].attempts[usize::from(no)].upstream;
        let way = self.world.network.draw(&mut self.chance[2]);
        self.agenda.after(way, What::Returns(id, no, Outcome::Ok));
        // Whoever has been given up meanwhile is not worked on.
        while let Some((next, attempt)) = self.halls[upstream].done() {
            if self.requests[next as usize].attempts[usize::from(attempt)].out {
                self.begin(now, next, attempt);
                break;
            }
        }
    }

    fn ended(&mut self, now: Duration, id: u32, no: u8, outcome: Outcome) {
        let request = &mut self.requests[id as usize];
        let attempt = &mut request.attempts[usize::from(no)];
        if !std::mem::replace(&mut attempt.out, false) {
            return;
        }
        let (upstream, latency, balancer) = (attempt.upstream, now - attempt.sent, request.balancer);
        if outcome == Outcome::Ok && !request.answered {
            request.answered = true;
            (self.open, self.report.lasted) = (self.open - 1, now);
            if request.counts {
                let took = now - request.born;
                self.report.served += 1;
                self.report.in_time += u64::from(took <= self.world.classes[request.class].aim);
                self.report.latency.saturating_record(took.as_micros() as u64);
            }
        }
        let finished = request.answered;
        self.report.note(now, u64::from(id) | u64::from(no) << 48);
        self.tell(
            balancer,
            Event::AttemptEnded {
                id: RequestId(id),
                attempt: AttemptNo(no),
                upstream: UpstreamId(upstream as u64),
                outcome,
                latency,
                finished,
                report: &[],
            },
        );
    }
}
