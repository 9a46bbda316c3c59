//! How the leader replaces a voter by another member, or by the same one if it has lost its log.

use crate::messages::{AdminReply, PeerMessage, VoterNumber};
use crate::runner::{Requester, Runner, VALIDATION_TIMEOUT, VoterReplacement, VoterRole};
use maplehook_cluster::Name;
use std::time::Instant;

impl Runner {
    /// Begins to replace a voter: asks the new one for the number under which it would vote.
    pub(crate) fn replace_voter(&mut self, old: &str, new: &str, requester: Requester) {
        let Some(old) = self.member_named(old) else {
            return self.reject(requester, format!("there is no member {old:?}"));
        };
        let Some(new) = self.member_named(new) else {
            return self.reject(requester, format!("there is no member {new:?}"));
        };
        if let Some(reply) = self.reply_without_replacement(&old, &new) {
            return self.answer(requester, reply);
        }
        let ticket = fastrand::u64(..);
        let deadline = Instant::now() + VALIDATION_TIMEOUT;
        let replacement = VoterReplacement { old, new: new.clone(), requester, deadline };
        self.replacements.insert(ticket, replacement);
        self.send(&new, &PeerMessage::VoterNumberRequest { ticket });
    }

    /// Returns the reply if `old` can't be replaced by `new` now, or has been already. A leader that is to be replaced transfers its
    /// leadership first.
    fn reply_without_replacement(&mut self, old: &Name, new: &Name) -> Option<AdminReply> {
        let VoterRole::Voting { voter, .. } = &mut self.role else {
            return Some(AdminReply::Unavailable("this voter leads no more, or is busy".into()));
        };
        let voters = voter.voters();
        if old != new && voters.contains(new) {
            // The requester may have missed the reply to an earlier request.
            return Some(if voters.contains(old) {
                AdminReply::Rejected(format!("{new} votes already"))
            } else {
                AdminReply::Done(voter.version_state().active_version())
            });
        }
        if !voters.contains(old) {
            return Some(AdminReply::Rejected(format!("{old} does not vote")));
        }
        if voter.has_pending_conf_change() {
            return Some(AdminReply::Unavailable("another change of voters is under way".into()));
        }
        if *old == self.config.local_name {
            voter.transfer_leadership();
            let reason = format!("{old} leads, and hands that over now; ask again");
            return Some(AdminReply::Unavailable(reason));
        }
        None
    }

    /// Proposes the replacement under the number that the new voter has assigned.
    pub(crate) fn on_voter_number_reply(&mut self, from: &Name, ticket: u64, number: VoterNumber) {
        if self.replacements.get(&ticket).is_none_or(|replacement| replacement.new != *from) {
            return;
        }
        let Some(replacement) = self.replacements.remove(&ticket) else { return };
        let VoterReplacement { old, new, requester, .. } = replacement;
        let number = match number {
            VoterNumber::Assigned(number) => number,
            VoterNumber::Refused(reason) => return self.reject(requester, format!("{new}: {reason}")),
        };
        let ticket = fastrand::u64(..);
        let is_proposed = match &mut self.role {
            VoterRole::Voting { voter, .. } => voter.replace_voter(ticket, &old, &new, number),
            _ => false,
        };
        if is_proposed {
            self.pending_proposals.insert(ticket, requester);
        } else {
            let reason = "another change of voters is under way, or this voter leads no more";
            self.answer_unavailable(requester, reason);
        }
    }
}
