//! What of a promise made once for all balancers this one may keep: its own part, less what it has lent, more what it has
//! borrowed.
//!
//! Over all balancers and at every instant the parts are at most the whole, whatever is lost, late, repeated, out of order
//! or cut off, and whoever starts anew: a part is charged to its lender before it is told to the borrower, and the lender
//! charges it until after the borrower's lease has run out. A floor under each part adds at most `floor`
//! ([`Settings::floor_per_mille`]): sum <= 1 + floor. `docs/design/sharing.md` has the proof and what it rests on.

use crate::holds::Holds;
use crate::loans::Loans;
use crate::{Ask, Grant, Key, Kind, Member, UNIT};
use std::collections::{BTreeMap, BTreeSet};

/// The most promises with a state of their own; one past it keeps its equal part.
pub const KEYS_MOST: usize = 16_384;
/// The most balancers that are asked.
pub const PEERS_MOST: usize = 1_024;

/// How promises are split. Times are in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Settings {
    /// How many balancers there are at most, the same number at each; nil is taken for one.
    pub balancers: u32,
    /// What each keeps of its equal part in any case, in thousandths.
    pub floor_per_mille: u32,
    /// How long a part is lent; clocks may differ in rate by a sixteenth.
    pub lease: u64,
    /// The time in which an equal part comes back at most, and in which the whole is taken up at most.
    pub rise: u64,
    /// The time in which a need that is no more is forgotten.
    pub fade: u64,
    /// Whether an earlier start of this name may have lent within the last lease: nothing is used past the floor then until
    /// that has run out.
    pub earlier: bool,
    /// The most asks at a time.
    pub asks_most: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            balancers: 1,
            floor_per_mille: 50,
            lease: 10_000,
            rise: 2_000,
            fade: 2_000,
            earlier: true,
            asks_most: 2_048,
        }
    }
}

/// A promise as it stands here.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Stand {
    at: u64,
    need: u32,
    aim: u32,
    /// What is used of the own part and of what is borrowed: each rises no faster than [`Settings::rise`] lets it.
    own: u32,
    borrowed: u32,
    /// How many times what is missing the offers are to come to of those who are asked.
    width: u32,
}

/// It is doubled as long as those who are asked do not give enough.
const WIDTH: (u32, u32) = (4, 1_024);

impl Stand {
    /// Up at once, down only by much.
    fn aim(&mut self) {
        if self.need > self.aim || self.need < self.aim / 4 * 3 || self.need == 0 {
            self.aim = self.need;
        }
    }
}

/// The split of all promises, at one balancer.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Split {
    set: Settings,
    me: Member,
    base: u32,
    /// Until when an earlier start's loans may be out.
    bare_until: u64,
    stands: BTreeMap<Key, Stand>,
    loans: Loans,
    holds: Holds,
    number: u64,
}

fn scaled(amount: u32, by: u64, of: u64) -> u32 {
    u32::try_from(u64::from(amount) * by / of.max(1)).unwrap_or(u32::MAX)
}

/// An order of lenders that differs from borrower to borrower, so that not all ask the same first.
fn order(lender: u64, me: u64, key: Key) -> u64 {
    let mut x = lender ^ me.rotate_left(17) ^ key.subject.rotate_left(31) ^ key.kind as u64;
    for _ in 0..2 {
        x = (x ^ (x >> 31)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    }
    x ^ (x >> 29)
}

impl Split {
    /// At the balancer `me`, which starts now.
    pub fn new(set: Settings, me: Member, now: u64) -> Self {
        let base = UNIT / set.balancers.max(1);
        let bare_until = if set.earlier { now + set.lease + set.lease / 16 + 1 } else { 0 };
        let (stands, loans, holds) = (BTreeMap::new(), Loans::default(), Holds::default());
        Self { set, me, base, bare_until, stands, loans, holds, number: 0 }
    }

    /// The part that each has if nothing is lent.
    pub fn base(&self) -> u32 {
        self.base
    }

    fn floor(&self, key: Key) -> u32 {
        let floor = scaled(self.base, u64::from(self.set.floor_per_mille.min(1_000)), 1_000);
        if key.kind == Kind::Cold { 0 } else { floor }
    }

    /// What is left of the own part.
    fn own(&self, now: u64, key: Key) -> u32 {
        if now < self.bare_until { 0 } else { self.base.saturating_sub(self.loans.charged(now, key)) }
    }

    /// What this balancer has a right to, floor apart: the sum of it over all balancers never passes [`UNIT`].
    pub fn right(&self, now: u64, key: Key) -> u32 {
        self.own(now, key).saturating_add(self.holds.held(now, key))
    }

    fn stand(&mut self, now: u64, key: Key) -> Option<&mut Stand> {
        if !self.stands.contains_key(&key) && self.stands.len() >= KEYS_MOST {
            return None;
        }
        let own = self.own(now, key);
        Some(self.stands.entry(key).or_insert(Stand {
            at: now,
            need: 0,
            aim: 0,
            own,
            borrowed: 0,
            width: WIDTH.0,
        }))
    }

    /// What the own traffic needs of a promise now, in units of the whole.
    pub fn need(&mut self, now: u64, key: Key, need: u32) {
        self.share(now, key);
        let Some(stand) = self.stand(now, key) else { return };
        stand.need = need.min(UNIT).max(stand.need);
        stand.aim();
    }

    /// What this balancer may grant of a promise now, in units of the whole.
    pub fn share(&mut self, now: u64, key: Key) -> u32 {
        let (own, borrowed) = (self.own(now, key), self.holds.used(now, key, self.set.lease));
        let (base, floor, rise) = (self.base, self.floor(key), self.set.rise);
        let Some(stand) = self.stands.get_mut(&key) else { return own.max(floor) };
        let past = now.saturating_sub(stand.at);
        let up = |whole: u32| scaled(whole, past.min(rise), rise);
        stand.own = own.min(stand.own.saturating_add(up(base)));
        stand.borrowed = borrowed.min(stand.borrowed.saturating_add(up(UNIT)));
        let faded = scaled(stand.need, past.min(self.set.fade), self.set.fade);
        stand.need = stand.need.saturating_sub(faded.max(u32::from(past > 0)));
        stand.aim();
        stand.at = stand.at.max(now);
        stand.own.saturating_add(stand.borrowed).max(floor)
    }

    /// What to ask now, of those balancers that are here; to be called every [`crate::PERIOD`]. `spare` is what one is said
    /// to have left of its part, if that is known.
    pub fn asks(
        &mut self,
        now: u64,
        peers: &[Member],
        spare: impl Fn(Member, Key) -> Option<u32>,
    ) -> Vec<Ask> {
        self.expire(now);
        let mut short: Vec<(u32, Key)> = self
            .stands
            .iter()
            .map(|(key, stand)| (stand.aim.saturating_sub(self.own(now, *key)), *key))
            .filter(|(short, key)| *short > 0 || self.holds.0.contains_key(key))
            .collect();
        short.sort_unstable_by(|a, b| b.cmp(a));
        let mut asks = Vec::new();
        for (short, key) in short {
            if asks.len() >= self.set.asks_most {
                break;
            }
            self.ask_for(now, key, short, peers, &spare, &mut asks);
        }
        asks
    }

    fn ask_for(
        &mut self,
        now: u64,
        key: Key,
        short: u32,
        peers: &[Member],
        spare: &impl Fn(Member, Key) -> Option<u32>,
        asks: &mut Vec<Ask>,
    ) {
        let (me, base, lease) = (self.me, self.base, self.set.lease);
        let holds = self.holds.0.entry(key).or_default();
        let lenders = peers.iter().take(PEERS_MOST).filter(|peer| peer.id != me.id);
        let had = holds.values().fold(0u32, |sum, hold| sum.saturating_add(hold.used(now, lease)));
        let width = self.stands.get_mut(&key).map_or(WIDTH.0, |stand| {
            let (width, again) = (stand.width, had < short && !holds.is_empty());
            stand.width = match short {
                0 => WIDTH.0,
                _ if again => width.saturating_mul(2).min(WIDTH.1),
                _ => width,
            };
            width
        });
        let mut wants: BTreeMap<Member, u32> = BTreeMap::new();
        if had < short {
            // Those that come to several times what is missing: each is asked for a part of what it can give. Who lends already
            // comes first, and nothing is given up while too little is had.
            let mut lenders: Vec<Member> = lenders.copied().collect();
            lenders.sort_unstable_by_key(|peer| (!holds.contains_key(peer), order(peer.id, me.id, key)));
            let (mut chosen, mut sum) = (Vec::new(), 0u32);
            for lender in lenders {
                if sum >= short.saturating_mul(width) {
                    break;
                }
                let hold = holds.get(&lender);
                let offer = hold.and_then(|hold| hold.offer).or_else(|| spare(lender, key));
                let offer = offer.unwrap_or(base).min(base);
                chosen.push((lender, offer, hold.map_or(0, |hold| hold.amount(now))));
                sum = sum.saturating_add(offer);
            }
            // What some refuse, others may have: what is missing is asked for on top, in equal parts.
            let more = (short - had) / u32::try_from(chosen.len()).unwrap_or(u32::MAX).max(1);
            for (lender, offer, held) in chosen {
                let part = scaled(offer, u64::from(short), u64::from(sum)).max(held).saturating_add(more + 1);
                // One unit at least: else it would never be heard that a lender has room again.
                wants.insert(lender, part.min(offer).max(held).max(1));
            }
        } else if short > 0 {
            // Enough: all as it is, or less of each where it is too much.
            let keep = u64::from(if had - short > short / 32 { short } else { had });
            for lender in lenders {
                let held = holds.get(lender).map_or(0, |hold| hold.amount(now));
                let want = scaled(held, keep, u64::from(had));
                if want > 0 {
                    wants.insert(*lender, want);
                }
            }
        }
        let here: BTreeSet<Member> = peers.iter().copied().collect();
        let released = |lender: &Member| !wants.contains_key(lender) && here.contains(lender);
        let gone: Vec<Member> = holds.keys().filter(|lender| released(lender)).copied().collect();
        for lender in gone {
            holds.remove(&lender);
            self.number += 1;
            asks.push(Ask { from: me, to: lender, key, number: self.number, want: 0, held: 0 });
        }
        for (lender, want) in wants {
            let hold = holds.entry(lender).or_default();
            if hold.due(now, want, lease) {
                self.number += 1;
                let held = hold.ask(now, want, self.number);
                asks.push(Ask { from: me, to: lender, key, number: self.number, want, held });
            }
        }
        if holds.is_empty() {
            self.holds.0.remove(&key);
        }
    }

    /// Another balancer asks. What the own traffic needs of the own part is not lent, whoever asks.
    pub fn asked(&mut self, now: u64, ask: &Ask) -> Option<Grant> {
        if ask.to != self.me || ask.from.id == self.me.id || now < self.bare_until {
            return None;
        }
        let (lease, base) = (self.set.lease, self.base);
        self.share(now, ask.key);
        let stand = *self.stand(now, ask.key)?;
        self.loans.ask(now, ask, base, stand.aim.min(base), now + lease + lease / 16 + 1)
    }

    /// Another balancer has answered.
    pub fn granted(&mut self, grant: &Grant) {
        if grant.to == self.me {
            self.holds.granted(grant, self.set.lease);
        }
    }

    fn expire(&mut self, now: u64) {
        self.loans.expire(now);
        self.holds.expire(now, self.set.lease);
        // What is not needed any more fades also where nobody asks for its share.
        let keys: Vec<Key> = self.stands.keys().copied().collect();
        for key in keys {
            self.share(now, key);
        }
        let (loans, holds, base) = (&self.loans, &self.holds, self.base);
        self.stands.retain(|key, stand| {
            stand.need > 0 || stand.own < base || loans.has(*key) || holds.0.contains_key(key)
        });
    }

    /// How many promises, loans and borrowed parts are on record.
    pub fn size(&self) -> (usize, usize, usize) {
        (self.stands.len(), self.loans.len(), self.holds.0.values().map(BTreeMap::len).sum())
    }
}
