//! What a balancer sees of each zone and each group of requests: counters and sums, no decisions.

use crate::interface::{Outcome, ZoneId};
use crate::state::{Balancer, Upstream, climb};
use std::time::Duration;

/// Seconds over which a zone's load is averaged where answers are few, and weight of one where not.
const LOAD_OVER: f64 = 3.0;
const LOAD_NEWEST: f64 = 0.02;
/// Seconds after which what was last heard of a zone's load is half forgotten.
const LOAD_KEPT: f64 = 5.0;

/// A zone as one balancer sees it. Counters go on from its start.
#[derive(Clone, Debug, PartialEq)]
pub struct ZoneSight {
    /// Which.
    pub zone: ZoneId,
    /// Weight of the upstreams listed as ready.
    pub listed: f64,
    /// Of that, what can be used now: not ejected, as far as it has climbed from cold.
    pub usable: f64,
    /// What is missing of it because upstreams are cold.
    pub cold: f64,
    /// Attempts out there now.
    pub held: u64,
    /// Attempts sent.
    pub sent: u64,
    /// Answered within the aim.
    pub ok: u64,
    /// Answered later, or given up while the upstream answered others.
    pub slow: u64,
    /// Out for longer than is usual, whatever became of them; and those of `slow` that were not. Counted at once: what hangs would
    /// be seen a whole deadline later else.
    pub lagged: u64,
    /// Errors, and turned away.
    pub failed: u64,
    /// No connection, a broken one, or nothing heard from the upstream since.
    pub unreached: u64,
    /// What is held against what can be held in good time: latency over the longest that leaves room. 0 if nothing
    /// was sent of late.
    pub load: f64,
}

/// A group of requests as one balancer sees it. Counters go on from the moment when the group came to be.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GroupSight {
    /// Requests that have come.
    pub asked: u64,
    /// Of these, refused on arrival.
    pub refused: u64,
}

#[derive(Clone, Copy, Default)]
struct Counts {
    sent: u64,
    ok: u64,
    slow: u64,
    lagged: u64,
    failed: u64,
    unreached: u64,
    load: f64,
    load_at: f64,
}

impl Counts {
    /// What nothing new is heard of fades.
    fn load(&self, now: f64) -> f64 {
        self.load * (-(now - self.load_at).max(0.0) / LOAD_KEPT).exp2()
    }
}

impl Counts {
    /// One that was overdue lags already.
    fn slow_one(&mut self, e: &Ended) {
        self.slow += 1;
        self.lagged += u64::from(!e.overdue);
    }
}

/// How an attempt ended, as it is counted.
pub(crate) struct Ended {
    pub(crate) outcome: Outcome,
    pub(crate) latency: f64,
    pub(crate) aim: f64,
    pub(crate) target: f64, // the longest mean latency that leaves room
    pub(crate) overdue: bool,
    pub(crate) lost: bool,
}

/// The counters.
#[derive(Default)]
pub(crate) struct Sight {
    zones: Vec<Counts>, // as far as the last zone that something was sent to
    groups: Vec<GroupSight>,
}

impl Sight {
    /// There are so many groups from now on.
    pub(crate) fn groups(&mut self, n: usize) {
        self.groups.resize(n, GroupSight::default());
    }

    /// A request of a group has come.
    pub(crate) fn asked(&mut self, group: usize, refused: bool) {
        if let Some(g) = self.groups.get_mut(group) {
            g.asked += 1;
            g.refused += u64::from(refused);
        }
    }

    /// An attempt goes to a zone.
    pub(crate) fn sent(&mut self, zone: ZoneId) {
        let at = usize::from(zone.0);
        if at >= self.zones.len() {
            self.zones.resize(at + 1, Counts::default());
        }
        self.zones[at].sent += 1;
    }

    /// The highest load of the zones that are reached.
    pub(crate) fn fullest(&self, now: f64, reach: &[f64; 256]) -> f64 {
        let reached = self.zones.iter().zip(reach).filter(|(_, reach)| **reach > 0.0);
        reached.map(|(z, _)| z.load(now)).fold(0.0, f64::max)
    }

    /// An attempt is out for longer than is usual.
    pub(crate) fn overdue(&mut self, zone: ZoneId) {
        if let Some(z) = self.zones.get_mut(usize::from(zone.0)) {
            z.lagged += 1;
        }
    }

    /// An attempt has ended at an upstream, of which nothing newer than that is known.
    pub(crate) fn ended(&mut self, u: &Upstream, now: f64, e: &Ended) {
        let Some(z) = self.zones.get_mut(usize::from(u.zone.0)) else { return };
        match e.outcome {
            Outcome::Ok if e.latency <= e.aim => z.ok += 1,
            Outcome::Ok => z.slow_one(e),
            Outcome::Error | Outcome::Rejected | Outcome::Overloaded => z.failed += 1,
            Outcome::ConnectFailed | Outcome::Reset => z.unreached += 1,
            // Called back before its time, or never sent: says nothing.
            Outcome::Cancelled if !e.overdue => {}
            Outcome::NotSent => {}
            Outcome::TimedOut | Outcome::Cancelled if e.lost || u.alive_at < now - e.latency => {
                z.unreached += 1
            }
            Outcome::TimedOut | Outcome::Cancelled => z.slow_one(e),
        }
        let queued = matches!(e.outcome, Outcome::Ok) || (e.outcome == Outcome::TimedOut && !e.lost);
        if queued {
            let newest = ((now - z.load_at) / LOAD_OVER).clamp(LOAD_NEWEST, 0.2);
            z.load_at = now;
            z.load += newest * ((e.latency / e.target.max(1e-6)).min(10.0) - z.load);
        }
    }
}

impl Balancer {
    /// Each zone of which an upstream is listed, or to which anything was sent, in order. One look over the fleet:
    /// for a periodic report, not for each request.
    pub fn sights(&self, now: Duration) -> Vec<ZoneSight> {
        let at = now.as_secs_f64().max(self.at);
        let mut slots = [const { None }; 256];
        for (n, c) in self.sight.zones.iter().enumerate().filter(|(_, c)| c.sent > 0) {
            slots[n] = Some(zone_sight(ZoneId(n as u8), c, at));
        }
        let shares: f64 = self.classes.iter().map(|l| l.share).sum();
        for u in &self.ring {
            let slot = &mut slots[usize::from(u.zone.0)];
            let sight = slot.get_or_insert_with(|| zone_sight(u.zone, &Counts::default(), at));
            sight.held += u64::from(u.in_flight);
            if !u.ready {
                continue;
            }
            sight.listed += u.size;
            if u.ejected_until > at {
                continue;
            }
            // Ejected for a class, it is of use to the others.
            let ill = u.health.iter().zip(&self.classes).filter(|(h, _)| h.ejected);
            let well = 1.0 - ill.map(|(_, l)| l.share).sum::<f64>() / shares.max(1e-9);
            let climb = climb(&self.set, at, u);
            sight.usable += u.size * climb * well.max(0.0);
            sight.cold += u.size * (1.0 - climb);
        }
        slots.into_iter().flatten().collect()
    }

    /// Each group of the shares in force, by position.
    pub fn group_sights(&self) -> &[GroupSight] {
        &self.sight.groups
    }
}

fn zone_sight(zone: ZoneId, c: &Counts, at: f64) -> ZoneSight {
    let Counts { sent, ok, slow, lagged, failed, unreached, .. } = *c;
    let load = c.load(at);
    ZoneSight {
        zone,
        listed: 0.0,
        usable: 0.0,
        cold: 0.0,
        held: 0,
        sent,
        ok,
        slow,
        lagged,
        failed,
        unreached,
        load,
    }
}
