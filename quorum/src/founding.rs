//! How a voter begins: with the log that it has, with a new one where no voter has any, or not at all where its own is lost.

use crate::run::{FOUNDING, Part, Runner};
use crate::store::{self, Store, Unfit};
use crate::talk::Say;
use crate::voter::{Voter, begins};
use maplehook_tier::Name;
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
                let voter = Voter::new(&self.setup.own, &self.setup.voters, kept).map_err(Unfit::Broken)?;
                Ok(Part::Voting { voter: Box::new(voter), store, grants: None })
            }
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
                let voter = Voter::new(&self.setup.own, &self.setup.voters, kept).map_err(Unfit::Broken)?;
                Ok(Part::Voting { voter: Box::new(voter), store, grants: None })
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
