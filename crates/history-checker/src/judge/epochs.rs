//! Plans' epochs: agreed on one after the other, each acted on after it was agreed on, by nobody backwards.

use super::facts::Facts;
use super::{Breach, Finding};
use crate::file::History;
use crate::record::{ActedRow, What};
use std::collections::BTreeMap;

/// Two processes on one machine write of the same moment in either order, this much apart at the most.
const ORDER_US: u64 = 20_000;

/// First record of an epoch that was agreed on, and when.
struct Agreed<'h> {
    record: usize,
    at: u64,
    by: &'h str,
    digest: &'h str,
}

/// Holds a history's epochs to their order.
pub(super) fn judge(history: &History) -> Finding {
    const RULE: &str = "epochs";
    let facts = Facts::of(history);
    let mut finding = Finding::default();
    let breaches = &mut finding.breaches;
    let mut breach = |at_us: u64, until_us: u64, what: String, records: Vec<usize>| {
        breaches.push(Breach { rule: RULE, at_us, until_us, what, records });
    };
    let mut agreed: BTreeMap<u64, Agreed<'_>> = BTreeMap::new();
    for (n, record) in history.records.iter().enumerate() {
        let What::Agreed { epoch, digest } = &record.what else { continue };
        finding.judged += 1;
        let at = record.at_us;
        if let Some(first) = agreed.get(epoch) {
            if first.digest != digest {
                let what = format!("epoch {epoch} is agreed on as {} and as {digest}", first.digest);
                breach(first.at, at, what, vec![first.record, n]);
            }
            continue;
        }
        agreed.insert(*epoch, Agreed { record: n, at, by: &record.by, digest });
    }
    let pairs = agreed.iter().zip(agreed.iter().skip(1));
    for ((before, first), (epoch, next)) in pairs {
        if next.at.saturating_add(ORDER_US) < first.at && !facts.away(first.by, next.at, first.at) {
            let what = format!("epoch {epoch} is agreed on before epoch {before}");
            breach(next.at, first.at, what, vec![next.record, first.record]);
        }
        // A leader that was killed in between may have taken the word with it.
        if before + 1 != *epoch && !any_away(&facts, first.at, next.at) {
            let what = format!("epoch {epoch} follows on epoch {before}");
            breach(first.at, next.at, what, vec![first.record, next.record]);
        }
    }
    // By balancer: what it acted on last within this start.
    let mut acted: BTreeMap<&str, (u64, usize)> = BTreeMap::new();
    let mut rows_of: BTreeMap<(u64, &str, &str), (usize, &ActedRow)> = BTreeMap::new();
    for (n, record) in history.records.iter().enumerate() {
        let at = record.at_us;
        let What::Acts { epoch, rows, in_common: true } = &record.what else { continue };
        let epoch = *epoch;
        finding.judged += 1;
        let by = record.by.as_str();
        let before = acted.insert(by, (epoch, n)).filter(|(last, _)| *last > epoch);
        if let Some((last, earlier)) = before {
            let since = history.records[earlier].at_us;
            // Whoever was started anew may begin with what it is told first.
            if !facts.dead(by, since, at) {
                breach(since, at, format!("{by} goes back from epoch {last} to {epoch}"), vec![earlier, n]);
            }
        }
        match agreed.get(&epoch) {
            Some(first) if at.saturating_add(ORDER_US) < first.at && !facts.away(first.by, at, first.at) => {
                let what = format!("{by} acts on epoch {epoch} before it is agreed on");
                breach(at, first.at, what, vec![n, first.record]);
            }
            // Epoch 0 is no plan yet: whoever acts on what else is agreed on (addresses, round trips) needs nobody's word for it.
            None if epoch > 0 && !may_be_missing(&facts, &agreed, epoch, at) => {
                breach(at, at, format!("{by} acts on epoch {epoch}, that was never agreed on"), vec![n]);
            }
            _ => {}
        }
        for row in rows {
            let (first, known) = *rows_of.entry((epoch, &row.rule, &row.from)).or_insert((n, row));
            if known.to != row.to {
                let what = format!("epoch {epoch} has two rows for {} from {}", row.rule, row.from);
                breach(history.records[first].at_us, at, what, vec![first, n]);
            }
        }
    }
    finding.breaches.sort_by_key(|breach| breach.at_us);
    finding
}

/// Whether any balancer was away at some time in between.
fn any_away(facts: &Facts<'_>, from: u64, until: u64) -> bool {
    facts.history.header.balancers.keys().any(|balancer| facts.away(balancer, from, until.saturating_add(1)))
}

/// Whether the word that an epoch was agreed on may be missing: it is from before the history, or was with a leader that was killed.
fn may_be_missing(facts: &Facts<'_>, agreed: &BTreeMap<u64, Agreed<'_>>, epoch: u64, at: u64) -> bool {
    let before = agreed.range(..epoch).next_back();
    let after = agreed.range(epoch..).next();
    match (before, after) {
        (None, Some((_, first))) => at < first.at,
        (None, None) => false,
        (Some((last, first)), None) => *last + 1 == epoch && any_away(facts, first.at, at),
        (Some((_, first)), Some((_, next))) => any_away(facts, first.at, next.at),
    }
}
