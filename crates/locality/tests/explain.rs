//! Explanations of the routing of single requests.

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

fn explain_request(class: usize, tenant: usize, from: u16, health: &[LocalityHealth]) -> Explanation {
    let zones = vec!["giza", "luxor", "thebes", "dakhla"];
    let mut topology =
        Topology::new([("north", zones), ("south", vec!["aswan"]), ("west", vec!["siwa"])]).unwrap();
    topology.set_rtt(Zone(0), Zone(2), Duration::from_millis(2));
    topology.set_rtt(Zone(0), Zone(3), Duration::from_millis(9));
    let classes = ["browse", "confirm"].map(String::from);
    let tenants = ["lodge", "inn"].map(String::from);
    let names = Names { topology: &topology, classes: &classes, tenants: &tenants };
    let rules = compile(TEXT, &names).unwrap();
    explain(&rules, &names, class, tenant, Zone(from), health)
}

fn health(load: f64, usable: f64) -> LocalityHealth {
    LocalityHealth { load, usable }
}

#[test]
fn explains_each_earlier_rule_step_and_excluded_zone() {
    let healthy = health(0.2, 1.0);
    let explanation =
        explain_request(1, 0, 0, &[health(0.9, 1.0), healthy, health(0.0, 0.0), healthy, healthy, healthy]);
    let mismatches = [("browse".into(), RuleMismatch::OtherClass), ("inn".into(), RuleMismatch::OtherTenant)];
    assert_eq!((explanation.rule.name.as_str(), &explanation.mismatches[..]), ("booking", &mismatches[..]));
    let outcomes: Vec<StepOutcome> = explanation.steps.iter().map(|step| step.outcome).collect();
    assert_eq!(
        outcomes,
        [StepOutcome::Full, StepOutcome::Unusable, StepOutcome::Chosen, StepOutcome::NotNeeded]
    );
    let excluded = [
        ("giza".to_owned(), ZoneExclusion::Earlier),
        ("luxor".to_owned(), ZoneExclusion::Never),
        ("dakhla".to_owned(), ZoneExclusion::TooFar),
    ];
    assert_eq!((explanation.chosen, &explanation.steps[1].excluded_zones[..]), (Some(2), &excluded[..]));
    let text = "class confirm, tenant lodge, received in zone giza\n  \
                rule browse: applies to no request of this class\n  \
                rule inn: applies to no request of this tenant\n\
                > rule booking\n    \
                1. own zone [giza]: full: load 90%, spills over at 80%\n    \
                2. own region within 3ms [thebes]: unusable: no zone has usable capacity; without giza (used by an earlier step); \
                without luxor (never); without dakhla (round-trip time too long)\n\
                >   3. region \"south\" [aswan]: chosen: load 20%, 100% usable\n    \
                4. anywhere [dakhla, siwa]: not needed; without giza (used by an earlier step); without luxor (never); \
                without thebes (used by an earlier step); without aswan (used by an earlier step)\n";
    assert_eq!(explanation.to_string(), text);
}

#[test]
fn explains_an_unknown_round_trip_time_and_an_excluded_own_zone() {
    let explanation = explain_request(1, 0, 1, &[]);
    assert_eq!(explanation.steps[0].excluded_zones, [("luxor".to_owned(), ZoneExclusion::Never)]);
    assert_eq!(
        (explanation.steps[0].outcome, explanation.steps[1].outcome),
        (StepOutcome::Empty, StepOutcome::Empty)
    );
    assert!(explanation.steps[1].excluded_zones.contains(&("giza".to_owned(), ZoneExclusion::RttUnknown)));
    assert_eq!(explanation.chosen, Some(2));
}

#[test]
fn low_capacity_uses_the_next_step_or_the_same_step_if_no_other_is_usable() {
    let low_capacity = explain_request(1, 0, 0, &[health(0.1, 0.3)]);
    assert_eq!((low_capacity.steps[0].outcome, low_capacity.chosen), (StepOutcome::LowCapacity, Some(1)));
    let zone_health = [
        health(0.1, 0.3),
        health(0.0, 0.0),
        health(0.9, 1.0),
        health(0.0, 0.0),
        health(0.0, 0.0),
        health(0.0, 0.0),
    ];
    assert_eq!(explain_request(1, 0, 0, &zone_health).chosen, Some(0));
}

#[test]
fn explains_the_handling_of_requests_without_a_usable_step() {
    let unusable_zones = [health(0.0, 0.0); 6];
    let explanation = explain_request(0, 0, 0, &unusable_zones);
    assert_eq!((explanation.rule.name.as_str(), explanation.chosen), ("browse", None));
    assert!(explanation.to_string().ends_with("> no usable step: rejected\n"), "{explanation}");
    let explanation = explain_request(9, 9, 0, &unusable_zones);
    assert_eq!(explanation.rule.name, "default");
    assert_eq!(explanation.request[..2], ["(unknown)".to_owned(), "(unknown)".to_owned()]);
    assert!(
        explanation.to_string().ends_with("> no usable step: any zone that `never` does not exclude\n"),
        "{explanation}"
    );
}
