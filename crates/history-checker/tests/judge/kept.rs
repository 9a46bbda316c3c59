//! Writes the corpus that `tests/corpus.rs` judges: drawn runs, thinned; and of mutated ones the shortest part.

use crate::draw::{BEGIN, MS, run};
use crate::mutated::{
    Mutate, act_early, act_on, delay_end, extend, fall_silent, ignore_drain, leave, lose, pour, run_twice,
    skip_epoch, stay, swing,
};
use fastrand::Rng;
use maplehook_history_checker::file::{History, write};
use maplehook_history_checker::judge::judge;
use maplehook_history_checker::record::{Record, What};
use maplehook_history_checker::shrink;
use std::collections::BTreeMap;
use std::path::Path;

const BROKEN: [(&str, &str, Mutate); 13] = [
    ("acts-early", "epochs", act_early),
    ("epoch-skipped", "epochs", skip_epoch),
    ("old-plan-held", "contradict", act_on),
    ("two-announcers", "one", extend),
    ("nobody-announces", "gap", fall_silent),
    ("stays-with-nothing-left", "withdrawn", stay),
    ("leaves-a-calm-zone", "near", leave),
    ("poured-into-one-zone", "load", pour),
    ("shares-swing", "swings", swing),
    ("request-lost", "lost", lose),
    ("request-late", "lost", delay_end),
    ("ran-twice", "twice", run_twice),
    ("drain-ignored", "drains", ignore_drain),
];

/// A run with a few of its balancers' words and one request in some; still clean.
fn thinned(mut history: History, one_in: u64) -> History {
    let mut last: BTreeMap<(String, String), u64> = BTreeMap::new();
    history.records.retain(|record| match &record.what {
        What::Acts { .. } => ["b-a1", "b-c1", "b-d2"].contains(&record.by.as_str()),
        What::Sent { id, .. } | What::Ran { id, .. } | What::Ended { id, .. } => id % one_in == 0,
        What::Announces { address, .. } => {
            let last = last.entry((record.by.clone(), address.clone())).or_insert(0);
            let tells = record.at_us - *last > 1_400 * MS && record.by.ends_with('1');
            *last = if tells { record.at_us } else { *last };
            tells && ["b-a1", "b-c1"].contains(&record.by.as_str())
        }
        What::Withdraws { .. } => ["b-a1", "b-c1"].contains(&record.by.as_str()) && record.at_us % 3 == 0,
        _ => true,
    });
    history
}

#[test]
#[ignore = "writes the corpus anew"]
fn write_corpus() {
    let to = Path::new(env!("CARGO_MANIFEST_DIR")).join("corpus");
    for (name, regions) in [("clean-zones", false), ("clean-regions", true), ("clean-regions-again", true)] {
        let seeds = if name.ends_with("again") { 20.. } else { 0.. };
        let clean = |seed| thinned(run(seed).history, 40);
        let fits = |seed: &u64| run(*seed).regions == regions && judge(&clean(*seed)).is_empty();
        write(&to.join(format!("{name}.jsonl")), &clean(seeds.take(40).find(fits).unwrap())).unwrap();
    }
    for (name, rule, mutate) in BROKEN {
        let broken = |seed: u64| {
            let mut run = run(seed);
            mutate(&mut run, &mut Rng::with_seed(seed))?;
            run.history.records.sort_by_key(|record| record.at_us);
            // The shortest part of a site that stays has nobody else who announces.
            let mut short = match rule {
                "withdrawn" => thinned(run.history.clone(), 40),
                _ => shrink(&run.history, rule),
            };
            short.header.expect = Some(rule.to_owned());
            // What is acted on has been agreed on; and what was lost explains why requests left.
            let needed = |record: &&Record| match &record.what {
                What::Agreed { .. } => ["contradict", "swings"].contains(&rule),
                What::Health { .. } => rule == "load",
                _ => false,
            };
            let more: Vec<Record> = run.history.records.iter().filter(needed).cloned().collect();
            short.records.retain(|record| !more.contains(record));
            short.records.extend(more);
            short.records.sort_by_key(|record| record.at_us);
            judge(&short).iter().all(|breach| breach.rule == rule).then_some(short)
        };
        let found =
            (40..80).find_map(broken).unwrap_or_else(|| panic!("{name}: no mutation breaks {rule} alone"));
        assert!(found.records.iter().all(|record| record.at_us >= BEGIN));
        write(&to.join(format!("{name}.jsonl")), &found).unwrap();
    }
}
