//! Drawn runs pass; each kind of mutation of one is found by the rule that it breaks.

use crate::draw::{BEGIN, GOOD, MS, Run, S, acts, agreed, announces, rec, rows, run};
use fastrand::Rng;
use maplehook_history_checker::file::History;
use maplehook_history_checker::judge::{RULES, judge, named};
use maplehook_history_checker::record::{Outcome, Record, What};

/// Runs that are drawn for each kind.
const RUNS: u64 = 16;

#[test]
fn drawn_runs_pass_and_every_rule_has_something_to_judge() {
    for seed in 0..2 * RUNS {
        let run = run(seed);
        let breaches = judge(&run.history);
        assert!(breaches.is_empty(), "seed {seed}: {breaches:#?}");
        for rule in RULES {
            let judged = (rule.judge)(&run.history).judged;
            assert!(
                judged > 0 || rule.name == "withdrawn" && !run.regions,
                "seed {seed}: {} judged nothing",
                rule.name
            );
        }
    }
}

/// A change that breaks one rule; none if this run can't bear it.
pub type Mutate = fn(&mut Run, &mut Rng) -> Option<()>;

/// Mutates runs; at least a third of them have to bear this kind, and the rule finds it in each.
#[track_caller]
fn found_by(rule: &str, mutate: Mutate) {
    let mut mutated = 0;
    for seed in 0..RUNS {
        let mut run = run(seed);
        if mutate(&mut run, &mut Rng::with_seed(seed)).is_none() {
            continue;
        }
        mutated += 1;
        run.history.records.sort_by_key(|record| record.at_us);
        let found = (named(rule).unwrap().judge)(&run.history).breaches;
        assert!(!found.is_empty(), "seed {seed}: {rule} finds nothing");
    }
    assert!(mutated * 3 >= RUNS, "only {mutated} of {RUNS} could be mutated");
}

/// A record that fits, drawn at random.
fn one(history: &History, rng: &mut Rng, fits: impl Fn(&Record) -> bool) -> Option<usize> {
    let all: Vec<usize> = (0..history.records.len()).filter(|n| fits(&history.records[*n])).collect();
    (!all.is_empty()).then(|| all[rng.usize(..all.len())])
}

/// An end that is early enough for its request to be missed, and not of a balancer that was away.
fn plain_end(run: &Run, rng: &mut Rng) -> Option<usize> {
    let [lost, .., lost_too, back_too, _] = run.times;
    let within = |at: u64| (BEGIN + lost..BEGIN + back_too).contains(&at) && at != BEGIN + lost_too;
    one(&run.history, rng, |record| within(record.at_us) && matches!(record.what, What::Ended { .. }))
}

/// A request that never ends.
pub fn drop_end(run: &mut Run, rng: &mut Rng) -> Option<()> {
    let n = plain_end(run, rng)?;
    run.history.records.remove(n);
    Some(())
}

/// A request that ends twice.
pub fn double_end(run: &mut Run, rng: &mut Rng) -> Option<()> {
    let again = run.history.records[plain_end(run, rng)?].clone();
    run.history.records.push(again);
    Some(())
}

/// A request that is lost while its balancer is up.
pub fn lose(run: &mut Run, rng: &mut Rng) -> Option<()> {
    let n = plain_end(run, rng)?;
    let What::Ended { outcome, .. } = &mut run.history.records[n].what else { return None };
    *outcome = Outcome::Lost;
    Some(())
}

/// A request that takes too long.
pub fn delay_end(run: &mut Run, rng: &mut Rng) -> Option<()> {
    let n = plain_end(run, rng)?;
    run.history.records[n].at_us += 4 * S + 100 * MS;
    Some(())
}

/// A request that must run once and runs twice.
pub fn run_twice(run: &mut Run, rng: &mut Rng) -> Option<()> {
    let once = |record: &Record| match record.what {
        What::Sent { id, once: true, .. } => Some(id),
        _ => None,
    };
    let once: Vec<u64> = run.history.records.iter().filter_map(once).collect();
    let fits = |record: &Record| matches!(record.what, What::Ran { id, .. } if once.contains(&id));
    let mut again = run.history.records[one(&run.history, rng, fits)?].clone();
    again.at_us += rng.u64(0..S);
    run.history.records.push(again);
    Some(())
}

fn announces_web(record: &Record) -> bool {
    matches!(&record.what, What::Announces { address, .. } if address == "web")
}

/// The last answer of the home site before that is lost stands until the other site has begun.
pub fn extend(run: &mut Run, _: &mut Rng) -> Option<()> {
    let end = BEGIN + run.times[0] + S;
    let own = |record: &&mut Record| {
        record.at_us <= end && matches!(&record.what, What::Announces { address, .. } if address == "desk")
    };
    let record = run.history.records.iter_mut().rev().find(own)?;
    let What::Announces { until_us, .. } = &mut record.what else { return None };
    *until_us += GOOD;
    Some(())
}

/// Nobody announces for eight seconds.
pub fn fall_silent(run: &mut Run, rng: &mut Rng) -> Option<()> {
    let from = BEGIN + rng.u64(3 * S..run.times[4] - 9 * S);
    let quiet = from..from + 8 * S;
    run.history.records.retain(|record| !quiet.contains(&record.at_us) || !announces_web(record));
    Some(())
}

/// A site that has nothing left announces once more.
pub fn stay(run: &mut Run, rng: &mut Rng) -> Option<()> {
    let at = run.times[0] + 6 * S + rng.u64(MS..2 * S);
    let site = if run.first.contains(&"a") { "north" } else { "south" };
    let by = format!("b-{}{}", run.first[0], rng.u8(1..3));
    run.history.records.push(rec(at, &by, announces("web", site, at + GOOD)));
    run.regions.then_some(())
}

/// Epochs from one on are one more. Not from the second: a balancer is killed between that and the first.
pub fn skip_epoch(run: &mut Run, rng: &mut Rng) -> Option<()> {
    let from = rng.u64(3..8);
    for record in &mut run.history.records {
        if let What::Acts { epoch, .. } | What::Agreed { epoch, .. } = &mut record.what {
            *epoch += u64::from(*epoch >= from);
        }
    }
    Some(())
}

/// A balancer acts on two plans in the wrong order.
pub fn swap_epochs(run: &mut Run, rng: &mut Rng) -> Option<()> {
    let swapped = rng.u64(2..7);
    let who = format!("b-{}{}", ["a", "b", "c", "d"][rng.usize(..4)], rng.u8(1..3));
    for record in run.history.records.iter_mut().filter(|record| record.by == who) {
        if let What::Acts { epoch, .. } = &mut record.what {
            *epoch = match *epoch {
                epoch if epoch == swapped => swapped + 1,
                epoch if epoch == swapped + 1 => swapped,
                epoch => epoch,
            };
        }
    }
    Some(())
}

/// An epoch is agreed on twice, as two plans.
pub fn agree_twice(run: &mut Run, rng: &mut Rng) -> Option<()> {
    let what = What::Agreed { epoch: rng.u64(1..8), digest: "another".into() };
    run.history.records.push(rec(run.times[4], "b-b1", what));
    Some(())
}

/// A balancer acts on a plan before it stands.
pub fn act_early(run: &mut Run, rng: &mut Rng) -> Option<()> {
    let early = rng.u64(2..8);
    let fits = |record: &Record| matches!(record.what, What::Acts { epoch, .. } if epoch == early);
    let n = one(&run.history, rng, fits)?;
    run.history.records[n].at_us -= S;
    Some(())
}

/// Who acts on the plan for the first loss hears of nothing more, while the others act on the one for the second.
pub fn act_on(run: &mut Run, rng: &mut Rng) -> Option<()> {
    let who = format!("b-{}{}", run.first[0], rng.u8(1..3));
    let later = |record: &Record| matches!(record.what, What::Acts { epoch, .. } if epoch > 2);
    run.history.records.retain(|record| record.by != who || !later(record));
    let away = |record: &Record| matches!(&record.what, What::Did { to, .. } if *to == who);
    (!run.history.records.iter().any(away)).then_some(())
}

/// What begins in a span runs in another zone.
fn moved(run: &mut Run, from: u64, until: u64, to: &str, fits: impl Fn(&str) -> bool) {
    for record in &mut run.history.records {
        if (BEGIN + from..BEGIN + until).contains(&record.at_us)
            && let What::Ran { through, .. } = &record.what
            && fits(through)
        {
            record.by = format!("u-{to}1");
        }
    }
}

/// For more than a second the requests of a calm zone run next door.
pub fn leave(run: &mut Run, rng: &mut Rng) -> Option<()> {
    let from = 6 * S + rng.u64(0..S);
    moved(run, from, from + 1500 * MS, "b", |through| through.starts_with("b-a"));
    Some(())
}

/// All run in one zone, while a place is lost and the plan for it stands.
pub fn pour(run: &mut Run, rng: &mut Rng) -> Option<()> {
    let from = run.times[0] + 4 * S + rng.u64(0..S);
    let to = run.second[0];
    moved(run, from, from + 3 * S, to, |_| true);
    Some(())
}

/// Something runs where it should not any more.
pub fn ignore_drain(run: &mut Run, rng: &mut Rng) -> Option<()> {
    let (upstream, from, until) = run.drain.clone();
    let times = BEGIN + from + 2 * S + MS..BEGIN + until;
    let fits = |record: &Record| times.contains(&record.at_us) && matches!(record.what, What::Ran { .. });
    let n = one(&run.history, rng, fits)?;
    run.history.records[n].by = upstream;
    Some(())
}

/// Four plans after the last, each the opposite of the one before.
pub fn swing(run: &mut Run, rng: &mut Rng) -> Option<()> {
    let (end, who) = (run.times[4], rng.u8(1..3));
    for (n, parts) in [(8, 0), (9, 10_000), (10, 0), (11, 10_000)] {
        let rows = rows(&[("a", &[("a", parts), ("b", 10_000 - parts)])]);
        run.history.records.push(rec(end + n * 100 * MS, "b-a1", agreed(n)));
        run.history.records.push(rec(end + n * 100 * MS + MS, &format!("b-a{who}"), acts(n, rows)));
    }
    Some(())
}

#[test]
fn ends_that_are_missing_or_wrong_are_found() {
    found_by("lost", drop_end);
    found_by("lost", double_end);
    found_by("lost", lose);
    found_by("lost", delay_end);
}

#[test]
fn effects_and_drains_are_found() {
    found_by("twice", run_twice);
    found_by("drains", ignore_drain);
}

#[test]
fn announcements_are_found() {
    found_by("one", extend);
    found_by("gap", fall_silent);
    found_by("withdrawn", stay);
}

#[test]
fn epochs_are_found() {
    found_by("epochs", skip_epoch);
    found_by("epochs", swap_epochs);
    found_by("epochs", agree_twice);
    found_by("epochs", act_early);
}

#[test]
fn plans_are_found() {
    found_by("contradict", act_on);
    found_by("swings", swing);
}

#[test]
fn work_in_the_wrong_place_is_found() {
    found_by("near", leave);
    found_by("load", pour);
}
