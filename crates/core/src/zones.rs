//! Which zone a request goes to, where shares stand: the module is told how much of each group goes where,
//! and only draws by it. Without shares there is one ring of turns over all zones.

use crate::interface::*;
use crate::shares::Tables;
use crate::state::{Balancer, Request, Upstream};

impl Balancer {
    /// Other shares, or none. What can't be acted on changes nothing.
    pub(crate) fn share(&mut self, shares: Option<&Shares>) {
        if shares.map_or(self.tables.is_none(), |s| s.check().is_err()) {
            return;
        }
        let before = self.tables.take();
        self.sight.groups(shares.map_or(0, |s| s.rows.len()));
        self.tables = shares.map(|s| Box::new(Tables::new(s, self.set.zone, before.as_deref())));
        let was = self.sums.weights;
        match (&before, &mut self.tables) {
            // The same zones: turns go on where they are.
            (Some(a), Some(b)) if (0..=255).map(ZoneId).all(|z| a.reaches(z) == b.reaches(z)) => {
                b.ring_of = a.ring_of;
                self.weigh(true);
            }
            _ => self.choose_subset(),
        }
        // What was completed in zones that are no longer reached says nothing of those that are: else W would
        // promise there what the others did.
        self.rate_now *= (self.sums.weights / was.max(1e-9)).min(1.0);
    }

    /// The turn of a request that has a token.
    pub(crate) fn turn(&mut self, class: usize, tenant: usize) -> Option<usize> {
        let Some(mut tables) = self.tables.take() else { return self.next_turn(class, 0) };
        let turn = self.draw(&mut tables, class, tenant);
        self.tables = Some(tables);
        turn
    }

    /// Smooth weighted round robin over the ways of the group: who is owed most goes first. A zone that has
    /// no turn to give, or may not be gone to, passes what it is owed to the other zones.
    fn draw(&mut self, tables: &mut Tables, class: usize, tenant: usize) -> Option<usize> {
        let row = tables.row(class, tenant);
        let row = &mut tables.rows[row];
        row.count();
        let mut tried = 0u128;
        loop {
            let open = row.lanes.iter().enumerate().filter(|(k, _)| tried >> k & 1 == 0);
            let k = open.max_by(|a, b| a.1.credit.total_cmp(&b.1.credit))?.0;
            let lane = &mut row.lanes[k];
            let Some(zone) = lane.zone else {
                lane.credit -= 1.0;
                return None;
            };
            if row.near.has(zone) || row.beyond >= 1.0 {
                let ring = usize::from(tables.ring_of[usize::from(zone.0)]);
                if let Some(turn) = self.next_turn(class, ring) {
                    lane.credit -= 1.0;
                    return Some(turn);
                }
            }
            tried |= 1 << k;
            if !row.pass_on(k, tried) {
                return None;
            }
        }
    }

    /// How far an upstream is from here for a further attempt of a request; `None`: it may not go there.
    pub(crate) fn distance(&self, r: &Request, u: &Upstream) -> Option<u8> {
        let other = u8::from(u.zone != self.set.zone);
        let Some(tables) = &self.tables else { return Some(other) };
        let row = &tables.rows[tables.row(r.class, r.tenant)];
        let near = row.near.has(u.zone);
        let may = row.allowed.has(u.zone) && (near || row.beyond >= 1.0 || row.has_left(r));
        may.then_some(other + 4 * u8::from(!near))
    }
}
