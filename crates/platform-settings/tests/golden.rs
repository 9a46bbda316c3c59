//! Errors of the settings object, as an earlier program said them.

mod common;

use common::GOOD;
use maplehook_golden::assert_text;
use maplehook_platform_settings::{ActiveSettings, parse};
use serde_json::{Value, json};

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
