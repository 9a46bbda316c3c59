//! Nearness: where a zone is well and has room, what comes into it is served in it.

use super::facts::Facts;
use super::tally::{Cell, tally};
use super::{Breach, Finding};
use crate::file::History;

/// Windows that are counted together.
#[derive(Default)]
struct Chunk {
    from: u64,
    until: u64,
    attempts: Vec<usize>,
    far: usize,
}

/// Whether a zone's requests may leave it, with the hysteresis of its rules.
#[derive(Default)]
struct Busy {
    busy: bool,
    low_since: Option<u64>,
}

impl Busy {
    /// A balancer's own second lies across two windows: the load is taken for more by two deviations of a count.
    fn see(&mut self, at: u64, settle: u64, load: f64, room: f64, over: f64, back: f64) {
        let high = load + 2.0 * load.sqrt();
        if high >= over * room {
            (self.busy, self.low_since) = (true, None);
        } else if self.busy && high < back * room {
            let since = *self.low_since.get_or_insert(at);
            self.busy = at.saturating_sub(since) < settle;
        } else {
            self.low_since = None;
        }
    }
}

/// Judged are windows in which nothing was wrong anywhere, nor lately, and the zone's load was under what its rules spill over.
///
/// Windows are counted together for the time to settle: one attempt in a small window is no share.
pub(super) fn judge(history: &History) -> Finding {
    let facts = Facts::of(history);
    let (bounds, width) = (&history.header.bounds, facts.window());
    let mut finding = Finding::default();
    let lately = facts.wrong.wider(0, bounds.return_us.saturating_sub(bounds.settle_us));
    for (zone, cells) in &tally(&facts) {
        let (mut busy, mut chunk) = (Busy::default(), Chunk::default());
        for (window, cell) in cells {
            let at = window * width;
            let end = at.saturating_add(width);
            let room = facts.room_at(zone, at) * width as f64 / 1e6;
            let load = load_of(cell);
            busy.see(at, bounds.settle_us, load, room, bounds.spill_over, bounds.spill_back);
            let calm = room > 0.0 && !busy.busy && !lately.meets(at, end);
            if !calm || at.saturating_sub(chunk.from) >= bounds.settle_us.max(width) {
                flush(&mut chunk, zone, bounds.near_least, &mut finding);
            }
            if calm {
                finding.judged += 1;
                if chunk.attempts.is_empty() {
                    chunk.from = at;
                }
                chunk.until = end;
                chunk.attempts.extend(cell.own.iter().chain(&cell.left));
                chunk.far += cell.left.len();
            }
        }
        flush(&mut chunk, zone, bounds.near_least, &mut finding);
    }
    finding.breaches.sort_by_key(|breach| breach.at_us);
    finding
}

/// What a zone bears, or would have to if all stayed.
fn load_of(cell: &Cell) -> f64 {
    let stays = cell.own.len() + cell.left.len();
    (cell.sent.max(stays as u64) + cell.guests.len() as u64) as f64
}

fn flush(chunk: &mut Chunk, zone: &str, least: f64, finding: &mut Finding) {
    let mut chunk = std::mem::take(chunk);
    let all = chunk.attempts.len();
    let may = ((1.0 - least) * all as f64).ceil() as usize;
    if chunk.far <= may {
        return;
    }
    chunk.attempts.sort_unstable();
    let what = format!("{} of {all} attempts leave {zone}, which is well and has room", chunk.far);
    let (at_us, until_us) = (chunk.from, chunk.until);
    finding.breaches.push(Breach { rule: "near", at_us, until_us, what, records: chunk.attempts });
}
