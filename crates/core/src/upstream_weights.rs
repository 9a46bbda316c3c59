//! What each upstream can do now, and the slots it earns for it. Times are seconds.

use crate::headroom::MAX_SPILLOVER_WEIGHT;
use crate::slow_start::{SAFE_SHARE, slow_start_share};
use crate::state::Balancer;
use crate::upstream::{SubsetTotals, SubsetTraits, Upstream};

/// Seconds over which what was learned of one upstream fades, and the answers that it takes to believe it.
const LATENCY_RATIO_KEPT_S: f64 = 10.0;
const LATENCY_RATIO_DOUBT: f64 = 4.0;
/// The bounds of the latency ratio that counts.
const MIN_LATENCY_RATIO: f64 = 0.25;
const MAX_LATENCY_RATIO: f64 = 4.0;
/// The share of the ready upstreams that may be ejected: when more seem to fail, the fault is not theirs.
pub(crate) const MAX_EJECTED_SHARE: f64 = 0.6;
/// The price of an attempt in another zone at which other zones get no ordinary slots; less in proportion.
const MAX_CROSS_ZONE_PRICE: f64 = 0.05;
/// The most upstreams that are refreshed at a tick, beside those in use.
const REFRESHED_PER_TICK: usize = 512;

impl Balancer {
    /// Refreshes the weights of all upstreams of the subset.
    pub(crate) fn refresh_all_weights(&mut self) {
        let mut visited = self.refresh_queue.take();
        self.prepare_full_refresh(&mut visited);
        visited.iter().for_each(|index| self.refresh_weight(*index));
        self.earn_slow_start_credit(&visited);
        self.refresh_queue.reuse(visited);
    }

    /// Refreshes the weights at a tick. Of a large subset, those in use are refreshed at each tick and of the
    /// others a part, one after another, so that the tick takes no longer.
    pub(crate) fn refresh_weights(&mut self) {
        let count = self.subset.len();
        let mut visited = self.refresh_queue.take();
        if visited.len() + REFRESHED_PER_TICK >= count {
            self.refresh_queue.reuse(visited);
            self.refresh_all_weights();
            return;
        }
        let end = (self.refreshed_until + REFRESHED_PER_TICK).min(count);
        visited.extend(&self.subset[self.refreshed_until..end]);
        self.refreshed_until = if end == count { 0 } else { end };
        visited.iter().for_each(|index| self.refresh_weight(*index));
        if self.refreshed_until == 0 {
            // Rounding errors have added up over a round.
            let contributions = self.subset.iter().map(|index| &self.upstreams[*index].contribution);
            self.totals = contributions.fold(SubsetTotals::default(), |sum, part| sum.plus(part, 1.0));
        }
        self.earn_slow_start_credit(&visited);
        self.refresh_queue.reuse(visited);
    }

    fn prepare_full_refresh(&mut self, visited: &mut Vec<usize>) {
        self.update_traits();
        visited.clear();
        visited.extend(&self.subset);
        self.totals = SubsetTotals::default();
        self.refreshed_until = 0;
        self.upstreams.iter_mut().for_each(|u| u.contribution = SubsetTotals::default());
    }

    /// Updates what the upstreams of the subset have in common. It changes with the list, and with ejections.
    fn update_traits(&mut self) {
        let subset = || self.subset.iter().map(|index| &self.upstreams[*index]);
        let ready = subset().filter(|u| u.is_ready).count() as f64;
        let ejected = subset().filter(|u| u.is_ready && u.is_ejected(self.now_s)).count() as f64;
        let is_local_ready =
            |u: &Upstream| u.is_ready && u.zone == self.settings.zone && !u.is_ejected(self.now_s);
        self.traits = SubsetTraits {
            largest_size: subset().map(|u| u.size).fold(1e-9, f64::max),
            // With a split a whole zone may be down: the others are used as long as there are any.
            respects_ejections: ejected <= MAX_EJECTED_SHARE * ready
                || (self.split.is_some() && ejected < ready),
            has_local_ready: subset().any(is_local_ready),
        };
    }

    fn refresh_weight(&mut self, index: usize) {
        if !self.upstreams[index].is_in_subset {
            return;
        }
        self.refresh_capacity(index);
        let upstream = &self.upstreams[index];
        let is_usable =
            upstream.is_ready && (!upstream.is_ejected(self.now_s) || !self.traits.respects_ejections);
        let (zone_weight, reach) = self.zone_weight(upstream);
        let weight = if is_usable { upstream.capacity * zone_weight } else { 0.0 };
        let upstream = &mut self.upstreams[index];
        upstream.weight = weight;
        let contribution = contribution(upstream, reach);
        self.totals = self.totals.plus(&upstream.contribution, -1.0).plus(&contribution, 1.0);
        upstream.contribution = contribution;
    }

    /// Refreshes the share of a full-size upstream's work that an upstream can do now.
    fn refresh_capacity(&mut self, index: usize) {
        let upstream = &mut self.upstreams[index];
        let elapsed = (self.now_s - upstream.weighed_at).clamp(0.0, 1.0);
        upstream.weighed_at = self.now_s;
        upstream.uncredited_s += elapsed;
        upstream.latency_samples *= (-elapsed / LATENCY_RATIO_KEPT_S).exp();
        upstream.abandoned *= (-elapsed / self.shortest_objective).exp();
        let samples = upstream.latency_samples;
        let ratio =
            (upstream.latency_ratio * samples + LATENCY_RATIO_DOUBT) / (samples + LATENCY_RATIO_DOUBT);
        let warm_share = slow_start_share(&self.settings, self.now_s, upstream);
        if warm_share >= 1.0 {
            upstream.slow_start_since = None;
        }
        let relative_size = upstream.size / self.traits.largest_size;
        let slowness = ratio.clamp(MIN_LATENCY_RATIO, MAX_LATENCY_RATIO);
        upstream.capacity = (relative_size * warm_share / slowness).max(1e-3);
    }

    /// Returns the factor on an upstream's weight for its zone, and how far the traffic split reaches that
    /// zone. Where a split tells which zone gets how much, only the headroom is to know how far it reaches.
    fn zone_weight(&self, upstream: &Upstream) -> (f64, f64) {
        if let Some(split) = &self.split {
            return (1.0, split.reach[usize::from(upstream.zone.0)]);
        }
        if upstream.zone == self.settings.zone || !self.traits.has_local_ready {
            return (1.0, 1.0);
        }
        let by_price = 1.0 - self.settings.prices.cross_zone / MAX_CROSS_ZONE_PRICE;
        (by_price.max(MAX_SPILLOVER_WEIGHT * self.spillover), 1.0)
    }

    /// Upstreams in slow start earn slots by the clock: where others are skipped the rotation turns faster.
    fn earn_slow_start_credit(&mut self, visited: &[usize]) {
        let SubsetTotals { warm_count, warm_weight, .. } = self.totals;
        let per_weight = self.throughput.per_weight;
        let rate = if warm_count >= 0.5 { per_weight * warm_weight / warm_count } else { per_weight };
        let safe_share = SAFE_SHARE * self.settings.overload_multiple;
        for index in visited {
            self.upstreams[*index].earn_slow_start_credit(rate, safe_share);
        }
    }
}

/// Returns an upstream's part in the totals of the subset.
fn contribution(upstream: &Upstream, reach: f64) -> SubsetTotals {
    let mut part = SubsetTotals::default();
    if upstream.weight <= 0.0 {
        return part;
    }
    // An upstream whose requests are overdue has no headroom, in part or all, but what it has in flight
    // counts: else, when all are stuck, W and what is missing are zero together and no guarantee is cut.
    part.in_flight = upstream.occupied() + upstream.abandoned;
    let overdue = f64::from(upstream.overdue) + upstream.abandoned;
    let responsive = 1.0 - overdue / part.in_flight.max(1.0);
    part.weight = upstream.weight * reach;
    part.responsive_weight = upstream.weight * reach * responsive;
    if upstream.slow_start_since.is_none() {
        part.warm_count = 1.0;
        part.warm_weight = part.weight;
    }
    part
}
