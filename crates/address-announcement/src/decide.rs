//! The leader's state machine: turns site health into a decision on which sites announce each address.
//!
//! Decisions are based on the last agreed state only, never on a state that is merely proposed. The caller
//! proposes the returned states and passes each one that is committed to the log to [`Decider::accepted`].

use crate::health::{HealthHistory, STEP_DOWN_PENALTY, SiteHealth, half_life};
use crate::one::Handover;
use crate::state::{AddressState, PREFERENCE_TAKEOVER, Phase, State};
use crate::{Address, Announce, MAX_ADDRESSES, many, one};
use maplehook_locality::Region;
use std::collections::BTreeMap;
use std::time::Duration;

/// Interval after which a state is proposed again if neither it nor another state has been accepted.
pub const REPROPOSE_INTERVAL: Duration = Duration::from_millis(500);
/// Default of [`Decider::set_max_lease`].
pub const DEFAULT_MAX_LEASE: Duration = Duration::from_secs(10);

/// Decision state of one leader since its election.
#[derive(Clone, Debug, PartialEq)]
pub struct Decider {
    addresses: Vec<Address>,
    site_names: Vec<String>,
    max_lease: Duration,
    /// Last agreed state.
    state: State,
    now: Duration,
    proposed_at: Option<Duration>,
    health: BTreeMap<Region, SiteHealth>,
    behind: BTreeMap<Region, Duration>,
    /// Health histories, by address name and site name.
    history: BTreeMap<(String, String), HealthHistory>,
    /// Progress of the running handovers, by address name.
    handovers: BTreeMap<String, Handover>,
}

/// Input for the decision on which sites announce one address.
pub(crate) struct AddressContext<'a> {
    pub address: &'a Address,
    /// Sites of the address that have a name, in order of preference.
    pub sites: Vec<(&'a str, Region)>,
    /// Names of all regions, by position.
    pub names: &'a [String],
    /// Last agreed state of the address, or its initial state.
    pub base: &'a AddressState,
    /// True if `base` has been agreed; false if it is the initial state.
    pub is_agreed: bool,
    pub history: &'a BTreeMap<(String, String), HealthHistory>,
    pub behind: &'a BTreeMap<Region, Duration>,
    pub max_lease: Duration,
    pub now: Duration,
}

impl AddressContext<'_> {
    pub fn history(&self, site: &str) -> Option<&HealthHistory> {
        self.history.get(&(self.address.name.clone(), site.to_owned()))
    }

    /// Returns true if the site is in touch and healthy.
    pub fn is_healthy(&self, site: &str) -> bool {
        self.history(site).is_some_and(|history| history.in_touch && !history.is_unhealthy)
    }

    pub fn region(&self, site: &str) -> Option<Region> {
        self.names.iter().position(|name| name == site).map(|n| Region(n as u16))
    }
}

impl Decider {
    /// Creates the state machine of a new leader. `site_names` lists the names of the regions by position;
    /// `before` is the last agreed state.
    pub fn new(
        addresses: Vec<Address>,
        site_names: Vec<String>,
        before: Option<&State>,
        now: Duration,
    ) -> Self {
        let mut decider = Self {
            addresses: Vec::new(),
            site_names: Vec::new(),
            max_lease: DEFAULT_MAX_LEASE,
            state: before.cloned().unwrap_or_default(),
            now,
            proposed_at: None,
            health: BTreeMap::new(),
            behind: BTreeMap::new(),
            history: BTreeMap::new(),
            handovers: BTreeMap::new(),
        };
        for (name, address_state) in &decider.state.addresses {
            for (site, record) in &address_state.sites {
                decider.history.insert((name.clone(), site.clone()), HealthHistory::from_record(record, now));
            }
        }
        decider.reconfigure(addresses, site_names, now);
        decider
    }

    /// Sets the maximum duration of a lease on the leader's clock. A handover waits this long if the topology
    /// no longer names the previous holder.
    pub fn set_max_lease(&mut self, max_lease: Duration) {
        self.max_lease = max_lease;
    }

    /// Returns the last agreed state.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Applies a new configuration or topology. The agreed state stays valid, because it identifies sites by
    /// name, but running handovers start to wait again. Addresses beyond [`MAX_ADDRESSES`] and sites without
    /// a name are left out.
    pub fn reconfigure(&mut self, addresses: Vec<Address>, site_names: Vec<String>, now: Duration) {
        self.now = self.now.max(now);
        self.addresses = addresses;
        self.addresses.truncate(MAX_ADDRESSES);
        self.site_names = site_names;
        // Positions now refer to other sites, so everything recorded by position is invalid.
        self.health.clear();
        self.behind.clear();
        self.handovers.clear();
        let mut history = BTreeMap::new();
        for address in &self.addresses {
            for region in &address.sites {
                let Some(site) = self.site_names.get(usize::from(region.0)) else { continue };
                let key = (address.name.clone(), site.clone());
                let previous = self.history.remove(&key);
                history.insert(key, previous.unwrap_or_else(|| HealthHistory::new(self.now)));
            }
        }
        self.history = history;
    }

    /// Advances the time and returns a state to propose, or `None` if nothing changes. The state may be
    /// applied only where [`State::follows`] allows it.
    ///
    /// `sites` holds the health of each site; a site that is missing counts as cut off. `behind` lists the
    /// sites with balancers that may still act on a state older than the last accepted one, each with the
    /// maximum time for which this can last. For a new leader that is the longest lease for every balancer it
    /// has not heard from. A lease that is granted together with the newer state must not extend this time.
    /// Otherwise the handover would wait forever for a holder whose requests reach the leader but that
    /// receives no replies.
    pub fn tick(
        &mut self,
        now: Duration,
        sites: &[SiteHealth],
        behind: &BTreeMap<Region, Duration>,
    ) -> Option<State> {
        self.now = self.now.max(now);
        let now = self.now;
        self.health = sites.iter().map(|health| (health.region, *health)).collect();
        self.behind = behind.clone();
        self.observe();
        self.update_handovers();
        let addresses = self.decide_all();
        let changed = addresses.len() != self.state.addresses.len()
            || addresses.iter().any(|(name, address_state)| {
                self.state.addresses.get(name).is_none_or(|before| before.differs(address_state))
            });
        if !changed {
            return None;
        }
        if self.proposed_at.is_some_and(|at| now < at + REPROPOSE_INTERVAL) {
            return None;
        }
        self.proposed_at = Some(now);
        Some(self.build_next_state(addresses))
    }

    fn observe(&mut self) {
        let now = self.now;
        for address in &self.addresses {
            for region in &address.sites {
                let Some(site) = self.site_names.get(usize::from(region.0)) else { continue };
                let key = (address.name.clone(), site.clone());
                let history = self.history.entry(key).or_insert_with(|| HealthHistory::new(now));
                let was_unhealthy = history.is_unhealthy;
                history.observe(self.health.get(region), address.announce == Announce::One, now);
                let address_state = self.state.addresses.get(&address.name);
                let phase = address_state
                    .and_then(|address_state| address_state.sites.get(site))
                    .map(|site| site.phase);
                let is_withdrawn = address.announce == Announce::Many && phase == Some(Phase::Away);
                // A suppressed site that keeps flapping stays suppressed for longer.
                let penalty = if is_withdrawn && history.is_unhealthy && !was_unhealthy {
                    STEP_DOWN_PENALTY
                } else {
                    0.0
                };
                history.add_penalty(now, half_life(address), penalty);
                history.phase_since.get_or_insert(now);
                let has_takeover_preference = address_state
                    .and_then(|address_state| address_state.announcing.get(site))
                    == Some(&PREFERENCE_TAKEOVER);
                history.takeover_since =
                    has_takeover_preference.then(|| history.takeover_since.unwrap_or(now));
            }
        }
    }

    /// Updates the running handovers with the balancers that may still act on an earlier state.
    fn update_handovers(&mut self) {
        let mut handovers = std::mem::take(&mut self.handovers);
        let mut running = BTreeMap::new();
        self.for_each_context(|context| {
            if context.is_agreed && context.base.announce == Announce::One && context.base.holder.is_none() {
                let mut handover =
                    handovers.remove(&context.address.name).unwrap_or_else(|| Handover::new(context.now));
                handover.update(&one::sites_to_wait_for(&context), context.behind, context.now);
                running.insert(context.address.name.clone(), handover);
            }
        });
        self.handovers = running;
    }

    fn for_each_context(&self, mut visit: impl FnMut(AddressContext<'_>)) {
        for address in &self.addresses {
            let initial = AddressState::new(address.announce);
            let agreed = self.state.addresses.get(&address.name);
            visit(self.context_of(address, agreed.unwrap_or(&initial), agreed.is_some()));
        }
    }

    fn context_of<'a>(
        &'a self,
        address: &'a Address,
        base: &'a AddressState,
        is_agreed: bool,
    ) -> AddressContext<'a> {
        let name = |region: &Region| self.site_names.get(usize::from(region.0)).map(String::as_str);
        AddressContext {
            address,
            sites: address.sites.iter().filter_map(|r| name(r).map(|name| (name, *r))).collect(),
            names: &self.site_names,
            base,
            is_agreed,
            history: &self.history,
            behind: &self.behind,
            max_lease: self.max_lease,
            now: self.now,
        }
    }

    /// Returns the decision input for an address that has an agreed state.
    pub(crate) fn context(&self, name: &str) -> Option<AddressContext<'_>> {
        let address = self.addresses.iter().find(|address| address.name == name)?;
        Some(self.context_of(address, self.state.addresses.get(name)?, true))
    }

    fn decide_all(&self) -> BTreeMap<String, AddressState> {
        let mut addresses = BTreeMap::new();
        self.for_each_context(|context| {
            let decision = match context.address.announce {
                Announce::Many => many::decide(&context),
                Announce::One => one::decide(&context, self.handovers.get(&context.address.name)),
            };
            addresses.insert(context.address.name.clone(), decision);
        });
        addresses
    }

    /// Builds the next state, including epochs and the records that the next leader needs.
    pub(crate) fn build_next_state(&self, mut addresses: BTreeMap<String, AddressState>) -> State {
        for address in &self.addresses {
            let Some(address_state) = addresses.get_mut(&address.name) else { continue };
            let before = self.state.addresses.get(&address.name);
            let changed = before.is_none_or(|before| before.differs(address_state));
            address_state.epoch = before.map_or(0, |before| before.epoch).saturating_add(u64::from(changed));
            for (site, record) in &mut address_state.sites {
                let Some(history) = self.history.get(&(address.name.clone(), site.clone())) else { continue };
                let old = before.and_then(|before| before.sites.get(site)).map(|record| record.phase);
                let mut history = history.clone();
                if old != Some(record.phase) {
                    history.phase_since = Some(self.now);
                }
                if let Some(old) = old {
                    history.add_penalty(
                        self.now,
                        half_life(address),
                        phase_change_penalty(old, record.phase, history.is_unhealthy),
                    );
                }
                *record = history.to_record(record.phase, self.now, half_life(address));
            }
        }
        State { number: self.state.number.saturating_add(1), addresses }
    }

    /// Handles a state that was committed to the log, proposed by this leader or by another one.
    pub fn accepted(&mut self, state: &State) {
        // The log entry also carries other content. An unchanged address state must not restart a running
        // handover.
        if state.number < self.state.number || *state == self.state {
            return;
        }
        let before = std::mem::replace(&mut self.state, state.clone());
        self.proposed_at = None;
        if !state.follows(Some(&before)) {
            // The states in between are unknown: a site may have acquired and released the address.
            self.handovers.clear();
        }
        for address in &self.addresses {
            let Some(address_state) = self.state.addresses.get(&address.name) else { continue };
            let old = before.addresses.get(&address.name);
            // This is a different handover from the one that was running.
            if old.is_none_or(|old| {
                old.holder.is_some()
                    || old.last != address_state.last
                    || old.announce != address_state.announce
            }) {
                self.handovers.remove(&address.name);
            }
            for (site, record) in &address_state.sites {
                let Some(history) = self.history.get_mut(&(address.name.clone(), site.clone())) else {
                    continue;
                };
                let old = old.and_then(|old| old.sites.get(site)).map(|record| record.phase);
                if old != Some(record.phase) {
                    history.phase_since = None;
                }
                if let Some(old) = old {
                    history.add_penalty(
                        self.now,
                        half_life(address),
                        phase_change_penalty(old, record.phase, history.is_unhealthy),
                    );
                }
            }
        }
    }
}

#[cfg(test)]
impl Decider {
    /// Returns the parts of the decider that affect later decisions. Times are ages; penalties are left out.
    pub(crate) fn fingerprint(&self) -> Vec<u64> {
        let age = |at: Duration| self.now.saturating_sub(at).min(Duration::from_secs(4)).as_millis() as u64;
        let mut fingerprint = vec![self.proposed_at.map_or(9999, age)];
        for history in self.history.values() {
            let flags = [
                history.is_unhealthy,
                history.in_touch,
                history.never_unhealthy,
                history.phase_since.is_some(),
            ];
            fingerprint.extend(flags.map(u64::from));
            fingerprint.push(age(history.since).min(600));
        }
        for handover in self.handovers.values() {
            fingerprint.extend(handover.fingerprint(self.now));
        }
        fingerprint
    }
}

/// Returns the penalty for a phase change. A withdrawal counts two steps down. Only an unhealthy site is
/// penalized.
fn phase_change_penalty(from: Phase, to: Phase, is_unhealthy: bool) -> f64 {
    let level = |phase| match phase {
        Phase::Well => 0.0,
        Phase::Returning | Phase::Worse => 1.0,
        Phase::Away => 2.0,
    };
    let relapse = if (from, to) == (Phase::Returning, Phase::Worse) { 1.0 } else { 0.0 };
    let steps = f64::max(level(to) - level(from), relapse);
    if is_unhealthy && steps > 0.0 { steps * STEP_DOWN_PENALTY } else { 0.0 }
}
