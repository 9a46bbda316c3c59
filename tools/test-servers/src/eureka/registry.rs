//! What a registry knows: instances, their leases, and what changed of late.

use serde_json::{Map, Value};
use std::collections::BTreeMap;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// For how long changes are listed.
const RECENT: Duration = Duration::from_secs(180);
/// Share of the renewals that have to come, or no lease expires any more.
const PRESERVE: f64 = 0.85;

/// An instance, and its lease.
#[derive(Clone)]
pub struct Registered {
    /// The instance as it was registered, its status folded in.
    pub info: Map<String, Value>,
    /// How long it stays without a renewal.
    pub lease: Duration,
    /// When it was renewed last.
    pub renewed: Instant,
    /// How often it was, its registration included.
    pub renewals: u32,
}

/// A change of an instance.
#[derive(Clone)]
pub struct Change {
    /// When it was made.
    pub at: Instant,
    /// Of which application.
    pub app: String,
    /// The instance after it.
    pub info: Map<String, Value>,
}

/// All that a registry knows.
#[derive(Default, Clone)]
pub struct Registry {
    /// Instances, by application and id.
    pub apps: BTreeMap<String, BTreeMap<String, Registered>>,
    /// The changes of the last minutes, the oldest first.
    pub recent: Vec<Change>,
    /// How many changes there were.
    pub version: u64,
    /// Whether leases stay where many renewals are missing.
    pub preserves: bool,
    /// Milliseconds by which its clock is behind.
    pub behind_ms: u64,
}

impl Registry {
    fn now_ms(&self) -> u64 {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
        now.saturating_sub(self.behind_ms)
    }

    /// Notes a change of an instance; `false` if there is no such instance.
    pub fn touch(&mut self, app: &str, id: &str, action: &str) -> bool {
        let now = self.now_ms();
        let Some(registered) = self.apps.get_mut(app).and_then(|app| app.get_mut(id)) else { return false };
        registered.info.insert("lastUpdatedTimestamp".into(), now.to_string().into());
        registered.info.insert("actionType".into(), action.into());
        let change = Change { at: Instant::now(), app: app.to_owned(), info: registered.info.clone() };
        self.recent.push(change);
        self.version += 1;
        true
    }

    /// Registers an instance, and returns its id; `None` if it has none.
    pub fn register(&mut self, app: &str, mut info: Map<String, Value>) -> Option<String> {
        let text = |name: &str| info.get(name).and_then(Value::as_str).map(str::to_owned);
        let id = text("instanceId").or_else(|| text("hostName"))?;
        let lease = info.get("leaseInfo").and_then(|lease| lease.get("durationInSecs")).and_then(number);
        info.insert("app".into(), app.into());
        info.entry("status").or_insert("UP".into());
        info.entry("overriddenstatus").or_insert("UNKNOWN".into());
        info.entry("lastDirtyTimestamp").or_insert(self.now_ms().to_string().into());
        let before = self.apps.get(app).and_then(|app| app.get(&id));
        // An override outlives a registration.
        if let Some(overridden) =
            before.and_then(|b| b.info.get("overriddenstatus")).filter(|s| *s != "UNKNOWN")
        {
            info.insert("status".into(), overridden.clone());
            info.insert("overriddenstatus".into(), overridden.clone());
        }
        let lease = Duration::from_secs(lease.unwrap_or(90));
        let registered = Registered { info, lease, renewed: Instant::now(), renewals: 1 };
        self.apps.entry(app.to_owned()).or_default().insert(id.clone(), registered);
        self.touch(app, &id, "ADDED");
        Some(id)
    }

    /// Removes an instance; `false` if there is no such instance.
    pub fn remove(&mut self, app: &str, id: &str) -> bool {
        let removed = self.touch(app, id, "DELETED");
        if let Some(instances) = self.apps.get_mut(app) {
            instances.remove(id);
            if instances.is_empty() {
                self.apps.remove(app);
            }
        }
        removed
    }

    /// Leases that nobody renewed end, unless so many do at once that it is the network's fault.
    pub fn evict(&mut self) {
        let all: Vec<(String, String, bool)> = self
            .apps
            .iter()
            .flat_map(|(app, instances)| {
                let expired = |r: &Registered| r.renewed.elapsed() > r.lease;
                instances.iter().map(move |(id, r)| (app.clone(), id.clone(), expired(r)))
            })
            .collect();
        let expired = all.iter().filter(|(_, _, expired)| *expired).count();
        if self.preserves && (all.len() - expired) as f64 <= PRESERVE * all.len() as f64 {
            return;
        }
        for (app, id, _) in all.iter().filter(|(_, _, expired)| *expired) {
            self.remove(app, id);
        }
        self.recent.retain(|change| change.at.elapsed() < RECENT);
    }

    /// The hash of the list: how many instances have each status.
    pub fn hash(&self) -> String {
        let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
        for registered in self.apps.values().flat_map(BTreeMap::values) {
            let status = registered.info.get("status").and_then(Value::as_str).unwrap_or("UNKNOWN");
            *counts.entry(status).or_default() += 1;
        }
        counts.iter().map(|(status, n)| format!("{status}_{n}_")).collect()
    }

    /// The instances that are wanted, by application.
    pub fn of(&self, wanted: impl Fn(&str, &Map<String, Value>) -> bool) -> Vec<(String, Vec<Value>)> {
        let apps = self.apps.iter().map(|(app, instances)| {
            let infos =
                instances.values().filter(|r| wanted(app, &r.info)).map(|r| Value::Object(r.info.clone()));
            (app.clone(), infos.collect::<Vec<_>>())
        });
        apps.filter(|(_, infos)| !infos.is_empty()).collect()
    }
}

/// Overrides the status of an instance; `UP` removes the override. `false` if there is no such instance.
pub fn mark(registry: &mut Registry, app: &str, id: &str, status: &str) -> bool {
    let Some(registered) = registry.apps.get_mut(app).and_then(|app| app.get_mut(id)) else { return false };
    let overridden = if status == "UP" { "UNKNOWN" } else { status };
    registered.info.insert("status".into(), status.into());
    registered.info.insert("overriddenstatus".into(), overridden.into());
    registry.touch(app, id, "MODIFIED")
}

fn number(value: &Value) -> Option<u64> {
    value.as_u64().or_else(|| value.as_str()?.parse().ok())
}
