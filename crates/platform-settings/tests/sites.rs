//! The sites of our own in `deploy/sites/`: what a balancer gets of each as its settings, at both ends of every range and with
//! every word of every list, is taken by the check that a balancer makes at its start.

mod site;

use maplehook_platform_settings::ActiveSettings;
use site::{Draw, draws, settings};
use std::fs;
use std::path::{Path, PathBuf};

fn folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/sites")
}

/// The texts of all sites in a folder, by name.
fn sites(folder: &Path) -> Vec<(String, String)> {
    let entries = fs::read_dir(folder).map_or_else(|_| Vec::new(), |entries| entries.collect());
    let mut paths: Vec<PathBuf> = entries.into_iter().map(|entry| entry.unwrap().path()).collect();
    paths.retain(|path| path.extension().is_some_and(|extension| extension == "toml"));
    paths.sort();
    paths.into_iter().map(|path| (path.display().to_string(), fs::read_to_string(path).unwrap())).collect()
}

/// Takes every drawing of a site; says what is wrong with the first that is not taken.
fn check(text: &str) -> Result<(), String> {
    let form = text.parse::<toml::Table>().map_err(|e| e.to_string())?;
    draws(&form).into_iter().try_for_each(|draw: Draw| {
        let text = settings(&form, draw)?.to_string();
        ActiveSettings::new(&text, "settings").map(drop).map_err(|e| format!("{draw:?}: {e}"))
    })
}

#[test]
fn every_site_of_our_own_is_taken() {
    let sites = sites(&folder());
    assert!(!sites.is_empty(), "there is no site in {}", folder().display());
    for (name, text) in sites {
        assert_eq!(check(&text), Ok(()), "{name}");
    }
}

/// A small site, with each kind of value that the form has.
const GOOD: &str = r#"
[scale]
balancers = [3, 300]
[net]
zones = ["north", "south"]
[discovery]
mode = ["push", "ask"]
[allow]
max_attempts = 5
[rules]
fall_multiple = 2.5
[clients]
max_retry_after_ms = 400
[[tier]]
name = "desk"
weights = "none"
[tier.report]
how = "answers"
fields = ["qps", "util"]
[tier.conn]
idle_s = 4
connect_timeout_ms = 50
[[tier.kind]]
name = "std"
cold_from = [0.2, 0.6]
cold_s = [4, 8.5]
[[class]]
name = "show"
aim_ms = 150
deadline_ms = [300, 750]
worth = 1
effect = ["safe", "keyed", "unsafe"]
group = "cell"
window_ms = 900
[[tenant]]
name = "acme"
share = 0.6
"#;

#[test]
fn a_bad_site_is_named() {
    assert_eq!(check(GOOD), Ok(()));
    for (from, to, says) in [
        (
            r#"["safe", "keyed", "unsafe"]"#,
            r#"["safe", "twice"]"#,
            "settings.classes[0].effect: unknown effect",
        ),
        ("[300, 750]", "[0, 750]", "settings.classes[0].hard_limit_ms"),
        ("[300, 750]", "[300, -1]", "settings.classes[0].hard_limit_ms"),
        (r#"group = "cell""#, r#"group = "town""#, "settings.classes[0].dedup_scope"),
        ("[3, 300]", "[0, 300]", "settings.balancers"),
        ("max_attempts = 5", "max_attempts = 0", "settings.limits.try_limit"),
        ("cold_s = [4, 8.5]", "cold_s = [4, -8.5]", "settings.guarantees.cold_ms"),
        ("aim_ms = 150", "aim_ms = \"soon\"", "aim_ms: it is no number and no range"),
        (r#"name = "show""#, "", "class 1: name: it is no word"),
        (
            "[[tenant]]\nname = \"acme\"",
            "[[tenant]]\nname = \"acme\"\n[[tenant]]\nname = \"acme\"",
            "settings.parties[1].name",
        ),
    ] {
        assert!(GOOD.contains(from), "{from}");
        let wrong = check(&GOOD.replacen(from, to, 1)).unwrap_err();
        assert!(wrong.contains(says), "{to}: {wrong}");
    }
}

/// Guards the drawings: both ends of each range and each word come into settings.
#[test]
fn every_end_and_every_word_is_drawn() {
    let form = GOOD.parse::<toml::Table>().unwrap();
    let all: Vec<String> =
        draws(&form).into_iter().map(|draw| settings(&form, draw).unwrap().to_string()).collect();
    for part in [
        r#""hard_limit_ms":300.0"#,
        r#""hard_limit_ms":750.0"#,
        r#""balancers":300"#,
        r#""cold_ms":8500.0"#,
        r#""effect":"idempotent""#,
        r#""effect":"deduplicated""#,
        r#""effect":"at_most_once""#,
        r#""discovery":"automatic""#,
        r#""discovery":"subscribe""#,
        r#""failure_domains":["north","south"]"#,
        r#""fields":["tps","load_share"]"#,
    ] {
        assert!(all.iter().any(|text| text.contains(part)), "{part}");
    }
}
