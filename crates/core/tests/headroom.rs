//! Effects of late and missing answers on the value of requests and on the headroom for other requests.

mod common;
use common::*;
use maplehook_core::*;
use std::collections::BTreeMap;
use std::time::Duration;

fn settings(effect: Effect) -> Settings {
    Settings { classes: vec![class(400, 1000, effect)], ..Settings::default() }
}

fn fleet(n: u64) -> Vec<Endpoint> {
    (1..=n).map(endpoint).collect()
}

/// An attempt gets a timeout at the latency objective if late answers have no value, and wasted work costs
/// more than the handshake of a new connection. Otherwise the attempt gets no timeout.
#[test]
fn an_attempt_ends_at_the_objective_if_late_answers_have_no_value() {
    let at_objective = Some(ms(392));
    let cases = [
        (0.0, 0.0, at_objective),
        (0.5, 0.0, None),
        (0.0, 0.04, at_objective),
        (0.0, 0.08, None),
        (0.5, 0.08, None),
    ];
    for (late_value, handshake_price, expected) in cases {
        let mut settings = settings(Effect::AtMostOnce);
        settings.classes[0].late_value = late_value;
        (settings.prices.handshake, settings.prices.waste) = (handshake_price, 0.04);
        let mut harness = Harness::new(settings, &fleet(2));
        harness.send_request(0, 0, ms(1000));
        let Some(Action::Attempt { timeout, .. }) = harness.actions.last() else {
            panic!("no attempt was sent")
        };
        assert_eq!(
            *timeout, expected,
            "timeout for late value {late_value}, handshake price {handshake_price}"
        );
    }
}

/// Sends `count` at-most-once requests, one every `gap`, with a latency objective of 80 ms. `latency_of`
/// returns the latency of the answer to the request with this index, or `None` if the attempt times out.
/// Returns the number of rejected requests and the number of answers after the objective.
fn count_rejected_and_late(
    count: u32,
    gap: Duration,
    latency_of: impl Fn(u32) -> Option<Duration>,
) -> (usize, usize) {
    let mut late = 0;
    const DEADLINE_MS: u64 = 2000;
    let settings = Settings {
        classes: vec![Class { late_value: 0.5, ..class(80, DEADLINE_MS, Effect::AtMostOnce) }],
        tenants: vec![Tenant { allowance_per_s: 20.0 }],
        ..Settings::default()
    };
    let fleet: Vec<Endpoint> = (0..8).map(endpoint).collect();
    let mut harness = Harness::new(settings, &fleet);
    let mut pending_outcomes: BTreeMap<(Duration, RequestId), Outcome> = BTreeMap::new();
    for k in 0..count {
        let next_at = harness.now + gap;
        while let Some((&(ended_at, id), &outcome)) =
            pending_outcomes.first_key_value().filter(|(key, _)| key.0 <= next_at)
        {
            pending_outcomes.remove(&(ended_at, id));
            harness.advance(ended_at.saturating_sub(harness.now));
            harness.end_attempt(id, 0, outcome);
        }
        harness.advance(next_at.saturating_sub(harness.now));
        let id = harness.send_request(0, 0, ms(DEADLINE_MS));
        if harness.attempts.contains_key(&id) {
            let (latency, outcome) =
                latency_of(k).map_or((ms(DEADLINE_MS), Outcome::TimedOut), |latency| (latency, Outcome::Ok));
            late += usize::from(outcome == Outcome::Ok && latency > ms(80));
            pending_outcomes.insert((harness.now + latency, id), outcome);
        }
    }
    (harness.results.values().filter(|a| **a == "rejected").count(), late)
}

/// Lost answers must not reduce the headroom. Once the balancer knows the request rate, one answer in 25 is
/// lost, and its attempt stays in flight for two seconds. Later requests are still answered quickly: there is
/// no queue, and rejections would not help.
#[test]
fn lost_answers_do_not_reduce_the_headroom() {
    let short_latency = |k: u32| Some(ms(15 + u64::from(k % 10)));
    let (without_loss, _) = count_rejected_and_late(12_000, ms(2), short_latency);
    let (with_loss, _) =
        count_rejected_and_late(
            12_000,
            ms(2),
            |k| if k > 4000 && k % 25 == 7 { None } else { short_latency(k) },
        );
    assert!(
        with_loss <= without_loss + 1200,
        "rejected of 12,000 requests: {without_loss} without lost answers, {with_loss} with lost answers"
    );
}

/// A latency that is a large part of the objective at any load does not indicate a queue. Otherwise
/// the balancer would reject more and more requests, until it admitted almost none.
#[test]
fn constant_latency_is_not_taken_for_a_queue() {
    let (rejected, _) = count_rejected_and_late(12_000, ms(2), |k| Some(ms(34 + u64::from(k % 10))));
    assert!(rejected <= 2000, "{rejected} of 12,000 requests were rejected");
}

/// A real queue must still be detected: when latency rises with the number of admitted requests, many
/// requests are rejected.
#[test]
fn rising_latency_is_detected_as_a_queue() {
    // The upstreams together answer one request every 10 ms, in order, which is half of the request rate.
    let last_answer_ms = std::cell::Cell::new(0);
    let (rejected, late) = count_rejected_and_late(6000, ms(5), |k| {
        let (now_ms, free_at_ms) = (u64::from(k) * 5, last_answer_ms.get());
        last_answer_ms.set(free_at_ms.max(now_ms) + 10);
        Some(ms(last_answer_ms.get() - now_ms))
    });
    assert!(
        (2500..=3600).contains(&rejected) && late <= 2300,
        "{rejected} of 6,000 requests were rejected and {late} answered late"
    );
}

/// Long streams do not indicate a queue: they must not count against their upstreams or reduce the headroom
/// for other requests. A request with an open stream must never be sent again.
#[test]
fn streams_do_not_reduce_the_headroom() {
    for is_upload in [false, true] {
        let mut harness = Harness::new(settings(Effect::Idempotent), &fleet(4));
        let mut streams = Vec::new();
        for _ in 0..200 {
            let id = harness.send_request(0, 0, ms(1000));
            harness.advance(ms(10));
            if harness.upstream_of(id, 0).is_some() {
                let latency = (!is_upload).then_some(ms(10));
                harness.handle(Event::StreamStarted { id, attempt: AttemptNo(0), latency });
                streams.push(id);
            }
        }
        assert!(streams.len() > 190, "{} of 200 streams started", streams.len());
        harness.advance(ms(2000));
        assert!(
            streams.iter().all(|id| harness.attempts[id].len() == 1),
            "a request with a stream was sent again"
        );
        let before = harness.results.values().filter(|a| **a == "served").count();
        harness.run_traffic(200, ms(10), |_| Some(Outcome::Ok));
        let served = harness.results.values().filter(|a| **a == "served").count() - before;
        assert!(served > 190, "{served} of 200 requests were served during {} open streams", streams.len());
    }
}
