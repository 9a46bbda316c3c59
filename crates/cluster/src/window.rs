//! Refuses datagrams that were seen before: the sliding window of RFC 4303, section 3.4.3, a sender's start at a time.

use crate::name::Name;
use std::collections::BTreeMap;

/// How far behind the newest a datagram may come.
const WIDTH: u64 = 256;

/// Why a datagram is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stale {
    /// It was seen before, or is too far behind to tell.
    Repeated,
    /// It is from an earlier start of its sender than one that has been heard.
    EarlierStart,
}

#[derive(Clone, Debug)]
struct Window {
    start: u64,
    newest: u64,
    seen: [u64; (WIDTH / 64) as usize],
}

impl Window {
    fn bit(&mut self, number: u64) -> (&mut u64, u64) {
        let at = number % WIDTH;
        (&mut self.seen[(at / 64) as usize], 1 << (at % 64))
    }
}

/// What has been seen of each sender.
#[derive(Clone, Debug, Default)]
pub struct Windows(BTreeMap<Name, Window>);

impl Windows {
    /// Takes note of a datagram that is known to be its sender's.
    pub fn take(&mut self, from: &Name, start: u64, number: u64) -> Result<(), Stale> {
        let fresh = || Window { start, newest: 0, seen: [0; (WIDTH / 64) as usize] };
        let window = self.0.entry(from.clone()).or_insert_with(fresh);
        if start < window.start {
            return Err(Stale::EarlierStart);
        }
        if start > window.start {
            *window = fresh();
        }
        if number > window.newest {
            if number - window.newest >= WIDTH {
                window.seen = Default::default();
            } else {
                for passed in window.newest + 1..number {
                    let (word, bit) = window.bit(passed);
                    *word &= !bit;
                }
            }
            window.newest = number;
            let (word, bit) = window.bit(number);
            *word |= bit;
            return Ok(());
        }
        if window.newest - number >= WIDTH {
            return Err(Stale::Repeated);
        }
        let (word, bit) = window.bit(number);
        if *word & bit != 0 {
            return Err(Stale::Repeated);
        }
        *word |= bit;
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use std::collections::BTreeSet;

    proptest! {
        /// Whatever the order, nothing passes twice, and what is less than a window late passes once.
        #[test]
        fn nothing_passes_twice(numbers in prop::collection::vec(1u64..2000, 1..300)) {
            let (mut windows, name) = (Windows::default(), Name::new("b1").unwrap());
            let (mut passed, mut newest) = (BTreeSet::new(), 0);
            for number in numbers {
                let taken = windows.take(&name, 1, number).is_ok();
                let fresh = !passed.contains(&number);
                let near = number > newest || newest - number < WIDTH;
                prop_assert_eq!(taken, fresh && near);
                if taken {
                    passed.insert(number);
                }
                newest = newest.max(number);
            }
        }
    }

    #[test]
    fn an_earlier_start_is_refused_and_a_later_one_begins_anew() {
        let (mut windows, name) = (Windows::default(), Name::new("b1").unwrap());
        assert!(windows.take(&name, 5, 9).is_ok());
        assert_eq!(windows.take(&name, 4, 10), Err(Stale::EarlierStart));
        assert!(windows.take(&name, 6, 1).is_ok());
        assert_eq!(windows.take(&name, 5, 11), Err(Stale::EarlierStart));
    }
}
