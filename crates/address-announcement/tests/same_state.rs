//! An unchanged address state may be agreed again together with other content.

use maplehook_address_announcement::{Address, Announce, Decider, SiteHealth};
use maplehook_locality::Region;
use std::collections::BTreeMap;
use std::time::Duration;

/// Guards against a handover that restarts with each agreed log entry and never ends, because plans change
/// more often than a handover takes.
#[test]
fn a_handover_completes_while_other_content_is_agreed() {
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
    let site_health =
        |n: u16| SiteHealth { region: Region(n), served: 1.0, near: 1.0, ready: 1, cut_off: false };
    for n in 0..40 {
        let now = Duration::from_millis(400) * n;
        if let Some(state) = decider.tick(now, &[site_health(0), site_health(1)], &BTreeMap::new()) {
            decider.accepted(&state);
        }
        // The log entry carries a new plan and the unchanged address state.
        let unchanged_state = decider.state().clone();
        decider.accepted(&unchanged_state);
    }
    assert_eq!(decider.state().addresses["front"].holder.as_deref(), Some("a"));
}
