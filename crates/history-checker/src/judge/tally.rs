//! Requests and attempts by zone and window.

use super::facts::Facts;
use crate::record::What;
use std::collections::BTreeMap;

/// What a zone had in a window. Attempts are the records that say that they ran.
#[derive(Debug, Default)]
pub(super) struct Cell {
    /// Requests that came into it.
    pub sent: u64,
    /// Its own attempts that ran in it.
    pub own: Vec<usize>,
    /// Those of other zones.
    pub guests: Vec<usize>,
    /// Its own attempts that ran elsewhere.
    pub left: Vec<usize>,
}

/// By zone, then by window: the time over the window's width.
pub(super) type Tally<'h> = BTreeMap<&'h str, BTreeMap<u64, Cell>>;

pub(super) fn tally<'h>(facts: &Facts<'h>) -> Tally<'h> {
    let mut tally: Tally<'h> = BTreeMap::new();
    let width = facts.window();
    let mut cell = |zone: &'h str, at: u64, put: &dyn Fn(&mut Cell)| {
        put(tally.entry(zone).or_default().entry(at / width).or_default());
    };
    for (n, record) in facts.history.records.iter().enumerate() {
        let at = record.at_us;
        match &record.what {
            What::Sent { to, .. } => {
                let Some(zone) = facts.zone_of(to) else { continue };
                cell(zone, at, &|cell| cell.sent += 1);
            }
            What::Ran { through, .. } => {
                let (Some(from), Some(zone)) = (facts.zone_of(through), facts.place_of(&record.by)) else {
                    continue;
                };
                if from == zone {
                    cell(zone, at, &|cell| cell.own.push(n));
                } else {
                    cell(zone, at, &|cell| cell.guests.push(n));
                    cell(from, at, &|cell| cell.left.push(n));
                }
            }
            _ => {}
        }
    }
    tally
}
