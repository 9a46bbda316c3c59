//! What a leader does: the first version, the next step, and what operators want.

use crate::messages::{AdminReply, AdminRequest, ClusterStatus, MemberStatus, PeerMessage};
use crate::runner::{CHECK, PendingRead, Requester, Runner, VoterReplacement, VoterRole, WISH, WISHES_MOST};
use maplehook_cluster::Name;
use maplehook_transport::unix_ms;
use maplehook_versions::version_state::{Command, Phase, Version, VersionState};
use std::collections::BTreeMap;
use std::time::Instant;

impl Runner {
    /// Does what a leader does: the first version, the next step.
    pub(crate) fn lead(&mut self) {
        let now = self.now();
        let VoterRole::Voting { voter, grants, .. } = &mut self.part else { return };
        if !voter.is_established_leader() {
            return;
        }
        let Some(grants) = grants else { return };
        let steps = voter.version_state();
        let command = match steps.phase {
            Phase::Initial => {
                let fresh = self.setup.lease_times.lease;
                let heard: BTreeMap<&Name, &String> = self
                    .digests
                    .iter()
                    .filter(|(_, (_, at))| at.elapsed() < fresh)
                    .map(|(name, (digest, _))| (name, digest))
                    .collect();
                let same = heard.values().all(|digest| **digest == self.digest);
                if !same || heard.len() < self.setup.members.len() {
                    return;
                }
                let (text, by) = (self.shared.clone(), self.setup.local_name.to_string());
                Command::Propose {
                    epoch: steps.epoch,
                    expected: None,
                    text,
                    proposed_by: by,
                    proposed_at_unix_ms: unix_ms(),
                }
            }
            Phase::Transition { .. } if grants.pending_members(now, steps).is_empty() => {
                Command::Advance { epoch: steps.epoch }
            }
            _ => return,
        };
        if self.advancing.is_some() {
            return;
        }
        let ticket = fastrand::u64(..);
        if voter.propose(ticket, &command) {
            self.advancing = Some(ticket);
            self.proposals.insert(ticket, Requester::Nobody);
        }
    }

    /// An operator wants something.
    pub(crate) fn wish(&mut self, op: AdminRequest, wisher: Requester) {
        let knows = matches!(&self.part, VoterRole::Voting { voter, .. } if voter.is_established_leader());
        if knows {
            self.at_the_leader(op, wisher);
            return;
        }
        match (self.known_leader().filter(|leader| *leader != self.setup.local_name), wisher) {
            (Some(leader), Requester::Here(reply)) if self.passed_on.len() < WISHES_MOST => {
                let ticket = fastrand::u64(..);
                let until = Instant::now() + WISH + self.checking(&op);
                self.passed_on.insert(ticket, (Requester::Here(reply), until));
                self.tell(&leader, &PeerMessage::ForwardedRequest { ticket, request: op });
            }
            (_, wisher) => {
                let why = "nobody leads: a majority of the voters can't be reached from here";
                self.end(wisher, AdminReply::Unavailable(why.into()));
            }
        }
    }

    pub(crate) fn at_the_leader(&mut self, op: AdminRequest, wisher: Requester) {
        let ticket = fastrand::u64(..);
        let VoterRole::Voting { voter, grants: Some(_), .. } = &mut self.part else {
            self.end(wisher, AdminReply::Unavailable("the leader has just begun".into()));
            return;
        };
        let steps = voter.version_state();
        match op {
            AdminRequest::Status => {
                if voter.confirm_leadership(ticket) {
                    self.readings.insert(ticket, PendingRead::Status(wisher));
                } else {
                    self.end(wisher, AdminReply::Unavailable("the leader is busy".into()));
                }
            }
            AdminRequest::History => {
                let without = |version: &Version| Version {
                    text: String::new(),
                    digest: version.digest.clone(),
                    proposed_by: version.proposed_by.clone(),
                    ..*version
                };
                let reply = AdminReply::Versions(steps.versions.iter().map(without).collect());
                self.end(wisher, reply);
            }
            AdminRequest::Show { number } => {
                let reply = match steps.version(number) {
                    Some(version) => AdminReply::Versions(vec![version.clone()]),
                    None => AdminReply::Rejected(format!("there is no version {number}, or no more")),
                };
                self.end(wisher, reply);
            }
            AdminRequest::Forget { name } => {
                if Name::new(&name).is_none_or(|name| !self.setup.members.contains(&name)) {
                    self.end(wisher, AdminReply::Rejected(format!("there is no member {name:?}")));
                    return;
                }
                self.put(Command::Forget { name }, wisher);
            }
            AdminRequest::Replace { old, new } => self.replace(&old, &new, wisher),
            AdminRequest::Undo => match steps.phase {
                Phase::Transition { .. } => {
                    let epoch = steps.epoch;
                    self.put(Command::Undo { epoch }, wisher);
                }
                Phase::Stable(number) => {
                    let before = steps.versions.iter().rev().find(|v| v.number < number && !v.is_undone);
                    match before {
                        Some(before) => {
                            let text = before.text.clone();
                            self.at_the_leader(
                                AdminRequest::Propose { text, expected: Some(number) },
                                wisher,
                            );
                        }
                        None => self.end(wisher, AdminReply::Rejected("there is no version before".into())),
                    }
                }
                Phase::Initial => self.end(wisher, AdminReply::Rejected("nothing is agreed yet".into())),
            },
            AdminRequest::Propose { .. } => self.check(op, wisher),
        }
    }

    /// A voter's place goes to a member, which first says under which number it would vote.
    fn replace(&mut self, old: &str, new: &str, wisher: Requester) {
        let VoterRole::Voting { voter, .. } = &mut self.part else { return };
        let voters = voter.voters();
        let member = |name: &str| Name::new(name).filter(|name| self.setup.members.contains(name));
        let refused = match (member(old), member(new)) {
            (None, _) => Err(format!("there is no member {old:?}")),
            (_, None) => Err(format!("there is no member {new:?}")),
            (Some(old), Some(new)) => Ok((old, new)),
        };
        let (old, new) = match refused {
            Ok(names) => names,
            Err(why) => return self.end(wisher, AdminReply::Rejected(why)),
        };
        if old != new && voters.contains(&new) {
            // Its proposer did not hear that it was done.
            let reply = match voters.contains(&old) {
                false => AdminReply::Done(voter.version_state().active_version()),
                true => AdminReply::Rejected(format!("{new} votes already")),
            };
            return self.end(wisher, reply);
        }
        if !voters.contains(&old) {
            return self.end(wisher, AdminReply::Rejected(format!("{old} does not vote")));
        }
        if voter.has_pending_conf_change() {
            let why = "another change of voters is under way";
            return self.end(wisher, AdminReply::Unavailable(why.into()));
        }
        if old == self.setup.local_name {
            voter.transfer_leadership();
            let why = format!("{old} leads, and hands that over now; ask again");
            return self.end(wisher, AdminReply::Unavailable(why));
        }
        let ticket = fastrand::u64(..);
        let until = Instant::now() + CHECK;
        self.seats.insert(ticket, VoterReplacement { old, new: new.clone(), wisher, until });
        self.tell(&new, &PeerMessage::VoterNumberRequest { ticket });
    }

    /// The member says under which number it would vote.
    pub(crate) fn seated(&mut self, from: &Name, ticket: u64, number: Result<u64, String>) {
        if self.seats.get(&ticket).is_none_or(|seating| seating.new != *from) {
            return;
        }
        let Some(VoterReplacement { old, new, wisher, .. }) = self.seats.remove(&ticket) else { return };
        let number = match number {
            Ok(number) => number,
            Err(why) => return self.end(wisher, AdminReply::Rejected(format!("{new}: {why}"))),
        };
        let ticket = fastrand::u64(..);
        let put = match &mut self.part {
            VoterRole::Voting { voter, .. } => voter.replace_voter(ticket, &old, &new, number),
            _ => false,
        };
        if put {
            self.proposals.insert(ticket, wisher);
        } else {
            let why = "another change of voters is under way, or this voter leads no more";
            self.end(wisher, AdminReply::Unavailable(why.into()));
        }
    }

    pub(crate) fn put(&mut self, command: Command, wisher: Requester) {
        let ticket = fastrand::u64(..);
        let put = match &mut self.part {
            VoterRole::Voting { voter, .. } => voter.propose(ticket, &command),
            _ => false,
        };
        if put {
            self.proposals.insert(ticket, wisher);
        } else {
            self.end(wisher, AdminReply::Unavailable("this voter leads no more, or is busy".into()));
        }
    }

    pub(crate) fn overview(&self, steps: &VersionState) -> ClusterStatus {
        let now = self.now();
        let (mut members, mut differ) = (Vec::new(), BTreeMap::<String, Vec<String>>::new());
        let voters = match &self.part {
            VoterRole::Voting { voter, .. } => voter.voters().iter().map(ToString::to_string).collect(),
            _ => Vec::new(),
        };
        if let VoterRole::Voting { grants: Some(grants), .. } = &self.part {
            let epochs: BTreeMap<&Name, u64> = grants.member_epochs().collect();
            let waits = grants.pending_members(now, steps);
            for name in &self.setup.members {
                let waits = waits.iter().find(|waits| waits.name == *name);
                let most = waits.and_then(|waits| waits.max_wait);
                members.push(MemberStatus {
                    name: name.to_string(),
                    epoch: epochs.get(name).copied(),
                    max_wait_ms: most.map(|most| u64::try_from(most.as_millis()).unwrap_or(u64::MAX)),
                    is_pending: waits.is_some(),
                });
            }
        }
        if steps.phase == Phase::Initial {
            for (name, (digest, _)) in &self.digests {
                differ.entry(digest.clone()).or_default().push(name.to_string());
            }
        }
        let digest =
            steps.version(steps.active_version()).map(|version| version.digest.clone()).unwrap_or_default();
        let differ = differ.into_iter().collect();
        ClusterStatus {
            epoch: steps.epoch,
            phase: steps.phase,
            digest,
            members,
            differing_files: differ,
            voters,
        }
    }
}
