//! Drawn runs pass; each kind of mutation of one is found by the rule that it breaks.

use crate::draw::{BEGIN, GOOD, MS, Run, S, acts, agreed, announces, ran, rec, run};
use fastrand::Rng;
use maplehook_histories::file::History;
use maplehook_histories::judge::{RULES, judge, named};
use maplehook_histories::record::{Outcome, Record, What};

/// Runs that are drawn for each kind.
const RUNS: u64 = 24;

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

/// Mutates runs; at least a third of them have to bear this kind, and the rule finds it in each.
#[track_caller]
fn found_by(rule: &str, mutate: impl Fn(&mut Run, &mut Rng) -> Option<()>) {
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

#[test]
fn an_end_that_is_dropped_doubled_lost_or_late() {
    found_by("lost", |run, rng| {
        let n = plain_end(run, rng)?;
        run.history.records.remove(n);
        Some(())
    });
    found_by("lost", |run, rng| {
        let again = run.history.records[plain_end(run, rng)?].clone();
        run.history.records.push(again);
        Some(())
    });
    found_by("lost", |run, rng| {
        let n = plain_end(run, rng)?;
        let What::Ended { outcome, .. } = &mut run.history.records[n].what else { return None };
        *outcome = Outcome::Lost;
        Some(())
    });
    found_by("lost", |run, rng| {
        let n = plain_end(run, rng)?;
        run.history.records[n].at_us += 4 * S + 100 * MS;
        Some(())
    });
}

#[test]
fn an_effect_that_is_doubled() {
    found_by("twice", |run, rng| {
        let once: Vec<u64> = run
            .history
            .records
            .iter()
            .filter_map(|record| match record.what {
                What::Sent { id, once: true, .. } => Some(id),
                _ => None,
            })
            .collect();
        let n = one(
            &run.history,
            rng,
            |record| matches!(record.what, What::Ran { id, .. } if once.contains(&id)),
        )?;
        let mut again = run.history.records[n].clone();
        again.at_us += rng.u64(0..S);
        run.history.records.push(again);
        Some(())
    });
}

#[test]
fn an_announcement_that_is_extended() {
    // The last of the home site before it is lost stands until the other has begun.
    found_by("one", |run, _| {
        let end = BEGIN + run.times[0] + S;
        let own = |record: &&mut Record| {
            record.at_us <= end
                && matches!(&record.what, What::Announces { address, .. } if address == "desk")
        };
        let record = run.history.records.iter_mut().rev().find(own)?;
        let What::Announces { until_us, .. } = &mut record.what else { return None };
        *until_us += GOOD;
        Some(())
    });
}

#[test]
fn announcements_that_are_missing() {
    found_by("gap", |run, rng| {
        let from = BEGIN + rng.u64(3 * S..run.times[4] - 9 * S);
        let quiet = from..from + 8 * S;
        run.history.records.retain(|record| {
            !quiet.contains(&record.at_us)
                || !matches!(&record.what, What::Announces { address, .. } if address == "web")
        });
        Some(())
    });
}

#[test]
fn a_withdrawal_that_comes_too_late() {
    found_by("withdrawn", |run, rng| {
        let at = run.times[0] + 6 * S + rng.u64(MS..2 * S);
        let site = if run.first.contains(&"a") { "north" } else { "south" };
        let by = format!("b-{}{}", run.first[0], rng.u8(1..3));
        run.history.records.push(rec(at, &by, announces("web", site, at + GOOD)));
        run.regions.then_some(())
    });
}

/// Changes every epoch's number.
fn renumber(records: &mut [Record], number: impl Fn(u64) -> u64) {
    for record in records {
        if let What::Acts { epoch, .. } | What::Ceases { epoch } | What::Agreed { epoch, .. } =
            &mut record.what
        {
            *epoch = number(*epoch);
        }
    }
}

#[test]
fn epochs_that_are_skipped_swapped_doubled_or_early() {
    found_by("epochs", |run, rng| {
        // Not the first: a balancer is killed between it and the second.
        let from = rng.u64(3..8);
        renumber(&mut run.history.records, |epoch| epoch + u64::from(epoch >= from));
        Some(())
    });
    found_by("epochs", |run, rng| {
        let swapped = rng.u64(2..7);
        let who = format!("b-{}{}", ["a", "b", "c", "d"][rng.usize(..4)], rng.u8(1..3));
        let own: &mut dyn Iterator<Item = &mut Record> =
            &mut run.history.records.iter_mut().filter(|record| record.by == who);
        for record in own {
            if let What::Acts { epoch, .. } = &mut record.what {
                *epoch = if *epoch == swapped {
                    swapped + 1
                } else if *epoch == swapped + 1 {
                    swapped
                } else {
                    *epoch
                };
            }
        }
        Some(())
    });
    found_by("epochs", |run, rng| {
        let epoch = rng.u64(1..8);
        let what = What::Agreed { epoch, digest: "another".into() };
        run.history.records.push(rec(run.times[4], "b-b1", what));
        Some(())
    });
    found_by("epochs", |run, rng| {
        let early = rng.u64(2..8);
        let n = one(
            &run.history,
            rng,
            |record| matches!(record.what, What::Acts { epoch, .. } if epoch == early),
        )?;
        run.history.records[n].at_us -= S;
        Some(())
    });
}

#[test]
fn a_plan_that_is_held_for_too_long() {
    // Who acts on the plan for the first loss hears of nothing more, while the others act on the one for the second.
    found_by("contradict", |run, rng| {
        let who = format!("b-{}{}", run.first[0], rng.u8(1..3));
        run.history.records.retain(|record| {
            record.by != who || !matches!(record.what, What::Acts { epoch, .. } if epoch > 2)
        });
        let away = |record: &Record| matches!(&record.what, What::Did { to, .. } if *to == who);
        (!run.history.records.iter().any(away)).then_some(())
    });
}

/// Changes where what begins in a span ran; each zone may have more than one upstream.
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

#[test]
fn load_that_is_shifted() {
    // A second or two in which a calm zone's requests run next door, when all has settled from the start.
    found_by("near", |run, rng| {
        let from = 6 * S + rng.u64(0..S);
        moved(run, from, from + 1500 * MS, "b", |through| through.starts_with("b-a"));
        Some(())
    });
    // All zones into one, while a place is lost and the plan for it stands.
    found_by("load", |run, rng| {
        let from = run.times[0] + 4 * S + rng.u64(0..S);
        let to = run.second[0];
        moved(run, from, from + 3 * S, to, |_| true);
        Some(())
    });
}

#[test]
fn a_drain_that_is_not_kept() {
    found_by("drains", |run, rng| {
        let (upstream, from, until) = run.drain.clone();
        if until < from + 3 * S {
            return None;
        }
        let times = BEGIN + from + 2 * S + MS..BEGIN + until;
        let n = one(&run.history, rng, |record| {
            times.contains(&record.at_us) && matches!(record.what, What::Ran { .. })
        })?;
        run.history.records[n].by = upstream;
        Some(())
    });
}

#[test]
fn plans_that_swing() {
    found_by("swings", |run, rng| {
        let end = run.times[4];
        let who = rng.u8(1..3);
        for (n, parts) in [(8, 0), (9, 10_000), (10, 0), (11, 10_000)] {
            let rows = crate::draw::rows(&[("a", &[("a", parts), ("b", 10_000 - parts)])]);
            run.history.records.push(rec(end + n * 100 * MS, "b-a1", agreed(n)));
            run.history.records.push(rec(end + n * 100 * MS + MS, &format!("b-a{who}"), acts(n, rows)));
        }
        Some(())
    });
    // What a mutation adds is no breach by itself.
    let mut run = run(1);
    run.history.records.push(rec(run.times[4], "u-a1", ran(u64::MAX, "b-a1")));
    assert!(judge(&run.history).is_empty());
}
