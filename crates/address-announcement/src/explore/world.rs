//! Clock-stepped model: two sites (a balancer and a router each), a leader that may fail, one `One` address.

use crate::{Address, AddressState, Announce, Answer, Decider, LocalBalancer, Order, SiteHealth, State};
use maplehook_locality::Region;
use std::collections::BTreeMap;
use std::time::Duration;

pub const STEP: Duration = Duration::from_millis(500);
/// Lease duration on the balancer's clock. The leader assumes [`LEADER_LEASE`], which includes clock drift.
pub const LEASE: Duration = Duration::from_millis(4000);
pub const LEADER_LEASE: Duration = Duration::from_millis(4081);
/// Number of steps without a request after which a site counts as cut off.
const MAX_SILENT_STEPS: u32 = 1;
pub const NAMES: [&str; 2] = ["a", "b"];

/// Bug that can be injected into the protocol. The exploration must detect each bug.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Bug {
    NotInjected,
    /// The next site holds the address without waiting.
    NoHandoverWait,
    /// A balancer counts its lease from the reply instead of from the request.
    LeaseFromReply,
    /// An answer may outlast the lease.
    AnswerPastLease,
    /// A new leader assumes that no lease is in force.
    IgnoresLeases,
    /// A router counts the validity of an answer from its arrival.
    ValidityFromArrival,
    /// A state is applied even if it does not follow the current one.
    AppliesAnyState,
    /// The answer is computed when the poll reaches a stopped process, and sent when the process resumes.
    CachedAnswer,
}

/// Action that may happen in a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Action {
    /// Stops or resumes the balancer of a site.
    ToggleStop(usize),
    /// Cuts or restores the connection between a site and the leader.
    ToggleCut(usize),
    /// Starts or stops delaying leader replies to a site. The first delayed reply is delivered at the end.
    ToggleReplyDelay(usize),
    /// Starts or stops delaying a router's poll of a site. The delayed answer is delivered at the end.
    TogglePollDelay(usize),
    /// Starts or stops delaying commits. The first delayed proposal is applied at the end.
    ToggleCommitDelay,
    /// Kills the leader; its successor acts from the next step on.
    KillLeader,
    /// Operator's order: moves the address to the other site.
    Move,
    /// Operator's order: withdraws the other site. The holder does not change.
    Withdraw,
}

#[derive(Clone, Debug)]
struct Leader {
    decider: Decider,
    lease_ends: [Duration; 2],
    acked: [u64; 2],
    last_requests: [Option<u32>; 2],
}

#[derive(Clone, Debug, Default)]
struct Site {
    balancer: LocalBalancer,
    is_stopped: bool,
    is_cut: bool,
    delays_replies: bool,
    delayed_reply: Option<(Duration, State)>,
    /// Send time of a poll received by the stopped balancer, and the answer that [`Bug::CachedAnswer`] sends.
    queued_poll: Option<(Duration, Answer)>,
    delays_polls: bool,
    delayed_poll: Option<(Duration, Answer)>,
    /// Time until which a router sends clients to the site.
    announced_until: Duration,
}

#[derive(Clone, Debug)]
pub struct World {
    bug: Bug,
    pub step_number: u32,
    leader: Option<Leader>,
    delays_commits: bool,
    proposal: Option<State>,
    committed: State,
    sites: [Site; 2],
}

pub fn address() -> Address {
    Address {
        name: "front".into(),
        address: "203.0.113.10:443".into(),
        announce: Announce::One,
        keep_at_least: 1,
        withdraw_after: STEP,
        // Penalties decay at once, so they do not multiply the number of distinct worlds.
        return_after: Duration::from_millis(1),
        sites: vec![Region(0), Region(1)],
    }
}

impl World {
    /// Creates a world and runs it until the first site holds the address.
    pub fn new(bug: Bug) -> Self {
        let mut sites = [Site::default(), Site::default()];
        for (site, name) in sites.iter_mut().zip(NAMES) {
            site.balancer =
                LocalBalancer { site: name.into(), ready: true, served: 1.0, ..LocalBalancer::default() };
        }
        let mut world = Self {
            bug,
            step_number: 0,
            leader: None,
            delays_commits: false,
            proposal: None,
            committed: State::default(),
            sites,
        };
        for _ in 0..20 {
            world.step(None).expect("two announcers without any fault");
        }
        assert_eq!(world.holder(), Some("a"));
        world
    }

    fn now(&self) -> Duration {
        STEP * self.step_number
    }

    pub fn holder(&self) -> Option<&str> {
        self.committed.addresses.get("front").and_then(|entry: &AddressState| entry.holder.as_deref())
    }

    /// Returns the state that can affect later steps, with numbers and times relative to the current ones.
    pub fn fingerprint(&self) -> Vec<u64> {
        let now = self.now();
        let ttl = |end: Duration| end.saturating_sub(now).as_millis() as u64;
        let age = |at: Duration| now.saturating_sub(at).min(STEP * 8).as_millis() as u64;
        let name = |name: &Option<String>| name.as_deref().map_or(0, |name| 1 + u64::from(name == "b"));
        let state = |state: Option<&State>| {
            let Some(state) = state else { return u64::MAX };
            let lag = self.committed.number.wrapping_sub(state.number) & 0xff;
            let entry = state.addresses.get("front");
            let holders = |s: &AddressState| (name(&s.holder) * 3 + name(&s.last)) * 3 + name(&s.next);
            let bits = |s: &AddressState| u64::from(s.pinned.is_some()) * 2 + u64::from(s.all_stay.is_some());
            lag * 1000 + entry.map_or(999, |s| holders(s) * 4 + bits(s))
        };
        let mut values =
            vec![u64::from(self.delays_commits), state(self.proposal.as_ref()), state(Some(&self.committed))];
        for record in self.committed.addresses.values().flat_map(|entry| entry.sites.values()) {
            let health_flags = [record.ill, record.penalty <= 0.0].map(u64::from);
            values.extend([health_flags[0], health_flags[1], record.ill_for_ms.min(600)]);
        }
        for site in &self.sites {
            let lease = site.delayed_reply.as_ref();
            let answer = |delayed: &Option<(Duration, Answer)>| {
                let Some((at, answer)) = delayed else { return [0, 0] };
                let Answer::Announces { good_for, .. } = answer else { return [1, 0] };
                [2, ttl(*at + *good_for)]
            };
            let flags = [site.is_stopped, site.is_cut, site.delays_replies, site.delays_polls];
            values.extend(flags.map(u64::from));
            values.extend([state(site.balancer.state.as_ref()), state(lease.map(|(_, state)| state))]);
            values.push(lease.map_or(0, |(at, _)| age(*at)));
            values.extend([ttl(site.balancer.lease_until.unwrap_or_default()), ttl(site.announced_until)]);
            values.extend(answer(&site.queued_poll).into_iter().chain(answer(&site.delayed_poll)));
        }
        if let Some(leader) = &self.leader {
            for n in 0..2 {
                let behind = u64::from(leader.acked[n] < self.committed.number);
                let silent_steps = leader.last_requests[n]
                    .map_or(9, |at| u64::from((self.step_number - at).min(MAX_SILENT_STEPS + 1)));
                values.extend([behind, silent_steps, ttl(leader.lease_ends[n])]);
            }
            values.push(u64::from(leader.decider.state().number == self.committed.number));
            values.extend(leader.decider.fingerprint());
        }
        values
    }

    pub fn end_faults(&mut self) {
        for n in 0..2 {
            let site = &self.sites[n];
            let active_faults = [
                (site.is_stopped, Action::ToggleStop(n)),
                (site.is_cut, Action::ToggleCut(n)),
                (site.delays_replies, Action::ToggleReplyDelay(n)),
                (site.delays_polls, Action::TogglePollDelay(n)),
            ];
            for (_, action) in active_faults.into_iter().filter(|(is_active, _)| *is_active) {
                self.apply_action(action);
            }
        }
        if self.delays_commits {
            self.apply_action(Action::ToggleCommitDelay);
        }
    }

    /// Returns true if a router sends clients to a running site.
    pub fn is_announced(&self) -> bool {
        let now = self.now() - STEP;
        (0..2).any(|n| self.sites[n].announced_until > now && !self.sites[n].is_stopped)
    }

    /// Advances the world by one step. Returns an error if both sites announce the address at once.
    pub fn step(&mut self, action: Option<Action>) -> Result<(), String> {
        if let Some(action) = action {
            self.apply_action(action);
        }
        self.run_leader();
        // Checks both orders: a resumed balancer may be polled before or after it gets the leader's reply.
        self.poll_balancers();
        let first = self.check_single_announcer();
        self.deliver_replies();
        self.poll_balancers();
        let second = self.check_single_announcer();
        self.step_number += 1;
        first.and(second)
    }

    fn apply_action(&mut self, action: Action) {
        let now = self.now();
        match action {
            Action::ToggleStop(n) => self.sites[n].is_stopped = !self.sites[n].is_stopped,
            Action::ToggleCut(n) => self.sites[n].is_cut = !self.sites[n].is_cut,
            Action::ToggleReplyDelay(n) => {
                let site = &mut self.sites[n];
                site.delays_replies = !site.delays_replies;
            }
            Action::TogglePollDelay(n) => {
                let site = &mut self.sites[n];
                site.delays_polls = !site.delays_polls;
                if site.delays_polls && !site.is_stopped {
                    site.delayed_poll = Some((now, site.balancer.answer("front", now)));
                } else if let Some((polled, answer)) = site.delayed_poll.take() {
                    site.handle_answer(polled, &answer, now, self.bug);
                }
            }
            Action::ToggleCommitDelay => {
                self.delays_commits = !self.delays_commits;
                if let (false, Some(state)) = (self.delays_commits, self.proposal.take()) {
                    self.apply(state);
                }
            }
            Action::KillLeader => self.leader = None,
            Action::Move | Action::Withdraw => {
                let site = if self.holder() == Some("a") { "b" } else { "a" }.to_owned();
                let (name, by, anyway) = ("front".to_owned(), "ops".to_owned(), false);
                let order = match action {
                    Action::Move => Order::Move { name, site, by, anyway },
                    _ => Order::Withdraw { name, site, by, anyway },
                };
                if let Some(Ok(state)) = self.leader.as_ref().map(|leader| leader.decider.order(&order)) {
                    self.propose(state);
                }
            }
        }
    }

    fn elect(&mut self) {
        let names = NAMES.map(str::to_owned).to_vec();
        let before = (self.committed.number > 0).then_some(&self.committed);
        let decider = Decider::new(vec![address()], names, before, self.now());
        let end = if self.bug == Bug::IgnoresLeases { Duration::ZERO } else { self.now() + LEADER_LEASE };
        self.leader = Some(Leader { decider, lease_ends: [end; 2], acked: [0; 2], last_requests: [None; 2] });
    }

    fn propose(&mut self, state: State) {
        if self.delays_commits && self.proposal.is_none() {
            self.proposal = Some(state);
        } else {
            self.apply(state);
        }
    }

    fn apply(&mut self, state: State) {
        if state.follows(Some(&self.committed)) || self.bug == Bug::AppliesAnyState {
            self.committed = state;
            if let Some(leader) = &mut self.leader {
                leader.decider.accepted(&self.committed);
            }
        }
    }

    fn run_leader(&mut self) {
        let now = self.now();
        if self.leader.is_none() {
            // The new leader starts to act in the next step.
            self.elect();
            return;
        }
        self.send_lease_requests();
        let Some(leader) = &mut self.leader else { return };
        let mut behind = BTreeMap::new();
        for n in 0..2 {
            if leader.acked[n] < self.committed.number && leader.lease_ends[n] > now {
                behind.insert(Region(n as u16), leader.lease_ends[n] - now);
            }
        }
        let health = [0, 1].map(|n| {
            let cut_off = leader.last_requests[n].is_none_or(|at| self.step_number - at > MAX_SILENT_STEPS);
            let ready = usize::from(!cut_off);
            SiteHealth { region: Region(n as u16), served: 1.0, near: 1.0, ready, cut_off }
        });
        if let Some(mut state) = leader.decider.tick(now, &health, &behind) {
            if self.bug == Bug::NoHandoverWait {
                for entry in state.addresses.values_mut() {
                    if entry.holder.is_none() && entry.last.is_some() {
                        entry.holder = entry.next.take();
                        entry.announcing = entry.holder.iter().map(|site| (site.clone(), 1)).collect();
                    }
                }
            }
            self.propose(state);
        }
    }

    /// Sends each balancer's lease request with its state number. The leader replies with the current state.
    fn send_lease_requests(&mut self) {
        let now = self.now();
        let Some(leader) = &mut self.leader else { return };
        for (n, site) in self.sites.iter_mut().enumerate() {
            if site.is_stopped || site.is_cut {
                continue;
            }
            let number = site.balancer.state.as_ref().map_or(0, |state| state.number);
            leader.last_requests[n] = Some(self.step_number);
            leader.acked[n] = leader.acked[n].max(number);
            leader.lease_ends[n] = leader.lease_ends[n].max(now + LEADER_LEASE);
            if !site.delays_replies || site.delayed_reply.is_none() {
                site.delayed_reply = Some((now, self.committed.clone()));
            }
        }
    }

    fn deliver_replies(&mut self) {
        let now = self.now();
        for site in self.sites.iter_mut().filter(|site| !site.is_stopped && !site.delays_replies) {
            let Some((requested_at, state)) = site.delayed_reply.take() else { continue };
            if site.balancer.state.as_ref().is_some_and(|known| known.number > state.number) {
                continue;
            }
            let from = if self.bug == Bug::LeaseFromReply { now } else { requested_at };
            let end = from + LEASE;
            site.balancer.lease_until = Some(site.balancer.lease_until.map_or(end, |before| before.max(end)));
            site.balancer.state = Some(state);
        }
    }

    fn poll_balancers(&mut self) {
        let (now, bug) = (self.now(), self.bug);
        for site in &mut self.sites {
            let mut balancer = site.balancer.clone();
            if bug == Bug::AnswerPastLease {
                balancer.lease_until = balancer.lease_until.map(|end| end.max(now + LEASE));
            }
            let answer = balancer.answer("front", now);
            if site.is_stopped {
                site.queued_poll.get_or_insert((now, answer));
                continue;
            }
            if let Some((polled, cached)) = site.queued_poll.take() {
                let sent_answer = if bug == Bug::CachedAnswer { &cached } else { &answer };
                // Another router has polled the balancer just now and receives the same cached answer.
                let polled = if bug == Bug::CachedAnswer { now } else { polled };
                site.handle_answer(polled, sent_answer, now, bug);
            }
            site.handle_answer(now, &answer, now, bug);
        }
    }

    fn check_single_announcer(&self) -> Result<(), String> {
        let now = self.now();
        let announces_now = |s: &Site| {
            let claims = !s.is_stopped && matches!(s.balancer.answer("front", now), Answer::Announces { .. });
            claims || s.announced_until > now
        };
        if self.sites.iter().all(announces_now) {
            return Err(format!("at {now:?} both sites announce the address: {:#?}", self.committed));
        }
        Ok(())
    }
}

impl Site {
    /// Handles an answer received by the router.
    fn handle_answer(&mut self, polled: Duration, answer: &Answer, now: Duration, bug: Bug) {
        if let Answer::Announces { good_for, .. } = answer {
            let from = if bug == Bug::ValidityFromArrival { now } else { polled };
            self.announced_until = self.announced_until.max(from + *good_for);
        }
    }
}
