//! Every history of the corpus shows what its header says, and nothing else.

use maplehook_history_checker::file::read;
use maplehook_history_checker::judge::{RULES, judge};
use maplehook_history_checker::report;
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

fn corpus() -> Vec<PathBuf> {
    let at = Path::new(env!("CARGO_MANIFEST_DIR")).join("corpus");
    let mut files: Vec<PathBuf> = at.read_dir().unwrap().map(|entry| entry.unwrap().path()).collect();
    files.sort();
    files
}

#[test]
fn each_shows_what_it_was_kept_for() {
    let (mut clean, mut broken) = (0, BTreeSet::new());
    for file in corpus() {
        assert!(file.metadata().unwrap().len() < 40_000, "{}", file.display());
        let (history, part) = read(&file).unwrap();
        assert_eq!((part.unknown, part.torn), (0, 0), "{}", file.display());
        let found: BTreeSet<&str> = judge(&history).iter().map(|breach| breach.rule).collect();
        let expected: BTreeSet<&str> = history.header.expect.as_deref().into_iter().collect();
        assert_eq!(found, expected, "{}", file.display());
        match history.header.expect {
            Some(rule) => drop(broken.insert(rule)),
            None => clean += 1,
        }
    }
    assert!(clean >= 3);
    let rules: BTreeSet<String> = RULES.iter().map(|rule| rule.name.to_owned()).collect();
    assert_eq!(broken, rules);
}

#[test]
fn a_report_tells_clean_from_broken() {
    let (clean, broken): (Vec<PathBuf>, Vec<PathBuf>) =
        corpus().into_iter().partition(|file| read(file).unwrap().0.header.expect.is_none());
    let (text, found) = report(&clean, false).unwrap();
    assert!(found, "{text}");
    let (text, found) = report(&broken, false).unwrap();
    assert!(!found);
    for rule in RULES {
        let of = |line: &&str| line.trim_start().starts_with(&format!("{}: ", rule.name));
        assert!(text.lines().any(|line| of(&line)), "{} is not in: {text}", rule.name);
    }
    let table = text.lines().find(|line| line.starts_with("twice")).unwrap();
    assert_eq!(table.split_whitespace().nth(2), Some("1"), "{table}");
    let fault = report(&[PathBuf::from("no such file")], false).unwrap_err();
    assert!(fault.to_string().starts_with("no such file: "), "{fault}");
}

#[test]
fn the_short_part_is_written_beside_its_file() {
    let at = std::env::temp_dir().join(format!("maplehook-history-checker-{}", std::process::id()));
    std::fs::create_dir_all(&at).unwrap();
    let from = corpus().into_iter().find(|file| file.ends_with("ran-twice.jsonl")).unwrap();
    let to = at.join("run.jsonl");
    std::fs::copy(from, &to).unwrap();
    let (text, clean) = report(std::slice::from_ref(&to), true).unwrap();
    let short = read(&at.join("run.twice.short.jsonl")).unwrap().0;
    std::fs::remove_dir_all(&at).unwrap();
    assert!(!clean && text.contains("run.twice.short.jsonl"), "{text}");
    assert_eq!(judge(&short).len(), 1);
    assert!(short.records.len() <= 3);
}
