//! Operators' requests: the leader handles them, any other member forwards them to the leader.

use crate::messages::{AdminReply, AdminRequest, PeerMessage};
use crate::runner::{PendingRead, Requester, Runner, VoterRole};
use maplehook_versions::{Command, Phase, Version};
use std::time::{Duration, Instant};

/// How long the leader may take to answer a forwarded request, beside the time for its validation.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(1500);
/// The most forwarded requests that may wait for a reply.
const MAX_FORWARDED_REQUESTS: usize = 64;

const NO_LEADER: &str = "nobody leads: a majority of the voters can't be reached from here";

impl Runner {
    /// Handles a request, or forwards it if another member is the leader. A request is forwarded only once.
    pub(crate) fn on_admin_request(&mut self, request: AdminRequest, requester: Requester) {
        if self.is_established_leader() {
            return self.handle_as_leader(request, requester);
        }
        let leader = self.known_leader().filter(|leader| *leader != self.config.local_name);
        match (leader, requester) {
            (Some(leader), requester @ Requester::Local(_))
                if self.forwarded_requests.len() < MAX_FORWARDED_REQUESTS =>
            {
                let ticket = fastrand::u64(..);
                let deadline = Instant::now() + FORWARD_TIMEOUT + self.max_validation_time(&request);
                self.forwarded_requests.insert(ticket, (requester, deadline));
                self.send(&leader, &PeerMessage::ForwardedRequest { ticket, request });
            }
            (_, requester) => self.answer_unavailable(requester, NO_LEADER),
        }
    }

    fn handle_as_leader(&mut self, request: AdminRequest, requester: Requester) {
        if !matches!(&self.role, VoterRole::Voting { lease_manager: Some(_), .. }) {
            return self.answer_unavailable(requester, "the leader has just begun");
        }
        match request {
            AdminRequest::Status => self.begin_status(requester),
            AdminRequest::History => self.answer_history(requester),
            AdminRequest::Show { number } => self.answer_version(number, requester),
            AdminRequest::Forget { name } => self.forget_member(name, requester),
            AdminRequest::Replace { old, new } => self.replace_voter(&old, &new, requester),
            AdminRequest::Undo => self.undo(requester),
            AdminRequest::Propose { text, expected } => self.validate_proposal(text, expected, requester),
        }
    }

    /// The status is answered once a majority has confirmed that this voter still is the leader.
    fn begin_status(&mut self, requester: Requester) {
        let VoterRole::Voting { voter, .. } = &mut self.role else { return };
        let ticket = fastrand::u64(..);
        if voter.confirm_leadership(ticket) {
            self.pending_reads.insert(ticket, PendingRead::Status(requester));
        } else {
            self.answer_unavailable(requester, "the leader is busy");
        }
    }

    fn answer_history(&self, requester: Requester) {
        let VoterRole::Voting { voter, .. } = &self.role else { return };
        let without_text = |version: &Version| Version {
            text: String::new(),
            digest: version.digest.clone(),
            proposed_by: version.proposed_by.clone(),
            ..*version
        };
        let versions = voter.version_state().versions.iter().map(without_text).collect();
        self.answer(requester, AdminReply::Versions(versions));
    }

    fn answer_version(&self, number: u64, requester: Requester) {
        let VoterRole::Voting { voter, .. } = &self.role else { return };
        match voter.version_state().version(number) {
            Some(version) => self.answer(requester, AdminReply::Versions(vec![version.clone()])),
            None => self.reject(requester, format!("there is no version {number}, or no more")),
        }
    }

    fn forget_member(&mut self, name: String, requester: Requester) {
        if self.member_named(&name).is_none() {
            return self.reject(requester, format!("there is no member {name:?}"));
        }
        self.propose(Command::Forget { name }, requester);
    }

    /// Undoes the transition that is under way. If there is none, proposes the previous version again.
    fn undo(&mut self, requester: Requester) {
        let VoterRole::Voting { voter, .. } = &self.role else { return };
        let state = voter.version_state();
        match state.phase {
            Phase::Initial => self.reject(requester, "nothing is agreed yet"),
            Phase::Transition { .. } => {
                let epoch = state.epoch;
                self.propose(Command::Undo { epoch }, requester);
            }
            Phase::Stable(number) => {
                let mut earlier = state.versions.iter().rev().filter(|version| version.number < number);
                match earlier.find(|version| !version.is_undone).map(|version| version.text.clone()) {
                    Some(text) => self.validate_proposal(text, Some(number), requester),
                    None => self.reject(requester, "there is no version before"),
                }
            }
        }
    }

    /// Proposes a command to the log. The requester is answered once its outcome is known.
    pub(crate) fn propose(&mut self, command: Command, requester: Requester) {
        let ticket = fastrand::u64(..);
        let is_proposed = match &mut self.role {
            VoterRole::Voting { voter, .. } => voter.propose(ticket, &command),
            _ => false,
        };
        if is_proposed {
            self.pending_proposals.insert(ticket, requester);
        } else {
            self.answer_unavailable(requester, "this voter leads no more, or is busy");
        }
    }
}
