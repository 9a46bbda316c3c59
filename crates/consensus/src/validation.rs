//! The validation of a proposed version: every member with a lease must be able to apply it, and every member must have left the
//! previous phase.
//!
//! A member whose lease has expired is not waited for. It enforces conservative rules until it learns of the new phase, and keeps
//! enforcing them if it can't apply that one.

use crate::messages::{AdminRequest, PeerMessage};
use crate::runner::{ProposalValidation, Requester, Runner, VALIDATION_TIMEOUT, VoterRole};
use maplehook_cluster::Name;
use maplehook_transport::unix_ms;
use maplehook_versions::{Command, LeaseManager, Phase, VersionState, digest};
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

/// Bytes of texts that are transferred between machines in a second.
const TRANSFERRED_BYTES_PER_SECOND: f64 = 40e6;
/// Bytes of texts that a small machine parses in a second.
const PARSED_BYTES_PER_SECOND: f64 = 2e6;
/// In this time a reachable member answers that has no lease because it can't apply the present phase.
const PROMPT_REPLY: Duration = Duration::from_millis(200);

impl Runner {
    /// Returns the longest time that it takes to send a text to all members and to parse it there.
    fn transfer_time(&self, text: &str) -> Duration {
        let transfer = (text.len() * self.config.members.len()) as f64 / TRANSFERRED_BYTES_PER_SECOND;
        Duration::from_secs_f64(transfer + text.len() as f64 / PARSED_BYTES_PER_SECOND)
    }

    /// Returns the longest time that the leader takes to validate a request, before it proposes it.
    pub(crate) fn max_validation_time(&self, request: &AdminRequest) -> Duration {
        match request {
            AdminRequest::Propose { text, .. } => self.max_text_validation_time(text),
            _ => Duration::ZERO,
        }
    }

    fn max_text_validation_time(&self, text: &str) -> Duration {
        self.transfer_time(text) + self.config.lease_times.max_lease() + VALIDATION_TIMEOUT
    }

    /// Begins to validate a version, which is proposed once all members with a lease can apply it.
    pub(crate) fn validate_proposal(&mut self, text: String, expected: Option<u64>, requester: Requester) {
        let now = Instant::now();
        let earliest_end = now + self.transfer_time(&text) + PROMPT_REPLY;
        let deadline = now + self.max_text_validation_time(&text);
        if let Err(error) = self.validate_text(&text) {
            return self.reject(requester, format!("{}: {error}", self.config.local_name));
        }
        let digest = digest(&text);
        if self.is_previous_phase_pending(&digest) {
            return self.answer_unavailable(requester, self.describe_pending_members());
        }
        // The same proposal again replaces the requester, which has given up, and is not sent to the members twice.
        let is_same = |validation: &&mut ProposalValidation| {
            validation.digest == digest && validation.expected == expected
        };
        if let Some(validation) = self.validations.values_mut().find(is_same) {
            let previous = std::mem::replace(&mut validation.requester, requester);
            return self.answer_unavailable(previous, "it was asked for again");
        }
        let ticket = fastrand::u64(..);
        let validation = ProposalValidation {
            text,
            digest,
            expected,
            requester,
            asked: BTreeSet::new(),
            unanswered: BTreeSet::new(),
            earliest_end,
            deadline,
        };
        self.validations.insert(ticket, validation);
        self.advance_validation(ticket);
    }

    /// Returns whether a text other than the present one can't be proposed yet, because members may act on the previous phase.
    fn is_previous_phase_pending(&self, digest: &str) -> bool {
        let VoterRole::Voting { voter, lease_manager: Some(leases), .. } = &self.role else { return false };
        let state = voter.version_state();
        let has_digest = |number: u64| state.version(number).is_some_and(|version| version.digest == digest);
        let pending_members = leases.pending_members(self.now(), state);
        match state.phase {
            Phase::Initial => false,
            // Members without a limit are waited for until they are forgotten.
            Phase::Stable(number) => {
                !has_digest(number) && pending_members.iter().any(|pending| pending.max_wait.is_none())
            }
            Phase::Transition { to, .. } => !has_digest(to) && !pending_members.is_empty(),
        }
    }

    fn describe_pending_members(&self) -> String {
        let names: Vec<String> = match &self.role {
            VoterRole::Voting { voter, lease_manager: Some(leases), .. } => {
                let pending_members = leases.pending_members(self.now(), voter.version_state());
                pending_members.iter().map(|pending| pending.name.to_string()).collect()
            }
            _ => Vec::new(),
        };
        format!("the last step is not everywhere yet: {}", names.join(", "))
    }

    /// Handles a member's answer: `error` says why it can't apply the text.
    pub(crate) fn on_validation_result(&mut self, from: &Name, ticket: u64, error: Option<String>) {
        let Some(validation) = self.validations.get_mut(&ticket) else { return };
        let Some(error) = error else {
            validation.unanswered.remove(from);
            return self.advance_validation(ticket);
        };
        if let Some(validation) = self.validations.remove(&ticket) {
            self.reject(validation.requester, format!("{from}: {error}"));
        }
    }

    /// Advances all validations, because leases may have expired.
    pub(crate) fn advance_validations(&mut self) {
        let tickets: Vec<u64> = self.validations.keys().copied().collect();
        tickets.into_iter().for_each(|ticket| self.advance_validation(ticket));
    }

    /// Proposes the version if no member has to be waited for any more, or gives up at the deadline.
    fn advance_validation(&mut self, ticket: u64) {
        let (now, checked_at) = (self.now(), Instant::now());
        let VoterRole::Voting { voter, lease_manager: Some(leases), .. } = &self.role else { return };
        let Some(validation) = self.validations.get_mut(&ticket) else { return };
        let max_age = self.config.lease_times.lease;
        let recent = self.file_digests.iter().filter(|(_, (_, reported_at))| reported_at.elapsed() < max_age);
        let others = recent.map(|(name, _)| name).filter(|name| **name != self.config.local_name);
        let newly_asked = validation.add_members(others);
        if checked_at >= validation.earliest_end {
            validation.drop_expired(leases, now, &newly_asked);
        }
        let state = voter.version_state();
        let is_phase_complete = validation.is_phase_complete(leases, now, state);
        let is_valid = validation.unanswered.is_empty() && is_phase_complete;
        let is_overdue = checked_at >= validation.deadline;
        let epoch = state.epoch;
        if !newly_asked.is_empty() {
            let text = validation.text.clone();
            self.send_to_all(&newly_asked, &PeerMessage::ValidationRequest { ticket, text });
        }
        if is_valid {
            self.propose_validated(ticket, epoch);
        } else if is_overdue {
            self.give_up_validation(ticket, is_phase_complete);
        }
    }

    fn propose_validated(&mut self, ticket: u64, epoch: u64) {
        let Some(validation) = self.validations.remove(&ticket) else { return };
        let ProposalValidation { text, expected, requester, .. } = validation;
        let proposed_by = match &requester {
            Requester::Remote(name, _) => name.to_string(),
            _ => self.config.local_name.to_string(),
        };
        let proposed_at_unix_ms = unix_ms();
        self.propose(Command::Propose { epoch, expected, text, proposed_by, proposed_at_unix_ms }, requester);
    }

    /// A member that holds a lease and does not answer may be one that can't apply the text.
    fn give_up_validation(&mut self, ticket: u64, is_phase_complete: bool) {
        let Some(validation) = self.validations.remove(&ticket) else { return };
        let names: Vec<String> = validation.unanswered.iter().map(ToString::to_string).collect();
        let reason = if !names.is_empty() {
            format!("{} did not say whether it can act on this", names.join(", "))
        } else if is_phase_complete {
            String::new()
        } else {
            self.describe_pending_members()
        };
        self.answer_unavailable(validation.requester, reason);
    }

    /// Gives up all validations, because this voter has become or ceased to be the leader, or has failed.
    pub(crate) fn cancel_validations(&mut self, reason: &str) {
        for validation in std::mem::take(&mut self.validations).into_values() {
            self.answer_unavailable(validation.requester, reason);
        }
    }
}

impl ProposalValidation {
    /// Adds members that have not been asked yet, and returns them.
    fn add_members<'a>(&mut self, members: impl Iterator<Item = &'a Name>) -> BTreeSet<Name> {
        let added: BTreeSet<Name> = members.filter(|name| !self.asked.contains(*name)).cloned().collect();
        self.asked.extend(added.iter().cloned());
        self.unanswered.extend(added.iter().cloned());
        added
    }

    /// Stops waiting for members whose lease has expired, but for those that have just been asked.
    fn drop_expired(&mut self, leases: &LeaseManager, now: Duration, newly_asked: &BTreeSet<Name>) {
        let may_hold_lease = |name: &Name| leases.lease_end(name).is_none_or(|end| end > now);
        self.unanswered.retain(|name| may_hold_lease(name) || newly_asked.contains(name));
    }

    /// Returns whether no member acts on the previous phase any more, or the text is the present one.
    fn is_phase_complete(&self, leases: &LeaseManager, now: Duration, state: &VersionState) -> bool {
        match state.phase {
            Phase::Stable(number)
                if state.version(number).is_some_and(|version| version.digest != self.digest) =>
            {
                leases.pending_members(now, state).is_empty()
            }
            _ => true,
        }
    }
}
