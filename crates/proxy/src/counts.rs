//! What becomes of requests, counted on the thread that serves while a change in stages runs, and handed over each interval.

use crate::nearness::Names;
use maplehook::tally::{Counting, End, Looks};
use maplehook_canary::IntervalReport;
use maplehook_core::{ClassId, TenantId};
use maplehook_rollout_agent::agent::ServingChannels;
use std::cell::RefCell;
use std::mem;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};

/// Counts by class and tenant.
pub struct Counts {
    names: watch::Receiver<Names>,
    /// When a request of each class is late.
    aims: RefCell<Vec<Duration>>,
    report: RefCell<IntervalReport>,
}

impl Counts {
    /// Under these names, by this process's numbers.
    pub fn new(names: watch::Receiver<Names>) -> Rc<Self> {
        Rc::new(Self { names, aims: RefCell::default(), report: RefCell::new(IntervalReport::new(0, "")) })
    }

    /// The classes' aims from now on.
    pub fn aim(&self, aims: Vec<Duration>) {
        *self.aims.borrow_mut() = aims;
    }

    fn take(&self, interval: u64) -> IntervalReport {
        let counted = self.report.replace(IntervalReport::new(0, ""));
        IntervalReport { interval, ..counted }
    }

    /// Hands over what was counted, each interval, as long as the process lives.
    pub async fn run(
        self: Rc<Self>,
        mut counts: watch::Receiver<Option<Duration>>,
        counted: tokio::sync::mpsc::Sender<IntervalReport>,
        counting: Rc<Counting>,
    ) {
        let (mut present, mut next, mut interval) = (None, Instant::now(), 0u64);
        loop {
            let wanted = *counts.borrow_and_update();
            if mem::replace(&mut present, wanted) != wanted {
                counting.look(wanted.map(|_| Rc::clone(&self) as Rc<dyn Looks>));
                drop(self.take(0));
                next = Instant::now() + wanted.unwrap_or_default();
            }
            tokio::select! {
                changed = counts.changed() => if changed.is_err() { return },
                () = sleep_until(next), if wanted.is_some() => {
                    interval += 1;
                    // What does not fit is lost: whoever is to take it stands still.
                    let _ = counted.try_send(self.take(interval));
                    next = (next + wanted.unwrap_or_default()).max(Instant::now());
                }
            }
        }
    }
}

impl Looks for Counts {
    fn ended(&self, class: ClassId, tenant: TenantId, end: End, after: Duration) {
        let names = self.names.borrow();
        let (class_at, tenant) = (usize::from(class.0), names.tenants.get(tenant.0 as usize));
        let Some(class) = names.classes.get(class_at) else { return };
        let mut report = self.report.borrow_mut();
        let cell = report.counts_mut(class, tenant.map_or("", String::as_str));
        match end {
            End::Served => {
                let late = self.aims.borrow().get(class_at).is_some_and(|aim| after > *aim);
                cell.record_served(u64::try_from(after.as_micros()).unwrap_or(u64::MAX), late);
            }
            End::Refused => cell.rejected += 1,
            End::Failed => cell.failed += 1,
        }
    }
}

/// What the thread that serves has of a part in changes in stages.
pub struct Part {
    /// What passes to and from the part's thread.
    pub serving: ServingChannels,
    /// What counts.
    pub counts: Rc<Counts>,
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn ends_are_counted_by_name_and_aim() {
        let names = Names { classes: vec!["look".into()], tenants: vec!["acme".into()], zones: Vec::new() };
        let (_keep, names) = watch::channel(names);
        let counts = Counts::new(names);
        counts.aim(vec![Duration::from_millis(10)]);
        let (class, tenant) = (ClassId(0), TenantId(0));
        counts.ended(class, tenant, End::Served, Duration::from_millis(9));
        counts.ended(class, tenant, End::Served, Duration::from_millis(8));
        counts.ended(class, tenant, End::Served, Duration::from_millis(11));
        counts.ended(class, TenantId(9), End::Refused, Duration::ZERO);
        counts.ended(class, tenant, End::Failed, Duration::ZERO);
        counts.ended(ClassId(7), tenant, End::Failed, Duration::ZERO);
        let mut report = counts.take(3);
        let cell = report.counts_mut("look", "acme").clone();
        assert_eq!((cell.served, cell.late, cell.rejected, cell.failed), (2, 1, 0, 1));
        assert_eq!((report.counts_mut("look", "").rejected, report.total(), report.interval), (1, 5, 3));
        assert_eq!(counts.take(4).total(), 0);
    }
}
