//! The state that a member keeps of the shared document.

use crate::document_parts::PartKind;
use crate::part_channels::{PartProposal, PartSenders, SharedDocumentStatus};
use bytes::Bytes;
use maplehook_cluster::Name;
use maplehook_versions::{DocumentLeaseHolder, DocumentLeaseManager, LeaseTimes};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tokio::sync::watch;

/// The state of the shared document at one member.
pub(crate) struct SharedDocumentState {
    /// The lease and the body that this member holds.
    pub(crate) holder: DocumentLeaseHolder,
    /// The number that this member acts on; `None` if it has no part in the document.
    pub(crate) active_number: Option<u64>,
    /// On the leader: the leases that it has granted.
    pub(crate) lease_manager: Option<DocumentLeaseManager>,
    /// On the leader: the newest number that it has begun to push.
    pub(crate) pushed_number: u64,
    /// On the leader: the members to which that number has yet to be pushed.
    pub(crate) push_targets: BTreeSet<Name>,
    /// The member that granted the latest lease.
    pub(crate) granted_by: Option<Name>,
    /// On the leader: members that can't apply a phase, with its epoch and the reason.
    rejected_phases: BTreeMap<Name, (u64, String)>,
    /// Whether the published status may be outdated.
    pub(crate) has_changed: bool,
    senders: BTreeMap<PartKind, PartSenders>,
    /// A proposal that waits until the outcome of another part's proposal is known.
    pub(crate) queued_proposal: Option<(PartKind, PartProposal)>,
}

impl SharedDocumentState {
    /// Creates the state of a member that has received nothing.
    pub(crate) fn new(times: LeaseTimes, senders: BTreeMap<PartKind, PartSenders>) -> Self {
        Self {
            holder: DocumentLeaseHolder::new(times),
            active_number: Some(0),
            lease_manager: None,
            pushed_number: 0,
            push_targets: BTreeSet::new(),
            granted_by: None,
            rejected_phases: BTreeMap::new(),
            has_changed: true,
            senders,
            queued_proposal: None,
        }
    }

    /// Resets what belongs to one term of leadership. `leases` is the new leader's lease manager, or `None` for a follower.
    pub(crate) fn on_role_change(&mut self, leases: Option<DocumentLeaseManager>) {
        self.lease_manager = leases;
        self.pushed_number = 0;
        self.has_changed = true;
        self.push_targets.clear();
        self.rejected_phases.clear();
    }

    /// Records whether a member can apply the phase that it was told.
    pub(crate) fn record_rejection(&mut self, name: &Name, rejection: Option<(u64, String)>) {
        match rejection {
            Some(rejection) => drop(self.rejected_phases.insert(name.clone(), rejection)),
            None => drop(self.rejected_phases.remove(name)),
        }
    }

    /// Returns whether a member has reported that it can't apply the phase of this epoch.
    pub(crate) fn has_rejected(&self, name: &Name, epoch: u64) -> bool {
        self.rejected_phases.get(name).is_some_and(|(rejected, _)| *rejected == epoch)
    }

    /// Describes which members can't apply the phase of this epoch, and why; `None` if all can.
    pub(crate) fn describe_rejections(&self, epoch: u64) -> Option<String> {
        let rejections = self.rejected_phases.iter().filter(|(_, (rejected, _))| *rejected == epoch);
        let descriptions: Vec<String> =
            rejections.map(|(name, (_, reason))| format!("{name} can't act on it: {reason}")).collect();
        (!descriptions.is_empty()).then(|| descriptions.join("; "))
    }

    /// Extends the lease or replaces the body by what the member `from` has sent.
    pub(crate) fn accept(
        &mut self,
        now: Duration,
        from: Name,
        request_id: Option<u64>,
        number: u64,
        body: Option<std::sync::Arc<[u8]>>,
    ) {
        let previous_end = self.holder.lease_end();
        let is_new = self.holder.accept_grant(request_id, number, body);
        if self.holder.lease_end() != previous_end {
            self.has_changed |= previous_end.is_none_or(|end| end <= now);
            self.granted_by = Some(from);
        }
        self.has_changed |= is_new;
    }

    /// Passes a message on to the proposer of the part that it concerns. It is dropped if the queue is full.
    pub(crate) fn deliver(&self, from: &Name, body: &Bytes) {
        let kind = PartKind::ALL.into_iter().find(|kind| body.first() == Some(&kind.message_prefix()));
        if let Some(senders) = kind.and_then(|kind| self.senders.get(&kind)) {
            let _ = senders.incoming.try_send((from.clone(), body.slice(1..)));
        }
    }

    /// Returns the channel on which the status of a part is published.
    pub(crate) fn status_sender(&self, kind: PartKind) -> &watch::Sender<SharedDocumentStatus> {
        &self.senders[&kind].status
    }
}
