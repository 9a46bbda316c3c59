//! What answers that are late or never come leave of the worth of requests, and of the room for others.

mod common;
use common::*;
use maplehook_core::*;
use std::collections::BTreeMap;
use std::time::Duration;

fn settings(effect: Effect) -> Settings {
    Settings { classes: vec![class(400, 1000, effect)], ..Settings::default() }
}

fn fleet(n: u64) -> Vec<Endpoint> {
    (1..=n).map(listed).collect()
}

/// What is worth nothing after its aim is not waited for where its work costs more than the connection that ends with
/// it; what still earns then is, and so is what a dear handshake would follow.
#[test]
fn an_attempt_ends_with_its_worth() {
    let ends = Some(ms(392));
    let cases = [(0.0, 0.0, ends), (0.5, 0.0, None), (0.0, 0.04, ends), (0.0, 0.08, None), (0.5, 0.08, None)];
    for (late_worth, handshake, ends) in cases {
        let mut set = settings(Effect::AtMostOnce);
        set.classes[0].late_value = late_worth;
        (set.prices.handshake, set.prices.waste) = (handshake, 0.04);
        let mut bench = Bench::new(set, &fleet(2));
        bench.request(0, 0, ms(1000));
        let Some(Action::Attempt { timeout, .. }) = bench.actions.last() else { panic!("not sent") };
        assert_eq!(*timeout, ends, "late worth {late_worth}, a handshake for {handshake}");
    }
}

/// Plays `count` requests, one each `gap`, of a class with an aim of 80 ms that may not run twice, each
/// answered after what `takes` says, or never. How many were refused, and how many answered after their aim.
fn refused_of(count: u32, gap: Duration, takes: impl Fn(u32) -> Option<Duration>) -> (usize, usize) {
    let mut late = 0;
    const DEADLINE: u64 = 2000;
    let settings = Settings {
        classes: vec![Class { late_value: 0.5, ..class(80, DEADLINE, Effect::AtMostOnce) }],
        tenants: vec![Tenant { allowance_per_s: 20.0 }],
        ..Settings::default()
    };
    let fleet: Vec<Endpoint> = (0..8).map(listed).collect();
    let mut bench = Bench::new(settings, &fleet);
    let mut ends: BTreeMap<(Duration, RequestId), Outcome> = BTreeMap::new();
    for k in 0..count {
        let next = bench.now + gap;
        while let Some((&(at, id), &outcome)) = ends.first_key_value().filter(|(key, _)| key.0 <= next) {
            ends.remove(&(at, id));
            bench.run(at.saturating_sub(bench.now));
            bench.ended(id, 0, outcome);
        }
        bench.run(next.saturating_sub(bench.now));
        let id = bench.request(0, 0, ms(DEADLINE));
        if bench.sent.contains_key(&id) {
            let (after, outcome) = takes(k).map_or((ms(DEADLINE), Outcome::TimedOut), |t| (t, Outcome::Ok));
            late += usize::from(outcome == Outcome::Ok && after > ms(80));
            ends.insert((bench.now + after, id), outcome);
        }
    }
    (bench.answers.values().filter(|a| **a == "refused").count(), late)
}

/// Guards the room against attempts that are lost on their way, here one in 25 for two seconds each once the
/// rate is known: those that were sent later have their answers, so there is no queue, and refusing others
/// helps nobody.
#[test]
fn attempts_that_are_lost_take_no_room() {
    let quick = |k: u32| Some(ms(15 + u64::from(k % 10)));
    let (without, _) = refused_of(12_000, ms(2), quick);
    let (with, _) = refused_of(12_000, ms(2), |k| if k > 4000 && k % 25 == 7 { None } else { quick(k) });
    assert!(with <= without + 1200, "{without} and {with} of 12000 refused");
}

/// Guards work that takes a good part of its aim alone, at any load: that is no queue, and to refuse ever
/// more would end with next to nothing admitted.
#[test]
fn what_work_takes_alone_is_no_queue() {
    let (refused, _) = refused_of(12_000, ms(2), |k| Some(ms(34 + u64::from(k % 10))));
    assert!(refused <= 2000, "{refused} of 12000 refused");
}

/// Guards the other side of that: where answers take ever longer the more is admitted, much is refused.
#[test]
fn a_queue_is_still_seen() {
    // One answer each 10 ms in all, in turn: half of what is asked for.
    let last = std::cell::Cell::new(0);
    let (refused, late) = refused_of(6000, ms(5), |k| {
        let (now, free) = (u64::from(k) * 5, last.get());
        last.set(free.max(now) + 10);
        Some(ms(last.get() - now))
    });
    assert!((2500..=3600).contains(&refused) && late <= 2300, "{refused} of 6000 refused, {late} late");
}

/// Long answers that stream are no queue: neither their upstreams nor the room for others suffer by them, and the
/// longest one is never sent again.
#[test]
fn streams_take_no_room() {
    for upload in [false, true] {
        let mut bench = Bench::new(settings(Effect::Idempotent), &fleet(4));
        let mut streams = Vec::new();
        for _ in 0..200 {
            let id = bench.request(0, 0, ms(1000));
            bench.run(ms(10));
            if bench.at(id, 0).is_some() {
                let latency = (!upload).then_some(ms(10));
                bench.tell(Event::StreamStarted { id, attempt: AttemptNo(0), latency });
                streams.push(id);
            }
        }
        assert!(streams.len() > 190, "{} of 200 streams", streams.len());
        bench.run(ms(2000));
        assert!(streams.iter().all(|id| bench.sent[id].len() == 1), "a stream was sent again");
        let before = bench.answers.values().filter(|a| **a == "served").count();
        bench.traffic(200, ms(10), |_| Some(Outcome::Ok));
        let served = bench.answers.values().filter(|a| **a == "served").count() - before;
        assert!(served > 190, "{served} of 200 served beside {} streams", streams.len());
    }
}
