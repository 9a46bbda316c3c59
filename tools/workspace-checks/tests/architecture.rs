//! What the pages on architecture and names say exists does: files, folders and items.

use maplehook_workspace_checks::{root, rust_files};
use std::collections::BTreeSet;
use std::fs;

/// Texts between single backquotes, outside blocks of code.
fn quoted(page: &str) -> BTreeSet<String> {
    let mut is_block = false;
    let mut found = BTreeSet::new();
    for line in page.lines() {
        if line.starts_with("```") {
            is_block = !is_block;
        } else if !is_block {
            found.extend(line.split('`').skip(1).step_by(2).map(str::to_owned));
        }
    }
    found
}

/// Names of all types, traits, functions, methods, constants, modules, variants and fields that the sources define.
fn defined() -> BTreeSet<String> {
    const KEYWORDS: [&str; 9] = ["struct", "enum", "trait", "fn", "mod", "const", "static", "type", "union"];
    let mut names = BTreeSet::new();
    for folder in ["crates", "tools"] {
        for file in rust_files(&root().join(folder)) {
            let text = fs::read_to_string(file).unwrap();
            for line in text.lines().map(str::trim_start).filter(|line| !line.starts_with("//")) {
                let words: Vec<&str> = line.split(|c: char| !c.is_alphanumeric() && c != '_').collect();
                let after = |pair: &[&str]| KEYWORDS.contains(&pair[0]).then(|| pair[1].to_owned());
                names.extend(words.windows(2).filter_map(after));
                // A variant or a field stands first on its line.
                names.extend(
                    words
                        .iter()
                        .find(|word| !word.is_empty() && **word != "pub")
                        .map(|word| (*word).to_owned()),
                );
            }
        }
    }
    names
}

/// Items in these quotations: `Type`, `Type::method`, `module::Type`; anything else is no item.
fn items(quotations: &BTreeSet<String>) -> BTreeSet<String> {
    let is_name = |part: &str| !part.is_empty() && part.chars().all(|c| c.is_alphanumeric() || c == '_');
    let is_item = |text: &&String| {
        let parts: Vec<&str> = text.trim_end_matches("()").split("::").collect();
        let has_type = parts.iter().any(|part| {
            part.starts_with(|c: char| c.is_ascii_uppercase()) && part.chars().any(|c| c.is_lowercase())
        });
        parts.iter().all(|part| is_name(part)) && (has_type || parts.len() > 1)
    };
    quotations.iter().filter(is_item).map(|text| text.trim_end_matches("()").to_owned()).collect()
}

/// Files and folders in these quotations.
fn paths(quotations: &BTreeSet<String>) -> BTreeSet<String> {
    let roots = ["crates/", "tools/", "docs/", "deploy/"];
    quotations.iter().filter(|text| roots.iter().any(|root| text.starts_with(root))).cloned().collect()
}

/// What a page names and is not there.
fn missing(page: &str, defined: &BTreeSet<String>) -> Vec<String> {
    let quotations = quoted(page);
    let absent = paths(&quotations).into_iter().filter(|path| !root().join(path).exists());
    let known = |item: &String| {
        item.split("::").all(|part| defined.contains(part) || root().join("crates").join(part).exists())
    };
    absent.chain(items(&quotations).into_iter().filter(|item| !known(item))).collect()
}

#[test]
fn every_name_on_the_page_exists() {
    let page = fs::read_to_string(root().join("docs/ARCHITECTURE.md")).unwrap();
    assert!(items(&quoted(&page)).len() > 20 && paths(&quoted(&page)).len() > 10);
    assert_eq!(missing(&page, &defined()), [""; 0]);
}

#[test]
fn a_name_that_does_not_exist_is_seen() {
    let defined = defined();
    assert_eq!(missing("`crates/core` and `Balancer`, `Balancer::handle`", &defined), [""; 0]);
    assert_eq!(missing("`crates/nowhere`", &defined), ["crates/nowhere"]);
    assert_eq!(missing("`NoSuchTypeAnywhere`", &defined), ["NoSuchTypeAnywhere"]);
    assert_eq!(missing("`Balancer::no_such_method`", &defined), ["Balancer::no_such_method"]);
}
