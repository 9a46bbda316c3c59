//! Errors of the settings object, as an earlier program said them.

use maplehook_golden::assert_text;
use maplehook_platform_settings::{ActiveSettings, parse};
use serde_json::{Value, json};

const GOOD: &str = r#"{"balancers": 3, "me": 1, "locality": 0, "classes": [
    {"name": "look", "aim_ms": 200.0, "hard_limit_ms": 400.0, "effect": "idempotent", "worth": 1.0, "late_worth": 0.5, "aim_stretch": 0.0},
    {"name": "move", "aim_ms": 300.0, "hard_limit_ms": 750.0, "effect": "deduplicated", "dedup_scope": "zone", "key_ttl_ms": 900.0}],
    "parties": [{"name": "acme", "allowance_per_s": 5.0}, {"name": "lodge", "allowance_per_s": 7.0}],
    "discovery": "subscribe", "failure_domains": ["a", "b"], "skus": ["m"],
    "guarantees": {"ask_every_ms": 10000.0, "cold_from": 0.13, "cold_ms": 21000.0, "fall_multiple": 3.0, "overload_for_ms": 1500.0},
    "limits": {"conn_idle_ms": 5000.0, "connect_timeout_ms": 100.0, "cpu_us_per_request": 0.0, "max_retry_after_ms": 2000.0,
        "max_streams": 1, "try_limit": 5},
    "over_share_worth": 0.05, "goal": {"slow_end": 0.2, "tail_miss": 0.01},
    "prices": {"connection": 0.08, "cross_zone": 0.02, "handshake": 0.08, "late_fail": 0.08, "probe": 0.01, "waste": 0.02},
    "telemetry": {"fields": ["depth"], "how": "inline"}, "weight_kind": "nominal", "worth_by": "request"}"#;

/// Every place in a document, by its steps.
fn places(value: &Value, at: &str, found: &mut Vec<String>) {
    if !at.is_empty() {
        found.push(at.to_owned());
    }
    match value {
        Value::Object(map) => {
            map.iter().for_each(|(key, inner)| places(inner, &format!("{at}/{key}"), found))
        }
        Value::Array(list) => {
            list.iter().enumerate().for_each(|(n, inner)| places(inner, &format!("{at}/{n}"), found));
        }
        _ => {}
    }
}

fn said(text: &str) -> String {
    let start =
        ActiveSettings::new(text, "settings").err().map_or("good".to_owned(), |wrong| wrong.to_string());
    let read = parse(text).err().map_or("read".to_owned(), |wrong| wrong.to_string());
    format!("{start} | {read}").replace('\n', " & ")
}

/// Every value is replaced by ones that it can't have.
#[test]
fn errors_of_the_settings_are_as_they_were() {
    let good: Value = serde_json::from_str(GOOD).unwrap();
    let mut at = Vec::new();
    places(&good, "", &mut at);
    let mut lines = format!("good: {}\n", said(GOOD));
    for place in at {
        for other in
            [json!(-1), json!("nonsense"), json!(null), json!([]), json!({"x": 1}), json!(1e300), json!(0)]
        {
            let mut changed = good.clone();
            *changed.pointer_mut(&place).unwrap() = other.clone();
            lines += &format!("{place} {other}: {}\n", said(&changed.to_string()));
        }
    }
    for cut in (0..GOOD.len()).step_by(97) {
        lines += &format!("cut at {cut}: {}\n", said(&GOOD[..cut]));
    }
    assert_text("errors.txt", &lines);
}
