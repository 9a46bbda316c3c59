use super::*;

#[test]
fn unsupported_times_are_rejected() {
    assert!(LeaseTimes::new(Duration::from_millis(999)).is_none());
    let times = LeaseTimes::new(Duration::from_secs(5)).unwrap();
    assert!(times.max_lease() < times.max_conflict && times.renew_interval * 5 < times.lease);
}
