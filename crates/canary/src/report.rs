//! What a balancer tells of an interval: counts by class and tenant, times, and what its process has used.

use hdrhistogram::Histogram;
use maplehook_cluster::Name;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The most classes and tenants that are told apart; the rest is one.
pub const KEYS_MOST: usize = 48;
/// The unit of times: 0.1 ms.
pub const UNIT_US: u64 = 100;
/// The longest time: a minute; longer ones count as that.
const LONGEST: u64 = 600_000;
/// Recorded times of a cell that are told.
const TIMES_MOST: usize = 256;

/// Which side of a change somebody is on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Side {
    /// As before.
    Old,
    /// Changed.
    New,
}

/// A class and a tenant, by name; an empty tenant is all those that are not told apart.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    /// The class.
    pub class: String,
    /// The tenant.
    pub tenant: String,
}

/// What became of requests.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "Told", into = "Told")]
pub struct Cell {
    /// Served within the class's aim.
    pub served: u64,
    /// Served, later than that.
    pub late: u64,
    /// Refused.
    pub refused: u64,
    /// Failed, or without an answer in time.
    pub failed: u64,
    times: Option<Histogram<u32>>,
}

/// A cell as it is told: times and how many had each.
#[derive(Clone, Serialize, Deserialize)]
struct Told {
    served: u64,
    late: u64,
    refused: u64,
    failed: u64,
    times: Vec<(u32, u32)>,
}

fn histogram() -> Option<Histogram<u32>> {
    // One digit: a sixteenth of a time, in a kilobyte. The bounds are known to be good.
    Histogram::new_with_bounds(1, LONGEST, 1).ok()
}

impl From<Told> for Cell {
    fn from(told: Told) -> Self {
        let Told { served, late, refused, failed, times } = told;
        let mut cell = Self { served, late, refused, failed, times: None };
        for (time, count) in times.into_iter().take(TIMES_MOST) {
            cell.note_times(u64::from(time), count);
        }
        cell
    }
}

impl From<Cell> for Told {
    fn from(cell: Cell) -> Self {
        let Cell { served, late, refused, failed, times } = cell;
        let recorded = times.iter().flat_map(Histogram::iter_recorded);
        let times = recorded.map(|v| (v.value_iterated_to() as u32, v.count_since_last_iteration() as u32));
        // Where there are too many, the longest matter most.
        let mut times: Vec<(u32, u32)> = times.collect();
        let spare = times.len().saturating_sub(TIMES_MOST);
        times.drain(..spare);
        Self { served, late, refused, failed, times }
    }
}

impl Cell {
    fn note_times(&mut self, time: u64, count: u32) {
        if self.times.is_none() {
            self.times = histogram();
        }
        if let Some(times) = &mut self.times {
            // Within the bounds it can't fail but for a count that runs over.
            let _ = times.record_n(time.clamp(1, LONGEST), count);
        }
    }

    /// A request was served after so many microseconds; `late`: later than its aim.
    pub fn served_after(&mut self, us: u64, late: bool) {
        if late {
            self.late += 1
        } else {
            self.served += 1
        }
        self.note_times(us / UNIT_US, 1);
    }

    /// Requests.
    pub fn total(&self) -> u64 {
        self.served.saturating_add(self.late).saturating_add(self.refused).saturating_add(self.failed)
    }

    /// Served ones, in time or late.
    pub fn answered(&self) -> u64 {
        self.served.saturating_add(self.late)
    }

    /// Served ones that took longer than this, in [`UNIT_US`].
    pub fn slower_than(&self, time: u64) -> u64 {
        self.times.as_ref().map_or(0, |times| times.count_between(time + 1, LONGEST.max(time + 1)))
    }

    /// The time below which this share of the served ones was, in [`UNIT_US`].
    pub fn quantile(&self, share: f64) -> Option<u64> {
        self.times.as_ref().filter(|times| !times.is_empty()).map(|times| times.value_at_quantile(share))
    }

    /// Both.
    pub fn add(&mut self, other: &Self) {
        self.served = self.served.saturating_add(other.served);
        self.late = self.late.saturating_add(other.late);
        self.refused = self.refused.saturating_add(other.refused);
        self.failed = self.failed.saturating_add(other.failed);
        match (&mut self.times, &other.times) {
            // Both have the same bounds.
            (Some(times), Some(more)) => drop(times.add(more)),
            (times @ None, Some(_)) => times.clone_from(&other.times),
            (_, None) => {}
        }
    }
}

/// What a balancer tells of an interval.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Which interval, counted from the beginning of the change.
    pub interval: u64,
    /// Its zone.
    pub zone: String,
    /// What became of requests.
    pub cells: BTreeMap<Key, Cell>,
    /// Processor's time, in microseconds.
    pub cpu_us: u64,
    /// Memory, in KiB.
    pub memory_kb: u64,
    /// Descriptors that are open.
    pub descriptors: u64,
    /// Times that its process has crashed, or was killed since it hung, in the interval.
    pub crashes: u32,
    /// Attempts that it sent to an upstream that drained.
    pub drains_broken: u32,
}

impl Report {
    /// One of an interval in which nothing was counted yet.
    pub fn new(interval: u64, zone: &str) -> Self {
        Self {
            interval,
            zone: zone.to_owned(),
            cells: BTreeMap::new(),
            cpu_us: 0,
            memory_kb: 0,
            descriptors: 0,
            crashes: 0,
            drains_broken: 0,
        }
    }

    /// The cell of a class and a tenant; of one too many, that of the class without a tenant.
    pub fn cell(&mut self, class: &str, tenant: &str) -> &mut Cell {
        let key = Key { class: class.to_owned(), tenant: tenant.to_owned() };
        let full = self.cells.len() >= KEYS_MOST && !self.cells.contains_key(&key);
        let key = if full { Key { tenant: String::new(), ..key } } else { key };
        self.cells.entry(key).or_default()
    }

    /// Several as one: what was counted together, what was measured on the average. Of several zones it names none.
    pub fn together<'a>(reports: impl IntoIterator<Item = &'a Self>) -> Option<Self> {
        let mut reports = reports.into_iter();
        let mut whole = reports.next()?.clone();
        let mut many = 1u64;
        for report in reports {
            many += 1;
            if whole.zone != report.zone {
                whole.zone.clear();
            }
            for (key, cell) in &report.cells {
                whole.cell(&key.class, &key.tenant).add(cell);
            }
            whole.cpu_us = whole.cpu_us.saturating_add(report.cpu_us);
            whole.memory_kb = whole.memory_kb.saturating_add(report.memory_kb);
            whole.descriptors = whole.descriptors.saturating_add(report.descriptors);
            whole.crashes = whole.crashes.saturating_add(report.crashes);
            whole.drains_broken = whole.drains_broken.saturating_add(report.drains_broken);
        }
        (whole.memory_kb, whole.descriptors) = (whole.memory_kb / many, whole.descriptors / many);
        Some(whole)
    }

    /// Requests.
    pub fn total(&self) -> u64 {
        self.cells.values().fold(0, |sum, cell| sum.saturating_add(cell.total()))
    }
}

/// The reports of an interval, by balancer.
pub type Reports = BTreeMap<Name, Report>;

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    proptest! {
        /// What is told is what was counted, whatever it is split into.
        #[test]
        fn merging_is_the_same_as_counting_together(
            times in prop::collection::vec((1u64..5_000_000, any::<bool>()), 0..60),
            cut in 0usize..60,
        ) {
            let mut whole = Cell::default();
            let (mut a, mut b) = (Cell::default(), Cell::default());
            for (n, (us, late)) in times.iter().enumerate() {
                whole.served_after(*us, *late);
                if n < cut { a.served_after(*us, *late) } else { b.served_after(*us, *late) }
            }
            a.add(&b);
            prop_assert_eq!(a.total(), whole.total());
            prop_assert_eq!(a.slower_than(1000), whole.slower_than(1000));
            let told: Cell = postcard::from_bytes(&postcard::to_stdvec(&whole).unwrap()).unwrap();
            prop_assert_eq!(told.total(), whole.total());
            prop_assert_eq!(told.quantile(0.9), whole.quantile(0.9));
        }

        /// No panic on what a peer says, and no more memory than its bytes are worth.
        #[test]
        fn garbage_is_no_harm(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
            if let Ok(report) = postcard::from_bytes::<Report>(&bytes) {
                let counted: u64 = report.cells.values().filter_map(|cell| cell.quantile(0.5)).sum();
                prop_assert!(counted <= LONGEST * 400 && report.cells.len() <= 400);
                let _ = report.total();
            }
        }
    }

    #[test]
    fn a_report_is_bounded() {
        let mut report = Report::new(1, "a");
        for n in 0..10_000u64 {
            report.cell(&format!("class-{}", n % 4), &format!("tenant-{n}")).served_after(n * 37, false);
        }
        assert!(report.cells.len() <= KEYS_MOST + 4);
        assert_eq!(report.total(), 10_000);
        let bytes = postcard::to_stdvec(&report).unwrap().len();
        assert!(bytes < 16 * 1024, "{bytes}");
    }
}
