//! Crates whose names, shape and documentation have been gone through hold to what was reached: their files, errors, documentation
//! and lints. A crate joins the list when it is done and never leaves it.

use maplehook_workspace_checks::{DONE_ATTRIBUTES, root, rust_files};
use std::fs;
use std::path::Path;

/// The crates that are done.
const DONE: &[&str] = &[
    "crates/admission",
    "crates/canary",
    "crates/cluster",
    "crates/config-follower",
    "crates/consensus",
    "crates/core",
    "crates/hot-restart",
    "crates/platform-settings",
    "crates/rollout",
    "crates/supervisor",
    "crates/transport",
    "crates/versions",
];
/// The longest file of a crate that is done.
const MAX_LINES: usize = 400;

/// Whether a file is a test file: in a folder `tests`, or a sibling module for tests.
fn is_test_file(path: &Path) -> bool {
    let stem = path.file_stem().unwrap_or_default().to_string_lossy();
    stem == "tests" || stem.ends_with("_tests") || path.components().any(|part| part.as_os_str() == "tests")
}

/// What in a file breaks the rules of a crate that is done.
fn breaches_of_file(path: &Path, text: &str) -> Vec<String> {
    let mut found = Vec::new();
    let name = path.display();
    if text.lines().count() > MAX_LINES {
        found.push(format!("{name} has {} lines, {MAX_LINES} at most", text.lines().count()));
    }
    if is_test_file(path) {
        return found;
    }
    for (number, line) in text.lines().enumerate() {
        let code = line.split("//").next().unwrap_or_default();
        let untyped = code.contains(", String>") && code.contains("Result<");
        for (breach, is_there) in [
            ("tests inside a source file", code.trim_start().starts_with("mod tests {")),
            ("an error that is a string", untyped),
            (
                "an error of no type",
                code.contains("Box<dyn Error") || code.contains("Box<dyn std::error::Error"),
            ),
        ] {
            if is_there {
                found.push(format!("{name}:{}: {breach}", number + 1));
            }
        }
    }
    found
}

/// What in a root module breaks them.
fn breaches_of_root(path: &Path, text: &str) -> Vec<String> {
    // As one line, however the formatter has broken it.
    let words: Vec<&str> = text.split_whitespace().collect();
    let flat = words.join(" ").replace("( ", "(").replace(" )", ")").replace(",)", ")");
    let missing = DONE_ATTRIBUTES.iter().filter(|attribute| !flat.contains(**attribute));
    missing.map(|attribute| format!("{} lacks {attribute}", path.display())).collect()
}

#[test]
fn crates_that_are_done_stay_so() {
    let mut found = Vec::new();
    for name in DONE {
        let folder = root().join(name);
        let files = rust_files(&folder);
        assert!(!files.is_empty(), "{name} has no files");
        for file in files {
            found.extend(breaches_of_file(&file, &fs::read_to_string(&file).unwrap()));
        }
        let lib = folder.join("src/lib.rs");
        found.extend(breaches_of_root(&lib, &fs::read_to_string(&lib).unwrap()));
    }
    assert!(found.is_empty(), "{found:#?}");
}

#[test]
fn each_breach_is_seen() {
    let source = Path::new("crates/x/src/x.rs");
    let count = |path: &Path, text: &str| breaches_of_file(path, text).len();
    assert_eq!(count(source, "fn a() -> Result<(), Error> {}\n"), 0);
    assert_eq!(count(source, "fn a() -> Result<(), String> {}\n"), 1);
    assert_eq!(count(source, "fn a() -> Result<Vec<u8>, Box<dyn Error>> {}\n"), 1);
    assert_eq!(count(source, "#[cfg(test)]\nmod tests {\n}\n"), 1);
    assert_eq!(count(source, "#[cfg(test)]\nmod tests;\n"), 0);
    assert_eq!(count(source, &"\n".repeat(MAX_LINES)), 0);
    assert_eq!(count(source, &"\n".repeat(MAX_LINES + 1)), 1);
    assert_eq!(count(Path::new("crates/x/tests/x.rs"), "fn a() -> Result<(), String> {}\n"), 0);
    assert_eq!(count(Path::new("crates/x/src/tests.rs"), &"\n".repeat(MAX_LINES + 1)), 1);
    let whole = DONE_ATTRIBUTES.join("\n");
    assert_eq!(breaches_of_root(source, &whole).len(), 0);
    assert_eq!(breaches_of_root(source, &whole.replace("missing_docs, ", "")).len(), 1);
    assert_eq!(breaches_of_root(source, "").len(), 2);
}
