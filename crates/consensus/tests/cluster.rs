//! Voters in one thread, with disks that crash and ways that lose: what was acknowledged stays, and all play one log.

mod voters;

use maplehook_consensus::voter::ProposalOutcome;
use maplehook_versions::{Command, CommandError};
use voters::Cluster;

fn storm(n: usize, seed: u64, lies: bool) -> Result<usize, String> {
    let mut cluster = Cluster::new(n, seed, lies);
    for round in 0..60u64 {
        cluster.loss = [0.0, 0.1, 0.4][cluster.rng.usize(..3)];
        let victim = cluster.rng.usize(..n);
        match cluster.rng.usize(..4) {
            0 => cluster.crash(victim),
            1 => (0..n).for_each(|n| cluster.start(n)),
            2 => {
                // All at once, and back.
                (0..n).for_each(|n| cluster.crash(n));
                (0..n).for_each(|n| cluster.start(n));
            }
            _ => {}
        }
        cluster.play(8);
        cluster.propose(seed * 1000 + round);
        cluster.play(6);
    }
    cluster.check()?;
    Ok(cluster.acknowledged.len())
}

#[test]
fn what_was_acknowledged_outlives_crashes_and_losses() {
    let mut acknowledged = 0;
    for seed in 0..25 {
        for n in [3, 5] {
            acknowledged += storm(n, seed, false).unwrap_or_else(|e| panic!("{n} voters, seed {seed}: {e}"));
        }
    }
    assert!(acknowledged > 200, "{acknowledged}");
}

/// A disk that says it has synced and has not is found out.
#[test]
fn a_vote_without_a_sync_is_found_out() {
    let found = (0..40).any(|seed| {
        // Raft itself may give up on a log that has shrunk.
        std::panic::catch_unwind(|| storm(3, seed, true)).map_or(true, |played| played.is_err())
    });
    assert!(found);
}

#[test]
fn the_log_is_bounded_and_who_lags_far_behind_gets_the_snapshot() {
    let mut cluster = Cluster::new(3, 7, false);
    cluster.play(40);
    let lags = (0..3).find(|n| Some(*n) != cluster.leader()).unwrap();
    cluster.crash(lags);
    for ticket in 0..300 {
        cluster.propose(ticket);
        cluster.play(3);
    }
    assert!(cluster.acknowledged.len() > 50, "{}", cluster.acknowledged.len());
    let entries: Vec<usize> = cluster.disks.iter().map(|disk| disk.kept.entries.len()).collect();
    assert!(entries.iter().all(|n| *n < 100), "{entries:?}");
    cluster.check().unwrap();
}

/// Whoever can't reach a majority acknowledges nothing.
#[test]
fn a_minority_agrees_on_nothing() {
    let mut cluster = Cluster::new(3, 9, false);
    cluster.play(40);
    let leader = cluster.leader().unwrap();
    (0..3).filter(|n| *n != leader).for_each(|n| cluster.crash(n));
    let before = cluster.acknowledged.len();
    cluster.propose(1);
    cluster.play(60);
    assert_eq!(cluster.acknowledged.len(), before);
    assert!(cluster.leader().is_none(), "it leads no more, and says so");
    assert_eq!(cluster.ended.get(&1), Some(&ProposalOutcome::Unknown));
    // A read that nobody confirms is none.
    assert!(!cluster.voters[leader].as_mut().unwrap().confirm_leadership(5));
}

/// A snapshot that is lost on its way is sent again, by the same leader.
#[test]
fn a_lost_snapshot_is_sent_again() {
    let mut cluster = Cluster::new(3, 11, false);
    cluster.play(40);
    let leader = cluster.leader().unwrap();
    let lags = (0..3).find(|n| *n != leader).unwrap();
    cluster.crash(lags);
    for ticket in 0..300 {
        cluster.propose(ticket);
        cluster.play(3);
    }
    cluster.lose_snapshots = 2;
    cluster.start(lags);
    cluster.play(150);
    assert_eq!(cluster.lose_snapshots, 0, "it was sent");
    assert_eq!((cluster.leader(), cluster.steps(lags)), (Some(leader), cluster.steps(leader)));
}

/// Long texts: what a voter keeps in memory stays bounded by bytes, not by their number alone.
#[test]
fn long_texts_are_bounded_by_bytes() {
    let mut cluster = Cluster::new(3, 17, false);
    cluster.play(40);
    let long = "x".repeat(500_000);
    for ticket in 0..40u64 {
        let Some(leader) = cluster.leader() else { continue };
        let voter = cluster.voters[leader].as_mut().unwrap();
        let epoch = voter.version_state().epoch;
        let text = format!("{ticket} {long}");
        let command = match voter.version_state().phase {
            maplehook_versions::Phase::Transition { .. } => Command::Advance { epoch },
            _ => Command::Propose {
                epoch,
                expected: None,
                text: text.clone(),
                proposed_by: "b0".into(),
                proposed_at_unix_ms: 0,
            },
        };
        let newest = voter.version_state().versions.last().map(|v| v.text.clone());
        let of = if matches!(command, Command::Advance { .. }) { newest.unwrap() } else { text };
        cluster.texts.insert(ticket, of);
        voter.propose(ticket, &command);
        cluster.play(4);
    }
    let bytes = |cluster: &Cluster, n: usize| -> usize {
        let kept = &cluster.disks[n].kept;
        kept.entries.iter().map(|e| e.data.len()).sum::<usize>() + kept.snapshot.get_data().len()
    };
    assert!((0..3).all(|n| bytes(&cluster, n) < 8 << 20), "{}", bytes(&cluster, 0));
    assert!(cluster.steps(0).unwrap().version(1).is_none(), "old ones go");
    assert!(cluster.acknowledged.len() > 10);
}

/// Many long common documents: the last alone is kept, and what a voter holds stays bounded; who lags gets it with the snapshot.
#[test]
fn a_thousand_common_documents_leave_the_last() {
    let mut cluster = Cluster::new(3, 29, false);
    cluster.play(40);
    let lags = (0..3).find(|n| Some(*n) != cluster.leader()).unwrap();
    let mut most = 0;
    for number in 0..1000u64 {
        if number == 500 {
            cluster.crash(lags);
        }
        let long = if number % 16 == 0 { 256 << 10 } else { 4 << 10 };
        let body = vec![(number % 251) as u8; long];
        let leader = cluster.leader().unwrap();
        let command = Command::ReplaceDocument { expected: number, body };
        assert!(cluster.voters[leader].as_mut().unwrap().propose(number, &command));
        cluster.play(2);
        assert_eq!(cluster.ended.get(&number), Some(&ProposalOutcome::Applied(Ok(number + 1))));
        let kept = &cluster.disks[leader].kept;
        let bytes: usize = kept.entries.iter().map(|e| e.data.len()).sum();
        most = most.max(bytes + kept.snapshot.get_data().len());
    }
    assert!(most < 8 << 20, "{most}");
    println!("{most} bytes in a log at the most");
    // The same number again is refused by the log itself.
    let leader = cluster.leader().unwrap();
    let again = Command::ReplaceDocument { expected: 999, body: Vec::new() };
    cluster.voters[leader].as_mut().unwrap().propose(5000, &again);
    cluster.play(4);
    assert_eq!(
        cluster.ended.get(&5000),
        Some(&ProposalOutcome::Applied(Err(CommandError::UnexpectedDocument { number: 1000 })))
    );
    cluster.start(lags);
    cluster.check().unwrap();
    let common = &cluster.steps(lags).unwrap().shared_document;
    assert_eq!((common.number, common.body[0]), (1000, (999 % 251) as u8));
}

/// Under losses and crashes: what was acknowledged is in force or followed by a later one, under one number one body.
#[test]
fn common_documents_outlive_storms() {
    let mut done = 0;
    for seed in 0..15u64 {
        let mut cluster = Cluster::new(3, 100 + seed, false);
        let mut said: std::collections::BTreeMap<u64, u64> = Default::default();
        for round in 0..60u64 {
            cluster.loss = [0.0, 0.1, 0.4][cluster.rng.usize(..3)];
            let victim = cluster.rng.usize(..3);
            match cluster.rng.usize(..4) {
                0 => cluster.crash(victim),
                1 => (0..3).for_each(|n| cluster.start(n)),
                _ => {}
            }
            cluster.play(8);
            if let Some(leader) = cluster.leader() {
                let voter = cluster.voters[leader].as_mut().unwrap();
                let expect = voter.version_state().shared_document.number;
                voter.propose(
                    round,
                    &Command::ReplaceDocument { expected: expect, body: round.to_be_bytes().to_vec() },
                );
            }
            cluster.play(6);
        }
        for (round, ended) in &cluster.ended {
            if let ProposalOutcome::Applied(Ok(number)) = ended {
                assert_eq!(
                    said.insert(*number, *round),
                    None,
                    "seed {seed}: number {number} was given twice"
                );
            }
        }
        cluster.check().unwrap_or_else(|e| panic!("seed {seed}: {e}"));
        let common = cluster.steps(0).unwrap().shared_document.clone();
        done += said.len();
        if let Some((number, round)) = said.last_key_value() {
            assert!(
                common.number >= *number,
                "seed {seed}: {number} was acknowledged, {} stands",
                common.number
            );
            let same = common.number > *number || common.body[..] == round.to_be_bytes();
            assert!(same, "seed {seed}: another body stands as {number}");
        }
    }
    assert!(done > 100, "{done}");
}
