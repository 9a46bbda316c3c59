//! How a voter begins: with the log that it has, with a new one where no voter has any, or not at all where its own is lost.

use crate::messages::PeerMessage;
use crate::runner::{FOUNDING, Runner, VoterRole};
use crate::store::{self, Store, StoreError};
use crate::voter::{Voter, initial_snapshot, replacement_voter_id, voter_id};
use maplehook_cluster::Name;
use std::collections::BTreeMap;
use std::time::Instant;

impl Runner {
    /// Goes on as the voter that it was, or begins as one without a log.
    pub(crate) fn open(&mut self) {
        let Some(directory) = self.setup.directory.clone() else {
            self.part = VoterRole::Out("it has no directory".into());
            return;
        };
        let opened = Store::open(&directory).and_then(|opened| match opened {
            Some((store, kept)) => {
                let seat = store::replacement_number(&directory)?;
                let id = seat.map_or_else(
                    || voter_id(&self.setup.local_name),
                    |number| replacement_voter_id(&self.setup.local_name, number),
                );
                self.voting(id, store, kept)
            }
            None if !self.setup.voters.contains(&self.setup.local_name) => Ok(VoterRole::None),
            None => {
                let number = store::bootstrap_number(&directory, fastrand::u64(1..))?;
                Ok(VoterRole::Founding { number, heard: BTreeMap::new(), asked: None })
            }
        });
        self.part = opened.unwrap_or_else(|e| {
            tracing::error!("tier.state: {}: {e}", directory.display());
            VoterRole::Out(e.to_string())
        });
    }

    fn voting(&self, id: u64, store: Store, kept: store::PersistedState) -> Result<VoterRole, StoreError> {
        let members: Vec<Name> = self.setup.members.iter().cloned().collect();
        let voter = Voter::new(id, &members, kept).map_err(StoreError::Unusable)?;
        Ok(VoterRole::Voting { voter: Box::new(voter), store, grants: None })
    }

    /// The leader asks under which number this member would vote: one that nobody has had.
    pub(crate) fn seat(&mut self, from: &Name, ticket: u64) {
        let (votes, waits) = match &self.part {
            VoterRole::Voting { voter, .. } => (!voter.is_replaced(), voter.awaits_snapshot()),
            _ => (false, false),
        };
        let number = match self.setup.directory.clone() {
            // Whoever asked did not hear the number, or is another leader by now: it may be in the log already.
            Some(directory) if waits => store::replacement_number(&directory)
                .map_err(|e| e.to_string())
                .and_then(|number| number.ok_or_else(|| "its number is lost".to_owned())),
            _ if votes => Err("it votes already".to_owned()),
            None => Err("it has no tier.state, where a voter keeps its log".to_owned()),
            Some(directory) => {
                let number = fastrand::u64(1..);
                // The log of a place that it had is closed before its files go.
                self.part = VoterRole::None;
                let taken = store::create_replacement(&directory, number).and_then(|(store, kept)| {
                    self.voting(replacement_voter_id(&self.setup.local_name, number), store, kept)
                });
                match taken {
                    Ok(part) => {
                        self.part = part;
                        tracing::info!("this balancer is given a voter's place");
                        Ok(number)
                    }
                    Err(e) => {
                        self.part = VoterRole::Out(e.to_string());
                        Err(e.to_string())
                    }
                }
            }
        };
        self.tell(from, &PeerMessage::VoterNumberReply { ticket, number });
    }

    /// Its place was given to somebody else.
    pub(crate) fn unseated(&mut self) {
        if let VoterRole::Voting { .. } = &self.part {
            let why = "another balancer has this voter's place; agreement.voters of its file is to be mended";
            tracing::warn!("{why}");
            self.part = VoterRole::Out(why.into());
        }
    }

    /// A voter without a log begins one when all others have none either.
    pub(crate) fn found(&mut self) {
        let VoterRole::Founding { number, asked, heard } = &mut self.part else { return };
        let (number, heard) = (*number, heard.clone());
        let due = asked.is_none_or(|at| at.elapsed() >= FOUNDING);
        if due {
            *asked = Some(Instant::now());
            let say =
                PeerMessage::Bootstrap { number: Some(number), founders: Vec::new(), wants_reply: true };
            for other in self.others().collect::<Vec<_>>() {
                self.tell(&other, &say);
            }
        }
        if heard.len() + 1 == self.setup.voters.len() {
            let mut founded: Vec<(String, u64)> = heard.iter().map(|(n, k)| (n.to_string(), *k)).collect();
            founded.push((self.setup.local_name.to_string(), number));
            self.begin(&founded);
        }
    }

    pub(crate) fn begin(&mut self, founded: &[(String, u64)]) {
        let Some(directory) = self.setup.directory.clone() else { return };
        let snapshot = initial_snapshot(&self.setup.voters);
        let begun = store::write_founders(&directory, founded)
            .and_then(|()| Store::create(&directory, &snapshot))
            .and_then(|store| {
                let kept = store::PersistedState::initial(&snapshot);
                self.voting(voter_id(&self.setup.local_name), store, kept)
            });
        self.part = begun.unwrap_or_else(|e| {
            tracing::error!("tier.state: {}: {e}", directory.display());
            VoterRole::Out(e.to_string())
        });
        if matches!(self.part, VoterRole::Voting { .. }) {
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
                VoterRole::Founding { number, .. } => {
                    PeerMessage::Bootstrap { number: Some(*number), founders: Vec::new(), wants_reply: false }
                }
                VoterRole::Voting { .. } => {
                    let founded = directory.map(|place| store::read_founders(&place)).unwrap_or_default();
                    PeerMessage::Bootstrap { number: None, founders: founded, wants_reply: false }
                }
                _ => return,
            };
            self.tell(from, &say);
        }
        let VoterRole::Founding { number: ours, heard, .. } = &mut self.part else { return };
        match number {
            Some(number) => drop(heard.insert(from.clone(), number)),
            // It has a log. If that began with us, it is ours too; else we had one and have lost it.
            None => {
                let own = self.setup.local_name.as_str();
                if founded.iter().any(|(name, number)| name == own && number == ours) {
                    self.begin(founded);
                } else if !asks {
                    let why = "the other voters have a log that began with another one of this name: this voter's is lost";
                    tracing::error!("{why}; it votes no more");
                    self.part = VoterRole::Out(why.into());
                }
            }
        }
    }
}
