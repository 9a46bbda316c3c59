//! An upstream: so many servers, a queue of so many places, first come, first served; cold after its start, choked when
//! crowded for long, and in the states that faults bring it into.

use crate::time::Time;
use std::collections::VecDeque;
use std::time::Duration;

/// An upstream's figures.
#[derive(Clone, Debug, PartialEq)]
pub struct Station {
    /// Requests that it works on at once.
    pub servers: usize,
    /// Requests that may wait beside them; one more is turned away.
    pub queue: usize,
    /// How long one takes at speed 1.
    pub service: Time,
    /// How fast it is.
    pub speed: f64,
    /// What it can do after its start; `None`: all at once.
    pub cold: Option<Cold>,
    /// What crowding does to it.
    pub choke: Option<Choke>,
    /// Its zone.
    pub zone: u8,
    /// Its kind.
    pub kind: u16,
}

/// What an upstream can do after its start: its share rises evenly.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Cold {
    /// At the start.
    pub from: f64,
    /// Until it can do all.
    pub over: Duration,
    /// Sent more than this multiple of what it can do ...
    pub multiple: f64,
    /// ... for so long, it falls over. Zero: it never does.
    pub within: Duration,
}

/// What crowding does: with more waiting for each server than `at`, for `after`, it turns slower by `factor` until
/// nobody waits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choke {
    /// Waiting for each server.
    pub at: f64,
    /// How long.
    pub after: Duration,
    /// How much slower.
    pub factor: f64,
}

impl Station {
    /// Like this one, warm, in zone 0.
    pub fn new(servers: usize, queue: usize, service: Time) -> Self {
        Self { servers, queue, service, speed: 1.0, cold: None, choke: None, zone: 0, kind: 0 }
    }

    /// Requests a second that it can do when warm.
    pub fn capacity(&self) -> f64 {
        self.servers as f64 * self.speed / self.service.mean().as_secs_f64().max(1e-9)
    }
}

/// Whether an upstream's process is there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Life {
    /// It takes requests.
    Up,
    /// Its process has ended: connections are refused.
    Down,
    /// Its machine has vanished: nothing answers.
    Silent,
}

/// What a station has in hand, and how it is.
#[derive(Debug)]
pub(crate) struct Hall {
    pub(crate) busy: usize,
    pub(crate) waiting: VecDeque<(u32, u8)>,
    pub(crate) working: Vec<(u32, u8)>,
    pub(crate) life: Life,
    /// Of its process; `None`: long ago.
    pub(crate) started: Option<Duration>,
    pub(crate) frozen_until: Duration,
    pub(crate) slow: f64,
    pub(crate) errors: f64,
    pub(crate) fell: bool,
    crowded: Option<Duration>,
    choked: bool,
    /// Work sent to it while cold, within the window.
    sent: VecDeque<Duration>,
}

/// What becomes of one that has come.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Came {
    Served,
    Waits,
    Full,
}

impl Hall {
    pub(crate) fn new(started: Option<Duration>) -> Self {
        Self {
            busy: 0,
            waiting: VecDeque::new(),
            working: Vec::new(),
            life: Life::Up,
            started,
            frozen_until: Duration::ZERO,
            slow: 1.0,
            errors: 0.0,
            fell: false,
            crowded: None,
            choked: false,
            sent: VecDeque::new(),
        }
    }

    /// What it can do now, in multiples of a station of speed 1.
    pub(crate) fn speed(&self, station: &Station, now: Duration) -> f64 {
        let climb = match (self.started, &station.cold) {
            (Some(started), Some(cold)) => {
                let share = (now - started).as_secs_f64() / cold.over.as_secs_f64().max(1e-9);
                cold.from + (1.0 - cold.from) * share.min(1.0)
            }
            _ => 1.0,
        };
        let choke = if self.choked { station.choke.map_or(1.0, |c| c.factor) } else { 1.0 };
        (station.speed * climb / (self.slow * choke)).max(1e-6)
    }

    /// One comes.
    pub(crate) fn come(&mut self, now: Duration, station: &Station, one: (u32, u8)) -> Came {
        if self.busy < station.servers {
            self.busy += 1;
            return Came::Served;
        }
        if self.waiting.len() >= station.queue {
            return Came::Full;
        }
        self.waiting.push_back(one);
        if let Some(choke) = &station.choke
            && self.waiting.len() as f64 > choke.at * station.servers as f64
        {
            let since = *self.crowded.get_or_insert(now);
            self.choked |= now - since >= choke.after;
        }
        Came::Waits
    }

    /// Whether what has been sent to a cold one is more than it stands.
    pub(crate) fn is_pushed_over(&mut self, now: Duration, station: &Station) -> bool {
        let (Some(started), Some(cold)) = (self.started, &station.cold) else { return false };
        if now - started >= cold.over {
            self.started = None;
            self.sent.clear();
            return false;
        }
        if cold.within.is_zero() {
            return false;
        }
        self.sent.push_back(now);
        while self.sent.front().is_some_and(|at| now - *at > cold.within) {
            self.sent.pop_front();
        }
        let able = station.servers as f64 * self.speed(station, now) / station.service.mean().as_secs_f64();
        // A little slack for chance: a few requests at once are no push.
        self.sent.len() as f64 > cold.multiple * able * cold.within.as_secs_f64() + 3.0
    }

    /// One is done; the next begins, if one waits.
    pub(crate) fn done(&mut self, one: (u32, u8)) -> Option<(u32, u8)> {
        if let Some(at) = self.working.iter().position(|w| *w == one) {
            self.working.swap_remove(at);
        }
        let next = self.waiting.pop_front();
        if self.waiting.is_empty() {
            (self.crowded, self.choked) = (None, false);
        }
        if next.is_none() {
            self.busy -= 1;
        }
        next
    }

    /// All that it had is lost: what waited and what was worked on.
    pub(crate) fn lose_all(&mut self) -> Vec<(u32, u8)> {
        self.busy = 0;
        (self.crowded, self.choked) = (None, false);
        self.sent.clear();
        let mut lost = std::mem::take(&mut self.working);
        lost.extend(self.waiting.drain(..));
        lost
    }
}
