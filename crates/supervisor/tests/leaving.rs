//! The decisions over a process that ends without having been told to by its supervisor.

mod world;

use maplehook_supervisor::interface::{Action, Event, LEAVING_ACCEPT_PERIOD};
use world::{END, END_BEFORE_CLIENTS, World, ms, settings};

/// A world whose only process leaves.
fn leaving() -> (World, u64) {
    let (mut world, id) = World::in_service();
    world.happens(Event::Leaving(id));
    (world, id)
}

/// Brings the process that was started in its place to accept.
fn replace(world: &mut World) -> u64 {
    world.wait(settings().initial_backoff);
    let next = world.machine.candidate().expect("another one is started").id;
    world.accepts(next);
    next
}

/// Guards clients while such a process drains: another one is started at once, and not only after its exit.
#[test]
fn another_process_is_started_while_the_old_one_drains() {
    let (mut world, old) = leaving();
    // Reporting it again, or of a process that does not serve, changes nothing.
    world.happens(Event::Leaving(old));
    assert_eq!(world.memory.crash_counts.values().sum::<u32>(), 1);
    let next = replace(&mut world);
    assert_eq!(world.machine.serving().unwrap().id, next);
    assert_eq!(world.machine.terminating().iter().map(|process| process.id).collect::<Vec<_>>(), [old]);
    assert!(!world.one(old).told_to_end, "it ends by itself");
    // It has its grace from when it left.
    world.wait(settings().termination_grace);
    assert!(world.one(old).told_to_end);
    world.processes.remove(&old);
    world.happens(Event::Exited(old));
    assert_eq!(world.memory.crash_counts.values().sum::<u32>(), 1, "its exit is no second failure");
}

/// Guards the end of both at once: as long as the process that leaves accepts, it is the last one.
#[test]
fn a_process_that_leaves_accepts_the_last_clients() {
    for end in [END, END_BEFORE_CLIENTS] {
        let (mut world, id) = leaving();
        world.wait(LEAVING_ACCEPT_PERIOD.mul_f64(0.2));
        assert_eq!(world.machine.handle(world.now, end), [Action::Terminate(id, false)]);
        assert_eq!(world.machine.handle(world.now, END), []);
        let told = world.machine.handle(world.now, Event::Exited(id));
        assert_eq!(told, [Action::StopListening, Action::Exit]);
    }
}

/// Guards the process in its place, which is the last one to accept, against a second signal.
#[test]
fn a_second_signal_leaves_the_last_clients_to_the_process_that_came_after_it() {
    let (mut world, old) = leaving();
    let next = replace(&mut world);
    assert_eq!(world.machine.handle(world.now, END), [Action::Terminate(next, false)]);
    assert_eq!(world.machine.handle(world.now, END), []);
    world.machine.handle(world.now, Event::Exited(old));
    let told = world.machine.handle(world.now, Event::Exited(next));
    assert_eq!(told, [Action::StopListening, Action::Exit]);
}

/// Guards clients that come later: it accepts nobody any more, and a process is started for them.
#[test]
fn a_process_that_has_left_accepts_nobody() {
    let (mut world, id) = leaving();
    let next = world.machine.candidate().map(|candidate| candidate.id);
    assert_eq!(next, None, "it is not started at once");
    world.now += LEAVING_ACCEPT_PERIOD + ms(1);
    world.happens(END_BEFORE_CLIENTS);
    let next = world.machine.candidate().expect("one for those who wait").id;
    world.happens(Event::Ready(next));
    world.happens(Event::TrialPassed(next));
    assert_eq!(world.machine.handle(world.now, Event::Accepting(next)), [Action::Terminate(next, false)]);
    let told = world.machine.handle(world.now, Event::Exited(next));
    assert_eq!(told, [Action::NotifySibling(id, false), Action::StopListening]);
    assert_eq!(world.machine.handle(world.now, Event::Exited(id)), [Action::Exit]);
}
