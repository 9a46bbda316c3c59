//! Like with like: old and new balancers see different tenants and zones, so that only what both see is compared, and each part
//! weighs as much as both together can say of it (Mantel and Haenszel, 1959).

use crate::report::{Cell, Key, Report};
use std::collections::BTreeMap;

/// A class, a tenant and a zone.
type Stratum = [String; 3];

/// The cells of several reports, by stratum.
fn cells(reports: &[&Report], keep: &dyn Fn(&Key) -> bool) -> BTreeMap<Stratum, Cell> {
    let mut cells: BTreeMap<Stratum, Cell> = BTreeMap::new();
    for report in reports {
        for (key, cell) in report.cells.iter().filter(|(key, cell)| keep(key) && cell.total() > 0) {
            let stratum = [key.class.clone(), key.tenant.clone(), report.zone.clone()];
            cells.entry(stratum).or_default().add(cell);
        }
    }
    cells
}

/// By class, tenant and zone; then without the zone; then without the tenant.
fn coarser(cells: BTreeMap<Stratum, Cell>, parts: usize) -> BTreeMap<Stratum, Cell> {
    let mut merged: BTreeMap<Stratum, Cell> = BTreeMap::new();
    for (mut stratum, cell) in cells {
        stratum[parts..].iter_mut().for_each(String::clear);
        merged.entry(stratum).or_default().add(&cell);
    }
    merged
}

/// Pairs of like cells, old and new: as fine as both sides have them. What is left over of one side alone is compared with nothing.
pub fn pairs(old: &[&Report], new: &[&Report], keep: &dyn Fn(&Key) -> bool) -> Vec<(Cell, Cell)> {
    let (mut ours, mut theirs) = (cells(old, keep), cells(new, keep));
    let mut pairs = Vec::new();
    for parts in [3, 2, 1] {
        let mut left = BTreeMap::new();
        theirs = coarser(theirs, parts);
        for (stratum, cell) in coarser(ours, parts) {
            match theirs.remove(&stratum) {
                Some(other) => pairs.push((cell, other)),
                None => drop(left.insert(stratum, cell)),
            }
        }
        ours = left;
    }
    pairs
}

/// The difference between the shares of new and old, and the variance that counting alone gives it. `share` gives, of a cell, how
/// many are counted and of how many.
pub fn difference(pairs: &[(Cell, Cell)], share: &dyn Fn(&Cell) -> (u64, u64)) -> Option<(f64, f64)> {
    let (mut weights, mut sum, mut variance) = (0.0, 0.0, 0.0);
    for (old, new) in pairs {
        let ((a, n), (b, m)) = (share(old), share(new));
        if n == 0 || m == 0 {
            continue;
        }
        let (n, m) = (n as f64, m as f64);
        let weight = n * m / (n + m);
        let (p, q) = (a as f64 / n, b as f64 / m);
        // One half more on each side: of few requests none that failed is no proof that none does.
        let (p1, q1) = ((a as f64 + 0.5) / (n + 1.0), (b as f64 + 0.5) / (m + 1.0));
        weights += weight;
        sum += weight * (q - p);
        variance += weight * weight * (p1 * (1.0 - p1) / n + q1 * (1.0 - q1) / m);
    }
    (weights > 0.0).then(|| (sum / weights, variance / (weights * weights)))
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn report(zone: &str, cells: &[(&str, &str, u64, u64)]) -> Report {
        let mut report = Report::new(0, zone);
        for (class, tenant, served, failed) in cells {
            let cell = report.cell(class, tenant);
            (cell.served, cell.failed) = (*served, *failed);
        }
        report
    }

    fn failed(cell: &Cell) -> (u64, u64) {
        (cell.failed, cell.total())
    }

    /// The new ones see just the tenant that always fails: that is the tenant's doing, not theirs (Simpson's paradox).
    #[test]
    fn another_mix_of_tenants_is_no_harm() {
        let old = report("a", &[("book", "good", 900, 0), ("book", "bad", 50, 50)]);
        let new = report("a", &[("book", "good", 90, 0), ("book", "bad", 450, 450)]);
        let pairs = pairs(&[&old], &[&new], &|_| true);
        assert_eq!(pairs.len(), 2);
        let (difference, _) = difference(&pairs, &failed).unwrap();
        assert!(difference.abs() < 1e-9, "{difference}");
    }

    #[test]
    fn what_only_one_side_has_is_compared_more_coarsely_or_not_at_all() {
        let old = report("a", &[("book", "x", 10, 0), ("look", "x", 10, 0)]);
        let new = report("b", &[("book", "y", 10, 5), ("pay", "x", 10, 0)]);
        // Another zone and another tenant: by the class alone.
        assert_eq!(pairs(&[&old], &[&new], &|_| true).len(), 1);
        let new = report("b", &[("book", "x", 10, 5)]);
        assert_eq!(pairs(&[&old], &[&new], &|key| key.class == "book").len(), 1);
        assert!(pairs(&[&old], &[&new], &|key| key.class == "pay").is_empty());
    }

    proptest! {
        /// The same on both sides is no difference, whatever the mix.
        #[test]
        fn the_same_is_no_difference(cells in prop::collection::vec(("[ab]", "[xyz]", 1u64..50, 0u64..9), 1..8)) {
            let cells: Vec<(&str, &str, u64, u64)> = cells.iter().map(|(a, b, c, d)| (a.as_str(), b.as_str(), *c, *d)).collect();
            let one = report("a", &cells);
            let pairs = pairs(&[&one], &[&one], &|_| true);
            let (d, variance) = difference(&pairs, &failed).unwrap();
            prop_assert!(d.abs() < 1e-9 && variance > 0.0);
        }
    }
}
