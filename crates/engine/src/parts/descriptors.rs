//! The owner of this process's descriptors: how many each part may hold, what is done when none is left, and
//! the one that is kept spare for that moment.

use crate::parts::rate_limited_log::RateLimitedLog;
use maplehook_admission::descriptor_budget::TooFewDescriptorsError;
use maplehook_admission::{DescriptorBudget, DescriptorClass};
use rlimit::Resource;
use rustc_hash::FxHashMap;
use std::cell::{Cell, RefCell};
use std::fs::File;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// How often the process's own limit is read: it may be lowered from outside while it runs.
const LOOK_EVERY: Duration = Duration::from_millis(250);
/// Pause after a failure for want of a descriptor: those told to end need a moment, and trying at once spins.
pub const EXHAUSTION_BACKOFF: Duration = Duration::from_millis(5);

/// Frees a descriptor before long; `false` if it has none that can be spared.
type Relief = Box<dyn Fn() -> bool>;

/// The descriptors of the process.
pub struct Descriptors {
    budget: RefCell<DescriptorBudget>,
    start: Instant,
    spare: RefCell<Option<File>>,
    reliefs: RefCell<Vec<Relief>>,
    changed: RefCell<Vec<Box<dyn Fn()>>>,
    /// When the reliefs were last called: many may fail at one moment.
    relieved: Cell<Option<Instant>>,
    /// By what was in want of one: the one that is refused most often must not hide the others.
    short: RefCell<FxHashMap<&'static str, RateLimitedLog>>,
}

/// The limit that the process finds.
pub fn real_limit() -> usize {
    // Where it can't be read, nothing is known to bind but the configuration.
    Resource::NOFILE.get_soft().map_or(usize::MAX, |n| usize::try_from(n).unwrap_or(usize::MAX))
}

/// Sets the limit of the process, within what it may set itself.
pub fn set_limit(limit: u64) -> io::Result<()> {
    let (_, hard) = Resource::NOFILE.get()?;
    if limit > hard {
        return Err(io::Error::other(format!("{limit} descriptors are more than the {hard} allowed")));
    }
    Resource::NOFILE.set(limit, hard)
}

impl Descriptors {
    /// `allowed` by configuration, within the real limit, of which `aside` are somebody else's; upstreams get this share
    /// of what is shared out.
    pub fn new(
        allowed: usize,
        aside: usize,
        upstream_share: f64,
    ) -> Result<Rc<Self>, TooFewDescriptorsError> {
        Ok(Rc::new(Self {
            budget: RefCell::new(DescriptorBudget::new(allowed, real_limit(), aside, upstream_share)?),
            start: Instant::now(),
            spare: RefCell::new(spare()),
            reliefs: RefCell::default(),
            changed: RefCell::default(),
            relieved: Cell::new(None),
            short: RefCell::default(),
        }))
    }

    /// Those of an engine in somebody else's process: `most` connections to upstreams, as far as the limit goes.
    pub fn for_upstreams(most: usize) -> Result<Rc<Self>, TooFewDescriptorsError> {
        use maplehook_admission::descriptor_budget::{
            BASE_DESCRIPTORS, DISCOVERY_DESCRIPTORS, REJECTION_DESCRIPTORS,
        };
        // The rest of what is shared out is nobody's here.
        const SHARE: f64 = 0.5;
        Self::new(
            (most as f64 / SHARE).ceil() as usize
                + BASE_DESCRIPTORS
                + DISCOVERY_DESCRIPTORS
                + REJECTION_DESCRIPTORS,
            0,
            SHARE,
        )
    }

    /// How many a part may hold now.
    pub fn limit_of(&self, class: DescriptorClass) -> usize {
        self.budget.borrow().limit_of(class)
    }

    /// So many are allowed from now on: another process shares what the platform allows, or does so no more.
    pub fn set_configured_limit(&self, allowed: usize) {
        if self.budget.borrow_mut().set_configured_limit(allowed) {
            self.tell();
        }
    }

    /// Whom to ask for a descriptor when there is none; those added first are asked first.
    pub fn add_relief(&self, relief: impl Fn() -> bool + 'static) {
        self.reliefs.borrow_mut().push(Box::new(relief));
    }

    /// Whom to tell that the parts have changed.
    pub fn on_limits_changed(&self, changed: impl Fn() + 'static) {
        self.changed.borrow_mut().push(Box::new(changed));
    }

    /// Something could not be opened for want of a descriptor: the limit is read anew, and if it was not that,
    /// the parts shrink; either way one descriptor is freed before long, if any can be spared (`true`). Whoever
    /// failed waits [`EXHAUSTION_BACKOFF`]; of many that fail at one moment, one is told so.
    pub fn record_exhaustion(&self, what: &'static str) -> bool {
        self.short.borrow_mut().entry(what).or_default().warn(|| format!("no descriptor left: {what}"));
        let now = Instant::now();
        if self.relieved.get().is_some_and(|at| now - at < EXHAUSTION_BACKOFF) {
            return false;
        }
        self.relieved.set(Some(now));
        if !self.budget.borrow_mut().set_process_limit(real_limit()) {
            self.budget.borrow_mut().record_exhaustion(self.start.elapsed());
        }
        let freed = self.reliefs.borrow().iter().any(|relief| relief());
        self.tell();
        freed
    }

    /// Does something with the spare descriptor given up for as long as it takes.
    pub fn with_spare<T>(&self, act: impl FnOnce() -> T) -> T {
        self.release_spare();
        let done = act();
        self.reacquire_spare();
        done
    }

    /// Gives the spare descriptor up, until [`Self::reacquire_spare`] finds one again.
    pub fn release_spare(&self) {
        drop(self.spare.borrow_mut().take());
    }

    /// Gets the spare descriptor back, as soon as there is one.
    pub fn reacquire_spare(&self) {
        let missing = self.spare.borrow().is_none();
        if missing {
            *self.spare.borrow_mut() = spare();
        }
    }

    /// Follows the limit of the process, as long as it lives.
    pub async fn watch_process_limit(self: Rc<Self>) {
        loop {
            sleep(LOOK_EVERY).await;
            self.reacquire_spare();
            let limited = self.budget.borrow_mut().set_process_limit(real_limit());
            let relaxed = self.budget.borrow_mut().relax(self.start.elapsed());
            if limited {
                tracing::warn!(
                    clients = self.limit_of(DescriptorClass::Clients),
                    upstreams = self.limit_of(DescriptorClass::Upstreams),
                    "the limit on descriptors has changed"
                );
            }
            if limited || relaxed {
                self.tell();
            }
        }
    }

    fn tell(&self) {
        self.changed.borrow().iter().for_each(|changed| changed());
    }
}

fn spare() -> Option<File> {
    File::open("/dev/null").ok()
}

/// Whether something failed for want of a descriptor: in the process, or in the system.
pub fn is_descriptor_exhaustion(e: &io::Error) -> bool {
    // EMFILE and ENFILE have no kind of their own.
    matches!(e.raw_os_error(), Some(23 | 24))
}

/// Whether a connection failed on this side, so that it says nothing of the other: ports that are all in use
/// or still closing (`EADDRNOTAVAIL`, `EADDRINUSE`), or memory of the kernel (`ENOBUFS`, `ENOMEM`).
pub fn is_local_failure(e: &io::Error) -> bool {
    use io::ErrorKind::{AddrInUse, AddrNotAvailable, OutOfMemory};
    is_descriptor_exhaustion(e)
        || matches!(e.kind(), AddrInUse | AddrNotAvailable | OutOfMemory)
        || e.raw_os_error() == Some(105)
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards an upstream from the blame for what ran out here.
    #[test]
    fn what_ran_out_here_is_told_from_what_failed_there() {
        let is = |errno| is_local_failure(&io::Error::from_raw_os_error(errno));
        assert!([23, 24, 98, 99, 105, 12].into_iter().all(is));
        // Refused, reset, timed out, unreachable, aborted.
        assert!(![111, 104, 110, 113, 101, 103].into_iter().any(is));
    }

    /// Guards the reliefs against a storm: many that fail at one moment end one connection, not one each.
    #[tokio::test(flavor = "local", start_paused = true)]
    async fn one_shortage_is_relieved_once() {
        let descriptors = Descriptors::new(256, 0, 0.5).unwrap();
        let count = Rc::new(Cell::new((0, 0)));
        let (first, second, told) = (Rc::clone(&count), Rc::clone(&count), Rc::new(Cell::new(0)));
        descriptors.add_relief(move || {
            first.set((first.get().0 + 1, first.get().1));
            first.get().0 > 1
        });
        descriptors.add_relief(move || {
            second.set((second.get().0, second.get().1 + 1));
            true
        });
        let tells = Rc::clone(&told);
        descriptors.on_limits_changed(move || tells.set(tells.get() + 1));
        let before = descriptors.limit_of(DescriptorClass::Clients);
        assert_eq!((0..50).filter(|_| descriptors.record_exhaustion("test")).count(), 1);
        assert_eq!((count.get(), told.get()), ((1, 1), 1));
        assert!(
            descriptors.limit_of(DescriptorClass::Clients) + descriptors.limit_of(DescriptorClass::Upstreams)
                < 232
        );
        sleep(EXHAUSTION_BACKOFF).await;
        assert!(descriptors.record_exhaustion("test"));
        // The first had one to spare now.
        assert_eq!(count.get(), (2, 1));
        // What was taken away comes back.
        let watch = tokio::task::spawn_local(Rc::clone(&descriptors).watch_process_limit());
        sleep(Duration::from_secs(30)).await;
        assert_eq!(descriptors.limit_of(DescriptorClass::Clients), before);
        watch.abort();
    }
}
