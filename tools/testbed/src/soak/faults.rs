//! Pairs of faults beside the misbehaviour that every run has. Each run draws one pair from its seed.
//!
//! They are drawn from generators of their own, so that a seed plays everything else as it did without them.

use super::discovery::{Discovery, Listing};
use super::upstream::Upstream;
use fastrand::Rng;
use std::thread;
use std::time::{Duration, Instant};

/// Distinguishes the generators of faults from the others of a seed.
const SALT: u64 = 0x6661_756c;
/// Share of the requests that a fault of clients or of answers concerns.
const LEAVING_SHARE: f64 = 0.1;
const BREAKING_SHARE: f64 = 0.2;
const SHORT_SHARE: f64 = 0.5;
/// Times of clients that wait very shortly.
const SHORT_WAITS_MS: std::ops::RangeInclusive<u64> = 5..=60;
/// Times of the faults of upstreams since the start of a life, and how long each lasts.
const FIRST_FAULT_MS: std::ops::RangeInclusive<u64> = 50..=400;
const FAULT_INTERVAL_MS: std::ops::RangeInclusive<u64> = 200..=700;
const FAULT_LENGTH_MS: std::ops::RangeInclusive<u64> = 100..=600;
/// Longest time for which an upstream is not there at the start of a life.
const MAX_LATE_START_MS: u64 = 1000;

/// A kind of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Clients close their connection while they wait.
    ClientsLeave,
    /// Answers break off, in every form.
    AnswersBreak,
    /// Upstreams reset all their connections, and refuse new ones for a while.
    UpstreamsCrash,
    /// Upstreams are not there yet at the start.
    UpstreamsComeLate,
    /// Upstreams drain, or are left out of the list, and come back.
    ListsChange,
    /// Clients wait for a few milliseconds.
    ShortTimes,
}

impl Fault {
    /// All kinds.
    pub const ALL: [Self; 6] = [
        Self::ClientsLeave,
        Self::AnswersBreak,
        Self::UpstreamsCrash,
        Self::UpstreamsComeLate,
        Self::ListsChange,
        Self::ShortTimes,
    ];
}

/// The pair of faults of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FaultPair(pub Fault, pub Fault);

impl FaultPair {
    /// Draws the pair of a seed: all pairs come up in turn.
    pub fn draw(seed: u64) -> Self {
        let pairs: Vec<Self> = Fault::ALL
            .iter()
            .enumerate()
            .flat_map(|(n, first)| Fault::ALL[n + 1..].iter().map(|second| Self(*first, *second)))
            .collect();
        pairs[seed as usize % pairs.len()]
    }

    /// Returns true if the pair has this kind.
    pub fn has(self, fault: Fault) -> bool {
        self.0 == fault || self.1 == fault
    }

    /// Draws after how long the client of the next request leaves, if it does.
    pub fn draw_leave(self, rng: &mut Rng, wait: Duration) -> Option<Duration> {
        let leaves = self.has(Fault::ClientsLeave) && rng.f64() < LEAVING_SHARE;
        leaves.then(|| wait.min(Duration::from_millis(500)).mul_f64(rng.f64()))
    }

    /// Draws how long the client of the next request waits.
    pub fn draw_wait(self, rng: &mut Rng, longest: Duration) -> Duration {
        let is_short = self.has(Fault::ShortTimes) && rng.f64() < SHORT_SHARE;
        if is_short { Duration::from_millis(rng.u64(SHORT_WAITS_MS)) } else { longest }
    }

    /// Draws whether the next answer breaks.
    pub fn draw_break(self, rng: &mut Rng) -> bool {
        self.has(Fault::AnswersBreak) && rng.f64() < BREAKING_SHARE
    }
}

/// Returns the generator of faults for `number`, which is unique to its user.
pub fn generator(number: u64) -> Rng {
    Rng::with_seed(number ^ SALT)
}

/// Plays the faults of upstreams and of the list until `until`, and leaves all as it was.
pub fn play_upstream_faults(
    pair: FaultPair,
    mut rng: Rng,
    upstreams: &[Upstream],
    discovery: &Discovery,
    until: Instant,
) {
    let draw_ms = |rng: &mut Rng, range| Duration::from_millis(rng.u64(range));
    if pair.has(Fault::UpstreamsComeLate) {
        for upstream in upstreams.iter().skip(1) {
            upstream.go_down_for(Duration::from_millis(rng.u64(..=MAX_LATE_START_MS)));
        }
    }
    let mut next = Instant::now() + draw_ms(&mut rng, FIRST_FAULT_MS);
    while next < until {
        thread::sleep(next.saturating_duration_since(Instant::now()));
        let (length, victim) = (draw_ms(&mut rng, FAULT_LENGTH_MS), rng.usize(..upstreams.len()));
        if pair.has(Fault::UpstreamsCrash) {
            upstreams[victim].go_down_for(length);
        }
        if pair.has(Fault::ListsChange) {
            let listing = if rng.bool() { Listing::Draining } else { Listing::LeftOut };
            discovery.list(rng.usize(..upstreams.len()), listing);
        }
        thread::sleep(length);
        discovery.list_all();
        next += length + draw_ms(&mut rng, FAULT_INTERVAL_MS);
    }
}
