//! Voters in one thread, with disks that crash and ways that lose.

#![allow(dead_code, reason = "each test file uses its part")]

use maplehook_cluster::Name;
use maplehook_consensus::store::{PersistedState, WriteBatch};
use maplehook_consensus::voter::{ProposalOutcome, Voter, initial_snapshot, replacement_voter_id, voter_id};
use maplehook_versions::{Command, VersionState};
use protobuf::Message as _;
use raft::eraftpb::{MessageType, Snapshot};
use std::collections::BTreeMap;

/// Rounds in which voters that all hear each other have a leader, however often their votes are split.
const MAX_ELECTION_ROUNDS: usize = 1000;

/// A disk: what is synced outlives a crash.
#[derive(Clone)]
pub struct Disk {
    pub kept: PersistedState,
    /// A planted flaw: it says that it has synced and has not.
    pub lies: bool,
}

impl Disk {
    fn write(&mut self, batch: &WriteBatch<'_>) {
        if self.lies {
            return;
        }
        if let Some(hard) = batch.hard_state {
            self.kept.hard_state = hard.clone();
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

pub struct Cluster {
    pub names: Vec<Name>,
    /// The numbers that they have now.
    pub ids: Vec<u64>,
    /// The numbers under which members took places.
    pub numbers: BTreeMap<usize, u64>,
    /// Snapshots that are still to be lost.
    pub lose_snapshots: usize,
    pub disks: Vec<Disk>,
    pub voters: Vec<Option<Voter>>,
    pub ways: Vec<(usize, usize, Vec<u8>)>,
    pub rng: fastrand::Rng,
    pub loss: f64,
    pub ended: BTreeMap<u64, ProposalOutcome>,
    /// Versions that somebody was told are agreed, by number.
    pub acknowledged: BTreeMap<u64, String>,
    pub texts: BTreeMap<u64, String>,
    /// Two texts under one number: what must never be.
    pub broken: Option<String>,
}

impl Cluster {
    pub fn new(n: usize, seed: u64, lies: bool) -> Self {
        let names: Vec<Name> = (0..n).map(|k| Name::new(&format!("b{k}")).unwrap()).collect();
        let begins: Snapshot = initial_snapshot(&names);
        let mut kept = PersistedState { snapshot: begins.clone(), ..PersistedState::default() };
        (kept.hard_state.term, kept.hard_state.commit) = (1, 1);
        let disks = vec![Disk { kept, lies }; n];
        let voters = disks
            .iter()
            .zip(&names)
            .map(|(d, own)| Voter::new(voter_id(own), &names, d.kept.clone()).ok())
            .collect();
        let ids = names.iter().map(voter_id).collect();
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

    pub fn crash(&mut self, n: usize) {
        self.voters[n] = None;
    }

    pub fn start(&mut self, n: usize) {
        if self.voters[n].is_none() {
            self.voters[n] = Voter::new(self.ids[n], &self.names, self.disks[n].kept.clone()).ok();
        }
    }

    pub fn settle(&mut self, n: usize) {
        let (Some(voter), disk) = (&mut self.voters[n], &mut self.disks[n]) else { return };
        let settled = voter
            .process_ready(&mut |batch| {
                disk.write(batch);
                Ok(())
            })
            .unwrap();
        for (to, bytes) in settled.messages {
            let Some(to) = self.ids.iter().position(|id| *id == to) else { continue };
            self.ways.push((n, to, bytes));
        }
        for (ticket, ended) in settled.outcomes {
            // A change of voters has no text.
            if let (ProposalOutcome::Applied(Ok(number)), Some(text)) =
                (&ended, self.texts.get(&ticket).cloned())
                && self.acknowledged.insert(*number, text.clone()).is_some_and(|before| before != text)
            {
                self.broken = Some(format!("version {number} was acknowledged twice"));
            }
            self.ended.insert(ticket, ended);
        }
    }

    /// Some messages pass, in any order, and some time.
    pub fn play(&mut self, rounds: usize) {
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

    /// Plays until a leader is established: the ticks that an election takes are drawn by the library.
    pub fn elect(&mut self) -> usize {
        for _ in 0..MAX_ELECTION_ROUNDS {
            if let Some(leader) = self.leader() {
                return leader;
            }
            self.play(1);
        }
        panic!("no leader after {MAX_ELECTION_ROUNDS} rounds");
    }

    pub fn leader(&self) -> Option<usize> {
        (0..self.voters.len()).find(|n| self.voters[*n].as_ref().is_some_and(Voter::is_established_leader))
    }

    pub fn propose(&mut self, ticket: u64) -> bool {
        let Some(leader) = self.leader() else { return false };
        let Some(voter) = &mut self.voters[leader] else { return false };
        let epoch = voter.version_state().epoch;
        let text = format!("text {ticket}");
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
        if matches!(command, Command::Propose { .. }) {
            self.texts.insert(ticket, text);
        } else {
            let to = voter.version_state().versions.last().unwrap().text.clone();
            self.texts.insert(ticket, to);
        }
        voter.propose(ticket, &command)
    }

    pub fn steps(&self, n: usize) -> Option<&VersionState> {
        self.voters[n].as_ref().map(Voter::version_state)
    }

    /// What was acknowledged is there, at everybody, the same.
    pub fn check(&mut self) -> Result<(), String> {
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
                let words = |steps: &VersionState| {
                    format!("epoch {}, {} versions", steps.epoch, steps.versions.len())
                };
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

impl Cluster {
    /// A member is asked to take a place: the number under which it would vote. As the thread round a voter does it: whoever waits
    /// already says its number again, and whoever takes itself for a voter takes none.
    pub fn asked(&mut self, leader: usize, n: usize, number: u64) -> Option<u64> {
        let leads = self.voters[leader].as_ref()?;
        let (named, changes) = (leads.is_voter_name(&self.names[n]), leads.has_pending_conf_change());
        if changes || named {
            return None;
        }
        let voter = self.voters[n].as_ref();
        if voter.is_some_and(Voter::awaits_snapshot) {
            return self.numbers.get(&n).copied();
        }
        if voter.is_some_and(|voter| !voter.is_replaced()) {
            return None;
        }
        // One that does not run can't answer, but for those that have had no part in votes yet.
        if voter.is_none()
            && (self.disks[n].kept != PersistedState::default() || self.numbers.contains_key(&n))
        {
            return None;
        }
        self.comes(n, number);
        Some(number)
    }

    /// A member with an empty disk, which waits for a place under a number of its own.
    pub fn comes(&mut self, n: usize, number: u64) {
        self.numbers.insert(n, number);
        self.ids[n] = replacement_voter_id(&self.names[n], number);
        self.disks[n].kept = PersistedState::default();
        self.voters[n] = None;
        self.start(n);
    }

    pub fn replace(&mut self, ticket: u64, old: usize, new: usize, number: u64) -> bool {
        let Some(leader) = self.leader() else { return false };
        let (old, new) = (self.names[old].clone(), self.names[new].clone());
        self.voters[leader].as_mut().unwrap().replace_voter(ticket, &old, &new, number)
    }

    pub fn votes(&self, n: usize) -> Vec<String> {
        self.voters[n].as_ref().unwrap().voters().iter().map(ToString::to_string).collect()
    }
}
