//! Elections, the log, and what whoever leads decides.

use super::world::{
    Flaw, GIVES_UP, Leader, NAMES, SILENCE, SITES, TURNS, World, address, names, times, turned,
};
use maplehook_address_announcement::{Decider, SiteHealth};
use maplehook_failover_agent::messages::AgreedState;
use maplehook_locality::Region;
use maplehook_versions::DocumentLeaseManager;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

impl World {
    /// The present leader puts a body on its way.
    pub(super) fn put(&mut self, agreed: AgreedState) {
        let (t, due) = (self.t, self.late_body.max(self.t + 1));
        let Some(leader) = &mut self.leader else { return };
        let agreed = Arc::new(agreed);
        leader.proposed = Some((t, Arc::clone(&agreed)));
        self.on_the_way.push((due, leader.at, leader.number, agreed));
    }

    pub(super) fn elect(&mut self) {
        let sound = self.leader.as_ref().is_some_and(|leader| self.majority(leader.at));
        if sound {
            self.silent = 0;
            return;
        }
        self.silent += 1;
        if self.silent > SILENCE {
            self.lead_anew();
        }
    }

    pub(super) fn lead_anew(&mut self) {
        let before = self.leader.as_ref().map(|leader| leader.at);
        let next = [2, 1, 0].into_iter().find(|n| before != Some(*n) && self.majority(*n));
        let Some(at) = next else { return };
        self.silent = 0;
        let old = self.leader.take();
        if old.is_some() {
            self.stale = old;
        }
        self.leader = Some(self.leader_at(at));
    }

    fn leader_at(&self, at: usize) -> Leader {
        let now = self.clock(2);
        let sites = NAMES.map(String::from).to_vec();
        // What it has not heard of is in the log before it leads.
        let elected = if self.flaw == Some(Flaw::LeaderForgets) { Duration::ZERO } else { now };
        Leader {
            at,
            decider: Decider::new(vec![address()], sites, Some(&self.stands.addresses), now),
            given: DocumentLeaseManager::new(times(), names().into_iter().collect(), elected),
            number: self.log.number,
            stands: Arc::clone(&self.stands),
            proposed: None,
            heard: [None; 3],
            turns: false,
        }
    }

    /// Bodies that are due come to stand in the log, or do not.
    pub(super) fn play(&mut self) -> Result<(), String> {
        let t = self.t;
        let (due, rest): (Vec<_>, Vec<_>) = self.on_the_way.drain(..).partition(|(due, ..)| *due <= t);
        self.on_the_way = rest;
        for (_, at, expect, agreed) in due {
            let expect = if self.flaw == Some(Flaw::PutWithoutExpect) { self.log.number } else { expect };
            let stands = self.log.replace(expect, &agreed.encode()).is_ok();
            if stands {
                self.sound(&agreed)?;
                (self.stands, self.since) = (Arc::clone(&agreed), self.now());
            }
            let number = self.log.number;
            let Some(leader) = self.leader.as_mut().filter(|leader| leader.at == at) else { continue };
            let own = leader.proposed.take_if(|(_, proposed)| *proposed == agreed);
            if own.is_some() && stands {
                leader.decider.accepted(&agreed.addresses);
                (leader.number, leader.stands) = (number, agreed);
            } else if own.is_some() {
                let at = leader.at;
                self.again(at);
            }
        }
        Ok(())
    }

    /// It reads the log again, as one that does not know how its body ended.
    pub(super) fn again(&mut self, at: usize) {
        let mut fresh = self.leader_at(at);
        if let Some(old) = self.leader.take() {
            (fresh.given, fresh.heard) = (old.given, old.heard);
        }
        self.leader = Some(fresh);
    }

    /// One epoch is one plan, one number one state, and each rests on the one before.
    fn sound(&self, next: &AgreedState) -> Result<(), String> {
        let (old, new) = (&self.stands.places.plan, &next.places.plan);
        if new.rows != old.rows && new.epoch != old.epoch + 1 {
            return Err(format!("plan {} follows plan {}", new.epoch, old.epoch));
        }
        let (old, new) = (&self.stands.addresses, &next.addresses);
        if new != old && !new.follows(Some(old)) {
            return Err(format!("state {} of addresses follows state {}", new.number, old.number));
        }
        Ok(())
    }

    /// Whoever leads decides.
    pub(super) fn decide(&mut self) {
        let (t, now, flaw) = (self.t, self.clock(2), self.flaw);
        let turns = self.turning && t % TURNS == 0;
        let Some(leader) = &self.leader else { return };
        if !self.majority(leader.at) {
            return;
        }
        if leader.proposed.as_ref().is_some_and(|(since, _)| t >= since + GIVES_UP) {
            let at = leader.at;
            self.again(at);
        }
        let number = self.log.number;
        let Some(leader) = &self.leader else { return };
        // A body that was given up has come to stand there after all.
        if leader.proposed.is_none() && leader.number != number {
            let at = leader.at;
            self.again(at);
        }
        let Some(leader) = &mut self.leader else { return };
        leader.turns |= turns;
        if leader.proposed.is_some() {
            return;
        }
        let newest = if flaw == Some(Flaw::BehindIsOld) { number.saturating_sub(1) } else { number };
        let mut behind: BTreeMap<Region, Duration> = BTreeMap::new();
        for (name, left) in leader.given.lagging_members(now, newest) {
            let of = names().iter().position(|known| *known == name).map(|n| Region(SITES[n] as u16));
            of.into_iter().for_each(|region| {
                let most = behind.entry(region).or_default();
                *most = (*most).max(left);
            });
        }
        if flaw == Some(Flaw::SkipsBehind) {
            behind.clear();
        }
        let health = |site: usize| {
            let fresh = |n: &usize| leader.heard[*n].is_some_and(|at| at + SILENCE >= t);
            let ready = (0..SITES.len()).filter(|n| SITES[*n] == site && fresh(n)).count();
            SiteHealth { region: Region(site as u16), served: 1.0, near: 1.0, ready, cut_off: ready == 0 }
        };
        let sites = [health(0), health(1)];
        let addresses = leader.decider.tick(now, &sites, &behind);
        let places = std::mem::take(&mut leader.turns).then(|| turned(&leader.stands.places));
        if addresses.is_some() || places.is_some() {
            let stands = (*leader.stands).clone();
            let agreed = AgreedState {
                places: places.unwrap_or(stands.places),
                addresses: addresses.unwrap_or(stands.addresses),
                rtts: stands.rtts,
            };
            self.put(agreed);
        }
    }
}
