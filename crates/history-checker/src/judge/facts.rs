//! What several rules need to know of a history: who was up, what was well, what room there really was, and when something changed.

use super::spans::{Spans, Toggles};
use crate::file::History;
use crate::record::What;
use std::collections::BTreeMap;

/// A share from which a place counts as whole.
const WHOLE: f64 = 0.999;

/// When balancers were what, by name; no name: never.
#[derive(Debug, Default)]
pub(crate) struct Lives<'h> {
    /// Killed, ended or not started yet.
    pub down: BTreeMap<&'h str, Spans>,
    /// Down by a kill.
    pub killed: BTreeMap<&'h str, Spans>,
    pub stopped: BTreeMap<&'h str, Spans>,
    pub cut: BTreeMap<&'h str, Spans>,
}

/// A history, read once.
pub(crate) struct Facts<'h> {
    pub history: &'h History,
    /// Time of the first record.
    pub start: u64,
    /// When the rig ended the run, or the time of the last record.
    pub end: u64,
    pub lives: Lives<'h>,
    /// By zone: when its health was nought.
    pub ill: BTreeMap<&'h str, Spans>,
    /// By zone: when its health was not whole, seen from anywhere.
    pub unwhole: BTreeMap<&'h str, Spans>,
    /// Each moment at which something changed, with the time to settle after it.
    pub changing: Spans,
    /// When anything at all was wrong or had been so until lately.
    pub wrong: Spans,
    /// By zone: from when on there was how much real room, in requests a second.
    room: BTreeMap<&'h str, Vec<(u64, f64)>>,
}

impl<'h> Facts<'h> {
    pub(crate) fn of(history: &'h History) -> Self {
        let start = history.records.first().map_or(0, |record| record.at_us);
        let ends = |what: &What| matches!(what, What::Did { act, .. } if act == "end");
        let end = history.records.iter().find(|record| ends(&record.what)).or(history.records.last());
        let end = end.map_or(0, |record| record.at_us);
        let settle = history.header.bounds.settle_us;
        let (lives, moments, evacuated) = lives(history);
        let places = places(history);
        let mut moments: Vec<u64> = moments;
        moments.extend(places.moments);
        let changing =
            Spans::of(moments.iter().map(|at| (*at, at.saturating_add(settle).saturating_add(1))).collect());
        let lasting = places.unwhole.values().chain(lives.stopped.values()).chain(lives.cut.values());
        let lasting = Spans::at_least(1, lasting.chain(evacuated.values())).wider(0, settle);
        let wrong = lasting.or(&changing);
        let (ill, unwhole, room) = (places.ill, places.unwhole, places.room);
        Self { history, start, end, lives, ill, unwhole, changing, wrong, room }
    }

    /// The zone of a balancer.
    pub(crate) fn zone_of(&self, balancer: &str) -> Option<&'h str> {
        self.history.header.balancers.get(balancer).map(String::as_str)
    }

    /// The zone of an upstream.
    pub(crate) fn place_of(&self, upstream: &str) -> Option<&'h str> {
        self.history.header.upstreams.get(upstream).map(|upstream| upstream.zone.as_str())
    }

    /// The region of a zone.
    pub(crate) fn region_of(&self, zone: &str) -> Option<&'h str> {
        let mut regions = self.history.header.regions.iter();
        regions.find(|(_, zones)| zones.iter().any(|name| name == zone)).map(|(name, _)| name.as_str())
    }

    /// Zones of a site, which is a region.
    pub(crate) fn zones_of(&self, site: &str) -> &'h [String] {
        self.history.header.regions.get(site).map_or(&[], Vec::as_slice)
    }

    /// What all upstreams of a zone could take, were they well, in requests a second.
    pub(crate) fn nominal(&self, zone: &str) -> f64 {
        let upstreams = self.history.header.upstreams.values();
        upstreams.filter(|upstream| upstream.zone == zone).map(|upstream| upstream.room_per_s).sum()
    }

    /// The real room of a zone at a moment, in requests a second.
    pub(crate) fn room_at(&self, zone: &str, at: u64) -> f64 {
        let Some(steps) = self.room.get(zone) else { return 0.0 };
        let after = steps.partition_point(|step| step.0 <= at);
        after.checked_sub(1).map_or(0.0, |n| steps[n].1)
    }

    /// Whether a balancer was stopped, cut off or down at some time in `from..until`.
    pub(crate) fn away(&self, balancer: &str, from: u64, until: u64) -> bool {
        let lives = [&self.lives.down, &self.lives.stopped, &self.lives.cut];
        lives.into_iter().any(|states| meets(states, balancer, from, until))
    }

    /// Whether a balancer was down at some time in `from..until`.
    pub(crate) fn dead(&self, balancer: &str, from: u64, until: u64) -> bool {
        meets(&self.lives.down, balancer, from, until)
    }

    /// Whether a balancer could not answer what came at `from` and was waited for until `until`: killed or stopped in between, or
    /// not there from the first.
    pub(crate) fn gone(&self, balancer: &str, from: u64, until: u64) -> bool {
        let until = until.saturating_add(1);
        meets(&self.lives.killed, balancer, from, until)
            || meets(&self.lives.stopped, balancer, from, until)
            || meets(&self.lives.down, balancer, from, from.saturating_add(1))
    }

    /// Width of a window, never nought.
    pub(crate) fn window(&self) -> u64 {
        self.history.header.bounds.window_us.max(1_000)
    }
}

fn meets(states: &BTreeMap<&str, Spans>, who: &str, from: u64, until: u64) -> bool {
    states.get(who).is_some_and(|spans| spans.meets(from, until))
}

/// Whom an act was for: a balancer, or all of a zone or a region.
fn named<'h>(history: &'h History, to: &str) -> Vec<&'h str> {
    let header = &history.header;
    if let Some((balancer, _)) = header.balancers.get_key_value(to) {
        return vec![balancer];
    }
    let region = header.regions.get(to);
    let fits = |zone: &String| zone == to || region.is_some_and(|zones| zones.contains(zone));
    header.balancers.iter().filter(|(_, zone)| fits(zone)).map(|(balancer, _)| balancer.as_str()).collect()
}

type ByName<'h> = BTreeMap<&'h str, Spans>;

/// Lives of balancers, the moments of all acts, and places while they were evacuated.
fn lives(history: &History) -> (Lives<'_>, Vec<u64>, ByName<'_>) {
    let (mut down, mut killed) = (Toggles::default(), Toggles::default());
    let (mut stopped, mut cut) = (Toggles::default(), Toggles::default());
    let (mut evacuated, mut moments, mut seen) = (Toggles::default(), Vec::new(), BTreeMap::new());
    for record in &history.records {
        let What::Did { act, to } = &record.what else { continue };
        let at = record.at_us;
        moments.push(at);
        for balancer in named(history, to) {
            // Whoever is first heard of by its start was not there before.
            let first = seen.insert(balancer, ()).is_none();
            match act.as_str() {
                "start" => {
                    if first {
                        down.set(balancer, 0, true);
                    }
                    down.set(balancer, at, false);
                    killed.set(balancer, at, false);
                }
                "kill" | "term" => {
                    down.set(balancer, at, true);
                    killed.set(balancer, at, act == "kill");
                    stopped.set(balancer, at, false);
                }
                "stop" => stopped.set(balancer, at, true),
                "wake" => stopped.set(balancer, at, false),
                "cut" => cut.set(balancer, at, true),
                "heal" => cut.set(balancer, at, false),
                _ => {}
            }
        }
        match act.as_str() {
            "evacuate" => evacuated.set(to, at, true),
            "release" => evacuated.set(to, at, false),
            _ => {}
        }
    }
    let (down, killed) = (down.close(), killed.close());
    let lives = Lives { down, killed, stopped: stopped.close(), cut: cut.close() };
    (lives, moments, evacuated.close())
}

struct Places<'h> {
    ill: ByName<'h>,
    unwhole: ByName<'h>,
    room: BTreeMap<&'h str, Vec<(u64, f64)>>,
    moments: Vec<u64>,
}

#[derive(Clone)]
struct Zone<'h> {
    share: f64,
    /// Shares as seen from some zones alone.
    views: BTreeMap<&'h [String], f64>,
    /// Room of its upstreams that do not drain, in requests a second.
    whole: f64,
    steps: Vec<(u64, f64)>,
}

fn places(history: &History) -> Places<'_> {
    let mut zones: BTreeMap<&str, Zone<'_>> = BTreeMap::new();
    let fresh = Zone { share: 1.0, views: BTreeMap::new(), whole: 0.0, steps: Vec::new() };
    for upstream in history.header.upstreams.values() {
        zones.entry(&upstream.zone).or_insert_with(|| fresh.clone()).whole += upstream.room_per_s;
    }
    for zone in zones.values_mut() {
        zone.steps.push((0, zone.whole));
    }
    let (mut ill, mut unwhole, mut moments) = (Toggles::default(), Toggles::default(), Vec::new());
    let mut draining: BTreeMap<&str, bool> = BTreeMap::new();
    for record in &history.records {
        let at = record.at_us;
        match &record.what {
            What::Health { zone, share, from } => {
                let state = zones.entry(zone).or_insert_with(|| fresh.clone());
                match from {
                    Some(from) => drop(state.views.insert(from, *share)),
                    None => state.share = *share,
                }
                ill.set(zone, at, state.share <= 0.0);
                let whole = state.share >= WHOLE && state.views.values().all(|share| *share >= WHOLE);
                unwhole.set(zone, at, !whole);
                state.steps.push((at, state.whole * state.share.max(0.0)));
                moments.push(at);
            }
            What::Drains { upstream, drains } => {
                let Some((name, known)) = history.header.upstreams.get_key_value(upstream) else { continue };
                let before = draining.insert(name, *drains).unwrap_or(false);
                let Some(state) = zones.get_mut(known.zone.as_str()) else { continue };
                if before != *drains {
                    state.whole += if *drains { -known.room_per_s } else { known.room_per_s };
                    state.steps.push((at, state.whole.max(0.0) * state.share.max(0.0)));
                }
                moments.push(at);
            }
            _ => {}
        }
    }
    let room = zones.into_iter().map(|(name, zone)| (name, zone.steps)).collect();
    Places { ill: ill.close(), unwhole: unwhole.close(), room, moments }
}
