//! How a voter starts: with the log that it has, with a new log if no voter has one, or not at all if its log is lost.

use crate::messages::{PeerMessage, VoterNumber};
use crate::runner::{Runner, VoterRole};
use crate::store::{self, PersistedState, Store, StoreError};
use crate::voter::{Voter, initial_snapshot, replacement_voter_id, voter_id};
use maplehook_cluster::Name;
use std::collections::BTreeMap;
use std::path::Path;
use std::time::{Duration, Instant};

/// How often a voter without a log asks the others whether they have one.
const BOOTSTRAP_INTERVAL: Duration = Duration::from_millis(300);

impl Runner {
    /// Starts as a voter if the file names this member as one, or if it has been one.
    pub(crate) fn open_voter(&mut self) {
        let has_voted = self.config.directory.as_deref().is_some_and(store::has_voted);
        if !has_voted && !self.is_configured_voter() {
            return;
        }
        let Some(directory) = self.config.directory.clone() else {
            self.role = VoterRole::Disabled("it has no directory".into());
            return;
        };
        let opened = self.open_in(&directory);
        self.set_role(&directory, opened);
    }

    fn is_configured_voter(&self) -> bool {
        self.config.voters.contains(&self.config.local_name)
    }

    fn open_in(&self, directory: &Path) -> Result<VoterRole, StoreError> {
        if let Some((store, state)) = Store::open(directory)? {
            let local_name = &self.config.local_name;
            let id = match store::replacement_number(directory)? {
                Some(number) => replacement_voter_id(local_name, number),
                None => voter_id(local_name),
            };
            return self.voting_role(id, store, state);
        }
        if !self.is_configured_voter() {
            return Ok(VoterRole::NonVoter);
        }
        let number = store::bootstrap_number(directory, fastrand::u64(1..))?;
        Ok(VoterRole::Bootstrapping { number, reported: BTreeMap::new(), asked_at: None })
    }

    fn set_role(&mut self, directory: &Path, opened: Result<VoterRole, StoreError>) {
        self.role = opened.unwrap_or_else(|error| {
            tracing::error!("tier.state: {}: {error}", directory.display());
            VoterRole::Disabled(error.to_string())
        });
    }

    fn voting_role(&self, id: u64, store: Store, state: PersistedState) -> Result<VoterRole, StoreError> {
        let members: Vec<Name> = self.config.members.iter().cloned().collect();
        let voter = Voter::new(id, &members, state)?;
        Ok(VoterRole::Voting { voter: Box::new(voter), store, lease_manager: None })
    }

    /// Answers the leader's request for the number under which this member would vote: one that no voter has had.
    pub(crate) fn on_voter_number_request(&mut self, from: &Name, ticket: u64) {
        let number = match self.assign_voter_number() {
            Ok(number) => VoterNumber::Assigned(number),
            Err(reason) => VoterNumber::Refused(reason.to_string()),
        };
        self.send(from, &PeerMessage::VoterNumberReply { ticket, number });
    }

    fn assign_voter_number(&mut self) -> Result<u64, VoterNumberError> {
        let (is_voter, awaits_snapshot) = match &self.role {
            VoterRole::Voting { voter, .. } => (!voter.is_replaced(), voter.awaits_snapshot()),
            _ => (false, false),
        };
        match self.config.directory.clone() {
            // The requester has not received the number, or another leader asks: the number may be in the log already.
            Some(directory) if awaits_snapshot => {
                store::replacement_number(&directory)?.ok_or(VoterNumberError::NumberLost)
            }
            _ if is_voter => Err(VoterNumberError::IsVoter),
            None => Err(VoterNumberError::NoDirectory),
            Some(directory) => Ok(self.create_replacement(&directory)?),
        }
    }

    /// Replaces what this member has on disk by an empty log under a new number.
    fn create_replacement(&mut self, directory: &Path) -> Result<u64, StoreError> {
        let number = fastrand::u64(1..);
        // The log of a former voter is closed before its files are removed.
        self.role = VoterRole::NonVoter;
        let created = store::create_replacement(directory, number).and_then(|(store, state)| {
            self.voting_role(replacement_voter_id(&self.config.local_name, number), store, state)
        });
        match created {
            Ok(role) => {
                self.role = role;
                tracing::info!("becoming a voter in place of another one");
                Ok(number)
            }
            Err(error) => {
                self.role = VoterRole::Disabled(error.to_string());
                Err(error)
            }
        }
    }

    /// Stops voting, because another member has replaced this voter.
    pub(crate) fn on_voter_replaced(&mut self) {
        if let VoterRole::Voting { .. } = &self.role {
            let reason =
                "another balancer has this voter's place; agreement.voters of its file is to be mended";
            tracing::warn!("{reason}");
            self.role = VoterRole::Disabled(reason.into());
        }
    }

    /// Creates the first log once all other voters have reported that they have none either.
    pub(crate) fn try_bootstrap(&mut self) {
        let VoterRole::Bootstrapping { number, reported, asked_at } = &mut self.role else { return };
        let (number, reported) = (*number, reported.clone());
        if asked_at.is_none_or(|at| at.elapsed() >= BOOTSTRAP_INTERVAL) {
            *asked_at = Some(Instant::now());
            let message =
                PeerMessage::Bootstrap { number: Some(number), founders: Vec::new(), wants_reply: true };
            self.other_voters().for_each(|other| self.send(&other, &message));
        }
        if reported.len() + 1 == self.config.voters.len() {
            let others = reported.iter().map(|(name, number)| (name.to_string(), *number));
            let founders: Vec<(String, u64)> =
                others.chain([(self.config.local_name.to_string(), number)]).collect();
            self.create_first_log(&founders);
        }
    }

    fn create_first_log(&mut self, founders: &[(String, u64)]) {
        let Some(directory) = self.config.directory.clone() else { return };
        let snapshot = initial_snapshot(&self.config.voters);
        let created = store::write_founders(&directory, founders)
            .and_then(|()| Store::create(&directory, &snapshot))
            .and_then(|store| {
                let state = PersistedState::initial(&snapshot);
                self.voting_role(voter_id(&self.config.local_name), store, state)
            });
        self.set_role(&directory, created);
        if matches!(self.role, VoterRole::Voting { .. }) {
            tracing::info!("created the first log with all voters");
        }
    }

    /// Handles another voter's report of whether it has a log: `number` if it has none, `founders` if it has one.
    pub(crate) fn on_bootstrap(
        &mut self,
        from: &Name,
        number: Option<u64>,
        founders: &[(String, u64)],
        wants_reply: bool,
    ) {
        if wants_reply {
            let Some(reply) = self.bootstrap_report() else { return };
            self.send(from, &reply);
        }
        let VoterRole::Bootstrapping { number: own_number, reported, .. } = &mut self.role else { return };
        if let Some(number) = number {
            reported.insert(from.clone(), number);
            return;
        }
        // The sender has a log. If this voter is among its founders, it creates the same one; otherwise it had a log and lost it.
        let local_name = self.config.local_name.as_str();
        if founders.iter().any(|(name, number)| name == local_name && number == own_number) {
            self.create_first_log(founders);
        } else if !wants_reply {
            let reason =
                "the other voters have a log that began with another one of this name: this voter's is lost";
            tracing::error!("{reason}; it votes no more");
            self.role = VoterRole::Disabled(reason.into());
        }
    }

    /// Returns the report of this voter, if it is one.
    fn bootstrap_report(&self) -> Option<PeerMessage> {
        let (number, founders) = match &self.role {
            VoterRole::Bootstrapping { number, .. } => (Some(*number), Vec::new()),
            VoterRole::Voting { .. } => {
                (None, self.config.directory.as_deref().map(store::read_founders).unwrap_or_default())
            }
            _ => return None,
        };
        Some(PeerMessage::Bootstrap { number, founders, wants_reply: false })
    }
}

/// Why a member can't replace a voter.
#[derive(Debug, thiserror::Error)]
enum VoterNumberError {
    #[error("its number is lost")]
    NumberLost,
    #[error("it votes already")]
    IsVoter,
    #[error("it has no tier.state, where a voter keeps its log")]
    NoDirectory,
    #[error(transparent)]
    Store(#[from] StoreError),
}
