//! What happens when: a queue in which events of one instant keep the order in which they were caused.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

/// A queue of events.
pub struct Agenda<E> {
    heap: BinaryHeap<Reverse<Entry<E>>>,
    caused: u64,
    now: Duration,
}

struct Entry<E> {
    at: Duration,
    caused: u64,
    event: E,
}

impl<E> PartialEq for Entry<E> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl<E> Eq for Entry<E> {}

impl<E> PartialOrd for Entry<E> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Entry<E> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.caused).cmp(&(other.at, other.caused))
    }
}

impl<E> Agenda<E> {
    /// Nothing yet, at time zero.
    pub fn new() -> Self {
        Self { heap: BinaryHeap::new(), caused: 0, now: Duration::ZERO }
    }

    /// The time.
    pub fn now(&self) -> Duration {
        self.now
    }

    /// How many events there are.
    pub fn len(&self) -> usize {
        self.heap.len()
    }

    /// Something will happen after so long.
    pub fn after(&mut self, wait: Duration, event: E) {
        self.at(self.now + wait, event);
    }

    /// Something will happen at that time; now, if it is past.
    pub fn at(&mut self, at: Duration, event: E) {
        let (at, caused) = (at.max(self.now), self.caused);
        self.caused += 1;
        self.heap.push(Reverse(Entry { at, caused, event }));
    }

    /// The next event; the time is its own from then on.
    pub fn next(&mut self) -> Option<E> {
        let Reverse(entry) = self.heap.pop()?;
        self.now = entry.at;
        Some(entry.event)
    }
}
