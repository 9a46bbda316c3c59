//! Leases, what members answer to routers, and what they act on.

use super::world::{Flaw, NAMES, SITES, STEP, World, names, times};
use maplehook_address_announcement::{Answer, LocalBalancer};
use maplehook_failover::BalancerRouting;
use maplehook_failover_agent::messages::AgreedState;
use maplehook_locality::{Rules, Topology, Zone};
use std::sync::Arc;
use std::time::Duration;

fn topology() -> Topology {
    Topology::new([("a", vec!["a"]), ("b", vec!["b"])]).unwrap_or_default()
}

impl World {
    /// Leases are asked for, and what is due of the answers comes.
    pub(super) fn leases(&mut self) {
        for n in 0..SITES.len() {
            if self.runs(n) {
                self.ask(n);
                self.hear(n);
            }
        }
    }

    fn ask(&mut self, n: usize) {
        let (t, clock, now, flaw) = (self.t, self.clock(n), self.clock(2), self.flaw);
        let (number, body) = (self.log.number, Arc::clone(&self.log.body));
        let present = self.leader.as_ref().map(|leader| leader.at).filter(|at| self.hears(n, *at));
        let confirmed = present.is_some_and(|at| self.majority(at));
        // The first one has not heard of another leader, and goes on asking the one before as long as that one answers.
        let old = self.stale.as_ref().filter(|_| n == 0 && flaw == Some(Flaw::NotConfirmed));
        let to_old = old.is_some_and(|stale| self.hears(n, stale.at));
        let member = &mut self.members[n];
        member.request += 1;
        let request = member.request;
        member.holding.begin_request(request, clock);
        let (acts, has) =
            (member.agreed.as_ref().map_or(0, |(number, _)| *number), member.holding.newest().0);
        let due = member.late.max(t);
        let (leader, number, body) = match (&mut self.leader, &mut self.stale) {
            (_, Some(stale)) if to_old => {
                let (number, body) = (stale.number, stale.stands.encode().into());
                (stale, number, body)
            }
            (Some(leader), _) if confirmed => (leader, number, body),
            _ => return,
        };
        leader.heard[n] = Some(t);
        leader.given.record_report(&names()[n], Some(acts), has);
        if leader.given.grant(now, &names()[n]) {
            member.answers.push((due, request, number, body));
        }
    }

    fn hear(&mut self, n: usize) {
        let (t, clock, flaw) = (self.t, self.clock(n), self.flaw);
        let member = &mut self.members[n];
        let (due, rest): (Vec<_>, Vec<_>) = member.answers.drain(..).partition(|(due, ..)| *due <= t);
        member.answers = rest;
        for (_, mut request, number, body) in due {
            if flaw == Some(Flaw::LeaseFromAnswer) {
                request += 1000;
                member.holding.begin_request(request, clock);
            }
            member.holding.accept_grant(Some(request), number, Some(Arc::clone(&body)));
            if member.holding.newest().0 == number && number > 0 {
                member.agreed = AgreedState::decode(&body).map(|agreed| (number, Arc::new(agreed)));
            }
        }
    }

    /// Routers ask, and keep to what they hear.
    pub(super) fn polls(&mut self) {
        let (t, now, flaw) = (self.t, self.now(), self.flaw);
        for (n, site) in SITES.into_iter().enumerate() {
            if self.runs(n) {
                let good = self.answer(n);
                let member = &mut self.members[n];
                let due = member.late_poll.max(t);
                // By a router's clock that goes slow.
                let held = |since: Duration, good: Duration| since + good.mul_f64(1.0 / 0.99);
                let until = good.map(|good| {
                    if flaw == Some(Flaw::HoldsFromAnswer) { held(STEP * due, good) } else { held(now, good) }
                });
                member.polls.push((due, until));
            }
            let member = &mut self.members[n];
            let (due, rest): (Vec<_>, Vec<_>) = member.polls.drain(..).partition(|(due, _)| *due <= t);
            member.polls = rest;
            for (_, until) in due {
                let held = &mut self.held[site];
                *held = until.map_or(*held, |until| until.max(*held));
            }
        }
    }

    /// For how long a member's site announces the address.
    fn answer(&self, n: usize) -> Option<Duration> {
        let (member, clock) = (&self.members[n], self.clock(n));
        let past = self.flaw == Some(Flaw::AnnouncesPastLease);
        let until = member.holding.lease_end().map(|until| if past { clock + times().lease } else { until });
        let own = LocalBalancer {
            site: NAMES[SITES[n]].into(),
            ready: true,
            served: 1.0,
            lease_until: until,
            state: member.agreed.as_ref().map(|(_, agreed)| agreed.addresses.clone()),
        };
        match own.answer("one", clock) {
            Answer::Announces { good_for, .. } => Some(good_for),
            Answer::Withdrawn { .. } => None,
        }
    }

    /// The epoch of the plan that a member acts on in common.
    pub(super) fn acts(&self, n: usize) -> Option<u64> {
        let (member, clock) = (&self.members[n], self.clock(n));
        let (_, agreed) = member.agreed.as_ref().filter(|_| self.runs(n))?;
        let holds = member.holding.lease_end().is_some_and(|until| clock < until);
        let lease = holds || self.flaw == Some(Flaw::ActsPastLease);
        let zone = Zone(SITES[n] as u16);
        let mut acting = BalancerRouting::new(topology(), Rules::near_first(1, 1), zone, clock);
        acting.set_document(&agreed.places);
        let acts = acting.tick(clock, lease, &[], &[]);
        acts.uses_shared_plan.then_some(acts.epoch)
    }
}
