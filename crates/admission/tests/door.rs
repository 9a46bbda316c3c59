//! The rules of the door, on all orders of events and on the days that it is made for.

use maplehook_admission::{After, Arrival, ConnId, Door, Policy, Reason};
use proptest::prelude::*;
use std::collections::HashMap;
use std::net::{IpAddr, Ipv4Addr};
use std::time::Duration;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn ip(n: u32) -> IpAddr {
    Ipv4Addr::from(0x7f00_0000 + n).into()
}

fn kept(arrival: Arrival) -> (ConnId, Option<ConnId>) {
    match arrival {
        Arrival::Kept { id, ends } => (id, ends),
        Arrival::Refused(refusal) => panic!("{refusal:?}"),
    }
}

fn knows(network: &str) -> Policy {
    Policy { reserve: 0.25, known: vec![network.parse().unwrap()], ..Policy::default() }
}

#[derive(Clone, Copy, PartialEq, Debug)]
enum Stand {
    Open,
    Held,
    Told,
}

#[derive(Clone, Debug)]
enum Step {
    Arrive(u32),
    Began(usize),
    Held(usize, u32, bool),
    Answered(usize),
    Checked(usize),
    Left(usize),
    Shed,
    Resize(usize),
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let n = any::<usize>();
    prop_oneof![
        6 => (0_u32..40).prop_map(Step::Arrive),
        2 => n.prop_map(Step::Began),
        4 => (n, 0_u32..4, any::<bool>()).prop_map(|(n, t, v)| Step::Held(n, t, v)),
        3 => n.prop_map(Step::Answered),
        1 => n.prop_map(Step::Checked),
        3 => n.prop_map(Step::Left),
        1 => Just(Step::Shed),
        1 => (1_usize..40).prop_map(Step::Resize),
        2 => (0_u64..3000).prop_map(Step::Wait),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(1500))]

    /// Guards what no order of events may break: a holder is never ended, nobody is ended twice, places are
    /// never passed, the reserve is never lent, and the door's count is the true one.
    #[test]
    fn whatever_happens_the_rules_hold(
        places in 1_usize..30,
        reserve in 0.0_f64..0.9,
        known_most in 0.01_f64..1.0,
        unproven in 0.01_f64..1.0,
        per_address in prop::option::of(1_u32..9),
        rate in prop::option::of(0.1_f64..50.0),
        prefix_times in prop::option::of(1.0_f64..4.0),
        keep_alive in 0.0_f64..1.0,
        steps in prop::collection::vec(step(), 0..300),
    ) {
        let policy = Policy {
            reserve, known_most, unproven, per_address, rate, prefix_times, keep_alive, burst: 3.0,
            known: vec!["127.0.0.0/29".parse().unwrap()], fronts: vec!["127.0.0.32/29".parse().unwrap()],
            prefix_v4: 28, remembered: 16, ..Policy::default()
        };
        let mut door = Door::new(policy, places, &[1.0, 2.0, 0.0], 7);
        let mut stands: HashMap<ConnId, Stand> = HashMap::new();
        let mut order: Vec<ConnId> = Vec::new();
        let (mut places, mut most, mut now) = (places, places, Duration::ZERO);
        let mut vouched_for = std::collections::HashSet::new();
        for step in steps {
            let pick = |n: usize| order.get(n % order.len().max(1)).copied();
            let mut ended = None;
            match step {
                Step::Wait(more) => now += ms(more),
                Step::Resize(n) => {
                    (places, most) = (n, most.max(n));
                    door.resize(n);
                    while let Some(id) = door.excess(now) {
                        prop_assert_eq!(stands.insert(id, Stand::Told), Some(Stand::Open));
                    }
                }
                Step::Shed => ended = door.shed(now),
                Step::Arrive(n) => {
                    let before = door.open();
                    match door.arrive(now, ip(n)) {
                        Arrival::Kept { id, ends } => {
                            prop_assert!(stands.insert(id, Stand::Open).is_none(), "a name given twice");
                            if n < 8 { vouched_for.insert(id); }
                            order.push(id);
                            ended = ends;
                        }
                        Arrival::Refused(refusal) => {
                            prop_assert!(refusal.retry_after >= ms(500) && refusal.retry_after <= ms(1500));
                            prop_assert_eq!(before, door.open());
                        }
                    }
                }
                Step::Began(n) => pick(n).into_iter().for_each(|id| door.came(now, id)),
                Step::Held(n, tenant, vouched) => if let Some(id) = pick(n) {
                    door.held(now, id, Some(tenant), vouched);
                    if vouched { vouched_for.insert(id); }
                    if let Some(stand) = stands.get_mut(&id).filter(|s| **s == Stand::Open) {
                        *stand = Stand::Held;
                    }
                },
                Step::Answered(n) => if let Some(id) = pick(n) {
                    let After { close, ends } = door.answered(now, id);
                    if let Some(stand) = stands.get_mut(&id).filter(|s| **s == Stand::Held) {
                        *stand = Stand::Open;
                    }
                    if close {
                        door.left(id);
                        stands.remove(&id);
                        order.retain(|other| *other != id);
                    }
                    ended = ends.filter(|other| !close || *other != id);
                },
                Step::Checked(n) => if let Some(id) = pick(n) {
                    let After { close, ends } = door.checked(now, id);
                    prop_assert_eq!(ends, None);
                    if let Some(stand) = stands.get_mut(&id).filter(|s| **s == Stand::Held) {
                        *stand = Stand::Open;
                    }
                    if close {
                        door.left(id);
                        stands.remove(&id);
                        order.retain(|other| *other != id);
                    }
                },
                Step::Left(n) => if let Some(id) = pick(n) {
                    door.left(id);
                    door.left(id);
                    stands.remove(&id);
                    order.retain(|other| *other != id);
                },
            }
            if let Some(id) = ended {
                prop_assert_eq!(stands.insert(id, Stand::Told), Some(Stand::Open), "not one that may end");
            }
            let open = || stands.iter().filter(|(_, s)| **s != Stand::Told);
            prop_assert_eq!(door.open(), open().count());
            let held = open().filter(|(_, s)| **s == Stand::Held).count();
            prop_assert!(door.open() <= places.max(held), "{} of {places}", door.open());
            // Nobody but the known takes the reserve, unless there were more places when it was let in.
            let unknown = open().filter(|(id, _)| !vouched_for.contains(id)).count();
            let reserved = (places as f64 * reserve) as usize;
            prop_assert!(places < most || unknown + reserved <= places, "{unknown} + {reserved} of {places}");
            prop_assert!(door.entries() <= order.len().max(most) + 8 + 2 * (16 + most + 8) + stands.len());
        }
    }
}

/// Guards memory: ten million addresses, each once, leave no more behind than the table holds.
#[test]
fn ten_million_addresses_leave_a_bounded_table() {
    let mut door = Door::new(Policy { rate: Some(10.0), ..Policy::default() }, 200, &[], 7);
    let (mut now, mut most) = (Duration::ZERO, 0);
    for n in 0..10_000_000_u32 {
        now += Duration::from_micros(20);
        let (_, ends) = kept(door.arrive(now, ip(n)));
        ends.into_iter().for_each(|id| door.left(id));
        if n % 4096 == 0 {
            most = most.max(door.entries());
        }
    }
    assert!(most <= 2 * (4096 + 200 + 8) + 208, "{most}");
}

/// Guards the rate against forgetting: one that has used its rate up and goes on knocking is still known
/// after as many others as the table remembers, ten times over.
#[test]
fn who_goes_on_knocking_is_not_forgotten() {
    let policy = Policy { rate: Some(0.1), burst: 2.0, remembered: 64, ..Policy::default() };
    let mut door = Door::new(policy, 20, &[], 7);
    let (mut let_in, now) = (0, Duration::ZERO);
    for n in 0..640 {
        if let Arrival::Kept { id, .. } = door.arrive(now, ip(1)) {
            let_in += 1;
            door.left(id);
        }
        let (id, ends) = kept(door.arrive(now, ip(100 + n)));
        door.left(id);
        ends.into_iter().for_each(|id| door.left(id));
    }
    assert_eq!(let_in, 2);
}

/// Guards the lodge's shared address: its walkers, many more than its cap, get in beside a flood, and none
/// that asks at once is turned away.
#[test]
fn a_lodge_is_judged_by_what_its_walkers_do() {
    let policy = Policy { rate: Some(50.0), ..Policy::default() };
    let mut door = Door::new(policy, 800, &[], 7);
    let (mut now, mut walkers, mut ended) = (Duration::ZERO, Vec::new(), Vec::new());
    let (mut refused, mut flood) = (0, Vec::new());
    for n in 0..500 {
        now += ms(1);
        for _ in 0..5 {
            match door.arrive(now, ip(2)) {
                Arrival::Refused(refusal) => {
                    assert!(matches!(refusal.reason, Reason::Rate | Reason::Share));
                    refused += 1;
                }
                Arrival::Kept { id, ends } => {
                    flood.push(id);
                    ended.extend(ends);
                }
            }
        }
        let (id, ends) = kept(door.arrive(now, ip(3)));
        ended.extend(ends);
        door.held(now, id, None, false);
        walkers.push(id);
        if n % 2 == 0 {
            let After { ends, .. } = door.answered(now, id);
            ended.extend(ends);
        }
    }
    assert!(refused > 2000, "{refused}");
    assert!(flood.len() <= 64 + 25 + 200, "{}", flood.len());
    // Only those may go that stand idle beyond what is kept.
    let kept_idle = 200;
    let gone = walkers.iter().filter(|id| ended.contains(id)).count();
    assert!(gone <= 250 - kept_idle, "{gone}");
    assert!(walkers.iter().skip(1).step_by(2).all(|id| !ended.contains(id)), "a holder was ended");
}

/// Guards the known where ten thousand addresses come once each and say nothing.
#[test]
fn a_flood_from_everywhere_leaves_the_useful_and_the_known() {
    let mut door = Door::new(knows("127.9.0.0/16"), 100, &[], 7);
    let now = Duration::ZERO;
    let useful: Vec<ConnId> = (0..20)
        .map(|n| {
            let (id, _) = kept(door.arrive(now, ip(1 + n)));
            door.held(now, id, None, false);
            assert_eq!(door.answered(now, id), After::default());
            id
        })
        .collect();
    let (mut ended, mut known) = (Vec::new(), Vec::new());
    for n in 0..10_000_u32 {
        let now = Duration::from_micros(u64::from(n) * 100);
        let (_, ends) = kept(door.arrive(now, ip(0x10_0000 + n)));
        ended.extend(ends);
        ends.into_iter().for_each(|id| door.left(id));
        if n % 500 == 0 {
            let (id, ends) = kept(door.arrive(now, ip(0x9_0000 + n)));
            assert_eq!(ends, None, "there is a reserve");
            door.held(now, id, None, false);
            known.push(id);
        }
    }
    assert!(useful.iter().chain(&known).all(|id| !ended.contains(id)));
    assert_eq!(door.open(), 75 + known.len());
}

/// Guards the reserve from one of the known: beyond its part it is a client like any other, and the other
/// known ones find their places. All come at once, as after a restart.
#[test]
fn a_known_client_that_floods_takes_its_part_of_the_reserve() {
    let mut door = Door::new(knows("127.9.0.0/16"), 100, &[], 7);
    let now = Duration::ZERO;
    // 25 are reserved, half of them for one address at the most.
    let flood: Vec<Arrival> = (0..500).map(|_| door.arrive(now, ip(0x9_0001))).collect();
    assert!(flood.iter().any(|a| matches!(a, Arrival::Kept { ends: Some(_), .. })));
    for n in 0..12 {
        let (id, ends) = kept(door.arrive(now, ip(0x9_0100 + n)));
        assert_eq!(ends, None, "{n}");
        door.held(now, id, None, false);
    }
    // One whose request shows that it is known moves into the reserve, and its open place is free again.
    let mut door = Door::new(knows("127.9.0.0/16"), 8, &[1.0], 7);
    let ids: Vec<ConnId> = (0..6).map(|n| kept(door.arrive(now, ip(n))).0).collect();
    ids.iter().for_each(|id| door.held(now, *id, None, false));
    assert!(matches!(door.arrive(now, ip(9)), Arrival::Refused(r) if r.reason == Reason::Full));
    door.held(now, ids[0], Some(0), true);
    let (id, ends) = kept(door.arrive(now, ip(9)));
    assert_eq!(ends, None);
    door.held(now, id, None, false);
    assert!(matches!(door.arrive(now, ip(10)), Arrival::Refused(r) if r.reason == Reason::Full));
    // The last place is the reserve's.
    assert_eq!(kept(door.arrive(now, ip(0x9_0001))).1, None);
}

/// Guards the order in which connections go when all places are taken.
#[test]
fn the_useless_go_before_the_useful() {
    let policy = Policy { unproven: 1.0, keep_alive: 1.0, ..Policy::default() };
    let mut door = Door::new(policy, 6, &[], 7);
    let come = |door: &mut Door, at| kept(door.arrive(ms(at), ip(1))).0;
    let old_idle = come(&mut door, 0);
    door.held(ms(0), old_idle, None, false);
    door.answered(ms(0), old_idle);
    let held = come(&mut door, 1000);
    door.held(ms(1000), held, None, false);
    let mute = come(&mut door, 2000);
    let checked = come(&mut door, 2300);
    door.checked(ms(2300), checked);
    let young_idle = come(&mut door, 2400);
    door.held(ms(2400), young_idle, None, false);
    door.answered(ms(2400), young_idle);
    let young = come(&mut door, 2450);
    let order: Vec<_> = std::iter::from_fn(|| door.shed(ms(2460))).collect();
    assert_eq!(order, [mute, checked, old_idle, young, young_idle]);
    assert_eq!(door.open(), 1);
}

/// Guards small tenants where one tenant's connections fill the house: those end with their answers.
#[test]
fn a_tenant_that_fills_the_house_gives_its_places_back() {
    let policy = Policy { keep_alive: 1.0, ..Policy::default() };
    let mut door = Door::new(policy, 40, &[1.0, 1.0, 1.0, 1.0], 7);
    let now = Duration::ZERO;
    let mut ask = |tenant| {
        let (id, _) = kept(door.arrive(now, ip(1)));
        door.held(now, id, Some(tenant), false);
        door.answered(now, id)
    };
    let closed = (0..38).filter(|_| ask(0).close).count();
    // Twice its quarter is 20; three quarters of the house are 30.
    assert_eq!(closed, 9);
    assert!(!ask(1).close);
}

/// Guards the places from clients that ask once and keep their connection: the longest idle makes room.
#[test]
fn more_idle_than_are_kept_end_oldest_first() {
    let mut door = Door::new(Policy::default(), 40, &[], 7);
    let (mut all, mut ended) = (Vec::new(), Vec::new());
    for n in 0..30 {
        let (id, _) = kept(door.arrive(ms(n), ip(1)));
        door.held(ms(n), id, None, false);
        all.push(id);
        ended.extend(door.answered(ms(n), id).ends);
        ended.last().into_iter().for_each(|id| door.left(*id));
    }
    assert_eq!(ended, all[..20]);
}

/// Guards the others where one address opens more than it uses: it holds its share of the places with what
/// says nothing, and from there on its oldest such connection goes for its newest; so does a prefix.
#[test]
fn an_address_holds_no_more_than_its_share_with_what_says_nothing() {
    let policy = Policy { prefix_times: Some(2.0), ..Policy::default() };
    let mut door = Door::new(policy, 100, &[], 7);
    let mut of_one = Vec::new();
    for n in 0..60 {
        let (id, ends) = kept(door.arrive(ms(n), ip(1)));
        assert_eq!(ends, (n >= 25).then(|| of_one[n as usize - 25]), "{n}");
        ends.into_iter().for_each(|id| door.left(id));
        of_one.push(id);
    }
    assert_eq!(door.open(), 25);
    // Its network may hold twice as much.
    for n in 0..60 {
        let (_, ends) = kept(door.arrive(ms(100), ip(2 + n)));
        assert_eq!(ends.is_some(), n >= 25, "{n}");
        ends.into_iter().for_each(|id| door.left(id));
    }
    assert_eq!(door.open(), 50);
    // One that asks leaves the count, and another comes in its stead.
    door.held(ms(100), of_one[59], None, false);
    assert_eq!(kept(door.arrive(ms(100), ip(0x10_0000))).1, None);
    assert_eq!(door.open(), 51);
}

/// Guards an operator's hard cap, and clients of a front, whom it leaves out.
#[test]
fn a_cap_on_connections_counts_all_but_those_of_a_front() {
    let policy = Policy {
        per_address: Some(3),
        rate: Some(0.1),
        fronts: vec!["127.0.0.1".parse().unwrap()],
        ..Policy::default()
    };
    let mut door = Door::new(policy, 100, &[], 7);
    for n in 0..50 {
        let (id, ends) = kept(door.arrive(ms(n), ip(1)));
        assert_eq!(ends, None);
        door.held(ms(n), id, None, false);
    }
    let useful: Vec<_> = (0..3).map(|_| kept(door.arrive(ms(60), ip(2))).0).collect();
    useful.iter().for_each(|id| door.held(ms(60), *id, None, false));
    assert!(matches!(door.arrive(ms(61), ip(2)), Arrival::Refused(r) if r.reason == Reason::Share));
    door.left(useful[0]);
    assert_eq!(kept(door.arrive(ms(62), ip(2))).1, None);
}

/// Guards those who write slowly where a crowd connects, says nothing or stops half way: they go last, and whoever has
/// stopped is not taken for one of them.
#[test]
fn who_still_writes_outlasts_a_crowd() {
    let mut door = Door::new(Policy { unproven: 1.0, ..Policy::default() }, 40, &[], 7);
    let mut now = Duration::ZERO;
    let writers: Vec<ConnId> = (0..10).map(|n| kept(door.arrive(now, ip(n))).0).collect();
    let stopped: Vec<ConnId> = (0..10).map(|n| kept(door.arrive(now, ip(50 + n))).0).collect();
    writers.iter().chain(&stopped).for_each(|id| door.came(now, *id));
    now += ms(50);
    writers.iter().for_each(|id| door.came(now, *id));
    let mut ended = Vec::new();
    for n in 0..2000_u32 {
        now += ms(2);
        if n % 50 == 0 {
            // A byte every tenth of a second.
            writers.iter().for_each(|id| door.came(now, *id));
        }
        let (id, ends) = kept(door.arrive(now, ip(1000 + n)));
        if n % 3 == 0 {
            door.came(now, id);
        }
        if let Some(id) = ends {
            door.left(id);
            ended.push(id);
        }
    }
    assert!(writers.iter().all(|id| !ended.contains(id)), "a writer was ended");
    assert!(stopped.iter().all(|id| ended.contains(id)), "one that stopped half way was kept");
}
