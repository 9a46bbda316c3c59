//! Values with a range, as several sections have them.

use crate::reader::{Reader, Table};
use std::time::Duration;

/// Whether a name may stand in a path as it is.
pub(crate) fn header_free(name: &str) -> bool {
    !name.is_empty() && name.bytes().all(|b| b.is_ascii_alphanumeric() || b"-._:".contains(&b))
}

/// Takes a number within a range, or names the fault.
macro_rules! ranged {
    ($reader:expr, $table:expr, $key:literal, $range:expr, $words:literal) => {{
        let value = $reader.take_in($table, $key);
        if let Some(value) = &value
            && !$range.contains(value)
        {
            $reader.fault_in($table, $key, format!("it has to be {}", $words));
        }
        value
    }};
}

pub(crate) use ranged;

/// A time in milliseconds, or a fault.
pub(crate) fn ms<'a>(reader: &mut Reader<'a>, table: &mut Table<'a>, key: &str, or: Duration) -> Duration {
    let Some(ms) = reader.take_in::<u64>(table, key) else { return or };
    if !(1..=86_400_000).contains(&ms) {
        reader.fault_in(table, key, "it has to be 1 to 86,400,000 ms".into());
    }
    Duration::from_millis(ms)
}
