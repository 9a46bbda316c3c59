//! Without the lease: a zone that is gone is not tried out again and again.

use maplehook_failover::{Acting, Demand, Sight};
use maplehook_locality::{Rules, Topology, Zone};
use std::time::Duration;

/// How often a balancer of the first zone, out of touch, sends its clients back to upstreams that are gone, in four minutes.
fn tries(gone: bool) -> usize {
    let topology = Topology::new([("north", vec!["a", "b"])]).unwrap();
    let mut acting = Acting::new(topology, Rules::near_first(1, 1), Zone(0), Duration::ZERO);
    let (mut sends, mut tries) = (true, 0);
    for n in 0..1200u32 {
        let now = Duration::from_millis(200) * n;
        let sent = if sends { 20.0 } else { 0.0 };
        let (ok, unreached) = if gone { (0.0, sent) } else { (sent, 0.0) };
        let own =
            Sight { listed: 100.0, usable: 100.0, stated: true, sent, ok, unreached, ..Sight::default() };
        let other = Sight { zone: Zone(1), sent: 1.0, ok: 1.0, unreached: 0.0, ..own };
        let demand = Demand { rule: 0, asked: 20.0, refused: 0.0 };
        let acts = acting.tick(now, false, &[own, other], &[demand]);
        let before = sends;
        sends = acts.rules[0].to.iter().any(|(zone, share)| *zone == Zone(0) && *share > 0.0);
        tries += usize::from(sends && !before);
    }
    tries
}

#[test]
fn what_is_gone_is_tried_less_and_less_often() {
    assert_eq!(tries(false), 0);
    // Every 6 s it would be 39 times.
    let tries = tries(true);
    assert!((2..=6).contains(&tries), "{tries}");
}
