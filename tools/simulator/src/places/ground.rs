//! What is true: zones, what they can take, who is asked, which ways stand.

use maplehook_locality::{Topology, Zone};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// A step of the emulation.
pub const STEP: Duration = Duration::from_millis(100);
/// A step in seconds.
pub const STEP_S: f64 = 0.1;
/// Requests a second that a balancer is asked for on a calm day, about.
const EACH: f64 = 24.0;
/// Share of its room that a zone is asked for on a calm day, about.
const CALM: f64 = 0.47;
/// Until clients whose balancers are gone find others.
const FRONT: Duration = Duration::from_secs(1);

/// How a zone really is.
#[derive(Clone, Debug, PartialEq)]
pub struct Truth {
    /// Requests a second that it takes when all of it is well and warm.
    pub room: f64,
    /// Share of its upstreams that run.
    pub up: f64,
    /// Share of requests that fail there, whoever sends them.
    pub failing: f64,
    /// Share that is answered late.
    pub slow: f64,
    /// Share of its room that warm upstreams make; it rises to 1.
    pub warm: f64,
    /// Requests a second that its clients ask for.
    pub asked: f64,
    /// Times that.
    pub crowd: f64,
}

impl Truth {
    /// What it can take now.
    pub fn bears(&self) -> f64 {
        self.room * self.up * self.warm
    }

    /// What of that comes to something.
    pub fn sound(&self) -> f64 {
        self.bears() * (1.0 - self.failing) * (1.0 - self.slow)
    }
}

/// A balancer.
#[derive(Clone, Debug, PartialEq)]
pub struct Post {
    /// Its zone.
    pub zone: usize,
    /// It runs.
    pub up: bool,
    /// It runs, and does nothing: neither clients nor words.
    pub stopped: bool,
    /// Its own network is bad: it reaches no upstream, though others do.
    pub blind: bool,
    /// It reports wild figures.
    pub lies: bool,
    /// Its program knows no places.
    pub old: bool,
}

impl Post {
    /// It takes clients.
    pub fn serves(&self) -> bool {
        self.up && !self.stopped
    }
}

/// What changes.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// Share of a zone's upstreams that run.
    Up(usize, f64),
    /// Share of requests that fail in a zone.
    Failing(usize, f64),
    /// Share that is late.
    Slow(usize, f64),
    /// A zone's upstreams are as warm as this, and warm up.
    Warm(usize, f64),
    /// Times a zone's clients.
    Crowd(usize, f64),
    /// All balancers of a zone run, or none.
    Posts(usize, bool),
    /// One balancer runs, or not.
    Post(usize, bool),
    /// One is stopped, or goes on.
    Stopped(usize, bool),
    /// Whoever leads is stopped, or who was goes on.
    LeaderStopped(bool),
    /// One balancer's own network is bad, or no more.
    Blind(usize, bool),
    /// One reports wild figures, or no more.
    Lies(usize, bool),
    /// One zone's balancers reach another's upstreams, or no more.
    Reach(usize, usize, bool),
    /// Two zones' balancers hear each other, or no more.
    Talk(usize, usize, bool),
    /// Words take so much longer.
    Late(Duration),
    /// Share of words that are lost.
    Loss(f64),
}

/// Everything that is true.
#[derive(Clone, Debug)]
pub struct Ground {
    /// Regions and zones.
    pub topology: Topology,
    /// By zone.
    pub zones: Vec<Truth>,
    /// By balancer.
    pub posts: Vec<Post>,
    /// Whether a zone's balancers reach another's upstreams.
    pub reach: Vec<Vec<bool>>,
    /// Whether two zones' balancers hear each other.
    pub talk: Vec<Vec<bool>>,
    /// Words take so much longer than they do.
    pub late: Duration,
    /// Share of words that are lost.
    pub loss: f64,
    /// Whether rooms are stated; else they are weights.
    pub stated: bool,
    /// For how long a zone has had no balancer that serves.
    pub bare: Vec<Duration>,
}

impl Ground {
    /// Two regions of two zones, with rooms and clients as the seed has them.
    pub fn new(balancers: usize, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x9_1ace5);
        let mut topology = Topology::new([("north", vec!["a", "b"]), ("south", vec!["c", "d"])])
            .unwrap_or_else(|_| Topology::default());
        let zones: Vec<Zone> = topology.zones().collect();
        for a in &zones {
            for b in zones.iter().filter(|b| *b > a) {
                let near = topology.region_of(*a) == topology.region_of(*b);
                let ms = if near { 1..3 } else { 20..60 };
                topology.set_rtt(*a, *b, Duration::from_millis(rng.random_range(ms)));
            }
        }
        let count = zones.len();
        let each = EACH * balancers as f64 / count as f64;
        let truth = |_: &Zone| {
            let asked = each * rng.random_range(0.85..1.15);
            let room = asked / (CALM * rng.random_range(0.85..1.1));
            Truth { room, up: 1.0, failing: 0.0, slow: 0.0, warm: 1.0, asked, crowd: 1.0 }
        };
        let zones: Vec<Truth> = zones.iter().map(truth).collect();
        let post = |n: usize| Post {
            zone: n % count,
            up: true,
            stopped: false,
            blind: false,
            lies: false,
            old: false,
        };
        Self {
            topology,
            zones,
            posts: (0..balancers).map(post).collect(),
            reach: vec![vec![true; count]; count],
            talk: vec![vec![true; count]; count],
            late: Duration::ZERO,
            loss: 0.0,
            // One in four has rooms that nobody states.
            stated: seed % 4 != 3,
            bare: vec![Duration::ZERO; count],
        }
    }

    /// Something changes; `leader` is who leads.
    pub fn change(&mut self, change: &Change, leader: Option<usize>, stopped: &mut Option<usize>) {
        match *change {
            Change::Up(zone, up) => self.zones[zone].up = up,
            Change::Failing(zone, share) => self.zones[zone].failing = share,
            Change::Slow(zone, share) => self.zones[zone].slow = share,
            Change::Warm(zone, warm) => self.zones[zone].warm = warm,
            Change::Crowd(zone, times) => self.zones[zone].crowd = times,
            Change::Posts(zone, up) => {
                self.posts.iter_mut().filter(|post| post.zone == zone).for_each(|post| post.up = up);
            }
            Change::Post(n, up) => self.posts[n].up = up,
            Change::Stopped(n, is) => self.posts[n].stopped = is,
            Change::LeaderStopped(true) => {
                *stopped = leader;
                leader.into_iter().for_each(|n| self.posts[n].stopped = true);
            }
            Change::LeaderStopped(false) => {
                stopped.take().into_iter().for_each(|n| self.posts[n].stopped = false);
            }
            Change::Blind(n, is) => self.posts[n].blind = is,
            Change::Lies(n, is) => self.posts[n].lies = is,
            Change::Reach(from, to, is) => self.reach[from][to] = is,
            Change::Talk(a, b, is) => (self.talk[a][b], self.talk[b][a]) = (is, is),
            Change::Late(late) => self.late = late,
            Change::Loss(loss) => self.loss = loss,
        }
    }

    /// A step passes: what is cold gets warm.
    pub fn pass(&mut self) {
        for zone in &mut self.zones {
            zone.warm = (zone.warm + STEP_S / 10.0).min(1.0);
        }
        for zone in 0..self.zones.len() {
            let serves = self.posts.iter().any(|post| post.zone == zone && post.serves());
            self.bare[zone] = if serves { Duration::ZERO } else { self.bare[zone] + STEP };
        }
    }

    /// What each balancer is asked for, by zone that clients come into, and what finds no balancer.
    pub fn demand(&self) -> (Vec<f64>, f64) {
        let count = self.zones.len();
        let mut serving = vec![0usize; count];
        self.posts.iter().filter(|post| post.serves()).for_each(|post| serving[post.zone] += 1);
        let (mut comes, mut lost) = (vec![0.0; count], 0.0);
        for (zone, truth) in self.zones.iter().enumerate() {
            let asked = truth.asked * truth.crowd;
            let place = Zone(zone as u16);
            // Where nobody serves, the nearest that do, after a while.
            let trip = |to: &usize| self.topology.rtt(place, Zone(*to as u16));
            let other = (0..count).filter(|to| serving[*to] > 0).min_by_key(|to| (trip(to), *to));
            match other {
                _ if serving[zone] > 0 => comes[zone] += asked,
                Some(other) if self.bare[zone] >= FRONT => comes[other] += asked,
                _ => lost += asked,
            }
        }
        let each = |zone: usize| if serving[zone] > 0 { comes[zone] / serving[zone] as f64 } else { 0.0 };
        ((0..count).map(each).collect(), lost)
    }

    /// Whether a zone does nobody good who is sent there from this one.
    pub fn is_bad(&self, from: usize, to: usize) -> bool {
        let zone = &self.zones[to];
        !self.reach[from][to] || zone.up < 0.05 || zone.failing > 0.5 || zone.slow > 0.5
    }
}
