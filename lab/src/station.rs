//! An upstream: so many servers, a queue of so many places, first come, first served.

use crate::time::Time;
use std::collections::VecDeque;

/// An upstream's figures.
#[derive(Clone, Debug, PartialEq)]
pub struct Station {
    /// Requests that it works on at once.
    pub servers: usize,
    /// Requests that may wait beside them; one more is turned away.
    pub queue: usize,
    /// How long one takes.
    pub service: Time,
}

/// What a station has in hand.
#[derive(Debug, Default)]
pub(crate) struct Hall<T> {
    pub(crate) busy: usize,
    pub(crate) waiting: VecDeque<T>,
}

/// What becomes of one that has come.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Came {
    Served,
    Waits,
    Full,
}

impl<T> Hall<T> {
    /// One comes.
    pub(crate) fn come(&mut self, station: &Station, one: T) -> Came {
        if self.busy < station.servers {
            self.busy += 1;
            return Came::Served;
        }
        if self.waiting.len() >= station.queue {
            return Came::Full;
        }
        self.waiting.push_back(one);
        Came::Waits
    }

    /// One is done; the next begins, if one waits.
    pub(crate) fn done(&mut self) -> Option<T> {
        let next = self.waiting.pop_front();
        if next.is_none() {
            self.busy -= 1;
        }
        next
    }
}
