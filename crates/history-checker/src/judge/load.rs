//! Load: what other zones send into one does not bring it over its room.

use super::facts::Facts;
use super::spans::Spans;
use super::tally::{Tally, tally};
use super::{Breach, Finding};
use crate::file::History;

/// How many windows back a surge of demand is measured against, at the most.
const BACK_MOST: u64 = 64;

/// Judged are windows in which a zone has guests, when nothing has changed for the time to settle: neither a place nor demand.
pub(super) fn judge(history: &History) -> Finding {
    let facts = Facts::of(history);
    let (bounds, width) = (&history.header.bounds, facts.window());
    let mut finding = Finding::default();
    let tally = tally(&facts);
    let unsettled = facts.changing.or(&surges(&facts, &tally));
    for (zone, cells) in &tally {
        for (window, cell) in cells.iter().filter(|(_, cell)| !cell.guests.is_empty()) {
            let at = window * width;
            let end = at.saturating_add(width);
            let room = facts.room_at(zone, at) * width as f64 / 1e6;
            if room <= 0.0 || unsettled.meets(at, end) {
                continue;
            }
            finding.judged += 1;
            let most = bounds.load_most * room;
            let (own, guests) = (cell.own.len(), cell.guests.len());
            // One more: a window's edge may lie between two.
            if (own + guests) as f64 <= most + 1.0 || own as f64 > most {
                continue;
            }
            let what =
                format!("{zone} has room for {room:.0} and bears {own} of its own and {guests} of others");
            let mut records = cell.own.clone();
            records.extend(&cell.guests);
            records.sort_unstable();
            finding.breaches.push(Breach { rule: "load", at_us: at, until_us: end, what, records });
        }
    }
    finding.breaches.sort_by_key(|breach| breach.at_us);
    finding
}

/// When demand of some zone rose by much, with the time to settle after it.
fn surges(facts: &Facts<'_>, tally: &Tally<'_>) -> Spans {
    let (width, settle) = (facts.window(), facts.history.header.bounds.settle_us);
    let back = (settle / width).clamp(1, BACK_MOST);
    let mut spans = Vec::new();
    // What was before the first record is not known, and no demand that rose.
    let first = facts.start / width;
    for (zone, cells) in tally {
        let room = facts.nominal(zone) * width as f64 / 1e6;
        for (window, cell) in cells {
            let at = window * width;
            let before = window.saturating_sub(back).max(first).min(*window)..*window;
            let known = cells.range(before.clone());
            let all = known.clone().count() as u64 == before.end - before.start;
            let least = known.map(|(_, cell)| cell.sent).min().filter(|_| all).unwrap_or(0);
            // Less than three deviations of a count and a fifth of the room are chance.
            if cell.sent.saturating_sub(least) as f64 > 0.2 * room + 3.0 * room.sqrt() {
                spans.push((at, at.saturating_add(width).saturating_add(settle)));
            }
        }
    }
    Spans::of(spans)
}
