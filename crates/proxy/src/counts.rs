//! Counts request outcomes on the serving thread during a staged rollout, and hands the counts over after
//! each interval.

use crate::failover::NamesById;
use maplehook::metrics::{RequestMetrics, RequestObserver, RequestResult};
use maplehook_canary::IntervalReport;
use maplehook_core::{ClassId, TenantId};
use maplehook_rollout_agent::agent::ServingChannels;
use std::cell::RefCell;
use std::mem;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};

/// Request counts of the current interval, by class and tenant.
pub struct IntervalCounts {
    names: watch::Receiver<NamesById>,
    /// Latency objective of each class, by class id; slower requests count as late.
    latency_objectives: RefCell<Vec<Duration>>,
    report: RefCell<IntervalReport>,
}

impl IntervalCounts {
    /// Creates empty counts; `names` maps the ids of classes and tenants to names.
    pub fn new(names: watch::Receiver<NamesById>) -> Rc<Self> {
        Rc::new(Self {
            names,
            latency_objectives: RefCell::default(),
            report: RefCell::new(IntervalReport::new(0, "")),
        })
    }

    /// Sets the latency objective of each class.
    pub fn set_latency_objectives(&self, latency_objectives: Vec<Duration>) {
        *self.latency_objectives.borrow_mut() = latency_objectives;
    }

    fn take_report(&self, interval: u64) -> IntervalReport {
        let report = self.report.replace(IntervalReport::new(0, ""));
        IntervalReport { interval, ..report }
    }

    /// Hands over the report of each interval while `interval_settings` has an interval, until its sender is
    /// dropped.
    pub async fn run(
        self: Rc<Self>,
        mut interval_settings: watch::Receiver<Option<Duration>>,
        reports: tokio::sync::mpsc::Sender<IntervalReport>,
        request_counting: Rc<RequestMetrics>,
    ) {
        let (mut current, mut next_report, mut interval_number) = (None, Instant::now(), 0u64);
        loop {
            let interval = *interval_settings.borrow_and_update();
            if mem::replace(&mut current, interval) != interval {
                request_counting.set_observer(interval.map(|_| Rc::clone(&self) as Rc<dyn RequestObserver>));
                drop(self.take_report(0));
                next_report = Instant::now() + interval.unwrap_or_default();
            }
            tokio::select! {
                changed = interval_settings.changed() => if changed.is_err() { return },
                () = sleep_until(next_report), if interval.is_some() => {
                    interval_number += 1;
                    // If the channel is full, the receiving thread is stalled and the report is dropped.
                    let _ = reports.try_send(self.take_report(interval_number));
                    next_report = (next_report + interval.unwrap_or_default()).max(Instant::now());
                }
            }
        }
    }
}

impl RequestObserver for IntervalCounts {
    fn request_ended(&self, class: ClassId, tenant: TenantId, end: RequestResult, after: Duration) {
        let names = self.names.borrow();
        let (class_index, tenant) = (usize::from(class.0), names.tenants.get(tenant.0 as usize));
        let Some(class) = names.classes.get(class_index) else { return };
        let mut report = self.report.borrow_mut();
        let counts = report.counts_mut(class, tenant.map_or("", String::as_str));
        match end {
            RequestResult::Served => {
                let is_late = self
                    .latency_objectives
                    .borrow()
                    .get(class_index)
                    .is_some_and(|objective| after > *objective);
                counts.record_served(u64::try_from(after.as_micros()).unwrap_or(u64::MAX), is_late);
            }
            RequestResult::Rejected => counts.rejected += 1,
            RequestResult::Failed => counts.failed += 1,
        }
    }
}

/// The serving thread's side of a staged rollout.
pub struct RolloutLink {
    /// Channels to and from the rollout agent's thread.
    pub channels: ServingChannels,
    /// Counts that are reported to the rollout agent.
    pub counts: Rc<IntervalCounts>,
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn requests_are_counted_by_class_tenant_and_latency_objective() {
        let names =
            NamesById { classes: vec!["look".into()], tenants: vec!["acme".into()], zones: Vec::new() };
        let (_sender, names) = watch::channel(names);
        let counts = IntervalCounts::new(names);
        counts.set_latency_objectives(vec![Duration::from_millis(10)]);
        let (class, tenant) = (ClassId(0), TenantId(0));
        counts.request_ended(class, tenant, RequestResult::Served, Duration::from_millis(9));
        counts.request_ended(class, tenant, RequestResult::Served, Duration::from_millis(8));
        counts.request_ended(class, tenant, RequestResult::Served, Duration::from_millis(11));
        counts.request_ended(class, TenantId(9), RequestResult::Rejected, Duration::ZERO);
        counts.request_ended(class, tenant, RequestResult::Failed, Duration::ZERO);
        counts.request_ended(ClassId(7), tenant, RequestResult::Failed, Duration::ZERO);
        let mut report = counts.take_report(3);
        let class_counts = report.counts_mut("look", "acme").clone();
        assert_eq!(
            (class_counts.served, class_counts.late, class_counts.rejected, class_counts.failed),
            (2, 1, 0, 1)
        );
        assert_eq!((report.counts_mut("look", "").rejected, report.total(), report.interval), (1, 5, 3));
        assert_eq!(counts.take_report(4).total(), 0);
    }
}
