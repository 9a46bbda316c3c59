//! Weights: the present capacity of each upstream, and the slots earned for it. Times are in seconds.

use crate::headroom::MAX_SPILLOVER_WEIGHT;
use crate::slow_start::{SAFE_OVERLOAD_SHARE, slow_start_share};
use crate::state::Balancer;
use crate::upstream::{SubsetTotals, SubsetTraits, Upstream};

/// Seconds over which an upstream's latency samples decay, and the number of samples that offset a neutral
/// ratio of 1.
const LATENCY_RATIO_DECAY_S: f64 = 10.0;
const LATENCY_RATIO_PRIOR_SAMPLES: f64 = 4.0;
/// Bounds of the latency ratio that affects the capacity.
const MIN_LATENCY_RATIO: f64 = 0.25;
const MAX_LATENCY_RATIO: f64 = 4.0;
/// Share of the ready upstreams that may be ejected; if more seem to fail, the fault lies elsewhere.
pub(crate) const MAX_EJECTED_SHARE: f64 = 0.6;
/// Price of an attempt in another zone that leaves other zones no regular slots; a lower price leaves more.
const MAX_CROSS_ZONE_PRICE: f64 = 0.05;
/// Maximum number of upstreams that are refreshed at a tick, in addition to the upstreams in use.
const MAX_REFRESHED_PER_TICK: usize = 512;

impl Balancer {
    /// Refreshes the weights of all upstreams of the subset.
    pub(crate) fn refresh_all_weights(&mut self) {
        let mut visited = self.refresh_queue.take();
        self.prepare_full_refresh(&mut visited);
        visited.iter().for_each(|index| self.refresh_weight(*index));
        self.earn_slow_start_credit(&visited);
        self.refresh_queue.reuse(visited);
    }

    /// Refreshes weights at a tick. In a large subset, upstreams in use are refreshed at each tick and the
    /// others in turn, which bounds the duration of the tick.
    pub(crate) fn refresh_weights(&mut self) {
        let count = self.subset.len();
        let mut visited = self.refresh_queue.take();
        if visited.len() + MAX_REFRESHED_PER_TICK >= count {
            self.refresh_queue.reuse(visited);
            self.refresh_all_weights();
            return;
        }
        let end = (self.refreshed_until + MAX_REFRESHED_PER_TICK).min(count);
        visited.extend(&self.subset[self.refreshed_until..end]);
        self.refreshed_until = if end == count { 0 } else { end };
        visited.iter().for_each(|index| self.refresh_weight(*index));
        if self.refreshed_until == 0 {
            // Recomputes the totals, since rounding errors have added up over a round.
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

    /// Updates the traits of the subset, which change with the list and with ejections.
    fn update_traits(&mut self) {
        let subset = || self.subset.iter().map(|index| &self.upstreams[*index]);
        let ready = subset().filter(|u| u.is_ready).count() as f64;
        let ejected = subset().filter(|u| u.is_ready && u.is_ejected(self.now_s)).count() as f64;
        let is_local_ready =
            |u: &Upstream| u.is_ready && u.zone == self.settings.zone && !u.is_ejected(self.now_s);
        self.traits = SubsetTraits {
            largest_size: subset().map(|u| u.size).fold(1e-9, f64::max),
            // With a split, a whole zone may be down; ejections are respected while any upstream is left.
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

    /// Refreshes the present capacity of an upstream.
    fn refresh_capacity(&mut self, index: usize) {
        let upstream = &mut self.upstreams[index];
        let elapsed = (self.now_s - upstream.weight_updated_at).clamp(0.0, 1.0);
        upstream.weight_updated_at = self.now_s;
        upstream.uncredited_s += elapsed;
        upstream.latency_samples *= (-elapsed / LATENCY_RATIO_DECAY_S).exp();
        upstream.abandoned_load *= (-elapsed / self.shortest_objective).exp();
        let samples = upstream.latency_samples;
        let ratio = (upstream.latency_ratio * samples + LATENCY_RATIO_PRIOR_SAMPLES)
            / (samples + LATENCY_RATIO_PRIOR_SAMPLES);
        let warm_share = slow_start_share(&self.settings, self.now_s, upstream);
        if warm_share >= 1.0 {
            upstream.slow_start_since = None;
        }
        let relative_size = upstream.size / self.traits.largest_size;
        let slowness = ratio.clamp(MIN_LATENCY_RATIO, MAX_LATENCY_RATIO);
        upstream.capacity = (relative_size * warm_share / slowness).max(1e-3);
    }

    /// Returns the factor on an upstream's weight for its zone, and the traffic split's reach into the zone.
    /// A split sets the share of each zone, so only the headroom depends on the reach.
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

    /// Earns slots by the clock for upstreams in slow start: rotations turn faster while others are skipped.
    fn earn_slow_start_credit(&mut self, visited: &[usize]) {
        let SubsetTotals { warm_count, warm_weight, .. } = self.totals;
        let per_weight = self.throughput.per_weight;
        let rate = if warm_count >= 0.5 { per_weight * warm_weight / warm_count } else { per_weight };
        let safe_share = SAFE_OVERLOAD_SHARE * self.settings.overload_multiple;
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
    // An upstream with overdue requests has less headroom or none, but its requests in flight still count:
    // else, if all are stuck, `W` and the missing headroom would both be zero and no guarantee would be cut.
    part.in_flight = upstream.occupying_attempts() + upstream.abandoned_load;
    let overdue = f64::from(upstream.overdue_count) + upstream.abandoned_load;
    let responsive = 1.0 - overdue / part.in_flight.max(1.0);
    part.weight = upstream.weight * reach;
    part.responsive_weight = upstream.weight * reach * responsive;
    if upstream.slow_start_since.is_none() {
        part.warm_count = 1.0;
        part.warm_weight = part.weight;
    }
    part
}
