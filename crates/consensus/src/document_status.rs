//! Publishes the state of the shared document for the proposer of each part.

use crate::document_parts::{DocumentParts, PartKind};
use crate::part_channels::{LaggingMember, SharedDocumentStatus};
use crate::runner::{Runner, VoterRole};
use maplehook_cluster::Name;
use maplehook_versions::DocumentLeaseManager;
use std::time::Duration;

impl Runner {
    /// Publishes the status of each part if it may have changed.
    pub(crate) fn publish_document_status(&mut self) {
        if !std::mem::take(&mut self.shared_document.has_changed) {
            return;
        }
        let (number, body) = self.shared_document.holder.newest();
        let received = decode_or_default(number, body);
        let committed = match &self.role {
            VoterRole::Voting { voter, .. } => {
                let document = &voter.version_state().shared_document;
                Some(if (document.number, &document.body) == (number, body) {
                    received.clone()
                } else {
                    decode_or_default(document.number, &document.body)
                })
            }
            _ => None,
        };
        for kind in PartKind::ALL {
            let status = self.document_status(kind, &received, committed.as_ref());
            self.shared_document.status_sender(kind).send_if_modified(|published| {
                let has_changed = *published != status;
                *published = status;
                has_changed
            });
        }
    }

    fn document_status(
        &self,
        kind: PartKind,
        received: &DocumentParts,
        committed: Option<&DocumentParts>,
    ) -> SharedDocumentStatus {
        let lease_end = self.shared_document.holder.lease_end();
        let mut status = SharedDocumentStatus {
            received: received.part(kind),
            lease_end: lease_end.map(|end| self.started_at + end),
            leader: self.known_leader(),
            max_lease: self.config.lease_times.max_lease(),
            ..SharedDocumentStatus::default()
        };
        let (VoterRole::Voting { voter, .. }, Some(committed)) = (&self.role, committed) else {
            return status;
        };
        status.committed = committed.part(kind);
        if voter.is_established_leader()
            && let Some(leases) = &self.shared_document.lease_manager
        {
            self.add_leader_status(&mut status, kind, committed, leases);
        }
        status
    }

    fn add_leader_status(
        &self,
        status: &mut SharedDocumentStatus,
        kind: PartKind,
        committed: &DocumentParts,
        leases: &DocumentLeaseManager,
    ) {
        let now = self.now();
        let has_lease = self.shared_document.holder.lease_end().is_some_and(|end| now < end);
        status.is_leader =
            has_lease && self.shared_document.granted_by.as_ref() == Some(&self.config.local_name);
        // Members report the number of the failover part alone; proposers of other parts have messages of their own.
        if kind == PartKind::Failover {
            let lagging_members = leases.lagging_members(now, committed.number(kind));
            status.lagging_members = lagging_members
                .into_iter()
                .map(|(name, max_remaining)| LaggingMember { name, max_remaining })
                .collect();
        }
        let active_number = |name: &Name| leases.reported_numbers(name).map(|(active, _)| active);
        let holders = self.config.members.iter().filter(|name| self.may_hold_any_lease(name, now, leases));
        status.members = holders.map(|name| (name.clone(), active_number(name))).collect();
    }

    /// Returns whether a member may hold a lease on the versions or on the shared document.
    fn may_hold_any_lease(&self, name: &Name, now: Duration, leases: &DocumentLeaseManager) -> bool {
        let VoterRole::Voting { lease_manager, .. } = &self.role else { return false };
        let version_lease_end = lease_manager.as_ref().and_then(|leases| leases.lease_end(name));
        [version_lease_end, leases.lease_end(name)].into_iter().flatten().any(|end| end > now)
    }
}

fn decode_or_default(number: u64, body: &[u8]) -> DocumentParts {
    DocumentParts::decode(body).unwrap_or_else(|| {
        tracing::error!(number, "the shared document can't be decoded");
        DocumentParts::default()
    })
}
