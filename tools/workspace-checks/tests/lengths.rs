//! No file of Rust is longer than 400 lines, but for those that were when this was first counted: they may not grow, and
//! whoever splits one takes it off the list.

use maplehook_workspace_checks::rust_files;
use std::fs;
use std::path::{Path, PathBuf};

const LINES_MOST: usize = 400;
/// Files that are longer, and how long each may be.
const LONGER: [(&str, usize); 5] = [
    ("tools/conformance/src/scenarios.rs", 442),
    ("tools/simulator/src/members/mod.rs", 431),
    ("tools/simulator/src/play.rs", 732),
    ("crates/endpoints/src/fleet.rs", 412),
    ("crates/proxy/tests/agreement.rs", 443),
];

/// All files of Rust under a folder, by their names from there, and how many lines each has.
fn lengths(root: &Path) -> Vec<(String, usize)> {
    let length = |path: PathBuf| {
        let lines = fs::read_to_string(&path).unwrap().lines().count();
        (path.strip_prefix(root).unwrap().to_string_lossy().into_owned(), lines)
    };
    rust_files(root).into_iter().map(length).collect()
}

/// What of these files goes over the limit, and what of the list is not true any more.
fn breaches(files: &[(String, usize)], longer: &[(&str, usize)]) -> Vec<String> {
    let mut found = Vec::new();
    for (name, lines) in files {
        let listed = longer.iter().find(|(longer, _)| longer == name);
        let most = listed.map_or(LINES_MOST, |(_, most)| *most);
        if *lines > most {
            found.push(format!("{name} has {lines} lines, {most} at most"));
        }
    }
    for (name, _) in longer {
        if !files.iter().any(|(file, lines)| file == name && *lines > LINES_MOST) {
            found
                .push(format!("{name} is not longer than {LINES_MOST} lines any more: take it off the list"));
        }
    }
    found
}

#[test]
fn no_file_is_too_long_and_none_of_the_long_ones_grows() {
    let files = lengths(&maplehook_workspace_checks::root());
    assert!(
        files.iter().any(|(name, _)| name == "tools/workspace-checks/tests/lengths.rs"),
        "the files were found"
    );
    let found = breaches(&files, &LONGER);
    assert!(found.is_empty(), "{found:#?}");
}

#[test]
fn one_line_too_many_is_seen() {
    let root = std::env::temp_dir().join(format!("lengths-{}", std::process::id()));
    fs::create_dir_all(root.join("node/src")).unwrap();
    fs::create_dir_all(root.join("target/debug")).unwrap();
    let plant = |name: &str, lines: usize| fs::write(root.join(name), "x\n".repeat(lines)).unwrap();
    let listed = [("node/src/old.rs", 500)];
    plant("node/src/old.rs", 500);
    plant("node/src/new.rs", LINES_MOST);
    plant("target/debug/built.rs", 1000);
    plant("notes.md", 1000);
    assert_eq!(breaches(&lengths(&root), &listed), [""; 0]);
    plant("node/src/new.rs", LINES_MOST + 1);
    assert_eq!(breaches(&lengths(&root), &listed), ["node/src/new.rs has 401 lines, 400 at most"]);
    plant("node/src/new.rs", 1);
    plant("node/src/old.rs", 501);
    assert_eq!(breaches(&lengths(&root), &listed), ["node/src/old.rs has 501 lines, 500 at most"]);
    for shorter in [LINES_MOST, 1] {
        plant("node/src/old.rs", shorter);
        let stale = "node/src/old.rs is not longer than 400 lines any more: take it off the list";
        assert_eq!(breaches(&lengths(&root), &listed), [stale]);
    }
    fs::remove_dir_all(root).unwrap();
}
