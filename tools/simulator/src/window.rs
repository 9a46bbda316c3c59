//! Entries by numbers that are given out one after another and end in about that order.

use std::collections::VecDeque;

/// Entries by their number.
pub(crate) struct Window<T> {
    base: u32,
    entries: VecDeque<Option<T>>,
}

impl<T> Window<T> {
    pub(crate) fn new() -> Self {
        Self { base: 0, entries: VecDeque::new() }
    }

    /// The number that the next one gets; `None`: there are no more.
    pub(crate) fn push(&mut self, entry: T) -> Option<u32> {
        let number = self.base.checked_add(u32::try_from(self.entries.len()).ok()?)?;
        self.entries.push_back(Some(entry));
        Some(number)
    }

    pub(crate) fn get(&self, number: u32) -> Option<&T> {
        self.entries.get(number.checked_sub(self.base)? as usize)?.as_ref()
    }

    pub(crate) fn get_mut(&mut self, number: u32) -> Option<&mut T> {
        self.entries.get_mut(number.checked_sub(self.base)? as usize)?.as_mut()
    }

    /// Whether there was one of this number that is gone.
    pub(crate) fn is_past(&self, number: u32) -> bool {
        match number.checked_sub(self.base) {
            None => true,
            Some(at) => self.entries.get(at as usize).is_some_and(Option::is_none),
        }
    }

    pub(crate) fn remove(&mut self, number: u32) {
        let Some(entry) = number.checked_sub(self.base).and_then(|n| self.entries.get_mut(n as usize)) else {
            return;
        };
        *entry = None;
        while let Some(None) = self.entries.front() {
            self.entries.pop_front();
            self.base += 1;
        }
    }

    /// Those that are there, with their numbers.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (u32, &T)> {
        (self.base..).zip(&self.entries).filter_map(|(n, entry)| Some((n, entry.as_ref()?)))
    }
}
