//! Forms that leave the process, as an earlier program wrote them: they are read and written as they were.

use maplehook_canary::bounds::{Bounds, Measure};
use maplehook_canary::report::{Cell, Key, Report, Side};
use maplehook_golden::golden_types;

golden_types! {
    measure: Postcard Measure;
    bounds: Postcard Bounds;
    side: Postcard Side;
    key: Postcard Key;
    cell: Postcard Cell;
    report: Postcard Report;
}
