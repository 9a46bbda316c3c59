//! Balancers that know each other, emulated: the hard cases one by one, drawn storms, and every order of a few faults.

use maplehook_cluster::endpoint_gossip::EndpointClaim;
use maplehook_cluster::{MemberState, MembershipEvent, WireVersions};
use maplehook_simulator::members::{World, faults, settled, small, storm};
use maplehook_simulator::rules::explore;
use std::time::Duration;

fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn deaths(world: &World) -> usize {
    world
        .events
        .iter()
        .filter(|said| matches!(said.event, MembershipEvent::MemberDown(_, _, MemberState::Dead)))
        .count()
}

#[test]
fn storms_end_with_all_seeing_one_another() {
    for (members, storms) in [(3, 60), (8, 15), (16, 4)] {
        for seed in 0..storms {
            let played = storm::play(members, seed);
            assert!(played.breaches.is_empty(), "{members} members, seed {seed}: {:?}", played.breaches);
        }
    }
}

/// Every order of four moves, and each planted flaw is caught.
#[test]
fn no_order_of_faults_parts_three_for_good_and_every_flaw_is_caught() {
    let seen = explore(&|| small::Three::new(None, 4), 4);
    assert_eq!(seen.broken, None);
    assert!(seen.paths > 1500, "{seen:?}");
    for flaw in small::Flaw::ALL {
        let seen = explore(&|| small::Three::new(Some(flaw), 3), 3);
        assert!(seen.broken.is_some(), "{flaw:?} is not caught");
    }
}

#[test]
fn single_faults_bring_no_false_deaths() {
    for row in faults::table(8, 11) {
        assert_eq!(row.false_deaths, 0, "{row:?}");
        assert!(row.converged.is_some_and(|time| time < s(12)), "{row:?}");
    }
}

#[test]
fn whoever_was_stopped_does_not_declare_the_others_dead() {
    for (seed, stopped) in [(1, 3), (2, 10), (3, 30)] {
        let mut world = settled(8, seed);
        world.stop(0);
        world.play(world.now + s(stopped));
        let before = deaths(&world);
        world.go_on(0);
        assert!(world.until(s(10), World::agrees).is_some());
        world.play(world.now + s(10));
        assert_eq!(deaths(&world), before, "after a stop of {stopped} s");
        let own = world
            .events
            .iter()
            .any(|said| said.by == 0 && matches!(said.event, MembershipEvent::ProcessPaused(_)));
        assert!(own, "and it says that it was stopped");
    }
}

/// At 60 and a third of all datagrams lost, doubled and out of order: without second probes and told suspicions each second
/// brings false deaths.
#[test]
fn loss_and_disorder_are_nobodys_death() {
    let mut world = settled(60, 2);
    let before = deaths(&world);
    (world.ways.loss, world.ways.twice) = (0.3, 0.2);
    world.ways.delay.1 = Duration::from_millis(80);
    world.play(world.now + s(20));
    assert_eq!(deaths(&world), before);
}

/// Two processes of one name, at different addresses to different others: the later start stays.
#[test]
fn the_later_of_two_processes_of_a_name_stays() {
    use maplehook_cluster::{Cluster, ClusterSettings, Name, Output};
    fn name(text: &str) -> Name {
        Name::new(text).unwrap()
    }
    fn start(own: &str, start: u64, others: &[&str], seed: u64) -> Cluster {
        let peers = others.iter().map(|other| name(other)).collect();
        Cluster::new(ClusterSettings::new(name(own), start, peers, seed), s(3600))
    }
    // a knows the earlier b, c the later one; a and c know each other.
    let mut all = [
        start("a", 1, &["b", "c"], 1),
        start("c", 1, &["a", "b"], 2),
        start("b", 100, &["a", "c"], 3),
        start("b", 200, &["a", "c"], 4),
    ];
    let (mut events, mut later_joins) = (Vec::new(), false);
    let mut said_after = 0;
    for ms in 0..20_000u64 {
        let now = s(3600) + Duration::from_millis(ms);
        later_joins |= ms >= 5000;
        let superseded = events.contains(&(2, MembershipEvent::Superseded(200)));
        let mut sent = Vec::new();
        for (n, tier) in all.iter_mut().enumerate() {
            if n == 3 && !later_joins {
                continue;
            }
            tier.poll(now);
            for output in tier.take_outputs() {
                match output {
                    Output::Send(to, datagram) => {
                        said_after += usize::from(n == 2 && superseded);
                        let to = match (to.as_str(), n) {
                            ("a", _) => 0,
                            ("c", _) => 1,
                            (_, 0) => 2,
                            _ => 3,
                        };
                        sent.push((to, datagram));
                    }
                    Output::Event(event) => events.push((n, event)),
                }
            }
        }
        for (to, datagram) in sent {
            if to != 3 || later_joins {
                // What is refused is part of the play.
                let _ = all[to].handle_datagram(now, &datagram);
            }
        }
    }
    assert!(events.contains(&(2, MembershipEvent::Superseded(200))), "the earlier one sees it: {events:?}");
    assert_eq!(said_after, 0, "and speaks no more");
    assert!(!all[2].is_active() && all[3].is_active());
    assert!(all[1].is_alive(&name("b")) && all[1].generation_of(&name("b")) >= Some(200));
    // Where one of them hears the other itself, both say so.
    let hello = |tier: &mut Cluster| {
        tier.poll(s(3600));
        tier.take_outputs().into_iter().find_map(|output| match output {
            Output::Send(_, datagram) => Some(datagram),
            Output::Event(_) => None,
        })
    };
    let (mut early, mut later) = (start("b", 100, &["b"], 5), start("b", 200, &["b"], 6));
    let (of_early, of_later) = (hello(&mut early).unwrap(), hello(&mut later).unwrap());
    assert!(
        later.handle_datagram(s(3600), &of_early).is_err()
            && early.handle_datagram(s(3600), &of_later).is_err()
    );
    assert_eq!(later.take_outputs(), [Output::Event(MembershipEvent::DuplicateName(100))]);
    assert_eq!(early.take_outputs(), [Output::Event(MembershipEvent::Superseded(200))]);
    assert!(later.is_active() && !early.is_active());
}

#[test]
fn a_state_directory_restored_from_an_old_copy_or_lost_does_no_harm() {
    for remembers in [true, false] {
        let mut world = settled(5, 3);
        let first = world.tier(0).unwrap().identity().generation;
        for _ in 0..3 {
            world.kill(0);
            world.play(world.now + Duration::from_millis(300));
            world.start(0, remembers);
            assert!(world.until(s(10), World::agrees).is_some(), "remembers: {remembers}");
        }
        assert!(world.tier(0).unwrap().identity().generation > first);
    }
}

/// A and C can't speak, both reach B: nobody is dead.
#[test]
fn a_bridge_keeps_all_alive() {
    for seed in 0..5 {
        let mut world = settled(3, seed);
        world.cut(&[0], &[2], true);
        let before = deaths(&world);
        world.play(world.now + s(60));
        assert_eq!(deaths(&world), before);
        assert!(world.agrees());
    }
}

#[test]
fn one_direction_that_is_cut_is_no_death() {
    let mut world = settled(6, 4);
    let before = deaths(&world);
    world.cut(&[1], &[0], false);
    world.cut(&[3], &[2], false);
    world.play(world.now + s(60));
    assert_eq!(deaths(&world), before);
}

#[test]
fn programs_of_old_and_new_wire_versions_are_seen_side_by_side() {
    let mut world = World::new(5, 8);
    // Two of today's, one newer that still speaks with them, one newer that does not, one too old.
    world.speaks(2, WireVersions { version: 2, oldest: 1 });
    world.speaks(3, WireVersions { version: 3, oldest: 2 });
    world.speaks(4, WireVersions { version: 0, oldest: 0 });
    (0..5).for_each(|n| world.start(n, true));
    world.play(s(20));
    for n in [0, 1, 2] {
        for other in [0, 1, 2].into_iter().filter(|other| *other != n) {
            assert_eq!(world.holds(n, other), Some(MemberState::Alive), "{n} and {other} speak");
        }
    }
    let apart = |n: usize, other: usize| {
        let seen = world.tier(n).unwrap().member_statuses(world.clock(n));
        let name = world.name(other).clone();
        seen.into_iter().find(|seen| seen.name == name).and_then(|seen| seen.excluded).map(|why| why.as_str())
    };
    assert_eq!(apart(0, 3), Some("its program is too new"));
    assert_eq!(apart(0, 4), Some("its program is too old"));
    assert_eq!(apart(2, 3), None, "version 2 is spoken by both");
    assert_eq!(apart(3, 0), Some("its program is too old"));
    assert_eq!(world.holds(0, 3), Some(MemberState::Alive), "seen, not dropped in silence");
    assert_eq!(deaths(&world), 0);
    world.kill(3);
    world.play(world.now + s(15));
    assert_eq!(world.holds(0, 3), Some(MemberState::Dead));
}

/// Nothing can be sent to somebody whom the file does not name; it is seen all the same.
#[test]
fn somebody_whom_the_file_does_not_name_is_seen_and_takes_no_part() {
    use maplehook_cluster::{Cluster, ClusterSettings, DatagramError, ExclusionReason, Name, Output};
    let name = |text: &str| Name::new(text).unwrap();
    let mut ours = Cluster::new(ClusterSettings::new(name("a"), 1, vec![name("b")], 1), s(3600));
    let mut stranger = Cluster::new(ClusterSettings::new(name("x"), 1, vec![name("a")], 2), s(3600));
    stranger.poll(s(3600));
    let datagram = stranger.take_outputs().into_iter().find_map(|output| match output {
        Output::Send(_, datagram) => Some(datagram),
        Output::Event(_) => None,
    });
    let refused = ours.handle_datagram(s(3600), &datagram.unwrap());
    assert_eq!(refused, Err(DatagramError::SenderExcluded(ExclusionReason::Unlisted)));
    let seen = ours.member_statuses(s(3600));
    assert!(
        seen.len() == 1 && seen[0].name == name("x") && seen[0].excluded == Some(ExclusionReason::Unlisted)
    );
    ours.poll(s(3601));
    let sent = ours
        .take_outputs()
        .into_iter()
        .filter(|output| matches!(output, Output::Send(to, _) if *to == name("x")));
    assert_eq!(sent.count(), 0);
}

#[test]
fn a_drain_told_to_one_reaches_all_and_survives_its_teller() {
    let drain = EndpointClaim { upstream: 42, boot_ms: 0, is_draining: true };
    for members in [8, 120] {
        let mut world = settled(members, 6);
        world.claim(0, vec![drain]);
        let all = world
            .until(s(5), |w| (0..members).all(|n| w.effects(n).iter().any(|e| e.drained_until.is_some())));
        assert!(all.is_some_and(|time| time < s(2)), "{members}: {all:?}");
        // It stands as long as somebody says so,
        world.play(world.now + s(60));
        assert!((0..members).all(|n| world.effects(n).iter().any(|e| e.drained_until.is_some())));
        // and no longer than it is good after that.
        world.kill(0);
        world.play(world.now + s(16));
        assert!((1..members).all(|n| world.effects(n).iter().all(|e| e.drained_until.is_none())));
    }
}

#[test]
fn whoever_joins_late_or_lost_every_datagram_hears_of_a_drain_all_the_same() {
    let drain = EndpointClaim { upstream: 42, boot_ms: 0, is_draining: true };
    let mut world = World::new(4, 9);
    (0..3).for_each(|n| world.start(n, true));
    world.until(s(20), World::agrees);
    world.claim(0, vec![drain]);
    world.play(world.now + s(20));
    world.start(3, true);
    // It is asserted again while it stands.
    assert!(world.until(s(12), |w| w.effects(3).iter().any(|e| e.drained_until.is_some())).is_some());
}

#[test]
fn the_cost_of_a_quiet_tier_does_not_grow_with_it() {
    let (_, of_16, _) = faults::cost(16, 1);
    let (_, of_120, _) = faults::cost(120, 1);
    assert!(of_120 < 1.5 * of_16, "{of_16} and {of_120} bytes a second");
    assert!(of_16 < 1000.0);
}
