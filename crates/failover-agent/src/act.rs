//! By what a balancer acts, said where it has changed, and written down.

use crate::board::shown;
use crate::config::Config;
use crate::run::Runner;
use crate::shown::{ShownRow, ShownShare};
use crate::taking::Acted;
use maplehook_failover::{EffectiveRouting, FULL_SHARE, Shares};
use maplehook_history_checker::What;
use maplehook_history_checker::record::ActedRow;
use std::sync::Arc;
use std::time::Instant;

impl Runner {
    /// Says by what to act, if that is something else than before.
    pub(crate) fn act(&mut self) {
        let (Some(config), now) = (self.config(), self.now()) else { return };
        let until = self.standing().lease_end;
        let holds = until.is_some_and(|until| Instant::now() < until);
        let (sights, demand) = self.sights();
        let Some(acting) = &mut self.acting else { return };
        let acts = acting.tick(now, holds, &sights, &demand).clone();
        let acted = Arc::new(Acted { config: Arc::clone(&config), acts });
        let same = self.acted.borrow().as_ref() == Some(&acted);
        if same {
            return;
        }
        let rows = rows(&config, &acted.acts);
        let (epoch, in_common) = (acted.acts.epoch, acted.acts.uses_shared_plan);
        let before = self.noted.replace((epoch, in_common));
        if before != Some((epoch, in_common)) {
            tracing::info!(epoch, in_common, "acts by: {}", acted.acts.reason);
        }
        if self.board.writer.is_on() {
            // Of what is agreed on, the plan's own rows: what an absent row comes to follows each balancer's evidence.
            let plan = self.agreed.as_ref().map(|agreed| &agreed.places.plan);
            let planned = |rule: usize| plan.is_some_and(|plan| plan.row(rule as u16, config.own).is_some());
            let noted = rows.iter().enumerate().filter(|(rule, _)| !in_common || planned(*rule));
            self.note_acts(before, epoch, in_common, noted.map(|(_, row)| row));
        }
        self.stands.send_modify(|stands| {
            stands.config = Some(config);
            (stands.in_common, stands.acts, stands.by) = (in_common, rows, acted.acts.reason.to_owned());
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
        rows: impl Iterator<Item = &'a ShownRow>,
    ) {
        if let Some((before, _)) = before.filter(|(_, common)| *common && !in_common) {
            self.board.writer.note(What::Ceases { epoch: before });
        }
        let row = |row: &ShownRow| ActedRow {
            rule: row.rule.clone(),
            from: row.from.clone(),
            to: row
                .to
                .iter()
                .map(|share| (share.zone.clone(), (share.share * f64::from(FULL_SHARE)).round() as u16))
                .collect(),
        };
        let rows = rows.map(row).collect();
        self.board.writer.note(What::Acts { epoch, rows, in_common });
    }
}

/// What is acted on, as it is shown.
fn rows(config: &Config, acts: &EffectiveRouting) -> Vec<ShownRow> {
    let (topology, rules) = (&config.topology, config.rules.all());
    let from = topology.zone_name(config.own);
    let row = |(rule, shares): (usize, &Shares)| ShownRow {
        rule: rules.get(rule).map_or(String::new(), |rule| rule.name.clone()),
        from: from.to_owned(),
        to: shares
            .to
            .iter()
            .map(|(zone, share)| ShownShare { zone: topology.zone_name(*zone).to_owned(), share: *share })
            .collect(),
    };
    acts.rules.iter().enumerate().map(row).collect()
}
