//! Round-robin state over a part of the subset.

use std::collections::VecDeque;

/// Round robin over consecutive entries of the subset.
#[derive(Default)]
pub(crate) struct Rotation {
    /// Index of the rotation's first entry in the subset.
    pub(crate) start: usize,
    /// Number of entries in the rotation.
    pub(crate) len: usize,
    /// Round-robin counter `sigma`: the last visited entry, counted from `start`.
    pub(crate) position: usize,
    /// Upstreams that have earned the next slots.
    pub(crate) lookahead: VecDeque<usize>,
}

impl Rotation {
    /// Returns the entries of the subset that belong to the rotation.
    pub(crate) fn entries<'a>(&self, subset: &'a [usize]) -> &'a [usize] {
        &subset[self.start..self.start + self.len]
    }

    /// Returns the upstreams of the rotation, beginning with the next one.
    pub(crate) fn upcoming<'a>(&self, subset: &'a [usize]) -> impl Iterator<Item = usize> + use<'a> {
        let (start, len, position) = (self.start, self.len, self.position);
        (1..=len).map(move |k| subset[start + (position + k) % len])
    }
}
