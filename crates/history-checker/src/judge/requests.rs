//! Requests: none lost, none twice, drains kept.

use super::facts::Facts;
use super::{Breach, Finding};
use crate::file::History;
use crate::record::{Outcome, What};
use std::collections::BTreeMap;

/// A request that has not ended: its record, when it was sent, and to whom.
struct Open<'h> {
    record: usize,
    at: u64,
    to: &'h str,
}

/// Each request has one end, in time; it is lost only with its balancer.
pub(super) fn lost(history: &History) -> Finding {
    const RULE: &str = "lost";
    let facts = Facts::of(history);
    let most = history.header.bounds.answer_us;
    let (mut finding, mut open) = (Finding::default(), BTreeMap::<u64, Open<'_>>::new());
    let breaches = &mut finding.breaches;
    for (n, record) in history.records.iter().enumerate() {
        let at = record.at_us;
        match &record.what {
            What::Sent { id, to, .. } => {
                finding.judged += 1;
                if let Some(before) = open.insert(*id, Open { record: n, at, to }) {
                    let what = format!("request {id} is sent again before it has ended");
                    breaches.push(Breach {
                        rule: RULE,
                        at_us: before.at,
                        until_us: at,
                        what,
                        records: vec![before.record, n],
                    });
                }
            }
            What::Ended { id, outcome } => {
                let Some(sent) = open.remove(id) else {
                    let what = format!("request {id} ends and was not open: twice, or never sent");
                    breaches.push(Breach { rule: RULE, at_us: at, until_us: at, what, records: vec![n] });
                    continue;
                };
                // A balancer that is killed or stopped can't answer what it holds.
                if facts.gone(sent.to, sent.at, at) {
                    continue;
                }
                let took = at.saturating_sub(sent.at);
                let what = match outcome {
                    Outcome::Lost => {
                        format!("request {id} to {} has no answer, and that balancer was up", sent.to)
                    }
                    _ if took > most => format!("request {id} to {} took {took} us of {most}", sent.to),
                    _ => continue,
                };
                breaches.push(Breach {
                    rule: RULE,
                    at_us: sent.at,
                    until_us: at,
                    what,
                    records: vec![sent.record, n],
                });
            }
            _ => {}
        }
    }
    for (id, sent) in open {
        let due = sent.at.saturating_add(most);
        if due < facts.end && !facts.gone(sent.to, sent.at, due) {
            let what = format!("request {id} to {} never ends", sent.to);
            breaches.push(Breach {
                rule: RULE,
                at_us: sent.at,
                until_us: due,
                what,
                records: vec![sent.record],
            });
        }
    }
    breaches.sort_by_key(|breach| breach.at_us);
    finding
}

/// What must run once runs once.
pub(super) fn twice(history: &History) -> Finding {
    let mut finding = Finding::default();
    // By request: its record, and those of what ran.
    let mut once: BTreeMap<u64, (usize, Vec<usize>)> = BTreeMap::new();
    for (n, record) in history.records.iter().enumerate() {
        if let What::Sent { id, once: true, .. } = &record.what {
            once.entry(*id).or_insert((n, Vec::new()));
        }
    }
    for (n, record) in history.records.iter().enumerate() {
        let What::Ran { id, .. } = &record.what else { continue };
        if let Some((_, ran)) = once.get_mut(id) {
            ran.push(n);
        }
    }
    finding.judged = once.len() as u64;
    for (id, (sent, ran)) in once {
        let (Some(first), Some(second)) = (ran.first(), ran.get(1)) else { continue };
        let at = |n: usize| history.records[n].at_us;
        let by = |n: usize| history.records[n].by.as_str();
        let what = format!(
            "request {id} must run once: it ran {} times, at {} and {}",
            ran.len(),
            by(*first),
            by(*second)
        );
        let records = vec![sent, *first, *second];
        finding.breaches.push(Breach {
            rule: "twice",
            at_us: at(*first),
            until_us: at(*second),
            what,
            records,
        });
    }
    finding.breaches.sort_by_key(|breach| breach.at_us);
    finding
}

/// What drains gets nothing new once all could have heard of it.
pub(super) fn drains(history: &History) -> Finding {
    let facts = Facts::of(history);
    let late = history.header.bounds.drain_us;
    let mut finding = Finding::default();
    // By upstream: the record of its drain and when; and whether the drain was found broken.
    let mut draining: BTreeMap<&str, (usize, u64, bool)> = BTreeMap::new();
    for (n, record) in history.records.iter().enumerate() {
        match &record.what {
            What::Drains { upstream, drains: true } => {
                finding.judged += 1;
                draining.entry(upstream).or_insert((n, record.at_us, false));
            }
            What::Drains { upstream, drains: false } => drop(draining.remove(upstream.as_str())),
            What::Ran { id, through } => {
                let Some((drain, since, found)) = draining.get_mut(record.by.as_str()) else { continue };
                let at = record.at_us;
                // Whoever was away lately had less time to hear of it.
                if *found
                    || at <= since.saturating_add(late)
                    || facts.away(through, at.saturating_sub(late), at)
                {
                    continue;
                }
                *found = true;
                let what = format!(
                    "{} drains since {} us, and {through} sends request {id} there",
                    record.by,
                    at.saturating_sub(*since)
                );
                finding.breaches.push(Breach {
                    rule: "drains",
                    at_us: *since,
                    until_us: at,
                    what,
                    records: vec![*drain, n],
                });
            }
            _ => {}
        }
    }
    finding
}
