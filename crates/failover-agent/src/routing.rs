//! Recomputes the routing that is active on this balancer, publishes it and records it in the history.

use crate::agent::ActiveRouting;
use crate::config::Config;
use crate::runner::Runner;
use crate::status::{RowStatus, ShareStatus};
use crate::status_board::build_status;
use maplehook_failover::{EffectiveRouting, FULL_SHARE, Shares};
use maplehook_history_checker::What;
use maplehook_history_checker::record::ActedRow;
use std::sync::Arc;
use std::time::Instant;

impl Runner {
    /// Recomputes the active routing and publishes it if it has changed.
    pub(crate) fn update_routing(&mut self) {
        let (Some(config), now) = (self.config(), self.now()) else { return };
        let lease_end = self.document_status().lease_end;
        let has_lease = lease_end.is_some_and(|end| Instant::now() < end);
        let (observations, demand) = self.observations();
        let Some(routing) = &mut self.routing else { return };
        let effective = routing.tick(now, has_lease, &observations, &demand).clone();
        let active_routing = Arc::new(ActiveRouting { config: Arc::clone(&config), routing: effective });
        let is_unchanged = self.active_routing.borrow().as_ref() == Some(&active_routing);
        if is_unchanged {
            return;
        }
        let active_rows = row_statuses(&config, &active_routing.routing);
        let (epoch, uses_shared_plan) =
            (active_routing.routing.epoch, active_routing.routing.uses_shared_plan);
        let previous = self.recorded_routing.replace((epoch, uses_shared_plan));
        if previous != Some((epoch, uses_shared_plan)) {
            tracing::info!(
                epoch,
                in_common = uses_shared_plan,
                "active routing changed: {}",
                active_routing.routing.reason
            );
        }
        if self.board.writer.is_enabled() {
            // Records plan rows only: the routing of a rule without a plan row follows each balancer's local
            // evidence.
            let plan = self.agreed.as_ref().map(|agreed| &agreed.places.plan);
            let has_plan_row =
                |rule: usize| plan.is_some_and(|plan| plan.row(rule as u16, config.own_zone).is_some());
            let to_record =
                active_rows.iter().enumerate().filter(|(rule, _)| !uses_shared_plan || has_plan_row(*rule));
            self.record_routing(previous, epoch, uses_shared_plan, to_record.map(|(_, row)| row));
        }
        self.local_state.send_modify(|local_state| {
            local_state.config = Some(config);
            (local_state.uses_shared_plan, local_state.active_rows, local_state.routing_reason) =
                (uses_shared_plan, active_rows, active_routing.routing.reason.to_owned());
        });
        if previous.is_none_or(|(previous, _)| previous != epoch) && epoch > 0 {
            let status = build_status(&self.local_state.borrow(), Some(&self.document_status()));
            self.board.record_plan(status);
        }
        self.active_routing.send_replace(Some(active_routing));
    }

    fn record_routing<'a>(
        &self,
        previous: Option<(u64, bool)>,
        epoch: u64,
        uses_shared_plan: bool,
        rows: impl Iterator<Item = &'a RowStatus>,
    ) {
        if let Some((previous, _)) = previous.filter(|(_, was_shared)| *was_shared && !uses_shared_plan) {
            self.board.writer.record(What::Ceases { epoch: previous });
        }
        let to_record = |row: &RowStatus| ActedRow {
            rule: row.rule.clone(),
            from: row.from.clone(),
            to: row
                .shares
                .iter()
                .map(|share| (share.zone.clone(), (share.share * f64::from(FULL_SHARE)).round() as u16))
                .collect(),
        };
        let rows = rows.map(to_record).collect();
        self.board.writer.record(What::Acts { epoch, rows, in_common: uses_shared_plan });
    }
}

/// Converts the effective routing into the rows that operators see.
fn row_statuses(config: &Config, effective: &EffectiveRouting) -> Vec<RowStatus> {
    let (topology, rules) = (&config.topology, config.rules.all());
    let from = topology.zone_name(config.own_zone);
    let row_status = |(rule, shares): (usize, &Shares)| RowStatus {
        rule: rules.get(rule).map_or(String::new(), |rule| rule.name.clone()),
        from: from.to_owned(),
        shares: shares
            .to
            .iter()
            .map(|(zone, share)| ShareStatus { zone: topology.zone_name(*zone).to_owned(), share: *share })
            .collect(),
    };
    effective.rules.iter().enumerate().map(row_status).collect()
}
