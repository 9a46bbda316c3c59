//! Subsetting: which of the listed upstreams this balancer sends requests to.

use crate::interface::{Action, Settings};
use crate::random::SeededRandom;
use crate::slow_start::{SAFE_SHARE, slow_start_share};
use crate::state::{Balancer, allowance_per_balancer};
use crate::upstream::Upstream;

/// The upstreams in a subset for each request a second that the balancer may get, and the least.
const UPSTREAMS_PER_RATE: f64 = 0.7;
const MIN_SUBSET_SIZE: f64 = 2.0;
/// The subsets that each upstream is in at the least.
const MIN_SUBSETS_PER_UPSTREAM: usize = 4;
/// The slots a second below which upstreams in slow start alone would leave nearly all requests rejected.
const MIN_SLOW_START_RATE: f64 = 0.1;

/// The subset while it is chosen.
struct Selection {
    min_size: usize,
    /// Whether the subset is all upstreams.
    takes_all: bool,
    size: usize,
    /// The members that count as warm.
    warm: usize,
}

impl Balancer {
    /// Chooses the subset: all upstreams that are ready, or a part where one balancer sees too little to keep
    /// a connection to each in use and to learn what it needs of each. Balancers that share a shuffled order
    /// of the ids get neighbouring parts of it, so that each upstream is in about as many subsets as any
    /// other. This guards against upstreams that run out of connections and against decisions by stale news;
    /// an upstream that is ejected is replaced by the next in the order. Its price is that there are fewer to
    /// choose from.
    pub(crate) fn choose_subset(&mut self) {
        let mut candidates = self.candidates();
        let mut selection = self.new_selection(candidates.len());
        self.drop_unusable_members();
        self.plan_next_choice();
        if !selection.takes_all {
            self.sort_candidates(&mut candidates, selection.min_size);
        }
        self.keep_members(&candidates, &mut selection);
        self.add_members(&candidates, &mut selection);
        self.remove_members(&candidates, &mut selection);
        self.adopt_subset(candidates);
    }

    /// Returns whether a traffic split, if one is in force, sends any request to an upstream's zone.
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

    /// Few balancers take more upstreams each: every upstream is in several subsets, and a single balancer
    /// takes all.
    fn new_selection(&self, candidates: usize) -> Selection {
        let balancers = (self.settings.balancers as usize).max(1);
        let min_size = self.min_subset_size.max(MIN_SUBSETS_PER_UPSTREAM * candidates / balancers);
        let takes_all = min_size * 5 >= candidates * 4;
        Selection { min_size, takes_all, size: 0, warm: 0 }
    }

    /// Takes upstreams out of the subset that are no candidates. Time outside the subset earns no slots.
    fn drop_unusable_members(&mut self) {
        let split = self.split.as_deref();
        for upstream in &mut self.upstreams {
            let is_reached = split.is_none_or(|split| split.reaches(upstream.zone));
            upstream.is_in_subset &= upstream.is_ready && is_reached;
            if !upstream.is_in_subset {
                upstream.weighed_at = self.now_s;
                upstream.uncredited_s = 0.0;
            }
        }
    }

    /// Plans the next choice for the moment when an upstream comes back from ejection.
    fn plan_next_choice(&mut self) {
        let ejected_until = self.upstreams.iter().map(|u| u.ejected_until);
        let still_ejected = ejected_until.filter(|until| *until > self.now_s);
        self.next_subset_choice_at = still_ejected.fold(f64::INFINITY, f64::min);
    }

    /// Sorts the candidates by the shuffled order that balancers share, from this balancer's part of it on.
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

    /// Keeps the members that can be used, so that connections stay warm, and adds new upstreams that have
    /// their place by the order.
    fn keep_members(&mut self, candidates: &[usize], selection: &mut Selection) {
        for (rank, index) in candidates.iter().enumerate() {
            let upstream = &mut self.upstreams[*index];
            let is_usable = !upstream.is_ejected(self.now_s);
            let belongs = upstream.is_in_subset || (upstream.is_new && rank < selection.min_size);
            upstream.is_in_subset = selection.takes_all || (is_usable && belongs);
            upstream.is_new &= !is_usable;
            selection.size += usize::from(upstream.is_in_subset);
        }
        let members = self.upstreams.iter().filter(|u| u.is_in_subset);
        selection.warm = members.filter(|u| self.counts_as_warm(u)).count();
    }

    /// Returns whether an upstream is warm, or whether so many slots are to be had in slow start that it does
    /// not matter: the subset is not to be of upstreams in slow start alone while any is warm.
    fn counts_as_warm(&self, upstream: &Upstream) -> bool {
        let slow_start_rate = SAFE_SHARE * self.settings.overload_multiple * self.throughput.per_second;
        slow_start_rate >= MIN_SLOW_START_RATE
            || slow_start_share(&self.settings, self.now_s, upstream) >= 1.0
    }

    /// Adds upstreams, in order, until there are enough and one of them is warm.
    fn add_members(&mut self, candidates: &[usize], selection: &mut Selection) {
        for index in candidates {
            let is_warm = self.counts_as_warm(&self.upstreams[*index]);
            let upstream = &mut self.upstreams[*index];
            let is_wanted = selection.size < selection.min_size || (selection.warm == 0 && is_warm);
            if is_wanted && !upstream.is_in_subset && !upstream.is_ejected(self.now_s) {
                upstream.is_in_subset = true;
                selection.size += 1;
                selection.warm += usize::from(is_warm);
            }
        }
    }

    /// Removes upstreams, from the end of the order, while there are too many.
    fn remove_members(&mut self, candidates: &[usize], selection: &mut Selection) {
        if selection.takes_all {
            return;
        }
        for index in candidates.iter().rev() {
            let is_warm = self.counts_as_warm(&self.upstreams[*index]);
            let upstream = &mut self.upstreams[*index];
            let max_size = selection.min_size + usize::from(selection.warm == 1);
            let is_spare = selection.warm > 1 || !is_warm;
            if selection.size > max_size && upstream.is_in_subset && is_spare {
                upstream.is_in_subset = false;
                selection.size -= 1;
                selection.warm -= usize::from(is_warm);
                self.actions.push(Action::CloseIdle { upstream: upstream.id });
            }
        }
    }

    /// Puts the subset in force. Each balancer has its own order, so that rotations don't march in step.
    fn adopt_subset(&mut self, candidates: Vec<usize>) {
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

/// Returns the least size of a subset by the requests that the balancer may get.
pub(crate) fn min_subset_size(settings: &Settings) -> usize {
    (UPSTREAMS_PER_RATE * allowance_per_balancer(settings)).clamp(MIN_SUBSET_SIZE, 1e6) as usize
}
