//! What histories come to: times from a fault to what follows it, and shares. Pure functions of lines.

use crate::nemesis::ZoneFault;
use maplehook_history_checker::{Header, Outcome, Record, What};
use std::collections::{BTreeMap, BTreeSet};

/// Steps in which windows of a second are moved.
const STEP_US: u64 = 250_000;
const WINDOW: usize = 4;
/// Of a window's requests, the least share that is full service.
const FULL: f64 = 0.99;

/// The words for a request into an upstream to which nothing passes.
pub fn into(upstream: &str, balancer: &str) -> String {
    format!("into {upstream} by {balancer}")
}

/// A fault as it was played.
#[derive(Clone, Debug, PartialEq)]
pub struct Span {
    /// The fault.
    pub fault: ZoneFault,
    /// From when, in microseconds.
    pub from_us: u64,
    /// Until when.
    pub to_us: u64,
}

/// What became of one fault.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Row {
    /// Its kind.
    pub kind: &'static str,
    /// Until the last request that came into what was gone, and how many there were; `None` where nothing was gone from everywhere.
    /// What was refused by a port came nowhere.
    pub last_into: Option<(u64, usize)>,
    /// Until nobody in touch acted any more on shares that send something into what was gone; `None`: not while it lasted, or there
    /// were no shares, or nothing was gone from everywhere.
    pub last_share: Option<u64>,
    /// Until a new plan was in force at all in touch that sends nothing into what was gone.
    pub in_force: Option<u64>,
    /// Until all was served again; `None`: not while the fault lasted.
    pub full: Option<u64>,
    /// Share of requests served while it lasted.
    pub served: f64,
    /// Share of attempts in their own zone while it lasted.
    pub near: f64,
}

/// What became of a whole run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Whole {
    /// Requests, and how they ended.
    pub sent: usize,
    /// Served.
    pub ok: usize,
    /// Refused.
    pub refused: usize,
    /// Failed or lost.
    pub broken: usize,
    /// Share of attempts in their own zone.
    pub near: f64,
    /// The same while no fault lasted, nor had just ended.
    pub near_calm: f64,
    /// The most that a zone got within a second, over its room.
    pub worst_load: f64,
    /// Where.
    pub worst_zone: String,
}

/// Served of sent by steps, from a moment on; by when it was sent.
fn served(records: &[Record], from: u64, to: u64) -> Vec<(usize, usize)> {
    let steps = usize::try_from((to.saturating_sub(from)).div_ceil(STEP_US)).unwrap_or(0);
    let mut counts = vec![(0, 0); steps];
    let mut sent: BTreeMap<u64, usize> = BTreeMap::new();
    for record in records {
        match &record.what {
            What::Sent { id, .. } if (from..to).contains(&record.at_us) => {
                let step = ((record.at_us - from) / STEP_US) as usize;
                counts[step].1 += 1;
                sent.insert(*id, step);
            }
            What::Ended { id, outcome: Outcome::Ok } => {
                if let Some(step) = sent.get(id) {
                    counts[*step].0 += 1;
                }
            }
            _ => {}
        }
    }
    counts
}

/// The end of the last second without full service, in steps; `None`: there is none after it.
fn full(counts: &[(usize, usize)]) -> Option<usize> {
    let bad = |window: &[(usize, usize)]| {
        let (ok, sent) = window.iter().fold((0, 0), |(a, b), (ok, sent)| (a + ok, b + sent));
        sent > 0 && (ok as f64) < FULL * sent as f64
    };
    let windows: Vec<bool> = counts.windows(WINDOW).map(bad).collect();
    match windows.iter().rposition(|bad| *bad) {
        None => Some(0),
        Some(last) if last + 1 >= windows.len() => None,
        Some(last) => Some(last + WINDOW),
    }
}

/// Attempts in their own zone, and all.
fn near(header: &Header, records: &[Record], counts: impl Fn(u64) -> bool) -> (usize, usize) {
    let (mut near, mut all) = (0, 0);
    for record in records.iter().filter(|record| counts(record.at_us)) {
        if let What::Ran { through, .. } = &record.what
            && let (Some(up), Some(own)) = (header.upstreams.get(&record.by), header.balancers.get(through))
        {
            all += 1;
            near += usize::from(up.zone == *own);
        }
    }
    (near, all)
}

fn share((part, all): (usize, usize)) -> f64 {
    if all == 0 { 1.0 } else { part as f64 / all as f64 }
}

/// When a plan was in force at all in touch that is later than any before the fault, and sends nothing into what is gone.
fn in_force(header: &Header, records: &[Record], span: &Span) -> Option<u64> {
    let away = span.fault.out_of_touch();
    let mut touch: BTreeSet<&str> = header
        .balancers
        .iter()
        .filter(|(_, zone)| !away.contains(zone))
        .map(|(name, _)| name.as_str())
        .collect();
    if let ZoneFault::Blind { balancer } = span.fault {
        touch.remove(crate::check::name(balancer - 1).as_str());
    }
    let gone = span.fault.gone();
    let mut before = 0;
    // Epoch by balancer, and whether nothing goes into what is gone.
    let mut acts: BTreeMap<&str, (u64, bool)> = BTreeMap::new();
    for record in records.iter().take_while(|record| record.at_us < span.to_us) {
        match &record.what {
            What::Acts { epoch, rows, in_common: true } => {
                let spares =
                    rows.iter().all(|row| gone.iter().all(|zone| row.to.get(zone).is_none_or(|n| *n == 0)));
                acts.insert(&record.by, (*epoch, spares));
                if record.at_us < span.from_us {
                    before = before.max(*epoch);
                }
            }
            What::Acts { .. } | What::Ceases { .. } => drop(acts.remove(record.by.as_str())),
            What::Did { act, to } if act == "kill" || act == "stop" => {
                acts.remove(to.as_str());
                if record.at_us >= span.from_us {
                    touch.remove(to.as_str());
                }
            }
            _ => continue,
        }
        if record.at_us < span.from_us || touch.is_empty() {
            continue;
        }
        let mut epochs = touch.iter().map(|name| acts.get(name));
        let first = epochs.next().flatten().map(|(epoch, _)| *epoch).filter(|epoch| *epoch > before);
        let all = touch
            .iter()
            .all(|name| acts.get(name).is_some_and(|(epoch, spares)| Some(*epoch) == first && *spares));
        if all {
            return Some(record.at_us - span.from_us);
        }
    }
    None
}

/// Until the last in touch acted on shares that send nothing into what was gone.
fn last_share(header: &Header, records: &[Record], span: &Span) -> Option<u64> {
    let (away, gone) = (span.fault.out_of_touch(), span.fault.gone());
    let mut gives: BTreeMap<&str, bool> = BTreeMap::new();
    let mut since = None;
    for record in records.iter().take_while(|record| record.at_us < span.to_us) {
        match &record.what {
            What::Acts { rows, .. } => {
                let given =
                    rows.iter().any(|row| gone.iter().any(|zone| row.to.get(zone).is_some_and(|n| *n > 0)));
                gives.insert(&record.by, given);
            }
            What::Did { act, to } if act == "kill" || act == "stop" => drop(gives.remove(to.as_str())),
            _ => continue,
        }
        let in_touch = |name: &str| header.balancers.get(name).is_some_and(|zone| !away.contains(zone));
        let some = gives.iter().any(|(name, given)| *given && in_touch(name));
        since = if some { None } else { since.or(Some(record.at_us)) };
    }
    since.filter(|_| !gone.is_empty() && !gives.is_empty()).map(|at| at.saturating_sub(span.from_us))
}

/// Until the last request into what was gone, and how many.
fn last_into(header: &Header, records: &[Record], span: &Span) -> Option<(u64, usize)> {
    let gone = span.fault.gone();
    if gone.is_empty() {
        return None;
    }
    let ups: Vec<&str> = header
        .upstreams
        .iter()
        .filter(|(_, up)| gone.contains(&up.zone))
        .map(|(name, _)| name.as_str())
        .collect();
    let goes_in = |record: &&Record| match &record.what {
        What::Ran { .. } => ups.contains(&record.by.as_str()),
        What::Note { text } => text
            .strip_prefix("into ")
            .and_then(|rest| rest.split(' ').next())
            .is_some_and(|up| ups.contains(&up)),
        _ => false,
    };
    let times = records.iter().filter(|record| (span.from_us..span.to_us).contains(&record.at_us));
    let times: Vec<u64> = times.filter(goes_in).map(|record| record.at_us).collect();
    Some((times.last().map_or(0, |at| at - span.from_us), times.len()))
}

/// What became of each fault.
pub fn rows(header: &Header, records: &[Record], spans: &[Span]) -> Vec<Row> {
    let row = |span: &Span| {
        let counts = served(records, span.from_us, span.to_us);
        let all = counts.iter().fold((0, 0), |(a, b), (ok, sent)| (a + ok, b + sent));
        Row {
            kind: span.fault.kind(),
            last_into: last_into(header, records, span),
            last_share: last_share(header, records, span),
            in_force: in_force(header, records, span),
            full: full(&counts).map(|steps| steps as u64 * STEP_US),
            served: share(all),
            near: share(near(header, records, |at| (span.from_us..span.to_us).contains(&at))),
        }
    };
    spans.iter().map(row).collect()
}

/// What became of all.
pub fn whole(header: &Header, records: &[Record], spans: &[Span]) -> Whole {
    let mut whole = Whole::default();
    for record in records {
        match &record.what {
            What::Sent { .. } => whole.sent += 1,
            What::Ended { outcome: Outcome::Ok, .. } => whole.ok += 1,
            What::Ended { outcome: Outcome::Refused, .. } => whole.refused += 1,
            What::Ended { .. } => whole.broken += 1,
            _ => {}
        }
    }
    let settle = header.bounds.settle_us;
    let calm = |at| !spans.iter().any(|span| (span.from_us..span.to_us + settle).contains(&at));
    whole.near = share(near(header, records, |_| true));
    whole.near_calm = share(near(header, records, calm));
    let mut rooms: BTreeMap<&str, f64> = BTreeMap::new();
    for up in header.upstreams.values() {
        *rooms.entry(&up.zone).or_default() += up.room_per_s;
    }
    for (zone, room) in rooms {
        let ran = records.iter().filter(|record| {
            matches!(record.what, What::Ran { .. })
                && header.upstreams.get(&record.by).is_some_and(|up| up.zone == zone)
        });
        let times: Vec<u64> = ran.map(|record| record.at_us).collect();
        let mut first = 0;
        for (n, at) in times.iter().enumerate() {
            while times[first] + STEP_US * WINDOW as u64 <= *at {
                first += 1;
            }
            let load = (n - first + 1) as f64 / room;
            if load > whole.worst_load {
                (whole.worst_load, whole.worst_zone) = (load, zone.to_owned());
            }
        }
    }
    whole
}

#[cfg(test)]
mod tests;
