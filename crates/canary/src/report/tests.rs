//! Tests of reports: they are merged, bounded, and read from any bytes.

use super::*;
use crate::request_counts::MAX_TIME;
use proptest::prelude::*;

proptest! {
    /// What is told is what was counted, whatever it is split into.
    #[test]
    fn merging_is_the_same_as_counting_together(
        times in prop::collection::vec((1u64..5_000_000, any::<bool>()), 0..60),
        cut in 0usize..60,
    ) {
        let mut whole = RequestCounts::default();
        let (mut a, mut b) = (RequestCounts::default(), RequestCounts::default());
        for (n, (us, late)) in times.iter().enumerate() {
            whole.record_served(*us, *late);
            if n < cut { a.record_served(*us, *late) } else { b.record_served(*us, *late) }
        }
        a.add(&b);
        prop_assert_eq!(a.total(), whole.total());
        prop_assert_eq!(a.slower_than(1000), whole.slower_than(1000));
        let told: RequestCounts = postcard::from_bytes(&postcard::to_stdvec(&whole).unwrap()).unwrap();
        prop_assert_eq!(told.total(), whole.total());
        prop_assert_eq!(told.quantile(0.9), whole.quantile(0.9));
    }

    /// No panic on what a peer says, and no more memory than its bytes are worth.
    #[test]
    fn garbage_is_no_harm(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        if let Ok(report) = postcard::from_bytes::<IntervalReport>(&bytes) {
            let counted: u64 = report.groups.values().filter_map(|cell| cell.quantile(0.5)).sum();
            prop_assert!(counted <= MAX_TIME * 400 && report.groups.len() <= 400);
            let _ = report.total();
        }
    }
}

#[test]
fn a_report_is_bounded() {
    let mut report = IntervalReport::new(1, "a");
    for n in 0..10_000u64 {
        report.counts_mut(&format!("class-{}", n % 4), &format!("tenant-{n}")).record_served(n * 37, false);
    }
    assert!(report.groups.len() <= MAX_GROUPS + 4);
    assert_eq!(report.total(), 10_000);
    let bytes = postcard::to_stdvec(&report).unwrap().len();
    assert!(bytes < 16 * 1024, "{bytes}");
}
