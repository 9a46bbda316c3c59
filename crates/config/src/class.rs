//! A class of requests in the operator's file.

use crate::reader::{Reader, Table};
use crate::values::ranged;
use http::{HeaderValue, Method, StatusCode};
use maplehook_core::{Class, ClassId, DedupGroup, Effect};
use maplehook_http_semantics::{Answers, Passage, Pattern, Route};
use std::time::Duration;

/// Reads a class: what the decisions know of it, and how its messages pass.
pub fn read<'a>(
    reader: &mut Reader<'a>,
    table: &mut Table<'a>,
    k: usize,
    routes: &mut Vec<Route>,
) -> (Class, Passage) {
    let deadline = Duration::from_millis(
        ranged!(reader, table, "deadline_ms", 1..=3_600_000u64, "1 to 3,600,000 ms").unwrap_or(30_000),
    );
    let aim = ranged!(reader, table, "aim_ms", 1..=3_600_000u64, "1 to 3,600,000 ms");
    let aim = aim.map_or(deadline / 3, Duration::from_millis).clamp(Duration::from_millis(1), deadline);
    let ttl = ranged!(reader, table, "key_ttl_ms", 1..=86_400_000u64, "1 to 86,400,000 ms");
    let group: Option<String> = reader.take_in(table, "dedup");
    let effect: Option<String> = reader.take_in(table, "effect");
    let group = match group.as_deref() {
        None | Some("all") => DedupGroup::All,
        Some("zone") => DedupGroup::Zone,
        Some(other) => {
            reader.fault_in(table, "dedup", format!("{other:?} is neither \"all\" nor \"zone\""));
            DedupGroup::All
        }
    };
    let effect = match effect.as_deref() {
        Some("idempotent") => Effect::Idempotent,
        Some("keyed") => Effect::Deduplicated { group, ttl: Duration::from_millis(ttl.unwrap_or(60_000)) },
        // What nothing is known of must not run twice.
        None | Some("at_most_once") => Effect::AtMostOnce,
        Some(other) => {
            let what = format!("{other:?} is none of \"idempotent\", \"keyed\", \"at_most_once\"");
            reader.fault_in(table, "effect", what);
            Effect::AtMostOnce
        }
    };
    if ttl.is_some() && !matches!(effect, Effect::Deduplicated { .. }) {
        reader.fault_in(table, "key_ttl_ms", "of use with effect = \"keyed\" alone".into());
    }
    let methods: Vec<String> = reader.take_in(table, "methods").unwrap_or_default();
    let mut read: Vec<Method> = Vec::new();
    for method in &methods {
        match method.parse::<Method>() {
            Ok(m) if m != Method::CONNECT && method.bytes().all(|b| b.is_ascii_uppercase() || b == b'-') => {
                read.push(m);
            }
            _ => reader.fault_in(table, "methods", format!("{method:?} is no method that can be passed on")),
        }
    }
    let path: Option<String> = reader.take_in(table, "path");
    match path.as_deref().map(Pattern::new) {
        Some(Ok(pattern)) => {
            routes.push(Route { class: ClassId(k as u16), pattern, methods: read, effect, deadline });
        }
        Some(Err(e)) => reader.fault_in(table, "path", e.to_string()),
        None => reader.fault_in(table, "path", "it needs a path, as \"/**\"".into()),
    }
    let class = Class { latency_objective: aim, deadline, late_value: 0.5, effect, ..Class::default() };
    (class, passage(reader, table, effect))
}

fn passage<'a>(reader: &mut Reader<'a>, table: &mut Table<'a>, effect: Effect) -> Passage {
    let mut passage = Passage::general(effect);
    if let Some(n) = ranged!(reader, table, "buffer_bytes", 0..=16usize << 20, "0 to 16 MiB") {
        passage.buffer = n;
    }
    if let Some(n) = ranged!(reader, table, "body_most_bytes", 0..=1u64 << 40, "0 to 2^40") {
        passage.body_most = n;
    }
    let (mut idle, mut total) = passage.patience();
    if let Some(ms) = ranged!(reader, table, "idle_ms", 1..=86_400_000u64, "1 to 86,400,000 ms") {
        idle = Duration::from_millis(ms);
    }
    if let Some(ms) = ranged!(reader, table, "total_ms", 1..=604_800_000u64, "1 to 604,800,000 ms") {
        total = Duration::from_millis(ms);
    }
    passage.sender_idle = idle;
    passage.answers = Answers { buffer: passage.buffer, idle, total, ..passage.answers };
    for (key, statuses) in [
        ("turned_away", &mut passage.meaning.turned_away),
        ("overload", &mut passage.meaning.overload),
        ("error", &mut passage.meaning.error),
    ] {
        let Some(codes) = reader.take_in::<Vec<u16>>(table, key) else { continue };
        let read: Vec<StatusCode> =
            codes.iter().filter(|c| (200..600).contains(*c)).flat_map(|c| StatusCode::from_u16(*c)).collect();
        if read.len() != codes.len() {
            reader.fault_in(table, key, "statuses are 200 to 599".into());
        }
        *statuses = read;
    }
    let marker: Option<String> = reader.take_in(table, "marker");
    match marker.as_deref().map(|text| text.split_once(':')) {
        None => {}
        Some(Some((name, value))) => match (name.trim().parse(), HeaderValue::from_str(value.trim())) {
            (Ok(name), Ok(value)) => passage.meaning.marker = Some((name, value)),
            _ => reader.fault_in(table, "marker", "\"Header: value\"".into()),
        },
        Some(None) if marker.as_deref() == Some("") => passage.meaning.marker = None,
        Some(None) => reader.fault_in(table, "marker", "\"Header: value\", or \"\" for none".into()),
    }
    if passage.meaning.marker.is_none()
        && effect != Effect::Idempotent
        && !passage.meaning.turned_away.is_empty()
    {
        let what = "without a marker, statuses that any failure may have would prove that nothing ran";
        reader.fault_in(table, "marker", what.into());
    }
    passage
}
