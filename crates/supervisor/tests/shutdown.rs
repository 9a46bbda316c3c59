//! The decisions at the end of the whole balancer: who accepts to the last, and when nobody listens any more.

mod world;

use maplehook_supervisor::interface::{Action, Event};
use std::time::Duration;
use world::{World, ms, program, settings};

/// A world in which one process serves.
fn serving() -> (World, u64) {
    let mut world = World::new(7);
    world.behave(|_| false);
    let id = world.machine.serving().unwrap().id;
    (world, id)
}

fn handle(world: &mut World, event: Event) -> Vec<Action> {
    world.machine.handle(world.now, event)
}

/// Guards clients at the planned end: they are let in as long as the process that is told of the end may accept, and not after its
/// death, whatever else still drains.
#[test]
fn listening_ends_with_the_last_process_that_accepts() {
    let (mut world, old) = serving();
    world.happens(Event::ProgramRequested(program(1)));
    let new = world.machine.candidate().unwrap().id;
    for event in [Event::Ready(new), Event::TrialPassed(new), Event::Accepting(new)] {
        world.happens(event);
    }
    let actions = handle(&mut world, Event::Shutdown);
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
    let (mut world, id) = serving();
    assert_eq!(handle(&mut world, Event::Shutdown), [Action::Terminate(id, false)]);
    let due = world.machine.next_deadline(world.now).unwrap();
    assert!(due - world.now < settings().termination_grace, "{due:?}");
    // Longer than a balancer accepts by itself.
    assert!(due - world.now > Duration::from_secs(1), "{due:?}");
    world.now = due;
    assert_eq!(handle(&mut world, Event::Tick), [Action::StopListening]);
    world.now += ms(1);
    // A second signal changes nothing.
    assert_eq!(handle(&mut world, Event::Shutdown), []);
    assert_eq!(handle(&mut world, Event::Exited(id)), [Action::Exit]);
}

/// Guards against a supervisor that listens on while there is nobody to serve.
#[test]
fn nobody_listens_where_nobody_serves() {
    let mut world = World::new(7);
    let id = world.machine.candidate().unwrap().id;
    assert_eq!(handle(&mut world, Event::Shutdown), [Action::Kill(id), Action::StopListening]);
}
