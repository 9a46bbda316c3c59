//! What a balancer makes of the words of others: it is never less careful than by its own discovery.
//!
//! An upstream that others hold to drain drains here too, however ready the own list calls it. It is ready again only
//! by the own discovery's word: once no word of others is good any more, *and* the own source has been read since. A
//! source that can't be reached lifts no drain. What a word may do is bounded: drains by hearsay take at most a
//! stated share of the upstreams that the own list calls ready, the first ones to be told, so that one balancer with
//! a wrong list can't empty the fleet of all.

use crate::words::Effect;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// How the own source has an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Own {
    /// Ready, or else draining.
    pub ready: bool,
    /// When it started, in Unix milliseconds; 0: not known.
    pub boot_ms: u64,
}

/// How it is to be treated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct View {
    /// Gets nothing new.
    pub drained: bool,
    /// Its start: cold from then on.
    pub boot_ms: u64,
}

#[derive(Clone, Copy, Debug)]
struct Held {
    /// Until when somebody vouches for it.
    until: Duration,
    /// The start of it that drains; 0: whichever.
    boot_ms: u64,
    /// The order in which they were told.
    order: u64,
}

/// The own list with the words of others.
#[derive(Clone, Debug)]
pub struct Care {
    share: f64,
    own: BTreeMap<u64, Own>,
    held: BTreeMap<u64, Held>,
    boots: BTreeMap<u64, u64>,
    shown: BTreeMap<u64, View>,
    next: u64,
}

impl Care {
    /// Drains by hearsay take at most this share of what the own list calls ready.
    pub fn new(share: f64) -> Self {
        Self {
            share,
            own: BTreeMap::new(),
            held: BTreeMap::new(),
            boots: BTreeMap::new(),
            shown: BTreeMap::new(),
            next: 0,
        }
    }

    /// The own source says so; `None`: it is gone. `whole`: there are no others.
    pub fn listed(&mut self, whole: bool, entries: impl IntoIterator<Item = (u64, Option<Own>)>) {
        if whole {
            self.own.clear();
        }
        for (upstream, own) in entries {
            match own {
                Some(own) => self.own.insert(upstream, own),
                None => self.own.remove(&upstream),
            };
        }
        if whole {
            let own = &self.own;
            self.boots.retain(|upstream, _| own.contains_key(upstream));
        }
    }

    /// The words that are good now. A start that lies in the future is a slip, or a lie: `unix_ms` bounds it.
    pub fn told(&mut self, effects: &[Effect], unix_ms: u64) {
        for effect in effects {
            if let Some((until, boot_ms)) = effect.drained {
                self.next += 1;
                let held =
                    self.held.entry(effect.upstream).or_insert(Held { until, boot_ms, order: self.next });
                held.until = held.until.max(until);
                held.boot_ms = if boot_ms == 0 { 0 } else { held.boot_ms.max(boot_ms) };
            }
            if self.own.contains_key(&effect.upstream) && effect.boot_ms <= unix_ms {
                let boot = self.boots.entry(effect.upstream).or_default();
                *boot = (*boot).max(effect.boot_ms);
            }
        }
    }

    /// The own source was read at this time, with success, and what it said has been told.
    pub fn confirmed(&mut self, at: Duration) {
        self.held.retain(|_, held| held.until > at);
    }

    fn applies(&self, upstream: u64, held: &Held) -> bool {
        self.own.get(&upstream).is_some_and(|own| {
            own.ready && (held.boot_ms == 0 || own.boot_ms == 0 || own.boot_ms <= held.boot_ms)
        })
    }

    /// Those that drain by hearsay alone.
    fn by_hearsay(&self) -> BTreeSet<u64> {
        let ready = self.own.values().filter(|own| own.ready).count();
        let most = (self.share * ready as f64 + 1e-9) as usize;
        let mut drained: Vec<(u64, u64)> = self
            .held
            .iter()
            .filter(|(upstream, held)| self.applies(**upstream, held))
            .map(|(upstream, held)| (held.order, *upstream))
            .collect();
        drained.sort_unstable();
        drained.truncate(most);
        drained.into_iter().map(|(_, upstream)| upstream).collect()
    }

    /// How many drains by hearsay are held, and how many of them do not act since they would take too much.
    pub fn hearsay(&self) -> (usize, usize) {
        let held = self.held.iter().filter(|(upstream, held)| self.applies(**upstream, held)).count();
        (held, held - self.by_hearsay().len())
    }

    /// How each upstream is to be treated whose treatment has changed since this was asked last; `None`: it is gone.
    pub fn changes(&mut self) -> Vec<(u64, Option<View>)> {
        let hearsay = self.by_hearsay();
        let view = |upstream: &u64, own: &Own| View {
            drained: !own.ready || hearsay.contains(upstream),
            boot_ms: own.boot_ms.max(self.boots.get(upstream).copied().unwrap_or(0)),
        };
        let now: BTreeMap<u64, View> = self.own.iter().map(|(u, own)| (*u, view(u, own))).collect();
        let gone = self.shown.keys().filter(|u| !now.contains_key(u)).map(|u| (*u, None));
        let changed = now.iter().filter(|(u, view)| self.shown.get(u) != Some(view));
        let changes = gone.chain(changed.map(|(u, view)| (*u, Some(*view)))).collect();
        self.shown = now;
        changes
    }

    /// How an upstream was last said to be treated.
    pub fn shown(&self, upstream: u64) -> Option<View> {
        self.shown.get(&upstream).copied()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn s(n: u64) -> Duration {
        Duration::from_secs(n)
    }

    fn drain(upstream: u64, until: u64, boot_ms: u64) -> Effect {
        Effect { upstream, drained: Some((s(until), boot_ms)), boot_ms }
    }

    fn ready(boot_ms: u64) -> Option<Own> {
        Some(Own { ready: true, boot_ms })
    }

    #[test]
    fn a_drain_holds_until_the_own_source_was_read_after_its_words() {
        let mut care = Care::new(1.0);
        care.listed(true, [(1, ready(0)), (2, ready(0))]);
        care.told(&[drain(1, 15, 0)], 9);
        care.changes();
        assert!(care.shown(1).unwrap().drained && !care.shown(2).unwrap().drained);
        care.confirmed(s(14));
        care.changes();
        assert!(care.shown(1).unwrap().drained, "its words are still good");
        care.told(&[], 9);
        care.changes();
        assert!(
            care.shown(1).unwrap().drained,
            "nobody says so any more, and the own source was not read since"
        );
        care.confirmed(s(16));
        assert_eq!(care.changes(), [(1, Some(View { drained: false, boot_ms: 0 }))]);
    }

    #[test]
    fn the_own_drain_needs_nobody() {
        let mut care = Care::new(1.0);
        care.listed(true, [(1, Some(Own { ready: false, boot_ms: 3 }))]);
        care.confirmed(s(99));
        assert_eq!(care.changes(), [(1, Some(View { drained: true, boot_ms: 3 }))]);
        care.listed(false, [(1, None)]);
        assert_eq!(care.changes(), [(1, None)]);
    }

    #[test]
    fn a_later_start_is_not_the_one_that_drains_and_is_cold() {
        let mut care = Care::new(1.0);
        care.listed(true, [(1, ready(100)), (2, ready(100))]);
        care.told(&[drain(1, 15, 100), Effect { upstream: 2, drained: None, boot_ms: 200 }], 300);
        care.changes();
        assert_eq!(care.shown(2), Some(View { drained: false, boot_ms: 200 }), "cold from then on");
        assert!(care.shown(1).unwrap().drained);
        care.listed(false, [(1, ready(250))]);
        assert_eq!(care.changes(), [(1, Some(View { drained: false, boot_ms: 250 }))]);
        care.told(&[Effect { upstream: 2, drained: None, boot_ms: 301 }], 300);
        assert!(care.changes().is_empty(), "a start in the future is none");
    }

    #[test]
    fn hearsay_does_not_empty_the_fleet() {
        let mut care = Care::new(0.5);
        care.listed(true, (0..4).map(|n| (n, ready(0))));
        let all: Vec<Effect> = [3, 1, 0, 2].iter().map(|n| drain(*n, 15, 0)).collect();
        for effect in &all {
            care.told(&[*effect], 0);
        }
        care.changes();
        let drained: Vec<u64> = (0..4).filter(|n| care.shown(*n).unwrap().drained).collect();
        assert_eq!(drained, [1, 3], "the first ones told");
        assert_eq!(care.hearsay(), (4, 2));
        // What the own list drains makes room in no case.
        care.listed(false, [(3, Some(Own { ready: false, boot_ms: 0 }))]);
        care.changes();
        assert!((0..4).filter(|n| care.shown(*n).unwrap().drained).count() == 2);
    }

    proptest! {
        /// Whatever is told, a balancer is never less careful than by its own list.
        #[test]
        fn never_less_careful_than_alone(
            own in prop::collection::vec((0u64..6, any::<bool>(), 0u64..5), 0..8),
            told in prop::collection::vec((0u64..6, prop::option::of((0u64..30, 0u64..5)), 0u64..9), 0..20),
            read in prop::collection::vec(0u64..40, 0..4),
            share in 0.0f64..=1.0,
        ) {
            let mut care = Care::new(share);
            care.listed(true, own.iter().map(|(u, ready, boot)| (*u, Some(Own { ready: *ready, boot_ms: *boot }))));
            let effects: Vec<Effect> = told.iter().map(|(upstream, drained, boot_ms)| Effect {
                upstream: *upstream,
                drained: drained.map(|(until, boot)| (s(until), boot)),
                boot_ms: *boot_ms,
            }).collect();
            care.told(&effects, 7);
            read.iter().for_each(|at| care.confirmed(s(*at)));
            care.changes();
            let listed: BTreeMap<u64, (bool, u64)> = own.iter().map(|(u, r, b)| (*u, (*r, *b))).collect();
            for (upstream, (ready, boot)) in &listed {
                let view = care.shown(*upstream).unwrap();
                prop_assert!(view.drained || *ready);
                prop_assert!(view.boot_ms >= *boot);
            }
            let by_hearsay = listed.iter().filter(|(u, (ready, _))| *ready && care.shown(**u).unwrap().drained);
            let ready = listed.values().filter(|(ready, _)| *ready).count();
            prop_assert!(by_hearsay.count() as f64 <= share * ready as f64 + 1e-6);
        }
    }
}
