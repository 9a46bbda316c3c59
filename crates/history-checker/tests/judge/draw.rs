//! Draws whole clean runs: 8 balancers in 4 zones of 2 regions, places that are lost one after the other, plans that answer, two
//! addresses, a balancer that is killed and one that is stopped, a drain.

use fastrand::Rng;
use maplehook_history_checker::file::{History, merge};
use maplehook_history_checker::record::{
    ActedRow, Address, Bounds, Header, Outcome, Record, SCHEMA, Upstream, What,
};
use std::collections::BTreeMap;

pub const MS: u64 = 1_000;
pub const S: u64 = 1_000_000;
/// When each run begins, on the Unix clock.
pub const BEGIN: u64 = 1_764_600_000 * S;
pub const ZONES: [&str; 4] = ["a", "b", "c", "d"];
/// Requests a second that each upstream takes; two a zone.
pub const ROOM: f64 = 25.0;
/// How long a balancer's answer on an address is good for.
pub const GOOD: u64 = 2 * S;

/// The header of all that is drawn or planted.
pub fn header() -> Header {
    let regions = [("north", ["a", "b"]), ("south", ["c", "d"])];
    let regions = regions.map(|(name, zones)| (name.to_owned(), zones.map(str::to_owned).to_vec()));
    let of = |kind: &str, zone: &str| [1, 2].map(|n| format!("{kind}-{zone}{n}"));
    let balancers = ZONES.iter().flat_map(|zone| of("b", zone).map(|name| (name, (*zone).to_owned())));
    let upstream = |zone: &str| Upstream { zone: zone.to_owned(), room_per_s: ROOM };
    let upstreams = ZONES.iter().flat_map(|zone| of("u", zone).map(|name| (name, upstream(zone))));
    let address = |one| Address {
        one,
        sites: vec!["north".into(), "south".into()],
        withdrawn_within_us: 6 * S,
        gap_us: 4 * S,
        keep_at_least: 1,
    };
    Header {
        schema: SCHEMA,
        program: "drawn".into(),
        regions: regions.into(),
        balancers: balancers.collect(),
        upstreams: upstreams.collect(),
        addresses: [("web".to_owned(), address(false)), ("desk".to_owned(), address(true))].into(),
        contradiction_us: 2 * S,
        bounds: Bounds { settle_us: 3 * S, ..Bounds::default() },
        ..Header::default()
    }
}

/// A record, `at` after the beginning.
pub fn rec(at: u64, by: &str, what: What) -> Record {
    Record { at_us: BEGIN + at, by: by.to_owned(), what }
}

/// Rows of one rule: who sends what where, in parts of 10,000.
pub fn rows(rows: &[(&str, &[(&str, u16)])]) -> Vec<ActedRow> {
    let row = |(from, to): &(&str, &[(&str, u16)])| ActedRow {
        rule: "default".into(),
        from: (*from).into(),
        to: to.iter().map(|(zone, parts)| ((*zone).to_owned(), *parts)).collect(),
    };
    rows.iter().map(row).collect()
}

pub fn agreed(epoch: u64) -> What {
    What::Agreed { epoch, digest: format!("plan {epoch}") }
}

pub fn acts(epoch: u64, rows: Vec<ActedRow>) -> What {
    What::Acts { epoch, rows, in_common: true }
}

pub fn health(zone: &str, share: f64) -> What {
    What::Health { zone: zone.into(), share, from: None }
}

pub fn did(act: &str, to: &str) -> What {
    What::Did { act: act.into(), to: to.into() }
}

pub fn sent(id: u64, to: &str, once: bool) -> What {
    What::Sent { id, to: to.into(), class: "browse".into(), once }
}

pub fn ran(id: u64, through: &str) -> What {
    What::Ran { id, through: through.into() }
}

pub fn ended(id: u64, outcome: Outcome) -> What {
    What::Ended { id, outcome }
}

pub fn announces(address: &str, site: &str, until: u64) -> What {
    What::Announces { address: address.into(), site: site.into(), preference: 100, until_us: BEGIN + until }
}

pub fn withdraws(address: &str, site: &str) -> What {
    What::Withdraws { address: address.into(), site: site.into(), why: "nothing left".into() }
}

/// A history of these records.
pub fn history(records: Vec<Record>) -> History {
    merge(header(), [records]).unwrap()
}

/// What a run was drawn to be.
pub struct Run {
    pub history: History,
    /// Whether whole regions are lost, not zones.
    pub regions: bool,
    /// When the first place is lost and when it is back, when the second is lost and back, and when all ends; after the beginning.
    pub times: [u64; 5],
    /// Zones of the first place; those of the second stand in the same order.
    pub first: Vec<&'static str>,
    pub second: Vec<&'static str>,
    /// What drains, and from when until when.
    pub drain: (String, u64, u64),
}

struct Draw {
    rng: Rng,
    records: Vec<Record>,
    times: [u64; 5],
    lost: [Vec<&'static str>; 2],
    drain: (String, u64, u64),
    /// Who is killed or stopped, from when until when, and whether it is killed.
    away: Vec<(String, u64, u64, bool)>,
}

/// A clean run.
pub fn run(seed: u64) -> Run {
    let mut rng = Rng::with_seed(seed);
    let regions = rng.bool();
    let mut lost = if regions { [vec!["a", "b"], vec!["c", "d"]] } else { [vec!["c"], vec!["d"]] };
    if rng.bool() {
        lost.reverse();
    }
    let begin = rng.u64(9 * S..10 * S);
    let second = begin + rng.u64(16 * S..18 * S);
    let times = [begin, begin + 9 * S, second, second + 9 * S, second + 15 * S];
    // What drains and who is away is in a zone that is not lost while that lasts, nor beside it.
    let drain = (format!("u-{}{}", ZONES[rng.usize(..4)], rng.u8(1..3)), begin + 13 * S, second - 500 * MS);
    let (killed, stopped) = (rng.u64(1_200 * MS..1_500 * MS), second + 12 * S);
    let zone = || ZONES[Rng::with_seed(seed ^ 7).usize(..4)];
    let away = vec![
        (format!("b-{}1", zone()), killed, killed + S, true),
        (format!("b-{}2", zone()), stopped, stopped + S, false),
    ];
    let mut draw = Draw { rng, records: Vec::new(), times, lost, drain, away };
    draw.places();
    draw.plans();
    draw.addresses(regions);
    draw.requests();
    let Draw { records, lost: [first, second], drain, .. } = draw;
    let mut history = history(records);
    history.header.seed = seed;
    Run { history, regions, times, first, second, drain }
}

impl Draw {
    fn put(&mut self, at: u64, by: &str, what: What) {
        self.records.push(rec(at, by, what));
    }

    /// Where requests of a zone go at a time: it lags behind the truth by about a second.
    fn target(&self, zone: &'static str, at: u64) -> &'static str {
        let [lost, back, lost_too, back_too, _] = self.times;
        let [first, second] = &self.lost;
        for (own, other, from, until) in [(first, second, lost, back), (second, first, lost_too, back_too)] {
            if (from + 1200 * MS..until + 1500 * MS).contains(&at)
                && let Some(n) = own.iter().position(|name| *name == zone)
            {
                return other[n];
            }
        }
        zone
    }

    fn away_at(&self, balancer: &str, at: u64) -> bool {
        self.away.iter().any(|(name, from, until, _)| name == balancer && (*from..*until).contains(&at))
    }

    fn places(&mut self) {
        let [lost, back, lost_too, back_too, end] = self.times;
        let [first, second] = self.lost.clone();
        for (zones, from, until) in [(first, lost, back), (second, lost_too, back_too)] {
            for zone in zones {
                self.put(from, "rig", health(zone, 0.0));
                self.put(until, "rig", health(zone, 1.0));
            }
        }
        for (balancer, from, until, killed) in self.away.clone() {
            let acts = if killed { ["kill", "start"] } else { ["stop", "wake"] };
            self.put(from, "rig", did(acts[0], &balancer));
            self.put(until, "rig", did(acts[1], &balancer));
        }
        let (upstream, from, until) = self.drain.clone();
        for (at, drains) in [(from, true), (until, false)] {
            self.put(at, "rig", What::Drains { upstream: upstream.clone(), drains });
        }
        self.put(end, "rig", did("end", "run"));
    }

    fn plans(&mut self) {
        let [lost, back, lost_too, back_too, _] = self.times;
        let [first, second] = self.lost.clone();
        let near = BTreeMap::new();
        let all = |own: &[&'static str], other: &[&'static str], parts: u16| -> BTreeMap<&str, (&str, u16)> {
            own.iter().zip(other).map(|(own, other)| (*own, (*other, parts))).collect()
        };
        let plans = [
            (500 * MS, near.clone()),
            (lost + 1000 * MS, all(&first, &second, 10_000)),
            (back + 1000 * MS, all(&first, &second, 5_000)),
            (back + 1800 * MS, near.clone()),
            (lost_too + 1000 * MS, all(&second, &first, 10_000)),
            (back_too + 1000 * MS, all(&second, &first, 5_000)),
            (back_too + 1800 * MS, near),
        ];
        let balancers: Vec<String> = header().balancers.into_keys().collect();
        for (epoch, (at, moved)) in (1..).zip(plans) {
            let row = |zone: &'static str| match moved.get(zone) {
                None => {
                    ActedRow { rule: "default".into(), from: zone.into(), to: [(zone.into(), 10_000)].into() }
                }
                Some((other, parts)) => {
                    let to = [(zone.into(), 10_000 - parts), ((*other).into(), *parts)].into();
                    ActedRow { rule: "default".into(), from: zone.into(), to }
                }
            };
            let rows: Vec<ActedRow> = ZONES.map(row).into();
            self.put(at, "b-a1", agreed(epoch));
            for balancer in &balancers {
                let mut at = at + self.rng.u64(20 * MS..500 * MS);
                if let Some((.., until, _)) = self
                    .away
                    .iter()
                    .find(|(name, from, until, _)| name == balancer && (*from..*until).contains(&at))
                {
                    at = until + 50 * MS;
                }
                self.put(at, balancer, acts(epoch, rows.clone()));
            }
        }
        for (balancer, _, until, killed) in self.away.clone() {
            if killed {
                let rows = ZONES.map(|zone| ActedRow {
                    rule: "default".into(),
                    from: zone.into(),
                    to: [(zone.into(), 10_000)].into(),
                });
                self.put(until + 300 * MS, &balancer, acts(1, rows.into()));
            }
        }
    }

    fn addresses(&mut self, regions: bool) {
        let [lost, back, lost_too, back_too, end] = self.times;
        let region = |zone: &str| if matches!(zone, "a" | "b") { "north" } else { "south" };
        let home = region(self.lost[0][0]);
        for (balancer, zone) in header().balancers {
            let site = region(&zone);
            let mut at = self.rng.u64(100 * MS..600 * MS);
            let (mut told, mut held) = (false, false);
            while at < end {
                let gone = |from: u64, until: u64| (from + 2 * S..until + S).contains(&at);
                let gone = regions && if site == home { gone(lost, back) } else { gone(lost_too, back_too) };
                if !self.away_at(&balancer, at) {
                    if !gone {
                        self.put(at, &balancer, announces("web", site, at + GOOD));
                    } else if told {
                        self.put(at, &balancer, withdraws("web", site));
                    }
                    told = !gone;
                    // The address of one site is at home until that is lost, then at the other site until the end of its own loss.
                    let holds = if site == home {
                        at < lost + S || at > lost_too + S + GOOD + 100 * MS
                    } else {
                        (lost + S + GOOD + 100 * MS..lost_too + S).contains(&at)
                    };
                    if holds {
                        self.put(at, &balancer, announces("desk", site, at + GOOD));
                    } else if held {
                        self.put(at, &balancer, withdraws("desk", site));
                    }
                    held = holds;
                }
                at += self.rng.u64(450 * MS..550 * MS);
            }
        }
    }

    fn requests(&mut self) {
        let end = self.times[4];
        let mut id = 0;
        for zone in ZONES {
            let gap = S / self.rng.u64(15..20);
            let mut at = self.rng.u64(100 * MS..200 * MS);
            while at < end - 100 * MS {
                id += 1;
                let two = [1, 2].map(|n| format!("b-{zone}{n}"));
                let here: Vec<&String> = two.iter().filter(|name| !self.away_at(name, at)).collect();
                let to = here[self.rng.usize(..here.len())].clone();
                self.request(id, zone, &to, at);
                at += self.rng.u64(gap * 7 / 10..gap * 13 / 10);
            }
        }
    }

    fn request(&mut self, id: u64, zone: &'static str, to: &str, at: u64) {
        let once = self.rng.u8(..10) == 0;
        self.put(at, "client", sent(id, to, once));
        let place = self.target(zone, at);
        let begun = at + self.rng.u64(MS..4 * MS);
        let mut done = begun + self.rng.u64(2 * MS..40 * MS);
        let mut outcome = if self.rng.u8(..50) == 0 { Outcome::Refused } else { Outcome::Ok };
        if let Some((_, from, until, killed)) =
            self.away.iter().find(|(name, from, ..)| name == to && (at..done).contains(from))
        {
            (done, outcome) =
                if *killed { (from + 5 * MS, Outcome::Lost) } else { (until + 5 * MS, Outcome::Ok) };
        }
        if outcome != Outcome::Refused {
            let (drained, from, until) = &self.drain;
            let mut upstream = format!("u-{place}{}", self.rng.u8(1..3));
            if upstream == *drained && (from + S..*until).contains(&begun) {
                upstream = format!("u-{place}{}", if upstream.ends_with('1') { 2 } else { 1 });
            }
            self.put(begun, &upstream, ran(id, to));
        }
        self.put(done, "client", ended(id, outcome));
    }
}
