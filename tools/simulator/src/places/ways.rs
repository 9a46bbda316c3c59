//! The ways that the common plan is held against: each alone, the textbook's, and one that knows all.

use super::fleet::Eyes;
use super::ground::Ground;
use maplehook_failover::assignment::{self, AvailableCapacity};
use maplehook_failover::priorities::{PriorityLists, zone_bit};
use maplehook_locality::{Rules, Zone};

/// How balancers decide.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Mode {
    /// The plan that is agreed on.
    Common,
    /// Near first, and own evidence within a cautious part: what a balancer does that was told nothing.
    Alone,
    /// Fixed priorities and a fixed threshold, by what each sees itself.
    Textbook,
    /// A planner that knows the truth, with shares in force at once.
    AllKnowing,
}

impl Mode {
    /// All of them.
    pub const ALL: [Self; 4] = [Self::Common, Self::Alone, Self::Textbook, Self::AllKnowing];

    /// Its word.
    pub fn word(self) -> &'static str {
        match self {
            Self::Common => "in common",
            Self::Alone => "each alone",
            Self::Textbook => "textbook",
            Self::AllKnowing => "all-knowing",
        }
    }
}

/// Times its health that a level counts, so that little illness moves nothing: Envoy's overprovisioning factor.
const OVERPROVISIONED: f64 = 1.4;

/// Priorities by distance, as widely documented (Envoy, "Priority levels"): own zone, own region, all; a level takes its healthy
/// share times 1.4 of what the levels before leave, and no level knows how full it is.
pub fn textbook(ground: &Ground, eyes: &Eyes, own: usize) -> Vec<(usize, f64)> {
    let topology = &ground.topology;
    let region = |zone: usize| topology.region_of(Zone(zone as u16));
    let count = ground.zones.len();
    let levels: [Vec<usize>; 3] = [
        vec![own],
        (0..count).filter(|zone| *zone != own && region(*zone) == region(own)).collect(),
        (0..count).filter(|zone| region(*zone) != region(own)).collect(),
    ];
    let well = |zone: usize| ground.zones[zone].room * eyes.health(zone);
    let health = |level: &Vec<usize>| {
        let listed: f64 = level.iter().map(|zone| ground.zones[*zone].room).sum();
        let sum: f64 = level.iter().map(|zone| well(*zone)).sum();
        if listed > 0.0 { (OVERPROVISIONED * sum / listed).min(1.0) } else { 0.0 }
    };
    let all: Vec<f64> = levels.iter().map(health).collect();
    let total = all.iter().sum::<f64>().min(1.0);
    if total <= 0.0 {
        return vec![(own, 1.0)];
    }
    let (mut left, mut shares) = (1.0, Vec::new());
    for (level, health) in levels.iter().zip(&all) {
        let takes = (health / total).min(left);
        left -= takes;
        let sum: f64 = level.iter().map(|zone| well(*zone)).sum();
        let part = |zone: &usize| (*zone, takes * well(*zone) / sum.max(1e-9));
        shares.extend(level.iter().map(part).filter(|(_, share)| *share > 0.0));
    }
    shares
}

/// Shares by zone of whoever knows all.
pub struct AllKnowing {
    ladders: PriorityLists,
}

impl AllKnowing {
    /// By these rules.
    pub fn new(ground: &Ground, rules: &Rules) -> Self {
        Self { ladders: PriorityLists::new(&ground.topology, rules) }
    }

    /// By the truth as it is.
    pub fn shares(&self, ground: &Ground) -> Vec<Vec<(usize, f64)>> {
        let count = ground.zones.len();
        let ill = |zone: usize| ground.zones[zone].failing > 0.3 || ground.zones[zone].slow > 0.3;
        let of = |is_ill: bool| -> Vec<f64> {
            let bears = |zone: usize| if ill(zone) == is_ill { ground.zones[zone].bears() } else { 0.0 };
            (0..count).map(bears).collect()
        };
        let (room, last) = (of(false), of(true));
        let set = |from: usize| {
            let to = (0..count).filter(|to| ground.reach[from][*to]);
            to.fold(0, |all, to| all | zone_bit(Zone(to as u16)))
        };
        let reach: Vec<u64> = (0..count).map(set).collect();
        let (each, _) = ground.demand();
        let posts = ground.posts.iter().filter(|post| post.serves());
        let demand = posts.map(|post| ((0, Zone(post.zone as u16)), each[post.zone]));
        let rooms = AvailableCapacity { capacity: &room, fallback: &last, reach: &reach };
        let (flows, asked) = assignment::assign(&self.ladders, rooms, false, demand);
        let shares = |zone: usize| match self.ladders.list_index(0, Zone(zone as u16)) {
            Some(n) if asked[n] > 0.0 => flows.to[n].iter().map(|(z, sent)| (z, sent / asked[n])).collect(),
            _ => vec![(zone, 1.0)],
        };
        (0..count).map(shares).collect()
    }
}
