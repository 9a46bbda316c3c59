//! What `foca` asks for is applied here: messages are sent, timers scheduled, and membership changes recorded.

use crate::cluster::{Cluster, Resend, SuspectedMember};
use crate::events::{MembershipEvent, Output};
use crate::foca_adapter::{RuntimeActions, foca_config};
use crate::identity::Identity;
use crate::member_list::MemberState;
use crate::name::Name;
use crate::suspicion::Suspicion;
use crate::wire::{Envelope, encode_suspicion, is_probe_message};
use foca::Timer;
use rand::RngExt;
use std::time::Duration;

/// How long after a probe message its second copy is sent while datagrams are being lost.
const RESEND_DELAY: Duration = Duration::from_millis(40);
/// The most second copies that may wait.
const MAX_RESENDS: usize = 64;
/// How many of the members that suspect another one notify it directly, on average (Lifeguard's buddy system), so that it
/// can refute the suspicion sooner.
const BUDDIES: f64 = 4.0;

impl Cluster {
    /// Applies what a call of `foca` has asked for.
    pub(crate) fn apply_actions(&mut self, actions: RuntimeActions) {
        let RuntimeActions { sends, timers, member_changes, restarted, rejoined_as, .. } = actions;
        if let Some(generation) = rejoined_as {
            self.identity.generation = generation;
            self.counters.rejoined += 1;
            self.outputs.push(Output::Event(MembershipEvent::Rejoined(generation)));
        }
        for identity in restarted {
            self.suspected.remove(&identity.name);
            self.members.set_identity(self.now, &identity);
        }
        for (identity, is_up) in member_changes {
            if is_up { self.on_member_up(&identity) } else { self.on_member_down(&identity) }
        }
        if self.alive_peers != self.foca.num_members() {
            self.alive_peers = self.foca.num_members();
            // It is only refused where a period changes, and none does.
            let _ = self.foca.set_config(foca_config(self.alive_peers + 1, &self.identity.name));
        }
        for (timer, after) in timers {
            self.schedule_timer(timer, after);
        }
        for (to, body) in sends {
            self.schedule_resend(&to.name, &body);
            self.send(to.name, &body);
        }
    }

    fn on_member_up(&mut self, identity: &Identity) {
        let (name, generation) = (identity.name.clone(), identity.generation);
        self.absent_peers.on_member_up(&name);
        self.members.set_state(self.now, identity, MemberState::Alive);
        self.outputs.push(Output::Event(MembershipEvent::MemberUp(name, generation)));
    }

    fn on_member_down(&mut self, identity: &Identity) {
        let (name, generation) = (identity.name.clone(), identity.generation);
        self.suspected.remove(&name);
        self.absent_peers.on_member_down(self.now, &name);
        let has_left = self.codec_context.borrow().has_left(identity);
        let state = if has_left { MemberState::Left } else { MemberState::Dead };
        self.members.set_state(self.now, identity, state);
        self.outputs.push(Output::Event(MembershipEvent::MemberDown(name, generation, state)));
    }

    fn schedule_timer(&mut self, timer: Timer<Identity>, after: Duration) {
        let after = match timer {
            Timer::ChangeSuspectToDown { ref member_id, incarnation, .. } => {
                let member = member_id.clone();
                self.suspect(member, incarnation, timer);
                return;
            }
            Timer::ProbeRandomMember(_) | Timer::SendIndirectProbe { .. } => after * (1 + self.local_health),
            _ => after,
        };
        self.insert_timer(self.now + after, timer);
    }

    pub(crate) fn insert_timer(&mut self, at: Duration, timer: Timer<Identity>) {
        self.next_timer += 1;
        self.timers.insert((at, self.next_timer), timer);
    }

    /// Starts the suspicion timeout of a member, or counts this balancer as one more that suspects it.
    fn suspect(&mut self, identity: Identity, incarnation: u16, timer: Timer<Identity>) {
        let name = identity.name.clone();
        let own_name = self.identity.name.clone();
        if let Some(known) = self.suspected.get_mut(&name)
            && known.identity == identity
            && known.suspicion.incarnation == incarnation
        {
            known.suspicion.confirm(&own_name);
            return;
        }
        let suspicion = Suspicion::new(self.now, incarnation, own_name);
        if self.rng.random::<f64>() * self.alive_peers as f64 <= BUDDIES {
            let own_incarnation = self.codec_context.borrow().incarnation;
            let body = encode_suspicion(&identity, incarnation, own_incarnation);
            self.send(name.clone(), &body);
        }
        self.suspected.insert(name, SuspectedMember { suspicion, identity, timer });
    }

    fn schedule_resend(&mut self, to: &Name, body: &[u8]) {
        let is_lossy = self.now < self.lossy_until;
        if is_lossy && is_probe_message(body) && self.resends.len() < MAX_RESENDS {
            let due_at = self.now + RESEND_DELAY;
            self.resends.push_back(Resend { due_at, to: to.clone(), body: body.to_vec() });
        }
    }

    /// Sends a message to a peer.
    pub(crate) fn send(&mut self, to: Name, body: &[u8]) {
        let sequence = self.sequences.entry(to.clone()).or_default();
        *sequence += 1;
        let envelope = Envelope { from: self.identity.clone(), to: to.clone(), sequence: *sequence };
        let datagram = envelope.encode_with(body);
        self.counters.sent += 1;
        self.counters.sent_bytes += datagram.len() as u64;
        self.outputs.push(Output::Send(to, datagram));
    }
}
