//! Tests of the order: stages are nested and spread over the zones, and a zone keeps its share.

use super::*;
use proptest::prelude::*;

fn plan(stages: &str) -> Plan {
    crate::plan::parse(&format!("[change]\nprogram = 'p'\nzone_share = 0.34\n{stages}")).unwrap()
}

fn members(zones: &[usize]) -> Vec<Member> {
    let of = |(z, n): (usize, &usize)| -> Vec<Member> {
        (0..*n).map(|k| Member { name: format!("b{z}-{k}"), zone: format!("z{z}") }).collect()
    };
    zones.iter().enumerate().flat_map(of).collect()
}

const STAGES: &str =
    "[[stage]]\nshare = 0.01\n[[stage]]\nshare = 0.05\n[[stage]]\nshare = 0.25\n[[stage]]\nshare = 1.0\n";

proptest! {
    /// Stages are nested, spread over the zones, and the last is everybody; the same at whoever reckons it.
    #[test]
    fn stages_are_nested_and_spread(zones in prop::collection::vec(1usize..40, 1..5), number in any::<u64>()) {
        let (plan, members) = (plan(STAGES), members(&zones));
        let order = StageOrder::new(&plan, &members, number).unwrap();
        prop_assert_eq!(&order, &StageOrder::new(&plan, &members, number).unwrap());
        prop_assert_eq!(order.stage(0).len(), (members.len() as f64 * 0.01).ceil() as usize);
        for stage in 1..order.stages() {
            prop_assert!(order.stage(stage).starts_with(order.stage(stage - 1)));
        }
        let mut all = order.stage(3).to_vec();
        all.sort();
        let mut expected = members.clone();
        expected.sort();
        prop_assert_eq!(all, expected);
        // No zone has two more than another one of which some are left.
        let third = order.stage(2);
        let of = |zone: usize| third.iter().filter(|m| m.zone == format!("z{zone}")).count();
        for a in 0..zones.len() {
            for (b, size) in zones.iter().enumerate() {
                prop_assert!(of(a) <= of(b) + 1 || of(b) == *size);
            }
        }
    }

    /// No more of a zone are ever away than its share, or one.
    #[test]
    fn a_zone_keeps_its_share(zones in prop::collection::vec(1usize..12, 1..4), away in prop::collection::btree_set(0usize..30, 0..9)) {
        let (plan, members) = (plan(STAGES), members(&zones));
        let order = StageOrder::new(&plan, &members, 7).unwrap();
        let all: BTreeSet<String> = members.iter().map(|m| m.name.clone()).collect();
        let away: BTreeSet<String> = away.iter().filter_map(|n| members.get(*n)).map(|m| m.name.clone()).collect();
        let go = order.select_for_change(&plan, &all, &away);
        for (z, size) in zones.iter().enumerate() {
            let before = away.iter().filter(|name| name.starts_with(&format!("b{z}-"))).count();
            let more = go.iter().filter(|name| name.starts_with(&format!("b{z}-"))).count();
            let most = ((*size as f64 * 0.34) as usize).max(1);
            prop_assert!(more == 0 || before + more <= most);
            prop_assert!(more > 0 || before >= most || before == *size);
        }
    }
}

#[test]
fn names_come_first_and_must_exist() {
    let named = "[[stage]]\nnames = ['b1-2']\n[[stage]]\nshare = 0.5\n[[stage]]\nshare = 1.0\n";
    let order = StageOrder::new(&plan(named), &members(&[3, 3]), 1).unwrap();
    assert_eq!(order.stage(0).iter().map(|m| m.name.as_str()).collect::<Vec<_>>(), ["b1-2"]);
    assert_eq!(order.stage(1).len(), 3);
    assert!(order.is_in_stage(1, "b1-2"));
    let wrong = StageOrder::new(&plan(named), &members(&[3]), 1);
    assert_eq!(wrong.map_err(|e| e.to_string()), Err("there is no balancer \"b1-2\"".into()));
}
