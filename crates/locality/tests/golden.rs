//! Serialized forms and texts compared with golden files, which an earlier version of the program wrote.

use maplehook_golden::{assert_text, golden_types};
use maplehook_locality::language::{Names, compile, format};
use maplehook_locality::{LocalityHealth, Rules, Topology};

golden_types! {
    rules: Postcard Rules;
    seen: Json LocalityHealth;
}

const VALID_RULE: &str = r#"
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

/// Returns the compiler's errors for a text on one line, or `good`.
fn compile_result(text: &str) -> String {
    let topology =
        Topology::new([("north", vec!["giza", "luxor"]), ("south", vec!["aswan", "edfu"])]).unwrap();
    let classes = ["browse", "confirm", "hold-day"].map(String::from);
    let tenants = ["lodge", "inn"].map(String::from);
    let names = Names { topology: &topology, classes: &classes, tenants: &tenants };
    match compile(text, &names) {
        Ok(_) => "good".into(),
        Err(faults) => {
            faults.iter().map(|fault| fault.to_string().replace('\n', "|")).collect::<Vec<_>>().join(" & ")
        }
    }
}

/// Guards the error messages: each token of a valid text is removed, repeated, or replaced by another one.
#[test]
fn error_messages_of_the_rule_language_match_the_golden_files() {
    let tokens: Vec<&str> = VALID_RULE.split_inclusive([' ', '\n']).collect();
    let mut lines = String::new();
    for at in 0..tokens.len() {
        for other in ["", "\"", "x ", "; ", "} ", "200% ", "7 ", "\"nowhere\" ", "2h "] {
            let mut changed = tokens.clone();
            changed[at] = other;
            lines += &format!("{at} {other:?}: {}\n", compile_result(&changed.concat()));
        }
        let doubled: String = tokens
            .iter()
            .enumerate()
            .map(|(n, token)| if n == at { token.repeat(2) } else { (*token).to_owned() })
            .collect();
        lines += &format!("{at} twice: {}\n", compile_result(&doubled));
    }
    assert_text("errors.txt", &lines);
    assert_text(
        "formatted.txt",
        &format!(
            "{:?}\n",
            format(VALID_RULE).map_err(|faults| faults.iter().map(ToString::to_string).collect::<Vec<_>>())
        ),
    );
}
