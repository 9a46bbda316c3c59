//! The rules, held against what clients and upstreams recorded.

use super::clients::{End, Request};
use super::faults::FaultPair;
use super::long_bodies::{LongBody, is_made_for};
use super::plan::Plan;
use super::upstream::Execution;
use super::{
    ANSWER_MARGIN, BEGUN_AFTER_END_MARGIN, BEGUN_AFTER_TIME_MARGIN, EndOfLife, KILL_MARGIN, MAX_LATENESS,
};
use std::collections::HashMap;
use std::fmt;
use std::time::Duration;

/// Share of its memory limit that a balancer may hold.
const MAX_MEMORY_SHARE: f64 = 0.9;

/// A broken rule; most name the request by its id.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Breach {
    /// The client was served what was not made for its request.
    WrongAnswer(String, Vec<u8>),
    /// More came behind the answer.
    SecondAnswer(String),
    /// The request ran more often than once, and may not.
    RanTwice(String, usize),
    /// The request was refused, which promises that it did not run.
    RefusedButRan(String),
    /// The final answer came too long after the deadline, or not at all.
    Late(String, Duration),
    /// The connection was closed with no answer to a request that was taken.
    Lost(String),
    /// An attempt began so long after its client had left or had its answer, or after the time of the request.
    BegunAfterEnd(String, Duration),
    /// SIGKILL found the request unanswered.
    FoundByKill(String),
    /// The answer broke off.
    Cut(String),
    /// The balancer held so much of its memory limit, both in KiB.
    Memory(u64, u64),
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::WrongAnswer(id, body) => {
                write!(f, "{id} was served {:?}", String::from_utf8_lossy(body))
            }
            Self::SecondAnswer(id) => write!(f, "more came behind the answer to {id}"),
            Self::RanTwice(id, count) => write!(f, "{id} ran {count} times"),
            Self::RefusedButRan(id) => write!(f, "{id} was refused and ran"),
            Self::Late(id, time) => write!(f, "{id} had no answer for {time:?}"),
            Self::Lost(id) => write!(f, "{id} was taken and has no answer"),
            Self::BegunAfterEnd(id, time) => write!(f, "an attempt of {id} began {time:?} after its end"),
            Self::FoundByKill(id) => write!(f, "SIGKILL found {id} unanswered"),
            Self::Cut(id) => write!(f, "the answer to {id} broke off"),
            Self::Memory(peak, limit) => write!(f, "the balancer held {peak} KiB of {limit}"),
        }
    }
}

/// What came of one run.
#[derive(Clone, Debug)]
pub struct Summary {
    /// Its seed.
    pub seed: u64,
    /// Its faults.
    pub faults: FaultPair,
    /// Requests that clients sent.
    pub requests: usize,
    /// Requests that were answered with status 200.
    pub served: usize,
    /// Broken rules.
    pub breaches: Vec<Breach>,
    /// Longest lateness of the machine's timers.
    pub lateness: Duration,
    /// True if the machine was too slow for the run to show anything.
    pub is_void: bool,
}

impl Summary {
    pub(super) fn new(seed: u64, faults: FaultPair) -> Self {
        Self {
            seed,
            faults,
            requests: 0,
            served: 0,
            breaches: Vec::new(),
            lateness: Duration::ZERO,
            is_void: false,
        }
    }

    pub(super) fn add(&mut self, (requests, served, breaches): (usize, usize, Vec<Breach>)) {
        self.requests += requests;
        self.served += served;
        self.breaches.extend(breaches);
    }

    /// Holds the most memory of a life, in KiB, against the limit.
    pub(super) fn add_peak_memory(&mut self, plan: &Plan, peak: u64) {
        let limit = plan.memory_mb * 1024;
        if peak as f64 >= limit as f64 * MAX_MEMORY_SHARE {
            self.breaches.push(Breach::Memory(peak, limit));
        }
    }

    pub(super) fn finish(&mut self, lateness: Duration) {
        self.lateness = lateness;
        self.is_void = lateness > MAX_LATENESS;
    }
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { seed, faults: FaultPair(first, second), requests, served, lateness, .. } = self;
        let void = if self.is_void { ", void" } else { "" };
        write!(
            f,
            "seed {seed}, {first:?} and {second:?}: {requests} requests, {served} served, {} breaches, timers {lateness:?} late{void}",
            self.breaches.len()
        )?;
        self.breaches.iter().try_for_each(|breach| write!(f, "\n  {breach}"))
    }
}

/// Returns the number of requests, the number of served ones, and the broken rules of one life.
pub(super) fn check(
    plan: &Plan,
    requests: &[Request],
    executions: &[Execution],
    end: EndOfLife,
    lateness: Duration,
) -> (usize, usize, Vec<Breach>) {
    let mut runs: HashMap<&str, Vec<&Execution>> = HashMap::new();
    for execution in executions {
        runs.entry(&execution.id).or_default().push(execution);
    }
    let life = LifeRecord { end, lateness, is_crowded: plan.crowd > 0 };
    let mut breaches = Vec::new();
    for request in requests {
        let runs = runs.get(request.id.as_str()).map_or(&[][..], Vec::as_slice);
        check_request(request, runs, &life, &mut breaches);
        check_begins(request, runs, &life, &mut breaches);
    }
    let is_served = |request: &&Request| matches!(request.end, End::Answered { status: 200, .. });
    (requests.len(), requests.iter().filter(is_served).count(), breaches)
}

/// What the requests of one life are judged by.
struct LifeRecord {
    end: EndOfLife,
    lateness: Duration,
    is_crowded: bool,
}

/// Finds attempts that began after the end of their request.
fn check_begins(request: &Request, executions: &[&Execution], life: &LifeRecord, breaches: &mut Vec<Breach>) {
    if request.long_body.is_some() {
        return;
    }
    let by_time = request.sent_at + request.wait + BEGUN_AFTER_TIME_MARGIN;
    let has_ended = matches!(request.end, End::Left | End::Answered { .. });
    let by_end = has_ended.then_some(request.ended_at + BEGUN_AFTER_END_MARGIN);
    let latest = by_end.map_or(by_time, |by_end| by_end.min(by_time)) + life.lateness;
    for begun_at in executions.iter().filter_map(|execution| execution.arrived_at) {
        if begun_at > latest {
            breaches.push(Breach::BegunAfterEnd(request.id.clone(), begun_at - latest));
        }
    }
}

fn check_request(
    request: &Request,
    executions: &[&Execution],
    life: &LifeRecord,
    breaches: &mut Vec<Breach>,
) {
    let (id, end, runs) = (|| request.id.clone(), life.end, executions.len());
    let longest_wait = request.wait + ANSWER_MARGIN + life.lateness;
    // A broken answer may be passed on, as long as its client sees that it is not whole.
    let may_be_cut = executions.iter().any(|execution| execution.breaks);
    // Idle clients may fill the descriptors, and new connections are shut unread then.
    let is_newcomer = request.is_first && !life.is_crowded && request.ended_at < end.terminated_at;
    // The first bytes of a long answer are timed.
    let answered_at = match request.long_body {
        Some(LongBody::Answer(..)) => request.answered_at,
        _ => request.ended_at,
    };
    let waited = answered_at.saturating_duration_since(request.sent_at);
    // A long exchange may be found by SIGKILL if it began before connections had to be closed.
    let may_be_found = request.long_body.is_some() && request.sent_at < end.terminated_at + KILL_MARGIN;
    if request.has_extra_bytes {
        breaches.push(Breach::SecondAnswer(id()));
    }
    if !request.is_safe && runs > 1 {
        breaches.push(Breach::RanTwice(id(), runs));
    }
    match &request.end {
        End::Answered { status: 200, body } if !is_answer_to(request, body) => {
            breaches.push(Breach::WrongAnswer(id(), body.clone()));
        }
        End::Answered { status: 429 | 503, .. } if !request.is_safe && runs > 0 => {
            breaches.push(Breach::RefusedButRan(id()));
        }
        End::Closed | End::Cut if request.ended_at >= end.killed_at && may_be_found => return,
        End::Closed | End::Cut if request.ended_at >= end.killed_at => {
            breaches.push(Breach::FoundByKill(id()));
        }
        End::Closed if runs > 0 || is_newcomer => breaches.push(Breach::Lost(id())),
        End::Cut if !may_be_cut => breaches.push(Breach::Cut(id())),
        End::Answered { .. } | End::Closed | End::Cut | End::Silent | End::Left => {}
    }
    if waited > longest_wait && request.end != End::Left {
        breaches.push(Breach::Late(id(), waited));
    }
}

/// Returns true if a body was made for a request: its id, which a long answer repeats.
fn is_answer_to(request: &Request, body: &[u8]) -> bool {
    match request.long_body {
        Some(LongBody::Answer(..)) => is_made_for(body, &request.id),
        _ => body == request.id.as_bytes(),
    }
}
