//! A list of upstreams that is set while the engine runs.

use crate::source::{EndpointUpdate, Entry, Source, Task};
use maplehook_core::UpdateScope;
use std::time::Instant;
use tokio::sync::watch;

/// A list that is set, from any thread; its copies are the same one.
#[derive(Clone, Debug)]
pub struct EndpointList(watch::Sender<Vec<Entry>>);

impl EndpointList {
    /// This one, until another is set.
    pub fn new(entries: Vec<Entry>) -> Self {
        Self(watch::Sender::new(entries))
    }

    /// This one from now on; whether it is another one.
    pub fn set(&self, entries: Vec<Entry>) -> bool {
        self.0.send_if_modified(|before| {
            let changed = *before != entries;
            *before = entries;
            changed
        })
    }

    /// The list.
    pub fn full_update(&self) -> EndpointUpdate {
        EndpointUpdate { scope: UpdateScope::Full, entries: self.0.borrow().clone() }
    }
}

impl Source for EndpointList {
    fn fetch(&self) -> Task<'_, EndpointUpdate> {
        Box::pin(std::future::ready(self.full_update()))
    }

    fn watch<'a>(&'a self, tell: &'a mut dyn FnMut(EndpointUpdate)) -> Task<'a, ()> {
        Box::pin(async move {
            let mut changes = self.0.subscribe();
            loop {
                changes.mark_unchanged();
                tell(self.full_update());
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
