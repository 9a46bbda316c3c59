//! Submits the leader's decisions as proposals, and settings that passed all stages as the next version.

use crate::agent::WISHES_MOST;
use crate::document::Document;
use crate::leader::{LeaderState, PlanContext};
use crate::messages::{OperatorRequest, Reply};
use crate::runner::{CALM, OnItsWay, Runner, WISH, Wisher, read};
use maplehook_consensus::messages::{AdminReply as Said, AdminRequest};
use maplehook_consensus::{AdminClient, EnforcementMode, PartProposal, SharedDocumentStatus};
use maplehook_transport::unix_ms;
use maplehook_versions::digest;
use std::sync::Arc;
use std::time::Instant;
use tokio::sync::oneshot;

impl Runner {
    /// Starts or stops acting as leader.
    pub(crate) fn lead(&mut self, standing: &SharedDocumentStatus) {
        if !standing.is_leader {
            if self.leading.take().is_some() {
                tracing::info!("leads changes in stages no more");
                if let Some((wisher, _)) = self.on_its_way.take().and_then(|on| on.wisher) {
                    self.end(wisher, Reply::Unavailable("the leader has lost its place".into()));
                }
                for (_, wisher, _) in std::mem::take(&mut self.waits) {
                    self.end(wisher, Reply::Unavailable("the leader has lost its place".into()));
                }
                self.proposing = None;
            }
            return;
        }
        let number = standing.committed.as_ref().map_or(0, |agreed| agreed.number);
        if self.on_its_way.is_none() && number > self.rests_on {
            // The log contains an abandoned proposal or another leader's proposal, so the state is rebuilt.
            self.leading = None;
        }
        if self.leading.is_none() {
            self.rests_on = number;
            let stands = standing.committed.as_ref().map(|agreed| Document::decode(&agreed.body));
            let Some(stands) = stands.unwrap_or_else(|| Some(Document::default())) else {
                // A newer program wrote the document, so a balancer with that program must lead.
                return;
            };
            tracing::info!("leads changes in stages");
            self.leading = Some(LeaderState::new(self.setup.names.clone(), stands, self.now()));
        }
    }

    /// Returns the version in force here, or `None` if there is no version or another one is pending.
    fn in_force(&self) -> Option<u64> {
        let acting = self.setup.link.active_version.borrow();
        (acting.mode(Instant::now()) == EnforcementMode::Current).then(|| acting.label.parse().ok()).flatten()
    }

    pub(crate) fn decide(&mut self) {
        let (now, in_force) = (self.now(), self.in_force());
        if self.on_its_way.is_some() || !self.standing().is_leader {
            return;
        }
        let Some(leading) = &mut self.leading else { return };
        if let Some(body) = leading.tick(now, in_force, unix_ms()) {
            return self.put(body, None);
        }
        if self.proposing.is_none()
            && let Some((text, rests_on)) = leading.completed_settings()
        {
            let (tell, told) = oneshot::channel();
            let (wishes, text) = (self.setup.link.admin.clone(), text.to_owned());
            self.proposing = Some(told);
            tokio::spawn(async move {
                let _ = tell.send(propose(&wishes, text, rests_on).await);
            });
        }
    }

    pub(crate) fn proposed(&mut self, version: Option<Result<u64, String>>) {
        let Some(version) = version else { return };
        if self.on_its_way.is_none()
            && let Some(leading) = &mut self.leading
            && let Some(body) = leading.settings_proposed(version)
        {
            self.put(body, None);
        }
    }

    fn put(&mut self, body: Vec<u8>, wisher: Option<(Wisher, u64)>) {
        let (done, ended) = oneshot::channel();
        let sent = self
            .setup
            .link
            .channels
            .proposals
            .try_send(PartProposal { expected: self.rests_on, body, outcome: done })
            .is_ok();
        self.on_its_way = Some(OnItsWay { done: ended, until: Instant::now() + WISH, wisher });
        if !sent {
            self.ended(Err("the agreement's thread is busy".into()));
        }
    }

    pub(crate) fn ended(&mut self, ended: Result<u64, String>) {
        let wisher = self.on_its_way.take().and_then(|on| on.wisher);
        if let Err(why) = &ended {
            tracing::info!("a step of a change in stages is not agreed on: {why}");
        }
        match &mut self.leading {
            Some(leading) if ended.is_ok() => {
                self.rests_on = *ended.as_ref().unwrap_or(&self.rests_on);
                leading.finish_proposal(true);
            }
            // The outcome is unknown, so the state is read from the log again.
            _ => {
                self.leading = None;
                let standing = self.standing();
                self.lead(&standing);
            }
        }
        if let Some((wisher, number)) = wisher {
            self.end(wisher, ended.map_or_else(Reply::Unavailable, |_| Reply::Done(number)));
        }
        while self.on_its_way.is_none()
            && let Some((wish, wisher, by)) = self.waits.pop_front()
        {
            self.wish(wish, wisher, by);
        }
    }

    /// Handles an operator's request: applies or queues it as leader, or forwards it to the leader.
    pub(crate) fn wish(&mut self, wish: OperatorRequest, wisher: Wisher, by: Option<String>) {
        if self.leading.is_some() && self.standing().is_leader {
            if self.on_its_way.is_some() {
                if self.waits.len() >= WISHES_MOST {
                    return self.end(wisher, Reply::Unavailable("too many wishes are under way".into()));
                }
                return self.waits.push_back((wish, wisher, by));
            }
            let by = by.unwrap_or_else(|| self.setup.name.clone());
            let in_force = self.in_force();
            let rules = Arc::clone(&self.setup.link.active_version.borrow().rules);
            let file = &self.setup.file;
            let of_file = |text: &str| read(file, text);
            let ground = PlanContext { in_force, rules: &rules, read: &of_file, unix_ms: unix_ms() };
            let Some(leading) = &mut self.leading else { return };
            return match leading.handle_request(&by, &wish, &ground) {
                Ok((body, number)) => self.put(body, Some((wisher, number))),
                Err(reply) => self.end(wisher, reply),
            };
        }
        self.pass_on(wish, wisher);
    }
}

/// Proposes settings as the next version; returns its number or the reason for a rejection. `None` means that
/// the outcome is unknown and the caller must retry.
async fn propose(wishes: &AdminClient, text: String, rests_on: u64) -> Option<Result<u64, String>> {
    let of = digest(&text);
    let (_, reply) = wishes.request(AdminRequest::Propose { text, expected: Some(rests_on) }).await?;
    match reply {
        Said::Done(version) => Some(Ok(version)),
        Said::Rejected(why) => match wishes.request(AdminRequest::Status).await {
            // An earlier leader has already proposed these settings.
            Some((local, _)) if local.digest == of => Some(Ok(local.active_version)),
            _ => Some(Err(why)),
        },
        _ => {
            tokio::time::sleep(CALM / 2).await;
            None
        }
    }
}
