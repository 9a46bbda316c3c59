use super::*;
use maplehook_history_checker::record::{ActedRow, Upstream};

const S: u64 = 1_000_000;

fn header() -> Header {
    let up = |zone: &str| Upstream { zone: zone.into(), room_per_s: 10.0 };
    Header {
        balancers: [("b1".into(), "a".into()), ("b2".into(), "b".into())].into(),
        upstreams: [("a-1".into(), up("a")), ("b-1".into(), up("b"))].into(),
        ..Header::default()
    }
}

fn line(at_us: u64, by: &str, what: What) -> Record {
    Record { at_us, by: by.into(), what }
}

fn acts(at_us: u64, by: &str, epoch: u64, to_b: u16) -> Record {
    let to = [("a".to_owned(), 10_000 - to_b), ("b".to_owned(), to_b)].into();
    let rows = vec![ActedRow { rule: "all".into(), from: "b".into(), to }];
    line(at_us, by, What::Acts { epoch, rows, in_common: true })
}

fn span() -> Span {
    Span { fault: ZoneFault::Lost { zones: vec!["b".into()] }, from_us: 10 * S, to_us: 20 * S }
}

fn asked(at_us: u64, id: u64, outcome: Outcome) -> [Record; 2] {
    let sent = What::Sent { id, to: "b1".into(), class: "look".into(), once: false };
    [line(at_us, "client-a", sent), line(at_us + 1000, "client-a", What::Ended { id, outcome })]
}

#[test]
fn a_plan_is_in_force_when_the_last_in_touch_acts_by_it_and_it_spares_what_is_gone() {
    let mut records = vec![acts(S, "b1", 3, 5000), acts(S, "b2", 3, 5000)];
    let of = |records: &[Record]| in_force(&header(), records, &span());
    assert_eq!(of(&records), None, "the plan of before is none");
    let again = [acts(S, "b1", 3, 0), acts(S, "b2", 3, 0), acts(11 * S, "b1", 3, 0)];
    assert_eq!(of(&again), None, "nor is it if it happens to spare what is gone");
    records.extend([acts(11 * S, "b1", 4, 0), acts(12 * S, "b2", 4, 10)]);
    assert_eq!(of(&records), None, "it still sends something there");
    records.extend([acts(13 * S, "b1", 5, 0), acts(14 * S, "b2", 5, 0)]);
    assert_eq!(of(&records), Some(4 * S));
    let killed = line(12 * S + 1, "rig", What::Did { act: "kill".into(), to: "b2".into() });
    records.insert(4, killed);
    assert_eq!(of(&records), Some(2 * S + 1), "who was killed is not waited for");
}

#[test]
fn the_last_share_into_what_is_gone_is_that_of_the_slowest() {
    let mut records = vec![acts(S, "b1", 3, 5000), acts(S, "b2", 3, 5000), acts(11 * S, "b1", 4, 0)];
    let of = |records: &[Record]| last_share(&header(), records, &span());
    assert_eq!(of(&records), None);
    records.push(acts(13 * S, "b2", 4, 0));
    assert_eq!(of(&records), Some(3 * S));
    records.push(acts(14 * S, "b2", 5, 1));
    assert_eq!(of(&records), None, "it began again");
}

#[test]
fn requests_into_what_is_gone_are_those_that_ran_and_those_that_were_tried() {
    let ran = |at, by: &str| line(at, by, What::Ran { id: 1, through: "b1".into() });
    let tried = |at, up: &str| line(at, "rig", What::Note { text: into(up, "b1") });
    let records = [
        ran(9 * S, "b-1"),
        ran(11 * S, "b-1"),
        tried(12 * S, "b-1"),
        tried(13 * S, "a-1"),
        ran(14 * S, "a-1"),
        ran(21 * S, "b-1"),
    ];
    assert_eq!(last_into(&header(), &records, &span()), Some((2 * S, 2)));
    assert_eq!(near(&header(), &records, |_| true), (1, 4));
}

#[test]
fn full_service_begins_after_the_last_second_without_it() {
    let mut records = Vec::new();
    for n in 0..100 {
        let at = 10 * S + n * S / 10;
        let outcome = if at < 12 * S { Outcome::Refused } else { Outcome::Ok };
        records.extend(asked(at, n, outcome));
    }
    let rows = rows(&header(), &records, &[span()]);
    assert_eq!(rows[0].full, Some(2 * S + 3 * S / 4), "a second that has one bad moment is not full");
    assert!((rows[0].served - 0.8).abs() < 1e-9);
    records.extend(asked(19 * S + S / 2, 200, Outcome::Lost));
    let counts = served(&records, 10 * S, 20 * S);
    assert_eq!(full(&counts), None, "not until the fault's end");
    assert_eq!(full(&[(5, 5); 40]), Some(0));
}

#[test]
fn the_worst_load_is_that_of_any_second() {
    let ran = |n: u64, by: &str| line(10 * S + n * S / 20, by, What::Ran { id: n, through: "b1".into() });
    let mut records: Vec<Record> = (0..20).map(|n| ran(n, "b-1")).collect();
    records.push(ran(90, "a-1"));
    let whole = whole(&header(), &records, &[span()]);
    assert_eq!((whole.worst_load, whole.worst_zone.as_str()), (2.0, "b"));
    assert!((whole.near - 1.0 / 21.0).abs() < 1e-9);
}
