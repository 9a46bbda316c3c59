//! The upstreams that the operator's file lists, which may change while the balancer runs.

use lapisroute::{Availability, CellId, FleetScope, KindId, ZoneId};
use maplehook::source::{Entry, News, Place, Source, Task, stable_id};
use maplehook_config::Upstream;
use std::time::Instant;
use tokio::sync::watch;

/// A list that is set.
pub struct Lists(watch::Sender<Vec<Entry>>);

/// As entries, with zones by these numbers.
pub fn entries(upstreams: &[Upstream], zone: impl Fn(ZoneId) -> ZoneId) -> Vec<Entry> {
    let entry = |upstream: &Upstream| Entry {
        id: stable_id(&upstream.name),
        zone: zone(upstream.zone),
        kind: KindId(0),
        cell: CellId(0),
        weight: upstream.weight,
        place: Place {
            endpoint: Some(upstream.address),
            availability: if upstream.drained { Availability::Draining } else { Availability::Ready },
            boot_ms: 0,
        },
    };
    upstreams.iter().map(entry).collect()
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
