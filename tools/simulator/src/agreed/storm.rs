//! Drawn storms over balancers that agree on versions: requests and answers late or lost, elections, processes that stand still
//! or are killed, clocks that go wrong by a hundredth, changes all the time.
//!
//! Who acts on what is looked at after every event; what two act on that contradicts is measured.

use maplehook_cluster::Name;
use maplehook_versions::{
    Command, EffectiveRules, LeaseExpiryPolicy, LeaseHolder, LeaseManager, LeaseTimes, Phase, PhaseUpdate,
    VersionState,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

/// The promise that is held against.
pub const CONTRADICTION: Duration = Duration::from_secs(5);
/// How long a storm lasts.
const SPAN: Duration = Duration::from_secs(120);

/// What a storm came to.
#[derive(Clone, Debug, Default)]
pub struct Storm {
    /// The longest time for which two balancers acted on steps that contradict each other.
    pub contradiction: Duration,
    /// From a proposal until it was in force at everybody who held a lease.
    pub took: Vec<Duration>,
    /// Changes that had not come to their end when the storm did.
    pub open: usize,
    /// Share of the time that balancers which ran had no lease.
    pub careful: f64,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Poll(usize),
    Request { from: usize, number: u64, epoch: u64, term: usize },
    Confirmed { from: usize, number: u64, epoch: u64, term: usize },
    Answer { to: usize, process: u32, number: u64, answer: u64 },
    Fault,
    Back(usize),
}

struct Node {
    holder: LeaseHolder,
    process: u32,
    drift: f64,
    /// Until when it stands still, or is gone.
    away: Duration,
    /// It is gone, rather than stopped.
    dead: bool,
}

struct Play {
    draw: ChaCha8Rng,
    now: Duration,
    nodes: Vec<Node>,
    names: Vec<Name>,
    steps: VersionState,
    grants: LeaseManager,
    /// How manieth leader; what earlier ones knew.
    term: usize,
    no_leader_until: Duration,
    queue: BinaryHeap<Reverse<(Duration, u64, Due)>>,
    next: u64,
    loss: f64,
    most: Duration,
    told: Vec<(u64, usize, PhaseUpdate)>,
    answered: u64,
}

fn times() -> LeaseTimes {
    let none =
        LeaseTimes { max_conflict: CONTRADICTION, lease: CONTRADICTION, renew_interval: CONTRADICTION };
    // Five seconds are within what can be kept.
    LeaseTimes::new(CONTRADICTION).unwrap_or(none)
}

impl Play {
    fn after(&mut self, wait: Duration, due: Due) {
        self.next += 1;
        self.queue.push(Reverse((self.now + wait, self.next, due)));
    }

    /// A way: how long it takes, if it is not lost.
    fn way(&mut self) -> Option<Duration> {
        let lost = self.draw.random::<f64>() < self.loss;
        let wait = Duration::from_millis(1) + self.most.mul_f64(self.draw.random::<f64>());
        (!lost).then_some(wait)
    }

    fn runs(&self, n: usize) -> bool {
        self.nodes[n].away <= self.now
    }

    fn clock(&self, n: usize) -> Duration {
        self.now.mul_f64(self.nodes[n].drift)
    }

    /// The longest-lasting pair of steps that are acted on now and contradict each other: whether there is one.
    fn contradicts(&self) -> bool {
        let mut acted: Vec<Phase> = Vec::new();
        for n in (0..self.nodes.len()).filter(|n| self.runs(*n)) {
            if let EffectiveRules::Phase(step) = self.nodes[n].holder.effective_rules(self.clock(n))
                && !acted.contains(&step)
            {
                acted.push(step);
            }
        }
        acted.iter().any(|a| acted.iter().any(|b| !a.is_compatible_with(*b)))
    }

    fn poll(&mut self, n: usize) {
        if !self.runs(n) {
            return;
        }
        let clock = self.clock(n);
        if clock >= self.nodes[n].holder.renewal_due() {
            let number = self.nodes[n].holder.begin_request(clock);
            let (epoch, term) = (self.nodes[n].holder.epoch(), self.term);
            if let Some(wait) = self.way() {
                self.after(wait, Due::Request { from: n, number, epoch, term });
            }
        }
        let wait = self.nodes[n].holder.renewal_due().saturating_sub(clock).max(Duration::from_millis(5));
        self.after(wait, Due::Poll(n));
    }

    fn happens(&mut self, due: Due, calm: bool) {
        match due {
            Due::Poll(n) => self.poll(n),
            Due::Request { from, number, epoch, term } => {
                // A majority confirms, or does not, that it still leads.
                if term == self.term
                    && self.no_leader_until <= self.now
                    && let Some(wait) = self.way()
                {
                    self.after(wait, Due::Confirmed { from, number, epoch, term });
                }
            }
            Due::Confirmed { from, number, epoch, term } => {
                if term != self.term {
                    return;
                }
                let name = self.names[from].clone();
                self.grants.grant(self.now, &name, epoch);
                let (told, process) = (PhaseUpdate::from_state(&self.steps), self.nodes[from].process);
                self.answered += 1;
                let answer = self.answered;
                self.told.push((answer, from, told));
                if self.told.len() > 20_000 {
                    self.told.drain(..10_000);
                }
                if let Some(wait) = self.way() {
                    self.after(wait, Due::Answer { to: from, process, number, answer });
                }
            }
            Due::Answer { to, process, number, answer } => {
                if self.nodes[to].process != process {
                    return;
                }
                if !self.runs(to) {
                    // It lies in its socket until it goes on.
                    let wait = self.nodes[to].away - self.now;
                    self.after(wait, Due::Answer { to, process, number, answer });
                    return;
                }
                let at = self.told.iter().position(|(known, ..)| *known == answer);
                if let Some((_, _, told)) = at.map(|at| self.told.swap_remove(at)) {
                    self.nodes[to].holder.accept_grant(number, told.epoch, Some(told));
                }
            }
            Due::Back(n) => {
                if std::mem::take(&mut self.nodes[n].dead) {
                    self.nodes[n].holder = LeaseHolder::new(times(), LeaseExpiryPolicy::Conservative);
                    self.nodes[n].process += 1;
                }
                self.poll(n);
            }
            Due::Fault => {
                if !calm {
                    self.fault();
                }
                let wait = Duration::from_millis(self.draw.random_range(200..4000));
                self.after(wait, Due::Fault);
            }
        }
    }

    fn fault(&mut self) {
        let n = self.draw.random_range(0..self.nodes.len());
        match self.draw.random_range(0..6) {
            // Another leader, after a while without one.
            0 => {
                self.term += 1;
                self.no_leader_until = self.now + Duration::from_millis(self.draw.random_range(500..3000));
                self.now_leads();
            }
            1 => self.loss = [0.0, 0.1, 0.4, 0.8][self.draw.random_range(0..4)],
            2 => self.most = Duration::from_millis([5, 50, 500, 3000][self.draw.random_range(0..4)]),
            kind => {
                if self.runs(n) {
                    let wait = Duration::from_millis(self.draw.random_range(100..12_000));
                    self.nodes[n].away = self.now + wait;
                    self.nodes[n].dead = kind == 3;
                    self.after(wait, Due::Back(n));
                }
            }
        }
    }

    fn now_leads(&mut self) {
        // It waits from its election on.
        let members = self.names.iter().cloned().collect();
        self.grants =
            LeaseManager::new(times(), LeaseExpiryPolicy::Conservative, members, self.no_leader_until);
    }
}

/// Plays one.
pub fn play(members: usize, seed: u64, calm: bool) -> Storm {
    let mut draw = ChaCha8Rng::seed_from_u64(seed);
    let names: Vec<Name> = (0..members).filter_map(|n| Name::new(&format!("b{n}"))).collect();
    let mut steps = VersionState::default();
    let first = Command::Propose {
        epoch: 0,
        expected: None,
        text: "0".into(),
        proposed_by: "b0".into(),
        proposed_at_unix_ms: 0,
    };
    // Nothing stands in its way.
    let _ = steps.apply(&first);
    let nodes = (0..members)
        .map(|_| Node {
            holder: LeaseHolder::new(times(), LeaseExpiryPolicy::Conservative),
            process: 0,
            drift: 0.99 + 0.02 * draw.random::<f64>(),
            away: Duration::ZERO,
            dead: false,
        })
        .collect();
    let grants = LeaseManager::new(
        times(),
        LeaseExpiryPolicy::Conservative,
        names.iter().cloned().collect(),
        Duration::ZERO,
    );
    let mut play = Play {
        draw,
        now: Duration::from_secs(1),
        nodes,
        names,
        steps,
        grants,
        term: 0,
        no_leader_until: Duration::ZERO,
        queue: BinaryHeap::new(),
        next: 0,
        loss: 0.0,
        most: Duration::from_millis(5),
        told: Vec::new(),
        answered: 0,
    };
    (0..members).for_each(|n| play.after(Duration::ZERO, Due::Poll(n)));
    play.after(Duration::from_secs(5), Due::Fault);
    let mut storm = Storm::default();
    let (mut contradicts_since, mut proposed_at): (Option<Duration>, Option<Duration>) = (None, None);
    let mut next_change = Duration::from_secs(6);
    let mut text = 0u64;
    let (mut careful, mut looks) = (0u64, 0u64);
    let mut tick = play.now;
    while play.now < SPAN {
        let until =
            play.queue.peek().map_or(SPAN, |Reverse((at, ..))| *at).min(tick + Duration::from_millis(50));
        play.now = until;
        while play.queue.peek().is_some_and(|Reverse((at, ..))| *at <= until) {
            if let Some(Reverse((_, _, due))) = play.queue.pop() {
                play.happens(due, calm);
            }
        }
        // The leader's look, every 50 ms.
        if play.now >= tick + Duration::from_millis(50) {
            tick = play.now;
            let free = play.no_leader_until <= play.now
                && play.grants.pending_members(play.now, &play.steps).is_empty();
            match play.steps.phase {
                Phase::Transition { .. } if free => {
                    let _ = play.steps.apply(&Command::Advance { epoch: play.steps.epoch });
                }
                Phase::Stable(_) if free && proposed_at.is_some() => {
                    storm.took.extend(proposed_at.take().map(|at| play.now - at));
                    next_change = play.now + Duration::from_millis(play.draw.random_range(100..3000));
                }
                Phase::Stable(_) if free && play.now >= next_change => {
                    text += 1;
                    let epoch = play.steps.epoch;
                    let (text, by) = (text.to_string(), "b0".to_owned());
                    let propose = Command::Propose {
                        epoch,
                        expected: None,
                        text,
                        proposed_by: by,
                        proposed_at_unix_ms: 0,
                    };
                    if play.steps.apply(&propose).is_ok() {
                        proposed_at = Some(play.now);
                    }
                }
                _ => {}
            }
            for n in (0..members).filter(|n| play.runs(*n)) {
                looks += 1;
                careful += u64::from(
                    play.nodes[n].holder.effective_rules(play.clock(n)) == EffectiveRules::Conservative,
                );
            }
        }
        match (play.contradicts(), contradicts_since) {
            (true, None) => contradicts_since = Some(play.now),
            (true, Some(since)) => storm.contradiction = storm.contradiction.max(play.now - since),
            (false, Some(since)) => {
                storm.contradiction = storm.contradiction.max(play.now - since);
                contradicts_since = None;
            }
            (false, None) => {}
        }
    }
    storm.open = usize::from(proposed_at.is_some());
    storm.careful = careful as f64 / looks.max(1) as f64;
    storm
}

/// What storms came to, in words; whether the promise was kept.
pub fn words(members: usize, storms: &[Storm]) -> (String, bool) {
    let longest = storms.iter().map(|storm| storm.contradiction).max().unwrap_or_default();
    let mut took: Vec<Duration> = storms.iter().flat_map(|storm| storm.took.clone()).collect();
    took.sort_unstable();
    let at = |share: f64| {
        took.get(((took.len() as f64 - 1.0) * share) as usize).copied().unwrap_or_default().as_secs_f64()
    };
    let careful = storms.iter().map(|storm| storm.careful).sum::<f64>() / storms.len().max(1) as f64;
    let text = format!(
        "{members} balancers, {} storms, {} changes: longest contradiction {:.3} s of {:.1} s; in force everywhere after {:.2} s \
         (median), {:.1} s (longest); {:.1} % of the time without a lease",
        storms.len(),
        took.len(),
        longest.as_secs_f64(),
        CONTRADICTION.as_secs_f64(),
        at(0.5),
        at(1.0),
        100.0 * careful
    );
    (text, longest <= CONTRADICTION)
}
