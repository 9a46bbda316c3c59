//! The decisions at the end of the whole balancer: who accepts to the last, and when nobody listens any more.

mod world;

use maplehook_supervisor::interface::{Action, Event};
use std::time::Duration;
use world::{END, END_BEFORE_CLIENTS, World, ms, program, settings};

fn handle(world: &mut World, event: Event) -> Vec<Action> {
    world.machine.handle(world.now, event)
}

/// Guards clients at the planned end: they are let in as long as the process that is told of the end may accept, and not after its
/// death, whatever else still drains.
#[test]
fn listening_ends_with_the_last_process_that_accepts() {
    let (mut world, old) = World::in_service();
    world.happens(Event::ProgramRequested(program(1)));
    let new = world.machine.candidate().unwrap().id;
    world.accepts(new);
    let actions = handle(&mut world, END);
    assert_eq!(actions, [Action::Terminate(new, false)], "the old one was told before");
    assert_eq!(handle(&mut world, Event::Tick), []);
    assert_eq!(
        handle(&mut world, Event::Exited(new)),
        [Action::NotifySibling(old, false), Action::StopListening]
    );
    assert_eq!(handle(&mut world, Event::Exited(old)), [Action::Exit]);
}

/// Guards against a last process that is stopped, or of a program that does not end listening: that is done for it in time, once.
#[test]
fn listening_ends_in_time() {
    let (mut world, id) = World::in_service();
    assert_eq!(handle(&mut world, END), [Action::Terminate(id, false)]);
    let due = world.machine.next_deadline(world.now).unwrap();
    assert!(due - world.now < settings().termination_grace, "{due:?}");
    // Longer than a balancer accepts by itself.
    assert!(due - world.now > Duration::from_secs(1), "{due:?}");
    world.now = due;
    assert_eq!(handle(&mut world, Event::Tick), [Action::StopListening]);
    world.now += ms(1);
    // A second signal changes nothing.
    assert_eq!(handle(&mut world, END), []);
    assert_eq!(handle(&mut world, Event::Exited(id)), [Action::Exit]);
}

/// Guards against a supervisor that listens on while there is nobody to serve.
#[test]
fn nobody_listens_where_nobody_serves() {
    let mut world = World::new(7);
    let id = world.machine.candidate().unwrap().id;
    assert_eq!(handle(&mut world, END), [Action::Kill(id), Action::StopListening]);
}

/// Guards clients of the moment in which the first process, or one in the place of one that died, is told to accept: it was told to
/// leave as if another one accepted in its place, and closed the listener over those who waited.
#[test]
fn a_process_that_was_told_to_accept_beside_nobody_ends_as_the_last_one() {
    let mut world = World::new(7);
    let id = world.machine.candidate().unwrap().id;
    for event in [Event::Ready(id), Event::TrialPassed(id)] {
        world.happens(event);
    }
    // It is on its way, and a second signal changes nothing.
    assert_eq!(handle(&mut world, END), []);
    assert_eq!(handle(&mut world, END), []);
    assert_eq!(handle(&mut world, Event::Accepting(id)), [Action::Terminate(id, false)]);
    assert_eq!(handle(&mut world, Event::Exited(id)), [Action::StopListening, Action::Exit]);
    // Beside one that serves, it gives way.
    let (mut world, old) = World::in_service();
    world.happens(Event::ProgramRequested(program(1)));
    let new = world.machine.candidate().unwrap().id;
    for event in [Event::Ready(new), Event::TrialPassed(new)] {
        world.happens(event);
    }
    let told = handle(&mut world, END);
    assert_eq!(told, [Action::Terminate(new, true), Action::Terminate(old, false)]);
}

/// Guards clients that wait while the program is down, after a death or at the first start: the system has let them in, and the end
/// reset them unheard. One process is started for them, and the end follows.
#[test]
fn clients_that_wait_are_served_before_the_end() {
    let (mut world, id) = World::in_service();
    world.processes.clear();
    world.happens(Event::Exited(id));
    assert!(world.machine.candidate().is_none(), "it is not started at once");
    world.happens(END_BEFORE_CLIENTS);
    let next = world.machine.candidate().expect("one for those who wait").id;
    world.happens(Event::Ready(next));
    world.happens(Event::TrialPassed(next));
    assert!(world.one(next).told_to_accept);
    assert_eq!(handle(&mut world, Event::Accepting(next)), [Action::Terminate(next, false)]);
    assert_eq!(handle(&mut world, Event::Exited(next)), [Action::StopListening, Action::Exit]);
}

/// Guards clients against a program that stays down: they are let in only if a process is to accept them within the time that a
/// request has, and again with the next start.
#[test]
fn who_would_wait_in_vain_is_not_let_in() {
    let (mut world, id) = World::in_service();
    let mut dead = id;
    let mut waits = Vec::new();
    for _ in 0..9 {
        world.processes.clear();
        let died = world.now;
        let told = world.machine.handle(world.now, Event::Exited(dead));
        let is_refused = told.contains(&Action::StopListening);
        while world.machine.candidate().is_none() {
            world.wait(ms(10));
        }
        waits.push((world.now - died, is_refused));
        dead = world.machine.candidate().unwrap().id;
    }
    for (wait, is_refused) in &waits {
        assert_eq!(*is_refused, *wait >= settings().max_client_wait, "{waits:?}");
    }
    assert!(waits.iter().any(|(_, is_refused)| *is_refused) && !waits[0].1, "{waits:?}");
}

/// Guards the end itself: one try is made for clients that wait, and a second signal does not wait for it.
#[test]
fn waiting_clients_do_not_hold_up_the_end() {
    let down = || {
        let (mut world, id) = World::in_service();
        world.processes.clear();
        world.happens(Event::Exited(id));
        world.happens(END_BEFORE_CLIENTS);
        let next = world.machine.candidate().expect("one for those who wait").id;
        (world, next)
    };
    let (mut world, next) = down();
    assert_eq!(handle(&mut world, Event::Exited(next)), [Action::StopListening, Action::Exit]);
    let (mut world, next) = down();
    let told = handle(&mut world, Event::Failed(next, "so".into()));
    assert!(
        matches!(&told[..], [Action::Log(_), Action::Kill(id), Action::StopListening] if *id == next),
        "{told:?}"
    );
    assert_eq!(handle(&mut world, Event::Exited(next)), [Action::Exit]);
    let (mut world, next) = down();
    assert_eq!(handle(&mut world, END_BEFORE_CLIENTS), [Action::Kill(next), Action::StopListening]);
    assert_eq!(handle(&mut world, Event::Exited(next)), [Action::Exit]);
}
