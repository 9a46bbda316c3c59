//! A body that is agreed on for another matter brings the same state of addresses again.

use maplehook_address_announcement::{Address, Announce, Decider, SiteHealth};
use maplehook_locality::Region;
use std::collections::BTreeMap;
use std::time::Duration;

/// Plans change more often than a hand-over lasts: it must come to its end all the same.
#[test]
fn a_hand_over_goes_on_while_other_things_are_agreed_on() {
    let address = Address {
        name: "front".into(),
        address: "203.0.113.10:443".into(),
        announce: Announce::One,
        keep_at_least: 1,
        withdraw_after: Duration::from_secs(1),
        return_after: Duration::from_secs(1),
        sites: vec![Region(0), Region(1)],
    };
    let mut decider = Decider::new(vec![address], vec!["a".into(), "b".into()], None, Duration::ZERO);
    let health = |n: u16| SiteHealth { region: Region(n), served: 1.0, near: 1.0, ready: 1, cut_off: false };
    for n in 0..40 {
        let now = Duration::from_millis(400) * n;
        if let Some(state) = decider.tick(now, &[health(0), health(1)], &BTreeMap::new()) {
            decider.accepted(&state);
        }
        // Another plan, in one body with what stood before.
        let stands = decider.state().clone();
        decider.accepted(&stands);
    }
    assert_eq!(decider.state().addresses["front"].holder.as_deref(), Some("a"));
}
