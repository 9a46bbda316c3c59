//! Due work: timers of probes and gossip, suspicion timeouts, announcements, refutations and announces to absent peers.

use crate::cluster::{Cluster, MAX_LOCAL_HEALTH_SCORE};
use crate::foca_adapter::{GOSSIP_INTERVAL, RuntimeActions};
use crate::identity::Identity;
use crate::name::Name;
use crate::settings::PROBE_PERIOD;
use foca::{State as SwimState, Timer};
use rand::RngExt;
use std::collections::BTreeMap;
use std::time::Duration;

/// The time between two checks of absent peers and of announcements.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// The shortest time between two broadcasts of announcements.
const BROADCAST_INTERVAL: Duration = Duration::from_millis(20);
/// For how long after an indirect probe the network counts as lossy. Probes and their acknowledgements are then sent
/// twice, the second time after a pause, since the loss of one 256-byte datagram in three would otherwise cause more
/// suspicions than such datagrams can refute.
const LOSSY_PERIOD: Duration = Duration::from_secs(10);

impl Cluster {
    /// Does all work that is due.
    pub fn poll(&mut self, now: Duration) {
        self.advance_to(now);
        let now = self.now;
        if self.is_silenced {
            self.poll_silenced(now);
            return;
        }
        self.run_due_timers(now);
        self.expire_suspicions(now);
        if self.next_tick <= now {
            self.tick(now);
        }
        self.gossip_refutation(now);
        self.resend_due_messages(now);
        self.broadcast_announcements(now);
    }

    fn poll_silenced(&mut self, now: Duration) {
        self.members.expire_excluded(now);
        if self.next_tick <= now {
            self.next_tick = now + TICK_INTERVAL;
        }
        self.broadcast_at = None;
        self.resends.clear();
        self.refutations_left = 0;
    }

    fn run_due_timers(&mut self, now: Duration) {
        while let Some(entry) = self.timers.first_entry() {
            if entry.key().0 > now {
                break;
            }
            let timer = entry.remove();
            // With nothing to tell the gossip round sends nothing, and would go through the whole list for it.
            let is_idle_gossip = matches!(timer, Timer::PeriodicGossip(_))
                && self.foca.updates_backlog() == 0
                && self.foca.custom_broadcast_backlog() == 0;
            if is_idle_gossip {
                self.insert_timer(now + GOSSIP_INTERVAL, timer);
            } else {
                self.handle_timer(timer);
            }
        }
    }

    fn expire_suspicions(&mut self, now: Duration) {
        let members = self.alive_peers + 1;
        let expired: Vec<Name> = self
            .suspected
            .iter()
            .filter(|(_, member)| member.suspicion.deadline(members, PROBE_PERIOD) <= now)
            .map(|(name, _)| name.clone())
            .collect();
        for name in expired {
            if let Some(member) = self.suspected.remove(&name) {
                self.handle_timer(member.timer);
            }
        }
    }

    fn tick(&mut self, now: Duration) {
        self.next_tick = now + TICK_INTERVAL;
        self.members.expire_excluded(now);
        self.gossip.borrow_mut().announcements.expire(now);
        self.unix_ms += TICK_INTERVAL.as_millis() as u64;
        self.announce_due_claims(now);
        self.clear_refuted_suspicions();
        self.announce_to_absent_peers(now);
    }

    fn announce_to_absent_peers(&mut self, now: Duration) {
        let rng = &mut self.rng;
        for name in self.absent_peers.take_due(now, || rng.random::<f64>()) {
            let mut actions = RuntimeActions::default();
            let generation = self.members.generation(&name).unwrap_or(0);
            // It fails for want of room alone, and there is room.
            let _ = self.foca.announce(Identity::without_versions(name, generation), &mut actions);
            self.apply_actions(actions);
        }
    }

    fn gossip_refutation(&mut self, now: Duration) {
        if self.refutations_left == 0 || self.refute_at > now {
            return;
        }
        (self.refutations_left, self.refute_at) = (self.refutations_left - 1, now + GOSSIP_INTERVAL / 2);
        let mut actions = RuntimeActions::default();
        // It fails for want of room alone, and there is room.
        let _ = self.foca.gossip(&mut actions);
        self.apply_actions(actions);
    }

    fn resend_due_messages(&mut self, now: Duration) {
        while self.resends.front().is_some_and(|resend| resend.due_at <= now) {
            if let Some(resend) = self.resends.pop_front() {
                self.send(resend.to, &resend.body);
            }
        }
    }

    fn broadcast_announcements(&mut self, now: Duration) {
        if self.broadcast_at.is_none_or(|at| at > now) {
            return;
        }
        self.broadcast_at = None;
        let mut actions = RuntimeActions::default();
        // It fails for want of room alone, and there is room.
        let _ = self.foca.broadcast(&mut actions);
        self.apply_actions(actions);
        if self.foca.custom_broadcast_backlog() > 0 {
            self.broadcast_at = Some(now + BROADCAST_INTERVAL.max(GOSSIP_INTERVAL / 4));
        }
    }

    fn handle_timer(&mut self, timer: Timer<Identity>) {
        let is_probe = matches!(timer, Timer::ProbeRandomMember(_));
        let is_indirect_probe = matches!(timer, Timer::SendIndirectProbe { .. });
        let mut actions = RuntimeActions::default();
        // An incomplete probe cycle is one that a pause of this process has cut; the next one begins all the same.
        let _ = self.foca.handle_timer(timer, &mut actions);
        if is_indirect_probe && !actions.sends.is_empty() {
            self.lossy_until = self.now + LOSSY_PERIOD;
        }
        if is_probe {
            self.local_health = match actions.failed_probes {
                0 => self.local_health.saturating_sub(1),
                failed => (self.local_health + failed).min(MAX_LOCAL_HEALTH_SCORE),
            };
        }
        self.apply_actions(actions);
    }

    /// Ends the suspicions that their members have refuted.
    fn clear_refuted_suspicions(&mut self) {
        if self.suspected.is_empty() {
            return;
        }
        let still_suspected: BTreeMap<&Name, u16> = self
            .foca
            .iter_membership_state()
            .filter(|member| member.state() == SwimState::Suspect)
            .map(|member| (&member.id().name, member.incarnation()))
            .collect();
        self.suspected
            .retain(|name, member| still_suspected.get(name) == Some(&member.suspicion.incarnation));
    }
}
