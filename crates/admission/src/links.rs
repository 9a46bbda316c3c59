//! Lists that run through the entries of a slab, so that leaving one takes no search.

/// No entry.
pub const NONE: u32 = u32::MAX;

/// An entry's neighbours in one list.
#[derive(Clone, Copy, Debug)]
pub struct Link {
    before: u32,
    after: u32,
}

impl Default for Link {
    fn default() -> Self {
        Self { before: NONE, after: NONE }
    }
}

/// A list: its ends and its length.
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

/// Gives the link of an entry that runs through the list in hand.
pub trait Links {
    /// That link.
    fn link(&mut self, entry: u32) -> &mut Link;
}

impl List {
    /// How many entries it has.
    pub fn len(&self) -> usize {
        self.length as usize
    }

    /// The entry that has been in it longest.
    pub fn first(&self) -> Option<u32> {
        (self.first != NONE).then_some(self.first)
    }

    /// Adds an entry that is in no list of this kind.
    pub fn push(&mut self, links: &mut impl Links, entry: u32) {
        *links.link(entry) = Link { before: self.last, after: NONE };
        match self.last {
            NONE => self.first = entry,
            last => links.link(last).after = entry,
        }
        self.last = entry;
        self.length += 1;
    }

    /// Takes out an entry that is in it.
    pub fn remove(&mut self, links: &mut impl Links, entry: u32) {
        let Link { before, after } = std::mem::take(links.link(entry));
        match before {
            NONE => self.first = after,
            before => links.link(before).after = after,
        }
        match after {
            NONE => self.last = before,
            after => links.link(after).before = before,
        }
        self.length -= 1;
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    struct Slab(Vec<Link>);

    impl Links for Slab {
        fn link(&mut self, entry: u32) -> &mut Link {
            &mut self.0[entry as usize]
        }
    }

    proptest! {
        /// Guards the lists against a lost or doubled entry: they do what a plain queue does.
        #[test]
        fn a_list_does_what_a_queue_does(steps in prop::collection::vec(0_u32..24, 0..400)) {
            let (mut slab, mut list) = (Slab(vec![Link::default(); 24]), List::default());
            let mut plain: Vec<u32> = Vec::new();
            for entry in steps {
                if let Some(at) = plain.iter().position(|e| *e == entry) {
                    plain.remove(at);
                    list.remove(&mut slab, entry);
                } else {
                    plain.push(entry);
                    list.push(&mut slab, entry);
                }
                prop_assert_eq!(list.len(), plain.len());
                prop_assert_eq!(list.first(), plain.first().copied());
            }
            while let Some(first) = list.first() {
                prop_assert_eq!(first, plain.remove(0));
                list.remove(&mut slab, first);
            }
            prop_assert!(plain.is_empty());
        }
    }
}
