//! What is left of a broken run is short and shows the same.

use crate::draw::{BEGIN, MS, S, announces, ended, rec, run};
use maplehook_history_checker::file::History;
use maplehook_history_checker::judge::{Breach, named};
use maplehook_history_checker::record::{Outcome, What};
use maplehook_history_checker::shrink;
use std::time::Instant;

fn breaches(rule: &str, history: &History) -> Vec<Breach> {
    (named(rule).unwrap().judge)(history).breaches
}

/// Shrinks, and looks whether what is left shows the same.
fn short(rule: &str, history: &History) -> History {
    let before = breaches(rule, history);
    let short = shrink(history, rule);
    let after = breaches(rule, &short);
    assert_eq!(after[0].at_us, before[0].at_us);
    assert!(after[0].until_us <= before[0].until_us);
    assert!(after.len() <= before.len(), "{after:#?}");
    assert!(short.records.iter().all(|record| history.records.contains(record)));
    let records = |history: &History, breach: &Breach| {
        breach.records.iter().map(|n| history.records[*n].clone()).collect::<Vec<_>>()
    };
    if !named(rule).unwrap().counts {
        assert_eq!(records(&short, &after[0]), records(history, &before[0]));
    }
    short
}

#[test]
fn two_announcers_are_two_records() {
    let mut history = run(3).history;
    let end = history.records.last().unwrap().at_us - BEGIN;
    let away = if breaches("one", &history).is_empty() { "north" } else { "" };
    for site in [away, "south"] {
        history.records.push(rec(end, "b-a1", announces("desk", site, end + S)));
    }
    let short = short("one", &history);
    assert!(short.records.len() == 2, "{:#?}", short.records);
    // The other address has no part in it.
    assert_eq!(short.header.addresses.keys().collect::<Vec<_>>(), ["desk"]);
}

#[test]
fn of_two_breaches_the_first_is_shown() {
    let mut history = run(8).history;
    let is_end = |n: &usize| matches!(history.records[*n].what, What::Ended { .. });
    let ends: Vec<usize> = (0..history.records.len()).filter(is_end).collect();
    // Around the middle, so that either half alone shows no more than the second.
    let removed = [ends[ends.len() * 56 / 100], ends[ends.len() * 47 / 100]];
    removed.into_iter().for_each(|n| drop(history.records.remove(n)));
    assert_eq!(breaches("lost", &history).len(), 2);
    assert_eq!(breaches("lost", &short("lost", &history)).len(), 1);
}

#[test]
fn a_request_without_an_end_keeps_its_like_apart() {
    let mut history = run(4).history;
    // Those that had an end must not be made to look lost.
    let n = history.records.iter().position(|record| matches!(record.what, What::Ended { .. })).unwrap();
    history.records.remove(n);
    let short = short("lost", &history);
    // The request, and one record later than its time.
    assert!(short.records.len() == 2, "{:#?}", short.records);
}

#[test]
fn an_end_that_is_lost_keeps_its_request() {
    let mut history = run(5).history;
    let end = history
        .records
        .iter_mut()
        .rev()
        .find(|record| matches!(record.what, What::Ended { outcome: Outcome::Ok, .. }));
    let What::Ended { id, .. } = end.as_ref().unwrap().what else { return };
    end.unwrap().what = ended(id, Outcome::Lost);
    assert_eq!(short("lost", &history).records.len(), 2);
}

#[test]
fn shifted_load_is_no_more_than_it_takes() {
    let mut run = run(6);
    let from = BEGIN + run.times[0] + 4 * S;
    let zone = run.second[0];
    for record in &mut run.history.records {
        if (from..from + 3 * S).contains(&record.at_us) && matches!(record.what, What::Ran { .. }) {
            record.by = format!("u-{zone}1");
        }
    }
    let begun = Instant::now();
    let short = short("load", &run.history);
    // 55 is what may run there, one more for the edge; and what makes the second settled.
    assert!((57..90).contains(&short.records.len()), "{}", short.records.len());
    println!("{} of {} records in {:?}", short.records.len(), run.history.records.len(), begun.elapsed());
}

#[test]
fn what_breaks_nothing_stays_whole() {
    let history = run(7).history;
    assert_eq!(shrink(&history, "lost"), history);
    assert_eq!(shrink(&history, "no such rule"), history);
    let mut gap = history.clone();
    gap.records.retain(|record| {
        let quiet = BEGIN + 3 * S..BEGIN + 13 * S + MS;
        !quiet.contains(&record.at_us)
            || !matches!(&record.what, What::Announces { address, .. } if address == "web")
    });
    assert!(short("gap", &gap).records.len() < 10);
}

#[test]
fn plans_are_held_no_longer_than_they_were() {
    let history = crate::draw::history(crate::planted::opposite(8 * S, [("a", "b"), ("b", "a")]));
    // Who acts by which, and what ended that.
    assert_eq!(short("contradict", &history).records.len(), 3);
}
