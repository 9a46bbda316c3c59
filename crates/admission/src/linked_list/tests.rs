//! Tests of linked lists.

use super::*;
use proptest::prelude::*;

struct Slab(Vec<Link>);

impl LinkStore for Slab {
    fn link(&mut self, entry: u32) -> &mut Link {
        &mut self.0[entry as usize]
    }
}

proptest! {
    /// Guards the lists against a lost or doubled entry: they agree with a plain queue.
    #[test]
    fn a_list_agrees_with_a_queue(steps in prop::collection::vec(0_u32..24, 0..400)) {
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
