//! A member's side: it asks for a lease, hears of steps, and reads what they come to here; and the answers that it gets as far as
//! they need nothing but the leader's word that it leads.

use crate::active_version::{ActiveVersion, EnforcementMode};
use crate::messages::{AdminReply, PeerMessage, PhaseUpdateMessage, RAFT_TOPIC};
use crate::runner::{PendingRead, Requester, Runner, TEXTS_AT_ONCE, TICK, VoterRole, read};
use crate::shared_document::SHARED_DOCUMENT_TOPIC;
use maplehook_cluster::Name;
use maplehook_config::Proxy;
use maplehook_transport::frames::Message;
use maplehook_versions::compatibility::{conflicts, conservative, strictest};
use maplehook_versions::lease_holder::PhaseUpdate;
use maplehook_versions::lease_manager::LeaseExpiryPolicy;
use maplehook_versions::version_state::{Phase, digest};
use std::sync::Arc;
use std::time::Instant;

/// Texts whose rules are kept: two in force, one that is looked at.
const READ: usize = 3;

impl Runner {
    /// Asks whoever leads for a lease. The clock is read before anything is said.
    pub(crate) fn ask_for_a_lease(&mut self) {
        let now = self.now();
        let number = self.holder.begin_request(now);
        self.share.holder.begin_request(number, now);
        let (acts, held) = (self.share.active_number, self.share.holder.newest().0);
        // Once it acts carefully it contradicts nobody, and is not waited for; before that it may still act on the step before.
        let rules = self.acting.borrow().mode(Instant::now()) == EnforcementMode::Current;
        let unfit = self.unfit.clone().filter(|_| !rules).map(|why| (self.holder.epoch(), why));
        if let VoterRole::Voting { voter, .. } = &self.part
            && voter.is_leader()
        {
            self.on_document_report(&self.setup.local_name.clone(), acts, held, unfit);
            self.asked(
                &self.setup.local_name.clone(),
                number,
                self.applied,
                self.holder.epoch(),
                self.digest.clone(),
            );
            return;
        }
        let to = match &self.leader {
            Some(leader) => leader.clone(),
            None => {
                self.next_voter = self.next_voter.wrapping_add(1);
                // Those of the file may all have been replaced: any member knows who leads.
                let others: Vec<Name> = if self.next_voter % 4 == 3 {
                    self.setup
                        .members
                        .iter()
                        .filter(|name| **name != self.setup.local_name)
                        .cloned()
                        .collect()
                } else {
                    self.others().collect()
                };
                let Some(to) = others.get(self.next_voter % others.len().max(1)) else { return };
                to.clone()
            }
        };
        // It is asked again elsewhere if nothing comes of it.
        if self.holder.lease_end().is_none_or(|until| until < now) {
            self.leader = None;
        }
        let (epoch, has, digest) = (self.applied, self.holder.epoch(), self.digest.clone());
        // Before it, so that the leader knows of it when it answers; one of an earlier program can't read it, and answers alike.
        self.tell(
            &to,
            &PeerMessage::DocumentReport { active_number: acts, has: held, rejected_phase: unfit },
        );
        self.tell(&to, &PeerMessage::LeaseRequest { number, epoch, has, digest });
    }

    /// A member asks this voter for a lease.
    pub(crate) fn asked(&mut self, from: &Name, number: u64, epoch: u64, has: u64, digest: String) {
        let VoterRole::Voting { voter, .. } = &mut self.part else {
            let leader = self.leader.as_ref().map(ToString::to_string);
            self.tell(from, &PeerMessage::NotLeader { leader });
            return;
        };
        if !voter.is_established_leader() {
            let leader = voter
                .leader()
                .filter(|leader| *leader != self.setup.local_name)
                .map(|leader| leader.to_string());
            self.tell(from, &PeerMessage::NotLeader { leader });
            return;
        }
        let ticket = fastrand::u64(..);
        if voter.confirm_leadership(ticket) {
            self.readings.insert(ticket, PendingRead::Lease { from: from.clone(), number, epoch, has });
        }
        self.digests.insert(from.clone(), (digest, Instant::now()));
    }

    /// Tells somebody that it votes no more, if that is so by the word of a majority: a leader that was cut off may know less.
    fn is_voter(&mut self, name: Name) {
        if let VoterRole::Voting { voter, .. } = &mut self.part
            && voter.is_established_leader()
        {
            let ticket = fastrand::u64(..);
            if voter.confirm_leadership(ticket) {
                self.readings.insert(ticket, PendingRead::Voter(name));
            }
        }
    }

    pub(crate) fn hear(&mut self, from: &Name, message: &Message) {
        if message.topic == SHARED_DOCUMENT_TOPIC {
            return self.share.deliver(from, &message.body);
        }
        if message.topic == RAFT_TOPIC {
            if let VoterRole::Voting { voter, .. } = &mut self.part {
                if !voter.step(from, &message.body) {
                    tracing::debug!(%from, "a message of a voter makes no sense");
                }
                if !voter.awaits_snapshot() && !voter.is_voter_name(from) {
                    // Only whoever leads knows for certain; the one that was replaced may not know of it.
                    match voter.leader() {
                        _ if voter.is_established_leader() => self.is_voter(from.clone()),
                        Some(leader) => {
                            self.tell(&leader, &PeerMessage::SuspectedFormerVoter { name: from.to_string() })
                        }
                        None => {}
                    }
                }
            }
            return;
        }
        let Ok(say) = postcard::from_bytes::<PeerMessage>(&message.body) else {
            tracing::debug!(%from, "a message on versions can't be read");
            return;
        };
        match say {
            PeerMessage::LeaseRequest { number, epoch, has, digest } => {
                self.asked(from, number, epoch, has, digest)
            }
            PeerMessage::LeaseGrant { number, epoch, update: told } => {
                self.leader = Some(from.clone());
                self.granted(number, epoch, told.map(PhaseUpdate::from));
            }
            PeerMessage::NotLeader { leader } => {
                self.leader =
                    leader.and_then(|name| Name::new(&name)).filter(|name| self.setup.members.contains(name));
            }
            PeerMessage::ForwardedRequest { ticket, request: op } => {
                self.wish(op, Requester::There(from.clone(), ticket))
            }
            PeerMessage::ForwardedReply { ticket, reply } => {
                if let Some((wisher, _)) = self.passed_on.remove(&ticket) {
                    self.end(wisher, reply);
                }
            }
            PeerMessage::ValidationRequest { ticket, text } => {
                let fault = self.fits(&text).err();
                self.tell(from, &PeerMessage::ValidationResult { ticket, error: fault });
            }
            PeerMessage::ValidationResult { ticket, error: fault } => self.checked(from, ticket, fault),
            PeerMessage::Bootstrap { number, founders: founded, wants_reply: asks } => {
                self.founding(from, number, &founded, asks)
            }
            PeerMessage::VoterNumberRequest { ticket } => self.seat(from, ticket),
            PeerMessage::VoterNumberReply { ticket, number } => self.seated(from, ticket, number),
            PeerMessage::VoterReplaced => self.unseated(),
            PeerMessage::DocumentReport { active_number: acts, has, rejected_phase: unfit } => {
                self.on_document_report(from, acts, has, unfit)
            }
            PeerMessage::Document { request, number, body } => self.on_document(from, request, number, body),
            PeerMessage::SuspectedFormerVoter { name } => {
                let known = Name::new(&name).filter(|name| self.setup.members.contains(name));
                known.into_iter().for_each(|name| self.is_voter(name));
            }
        }
    }

    /// The rules of the own file with this shared part.
    fn read(&mut self, text: &str, digest: &str) -> Result<Arc<Proxy>, String> {
        if let Some((_, rules)) = self.read.iter().find(|(of, _)| of == digest) {
            return Ok(Arc::clone(rules));
        }
        let rules = read(&self.setup.file, text)?;
        self.read.push_back((digest.to_owned(), Arc::clone(&rules)));
        if self.read.len() > READ {
            self.read.pop_front();
        }
        Ok(rules)
    }

    /// Whether this text could be acted on here.
    pub(crate) fn fits(&mut self, text: &str) -> Result<Arc<Proxy>, String> {
        let rules = self.read(text, &digest(text))?;
        self.goes(&rules)?;
        Ok(rules)
    }

    /// Whether these rules go with what is here.
    fn goes(&self, rules: &Proxy) -> Result<(), String> {
        let present = &self.acting.borrow().rules;
        if rules.tenants.first() != present.tenants.first() {
            return Err("tenant: the first [[tenant]] has to stay the first: whoever names none is it".into());
        }
        if self.own.eureka.is_some() && rules.upstreams != self.own.upstreams {
            return Err("upstream: beside [eureka] those of the file stay as they are".into());
        }
        Ok(())
    }

    pub(crate) fn granted(&mut self, number: u64, epoch: u64, told: Option<PhaseUpdate>) {
        let told = told.and_then(|told| self.whole(told));
        if self.holder.accept_grant(number, epoch, told) {
            self.unfit = None;
        }
        let (epoch, step) = match self.holder.current() {
            Some(told) if told.phase != Phase::Initial => (told.epoch, told.phase),
            _ => return,
        };
        let until = match self.setup.expiry_policy {
            LeaseExpiryPolicy::WaitForAll => None,
            _ => self.holder.lease_end().map(|until| self.epoch + until),
        };
        let news = self.acting.borrow().epoch != epoch;
        if !news {
            self.acting.send_modify(|acting| acting.lease_end = until);
            return;
        }
        if self.unfit.is_some() {
            return;
        }
        let rules = match self.holder.current().cloned() {
            // Whoever was away when it was proposed was not asked.
            Some(told) => {
                self.rules(&told).and_then(|(rules, label)| self.goes(&rules).map(|()| (rules, label)))
            }
            None => Err("nothing is agreed".into()),
        };
        match rules {
            Ok((rules, label)) => {
                let careful = (self.setup.expiry_policy != LeaseExpiryPolicy::Reject)
                    .then(|| Arc::new(conservative(&rules)));
                tracing::info!(version = label, epoch, step = %step, "acts on another step");
                self.acting.send_replace(ActiveVersion {
                    epoch,
                    label,
                    rules,
                    lease_end: until,
                    conservative_rules: careful,
                    lacks_lease: false,
                });
            }
            Err(e) => {
                tracing::error!("the version that was agreed on can't be acted on here: {e}");
                self.unfit = Some(e);
            }
        }
    }

    /// With the texts that were left out since they are here; `None` where one is not.
    pub(crate) fn whole(&self, mut told: PhaseUpdate) -> Option<PhaseUpdate> {
        let here = self.holder.current();
        for version in told.versions.iter_mut().filter(|version| version.text.is_empty()) {
            let known =
                here.and_then(|here| here.versions.iter().find(|known| known.digest == version.digest));
            match known {
                Some(known) => version.text.clone_from(&known.text),
                // A version without a word in it is possible.
                None if version.digest == digest("") => {}
                None => return None,
            }
        }
        Some(told)
    }

    /// What a step comes to here.
    pub(crate) fn rules(&mut self, told: &PhaseUpdate) -> Result<(Arc<Proxy>, String), String> {
        let mut of = |number: u64| {
            let version = told.versions.iter().find(|version| version.number == number);
            let version = version.ok_or_else(|| format!("version {number} was not told"))?;
            self.read(&version.text, &version.digest)
        };
        match told.phase {
            Phase::Initial => Err("nothing is agreed".into()),
            Phase::Stable(number) => Ok((of(number)?, number.to_string())),
            Phase::Transition { from, to } => {
                let (old, new) = (of(from)?, of(to)?);
                for what in conflicts(&old, &new) {
                    tracing::info!(from, to, "the strictest reading holds: {what}");
                }
                Ok((Arc::new(strictest(&old, &new)), format!("{from}-{to}")))
            }
        }
    }

    /// Whether texts may be told now; whoever is not told asks again soon.
    pub(crate) fn may_tell(&mut self, told: Option<&PhaseUpdateMessage>) -> bool {
        let bytes = told.map_or(0, |told| told.versions.iter().map(|version| version.text.len()).sum());
        self.may_tell_bytes(bytes)
    }

    pub(crate) fn may_tell_bytes(&mut self, bytes: usize) -> bool {
        let (before, since) = &mut self.texts_told;
        if since.elapsed() >= TICK {
            (*before, *since) = (0, Instant::now());
        }
        if *before > 0 && *before + bytes > TEXTS_AT_ONCE {
            return false;
        }
        *before += bytes;
        true
    }

    /// The others say that this voter led after this was asked.
    pub(crate) fn confirmed(&mut self, ticket: u64) {
        let now = self.now();
        match self.readings.remove(&ticket) {
            Some(PendingRead::Lease { from, number, epoch, has }) => {
                let VoterRole::Voting { voter, grants: Some(grants), .. } = &mut self.part else { return };
                let steps = voter.version_state();
                // A lease on a step that it can't act on would have the others wait.
                if self.share.has_rejected(&from, steps.epoch) {
                    return self.grant_document_lease(&from, number);
                }
                if !grants.grant(now, &from, epoch) {
                    return;
                }
                let now_at = steps.epoch;
                let told = (has != now_at).then(|| PhaseUpdate::from_state(steps));
                let before = if has + 1 == now_at { steps.previous_phase } else { Phase::Initial };
                self.grant_document_lease(&from, number);
                if from == self.setup.local_name {
                    return self.granted(number, now_at, told);
                }
                let told = told.map(|told| PhaseUpdateMessage::from(told).without_known_texts(before));
                if self.may_tell(told.as_ref()) {
                    self.tell(&from, &PeerMessage::LeaseGrant { number, epoch: now_at, update: told });
                }
            }
            Some(PendingRead::Voter(name)) => {
                if let VoterRole::Voting { voter, .. } = &self.part
                    && !voter.is_voter_name(&name)
                {
                    self.tell(&name, &PeerMessage::VoterReplaced);
                }
            }
            Some(PendingRead::Status(wisher)) => {
                let reply = match &self.part {
                    VoterRole::Voting { voter, .. } => {
                        AdminReply::Status(self.overview(voter.version_state()))
                    }
                    _ => AdminReply::Unavailable("this voter leads no more".into()),
                };
                self.end(wisher, reply);
            }
            None => {}
        }
    }
}
