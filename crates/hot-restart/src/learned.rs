//! What was learned, between a snapshot, which has names, and the decisions, which have numbers.

use crate::snapshot::{HotRestartSnapshot, LearnedEndpoint, SnapshotEndpoint};
use maplehook_core::{
    LearnedClass, LearnedState, LearnedTenant, LearnedThroughput, LearnedUpstream, UpstreamId,
};
use std::collections::BTreeMap;
use std::time::Duration;

fn is_valid(figure: f64) -> bool {
    figure.is_finite() && figure >= 0.0
}

impl HotRestartSnapshot {
    /// Returns what was learned, for decisions whose classes and tenants have these names, by number. `age` is the age of
    /// the snapshot. Figures that are negative or not finite are left out, with all that belongs to them.
    pub fn to_learned_state(&self, age: Duration, classes: &[String], tenants: &[String]) -> LearnedState {
        let (per_weight, per_second) = self.rates;
        LearnedState {
            throughput: (is_valid(per_weight) && is_valid(per_second))
                .then_some(LearnedThroughput { per_weight, per_second }),
            classes: classes.iter().map(|name| self.class(name)).collect(),
            tenants: tenants.iter().map(|name| self.tenant(name)).collect(),
            upstreams: self.upstreams.iter().filter_map(|endpoint| upstream(endpoint, age)).collect(),
        }
    }

    fn class(&self, name: &String) -> Option<LearnedClass> {
        let figures = *self.classes.get(name)?;
        let [mean_latency, answered_latency, baseline_latency, hedge_delay, admitted_share] = figures;
        figures.into_iter().all(is_valid).then_some(LearnedClass {
            mean_latency,
            answered_latency,
            baseline_latency,
            hedge_delay,
            admitted_share,
        })
    }

    fn tenant(&self, name: &String) -> Option<LearnedTenant> {
        let (tokens, demand) = *self.tenants.get(name)?;
        (is_valid(tokens) && is_valid(demand)).then_some(LearnedTenant { tokens, demand })
    }

    /// Takes over what the decisions have learned; `classes` and `tenants` are the names, by number.
    pub fn set_learned_state(&mut self, learned: &LearnedState, classes: &[String], tenants: &[String]) {
        let by_name = classes.iter().zip(&learned.classes);
        self.classes = by_name
            .filter_map(|(name, class)| class.as_ref().map(|class| (name, class)))
            .map(|(name, class)| (name.clone(), class_figures(class)))
            .collect();
        let by_name = tenants.iter().zip(&learned.tenants);
        self.tenants = by_name
            .filter_map(|(name, tenant)| tenant.as_ref().map(|t| (name.clone(), (t.tokens, t.demand))))
            .collect();
        let throughput = learned.throughput.unwrap_or_default();
        self.rates = (throughput.per_weight, throughput.per_second);
        let by_id: BTreeMap<u64, &LearnedUpstream> =
            learned.upstreams.iter().map(|upstream| (upstream.id.0, upstream)).collect();
        for endpoint in &mut self.upstreams {
            if let Some(upstream) = by_id.get(&endpoint.id) {
                endpoint.learned = LearnedEndpoint {
                    in_slow_start_for: upstream.in_slow_start_for,
                    ejected_for: upstream.ejected_for,
                    ejections: upstream.ejections,
                    latency_ratio_and_samples: (upstream.latency_ratio, upstream.latency_samples),
                };
            }
        }
    }
}

/// Returns the figures of a class in their order on disk.
fn class_figures(class: &LearnedClass) -> [f64; 5] {
    [
        class.mean_latency,
        class.answered_latency,
        class.baseline_latency,
        class.hedge_delay,
        class.admitted_share,
    ]
}

/// Returns what was learned of an upstream; its times have gone on by `age`.
fn upstream(endpoint: &SnapshotEndpoint, age: Duration) -> Option<LearnedUpstream> {
    let LearnedEndpoint { in_slow_start_for, ejected_for, ejections, latency_ratio_and_samples } =
        endpoint.learned;
    let (latency_ratio, latency_samples) = latency_ratio_and_samples;
    let figures = [ejected_for, latency_ratio, latency_samples, in_slow_start_for.unwrap_or(0.0)];
    figures.into_iter().all(is_valid).then(|| LearnedUpstream {
        id: UpstreamId(endpoint.id),
        in_slow_start_for: in_slow_start_for.map(|seconds| seconds + age.as_secs_f64()),
        ejected_for: (ejected_for - age.as_secs_f64()).max(0.0),
        ejections,
        latency_ratio,
        latency_samples,
    })
}
