//! What a phase or a proposed text means at this member.

use crate::active_version::{ActiveVersion, conservative_unless_rejecting};
use crate::error::RulesError;
use crate::rules::check_replaceable;
use crate::runner::Runner;
use maplehook_config::Proxy;
use maplehook_versions::compatibility::{conflicts, strictest};
use maplehook_versions::{LeaseExpiryPolicy, Phase, PhaseUpdate, digest};
use std::sync::Arc;

impl Runner {
    /// Checks whether this member could apply a text.
    pub(crate) fn validate_text(&mut self, text: &str) -> Result<(), RulesError> {
        let rules = self.rules_of(text, &digest(text))?;
        self.check_rules(&rules)
    }

    /// Renews the lease by a leader's grant, and applies the phase if it is a new one.
    pub(crate) fn on_lease_grant(&mut self, request_id: u64, epoch: u64, update: Option<PhaseUpdate>) {
        let update = update.and_then(|update| self.fill_in_texts(update));
        if self.lease_holder.accept_grant(request_id, epoch, update) {
            self.phase_error = None;
        }
        let (epoch, phase) = match self.lease_holder.current() {
            Some(update) if update.phase != Phase::Initial => (update.epoch, update.phase),
            _ => return,
        };
        let lease_end = match self.config.expiry_policy {
            LeaseExpiryPolicy::WaitForAll => None,
            _ => self.lease_holder.lease_end().map(|end| self.started_at + end),
        };
        if self.active_version.borrow().epoch == epoch {
            self.active_version.send_modify(|active| active.lease_end = lease_end);
            return;
        }
        if self.phase_error.is_some() {
            return;
        }
        match self.rules_of_current_phase() {
            Ok((rules, label)) => {
                let conservative_rules = conservative_unless_rejecting(&rules, self.config.expiry_policy);
                tracing::info!(version = label, epoch, phase = %phase, "entering phase");
                self.active_version.send_replace(ActiveVersion {
                    epoch,
                    label,
                    rules,
                    lease_end,
                    conservative_rules,
                    lacks_lease: false,
                });
            }
            Err(error) => {
                tracing::error!(epoch, phase = %phase, %error, "the committed version can't be applied here");
                self.phase_error = Some(error);
            }
        }
    }

    /// Returns the rules of the phase that this member was told last, with its label. A member that was away when the version was
    /// proposed has not validated it.
    fn rules_of_current_phase(&mut self) -> Result<(Arc<Proxy>, String), RulesError> {
        let update = self.lease_holder.current().cloned().ok_or(RulesError::NoVersion)?;
        let (rules, label) = self.rules_of_phase(&update)?;
        self.check_rules(&rules)?;
        Ok((rules, label))
    }

    /// Completes an update with the texts that the leader left out because this member has them. Returns `None` if one is missing.
    fn fill_in_texts(&self, mut update: PhaseUpdate) -> Option<PhaseUpdate> {
        let current = self.lease_holder.current();
        for version in update.versions.iter_mut().filter(|version| version.text.is_empty()) {
            let known = current
                .and_then(|current| current.versions.iter().find(|known| known.digest == version.digest));
            match known {
                Some(known) => version.text.clone_from(&known.text),
                // The text of a version may be empty.
                None if version.digest == digest("") => {}
                None => return None,
            }
        }
        Some(update)
    }

    /// Returns the rules of a phase at this member, with its label.
    fn rules_of_phase(&mut self, update: &PhaseUpdate) -> Result<(Arc<Proxy>, String), RulesError> {
        let mut rules_of_version = |number: u64| {
            let version = update.versions.iter().find(|version| version.number == number);
            let version = version.ok_or(RulesError::MissingVersion(number))?;
            self.rules_of(&version.text, &version.digest)
        };
        match update.phase {
            Phase::Initial => Err(RulesError::NoVersion),
            Phase::Stable(number) => Ok((rules_of_version(number)?, number.to_string())),
            Phase::Transition { from, to } => {
                let (old, new) = (rules_of_version(from)?, rules_of_version(to)?);
                for conflict in conflicts(&old, &new) {
                    tracing::info!(from, to, conflict, "enforcing the strictest reading of both versions");
                }
                Ok((Arc::new(strictest(&old, &new)), format!("{from}-{to}")))
            }
        }
    }

    fn rules_of(&mut self, text: &str, digest: &str) -> Result<Arc<Proxy>, RulesError> {
        self.rules_cache.rules_of(&self.config.file, text, digest)
    }

    fn check_rules(&self, rules: &Proxy) -> Result<(), RulesError> {
        check_replaceable(rules, &self.active_version.borrow().rules, &self.file_rules)
    }
}
