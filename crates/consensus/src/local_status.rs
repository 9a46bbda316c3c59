//! How it stands at this balancer, for whoever asks.

use crate::active_version::LocalStatus;
use crate::runner::{Runner, VoterRole};
use maplehook_cluster::Name;
use maplehook_versions::lease_manager::LeaseExpiryPolicy;
use maplehook_versions::version_state::Phase;

impl Runner {
    /// Whom it takes for the leader, by its own vote or by the word of others.
    pub(crate) fn known_leader(&self) -> Option<Name> {
        let by_vote = match &self.part {
            VoterRole::Voting { voter, .. } => voter.leader(),
            _ => None,
        };
        by_vote.or_else(|| self.leader.clone())
    }

    /// At the leader: who can't act on the step that it was told.
    fn unfit_elsewhere(&self) -> Option<String> {
        match &self.part {
            VoterRole::Voting { voter, .. } if voter.is_established_leader() => {
                self.share.describe_rejections(voter.version_state().epoch)
            }
            _ => None,
        }
    }

    pub(crate) fn local_status(&self) -> LocalStatus {
        let now = self.now();
        let told = self.holder.current();
        let step = told.map_or(Phase::Initial, |told| told.phase);
        let in_force = match step {
            Phase::Initial => 0,
            Phase::Stable(number) | Phase::Transition { from: number, .. } => number,
        };
        let digest = told
            .and_then(|told| told.versions.iter().find(|version| version.number == in_force))
            .map_or_else(|| self.digest.clone(), |version| version.digest.clone());
        let lease_left = self.holder.lease_end().and_then(|until| until.checked_sub(now));
        let leads = matches!(&self.part, VoterRole::Voting { voter, .. } if voter.is_leader());
        let leader = self.known_leader();
        let voter = match &self.part {
            VoterRole::Out(why) => Some(why.clone()),
            VoterRole::Founding { heard, .. } => {
                let missing = self.others().filter(|name| !heard.contains_key(name));
                let names: Vec<String> = missing.map(|name| name.to_string()).collect();
                Some(format!("the first start waits for all voters; missing: {}", names.join(", ")))
            }
            _ => None,
        };
        let careful = match self.setup.expiry_policy {
            LeaseExpiryPolicy::WaitForAll => in_force == 0,
            _ => in_force == 0 || lease_left.is_none(),
        };
        LocalStatus {
            active_version: in_force,
            epoch: self.applied,
            phase: step,
            digest,
            lease_remaining: lease_left,
            lacks_lease: careful,
            leader: if leads {
                Some(self.setup.local_name.to_string())
            } else {
                leader.map(|name| name.to_string())
            },
            voter_problem: voter.or_else(|| self.unfit.clone()).or_else(|| self.unfit_elsewhere()),
        }
    }
}
