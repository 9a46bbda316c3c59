//! Forms that leave the process, as an earlier program wrote them: they are read and written as they were.

use maplehook_canary::report::{IntervalReport, RequestCounts, RequestGroup, Side};
use maplehook_canary::thresholds::{Metric, Thresholds};
use maplehook_golden::golden_types;

golden_types! {
    measure: Postcard Metric;
    bounds: Postcard Thresholds;
    side: Postcard Side;
    key: Postcard RequestGroup;
    cell: Postcard RequestCounts;
    report: Postcard IntervalReport;
}

/// Operators search the log for these debug texts.
#[test]
fn the_debug_texts_of_sides_are_as_they_were() {
    assert_eq!(format!("{:?}", [Side::Old, Side::New]), "[Old, New]");
}
