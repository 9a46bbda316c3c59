//! The shortest part of a history that still shows a breach.
//!
//! Delta debugging (Zeller and Hildebrandt, "Simplifying and isolating failure-inducing input", 2002): first spans of time, then kinds
//! of records and whole processes, spans again, and in the end single records. What is left out must not make a breach of another kind:
//! an end that is left out looks like a request that was lost. So the same breach has to stand, by the same records, from the same
//! moment and for no longer, and none may come that was not there before.

use crate::file::History;
use crate::judge::{Breach, Rule, named};
use crate::record::{Header, Record, What};
use std::collections::{BTreeMap, BTreeSet};

/// The most judgements of one search.
const TRIES_MOST: usize = 4_000;
/// The most records that are judged in one search, all told.
const WORK_MOST: usize = 60_000_000;

struct Search<'h> {
    history: &'h History,
    header: Header,
    rule: &'static Rule,
    /// All that was found in the whole; the first is the one to show.
    known: Vec<Breach>,
    /// Places of those in `known`, by when they begin and their records.
    places: BTreeMap<(u64, Vec<usize>), usize>,
    tries: usize,
    work: usize,
}

/// The shortest part found that still shows the first breach of a rule; the whole if there is no such rule or breach.
pub fn shrink(history: &History, rule: &str) -> History {
    let Some(rule) = named(rule) else { return history.clone() };
    let known = (rule.judge)(history).breaches;
    if known.is_empty() {
        return history.clone();
    }
    let key = |(n, breach): (usize, &Breach)| ((breach.at_us, breach.records.clone()), n);
    let places = known.iter().enumerate().rev().map(key).collect();
    let header = history.header.clone();
    let mut search = Search { history, header, rule, known, places, tries: 0, work: 0 };
    let mut kept: Vec<usize> = (0..history.records.len()).collect();
    search.without_addresses(&kept);
    kept = search.within_span(kept);
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
        History { header: self.header.clone(), records }
    }

    /// Whether these records still show it and nothing else. Says no once there was enough work.
    fn shows(&mut self, kept: &[usize]) -> bool {
        if self.tries >= TRIES_MOST || self.work >= WORK_MOST {
            return false;
        }
        self.tries += 1;
        self.work += kept.len().max(1);
        let found = (self.rule.judge)(&self.part(kept)).breaches;
        let places: Option<Vec<usize>> = found.iter().map(|found| self.place(found, kept)).collect();
        places.is_some_and(|places| places.contains(&0))
    }

    /// Which of the breaches of the whole this is.
    fn place(&self, found: &Breach, kept: &[usize]) -> Option<usize> {
        let records: Vec<usize> = found.records.iter().map(|n| kept[*n]).collect();
        if self.rule.counts {
            let same = |known: &Breach| {
                let within = found.at_us >= known.at_us && found.until_us <= known.until_us;
                within
                    && !records.is_empty()
                    && records.iter().all(|n| known.records.binary_search(n).is_ok())
            };
            return self.known.iter().position(same);
        }
        let place = self.places.get(&(found.at_us, records)).copied();
        place.filter(|place| found.until_us <= self.known[*place].until_us)
    }

    /// Leaves out addresses that have no part in it.
    fn without_addresses(&mut self, kept: &[usize]) {
        for name in self.history.header.addresses.keys() {
            let address = self.header.addresses.remove(name);
            if let Some(address) = address.filter(|_| !self.shows(kept)) {
                self.header.addresses.insert(name.clone(), address);
            }
        }
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
            while kept.len() > step {
                let later = self.whole(&kept, step);
                if later.len() == kept.len() || !self.shows(&later) {
                    break;
                }
                kept = later;
            }
            step /= 2;
        }
        kept
    }

    /// What comes after the first so many, without the rest of requests that began before.
    fn whole(&self, kept: &[usize], first: usize) -> Vec<usize> {
        let records = &self.history.records;
        let begun: BTreeSet<u64> = kept[..first].iter().filter_map(|n| id(&records[*n])).collect();
        let later = kept[first..].iter().copied();
        later.filter(|n| id(&records[*n]).is_none_or(|id| !begun.contains(&id))).collect()
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

fn id(record: &Record) -> Option<u64> {
    match &record.what {
        What::Sent { id, .. } | What::Ended { id, .. } | What::Ran { id, .. } => Some(*id),
        _ => None,
    }
}

/// Records of one request belong together.
fn request(record: &Record) -> String {
    id(record).map_or_else(|| "other".to_owned(), |id| format!("request {id}"))
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
