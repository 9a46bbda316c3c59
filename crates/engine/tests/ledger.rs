//! The ledger: what it promises, on all orders of events.

use maplehook::ledger::{Bounds, EntryId, FinalAnswer, Identity, Ledger, OpenResult};
use proptest::prelude::*;
use std::collections::{HashMap, HashSet};
use std::time::Duration;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn identity(n: u32) -> Identity {
    Identity { tenant: n % 3, class: 1, id: format!("order-{n}").into_bytes().into() }
}

fn bounds() -> Bounds {
    Bounds { entries: 8, bytes: 8192, max_answer_bytes: 512, waiters: 2, retention: ms(1000) }
}

#[derive(Clone, Debug)]
enum Step {
    Open(u32),
    Ended(usize, u8, usize),
    Left(usize),
    Wait(u64),
    Back(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        5 => (0_u32..12).prop_map(Step::Open),
        3 => (any::<usize>(), 0_u8..3, 0_usize..1000).prop_map(|(n, how, long)| Step::Ended(n, how, long)),
        1 => any::<usize>().prop_map(Step::Left),
        2 => (0_u64..700).prop_map(Step::Wait),
        1 => (0_u64..5000).prop_map(Step::Back),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2000))]

    /// Guards the promises: sent once while open or remembered, one ending for all, bounds, nobody forgotten.
    #[test]
    fn whatever_happens_no_effect_is_sent_twice(steps in prop::collection::vec(step(), 0..200)) {
        let mut ledger: Ledger<u32> = Ledger::new(bounds(), 7).unwrap();
        let (mut now, mut highest) = (Duration::ZERO, Duration::ZERO);
        let mut open: HashMap<Identity, (EntryId, Vec<u64>)> = HashMap::new();
        let mut ended: HashMap<Identity, (FinalAnswer<u32>, Duration)> = HashMap::new();
        let mut told: HashSet<u64> = HashSet::new();
        for (k, step) in steps.into_iter().enumerate() {
            let waiter = k as u64;
            let pick = |n: usize| {
                let mut all: Vec<_> = open.keys().cloned().collect();
                all.sort_by(|a, b| a.id.cmp(&b.id));
                (!all.is_empty()).then(|| all[n % all.len()].clone())
            };
            match step {
                Step::Wait(more) => { now += ms(more); }
                Step::Back(less) => { now = now.saturating_sub(ms(less)); }
                Step::Open(n) => {
                    let who = identity(n);
                    highest = highest.max(now);
                    ended.retain(|_, (_, at)| highest < *at + ms(1000));
                    match ledger.open(now, &who, waiter) {
                        OpenResult::First(id) => {
                            prop_assert!(!open.contains_key(&who) && !ended.contains_key(&who), "sent twice");
                            open.insert(who, (id, vec![waiter]));
                        }
                        OpenResult::Joined(id) => {
                            let (first, waiters) = open.get_mut(&who).expect("joins what is open");
                            prop_assert_eq!(*first, id);
                            waiters.push(waiter);
                            prop_assert!(waiters.len() <= 3);
                        }
                        OpenResult::Answered(ending) => prop_assert_eq!(Some(&ending), ended.get(&who).map(|e| &e.0)),
                        OpenResult::TooManyWaiters => prop_assert_eq!(open[&who].1.len(), 3),
                        OpenResult::Full => {
                            prop_assert!(!open.contains_key(&who) && !ended.contains_key(&who));
                            let charged = open.len() * (160 + 512) + ended.len() * 160;
                            prop_assert!(ledger.len() == 8 || charged + 160 + 512 > 8192 - 2000);
                        }
                    }
                }
                Step::Ended(n, how, long) => if let Some(who) = pick(n) {
                    let (id, waiters) = open.remove(&who).unwrap();
                    let ending = match how { 0 => FinalAnswer::Served(k as u32), 1 => FinalAnswer::Failed, _ => FinalAnswer::Rejected };
                    highest = highest.max(now);
                    let got = ledger.complete(now, id, ending.clone(), long);
                    prop_assert_eq!(&got, &waiters, "all who wait are told, once");
                    prop_assert!(got.iter().all(|w| told.insert(*w)));
                    // A second ending is nobody's.
                    prop_assert!(ledger.complete(now, id, FinalAnswer::Failed, 0).is_empty());
                    let kept = match ending {
                        FinalAnswer::Served(_) if long > 512 => Some(FinalAnswer::ServedNotCached),
                        FinalAnswer::Rejected => None,
                        other => Some(other),
                    };
                    if let Some(kept) = kept { ended.insert(who, (kept, highest)); }
                },
                Step::Left(n) => if let Some(who) = pick(n) {
                    let (id, waiters) = open.get_mut(&who).unwrap();
                    if let Some(waiter) = waiters.pop() {
                        prop_assert_eq!(ledger.remove_waiter(*id, waiter), waiters.is_empty());
                    }
                },
            }
            prop_assert!(ledger.len() <= 8 && ledger.bytes() <= 8192, "{} {}", ledger.len(), ledger.bytes());
            prop_assert!(ledger.len() >= open.len());
        }
    }
}

/// Guards live entries: a flood of new ones, open or ended, pushes none of them out, and once their time is
/// over there is room again.
#[test]
fn a_flood_is_refused_and_forgets_nobody() {
    let mut ledger: Ledger<u32> = Ledger::new(bounds(), 7).unwrap();
    let OpenResult::First(first) = ledger.open(ms(0), &identity(0), 0) else { panic!() };
    let OpenResult::First(second) = ledger.open(ms(0), &identity(1), 1) else { panic!() };
    ledger.complete(ms(0), second, FinalAnswer::Served(5), 100);
    let refused = (2..10_000).filter(|n| ledger.open(ms(1), &identity(*n), 9) == OpenResult::Full).count();
    assert_eq!(refused, 9_998 - 6);
    assert_eq!(ledger.open(ms(999), &identity(1), 2), OpenResult::Answered(FinalAnswer::Served(5)));
    assert_eq!(ledger.open(ms(999), &identity(0), 3), OpenResult::Joined(first));
    // An open entry is never too old.
    assert_eq!(ledger.open(ms(100_000), &identity(0), 4), OpenResult::Joined(first));
    assert!(matches!(ledger.open(ms(100_000), &identity(1), 5), OpenResult::First(_)));
}

/// Guards a caller that has gone between sending and answer: the next one gets the ending that was its own.
#[test]
fn who_comes_back_after_leaving_has_the_same_ending() {
    let mut ledger: Ledger<u32> = Ledger::new(bounds(), 7).unwrap();
    let OpenResult::First(id) = ledger.open(ms(0), &identity(0), 0) else { panic!() };
    assert!(ledger.remove_waiter(id, 0));
    assert_eq!(ledger.open(ms(1), &identity(0), 1), OpenResult::Joined(id));
    assert_eq!(ledger.complete(ms(2), id, FinalAnswer::Failed, 0), [1]);
    assert_eq!(ledger.open(ms(3), &identity(0), 2), OpenResult::Answered(FinalAnswer::Failed));
    // The same id of another tenant or class is another effect.
    let other = Identity { tenant: 2, ..identity(0) };
    assert!(matches!(ledger.open(ms(3), &other, 3), OpenResult::First(_)));
    let other = Identity { class: 2, ..identity(0) };
    assert!(matches!(ledger.open(ms(3), &other, 4), OpenResult::First(_)));
}

#[test]
fn bounds_that_no_ledger_keeps_are_refused() {
    let refused = |b: Bounds| Ledger::<u32>::new(b, 7).err().unwrap().to_string();
    assert!(refused(Bounds { entries: 0, ..bounds() }).starts_with("entries"));
    assert!(refused(Bounds { bytes: 600, ..bounds() }).starts_with("bytes"));
    assert!(Ledger::<u32>::new(Bounds::default(), 7).is_ok());
}
