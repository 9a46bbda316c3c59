//! Drains, as a registry marks them, under load. It has a file of its own so that nothing runs beside it.

mod common;

use common::*;
use std::time::{Duration, Instant};

/// Guards drains: 200 flips over 20 desk nodes under load. Nothing new reaches one that was marked 500 ms after that.
#[test]
fn two_hundred_flips_are_followed_in_time() {
    let registry = Eureka::start();
    let apps = fleet(&registry, 20);
    let daemon = start(&[&registry], "");
    serves(&daemon);
    until("all are known", || {
        asks(&daemon);
        apps.iter().all(|app| app.requests() > 0)
    });
    let load = Load::start(daemon.address, 6);
    // Each is marked for 0.8 s, in turn: (which, from, until).
    let mut marked: Vec<(usize, Instant, Option<Instant>)> = Vec::new();
    for flip in 0..108_usize {
        if flip < 100 {
            let status = ["OUT_OF_SERVICE", "DOWN"][flip % 2];
            registry.mark(APP, &id(flip % 20), status);
            marked.push((flip % 20, Instant::now(), None));
        }
        if let Some(back) = flip.checked_sub(8) {
            marked[back].2 = Some(Instant::now());
            registry.mark(APP, &id(back % 20), "UP");
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    let (served, other) = load.end();
    let mut latest = Duration::ZERO;
    for (n, from, until) in marked {
        for seen in apps[n].seen().iter().filter(|s| s.at > from && until.is_none_or(|u| s.at < u)) {
            latest = latest.max(seen.at - from);
        }
    }
    println!("200 flips: {served} served, {other} not; the last new request {latest:?} after a mark");
    assert!(latest < Duration::from_millis(500), "{latest:?}");
    assert!(served > 1000 && other * 100 <= served, "{served} served, {other} not");
}
