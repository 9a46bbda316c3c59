//! Voters in one thread, with disks that crash and ways that lose: what was acknowledged stays, and all play one log.

use maplehook_agreement::steps::{Command, Steps};
use maplehook_quorum::store::{Batch, Kept};
use maplehook_quorum::voter::{Ended, Voter, begins};
use maplehook_tier::Name;
use raft::eraftpb::Snapshot;
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
        let voters =
            disks.iter().zip(&names).map(|(d, own)| Voter::new(own, &names, d.kept.clone()).ok()).collect();
        Self {
            names,
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
            self.voters[n] = Voter::new(&self.names[n], &self.names, self.disks[n].kept.clone()).ok();
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
            let to = self.names.iter().position(|name| maplehook_quorum::voter::id(name) == to).unwrap();
            self.ways.push((n, to, bytes));
        }
        for (ticket, ended) in settled.ended {
            if let Ended::Played(Ok(number)) = &ended {
                let text = self.texts[&ticket].clone();
                if self.acknowledged.insert(*number, text.clone()).is_some_and(|before| before != text) {
                    self.broken = Some(format!("version {number} was acknowledged twice"));
                }
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
        let first = self.steps(0).unwrap().clone();
        for n in 1..self.voters.len() {
            if *self.steps(n).unwrap() != first {
                return Err(format!("voter {n} has {:?}, voter 0 {first:?}", self.steps(n)));
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
