//! Guarantees of the ledger for random orders of events.

use maplehook::ledger::{
    Bounds, EntryId, FinalAnswer, Fingerprint, Identity, IdentityConflict, Ledger, OpenResult,
};
use proptest::prelude::*;
use std::collections::{HashMap, HashSet};
use std::time::Duration;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn numbered_identity(n: u32) -> Identity {
    Identity { tenant: n % 3, id: format!("order-{n}").into_bytes().into() }
}

const CONTENT: Fingerprint = Fingerprint::new(41);

fn bounds() -> Bounds {
    Bounds { entries: 8, bytes: 8192, max_answer_bytes: 512, waiters: 2, retention: ms(1000) }
}

#[derive(Clone, Debug)]
enum Step {
    Open(u32),
    Complete(usize, u8, usize),
    RemoveWaiter(usize),
    AdvanceClock(u64),
    SetClockBack(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        5 => (0_u32..12).prop_map(Step::Open),
        3 => (any::<usize>(), 0_u8..3, 0_usize..1000)
            .prop_map(|(n, kind, length)| Step::Complete(n, kind, length)),
        1 => any::<usize>().prop_map(Step::RemoveWaiter),
        2 => (0_u64..700).prop_map(Step::AdvanceClock),
        1 => (0_u64..5000).prop_map(Step::SetClockBack),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2000))]

    /// While an entry is open or retained, its request is sent once and all callers get the same answer. The
    /// ledger stays within its bounds and drops no live entry.
    #[test]
    fn requests_are_sent_once_for_every_order_of_events(steps in prop::collection::vec(step(), 0..200)) {
        let mut ledger: Ledger<u32> = Ledger::new(bounds(), 7).unwrap();
        let (mut now, mut latest) = (Duration::ZERO, Duration::ZERO);
        let mut open: HashMap<Identity, (EntryId, Vec<u64>)> = HashMap::new();
        let mut answered: HashMap<Identity, (FinalAnswer<u32>, Duration)> = HashMap::new();
        let mut notified: HashSet<u64> = HashSet::new();
        for (k, step) in steps.into_iter().enumerate() {
            let waiter = k as u64;
            let pick = |n: usize| {
                let mut identities: Vec<_> = open.keys().cloned().collect();
                identities.sort_by(|a, b| a.id.cmp(&b.id));
                (!identities.is_empty()).then(|| identities[n % identities.len()].clone())
            };
            match step {
                Step::AdvanceClock(delta) => { now += ms(delta); }
                Step::SetClockBack(delta) => { now = now.saturating_sub(ms(delta)); }
                Step::Open(n) => {
                    let identity = numbered_identity(n);
                    latest = latest.max(now);
                    answered.retain(|_, (_, at)| latest < *at + ms(1000));
                    // Another request under the name of a live one changes nothing.
                    if open.contains_key(&identity) || answered.contains_key(&identity) {
                        let other = ledger.open(now, &identity, Fingerprint::UNKNOWN, waiter);
                        prop_assert!(matches!(other, OpenResult::Conflict(_)), "{:?}", other);
                    }
                    match ledger.open(now, &identity, CONTENT, waiter) {
                        OpenResult::First(id) => {
                            prop_assert!(
                                !open.contains_key(&identity) && !answered.contains_key(&identity),
                                "a live request was sent again"
                            );
                            open.insert(identity, (id, vec![waiter]));
                        }
                        OpenResult::Joined(id) => {
                            let (first, waiters) = open.get_mut(&identity).expect("a joined entry is open");
                            prop_assert_eq!(*first, id);
                            waiters.push(waiter);
                            prop_assert!(waiters.len() <= 3);
                        }
                        OpenResult::Answered(answer) =>
                            prop_assert_eq!(Some(&answer), answered.get(&identity).map(|e| &e.0)),
                        OpenResult::TooManyWaiters => prop_assert_eq!(open[&identity].1.len(), 3),
                        OpenResult::Conflict(_) => prop_assert!(false, "the same request is a conflict"),
                        OpenResult::Full => {
                            prop_assert!(!open.contains_key(&identity) && !answered.contains_key(&identity));
                            let expected_bytes = open.len() * (160 + 512) + answered.len() * 160;
                            prop_assert!(ledger.len() == 8 || expected_bytes + 160 + 512 > 8192 - 2000);
                        }
                    }
                }
                Step::Complete(n, kind, length) => if let Some(identity) = pick(n) {
                    let (id, waiters) = open.remove(&identity).unwrap();
                    let answer = match kind {
                        0 => FinalAnswer::Served(k as u32),
                        1 => FinalAnswer::Failed,
                        _ => FinalAnswer::Rejected,
                    };
                    latest = latest.max(now);
                    let notified_waiters = ledger.complete(now, id, answer.clone(), length);
                    prop_assert_eq!(&notified_waiters, &waiters, "complete() returns every waiter once");
                    prop_assert!(notified_waiters.iter().all(|w| notified.insert(*w)));
                    // A second answer notifies no waiter.
                    prop_assert!(ledger.complete(now, id, FinalAnswer::Failed, 0).is_empty());
                    let retained = match answer {
                        FinalAnswer::Served(_) if length > 512 => Some(FinalAnswer::ServedNotCached),
                        FinalAnswer::Rejected => None,
                        other => Some(other),
                    };
                    if let Some(retained) = retained { answered.insert(identity, (retained, latest)); }
                },
                Step::RemoveWaiter(n) => if let Some(identity) = pick(n) {
                    let (id, waiters) = open.get_mut(&identity).unwrap();
                    if let Some(waiter) = waiters.pop() {
                        prop_assert_eq!(ledger.remove_waiter(*id, waiter), waiters.is_empty());
                    }
                },
            }
            prop_assert!(
                ledger.len() <= 8 && ledger.bytes() <= 8192,
                "{} entries, {} bytes",
                ledger.len(),
                ledger.bytes()
            );
            prop_assert!(ledger.len() >= open.len());
        }
    }
}

/// A flood of new requests must not evict live entries, open or answered. Expired entries free their
/// capacity.
#[test]
fn a_full_ledger_rejects_new_requests_and_evicts_no_entry() {
    let mut ledger: Ledger<u32> = Ledger::new(bounds(), 7).unwrap();
    let OpenResult::First(first) = ledger.open(ms(0), &numbered_identity(0), CONTENT, 0) else { panic!() };
    let OpenResult::First(second) = ledger.open(ms(0), &numbered_identity(1), CONTENT, 1) else { panic!() };
    ledger.complete(ms(0), second, FinalAnswer::Served(5), 100);
    let rejected_count = (2..10_000)
        .filter(|n| ledger.open(ms(1), &numbered_identity(*n), CONTENT, 9) == OpenResult::Full)
        .count();
    assert_eq!(rejected_count, 9_998 - 6);
    assert_eq!(
        ledger.open(ms(999), &numbered_identity(1), CONTENT, 2),
        OpenResult::Answered(FinalAnswer::Served(5))
    );
    assert_eq!(ledger.open(ms(999), &numbered_identity(0), CONTENT, 3), OpenResult::Joined(first));
    // An open entry never expires.
    assert_eq!(ledger.open(ms(100_000), &numbered_identity(0), CONTENT, 4), OpenResult::Joined(first));
    assert!(matches!(ledger.open(ms(100_000), &numbered_identity(1), CONTENT, 5), OpenResult::First(_)));
}

/// A caller that disconnects before the answer must not cause a second send: a repeat joins the open entry
/// and gets its answer.
#[test]
fn a_repeat_after_a_disconnect_gets_the_same_answer() {
    let mut ledger: Ledger<u32> = Ledger::new(bounds(), 7).unwrap();
    let OpenResult::First(id) = ledger.open(ms(0), &numbered_identity(0), CONTENT, 0) else { panic!() };
    assert!(ledger.remove_waiter(id, 0));
    assert_eq!(ledger.open(ms(1), &numbered_identity(0), CONTENT, 1), OpenResult::Joined(id));
    assert_eq!(ledger.complete(ms(2), id, FinalAnswer::Failed, 0), [1]);
    assert_eq!(
        ledger.open(ms(3), &numbered_identity(0), CONTENT, 2),
        OpenResult::Answered(FinalAnswer::Failed)
    );
    // The same id of another tenant is another effect.
    let other = Identity { tenant: 2, ..numbered_identity(0) };
    assert!(matches!(ledger.open(ms(3), &other, CONTENT, 3), OpenResult::First(_)));
}

/// Guards against answers to another request (postmortem 81-foreign-answers): under the name of a request, another one gets
/// no answer and is not sent, and neither is one whose content is not known.
#[test]
fn another_request_under_the_same_name_is_a_conflict() {
    let mut ledger: Ledger<u32> = Ledger::new(bounds(), 7).unwrap();
    let (identity, other_content) = (numbered_identity(0), Fingerprint::new(42));
    let OpenResult::First(id) = ledger.open(ms(0), &identity, CONTENT, 0) else { panic!() };
    for fingerprint in [other_content, Fingerprint::UNKNOWN] {
        let conflict = OpenResult::Conflict(IdentityConflict::Open);
        assert_eq!(ledger.open(ms(1), &identity, fingerprint, 1), conflict);
    }
    assert_eq!(ledger.open(ms(1), &identity, CONTENT, 2), OpenResult::Joined(id));
    assert_eq!(ledger.complete(ms(2), id, FinalAnswer::Served(5), 100), [0, 2]);
    for fingerprint in [other_content, Fingerprint::UNKNOWN] {
        let conflict = OpenResult::Conflict(IdentityConflict::Answered);
        assert_eq!(ledger.open(ms(3), &identity, fingerprint, 3), conflict);
    }
    assert_eq!(ledger.open(ms(3), &identity, CONTENT, 4), OpenResult::Answered(FinalAnswer::Served(5)));
    // What never ran leaves the name free, and so does its time.
    let OpenResult::First(id) = ledger.open(ms(1002), &identity, Fingerprint::UNKNOWN, 5) else { panic!() };
    let conflict = OpenResult::Conflict(IdentityConflict::Open);
    assert_eq!(ledger.open(ms(1003), &identity, Fingerprint::UNKNOWN, 6), conflict);
    ledger.complete(ms(1004), id, FinalAnswer::Rejected, 0);
    assert!(matches!(ledger.open(ms(1005), &identity, other_content, 7), OpenResult::First(_)));
}

/// Bounds without room for one entry would make the ledger reject every request.
#[test]
fn invalid_bounds_are_rejected() {
    let error_of = |b: Bounds| Ledger::<u32>::new(b, 7).err().unwrap().to_string();
    assert!(error_of(Bounds { entries: 0, ..bounds() }).starts_with("entries"));
    assert!(error_of(Bounds { bytes: 600, ..bounds() }).starts_with("bytes"));
    assert!(Ledger::<u32>::new(Bounds::default(), 7).is_ok());
}
