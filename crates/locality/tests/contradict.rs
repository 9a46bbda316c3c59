//! Two texts beside each other, and the strictest reading of both.

mod common;

use common::fixed;
use maplehook_locality::contradict::MAX_CONTRADICTIONS;
use maplehook_locality::rules::MAX_RULES;
use maplehook_locality::{Rule, Rules, WhenLost, Zone, contradictions, strictest};
use proptest::prelude::*;

const CLASSES: usize = 3;
const TENANTS: usize = 2;

fn names(kind: &str, count: usize) -> Vec<String> {
    (0..count).map(|n| format!("{kind}{n}")).collect()
}

fn told(a: &Rules, b: &Rules) -> Vec<String> {
    contradictions(a, b, &names("c", CLASSES), &names("t", TENANTS))
}

fn rule(name: &str, never: &[u16], most: f64, when_lost: WhenLost) -> Rule {
    let never = never.iter().copied().map(Zone).collect();
    Rule { name: name.into(), never, beyond_region_most: most, when_lost, ..Rule::near_first() }
}

#[test]
fn what_may_happen_contradicts_and_what_comes_first_does_not() {
    let one = |rule| Rules::new(vec![rule], CLASSES, TENANTS, |_, _| 0);
    let a = one(rule("x", &[1], 0.3, WhenLost::Refuse));
    assert_eq!(told(&a, &a), [""; 0]);
    let mut other = rule("y", &[1], 0.3, WhenLost::Refuse);
    other.steps.pop();
    other.spill.over = 0.5;
    other.usable_least = 0.1;
    assert_eq!(told(&a, &one(other)), [""; 0]);
    let b = one(rule("y", &[2], 0.125, WhenLost::Anywhere));
    let whose = "rules x and y (class c0, tenant t0 and 6 more)";
    let what =
        "never forbids other zones, beyond region at most 30% and 12.5%, when lost refuse and anywhere";
    assert_eq!(told(&a, &b), [format!("{whose}: {what}")]);
    let both = strictest(&a, &b);
    assert_eq!(both.all(), [rule("y with x", &[1, 2], 0.125, WhenLost::Refuse)]);
}

#[test]
fn each_cell_is_as_strict_as_its_own_two_rules() {
    let loose = || rule("loose", &[], 1.0, WhenLost::Anywhere);
    let strict = rule("strict", &[0], 0.0, WhenLost::Refuse);
    let a = Rules::new(vec![strict.clone(), loose()], CLASSES, TENANTS, |class, _| usize::from(class > 0));
    let b = Rules::new(vec![loose()], CLASSES, TENANTS, |_, _| 0);
    assert_eq!(told(&a, &b).len(), 1);
    assert!(told(&a, &b)[0].starts_with("rules strict and loose (class c0, tenant t0 and 1 more)"));
    let both = strictest(&a, &b);
    let never = |class| both.all()[both.rule_index(class, 0)].never.clone();
    assert_eq!((never(0), never(1), never(2), never(99)), (vec![Zone(0)], vec![], vec![], vec![]));
    let names: Vec<&str> = both.all().iter().map(|rule| rule.name.as_str()).collect();
    assert_eq!(names, ["loose with strict", "loose"]);
    // Sets over nothing known have a rule for it all the same.
    let none = strictest(&Rules::new(vec![strict], 0, 0, |_, _| 0), &Rules::near_first(0, 0));
    assert_eq!((none.all().len(), none.all()[none.rule_index(0, 0)].when_lost), (1, WhenLost::Refuse));
}

#[test]
fn more_pairs_than_rules_are_read_together() {
    let many = |name: &str, never: u16| -> Vec<Rule> {
        let rule = |n: u16| rule(&format!("{name}{n}"), &[never + n % 32], 1.0, WhenLost::Refuse);
        (0..MAX_RULES as u16).map(rule).collect()
    };
    let a = Rules::new(many("a", 0), 256, 64, |class, _| class);
    let b = Rules::new(many("b", 32), 256, 64, |class, tenant| (class + tenant) % 256);
    let both = strictest(&a, &b);
    assert!(both.all().len() <= MAX_RULES, "{}", both.all().len());
    for (class, tenant) in (0..256).flat_map(|class| (0..64).map(move |tenant| (class, tenant))) {
        let rule = &both.all()[both.rule_index(class, tenant)];
        for zone in a.all()[a.rule_index(class, tenant)]
            .never
            .iter()
            .chain(&b.all()[b.rule_index(class, tenant)].never)
        {
            assert!(rule.never.binary_search(zone).is_ok());
        }
    }
    assert_eq!(strictest(&a, &both), both);
    assert_eq!(told(&a, &b).len(), MAX_CONTRADICTIONS + 1);
}

fn some_rule(name: String) -> impl Strategy<Value = Rule> {
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

fn some_rules(prefix: &'static str) -> impl Strategy<Value = Rules> {
    let rules = (1usize..5).prop_flat_map(move |count| {
        (0..count).map(|n| some_rule(format!("{prefix}{n}"))).collect::<Vec<_>>()
    });
    (rules, prop::collection::vec(0usize..6, CLASSES * TENANTS)).prop_map(|(rules, table)| {
        Rules::new(rules, CLASSES, TENANTS, |class, tenant| table[class * TENANTS + tenant])
    })
}

fn cells() -> impl Iterator<Item = (usize, usize)> {
    let known = (0..CLASSES).flat_map(|class| (0..TENANTS).map(move |tenant| (class, tenant)));
    known.chain([(99, 0), (0, 99)])
}

fn of(rules: &Rules, cell: (usize, usize)) -> &Rule {
    &rules.all()[rules.rule_index(cell.0, cell.1)]
}

fn forbids(rule: &Rule) -> (Vec<Zone>, f64, WhenLost) {
    (rule.never.clone(), rule.beyond_region_most, rule.when_lost)
}

proptest! {
    #![proptest_config(fixed(1024))]

    #[test]
    fn as_strict_as_both_the_same_either_way_and_once_is_enough(a in some_rules("a"), b in some_rules("b")) {
        let (both, other) = (strictest(&a, &b), strictest(&b, &a));
        for cell in cells() {
            let (x, y, rule) = (of(&a, cell), of(&b, cell), of(&both, cell));
            prop_assert!(x.never.iter().chain(&y.never).all(|zone| rule.never.contains(zone)));
            prop_assert!(rule.never.iter().all(|zone| x.never.contains(zone) || y.never.contains(zone)));
            prop_assert_eq!(rule.beyond_region_most, x.beyond_region_most.min(y.beyond_region_most));
            let refuse = x.when_lost == WhenLost::Refuse || y.when_lost == WhenLost::Refuse;
            prop_assert_eq!(rule.when_lost == WhenLost::Refuse, refuse);
            prop_assert_eq!((&rule.steps, rule.spill), (&y.steps, y.spill));
            prop_assert_eq!(forbids(rule), forbids(of(&other, cell)));
        }
        prop_assert_eq!(&strictest(&a, &a), &a);
        prop_assert_eq!(&strictest(&a, &both), &both);
        prop_assert_eq!(&strictest(&b, &both), &both);
        prop_assert_eq!(&strictest(&both, &both), &both);
        let mut names: Vec<&str> = both.all().iter().map(|rule| rule.name.as_str()).collect();
        names.sort_unstable();
        prop_assert!(names.windows(2).all(|pair| pair[0] != pair[1]), "{:?}", names);
    }

    #[test]
    fn told_is_what_differs_in_some_cell(a in some_rules("a"), b in some_rules("b")) {
        let differ = cells().any(|cell| forbids(of(&a, cell)) != forbids(of(&b, cell)));
        prop_assert_eq!(!told(&a, &b).is_empty(), differ);
        prop_assert_eq!(told(&a, &b).len(), told(&b, &a).len());
        prop_assert!(told(&a, &a).is_empty());
        // What is as strict as both has the steps of the second, and contradicts neither of the two orders.
        prop_assert!(told(&strictest(&a, &b), &strictest(&b, &a)).is_empty());
    }
}
