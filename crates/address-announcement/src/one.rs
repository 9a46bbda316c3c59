//! An address that one site announces at any instant.
//!
//! A hand-over takes two states: in the first nobody holds it, in the second the next one does. The second is written only when
//! nobody of the last holder's site can act on what stood before the first, and when nothing is good any more that was answered
//! by it. A lost holder that nobody can be asked about costs the rest of its lease.

use crate::decide::Scene;
use crate::health::Memory;
use crate::state::{Phase, SiteRecord, Standing, WELL};
use crate::{Announce, DRIFT};
use maplehook_locality::Region;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A hand-over that waits.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Wait {
    /// The first moment after the state in which nobody holds it had been agreed.
    first: Duration,
    /// When nobody was behind any more.
    clear: Option<Duration>,
    /// When the last of them can act on it no more, as was said while somebody was behind.
    bound: Duration,
}

impl Wait {
    pub fn new(now: Duration) -> Self {
        Self { first: now, clear: None, bound: now }
    }

    pub fn goes_on(&mut self, whom: &BTreeSet<Region>, behind: &BTreeMap<Region, Duration>, now: Duration) {
        if self.clear.is_some() {
            return;
        }
        match whom.iter().filter_map(|region| behind.get(region)).max() {
            Some(left) => self.bound = self.bound.max(now.saturating_add(*left)),
            None => self.clear = Some(now),
        }
    }

    /// When nothing can be held any more that was answered by the state before.
    ///
    /// Whoever heard of the change before `first` answered before it, and an answer is good for `most`. Whoever heard of it after
    /// was among those behind: its answers end with its lease (`bound`), and `most` after it has heard (`clear`).
    pub fn over(&self, most: Duration) -> Option<Duration> {
        // The router's clock may go slow, the leader's fast.
        let most = most.mul_f64((1.0 + DRIFT) / (1.0 - DRIFT));
        self.clear.map(|clear| clear.max(self.first + most).max(self.bound.min(clear + most)))
    }
}

#[cfg(test)]
impl Wait {
    pub fn essence(&self, now: Duration) -> [u64; 3] {
        let age = |at: Duration| now.saturating_sub(at).min(Duration::from_secs(4)).as_millis() as u64;
        let left = self.bound.saturating_sub(now).as_millis() as u64;
        [age(self.first), self.clear.map_or(9999, age), left]
    }
}

/// The sites that may still announce it.
pub(crate) fn waited_for(scene: &Scene<'_>) -> BTreeSet<Region> {
    let last = scene.base.last.as_ref().and_then(|last| scene.region(last));
    match last {
        Some(last) => BTreeSet::from([last]),
        // Nobody knows whose it was: everybody's.
        None => (0..scene.names.len() as u16).map(Region).collect(),
    }
}

fn released(scene: &Scene<'_>, wait: Option<&Wait>) -> bool {
    let last_known = scene.base.last.as_ref().is_some_and(|last| scene.region(last).is_some());
    // It may have been `many` before, or an address of that name that was taken away.
    let most = if last_known { Announce::One } else { Announce::Many }.good_for_most();
    let Some(wait) = wait else { return false };
    // A site that is named no more is among nobody's figures.
    let named_no_more = scene.base.last.is_some() && !last_known;
    let lease = if named_no_more {
        wait.first.saturating_add(scene.longest_lease).saturating_add(most)
    } else {
        Duration::ZERO
    };
    wait.over(most).is_some_and(|over| scene.now >= over.max(lease))
}

/// How it is to stand.
pub(crate) fn decide(scene: &Scene<'_>, wait: Option<&Wait>) -> Standing {
    let mut next = scene.base.clone();
    if next.announce != Announce::One {
        // Each that announces may go on until it has heard; without a lease too.
        next.unheard = next.announcing.keys().cloned().collect();
        (next.announce, next.holder, next.last, next.next) = (Announce::One, None, None, None);
    }
    next.sites = scene.sites.iter().map(|(site, _)| ((*site).to_owned(), SiteRecord::default())).collect();
    next.all_stay = None;
    let is_site = |site: &str| scene.sites.iter().any(|(name, _)| *name == site);
    let of = |site: &str| scene.memory(site);
    if next.pinned.is_some() && next.holder.as_deref().or(next.next.as_deref()).is_some_and(|s| scene.well(s))
    {
        // What it was kept there against is over.
        next.pinned = None;
    }
    match next.holder.clone() {
        Some(holder) => {
            let ordered = next.withdrawn.contains_key(&holder);
            let ill = of(&holder).and_then(|memory| memory.ill_for(scene.now));
            let ill = ill.is_some_and(|time| time >= scene.address.withdraw_after) && next.pinned.is_none();
            let gone = !is_site(&holder);
            if ordered || ill || gone {
                match best(scene, &next, Some(&holder)) {
                    Some(site) => (next.holder, next.last, next.next) = (None, Some(holder), Some(site)),
                    None if gone => (next.holder, next.last) = (None, Some(holder)),
                    None => next.all_stay = Some(format!("no other site than {holder} is well")),
                }
            }
        }
        None => {
            next.unheard.retain(|site| {
                let heard = |region: Region| {
                    scene.agreed
                        && scene.base.announce == Announce::One
                        && !scene.behind.contains_key(&region)
                        && of(site).is_some_and(|memory| memory.in_touch)
                };
                // One that is named no more has no balancer that could hear of it.
                scene.region(site).is_some_and(|region| !heard(region)) && !next.withdrawn.contains_key(site)
            });
            let keeps = |site: &String| {
                is_site(site)
                    && !next.withdrawn.contains_key(site)
                    && (scene.well(site) || next.pinned.is_some())
            };
            if !next.next.as_ref().is_some_and(keeps) {
                let open = |site: &&str| !next.withdrawn.contains_key(*site);
                let found = best(scene, &next, None);
                if found.is_none() {
                    next.all_stay = Some("no site is well".into());
                }
                let kept = || next.next.clone().filter(|site| is_site(site) && open(&site.as_str()));
                let foremost = || scene.sites.iter().map(|(site, _)| *site).find(open).map(str::to_owned);
                // Nobody has held it: whoever is heard of first need not be the preferred one, which is chosen in the end.
                next.next = next.last.as_ref().and_then(|_| found.or_else(kept).or_else(foremost));
            }
            // `last` stands as it was agreed, and nobody has held it since: it need not be waited for by itself.
            let own = next.last.is_some() && next.last == next.next;
            if next.unheard.is_empty() && (own || released(scene, wait)) {
                next.holder = next.next.take().or_else(|| first(scene, &next));
                next.last = next.holder.clone().or(next.last);
            }
        }
    }
    next.announcing = next.holder.iter().map(|holder| (holder.clone(), WELL)).collect();
    for (site, record) in &mut next.sites {
        record.phase = if next.holder.as_ref() == Some(site) { Phase::Well } else { Phase::Away };
    }
    next
}

/// Moves it by order.
pub(crate) fn hand_over(standing: &mut Standing, to: &str, pinned: Option<String>) {
    if let Some(holder) = standing.holder.take() {
        standing.last = Some(holder);
    }
    standing.next = Some(to.to_owned());
    standing.pinned = pinned;
    standing.announcing.clear();
    for record in standing.sites.values_mut() {
        record.phase = Phase::Away;
    }
}

/// The site that holds it first of all: the first of the file's order that is well. One before it that is not is passed over when it
/// has been ill, or silent, for as long as a holder would have to be. If none comes it is the first of the file's order.
fn first(scene: &Scene<'_>, standing: &Standing) -> Option<String> {
    let open =
        || scene.sites.iter().map(|(site, _)| *site).filter(|site| !standing.withdrawn.contains_key(*site));
    let ill = |site: &str| scene.memory(site).and_then(|memory| memory.ill_for(scene.now));
    let passed_over = |site: &str| ill(site).is_some_and(|time| time >= scene.address.withdraw_after);
    let found = open().find(|site| scene.well(site) || !passed_over(site));
    match found {
        Some(site) => scene.well(site).then(|| site.to_owned()),
        None => open().next().map(str::to_owned),
    }
}

/// The site that is to hold it: well, in the order of the file, those that are kept back last.
fn best(scene: &Scene<'_>, standing: &Standing, but: Option<&str>) -> Option<String> {
    let fits =
        |site: &&str| Some(*site) != but && !standing.withdrawn.contains_key(*site) && scene.well(site);
    let rested = |site: &&str| {
        scene.memory(site).is_some_and(|memory: &Memory| memory.may_return(scene.address, scene.now))
    };
    let sites = || scene.sites.iter().map(|(site, _)| *site).filter(fits);
    sites().find(rested).or_else(|| sites().next()).map(str::to_owned)
}
