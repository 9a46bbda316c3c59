//! Voters in one thread whose places change: nothing that was acknowledged is lost, and whoever is replaced counts no more.

mod voters;

use maplehook_consensus::store::PersistedState;
use maplehook_consensus::voter::{ProposalOutcome, initial_snapshot};
use maplehook_versions::Command;
use voters::Cluster;

/// Three voters; the fourth is a member and no voter: its disk has no log.
fn three_of_four(seed: u64) -> Cluster {
    let mut cluster = Cluster::new(4, seed, false);
    let begins = initial_snapshot(&cluster.names[..3]);
    for n in 0..3 {
        cluster.disks[n].kept.snapshot = begins.clone();
        cluster.crash(n);
        cluster.start(n);
    }
    cluster.crash(3);
    cluster.play(40);
    cluster.elect();
    cluster
}

/// A voter that is gone for good is replaced; the new one has all that was agreed, and its vote counts.
#[test]
fn a_voter_is_replaced() {
    for lost in [0, 1, 3] {
        let mut cluster = three_of_four(13);
        for ticket in 0..40 {
            cluster.propose(ticket);
            cluster.play(4);
        }
        let before = cluster.acknowledged.len();
        assert!(before > 10);
        let leader = cluster.leader().unwrap();
        let gone = (0..3).find(|n| *n != leader).unwrap();
        cluster.crash(gone);
        cluster.comes(3, 77);
        cluster.lose_snapshots = lost;
        assert!(cluster.replace(900, gone, 3, 77));
        assert!(!cluster.replace(901, leader, 3, 78), "one at a time");
        cluster.play(200);
        assert!(
            matches!(cluster.ended.get(&900), Some(ProposalOutcome::Applied(Ok(_)))),
            "{:?}",
            cluster.ended.get(&900)
        );
        let rest: Vec<usize> = (0..4).filter(|n| *n != gone).collect();
        let named: Vec<String> = rest.iter().map(|n| cluster.names[*n].to_string()).collect();
        assert!(rest.iter().all(|n| cluster.votes(*n) == named), "{:?}", cluster.votes(3));
        // Another one fails: two of the present three are a majority, the new one among them.
        cluster.crash(leader);
        cluster.play(80);
        cluster.elect();
        for ticket in 1000..1004 {
            cluster.propose(ticket);
            cluster.play(10);
        }
        assert!(cluster.acknowledged.len() > before, "{:?}", cluster.leader());
        // The one that was replaced comes back with its log: it stands for election in vain, and what was agreed stays.
        cluster.start(gone);
        cluster.play(100);
        assert_ne!(cluster.leader(), Some(gone));
        cluster.start(leader);
        cluster.play(60);
        // All of them at once, and back from their disks.
        (0..4).for_each(|n| cluster.crash(n));
        (0..4).for_each(|n| cluster.start(n));
        cluster.check().unwrap();
        assert!(cluster.leader().is_some_and(|n| n != gone));
    }
}

/// Under losses and crashes: places change, and nothing that was acknowledged is lost.
#[test]
fn places_change_in_storms() {
    let mut changed = 0;
    for seed in 0..20u64 {
        let mut cluster = Cluster::new(5, seed, false);
        let begins = initial_snapshot(&cluster.names[..3]);
        for n in 0..5 {
            if n < 3 {
                cluster.disks[n].kept.snapshot = begins.clone();
            } else {
                cluster.disks[n].kept = PersistedState::default();
            }
            cluster.crash(n);
        }
        (0..3).for_each(|n| cluster.start(n));
        cluster.play(40);
        let mut numbers = 100;
        for round in 0..40u64 {
            cluster.loss = [0.0, 0.1, 0.4][cluster.rng.usize(..3)];
            let victim = cluster.rng.usize(..5);
            match cluster.rng.usize(..4) {
                0 => cluster.crash(victim),
                1 => {
                    let had: Vec<usize> =
                        (0..5).filter(|n| cluster.disks[*n].kept != PersistedState::default()).collect();
                    had.into_iter().for_each(|n| cluster.start(n));
                }
                2 => {
                    // Whoever does not vote by the leader's word is given the place of somebody who does.
                    if let Some(leader) = cluster.leader() {
                        let voters = cluster.votes(leader);
                        let name = |n: usize| cluster.names[n].to_string();
                        let old = (0..5).find(|n| *n != leader && voters.contains(&name(*n)));
                        let new = (0..5).find(|n| !voters.contains(&name(*n)));
                        if let (Some(old), Some(new)) = (old, new) {
                            numbers += 1;
                            if let Some(number) = cluster.asked(leader, new, numbers) {
                                cluster.replace(seed * 1000 + 500 + round, old, new, number);
                            }
                        }
                    }
                }
                _ => {}
            }
            cluster.play(10);
            cluster.propose(seed * 1000 + round);
            cluster.play(6);
        }
        let ended = cluster.ended.iter().filter(|(ticket, _)| **ticket % 1000 >= 500);
        changed += ended.filter(|(_, ended)| matches!(ended, ProposalOutcome::Applied(_))).count();
        cluster.check().unwrap_or_else(|e| panic!("seed {seed}: {e}"));
    }
    assert!(changed > 20, "{changed}");
}

/// The voter that is being replaced comes to lead, and carries its own replacement out: it steps down, and another one leads.
#[test]
fn a_leader_that_gives_its_own_place_away_steps_down() {
    let mut cluster = three_of_four(19);
    let leader = cluster.leader().unwrap();
    let others: Vec<usize> = (0..3).filter(|n| *n != leader).collect();
    let (replaced, rest) = (others[0], others[1]);
    cluster.comes(3, 55);
    assert!(cluster.replace(900, replaced, 3, 55));
    cluster.settle(leader);
    // The one that is replaced has the entry and nobody else; then its leader is gone: only it can win an election.
    let ways = std::mem::take(&mut cluster.ways);
    for (from, to, bytes) in ways.into_iter().filter(|(_, to, _)| *to == replaced) {
        cluster.voters[to].as_mut().unwrap().step(&cluster.names[from], &bytes);
        cluster.settle(to);
    }
    cluster.ways.clear();
    cluster.crash(leader);
    let mut led = false;
    for round in 0..300 {
        // There is always something behind the entry that takes its place away.
        if cluster.leader() == Some(replaced) {
            led = true;
            cluster.propose(2000 + round);
        }
        cluster.play(1);
        let voter = cluster.voters[replaced].as_mut().unwrap();
        if voter.is_replaced() {
            assert!(!voter.propose(1, &Command::Undo { epoch: 0 }), "it leads no more");
        }
    }
    assert!(led, "it led");
    let mut voters: Vec<String> = [leader, rest, 3].iter().map(|n| cluster.names[*n].to_string()).collect();
    voters.sort();
    assert_eq!(cluster.votes(rest), voters);
    assert!(cluster.leader().is_some_and(|n| n == rest || n == 3), "{:?}", cluster.leader());
    assert!(cluster.voters[replaced].as_ref().unwrap().is_replaced());
}

/// A voter that lags hears the leader, though that took its place after all that the lagging one knows.
#[test]
fn whoever_lags_hears_a_leader_that_came_later() {
    let mut cluster = Cluster::new(5, 23, false);
    let begins = initial_snapshot(&cluster.names[..3]);
    for n in 0..3 {
        cluster.disks[n].kept.snapshot = begins.clone();
        cluster.crash(n);
        cluster.start(n);
    }
    (3..5).for_each(|n| cluster.crash(n));
    cluster.play(40);
    let leader = cluster.elect();
    let others: Vec<usize> = (0..3).filter(|n| *n != leader).collect();
    let (lags, replaced) = (others[0], others[1]);
    cluster.crash(lags);
    cluster.comes(3, 55);
    assert!(cluster.replace(900, replaced, 3, 55));
    cluster.play(200);
    assert!(cluster.ended.contains_key(&900));
    // Of the two that know of each other the new one leads.
    for _ in 0..20 {
        if let Some(leads) = cluster.leader().filter(|n| *n != 3) {
            cluster.voters[leads].as_mut().unwrap().transfer_leadership();
        }
        cluster.play(20);
    }
    assert_eq!(cluster.leader(), Some(3));
    for ticket in 0..6 {
        cluster.propose(ticket);
        cluster.play(6);
    }
    cluster.start(lags);
    cluster.play(120);
    assert_eq!(cluster.leader(), Some(3));
    assert_eq!(cluster.steps(lags), cluster.steps(3));
}

/// Guards a transfer that is asked for in the tick of the quorum check, in which no other voter counts as active: it was forgotten.
#[test]
fn leadership_is_transferred_whenever_it_is_asked_for() {
    for ticks in 0..20 {
        let mut cluster = three_of_four(29);
        cluster.play(ticks);
        let leader = cluster.elect();
        cluster.voters[leader].as_mut().unwrap().transfer_leadership();
        cluster.play(10);
        assert_ne!(cluster.elect(), leader, "asked for after {ticks} ticks");
    }
}
