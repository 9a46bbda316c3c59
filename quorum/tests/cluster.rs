//! Voters in one thread, with disks that crash and ways that lose: what was acknowledged stays, and all play one log.

use maplehook_agreement::steps::{Command, Steps};
use maplehook_quorum::store::{Batch, Kept};
use maplehook_quorum::voter::{Ended, Voter, begins, id, seat_id};
use maplehook_tier::Name;
use protobuf::Message as _;
use raft::eraftpb::{MessageType, Snapshot};
use std::collections::BTreeMap;

/// A disk: what is synced outlives a crash.
#[derive(Clone)]
struct Disk {
    kept: Kept,
    /// A planted flaw: it says that it has synced and has not.
    lies: bool,
}

impl Disk {
    fn write(&mut self, batch: &Batch<'_>) {
        if self.lies {
            return;
        }
        if let Some(hard) = batch.hard {
            self.kept.hard = hard.clone();
        }
        if let Some(snapshot) = batch.snapshot {
            self.kept.snapshot = snapshot.clone();
            let index = snapshot.get_metadata().index;
            self.kept.entries.retain(|entry| entry.index > index);
        }
        if let Some(first) = batch.entries.first() {
            self.kept.entries.retain(|entry| entry.index < first.index);
        }
        self.kept.entries.extend(batch.entries.iter().cloned());
    }
}

struct Cluster {
    names: Vec<Name>,
    /// The numbers that they have now.
    ids: Vec<u64>,
    /// The numbers under which members took places.
    numbers: BTreeMap<usize, u64>,
    /// Snapshots that are still to be lost.
    lose_snapshots: usize,
    disks: Vec<Disk>,
    voters: Vec<Option<Voter>>,
    ways: Vec<(usize, usize, Vec<u8>)>,
    rng: fastrand::Rng,
    loss: f64,
    ended: BTreeMap<u64, Ended>,
    /// Versions that somebody was told are agreed, by number.
    acknowledged: BTreeMap<u64, String>,
    texts: BTreeMap<u64, String>,
    /// Two texts under one number: what must never be.
    broken: Option<String>,
}

impl Cluster {
    fn new(n: usize, seed: u64, lies: bool) -> Self {
        let names: Vec<Name> = (0..n).map(|k| Name::new(&format!("b{k}")).unwrap()).collect();
        let begins: Snapshot = begins(&names);
        let mut kept = Kept { snapshot: begins.clone(), ..Kept::default() };
        (kept.hard.term, kept.hard.commit) = (1, 1);
        let disks = vec![Disk { kept, lies }; n];
        let voters = disks
            .iter()
            .zip(&names)
            .map(|(d, own)| Voter::new(id(own), &names, d.kept.clone()).ok())
            .collect();
        let ids = names.iter().map(id).collect();
        Self {
            names,
            ids,
            numbers: BTreeMap::new(),
            lose_snapshots: 0,
            disks,
            voters,
            ways: Vec::new(),
            rng: fastrand::Rng::with_seed(seed),
            loss: 0.0,
            ended: BTreeMap::new(),
            acknowledged: BTreeMap::new(),
            texts: BTreeMap::new(),
            broken: None,
        }
    }

    fn crash(&mut self, n: usize) {
        self.voters[n] = None;
    }

    fn start(&mut self, n: usize) {
        if self.voters[n].is_none() {
            self.voters[n] = Voter::new(self.ids[n], &self.names, self.disks[n].kept.clone()).ok();
        }
    }

    fn settle(&mut self, n: usize) {
        let (Some(voter), disk) = (&mut self.voters[n], &mut self.disks[n]) else { return };
        let settled = voter
            .settle(&mut |batch| {
                disk.write(batch);
                Ok(())
            })
            .unwrap();
        for (to, bytes) in settled.messages {
            let Some(to) = self.ids.iter().position(|id| *id == to) else { continue };
            self.ways.push((n, to, bytes));
        }
        for (ticket, ended) in settled.ended {
            // A change of voters has no text.
            if let (Ended::Played(Ok(number)), Some(text)) = (&ended, self.texts.get(&ticket).cloned())
                && self.acknowledged.insert(*number, text.clone()).is_some_and(|before| before != text)
            {
                self.broken = Some(format!("version {number} was acknowledged twice"));
            }
            self.ended.insert(ticket, ended);
        }
    }

    /// Some messages pass, in any order, and some time.
    fn play(&mut self, rounds: usize) {
        for _ in 0..rounds {
            for n in 0..self.voters.len() {
                if let Some(voter) = &mut self.voters[n] {
                    voter.tick();
                }
                self.settle(n);
            }
            let mut ways = std::mem::take(&mut self.ways);
            self.rng.shuffle(&mut ways);
            for (from, to, bytes) in ways {
                if self.rng.f64() < self.loss {
                    continue;
                }
                let message = raft::eraftpb::Message::parse_from_bytes(&bytes).unwrap();
                if message.get_msg_type() == MessageType::MsgSnapshot && self.lose_snapshots > 0 {
                    self.lose_snapshots -= 1;
                    continue;
                }
                if let Some(voter) = &mut self.voters[to] {
                    voter.step(&self.names[from], &bytes);
                    self.settle(to);
                }
            }
        }
    }

    fn leader(&self) -> Option<usize> {
        (0..self.voters.len()).find(|n| self.voters[*n].as_ref().is_some_and(Voter::knows))
    }

    fn propose(&mut self, ticket: u64) -> bool {
        let Some(leader) = self.leader() else { return false };
        let Some(voter) = &mut self.voters[leader] else { return false };
        let epoch = voter.steps().epoch;
        let text = format!("text {ticket}");
        let command = match voter.steps().step {
            maplehook_agreement::steps::Step::Strictest { .. } => Command::Advance { epoch },
            _ => Command::Propose { epoch, expect: None, text: text.clone(), by: "b0".into(), at_ms: 0 },
        };
        if matches!(command, Command::Propose { .. }) {
            self.texts.insert(ticket, text);
        } else {
            let to = voter.steps().versions.last().unwrap().text.clone();
            self.texts.insert(ticket, to);
        }
        voter.propose(ticket, &command)
    }

    fn steps(&self, n: usize) -> Option<&Steps> {
        self.voters[n].as_ref().map(Voter::steps)
    }

    /// What was acknowledged is there, at everybody, the same.
    fn check(&mut self) -> Result<(), String> {
        self.loss = 0.0;
        (0..self.voters.len()).for_each(|n| self.start(n));
        self.play(120);
        if let Some(broken) = &self.broken {
            return Err(broken.clone());
        }
        // Whoever was replaced may not have heard of it: it counts no more.
        let leader = self.leader().ok_or("nobody leads")?;
        let voters = self.votes(leader);
        let first = self.steps(leader).ok_or("it has ended")?.clone();
        for n in (0..self.voters.len()).filter(|n| voters.contains(&self.names[*n].to_string())) {
            let steps = self.steps(n).ok_or("it does not run")?;
            if *steps != first {
                let words =
                    |steps: &Steps| format!("epoch {}, {} versions", steps.epoch, steps.versions.len());
                return Err(format!("voter {n} has {}, the leader {leader} {}", words(steps), words(&first)));
            }
        }
        let newest = first.versions.last().map_or(0, |v| v.number);
        for (number, text) in &self.acknowledged {
            let is = first.version(*number).map(|version| &version.text);
            // Only the last ones are kept.
            if is.is_some_and(|is| is != text) || (is.is_none() && *number + 32 > newest) {
                return Err(format!("version {number} was acknowledged as {text:?} and is {is:?}"));
            }
        }
        Ok(())
    }
}

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
    assert_eq!(cluster.ended.get(&1), Some(&Ended::Unknown));
    // A read that nobody confirms is none.
    assert!(!cluster.voters[leader].as_mut().unwrap().read(5));
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

impl Cluster {
    /// A member is asked to take a place: the number under which it would vote. As the thread round a voter does it: whoever waits
    /// already says its number again, and whoever takes itself for a voter takes none.
    fn asked(&mut self, leader: usize, n: usize, number: u64) -> Option<u64> {
        let leads = self.voters[leader].as_ref()?;
        let (named, changes) = (leads.names_voter(&self.names[n]), leads.changes());
        if changes || named {
            return None;
        }
        let voter = self.voters[n].as_ref();
        if voter.is_some_and(Voter::waits) {
            return self.numbers.get(&n).copied();
        }
        if voter.is_some_and(|voter| !voter.unseated()) {
            return None;
        }
        // One that does not run can't answer, but for those that have had no part in votes yet.
        if voter.is_none() && (self.disks[n].kept != Kept::default() || self.numbers.contains_key(&n)) {
            return None;
        }
        self.comes(n, number);
        Some(number)
    }

    /// A member with an empty disk, which waits for a place under a number of its own.
    fn comes(&mut self, n: usize, number: u64) {
        self.numbers.insert(n, number);
        self.ids[n] = seat_id(&self.names[n], number);
        self.disks[n].kept = Kept::default();
        self.voters[n] = None;
        self.start(n);
    }

    fn replace(&mut self, ticket: u64, old: usize, new: usize, number: u64) -> bool {
        let Some(leader) = self.leader() else { return false };
        let (old, new) = (self.names[old].clone(), self.names[new].clone());
        self.voters[leader].as_mut().unwrap().replace(ticket, &old, &new, number)
    }

    fn votes(&self, n: usize) -> Vec<String> {
        self.voters[n].as_ref().unwrap().voters().iter().map(ToString::to_string).collect()
    }
}

/// A voter that is gone for good is replaced; the new one has all that was agreed, and its vote counts.
#[test]
fn a_voter_is_replaced() {
    for lost in [0, 1, 3] {
        let mut cluster = Cluster::new(4, 13, false);
        // The fourth is a member and no voter: its disk has no log.
        let begins = begins(&cluster.names[..3]);
        for n in 0..3 {
            cluster.disks[n].kept.snapshot = begins.clone();
            cluster.crash(n);
            cluster.start(n);
        }
        cluster.crash(3);
        cluster.play(40);
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
            matches!(cluster.ended.get(&900), Some(Ended::Played(Ok(_)))),
            "{:?}",
            cluster.ended.get(&900)
        );
        let rest: Vec<usize> = (0..4).filter(|n| *n != gone).collect();
        let named: Vec<String> = rest.iter().map(|n| cluster.names[*n].to_string()).collect();
        assert!(rest.iter().all(|n| cluster.votes(*n) == named), "{:?}", cluster.votes(3));
        // Another one fails: two of the present three are a majority, the new one among them.
        cluster.crash(leader);
        cluster.play(80);
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
        let begins = begins(&cluster.names[..3]);
        for n in 0..5 {
            if n < 3 {
                cluster.disks[n].kept.snapshot = begins.clone();
            } else {
                cluster.disks[n].kept = Kept::default();
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
                        (0..5).filter(|n| cluster.disks[*n].kept != Kept::default()).collect();
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
        changed += ended.filter(|(_, ended)| matches!(ended, Ended::Played(_))).count();
        cluster.check().unwrap_or_else(|e| panic!("seed {seed}: {e}"));
    }
    assert!(changed > 20, "{changed}");
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
        let epoch = voter.steps().epoch;
        let text = format!("{ticket} {long}");
        let command = match voter.steps().step {
            maplehook_agreement::steps::Step::Strictest { .. } => Command::Advance { epoch },
            _ => Command::Propose { epoch, expect: None, text: text.clone(), by: "b0".into(), at_ms: 0 },
        };
        let newest = voter.steps().versions.last().map(|v| v.text.clone());
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

/// The voter that is being replaced comes to lead, and carries its own replacement out: it steps down, and another one leads.
#[test]
fn a_leader_that_gives_its_own_place_away_steps_down() {
    let mut cluster = Cluster::new(4, 19, false);
    let begins = begins(&cluster.names[..3]);
    for n in 0..3 {
        cluster.disks[n].kept.snapshot = begins.clone();
        cluster.crash(n);
        cluster.start(n);
    }
    cluster.crash(3);
    cluster.play(40);
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
        if voter.unseated() {
            assert!(!voter.propose(1, &Command::Undo { epoch: 0 }), "it leads no more");
        }
    }
    assert!(led, "it led");
    let mut voters: Vec<String> = [leader, rest, 3].iter().map(|n| cluster.names[*n].to_string()).collect();
    voters.sort();
    assert_eq!(cluster.votes(rest), voters);
    assert!(cluster.leader().is_some_and(|n| n == rest || n == 3), "{:?}", cluster.leader());
    assert!(cluster.voters[replaced].as_ref().unwrap().unseated());
}

/// A voter that lags hears the leader, though that took its place after all that the lagging one knows.
#[test]
fn whoever_lags_hears_a_leader_that_came_later() {
    let mut cluster = Cluster::new(5, 23, false);
    let begins = begins(&cluster.names[..3]);
    for n in 0..3 {
        cluster.disks[n].kept.snapshot = begins.clone();
        cluster.crash(n);
        cluster.start(n);
    }
    (3..5).for_each(|n| cluster.crash(n));
    cluster.play(40);
    let leader = cluster.leader().unwrap();
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
            cluster.voters[leads].as_mut().unwrap().hand_over();
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
