//! Tests of the settings in force.

use super::*;
use maplehook_core::Effect;

const CLASS: &str = r#"{"name": "NAME", "aim_ms": 200, "hard_limit_ms": 400, "effect": "idempotent"}"#;

fn text(classes: &[&str], tenants: &[&str]) -> String {
    let classes: Vec<String> = classes.iter().map(|name| CLASS.replace("NAME", name)).collect();
    let tenants: Vec<String> =
        tenants.iter().map(|name| format!(r#"{{"name": "{name}", "allowance_per_s": 5.0}}"#)).collect();
    format!(
        r#"{{"balancers": 2, "me": 1, "classes": [{}], "parties": [{}], "limits": {{"try_limit": 5, "may_probe": true}},
        "guarantees": {{"cold_ms": 21000}}, "discovery": "subscribe"}}"#,
        classes.join(","),
        tenants.join(",")
    )
}

fn start() -> ActiveSettings {
    ActiveSettings::new(&text(&["look", "book"], &["acme", "lodge"]), "settings").unwrap()
}

fn names(tuned: &ActiveSettings) -> Vec<(u16, &str)> {
    tuned.classes().map(|(id, name, _)| (id.0, name)).collect()
}

/// Guards requests under way: a name keeps its number, and another's number is not given away while anybody
/// may still use it.
#[test]
fn names_keep_their_numbers() {
    let first = start();
    let later = |n| Duration::from_secs(n);
    let second = first.updated(later(1), &text(&["new", "book"], &["lodge", "walks"]), "settings").unwrap();
    assert_eq!(names(&second), [(1, "book"), (2, "new")]);
    assert_eq!(second.tenants().collect::<Vec<_>>(), [(TenantId(1), "lodge"), (TenantId(2), "walks")]);
    assert_eq!(second.removed_tenants(), [TenantId(0)]);
    // Whoever still has a request of it finds it as it was.
    assert_eq!(second.current().settings.classes[0], first.current().settings.classes[0]);
    assert_eq!(second.current().names.classes, ["look", "book", "new"]);
    let third = second.updated(later(2), &text(&["look"], &["acme"]), "settings").unwrap();
    assert_eq!(names(&third), [(0, "look")]);
    let fourth = third.updated(later(3), &text(&["other"], &[]), "settings").unwrap();
    assert_eq!(names(&fourth), [(3, "other")]);
    let last = fourth.updated(later(2) + ID_REUSE_DELAY, &text(&["last", "other"], &[]), "settings").unwrap();
    assert_eq!(names(&last), [(1, "last"), (3, "other")]);
}

/// Guards the memory against names without end.
#[test]
fn numbers_are_bounded() {
    let mut tuned = start();
    for n in 0..MAX_IDS - 2 {
        tuned = tuned.updated(Duration::ZERO, &text(&[&format!("c{n}")], &["acme"]), "settings").unwrap();
    }
    let more = text(&["more"], &["acme"]);
    let full = tuned.updated(Duration::ZERO, &more, "settings").unwrap_err();
    assert_eq!(full.to_string(), "settings.classes: too many");
    assert_eq!(names(&tuned.updated(ID_REUSE_DELAY, &more, "settings").unwrap()), [(0, "more")]);
}

/// Guards the balancer against half a file: each slip is named with its path, and nothing of it is taken.
#[test]
fn what_is_wrong_is_turned_down_and_named() {
    let good = text(&["look", "book"], &["acme", "lodge"]);
    start().updated(Duration::ZERO, &good, "settings").unwrap();
    for (from, to, says) in [
        (r#""hard_limit_ms": 400"#, r#""hard_limit_ms": 0"#, "settings.classes[0].hard_limit_ms"),
        (r#""hard_limit_ms": 400"#, r#""hard_limit_ms": -400"#, "settings.classes[0].hard_limit_ms"),
        (r#""hard_limit_ms": 400"#, r#""hard_limit_ms": "400""#, "settings.classes[0].hard_limit_ms"),
        (r#""hard_limit_ms": 400"#, r#""hard_limit_ms": null"#, "settings.classes[0].hard_limit_ms"),
        (r#""hard_limit_ms": 400"#, r#""hard_limit_ms": "NaN""#, "settings.classes[0].hard_limit_ms"),
        (r#""hard_limit_ms": 400"#, r#""hard_limit_ms": 1e300"#, "settings.classes[0].hard_limit_ms"),
        (r#""hard_limit_ms": 400"#, r#""hard_limit_ms": [400]"#, "settings.classes[0].hard_limit_ms"),
        (r#""hard_limit_ms": 400, "#, "", "settings.classes[0].hard_limit_ms"),
        (r#""try_limit": 5"#, r#""try_limit": 0"#, "settings.limits.try_limit"),
        (r#""try_limit": 5"#, r#""try_limit": -1"#, "settings.limits.try_limit"),
        (r#""try_limit": 5"#, r#""try_limit": true"#, "settings.limits.try_limit"),
        (r#""try_limit": 5"#, r#""try_limit": 1e99"#, "settings.limits.try_limit"),
        (r#""try_limit": 5"#, r#""try_limit": 2.5"#, "settings.limits.try_limit"),
        (r#""try_limit": 5, "#, "", "settings.limits.try_limit: it is missing"),
        (r#""effect": "idempotent""#, r#""effect": "maybe""#, "maybe"),
        (r#""effect": "idempotent""#, r#""effect": 3"#, "settings.classes[0].effect"),
        (r#""name": "book""#, r#""name": "look""#, "settings.classes[1].name: \"look\" twice"),
        (r#""name": "book""#, r#""name": """#, "settings.classes[1].name"),
        (r#""balancers": 2, "#, "", "settings.balancers: it is missing"),
        (r#""balancers": 2"#, r#""balancers": 0"#, "no balancers"),
        (r#""cold_ms": 21000"#, "", "settings.guarantees.cold_ms: it is missing"),
        (r#""guarantees": {"#, r#""guarantees": 3, "x": {"#, "settings.guarantees: it is no object"),
        (r#""classes": ["#, r#""classes": [], "others": ["#, "no request class"),
        (r#""allowance_per_s": 5.0"#, r#""allowance_per_s": -5.0"#, "allowance_per_s"),
        ("}", "", "settings"),
    ] {
        assert!(good.contains(from), "{from}");
        let wrong = start().updated(Duration::ZERO, &good.replacen(from, to, 1), "settings").unwrap_err();
        assert!(wrong.to_string().contains(says), "{to}: {wrong}");
    }
    for cut in 0..good.trim_end().len() {
        assert!(start().updated(Duration::ZERO, &good[..cut], "settings").is_err(), "{cut}");
    }
}

#[test]
fn what_may_change_does() {
    let to = text(&["look", "book"], &["acme", "lodge"]).replacen("idempotent", "at_most_once", 1);
    let tuned =
        start().updated(Duration::ZERO, &to.replace("\"try_limit\": 5", "\"try_limit\": 2"), "s").unwrap();
    let settings = &tuned.current().settings;
    assert_eq!((settings.classes[0].effect, settings.max_attempts), (Effect::AtMostOnce, 2));
    assert_eq!(settings.classes[1].effect, Effect::Idempotent);
}
