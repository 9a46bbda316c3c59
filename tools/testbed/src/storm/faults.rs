//! Faults as they are done to a world, and undone.

use crate::balancer::Keeps;
use crate::check::name;
use crate::history::What;
use crate::nemesis::{After, Fault, Line, Timed};
use crate::relay::Trouble;
use crate::world::World;
use std::time::{Duration, Instant};

/// The first so many vote.
const VOTERS: usize = 3;

/// Does what the time line says, and undoes it.
pub(super) fn drive(world: &World, line: &Line, agrees: bool) -> Result<(), String> {
    let begun = Instant::now();
    // What begins and what ends, by time; of one moment ends come first.
    let mut agenda: Vec<(u64, bool, &Timed)> = Vec::new();
    for timed in &line.faults {
        agenda.push((timed.at_ms, true, timed));
        agenda.push((timed.at_ms + timed.for_ms, false, timed));
    }
    agenda.sort_by_key(|(at, begins, _)| (*at, *begins));
    for (at, begins, timed) in agenda {
        if let Some(wait) = Duration::from_millis(at).checked_sub(begun.elapsed()) {
            std::thread::sleep(wait);
        }
        let word = if begins { "begins" } else { "ends" };
        world.history.note(What::Fault { said: format!("{word}: {:?}", timed.fault) });
        let spared = agrees.then(|| spare_voters(&timed.fault));
        let fault = spared.as_ref().unwrap_or(&timed.fault);
        if begins { begin(world, fault) } else { end(world, fault) }?;
    }
    world.heal_ways();
    Ok(())
}

/// A voter that loses its log votes no more, by design: two of three that do end all changes. Those are not what a storm is for.
fn spare_voters(fault: &Fault) -> Fault {
    let mut fault = fault.clone();
    match &mut fault {
        Fault::Unwritable { balancers } => balancers.retain(|n| *n > VOTERS),
        Fault::Kill { balancers, after } | Fault::Term { balancers, after }
            if *after == After::Nothing && balancers.iter().any(|n| *n <= VOTERS) =>
        {
            *after = After::State;
        }
        _ => {}
    }
    fault
}

fn numbers(of: &[usize]) -> Vec<usize> {
    of.iter().map(|n| n - 1).collect()
}

fn begin(world: &World, fault: &Fault) -> Result<(), String> {
    let ms = Duration::from_millis;
    match fault {
        Fault::Kill { balancers, .. } => numbers(balancers).iter().for_each(|n| world.kill(*n)),
        Fault::Term { balancers, .. } => numbers(balancers).iter().for_each(|n| world.term(*n)),
        Fault::Stop { balancers } => numbers(balancers).iter().for_each(|n| world.stop(*n)),
        Fault::Cut { from, to, both } => cut(world, from, to, *both, true),
        Fault::Loss { share, twice } => world.everywhere(|t| (t.loss, t.twice) = (*share, *twice)),
        Fault::Delay { least_ms, most_ms } => {
            world.everywhere(|trouble| trouble.delay = (ms(*least_ms), ms(*most_ms)));
        }
        Fault::Slow { bytes_per_s } => world.everywhere(|trouble| trouble.slow = *bytes_per_s),
        Fault::Refuse { from, to } => {
            world.between(&numbers(from), &numbers(to), |trouble| trouble.refuse = true);
        }
        Fault::Reset => world.reset(),
        Fault::Undiscovered { balancers } => {
            numbers(balancers).iter().for_each(|n| world.to_discovery(*n).set(|t| t.silent = true));
        }
        Fault::Upstream { upstream, delay_ms } => {
            for way in world.to_upstream(upstream - 1) {
                way.set(|trouble| trouble.delay = (Duration::ZERO, ms(*delay_ms)));
            }
        }
        Fault::Unwritable { balancers } => {
            for n in numbers(balancers) {
                let state = world.balancer(n).state();
                // A file where the directory should be: nothing can be written there, whoever we are.
                let moved =
                    std::fs::remove_dir_all(&state).and_then(|()| std::fs::write(&state, "no directory"));
                drop(moved);
            }
        }
        Fault::Full { balancers } => {
            for n in numbers(balancers) {
                let state = world.balancer(n).state();
                // Each write through it fails as on a disk without room. Where the directory is no directory it can't be written either.
                let full = std::fs::create_dir_all(&state)
                    .and_then(|()| std::os::unix::fs::symlink("/dev/full", state.join("start.new")));
                drop(full);
            }
        }
        Fault::Drain { upstream } => world.drain(upstream - 1),
    }
    Ok(())
}

fn cut(world: &World, from: &[usize], to: &[usize], both: bool, silent: bool) {
    let (from, to) = (numbers(from), numbers(to));
    let change = |trouble: &mut Trouble| trouble.silent = silent;
    world.between(&from, &to, change);
    if both {
        world.between(&to, &from, change);
    }
}

fn end(world: &World, fault: &Fault) -> Result<(), String> {
    match fault {
        Fault::Kill { balancers, after } => world.start_all(&numbers(balancers), Keeps::from(*after))?,
        Fault::Term { balancers, after } => {
            for n in numbers(balancers) {
                if !world.balancer(n).ended(Duration::from_secs(40)) {
                    return Err(format!("{} does not end", name(n)));
                }
            }
            world.start_all(&numbers(balancers), Keeps::from(*after))?;
        }
        Fault::Stop { balancers } => numbers(balancers).iter().for_each(|n| world.go_on(*n)),
        Fault::Cut { from, to, both } => cut(world, from, to, *both, false),
        Fault::Loss { .. } => world.everywhere(|trouble| (trouble.loss, trouble.twice) = (0.0, 0.0)),
        Fault::Delay { .. } => {
            world.everywhere(|trouble| trouble.delay = (Duration::ZERO, Duration::ZERO));
        }
        Fault::Slow { .. } => world.everywhere(|trouble| trouble.slow = 0),
        Fault::Refuse { from, to } => {
            world.between(&numbers(from), &numbers(to), |trouble| trouble.refuse = false);
        }
        Fault::Undiscovered { balancers } => {
            numbers(balancers).iter().for_each(|n| world.to_discovery(*n).set(|t| t.silent = false));
        }
        Fault::Upstream { upstream, .. } => {
            for way in world.to_upstream(upstream - 1) {
                way.set(|trouble| trouble.delay = (Duration::ZERO, Duration::ZERO));
                way.reset();
            }
        }
        Fault::Unwritable { balancers } => {
            for n in numbers(balancers) {
                // The next start makes a directory there.
                let _ = std::fs::remove_file(world.balancer(n).state());
            }
        }
        Fault::Full { balancers } => {
            for n in numbers(balancers) {
                // A start that has failed there has taken it away.
                let _ = std::fs::remove_file(world.balancer(n).state().join("start.new"));
            }
        }
        Fault::Reset | Fault::Drain { .. } => {}
    }
    Ok(())
}
