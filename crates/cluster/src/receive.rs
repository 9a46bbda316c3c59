//! Incoming datagrams: who sent one, whether it is accepted, and what it reports of other members.

use crate::cluster::Cluster;
use crate::events::{DatagramError, MembershipEvent, Output};
use crate::foca_adapter::{GOSSIP_INTERVAL, RuntimeActions};
use crate::identity::Identity;
use crate::member_list::ExclusionReason;
use crate::wire::{Envelope, FilteredBody, MalformedDatagramError, MemberUpdate, filter_updates};
use foca::State as SwimState;
use std::time::Duration;

/// Rounds of gossip in which a refutation is sent, beside what other members pass on of it.
const REFUTATION_ROUNDS: u8 = 6;

impl Cluster {
    /// Handles the payload of a datagram whose MAC was verified, and counts it as accepted or rejected.
    ///
    /// # Errors
    ///
    /// Tells why the datagram was rejected.
    pub fn handle_datagram(&mut self, now: Duration, payload: &[u8]) -> Result<(), DatagramError> {
        self.advance_to(now);
        let result = self.process_datagram(payload);
        match result {
            Ok(()) => self.counters.accepted += 1,
            Err(_) => self.counters.rejected += 1,
        }
        result
    }

    fn process_datagram(&mut self, payload: &[u8]) -> Result<(), DatagramError> {
        let (envelope, body) = Envelope::decode(payload)?;
        self.check_sender(&envelope)?;
        let (filtered, updates) = self.filter_body(body)?;
        if filtered.to.name == self.identity.name && filtered.to.generation > self.identity.generation {
            self.on_duplicate_name(filtered.to.generation, true);
        }
        for update in updates {
            self.apply_update(&envelope.from, update);
        }
        if self.is_silenced {
            return Ok(());
        }
        self.pass_to_foca(envelope.from, &filtered.body)
    }

    /// Checks that a datagram is for this balancer, and by a configured peer that has not sent it before and speaks a
    /// version of ours.
    fn check_sender(&mut self, envelope: &Envelope) -> Result<(), DatagramError> {
        if envelope.to != self.identity.name {
            return Err(DatagramError::Misaddressed);
        }
        let from = &envelope.from;
        if from.name == self.identity.name {
            self.on_duplicate_name(from.generation, true);
            return Err(DatagramError::FromLocalName);
        }
        if !self.peers.contains(&from.name) {
            return Err(self.exclude(from, ExclusionReason::Unlisted));
        }
        self.replay_windows
            .accept(&from.name, from.generation, envelope.sequence)
            .map_err(DatagramError::Replayed)?;
        self.settings
            .wire
            .check_compatible(from.wire)
            .map_err(|e| self.exclude(from, ExclusionReason::IncompatibleVersion(e)))
    }

    /// Returns the body without updates of excluded members, and all updates in it.
    fn filter_body(&self, body: &[u8]) -> Result<(FilteredBody, Vec<MemberUpdate>), MalformedDatagramError> {
        let mut updates = Vec::new();
        let filtered = filter_updates(body, |update| {
            updates.push(update.clone());
            let identity = &update.identity;
            let is_compatible = self.settings.wire.check_compatible(identity.wire).is_ok();
            identity.name == self.identity.name || (self.peers.contains(&identity.name) && is_compatible)
        })?;
        Ok((filtered, updates))
    }

    fn pass_to_foca(&mut self, sender: Identity, body: &[u8]) -> Result<(), DatagramError> {
        self.codec_context.borrow_mut().sender = Some(sender);
        let incarnation_before = self.codec_context.borrow().incarnation;
        let mut actions = RuntimeActions::default();
        // Other errors are of datagrams without effect, or that were applied completely.
        let handled = self.foca.handle_data(body, &mut actions);
        self.apply_actions(actions);
        if self.codec_context.borrow().incarnation > incarnation_before {
            // This balancer had to refute a suspicion: it may be in bad health itself.
            self.worsen_local_health(1);
            (self.refutations_left, self.refute_at) = (REFUTATION_ROUNDS, self.now + GOSSIP_INTERVAL / 4);
        }
        self.schedule_broadcast();
        match handled {
            Err(foca::Error::Decode(_) | foca::Error::MalformedPacket | foca::Error::DataTooBig) => {
                Err(DatagramError::Malformed)
            }
            _ => Ok(()),
        }
    }

    /// Applies what a peer reports of a member to the state that `foca` does not keep.
    fn apply_update(&mut self, reporter: &Identity, update: MemberUpdate) {
        let MemberUpdate { identity, incarnation, state, has_left } = update;
        if identity.name == self.identity.name {
            if identity.generation != self.identity.generation && state != SwimState::Down {
                self.on_duplicate_name(identity.generation, false);
            }
            return;
        }
        if has_left && self.peers.contains(&identity.name) {
            self.codec_context.borrow_mut().record_left(&identity);
        }
        if let Some(suspected) = self.suspected.get_mut(&identity.name)
            && state == SwimState::Suspect
            && suspected.identity == identity
            && suspected.suspicion.incarnation == incarnation
        {
            suspected.suspicion.confirm(&reporter.name);
        }
        if state == SwimState::Down {
            self.members.mark_excluded_down(self.now, &identity, has_left);
        } else if !self.peers.contains(&identity.name) {
            self.exclude(&identity, ExclusionReason::Unlisted);
        } else if let Err(e) = self.settings.wire.check_compatible(identity.wire) {
            self.exclude(&identity, ExclusionReason::IncompatibleVersion(e));
        }
    }

    fn exclude(&mut self, identity: &Identity, reason: ExclusionReason) -> DatagramError {
        if self.members.record_excluded(self.now, identity, reason) {
            let event = MembershipEvent::MemberExcluded(identity.name.clone(), reason);
            self.outputs.push(Output::Event(event));
        }
        DatagramError::SenderExcluded(reason)
    }

    /// Handles a sign of another process with this balancer's name, which that process has sent itself (first-hand) or
    /// another member has reported. The later generation stays.
    fn on_duplicate_name(&mut self, generation: u64, is_first_hand: bool) {
        if generation > self.identity.generation {
            if !self.is_silenced {
                self.silence();
                self.outputs.push(Output::Event(MembershipEvent::Superseded(generation)));
            }
            return;
        }
        let is_unexpected =
            is_first_hand || self.settings.previous_generation.is_some_and(|previous| previous != generation);
        let is_earlier = generation < self.settings.generation;
        if is_earlier && is_unexpected && self.reported_duplicate != Some(generation) {
            self.reported_duplicate = Some(generation);
            self.outputs.push(Output::Event(MembershipEvent::DuplicateName(generation)));
        }
    }
}
