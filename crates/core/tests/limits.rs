//! The decisions stay few enough to be read whole: 1200 lines that are not blank over all their files, 110 characters
//! each; and no file of the crate is longer than 400 lines.

use std::fs;
use std::path::Path;

const LINES_MOST: usize = 1200;
const CHARACTERS_MOST: usize = 110;
const FILE_MOST: usize = 400;
/// Files that decide nothing: the interface, what is kept and counted, and the crate's page.
const DECIDE_NOTHING: [&str; 6] = ["heritage.rs", "lib.rs", "shares.rs", "sight.rs", "state.rs", "stats.rs"];

/// What of some files, by name, goes over the limits.
fn breaches(files: &[(String, String)]) -> Vec<String> {
    let filled = |text: &str| text.lines().filter(|l| !l.trim().is_empty()).count();
    let all: usize = files.iter().map(|(_, text)| filled(text)).sum();
    let mut found = Vec::new();
    if all > LINES_MOST {
        found.push(format!("{all} lines, {LINES_MOST} at most"));
    }
    for (name, text) in files {
        if text.lines().count() > FILE_MOST {
            found.push(format!("{name} has {} lines, {FILE_MOST} at most", text.lines().count()));
        }
        for (n, line) in text.lines().enumerate().filter(|(_, l)| l.chars().count() > CHARACTERS_MOST) {
            found.push(format!("{name}: line {} has {} characters", n + 1, line.chars().count()));
        }
    }
    found
}

/// The files that the deploy file names under `policy`.
fn policy() -> Vec<String> {
    let deploy = include_str!("../../../deploy/balancer.toml");
    let line = deploy.lines().find(|l| l.starts_with("policy = [")).expect("a line for the policy");
    let list = line.split_once('[').and_then(|(_, rest)| rest.split_once(']')).expect("a list").0;
    list.split(',').map(|name| name.trim().trim_matches('"').to_owned()).collect()
}

fn texts(names: &[String]) -> Vec<(String, String)> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let text = |name: &String| fs::read_to_string(root.join(name)).unwrap_or_else(|e| panic!("{name}: {e}"));
    names.iter().map(|name| (name.clone(), text(name))).collect()
}

#[test]
fn the_decisions_are_within_their_limits() {
    let found = breaches(&texts(&policy()));
    assert!(found.is_empty(), "{found:?}");
}

#[test]
fn the_deploy_file_names_all_files_of_the_crate_that_decide() {
    let src = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let mut names: Vec<String> = fs::read_dir(src)
        .expect("the crate's files")
        .map(|entry| entry.expect("an entry").file_name().into_string().expect("a name"))
        .filter(|name| !name.starts_with("interface") && !DECIDE_NOTHING.contains(&name.as_str()))
        .map(|name| format!("src/{name}"))
        .collect();
    let mut named = policy();
    names.sort();
    named.sort();
    assert_eq!(named, names);
}

#[test]
fn one_line_or_one_character_too_many_is_seen() {
    let files = |texts: &[&str]| -> Vec<(String, String)> {
        texts.iter().map(|text| ("x.rs".to_owned(), (*text).to_owned())).collect()
    };
    let full = "x\n".repeat(LINES_MOST / 4);
    let four = [full.as_str(); 4];
    assert!(breaches(&files(&four)).is_empty());
    assert!(breaches(&files(&[&four[..], &["\n\n"]].concat())).is_empty(), "blank lines do not count");
    assert_eq!(breaches(&files(&[&four[..], &["y\n"]].concat())).len(), 1);
    assert_eq!(breaches(&files(&[&"\n".repeat(FILE_MOST + 1)])).len(), 1);
    assert!(breaches(&files(&[&"é".repeat(CHARACTERS_MOST)])).is_empty(), "characters, not bytes");
    assert_eq!(breaches(&files(&[&"x".repeat(CHARACTERS_MOST + 1)])).len(), 1);
}
