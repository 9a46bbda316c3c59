//! How it stands at this balancer, for whoever asks.

use crate::acting::Local;
use crate::run::{Part, Runner};
use maplehook_cluster::Name;
use maplehook_versions::grants::CutOff;
use maplehook_versions::steps::Step;

impl Runner {
    /// Whom it takes for the leader, by its own vote or by the word of others.
    pub(crate) fn known_leader(&self) -> Option<Name> {
        let by_vote = match &self.part {
            Part::Voting { voter, .. } => voter.leader(),
            _ => None,
        };
        by_vote.or_else(|| self.leader.clone())
    }

    /// At the leader: who can't act on the step that it was told.
    fn unfit_elsewhere(&self) -> Option<String> {
        match &self.part {
            Part::Voting { voter, .. } if voter.knows() => self.share.unfit(voter.steps().epoch),
            _ => None,
        }
    }

    pub(crate) fn local(&self) -> Local {
        let now = self.now();
        let told = self.holder.told();
        let step = told.map_or(Step::Unsettled, |told| told.step);
        let in_force = match step {
            Step::Unsettled => 0,
            Step::Settled(number) | Step::Strictest { from: number, .. } => number,
        };
        let digest = told
            .and_then(|told| told.versions.iter().find(|version| version.number == in_force))
            .map_or_else(|| self.digest.clone(), |version| version.digest.clone());
        let lease_left = self.holder.until().and_then(|until| until.checked_sub(now));
        let leads = matches!(&self.part, Part::Voting { voter, .. } if voter.leads());
        let leader = self.known_leader();
        let voter = match &self.part {
            Part::Out(why) => Some(why.clone()),
            Part::Founding { heard, .. } => {
                let missing = self.others().filter(|name| !heard.contains_key(name));
                let names: Vec<String> = missing.map(|name| name.to_string()).collect();
                Some(format!("the first start waits for all voters; missing: {}", names.join(", ")))
            }
            _ => None,
        };
        let careful = match self.setup.cut_off {
            CutOff::WaitForAll => in_force == 0,
            _ => in_force == 0 || lease_left.is_none(),
        };
        Local {
            in_force,
            epoch: self.applied,
            step,
            digest,
            lease_left,
            careful,
            leader: if leads {
                Some(self.setup.own.to_string())
            } else {
                leader.map(|name| name.to_string())
            },
            voter: voter.or_else(|| self.unfit.clone()).or_else(|| self.unfit_elsewhere()),
        }
    }
}
