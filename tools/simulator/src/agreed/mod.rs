//! How balancers agree on versions: the real modules of `maplehook_versions`, explored exhaustively over three members.
//!
//! The voters' log is taken for what Raft makes of it: one order, a leader at a time that knows all of it, and leaders before
//! that do not know yet that they are none. All else may happen in any order: requests, grants and answers late or never, elections,
//! proposals, undoing, time, clocks that go wrong by a hundredth. Whatever happens, no two members act on steps that contradict
//! each other. Each planted flaw is found.

pub mod storm;

use maplehook_cluster::Name;
use maplehook_versions::{
    Command, EffectiveRules, LeaseExpiryPolicy, LeaseHolder, LeaseManager, LeaseTimes, Phase, PhaseUpdate,
    VersionState,
};
use stateright::{Checker, Model, Property};
use std::time::Duration;

const MEMBERS: usize = 3;

/// A planted flaw.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flaw {
    /// The clock is read when the answer comes.
    ClockAfterAnswer,
    /// A new leader does not wait for the leases of the one before.
    NewLeaderHastens,
    /// A leader answers without making sure that it still is one.
    NoReadIndex,
    /// A change goes from old to new at once.
    NoMiddleStep,
    /// Whoever holds no lease any more acts on.
    LeaseNotLookedAt,
    /// The next step begins before everybody has the last one.
    NobodyWaitedFor,
}

impl Flaw {
    /// All of them.
    pub const ALL: [Self; 6] = [
        Self::ClockAfterAnswer,
        Self::NewLeaderHastens,
        Self::NoReadIndex,
        Self::NoMiddleStep,
        Self::LeaseNotLookedAt,
        Self::NobodyWaitedFor,
    ];
}

/// How far it is explored.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Changes that are proposed.
    pub changes: u8,
    /// Elections.
    pub elections: u8,
    /// Steps of time, each 0.4 of a lease.
    pub time: u8,
    /// Requests for leases, by each.
    pub asks: u8,
}

/// A member's exchange with a leader.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Exchange {
    None,
    /// Asked, of this leader, by this epoch.
    Asked(u64, usize, u64),
    Answered(u64, PhaseUpdate),
}

/// A leader, or one that does not know yet that it is none.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Leader {
    grants: LeaseManager,
    steps: VersionState,
}

/// Everything.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    now: Duration,
    passed: u8,
    holders: Vec<LeaseHolder>,
    exchanges: Vec<Exchange>,
    asks: Vec<u8>,
    /// The present one is the last.
    leaders: Vec<Leader>,
    proposed: u8,
    undone: bool,
}

/// What may happen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Move {
    /// A member asks a leader for a lease.
    Ask(usize, usize),
    /// The leader that it asked grants it.
    Grant(usize),
    /// The answer comes.
    Hear(usize),
    /// Another leader.
    Elect,
    /// A change is proposed.
    Propose,
    /// It goes on.
    Advance,
    /// It is taken back.
    Undo,
    /// Time passes.
    Time,
}

/// What is explored.
pub struct Agreement {
    /// How far.
    pub bounds: Bounds,
    /// The flaw, if one is planted.
    pub flaw: Option<Flaw>,
}

fn times() -> LeaseTimes {
    // A second is within what can be kept.
    LeaseTimes::new(Duration::from_secs(1)).unwrap_or(LeaseTimes {
        max_conflict: Duration::ZERO,
        lease: Duration::ZERO,
        renew_interval: Duration::ZERO,
    })
}

fn names() -> Vec<Name> {
    ["a", "b", "c"].iter().filter_map(|name| Name::new(name)).collect()
}

impl Agreement {
    fn grants(&self, elected: Duration) -> LeaseManager {
        LeaseManager::new(times(), LeaseExpiryPolicy::Conservative, names().into_iter().collect(), elected)
    }

    /// A member's clock: one goes slow, one fast, by what is allowed.
    fn clock(&self, n: usize, now: Duration) -> Duration {
        now.mul_f64([1.0, 0.99, 1.01][n])
    }

    fn free(&self, leader: &Leader, now: Duration) -> bool {
        self.flaw == Some(Flaw::NobodyWaitedFor)
            || leader.grants.pending_members(now, &leader.steps).is_empty()
    }

    fn acts(&self, state: &State, n: usize) -> Option<Phase> {
        let now = self.clock(n, state.now);
        match state.holders[n].effective_rules(now) {
            EffectiveRules::Phase(step) => Some(step),
            _ if self.flaw == Some(Flaw::LeaseNotLookedAt) => {
                state.holders[n].current().map(|told| told.phase)
            }
            _ => None,
        }
    }

    /// Whether no two act on steps that contradict each other.
    fn sound(&self, state: &State) -> bool {
        let acts: Vec<Phase> = (0..MEMBERS).filter_map(|n| self.acts(state, n)).collect();
        acts.iter().all(|a| acts.iter().all(|b| a.is_compatible_with(*b)))
    }

    /// Explores all of it: states seen, and the moves to a contradiction if there is one.
    pub fn explore(self) -> (usize, Option<Vec<Move>>) {
        let checker = self.checker().threads(4).spawn_bfs().join();
        let found = checker.discovery("no contradiction").map(|path| path.into_actions());
        (checker.unique_state_count(), found)
    }
}

impl Model for Agreement {
    type State = State;
    type Action = Move;

    fn init_states(&self) -> Vec<State> {
        let mut steps = VersionState::default();
        let first = Command::Propose {
            epoch: 0,
            expected: None,
            text: "0".into(),
            proposed_by: "a".into(),
            proposed_at_unix_ms: 0,
        };
        // The first version is in force, and everybody has just got a lease for it.
        let _ = steps.apply(&first);
        let mut grants = self.grants(Duration::ZERO);
        let mut holders = vec![LeaseHolder::new(times(), LeaseExpiryPolicy::Conservative); MEMBERS];
        for (holder, name) in holders.iter_mut().zip(names()) {
            let number = holder.begin_request(Duration::ZERO);
            grants.grant(Duration::ZERO, &name, steps.epoch);
            holder.accept_grant(number, steps.epoch, Some(PhaseUpdate::from_state(&steps)));
        }
        vec![State {
            now: Duration::ZERO,
            passed: 0,
            holders,
            exchanges: vec![Exchange::None; MEMBERS],
            asks: vec![0; MEMBERS],
            leaders: vec![Leader { grants, steps }],
            proposed: 0,
            undone: false,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Move>) {
        let present = state.leaders.len() - 1;
        for n in 0..MEMBERS {
            match &state.exchanges[n] {
                Exchange::None if state.asks[n] < self.bounds.asks => {
                    actions.extend((0..=present).map(|leader| Move::Ask(n, leader)));
                }
                Exchange::None => {}
                Exchange::Asked(..) => actions.push(Move::Grant(n)),
                Exchange::Answered(..) => actions.push(Move::Hear(n)),
            }
        }
        let leader = &state.leaders[present];
        if present < usize::from(self.bounds.elections) {
            actions.push(Move::Elect);
        }
        if self.free(leader, state.now) {
            match leader.steps.phase {
                Phase::Stable(_) if state.proposed < self.bounds.changes => actions.push(Move::Propose),
                Phase::Transition { .. } => {
                    actions.push(Move::Advance);
                    if !state.undone {
                        actions.push(Move::Undo);
                    }
                }
                _ => {}
            }
        }
        if state.passed < self.bounds.time {
            actions.push(Move::Time);
        }
    }

    fn next_state(&self, last: &State, action: Move) -> Option<State> {
        let mut state = last.clone();
        let present = state.leaders.len() - 1;
        match action {
            Move::Ask(n, leader) => {
                let holder = &mut state.holders[n];
                let number = holder.begin_request(self.clock(n, state.now));
                state.exchanges[n] = Exchange::Asked(number, leader, holder.epoch());
                state.asks[n] += 1;
            }
            Move::Grant(n) => {
                let Exchange::Asked(number, leader, epoch) = state.exchanges[n] else { return None };
                if leader != present && self.flaw != Some(Flaw::NoReadIndex) {
                    // It asks the others whether it still leads, and hears that it does not.
                    state.exchanges[n] = Exchange::None;
                    return Some(state);
                }
                let leader = &mut state.leaders[leader];
                leader.grants.grant(state.now, &names()[n], epoch);
                state.exchanges[n] = Exchange::Answered(number, PhaseUpdate::from_state(&leader.steps));
            }
            Move::Hear(n) => {
                let exchange = std::mem::replace(&mut state.exchanges[n], Exchange::None);
                let Exchange::Answered(mut number, told) = exchange else { return None };
                let clock = self.clock(n, state.now);
                if self.flaw == Some(Flaw::ClockAfterAnswer) {
                    number = state.holders[n].begin_request(clock);
                }
                state.holders[n].accept_grant(number, told.epoch, Some(told));
            }
            Move::Elect => {
                let steps = state.leaders[present].steps.clone();
                let since = if self.flaw == Some(Flaw::NewLeaderHastens) {
                    state.now.saturating_sub(Duration::from_secs(10))
                } else {
                    state.now
                };
                let mut grants = self.grants(since);
                if self.flaw == Some(Flaw::NewLeaderHastens) {
                    // As if everybody had said long ago that it is nowhere.
                    grants = self.hastened(&steps, grants);
                }
                state.leaders.push(Leader { grants, steps });
            }
            Move::Propose => {
                state.proposed += 1;
                let steps = &mut state.leaders[present].steps;
                let text = state.proposed.to_string();
                let propose = Command::Propose {
                    epoch: steps.epoch,
                    expected: None,
                    text,
                    proposed_by: "a".into(),
                    proposed_at_unix_ms: 0,
                };
                steps.apply(&propose).ok()?;
                if self.flaw == Some(Flaw::NoMiddleStep) {
                    steps.apply(&Command::Advance { epoch: steps.epoch }).ok()?;
                }
            }
            Move::Advance => {
                let steps = &mut state.leaders[present].steps;
                steps.apply(&Command::Advance { epoch: steps.epoch }).ok()?;
            }
            Move::Undo => {
                state.undone = true;
                let steps = &mut state.leaders[present].steps;
                steps.apply(&Command::Undo { epoch: steps.epoch }).ok()?;
            }
            Move::Time => {
                state.passed += 1;
                state.now += times().lease.mul_f64(0.4);
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![Property::always("no contradiction", |model: &Self, state: &State| model.sound(state))]
    }
}

impl Agreement {
    /// A leader that takes it that nobody holds anything.
    fn hastened(&self, steps: &VersionState, mut grants: LeaseManager) -> LeaseManager {
        for name in names() {
            grants.grant(Duration::ZERO, &name, steps.epoch);
        }
        grants
    }
}
