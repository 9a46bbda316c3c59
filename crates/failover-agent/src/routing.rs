//! Recomputes the routing that is active on this balancer, publishes it and records it in the history.

use crate::agent::ActiveRouting;
use crate::config::Config;
use crate::runner::Runner;
use crate::status::{RowStatus, ShareStatus};
use crate::status_board::shown;
use maplehook_failover::{EffectiveRouting, FULL_SHARE, Shares};
use maplehook_history_checker::What;
use maplehook_history_checker::record::ActedRow;
use std::sync::Arc;
use std::time::Instant;

impl Runner {
    /// Recomputes the active routing and publishes it if it has changed.
    pub(crate) fn act(&mut self) {
        let (Some(config), now) = (self.config(), self.now()) else { return };
        let until = self.standing().lease_end;
        let holds = until.is_some_and(|until| Instant::now() < until);
        let (sights, demand) = self.sights();
        let Some(acting) = &mut self.acting else { return };
        let acts = acting.tick(now, holds, &sights, &demand).clone();
        let acted = Arc::new(ActiveRouting { config: Arc::clone(&config), routing: acts });
        let same = self.acted.borrow().as_ref() == Some(&acted);
        if same {
            return;
        }
        let rows = rows(&config, &acted.routing);
        let (epoch, in_common) = (acted.routing.epoch, acted.routing.uses_shared_plan);
        let before = self.noted.replace((epoch, in_common));
        if before != Some((epoch, in_common)) {
            tracing::info!(epoch, in_common, "acts by: {}", acted.routing.reason);
        }
        if self.board.writer.is_on() {
            // Records plan rows only: the routing of a rule without a plan row follows each balancer's local
            // evidence.
            let plan = self.agreed.as_ref().map(|agreed| &agreed.places.plan);
            let planned =
                |rule: usize| plan.is_some_and(|plan| plan.row(rule as u16, config.own_zone).is_some());
            let noted = rows.iter().enumerate().filter(|(rule, _)| !in_common || planned(*rule));
            self.note_acts(before, epoch, in_common, noted.map(|(_, row)| row));
        }
        self.stands.send_modify(|stands| {
            stands.config = Some(config);
            (stands.uses_shared_plan, stands.active_rows, stands.routing_reason) =
                (in_common, rows, acted.routing.reason.to_owned());
        });
        if before.is_none_or(|(before, _)| before != epoch) && epoch > 0 {
            let shown = shown(&self.stands.borrow(), Some(&self.standing()));
            self.board.remember(shown);
        }
        self.acted.send_replace(Some(acted));
    }

    fn note_acts<'a>(
        &self,
        before: Option<(u64, bool)>,
        epoch: u64,
        in_common: bool,
        rows: impl Iterator<Item = &'a RowStatus>,
    ) {
        if let Some((before, _)) = before.filter(|(_, common)| *common && !in_common) {
            self.board.writer.note(What::Ceases { epoch: before });
        }
        let row = |row: &RowStatus| ActedRow {
            rule: row.rule.clone(),
            from: row.from.clone(),
            to: row
                .shares
                .iter()
                .map(|share| (share.zone.clone(), (share.share * f64::from(FULL_SHARE)).round() as u16))
                .collect(),
        };
        let rows = rows.map(row).collect();
        self.board.writer.note(What::Acts { epoch, rows, in_common });
    }
}

/// Converts the effective routing into the rows that operators see.
fn rows(config: &Config, acts: &EffectiveRouting) -> Vec<RowStatus> {
    let (topology, rules) = (&config.topology, config.rules.all());
    let from = topology.zone_name(config.own_zone);
    let row = |(rule, shares): (usize, &Shares)| RowStatus {
        rule: rules.get(rule).map_or(String::new(), |rule| rule.name.clone()),
        from: from.to_owned(),
        shares: shares
            .to
            .iter()
            .map(|(zone, share)| ShareStatus { zone: topology.zone_name(*zone).to_owned(), share: *share })
            .collect(),
    };
    acts.rules.iter().enumerate().map(row).collect()
}
