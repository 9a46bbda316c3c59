//! Maps a document to another topology or other rules by names. Removed zones and rules are dropped; new
//! zones are in service.

use crate::document::{Document, Evacuation, Plan, Row, Share, ZoneStatus};
use crate::priorities::{PriorityLists, zone_bit};
use crate::report_store::digest;
use maplehook_locality::{Rules, Topology, Zone};
use std::collections::BTreeMap;

/// Maps a document to this topology and these rules. Rows keep only the zones that the rules allow. Shares of
/// dropped zones go to the remaining zones of the row; rows without any are dropped.
pub fn remap(document: &Document, topology: &Topology, rules: &Rules) -> Document {
    let priorities = PriorityLists::new(topology, rules);
    remap_with(document, topology, rules, &priorities)
}

/// Does the same as [`remap`] with existing priority lists.
pub fn remap_with(
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
    let rule_indexes: BTreeMap<&str, u16> =
        rules.all().iter().enumerate().map(|(n, rule)| (rule.name.as_str(), n as u16)).collect();
    let rule = |old: u16| {
        document.rules.get(usize::from(old)).and_then(|name| rule_indexes.get(name.as_str()).copied())
    };

    let count = topology.zones().count();
    let mut zone_statuses = vec![ZoneStatus { admitted_share: 1.0, ..ZoneStatus::default() }; count];
    // Weights and numbers of balancers are complete or missing; a partial section is ignored.
    let sections = if document.plan.spare.len() == 3 * zone_of.len() { 3 } else { 1 };
    let mut spare = vec![0.0; sections * count];
    for (old, new) in zone_of.iter().enumerate() {
        let Some(new) = new.map(|new| usize::from(new.0)) else { continue };
        if let Some(status) = document.zone_statuses.get(old) {
            zone_statuses[new] =
                ZoneStatus { unreachable_from: zones(&status.unreachable_from), ..status.clone() };
        }
        for section in 0..sections {
            let value = document.plan.spare.get(section * zone_of.len() + old).copied().unwrap_or(0.0);
            spare[section * count + new] = if value.is_finite() { value.max(0.0) } else { 0.0 };
        }
    }
    let mut rows: BTreeMap<(u16, Zone), Row> = BTreeMap::new();
    for row in document.plan.rows.iter().filter(|row| row.is_sound()) {
        let (Some(rule), Some(from)) = (rule(row.rule), zone(row.from)) else { continue };
        let Some(list) = priorities.list_index(rule, from) else { continue };
        let allowed = priorities.lists[list].allowed_zones();
        let kept_share = |share: &Share| {
            zone(share.zone).filter(|to| allowed & zone_bit(*to) != 0).map(|zone| Share { zone, ..*share })
        };
        let mut to: Vec<Share> = row.to.iter().filter_map(kept_share).collect();
        to.sort_by_key(|share| share.zone);
        let sum = |to: &[Share]| to.iter().map(|share| u64::from(share.part)).sum::<u64>();
        let (old_sum, new_sum) = (sum(&row.to), sum(&to));
        if new_sum == 0 && old_sum > 0 {
            continue;
        }
        if new_sum < old_sum {
            to.iter_mut().for_each(|share| share.part = (u64::from(share.part) * old_sum / new_sum) as u16);
            let rounding_loss = old_sum - sum(&to);
            if let Some(first) = to.first_mut() {
                first.part += rounding_loss as u16;
            }
        }
        rows.insert((rule, from), Row { rule, from, to });
    }
    let evacuations = document
        .evacuations
        .iter()
        .map(|evacuation| Evacuation { zones: zones(&evacuation.zones), ..evacuation.clone() });
    Document {
        digest: digest(topology, rules),
        zones: topology.zones().map(|zone| topology.zone_name(zone).to_owned()).collect(),
        rules: rules.all().iter().map(|rule| rule.name.clone()).collect(),
        zone_statuses,
        plan: Plan { epoch: document.plan.epoch, rows: rows.into_values().collect(), spare },
        evacuations: evacuations.filter(|evacuation| !evacuation.zones.is_empty()).collect(),
        hold: document.hold.clone(),
        shared_cause: document.shared_cause.clone(),
    }
}
