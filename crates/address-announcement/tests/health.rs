//! Random sequences of site health for an address of kind `Many`.

mod common;

use common::{Run, address, ms, names, s};
use maplehook_address_announcement::{Announce, Answer, Decider, LocalBalancer, Phase};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::BTreeMap;
use std::time::Duration;

const LEASE: Duration = Duration::from_secs(4);

#[derive(Clone, Debug)]
struct HealthChange {
    site: usize,
    served: f64,
    ready: usize,
    cut_off: bool,
    ticks: u32,
    new_leader: bool,
}

fn health_changes() -> impl Strategy<Value = Vec<HealthChange>> {
    let served = prop_oneof![Just(0.0), Just(0.5), Just(0.93), Just(1.0), Just(f64::NAN)];
    let change =
        (0usize..4, served, 0usize..3, prop::bool::weighted(0.3), 1u32..120, prop::bool::weighted(0.1));
    let change = change.prop_map(|(site, served, ready, cut_off, ticks, new_leader)| HealthChange {
        site,
        served,
        ready,
        cut_off,
        ticks,
        new_leader,
    });
    prop::collection::vec(change, 1..25)
}

/// Checks each agreed state and each change between two states.
#[derive(Default)]
struct StateChecker {
    /// Time since which each site has had the takeover preference.
    takeover_since: BTreeMap<String, Duration>,
    announcing: BTreeMap<String, u32>,
    withdrawals: u32,
    checked_states: usize,
}

impl StateChecker {
    fn check(&mut self, run: &Run, keep_at_least: usize) {
        let minimum = keep_at_least.min(run.sites.len());
        for (at, state) in &run.log[self.checked_states..] {
            let current = &state.addresses["front"];
            assert!(current.announcing.len() >= minimum, "fewer than {minimum} sites announce: {current:#?}");
            let withdrawn =
                self.announcing.keys().filter(|site| !current.announcing.contains_key(*site)).count();
            if withdrawn > 0 {
                let has_taken_over = |(site, since): (&String, &Duration)| {
                    current.announcing.contains_key(site) && *at >= *since + s(1)
                };
                assert!(
                    self.takeover_since.iter().any(has_taken_over),
                    "withdrawn before another site had the takeover preference for 1 s: {current:#?}"
                );
            }
            self.withdrawals += withdrawn as u32;
            self.takeover_since.retain(|site, _| current.announcing.get(site) == Some(&400));
            for (site, _) in current.announcing.iter().filter(|(_, preference)| **preference == 400) {
                self.takeover_since.entry(site.clone()).or_insert(*at);
            }
            self.announcing = current.announcing.clone();
        }
        self.checked_states = run.log.len();
    }
}

/// One balancer per site.
struct Balancers {
    balancers: Vec<LocalBalancer>,
    /// Time since which each site can serve its demand.
    healthy_since: Vec<Option<Duration>>,
    in_touch_since: Vec<Option<Duration>>,
}

impl Balancers {
    fn update(&mut self, run: &Run) {
        for (n, site) in run.sites.iter().enumerate() {
            let balancer = &mut self.balancers[n];
            (balancer.ready, balancer.served) = (site.ready > 0, site.served);
            if !site.cut_off {
                balancer.state = Some(run.decider.state().clone());
                balancer.lease_until = Some(run.now + LEASE);
            }
            let is_healthy = balancer.ready && site.served >= 0.97;
            let since = |before: Option<Duration>, is_true: bool| is_true.then(|| before.unwrap_or(run.now));
            self.healthy_since[n] = since(self.healthy_since[n], is_healthy);
            self.in_touch_since[n] = since(self.in_touch_since[n], is_healthy && !site.cut_off);
        }
    }

    /// Checks that a site that can serve announces the address once a site has been healthy for long enough
    /// for every balancer to know.
    fn check(&self, now: Duration) {
        let lasted = |since: &Option<Duration>, time| since.is_some_and(|since| now >= since + time);
        let is_known = self.in_touch_since.iter().any(|since| lasted(since, ms(500)))
            || self.healthy_since.iter().any(|since| lasted(since, LEASE + ms(500)));
        let announces = |n: &usize| {
            let balancer = &self.balancers[*n];
            let can_serve = balancer.ready && (balancer.served.is_nan() || balancer.served >= 0.9);
            can_serve && matches!(balancer.answer("front", now), Answer::Announces { .. })
        };
        assert!(
            !is_known || (0..self.balancers.len()).any(|n| announces(&n)),
            "no site announces although one is healthy: {:#?}",
            self.balancers
        );
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 96, failure_persistence: None, rng_seed: RngSeed::Fixed(34), ..ProptestConfig::default()
    })]

    #[test]
    fn keeps_enough_sites_raises_others_before_withdrawals_and_announces_a_healthy_site(
        health_changes in health_changes(), sites in 2u16..5, keep_at_least in 1usize..4,
    ) {
        let mut run = Run::new(address(Announce::Many, sites, keep_at_least));
        let mut checker = StateChecker::default();
        let balancer = |site: &str| LocalBalancer { site: site.into(), ..LocalBalancer::default() };
        let site_names = ["a", "b", "c", "d"][..usize::from(sites)].to_vec();
        let mut balancers = Balancers {
            balancers: site_names.iter().map(|site| balancer(site)).collect(),
            healthy_since: vec![None; site_names.len()],
            in_touch_since: vec![None; site_names.len()],
        };
        run.run(s(1));
        for change in health_changes {
            let site = change.site % run.sites.len();
            let health = &mut run.sites[site];
            (health.served, health.ready, health.cut_off) = (change.served, change.ready, change.cut_off);
            if change.new_leader {
                let before = run.decider.state().clone();
                run.decider = Decider::new(
                    vec![address(Announce::Many, sites, keep_at_least)],
                    names(&site_names),
                    Some(&before),
                    run.now,
                );
            }
            for _ in 0..change.ticks {
                run.tick();
                checker.check(&run, keep_at_least);
                balancers.update(&run);
                balancers.check(run.now);
            }
        }
    }

    #[test]
    fn a_flapping_site_rarely_withdraws(health_changes in health_changes(), rounds in 1u32..5) {
        let mut run = Run::new(address(Announce::Many, 3, 1));
        let mut checker = StateChecker::default();
        let start = run.now;
        for change in (0..rounds).flat_map(|_| &health_changes) {
            // The other sites stay healthy.
            let health = &mut run.sites[0];
            (health.served, health.ready, health.cut_off) = (change.served, change.ready, change.cut_off);
            for _ in 0..change.ticks {
                run.tick();
            }
            checker.check(&run, 1);
        }
        let elapsed_secs = (run.now - start).as_secs() as u32;
        prop_assert!(
            checker.withdrawals <= 3 + elapsed_secs / 60,
            "{} withdrawals in {elapsed_secs} s",
            checker.withdrawals
        );
        // Changes of preference are as rare, over all sites together.
        prop_assert!(
            run.log.len() as u32 <= 16 + elapsed_secs / 15,
            "{} states in {elapsed_secs} s",
            run.log.len()
        );
        let phase = run.address_state().sites["a"].phase;
        prop_assert!(phase != Phase::Away || run.address_state().announcing.len() == 2);
    }
}

#[test]
fn isolated_sites_announce_while_their_local_clients_are_served() {
    let mut run = Run::new(address(Announce::Many, 3, 1));
    run.run(s(1));
    let until = run.now + LEASE;
    let balancer = |site: &str, served| LocalBalancer {
        site: site.into(),
        ready: true,
        served,
        lease_until: Some(until),
        state: Some(run.decider.state().clone()),
    };
    let balancers = [balancer("a", 1.0), balancer("b", 0.95), balancer("c", 0.3)];
    for site in &mut run.sites {
        site.cut_off = true;
    }
    run.run(s(600));
    assert!(run.address_state().all_stay.is_some(), "the state must give the reason");
    assert_eq!(run.announcing(), "a300 b300 c300", "no site may be withdrawn");
    let announces = |balancer: &LocalBalancer| {
        matches!(balancer.answer("front", until + s(60)), Answer::Announces { .. })
    };
    assert_eq!(balancers.each_ref().map(announces), [true, true, false]);
}
