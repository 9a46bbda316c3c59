//! How a voter begins: with the log that it has, with a new one where no voter has any, or not at all where its own is lost.

use crate::run::{FOUNDING, Part, Runner};
use crate::store::{self, Store, Unfit};
use crate::talk::Say;
use crate::voter::{Voter, begins, id, seat_id};
use maplehook_cluster::Name;
use std::collections::BTreeMap;
use std::time::Instant;

impl Runner {
    /// Goes on as the voter that it was, or begins as one without a log.
    pub(crate) fn open(&mut self) {
        let Some(directory) = self.setup.directory.clone() else {
            self.part = Part::Out("it has no directory".into());
            return;
        };
        let opened = Store::open(&directory).and_then(|opened| match opened {
            Some((store, kept)) => {
                let seat = store::seat(&directory)?;
                let id = seat.map_or_else(|| id(&self.setup.own), |number| seat_id(&self.setup.own, number));
                self.voting(id, store, kept)
            }
            None if !self.setup.voters.contains(&self.setup.own) => Ok(Part::None),
            None => {
                let number = store::founding(&directory, fastrand::u64(1..))?;
                Ok(Part::Founding { number, heard: BTreeMap::new(), asked: None })
            }
        });
        self.part = opened.unwrap_or_else(|e| {
            tracing::error!("tier.state: {}: {e}", directory.display());
            Part::Out(e.to_string())
        });
    }

    fn voting(&self, id: u64, store: Store, kept: store::Kept) -> Result<Part, Unfit> {
        let members: Vec<Name> = self.setup.members.iter().cloned().collect();
        let voter = Voter::new(id, &members, kept).map_err(Unfit::Broken)?;
        Ok(Part::Voting { voter: Box::new(voter), store, grants: None })
    }

    /// The leader asks under which number this member would vote: one that nobody has had.
    pub(crate) fn seat(&mut self, from: &Name, ticket: u64) {
        let (votes, waits) = match &self.part {
            Part::Voting { voter, .. } => (!voter.unseated(), voter.waits()),
            _ => (false, false),
        };
        let number = match self.setup.directory.clone() {
            // Whoever asked did not hear the number, or is another leader by now: it may be in the log already.
            Some(directory) if waits => store::seat(&directory)
                .map_err(|e| e.to_string())
                .and_then(|number| number.ok_or_else(|| "its number is lost".to_owned())),
            _ if votes => Err("it votes already".to_owned()),
            None => Err("it has no tier.state, where a voter keeps its log".to_owned()),
            Some(directory) => {
                let number = fastrand::u64(1..);
                // The log of a place that it had is closed before its files go.
                self.part = Part::None;
                let taken = store::take_seat(&directory, number)
                    .and_then(|(store, kept)| self.voting(seat_id(&self.setup.own, number), store, kept));
                match taken {
                    Ok(part) => {
                        self.part = part;
                        tracing::info!("this balancer is given a voter's place");
                        Ok(number)
                    }
                    Err(e) => {
                        self.part = Part::Out(e.to_string());
                        Err(e.to_string())
                    }
                }
            }
        };
        self.tell(from, &Say::Seated { ticket, number });
    }

    /// Its place was given to somebody else.
    pub(crate) fn unseated(&mut self) {
        if let Part::Voting { .. } = &self.part {
            let why = "another balancer has this voter's place; agreement.voters of its file is to be mended";
            tracing::warn!("{why}");
            self.part = Part::Out(why.into());
        }
    }

    /// A voter without a log begins one when all others have none either.
    pub(crate) fn found(&mut self) {
        let Part::Founding { number, asked, heard } = &mut self.part else { return };
        let (number, heard) = (*number, heard.clone());
        let due = asked.is_none_or(|at| at.elapsed() >= FOUNDING);
        if due {
            *asked = Some(Instant::now());
            let say = Say::Founding { number: Some(number), founded: Vec::new(), asks: true };
            for other in self.others().collect::<Vec<_>>() {
                self.tell(&other, &say);
            }
        }
        if heard.len() + 1 == self.setup.voters.len() {
            let mut founded: Vec<(String, u64)> = heard.iter().map(|(n, k)| (n.to_string(), *k)).collect();
            founded.push((self.setup.own.to_string(), number));
            self.begin(&founded);
        }
    }

    pub(crate) fn begin(&mut self, founded: &[(String, u64)]) {
        let Some(directory) = self.setup.directory.clone() else { return };
        let snapshot = begins(&self.setup.voters);
        let begun = store::keep_founders(&directory, founded)
            .and_then(|()| Store::create(&directory, &snapshot))
            .and_then(|store| {
                let kept = store::Kept::beginning(&snapshot);
                self.voting(id(&self.setup.own), store, kept)
            });
        self.part = begun.unwrap_or_else(|e| {
            tracing::error!("tier.state: {}: {e}", directory.display());
            Part::Out(e.to_string())
        });
        if matches!(self.part, Part::Voting { .. }) {
            tracing::info!("the voters have found one another: versions can be agreed on");
        }
    }

    pub(crate) fn founding(
        &mut self,
        from: &Name,
        number: Option<u64>,
        founded: &[(String, u64)],
        asks: bool,
    ) {
        if asks {
            let directory = self.setup.directory.clone();
            let say = match &self.part {
                Part::Founding { number, .. } => {
                    Say::Founding { number: Some(*number), founded: Vec::new(), asks: false }
                }
                Part::Voting { .. } => {
                    let founded = directory.map(|place| store::founders(&place)).unwrap_or_default();
                    Say::Founding { number: None, founded, asks: false }
                }
                _ => return,
            };
            self.tell(from, &say);
        }
        let Part::Founding { number: ours, heard, .. } = &mut self.part else { return };
        match number {
            Some(number) => drop(heard.insert(from.clone(), number)),
            // It has a log. If that began with us, it is ours too; else we had one and have lost it.
            None => {
                let own = self.setup.own.as_str();
                if founded.iter().any(|(name, number)| name == own && number == ours) {
                    self.begin(founded);
                } else if !asks {
                    let why = "the other voters have a log that began with another one of this name: this voter's is lost";
                    tracing::error!("{why}; it votes no more");
                    self.part = Part::Out(why.into());
                }
            }
        }
    }
}
