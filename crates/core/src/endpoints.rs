//! Endpoint updates: adds, changes and removes upstreams according to discovery.

use crate::interface::*;
use crate::state::Balancer;
use crate::upstream::{ClassHealth, Upstream};

impl Balancer {
    /// Handles an endpoint update from discovery.
    pub(crate) fn on_endpoint_update(&mut self, scope: UpdateScope, endpoints: &[Endpoint]) {
        if scope == UpdateScope::Failed {
            self.on_discovery_failed();
            return;
        }
        self.on_discovery_answered(scope);
        let is_complete_list = scope != UpdateScope::Changes;
        if is_complete_list {
            // An upstream missing from a complete list has been removed.
            self.upstreams.iter_mut().for_each(|u| (u.is_ready, u.is_draining) = (false, false));
        }
        let count_before = self.upstreams.len();
        let mut has_changed = is_complete_list;
        for endpoint in endpoints {
            let index = self.find_or_add_upstream(endpoint, count_before == 0);
            has_changed |= self.apply_endpoint(index, endpoint);
        }
        has_changed |= self.drop_removed(self.upstreams.len() > count_before);
        if has_changed {
            self.choose_subset();
        } else {
            self.refresh_all_weights();
        }
    }

    /// Returns the position of an endpoint's upstream and adds a new upstream. Upstreams added after the
    /// first list count as just started unless the list gives their start time.
    fn find_or_add_upstream(&mut self, endpoint: &Endpoint, is_first_list: bool) -> usize {
        if let Some(index) = self.index_by_id.get(&endpoint.id) {
            return *index;
        }
        let listed_start = endpoint.started.map(|s| s.as_secs_f64());
        let slow_start_since = listed_start.or((!is_first_list).then_some(self.now_s));
        self.upstreams.push(Upstream {
            health: vec![ClassHealth::default(); self.classes.len()],
            id: endpoint.id,
            slow_start_since,
            credit: self.rng.f64(),
            capacity: 1.0,
            last_answer_at: f64::NEG_INFINITY,
            weight_updated_at: self.now_s,
            is_new: !is_first_list,
            ..Upstream::default()
        });
        let index = self.upstreams.len() - 1;
        self.index_by_id.insert(endpoint.id, index);
        index
    }

    /// Applies the listed state of an upstream. Returns true if the subset has to be chosen again.
    fn apply_endpoint(&mut self, index: usize, endpoint: &Endpoint) -> bool {
        let upstream = &mut self.upstreams[index];
        let is_ready = endpoint.availability == Availability::Ready;
        // With a traffic split, rotations are per zone.
        let has_moved = self.split.is_some() && upstream.zone != endpoint.zone;
        let has_changed = has_moved || upstream.is_ready != is_ready;
        upstream.zone = endpoint.zone;
        upstream.cell = endpoint.cell;
        upstream.is_ready = is_ready;
        upstream.is_draining = endpoint.availability == Availability::Draining;
        self.apply_weight(index, endpoint.weight);
        self.apply_start(index, endpoint) || has_changed
    }

    fn apply_weight(&mut self, index: usize, listed_weight: f64) {
        let upstream = &mut self.upstreams[index];
        let weight = if listed_weight > 0.0 && listed_weight.is_finite() { listed_weight } else { 1.0 };
        match self.settings.weights {
            Weights::Off => upstream.size = 1.0,
            Weights::Size => upstream.size = weight,
            Weights::Live => {
                upstream.size = upstream.size.max(weight);
                let others_share = 1.0 - 1.0 / f64::from(self.settings.balancers.max(1));
                upstream.reported_load = (upstream.size / weight - 1.0) * others_share;
                upstream.reported_at = self.now_s;
            }
        }
    }

    /// Puts a restarted upstream into slow start and clears its failures and ejections. Returns true if the
    /// upstream has restarted.
    fn apply_start(&mut self, index: usize, endpoint: &Endpoint) -> bool {
        let Some(started) = endpoint.started.map(|s| s.as_secs_f64()) else { return false };
        let upstream = &mut self.upstreams[index];
        let is_recent = self.now_s - started < self.settings.slow_start_window.as_secs_f64();
        let has_restarted =
            is_recent && upstream.slow_start_since.is_none_or(|known_start| started > known_start);
        if has_restarted {
            upstream.slow_start_since = Some(started);
            upstream.ejections = 0;
            upstream.ejected_until = 0.0;
            upstream.credit = self.rng.f64();
            upstream.health.fill(ClassHealth::default());
            upstream.is_new = true;
        }
        has_restarted
    }

    /// Drops removed upstreams without attempts in flight; otherwise list changes would grow the state
    /// without bound. Returns false if too few are removed to rebuild the list.
    fn drop_removed(&mut self, has_grown: bool) -> bool {
        let is_removed = |u: &Upstream| !u.is_listed() && u.in_flight == 0;
        let removed = self.upstreams.iter().filter(|u| is_removed(u)).count();
        if !has_grown && removed <= self.upstreams.len() / 4 {
            return false;
        }
        self.upstreams.retain(|u| !is_removed(u));
        self.index_by_id = self.upstreams.iter().enumerate().map(|(index, u)| (u.id, index)).collect();
        true
    }
}
