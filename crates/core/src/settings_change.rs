//! Changes of the settings while requests are in flight.

use crate::interface::*;
use crate::latency_estimator::ClassStatistics;
use crate::state::{Balancer, shortest_objective};
use crate::subsetting::min_subset_size;
use crate::token_bucket::TokenBucket;
use crate::upstream::ClassHealth;

impl Balancer {
    /// Applies new settings. Learned state is retained; a request in flight keeps its class, and its further
    /// attempts obey the stricter of the old and the new settings.
    pub(crate) fn change_settings(&mut self, settings: &Settings, removed_tenants: &[TenantId]) {
        if settings.check().is_err() || settings.classes.len() < self.classes.len() {
            return;
        }
        for request in self.requests.values_mut() {
            request.effect = request.effect.stricter(settings.classes[request.class].effect);
            request.max_attempts = request.max_attempts.min(settings.max_attempts);
        }
        let new_classes = &settings.classes[self.classes.len()..];
        self.classes.extend(new_classes.iter().map(ClassStatistics::new));
        let health = ClassHealth::default();
        self.upstreams.iter_mut().for_each(|u| u.health.resize(settings.classes.len(), health.clone()));
        self.change_tenants(settings, removed_tenants);
        self.shortest_objective = shortest_objective(settings);
        self.min_subset_size = min_subset_size(settings);
        self.settings = settings.clone();
        self.choose_subset();
    }

    fn change_tenants(&mut self, settings: &Settings, removed: &[TenantId]) {
        for tenant in 0..settings.tenants.len().max(1) {
            let new = TokenBucket::new(settings, tenant);
            match self.buckets.get_mut(tenant) {
                Some(bucket) => {
                    bucket.allowance = new.allowance;
                    bucket.is_removed = false;
                }
                None => self.buckets.push(new),
            }
        }
        for tenant in removed {
            if let Some(bucket) = self.buckets.get_mut(tenant.0 as usize) {
                bucket.is_removed = true;
            }
        }
    }
}
