//! Swings: the plan for a zone does not go back and forth.

use super::{Breach, Finding};
use crate::file::History;
use crate::record::What;
use std::collections::{BTreeMap, VecDeque};

/// What a zone's share has to turn back by for a swing, in parts of 10,000 of one row.
const LEAST: i64 = 500;
const MINUTE_US: u64 = 60_000_000;

/// A plan that was acted on in common.
struct Plan<'h> {
    at: u64,
    record: usize,
    rows: BTreeMap<(&'h str, &'h str), &'h BTreeMap<String, u16>>,
}

/// The sum of a zone's shares along the plans, from wherever it begins.
#[derive(Default)]
struct Path {
    now: i64,
    /// The farthest it came since it last turned.
    extreme: i64,
    up: Option<bool>,
    turns: VecDeque<(u64, usize)>,
    /// Until when the last breach reached.
    found: u64,
}

impl Path {
    /// Goes on by so much; whether it has turned.
    fn goes(&mut self, by: i64) -> bool {
        self.now += by;
        let since = self.now - self.extreme;
        match self.up {
            Some(up) if since == 0 || (since > 0) == up => self.extreme = self.now,
            Some(up) if since.abs() >= LEAST => {
                (self.extreme, self.up) = (self.now, Some(!up));
                return true;
            }
            None if since.abs() >= LEAST => (self.extreme, self.up) = (self.now, Some(since > 0)),
            _ => {}
        }
        false
    }
}

/// Counts how often a zone's share turns within any minute.
pub(super) fn judge(history: &History) -> Finding {
    let most = history.header.bounds.swings_most as usize;
    let mut finding = Finding::default();
    let mut plans: BTreeMap<u64, Plan<'_>> = BTreeMap::new();
    for (n, record) in history.records.iter().enumerate() {
        let What::Acts { epoch, rows, in_common: true } = &record.what else { continue };
        let fresh = || Plan { at: record.at_us, record: n, rows: BTreeMap::new() };
        let plan = plans.entry(*epoch).or_insert_with(fresh);
        for row in rows {
            plan.rows.entry((&row.rule, &row.from)).or_insert(&row.to);
        }
    }
    let mut paths: BTreeMap<&str, Path> = BTreeMap::new();
    for (before, plan) in plans.values().zip(plans.values().skip(1)) {
        finding.judged += 1;
        // Rows that came or went with a change of rules are no swing.
        let mut moves: BTreeMap<&str, i64> = BTreeMap::new();
        for (row, to) in &plan.rows {
            let Some(was) = before.rows.get(row) else { continue };
            was.iter().for_each(|(zone, parts)| *moves.entry(zone).or_default() -= i64::from(*parts));
            to.iter().for_each(|(zone, parts)| *moves.entry(zone).or_default() += i64::from(*parts));
        }
        for (zone, by) in moves {
            let path = paths.entry(zone).or_default();
            if !path.goes(by) {
                continue;
            }
            path.turns.push_back((plan.at, plan.record));
            while path.turns.front().is_some_and(|(at, _)| at.saturating_add(MINUTE_US) <= plan.at) {
                path.turns.pop_front();
            }
            if path.turns.len() > most {
                let from = path.turns.front().map_or(plan.at, |(at, _)| *at);
                if from < path.found {
                    continue;
                }
                path.found = plan.at.saturating_add(1);
                let what = format!("the share of {zone} turns {} times within a minute", path.turns.len());
                let mut records: Vec<usize> = path.turns.iter().map(|(_, record)| *record).collect();
                records.sort_unstable();
                finding.breaches.push(Breach {
                    rule: "swings",
                    at_us: from,
                    until_us: plan.at,
                    what,
                    records,
                });
            }
        }
    }
    finding.breaches.sort_by_key(|breach| breach.at_us);
    finding
}
