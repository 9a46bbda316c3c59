//! What a leader does by itself: it proposes the first version, ends transitions, and reports the status of the cluster.

use crate::messages::{ClusterStatus, MemberStatus};
use crate::runner::{Requester, Runner, VoterRole};
use maplehook_cluster::Name;
use maplehook_transport::unix_ms;
use maplehook_versions::{Command, Phase, VersionState};
use std::collections::BTreeMap;

impl Runner {
    /// Proposes the next phase if nothing holds it up.
    pub(crate) fn drive_phase(&mut self) {
        if self.phase_proposal.is_some() {
            return;
        }
        let Some(command) = self.next_command() else { return };
        let VoterRole::Voting { voter, .. } = &mut self.role else { return };
        let ticket = fastrand::u64(..);
        if voter.propose(ticket, &command) {
            self.phase_proposal = Some(ticket);
            self.pending_proposals.insert(ticket, Requester::Internal);
        }
    }

    /// Returns the command that the present phase calls for, if any.
    fn next_command(&self) -> Option<Command> {
        let VoterRole::Voting { voter, lease_manager: Some(leases), .. } = &self.role else { return None };
        if !voter.is_established_leader() {
            return None;
        }
        let state = voter.version_state();
        match state.phase {
            Phase::Initial if self.have_all_files_in_common() => Some(Command::Propose {
                epoch: state.epoch,
                expected: None,
                text: self.shared_text.clone(),
                proposed_by: self.config.local_name.to_string(),
                proposed_at_unix_ms: unix_ms(),
            }),
            Phase::Transition { .. } if leases.pending_members(self.now(), state).is_empty() => {
                Some(Command::Advance { epoch: state.epoch })
            }
            _ => None,
        }
    }

    /// Returns whether all members have lately reported a file with the same shared part as this one's.
    fn have_all_files_in_common(&self) -> bool {
        let max_age = self.config.lease_times.lease;
        let recent: Vec<&String> = self
            .file_digests
            .values()
            .filter(|(_, reported_at)| reported_at.elapsed() < max_age)
            .map(|(digest, _)| digest)
            .collect();
        recent.iter().all(|digest| **digest == self.file_digest) && recent.len() >= self.config.members.len()
    }

    /// Returns the status of the cluster, as this leader knows it.
    pub(crate) fn cluster_status(&self, state: &VersionState) -> ClusterStatus {
        let voters = match &self.role {
            VoterRole::Voting { voter, .. } => voter.voters().iter().map(ToString::to_string).collect(),
            _ => Vec::new(),
        };
        let active = state.version(state.active_version());
        ClusterStatus {
            epoch: state.epoch,
            phase: state.phase,
            digest: active.map(|version| version.digest.clone()).unwrap_or_default(),
            members: self.member_statuses(state),
            differing_files: self.differing_files(state),
            voters,
        }
    }

    fn member_statuses(&self, state: &VersionState) -> Vec<MemberStatus> {
        let VoterRole::Voting { lease_manager: Some(leases), .. } = &self.role else { return Vec::new() };
        let epochs: BTreeMap<&Name, u64> = leases.member_epochs().collect();
        let pending_members = leases.pending_members(self.now(), state);
        let status = |name: &Name| {
            let pending = pending_members.iter().find(|pending| pending.name == *name);
            let max_wait = pending.and_then(|pending| pending.max_wait);
            MemberStatus {
                name: name.to_string(),
                epoch: epochs.get(name).copied(),
                max_wait_ms: max_wait.map(|wait| u64::try_from(wait.as_millis()).unwrap_or(u64::MAX)),
                is_pending: pending.is_some(),
            }
        };
        self.config.members.iter().map(status).collect()
    }

    /// Returns the names of members by the digests of their files, as long as there is no version.
    fn differing_files(&self, state: &VersionState) -> Vec<(String, Vec<String>)> {
        let mut names_by_digest = BTreeMap::<String, Vec<String>>::new();
        if state.phase == Phase::Initial {
            for (name, (digest, _)) in &self.file_digests {
                names_by_digest.entry(digest.clone()).or_default().push(name.to_string());
            }
        }
        names_by_digest.into_iter().collect()
    }
}
