//! One holder among three sites with two balancers each, under delayed and lost messages, drifting clocks and
//! leader failures.

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

/// Clock that runs at a constant rate relative to real time.
#[derive(Clone, Copy)]
struct Clock(f64);

impl Clock {
    fn read(self, real_time: Duration) -> Duration {
        real_time.mul_f64(self.0)
    }
}

struct Balancer {
    site: usize,
    clock: Clock,
    local: LocalBalancer,
    is_stopped: bool,
    is_cut: bool,
    next_request: Duration,
    /// Leader replies in transit: arrival, request time on the balancer's clock, and state.
    replies: Vec<(Duration, Duration, State)>,
}

struct Router {
    clock: Clock,
    next_poll: Duration,
    /// Answers in transit: arrival, poll time, and validity.
    answers: Vec<(Duration, Duration, Duration)>,
    announced_until: Duration,
}

struct Leader {
    decider: Decider,
    clock: Clock,
    elected: Duration,
    /// By balancer: end of its longest possible lease, and number of the last state that it reported.
    leases: BTreeMap<usize, (Duration, u64)>,
    last_requests: BTreeMap<usize, Duration>,
}

struct Net {
    now: Duration,
    rng: fastrand::Rng,
    balancers: Vec<Balancer>,
    /// Routers; router `n` polls balancer `n`.
    routers: Vec<Router>,
    /// Lease requests in transit: arrival, balancer, request time on the balancer's clock, and state number.
    requests: Vec<(Duration, usize, Duration, u64)>,
    leader: Option<Leader>,
    next_election: Duration,
    log: State,
    proposals: Vec<(Duration, State)>,
    delay_factor: u64,
    holder_changes: usize,
}

fn front_address() -> Address {
    Address { withdraw_after: s(1), ..address(Announce::One, 3, 1) }
}

impl Net {
    fn new(seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut clock = || Clock([0.99, 1.0, 1.01][rng.usize(..3)]);
        let balancer = |n: usize, clock| Balancer {
            site: n / 2,
            clock,
            local: LocalBalancer {
                site: NAMES[n / 2].into(),
                ready: true,
                served: 1.0,
                ..LocalBalancer::default()
            },
            is_stopped: false,
            is_cut: false,
            next_request: Duration::ZERO,
            replies: Vec::new(),
        };
        let balancers = (0..6).map(|n| balancer(n, clock())).collect();
        let routers = (0..6)
            .map(|_| Router {
                clock: clock(),
                next_poll: Duration::ZERO,
                answers: Vec::new(),
                announced_until: Duration::ZERO,
            })
            .collect();
        Self {
            now: s(1),
            rng,
            balancers,
            routers,
            requests: Vec::new(),
            leader: None,
            next_election: s(1),
            log: State::default(),
            proposals: Vec::new(),
            delay_factor: 1,
            holder_changes: 0,
        }
    }

    /// Draws the transit time of a message; one in ten may be delayed by seconds.
    fn draw_delay(&mut self) -> Duration {
        let max_delay_ms = if self.rng.u32(..10) == 0 { 3000 } else { 100 } * self.delay_factor;
        ms(self.rng.u64(..max_delay_ms.max(2)))
    }

    fn elect(&mut self) {
        if self.leader.is_some() || self.now < self.next_election {
            return;
        }
        let clock = Clock([0.99, 1.0, 1.01][self.rng.usize(..3)]);
        let before = (self.log.number > 0).then_some(&self.log);
        let now = clock.read(self.now);
        let decider = Decider::new(vec![front_address()], names(&NAMES), before, now);
        let (leases, last_requests) = (BTreeMap::new(), BTreeMap::new());
        self.leader = Some(Leader { decider, clock, elected: now, leases, last_requests });
    }

    fn run_leader(&mut self) {
        self.elect();
        let real_time = self.now;
        let (arrived, in_transit): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.requests).into_iter().partition(|r| r.0 <= real_time);
        self.requests = in_transit;
        for (_, index, requested_at, number) in arrived {
            let delay = self.draw_delay();
            let Some(leader) = &mut self.leader else { continue };
            let now = leader.clock.read(real_time);
            let lease = leader.leases.entry(index).or_default();
            *lease = (lease.0.max(now + LEASE.mul_f64(1.01 / 0.99)), lease.1.max(number));
            leader.last_requests.insert(index, now);
            self.balancers[index].replies.push((real_time + delay, requested_at, self.log.clone()));
        }
        let (arrived, in_transit): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.proposals).into_iter().partition(|p| p.0 <= real_time);
        self.proposals = in_transit;
        for (_, state) in arrived {
            if state.follows(Some(&self.log)) {
                let holder = |state: &State| state.addresses["front"].holder.clone();
                self.holder_changes +=
                    usize::from(self.log.number > 0 && holder(&state) != holder(&self.log));
                self.log = state;
                if let Some(leader) = &mut self.leader {
                    leader.decider.accepted(&self.log);
                }
            }
        }
        let Some(leader) = &mut self.leader else { return };
        let now = leader.clock.read(real_time);
        let mut behind: BTreeMap<Region, Duration> = BTreeMap::new();
        for (index, balancer) in self.balancers.iter().enumerate() {
            let initial_lease_end = leader.elected + LEASE.mul_f64(1.01 / 0.99);
            let (lease_end, number) = leader
                .leases
                .get(&index)
                .map_or((initial_lease_end, 0), |lease| (lease.0.max(initial_lease_end), lease.1));
            if number < self.log.number && lease_end > now {
                let remaining = behind.entry(Region(balancer.site as u16)).or_default();
                *remaining = (*remaining).max(lease_end - now);
            }
        }
        let in_touch_count = |site: &u16| {
            let balancers_in_touch = leader
                .last_requests
                .iter()
                .filter(|(index, time)| **index / 2 == usize::from(*site) && **time + s(1) > now);
            balancers_in_touch.count()
        };
        let health = (0..3).map(|site| {
            let ready = in_touch_count(&site);
            SiteHealth { region: Region(site), served: 1.0, near: 1.0, ready, cut_off: ready == 0 }
        });
        let health: Vec<_> = health.collect();
        if let Some(state) = leader.decider.tick(now, &health, &behind) {
            let arrival = real_time + self.draw_delay();
            self.proposals.push((arrival, state));
        }
    }

    fn run_balancers(&mut self) {
        let real_time = self.now;
        for n in 0..self.balancers.len() {
            let (poll_delay, answer_delay) = (self.draw_delay(), self.draw_delay());
            let balancer = &mut self.balancers[n];
            let router = &mut self.routers[n];
            // The answer also reaches the router with a delay.
            let (arrived, in_transit): (Vec<_>, Vec<_>) =
                std::mem::take(&mut router.answers).into_iter().partition(|a| a.0 <= real_time);
            router.answers = in_transit;
            for (_, polled, good_for) in arrived {
                router.announced_until =
                    router.announced_until.max(polled + good_for.div_f64(router.clock.0));
            }
            if balancer.is_stopped {
                continue;
            }
            let now = balancer.clock.read(real_time);
            let answer = balancer.local.answer("front", now);
            if let Answer::Announces { good_for, .. } = answer
                && real_time >= router.next_poll
            {
                // The poll was sent earlier, and the answer arrives later.
                router.answers.push((
                    real_time + answer_delay,
                    real_time.saturating_sub(poll_delay),
                    good_for,
                ));
                router.next_poll = real_time + ms(150);
            }
            let (arrived, in_transit): (Vec<_>, Vec<_>) =
                std::mem::take(&mut balancer.replies).into_iter().partition(|reply| reply.0 <= real_time);
            balancer.replies = in_transit;
            if balancer.is_cut {
                continue;
            }
            for (_, requested_at, state) in arrived {
                if balancer.local.state.as_ref().is_some_and(|known| known.number > state.number) {
                    continue;
                }
                let lease_end = requested_at + LEASE.mul_f64(0.99);
                balancer.local.lease_until = balancer.local.lease_until.max(Some(lease_end));
                balancer.local.state = Some(state);
            }
            if now >= balancer.next_request {
                balancer.next_request = now + ms(300);
                let number = balancer.local.state.as_ref().map_or(0, |state| state.number);
                self.requests.push((real_time + poll_delay, n, now, number));
            }
        }
    }

    /// Returns the sites that a router may still send clients to.
    fn announcing_sites(&self) -> Vec<usize> {
        let mut sites = Vec::new();
        for (balancer, router) in self.balancers.iter().zip(&self.routers) {
            let answer = balancer.local.answer("front", balancer.clock.read(self.now));
            let answers_poll = !balancer.is_stopped && matches!(answer, Answer::Announces { .. });
            if (answers_poll || router.announced_until > self.now) && !sites.contains(&balancer.site) {
                sites.push(balancer.site);
            }
        }
        sites
    }

    fn step(&mut self) {
        self.run_leader();
        self.run_balancers();
        let sites = self.announcing_sites();
        assert!(
            sites.len() <= 1,
            "more than one site announces at {:?}: {sites:?} {:#?}",
            self.now,
            self.log
        );
        self.now += TICK;
    }

    fn apply_fault(&mut self, kind: u8, target: usize) {
        let balancer = &mut self.balancers[target];
        match kind {
            0 | 1 => balancer.is_stopped = !balancer.is_stopped,
            2 | 3 => balancer.is_cut = !balancer.is_cut,
            4 => {
                self.leader = None;
                self.next_election = self.now + ms(100 * target as u64);
            }
            5 => self.delay_factor = if self.delay_factor == 1 { 5 } else { 1 },
            6 => {
                // Cuts all balancers of the site, or reconnects them.
                let site = balancer.site;
                for balancer in self.balancers.iter_mut().filter(|balancer| balancer.site == site) {
                    balancer.is_cut = !balancer.is_cut;
                }
            }
            _ => {
                let (name, by) = ("front".into(), "ops".into());
                let order = Order::Move { name, site: NAMES[target / 2].into(), by, anyway: kind == 8 };
                if let Some(Ok(state)) = self.leader.as_ref().map(|leader| leader.decider.order(&order)) {
                    let arrival = self.now + self.draw_delay();
                    self.proposals.push((arrival, state));
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
    fn never_two_sites_announce_under_faults_and_one_does_after_recovery(
        seed: u64, events in prop::collection::vec((0u8..9, 0usize..6, 1u32..60), 1..25),
    ) {
        let mut net = Net::new(seed);
        (0..200).for_each(|_| net.step());
        prop_assert_eq!(net.announcing_sites().len(), 1);
        for (kind, target, ticks) in events {
            net.apply_fault(kind, target);
            (0..ticks).for_each(|_| net.step());
        }
        for balancer in &mut net.balancers {
            (balancer.is_stopped, balancer.is_cut) = (false, false);
        }
        net.delay_factor = 1;
        (0..400).for_each(|_| net.step());
        let mut steps_without_announcer = 0;
        for _ in 0..60 {
            net.step();
            steps_without_announcer += u32::from(net.announcing_sites().is_empty());
        }
        prop_assert_eq!(steps_without_announcer, 0, "no site announces after recovery: {:#?}", net.log);
    }
}
