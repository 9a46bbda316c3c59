//! A storm over zones: load, faults one after the other, a history of it all as a file, and its figures.

use super::clients::Front;
use super::figures::{self, Row, Span, Whole};
use super::map::Conduct;
use super::recorder;
use super::scene::Scene;
use crate::nemesis::{ZoneFault, ZoneLine};
use crate::world::{Setup, World};
use maplehook_history_checker::What;
use maplehook_test_servers::router::unix_us;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// How long balancers may take to come together at first.
const TOGETHER: Duration = Duration::from_secs(40);
/// How long load runs before faults' clock begins: cold upstreams and limits are not what is looked at.
const WARM: Duration = Duration::from_secs(3);

/// What a storm came to.
#[derive(Clone, Debug)]
pub struct Played {
    /// Its seed.
    pub seed: u64,
    /// Its history.
    pub file: PathBuf,
    /// Each fault.
    pub rows: Vec<Row>,
    /// All of it.
    pub whole: Whole,
}

/// What happens at a moment.
enum Step<'a> {
    Demand(&'a [f64]),
    Begin(usize),
    Turn(usize, bool),
    KillLeader,
    End(usize),
}

/// All steps, by time.
fn agenda(line: &ZoneLine) -> Vec<(u64, Step<'_>)> {
    let mut steps: Vec<(u64, Step<'_>)> =
        line.demand.iter().map(|demand| (demand.at_ms, Step::Demand(&demand.shares))).collect();
    for (n, timed) in line.faults.iter().enumerate() {
        let end = timed.at_ms + timed.for_ms;
        steps.push((timed.at_ms, Step::Begin(n)));
        match &timed.fault {
            ZoneFault::Flapping { period_ms, .. } => {
                let half = (period_ms / 2).max(100);
                let turns = (1..).map(|k| timed.at_ms + k * half).take_while(|at| *at < end);
                steps.extend(turns.enumerate().map(|(k, at)| (at, Step::Turn(n, k % 2 == 1))));
            }
            ZoneFault::LeaderKilled { after_ms, .. } => {
                steps.push((timed.at_ms + after_ms, Step::KillLeader));
            }
            _ => {}
        }
        steps.push((end, Step::End(n)));
    }
    steps.sort_by_key(|(at, _)| *at);
    steps
}

/// Waits until balancers know each other, and where they decide in common, do; and until routers know whom to send clients to.
pub fn comes_together(scene: &Scene, tier: bool, front: Front) -> Result<(), String> {
    if tier && scene.world.until(TOGETHER, World::agrees).is_none() {
        return Err(format!("the tier does not come together: {:?}", scene.world.views()));
    }
    let all = 0..scene.world.len();
    if scene.map.conduct == Conduct::Common {
        let in_common = |scene: &Scene| all.clone().all(|n| scene.shown(n)["in_common"] == true);
        if scene.world.until(TOGETHER, |_| in_common(scene) && scene.leader().is_some()).is_none() {
            let shown: Vec<_> = all.clone().map(|n| scene.shown(n)).collect();
            return Err(format!("nothing is decided in common: {shown:?}"));
        }
    }
    let routed = |_: &World| {
        scene.routers.iter().all(|router| router.routes().last().is_some_and(|routed| routed.site.is_some()))
    };
    if front == Front::Routers && scene.world.until(TOGETHER, routed).is_none() {
        return Err("nobody announces".into());
    }
    Ok(())
}

/// Plays a storm and writes its history there.
pub fn play(setup: Setup, seed: u64, line: &ZoneLine, front: Front, out: &Path) -> Result<Played, String> {
    let tier = setup.tier;
    let scene = Scene::start(setup, seed, front)?;
    comes_together(&scene, tier, front)?;
    if let Some(first) = line.demand.first() {
        scene.demand(&first.shares);
    }
    std::thread::sleep(WARM);
    let mut spans: Vec<Span> = Vec::new();
    let begun = Instant::now();
    for (at, step) in agenda(line) {
        std::thread::sleep(Duration::from_millis(at).saturating_sub(begun.elapsed()));
        let note = |text: String| scene.recorder.note("rig", What::Note { text });
        match step {
            Step::Demand(shares) => scene.demand(shares),
            Step::Begin(n) => {
                let fault = line.faults[n].fault.clone();
                note(format!("fault begins: {fault:?}"));
                let from_us = unix_us();
                scene.begin(&fault);
                spans.push(Span { fault, from_us, to_us: u64::MAX });
            }
            Step::Turn(n, lost) => {
                if let ZoneFault::Flapping { zones, .. } = &line.faults[n].fault {
                    scene.lose(zones, lost);
                }
            }
            Step::KillLeader => match scene.leader() {
                Some(leader) => scene.kill(leader),
                // Without decisions in common nobody leads: the first that votes stands for it, for comparison.
                None => scene.kill(0),
            },
            Step::End(n) => {
                let fault = &line.faults[n].fault;
                if let Some(span) = spans.last_mut() {
                    span.to_us = unix_us();
                }
                scene.heal(fault)?;
                note(format!("fault has ended: {fault:?}"));
            }
        }
    }
    std::thread::sleep(line.span().saturating_sub(begun.elapsed()));
    let header = scene.header().clone();
    let records = scene.end();
    std::fs::create_dir_all(out).map_err(|e| format!("{}: {e}", out.display()))?;
    let file = out.join(format!("storm-{seed}.jsonl"));
    recorder::write(&file, &header, &records).map_err(|e| format!("{}: {e}", file.display()))?;
    let rows = figures::rows(&header, &records, &spans);
    Ok(Played { seed, file, rows, whole: figures::whole(&header, &records, &spans) })
}

/// Half of them are less, and the most: `-` for those without.
fn times(mut of: Vec<Option<u64>>) -> String {
    let none = of.iter().filter(|time| time.is_none()).count();
    of.retain(Option::is_some);
    of.sort_unstable();
    let word = |time: Option<&Option<u64>>| match time {
        Some(Some(us)) => format!("{:.1}", *us as f64 / 1e6),
        _ => "-".to_owned(),
    };
    let text = format!("{} / {}", word(of.get(of.len() / 2)), word(of.last()));
    if none > 0 { format!("{text}, {none} not") } else { text }
}

/// A table by kinds of faults, and one of the runs, as Markdown.
pub fn markdown(played: &[Played]) -> String {
    let mut kinds: BTreeMap<&str, Vec<&Row>> = BTreeMap::new();
    played.iter().flat_map(|storm| &storm.rows).for_each(|row| kinds.entry(row.kind).or_default().push(row));
    let mut text = String::from(
        "Times in seconds: half are less / the most.\n\n| fault | times | last request that came into what is gone | requests that did | last share into it | plan in force at all in touch | full \
         service | served | near |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    let mean =
        |of: &[&Row], value: fn(&Row) -> f64| of.iter().map(|row| value(row)).sum::<f64>() / of.len() as f64;
    for (kind, rows) in kinds {
        let gone = rows.iter().filter_map(|row| row.last_into);
        let into = gone.clone().map(|(at, _)| Some(at)).collect();
        text += &format!(
            "| {kind} | {} | {} | {} | {} | {} | {} | {:.4} | {:.3} |\n",
            rows.len(),
            times(into),
            gone.map(|(_, count)| count).sum::<usize>(),
            times(rows.iter().filter(|row| row.last_into.is_some()).map(|row| row.last_share).collect()),
            times(rows.iter().map(|row| row.in_force).collect()),
            times(rows.iter().map(|row| row.full).collect()),
            mean(&rows, |row| row.served),
            mean(&rows, |row| row.near)
        );
    }
    text += "\n| seed | requests | served | refused | failed or lost | near | near when calm | worst load of a second over room |\n\
             | --- | --- | --- | --- | --- | --- | --- | --- |\n";
    for Played { seed, whole, .. } in played {
        let Whole { sent, ok, refused, broken, near, near_calm, worst_load, worst_zone } = whole;
        let served = *ok as f64 / (*sent).max(1) as f64;
        text += &format!(
            "| {seed} | {sent} | {served:.4} | {refused} | {broken} | {near:.3} | {near_calm:.3} | {worst_load:.2} ({worst_zone}) |\n"
        );
    }
    text
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_flapping_zone_turns_each_half_period_and_ends_well() {
        let text = "span_ms = 9000\n[[fault]]\nat_ms = 1000\nfor_ms = 5000\nkind = 'flapping'\nzones = ['b']\nperiod_ms = 2000\n";
        let line: ZoneLine = toml::from_str(text).unwrap();
        let turns: Vec<(u64, bool)> = agenda(&line)
            .into_iter()
            .filter_map(|(at, step)| match step {
                Step::Begin(_) => Some((at, true)),
                Step::Turn(_, lost) => Some((at, lost)),
                Step::End(_) => Some((at, false)),
                _ => None,
            })
            .collect();
        assert_eq!(
            turns,
            [(1000, true), (2000, false), (3000, true), (4000, false), (5000, true), (6000, false)]
        );
    }

    #[test]
    fn times_say_how_many_there_are_not() {
        assert_eq!(times(vec![Some(3_000_000), None, Some(1_000_000), Some(2_000_000)]), "2.0 / 3.0, 1 not");
        assert_eq!(times(vec![]), "- / -");
    }
}
