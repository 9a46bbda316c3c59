//! Any order of evidence, for what many announce.

mod common;

use common::{Run, address, ms, names, s};
use maplehook_address_announcement::{Announce, Answer, Decider, LocalBalancer, Phase};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::BTreeMap;
use std::time::Duration;

const LEASE: Duration = Duration::from_secs(4);

#[derive(Clone, Debug)]
struct Turn {
    site: usize,
    served: f64,
    ready: usize,
    cut_off: bool,
    ticks: u32,
    new_leader: bool,
}

fn turns() -> impl Strategy<Value = Vec<Turn>> {
    let served = prop_oneof![Just(0.0), Just(0.5), Just(0.93), Just(1.0), Just(f64::NAN)];
    let turn =
        (0usize..4, served, 0usize..3, prop::bool::weighted(0.3), 1u32..120, prop::bool::weighted(0.1));
    let turn = turn.prop_map(|(site, served, ready, cut_off, ticks, new_leader)| Turn {
        site,
        served,
        ready,
        cut_off,
        ticks,
        new_leader,
    });
    prop::collection::vec(turn, 1..25)
}

/// Checks what has to hold of each state and each step between two.
#[derive(Default)]
struct Watch {
    /// Since when a site has had the preference of a taker.
    takes: BTreeMap<String, Duration>,
    announcing: BTreeMap<String, u32>,
    withdrawals: u32,
    read: usize,
}

impl Watch {
    fn look(&mut self, run: &Run, keep: usize) {
        let least = keep.min(run.sites.len());
        for (at, state) in &run.log[self.read..] {
            let now = &state.addresses["front"];
            assert!(now.announcing.len() >= least, "fewer than {least}: {now:#?}");
            let gone = self.announcing.keys().filter(|site| !now.announcing.contains_key(*site)).count();
            if gone > 0 {
                let stood = |(site, since): (&String, &Duration)| {
                    now.announcing.contains_key(site) && *at >= *since + s(1)
                };
                assert!(self.takes.iter().any(stood), "nobody had risen before: {now:#?}");
            }
            self.withdrawals += gone as u32;
            self.takes.retain(|site, _| now.announcing.get(site) == Some(&400));
            for (site, _) in now.announcing.iter().filter(|(_, preference)| **preference == 400) {
                self.takes.entry(site.clone()).or_insert(*at);
            }
            self.announcing = now.announcing.clone();
        }
        self.read = run.log.len();
    }
}

/// Sites' balancers, one each.
struct Balancers {
    own: Vec<LocalBalancer>,
    /// Since when each could serve, and was in touch.
    healthy: Vec<Option<Duration>>,
    near: Vec<Option<Duration>>,
}

impl Balancers {
    fn hear(&mut self, run: &Run) {
        for (n, site) in run.sites.iter().enumerate() {
            let own = &mut self.own[n];
            (own.ready, own.served) = (site.ready > 0, site.served);
            if !site.cut_off {
                own.state = Some(run.decider.state().clone());
                own.lease_until = Some(run.now + LEASE);
            }
            let healthy = own.ready && site.served >= 0.97;
            let since = |before: Option<Duration>, is: bool| is.then(|| before.unwrap_or(run.now));
            self.healthy[n] = since(self.healthy[n], healthy);
            self.near[n] = since(self.near[n], healthy && !site.cut_off);
        }
    }

    /// Where a site has been healthy for long enough for everybody to know, one that serves announces.
    fn look(&self, now: Duration) {
        let long = |since: &Option<Duration>, time| since.is_some_and(|since| now >= since + time);
        let known = self.near.iter().any(|since| long(since, ms(500)))
            || self.healthy.iter().any(|since| long(since, LEASE + ms(500)));
        let announces = |n: &usize| {
            let own = &self.own[*n];
            let serves = own.ready && (own.served.is_nan() || own.served >= 0.9);
            serves && matches!(own.answer("front", now), Answer::Announces { .. })
        };
        assert!(!known || (0..self.own.len()).any(|n| announces(&n)), "none announces: {:#?}", self.own);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 96, failure_persistence: None, rng_seed: RngSeed::Fixed(34), ..ProptestConfig::default() })]

    #[test]
    fn enough_are_kept_takers_come_first_and_a_healthy_site_is_announced(
        turns in turns(), sites in 2u16..5, keep in 1usize..4,
    ) {
        let mut run = Run::new(address(Announce::Many, sites, keep));
        let mut watch = Watch::default();
        let own = |site: &str| LocalBalancer { site: site.into(), ..LocalBalancer::default() };
        let all = ["a", "b", "c", "d"][..usize::from(sites)].to_vec();
        let mut balancers = Balancers {
            own: all.iter().map(|site| own(site)).collect(),
            healthy: vec![None; all.len()],
            near: vec![None; all.len()],
        };
        run.run(s(1));
        for turn in turns {
            let site = turn.site % run.sites.len();
            let health = &mut run.sites[site];
            (health.served, health.ready, health.cut_off) = (turn.served, turn.ready, turn.cut_off);
            if turn.new_leader {
                let before = run.decider.state().clone();
                run.decider =
                    Decider::new(vec![address(Announce::Many, sites, keep)], names(&all), Some(&before), run.now);
            }
            for _ in 0..turn.ticks {
                run.tick();
                watch.look(&run, keep);
                balancers.hear(&run);
                balancers.look(run.now);
            }
        }
    }

    #[test]
    fn however_a_site_flaps_it_withdraws_seldom(turns in turns(), times in 1u32..5) {
        let mut run = Run::new(address(Announce::Many, 3, 1));
        let mut watch = Watch::default();
        let start = run.now;
        for turn in (0..times).flat_map(|_| &turns) {
            // The others are well throughout.
            let health = &mut run.sites[0];
            (health.served, health.ready, health.cut_off) = (turn.served, turn.ready, turn.cut_off);
            for _ in 0..turn.ticks {
                run.tick();
            }
            watch.look(&run, 1);
        }
        let time = (run.now - start).as_secs() as u32;
        prop_assert!(watch.withdrawals <= 3 + time / 60, "{} in {time} s", watch.withdrawals);
        // Rises and falls in preference, all sites together, are as seldom.
        prop_assert!(run.log.len() as u32 <= 16 + time / 15, "{} states in {time} s", run.log.len());
        let phase = run.standing().sites["a"].phase;
        prop_assert!(phase != Phase::Away || run.standing().announcing.len() == 2);
    }
}

#[test]
fn all_sites_cut_from_each_other_and_from_the_leader_go_on_by_their_own_evidence() {
    let mut run = Run::new(address(Announce::Many, 3, 1));
    run.run(s(1));
    let until = run.now + LEASE;
    let own = |site: &str, served| LocalBalancer {
        site: site.into(),
        ready: true,
        served,
        lease_until: Some(until),
        state: Some(run.decider.state().clone()),
    };
    let balancers = [own("a", 1.0), own("b", 0.95), own("c", 0.3)];
    for site in &mut run.sites {
        site.cut_off = true;
    }
    run.run(s(600));
    assert!(run.standing().all_stay.is_some(), "it is said");
    assert_eq!(run.announcing(), "a300 b300 c300", "and nothing is withdrawn");
    let announces =
        |own: &LocalBalancer| matches!(own.answer("front", until + s(60)), Answer::Announces { .. });
    assert_eq!(balancers.each_ref().map(announces), [true, true, false]);
}
