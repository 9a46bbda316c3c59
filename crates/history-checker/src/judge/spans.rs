//! Spans of time: sorted, apart from each other, each with its end left out.

use std::collections::BTreeMap;

/// Spans of time.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Spans(Vec<(u64, u64)>);

impl Spans {
    pub(crate) fn of(mut spans: Vec<(u64, u64)>) -> Self {
        spans.retain(|(from, until)| from < until);
        spans.sort_unstable();
        let mut joined: Vec<(u64, u64)> = Vec::with_capacity(spans.len());
        for (from, until) in spans {
            match joined.last_mut() {
                Some(last) if from <= last.1 => last.1 = last.1.max(until),
                _ => joined.push((from, until)),
            }
        }
        Self(joined)
    }

    pub(crate) fn list(&self) -> &[(u64, u64)] {
        &self.0
    }

    /// Whether any of it lies in `from..until`.
    pub(crate) fn meets(&self, from: u64, until: u64) -> bool {
        let first = self.0.partition_point(|span| span.1 <= from);
        from < until && self.0.get(first).is_some_and(|span| span.0 < until)
    }

    /// Each span begun earlier by `before` and ended later by `after`.
    pub(crate) fn wider(&self, before: u64, after: u64) -> Self {
        let wide = |(from, until): &(u64, u64)| (from.saturating_sub(before), until.saturating_add(after));
        Self::of(self.0.iter().map(wide).collect())
    }

    /// Where at least `least` of these are; everywhere in `0..MAX` for `least` 0.
    pub(crate) fn at_least<'a>(least: usize, all: impl IntoIterator<Item = &'a Self>) -> Self {
        if least == 0 {
            return Self(vec![(0, u64::MAX)]);
        }
        let mut edges: Vec<(u64, bool)> = Vec::new();
        for (from, until) in all.into_iter().flat_map(|spans| &spans.0) {
            edges.extend([(*from, true), (*until, false)]);
        }
        // At one moment ends come first; what touches is joined again by `of`.
        edges.sort_unstable();
        let (mut depth, mut since, mut found) = (0, 0, Vec::new());
        for (at, begins) in edges {
            if begins {
                depth += 1;
                if depth == least {
                    since = at;
                }
            } else {
                if depth == least {
                    found.push((since, at));
                }
                depth -= 1;
            }
        }
        Self::of(found)
    }

    pub(crate) fn and(&self, other: &Self) -> Self {
        Self::at_least(2, [self, other])
    }

    pub(crate) fn or(&self, other: &Self) -> Self {
        Self::at_least(1, [self, other])
    }

    /// What of it is not in `other`.
    pub(crate) fn but(&self, other: &Self) -> Self {
        let mut gaps = Vec::with_capacity(other.0.len() + 1);
        let mut from = 0;
        for span in &other.0 {
            gaps.push((from, span.0));
            from = span.1;
        }
        gaps.push((from, u64::MAX));
        self.and(&Self::of(gaps))
    }
}

/// States that many have, on or off, as a history goes on.
#[derive(Clone, Debug, Default)]
pub(crate) struct Toggles<'h> {
    open: BTreeMap<&'h str, u64>,
    done: BTreeMap<&'h str, Vec<(u64, u64)>>,
}

impl<'h> Toggles<'h> {
    pub(crate) fn set(&mut self, who: &'h str, at: u64, on: bool) {
        if on {
            self.open.entry(who).or_insert(at);
        } else if let Some(since) = self.open.remove(who) {
            self.done.entry(who).or_default().push((since, at));
        }
    }

    /// What is on at the end stays on.
    pub(crate) fn close(mut self) -> BTreeMap<&'h str, Spans> {
        for (who, since) in self.open {
            self.done.entry(who).or_default().push((since, u64::MAX));
        }
        self.done.into_iter().map(|(who, spans)| (who, Spans::of(spans))).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn spans_join_cut_and_count() {
        let spans = Spans::of(vec![(5, 7), (1, 3), (3, 4), (9, 9)]);
        assert_eq!(spans.list(), [(1, 4), (5, 7)]);
        let other = Spans::of(vec![(2, 6)]);
        assert_eq!(spans.and(&other).list(), [(2, 4), (5, 6)]);
        assert_eq!(spans.or(&other).list(), [(1, 7)]);
        assert_eq!(spans.but(&other).list(), [(1, 2), (6, 7)]);
        assert_eq!(Spans::at_least(3, [&spans, &other, &Spans::of(vec![(3, 9)])]).list(), [(3, 4), (5, 6)]);
        assert!(spans.meets(6, 20) && !spans.meets(4, 5) && !spans.meets(7, 9) && !spans.meets(2, 2));
        assert_eq!(spans.wider(1, 1).list(), [(0, 8)]);
    }
}
