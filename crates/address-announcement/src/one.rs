//! Decisions for addresses that only one site may announce at any instant.
//!
//! A handover takes two states: in the first no site holds the address, in the second the next holder does.
//! The second state is written only when no balancer of the previous holder's site can still act on a state
//! older than the first, and when all answers based on such a state have expired. If the previous holder is
//! unreachable, the handover waits for the rest of its lease.

use crate::decide::AddressContext;
use crate::health::HealthHistory;
use crate::state::{AddressState, PREFERENCE_HEALTHY, Phase, SiteRecord};
use crate::{Announce, MAX_CLOCK_DRIFT};
use maplehook_locality::Region;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Progress of a handover towards the point at which the next site may hold the address.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Handover {
    /// Time at which the leader first saw the state without a holder as agreed.
    started_at: Duration,
    /// Time at which no balancer was behind any longer.
    caught_up: Option<Duration>,
    /// Latest time at which a balancer that was behind could still act on the old state.
    lease_bound: Duration,
}

impl Handover {
    pub fn new(now: Duration) -> Self {
        Self { started_at: now, caught_up: None, lease_bound: now }
    }

    pub fn update(&mut self, sites: &BTreeSet<Region>, behind: &BTreeMap<Region, Duration>, now: Duration) {
        if self.caught_up.is_some() {
            return;
        }
        match sites.iter().filter_map(|region| behind.get(region)).max() {
            Some(remaining) => self.lease_bound = self.lease_bound.max(now.saturating_add(*remaining)),
            None => self.caught_up = Some(now),
        }
    }

    /// Returns the time at which all answers based on the old state have expired, or `None` if a balancer is
    /// still behind.
    ///
    /// A balancer that received the new state before `started_at` sent its last old answer before
    /// `started_at`, so that answer expires `max_validity` after `started_at`. A balancer that received it
    /// later was behind: its answers expire with its lease (`lease_bound`), and `max_validity` after it
    /// received the new state (`caught_up`).
    pub fn expires_at(&self, max_validity: Duration) -> Option<Duration> {
        // The router's clock may run slow and the leader's clock fast.
        let max_validity = max_validity.mul_f64((1.0 + MAX_CLOCK_DRIFT) / (1.0 - MAX_CLOCK_DRIFT));
        self.caught_up.map(|caught_up| {
            caught_up.max(self.started_at + max_validity).max(self.lease_bound.min(caught_up + max_validity))
        })
    }
}

#[cfg(test)]
impl Handover {
    pub fn fingerprint(&self, now: Duration) -> [u64; 3] {
        let age = |at: Duration| now.saturating_sub(at).min(Duration::from_secs(4)).as_millis() as u64;
        let remaining = self.lease_bound.saturating_sub(now).as_millis() as u64;
        [age(self.started_at), self.caught_up.map_or(9999, age), remaining]
    }
}

/// Returns the sites that may still announce the address based on an old state.
pub(crate) fn sites_to_wait_for(context: &AddressContext<'_>) -> BTreeSet<Region> {
    let last = context.base.last.as_ref().and_then(|last| context.region(last));
    match last {
        Some(last) => BTreeSet::from([last]),
        // The previous holder is unknown, so any site may announce the address.
        None => (0..context.names.len() as u16).map(Region).collect(),
    }
}

fn is_released(context: &AddressContext<'_>, handover: Option<&Handover>) -> bool {
    let is_last_named = context.base.last.as_ref().is_some_and(|last| context.region(last).is_some());
    // The address may have been of kind `Many` before, or a removed address may have had the same name.
    let max_validity = if is_last_named { Announce::One } else { Announce::Many }.max_validity();
    let Some(handover) = handover else { return false };
    // `behind` does not cover a site that the topology no longer names.
    let is_unnamed = context.base.last.is_some() && !is_last_named;
    let lease_end = if is_unnamed {
        handover.started_at.saturating_add(context.max_lease).saturating_add(max_validity)
    } else {
        Duration::ZERO
    };
    handover.expires_at(max_validity).is_some_and(|expires_at| context.now >= expires_at.max(lease_end))
}

/// Returns the next state of the address.
pub(crate) fn decide(context: &AddressContext<'_>, handover: Option<&Handover>) -> AddressState {
    let mut next = context.base.clone();
    if next.announce != Announce::One {
        // Each announcing site may continue until it receives the change, even without a lease.
        next.unheard = next.announcing.keys().cloned().collect();
        (next.announce, next.holder, next.last, next.next) = (Announce::One, None, None, None);
    }
    next.sites = context.sites.iter().map(|(site, _)| ((*site).to_owned(), SiteRecord::default())).collect();
    next.all_stay = None;
    let is_site = |site: &str| context.sites.iter().any(|(name, _)| *name == site);
    let history_of = |site: &str| context.history(site);
    if next.pinned.is_some()
        && next.holder.as_deref().or(next.next.as_deref()).is_some_and(|s| context.is_healthy(s))
    {
        // The site has recovered, so the pin ends and its health counts again.
        next.pinned = None;
    }
    match next.holder.clone() {
        Some(holder) => {
            let is_withdrawn = next.withdrawn.contains_key(&holder);
            let unhealthy_time = history_of(&holder).and_then(|history| history.unhealthy_for(context.now));
            let is_unhealthy = unhealthy_time.is_some_and(|time| time >= context.address.withdraw_after)
                && next.pinned.is_none();
            let is_removed = !is_site(&holder);
            if is_withdrawn || is_unhealthy || is_removed {
                match next_holder(context, &next, Some(&holder)) {
                    Some(site) => (next.holder, next.last, next.next) = (None, Some(holder), Some(site)),
                    None if is_removed => (next.holder, next.last) = (None, Some(holder)),
                    None => next.all_stay = Some(format!("no other site than {holder} is well")),
                }
            }
        }
        None => {
            next.unheard.retain(|site| {
                let has_received = |region: Region| {
                    context.is_agreed
                        && context.base.announce == Announce::One
                        && !context.behind.contains_key(&region)
                        && history_of(site).is_some_and(|history| history.in_touch)
                };
                // A site that the topology no longer names has no balancer that could receive the change.
                context.region(site).is_some_and(|region| !has_received(region))
                    && !next.withdrawn.contains_key(site)
            });
            let can_be_next = |site: &String| {
                is_site(site)
                    && !next.withdrawn.contains_key(site)
                    && (context.is_healthy(site) || next.pinned.is_some())
            };
            if !next.next.as_ref().is_some_and(can_be_next) {
                let is_allowed = |site: &&str| !next.withdrawn.contains_key(*site);
                let candidate = next_holder(context, &next, None);
                if candidate.is_none() {
                    next.all_stay = Some("no site is well".into());
                }
                let current = || next.next.clone().filter(|site| is_site(site) && is_allowed(&site.as_str()));
                let most_preferred =
                    || context.sites.iter().map(|(site, _)| *site).find(is_allowed).map(str::to_owned);
                // Before the first holder no next site is selected, because the first site in touch need
                // not be the preferred one. `first_holder` selects the site at the end.
                next.next =
                    next.last.as_ref().and_then(|_| candidate.or_else(current).or_else(most_preferred));
            }
            // If the next holder is also the previous one, no other site has held the address
            // meanwhile, so there is nothing to wait for.
            let is_previous_holder = next.last.is_some() && next.last == next.next;
            if next.unheard.is_empty() && (is_previous_holder || is_released(context, handover)) {
                next.holder = next.next.take().or_else(|| first_holder(context, &next));
                next.last = next.holder.clone().or(next.last);
            }
        }
    }
    next.announcing = next.holder.iter().map(|holder| (holder.clone(), PREFERENCE_HEALTHY)).collect();
    for (site, record) in &mut next.sites {
        record.phase = if next.holder.as_ref() == Some(site) { Phase::Well } else { Phase::Away };
    }
    next
}

/// Starts a handover to a site on an operator's order.
pub(crate) fn start_handover(address_state: &mut AddressState, to: &str, pinned: Option<String>) {
    if let Some(holder) = address_state.holder.take() {
        address_state.last = Some(holder);
    }
    address_state.next = Some(to.to_owned());
    address_state.pinned = pinned;
    address_state.announcing.clear();
    for record in address_state.sites.values_mut() {
        record.phase = Phase::Away;
    }
}

/// Returns the first holder of an address: the most preferred healthy site. A preferred site that is not
/// healthy is skipped only after it has been unhealthy or silent for `withdraw_after`. Until then the result
/// is `None`. If all sites are skipped, the most preferred site is returned.
fn first_holder(context: &AddressContext<'_>, address_state: &AddressState) -> Option<String> {
    let allowed_sites = || {
        context
            .sites
            .iter()
            .map(|(site, _)| *site)
            .filter(|site| !address_state.withdrawn.contains_key(*site))
    };
    let unhealthy_for =
        |site: &str| context.history(site).and_then(|history| history.unhealthy_for(context.now));
    let is_skipped =
        |site: &str| unhealthy_for(site).is_some_and(|time| time >= context.address.withdraw_after);
    let candidate = allowed_sites().find(|site| context.is_healthy(site) || !is_skipped(site));
    match candidate {
        Some(site) => context.is_healthy(site).then(|| site.to_owned()),
        None => allowed_sites().next().map(str::to_owned),
    }
}

/// Returns the next holder: the most preferred healthy site. Sites that may not return yet are used only if
/// there is no other.
fn next_holder(
    context: &AddressContext<'_>,
    address_state: &AddressState,
    excluded: Option<&str>,
) -> Option<String> {
    let is_eligible = |site: &&str| {
        Some(*site) != excluded && !address_state.withdrawn.contains_key(*site) && context.is_healthy(site)
    };
    let may_return_now = |site: &&str| {
        context
            .history(site)
            .is_some_and(|history: &HealthHistory| history.may_return(context.address, context.now))
    };
    let sites = || context.sites.iter().map(|(site, _)| *site).filter(is_eligible);
    sites().find(may_return_now).or_else(|| sites().next()).map(str::to_owned)
}
