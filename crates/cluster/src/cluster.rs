//! One balancer's membership: datagrams and time go in, datagrams and events come out.
//!
//! The gossip itself (SWIM with suspicion) is the `foca` crate's. This module holds the state of what `foca` leaves to
//! its embedder: time, which runs slower for a balancer in bad health (Lifeguard), generations and names, versions,
//! replay protection, announces to absent peers, and endpoint gossip. Incoming datagrams are handled in `receive`, due
//! work in `poll`, and what `foca` asks for in `actions`.

use crate::absent_peers::AbsentPeers;
use crate::endpoint_gossip::{Announcement, EndpointClaim, GossipedEndpoint};
use crate::events::{DatagramCounters, MembershipEvent, Output};
use crate::foca_adapter::{AnnouncementHandler, GossipState, RuntimeActions, foca_config};
use crate::hash::fnv1a;
use crate::identity::Identity;
use crate::member_list::{MemberList, MemberStatus};
use crate::name::Name;
use crate::replay_window::ReplayWindows;
use crate::settings::{ClusterSettings, PROBE_PERIOD};
use crate::suspicion::Suspicion;
use crate::wire::{CodecContext, MessageCodec};
use foca::{Foca, Timer};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;
use std::time::Duration;

/// The largest local health score, which stretches probe times (Lifeguard's S).
pub(crate) const MAX_LOCAL_HEALTH_SCORE: u32 = 8;
/// By how much a call may be late before this process counts as paused.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(500);
/// What a pause of this process adds to its local health score.
const PAUSE_HEALTH_PENALTY: u32 = 2;

/// A member whose suspicion timeout runs, and the timer that declares it dead.
pub(crate) struct SuspectedMember {
    pub(crate) suspicion: Suspicion,
    pub(crate) identity: Identity,
    pub(crate) timer: Timer<Identity>,
}

/// A message that is sent a second time since datagrams are being lost.
pub(crate) struct Resend {
    pub(crate) due_at: Duration,
    pub(crate) to: Name,
    pub(crate) body: Vec<u8>,
}

/// The membership state machine of one balancer.
pub struct Cluster {
    pub(crate) settings: ClusterSettings,
    /// The names of the other balancers of the configuration.
    pub(crate) peers: BTreeSet<Name>,
    pub(crate) identity: Identity,
    pub(crate) foca: Foca<Identity, MessageCodec, SmallRng, AnnouncementHandler>,
    pub(crate) codec_context: Rc<RefCell<CodecContext>>,
    pub(crate) gossip: Rc<RefCell<GossipState>>,
    pub(crate) rng: SmallRng,
    /// Timers of `foca` by when they are due; the number tells apart those due at the same time.
    pub(crate) timers: BTreeMap<(Duration, u64), Timer<Identity>>,
    pub(crate) next_timer: u64,
    pub(crate) suspected: BTreeMap<Name, SuspectedMember>,
    pub(crate) next_tick: Duration,
    pub(crate) broadcast_at: Option<Duration>,
    /// Until when probes are sent twice.
    pub(crate) lossy_until: Duration,
    pub(crate) refutations_left: u8,
    pub(crate) refute_at: Duration,
    pub(crate) resends: VecDeque<Resend>,
    pub(crate) local_health: u32,
    /// The time of the last call.
    pub(crate) now: Duration,
    pub(crate) absent_peers: AbsentPeers,
    pub(crate) members: MemberList,
    pub(crate) replay_windows: ReplayWindows,
    /// The number of the last datagram to each peer.
    pub(crate) sequences: BTreeMap<Name, u64>,
    pub(crate) alive_peers: usize,
    /// Whether this process has left or was superseded, and sends nothing any more.
    pub(crate) is_silenced: bool,
    pub(crate) reported_duplicate: Option<u64>,
    pub(crate) local_claims: Vec<EndpointClaim>,
    pub(crate) unix_ms: u64,
    pub(crate) counters: DatagramCounters,
    pub(crate) outputs: Vec<Output>,
}

impl Cluster {
    /// Starts the membership. `now` counts from any origin and must not go back from call to call.
    pub fn new(settings: ClusterSettings, now: Duration) -> Self {
        let ClusterSettings { name, generation, program, wire, .. } = settings.clone();
        let identity = Identity { name, generation, program, wire };
        let codec_context = Rc::new(RefCell::new(CodecContext::default()));
        let gossip = Rc::new(RefCell::new(GossipState { now, ..GossipState::default() }));
        let mut seeds = SmallRng::seed_from_u64(settings.seed);
        let (foca_rng, mut rng) = (SmallRng::from_rng(&mut seeds), SmallRng::from_rng(&mut seeds));
        let foca = Foca::with_custom_broadcast(
            identity.clone(),
            foca_config(1, &identity.name),
            foca_rng,
            MessageCodec(Rc::clone(&codec_context)),
            AnnouncementHandler(Rc::clone(&gossip)),
        );
        Self {
            absent_peers: AbsentPeers::new(settings.peers.iter().cloned(), || rng.random::<f64>()),
            peers: settings.peers.iter().cloned().collect(),
            settings,
            identity,
            foca,
            codec_context,
            gossip,
            rng,
            timers: BTreeMap::new(),
            next_timer: 0,
            suspected: BTreeMap::new(),
            next_tick: now,
            broadcast_at: None,
            lossy_until: Duration::ZERO,
            refutations_left: 0,
            refute_at: Duration::ZERO,
            resends: VecDeque::new(),
            local_health: 0,
            now,
            members: MemberList::default(),
            replay_windows: ReplayWindows::default(),
            sequences: BTreeMap::new(),
            alive_peers: 0,
            is_silenced: false,
            reported_duplicate: None,
            local_claims: Vec::new(),
            unix_ms: 0,
            counters: DatagramCounters::default(),
            outputs: Vec::new(),
        }
    }

    /// Returns this balancer's current identity.
    pub fn identity(&self) -> &Identity {
        &self.identity
    }

    /// Returns whether this process takes part: not once a later generation of its name was seen, nor once it has left.
    pub fn is_active(&self) -> bool {
        !self.is_silenced
    }

    /// Returns the counters.
    pub fn counters(&self) -> DatagramCounters {
        self.counters
    }

    /// Returns how many other members are believed alive.
    pub fn alive_peers(&self) -> usize {
        self.alive_peers
    }

    /// Returns the local health score, by which probe times are stretched: 0 where all is well.
    pub fn local_health(&self) -> u32 {
        self.local_health
    }

    /// Returns whether a member is alive and not excluded.
    pub fn is_alive(&self, name: &Name) -> bool {
        self.members.is_alive(name)
    }

    /// Returns the latest known generation of a name.
    pub fn generation_of(&self, name: &Name) -> Option<u64> {
        self.members.generation(name)
    }

    /// Returns every balancer that has been seen, except this one.
    pub fn member_statuses(&self, now: Duration) -> Vec<MemberStatus> {
        self.members.snapshot(now, |identity| {
            let suspected = self.suspected.get(&identity.name)?;
            (suspected.identity == *identity).then_some(suspected.suspicion.since)
        })
    }

    /// Returns the configured peers that are not alive.
    pub fn absent_peers(&self) -> impl Iterator<Item = &Name> {
        self.absent_peers.names()
    }

    /// Returns what the valid announcements come to, and their version.
    pub fn gossiped_endpoints(&self) -> (u64, Vec<GossipedEndpoint>) {
        let gossip = self.gossip.borrow();
        (gossip.announcements.version(), gossip.announcements.endpoints())
    }

    /// Returns a number that changes whenever [`Self::gossiped_endpoints`] does.
    pub fn gossip_version(&self) -> u64 {
        self.gossip.borrow().announcements.version()
    }

    /// Returns all valid announcements, for a peer that may have missed some.
    pub fn announcements(&self, now: Duration) -> Vec<Announcement> {
        self.gossip.borrow().announcements.announcements(now)
    }

    /// Merges announcements that came by another way than a datagram.
    pub fn merge_announcements(&mut self, now: Duration, announcements: &[Announcement]) {
        self.advance_to(now);
        for announcement in announcements {
            self.broadcast(*announcement);
        }
    }

    /// Replaces what the local discovery claims: all endpoints that drain, and all that have started lately.
    pub fn set_local_claims(&mut self, now: Duration, unix_ms: u64, claims: Vec<EndpointClaim>) {
        self.advance_to(now);
        (self.local_claims, self.unix_ms) = (claims, self.unix_ms.max(unix_ms));
        self.announce_due_claims(now);
    }

    /// Announces the local claims that no balancer has announced lately.
    pub(crate) fn announce_due_claims(&mut self, now: Duration) {
        if self.is_silenced || self.local_claims.is_empty() {
            return;
        }
        let origin = fnv1a(self.settings.name.as_str().as_bytes());
        let due = self.gossip.borrow().announcements.due_claims(now, origin, &self.local_claims);
        for claim in due {
            let announcement = self.gossip.borrow_mut().announcements.announce(origin, self.unix_ms, claim);
            self.broadcast(announcement);
        }
    }

    fn broadcast(&mut self, announcement: Announcement) {
        // It can't fail: the handler accepts any bytes.
        let _ = self.foca.add_broadcast(&announcement.encode());
        self.schedule_broadcast();
    }

    /// Schedules a broadcast if announcements have come that are worth passing on at once.
    pub(crate) fn schedule_broadcast(&mut self) {
        if std::mem::take(&mut self.gossip.borrow_mut().has_news) && self.broadcast_at.is_none() {
            self.broadcast_at = Some(self.now);
        }
    }

    /// Returns the time by which [`Self::poll`] has to be called.
    pub fn next_deadline(&self) -> Duration {
        let timer = self.timers.first_key_value().map(|((at, _), _)| *at);
        let members = self.alive_peers + 1;
        let suspicion =
            self.suspected.values().map(|member| member.suspicion.deadline(members, PROBE_PERIOD)).min();
        let resend = self.resends.front().map(|resend| resend.due_at);
        [Some(self.next_tick), timer, suspicion, self.broadcast_at, resend]
            .into_iter()
            .flatten()
            .min()
            .unwrap_or(self.next_tick)
    }

    /// Returns, in order, what the caller has to do, and forgets it.
    pub fn take_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    /// Takes note of the time. What passed while this process was paused does not count as time in which other members
    /// failed to answer: their timers are put off by it.
    pub(crate) fn advance_to(&mut self, now: Duration) {
        let now = now.max(self.now);
        let missed = now.saturating_sub(self.next_deadline().max(self.now));
        if missed > PAUSE_THRESHOLD {
            let timers = std::mem::take(&mut self.timers);
            self.timers = timers.into_iter().map(|((at, n), timer)| ((at + missed, n), timer)).collect();
            self.suspected.values_mut().for_each(|member| member.suspicion.since += missed);
            self.worsen_local_health(PAUSE_HEALTH_PENALTY);
            self.counters.pauses += 1;
            self.outputs.push(Output::Event(MembershipEvent::ProcessPaused(missed)));
        }
        self.now = now;
        self.gossip.borrow_mut().now = now;
    }

    pub(crate) fn worsen_local_health(&mut self, by: u32) {
        self.local_health = (self.local_health + by).min(MAX_LOCAL_HEALTH_SCORE);
    }

    /// Tells the others that this balancer leaves, and sends nothing after that.
    pub fn leave(&mut self, now: Duration) {
        self.advance_to(now);
        if self.is_silenced {
            return;
        }
        let (name, generation) = (self.identity.name.clone(), self.identity.generation);
        self.codec_context.borrow_mut().left_generations.insert(name, generation);
        let mut actions = RuntimeActions::default();
        // Where it fails the others find out by their probes.
        let _ = self.foca.leave_cluster(&mut actions);
        for (to, body) in std::mem::take(&mut actions.sends) {
            self.send(to.name, &body);
        }
        self.silence();
    }

    /// Stops taking part.
    pub(crate) fn silence(&mut self) {
        self.is_silenced = true;
        self.timers.clear();
        self.suspected.clear();
    }
}
