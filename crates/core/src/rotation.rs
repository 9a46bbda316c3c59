//! The position of a round robin over a part of the subset.

use std::collections::VecDeque;

/// A round robin over consecutive entries of the subset.
#[derive(Default)]
pub(crate) struct Rotation {
    /// The first entry of the subset that belongs to it.
    pub(crate) start: usize,
    /// The number of its entries.
    pub(crate) len: usize,
    /// Its counter `sigma`: the entry, counted from the start, that was last looked at.
    pub(crate) position: usize,
    /// The upstreams that have earned the next slots.
    pub(crate) lookahead: VecDeque<usize>,
}

impl Rotation {
    /// Returns its entries of the subset.
    pub(crate) fn entries<'a>(&self, subset: &'a [usize]) -> &'a [usize] {
        &subset[self.start..self.start + self.len]
    }

    /// Returns its upstreams, the next one first.
    pub(crate) fn upcoming<'a>(&self, subset: &'a [usize]) -> impl Iterator<Item = usize> + use<'a> {
        let (start, len, position) = (self.start, self.len, self.position);
        (1..=len).map(move |k| subset[start + (position + k) % len])
    }
}
