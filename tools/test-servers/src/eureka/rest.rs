//! The REST operations, on documents in JSON.

use super::Mode;
use super::registry::{Registry, mark};
use super::xml::from_xml;
use hyper::Method;
use serde_json::{Map, Value, json};
use std::collections::BTreeMap;
use std::time::Instant;

/// Changes the registry as a request asks for; the status of the answer.
pub fn write(
    registry: &mut Registry,
    method: &Method,
    words: &[&str],
    query: &[(String, String)],
    body: &[u8],
    xml: bool,
) -> u16 {
    let value = query.iter().find(|(name, _)| name == "value").map(|(_, value)| value.as_str());
    let found = |found: bool| if found { 200 } else { 404 };
    match (method.as_str(), words) {
        ("POST", ["apps", app]) => {
            let document = if xml { from_xml(body) } else { serde_json::from_slice(body).ok() };
            let info = document.and_then(|mut d: Value| d.get_mut("instance").map(Value::take));
            match info {
                Some(Value::Object(info)) if registry.register(app, info.clone()).is_some() => 204,
                _ => 400,
            }
        }
        ("PUT", ["apps", app, id]) => {
            let registered = registry.apps.get_mut(*app).and_then(|app| app.get_mut(*id));
            if let Some(registered) = registered {
                (registered.renewed, registered.renewals) = (Instant::now(), registered.renewals + 1);
                return 200;
            }
            404
        }
        ("PUT", ["apps", app, id, "status"]) => found(mark(registry, app, id, value.unwrap_or("UP"))),
        ("DELETE", ["apps", app, id, "status"]) => found(mark(registry, app, id, "UP")),
        ("PUT", ["apps", app, id, "metadata"]) => {
            let Some(registered) = registry.apps.get_mut(*app).and_then(|app| app.get_mut(*id)) else {
                return 404;
            };
            let metadata = registered.info.entry("metadata").or_insert_with(|| json!({}));
            for (name, value) in query {
                metadata[name] = value.as_str().into();
            }
            found(registry.touch(app, id, "MODIFIED"))
        }
        ("DELETE", ["apps", app, id]) => found(registry.remove(app, id)),
        _ => 405,
    }
}

/// The document that a path names.
pub fn read(registry: &Registry, words: &[&str]) -> Option<Value> {
    let applications = |apps: Vec<(String, Vec<Value>)>| {
        let apps: Vec<Value> = apps
            .into_iter()
            .map(|(name, instances)| json!({"name": name, "instance": one_or_more(instances)}))
            .collect();
        json!({"applications": {
            "versions__delta": registry.version.to_string(), "apps__hashcode": registry.hash(),
            "application": one_or_more(apps),
        }})
    };
    let text =
        |info: &Map<String, Value>, name: &str| info.get(name).and_then(Value::as_str).map(str::to_owned);
    match words {
        ["apps"] => Some(applications(registry.of(|_, _| true))),
        ["apps", "delta"] => {
            let mut apps: BTreeMap<String, Vec<Value>> = BTreeMap::new();
            for change in &registry.recent {
                apps.entry(change.app.clone()).or_default().push(Value::Object(change.info.clone()));
            }
            Some(applications(apps.into_iter().collect()))
        }
        ["apps", app] => {
            let (name, instances) = registry.of(|name, _| name == *app).pop()?;
            Some(json!({"application": {"name": name, "instance": one_or_more(instances)}}))
        }
        ["apps", _, id] | ["instances", id] => {
            let found = registry.of(|_, info| text(info, "instanceId").as_deref() == Some(*id));
            Some(json!({"instance": found.into_iter().next()?.1.into_iter().next()?}))
        }
        ["vips", vip] | ["svips", vip] => {
            let of_vip = |info: &Map<String, Value>| {
                text(info, "vipAddress").is_some_and(|vips| vips.split(',').any(|name| name == *vip))
            };
            let apps = registry.of(|_, info| of_vip(info));
            if apps.is_empty() { None } else { Some(applications(apps)) }
        }
        _ => None,
    }
}

/// Real servers write one element without a list round it.
fn one_or_more(mut values: Vec<Value>) -> Value {
    if values.len() == 1 { values.remove(0) } else { Value::Array(values) }
}

/// Spoils a document as a mode says.
pub fn spoil(document: &mut Value, mode: Mode) {
    let Some(applications) = document.get_mut("applications") else { return };
    match mode {
        Mode::Empty => {
            applications["application"] = json!([]);
            applications["apps__hashcode"] = "".into();
        }
        Mode::WrongHash => applications["apps__hashcode"] = "UP_4711_".into(),
        Mode::Half => {
            let halve = |app: &mut Value| {
                if let Some(Value::Array(instances)) = app.get_mut("instance") {
                    let mut n = 0;
                    instances.retain(|_| {
                        n += 1;
                        n % 2 == 0
                    });
                }
            };
            match &mut applications["application"] {
                Value::Array(apps) => apps.iter_mut().for_each(halve),
                app => halve(app),
            }
        }
        _ => {}
    }
}
