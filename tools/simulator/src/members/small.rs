//! Three balancers, and every order of what may befall them: the real modules, explored by [`crate::rules::explore`].
//!
//! Each move is a fault, the end of one, or time. After the last one everything heals, and all have to see one another
//! again; on the way a name's start never falls within what one process sees, and one that was stopped for a while does not
//! take its own silence for that of others.

use super::World;
use crate::rules::Game;
use maplehook_cluster::{MemberState, MembershipEvent};
use std::collections::BTreeMap;
use std::time::Duration;

const MEMBERS: usize = 3;
/// What passes with a move.
const STEP: Duration = Duration::from_millis(700);
/// What passes with the move that is time.
const LONG: Duration = Duration::from_secs(4);
/// What passes while somebody stands still: longer than a suspicion may last.
const STOPPED: Duration = Duration::from_secs(9);
/// How long everything may take to see one another again.
const HEALS: Duration = Duration::from_secs(20);
/// How soon somebody who was stopped must not speak of deaths.
const AWAKE: Duration = Duration::from_millis(400);

/// A planted flaw, in the host of the modules.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flaw {
    /// A start gets a lower number than the one before.
    StartFalls,
    /// After a stop time is caught up in small steps, and what came is read afterwards.
    StopUnnoticed,
    /// Nobody is told that others take it for dead.
    DeadUntold,
}

impl Flaw {
    /// All of them.
    pub const ALL: [Self; 3] = [Self::StartFalls, Self::StopUnnoticed, Self::DeadUntold];
}

#[derive(Clone, Copy, Debug)]
enum Move {
    Kill(usize),
    Start(usize),
    Stop(usize),
    GoOn(usize),
    Cut(usize, usize),
    Heal,
    Time,
}

/// The game.
pub struct Three {
    world: World,
    played: usize,
    longest: usize,
    down: [bool; MEMBERS],
    stopped: [bool; MEMBERS],
    /// A way was cut at some time: others may rightly have told of a death.
    was_cut: bool,
    /// Since when each stands still that does.
    still: [Duration; MEMBERS],
    /// Who went on: since when it had stood still, and when that ended.
    awake: BTreeMap<usize, (Duration, Duration)>,
    seen: usize,
    starts: BTreeMap<(usize, u32, String), u64>,
}

impl Three {
    /// Three who know one another, for so many moves.
    pub fn new(flaw: Option<Flaw>, longest: usize) -> Self {
        let mut world = World::new(MEMBERS, 5);
        world.flaw = flaw;
        (0..MEMBERS).for_each(|n| world.start(n, true));
        world.play(Duration::from_secs(3));
        Self {
            world,
            played: 0,
            longest,
            down: [false; MEMBERS],
            stopped: [false; MEMBERS],
            was_cut: false,
            still: [Duration::ZERO; MEMBERS],
            awake: BTreeMap::new(),
            seen: 0,
            starts: BTreeMap::new(),
        }
    }

    fn open(&self) -> Vec<Move> {
        let mut moves = vec![Move::Time];
        for n in 0..MEMBERS {
            match (self.down[n], self.stopped[n]) {
                (true, _) => moves.push(Move::Start(n)),
                (false, true) => moves.push(Move::GoOn(n)),
                // What befalls one may befall each: the first two stand for all.
                (false, false) if n < 2 => moves.extend([Move::Kill(n), Move::Stop(n)]),
                (false, false) => {}
            }
        }
        if self.world.ways.cut.is_empty() {
            moves.extend([Move::Cut(0, 1), Move::Cut(1, 0), Move::Cut(0, 2)]);
        } else {
            moves.push(Move::Heal);
        }
        moves
    }

    fn judge(&mut self) -> Result<(), String> {
        for said in &self.world.events[self.seen..] {
            match &said.event {
                MembershipEvent::MemberUp(name, start) => {
                    let before = self.starts.entry((said.by, said.process, name.to_string())).or_default();
                    if *start < *before {
                        return Err(format!("{name} falls from start {before} to {start}"));
                    }
                    *before = *start;
                }
                MembershipEvent::MemberDown(name, start, MemberState::Dead) => {
                    let awake = self.awake.get(&said.by);
                    let lives = (0..MEMBERS).any(|n| {
                        let own = self.world.tier(n).map(|tier| tier.identity().generation);
                        // It may have come back from its death meanwhile.
                        let same = own.is_some_and(|own| (*start..start + 100).contains(&own));
                        self.world.name(n) == name && same && !self.stopped[n]
                    }) && !self.was_cut;
                    // Whatever time a host gives out for it, it was said on waking up.
                    if lives && awake.is_some_and(|(from, to)| said.at >= *from && said.at < *to + AWAKE) {
                        return Err(format!("b{} wakes up and takes {name} for dead", said.by));
                    }
                }
                _ => {}
            }
        }
        self.seen = self.world.events.len();
        Ok(())
    }

    fn end(&mut self) -> Result<(), String> {
        for n in 0..MEMBERS {
            if std::mem::take(&mut self.down[n]) {
                self.world.start(n, true);
            }
            if std::mem::take(&mut self.stopped[n]) {
                self.world.go_on(n);
            }
        }
        self.world.heal();
        match self.world.until(HEALS, World::agrees) {
            Some(_) => self.judge(),
            None => {
                Err(format!("they do not see one another again: {}", super::storm::disagreement(&self.world)))
            }
        }
    }
}

impl Game for Three {
    fn moves(&self) -> usize {
        self.open().len()
    }

    fn name(&self, number: usize) -> String {
        format!("{:?}", self.open()[number])
    }

    fn play(&mut self, number: usize) -> Result<(), String> {
        let mut step = STEP;
        let chosen = self.open()[number];
        let world = &mut self.world;
        match chosen {
            Move::Kill(n) => {
                world.kill(n);
                self.down[n] = true;
            }
            Move::Start(n) => {
                world.start(n, true);
                self.down[n] = false;
            }
            Move::Stop(n) => {
                world.stop(n);
                (self.stopped[n], self.still[n]) = (true, world.now);
                step = STOPPED;
            }
            Move::GoOn(n) => {
                self.awake.insert(n, (self.still[n], world.now));
                world.go_on(n);
                self.stopped[n] = false;
            }
            Move::Cut(from, to) => {
                self.was_cut = true;
                world.cut(&[from], &[to], false);
            }
            Move::Heal => world.heal(),
            Move::Time => step = LONG,
        }
        self.world.play(self.world.now + step);
        self.played += 1;
        self.judge()?;
        if self.played == self.longest { self.end() } else { Ok(()) }
    }
}
