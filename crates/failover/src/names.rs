//! A document that counts by other zones and rules, read by names: what is gone is left out, what is new serves.

use crate::document::{Document, Evacuation, Plan, Row, Share, ZoneStatus};
use crate::heard::digest;
use crate::priorities::{PriorityLists, zone_bit};
use maplehook_locality::{Rules, Topology, Zone};
use std::collections::BTreeMap;

/// The document as this topology and these rules count. Rows keep only what the rules allow; what that takes away goes to the
/// rest of the row, and a row of which nothing is left is none.
pub fn read(document: &Document, topology: &Topology, rules: &Rules) -> Document {
    let priorities = PriorityLists::new(topology, rules);
    read_with(document, topology, rules, &priorities)
}

/// As [`read`], with the ladders at hand.
pub fn read_with(
    document: &Document,
    topology: &Topology,
    rules: &Rules,
    priorities: &PriorityLists,
) -> Document {
    let zone_of: Vec<Option<Zone>> = document.zones.iter().map(|name| topology.zone(name)).collect();
    let zone = |old: Zone| zone_of.get(usize::from(old.0)).copied().flatten();
    let zones = |old: &[Zone]| {
        let mut new: Vec<Zone> = old.iter().filter_map(|old| zone(*old)).collect();
        new.sort();
        new.dedup();
        new
    };
    let names: BTreeMap<&str, u16> =
        rules.all().iter().enumerate().map(|(n, rule)| (rule.name.as_str(), n as u16)).collect();
    let rule =
        |old: u16| document.rules.get(usize::from(old)).and_then(|name| names.get(name.as_str()).copied());

    let count = topology.zones().count();
    let mut zone_statuses = vec![ZoneStatus { given: 1.0, ..ZoneStatus::default() }; count];
    // Weights and numbers of balancers are only known if those of all zones are.
    let parts = if document.plan.spare.len() == 3 * zone_of.len() { 3 } else { 1 };
    let mut spare = vec![0.0; parts * count];
    for (old, new) in zone_of.iter().enumerate() {
        let Some(new) = new.map(|new| usize::from(new.0)) else { continue };
        if let Some(place) = document.zone_statuses.get(old) {
            zone_statuses[new] = ZoneStatus { cut_from: zones(&place.cut_from), ..place.clone() };
        }
        for part in 0..parts {
            let figure = document.plan.spare.get(part * zone_of.len() + old).copied().unwrap_or(0.0);
            spare[part * count + new] = if figure.is_finite() { figure.max(0.0) } else { 0.0 };
        }
    }
    let mut rows: BTreeMap<(u16, Zone), Row> = BTreeMap::new();
    for row in document.plan.rows.iter().filter(|row| row.is_sound()) {
        let (Some(rule), Some(from)) = (rule(row.rule), zone(row.from)) else { continue };
        let Some(shape) = priorities.list_index(rule, from) else { continue };
        let allowed = priorities.lists[shape].allowed();
        let keep = |share: &Share| {
            zone(share.zone).filter(|to| allowed & zone_bit(*to) != 0).map(|zone| Share { zone, ..*share })
        };
        let mut to: Vec<Share> = row.to.iter().filter_map(keep).collect();
        to.sort_by_key(|share| share.zone);
        let sum = |to: &[Share]| to.iter().map(|share| u64::from(share.part)).sum::<u64>();
        let (was, is) = (sum(&row.to), sum(&to));
        if is == 0 && was > 0 {
            continue;
        }
        if is < was {
            to.iter_mut().for_each(|share| share.part = (u64::from(share.part) * was / is) as u16);
            let missing = was - sum(&to);
            if let Some(first) = to.first_mut() {
                first.part += missing as u16;
            }
        }
        rows.insert((rule, from), Row { rule, from, to });
    }
    let evacuations = document.evacuations.iter().map(|e| Evacuation { zones: zones(&e.zones), ..e.clone() });
    Document {
        digest: digest(topology, rules),
        zones: topology.zones().map(|zone| topology.zone_name(zone).to_owned()).collect(),
        rules: rules.all().iter().map(|rule| rule.name.clone()).collect(),
        zone_statuses,
        plan: Plan { epoch: document.plan.epoch, rows: rows.into_values().collect(), spare },
        evacuations: evacuations.filter(|e| !e.zones.is_empty()).collect(),
        hold: document.hold.clone(),
        shared_cause: document.shared_cause.clone(),
    }
}
