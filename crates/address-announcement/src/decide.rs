//! The leader's machine: from how well the sites are to who announces what.
//!
//! It decides by the state that was agreed last and by nothing that it has only wished for. What it wishes is to be proposed, and
//! told to [`Decider::accepted`] once it stands in the log.

use crate::health::{COST, Memory, SiteHealth, half_life};
use crate::one::Wait;
use crate::state::{Phase, Standing, State, TAKES};
use crate::{ADDRESSES_MOST, Address, Announce, many, one};
use maplehook_locality::Region;
use std::collections::BTreeMap;
use std::time::Duration;

/// After this a state that was neither accepted nor overtaken is offered once more.
pub const AGAIN: Duration = Duration::from_millis(500);
/// For how long a site whose name is not known any more is waited for, until [`Decider::set_max_lease`] says it.
pub const LONGEST_LEASE: Duration = Duration::from_secs(10);

/// One leader's, from its election on.
#[derive(Clone, Debug, PartialEq)]
pub struct Decider {
    addresses: Vec<Address>,
    site_names: Vec<String>,
    longest_lease: Duration,
    /// Agreed.
    state: State,
    now: Duration,
    offered: Option<Duration>,
    health: BTreeMap<Region, SiteHealth>,
    behind: BTreeMap<Region, Duration>,
    /// By address and site.
    memory: BTreeMap<(String, String), Memory>,
    /// By address: hand-overs that wait.
    waits: BTreeMap<String, Wait>,
}

/// What an address is decided by.
pub(crate) struct Scene<'a> {
    pub address: &'a Address,
    /// Names of its sites, the preferred one first, with their regions.
    pub sites: Vec<(&'a str, Region)>,
    /// All that are named.
    pub names: &'a [String],
    /// As agreed.
    pub base: &'a Standing,
    /// Whether `base` was agreed; else it is how an address begins.
    pub agreed: bool,
    pub memory: &'a BTreeMap<(String, String), Memory>,
    pub behind: &'a BTreeMap<Region, Duration>,
    pub longest_lease: Duration,
    pub now: Duration,
}

impl Scene<'_> {
    pub fn memory(&self, site: &str) -> Option<&Memory> {
        self.memory.get(&(self.address.name.clone(), site.to_owned()))
    }

    /// In touch and not ill.
    pub fn well(&self, site: &str) -> bool {
        self.memory(site).is_some_and(|memory| memory.in_touch && !memory.ill)
    }

    pub fn region(&self, site: &str) -> Option<Region> {
        self.names.iter().position(|name| name == site).map(|n| Region(n as u16))
    }
}

impl Decider {
    /// A new leader's. `site_names` are the names of the regions, by position; `before` is what was agreed last.
    pub fn new(
        addresses: Vec<Address>,
        site_names: Vec<String>,
        before: Option<&State>,
        now: Duration,
    ) -> Self {
        let mut decider = Self {
            addresses: Vec::new(),
            site_names: Vec::new(),
            longest_lease: LONGEST_LEASE,
            state: before.cloned().unwrap_or_default(),
            now,
            offered: None,
            health: BTreeMap::new(),
            behind: BTreeMap::new(),
            memory: BTreeMap::new(),
            waits: BTreeMap::new(),
        };
        for (name, standing) in &decider.state.addresses {
            for (site, record) in &standing.sites {
                decider.memory.insert((name.clone(), site.clone()), Memory::of(record, now));
            }
        }
        decider.reconfigure(addresses, site_names, now);
        decider
    }

    /// The longest that a lease can last by the leader's clock. Waited for where a site that held an address is named no more.
    pub fn set_max_lease(&mut self, longest: Duration) {
        self.longest_lease = longest;
    }

    /// What was agreed last.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Other settings, or another topology. What is under way goes on: sites are known by name. Addresses past
    /// [`ADDRESSES_MOST`] and sites without a name are left out.
    pub fn reconfigure(&mut self, addresses: Vec<Address>, site_names: Vec<String>, now: Duration) {
        self.now = self.now.max(now);
        self.addresses = addresses;
        self.addresses.truncate(ADDRESSES_MOST);
        self.site_names = site_names;
        // Positions mean other sites now: nothing that was said by position counts any more.
        self.health.clear();
        self.behind.clear();
        self.waits.clear();
        let mut memory = BTreeMap::new();
        for address in &self.addresses {
            for region in &address.sites {
                let Some(site) = self.site_names.get(usize::from(region.0)) else { continue };
                let key = (address.name.clone(), site.clone());
                let known = self.memory.remove(&key);
                memory.insert(key, known.unwrap_or_else(|| Memory::new(self.now)));
            }
        }
        self.memory = memory;
    }

    /// A moment passes. `sites` is what is known of each; one that is missing is cut off. `behind` are the sites some of whose
    /// balancers may still act on a state earlier than the one that was accepted last, with the time that this can last at the
    /// most: for a new leader, the longest lease for everybody it has not heard of. A lease that is granted together with the newer
    /// state must not add to it, else a holder that hears nothing and is heard is waited for without end. What is returned is to be proposed, to be
    /// played where [`State::follows`] lets it.
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
        self.wait();
        let next = self.decided();
        let changed = next.len() != self.state.addresses.len()
            || next.iter().any(|(name, standing)| {
                self.state.addresses.get(name).is_none_or(|before| before.differs(standing))
            });
        if !changed {
            return None;
        }
        if self.offered.is_some_and(|at| now < at + AGAIN) {
            return None;
        }
        self.offered = Some(now);
        Some(self.written(next))
    }

    fn observe(&mut self) {
        let now = self.now;
        for address in &self.addresses {
            for region in &address.sites {
                let Some(site) = self.site_names.get(usize::from(region.0)) else { continue };
                let key = (address.name.clone(), site.clone());
                let memory = self.memory.entry(key).or_insert_with(|| Memory::new(now));
                let was_ill = memory.ill;
                memory.observe(self.health.get(region), address.announce == Announce::One, now);
                let standing = self.state.addresses.get(&address.name);
                let phase = standing.and_then(|standing| standing.sites.get(site)).map(|site| site.phase);
                let away = address.announce == Announce::Many && phase == Some(Phase::Away);
                // One that is kept back and goes on flapping is kept back for longer.
                let cost = if away && memory.ill && !was_ill { COST } else { 0.0 };
                memory.punish(now, half_life(address), cost);
                memory.phase_since.get_or_insert(now);
                let takes = standing.and_then(|standing| standing.announcing.get(site)) == Some(&TAKES);
                memory.takes_since = takes.then(|| memory.takes_since.unwrap_or(now));
            }
        }
    }

    /// Goes on waiting for those who may still announce by an earlier state.
    fn wait(&mut self) {
        let mut waits = std::mem::take(&mut self.waits);
        let mut kept = BTreeMap::new();
        self.each(|scene| {
            if scene.agreed && scene.base.announce == Announce::One && scene.base.holder.is_none() {
                let mut wait = waits.remove(&scene.address.name).unwrap_or_else(|| Wait::new(scene.now));
                wait.goes_on(&one::waited_for(&scene), scene.behind, scene.now);
                kept.insert(scene.address.name.clone(), wait);
            }
        });
        self.waits = kept;
    }

    fn each(&self, mut visit: impl FnMut(Scene<'_>)) {
        for address in &self.addresses {
            let fresh = Standing::new(address.announce);
            let agreed = self.state.addresses.get(&address.name);
            visit(self.scene_of(address, agreed.unwrap_or(&fresh), agreed.is_some()));
        }
    }

    fn scene_of<'a>(&'a self, address: &'a Address, base: &'a Standing, agreed: bool) -> Scene<'a> {
        let name = |region: &Region| self.site_names.get(usize::from(region.0)).map(String::as_str);
        Scene {
            address,
            sites: address.sites.iter().filter_map(|r| name(r).map(|name| (name, *r))).collect(),
            names: &self.site_names,
            base,
            agreed,
            memory: &self.memory,
            behind: &self.behind,
            longest_lease: self.longest_lease,
            now: self.now,
        }
    }

    /// Of an address on which something is agreed.
    pub(crate) fn scene(&self, name: &str) -> Option<Scene<'_>> {
        let address = self.addresses.iter().find(|address| address.name == name)?;
        Some(self.scene_of(address, self.state.addresses.get(name)?, true))
    }

    fn decided(&self) -> BTreeMap<String, Standing> {
        let mut addresses = BTreeMap::new();
        self.each(|scene| {
            let decided = match scene.address.announce {
                Announce::Many => many::decide(&scene),
                Announce::One => one::decide(&scene, self.waits.get(&scene.address.name)),
            };
            addresses.insert(scene.address.name.clone(), decided);
        });
        addresses
    }

    /// The next state: with epochs, and with what a next leader has to know.
    pub(crate) fn written(&self, mut addresses: BTreeMap<String, Standing>) -> State {
        for address in &self.addresses {
            let Some(standing) = addresses.get_mut(&address.name) else { continue };
            let before = self.state.addresses.get(&address.name);
            let changed = before.is_none_or(|before| before.differs(standing));
            standing.epoch = before.map_or(0, |before| before.epoch).saturating_add(u64::from(changed));
            for (site, record) in &mut standing.sites {
                let Some(memory) = self.memory.get(&(address.name.clone(), site.clone())) else { continue };
                let old = before.and_then(|before| before.sites.get(site)).map(|record| record.phase);
                let mut memory = memory.clone();
                if old != Some(record.phase) {
                    memory.phase_since = Some(self.now);
                }
                if let Some(old) = old {
                    memory.punish(self.now, half_life(address), cost(old, record.phase, memory.ill));
                }
                *record = memory.write(record.phase, self.now, half_life(address));
            }
        }
        State { number: self.state.number.saturating_add(1), addresses }
    }

    /// A state stands in the log, from this leader or from another one.
    pub fn accepted(&mut self, state: &State) {
        // One body holds more than addresses: of the same state nothing has come to pass, and what is waited for goes on.
        if state.number < self.state.number || *state == self.state {
            return;
        }
        let before = std::mem::replace(&mut self.state, state.clone());
        self.offered = None;
        if !state.follows(Some(&before)) {
            // What lay between is not known: a holder may have come back and gone.
            self.waits.clear();
        }
        for address in &self.addresses {
            let Some(standing) = self.state.addresses.get(&address.name) else { continue };
            let old = before.addresses.get(&address.name);
            // Another hand-over than the one that was waited for.
            if old.is_none_or(|old| {
                old.holder.is_some() || old.last != standing.last || old.announce != standing.announce
            }) {
                self.waits.remove(&address.name);
            }
            for (site, record) in &standing.sites {
                let Some(memory) = self.memory.get_mut(&(address.name.clone(), site.clone())) else {
                    continue;
                };
                let old = old.and_then(|old| old.sites.get(site)).map(|record| record.phase);
                if old != Some(record.phase) {
                    memory.phase_since = None;
                }
                if let Some(old) = old {
                    memory.punish(self.now, half_life(address), cost(old, record.phase, memory.ill));
                }
            }
        }
    }
}

#[cfg(test)]
impl Decider {
    /// What of it can matter from now on, as ages; penalties but for being kept back are left out.
    pub(crate) fn essence(&self) -> Vec<u64> {
        let age = |at: Duration| self.now.saturating_sub(at).min(Duration::from_secs(4)).as_millis() as u64;
        let mut essence = vec![self.offered.map_or(9999, age)];
        for memory in self.memory.values() {
            let flags = [memory.ill, memory.in_touch, memory.rested, memory.phase_since.is_some()];
            essence.extend(flags.map(u64::from));
            essence.push(age(memory.since).min(600));
        }
        for wait in self.waits.values() {
            essence.extend(wait.essence(self.now));
        }
        essence
    }
}

/// What a change of phase costs: a withdrawal is two steps, as long as it is for illness.
fn cost(from: Phase, to: Phase, ill: bool) -> f64 {
    let step = |phase| match phase {
        Phase::Well => 0.0,
        Phase::Returning | Phase::Worse => 1.0,
        Phase::Away => 2.0,
    };
    let again = if (from, to) == (Phase::Returning, Phase::Worse) { 1.0 } else { 0.0 };
    let steps = f64::max(step(to) - step(from), again);
    if ill && steps > 0.0 { steps * COST } else { 0.0 }
}
