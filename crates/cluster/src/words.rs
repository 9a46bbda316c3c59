//! What balancers tell one another of upstreams: that one drains, and that one has started.
//!
//! A word only ever makes a balancer more careful, and it lasts only for as long as somebody whose own discovery says so
//! tells it again: whoever has a drain from its discovery asserts it every [`AGAIN`], unless another one has just done so,
//! and an assertion is good for [`GOOD`]. Words are told apart by teller and stamp, so that one that goes round in
//! circles ages all the same; of two copies the older one counts. Merging is commutative, associative and
//! idempotent: order, loss and repeats change nothing in the end.

use bytes::{Buf, BufMut};
use std::collections::BTreeMap;
use std::time::Duration;

/// How long an assertion is good.
pub const GOOD: Duration = Duration::from_secs(15);
/// How often a drain that still stands is asserted.
pub const AGAIN: Duration = Duration::from_secs(5);
/// The most upstreams that there are words of.
pub const UPSTREAMS_MOST: usize = 4096;
/// The most words of one upstream: more tellers say no more.
const EACH_MOST: usize = 4;
/// Bytes of a word.
pub const LENGTH: usize = 8 * 4 + 1 + 4;

/// FNV-1a.
pub fn fnv(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3)
    })
}

/// What a balancer knows of an upstream from its own discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Claim {
    /// The upstream's id, the same at every balancer.
    pub upstream: u64,
    /// When it started, in Unix milliseconds; 0: not known.
    pub boot_ms: u64,
    /// Whether it drains.
    pub drained: bool,
}

/// A claim on its way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Word {
    /// What is claimed.
    pub claim: Claim,
    /// Whose discovery said so.
    pub teller: u64,
    /// The teller's own count, which rises.
    pub stamp: u64,
    /// How old it is, in milliseconds.
    pub age_ms: u32,
}

impl Word {
    /// As bytes.
    pub fn bytes(&self) -> Vec<u8> {
        let mut buf = Vec::with_capacity(LENGTH);
        buf.put_u64(self.claim.upstream);
        buf.put_u64(self.teller);
        buf.put_u64(self.stamp);
        buf.put_u64(self.claim.boot_ms);
        buf.put_u8(u8::from(self.claim.drained));
        buf.put_u32(self.age_ms);
        buf
    }

    /// Reads one; what later versions may have added is passed over.
    pub fn read(mut buf: &[u8]) -> Option<Self> {
        let (upstream, teller) = (buf.try_get_u64().ok()?, buf.try_get_u64().ok()?);
        let (stamp, boot_ms) = (buf.try_get_u64().ok()?, buf.try_get_u64().ok()?);
        let drained = buf.try_get_u8().ok()? & 1 == 1;
        let age_ms = buf.try_get_u32().ok()?;
        Some(Self { claim: Claim { upstream, boot_ms, drained }, teller, stamp, age_ms })
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Told {
    teller: u64,
    stamp: u64,
    boot_ms: u64,
    drained: bool,
    /// When it was asserted, on the local clock in milliseconds; before its start if below 0.
    at: i64,
}

/// What the words that are good come to, for one upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Effect {
    /// The upstream.
    pub upstream: u64,
    /// Until when it is held to drain, and which start of it.
    pub drained: Option<(Duration, u64)>,
    /// Its latest start.
    pub boot_ms: u64,
}

/// The words that are good.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Words {
    told: BTreeMap<u64, Vec<Told>>,
    last_stamp: u64,
    refused: u64,
    /// Counts changes.
    version: u64,
}

fn ms(time: Duration) -> i64 {
    i64::try_from(time.as_millis()).unwrap_or(i64::MAX)
}

impl Words {
    /// Takes a word in. `true`: it was news, for others too.
    pub fn take(&mut self, now: Duration, word: Word) -> bool {
        let at = ms(now) - i64::from(word.age_ms);
        if ms(now) - at >= ms(GOOD) {
            return false;
        }
        let Claim { upstream, boot_ms, drained } = word.claim;
        let told = Told { teller: word.teller, stamp: word.stamp, boot_ms, drained, at };
        if !self.told.contains_key(&upstream) && self.told.len() >= UPSTREAMS_MOST {
            self.refused += 1;
            return false;
        }
        let all = self.told.entry(upstream).or_default();
        let news = match all.iter().position(|other| other.teller == told.teller) {
            Some(n) if all[n].stamp == told.stamp => {
                all[n].at = all[n].at.min(told.at);
                false
            }
            Some(n) if all[n].stamp > told.stamp => false,
            Some(n) => {
                all[n] = told;
                true
            }
            None if all.len() < EACH_MOST => {
                all.push(told);
                true
            }
            None => {
                // The one that says least goes: no drain before a drain, the older one before the younger.
                let least = all.iter_mut().min_by_key(|other| (other.drained, other.at, other.teller));
                least.is_some_and(|least| {
                    let says_more = (least.drained, least.at) < (told.drained, told.at);
                    if says_more {
                        *least = told;
                    }
                    says_more
                })
            }
        };
        self.version += u64::from(news);
        news
    }

    /// Forgets what is no longer good.
    pub fn expire(&mut self, now: Duration) {
        let since = ms(now) - ms(GOOD);
        let before: usize = self.told.values().map(Vec::len).sum();
        self.told.retain(|_, all| {
            all.retain(|told| told.at > since);
            !all.is_empty()
        });
        let after: usize = self.told.values().map(Vec::len).sum();
        self.version += u64::from(before != after);
    }

    /// Which claims have to be told now: those that nobody has told, or not for a while.
    pub fn due(&self, now: Duration, teller: u64, claims: &[Claim]) -> Vec<Claim> {
        // Not all in the same moment: the first one spares the others their word.
        let again = ms(AGAIN) * (80 + (teller % 40) as i64) / 100;
        let covers = |claim: &Claim, told: &Told| match (claim.drained, told.drained) {
            (true, true) => told.boot_ms >= claim.boot_ms && ms(now) - told.at < again,
            (true, false) => false,
            (false, _) => told.boot_ms >= claim.boot_ms,
        };
        let is_due = |claim: &&Claim| {
            !self.told.get(&claim.upstream).is_some_and(|all| all.iter().any(|told| covers(claim, told)))
        };
        claims.iter().filter(is_due).copied().collect()
    }

    /// A word of one's own. Its stamp is the Unix time, and rises even if that does not.
    pub fn tell(&mut self, teller: u64, unix_ms: u64, claim: Claim) -> Word {
        self.last_stamp = unix_ms.max(self.last_stamp + 1);
        Word { claim, teller, stamp: self.last_stamp, age_ms: 0 }
    }

    /// All that is good, for somebody who was away.
    pub fn all(&self, now: Duration) -> Vec<Word> {
        let word = |(upstream, told): (u64, &Told)| Word {
            claim: Claim { upstream, boot_ms: told.boot_ms, drained: told.drained },
            teller: told.teller,
            stamp: told.stamp,
            age_ms: u32::try_from((ms(now) - told.at).max(0)).unwrap_or(u32::MAX),
        };
        self.told.iter().flat_map(|(u, all)| all.iter().map(|told| word((*u, told)))).collect()
    }

    /// What they come to.
    pub fn effects(&self) -> Vec<Effect> {
        let effect = |(upstream, all): (&u64, &Vec<Told>)| {
            let until = |told: &Told| Duration::from_millis((told.at + ms(GOOD)).max(0) as u64);
            let drains = all.iter().filter(|told| told.drained);
            Effect {
                upstream: *upstream,
                drained: drains.map(|told| (until(told), told.boot_ms)).max(),
                boot_ms: all.iter().map(|told| told.boot_ms).max().unwrap_or(0),
            }
        };
        self.told.iter().map(effect).collect()
    }

    /// Changes whenever what is good does.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// How many words were refused for want of room.
    pub fn refused(&self) -> u64 {
        self.refused
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    const NOW: Duration = Duration::from_secs(100);

    fn word(upstream: u64, teller: u64, stamp: u64, drained: bool, age_ms: u32) -> Word {
        Word { claim: Claim { upstream, boot_ms: stamp % 3, drained }, teller, stamp, age_ms }
    }

    fn words() -> impl Strategy<Value = Vec<Word>> {
        // Each teller's word of a stamp is one word; only its age differs from copy to copy.
        let one = (0u64..3, 0u64..4, 0u64..4, 0u32..16_000)
            .prop_map(|(u, t, s, age)| word(u, t, s, (u + t + s) % 2 == 0, age));
        prop::collection::vec(one, 0..40)
    }

    proptest! {
        /// Any order and any repeats come to the same.
        #[test]
        fn merging_is_commutative_and_idempotent(words in words(), seed in any::<u64>()) {
            let mut straight = Words::default();
            words.iter().for_each(|w| { straight.take(NOW, *w); });
            let mut shuffled: Vec<Word> = words.iter().chain(&words).copied().collect();
            let mut state = seed;
            for n in (1..shuffled.len()).rev() {
                state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
                shuffled.swap(n, (state >> 33) as usize % (n + 1));
            }
            let mut other = Words::default();
            shuffled.iter().for_each(|w| { other.take(NOW, *w); });
            let sorted = |words: &Words| {
                let mut all = words.all(NOW);
                all.sort_by_key(|w| (w.claim.upstream, w.teller));
                all
            };
            prop_assert_eq!(sorted(&straight), sorted(&other));
        }

        #[test]
        fn a_word_is_read_as_written(u in any::<u64>(), t in any::<u64>(), s in any::<u64>(), age in any::<u32>()) {
            let mut bytes = word(u, t, s, s % 2 == 1, age).bytes();
            prop_assert_eq!(bytes.len(), LENGTH);
            bytes.push(7);
            prop_assert_eq!(Word::read(&bytes), Some(word(u, t, s, s % 2 == 1, age)));
            prop_assert_eq!(Word::read(&bytes[..LENGTH - 1]), None);
        }
    }

    /// Guards against words that keep one another alive: without stamps each round would make it younger.
    #[test]
    fn a_word_that_goes_round_dies_all_the_same() {
        let (mut a, mut b) = (Words::default(), Words::default());
        a.take(Duration::ZERO, word(1, 1, 1, true, 0));
        for step in 1..200u64 {
            let now = Duration::from_millis(step * 100);
            // 90 ms on its way, of which nobody knows.
            let late = now + Duration::from_millis(90);
            for w in a.all(now) {
                b.take(late, w);
            }
            for w in b.all(now) {
                a.take(late, w);
            }
            a.expire(late);
            b.expire(late);
        }
        assert!(a.all(GOOD).is_empty() && b.all(GOOD).is_empty());
    }

    #[test]
    fn a_drain_is_asserted_again_by_one_of_those_who_know() {
        let claim = Claim { upstream: 9, boot_ms: 5, drained: true };
        let mut words = Words::default();
        assert_eq!(words.due(NOW, 1, &[claim]), [claim]);
        let told = words.tell(1, 1000, claim);
        assert!(words.take(NOW, told));
        assert!(words.due(NOW, 1, &[claim]).is_empty());
        assert!(words.due(NOW, 2, &[claim]).is_empty(), "another one need not say it too");
        let later = NOW + AGAIN.mul_f64(1.25);
        assert_eq!(words.due(later, 2, &[claim]), [claim]);
        let started = Claim { drained: false, boot_ms: 6, ..claim };
        assert_eq!(words.due(NOW, 2, &[started]), [started], "a later start is news");
        // A clock that stands still does not keep a word from being newer.
        assert!(words.tell(1, 1000, claim).stamp > told.stamp);
    }

    #[test]
    fn room_is_bounded() {
        let mut words = Words::default();
        for n in 0..UPSTREAMS_MOST as u64 + 10 {
            words.take(NOW, word(n, 1, 1, true, 0));
        }
        for teller in 0..100 {
            words.take(NOW, word(3, teller, 1, true, 0));
        }
        assert_eq!(words.refused(), 10);
        assert!(words.all(NOW).len() <= UPSTREAMS_MOST + EACH_MOST);
        // A drain is not driven out by words that say less.
        let mut words = Words::default();
        words.take(NOW, word(1, 0, 1, true, 9000));
        for teller in 1..20 {
            words.take(NOW, word(1, teller, 1, false, 0));
        }
        assert!(words.effects()[0].drained.is_some());
    }
}
