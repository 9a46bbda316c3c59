//! Why a request goes where it goes.

use maplehook_locality::explain::{RuleMismatch, StepOutcome, ZoneExclusion};
use maplehook_locality::{Explanation, LocalityHealth, Names, Topology, Zone, compile, explain};
use std::time::Duration;

const TEXT: &str = r#"
rule browse { for class "browse"; prefer own zone; }
rule inn { for tenant "inn"; prefer own zone; }
rule booking {
  for class "confirm", tenant "lodge";
  prefer own zone > own region within 3ms > region "south" > anywhere;
  spill over 80% for 1s, back under 60% for 5s;
  never zone "luxor";
}
"#;

fn explained(class: usize, tenant: usize, from: u16, seen: &[LocalityHealth]) -> Explanation {
    let zones = vec!["giza", "luxor", "thebes", "dakhla"];
    let mut topology =
        Topology::new([("north", zones), ("south", vec!["aswan"]), ("west", vec!["siwa"])]).unwrap();
    topology.set_rtt(Zone(0), Zone(2), Duration::from_millis(2));
    topology.set_rtt(Zone(0), Zone(3), Duration::from_millis(9));
    let classes = ["browse", "confirm"].map(String::from);
    let tenants = ["lodge", "inn"].map(String::from);
    let names = Names { topology: &topology, classes: &classes, tenants: &tenants };
    let rules = compile(TEXT, &names).unwrap();
    explain(&rules, &names, class, tenant, Zone(from), seen)
}

fn seen(load: f64, usable: f64) -> LocalityHealth {
    LocalityHealth { load, usable }
}

#[test]
fn each_rule_and_step_that_was_passed_over_has_its_reason() {
    let well = seen(0.2, 1.0);
    let told = explained(1, 0, 0, &[seen(0.9, 1.0), well, seen(0.0, 0.0), well, well, well]);
    let passed = [("browse".into(), RuleMismatch::OtherClass), ("inn".into(), RuleMismatch::OtherTenant)];
    assert_eq!((told.rule.name.as_str(), &told.passed[..]), ("booking", &passed[..]));
    let outcomes: Vec<StepOutcome> = told.steps.iter().map(|step| step.outcome).collect();
    assert_eq!(
        outcomes,
        [StepOutcome::Full, StepOutcome::Unusable, StepOutcome::Chosen, StepOutcome::NotNeeded]
    );
    let left = [
        ("giza".to_owned(), ZoneExclusion::Earlier),
        ("luxor".to_owned(), ZoneExclusion::Never),
        ("dakhla".to_owned(), ZoneExclusion::TooFar),
    ];
    assert_eq!((told.chosen, &told.steps[1].left_out[..]), (Some(2), &left[..]));
    let text = "class confirm, tenant lodge, into zone giza\n  \
                rule browse: no request of this class goes by it\n  \
                rule inn: no request of this tenant goes by it\n\
                > rule booking\n    \
                1. own zone [giza]: full: load 90%, spills over 80%\n    \
                2. own region within 3ms [thebes]: lost: nothing of it can be used; without giza (in a step before); \
                without luxor (never); without dakhla (too far)\n\
                >   3. region \"south\" [aswan]: requests go here: load 20%, 100% usable\n    \
                4. anywhere [dakhla, siwa]: not needed; without giza (in a step before); without luxor (never); \
                without thebes (in a step before); without aswan (in a step before)\n";
    assert_eq!(told.to_string(), text);
}

#[test]
fn a_way_that_is_not_known_and_a_forbidden_own_zone_are_said() {
    let told = explained(1, 0, 1, &[]);
    assert_eq!(told.steps[0].left_out, [("luxor".to_owned(), ZoneExclusion::Never)]);
    assert_eq!((told.steps[0].outcome, told.steps[1].outcome), (StepOutcome::Empty, StepOutcome::Empty));
    assert!(told.steps[1].left_out.contains(&("giza".to_owned(), ZoneExclusion::RttUnknown)));
    assert_eq!(told.chosen, Some(2));
}

#[test]
fn with_little_usable_the_next_is_used_and_with_nothing_better_the_little() {
    let little = explained(1, 0, 0, &[seen(0.1, 0.3)]);
    assert_eq!((little.steps[0].outcome, little.chosen), (StepOutcome::LowCapacity, Some(1)));
    let all =
        [seen(0.1, 0.3), seen(0.0, 0.0), seen(0.9, 1.0), seen(0.0, 0.0), seen(0.0, 0.0), seen(0.0, 0.0)];
    assert_eq!(explained(1, 0, 0, &all).chosen, Some(0));
}

#[test]
fn with_no_step_left_it_is_said_what_becomes_of_it() {
    let lost = [seen(0.0, 0.0); 6];
    let told = explained(0, 0, 0, &lost);
    assert_eq!((told.rule.name.as_str(), told.chosen), ("browse", None));
    assert!(told.to_string().ends_with("> no step left: refused\n"), "{told}");
    let told = explained(9, 9, 0, &lost);
    assert_eq!(told.rule.name, "default");
    assert_eq!(told.request[..2], ["(none known)".to_owned(), "(none known)".to_owned()]);
    assert!(told.to_string().ends_with("> no step left: anywhere that `never` does not forbid\n"), "{told}");
}
