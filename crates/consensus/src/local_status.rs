//! The status of this member.

use crate::admin::LocalStatus;
use crate::runner::{Runner, VoterRole};
use maplehook_cluster::Name;
use maplehook_versions::{LeaseExpiryPolicy, Phase};

impl Runner {
    /// Returns the leader, by this member's own vote or by the word of others.
    pub(crate) fn known_leader(&self) -> Option<Name> {
        let by_vote = match &self.role {
            VoterRole::Voting { voter, .. } => voter.leader(),
            _ => None,
        };
        by_vote.or_else(|| self.leader_hint.clone())
    }

    /// Returns the status that an operator at this member receives.
    pub(crate) fn local_status(&self) -> LocalStatus {
        let update = self.lease_holder.current();
        let phase = update.map_or(Phase::Initial, |update| update.phase);
        let active_version = phase.active_version();
        let active =
            update.and_then(|update| update.versions.iter().find(|version| version.number == active_version));
        let lease_end = self.lease_holder.lease_end();
        let lease_remaining = lease_end.and_then(|end| end.checked_sub(self.now()));
        LocalStatus {
            active_version,
            epoch: self.applied_epoch,
            phase,
            digest: active.map_or_else(|| self.file_digest.clone(), |version| version.digest.clone()),
            lease_remaining,
            lacks_lease: match self.config.expiry_policy {
                LeaseExpiryPolicy::WaitForAll => active_version == 0,
                _ => active_version == 0 || lease_remaining.is_none(),
            },
            leader: self.leader_for_status().map(|name| name.to_string()),
            voter_problem: self.voter_problem(),
        }
    }

    fn leader_for_status(&self) -> Option<Name> {
        match &self.role {
            VoterRole::Voting { voter, .. } if voter.is_leader() => Some(self.config.local_name.clone()),
            _ => self.known_leader(),
        }
    }

    /// Describes what prevents this member from voting, or it, or on the leader any member, from applying the present phase.
    fn voter_problem(&self) -> Option<String> {
        match &self.role {
            VoterRole::Disabled(reason) => return Some(reason.clone()),
            VoterRole::Bootstrapping { reported, .. } => {
                let missing = self.other_voters().filter(|name| !reported.contains_key(name));
                let names: Vec<String> = missing.map(|name| name.to_string()).collect();
                return Some(format!("the first start waits for all voters; missing: {}", names.join(", ")));
            }
            _ => {}
        }
        let phase_error = self.phase_error.as_ref().map(ToString::to_string);
        phase_error.or_else(|| self.rejections_at_leader())
    }

    fn rejections_at_leader(&self) -> Option<String> {
        match &self.role {
            VoterRole::Voting { voter, .. } if voter.is_established_leader() => {
                self.shared_document.describe_rejections(voter.version_state().epoch)
            }
            _ => None,
        }
    }
}
