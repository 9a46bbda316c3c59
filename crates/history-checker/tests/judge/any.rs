//! Any jumble of records is judged without a panic, and any bytes are read without one.

use crate::draw::{BEGIN, S, header, run};
use fastrand::Rng;
use maplehook_history_checker::file::{History, merge, read_from, write_to};
use maplehook_history_checker::judge::{RULES, judge};
use maplehook_history_checker::record::{Record, What};
use maplehook_history_checker::shrink;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::path::Path;
use std::sync::LazyLock;
use std::time::{Duration, Instant};

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 100,
        rng_seed: RngSeed::Fixed(34),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// Records of some drawn runs.
static RUNS: LazyLock<Vec<Vec<Record>>> =
    LazyLock::new(|| (0..5).map(|seed| run(seed).history.records).collect());

proptest! {
    #![proptest_config(config())]

    #[test]
    fn any_bytes_are_read_or_refused(bytes in proptest::collection::vec(any::<u8>(), 0..400), cut in any::<u16>()) {
        let _ = read_from(&bytes[..], Path::new("any"));
        let mut whole = Vec::new();
        let history = History { header: header(), records: RUNS[0][..20].to_vec() };
        write_to(&mut whole, &history).unwrap();
        let cut = usize::from(cut) % whole.len();
        // A history that is cut off anywhere after its header has at most one torn line.
        let read = read_from(&whole[..cut], Path::new("cut"));
        let header = whole.iter().position(|byte| *byte == b'\n').unwrap();
        if cut > header {
            let (back, part) = read.unwrap();
            prop_assert!(part.torn <= 1 && part.unknown == 0);
            prop_assert!(back.records.iter().zip(&history.records).all(|(back, record)| back == record));
        }
        // A byte that is another one is a fault or another history, never a panic.
        if let Some(first) = bytes.first() {
            whole[cut] = *first;
            let _ = read_from(&whole[..], Path::new("changed"));
        }
    }

    #[test]
    fn any_jumble_is_judged(seed in any::<u64>()) {
        let mut rng = Rng::with_seed(seed);
        let all = &RUNS[rng.usize(..RUNS.len())];
        let mut records: Vec<Record> = (0..300).map(|_| all[rng.usize(..all.len())].clone()).collect();
        for record in &mut records {
            if rng.u8(..4) == 0 {
                record.at_us = match rng.u8(..4) { 0 => 0, 1 => u64::MAX, 2 => rng.u64(..), _ => BEGIN + rng.u64(..60 * S) };
            }
            if rng.u8(..8) == 0 {
                record.by = ["", "b-a1", "u-z9", "rig"][rng.usize(..4)].into();
            }
            if let What::Health { share, .. } = &mut record.what {
                *share = [f64::NAN, -1.0, f64::INFINITY, 0.5][rng.usize(..4)];
            }
        }
        // Sorted and not.
        let _ = judge(&merge(header(), [records.clone()]).unwrap());
        let mut wild = History { header: header(), records };
        wild.header.bounds.window_us = 0;
        wild.header.bounds.near_least = f64::NAN;
        wild.header.bounds.settle_us = u64::MAX;
        let _ = judge(&wild);
        wild.header.bounds.settle_us = 0;
        wild.header.bounds.load_most = -1.0;
        let _ = judge(&wild);
    }
}

/// Sixteen drawn runs one after the other, three storms' worth: what is quadratic takes minutes for it.
#[test]
fn a_long_history_is_judged_in_seconds() {
    let one = run(0).history;
    let long = one.records.last().unwrap().at_us - BEGIN + 70 * S;
    let copy = |n: u64| {
        let mut records = one.records.clone();
        for record in &mut records {
            record.at_us += n * long;
            match &mut record.what {
                What::Sent { id, .. } | What::Ended { id, .. } | What::Ran { id, .. } => *id += n << 32,
                What::Agreed { epoch, .. } | What::Acts { epoch, .. } | What::Ceases { epoch } => {
                    *epoch += n * 7
                }
                What::Announces { until_us, .. } => *until_us += n * long,
                What::Did { act, .. } if act == "end" => *act = "next".into(),
                _ => {}
            }
        }
        records
    };
    let history = merge(header(), (0..16).map(copy)).unwrap();
    assert!(history.records.len() > 100_000);
    let begun = Instant::now();
    for rule in RULES {
        let begun = Instant::now();
        let finding = (rule.judge)(&history);
        println!(
            "{}: {} judged of {} records in {:?}",
            rule.name,
            finding.judged,
            history.records.len(),
            begun.elapsed()
        );
        // Between the runs nobody announces; everything else goes on as it did.
        assert!(rule.name == "gap" || finding.breaches.is_empty(), "{:?}", finding.breaches);
    }
    assert!(begun.elapsed() < Duration::from_secs(30), "{:?}", begun.elapsed());
    let mut broken = history;
    let end = |record: &&mut Record| matches!(record.what, What::Ended { .. });
    let ended = broken.records.iter_mut().filter(end).nth(20_000).unwrap();
    ended.what = What::Note { text: "no end".into() };
    let begun = Instant::now();
    assert_eq!(shrink(&broken, "lost").records.len(), 2);
    println!("the shortest part in {:?}", begun.elapsed());
}
