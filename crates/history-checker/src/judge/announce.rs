//! Shared addresses: never two announcers of `one`, somebody while a site is well, nobody for long whose site has nothing left.

use super::facts::Facts;
use super::spans::Spans;
use super::{Breach, Finding};
use crate::file::History;
use crate::record::What;
use std::collections::BTreeMap;

/// At most one site announces an address of `one`.
///
/// An answer stands until its end whatever its balancer says afterwards: a router may have lost the poll that took it back.
pub(super) fn one(history: &History) -> Finding {
    let mut finding = Finding::default();
    // By address and site: until when it stands the longest, and by which record.
    let mut standing: BTreeMap<&str, BTreeMap<&str, (u64, usize)>> = BTreeMap::new();
    // Pairs that are found, until when both stand.
    let mut found: BTreeMap<(&str, &str, &str), u64> = BTreeMap::new();
    for (n, record) in history.records.iter().enumerate() {
        let What::Announces { address, site, until_us, .. } = &record.what else { continue };
        let at = record.at_us;
        if !history.header.addresses.get(address).is_some_and(|known| known.one) || *until_us <= at {
            continue;
        }
        finding.judged += 1;
        let sites = standing.entry(address).or_default();
        for (other, (until, by)) in sites.iter().filter(|(other, _)| *other != site) {
            if *until <= at {
                continue;
            }
            let pair = (address.as_str(), site.as_str().min(other), site.as_str().max(other));
            let both = (*until).min(*until_us);
            let known = found.insert(pair, both).is_some_and(|end| end >= at);
            if !known {
                let what = format!(
                    "{address} is announced by {site} while {other} may for {} us more",
                    until.saturating_sub(at)
                );
                let records = vec![*by, n];
                finding.breaches.push(Breach { rule: "one", at_us: at, until_us: both, what, records });
            }
        }
        let own = sites.entry(site).or_insert((0, n));
        if *until_us > own.0 {
            *own = (*until_us, n);
        }
    }
    finding
}

/// One answer with 200, as far as its balancer let it stand.
struct Told<'h> {
    record: usize,
    by: &'h str,
    site: &'h str,
    from: u64,
    until: u64,
}

/// Answers by address; a later word of the same balancer on the same site ends one.
fn told(history: &History) -> BTreeMap<&str, Vec<Told<'_>>> {
    let mut told: BTreeMap<&str, Vec<Told<'_>>> = BTreeMap::new();
    let mut last: BTreeMap<(&str, &str, &str), usize> = BTreeMap::new();
    for (n, record) in history.records.iter().enumerate() {
        let (address, site, until) = match &record.what {
            What::Announces { address, site, until_us, .. } => (address, site, Some(*until_us)),
            What::Withdraws { address, site, .. } => (address, site, None),
            _ => continue,
        };
        let all = told.entry(address).or_default();
        let key = (record.by.as_str(), address.as_str(), site.as_str());
        if let Some(before) = last.remove(&key) {
            all[before].until = all[before].until.min(record.at_us);
        }
        if let Some(until) = until {
            last.insert(key, all.len());
            all.push(Told { record: n, by: &record.by, site, from: record.at_us, until });
        }
    }
    told
}

/// When each site of an address was well: its zones whole, and a balancer there that can answer. `one` also needs a majority in touch.
fn well<'h>(facts: &Facts<'h>, one: bool, sites: &'h [String]) -> BTreeMap<&'h str, Spans> {
    let header = &facts.history.header;
    let whole = Spans::of(vec![(facts.start, facts.end)]);
    let away = |balancer: &str| {
        let lives = &facts.lives;
        let states = [Some(&lives.down), Some(&lives.stopped), one.then_some(&lives.cut)];
        Spans::at_least(1, states.into_iter().flatten().filter_map(|states| states.get(balancer)))
    };
    let voters = if header.voters.is_empty() {
        header.balancers.keys().collect()
    } else {
        header.voters.iter().collect::<Vec<_>>()
    };
    let gone: Vec<Spans> = voters.iter().map(|balancer| away(balancer)).collect();
    let headless = if one { Spans::at_least(gone.len() - gone.len() / 2, &gone) } else { Spans::default() };
    let of_site = |site: &'h String| {
        let zones = facts.zones_of(site);
        let ill = Spans::at_least(1, zones.iter().filter_map(|zone| facts.unwhole.get(zone.as_str())));
        let here = header.balancers.iter().filter(|(_, zone)| zones.contains(zone));
        let away: Vec<Spans> = here.map(|(balancer, _)| away(balancer)).collect();
        let alone = Spans::at_least(away.len(), &away);
        (site.as_str(), whole.but(&ill.or(&alone)).but(&headless))
    };
    sites.iter().map(of_site).collect()
}

/// Somebody announces each address while one of its sites is well.
pub(super) fn gap(history: &History) -> Finding {
    let facts = Facts::of(history);
    let mut finding = Finding::default();
    let told = told(history);
    for (name, address) in &history.header.addresses {
        let all = told.get(name.as_str()).map_or(&[][..], Vec::as_slice);
        finding.judged += 1;
        let announced = Spans::of(all.iter().map(|told| (told.from, told.until)).collect());
        let well = well(&facts, address.one, &address.sites);
        let bare = Spans::at_least(1, well.values()).but(&announced);
        for (from, until) in bare.list().iter().filter(|(from, until)| until - from > address.gap_us) {
            let site = well.iter().find(|(_, spans)| spans.meets(*from, *until)).map_or("", |(site, _)| site);
            let what = format!("nobody announces {name} for {} us, and {site} is well", until - from);
            // The last that stood before it: what else was told can be left out.
            let before = all.iter().filter(|told| told.until <= *from).max_by_key(|told| told.until);
            let records = before.map(|told| told.record).into_iter().collect();
            finding.breaches.push(Breach { rule: "gap", at_us: *from, until_us: *until, what, records });
        }
    }
    finding
}

/// A site all of whose zones are gone has withdrawn in time, unless it is one of the last that must stay.
pub(super) fn withdrawn(history: &History) -> Finding {
    let facts = Facts::of(history);
    let mut finding = Finding::default();
    let told = told(history);
    let live = Spans::of(vec![(facts.start, facts.end.saturating_add(1))]);
    for (name, address) in &history.header.addresses {
        let all = told.get(name.as_str()).map_or(&[][..], Vec::as_slice);
        let longest = all.iter().map(|told| told.until.saturating_sub(told.from)).max().unwrap_or(0);
        let well = well(&facts, address.one, &address.sites);
        for site in &address.sites {
            let zones = facts.zones_of(site);
            let gone: Vec<&Spans> = zones.iter().filter_map(|zone| facts.ill.get(zone.as_str())).collect();
            if zones.is_empty() || gone.len() < zones.len() {
                continue;
            }
            let others = well.iter().filter(|(other, _)| *other != site).map(|(_, spans)| spans);
            let enough = Spans::at_least(address.keep_at_least.max(1), others);
            let must = Spans::at_least(gone.len(), gone).and(&enough).and(&live);
            for (since, until) in must.list() {
                let due = since.saturating_add(address.withdrawn_within_us);
                if due >= *until {
                    continue;
                }
                finding.judged += 1;
                // A balancer that was away may not have known.
                let late = |told: &&Told<'_>| {
                    told.site == site
                        && told.from < told.until.min(*until)
                        && told.until > due
                        && !facts.away(told.by, *since, told.from.max(due))
                };
                let from = all.partition_point(|told| told.from.saturating_add(longest) <= due);
                let Some(told) = all[from..].iter().take_while(|told| told.from < *until).find(late) else {
                    continue;
                };
                let by = told.by;
                let what = format!(
                    "{by} announces {name} for {site}, of which nothing is left since {} us",
                    told.from.max(due) - since
                );
                let breach = Breach {
                    rule: "withdrawn",
                    at_us: *since,
                    until_us: told.until.min(*until),
                    what,
                    records: vec![told.record],
                };
                finding.breaches.push(breach);
            }
        }
    }
    finding
}
