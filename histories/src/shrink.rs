//! The shortest part of a history that still shows a breach.
//!
//! Delta debugging (Zeller and Hildebrandt, "Simplifying and isolating failure-inducing input", 2002): first whole processes and kinds
//! of records, then spans of time, then single records. What is left out must not make a breach of another kind: an end that is left
//! out looks like a request that was lost. So the same breach has to stand: by the same records, from the same moment, and for no longer.

use crate::file::History;
use crate::judge::{Breach, Rule, named};
use crate::record::{Record, What};
use std::collections::{BTreeMap, BTreeSet};

/// The most judgements of one search.
const TRIES_MOST: usize = 4_000;
/// The most records that are judged in one search, all told.
const WORK_MOST: usize = 60_000_000;

struct Search<'h> {
    history: &'h History,
    rule: &'static Rule,
    breach: Breach,
    tries: usize,
    work: usize,
}

/// The shortest part found that still shows the first breach of a rule; the whole if there is no such rule or breach.
pub fn shrink(history: &History, rule: &str) -> History {
    let found = named(rule).and_then(|rule| Some((rule, (rule.judge)(history).breaches.into_iter().next()?)));
    let Some((rule, breach)) = found else { return history.clone() };
    let mut search = Search { history, rule, breach, tries: 0, work: 0 };
    let mut kept: Vec<usize> = (0..history.records.len()).collect();
    kept = search.without_groups(kept, |record| kind(&record.what).to_owned());
    kept = search.without_groups(kept, |record| record.by.clone());
    kept = search.within_span(kept);
    kept = search.without_groups(kept, request);
    kept = search.minimal(kept);
    search.part(&kept)
}

impl Search<'_> {
    fn part(&self, kept: &[usize]) -> History {
        let records = kept.iter().map(|n| self.history.records[*n].clone()).collect();
        History { header: self.history.header.clone(), records }
    }

    /// Whether these records still show it. Says no once there was enough work.
    fn shows(&mut self, kept: &[usize]) -> bool {
        if self.tries >= TRIES_MOST || self.work >= WORK_MOST {
            return false;
        }
        self.tries += 1;
        self.work += kept.len().max(1);
        let found = (self.rule.judge)(&self.part(kept)).breaches;
        found.iter().any(|found| self.same(found, kept))
    }

    fn same(&self, found: &Breach, kept: &[usize]) -> bool {
        let records: Vec<usize> = found.records.iter().map(|n| kept[*n]).collect();
        if self.rule.counts {
            let known: BTreeSet<&usize> = self.breach.records.iter().collect();
            let within = found.at_us >= self.breach.at_us && found.until_us <= self.breach.until_us;
            return within && !records.is_empty() && records.iter().all(|n| known.contains(n));
        }
        found.at_us == self.breach.at_us
            && found.until_us <= self.breach.until_us
            && records == self.breach.records
    }

    /// Leaves out groups of records: all at once where that goes, else by halves and in the end one by one.
    fn without_groups(&mut self, kept: Vec<usize>, group: impl Fn(&Record) -> String) -> Vec<usize> {
        let mut groups: BTreeMap<String, Vec<usize>> = BTreeMap::new();
        for n in kept {
            groups.entry(group(&self.history.records[n])).or_default().push(n);
        }
        self.reduce(groups.into_values().collect())
    }

    /// Leaves out what lies before and after, by halves.
    fn within_span(&mut self, mut kept: Vec<usize>) -> Vec<usize> {
        let mut step = kept.len() / 2;
        while step > 0 {
            while kept.len() > step && self.shows(&kept[..kept.len() - step]) {
                kept.truncate(kept.len() - step);
            }
            while kept.len() > step && self.shows(&kept[step..]) {
                kept.drain(..step);
            }
            step /= 2;
        }
        kept
    }

    fn minimal(&mut self, kept: Vec<usize>) -> Vec<usize> {
        self.reduce(kept.into_iter().map(|n| vec![n]).collect())
    }

    /// `ddmin` over groups by their complements: what is returned shows the breach if all of them together did.
    fn reduce(&mut self, mut groups: Vec<Vec<usize>>) -> Vec<usize> {
        let mut size = groups.len().div_ceil(2);
        while size > 0 && !groups.is_empty() {
            let mut from = 0;
            let mut less = false;
            while from < groups.len() {
                let until = (from + size).min(groups.len());
                let rest = flat(groups[..from].iter().chain(&groups[until..]));
                if self.shows(&rest) {
                    groups.drain(from..until);
                    less = true;
                } else {
                    from = until;
                }
            }
            // One by one as long as that helps: a record may become needless with another.
            size = if size == 1 { usize::from(less) } else { size / 2 };
        }
        flat(&groups)
    }
}

fn flat<'g>(groups: impl IntoIterator<Item = &'g Vec<usize>>) -> Vec<usize> {
    let mut all: Vec<usize> = groups.into_iter().flatten().copied().collect();
    all.sort_unstable();
    all
}

/// Records of one request belong together.
fn request(record: &Record) -> String {
    match &record.what {
        What::Sent { id, .. } | What::Ended { id, .. } | What::Ran { id, .. } => format!("request {id}"),
        _ => "other".to_owned(),
    }
}

fn kind(what: &What) -> &'static str {
    match what {
        What::Acts { .. } => "acts",
        What::Ceases { .. } => "ceases",
        What::Agreed { .. } => "agreed",
        What::Announces { .. } => "announces",
        What::Withdraws { .. } => "withdraws",
        What::Routes { .. } => "routes",
        What::Sent { .. } => "sent",
        What::Ended { .. } => "ended",
        What::Ran { .. } => "ran",
        What::Health { .. } => "health",
        What::Drains { .. } => "drains",
        What::Did { .. } => "did",
        What::Note { .. } => "note",
    }
}
