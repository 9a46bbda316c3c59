//! Every order of events over three balancers and two stages: the state machine as it is, an agreed document that is put by
//! compare-and-set, and what may go wrong between them.
//!
//! Agreement is taken for what it makes of itself: a put is one entry of a log, and needs a majority. Worlds that can't be told
//! apart from here on are gone on with once: balancers of the same stage may change places, and steps are known by their order.

mod acts;
mod machine;
mod world;

use acts::{Faults, Truth};
use machine::{Docs, Flaw};
use rustc_hash::FxHashMap;
use std::collections::VecDeque;
use world::World;

/// What was found.
#[derive(Debug, Default)]
struct Seen {
    worlds: usize,
    moves: usize,
    ends: usize,
}

struct Graph {
    worlds: Vec<World>,
    known: FxHashMap<Vec<u8>, u32>,
    /// How each was first come to.
    from: Vec<(u32, String)>,
    /// Moves that are no fault, backwards.
    calm: Vec<(u32, u32)>,
}

impl Graph {
    fn path(&self, mut at: u32) -> String {
        let mut path = Vec::new();
        while self.from[at as usize].0 != at {
            path.push(self.from[at as usize].1.as_str());
            at = self.from[at as usize].0;
        }
        path.reverse();
        path.join(", ")
    }

    /// From each world an end can be come to with no more faults. There are finitely many worlds, so that whoever is fair to all
    /// moves comes to one.
    fn ends(&self, docs: &Docs) -> Result<usize, String> {
        let mut before: Vec<Vec<u32>> = vec![Vec::new(); self.worlds.len()];
        self.calm.iter().for_each(|(from, to)| before[*to as usize].push(*from));
        let is_end = |at: &u32| self.worlds[*at as usize].is_end(docs);
        let mut reached: Vec<bool> = vec![false; self.worlds.len()];
        let mut queue: VecDeque<u32> = (0..self.worlds.len() as u32).filter(is_end).collect();
        let ends = queue.len();
        queue.iter().for_each(|at| reached[*at as usize] = true);
        while let Some(at) = queue.pop_front() {
            for from in &before[at as usize] {
                if !std::mem::replace(&mut reached[*from as usize], true) {
                    queue.push_back(*from);
                }
            }
        }
        match reached.iter().position(|reached| !reached) {
            Some(at) => {
                Err(format!("no end: {}: {}", self.path(at as u32), docs.words(self.worlds[at].doc())))
            }
            None => Ok(ends),
        }
    }
}

/// All orders of events; an error tells what broke, and by which moves.
fn explore(flaw: Option<Flaw>, truth: Truth, go_back: bool, faults: Faults) -> Result<Seen, String> {
    let mut docs = Docs::new(flaw, go_back);
    let first = World::new(truth, faults);
    let mut graph = Graph {
        known: FxHashMap::from_iter([(first.key(&docs), 0)]),
        worlds: vec![first],
        from: vec![(0, String::new())],
        calm: Vec::new(),
    };
    let (mut at, mut moves) = (0, 0);
    while at < graph.worlds.len() {
        let world = graph.worlds[at];
        for act in world.acts(&docs) {
            let next =
                world.step(act, &mut docs).map_err(|e| format!("{}, {act:?}: {e}", graph.path(at as u32)))?;
            let Some(next) = next else { continue };
            moves += 1;
            let fresh = graph.worlds.len() as u32;
            let to = *graph.known.entry(next.key(&docs)).or_insert(fresh);
            if to == fresh {
                graph.worlds.push(next);
                graph.from.push((at as u32, format!("{act:?}")));
            }
            if !act.is_fault() {
                graph.calm.push((at as u32, to));
            }
        }
        at += 1;
    }
    let ends = graph.ends(&docs)?;
    Ok(Seen { worlds: graph.worlds.len(), moves, ends })
}

/// Crashes, a cut, and who leads.
const TIER: Faults = Faults { holds: 0, shared: 0, ..Faults::ALL };
/// A cut, and what operators and upstreams do meanwhile.
const PEOPLE: Faults = Faults { crashes: 0, leaders: 0, ..Faults::ALL };

#[track_caller]
fn holds(truth: Truth, faults: Faults, worlds: usize) {
    // Those that are cut off go back, or stay.
    let both = std::thread::scope(|scope| {
        [true, false]
            .map(|go_back| scope.spawn(move || explore(None, truth, go_back, faults)))
            .map(|one| one.join())
    });
    for seen in both {
        let seen = seen.unwrap().unwrap();
        let whole = seen.worlds >= worlds && seen.moves > seen.worlds && seen.ends > 0;
        assert!(whole, "{seen:?}: was all of it explored?");
    }
}

#[test]
fn a_good_change_whatever_befalls_the_tier() {
    holds(Truth::Good, TIER, 190_000);
}

#[test]
fn one_that_does_harm_at_once_whatever_befalls_the_tier() {
    holds(Truth::BadFirst, TIER, 50_000);
}

#[test]
fn one_that_does_harm_later_whatever_befalls_the_tier() {
    holds(Truth::BadLater, TIER, 170_000);
}

#[test]
fn a_good_change_whatever_people_and_upstreams_do() {
    holds(Truth::Good, PEOPLE, 40_000);
}

#[test]
fn one_that_does_harm_at_once_whatever_people_and_upstreams_do() {
    holds(Truth::BadFirst, PEOPLE, 12_000);
}

#[test]
fn one_that_does_harm_later_whatever_people_and_upstreams_do() {
    holds(Truth::BadLater, PEOPLE, 40_000);
}

const NONE: Faults = Faults { crashes: 0, cuts: 0, leaders: 0, undos: 0, holds: 0, shared: 0 };

#[track_caller]
fn found(flaw: Flaw, truth: Truth, faults: Faults, claim: &str) {
    let wrong = explore(Some(flaw), truth, true, faults).expect_err("it is broken");
    assert!(wrong.contains(claim), "{wrong}");
    explore(None, truth, true, faults).expect("it is not broken");
}

#[test]
fn a_verdict_of_another_time_is_found() {
    found(Flaw::LateVerdict, Truth::Good, Faults { holds: 1, ..NONE }, "a verdict of another time");
}

#[test]
fn a_put_that_overwrites_is_found() {
    found(Flaw::PutsUnseen, Truth::Good, Faults { undos: 1, ..NONE }, "a verdict of another time");
}

#[test]
fn a_side_without_a_majority_that_puts_is_found() {
    found(Flaw::PutsAlone, Truth::Good, Faults { cuts: 1, ..NONE }, "without a majority");
}

#[test]
fn a_stage_left_before_it_is_changed_is_found() {
    found(Flaw::Unplaced, Truth::BadLater, NONE, "a bad change is done");
}

#[test]
fn a_verdict_on_what_is_not_changed_yet_is_found() {
    found(Flaw::JudgesTooSoon, Truth::BadLater, NONE, "a bad change is done");
}

#[test]
fn reports_taken_for_the_other_side_are_found() {
    found(Flaw::OtherSides, Truth::BadFirst, Faults { cuts: 1, ..NONE }, "harm goes past its stage");
}

#[test]
fn words_that_count_whatever_was_heard_are_found() {
    found(Flaw::Unheard, Truth::Good, Faults { undos: 1, ..NONE }, "undone, and one acts on the change");
}

#[test]
fn an_undoing_that_forgets_who_was_asked_is_found() {
    found(Flaw::Forgets, Truth::Good, Faults { undos: 1, ..NONE }, "undone, and one acts on the change");
}

#[test]
fn a_word_before_the_deed_is_found() {
    found(Flaw::SaysTooSoon, Truth::Good, Faults { undos: 1, ..NONE }, "undone, and one acts on the change");
}

#[test]
fn one_that_was_cut_off_and_never_goes_back_is_found() {
    found(Flaw::StaysChanged, Truth::Good, Faults { cuts: 1, undos: 1, ..NONE }, "no end");
}

#[test]
fn what_is_forgotten_by_a_crash_is_found() {
    found(Flaw::DiskBehind, Truth::Good, Faults { crashes: 1, undos: 1, ..NONE }, "one acts on the change");
}
