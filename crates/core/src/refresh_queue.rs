//! Queue of the upstreams whose weights are refreshed at the next tick.

/// Positions of upstreams with attempts sent or ended since their last refresh. A position may occur more
/// than once.
#[derive(Default)]
pub(crate) struct RefreshQueue(Vec<usize>);

impl RefreshQueue {
    /// Adds an upstream. The queue stops growing when it has more entries than there are upstreams, since all
    /// of them are refreshed then.
    pub(crate) fn push(&mut self, upstream: usize, upstream_count: usize) {
        if self.0.len() <= upstream_count {
            self.0.push(upstream);
        }
    }

    /// Empties the queue.
    pub(crate) fn clear(&mut self) {
        self.0.clear();
    }

    /// Takes the entries out; [`RefreshQueue::reuse`] returns their memory.
    pub(crate) fn take(&mut self) -> Vec<usize> {
        std::mem::take(&mut self.0)
    }

    /// Reuses the memory of entries that were taken out.
    pub(crate) fn reuse(&mut self, mut entries: Vec<usize>) {
        entries.clear();
        self.0 = entries;
    }
}
