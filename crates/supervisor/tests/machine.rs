//! The decisions against a world that does what it likes.

mod world;

use maplehook_supervisor::interface::{
    Action, AdoptedProcess, Event, Phase, ROLLOUT_POLL_INTERVAL, RolloutStatus,
};
use maplehook_supervisor::saved_state::{Role, RolloutTarget, SupervisorState};
use maplehook_supervisor::state_machine::StateMachine;
use proptest::prelude::*;
use std::time::Duration;
use world::{World, ms, program, settings};

/// A balancer's word on a change that runs.
fn said(number: u64, of: u8, new: bool) -> RolloutStatus {
    RolloutStatus::Target(RolloutTarget {
        number,
        program: program(of),
        is_target: new,
        is_in_progress: true,
    })
}

fn event() -> impl Strategy<Value = (u8, u8, u8)> {
    (0u8..16, any::<u8>(), 0u8..4)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, ..ProptestConfig::default() })]

    /// Guards all of it at once: while no serving process dies by itself one always serves, whatever new programs, operators,
    /// roll-outs, the clock and the supervisor's own deaths do; and when all behave again, what is wanted serves.
    #[test]
    fn one_always_serves(seed in any::<u64>(), events in proptest::collection::vec(event(), 1..120)) {
        let mut world = World::new(seed);
        for (kind, which, n) in events {
            let ids: Vec<u64> = world.processes.keys().copied().collect();
            let id = ids.get(usize::from(which) % ids.len().max(1)).copied().unwrap_or(0);
            let one = world.processes.get(&id).cloned();
            match (kind, one) {
                (0 | 1, Some(_)) => world.happens(Event::Ready(id)),
                (2 | 3, Some(one)) if one.tried => world.happens(Event::TrialPassed(id)),
                (4, Some(one)) if one.tried => world.happens(Event::Failed(id, "so".into())),
                (5 | 6, Some(one)) if one.told_to_accept => {
                    world.one(id).accepts = true;
                    world.happens(Event::Accepting(id));
                }
                (7 | 8, Some(one)) if !one.accepts || one.told_to_end => {
                    world.processes.remove(&id);
                    world.happens(Event::Exited(id));
                }
                (9, _) => world.happens(Event::ProgramRequested(program(n))),
                (10, Some(_)) => {
                    let own = match n { 0 => RolloutStatus::NoRollout, n => said(u64::from(which % 2), n, which & 4 > 0) };
                    world.happens(Event::RolloutReported(id, own));
                }
                (11, Some(_)) => world.happens(Event::Unanswered(id)),
                (12, _) => world.wait(ms(u64::from(which) * 20)),
                (13, _) => world.wait(ms(u64::from(which) * 200)),
                (14, Some(one)) => {
                    let event = match n {
                        0 if one.tried => Event::TrialPassed(id),
                        1 if one.told_to_accept => { world.one(id).accepts = true; Event::Accepting(id) }
                        2 => Event::ProgramRequested(program(n)),
                        _ => Event::Tick,
                    };
                    world.supervisor_dies(event, usize::from(which % 4), seed ^ u64::from(which));
                }
                _ => {}
            }
            world.served_once |= world.serving() > 0;
            prop_assert!(!world.served_once || world.serving() > 0, "nobody serves");
        }
        world.behave(|_| false);
        prop_assert_eq!(world.serving(), 1);
        prop_assert_eq!(world.processes.len(), 1, "one is left over");
        let serves = &world.machine.serving().unwrap().program;
        prop_assert!(serves == &world.memory.target_program || world.memory.rejected_programs.contains(&world.memory.target_program));
        world.happens(Event::Shutdown { has_waiting_clients: seed % 2 == 0 });
        world.behave(|_| false);
        prop_assert!(world.ended && world.processes.is_empty());
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, ..ProptestConfig::default() })]

    /// Guards against a program that was never good and stays: it dies again and again while it serves, and the last good one
    /// is back after as many deaths as are allowed; with serving processes dying at random, too, somebody is started again.
    #[test]
    fn a_program_that_was_never_good_gives_way(seed in any::<u64>(), deaths in 0u8..20) {
        let mut world = World::new(seed);
        world.behave(|_| false);
        prop_assert_eq!(&world.memory.last_stable_program, &Some(program(0)));
        world.happens(Event::ProgramRequested(program(1)));
        let mut died = 0;
        for step in 0..400 {
            let ids: Vec<u64> = world.processes.keys().copied().collect();
            for id in ids {
                let one = world.processes.get(&id).cloned().unwrap();
                if one.told_to_end || (one.accepts && one.program == program(1) && step > u32::from(deaths)) {
                    died += u32::from(!one.told_to_end);
                    world.processes.remove(&id);
                    world.happens(Event::Exited(id));
                } else if one.told_to_accept && !one.accepts {
                    world.one(id).accepts = true;
                    world.happens(Event::Accepting(id));
                } else if one.tried {
                    world.happens(Event::TrialPassed(id));
                } else {
                    world.happens(Event::Ready(id));
                }
            }
            world.wait(ms(50));
        }
        prop_assert!(died > 0 && died <= settings().max_crashes, "{died}");
        prop_assert_eq!(&world.machine.serving().unwrap().program, &program(0));
        prop_assert!(world.memory.rejected_programs.contains(&program(1)));
    }

    /// Guards the waits: each twice the one before, a quarter by chance, up to the longest; and no end of them for the last
    /// good program, which is all there is.
    #[test]
    fn waits_grow_and_are_bounded(seed in any::<u64>()) {
        let mut world = World::new(seed);
        world.behave(|_| false);
        let mut waits = Vec::new();
        for _ in 0..14 {
            let id = *world.processes.keys().next().unwrap();
            world.processes.clear();
            world.happens(Event::Exited(id));
            let (died, starts) = (world.now, world.starts.len());
            while world.starts.len() == starts {
                world.wait(ms(10));
            }
            waits.push(world.now - died);
            // It gets as far as to serve, and dies again.
            let id = *world.processes.keys().next().unwrap();
            world.happens(Event::Ready(id));
            world.happens(Event::TrialPassed(id));
            world.one(id).accepts = true;
            world.happens(Event::Accepting(id));
        }
        for (n, wait) in waits.iter().enumerate() {
            let whole = (settings().initial_backoff * (1 << n)).min(settings().max_backoff);
            prop_assert!(*wait >= whole.mul_f64(0.74) && *wait <= whole + ms(20), "{n}: {wait:?} of {whole:?}");
        }
        // What lasts is trusted again.
        world.wait(settings().stable_after);
        prop_assert_eq!(world.memory.consecutive_failures, 0);
    }
}

/// One whose roll-out has put program 1 in the place of the one before.
fn changed() -> World {
    let (mut world, old) = World::in_service();
    world.happens(Event::RolloutReported(old, said(1, 1, true)));
    world.behave(|_| false);
    world
}

/// Guards the way back: a new program that its roll-out does not reach any more gives way to the one before, and does not come
/// back by itself.
#[test]
fn a_new_program_that_is_cut_off_gives_way() {
    for by_word in [true, false] {
        let mut world = changed();
        let new = world.machine.serving().unwrap().clone();
        assert_eq!(new.program, program(1));
        if by_word {
            world.happens(Event::RolloutReported(new.id, said(1, 1, false)));
        } else {
            // Time alone is not enough: the supervisor may have been stopped.
            world.happens(Event::Unanswered(new.id));
            world.wait(settings().lost_contact_after * 2);
            world.happens(Event::Unanswered(new.id));
            assert!(world.machine.candidate().is_none(), "too few questions");
            world.happens(Event::RolloutReported(new.id, said(1, 1, true)));
            for _ in 0..40 {
                world.happens(Event::Unanswered(new.id));
                assert!(world.machine.candidate().is_none(), "too early");
                world.wait(ROLLOUT_POLL_INTERVAL);
            }
            world.happens(Event::Unanswered(new.id));
        }
        assert!(world.serving() == 1 && world.machine.candidate().is_some(), "beside it");
        world.behave(|_| false);
        let now = world.machine.serving().unwrap().clone();
        assert_eq!(now.program, program(0));
        // Neither its word nor silence moves anything any more.
        world.happens(Event::RolloutReported(now.id, said(1, 1, false)));
        for _ in 0..100 {
            world.happens(Event::Unanswered(now.id));
        }
        world.behave(|_| false);
        assert_eq!(world.machine.serving().unwrap(), &now);
    }
}

/// Guards the later word, which holds, whatever the balancer goes on to say of a change that is done, or undone, or of another one.
#[test]
fn an_operators_later_word_outlives_a_roll_out() {
    for new in [true, false] {
        let mut world = World::new(7);
        world.behave(|_| false);
        let says = |world: &mut World, own: RolloutStatus| {
            let id = world.machine.serving().unwrap().id;
            world.happens(Event::RolloutReported(id, own));
            world.behave(|_| false);
            world.machine.serving().unwrap().program.clone()
        };
        assert_eq!(says(&mut world, said(1, 1, true)), program(1));
        let stays = if new { program(1) } else { program(0) };
        assert_eq!(says(&mut world, said(1, 1, new)), stays);
        world.happens(Event::ProgramRequested(program(2)));
        assert!(world.machine.candidate().is_some());
        let id = world.machine.serving().unwrap().id;
        world.happens(Event::RolloutReported(id, said(1, 1, new)));
        assert!(
            world.machine.candidate().is_some_and(|next| next.program == program(2)),
            "its trial goes on"
        );
        world.behave(|_| false);
        // A change that brings nothing here takes nothing back; the next one that does counts.
        for own in [said(1, 1, new), said(2, 3, false), said(2, 3, false), RolloutStatus::NoRollout] {
            assert_eq!(says(&mut world, own), program(2));
        }
        assert_eq!(says(&mut world, said(2, 3, true)), program(3));
        assert_eq!(says(&mut world, said(2, 3, false)), program(2), "to what it has replaced");
    }
}

/// Guards the way back of a program that never comes so far: to what serves, not to what was before that.
#[test]
fn what_never_served_is_taken_back_to_what_serves() {
    let mut world = World::new(7);
    world.behave(|_| false);
    world.happens(Event::ProgramRequested(program(1)));
    world.behave(|_| false);
    let id = world.machine.serving().unwrap().id;
    world.happens(Event::RolloutReported(id, said(1, 2, true)));
    world.happens(Event::RolloutReported(id, said(1, 2, false)));
    world.behave(|_| false);
    assert_eq!((world.machine.serving().unwrap().id, &world.memory.target_program), (id, &program(1)));
}

/// Guards against a new program that serves but has lost the tier: it knows of no change, and could not be told of its end. It is
/// no harm once the change is over, or just after its start.
#[test]
fn a_new_program_that_does_not_know_its_change_gives_way() {
    for runs in [true, false] {
        let mut world = changed();
        let id = world.machine.serving().unwrap().id;
        let told = RolloutTarget { number: 1, program: program(1), is_target: true, is_in_progress: runs };
        for _ in 0..200 {
            world.happens(Event::RolloutReported(id, RolloutStatus::NoRollout));
            world.wait(ms(50));
        }
        world.happens(Event::RolloutReported(id, RolloutStatus::Target(told)));
        for _ in 0..50 {
            world.happens(Event::RolloutReported(id, RolloutStatus::NoRollout));
            world.wait(ROLLOUT_POLL_INTERVAL);
        }
        world.behave(|_| false);
        assert_eq!(world.machine.serving().unwrap().program, program(u8::from(!runs)));
    }
}

/// Guards against a trial that keeps everybody out while upstreams are gone: with nobody there any answer will do.
#[test]
fn a_trial_beside_nobody_asks_for_less() {
    let mut world = World::new(7);
    let id = world.machine.candidate().unwrap().id;
    let first = world.machine.handle(ms(1), Event::Ready(id));
    assert!(first.contains(&Action::RunTrial { id, strict: false }), "{first:?}");
    let mut world = World::new(7);
    world.behave(|_| false);
    world.happens(Event::ProgramRequested(program(1)));
    let id = world.machine.candidate().unwrap().id;
    let second = world.machine.handle(world.now, Event::Ready(id));
    assert!(second.contains(&Action::RunTrial { id, strict: true }), "{second:?}");
}

/// Guards the guarantees: the old process hears that two accept before the new one may, and the one that stays that it is alone.
#[test]
fn both_hear_that_there_are_two() {
    let (mut world, old) = World::in_service();
    world.happens(Event::ProgramRequested(program(1)));
    let new = world.machine.candidate().unwrap().id;
    world.happens(Event::Ready(new));
    let actions = world.machine.handle(world.now, Event::TrialPassed(new));
    assert_eq!(
        actions,
        [Action::NotifySibling(old, true), Action::NotifySibling(new, true), Action::Accept(new)]
    );
    let _ = world.machine.handle(world.now, Event::Accepting(new));
    let actions = world.machine.handle(world.now, Event::Exited(old));
    assert_eq!(actions, [Action::NotifySibling(new, false)]);
    // Whoever is found may have been told the one or the other.
    let found = [AdoptedProcess { id: 4, program: program(0), role: Role::Serving, is_accepting: true }];
    let mut machine =
        StateMachine::resume(settings(), SupervisorState::new(program(0)), &found, 1, Duration::ZERO);
    assert_eq!(machine.handle(Duration::ZERO, Event::Tick), [Action::NotifySibling(4, false)]);
}

/// Guards the record of roles: who serves stays, whoever was only tried ends.
#[test]
fn whoever_accepts_stays_and_all_others_end() {
    let memory = SupervisorState { next_id: 9, ..SupervisorState::new(program(0)) };
    let found = |id, role, accepted| AdoptedProcess { id, program: program(0), role, is_accepting: accepted };
    let all =
        [found(3, Role::Terminating, true), found(5, Role::Candidate, true), found(4, Role::Serving, true)];
    let mut machine = StateMachine::resume(settings(), memory.clone(), &all, 1, Duration::ZERO);
    let actions = machine.handle(Duration::ZERO, Event::Tick);
    assert!(
        actions.contains(&Action::Terminate(3, true)) && actions.contains(&Action::Terminate(5, true)),
        "{actions:?}"
    );
    assert!(
        matches!(machine.serving().unwrap(), p if p.id == 4 && p.phase == Phase::Serving(Duration::ZERO))
    );
    // With none before it, one that was told to accept is the one.
    let mut machine = StateMachine::resume(settings(), memory, &all[..2], 1, Duration::ZERO);
    machine.handle(Duration::ZERO, Event::Tick);
    assert_eq!(machine.serving().unwrap().id, 5);
}

/// Guards the narrow moment: the old process dies after the new one was told to accept, which then stays.
#[test]
fn one_that_was_told_to_accept_stays_if_the_old_one_dies() {
    let (mut world, old) = World::in_service();
    world.happens(Event::ProgramRequested(program(1)));
    let new = world.machine.candidate().unwrap().id;
    world.happens(Event::Ready(new));
    world.happens(Event::TrialPassed(new));
    world.processes.remove(&old);
    world.happens(Event::Exited(old));
    assert!(!world.one(new).told_to_end);
    world.one(new).accepts = true;
    world.happens(Event::Accepting(new));
    assert_eq!(world.machine.serving().unwrap().id, new);
    // One that was only tried gives way to what served.
    world.happens(Event::ProgramRequested(program(2)));
    world.happens(Event::Exited(new));
    assert!(world.processes.values().any(|p| p.told_to_end && p.program == program(2)));
    world.behave(|_| false);
    assert_eq!(world.machine.serving().unwrap().program, program(2));
}
