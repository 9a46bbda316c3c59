//! Tests of the comparison of like with like.

use super::*;
use proptest::prelude::*;

fn report(zone: &str, cells: &[(&str, &str, u64, u64)]) -> IntervalReport {
    let mut report = IntervalReport::new(0, zone);
    for (class, tenant, served, failed) in cells {
        let cell = report.counts_mut(class, tenant);
        (cell.served, cell.failed) = (*served, *failed);
    }
    report
}

fn failed(cell: &RequestCounts) -> (u64, u64) {
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
