//! Runs a leader's state machine in steps and agrees each proposed state at once.

#![allow(dead_code, reason = "each test file uses some of these helpers")]

use maplehook_address_announcement::{Address, AddressState, Announce, Decider, SiteHealth, State};
use maplehook_locality::Region;
use std::collections::BTreeMap;
use std::time::Duration;

pub const TICK: Duration = Duration::from_millis(100);

pub fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub fn names(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

pub fn address(announce: Announce, sites: u16, keep_at_least: usize) -> Address {
    Address {
        name: "front".into(),
        address: "203.0.113.10:443".into(),
        announce,
        keep_at_least,
        withdraw_after: s(4),
        return_after: s(10),
        sites: (0..sites).map(Region).collect(),
    }
}

pub fn healthy_site(region: u16) -> SiteHealth {
    SiteHealth { region: Region(region), served: 1.0, near: 1.0, ready: 2, cut_off: false }
}

pub struct Run {
    pub decider: Decider,
    pub now: Duration,
    pub sites: Vec<SiteHealth>,
    pub behind: BTreeMap<Region, Duration>,
    /// Agreed states with the times at which they were agreed.
    pub log: Vec<(Duration, State)>,
}

impl Run {
    pub fn new(address: Address) -> Self {
        let sites: Vec<SiteHealth> = address.sites.iter().map(|region| healthy_site(region.0)).collect();
        let names = names(&["a", "b", "c", "d"][..sites.len()]);
        let decider = Decider::new(vec![address], names, None, s(100));
        Self { decider, now: s(100), sites, behind: BTreeMap::new(), log: Vec::new() }
    }

    pub fn tick(&mut self) {
        if let Some(state) = self.decider.tick(self.now, &self.sites, &self.behind) {
            self.accept(state);
        }
        self.now += TICK;
    }

    pub fn accept(&mut self, state: State) {
        assert!(state.follows(Some(self.decider.state())) && state.is_sound(), "{state:#?}");
        self.decider.accepted(&state);
        self.log.push((self.now, state));
    }

    pub fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.tick();
        }
    }

    pub fn address_state(&self) -> &AddressState {
        &self.decider.state().addresses["front"]
    }

    /// Returns the announcing sites with their preferences, for example `a300 b400`.
    pub fn announcing(&self) -> String {
        let all =
            self.address_state().announcing.iter().map(|(site, preference)| format!("{site}{preference}"));
        all.collect::<Vec<_>>().join(" ")
    }

    pub fn set_served(&mut self, site: usize, served: f64) {
        self.sites[site].served = served;
    }
}
