//! An upstream that others have ejected is tested first here, before it is given traffic.
//!
//! It takes several tellers, it holds for a part of the own list at most, and one own test that passes ends it for a while:
//! whatever is said, nothing is ejected here by hearsay, and nothing that this balancer ejected itself comes back sooner.

use std::collections::BTreeMap;

/// How many different balancers must say so.
pub const TELLERS: usize = 2;
/// Failures that an ejection must rest on to count.
pub const FAILURES: u32 = 3;
/// For how long a passed test stands against further words, in milliseconds.
pub const PASSED: u64 = 30_000;

/// Which upstreams are to be tested first.
#[derive(Clone, Debug, Default)]
pub struct Caution {
    /// Since when, in the order in which it came to be.
    since: BTreeMap<u64, (u64, u64)>,
    passed: BTreeMap<u64, u64>,
    next: u64,
}

impl Caution {
    /// The ejections that are good now as (teller, upstream, failures), and the own ready upstreams, at most
    /// `most_per_mille` of which are tested by hearsay, the first ones first. Returns them.
    pub fn told(
        &mut self,
        now: u64,
        ready: &[u64],
        ejections: &[(u64, u64, u32)],
        most_per_mille: u32,
    ) -> Vec<u64> {
        self.passed.retain(|_, at| now < *at + PASSED);
        let mut tellers: BTreeMap<u64, Vec<u64>> =
            ready.iter().map(|upstream| (*upstream, Vec::new())).collect();
        for (teller, upstream, failures) in ejections {
            if let Some(tellers) = tellers.get_mut(upstream)
                && *failures >= FAILURES
                && !tellers.contains(teller)
                && tellers.len() < TELLERS
            {
                tellers.push(*teller);
            }
        }
        tellers.retain(|upstream, tellers| tellers.len() >= TELLERS && !self.passed.contains_key(upstream));
        self.since.retain(|upstream, _| tellers.contains_key(upstream));
        for upstream in tellers.into_keys() {
            self.next += 1;
            self.since.entry(upstream).or_insert((self.next, now));
        }
        let most = ready.len() * most_per_mille.min(1_000) as usize / 1_000;
        let mut first: Vec<(u64, u64)> = self.since.iter().map(|(id, (order, _))| (*order, *id)).collect();
        first.sort_unstable();
        first.into_iter().take(most).map(|(_, upstream)| upstream).collect()
    }

    /// An own test of it, begun at that time, has passed. One that was begun before the words came says nothing.
    pub fn passed(&mut self, begun: u64, now: u64, upstream: u64) {
        if self.since.get(&upstream).is_some_and(|(_, since)| begun >= *since) {
            self.since.remove(&upstream);
            self.passed.insert(upstream, now);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn it_takes_several_tellers_with_evidence_and_an_own_test_ends_it() {
        let mut caution = Caution::default();
        let ready = [1, 2, 3, 4];
        let at = |now, told: &[(u64, u64, u32)], caution: &mut Caution| caution.told(now, &ready, told, 500);
        assert!(at(0, &[(7, 1, 9), (7, 1, 9)], &mut caution).is_empty(), "one teller, twice");
        assert!(at(0, &[(7, 1, 9), (8, 1, 2)], &mut caution).is_empty(), "no evidence");
        let both = [(7, 1, 9), (8, 1, 9)];
        assert_eq!(at(10, &both, &mut caution), [1]);
        caution.passed(9, 20, 1);
        assert_eq!(at(20, &both, &mut caution), [1], "a test begun before the words");
        caution.passed(11, 21, 1);
        assert!(at(22, &both, &mut caution).is_empty());
        assert!(at(20 + PASSED, &both, &mut caution).is_empty());
        assert_eq!(at(21 + PASSED, &both, &mut caution), [1], "what is still said counts again");
    }

    #[test]
    fn liars_test_no_more_than_their_part_of_the_fleet() {
        let mut caution = Caution::default();
        let ready: Vec<u64> = (0..10).collect();
        let told: Vec<(u64, u64, u32)> =
            (0..40).flat_map(|upstream| [(7, upstream, u32::MAX), (8, upstream, u32::MAX)]).collect();
        assert_eq!(caution.told(0, &ready, &told, 500), [0, 1, 2, 3, 4]);
        assert!(caution.told(1, &ready, &[], 500).is_empty(), "words that are no longer good");
    }
}
