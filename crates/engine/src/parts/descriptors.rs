//! File descriptors of this process: the limit of each use, what happens when none is left, and one spare
//! descriptor for that case.

use crate::parts::rate_limited_log::RateLimitedLog;
use maplehook_admission::descriptor_budget::TooFewDescriptorsError;
use maplehook_admission::{ConnectionLimits, DescriptorBudget, DescriptorClass};
use rlimit::Resource;
use rustc_hash::FxHashMap;
use std::cell::{Cell, RefCell};
use std::fs::File;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Interval for reading the process limit, which can be lowered from outside at run time.
const LIMIT_POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Pause after a failure for lack of a descriptor. Closing connections takes a moment, and retrying at once
/// would spin.
pub const EXHAUSTION_BACKOFF: Duration = Duration::from_millis(5);

/// Frees a descriptor soon; returns false if none can be spared.
type ReliefCallback = Box<dyn Fn() -> bool>;

/// Descriptor budget of the process.
pub struct Descriptors {
    budget: RefCell<DescriptorBudget>,
    /// The most connections for which there is memory.
    memory_limits: Cell<ConnectionLimits>,
    started_at: Instant,
    spare: RefCell<Option<File>>,
    relief_callbacks: RefCell<Vec<ReliefCallback>>,
    limit_listeners: RefCell<Vec<Box<dyn Fn()>>>,
    /// Last time that the relief callbacks ran; one shortage makes many operations fail at once.
    last_relief: Cell<Option<Instant>>,
    /// Separate log for each operation, so that the most frequent failure does not suppress the others.
    exhaustion_logs: RefCell<FxHashMap<&'static str, RateLimitedLog>>,
}

/// Returns the soft limit of the process.
pub fn process_limit() -> usize {
    // If the limit is unreadable, only the configuration applies.
    Resource::NOFILE.get_soft().map_or(usize::MAX, |n| usize::try_from(n).unwrap_or(usize::MAX))
}

/// Sets the soft limit of the process, up to the hard limit.
pub fn set_limit(limit: u64) -> io::Result<()> {
    let (_, hard) = Resource::NOFILE.get()?;
    if limit > hard {
        return Err(io::Error::other(format!(
            "a limit of {limit} descriptors exceeds the hard limit of {hard}"
        )));
    }
    Resource::NOFILE.set(limit, hard)
}

impl Descriptors {
    /// Creates a budget of `configured` descriptors, bounded by the process limit. `reserved` of them are
    /// used outside the balancer; upstreams get `upstream_share` of the divisible rest.
    pub fn new(
        configured: usize,
        reserved: usize,
        upstream_share: f64,
    ) -> Result<Rc<Self>, TooFewDescriptorsError> {
        Ok(Rc::new(Self {
            budget: RefCell::new(DescriptorBudget::new(
                configured,
                process_limit(),
                reserved,
                upstream_share,
            )?),
            memory_limits: Cell::new(ConnectionLimits::NONE),
            started_at: Instant::now(),
            spare: RefCell::new(open_spare()),
            relief_callbacks: RefCell::default(),
            limit_listeners: RefCell::default(),
            last_relief: Cell::new(None),
            exhaustion_logs: RefCell::default(),
        }))
    }

    /// Creates the budget of an embedded engine: up to `max_connections` connections to upstreams, within the
    /// process limit.
    pub fn for_upstreams(max_connections: usize) -> Result<Rc<Self>, TooFewDescriptorsError> {
        use maplehook_admission::descriptor_budget::{
            BASE_DESCRIPTORS, DISCOVERY_DESCRIPTORS, REJECTION_DESCRIPTORS,
        };
        // The other half is unused in an embedded engine.
        const UPSTREAM_SHARE: f64 = 0.5;
        Self::new(
            (max_connections as f64 / UPSTREAM_SHARE).ceil() as usize
                + BASE_DESCRIPTORS
                + DISCOVERY_DESCRIPTORS
                + REJECTION_DESCRIPTORS,
            0,
            UPSTREAM_SHARE,
        )
    }

    /// Returns the number of descriptors that a class may use now.
    pub fn limit_of(&self, class: DescriptorClass) -> usize {
        self.budget.borrow().limit_of(class).min(self.memory_limits.get().of(class))
    }

    /// Returns the number of descriptors of a class, whatever memory there is for its connections.
    pub fn descriptors_of(&self, class: DescriptorClass) -> usize {
        self.budget.borrow().limit_of(class)
    }

    /// Limits the connections of each class to those for which there is memory.
    pub fn set_memory_limits(&self, limits: ConnectionLimits) {
        self.memory_limits.set(limits);
        self.notify_listeners();
    }

    /// Changes the configured limit, for example when another process starts or stops sharing the platform's
    /// allowance.
    pub fn set_configured_limit(&self, configured: usize) {
        if self.budget.borrow_mut().set_configured_limit(configured) {
            self.notify_listeners();
        }
    }

    /// Registers a callback that frees a descriptor; callbacks run in the order of registration.
    pub fn add_relief(&self, relief: impl Fn() -> bool + 'static) {
        self.relief_callbacks.borrow_mut().push(Box::new(relief));
    }

    /// Registers a callback for changes of the limits.
    pub fn on_limits_changed(&self, listener: impl Fn() + 'static) {
        self.limit_listeners.borrow_mut().push(Box::new(listener));
    }

    /// Records that an operation failed for lack of a descriptor. Reads the process limit again; if that is
    /// unchanged, the budget shrinks. One descriptor is then freed if possible, and the result is true.
    /// Callers wait for [`EXHAUSTION_BACKOFF`]; of several failures within it only the first gets true.
    pub fn record_exhaustion(&self, operation: &'static str) -> bool {
        self.exhaustion_logs
            .borrow_mut()
            .entry(operation)
            .or_default()
            .warn(|| format!("no descriptor left: {operation}"));
        let now = Instant::now();
        if self.last_relief.get().is_some_and(|at| now - at < EXHAUSTION_BACKOFF) {
            return false;
        }
        self.last_relief.set(Some(now));
        if !self.budget.borrow_mut().set_process_limit(process_limit()) {
            self.budget.borrow_mut().record_exhaustion(self.started_at.elapsed());
        }
        let freed = self.relief_callbacks.borrow().iter().any(|relief| relief());
        self.notify_listeners();
        freed
    }

    /// Runs `task` while the spare descriptor is available to it.
    pub fn with_spare<T>(&self, task: impl FnOnce() -> T) -> T {
        self.release_spare();
        let result = task();
        self.reacquire_spare();
        result
    }

    /// Closes the spare descriptor, until [`Self::reacquire_spare`] opens one again.
    pub fn release_spare(&self) {
        drop(self.spare.borrow_mut().take());
    }

    /// Opens the spare descriptor again, if a descriptor is available.
    pub fn reacquire_spare(&self) {
        let is_missing = self.spare.borrow().is_none();
        if is_missing {
            *self.spare.borrow_mut() = open_spare();
        }
    }

    /// Follows the limit of the process; never returns.
    pub async fn watch_process_limit(self: Rc<Self>) {
        loop {
            sleep(LIMIT_POLL_INTERVAL).await;
            self.reacquire_spare();
            let limit_changed = self.budget.borrow_mut().set_process_limit(process_limit());
            let budget_grew = self.budget.borrow_mut().relax(self.started_at.elapsed());
            if limit_changed {
                tracing::warn!(
                    clients = self.limit_of(DescriptorClass::Clients),
                    upstreams = self.limit_of(DescriptorClass::Upstreams),
                    "the descriptor limit of the process has changed"
                );
            }
            if limit_changed || budget_grew {
                self.notify_listeners();
            }
        }
    }

    fn notify_listeners(&self) {
        self.limit_listeners.borrow().iter().for_each(|listener| listener());
    }
}

fn open_spare() -> Option<File> {
    File::open("/dev/null").ok()
}

/// Returns true for errors due to the descriptor limit of the process or of the system.
pub fn is_descriptor_exhaustion(e: &io::Error) -> bool {
    // `io::ErrorKind` has no stable variant for EMFILE and ENFILE.
    matches!(e.raw_os_error(), Some(23 | 24))
}

/// Returns true if a connection failed for lack of a local resource, which does not count against the
/// upstream: all ports are in use or closing (`EADDRNOTAVAIL`, `EADDRINUSE`), or kernel memory is exhausted
/// (`ENOBUFS`, `ENOMEM`).
pub fn is_local_failure(e: &io::Error) -> bool {
    use io::ErrorKind::{AddrInUse, AddrNotAvailable, OutOfMemory};
    is_descriptor_exhaustion(e)
        || matches!(e.kind(), AddrInUse | AddrNotAvailable | OutOfMemory)
        || e.raw_os_error() == Some(105)
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against blaming an upstream for a local shortage.
    #[test]
    fn local_shortages_are_distinguished_from_upstream_failures() {
        let is_local = |errno| is_local_failure(&io::Error::from_raw_os_error(errno));
        assert!([23, 24, 98, 99, 105, 12].into_iter().all(is_local));
        // ECONNREFUSED, ECONNRESET, ETIMEDOUT, EHOSTUNREACH, ENETUNREACH, ECONNABORTED.
        assert!(![111, 104, 110, 113, 101, 103].into_iter().any(is_local));
    }

    /// Guards against closing one connection per failure: many operations that fail at once free one
    /// descriptor.
    #[tokio::test(flavor = "local", start_paused = true)]
    async fn simultaneous_failures_free_one_descriptor() {
        let descriptors = Descriptors::new(256, 0, 0.5).unwrap();
        let count = Rc::new(Cell::new((0, 0)));
        let (first, second, notified) = (Rc::clone(&count), Rc::clone(&count), Rc::new(Cell::new(0)));
        descriptors.add_relief(move || {
            first.set((first.get().0 + 1, first.get().1));
            first.get().0 > 1
        });
        descriptors.add_relief(move || {
            second.set((second.get().0, second.get().1 + 1));
            true
        });
        let notify = Rc::clone(&notified);
        descriptors.on_limits_changed(move || notify.set(notify.get() + 1));
        let before = descriptors.limit_of(DescriptorClass::Clients);
        assert_eq!((0..50).filter(|_| descriptors.record_exhaustion("test")).count(), 1);
        assert_eq!((count.get(), notified.get()), ((1, 1), 1));
        assert!(
            descriptors.limit_of(DescriptorClass::Clients) + descriptors.limit_of(DescriptorClass::Upstreams)
                < 232
        );
        sleep(EXHAUSTION_BACKOFF).await;
        assert!(descriptors.record_exhaustion("test"));
        // This time the first callback frees a descriptor, so the second does not run.
        assert_eq!(count.get(), (2, 1));
        // The limits recover after the shortage.
        let watch = tokio::task::spawn_local(Rc::clone(&descriptors).watch_process_limit());
        sleep(Duration::from_secs(30)).await;
        assert_eq!(descriptors.limit_of(DescriptorClass::Clients), before);
        watch.abort();
    }
}
