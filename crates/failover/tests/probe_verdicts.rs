//! Verdicts on zones that serve only their own clients: other zones observe them only by probe connections.

use maplehook_failover::report_store::ReportStore;
use maplehook_failover::verdict::{Verdict, VerdictMatrix};
use maplehook_failover::{Report, ZoneObservation, ZoneState};
use maplehook_locality::Zone;

/// Returns the reports of three balancers in each of four zones. Each balancer sends requests to its own zone
/// and probes the others. `change` alters an observation, given the zone of the observer.
fn reports(change: impl Fn(u16, &mut ZoneObservation)) -> Vec<Report> {
    let report = |from: u16| {
        let observe = |to: u16| {
            let (listed, usable) = (100.0, 100.0);
            let sent = if from == to { 20.0 } else { 0.0 };
            let probes = if from == to { 0.0 } else { 3.0 };
            let mut observation = ZoneObservation {
                zone: Zone(to),
                listed,
                usable,
                sent,
                ok: sent,
                probes,
                ..ZoneObservation::default()
            };
            change(from, &mut observation);
            observation
        };
        Report {
            zone: Zone(from),
            observations: (0..4).map(observe).collect(),
            ready: true,
            ..Report::default()
        }
    };
    (0..12).map(|n| report(n % 4)).collect()
}

fn assessed_states(change: impl Fn(u16, &mut ZoneObservation)) -> Vec<ZoneState> {
    let reports = reports(change);
    let report_refs: Vec<&Report> = reports.iter().collect();
    let (verdicts, _) = VerdictMatrix::of(4, &report_refs);
    verdicts
        .assess(&ReportStore::default(), &report_refs)
        .into_iter()
        .map(|assessment| assessment.state)
        .collect()
}

const SERVING: ZoneState = ZoneState::Serving;

#[test]
fn successful_probes_do_not_hide_failing_or_slow_requests() {
    assert_eq!(assessed_states(|_, _| {}), [SERVING; 4]);
    let states_with_failures = assessed_states(|_, s| {
        (s.ok, s.failed) = if s.zone == Zone(1) { (0.2 * s.sent, 0.8 * s.sent) } else { (s.ok, 0.0) }
    });
    assert_eq!(states_with_failures, [SERVING, ZoneState::Unhealthy, SERVING, SERVING]);
    let states_with_slow_answers = assessed_states(|_, s| {
        (s.ok, s.slow) = if s.zone == Zone(2) { (0.2 * s.sent, 0.8 * s.sent) } else { (s.ok, 0.0) }
    });
    assert_eq!(states_with_slow_answers, [SERVING, SERVING, ZoneState::Unhealthy, SERVING]);
}

#[test]
fn zone_stays_unreachable_after_its_balancers_stop_sending_to_it() {
    let fail_connections = |max_sent: f32| {
        move |_: u16, s: &mut ZoneObservation| {
            if s.zone == Zone(1) {
                s.sent = s.sent.min(max_sent);
                (s.ok, s.unreached, s.failed_probes) = (0.0, s.sent, s.probes);
            }
        }
    };
    assert_eq!(assessed_states(fail_connections(20.0))[1], ZoneState::Unreachable);
    assert_eq!(assessed_states(fail_connections(0.0))[1], ZoneState::Unreachable);
    // No requests are sent to the zone, and the probes of one other zone succeed.
    let reached_by_one_zone = |from: u16, s: &mut ZoneObservation| {
        fail_connections(0.0)(from, s);
        s.failed_probes = if from == 3 { 0.0 } else { s.failed_probes };
    };
    assert_ne!(assessed_states(reached_by_one_zone)[1], ZoneState::Unreachable);
}

#[test]
fn single_failed_probe_does_not_change_the_verdict() {
    assert_eq!(assessed_states(|_, s| s.failed_probes = s.probes.min(1.0)), [SERVING; 4]);
    let observation = ZoneObservation {
        listed: 1.0,
        usable: 1.0,
        sent: 9.0,
        ok: 9.0,
        probes: 3.0,
        failed_probes: 3.0,
        ..ZoneObservation::default()
    };
    assert_eq!(Verdict::of(&observation), Verdict::Healthy);
    assert_eq!(
        Verdict::of(&ZoneObservation { sent: 0.0, ok: 0.0, failed_probes: 1.0, ..observation }),
        Verdict::Reachable
    );
    assert_eq!(Verdict::of(&ZoneObservation { sent: 0.0, ok: 0.0, ..observation }), Verdict::Unreachable);
}
