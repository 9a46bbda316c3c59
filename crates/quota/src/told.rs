//! What balancers tell one another: figures, each with its teller, the teller's start, a stamp and an age.
//!
//! A delta-state CRDT (Almeida, Shoker, Baquero, JPDC 2018): of two figures on one thing from one teller the later stamp
//! counts, a later start replaces all that an earlier one told, and each teller has at most [`EACH_MOST`] figures, the
//! newest ones. So order, loss and repeats change nothing in the end. Ages grow where a figure lies, not on its way.

use crate::Member;
use std::collections::BTreeMap;

/// How long a figure is good, in milliseconds.
pub const GOOD: u64 = 30_000;
/// The most figures of one teller.
pub const EACH_MOST: usize = 128;
/// The most tellers.
pub const TELLERS_MOST: usize = 1_024;
/// How many tenants are told of exactly; the others as one sum.
pub const TENANTS_MOST: usize = 32;
/// How many upstreams are told of, of each kind.
pub const UPSTREAMS_MOST: usize = 30;
/// How often a figure is passed on by each who hears of it.
const ROUNDS: u8 = 4;

/// What a figure is on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Topic {
    /// A tenant's demand, and what of it is let in, in [`crate::UNIT`]s of its guarantee.
    Demand = 0,
    /// The same of all tenants that have no figure of their own.
    Rest = 1,
    /// The teller's share in an upstream's load, in units.
    Load = 2,
    /// Failures that an ejection rests on, and the answers among which they were.
    Ejected = 3,
    /// What is taken of a cold upstream's allowance, in units.
    Warm = 4,
}

impl Topic {
    pub(crate) fn read(byte: u8) -> Option<Self> {
        [Self::Demand, Self::Rest, Self::Load, Self::Ejected, Self::Warm].get(usize::from(byte)).copied()
    }
}

/// A figure on its way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Figure {
    /// What it is on.
    pub topic: Topic,
    /// Of which tenant or upstream.
    pub subject: u64,
    /// The teller's count, which rises.
    pub stamp: u64,
    /// How old it is, in milliseconds.
    pub age: u32,
    /// The figures, by topic.
    pub values: [u32; 2],
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Kept {
    stamp: u64,
    /// When it was told, on the own clock; before its start if below nil.
    at: i64,
    values: [u32; 2],
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Teller {
    start: u64,
    kept: BTreeMap<(Topic, u64), Kept>,
}

/// What is known of a teller, in short: two that agree on it know the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Digest {
    /// Whose figures.
    pub teller: Member,
    /// Of what they are on and their stamps.
    pub hash: u64,
}

/// The figures that are good.
#[derive(Clone, Debug)]
pub struct Figures {
    me: Member,
    tellers: BTreeMap<u64, Teller>,
    stamp: u64,
    /// What is still to be passed on, and how often.
    news: BTreeMap<(u64, Topic, u64), u8>,
}

fn signed(now: u64) -> i64 {
    i64::try_from(now).unwrap_or(i64::MAX)
}

fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

impl Figures {
    /// At the balancer `me`.
    pub fn new(me: Member) -> Self {
        Self { me, tellers: BTreeMap::new(), stamp: 0, news: BTreeMap::new() }
    }

    /// Tells a figure of the own, if it differs by an eighth from what was told or that was long ago.
    pub fn tell(&mut self, now: u64, topic: Topic, subject: u64, values: [u32; 2]) {
        let me = self.me;
        let known = self.tellers.get(&me.id).and_then(|teller| teller.kept.get(&(topic, subject)));
        let near = |kept: &Kept| {
            signed(now) - kept.at < signed(GOOD / 3)
                && kept.values.iter().zip(&values).all(|(old, new)| old.abs_diff(*new) <= old / 8)
        };
        if known.is_none_or(|kept| !near(kept)) {
            self.stamp += 1;
            self.put(now, me, Figure { topic, subject, stamp: self.stamp, age: 0, values });
        }
    }

    /// Tells demand and use by tenant: the largest exactly, the others as one sum.
    pub fn tell_tenants(&mut self, now: u64, tenants: &[(u64, [u32; 2])]) {
        let mut most: Vec<(u32, u64, [u32; 2])> =
            tenants.iter().map(|(tenant, values)| (values[0], *tenant, *values)).collect();
        if most.len() > TENANTS_MOST {
            most.select_nth_unstable_by(TENANTS_MOST, |a, b| b.cmp(a));
        }
        let (top, rest) = most.split_at(most.len().min(TENANTS_MOST));
        for (_, tenant, values) in top {
            self.tell(now, Topic::Demand, *tenant, *values);
        }
        let sum = |n: usize| rest.iter().fold(0u32, |sum, (_, _, values)| sum.saturating_add(values[n]));
        self.tell(now, Topic::Rest, 0, [sum(0), sum(1)]);
    }

    /// Takes a figure that another one told. `true`: it was news.
    pub fn take(&mut self, now: u64, teller: Member, figure: Figure) -> bool {
        teller.id != self.me.id && self.put(now, teller, figure)
    }

    fn put(&mut self, now: u64, member: Member, figure: Figure) -> bool {
        let at = signed(now).saturating_sub(i64::from(figure.age));
        if u64::from(figure.age) >= GOOD {
            return false;
        }
        let (known, own) = (self.tellers.contains_key(&member.id), member.id == self.me.id);
        if !known && !own && self.tellers.len() >= TELLERS_MOST {
            return false;
        }
        let teller = self.tellers.entry(member.id).or_default();
        if member.start < teller.start {
            return false;
        }
        if member.start > teller.start {
            *teller = Teller { start: member.start, kept: BTreeMap::new() };
            self.news.retain(|(id, _, _), _| *id != member.id);
        }
        let key = (figure.topic, figure.subject);
        let kept = Kept { stamp: figure.stamp, at, values: figure.values };
        match teller.kept.get_mut(&key) {
            Some(old) if old.stamp > kept.stamp => return false,
            Some(old) if old.stamp == kept.stamp => {
                // One that goes round in circles ages all the same; of two under one stamp all take the same one.
                old.at = old.at.min(kept.at);
                old.values = old.values.max(kept.values);
                return false;
            }
            _ => teller.kept.insert(key, kept),
        };
        self.news.insert((member.id, key.0, key.1), ROUNDS);
        if teller.kept.len() > EACH_MOST {
            let oldest =
                teller.kept.iter().min_by_key(|(key, kept)| (kept.stamp, **key)).map(|(key, _)| *key);
            if let Some(oldest) = oldest {
                teller.kept.remove(&oldest);
                self.news.remove(&(member.id, oldest.0, oldest.1));
                return oldest != key;
            }
        }
        true
    }

    /// Forgets what is no longer good.
    pub fn expire(&mut self, now: u64) {
        let since = signed(now) - signed(GOOD);
        let me = self.me.id;
        self.tellers.retain(|id, teller| {
            teller.kept.retain(|_, kept| kept.at > since);
            *id == me || !teller.kept.is_empty()
        });
        let tellers = &self.tellers;
        self.news.retain(|(id, topic, subject), _| {
            tellers.get(id).is_some_and(|teller| teller.kept.contains_key(&(*topic, *subject)))
        });
    }

    fn figure(now: u64, key: (Topic, u64), kept: &Kept) -> Figure {
        let age = u32::try_from((signed(now) - kept.at).max(0)).unwrap_or(u32::MAX);
        Figure { topic: key.0, subject: key.1, stamp: kept.stamp, age, values: kept.values }
    }

    /// What is to be passed on now, at most so many; the same goes to all who are told this time.
    pub fn news(&mut self, now: u64, most: usize) -> Vec<(Member, Figure)> {
        // Those that were passed on least come first.
        let mut due: Vec<(u8, (u64, Topic, u64))> =
            self.news.iter().map(|(key, left)| (*left, *key)).collect();
        due.sort_unstable_by(|a, b| b.cmp(a));
        due.truncate(most);
        let mut told = Vec::with_capacity(due.len());
        for (left, (id, topic, subject)) in due {
            if left > 1 {
                self.news.insert((id, topic, subject), left - 1);
            } else {
                self.news.remove(&(id, topic, subject));
            }
            if let Some(teller) = self.tellers.get(&id)
                && let Some(kept) = teller.kept.get(&(topic, subject))
            {
                told.push((Member { id, start: teller.start }, Self::figure(now, (topic, subject), kept)));
            }
        }
        told
    }

    fn digest(id: u64, teller: &Teller) -> Digest {
        let hash = teller.kept.iter().fold(0, |hash, ((topic, subject), kept)| {
            hash ^ mix(mix(*subject ^ ((*topic as u64) << 56)) ^ kept.stamp)
        });
        Digest { teller: Member { id, start: teller.start }, hash }
    }

    /// What is known, in short: so many tellers from the first whose id is not below `from`, round and round.
    pub fn digests(&self, from: u64, most: usize) -> Vec<Digest> {
        let after = self.tellers.range(from..).chain(self.tellers.range(..from));
        after.take(most).map(|(id, teller)| Self::digest(*id, teller)).collect()
    }

    /// Compares with what another one knows: the figures that it may lack, at most so many, and the own digests of where
    /// the two differ, so that it can answer in kind.
    pub fn compare(&self, now: u64, digests: &[Digest], most: usize) -> (Vec<(Member, Figure)>, Vec<Digest>) {
        let (mut figures, mut differ) = (Vec::new(), Vec::new());
        for theirs in digests {
            let unknown = Teller::default();
            let teller = self.tellers.get(&theirs.teller.id).unwrap_or(&unknown);
            let own = Self::digest(theirs.teller.id, teller);
            if own == *theirs {
                continue;
            }
            differ.push(own);
            if own.teller.start >= theirs.teller.start {
                let mut kept: Vec<_> = teller.kept.iter().collect();
                kept.sort_unstable_by_key(|(_, kept)| std::cmp::Reverse(kept.stamp));
                figures.extend(kept.iter().map(|(key, kept)| (own.teller, Self::figure(now, **key, kept))));
            }
        }
        figures.truncate(most);
        (figures, differ)
    }

    /// All that is known on a topic: teller, subject, values and age.
    pub fn on(&self, now: u64, topic: Topic) -> impl Iterator<Item = (Member, Figure)> {
        self.tellers.iter().flat_map(move |(id, teller)| {
            let member = Member { id: *id, start: teller.start };
            let of = teller.kept.range((topic, 0)..=(topic, u64::MAX));
            of.map(move |(key, kept)| (member, Self::figure(now, *key, kept)))
        })
    }

    /// How many figures are kept, and how many are still to be passed on.
    pub fn size(&self) -> (usize, usize) {
        (self.tellers.values().map(|teller| teller.kept.len()).sum(), self.news.len())
    }
}
