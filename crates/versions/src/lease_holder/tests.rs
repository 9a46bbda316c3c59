use super::*;

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

fn update(epoch: u64, number: u64) -> PhaseUpdate {
    PhaseUpdate { epoch, phase: Phase::Stable(number), versions: Vec::new() }
}

#[test]
fn a_lease_lasts_from_the_time_before_its_request() {
    let times = LeaseTimes::new(seconds(5)).unwrap();
    let mut holder = LeaseHolder::new(times, LeaseExpiryPolicy::Conservative);
    assert_eq!(holder.effective_rules(seconds(0)), EffectiveRules::Conservative);
    let request_id = holder.begin_request(seconds(10));
    // The grant comes 3 s later; the lease is that much shorter.
    assert!(holder.accept_grant(request_id, 1, Some(update(1, 1))));
    assert_eq!(holder.effective_rules(seconds(13)), EffectiveRules::Phase(Phase::Stable(1)));
    assert_eq!(holder.effective_rules(seconds(14)), EffectiveRules::Conservative);
    // A grant that comes after its end is no lease.
    let late = holder.begin_request(seconds(20));
    holder.accept_grant(late, 1, None);
    assert_eq!(holder.effective_rules(seconds(24)), EffectiveRules::Conservative);
    assert!(!holder.accept_grant(late, 1, None), "nor is one that was accepted before");
    assert!(!holder.accept_grant(99, 9, Some(update(9, 9))), "nor one that was not requested");
}

#[test]
fn a_delayed_grant_does_not_restore_an_earlier_phase() {
    let mut holder = LeaseHolder::new(LeaseTimes::new(seconds(5)).unwrap(), LeaseExpiryPolicy::Reject);
    let (first, second) = (holder.begin_request(seconds(1)), holder.begin_request(seconds(2)));
    assert!(holder.accept_grant(second, 2, Some(update(2, 2))));
    assert!(!holder.accept_grant(first, 1, Some(update(1, 1))));
    assert_eq!(holder.effective_rules(seconds(3)), EffectiveRules::Phase(Phase::Stable(2)));
    assert_eq!(holder.effective_rules(seconds(60)), EffectiveRules::RejectAll);
    let waits = LeaseHolder::new(LeaseTimes::new(seconds(5)).unwrap(), LeaseExpiryPolicy::WaitForAll);
    assert_eq!(waits.effective_rules(seconds(1)), EffectiveRules::Conservative, "it has received nothing");
}
