//! The common document under any order of events: numbers rise by one, and nobody acts on an earlier body unknown to the leader.

use maplehook_cluster::Name;
use maplehook_versions::{
    Command, CommandError, DocumentLeaseHolder, DocumentLeaseManager, LeaseTimes, MAX_BODY_BYTES,
    SharedDocument, VersionState,
};
use proptest::prelude::*;
use std::sync::Arc;
use std::time::Duration;

proptest! {
    #![proptest_config(ProptestConfig::with_cases(256))]

    /// Whatever is put: the number in force has to be expected, each is the next one, the last body alone is there.
    #[test]
    fn numbers_rise_by_one(puts in prop::collection::vec((0u64..12, prop::collection::vec(any::<u8>(), 0..6), any::<bool>()), 0..40)) {
        let mut steps = VersionState::default();
        for (expect, body, long) in puts {
            let before = steps.clone();
            let body = if long { vec![1; MAX_BODY_BYTES + 1] } else { body };
            let played = steps.apply(&Command::ReplaceDocument { expected: expect, body: body.clone() });
            let number = before.shared_document.number;
            if long {
                prop_assert_eq!(played, Err(CommandError::DocumentTooLong));
            } else if expect != number {
                prop_assert_eq!(played, Err(CommandError::UnexpectedDocument { number }));
            } else {
                prop_assert_eq!(played, Ok(number + 1));
                prop_assert_eq!(&steps.shared_document, &SharedDocument { number: number + 1, body: body.into(), has_gap: false });
                prop_assert_eq!((steps.epoch, steps.phase), (before.epoch, before.phase));
                continue;
            }
            prop_assert_eq!(&steps, &before);
        }
    }

    /// A log that lacks some, since an earlier program passed them over, is as the others from the next one on.
    #[test]
    fn a_gap_closes_with_the_next(missed in 1u64..9, more in 1u64..5) {
        let (mut whole, mut gap) = (SharedDocument::default(), SharedDocument { has_gap: true, ..SharedDocument::default() });
        for number in 0..missed + more {
            let body = number.to_be_bytes();
            whole.replace(number, &body).unwrap();
            if number >= missed {
                prop_assert_eq!(gap.replace(number, &body), Ok(number + 1));
                prop_assert_eq!(&gap, &whole);
            }
        }
        // Then it is as strict as they are.
        prop_assert!(gap.replace(missed + more + 1, b"").is_err());
    }
}

#[test]
fn a_snapshot_without_it_takes_nothing_away() {
    let known = SharedDocument { number: 4, body: Arc::from(&b"four"[..]), has_gap: false };
    let lacks = SharedDocument { has_gap: true, ..SharedDocument::default() };
    assert_eq!(lacks.restored_over(known.clone()), SharedDocument { has_gap: true, ..known.clone() });
    assert_eq!(SharedDocument::default().restored_over(known.clone()), SharedDocument::default());
    assert!(SharedDocument { number: u64::MAX, has_gap: true, ..known }.replace(u64::MAX, b"").is_err());
}

#[derive(Clone, Debug)]
enum Event {
    Ask(usize),
    /// A message on its way arrives, or is lost.
    Deliver(usize, bool),
    Put,
    Push,
    Act(usize),
    Restart(usize),
    Elect,
    Pass(u64),
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    let one = prop_oneof![
        6 => (0usize..3).prop_map(Event::Ask),
        12 => (any::<usize>(), prop::bool::weighted(0.15)).prop_map(|(which, lost)| Event::Deliver(which, lost)),
        2 => Just(Event::Put),
        2 => Just(Event::Push),
        4 => (0usize..3).prop_map(Event::Act),
        1 => (0usize..3).prop_map(Event::Restart),
        1 => Just(Event::Elect),
        4 => (1u64..1500).prop_map(Event::Pass),
    ];
    prop::collection::vec(one, 0..150)
}

enum Said {
    Asks { from: usize, request: u64, acts: u64, has: u64 },
    Grants { to: usize, request: Option<u64>, number: u64 },
}

struct Member {
    holding: DocumentLeaseHolder,
    acts: u64,
    next: u64,
    /// How its clock goes, against the leader's.
    rate: f64,
}

impl Member {
    fn clock(&self, now: Duration) -> Duration {
        now.mul_f64(self.rate)
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    /// Clocks wrong by 1 %, messages late, lost and overtaken, elections: whoever may still act on an earlier body is known to be
    /// behind, and for at least as long.
    #[test]
    fn nobody_acts_on_an_earlier_body_unknown_to_the_leader(events in events()) {
        let times = LeaseTimes::new(Duration::from_secs(2)).unwrap();
        let names: Vec<Name> = (0..3).map(|n| Name::new(&format!("b{n}")).unwrap()).collect();
        let mut now = Duration::from_secs(1);
        let elect = |now| DocumentLeaseManager::new(times, names.iter().cloned().collect(), now);
        let mut given = elect(now);
        let mut newest = 0u64;
        let body = |number: u64| -> Arc<[u8]> { Arc::from(number.to_be_bytes()) };
        let rates = [0.995, 1.0, 1.005];
        let mut members: Vec<Member> = rates
            .iter()
            .map(|rate| Member { holding: DocumentLeaseHolder::new(times), acts: 0, next: 0, rate: *rate })
            .collect();
        let mut ways: Vec<Said> = Vec::new();
        for event in events {
            match event {
                Event::Ask(n) => {
                    let member = &mut members[n];
                    member.next += 1;
                    let clock = member.clock(now);
                    member.holding.begin_request(member.next, clock);
                    let (acts, has) = (member.acts, member.holding.newest().0);
                    ways.push(Said::Asks { from: n, request: member.next, acts, has });
                }
                Event::Deliver(which, lost) if !ways.is_empty() => {
                    let said = ways.remove(which % ways.len());
                    match said {
                        _ if lost => {}
                        Said::Asks { from, request, acts, has } => {
                            given.record_report(&names[from], Some(acts), has);
                            prop_assert!(given.grant(now, &names[from]));
                            ways.push(Said::Grants { to: from, request: Some(request), number: newest });
                        }
                        Said::Grants { to, request, number } => {
                            members[to].holding.accept_grant(request, number, Some(body(number)));
                        }
                    }
                }
                Event::Put => newest += 1,
                Event::Push => {
                    for name in given.holders_without(now, newest) {
                        let to = names.iter().position(|other| *other == name).unwrap();
                        ways.push(Said::Grants { to, request: None, number: newest });
                    }
                }
                Event::Act(n) => members[n].acts = members[n].holding.newest().0,
                Event::Restart(n) => {
                    // Requests keep their numbers apart by the start of whoever says them.
                    let next = members[n].next;
                    members[n] = Member { holding: DocumentLeaseHolder::new(times), acts: 0, next, rate: rates[n] };
                }
                Event::Elect => given = elect(now),
                Event::Pass(ms) => now += Duration::from_millis(ms),
                Event::Deliver(..) => {}
            }
            let behind = given.lagging_members(now, newest);
            for (member, name) in members.iter().zip(&names) {
                let Some(left) = member.holding.lease_end().and_then(|until| until.checked_sub(member.clock(now)))
                else {
                    continue;
                };
                if left.is_zero() || member.acts == 0 || member.acts >= newest {
                    continue;
                }
                let known = behind.iter().find(|(of, _)| of == name);
                prop_assert!(known.is_some_and(|(_, most)| most.mul_f64(1.006) >= left),
                    "{name} acts on {} of {newest} for {left:?}: {behind:?}", member.acts);
            }
        }
    }
}
