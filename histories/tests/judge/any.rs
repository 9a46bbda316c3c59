//! Any jumble of records is judged without a panic, and any bytes are read without one.

use crate::draw::{BEGIN, S, header, run};
use fastrand::Rng;
use maplehook_histories::file::{History, merge, read_from, write_to};
use maplehook_histories::judge::{RULES, judge};
use maplehook_histories::record::What;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::path::Path;
use std::time::{Duration, Instant};

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 200,
        rng_seed: RngSeed::Fixed(34),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn any_bytes_are_read_or_refused(bytes in proptest::collection::vec(any::<u8>(), 0..400), cut in any::<u16>()) {
        let _ = read_from(&bytes[..], Path::new("any"));
        let mut whole = Vec::new();
        let mut history = run(0).history;
        history.records.truncate(20);
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
        let mut records = run(seed % 5).history.records;
        rng.shuffle(&mut records);
        records.truncate(300);
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

/// A storm of some 50,000 records, ten times a drawn run.
#[test]
fn a_storm_is_judged_in_time_that_grows_with_it() {
    let one = run(0).history;
    let long = one.records.last().unwrap().at_us - BEGIN + 70 * S;
    let storm = |times: u64| {
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
        merge(header(), (0..times).map(copy)).unwrap()
    };
    let took = |history: &History, rule: usize| {
        let begun = Instant::now();
        (RULES[rule].judge)(history);
        begun.elapsed()
    };
    let (small, large) = (storm(2), storm(16));
    for (n, rule) in RULES.iter().enumerate() {
        let (small, took) = (took(&small, n), took(&large, n));
        println!("{}: {} records {took:?}", rule.name, large.records.len());
        // Eight times as much takes far less than the 64 times of a square.
        assert!(took < 40 * small + Duration::from_millis(50), "{}: {small:?}, then {took:?}", rule.name);
    }
}
