//! How it stands with the common document, told to the maker of each part.

use crate::document_parts::{DocumentParts, PartKind};
use crate::runner::{Runner, VoterRole};
use crate::shared_document::{LaggingMember, SharedDocumentStatus};
use maplehook_cluster::Name;

impl Runner {
    /// Says how it stands, where that has changed.
    pub(crate) fn stand(&mut self) {
        if !std::mem::take(&mut self.share.has_changed) {
            return;
        }
        let (number, body) = self.share.holder.newest();
        let held = read(number, body);
        let agreed = match &self.part {
            VoterRole::Voting { voter, .. } => {
                let document = &voter.version_state().shared_document;
                Some(if (document.number, &document.body) == (number, body) {
                    held.clone()
                } else {
                    read(document.number, &document.body)
                })
            }
            _ => None,
        };
        for topic in PartKind::ALL {
            let standing = self.standing(topic, &held, agreed.as_ref());
            self.share.status_sender(topic).send_if_modified(|before| {
                let news = *before != standing;
                *before = standing;
                news
            });
        }
    }

    fn standing(
        &self,
        topic: PartKind,
        held: &DocumentParts,
        agreed: Option<&DocumentParts>,
    ) -> SharedDocumentStatus {
        let now = self.now();
        let until = self.share.holder.lease_end();
        let mut standing = SharedDocumentStatus {
            received: held.part(topic),
            lease_end: until.map(|until| self.epoch + until),
            leader: self.known_leader(),
            max_lease: self.setup.lease_times.max_lease(),
            ..SharedDocumentStatus::default()
        };
        let (VoterRole::Voting { voter, grants, .. }, Some(agreed)) = (&self.part, agreed) else {
            return standing;
        };
        standing.committed = agreed.part(topic);
        let lately = until.is_some_and(|until| now < until);
        if let (true, Some(given)) = (voter.is_established_leader(), &self.share.lease_manager) {
            standing.is_leader = lately && self.share.granted_by.as_ref() == Some(&self.setup.local_name);
            // Members say by which number of places they act; makers of other parts have words of their own.
            if topic == PartKind::Failover {
                standing.lagging_members = given
                    .lagging_members(now, agreed.number(topic))
                    .into_iter()
                    .map(|(name, left)| LaggingMember { name, max_remaining: left })
                    .collect();
            }
            let acts = |name: &Name| (name.clone(), given.reported_numbers(name).map(|(acts, _)| acts));
            let ends = |name: &Name| {
                (*grants).as_ref().is_some_and(|g| g.lease_end(name).is_some_and(|u| u > now))
                    || given.lease_end(name).is_some_and(|u| u > now)
            };
            standing.members = self.setup.members.iter().filter(|name| ends(name)).map(acts).collect();
        }
        standing
    }
}

fn read(number: u64, body: &[u8]) -> DocumentParts {
    DocumentParts::decode(body).unwrap_or_else(|| {
        tracing::error!(number, "what is agreed on in common can't be read here");
        DocumentParts::default()
    })
}
