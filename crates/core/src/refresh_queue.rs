//! The upstreams whose weights are to be refreshed at the next tick.

/// Upstreams, by position, at which something was sent or came back since their weights were refreshed. An
/// upstream may stand in the queue more than once.
#[derive(Default)]
pub(crate) struct RefreshQueue(Vec<usize>);

impl RefreshQueue {
    /// Adds an upstream. A queue with more entries than there are upstreams grows no further: all are
    /// refreshed then.
    pub(crate) fn push(&mut self, upstream: usize, upstream_count: usize) {
        if self.0.len() <= upstream_count {
            self.0.push(upstream);
        }
    }

    /// Empties the queue.
    pub(crate) fn clear(&mut self) {
        self.0.clear();
    }

    /// Takes the entries out; [`RefreshQueue::reuse`] gives their memory back.
    pub(crate) fn take(&mut self) -> Vec<usize> {
        std::mem::take(&mut self.0)
    }

    /// Makes an empty queue of the memory of one that was taken.
    pub(crate) fn reuse(&mut self, mut entries: Vec<usize>) {
        entries.clear();
        self.0 = entries;
    }
}
