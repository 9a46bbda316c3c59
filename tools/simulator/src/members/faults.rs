//! Single faults, and what they cost: the table of the operators' page.

use super::{World, settled};
use maplehook_cluster::{MemberState, MembershipEvent};
use std::fmt::Write;
use std::time::Duration;

/// One fault's figures.
#[derive(Clone, Debug, Default)]
pub struct Row {
    /// The fault.
    pub fault: &'static str,
    /// Until all whom it concerns saw it.
    pub seen: Option<Duration>,
    /// Deaths announced of members that ran and could be reached.
    pub false_deaths: usize,
    /// Until all saw one another again after it had ended.
    pub converged: Option<Duration>,
    /// What a balancer spent a second from the fault on: bytes, and microseconds of this machine.
    pub spent: (f64, f64),
}

/// What was spent until a moment.
#[derive(Clone, Copy)]
struct Mark(Duration, u64, Duration);

impl Mark {
    fn of(world: &World) -> Self {
        Self(world.now, world.counted.bytes, world.counted.spent)
    }

    fn to(self, world: &World) -> (f64, f64) {
        let each = (world.now - self.0).as_secs_f64().max(0.001) * world.len() as f64;
        let spent = world.counted.spent - self.2;
        ((world.counted.bytes - self.1) as f64 / each, spent.as_secs_f64() * 1e6 / each)
    }
}

const MOST: Duration = Duration::from_secs(90);

fn all_hold(world: &World, who: &[usize], of: &[usize], state: MemberState) -> bool {
    who.iter().all(|n| of.iter().all(|other| n == other || world.holds(*n, *other) == Some(state)))
}

fn deaths(world: &World, since: Duration, of: impl Fn(usize) -> bool) -> usize {
    let dead = |event: &MembershipEvent| match event {
        MembershipEvent::MemberDown(name, _, MemberState::Dead) => {
            name.as_str()[1..].parse::<usize>().is_ok_and(&of)
        }
        _ => false,
    };
    world.events.iter().filter(|said| said.at >= since && dead(&said.event)).count()
}

/// Waits until all see one another again: the fault's figures, from the mark on.
fn healed(
    world: &mut World,
    mark: Mark,
    fault: &'static str,
    seen: Option<Duration>,
    false_deaths: impl Fn(&World) -> usize,
) -> Row {
    let converged = world.until(MOST, World::agrees);
    Row { fault, seen, false_deaths: false_deaths(world), converged, spent: mark.to(world) }
}

/// Plays each fault once, in a world of so many.
pub fn table(members: usize, seed: u64) -> Vec<Row> {
    let all: Vec<usize> = (0..members).collect();
    let half: Vec<usize> = (0..members / 2).collect();
    let rest: Vec<usize> = (members / 2..members).collect();
    let others: Vec<usize> = (1..members).collect();
    let mut rows = Vec::new();

    let mut world = settled(members, seed);
    let mark = Mark::of(&world);
    world.kill(0);
    let seen = world.until(MOST, |w| all_hold(w, &others, &[0], MemberState::Dead));
    world.start(0, true);
    rows.push(healed(&mut world, mark, "one killed, and back", seen, |w| deaths(w, mark.0, |n| n != 0)));

    let mut world = settled(members, seed + 1);
    let mark = Mark::of(&world);
    world.leave(0);
    let seen = world.until(MOST, |w| all_hold(w, &others, &[0], MemberState::Left));
    world.start(0, true);
    rows.push(healed(&mut world, mark, "one leaves, and is back", seen, |w| deaths(w, mark.0, |n| n != 0)));

    let mut world = settled(members, seed + 2);
    let mark = Mark::of(&world);
    half.iter().for_each(|n| world.kill(*n));
    let seen = world.until(MOST, |w| all_hold(w, &rest, &half, MemberState::Dead));
    half.iter().for_each(|n| world.start(*n, true));
    rows.push(healed(&mut world, mark, "half killed at once, and back", seen, |w| {
        deaths(w, mark.0, |n| n >= members / 2)
    }));

    let mut world = settled(members, seed + 3);
    let mark = Mark::of(&world);
    world.stop(0);
    world.play(world.now + Duration::from_secs(10));
    let seen = all_hold(&world, &others, &[0], MemberState::Dead).then_some(Duration::from_secs(10));
    world.go_on(0);
    rows.push(healed(&mut world, mark, "one stopped for 10 s", seen, |w| deaths(w, mark.0, |n| n != 0)));

    let mut world = settled(members, seed + 4);
    let mark = Mark::of(&world);
    world.stop(0);
    world.play(world.now + Duration::from_secs(3));
    world.go_on(0);
    rows.push(healed(&mut world, mark, "one stopped for 3 s", None, |w| deaths(w, mark.0, |n| n != 0)));

    let mut world = settled(members, seed + 5);
    let mark = Mark::of(&world);
    world.cut(&half, &rest, true);
    let seen = world.until(MOST, |w| {
        all_hold(w, &half, &rest, MemberState::Dead) && all_hold(w, &rest, &half, MemberState::Dead)
    });
    world.heal();
    rows.push(healed(&mut world, mark, "cut in two halves", seen, |_| 0));

    let mut world = settled(members, seed + 6);
    let mark = Mark::of(&world);
    world.cut(&[0], &[1], false);
    world.play(world.now + Duration::from_secs(30));
    let false_deaths = deaths(&world, mark.0, |_| true);
    world.heal();
    rows.push(healed(&mut world, mark, "one way from one to another cut, 30 s", None, |_| false_deaths));

    let mut world = settled(members, seed + 7);
    let mark = Mark::of(&world);
    world.cut(&half[..1], &rest, true);
    world.play(world.now + Duration::from_secs(30));
    let false_deaths = deaths(&world, mark.0, |_| true);
    world.heal();
    rows.push(healed(&mut world, mark, "one cut from half of the others, 30 s", None, |_| false_deaths));

    let mut world = settled(members, seed + 8);
    let mark = Mark::of(&world);
    (world.ways.loss, world.ways.twice) = (0.3, 0.2);
    world.ways.delay.1 = Duration::from_millis(80);
    world.play(world.now + Duration::from_secs(30));
    let false_deaths = deaths(&world, mark.0, |_| true);
    world.heal();
    rows.push(healed(&mut world, mark, "30 % lost, 20 % twice, reordered, 30 s", None, |_| false_deaths));

    let mut world = World::new(members, seed + 9);
    let mark = Mark::of(&world);
    half.iter().for_each(|n| world.start(*n, true));
    world.play(Duration::from_secs(30));
    let at = world.now;
    rest.iter().for_each(|n| world.start(*n, true));
    let row = healed(&mut world, mark, "twice as many within a moment", None, |w| deaths(w, at, |_| true));
    rows.push(Row { seen: row.converged, ..row });

    let mut world = World::new(members, seed + 10);
    let mark = Mark::of(&world);
    all.iter().for_each(|n| world.start(*n, true));
    let row = healed(&mut world, mark, "all start at once", None, |_| 0);
    rows.push(Row { seen: row.converged, ..row });
    rows
}

/// What it costs a balancer when nothing happens: datagrams and bytes a second, and microseconds of this machine's time in
/// the balancer's own code a second.
pub fn cost(members: usize, seed: u64) -> (f64, f64, f64) {
    let mut world = settled(members, seed);
    // The news of all the starts goes round for a while after all have heard it.
    let until = world.now + Duration::from_secs(900);
    loop {
        let before = world.counted.datagrams;
        world.play(world.now + Duration::from_secs(5));
        let each = (world.counted.datagrams - before) as f64 / (5.0 * members as f64);
        if each < 5.0 || world.now > until {
            break;
        }
    }
    let (datagrams, bytes) = (world.counted.datagrams, world.counted.bytes);
    let spent = world.counted.spent;
    world.play(world.now + Duration::from_secs(20));
    let each = 20.0 * members as f64;
    (
        (world.counted.datagrams - datagrams) as f64 / each,
        (world.counted.bytes - bytes) as f64 / each,
        (world.counted.spent - spent).as_secs_f64() * 1e6 / each,
    )
}

/// The table as Markdown.
pub fn markdown(members: usize, rows: &[Row]) -> String {
    let mut text = format!(
        "| {members} balancers | all see it | false deaths | all see one another again | bytes a second | us a second |\n\
         | --- | --- | --- | --- | --- | --- |\n"
    );
    let time =
        |time: Option<Duration>| time.map_or("-".to_owned(), |time| format!("{:.1} s", time.as_secs_f64()));
    for row in rows {
        // Writing to a string can't fail.
        let _ = writeln!(
            text,
            "| {} | {} | {} | {} | {:.0} | {:.0} |",
            row.fault,
            time(row.seen),
            row.false_deaths,
            time(row.converged),
            row.spent.0,
            row.spent.1
        );
    }
    text
}
