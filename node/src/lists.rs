//! The upstreams that the operator's file lists, which may change while the balancer runs.

use lapisroute::{FleetScope, ZoneId};
use maplehook::source::{Entry, Fixed, News, Source, Task};
use maplehook_config::Upstream;
use std::time::Instant;
use tokio::sync::watch;

/// A list that is set.
pub struct Lists(watch::Sender<Vec<Entry>>);

/// As entries, with zones by these numbers.
pub fn entries(upstreams: &[Upstream], zone: impl Fn(ZoneId) -> ZoneId) -> Vec<Entry> {
    let listed = upstreams.iter().map(|upstream| {
        let Upstream { name, address, zone: of, weight, drained } = upstream;
        (name.as_str(), *address, zone(*of), *weight, *drained)
    });
    Fixed::listed(listed).news().entries
}

impl Lists {
    /// This one, until another is set.
    pub fn new(entries: Vec<Entry>) -> Self {
        Self(watch::Sender::new(entries))
    }

    /// This one from now on.
    pub fn set(&self, entries: Vec<Entry>) {
        self.0.send_if_modified(|before| {
            let changed = *before != entries;
            *before = entries;
            changed
        });
    }

    /// The list.
    pub fn news(&self) -> News {
        News { scope: FleetScope::Full, entries: self.0.borrow().clone() }
    }
}

impl Source for Lists {
    fn fetch(&self) -> Task<'_, News> {
        Box::pin(std::future::ready(self.news()))
    }

    fn watch<'a>(&'a self, tell: &'a mut dyn FnMut(News)) -> Task<'a, ()> {
        Box::pin(async move {
            let mut changes = self.0.subscribe();
            loop {
                changes.mark_unchanged();
                tell(self.news());
                if changes.changed().await.is_err() {
                    return;
                }
            }
        })
    }

    fn confirmed(&self) -> Option<Instant> {
        Some(Instant::now())
    }
}
