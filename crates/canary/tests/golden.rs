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
