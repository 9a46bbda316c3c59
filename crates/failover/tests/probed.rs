//! Zones that serve only their own: others know of them by connections alone.

use maplehook_failover::evidence::{Views, Word};
use maplehook_failover::heard::Heard;
use maplehook_failover::{PlaceState, Report, Sight};
use maplehook_locality::Zone;

/// Three balancers in each of four zones; each sends to its own zone and probes the others.
fn reports(change: impl Fn(u16, &mut Sight)) -> Vec<Report> {
    let report = |from: u16| {
        let sight = |to: u16| {
            let (listed, usable) = (100.0, 100.0);
            let sent = if from == to { 20.0 } else { 0.0 };
            let probed = if from == to { 0.0 } else { 3.0 };
            let mut sight =
                Sight { zone: Zone(to), listed, usable, sent, ok: sent, probed, ..Sight::default() };
            change(from, &mut sight);
            sight
        };
        Report { zone: Zone(from), sights: (0..4).map(sight).collect(), ready: true, ..Report::default() }
    };
    (0..12).map(|n| report(n % 4)).collect()
}

fn states(change: impl Fn(u16, &mut Sight)) -> Vec<PlaceState> {
    let reports = reports(change);
    let all: Vec<&Report> = reports.iter().collect();
    let (views, _) = Views::of(4, &all);
    views.seen(&Heard::default(), &all).into_iter().map(|seen| seen.state).collect()
}

const WELL: PlaceState = PlaceState::Serving;

#[test]
fn connections_that_are_made_do_not_make_a_zone_well_that_fails_or_is_slow() {
    assert_eq!(states(|_, _| {}), [WELL; 4]);
    let fails = states(|_, s| {
        (s.ok, s.failed) = if s.zone == Zone(1) { (0.2 * s.sent, 0.8 * s.sent) } else { (s.ok, 0.0) }
    });
    assert_eq!(fails, [WELL, PlaceState::Ill, WELL, WELL]);
    let slow = states(|_, s| {
        (s.ok, s.slow) = if s.zone == Zone(2) { (0.2 * s.sent, 0.8 * s.sent) } else { (s.ok, 0.0) }
    });
    assert_eq!(slow, [WELL, WELL, PlaceState::Ill, WELL]);
}

#[test]
fn a_lost_zone_stays_lost_when_its_own_balancers_send_there_no_more() {
    let gone = |sent: f32| {
        move |_: u16, s: &mut Sight| {
            if s.zone == Zone(1) {
                s.sent = s.sent.min(sent);
                (s.ok, s.unreached, s.unprobed) = (0.0, s.sent, s.probed);
            }
        }
    };
    assert_eq!(states(gone(20.0))[1], PlaceState::Lost);
    assert_eq!(states(gone(0.0))[1], PlaceState::Lost);
    // Quiet, and found there by one zone: nobody knows that it is lost.
    let one = |from: u16, s: &mut Sight| {
        gone(0.0)(from, s);
        s.unprobed = if from == 3 { 0.0 } else { s.unprobed };
    };
    assert_ne!(states(one)[1], PlaceState::Lost);
}

#[test]
fn a_probe_that_failed_among_many_requests_is_nothing() {
    assert_eq!(states(|_, s| s.unprobed = s.probed.min(1.0)), [WELL; 4]);
    let sight = Sight {
        listed: 1.0,
        usable: 1.0,
        sent: 9.0,
        ok: 9.0,
        probed: 3.0,
        unprobed: 3.0,
        ..Sight::default()
    };
    assert_eq!(Word::of(&sight), Word::Well);
    assert_eq!(Word::of(&Sight { sent: 0.0, ok: 0.0, unprobed: 1.0, ..sight }), Word::Reached);
    assert_eq!(Word::of(&Sight { sent: 0.0, ok: 0.0, ..sight }), Word::Out);
}
