//! Subsetting: selects the listed upstreams that this balancer sends requests to.

use crate::interface::{Action, Settings};
use crate::random::SeededRandom;
use crate::slow_start::{SAFE_OVERLOAD_SHARE, slow_start_share};
use crate::state::{Balancer, allowance_per_balancer};
use crate::upstream::Upstream;

/// Upstreams in a subset per request per second that the balancer may get, and the smallest subset.
const UPSTREAMS_PER_REQUEST_RATE: f64 = 0.7;
const MIN_SUBSET_SIZE: f64 = 2.0;
/// Minimum number of subsets that each upstream belongs to.
const MIN_SUBSETS_PER_UPSTREAM: usize = 4;
/// Slots per second below which a subset of upstreams in slow start rejects nearly all requests.
const MIN_SLOW_START_RATE: f64 = 0.1;

/// Intermediate state of a subset selection.
struct SubsetSelection {
    min_size: usize,
    /// True if the subset includes all candidates.
    includes_all: bool,
    size: usize,
    /// Number of members that count as warm.
    warm_count: usize,
}

impl Balancer {
    /// Chooses the subset: all ready upstreams, or a part of them if one balancer sees too little traffic to
    /// keep a connection to each in use and to learn their state. Balancers share a shuffled order of the ids
    /// and take neighbouring parts of it, so that each upstream is in about as many subsets as any other.
    /// This prevents upstreams from running out of connections and decisions from using stale data. An
    /// ejected upstream is replaced by the next in the order. The price is a smaller choice of upstreams.
    pub(crate) fn choose_subset(&mut self) {
        let mut candidates = self.candidates();
        let mut selection = self.start_selection(candidates.len());
        self.drop_unusable_members();
        self.schedule_next_choice();
        if !selection.includes_all {
            self.sort_candidates(&mut candidates, selection.min_size);
        }
        self.keep_members(&candidates, &mut selection);
        self.add_members(&candidates, &mut selection);
        self.remove_members(&candidates, &mut selection);
        self.activate_subset(candidates);
    }

    /// Returns true if the traffic split, if any, sends requests to an upstream's zone.
    fn is_reached(&self, upstream: &Upstream) -> bool {
        self.split.as_ref().is_none_or(|split| split.reaches(upstream.zone))
    }

    fn candidates(&self) -> Vec<usize> {
        let is_candidate = |index: &usize| {
            let upstream = &self.upstreams[*index];
            upstream.is_ready && self.is_reached(upstream)
        };
        (0..self.upstreams.len()).filter(is_candidate).collect()
    }

    /// Starts a selection. With few balancers, each takes more upstreams, so that every upstream is in
    /// several subsets; a single balancer takes all upstreams.
    fn start_selection(&self, candidates: usize) -> SubsetSelection {
        let balancers = (self.settings.balancers as usize).max(1);
        let min_size = self.min_subset_size.max(MIN_SUBSETS_PER_UPSTREAM * candidates / balancers);
        let includes_all = min_size * 5 >= candidates * 4;
        SubsetSelection { min_size, includes_all, size: 0, warm_count: 0 }
    }

    /// Removes non-candidates from the subset. Time outside the subset earns no slots.
    fn drop_unusable_members(&mut self) {
        let split = self.split.as_deref();
        for upstream in &mut self.upstreams {
            let is_reached = split.is_none_or(|split| split.reaches(upstream.zone));
            upstream.is_in_subset &= upstream.is_ready && is_reached;
            if !upstream.is_in_subset {
                upstream.weight_updated_at = self.now_s;
                upstream.uncredited_s = 0.0;
            }
        }
    }

    /// Schedules the next choice for the end of the earliest ejection.
    fn schedule_next_choice(&mut self) {
        let ejected_until = self.upstreams.iter().map(|u| u.ejected_until);
        let still_ejected = ejected_until.filter(|until| *until > self.now_s);
        self.next_subset_choice_at = still_ejected.fold(f64::INFINITY, f64::min);
    }

    /// Sorts the candidates by the shared shuffled order, beginning with this balancer's part.
    fn sort_candidates(&self, candidates: &mut [usize], min_size: usize) {
        let count = candidates.len();
        let parts = (count / min_size.max(1)).max(1);
        let balancer = self.settings.index as usize;
        let round = balancer / parts;
        let start = balancer % parts * min_size;
        candidates.sort_by_cached_key(|index| {
            let id = self.upstreams[*index].id.0;
            SeededRandom::with_seed(id ^ (round as u64) << 48).u64(..)
        });
        candidates.rotate_left(start % count.max(1));
    }

    /// Keeps usable members, so that their connections stay warm, and adds new upstreams whose rank is within
    /// the subset size.
    fn keep_members(&mut self, candidates: &[usize], selection: &mut SubsetSelection) {
        for (rank, index) in candidates.iter().enumerate() {
            let upstream = &mut self.upstreams[*index];
            let is_usable = !upstream.is_ejected(self.now_s);
            let is_member = upstream.is_in_subset || (upstream.is_new && rank < selection.min_size);
            upstream.is_in_subset = selection.includes_all || (is_usable && is_member);
            upstream.is_new &= !is_usable;
            selection.size += usize::from(upstream.is_in_subset);
        }
        let members = self.upstreams.iter().filter(|u| u.is_in_subset);
        selection.warm_count = members.filter(|u| self.counts_as_warm(u)).count();
    }

    /// Returns true if an upstream is warm, or if slow start gives enough slots for the difference not to
    /// matter. The subset must not consist of upstreams in slow start alone while any upstream is warm.
    fn counts_as_warm(&self, upstream: &Upstream) -> bool {
        let slow_start_rate =
            SAFE_OVERLOAD_SHARE * self.settings.overload_multiple * self.throughput.per_second;
        slow_start_rate >= MIN_SLOW_START_RATE
            || slow_start_share(&self.settings, self.now_s, upstream) >= 1.0
    }

    /// Adds upstreams, in order, until the subset is large enough and has a warm member.
    fn add_members(&mut self, candidates: &[usize], selection: &mut SubsetSelection) {
        for index in candidates {
            let is_warm = self.counts_as_warm(&self.upstreams[*index]);
            let upstream = &mut self.upstreams[*index];
            let is_needed = selection.size < selection.min_size || (selection.warm_count == 0 && is_warm);
            if is_needed && !upstream.is_in_subset && !upstream.is_ejected(self.now_s) {
                upstream.is_in_subset = true;
                selection.size += 1;
                selection.warm_count += usize::from(is_warm);
            }
        }
    }

    /// Removes upstreams, from the end of the order, while the subset is too large.
    fn remove_members(&mut self, candidates: &[usize], selection: &mut SubsetSelection) {
        if selection.includes_all {
            return;
        }
        for index in candidates.iter().rev() {
            let is_warm = self.counts_as_warm(&self.upstreams[*index]);
            let upstream = &mut self.upstreams[*index];
            let max_size = selection.min_size + usize::from(selection.warm_count == 1);
            let is_removable = selection.warm_count > 1 || !is_warm;
            if selection.size > max_size && upstream.is_in_subset && is_removable {
                upstream.is_in_subset = false;
                selection.size -= 1;
                selection.warm_count -= usize::from(is_warm);
                self.actions.push(Action::CloseIdle { upstream: upstream.id });
            }
        }
    }

    /// Activates the subset in an order specific to this balancer, so that rotations don't advance in
    /// lockstep.
    fn activate_subset(&mut self, candidates: Vec<usize>) {
        self.subset = candidates;
        self.subset.retain(|index| self.upstreams[*index].is_in_subset);
        self.rng.shuffle(&mut self.subset);
        self.divide_into_rotations();
        self.refresh_queue.clear();
        for (class, statistics) in self.classes.iter_mut().enumerate() {
            let is_ejected = |index: &&usize| self.upstreams[**index].health[class].is_ejected;
            statistics.ejected_count = self.subset.iter().filter(is_ejected).count();
        }
        self.refresh_all_weights();
    }
}

/// Returns the minimum subset size for the balancer's part of the allowances.
pub(crate) fn min_subset_size(settings: &Settings) -> usize {
    (UPSTREAMS_PER_REQUEST_RATE * allowance_per_balancer(settings)).clamp(MIN_SUBSET_SIZE, 1e6) as usize
}
