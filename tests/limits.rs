//! The decision module stays small enough to be read whole: 1200 lines that are not blank, 110 characters each.

const LINES_MOST: usize = 1200;
const CHARACTERS_MOST: usize = 110;

/// What of `text` goes over the limits.
fn breaches(text: &str) -> Vec<String> {
    let filled = text.lines().filter(|l| !l.trim().is_empty()).count();
    let mut found = Vec::new();
    if filled > LINES_MOST {
        found.push(format!("{filled} lines, {LINES_MOST} at most"));
    }
    for (n, line) in text.lines().enumerate().filter(|(_, l)| l.chars().count() > CHARACTERS_MOST) {
        found.push(format!("line {} has {} characters", n + 1, line.chars().count()));
    }
    found
}

#[test]
fn the_decision_module_is_within_its_limits() {
    let found = breaches(include_str!("../src/choice.rs"));
    assert!(found.is_empty(), "{found:?}");
}

#[test]
fn the_deploy_file_names_that_module_alone() {
    let deploy = include_str!("../deploy/balancer.toml");
    assert!(deploy.lines().any(|l| l.starts_with("policy = [\"src/choice.rs\"]")), "{deploy}");
}

#[test]
fn one_line_or_one_character_too_many_is_seen() {
    let full = "x\n\n".repeat(LINES_MOST);
    assert!(breaches(&full).is_empty(), "blank lines do not count");
    assert_eq!(breaches(&(full + "y\n")).len(), 1);
    assert!(breaches(&"é".repeat(CHARACTERS_MOST)).is_empty(), "characters, not bytes");
    assert_eq!(breaches(&"x".repeat(CHARACTERS_MOST + 1)).len(), 1);
}
