//! Contradictions between two sets of rules, and the strictest set made of merged.

mod common;

use common::fixed_seed_config;
use maplehook_locality::contradict::MAX_CONTRADICTIONS;
use maplehook_locality::rules::MAX_RULES;
use maplehook_locality::{Rule, Rules, WhenLost, Zone, contradictions, strictest};
use proptest::prelude::*;

const CLASSES: usize = 3;
const TENANTS: usize = 2;

fn names(kind: &str, count: usize) -> Vec<String> {
    (0..count).map(|n| format!("{kind}{n}")).collect()
}

fn contradictions_between(a: &Rules, b: &Rules) -> Vec<String> {
    contradictions(a, b, &names("c", CLASSES), &names("t", TENANTS))
}

fn rule(name: &str, never: &[u16], most: f64, when_lost: WhenLost) -> Rule {
    let never = never.iter().copied().map(Zone).collect();
    Rule { name: name.into(), never, beyond_region_most: most, when_lost, ..Rule::near_first() }
}

#[test]
fn permissions_contradict_but_preferences_do_not() {
    let single_rule = |rule| Rules::new(vec![rule], CLASSES, TENANTS, |_, _| 0);
    let a = single_rule(rule("x", &[1], 0.3, WhenLost::Refuse));
    assert_eq!(contradictions_between(&a, &a), [""; 0]);
    let mut other = rule("y", &[1], 0.3, WhenLost::Refuse);
    other.steps.pop();
    other.spill.over = 0.5;
    other.usable_least = 0.1;
    assert_eq!(contradictions_between(&a, &single_rule(other)), [""; 0]);
    let b = single_rule(rule("y", &[2], 0.125, WhenLost::Anywhere));
    let subject = "rules x and y (class c0, tenant t0 and 6 more)";
    let clauses =
        "never forbids other zones, beyond region at most 30% and 12.5%, when lost refuse and anywhere";
    assert_eq!(contradictions_between(&a, &b), [format!("{subject}: {clauses}")]);
    let merged = strictest(&a, &b);
    assert_eq!(merged.all(), [rule("y with x", &[1, 2], 0.125, WhenLost::Refuse)]);
}

#[test]
fn each_cell_is_as_strict_as_its_rules_in_both_sets() {
    let loose = || rule("loose", &[], 1.0, WhenLost::Anywhere);
    let strict = rule("strict", &[0], 0.0, WhenLost::Refuse);
    let a = Rules::new(vec![strict.clone(), loose()], CLASSES, TENANTS, |class, _| usize::from(class > 0));
    let b = Rules::new(vec![loose()], CLASSES, TENANTS, |_, _| 0);
    assert_eq!(contradictions_between(&a, &b).len(), 1);
    assert!(
        contradictions_between(&a, &b)[0]
            .starts_with("rules strict and loose (class c0, tenant t0 and 1 more)")
    );
    let merged = strictest(&a, &b);
    let never = |class| merged.all()[merged.rule_index(class, 0)].never.clone();
    assert_eq!((never(0), never(1), never(2), never(99)), (vec![Zone(0)], vec![], vec![], vec![]));
    let names: Vec<&str> = merged.all().iter().map(|rule| rule.name.as_str()).collect();
    assert_eq!(names, ["loose with strict", "loose"]);
    // Sets without known classes and tenants still have a rule for unknown ones.
    let unknown_only = strictest(&Rules::new(vec![strict], 0, 0, |_, _| 0), &Rules::near_first(0, 0));
    assert_eq!(
        (unknown_only.all().len(), unknown_only.all()[unknown_only.rule_index(0, 0)].when_lost),
        (1, WhenLost::Refuse)
    );
}

#[test]
fn merges_rules_when_the_pairs_exceed_the_rule_limit() {
    let numbered_rules = |name: &str, never: u16| -> Vec<Rule> {
        let rule = |n: u16| rule(&format!("{name}{n}"), &[never + n % 32], 1.0, WhenLost::Refuse);
        (0..MAX_RULES as u16).map(rule).collect()
    };
    let a = Rules::new(numbered_rules("a", 0), 256, 64, |class, _| class);
    let b = Rules::new(numbered_rules("b", 32), 256, 64, |class, tenant| (class + tenant) % 256);
    let merged = strictest(&a, &b);
    assert!(merged.all().len() <= MAX_RULES, "the merged set has {} rules", merged.all().len());
    for (class, tenant) in (0..256).flat_map(|class| (0..64).map(move |tenant| (class, tenant))) {
        let rule = &merged.all()[merged.rule_index(class, tenant)];
        for zone in a.all()[a.rule_index(class, tenant)]
            .never
            .iter()
            .chain(&b.all()[b.rule_index(class, tenant)].never)
        {
            assert!(rule.never.binary_search(zone).is_ok());
        }
    }
    assert_eq!(strictest(&a, &merged), merged);
    assert_eq!(contradictions_between(&a, &b).len(), MAX_CONTRADICTIONS + 1);
}

fn any_rule(name: String) -> impl Strategy<Value = Rule> {
    let never = prop::collection::btree_set(0u16..4, 0..3);
    let most = prop::sample::select(vec![0.0, 0.3, 1.0]);
    (never, most, any::<bool>(), 0.1..1.0f64).prop_map(move |(never, most, refuse, over)| {
        let never: Vec<u16> = never.into_iter().collect();
        let when_lost = if refuse { WhenLost::Refuse } else { WhenLost::Anywhere };
        let mut rule = rule(&name, &never, most, when_lost);
        rule.spill.over = over;
        rule
    })
}

fn any_rules(prefix: &'static str) -> impl Strategy<Value = Rules> {
    let rules = (1usize..5)
        .prop_flat_map(move |count| (0..count).map(|n| any_rule(format!("{prefix}{n}"))).collect::<Vec<_>>());
    (rules, prop::collection::vec(0usize..6, CLASSES * TENANTS)).prop_map(|(rules, table)| {
        Rules::new(rules, CLASSES, TENANTS, |class, tenant| table[class * TENANTS + tenant])
    })
}

fn cells() -> impl Iterator<Item = (usize, usize)> {
    let known = (0..CLASSES).flat_map(|class| (0..TENANTS).map(move |tenant| (class, tenant)));
    known.chain([(99, 0), (0, 99)])
}

fn rule_of(rules: &Rules, cell: (usize, usize)) -> &Rule {
    &rules.all()[rules.rule_index(cell.0, cell.1)]
}

fn permissions(rule: &Rule) -> (Vec<Zone>, f64, WhenLost) {
    (rule.never.clone(), rule.beyond_region_most, rule.when_lost)
}

proptest! {
    #![proptest_config(fixed_seed_config(1024))]

    #[test]
    fn merging_is_as_strict_as_both_sets_symmetric_and_idempotent(a in any_rules("a"), b in any_rules("b")) {
        let (merged, reversed) = (strictest(&a, &b), strictest(&b, &a));
        for cell in cells() {
            let (x, y, rule) = (rule_of(&a, cell), rule_of(&b, cell), rule_of(&merged, cell));
            prop_assert!(x.never.iter().chain(&y.never).all(|zone| rule.never.contains(zone)));
            prop_assert!(rule.never.iter().all(|zone| x.never.contains(zone) || y.never.contains(zone)));
            prop_assert_eq!(rule.beyond_region_most, x.beyond_region_most.min(y.beyond_region_most));
            let refuse = x.when_lost == WhenLost::Refuse || y.when_lost == WhenLost::Refuse;
            prop_assert_eq!(rule.when_lost == WhenLost::Refuse, refuse);
            prop_assert_eq!((&rule.steps, rule.spill), (&y.steps, y.spill));
            prop_assert_eq!(permissions(rule), permissions(rule_of(&reversed, cell)));
        }
        prop_assert_eq!(&strictest(&a, &a), &a);
        prop_assert_eq!(&strictest(&a, &merged), &merged);
        prop_assert_eq!(&strictest(&b, &merged), &merged);
        prop_assert_eq!(&strictest(&merged, &merged), &merged);
        let mut names: Vec<&str> = merged.all().iter().map(|rule| rule.name.as_str()).collect();
        names.sort_unstable();
        prop_assert!(names.windows(2).all(|pair| pair[0] != pair[1]), "rule names should be distinct: {:?}", names);
    }

    #[test]
    fn contradictions_exist_exactly_if_a_cell_differs_in_permissions(a in any_rules("a"), b in any_rules("b")) {
        let differ = cells().any(|cell| permissions(rule_of(&a, cell)) != permissions(rule_of(&b, cell)));
        prop_assert_eq!(!contradictions_between(&a, &b).is_empty(), differ);
        prop_assert_eq!(contradictions_between(&a, &b).len(), contradictions_between(&b, &a).len());
        prop_assert!(contradictions_between(&a, &a).is_empty());
        // Both orders of merging allow the same and differ only in steps, so they do not contradict each
        // other.
        prop_assert!(contradictions_between(&strictest(&a, &b), &strictest(&b, &a)).is_empty());
    }
}
