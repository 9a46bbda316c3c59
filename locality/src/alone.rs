//! What a balancer does of itself: shares by its own evidence, where nothing is agreed on or it has lost touch.
//!
//! It needs three things: what is asked of it by the rule (`demand`), what it may put into each zone (`rooms`, in the same unit:
//! requests a second, or weights), and which steps of the ladder are open ([`Keeper`]). Rooms are what *this* balancer may use: of its
//! own zone what is usable there now, of another zone its part of what was agreed as spare, so that all who are cut off together
//! don't fill a zone twice. A room that is no number, or less than nothing, is none.
//!
//! 1. Open steps are filled in their order, each zone up to `spill.over` of its room, so that each keeps a reserve.
//! 2. What is left takes the reserves, in the same order: nobody is refused while an open step has room.
//! 3. What is left then is for steps that are not open yet, and refused here meanwhile; or, if the keeper has found that no step
//!    is left and the rule says `when lost anywhere`, goes to whatever zone has room that `never` does not forbid.
//!
//! In all of these, zones of one step share by their rooms, zones outside the region take no more than `beyond_region_most` of the
//! demand, and zones of the first step no more than [`Keeper::given`] of their rooms. What is missing to one is to be refused.

use crate::rules::{Rule, WhenLost};
use crate::state::Keeper;
use crate::topology::{Topology, Zone};

/// Shares of a rule's demand by zone, in the order of zones; none twice, none that is nothing, one at the most in all.
pub fn shares(
    rule: &Rule,
    topology: &Topology,
    from: Zone,
    keeper: &Keeper,
    demand: f64,
    rooms: &[f64],
) -> Vec<(Zone, f64)> {
    let known_zones = topology.zones().count();
    let mut ladder = rule.ladder(topology, from);
    ladder.iter_mut().for_each(|step| step.retain(|zone| usize::from(zone.0) < known_zones));
    let mut rooms: Vec<f64> = rooms.iter().map(|room| known(*room)).collect();
    rooms.resize(known_zones, 0.0);
    for zone in ladder.first().into_iter().flatten() {
        rooms[usize::from(zone.0)] *= keeper.given();
    }
    // Where next to nothing is asked, shares are still to be had of it.
    let total: f64 = rooms.iter().sum();
    let demand = known(demand).max(total * 1e-9);
    if demand <= 0.0 {
        return Vec::new();
    }
    let outside: Vec<bool> =
        topology.zones().map(|zone| topology.region_of(zone) != topology.region_of(from)).collect();
    let mut filling = Filling {
        amounts: vec![0.0; rooms.len()],
        left: demand,
        left_outside: known(rule.beyond_region_most).min(1.0) * demand,
        rooms,
        outside,
    };
    let open = &ladder[..keeper.open().max(1).min(ladder.len())];
    for part in [rule.spill.over, 1.0] {
        open.iter().for_each(|step| filling.fill(step, part));
    }
    if rule.when_lost == WhenLost::Anywhere && (ladder.is_empty() || keeper.no_step_left()) {
        let allowed = |zone: &Zone| rule.never.binary_search(zone).is_err();
        let anywhere: Vec<Zone> = topology.zones().filter(allowed).collect();
        filling.fill(&anywhere, 1.0);
    }
    let shares = topology.zones().zip(filling.amounts.iter().map(|amount| amount / demand));
    shares.filter(|(_, share)| *share > 0.0).collect()
}

/// A finite figure that is not under zero; nothing for what is none.
fn known(figure: f64) -> f64 {
    if figure.is_nan() { 0.0 } else { figure.clamp(0.0, 1e12) }
}

struct Filling {
    rooms: Vec<f64>,
    outside: Vec<bool>,
    amounts: Vec<f64>,
    left: f64,
    left_outside: f64,
}

impl Filling {
    /// Fills zones up to a part of their rooms, each by what it still can take.
    fn fill(&mut self, zones: &[Zone], part: f64) {
        let takes = |zone: &Zone| {
            let n = usize::from(zone.0);
            (n, (self.rooms[n] * part - self.amounts[n]).max(0.0))
        };
        let takes: Vec<(usize, f64)> = zones.iter().map(takes).collect();
        let sum = |outside: bool| -> f64 {
            takes.iter().filter(|(n, _)| self.outside[*n] == outside).map(|(_, takes)| takes).sum()
        };
        let (inside, outside) = (sum(false), sum(true));
        let may_out = outside.min(self.left_outside);
        let all = inside + may_out;
        let goes = all.min(self.left);
        if goes <= 0.0 {
            return;
        }
        for (n, takes) in takes {
            let scale = if !self.outside[n] {
                goes / all
            } else if outside > 0.0 {
                goes / all * (may_out / outside)
            } else {
                0.0
            };
            self.amounts[n] += takes * scale;
        }
        self.left = (self.left - goes).max(0.0);
        self.left_outside = (self.left_outside - goes * (may_out / all)).max(0.0);
    }
}
