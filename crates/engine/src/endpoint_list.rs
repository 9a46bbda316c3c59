//! An endpoint list that the host replaces while the engine runs.

use crate::source::{EndpointUpdate, Entry, Source, Task};
use maplehook_core::UpdateScope;
use std::time::Instant;
use tokio::sync::watch;

/// Endpoint list that any thread can replace. Clones share the same list.
#[derive(Clone, Debug)]
pub struct EndpointList(watch::Sender<Vec<Entry>>);

impl EndpointList {
    /// Creates a list with these entries.
    pub fn new(entries: Vec<Entry>) -> Self {
        Self(watch::Sender::new(entries))
    }

    /// Replaces the entries. Returns true if they differ from the previous ones.
    pub fn set(&self, entries: Vec<Entry>) -> bool {
        self.0.send_if_modified(|current| {
            let changed = *current != entries;
            *current = entries;
            changed
        })
    }

    /// Returns an update that contains the complete list.
    pub fn full_update(&self) -> EndpointUpdate {
        EndpointUpdate { scope: UpdateScope::Full, entries: self.0.borrow().clone() }
    }
}

impl Source for EndpointList {
    fn fetch(&self) -> Task<'_, EndpointUpdate> {
        Box::pin(std::future::ready(self.full_update()))
    }

    fn watch<'a>(&'a self, on_update: &'a mut dyn FnMut(EndpointUpdate)) -> Task<'a, ()> {
        Box::pin(async move {
            let mut changes = self.0.subscribe();
            loop {
                changes.mark_unchanged();
                on_update(self.full_update());
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
