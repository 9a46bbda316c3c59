//! A member's side: it asks for a lease, hears of steps, and reads what they come to here; and the answers that it gets as far as
//! they need nothing but the leader's word that it leads.

use crate::acting::{Acting, Mode};
use crate::common::PLACES;
use crate::run::{Part, Reading, Runner, TEXTS_AT_ONCE, TICK, Wisher, read};
use crate::talk::{RAFT, Reply, Say, Telling};
use maplehook_cluster::Name;
use maplehook_config::Proxy;
use maplehook_transport::frames::Message;
use maplehook_versions::grants::CutOff;
use maplehook_versions::holder::Told;
use maplehook_versions::steps::{Step, digest};
use maplehook_versions::strict::{careful, contradictions, strictest};
use std::sync::Arc;
use std::time::Instant;

/// Texts whose rules are kept: two in force, one that is looked at.
const READ: usize = 3;

impl Runner {
    /// Asks whoever leads for a lease. The clock is read before anything is said.
    pub(crate) fn ask_for_a_lease(&mut self) {
        let now = self.now();
        let number = self.holder.ask(now);
        self.share.holding.ask(number, now);
        let (acts, held) = (self.share.acts, self.share.holding.newest().0);
        // Once it acts carefully it contradicts nobody, and is not waited for; before that it may still act on the step before.
        let rules = self.acting.borrow().mode(Instant::now()) == Mode::Rules;
        let unfit = self.unfit.clone().filter(|_| !rules).map(|why| (self.holder.epoch(), why));
        if let Part::Voting { voter, .. } = &self.part
            && voter.leads()
        {
            self.acted(&self.setup.own.clone(), acts, held, unfit);
            self.asked(
                &self.setup.own.clone(),
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
                    self.setup.members.iter().filter(|name| **name != self.setup.own).cloned().collect()
                } else {
                    self.others().collect()
                };
                let Some(to) = others.get(self.next_voter % others.len().max(1)) else { return };
                to.clone()
            }
        };
        // It is asked again elsewhere if nothing comes of it.
        if self.holder.until().is_none_or(|until| until < now) {
            self.leader = None;
        }
        let (epoch, has, digest) = (self.applied, self.holder.epoch(), self.digest.clone());
        // Before it, so that the leader knows of it when it answers; one of an earlier program can't read it, and answers alike.
        self.tell(&to, &Say::Acts { acts, has: held, unfit });
        self.tell(&to, &Say::Ask { number, epoch, has, digest });
    }

    /// A member asks this voter for a lease.
    pub(crate) fn asked(&mut self, from: &Name, number: u64, epoch: u64, has: u64, digest: String) {
        let Part::Voting { voter, .. } = &mut self.part else {
            let leader = self.leader.as_ref().map(ToString::to_string);
            self.tell(from, &Say::Elsewhere { leader });
            return;
        };
        if !voter.knows() {
            let leader =
                voter.leader().filter(|leader| *leader != self.setup.own).map(|leader| leader.to_string());
            self.tell(from, &Say::Elsewhere { leader });
            return;
        }
        let ticket = fastrand::u64(..);
        if voter.read(ticket) {
            self.readings.insert(ticket, Reading::Lease { from: from.clone(), number, epoch, has });
        }
        self.digests.insert(from.clone(), (digest, Instant::now()));
    }

    /// Tells somebody that it votes no more, if that is so by the word of a majority: a leader that was cut off may know less.
    fn is_voter(&mut self, name: Name) {
        if let Part::Voting { voter, .. } = &mut self.part
            && voter.knows()
        {
            let ticket = fastrand::u64(..);
            if voter.read(ticket) {
                self.readings.insert(ticket, Reading::Voter(name));
            }
        }
    }

    pub(crate) fn hear(&mut self, from: &Name, message: &Message) {
        if message.topic == PLACES {
            return self.share.hear_of_common(from, &message.body);
        }
        if message.topic == RAFT {
            if let Part::Voting { voter, .. } = &mut self.part {
                if !voter.step(from, &message.body) {
                    tracing::debug!(%from, "a message of a voter makes no sense");
                }
                if !voter.waits() && !voter.names_voter(from) {
                    // Only whoever leads knows for certain; the one that was replaced may not know of it.
                    match voter.leader() {
                        _ if voter.knows() => self.is_voter(from.clone()),
                        Some(leader) => self.tell(&leader, &Say::Speaks { name: from.to_string() }),
                        None => {}
                    }
                }
            }
            return;
        }
        let Ok(say) = postcard::from_bytes::<Say>(&message.body) else {
            tracing::debug!(%from, "a message on versions can't be read");
            return;
        };
        match say {
            Say::Ask { number, epoch, has, digest } => self.asked(from, number, epoch, has, digest),
            Say::Grant { number, epoch, told } => {
                self.leader = Some(from.clone());
                self.granted(number, epoch, told.map(Told::from));
            }
            Say::Elsewhere { leader } => {
                self.leader =
                    leader.and_then(|name| Name::new(&name)).filter(|name| self.setup.members.contains(name));
            }
            Say::Wish { ticket, op } => self.wish(op, Wisher::There(from.clone(), ticket)),
            Say::End { ticket, reply } => {
                if let Some((wisher, _)) = self.passed_on.remove(&ticket) {
                    self.end(wisher, reply);
                }
            }
            Say::Check { ticket, text } => {
                let fault = self.fits(&text).err();
                self.tell(from, &Say::Checked { ticket, fault });
            }
            Say::Checked { ticket, fault } => self.checked(from, ticket, fault),
            Say::Founding { number, founded, asks } => self.founding(from, number, &founded, asks),
            Say::Seat { ticket } => self.seat(from, ticket),
            Say::Seated { ticket, number } => self.seated(from, ticket, number),
            Say::Unseated => self.unseated(),
            Say::Acts { acts, has, unfit } => self.acted(from, acts, has, unfit),
            Say::Common { request, number, body } => self.told_common(from, request, number, body),
            Say::Speaks { name } => {
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

    pub(crate) fn granted(&mut self, number: u64, epoch: u64, told: Option<Told>) {
        let told = told.and_then(|told| self.whole(told));
        if self.holder.granted(number, epoch, told) {
            self.unfit = None;
        }
        let (epoch, step) = match self.holder.told() {
            Some(told) if told.step != Step::Unsettled => (told.epoch, told.step),
            _ => return,
        };
        let until = match self.setup.cut_off {
            CutOff::WaitForAll => None,
            _ => self.holder.until().map(|until| self.epoch + until),
        };
        let news = self.acting.borrow().epoch != epoch;
        if !news {
            self.acting.send_modify(|acting| acting.until = until);
            return;
        }
        if self.unfit.is_some() {
            return;
        }
        let rules = match self.holder.told().cloned() {
            // Whoever was away when it was proposed was not asked.
            Some(told) => {
                self.rules(&told).and_then(|(rules, label)| self.goes(&rules).map(|()| (rules, label)))
            }
            None => Err("nothing is agreed".into()),
        };
        match rules {
            Ok((rules, label)) => {
                let careful = (self.setup.cut_off != CutOff::Refuse).then(|| Arc::new(careful(&rules)));
                tracing::info!(version = label, epoch, step = %step, "acts on another step");
                self.acting.send_replace(Acting { epoch, label, rules, until, careful, cut_off: false });
            }
            Err(e) => {
                tracing::error!("the version that was agreed on can't be acted on here: {e}");
                self.unfit = Some(e);
            }
        }
    }

    /// With the texts that were left out since they are here; `None` where one is not.
    pub(crate) fn whole(&self, mut told: Told) -> Option<Told> {
        let here = self.holder.told();
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
    pub(crate) fn rules(&mut self, told: &Told) -> Result<(Arc<Proxy>, String), String> {
        let mut of = |number: u64| {
            let version = told.versions.iter().find(|version| version.number == number);
            let version = version.ok_or_else(|| format!("version {number} was not told"))?;
            self.read(&version.text, &version.digest)
        };
        match told.step {
            Step::Unsettled => Err("nothing is agreed".into()),
            Step::Settled(number) => Ok((of(number)?, number.to_string())),
            Step::Strictest { from, to } => {
                let (old, new) = (of(from)?, of(to)?);
                for what in contradictions(&old, &new) {
                    tracing::info!(from, to, "the strictest reading holds: {what}");
                }
                Ok((Arc::new(strictest(&old, &new)), format!("{from}-{to}")))
            }
        }
    }

    /// Whether texts may be told now; whoever is not told asks again soon.
    pub(crate) fn may_tell(&mut self, told: Option<&Telling>) -> bool {
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
            Some(Reading::Lease { from, number, epoch, has }) => {
                let Part::Voting { voter, grants: Some(grants), .. } = &mut self.part else { return };
                let steps = voter.steps();
                // A lease on a step that it can't act on would have the others wait.
                if self.share.is_unfit(&from, steps.epoch) {
                    return self.grant_common(&from, number);
                }
                if !grants.grant(now, &from, epoch) {
                    return;
                }
                let now_at = steps.epoch;
                let told = (has != now_at).then(|| Told::of(steps));
                let before = if has + 1 == now_at { steps.before } else { Step::Unsettled };
                self.grant_common(&from, number);
                if from == self.setup.own {
                    return self.granted(number, now_at, told);
                }
                let told = told.map(|told| Telling::from(told).after(before));
                if self.may_tell(told.as_ref()) {
                    self.tell(&from, &Say::Grant { number, epoch: now_at, told });
                }
            }
            Some(Reading::Voter(name)) => {
                if let Part::Voting { voter, .. } = &self.part
                    && !voter.names_voter(&name)
                {
                    self.tell(&name, &Say::Unseated);
                }
            }
            Some(Reading::Status(wisher)) => {
                let reply = match &self.part {
                    Part::Voting { voter, .. } => Reply::Overview(self.overview(voter.steps())),
                    _ => Reply::Unavailable("this voter leads no more".into()),
                };
                self.end(wisher, reply);
            }
            None => {}
        }
    }
}
