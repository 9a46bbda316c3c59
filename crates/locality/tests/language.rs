//! Compiles rule texts and checks the rules, and the errors with their positions.

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

fn compile_errors(text: &str) -> Vec<String> {
    compiled(text).expect_err("the text should not compile")
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
fn compiles_each_clause_of_a_rule() {
    let rules = compiled(BOOKING).unwrap();
    let expected = Rule {
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
    assert_eq!(rules.all(), [expected, Rule::near_first()]);
    let for_lodge: Vec<usize> = (0..3).map(|class| rules.rule_index(class, 0)).collect();
    let for_inn: Vec<usize> = (0..3).map(|class| rules.rule_index(class, 1)).collect();
    assert_eq!((for_lodge, for_inn), (vec![1, 0, 0], vec![1, 1, 1]));
}

#[test]
fn missing_clauses_have_their_defaults() {
    let rules = compiled("rule x{prefer own zone;}").unwrap();
    let rule = &rules.all()[0];
    assert_eq!((rules.all().len(), rule.spill, rule.usable_least), (1, Spill::default(), 0.5));
    assert_eq!((rule.beyond_region_most, rule.when_lost), (1.0, WhenLost::Refuse));
    assert_eq!(compiled("").unwrap().all(), [Rule::near_first()]);
    assert_eq!(compiled("").unwrap(), Rules::near_first(3, 2));
}

#[test]
fn first_matching_rule_applies_and_the_default_rule_is_last() {
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
fn compiles_rules_without_classes_and_tenants() {
    let topology = topology();
    let names = Names { topology: &topology, classes: &[], tenants: &[] };
    let rules = compile("rule a { prefer own zone; }", &names).unwrap();
    assert_eq!((rules.all()[rules.rule_index(0, 0)].name.as_str(), rules.table().0.len()), ("a", 1));
}

#[test]
fn reports_all_errors_at_once_with_suggested_names() {
    let text = "rule a {\n  for class \"confrim\", tenant \"ludge\";\n  prefer own zon > zone \"x\";\n  \
                nevr zone \"a\";\n  never zone \"lxor\", region \"suth\";\n  when lost reuse;\n}\n\
                rul b { prefer own zone; }\nrule c { spill over 80 for 1s; prefer own zone }\n";
    assert_eq!(
        compile_errors(text),
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
fn rejects_contradictory_clauses_and_values_out_of_range() {
    let errors_with =
        |clauses: &str| compile_errors(&format!("rule a {{ prefer own zone > anywhere; {clauses} }}"));
    let spill = "spill over 60% for 1s, back under 60% for 5s;";
    assert_eq!(errors_with(spill), ["line 1, column 72: `back under 60%` is not less than `spill over 60%`"]);
    let never_all = "never region \"north\", region \"south\";";
    assert_eq!(errors_with(never_all), ["line 1, column 38: `never` excludes all zones"]);
    assert_eq!(
        errors_with("never zone \"giza\", zone \"giza\";"),
        ["line 1, column 57: zone \"giza\" is listed twice"]
    );
    assert_eq!(
        errors_with("when lost refuse; when lost refuse;"),
        ["line 1, column 56: duplicate `when lost` clause"]
    );
    assert_eq!(
        errors_with("spill below 101% usable;"),
        ["line 1, column 50: a percentage has to be from 0% to 100%"]
    );
    for time in ["0s", "61m", "0.0000001s", "99999999999999999999999s"] {
        let errors = errors_with(&format!("spill over 80% for {time}, back under 60% for 5s;"));
        assert_eq!(
            errors,
            ["line 1, column 57: the time has to be from 1us to 60m, in whole microseconds"],
            "errors for the time {time}"
        );
    }
    let too_long = compile_errors("rule a { prefer own zone > anywhere within 61s; }");
    assert_eq!(too_long, ["line 1, column 44: the time has to be from 1us to 1m, in whole microseconds"]);
    assert_eq!(compile_errors("rule a { }"), ["line 1, column 6: rule `a` has no `prefer`"]);
    let default = compile_errors("rule default { for class \"browse\"; prefer own zone; }");
    assert_eq!(default.len(), 1, "{default:?}");
    assert!(default[0].contains("the name `default` is reserved for the rule without `for`"), "{default:?}");
    let excluded =
        compile_errors("rule a { prefer zone \"giza\" > zone \"luxor\"; never region \"north\"; }");
    assert_eq!(excluded, ["line 1, column 45: `never` excludes all zones that this rule prefers"]);
}

#[test]
fn reports_steps_without_effect() {
    let errors_of =
        |steps: &str| compiled(&format!("rule a {{ prefer {steps}; }}")).err().unwrap_or_default();
    let compiles = |steps: &str| compiled(&format!("rule a {{ prefer {steps}; }}")).is_ok();
    let no_effect = "line 1, column 28: step `own zone` has no effect: earlier steps use all of its zones";
    assert_eq!(errors_of("anywhere > own zone"), [no_effect]);
    assert_eq!(errors_of("own region > own zone").len(), 1);
    assert!(compiles("zone \"giza\" > own zone"));
    assert_eq!(errors_of("own zone > region \"north\" > zone \"giza\"").len(), 1);
    assert_eq!(errors_of("own zone > own region within 500us").len(), 1);
    // Within a region, each zone is at most 1 ms away. Between regions, the round-trip time is unknown.
    assert_eq!(errors_of("own zone > own region within 1ms > own region").len(), 1);
    assert!(compiles("own zone > anywhere within 2ms > anywhere within 3ms > anywhere"));
    assert_eq!(errors_of("own zone > anywhere within 3ms > anywhere within 2ms").len(), 1);
    let errors = compile_errors("rule a { prefer own zone > zone \"luxor\"; never zone \"luxor\"; }");
    let expected =
        "line 1, column 28: step `zone \"luxor\"` has no effect: `never` excludes all of its zones";
    assert_eq!(errors, [expected]);
}

#[test]
fn reports_unused_and_duplicate_rules() {
    let rule = |name: &str, list: &str| format!("rule {name} {{ {list} prefer own zone; }}\n");
    let text = rule("a", "for class \"confirm\";") + &rule("b", "for class \"confirm\", tenant \"inn\";");
    assert_eq!(
        compile_errors(&text),
        ["line 2, column 6: rule `b` is never used: earlier rules match all of its requests: a"]
    );
    let split_tenants = rule("a", "for tenant \"inn\";")
        + &rule("b", "for tenant \"lodge\";")
        + &rule("c", "for class \"browse\";");
    assert_eq!(
        compile_errors(&split_tenants),
        ["line 3, column 6: rule `c` is never used: earlier rules match all of its requests: a, b"]
    );
    let defaults = rule("a", "") + &rule("b", "");
    let errors = compile_errors(&defaults);
    assert_eq!(errors, ["line 2, column 6: a second rule without `for`: `a` is already the default rule"]);
    let twice = rule("a", "for tenant \"inn\";") + &rule("a", "for tenant \"lodge\";");
    assert_eq!(compile_errors(&twice), ["line 2, column 6: rule `a` is already defined above"]);
    // A rule with an error in its `for` clause hides no other rule and does not count as a second default
    // rule.
    let broken = rule("a", "for clss \"browse\";") + &rule("b", "for class \"browse\";") + &rule("c", "");
    assert_eq!(compile_errors(&broken).len(), 1);
    let unknown = rule("a", "for class \"brows\";") + &rule("b", "for class \"browse\";") + &rule("c", "");
    assert_eq!(compile_errors(&unknown).len(), 1);
}

#[test]
fn enforces_the_limits_on_rules_steps_and_length() {
    let topology = topology();
    let classes: Vec<String> = (0..MAX_RULES).map(|n| format!("c{n}")).collect();
    let names = Names { topology: &topology, classes: &classes, tenants: &[] };
    let rule = |n: usize| format!("rule r{n} {{ for class \"c{n}\"; prefer own zone; }}\n");
    let max_text: String = (0..MAX_RULES - 1).map(rule).collect();
    assert_eq!(compile(&max_text, &names).unwrap().all().len(), MAX_RULES);
    let oversized_text: String = (0..MAX_RULES).map(rule).collect();
    let errors = compile(&oversized_text, &names).unwrap_err();
    assert_eq!((errors.len(), errors[0].line, errors[0].column), (1, MAX_RULES, 6), "{errors:?}");
    assert!(compile(&format!("{max_text}rule rest {{ prefer own zone; }}"), &names).is_ok());
    let steps: String = (1..=65).map(|n| format!("zone \"giza\" within {n}us > ")).collect();
    let errors = compile(&format!("rule a {{ prefer {steps} anywhere; }}"), &names).unwrap_err();
    assert_eq!((errors.len(), errors[0].message.as_str()), (1, "at most 64 steps are allowed"));
    let long = "#".repeat(65536);
    assert!(compile(&long, &names).is_ok());
    let errors = compile(&format!("{long}\n"), &names).unwrap_err();
    assert_eq!((errors.len(), errors[0].line, errors[0].column), (1, 1, 65537));
    // The length limit falls inside a two-byte character.
    let errors = compile(&format!("#{}", "é".repeat(40_000)), &names).unwrap_err();
    assert_eq!((errors.len(), errors[0].line, errors[0].column), (1, 1, 32769));
}

#[test]
fn formats_to_the_standard_layout_and_preserves_comments() {
    let text = "# head\n\nrule  b{ # of b\nwhen lost refuse;# last\n prefer own zone # inside\n >anywhere within 60s;\n\
                # before\nspill over 80.50% for 0.5s,back under 60% for 90s;\n# end\n} # after\n# tail";
    let expected = "# head\nrule b { # of b\n  # inside\n  prefer own zone > anywhere within 1m;\n  # before\n  \
                spill over 80.5% for 500ms, back under 60% for 90s;\n  when lost refuse; # last\n  # end\n} # after\n\n# tail\n";
    assert_eq!(format(text).unwrap(), expected);
    assert_eq!(format(expected).unwrap(), expected);
    assert_eq!(format("").unwrap(), "");
    let names = "rule a { for class \"a\\\"\\\\\"; prefer zone \"é\"; }";
    assert_eq!(format(names).unwrap(), "rule a {\n  for class \"a\\\"\\\\\";\n  prefer zone \"é\";\n}\n");
    assert_eq!(
        format("rule a {").unwrap_err()[0].to_string(),
        "line 1, column 9: expected a clause or `}`, found the end of the text"
    );
}
