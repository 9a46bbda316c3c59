//! One holder among three sites of two balancers each, with words that are late or lost, clocks that go wrong, leaders that die.

mod common;

use common::{address, ms, names, s};
use maplehook_address_announcement::{
    Address, Announce, Answer, Decider, LocalBalancer, Order, SiteHealth, State,
};
use maplehook_locality::Region;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::BTreeMap;
use std::time::Duration;

const TICK: Duration = Duration::from_millis(50);
const LEASE: Duration = Duration::from_secs(4);
const NAMES: [&str; 3] = ["a", "b", "c"];

/// A clock: its rate, by which it is wrong for good.
#[derive(Clone, Copy)]
struct Clock(f64);

impl Clock {
    fn at(self, real: Duration) -> Duration {
        real.mul_f64(self.0)
    }
}

struct Balancer {
    site: usize,
    clock: Clock,
    own: LocalBalancer,
    stopped: bool,
    cut: bool,
    next_ask: Duration,
    /// The leader's answers under way: when each comes, when it was asked for (by the own clock), and what it says.
    words: Vec<(Duration, Duration, State)>,
}

struct Router {
    clock: Clock,
    next: Duration,
    /// Answers under way: when each comes, when it was asked for, and for how long it is good.
    answers: Vec<(Duration, Duration, Duration)>,
    until: Duration,
}

struct Leader {
    decider: Decider,
    clock: Clock,
    elected: Duration,
    /// By balancer: until when its lease may last, and the number that it acts on.
    held: BTreeMap<usize, (Duration, u64)>,
    heard: BTreeMap<usize, Duration>,
}

struct Net {
    now: Duration,
    chance: fastrand::Rng,
    balancers: Vec<Balancer>,
    /// By balancer: one that asks it.
    routers: Vec<Router>,
    /// Requests under way: when each comes, from whom, asked when by its clock, at what number.
    requests: Vec<(Duration, usize, Duration, u64)>,
    leader: Option<Leader>,
    elects: Duration,
    log: State,
    proposals: Vec<(Duration, State)>,
    slow: u64,
    holders: usize,
}

fn front() -> Address {
    Address { withdraw_after: s(1), ..address(Announce::One, 3, 1) }
}

impl Net {
    fn new(seed: u64) -> Self {
        let mut chance = fastrand::Rng::with_seed(seed);
        let mut clock = || Clock([0.99, 1.0, 1.01][chance.usize(..3)]);
        let balancer = |n: usize, clock| Balancer {
            site: n / 2,
            clock,
            own: LocalBalancer {
                site: NAMES[n / 2].into(),
                ready: true,
                served: 1.0,
                ..LocalBalancer::default()
            },
            stopped: false,
            cut: false,
            next_ask: Duration::ZERO,
            words: Vec::new(),
        };
        let balancers = (0..6).map(|n| balancer(n, clock())).collect();
        let routers = (0..6)
            .map(|_| Router {
                clock: clock(),
                next: Duration::ZERO,
                answers: Vec::new(),
                until: Duration::ZERO,
            })
            .collect();
        Self {
            now: s(1),
            chance,
            balancers,
            routers,
            requests: Vec::new(),
            leader: None,
            elects: s(1),
            log: State::default(),
            proposals: Vec::new(),
            slow: 1,
            holders: 0,
        }
    }

    /// How long something takes on its way; seldom very long.
    fn way(&mut self) -> Duration {
        let most = if self.chance.u32(..10) == 0 { 3000 } else { 100 } * self.slow;
        ms(self.chance.u64(..most.max(2)))
    }

    fn elect(&mut self) {
        if self.leader.is_some() || self.now < self.elects {
            return;
        }
        let clock = Clock([0.99, 1.0, 1.01][self.chance.usize(..3)]);
        let before = (self.log.number > 0).then_some(&self.log);
        let now = clock.at(self.now);
        let decider = Decider::new(vec![front()], names(&NAMES), before, now);
        let (held, heard) = (BTreeMap::new(), BTreeMap::new());
        self.leader = Some(Leader { decider, clock, elected: now, held, heard });
    }

    fn lead(&mut self) {
        self.elect();
        let real = self.now;
        let (come, still): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.requests).into_iter().partition(|r| r.0 <= real);
        self.requests = still;
        for (_, who, asked, number) in come {
            let way = self.way();
            let Some(leader) = &mut self.leader else { continue };
            let now = leader.clock.at(real);
            let held = leader.held.entry(who).or_default();
            *held = (held.0.max(now + LEASE.mul_f64(1.01 / 0.99)), held.1.max(number));
            leader.heard.insert(who, now);
            self.balancers[who].words.push((real + way, asked, self.log.clone()));
        }
        let (come, still): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.proposals).into_iter().partition(|p| p.0 <= real);
        self.proposals = still;
        for (_, state) in come {
            if state.follows(Some(&self.log)) {
                let holder = |state: &State| state.addresses["front"].holder.clone();
                self.holders += usize::from(self.log.number > 0 && holder(&state) != holder(&self.log));
                self.log = state;
                if let Some(leader) = &mut self.leader {
                    leader.decider.accepted(&self.log);
                }
            }
        }
        let Some(leader) = &mut self.leader else { return };
        let now = leader.clock.at(real);
        let mut behind: BTreeMap<Region, Duration> = BTreeMap::new();
        for (who, balancer) in self.balancers.iter().enumerate() {
            let elected = leader.elected + LEASE.mul_f64(1.01 / 0.99);
            let (until, number) =
                leader.held.get(&who).map_or((elected, 0), |held| (held.0.max(elected), held.1));
            if number < self.log.number && until > now {
                let left = behind.entry(Region(balancer.site as u16)).or_default();
                *left = (*left).max(until - now);
            }
        }
        let touch = |site: &u16| {
            let heard =
                leader.heard.iter().filter(|(who, at)| **who / 2 == usize::from(*site) && **at + s(1) > now);
            heard.count()
        };
        let health = (0..3).map(|site| {
            let ready = touch(&site);
            SiteHealth { region: Region(site), served: 1.0, near: 1.0, ready, cut_off: ready == 0 }
        });
        let health: Vec<_> = health.collect();
        if let Some(state) = leader.decider.tick(now, &health, &behind) {
            let at = real + self.way();
            self.proposals.push((at, state));
        }
    }

    fn serve(&mut self) {
        let real = self.now;
        for n in 0..self.balancers.len() {
            let (there, back) = (self.way(), self.way());
            let balancer = &mut self.balancers[n];
            let router = &mut self.routers[n];
            // What a router is told comes late, too.
            let (come, still): (Vec<_>, Vec<_>) =
                std::mem::take(&mut router.answers).into_iter().partition(|a| a.0 <= real);
            router.answers = still;
            for (_, polled, good_for) in come {
                router.until = router.until.max(polled + good_for.div_f64(router.clock.0));
            }
            if balancer.stopped {
                continue;
            }
            let now = balancer.clock.at(real);
            let answer = balancer.own.answer("front", now);
            if let Answer::Announces { good_for, .. } = answer
                && real >= router.next
            {
                // It was asked a while ago, and the answer comes later still.
                router.answers.push((real + back, real.saturating_sub(there), good_for));
                router.next = real + ms(150);
            }
            let (come, still): (Vec<_>, Vec<_>) =
                std::mem::take(&mut balancer.words).into_iter().partition(|word| word.0 <= real);
            balancer.words = still;
            if balancer.cut {
                continue;
            }
            for (_, asked, state) in come {
                if balancer.own.state.as_ref().is_some_and(|known| known.number > state.number) {
                    continue;
                }
                let until = asked + LEASE.mul_f64(0.99);
                balancer.own.lease_until = balancer.own.lease_until.max(Some(until));
                balancer.own.state = Some(state);
            }
            if now >= balancer.next_ask {
                balancer.next_ask = now + ms(300);
                let number = balancer.own.state.as_ref().map_or(0, |state| state.number);
                self.requests.push((real + there, n, now, number));
            }
        }
    }

    /// The sites that somebody may be sent to.
    fn announce(&self) -> Vec<usize> {
        let mut sites = Vec::new();
        for (balancer, router) in self.balancers.iter().zip(&self.routers) {
            let answer = balancer.own.answer("front", balancer.clock.at(self.now));
            let says = !balancer.stopped && matches!(answer, Answer::Announces { .. });
            if (says || router.until > self.now) && !sites.contains(&balancer.site) {
                sites.push(balancer.site);
            }
        }
        sites
    }

    fn step(&mut self) {
        self.lead();
        self.serve();
        let sites = self.announce();
        assert!(sites.len() <= 1, "at {:?}: {sites:?} {:#?}", self.now, self.log);
        self.now += TICK;
    }

    fn befall(&mut self, what: u8, whom: usize) {
        let balancer = &mut self.balancers[whom];
        match what {
            0 | 1 => balancer.stopped = !balancer.stopped,
            2 | 3 => balancer.cut = !balancer.cut,
            4 => {
                self.leader = None;
                self.elects = self.now + ms(100 * whom as u64);
            }
            5 => self.slow = if self.slow == 1 { 5 } else { 1 },
            6 => {
                // A whole site.
                let site = balancer.site;
                for balancer in self.balancers.iter_mut().filter(|balancer| balancer.site == site) {
                    balancer.cut = !balancer.cut;
                }
            }
            _ => {
                let (name, by) = ("front".into(), "ops".into());
                let order = Order::Move { name, site: NAMES[whom / 2].into(), by, anyway: what == 8 };
                if let Some(Ok(state)) = self.leader.as_ref().map(|leader| leader.decider.order(&order)) {
                    let at = self.now + self.way();
                    self.proposals.push((at, state));
                }
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64, failure_persistence: None, rng_seed: RngSeed::Fixed(34), ..ProptestConfig::default()
    })]

    #[test]
    fn never_two_sites_whatever_is_late_or_lost_and_one_again_once_it_is_over(
        seed: u64, events in prop::collection::vec((0u8..9, 0usize..6, 1u32..60), 1..25),
    ) {
        let mut net = Net::new(seed);
        (0..200).for_each(|_| net.step());
        prop_assert_eq!(net.announce().len(), 1);
        for (what, whom, ticks) in events {
            net.befall(what, whom);
            (0..ticks).for_each(|_| net.step());
        }
        for balancer in &mut net.balancers {
            (balancer.stopped, balancer.cut) = (false, false);
        }
        net.slow = 1;
        (0..400).for_each(|_| net.step());
        let mut none = 0;
        for _ in 0..60 {
            net.step();
            none += u32::from(net.announce().is_empty());
        }
        prop_assert_eq!(none, 0, "{:#?}", net.log);
    }
}
