//! The common document among balancers on their own threads: leaders that die, members that are cut off, many puts in a row.

mod fleet;

use fleet::{FILE, Fleet, begin_put, until};
use maplehook_consensus::SHARED_DOCUMENT_TOPIC;
use maplehook_transport::frames::Message;
use maplehook_versions::LeaseExpiryPolicy;
use std::time::{Duration, Instant};

fn all_hold(fleet: &Fleet, number: u64) -> bool {
    (0..fleet.names.len()).filter(|n| fleet.parts[*n].is_some()).all(|n| fleet.holds(n) == Some(number))
}

/// Put, held by all within a moment, named where it stands; a wrong number, a wrong place and a wrong length are refused.
#[test]
fn what_is_put_is_held_by_all_at_once() {
    // Leases for it hold though there are none for versions.
    for cut_off in [LeaseExpiryPolicy::Conservative, LeaseExpiryPolicy::WaitForAll] {
        let fleet = Fleet::new(5, 2000, cut_off);
        let leader = fleet.leader();
        let other = (0..5).find(|n| *n != leader).unwrap();
        assert_eq!(fleet.put(leader, 0, b"one"), Ok(1));
        let took = until("all hold it", || all_hold(&fleet, 1));
        // Told at once, not with the next lease.
        assert!(took < fleet.times.renew_interval / 2, "{took:?}");
        until("and say so", || fleet.standing(leader).lagging_members.is_empty());
        until("by name", || fleet.standing(leader).members.iter().all(|(_, acts)| *acts == Some(1)));
        assert_eq!(fleet.standing(leader).members.len(), 5);
        assert_eq!(fleet.standing(leader).max_lease, fleet.times.max_lease());
        assert_eq!(fleet.put(leader, 0, b"two"), Err("common document 1 is in force".into()));
        assert_eq!(fleet.put(leader, 2, b"two"), Err("common document 1 is in force".into()));
        assert_eq!(fleet.put(other, 1, b"two"), Err(format!("{} leads", fleet.names[leader])));
        assert!(fleet.put(leader, 1, &vec![0; (256 << 10) + 1]).unwrap_err().contains("longer"));
        assert_eq!(fleet.put(leader, 1, &vec![7; 256 << 10]), Ok(2));
        until("a long one, too", || all_hold(&fleet, 2));
        assert_eq!(fleet.standing(other).received.unwrap().body.len(), 256 << 10);
        if other < 3 {
            until("a voter knows it", || {
                fleet.standing(other).committed.is_some_and(|agreed| agreed.number == 2)
            });
        }
        assert!(fleet.standing(other).members.is_empty() && !fleet.standing(other).is_leader);
    }
}

/// The leader is killed at any moment round a put: it is in force with its number, or not at all, and the next goes on from that.
#[test]
fn a_leader_that_dies_leaves_it_in_force_or_not_at_all() {
    let mut fleet = Fleet::new(4, 1000, LeaseExpiryPolicy::Conservative);
    let mut number = 0;
    for (round, pause_ms) in [0, 2, 0, 5, 1].into_iter().enumerate() {
        let leader = fleet.leader();
        let body = format!("round {round}").into_bytes();
        let ended = fleet.begin_put(leader, number, &body);
        std::thread::sleep(Duration::from_millis(pause_ms));
        fleet.kill(leader);
        // Its thread may have gone without a word.
        let answered = ended.blocking_recv();
        let next = fleet.leader();
        let agreed = fleet.standing(next).committed;
        let now = agreed.as_ref().map_or(0, |agreed| agreed.number);
        match &agreed {
            Some(agreed) if agreed.number == number + 1 => assert_eq!(agreed.body[..], body[..]),
            _ => assert_eq!(now, number),
        }
        if let Ok(Ok(said)) = answered {
            assert_eq!(said, now, "what was said to be in force is");
        }
        // A leader that has just come does not know who may act on what.
        if now > 0 {
            let behind = fleet.standing(next).lagging_members;
            assert!(behind.iter().any(|behind| behind.name == fleet.names[leader]), "{behind:?}");
        }
        assert_eq!(fleet.put(next, now, b"next"), Ok(now + 1));
        number = now + 1;
        let took = until("nobody acts on an earlier one", || fleet.standing(next).lagging_members.is_empty());
        assert!(took < fleet.times.max_lease() + Duration::from_millis(200), "{took:?}");
        fleet.start(leader, FILE);
        until("all have it", || all_hold(&fleet, number));
    }
}

/// Cut off: its lease ends before the leader takes it to have ended; on its return it is told.
#[test]
fn whoever_is_cut_off_holds_nothing_and_is_told_on_its_return() {
    let fleet = Fleet::new(4, 2000, LeaseExpiryPolicy::Conservative);
    let leader = fleet.leader();
    assert_eq!(fleet.put(leader, 0, b"one"), Ok(1));
    until("all hold it", || all_hold(&fleet, 1) && fleet.standing(leader).lagging_members.is_empty());
    let cut = if leader == 3 { 0 } else { 3 };
    fleet.cut(cut);
    let begun = Instant::now();
    assert_eq!(fleet.put(leader, 1, b"two"), Ok(2));
    until("the others hold it", || (0..4).all(|n| n == cut || fleet.holds(n) == Some(2)));
    until("it alone is behind", || {
        let behind = fleet.standing(leader).lagging_members;
        behind.len() == 1 && behind[0].name == fleet.names[cut]
    });
    let left = fleet.standing(leader).lagging_members[0].max_remaining;
    let until_there = fleet.standing(cut).lease_end.unwrap().duration_since(Instant::now());
    assert!(until_there <= left && left <= fleet.times.max_lease(), "{until_there:?} {left:?}");
    // As long as the leader does not take it to be over it may act on it.
    while fleet.holds(cut).is_some() {
        assert!(!fleet.standing(leader).lagging_members.is_empty(), "after {:?}", begun.elapsed());
        std::thread::sleep(Duration::from_millis(5));
    }
    assert_eq!(fleet.standing(cut).received.unwrap().number, 1);
    let ended = begun.elapsed();
    until("behind nobody", || fleet.standing(leader).lagging_members.is_empty());
    assert!(begun.elapsed() - ended < Duration::from_millis(300), "{:?}", begun.elapsed() - ended);
    fleet.heal();
    until("it is told", || fleet.holds(cut) == Some(2));
}

/// The leader itself is cut off: it says so within a lease, puts nothing, and on its return has what came after.
#[test]
fn a_leader_that_is_cut_off_leads_no_more() {
    let fleet = Fleet::new(3, 1000, LeaseExpiryPolicy::Conservative);
    let first = fleet.leader();
    assert_eq!(fleet.put(first, 0, b"one"), Ok(1));
    until("all hold it", || all_hold(&fleet, 1));
    fleet.cut(first);
    let lost = fleet.begin_put(first, 1, b"lost");
    let took = until("its lease ends", || fleet.holds(first).is_none() && !fleet.standing(first).is_leader);
    assert!(took < fleet.times.lease + Duration::from_millis(100), "{took:?}");
    let mut next = None;
    until("another one leads", || {
        next = (0..3).find(|n| *n != first && fleet.standing(*n).is_leader);
        next.is_some()
    });
    assert_eq!(fleet.put(next.unwrap(), 1, b"two"), Ok(2));
    assert!(lost.blocking_recv().unwrap().is_err());
    fleet.heal();
    until("it has it", || all_hold(&fleet, 2));
    assert_eq!(&fleet.standing(first).received.unwrap().body[..], b"two");
}

/// One that has been told and whose serving thread goes on as before is behind as long as it renews its lease.
#[test]
fn whoever_does_not_act_on_it_is_behind() {
    let fleet = Fleet::new(4, 1000, LeaseExpiryPolicy::Conservative);
    let leader = fleet.leader();
    let slow = if leader == 3 { 0 } else { 3 };
    assert_eq!(fleet.put(leader, 0, b"one"), Ok(1));
    until("all act on it", || fleet.standing(leader).lagging_members.is_empty());
    fleet.stuck.lock().unwrap().insert(slow);
    assert_eq!(fleet.put(leader, 1, b"two"), Ok(2));
    std::thread::sleep(fleet.times.max_lease() + Duration::from_millis(300));
    let behind = fleet.standing(leader).lagging_members;
    assert!(behind.len() == 1 && behind[0].name == fleet.names[slow], "{behind:?}");
    fleet.stuck.lock().unwrap().clear();
    until("then not", || fleet.standing(leader).lagging_members.is_empty());
}

/// A member of an earlier program is told nothing, holds no lease on it, is named as such, and keeps nobody waiting.
#[test]
fn an_earlier_program_has_no_part_and_is_named() {
    let fleet = Fleet::new(5, 1000, LeaseExpiryPolicy::Conservative);
    fleet.old(4);
    let leader = fleet.leader();
    // From the next election on nothing is known of it.
    fleet.cut(leader);
    std::thread::sleep(Duration::from_millis(1500));
    fleet.heal();
    until("somebody else leads, or again", || (0..5).any(|n| fleet.standing(n).is_leader));
    let leader = fleet.leader();
    assert_eq!(fleet.put(leader, 0, b"one"), Ok(1));
    until("the others hold it", || (0..4).all(|n| fleet.holds(n) == Some(1)));
    until("all act on it", || fleet.standing(leader).lagging_members.is_empty());
    until("it is named", || {
        let members = fleet.standing(leader).members;
        members.iter().any(|(name, acts)| *name == fleet.names[4] && acts.is_none()) && members.len() == 5
    });
    assert_eq!(fleet.holds(4), None);
    assert_eq!(fleet.parts[4].as_ref().unwrap().active_version.borrow().label, "1", "versions go on");
}

/// All voters were of an earlier program for a while, which compacted it away: whoever leads then hears from the members which
/// number is in force, puts on that, and all voters have it again.
#[test]
fn what_earlier_programs_compacted_away_is_gone_on_from() {
    let mut fleet = Fleet::new(4, 1000, LeaseExpiryPolicy::Conservative);
    let leader = fleet.leader();
    for number in 0..3 {
        assert_eq!(fleet.put(leader, number, b"before"), Ok(number + 1));
    }
    until("all hold it, and know it", || all_hold(&fleet, 3) && (0..3).all(|n| agreed(&fleet, n) == Some(3)));
    // So that they know that it is committed, too.
    std::thread::sleep(Duration::from_millis(300));
    (0..3).for_each(|n| fleet.kill(n));
    (0..3).for_each(|n| fleet.age(n));
    (0..3).for_each(|n| fleet.start(n, FILE));
    let leader = fleet.leader();
    assert_eq!(agreed(&fleet, leader), None);
    let early = fleet.put(leader, 0, b"early").unwrap_err();
    assert!(early.contains("may lack some"), "{early}");
    std::thread::sleep(fleet.times.max_lease());
    assert_eq!(fleet.put(leader, 0, b"early"), Err("common document 3 is in force".into()));
    assert_eq!(fleet.put(leader, 3, b"after"), Ok(4));
    until("all hold it", || all_hold(&fleet, 4) && (0..3).all(|n| agreed(&fleet, n) == Some(4)));
}

fn agreed(fleet: &Fleet, n: usize) -> Option<u64> {
    fleet.standing(n).committed.map(|agreed| agreed.number)
}

/// Nobody makes it at a member of this program either: the same.
#[test]
fn whoever_has_no_part_keeps_nobody_waiting() {
    let mut fleet = Fleet::new(4, 1000, LeaseExpiryPolicy::Conservative);
    let leader = fleet.leader();
    assert_eq!(fleet.put(leader, 0, b"one"), Ok(1));
    until("all act on it", || all_hold(&fleet, 1) && fleet.standing(leader).lagging_members.is_empty());
    let without = if leader == 3 { 0 } else { 3 };
    fleet.places[without] = None;
    fleet.stuck.lock().unwrap().insert(without);
    assert_eq!(fleet.put(leader, 1, b"two"), Ok(2));
    until("its lease ends, and then it is not waited for", || {
        fleet.standing(leader).lagging_members.is_empty()
    });
    until("it is named", || {
        let members = fleet.standing(leader).members;
        members.iter().any(|(name, acts)| *name == fleet.names[without] && acts.is_none())
    });
    until("nor holds it one", || fleet.holds(without).is_none());
}

/// Many in a row, each as soon as the one before is done, on disks that sync: how long one takes. Their bounds are tested where no
/// disk keeps a thousand waiting.
#[test]
fn puts_in_a_row_take_a_moment_each() {
    let fleet = Fleet::new(3, 2000, LeaseExpiryPolicy::Conservative);
    let leader = fleet.leader();
    let body = vec![9; 16 << 10];
    let most: u64 = std::env::var("MAPLEHOOK_PUTS").ok().and_then(|n| n.parse().ok()).unwrap_or(100);
    let begun = Instant::now();
    let mut longest = Duration::ZERO;
    for number in 0..most {
        let put = Instant::now();
        assert_eq!(fleet.put(leader, number, &body), Ok(number + 1));
        longest = longest.max(put.elapsed());
    }
    let each = begun.elapsed() / most as u32;
    until("all have the last one", || all_hold(&fleet, most));
    let disks: Vec<u64> = (0..3).map(|n| fleet.disk(n)).collect();
    let resident = resident();
    println!(
        "{most} puts: one takes {each:?}, {longest:?} at the most; logs of {disks:?} bytes, {resident} KiB resident"
    );
    assert!(disks.iter().all(|bytes| *bytes < 24 << 20), "{disks:?}");
    assert!(each < Duration::from_millis(250), "{each:?}");
}

/// KiB of this process in memory.
fn resident() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap();
    line.trim().trim_end_matches(" kB").parse().unwrap()
}

/// What makers of it say to one another passes as it is.
#[test]
fn messages_between_makers_pass() {
    let mut fleet = Fleet::new(3, 1000, LeaseExpiryPolicy::Conservative);
    // To an earlier program these bytes alone would be the word that it votes no more.
    let body = bytes::Bytes::from_static(&[10]);
    let to = fleet.names[2].clone();
    let message = Message { topic: SHARED_DOCUMENT_TOPIC, body: body.clone() };
    fleet.places[0].as_ref().unwrap().outgoing.blocking_send((to, message)).unwrap();
    let mut heard = None;
    until("it is heard", || {
        heard = fleet.places[2].as_mut().unwrap().incoming.try_recv().ok();
        heard.is_some()
    });
    assert_eq!(heard, Some((fleet.names[0].clone(), body)));
    assert!(!fleet.mistaken());
}

/// Two makers put at once, again and again: neither is refused for the other's sake, each goes on by its own numbers, and what one
/// has put stays when the other puts. A word of one is not heard by the other.
#[test]
fn two_parts_do_not_get_in_each_others_way() {
    let mut fleet = Fleet::new(3, 1000, LeaseExpiryPolicy::Conservative);
    let leader = fleet.leader();
    let (mut places, mut rollout) = (0, 0);
    for n in 0..20u8 {
        let one = fleet.begin_put(leader, places, &[n]);
        let two = begin_put(fleet.rollout[leader].as_ref().unwrap(), rollout, &[n, n]);
        places = one.blocking_recv().unwrap().unwrap();
        rollout = two.blocking_recv().unwrap().unwrap();
        assert_ne!(places, rollout);
    }
    // The newest of all is not the one that members say they act on.
    let last = begin_put(fleet.rollout[leader].as_ref().unwrap(), rollout, &[19, 19]);
    rollout = last.blocking_recv().unwrap().unwrap();
    let other = (0..3).find(|n| *n != leader).unwrap();
    let staged = |n: usize| fleet.parts[n].as_ref().unwrap().rollout_status.borrow().received.clone();
    until("both are held", || {
        staged(other).is_some_and(|part| part.number == rollout) && fleet.holds(other) == Some(places)
    });
    assert_eq!(&staged(other).unwrap().body[..], [19, 19]);
    assert_eq!(&fleet.standing(other).received.unwrap().body[..], [19]);
    // One's number is not the other's.
    let wrong = begin_put(fleet.rollout[leader].as_ref().unwrap(), places.min(rollout) - 1, b"x");
    let wrong = wrong.blocking_recv().unwrap().map_err(|error| error.to_string());
    assert_eq!(wrong, Err(format!("common document {rollout} is in force")));
    // Who acts on a part's newest body is not behind for another part's sake.
    until("nobody is behind", || fleet.standing(leader).lagging_members.is_empty());
    let told = Message { topic: SHARED_DOCUMENT_TOPIC, body: b"hear"[..].into() };
    let (name, to) = (fleet.names[other].clone(), fleet.names[leader].clone());
    fleet.rollout[leader].as_ref().unwrap().outgoing.blocking_send((name, told)).unwrap();
    let heard = fleet.rollout[other].as_mut().unwrap().incoming.blocking_recv();
    assert_eq!(heard, Some((to, b"hear"[..].into())));
    assert!(fleet.places[other].as_mut().unwrap().incoming.try_recv().is_err());
}
