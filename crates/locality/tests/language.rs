//! Texts and what they come to; faults and where they are told.

use maplehook_locality::language::{Names, compile, format};
use maplehook_locality::rules::MAX_RULES;
use maplehook_locality::{Rule, Rules, Spill, Step, StepTarget, Topology, WhenLost, Zone};
use std::time::Duration;

const CLASSES: [&str; 3] = ["browse", "confirm", "hold-day"];
const TENANTS: [&str; 2] = ["lodge", "inn"];

fn topology() -> Topology {
    let mut topology =
        Topology::new([("north", vec!["giza", "luxor"]), ("south", vec!["aswan", "edfu"])]).unwrap();
    topology.set_rtt(Zone(0), Zone(1), Duration::from_millis(1));
    topology.set_rtt(Zone(2), Zone(3), Duration::from_millis(1));
    topology
}

fn compiled(text: &str) -> Result<Rules, Vec<String>> {
    let (topology, classes) = (topology(), CLASSES.map(String::from));
    let tenants = TENANTS.map(String::from);
    let names = Names { topology: &topology, classes: &classes, tenants: &tenants };
    compile(text, &names).map_err(|faults| faults.iter().map(ToString::to_string).collect())
}

fn faults(text: &str) -> Vec<String> {
    compiled(text).expect_err("it has faults")
}

const BOOKING: &str = r#"
rule booking {
  for class "confirm", class "hold-day", tenant "lodge";   # none: all others
  prefer own zone > own region within 3ms > region "south" > anywhere;
  spill over 85.5% for 1500ms, back under 40% for 2m;
  spill below 25% usable;
  beyond region at most 30%;
  never zone "luxor";
  when lost anywhere;
}
"#;

#[test]
fn a_text_comes_to_what_it_says() {
    let rules = compiled(BOOKING).unwrap();
    let want = Rule {
        name: "booking".into(),
        steps: vec![
            Step { target: StepTarget::OwnZone, within: None },
            Step { target: StepTarget::OwnRegion, within: Some(Duration::from_millis(3)) },
            Step { target: StepTarget::Region(maplehook_locality::Region(1)), within: None },
            Step { target: StepTarget::Anywhere, within: None },
        ],
        spill: Spill {
            over: 0.855,
            over_for: Duration::from_millis(1500),
            back: 0.4,
            back_for: Duration::from_secs(120),
        },
        usable_least: 0.25,
        beyond_region_most: 0.3,
        never: vec![Zone(1)],
        when_lost: WhenLost::Anywhere,
    };
    assert_eq!(rules.all(), [want, Rule::near_first()]);
    let for_lodge: Vec<usize> = (0..3).map(|class| rules.rule_index(class, 0)).collect();
    let for_inn: Vec<usize> = (0..3).map(|class| rules.rule_index(class, 1)).collect();
    assert_eq!((for_lodge, for_inn), (vec![1, 0, 0], vec![1, 1, 1]));
}

#[test]
fn what_is_not_written_is_as_stated() {
    let rules = compiled("rule x{prefer own zone;}").unwrap();
    let rule = &rules.all()[0];
    assert_eq!((rules.all().len(), rule.spill, rule.usable_least), (1, Spill::default(), 0.5));
    assert_eq!((rule.beyond_region_most, rule.when_lost), (1.0, WhenLost::Refuse));
    assert_eq!(compiled("").unwrap().all(), [Rule::near_first()]);
    assert_eq!(compiled("").unwrap(), Rules::near_first(3, 2));
}

#[test]
fn the_first_that_fits_wins_and_the_one_for_all_others_is_last_wherever_it_stands() {
    let text = r#"rule rest { prefer own zone; }
        rule a { for class "browse"; prefer own zone; }
        rule b { for tenant "inn"; prefer anywhere; }"#;
    let rules = compiled(text).unwrap();
    let names: Vec<&str> = rules.all().iter().map(|rule| rule.name.as_str()).collect();
    assert_eq!(names, ["a", "b", "rest"]);
    let cells: Vec<usize> =
        (0..3).flat_map(|c| (0..2).map(move |t| (c, t))).map(|(c, t)| rules.rule_index(c, t)).collect();
    assert_eq!(cells, [0, 0, 2, 1, 2, 1]);
    assert_eq!(rules.rule_index(9, 9), 2);
}

#[test]
fn a_deployment_without_classes_and_tenants_has_rules_too() {
    let topology = topology();
    let names = Names { topology: &topology, classes: &[], tenants: &[] };
    let rules = compile("rule a { prefer own zone; }", &names).unwrap();
    assert_eq!((rules.all()[rules.rule_index(0, 0)].name.as_str(), rules.table().0.len()), ("a", 1));
}

#[test]
fn all_faults_are_told_at_once_with_the_nearest_name() {
    let text = "rule a {\n  for class \"confrim\", tenant \"ludge\";\n  prefer own zon > zone \"x\";\n  \
                nevr zone \"a\";\n  never zone \"lxor\", region \"suth\";\n  when lost reuse;\n}\n\
                rul b { prefer own zone; }\nrule c { spill over 80 for 1s; prefer own zone }\n";
    assert_eq!(
        faults(text),
        [
            "line 2, column 7: no class is named \"confrim\"; did you mean `confirm`?",
            "line 2, column 24: no tenant is named \"ludge\"; did you mean `lodge`?",
            "line 3, column 14: expected `zone` or `region`, found `zon`; did you mean `zone`?",
            "line 4, column 3: expected `for`, `prefer`, `spill`, `beyond`, `never`, `when` or `}`, found `nevr`; \
             did you mean `never`?",
            "line 5, column 9: no zone is named \"lxor\"; did you mean `luxor`?",
            "line 5, column 22: no region is named \"suth\"; did you mean `south`?",
            "line 6, column 13: expected `refuse` or `anywhere`, found `reuse`; did you mean `refuse`?",
            "line 8, column 1: expected `rule`, found `rul`; did you mean `rule`?",
            "line 9, column 21: expected a percentage such as `80%`, found `80`",
            "line 9, column 48: expected `within`, `>` or `;`, found `}`",
        ]
    );
}

#[test]
fn what_can_not_be_meant_is_told() {
    let one = |clauses: &str| faults(&format!("rule a {{ prefer own zone > anywhere; {clauses} }}"));
    let spill = "spill over 60% for 1s, back under 60% for 5s;";
    assert_eq!(one(spill), ["line 1, column 72: back under 60% is not under the 60% over which it spills"]);
    let all = "never region \"north\", region \"south\";";
    assert_eq!(one(all), ["line 1, column 38: `never` forbids all zones"]);
    assert_eq!(
        one("never zone \"giza\", zone \"giza\";"),
        ["line 1, column 57: zone \"giza\" is named twice"]
    );
    assert_eq!(one("when lost refuse; when lost refuse;"), ["line 1, column 56: `when lost` stands twice"]);
    assert_eq!(one("spill below 101% usable;"), ["line 1, column 50: a percentage lies from 0% to 100%"]);
    for time in ["0s", "61m", "0.0000001s", "99999999999999999999999s"] {
        let told = one(&format!("spill over 80% for {time}, back under 60% for 5s;"));
        assert_eq!(
            told,
            ["line 1, column 57: this time lies from 1us to 60m, in whole microseconds"],
            "{time}"
        );
    }
    let far = faults("rule a { prefer own zone > anywhere within 61s; }");
    assert_eq!(far, ["line 1, column 44: this time lies from 1us to 1m, in whole microseconds"]);
    assert_eq!(faults("rule a { }"), ["line 1, column 6: rule `a` has no `prefer`"]);
    let default = faults("rule default { for class \"browse\"; prefer own zone; }");
    assert_eq!(default.len(), 1, "{default:?}");
    assert!(default[0].contains("`default` is the name of the rule for all others"), "{default:?}");
    let forbidden = faults("rule a { prefer zone \"giza\" > zone \"luxor\"; never region \"north\"; }");
    assert_eq!(forbidden, ["line 1, column 45: `never` forbids all that this rule prefers"]);
}

#[test]
fn steps_that_lead_nowhere_are_told() {
    let steps = |steps: &str| compiled(&format!("rule a {{ prefer {steps}; }}")).err().unwrap_or_default();
    let leads = |steps: &str| compiled(&format!("rule a {{ prefer {steps}; }}")).is_ok();
    let nowhere =
        "line 1, column 28: step `own zone` leads nowhere: steps before it lead to all of its zones";
    assert_eq!(steps("anywhere > own zone"), [nowhere]);
    assert_eq!(steps("own region > own zone").len(), 1);
    assert!(leads("zone \"giza\" > own zone"));
    assert_eq!(steps("own zone > region \"north\" > zone \"giza\"").len(), 1);
    assert_eq!(steps("own zone > own region within 500us").len(), 1);
    // Within 1 ms all of a region is taken; between regions nothing is known of the way.
    assert_eq!(steps("own zone > own region within 1ms > own region").len(), 1);
    assert!(leads("own zone > anywhere within 2ms > anywhere within 3ms > anywhere"));
    assert_eq!(steps("own zone > anywhere within 3ms > anywhere within 2ms").len(), 1);
    let told = faults("rule a { prefer own zone > zone \"luxor\"; never zone \"luxor\"; }");
    let want = "line 1, column 28: step `zone \"luxor\"` leads nowhere: `never` forbids all of its zones";
    assert_eq!(told, [want]);
}

#[test]
fn rules_that_are_never_used_are_told() {
    let rule = |name: &str, list: &str| format!("rule {name} {{ {list} prefer own zone; }}\n");
    let text = rule("a", "for class \"confirm\";") + &rule("b", "for class \"confirm\", tenant \"inn\";");
    assert_eq!(faults(&text), ["line 2, column 6: rule `b` is never used: all that it is for goes by a"]);
    let two = rule("a", "for tenant \"inn\";")
        + &rule("b", "for tenant \"lodge\";")
        + &rule("c", "for class \"browse\";");
    assert_eq!(faults(&two), ["line 3, column 6: rule `c` is never used: all that it is for goes by a, b"]);
    let defaults = rule("a", "") + &rule("b", "");
    let told = faults(&defaults);
    assert_eq!(told, ["line 2, column 6: two rules without `for`: `a` is for all others already"]);
    let twice = rule("a", "for tenant \"inn\";") + &rule("a", "for tenant \"lodge\";");
    assert_eq!(faults(&twice), ["line 2, column 6: a rule `a` stands above"]);
    // One whose own list has a fault takes nothing from others, and is not called a second default.
    let broken = rule("a", "for clss \"browse\";") + &rule("b", "for class \"browse\";") + &rule("c", "");
    assert_eq!(faults(&broken).len(), 1);
    let unknown = rule("a", "for class \"brows\";") + &rule("b", "for class \"browse\";") + &rule("c", "");
    assert_eq!(faults(&unknown).len(), 1);
}

#[test]
fn a_text_has_its_bounds() {
    let topology = topology();
    let classes: Vec<String> = (0..MAX_RULES).map(|n| format!("c{n}")).collect();
    let names = Names { topology: &topology, classes: &classes, tenants: &[] };
    let rule = |n: usize| format!("rule r{n} {{ for class \"c{n}\"; prefer own zone; }}\n");
    let most: String = (0..MAX_RULES - 1).map(rule).collect();
    assert_eq!(compile(&most, &names).unwrap().all().len(), MAX_RULES);
    let more: String = (0..MAX_RULES).map(rule).collect();
    let told = compile(&more, &names).unwrap_err();
    assert_eq!((told.len(), told[0].line, told[0].column), (1, MAX_RULES, 6), "{told:?}");
    assert!(compile(&format!("{most}rule rest {{ prefer own zone; }}"), &names).is_ok());
    let steps: String = (1..=65).map(|n| format!("zone \"giza\" within {n}us > ")).collect();
    let told = compile(&format!("rule a {{ prefer {steps} anywhere; }}"), &names).unwrap_err();
    assert_eq!((told.len(), told[0].what.as_str()), (1, "64 steps at most"));
    let long = "#".repeat(65536);
    assert!(compile(&long, &names).is_ok());
    let told = compile(&format!("{long}\n"), &names).unwrap_err();
    assert_eq!((told.len(), told[0].line, told[0].column), (1, 1, 65537));
    // The bound lies within a character.
    let told = compile(&format!("#{}", "é".repeat(40_000)), &names).unwrap_err();
    assert_eq!((told.len(), told[0].line, told[0].column), (1, 1, 32769));
}

#[test]
fn one_way_to_write_it_keeps_comments() {
    let text = "# head\n\nrule  b{ # of b\nwhen lost refuse;# last\n prefer own zone # inside\n >anywhere within 60s;\n\
                # before\nspill over 80.50% for 0.5s,back under 60% for 90s;\n# end\n} # after\n# tail";
    let want = "# head\nrule b { # of b\n  # inside\n  prefer own zone > anywhere within 1m;\n  # before\n  \
                spill over 80.5% for 500ms, back under 60% for 90s;\n  when lost refuse; # last\n  # end\n} # after\n\n# tail\n";
    assert_eq!(format(text).unwrap(), want);
    assert_eq!(format(want).unwrap(), want);
    assert_eq!(format("").unwrap(), "");
    let names = "rule a { for class \"a\\\"\\\\\"; prefer zone \"é\"; }";
    assert_eq!(format(names).unwrap(), "rule a {\n  for class \"a\\\"\\\\\";\n  prefer zone \"é\";\n}\n");
    assert_eq!(
        format("rule a {").unwrap_err()[0].to_string(),
        "line 1, column 9: expected a clause or `}`, found the end"
    );
}
