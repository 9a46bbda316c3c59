//! Doubly linked lists through the entries of a slab: adding and removing an entry takes constant time.

/// The index of no entry.
const NONE: u32 = u32::MAX;

/// An entry's neighbours in one list.
#[derive(Clone, Copy, Debug)]
pub struct Link {
    previous: u32,
    next: u32,
}

impl Default for Link {
    fn default() -> Self {
        Self { previous: NONE, next: NONE }
    }
}

/// A list, in the order in which entries were added.
#[derive(Clone, Copy, Debug)]
pub struct List {
    first: u32,
    last: u32,
    length: u32,
}

impl Default for List {
    fn default() -> Self {
        Self { first: NONE, last: NONE, length: 0 }
    }
}

/// Gives access to the links of one list.
pub trait LinkStore {
    /// The link of an entry.
    fn link(&mut self, entry: u32) -> &mut Link;
}

impl List {
    /// The number of its entries.
    pub fn len(&self) -> usize {
        self.length as usize
    }

    /// The entry that was added first.
    pub fn first(&self) -> Option<u32> {
        (self.first != NONE).then_some(self.first)
    }

    /// Adds an entry at the end. It must be in no list of these links.
    pub fn push(&mut self, links: &mut impl LinkStore, entry: u32) {
        *links.link(entry) = Link { previous: self.last, next: NONE };
        match self.last {
            NONE => self.first = entry,
            last => links.link(last).next = entry,
        }
        self.last = entry;
        self.length += 1;
    }

    /// Removes an entry, which must be in the list.
    pub fn remove(&mut self, links: &mut impl LinkStore, entry: u32) {
        let Link { previous, next } = std::mem::take(links.link(entry));
        match previous {
            NONE => self.first = next,
            previous => links.link(previous).next = next,
        }
        match next {
            NONE => self.last = previous,
            next => links.link(next).previous = previous,
        }
        self.length -= 1;
    }
}

#[cfg(test)]
mod tests;
