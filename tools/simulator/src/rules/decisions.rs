//! One request, two upstreams in two zones, and the decision module: all that may come between the request and its
//! answer.

use super::Game;
use maplehook_core::{
    Action, AttemptNo, Availability, Balancer, CellId, Class, ClassId, DedupGroup, Effect, Endpoint, Event,
    KindId, Outcome, RequestId, Settings, Tenant, TenantId, TimerId, UpdateScope, UpstreamId, ZoneId,
};
use std::time::Duration;

const ID: RequestId = RequestId(0);
const UPSTREAMS: u64 = 2;
const DEADLINE: Duration = Duration::from_millis(500);
const STEP: Duration = Duration::from_millis(100);
/// After that much of an attempt's timeout it is given up, as the embedder does.
const OUTCOMES: [Outcome; 6] = [
    Outcome::Ok,
    Outcome::Error,
    Outcome::Rejected,
    Outcome::ConnectFailed,
    Outcome::Reset,
    Outcome::Overloaded,
];

/// A planted flaw, between the module and whoever carries out what it says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flaw {
    /// What was reset counts as never run.
    ResetNeverRan,
    /// What ran into its time counts as never run.
    TimeoutNeverRan,
    /// Drains are not passed on.
    DeafToDrains,
    /// A failure is worded as a refusal.
    FailIsRefuse,
    /// The last outcome is swallowed, and with it the answer.
    Swallows,
    /// A final answer is given twice.
    AnswersTwice,
}

impl Flaw {
    /// All of them.
    pub const ALL: [Self; 6] = [
        Self::ResetNeverRan,
        Self::TimeoutNeverRan,
        Self::DeafToDrains,
        Self::FailIsRefuse,
        Self::Swallows,
        Self::AnswersTwice,
    ];
}

struct Attempt {
    upstream: u64,
    sent: Duration,
    until: Duration,
    out: bool,
    may_have_run: bool,
}

/// The game.
pub struct Small {
    balancer: Balancer,
    effect: Effect,
    flaw: Option<Flaw>,
    now: Duration,
    timers: Vec<(Duration, TimerId)>,
    attempts: Vec<Attempt>,
    answers: u32,
    gone: bool,
    ready: [bool; UPSTREAMS as usize],
    told: u32,
}

#[derive(Clone, Copy, PartialEq)]
enum Move {
    Ends(usize, Outcome),
    Drains(u64),
    Back(u64),
    Leaves,
    Time,
}

impl Small {
    /// A balancer that knows both upstreams and has just been given a request.
    pub fn new(effect: Effect, flaw: Option<Flaw>) -> Self {
        let class = Class { latency_objective: DEADLINE, deadline: DEADLINE, effect, ..Class::default() };
        let settings = Settings {
            classes: vec![class],
            tenants: vec![Tenant { allowance_per_s: 1000.0 }],
            can_hedge: false,
            connect_timeout: Duration::from_millis(50),
            ..Settings::default()
        };
        let mut this = Self {
            balancer: Balancer::new(settings, 1).unwrap_or_default(),
            effect,
            flaw,
            now: Duration::from_secs(1),
            timers: Vec::new(),
            attempts: Vec::new(),
            answers: 0,
            gone: false,
            ready: [true; UPSTREAMS as usize],
            told: 0,
        };
        let listed: Vec<Endpoint> = (0..UPSTREAMS).map(|n| entry(n, Availability::Ready)).collect();
        // Nothing has been asked yet: no rule can be broken by this.
        let _ = this.tell(Event::EndpointUpdate { scope: UpdateScope::Cached, endpoints: &listed });
        let (class, tenant) = (ClassId(0), TenantId(0));
        let event =
            Event::Request { id: ID, class, tenant, time_left: DEADLINE, work_ms: None, is_repeat: false };
        let _ = this.tell(event);
        this
    }

    fn all(&self) -> Vec<Move> {
        if self.is_over() {
            return Vec::new();
        }
        let mut all = Vec::new();
        for (n, _) in self.attempts.iter().enumerate().filter(|(_, a)| a.out) {
            all.extend(OUTCOMES.map(|outcome| Move::Ends(n, outcome)));
        }
        // Lists change a few times at the most: each way of it once is enough.
        if self.told < 2 {
            all.extend(
                (0..UPSTREAMS).map(|n| if self.ready[n as usize] { Move::Drains(n) } else { Move::Back(n) }),
            );
        }
        if !self.gone && self.answers == 0 {
            all.push(Move::Leaves);
        }
        all.push(Move::Time);
        all
    }

    fn is_over(&self) -> bool {
        (self.answers > 0 || self.gone) && self.attempts.iter().all(|a| !a.out)
    }

    fn tell(&mut self, event: Event<'_>) -> Result<(), String> {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        for action in actions {
            self.carry_out(action)?;
        }
        Ok(())
    }

    fn carry_out(&mut self, action: Action) -> Result<(), String> {
        match action {
            Action::Attempt { upstream, timeout, .. } => self.attempt(upstream.0, timeout),
            Action::Reject { .. } => {
                self.answer()?;
                let may = self.attempts.iter().any(|a| a.may_have_run || a.out);
                if may && self.effect != Effect::Idempotent {
                    return Err("a refusal, though it may have run".into());
                }
                Ok(())
            }
            Action::Fail { .. } => {
                self.answer()?;
                if self.flaw == Some(Flaw::AnswersTwice) {
                    self.answer()?;
                }
                if self.flaw == Some(Flaw::FailIsRefuse) && self.attempts.iter().any(|a| a.may_have_run) {
                    return Err("a refusal, though it may have run".into());
                }
                Ok(())
            }
            Action::Timer { after, timer } => {
                self.timers.push((self.now + after, timer));
                Ok(())
            }
            Action::Cancel { attempt, .. } => self.ends(usize::from(attempt.0), Outcome::Cancelled),
            _ => Ok(()),
        }
    }

    fn answer(&mut self) -> Result<(), String> {
        self.answers += 1;
        if self.answers > 1 { Err("two final answers".into()) } else { Ok(()) }
    }

    fn attempt(&mut self, upstream: u64, timeout: Option<Duration>) -> Result<(), String> {
        if self.answers > 0 || self.gone {
            return Err("an attempt after the end".into());
        }
        if !self.ready[upstream as usize] {
            return Err("an attempt at an upstream that was told to drain".into());
        }
        if self.attempts.iter().any(|a| a.out) {
            return Err("two attempts out at once".into());
        }
        if let Some(first) = self.attempts.iter().find(|a| a.may_have_run) {
            match self.effect {
                Effect::Idempotent => {}
                Effect::AtMostOnce => return Err("an effect may happen twice".into()),
                Effect::Deduplicated { group, ttl } => {
                    if self.now >= first.sent + ttl {
                        return Err("a repeat after its key is forgotten".into());
                    }
                    if group == DedupGroup::Zone && first.upstream != upstream {
                        return Err("a repeat where its key is not known".into());
                    }
                }
            }
        }
        let end = Duration::from_secs(1) + DEADLINE;
        let until = timeout.map_or(end, |t| (self.now + t).min(end));
        self.attempts.push(Attempt { upstream, sent: self.now, until, out: true, may_have_run: false });
        Ok(())
    }

    fn ends(&mut self, n: usize, outcome: Outcome) -> Result<(), String> {
        let Some(attempt) = self.attempts.get_mut(n).filter(|a| a.out) else { return Ok(()) };
        (attempt.out, attempt.may_have_run) = (false, !outcome.never_ran());
        let served = outcome == Outcome::Ok && !self.gone && self.answers == 0;
        let (upstream, latency) = (UpstreamId(attempt.upstream), self.now - attempt.sent);
        if served {
            self.answer()?;
        }
        let told = match (self.flaw, outcome) {
            (Some(Flaw::ResetNeverRan), Outcome::Reset) => Outcome::ConnectFailed,
            (Some(Flaw::TimeoutNeverRan), Outcome::TimedOut) => Outcome::ConnectFailed,
            (Some(Flaw::Swallows), Outcome::Error) => return self.is_answered(),
            _ => outcome,
        };
        let finished = self.answers > 0;
        let attempt = AttemptNo(n as u8);
        let report = &[];
        self.tell(Event::AttemptEnded {
            id: ID,
            attempt,
            upstream,
            outcome: told,
            latency,
            is_finished: finished,
            report,
        })?;
        self.is_answered()
    }

    /// With nothing out the answer is there: there is nothing more to wait for.
    fn is_answered(&self) -> Result<(), String> {
        if self.answers == 0 && !self.gone && self.attempts.iter().all(|a| !a.out) {
            return Err("no answer, and nothing is out".into());
        }
        Ok(())
    }

    fn time(&mut self) -> Result<(), String> {
        let end = self.now + STEP;
        loop {
            // What is due first; of what is due together, outcomes before timers.
            let out = self.attempts.iter().enumerate().filter(|(_, a)| a.out && a.until <= end);
            let out = out.min_by_key(|(_, a)| a.until).map(|(n, a)| (a.until, n));
            let timer = (0..self.timers.len()).filter(|n| self.timers[*n].0 <= end);
            let timer = timer.min_by_key(|n| self.timers[*n].0).map(|n| (self.timers[n].0, n));
            match (out, timer) {
                (Some((at, n)), timer) if timer.is_none_or(|t| at <= t.0) => {
                    self.now = self.now.max(at);
                    self.ends(n, Outcome::TimedOut)?;
                }
                (_, Some((at, n))) => {
                    self.now = self.now.max(at);
                    let (_, timer) = self.timers.swap_remove(n);
                    self.tell(Event::Timer { timer })?;
                }
                _ => break,
            }
        }
        self.now = end;
        if self.now > Duration::from_secs(1) + DEADLINE && self.answers == 0 && !self.gone {
            return Err("no answer within its time".into());
        }
        Ok(())
    }

    fn list(&mut self, upstream: u64, ready: bool) -> Result<(), String> {
        self.ready[upstream as usize] = ready;
        self.told += 1;
        let availability = if ready { Availability::Ready } else { Availability::Draining };
        if self.flaw == Some(Flaw::DeafToDrains) && !ready {
            return Ok(());
        }
        self.tell(Event::EndpointUpdate {
            scope: UpdateScope::Changes,
            endpoints: &[entry(upstream, availability)],
        })
    }
}

fn entry(n: u64, availability: Availability) -> Endpoint {
    Endpoint {
        id: UpstreamId(n),
        zone: ZoneId(n as u8),
        kind: KindId(0),
        cell: CellId(n as u16),
        availability,
        weight: 1.0,
        started: None,
    }
}

impl Game for Small {
    fn moves(&self) -> usize {
        self.all().len()
    }

    fn name(&self, number: usize) -> String {
        match self.all()[number] {
            Move::Ends(n, outcome) => format!("attempt {n} ends: {outcome:?}"),
            Move::Drains(n) => format!("upstream {n} drains"),
            Move::Back(n) => format!("upstream {n} is back"),
            Move::Leaves => "the client leaves".into(),
            Move::Time => "100 ms".into(),
        }
    }

    fn play(&mut self, number: usize) -> Result<(), String> {
        match self.all()[number] {
            Move::Ends(n, outcome) => self.ends(n, outcome),
            Move::Drains(n) => self.list(n, false),
            Move::Back(n) => self.list(n, true),
            Move::Leaves => {
                self.gone = true;
                self.tell(Event::RequestCancelled { id: ID })
            }
            Move::Time => self.time(),
        }
    }
}
