use super::*;
use std::sync::Arc;
use std::time::Duration;

#[test]
fn a_member_that_rejects_all_writes_nothing_that_it_holds() {
    let file = "[listen]\naddress = '127.0.0.1:0'\n[[class]]\nname = 'all'\npath = '/**'\n[[upstream]]\nname = 'u'\naddress = '127.0.0.1:9'\n";
    let rules = Arc::new(maplehook_config::parse(file).unwrap().proxy.unwrap());
    let now = Instant::now();
    let lease_end = now + Duration::from_secs(2);
    let active_version = |has_conservative_rules: bool| ActiveVersion {
        epoch: 1,
        label: "1".into(),
        rules: Arc::clone(&rules),
        lease_end: Some(lease_end),
        conservative_rules: has_conservative_rules.then(|| Arc::clone(&rules)),
        lacks_lease: false,
    };
    let after = lease_end + Duration::from_millis(1);
    let (conservative, rejecting) = (active_version(true), active_version(false));
    assert_eq!(
        engine_lease(&conservative, conservative.mode(now), now),
        Lease::Until { until: lease_end.into(), covers_first_attempts: false }
    );
    assert_eq!(
        engine_lease(&rejecting, rejecting.mode(now), now),
        Lease::Until { until: lease_end.into(), covers_first_attempts: true }
    );
    assert_eq!(
        engine_lease(&conservative, conservative.mode(after), after),
        Lease::Unlimited,
        "its rules are the conservative ones"
    );
    assert_eq!(
        engine_lease(&rejecting, rejecting.mode(after), after),
        Lease::Until { until: after.into(), covers_first_attempts: true }
    );
}
