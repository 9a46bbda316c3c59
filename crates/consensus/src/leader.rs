//! What a leader does: the first version, the next step, and what operators want.

use crate::run::{CHECK, Part, Reading, Runner, Seating, WISH, WISHES_MOST, Wisher};
use crate::talk::{Op, Overview, Reply, Say, Stands};
use maplehook_cluster::Name;
use maplehook_transport::unix_ms;
use maplehook_versions::steps::{Command, Step, Steps, Version};
use std::collections::BTreeMap;
use std::time::Instant;

impl Runner {
    /// Does what a leader does: the first version, the next step.
    pub(crate) fn lead(&mut self) {
        let now = self.now();
        let Part::Voting { voter, grants, .. } = &mut self.part else { return };
        if !voter.knows() {
            return;
        }
        let Some(grants) = grants else { return };
        let steps = voter.steps();
        let command = match steps.step {
            Step::Unsettled => {
                let fresh = self.setup.times.lease;
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
                let (text, by) = (self.shared.clone(), self.setup.own.to_string());
                Command::Propose { epoch: steps.epoch, expect: None, text, by, at_ms: unix_ms() }
            }
            Step::Strictest { .. } if grants.waits(now, steps).is_empty() => {
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
            self.proposals.insert(ticket, Wisher::Nobody);
        }
    }

    /// An operator wants something.
    pub(crate) fn wish(&mut self, op: Op, wisher: Wisher) {
        let knows = matches!(&self.part, Part::Voting { voter, .. } if voter.knows());
        if knows {
            self.at_the_leader(op, wisher);
            return;
        }
        match (self.known_leader().filter(|leader| *leader != self.setup.own), wisher) {
            (Some(leader), Wisher::Here(reply)) if self.passed_on.len() < WISHES_MOST => {
                let ticket = fastrand::u64(..);
                let until = Instant::now() + WISH + self.checking(&op);
                self.passed_on.insert(ticket, (Wisher::Here(reply), until));
                self.tell(&leader, &Say::Wish { ticket, op });
            }
            (_, wisher) => {
                let why = "nobody leads: a majority of the voters can't be reached from here";
                self.end(wisher, Reply::Unavailable(why.into()));
            }
        }
    }

    pub(crate) fn at_the_leader(&mut self, op: Op, wisher: Wisher) {
        let ticket = fastrand::u64(..);
        let Part::Voting { voter, grants: Some(_), .. } = &mut self.part else {
            self.end(wisher, Reply::Unavailable("the leader has just begun".into()));
            return;
        };
        let steps = voter.steps();
        match op {
            Op::Status => {
                if voter.read(ticket) {
                    self.readings.insert(ticket, Reading::Status(wisher));
                } else {
                    self.end(wisher, Reply::Unavailable("the leader is busy".into()));
                }
            }
            Op::History => {
                let without = |version: &Version| Version {
                    text: String::new(),
                    digest: version.digest.clone(),
                    by: version.by.clone(),
                    ..*version
                };
                let reply = Reply::Versions(steps.versions.iter().map(without).collect());
                self.end(wisher, reply);
            }
            Op::Show { number } => {
                let reply = match steps.version(number) {
                    Some(version) => Reply::Versions(vec![version.clone()]),
                    None => Reply::Refused(format!("there is no version {number}, or no more")),
                };
                self.end(wisher, reply);
            }
            Op::Forget { name } => {
                if Name::new(&name).is_none_or(|name| !self.setup.members.contains(&name)) {
                    self.end(wisher, Reply::Refused(format!("there is no member {name:?}")));
                    return;
                }
                self.put(Command::Forget { name }, wisher);
            }
            Op::Replace { old, new } => self.replace(&old, &new, wisher),
            Op::Undo => match steps.step {
                Step::Strictest { .. } => {
                    let epoch = steps.epoch;
                    self.put(Command::Undo { epoch }, wisher);
                }
                Step::Settled(number) => {
                    let before = steps.versions.iter().rev().find(|v| v.number < number && !v.undone);
                    match before {
                        Some(before) => {
                            let text = before.text.clone();
                            self.at_the_leader(Op::Propose { text, expect: Some(number) }, wisher);
                        }
                        None => self.end(wisher, Reply::Refused("there is no version before".into())),
                    }
                }
                Step::Unsettled => self.end(wisher, Reply::Refused("nothing is agreed yet".into())),
            },
            Op::Propose { .. } => self.check(op, wisher),
        }
    }

    /// A voter's place goes to a member, which first says under which number it would vote.
    fn replace(&mut self, old: &str, new: &str, wisher: Wisher) {
        let Part::Voting { voter, .. } = &mut self.part else { return };
        let voters = voter.voters();
        let member = |name: &str| Name::new(name).filter(|name| self.setup.members.contains(name));
        let refused = match (member(old), member(new)) {
            (None, _) => Err(format!("there is no member {old:?}")),
            (_, None) => Err(format!("there is no member {new:?}")),
            (Some(old), Some(new)) => Ok((old, new)),
        };
        let (old, new) = match refused {
            Ok(names) => names,
            Err(why) => return self.end(wisher, Reply::Refused(why)),
        };
        if old != new && voters.contains(&new) {
            // Its proposer did not hear that it was done.
            let reply = match voters.contains(&old) {
                false => Reply::Done(voter.steps().in_force()),
                true => Reply::Refused(format!("{new} votes already")),
            };
            return self.end(wisher, reply);
        }
        if !voters.contains(&old) {
            return self.end(wisher, Reply::Refused(format!("{old} does not vote")));
        }
        if voter.changes() {
            let why = "another change of voters is under way";
            return self.end(wisher, Reply::Unavailable(why.into()));
        }
        if old == self.setup.own {
            voter.hand_over();
            let why = format!("{old} leads, and hands that over now; ask again");
            return self.end(wisher, Reply::Unavailable(why));
        }
        let ticket = fastrand::u64(..);
        let until = Instant::now() + CHECK;
        self.seats.insert(ticket, Seating { old, new: new.clone(), wisher, until });
        self.tell(&new, &Say::Seat { ticket });
    }

    /// The member says under which number it would vote.
    pub(crate) fn seated(&mut self, from: &Name, ticket: u64, number: Result<u64, String>) {
        if self.seats.get(&ticket).is_none_or(|seating| seating.new != *from) {
            return;
        }
        let Some(Seating { old, new, wisher, .. }) = self.seats.remove(&ticket) else { return };
        let number = match number {
            Ok(number) => number,
            Err(why) => return self.end(wisher, Reply::Refused(format!("{new}: {why}"))),
        };
        let ticket = fastrand::u64(..);
        let put = match &mut self.part {
            Part::Voting { voter, .. } => voter.replace(ticket, &old, &new, number),
            _ => false,
        };
        if put {
            self.proposals.insert(ticket, wisher);
        } else {
            let why = "another change of voters is under way, or this voter leads no more";
            self.end(wisher, Reply::Unavailable(why.into()));
        }
    }

    pub(crate) fn put(&mut self, command: Command, wisher: Wisher) {
        let ticket = fastrand::u64(..);
        let put = match &mut self.part {
            Part::Voting { voter, .. } => voter.propose(ticket, &command),
            _ => false,
        };
        if put {
            self.proposals.insert(ticket, wisher);
        } else {
            self.end(wisher, Reply::Unavailable("this voter leads no more, or is busy".into()));
        }
    }

    pub(crate) fn overview(&self, steps: &Steps) -> Overview {
        let now = self.now();
        let (mut members, mut differ) = (Vec::new(), BTreeMap::<String, Vec<String>>::new());
        let voters = match &self.part {
            Part::Voting { voter, .. } => voter.voters().iter().map(ToString::to_string).collect(),
            _ => Vec::new(),
        };
        if let Part::Voting { grants: Some(grants), .. } = &self.part {
            let epochs: BTreeMap<&Name, u64> = grants.heard().collect();
            let waits = grants.waits(now, steps);
            for name in &self.setup.members {
                let waits = waits.iter().find(|waits| waits.name == *name);
                let most = waits.and_then(|waits| waits.most);
                members.push(Stands {
                    name: name.to_string(),
                    epoch: epochs.get(name).copied(),
                    waits_ms: most.map(|most| u64::try_from(most.as_millis()).unwrap_or(u64::MAX)),
                    waits: waits.is_some(),
                });
            }
        }
        if steps.step == Step::Unsettled {
            for (name, (digest, _)) in &self.digests {
                differ.entry(digest.clone()).or_default().push(name.to_string());
            }
        }
        let digest =
            steps.version(steps.in_force()).map(|version| version.digest.clone()).unwrap_or_default();
        let differ = differ.into_iter().collect();
        Overview { epoch: steps.epoch, step: steps.step, digest, members, differ, voters }
    }
}
