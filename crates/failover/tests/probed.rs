//! Zones that serve only their own: others know of them by connections alone.

use maplehook_failover::report_store::ReportStore;
use maplehook_failover::verdict::{Verdict, VerdictMatrix};
use maplehook_failover::{Report, ZoneObservation, ZoneState};
use maplehook_locality::Zone;

/// Three balancers in each of four zones; each sends to its own zone and probes the others.
fn reports(change: impl Fn(u16, &mut ZoneObservation)) -> Vec<Report> {
    let report = |from: u16| {
        let sight = |to: u16| {
            let (listed, usable) = (100.0, 100.0);
            let sent = if from == to { 20.0 } else { 0.0 };
            let probes = if from == to { 0.0 } else { 3.0 };
            let mut sight = ZoneObservation {
                zone: Zone(to),
                listed,
                usable,
                sent,
                ok: sent,
                probes,
                ..ZoneObservation::default()
            };
            change(from, &mut sight);
            sight
        };
        Report {
            zone: Zone(from),
            observations: (0..4).map(sight).collect(),
            ready: true,
            ..Report::default()
        }
    };
    (0..12).map(|n| report(n % 4)).collect()
}

fn states(change: impl Fn(u16, &mut ZoneObservation)) -> Vec<ZoneState> {
    let reports = reports(change);
    let all: Vec<&Report> = reports.iter().collect();
    let (views, _) = VerdictMatrix::of(4, &all);
    views.assess(&ReportStore::default(), &all).into_iter().map(|seen| seen.state).collect()
}

const WELL: ZoneState = ZoneState::Serving;

#[test]
fn connections_that_are_made_do_not_make_a_zone_well_that_fails_or_is_slow() {
    assert_eq!(states(|_, _| {}), [WELL; 4]);
    let fails = states(|_, s| {
        (s.ok, s.failed) = if s.zone == Zone(1) { (0.2 * s.sent, 0.8 * s.sent) } else { (s.ok, 0.0) }
    });
    assert_eq!(fails, [WELL, ZoneState::Unhealthy, WELL, WELL]);
    let slow = states(|_, s| {
        (s.ok, s.slow) = if s.zone == Zone(2) { (0.2 * s.sent, 0.8 * s.sent) } else { (s.ok, 0.0) }
    });
    assert_eq!(slow, [WELL, WELL, ZoneState::Unhealthy, WELL]);
}

#[test]
fn a_lost_zone_stays_lost_when_its_own_balancers_send_there_no_more() {
    let gone = |sent: f32| {
        move |_: u16, s: &mut ZoneObservation| {
            if s.zone == Zone(1) {
                s.sent = s.sent.min(sent);
                (s.ok, s.unreached, s.failed_probes) = (0.0, s.sent, s.probes);
            }
        }
    };
    assert_eq!(states(gone(20.0))[1], ZoneState::Unreachable);
    assert_eq!(states(gone(0.0))[1], ZoneState::Unreachable);
    // Quiet, and found there by one zone: nobody knows that it is lost.
    let one = |from: u16, s: &mut ZoneObservation| {
        gone(0.0)(from, s);
        s.failed_probes = if from == 3 { 0.0 } else { s.failed_probes };
    };
    assert_ne!(states(one)[1], ZoneState::Unreachable);
}

#[test]
fn a_probe_that_failed_among_many_requests_is_nothing() {
    assert_eq!(states(|_, s| s.failed_probes = s.probes.min(1.0)), [WELL; 4]);
    let sight = ZoneObservation {
        listed: 1.0,
        usable: 1.0,
        sent: 9.0,
        ok: 9.0,
        probes: 3.0,
        failed_probes: 3.0,
        ..ZoneObservation::default()
    };
    assert_eq!(Verdict::of(&sight), Verdict::Healthy);
    assert_eq!(
        Verdict::of(&ZoneObservation { sent: 0.0, ok: 0.0, failed_probes: 1.0, ..sight }),
        Verdict::Reachable
    );
    assert_eq!(Verdict::of(&ZoneObservation { sent: 0.0, ok: 0.0, ..sight }), Verdict::Unreachable);
}
