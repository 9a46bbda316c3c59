//! Tests of the budget of descriptors.

use super::*;
use proptest::prelude::*;

proptest! {
    /// Guards the limit: whatever happens, those of the classes together stay under it and none is zero.
    #[test]
    fn limits_of_classes_never_exceed_the_limit(
        configured_limit in MIN_DESCRIPTORS + 20..170_usize, process_limit in MIN_DESCRIPTORS + 20..170_usize, reserved in 0..20_usize, share in 0.0_f64..1.0,
        steps in prop::collection::vec((0_u8..4, 0_usize..150), 0..200),
    ) {
        let mut budget = DescriptorBudget::new(configured_limit, process_limit, reserved, share).unwrap();
        let (mut process_limit, mut configured_limit, mut now) = (process_limit, configured_limit, Duration::ZERO);
        for (kind, n) in steps {
            now += Duration::from_millis(n as u64);
            let n = if n > 100 { 5000 } else { n };
            match kind {
                0 => { budget.set_process_limit(n); process_limit = n.max(MIN_DESCRIPTORS + reserved) }
                1 => budget.record_exhaustion(now),
                2 => { budget.set_configured_limit(n); configured_limit = n.max(MIN_DESCRIPTORS + reserved) }
                _ => { budget.relax(now); }
            }
            let limits = [DescriptorClass::Clients, DescriptorClass::Upstreams].map(|p| budget.limit_of(p));
            prop_assert!(limits.iter().all(|n| *n > 0));
            prop_assert!(limits.iter().sum::<usize>() + BASE_DESCRIPTORS + DISCOVERY_DESCRIPTORS + REJECTION_DESCRIPTORS + reserved <= configured_limit.min(process_limit));
        }
        // Withheld descriptors are returned.
        budget.set_process_limit(process_limit);
        for _ in 0..20 {
            now += WITHHOLDING_TIME;
            budget.relax(now);
        }
        prop_assert_eq!(budget.withheld, 0);
    }
}

#[test]
fn too_few_descriptors_are_an_error() {
    assert_eq!(
        DescriptorBudget::new(MIN_DESCRIPTORS, MIN_DESCRIPTORS - 1, 0, 0.5).unwrap_err(),
        TooFewDescriptorsError(MIN_DESCRIPTORS - 1)
    );
    assert!(TooFewDescriptorsError(3).to_string().contains("3 descriptors"));
    assert_eq!(
        DescriptorBudget::new(MIN_DESCRIPTORS, MIN_DESCRIPTORS, 3, 0.5).unwrap_err(),
        TooFewDescriptorsError(MIN_DESCRIPTORS)
    );
    let mut budget = DescriptorBudget::new(1024, 1 << 20, 0, 0.45).unwrap();
    assert_eq!(
        (budget.limit_of(DescriptorClass::Upstreams), budget.limit_of(DescriptorClass::Clients)),
        (450, 550)
    );
    assert!(budget.set_process_limit(200));
    assert!(!budget.set_process_limit(200));
    assert_eq!(
        (budget.limit_of(DescriptorClass::Upstreams), budget.limit_of(DescriptorClass::Clients)),
        (79, 97)
    );
}
