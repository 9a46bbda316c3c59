//! The rules, explored exhaustively: every order of events up to a length, against the real modules.
//!
//! A [`Game`] offers moves (what peers, clients, lists and time may do next), plays one and says when a rule is broken.
//! [`explore`] plays all sequences of moves, each from a fresh start, since the modules can't be copied. That it finds
//! what it is for is shown by mutants: policies and ledgers with a planted flaw, each of which has to be caught.

pub mod decisions;
pub mod ledger;

use decisions::{Flaw, Small};
use maplehook_core::{DedupGroup, Effect};
use std::fmt::Write;
use std::time::Duration;

/// Something that is explored.
pub trait Game {
    /// How many moves there are now. None: it is over.
    fn moves(&self) -> usize;
    /// What a move is called.
    fn name(&self, number: usize) -> String;
    /// Plays a move; an error names the rule that is broken.
    fn play(&mut self, number: usize) -> Result<(), String>;
}

/// What an exploration has seen.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Explored {
    /// Sequences played to their end.
    pub paths: u64,
    /// Moves played, over all of them.
    pub moves: u64,
    /// The first broken sequence: its moves, and the rule.
    pub broken: Option<(Vec<String>, String)>,
}

/// Plays all sequences of at most so many moves, the short ones within the long ones; ends at the first that breaks a
/// rule.
pub fn explore<G: Game>(start: &dyn Fn() -> G, longest: usize) -> Explored {
    let mut seen = Explored::default();
    // The move taken at each depth; the next sequence differs in the last one that can still change.
    let mut path: Vec<usize> = Vec::new();
    loop {
        let mut game = start();
        let mut names = Vec::new();
        let mut widths = Vec::new();
        for depth in 0..longest {
            let width = game.moves();
            if width == 0 {
                break;
            }
            if depth == path.len() {
                path.push(0);
            }
            widths.push(width);
            seen.moves += 1;
            let name = game.name(path[depth]);
            if let Err(rule) = game.play(path[depth]) {
                names.push(name);
                seen.broken = Some((names, rule));
                return seen;
            }
            names.push(name);
        }
        seen.paths += 1;
        path.truncate(widths.len());
        while let Some(last) = path.last_mut() {
            *last += 1;
            if *last < widths[path.len() - 1] {
                break;
            }
            path.pop();
        }
        if path.is_empty() {
            return seen;
        }
    }
}

/// The classes that are explored.
pub fn effects() -> [(&'static str, Effect); 3] {
    let ttl = Duration::from_millis(300);
    [
        ("at most once", Effect::AtMostOnce),
        ("keyed by zone", Effect::Deduplicated { group: DedupGroup::Zone, ttl }),
        ("idempotent", Effect::Idempotent),
    ]
}

/// Explores everything, mutants included; tells what was seen, and whether it is as it has to be.
pub fn explore_all() -> (String, bool) {
    let (mut text, mut sound) = (String::new(), true);
    let mut row = |what: &str, seen: &Explored, expected: bool| {
        let found = seen.broken.is_some();
        sound &= found == expected;
        let verdict = match (&seen.broken, expected) {
            (None, false) => "no rule broken".to_owned(),
            (Some((path, rule)), true) => format!("caught: {rule}, by {}", path.join("; ")),
            (Some((path, rule)), false) => format!("BROKEN: {rule}, by {}", path.join("; ")),
            (None, true) => "NOT CAUGHT".to_owned(),
        };
        let _ = writeln!(text, "{what:<44} {:>9} sequences {:>10} moves  {verdict}", seen.paths, seen.moves);
    };
    for (name, effect) in effects() {
        let seen = explore(&|| Small::new(effect, None), 7);
        row(&format!("decisions, {name}"), &seen, false);
    }
    for flaw in Flaw::ALL {
        let seen = explore(&|| Small::new(Effect::AtMostOnce, Some(flaw)), 6);
        row(&format!("decisions with a flaw: {flaw:?}"), &seen, true);
    }
    row("ledger", &explore(&|| ledger::Host::new(None), 8), false);
    for flaw in ledger::Flaw::ALL {
        row(&format!("ledger with a flaw: {flaw:?}"), &explore(&|| ledger::Host::new(Some(flaw)), 8), true);
    }
    (text, sound)
}
