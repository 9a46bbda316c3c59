//! A site of the bench's form as the settings object that a balancer gets on the platform.

use serde_json::{Value, json};
use toml::{Table, Value as Field};

/// What the form calls a thing, and what the settings call it; other words are the same in both.
const WORDS: [(&str, &str); 14] = [
    ("safe", "idempotent"),
    ("keyed", "deduplicated"),
    ("unsafe", "at_most_once"),
    ("answers", "inline"),
    ("probe", "on_probe"),
    ("none", "off"),
    ("push", "automatic"),
    ("ask", "subscribe"),
    ("inflight", "concurrent"),
    ("queue", "depth"),
    ("util", "load_share"),
    ("latency_ms", "mean_ms"),
    ("qps", "tps"),
    ("eps", "err_ps"),
];
/// Requests a second that all tenants may send: the bench calculates that from the fleet.
const ALLOWED_PER_S: f64 = 100.0;
/// What the form does not state, and the platform does.
const ASK_EVERY_MS: f64 = 10_000.0;
const PRICES: [&str; 6] = ["connection", "cross_zone", "handshake", "late_fail", "probe", "waste"];

/// One of the settings that a form allows: an end of every range, and a place in every list of words.
#[derive(Clone, Copy, Debug)]
pub struct Draw {
    high: bool,
    word: usize,
}

/// As many as it takes to have each end and each word.
pub fn draws(form: &Table) -> Vec<Draw> {
    let words = longest(&Field::Table(form.clone()));
    (0..words).flat_map(|word| [false, true].map(|high| Draw { high, word })).collect()
}

/// The length of the longest list in a form.
fn longest(field: &Field) -> usize {
    match field {
        Field::Array(entries) => entries.iter().map(longest).max().unwrap_or(1).max(entries.len()),
        Field::Table(table) => table.values().map(longest).max().unwrap_or(1),
        _ => 1,
    }
}

fn section<'a>(table: &'a Table, key: &str) -> Option<&'a Table> {
    table.get(key).and_then(Field::as_table)
}

fn tables<'a>(table: &'a Table, key: &str) -> impl Iterator<Item = &'a Table> {
    table.get(key).and_then(Field::as_array).into_iter().flatten().filter_map(Field::as_table)
}

/// A section's keys, as one drawing has them.
struct Drawn<'a> {
    section: Option<&'a Table>,
    draw: Draw,
}

impl Drawn<'_> {
    fn number(&self, key: &str, default: f64) -> Result<f64, String> {
        let one = |field: &Field| field.as_float().or(field.as_integer().map(|n| n as f64));
        let read = match self.section.and_then(|section| section.get(key)) {
            None => Some(default),
            Some(Field::Array(ends)) if ends.len() == 2 => one(&ends[usize::from(self.draw.high)]),
            Some(field) => one(field),
        };
        read.ok_or_else(|| format!("{key}: it is no number and no range"))
    }

    fn word(&self, key: &str, default: Option<&str>) -> Result<String, String> {
        let word = match self.section.and_then(|section| section.get(key)) {
            None => default,
            Some(Field::Array(words)) if !words.is_empty() => words[self.draw.word % words.len()].as_str(),
            Some(field) => field.as_str(),
        };
        word.map(said).ok_or_else(|| format!("{key}: it is no word"))
    }

    fn permission(&self, key: &str, default: bool) -> Result<bool, String> {
        let read = match self.section.and_then(|section| section.get(key)) {
            None => Some(default),
            Some(Field::Array(both)) if !both.is_empty() => both[self.draw.word % both.len()].as_bool(),
            Some(field) => field.as_bool(),
        };
        read.ok_or_else(|| format!("{key}: it is neither true nor false"))
    }

    /// A list that stands as a whole.
    fn list(&self, key: &str, default: &[&str]) -> Vec<String> {
        let words = self.section.and_then(|section| section.get(key)).and_then(Field::as_array);
        match words {
            None => default.iter().map(ToString::to_string).collect(),
            Some(words) => words.iter().filter_map(Field::as_str).map(said).collect(),
        }
    }
}

fn said(word: &str) -> String {
    WORDS.iter().find(|(form, _)| *form == word).map_or(word, |(_, said)| said).to_owned()
}

/// The settings object of one drawing; or the key that says nothing that could stand there.
pub fn settings(form: &Table, draw: Draw) -> Result<Value, String> {
    let at = |name: &str| Drawn { section: section(form, name), draw };
    let tier = tables(form, "tier").next().ok_or("tier: there is none")?;
    let of_tier = |name: &str| Drawn { section: section(tier, name), draw };
    let balancers = at("scale").number("balancers", 4.0)? as i64;
    let prices = PRICES.map(|key| at("prices").number(key, 0.0).map(|price| (key.to_owned(), price.into())));
    Ok(json!({
        "balancers": balancers,
        "me": if draw.high { (balancers - 1).max(0) } else { 0 },
        "classes": tables(form, "class").enumerate().map(|class| one_class(class, draw)).collect::<Result<Vec<_>, _>>()?,
        "parties": tables(form, "tenant").map(|table| one_tenant(table, draw)).collect::<Result<Vec<_>, _>>()?,
        "discovery": at("discovery").word("mode", Some("push"))?,
        "failure_domains": at("net").list("zones", &["a", "b", "c"]),
        "locality": 0,
        "skus": tables(tier, "kind").map(|kind| kind.get("name").and_then(Field::as_str)).collect::<Vec<_>>(),
        "guarantees": guarantees(&at("rules"), tier, draw)?,
        "limits": limits(&at("allow"), &at("clients"), &of_tier("conn"))?,
        "over_share_worth": at("load").number("over_share_worth", 0.1)?,
        "prices": prices.into_iter().collect::<Result<serde_json::Map<_, _>, _>>()?,
        "telemetry": {
            "how": of_tier("report").word("how", Some("none"))?,
            "fields": of_tier("report").list("fields", &["inflight", "util"]),
        },
        "weight_kind": Drawn { section: Some(tier), draw }.word("weights", Some("nominal"))?,
        "worth_by": at("load").word("worth_by", Some("request"))?,
    }))
}

fn guarantees(rules: &Drawn<'_>, tier: &Table, draw: Draw) -> Result<Value, String> {
    // The coldest start, and the slowest.
    let (mut cold_from, mut cold_s) = (f64::INFINITY, f64::NAN);
    for kind in tables(tier, "kind") {
        let kind = Drawn { section: Some(kind), draw };
        cold_from = cold_from.min(kind.number("cold_from", 0.15)?);
        cold_s = cold_s.max(kind.number("cold_s", 20.0)?);
    }
    Ok(json!({
        "answer_slack_ms": 8.0,
        "ask_every_ms": ASK_EVERY_MS,
        "cold_from": cold_from,
        "cold_ms": cold_s * 1000.0,
        "drain_grace_ms": rules.number("drain_grace_ms", 1000.0)?,
        "fall_multiple": rules.number("fall_multiple", 3.0)?,
        "overload_for_ms": rules.number("fall_ms", 2000.0)?,
    }))
}

fn limits(allow: &Drawn<'_>, clients: &Drawn<'_>, conn: &Drawn<'_>) -> Result<Value, String> {
    Ok(json!({
        "cancelling": allow.permission("cancel", true)?,
        "conn_idle_ms": conn.number("idle_s", 15.0)? * 1000.0,
        "connect_timeout_ms": conn.number("connect_timeout_ms", 250.0)?,
        "cpu_us_per_request": allow.number("cpu_us_per_request", 0.0)?,
        "max_retry_after_ms": clients.number("max_retry_after_ms", 1000.0)?,
        "max_streams": conn.number("streams", 100.0)? as i64,
        "may_probe": allow.permission("probes", true)?,
        "peers": allow.permission("peers", false)?,
        "retry_after": allow.permission("retry_after", true)?,
        "second_copies": allow.permission("second_copies", true)?,
        "try_limit": allow.number("max_attempts", 6.0)? as i64,
    }))
}

fn one_class((n, table): (usize, &Table), draw: Draw) -> Result<Value, String> {
    let class = Drawn { section: Some(table), draw };
    let named = |fault: String| format!("class {}: {fault}", n + 1);
    Ok(json!({
        "name": class.word("name", None).map_err(named)?,
        "aim_ms": class.number("aim_ms", 100.0).map_err(named)?,
        "hard_limit_ms": class.number("deadline_ms", 400.0).map_err(named)?,
        "worth": class.number("worth", 1.0).map_err(named)?,
        "late_worth": class.number("late_worth", 0.0).map_err(named)?,
        "effect": class.word("effect", Some("safe")).map_err(named)?,
        "dedup_scope": class.word("group", Some("all")).map_err(named)?,
        "key_ttl_ms": class.number("window_ms", 5000.0).map_err(named)?,
        "streamed": class.permission("stream", false).map_err(named)?,
    }))
}

fn one_tenant(table: &Table, draw: Draw) -> Result<Value, String> {
    let tenant = Drawn { section: Some(table), draw };
    let share = tenant.number("share", 1.0)?;
    Ok(json!({
        "name": tenant.word("name", None)?,
        "share": share,
        "allowance_per_s": share * ALLOWED_PER_S,
    }))
}
