//! Balancers' parts in an agreement, each on its own thread with its own disk, and ways between them that can be cut.

#![allow(dead_code, reason = "each test file uses its part")]

use maplehook_cluster::Name;
use maplehook_consensus::messages::{AdminReply, AdminRequest, PeerMessage};
use maplehook_consensus::store::{Store, WriteBatch};
use maplehook_consensus::voter::{Voter, voter_id};
use maplehook_consensus::{
    ConsensusConfig, ConsensusService, LocalStatus, PartChannels as Maker, PartProposal, ProposalError,
    SHARED_DOCUMENT_TOPIC, SharedDocumentStatus,
};
use maplehook_transport::PeerChannel;
use maplehook_transport::frames::Message;
use maplehook_versions::{LeaseExpiryPolicy, LeaseTimes};
use std::collections::{BTreeMap, BTreeSet};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::runtime::{Builder, Runtime};
use tokio::sync::{mpsc, oneshot};

pub const FILE: &str = "[listen]\naddress = \"127.0.0.1:0\"\n[[class]]\nname = \"all\"\npath = \"/**\"\n[[upstream]]\nname = \"u\"\naddress = \"127.0.0.1:9\"\n";

#[derive(Default)]
struct Ways {
    ears: BTreeMap<Name, mpsc::Sender<(Name, Message)>>,
    cut: BTreeSet<(Name, Name)>,
    /// Whose program knows no common document: its word on it does not pass.
    old: BTreeSet<Name>,
    /// An earlier program would take a message of makers of the common document for its own.
    mistaken: bool,
}

pub struct Fleet {
    pub names: Vec<Name>,
    pub parts: Vec<Option<ConsensusService>>,
    pub places: Vec<Option<Maker>>,
    pub rollout: Vec<Option<Maker>>,
    pub times: LeaseTimes,
    pub runtime: Runtime,
    /// Whose serving thread acts on nothing new.
    pub stuck: Arc<Mutex<BTreeSet<usize>>>,
    ways: Arc<Mutex<Ways>>,
    voters: usize,
    cut_off: LeaseExpiryPolicy,
    place: PathBuf,
}

/// A directory in memory, where the system has one: what these tests time is not the disk.
fn memory_directory() -> PathBuf {
    let memory = PathBuf::from("/dev/shm");
    if memory.is_dir() { memory } else { std::env::temp_dir() }
}

impl Fleet {
    pub fn new(members: usize, contradiction_ms: u64, cut_off: LeaseExpiryPolicy) -> Self {
        static FLEETS: AtomicU32 = AtomicU32::new(0);
        let own = FLEETS.fetch_add(1, Ordering::Relaxed);
        let place = memory_directory().join(format!("maplehook-fleet-{}-{own}", std::process::id()));
        let names: Vec<Name> = (1..=members).map(|n| Name::new(&format!("b{n}")).unwrap()).collect();
        let mut fleet = Self {
            parts: names.iter().map(|_| None).collect(),
            places: names.iter().map(|_| None).collect(),
            rollout: names.iter().map(|_| None).collect(),
            times: LeaseTimes::new(Duration::from_millis(contradiction_ms)).unwrap(),
            runtime: Builder::new_multi_thread().worker_threads(2).enable_all().build().unwrap(),
            stuck: Arc::default(),
            ways: Arc::default(),
            voters: members.min(3),
            cut_off,
            place,
            names,
        };
        (0..members).for_each(|n| fleet.start(n, FILE));
        until("all act on version 1", || fleet.alive().all(|part| part.active_version.borrow().epoch == 1));
        fleet
    }

    /// One that goes on from what is on its disk.
    pub fn start(&mut self, n: usize, file: &str) {
        let ((say, mut said), (tell, heard)) = (mpsc::channel(1024), mpsc::channel(1024));
        let own = self.names[n].clone();
        self.ways.lock().unwrap().ears.insert(own.clone(), tell);
        let setup = ConsensusConfig {
            local_name: own.clone(),
            voters: self.names[..self.voters].to_vec(),
            members: self.names.iter().cloned().collect(),
            lease_times: self.times,
            expiry_policy: self.cut_off,
            directory: (n < self.voters).then(|| self.place.join(own.as_str())),
            file: file.into(),
        };
        let mut part =
            ConsensusService::start(setup, PeerChannel { outgoing: say, incoming: heard }).unwrap();
        let ways = Arc::clone(&self.ways);
        self.runtime.spawn(async move {
            while let Some((to, message)) = said.recv().await {
                let mut ways = ways.lock().unwrap();
                ways.mistaken |= message.topic == SHARED_DOCUMENT_TOPIC
                    && postcard::from_bytes::<PeerMessage>(&message.body).is_ok();
                // `Say::Acts` and `Say::Common`, by their first byte.
                let new = message.topic == 3 && matches!(message.body.first(), Some(12 | 13));
                if new && (ways.old.contains(&own) || ways.old.contains(&to)) {
                    continue;
                }
                if let Some(ear) = ways.ears.get(&to)
                    && !ways.cut.contains(&(own.clone(), to))
                {
                    // As on a link, what does not fit is lost.
                    let _ = ear.try_send((own.clone(), message));
                }
            }
        });
        let (mut acting, applied) = (part.active_version.clone(), part.applied_epoch.clone());
        let (mut standing, acts) = (part.failover_status.clone(), part.applied_document.clone());
        let stuck = Arc::clone(&self.stuck);
        self.runtime.spawn(async move {
            loop {
                let epoch = acting.borrow_and_update().epoch;
                applied.send_if_modified(|before| std::mem::replace(before, epoch) != epoch);
                let number = standing.borrow_and_update().received.as_ref().map_or(0, |common| common.number);
                if !stuck.lock().unwrap().contains(&n) {
                    acts.send_if_modified(|before| std::mem::replace(before, number) != number);
                }
                tokio::select! {
                    changed = acting.changed() => if changed.is_err() { return },
                    changed = standing.changed() => if changed.is_err() { return },
                }
            }
        });
        self.places[n] = part.failover.take();
        self.rollout[n] = part.rollout.take();
        self.parts[n] = Some(part);
    }

    pub fn kill(&mut self, n: usize) {
        self.ways.lock().unwrap().ears.remove(&self.names[n]);
        self.parts[n] = None;
        self.places[n] = None;
        self.rollout[n] = None;
    }

    pub fn cut(&self, n: usize) {
        let mut ways = self.ways.lock().unwrap();
        for other in self.names.iter().filter(|other| **other != self.names[n]) {
            ways.cut.insert((other.clone(), self.names[n].clone()));
            ways.cut.insert((self.names[n].clone(), other.clone()));
        }
    }

    pub fn heal(&self) {
        self.ways.lock().unwrap().cut.clear();
    }

    /// What it says of the common document, and what it is told of it, does not pass: as with an earlier program.
    pub fn old(&self, n: usize) {
        self.ways.lock().unwrap().old.insert(self.names[n].clone());
    }

    pub fn mistaken(&self) -> bool {
        self.ways.lock().unwrap().mistaken
    }

    pub fn alive(&self) -> impl Iterator<Item = &ConsensusService> {
        self.parts.iter().flatten()
    }

    pub fn standing(&self, n: usize) -> SharedDocumentStatus {
        self.parts[n].as_ref().unwrap().failover_status.borrow().clone()
    }

    /// The number that is held here with a lease.
    pub fn holds(&self, n: usize) -> Option<u64> {
        let standing = self.standing(n);
        standing.lease_end.filter(|until| *until > Instant::now())?;
        standing.received.map(|common| common.number)
    }

    pub fn leader(&self) -> usize {
        let mut found = None;
        until("somebody leads, and knows that", || {
            found = (0..self.parts.len()).find(|n| self.parts[*n].is_some() && self.standing(*n).is_leader);
            found.is_some()
        });
        found.unwrap()
    }

    pub fn put(&self, n: usize, expect: u64, body: &[u8]) -> Result<u64, String> {
        self.begin_put(n, expect, body).blocking_recv().unwrap().map_err(|error| error.to_string())
    }

    pub fn begin_put(
        &self,
        n: usize,
        expect: u64,
        body: &[u8],
    ) -> oneshot::Receiver<Result<u64, ProposalError>> {
        begin_put(self.places[n].as_ref().unwrap(), expect, body)
    }

    pub fn wish(&self, n: usize, op: AdminRequest) -> (LocalStatus, AdminReply) {
        let wishes = self.parts[n].as_ref().unwrap().admin_client();
        self.runtime.block_on(wishes.request(op)).unwrap()
    }

    pub fn propose(&self, n: usize, mark: &str) -> AdminReply {
        self.wish(n, AdminRequest::Propose { text: shared(mark), expected: None }).1
    }

    /// Its log as an earlier program would have compacted it: without the common document.
    pub fn age(&self, n: usize) {
        let (store, kept) = Store::open(&self.place.join(self.names[n].as_str())).unwrap().unwrap();
        let mut voter = Voter::new(voter_id(&self.names[n]), &self.names, kept.clone()).unwrap();
        voter.process_ready(&mut |_| Ok(())).unwrap();
        let seats: BTreeMap<u64, String> = BTreeMap::new();
        let mut snapshot = kept.snapshot.clone();
        let commit = kept.hard_state.commit;
        if let Some(entry) = kept.entries.iter().find(|entry| entry.index == commit) {
            (snapshot.mut_metadata().index, snapshot.mut_metadata().term) = (entry.index, entry.term);
        }
        snapshot.set_data(postcard::to_stdvec(&(voter.version_state(), seats)).unwrap().into());
        store.write(&WriteBatch { hard_state: None, snapshot: Some(&snapshot), entries: &[] }).unwrap();
    }

    pub fn disk(&self, n: usize) -> u64 {
        let log = self.place.join(self.names[n].as_str()).join("log.redb");
        std::fs::metadata(log).unwrap().len()
    }
}

pub fn begin_put(maker: &Maker, expect: u64, body: &[u8]) -> oneshot::Receiver<Result<u64, ProposalError>> {
    let (done, ended) = oneshot::channel();
    maker
        .proposals
        .blocking_send(PartProposal { expected: expect, body: body.to_vec(), outcome: done })
        .unwrap();
    ended
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.parts.iter_mut().for_each(|part| *part = None);
        let _ = std::fs::remove_dir_all(&self.place);
    }
}

/// A shared text with this path in it.
pub fn shared(mark: &str) -> String {
    maplehook_config::shared(&FILE.replace("/**", &format!("/{mark}/**"))).unwrap().0
}

pub fn until(what: &str, mut is: impl FnMut() -> bool) -> Duration {
    let begun = Instant::now();
    while !is() {
        assert!(begun.elapsed() < Duration::from_secs(15), "{what}: not within 15 s");
        std::thread::sleep(Duration::from_millis(2));
    }
    begun.elapsed()
}
