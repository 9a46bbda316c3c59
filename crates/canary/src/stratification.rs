//! Stratified comparison: old and new balancers see different tenants and zones, so that only what both see is compared, and each
//! stratum weighs as much as both sides together can say of it (Mantel and Haenszel, 1959).

use crate::report::{IntervalReport, RequestCounts, RequestGroup};
use std::collections::BTreeMap;

/// A class, a tenant and a zone; empty where the stratum is coarser.
type Stratum = [String; 3];

/// The counts of several reports, by stratum.
fn counts_by_stratum(
    reports: &[&IntervalReport],
    is_in_scope: &dyn Fn(&RequestGroup) -> bool,
) -> BTreeMap<Stratum, RequestCounts> {
    let mut strata: BTreeMap<Stratum, RequestCounts> = BTreeMap::new();
    for report in reports {
        let groups = report.groups.iter().filter(|(group, counts)| is_in_scope(group) && counts.total() > 0);
        for (group, counts) in groups {
            let stratum = [group.class.clone(), group.tenant.clone(), report.zone.clone()];
            strata.entry(stratum).or_default().add(counts);
        }
    }
    strata
}

/// Merges strata that agree in the first `parts` parts.
fn merge_strata(strata: BTreeMap<Stratum, RequestCounts>, parts: usize) -> BTreeMap<Stratum, RequestCounts> {
    let mut merged: BTreeMap<Stratum, RequestCounts> = BTreeMap::new();
    for (mut stratum, counts) in strata {
        stratum[parts..].iter_mut().for_each(String::clear);
        merged.entry(stratum).or_default().add(&counts);
    }
    merged
}

/// Pairs of counts of the same stratum, old and new: by class, tenant and zone; what is left over of these without the zone; of these
/// without the tenant. What only one side has after that is not compared.
pub fn pairs(
    old: &[&IntervalReport],
    new: &[&IntervalReport],
    is_in_scope: &dyn Fn(&RequestGroup) -> bool,
) -> Vec<(RequestCounts, RequestCounts)> {
    let mut old_strata = counts_by_stratum(old, is_in_scope);
    let mut new_strata = counts_by_stratum(new, is_in_scope);
    let mut pairs = Vec::new();
    for parts in [3, 2, 1] {
        let mut unpaired = BTreeMap::new();
        new_strata = merge_strata(new_strata, parts);
        for (stratum, counts) in merge_strata(old_strata, parts) {
            match new_strata.remove(&stratum) {
                Some(other) => pairs.push((counts, other)),
                None => drop(unpaired.insert(stratum, counts)),
            }
        }
        old_strata = unpaired;
    }
    pairs
}

/// The difference between the shares of the new and the old side, and its variance by sampling alone; `None` where nothing can be
/// compared. `share` gives how many requests of some counts are counted, and of how many.
pub fn difference(
    pairs: &[(RequestCounts, RequestCounts)],
    share: &dyn Fn(&RequestCounts) -> (u64, u64),
) -> Option<(f64, f64)> {
    let (mut weights, mut sum, mut variance) = (0.0, 0.0, 0.0);
    for (old, new) in pairs {
        let ((a, n), (b, m)) = (share(old), share(new));
        if n == 0 || m == 0 {
            continue;
        }
        let (n, m) = (n as f64, m as f64);
        let weight = n * m / (n + m);
        let (p, q) = (a as f64 / n, b as f64 / m);
        // One half more on each side: that none of a few requests failed is no proof that none does.
        let (p1, q1) = ((a as f64 + 0.5) / (n + 1.0), (b as f64 + 0.5) / (m + 1.0));
        weights += weight;
        sum += weight * (q - p);
        variance += weight * weight * (p1 * (1.0 - p1) / n + q1 * (1.0 - q1) / m);
    }
    (weights > 0.0).then(|| (sum / weights, variance / (weights * weights)))
}

#[cfg(test)]
mod tests;
