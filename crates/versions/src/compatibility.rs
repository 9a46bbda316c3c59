//! What contradicts what, and the strictest reading of two versions: whatever it allows, each of them does.
//!
//! | rule | contradict when | strictest reading |
//! | --- | --- | --- |
//! | a class's effect, key window, group | they differ | [`maplehook_core::Effect::stricter`]: fewer repeats, shorter windows, smaller groups |
//! | attempts, second copies | they differ | fewer, none |
//! | what proves that a request never ran | they differ | what both take for it |
//! | paths and methods of classes | they differ, and the classes' effects do | every class has the strictest effect of all |
//! | the header of the key | it differs | a keyed class must not run twice |
//! | an upstream listed here, gone or drained there | always | it drains |
//! | an upstream at two addresses, or of two zones | always | it drains |
//! | a tenant's guarantee | never for one tenant, since either keeps what is promised; the sum over the room does | the lesser |
//! | refused clients | the lists differ | whoever either refuses |
//! | known clients | never: they say who goes first at a crowded door | the new one's |
//! | rules of nearness (`never`, `beyond region at most`, `when lost`) | they differ | see [`crate::places`] |
//! | deadlines, aims, weights, limits on bodies, other headers | never: they say how well, not what may happen | the lesser time, the new one's otherwise |

use maplehook_config::{Proxy, Upstream};
use maplehook_core::{Class, Effect, Tenant};
use maplehook_http_semantics::{Passage, Route};
use std::collections::BTreeMap;

/// What of two versions may not be acted on at the same time, in words; empty: they may stand side by side.
pub fn conflicts(a: &Proxy, b: &Proxy) -> Vec<String> {
    let mut found = Vec::new();
    for (name, class, passage) in classes(a) {
        let Some((_, other, other_passage)) = classes(b).find(|(other, ..)| *other == name) else { continue };
        if class.effect != other.effect {
            found.push(format!("class {name}: effect {:?} and {:?}", class.effect, other.effect));
        }
        if proofs(passage) != proofs(other_passage) {
            found.push(format!("class {name}: what proves that a request never ran"));
        }
    }
    if a.settings.max_attempts != b.settings.max_attempts {
        found.push(format!("max_attempts {} and {}", a.settings.max_attempts, b.settings.max_attempts));
    }
    if a.settings.can_hedge != b.settings.can_hedge {
        found.push("hedging".into());
    }
    let mut all = effects(a).into_iter().chain(effects(b));
    let first = all.next();
    if !same_routes(a, b) && all.any(|effect| Some(effect) != first) {
        found.push("paths and methods, of classes whose effects differ".into());
    }
    if a.headers.idempotency != b.headers.idempotency {
        found.push(format!("headers.idempotency {} and {}", a.headers.idempotency, b.headers.idempotency));
    }
    if a.clients.refused != b.clients.refused {
        found.push("clients.refused".into());
    }
    let (ours, theirs) = (upstreams(a), upstreams(b));
    for name in ours.keys().chain(theirs.keys()).collect::<std::collections::BTreeSet<_>>() {
        match (ours.get(name), theirs.get(name)) {
            (Some(x), Some(y)) if x.address == y.address && x.zone == y.zone && x.drained == y.drained => {}
            (Some(x), None) | (None, Some(x)) if x.drained => {}
            _ => found.push(format!("upstream {name}: listed differently")),
        }
    }
    found.extend(crate::locality_rules::conflicts(a, b));
    found
}

fn classes(proxy: &Proxy) -> impl Iterator<Item = (&str, &Class, &Passage)> {
    let named = proxy.classes.iter().zip(&proxy.settings.classes).zip(&proxy.passages);
    named.map(|((name, class), passage)| (name.as_str(), class, passage))
}

fn proofs(passage: &Passage) -> (&[http::StatusCode], Option<&(http::HeaderName, http::HeaderValue)>) {
    (&passage.meaning.turned_away, passage.meaning.marker.as_ref())
}

/// Which requests are of which class, by name.
fn routes(proxy: &Proxy) -> Vec<(&str, &Route)> {
    let name = |route: &Route| proxy.classes.get(usize::from(route.class.0)).map_or("", String::as_str);
    proxy.routes.iter().map(|route| (name(route), route)).collect()
}

fn effects(proxy: &Proxy) -> Vec<Effect> {
    proxy.settings.classes.iter().map(|class| class.effect).collect()
}

fn upstreams(proxy: &Proxy) -> BTreeMap<&str, &Upstream> {
    proxy.upstreams.iter().map(|upstream| (upstream.name.as_str(), upstream)).collect()
}

/// Whether the same requests are of the same class.
fn same_routes(a: &Proxy, b: &Proxy) -> bool {
    let (ours, theirs) = (routes(a), routes(b));
    ours.len() == theirs.len()
        && ours.iter().zip(&theirs).all(|((name, route), (other, with))| {
            name == other && route.pattern == with.pattern && route.methods == with.methods
        })
}

/// The strictest reading of two versions. Classes, tenants and their numbers are the second one's.
pub fn strictest(old: &Proxy, new: &Proxy) -> Proxy {
    let mut strict = new.clone();
    let same_routes = same_routes(old, new);
    let of_all = effects(old).into_iter().chain(effects(new)).reduce(Effect::stricter);
    let keys_differ = old.headers.idempotency != new.headers.idempotency;
    for (k, name) in new.classes.iter().enumerate() {
        let before = classes(old).find(|(other, ..)| other == name);
        let class = &mut strict.settings.classes[k];
        if let Some((_, before, passage)) = before {
            class.effect = class.effect.stricter(before.effect);
            class.deadline = class.deadline.min(before.deadline);
            class.latency_objective =
                class.latency_objective.min(before.latency_objective).min(class.deadline);
            let meaning = &mut strict.passages[k].meaning;
            if meaning.marker != passage.meaning.marker {
                // Nothing is taken for a proof that only one of them takes for it.
                meaning.turned_away.clear();
            }
            meaning.turned_away.retain(|status| passage.meaning.turned_away.contains(status));
        }
        if !same_routes && let Some(effect) = of_all {
            // Under the other version a request of this class may be of any.
            class.effect = class.effect.stricter(effect);
        }
        if keys_differ && matches!(class.effect, Effect::Deduplicated { .. }) {
            class.effect = Effect::AtMostOnce;
        }
    }
    for route in &mut strict.routes {
        if let Some(class) = strict.settings.classes.get(usize::from(route.class.0)) {
            route.effect = class.effect;
            route.deadline = class.deadline;
        }
    }
    strict.settings.max_attempts = new.settings.max_attempts.min(old.settings.max_attempts);
    strict.settings.can_hedge = new.settings.can_hedge && old.settings.can_hedge;
    strict.clients.refused = old.clients.refused.union(&new.clients.refused);
    let named = |proxy: &Proxy| -> BTreeMap<String, f64> {
        let names = proxy.tenants.iter().cloned();
        names.zip(proxy.settings.tenants.iter().map(|tenant| tenant.allowance_per_s)).collect()
    };
    let before = named(old);
    for (tenant, name) in strict.settings.tenants.iter_mut().zip(&new.tenants) {
        if let Some(allowance) = before.get(name) {
            *tenant = Tenant { allowance_per_s: tenant.allowance_per_s.min(*allowance) };
        }
    }
    let listed = upstreams(old);
    for upstream in &mut strict.upstreams {
        let same = listed.get(upstream.name.as_str()).is_some_and(|before| {
            before.address == upstream.address && before.zone == upstream.zone && !before.drained
        });
        upstream.drained |= !same;
    }
    let new_names = upstreams(new);
    let gone = old.upstreams.iter().filter(|upstream| !new_names.contains_key(upstream.name.as_str()));
    strict.upstreams.extend(gone.cloned().map(|upstream| Upstream { drained: true, ..upstream }));
    strict.places = crate::locality_rules::strictest(old, new);
    strict
}

/// The strictest reading there is, of a version that may no longer be in force: nothing is sent twice.
pub fn conservative(proxy: &Proxy) -> Proxy {
    let mut careful = proxy.clone();
    for class in &mut careful.settings.classes {
        class.effect = Effect::AtMostOnce;
    }
    for route in &mut careful.routes {
        route.effect = Effect::AtMostOnce;
    }
    for passage in &mut careful.passages {
        passage.meaning.turned_away.clear();
    }
    careful.settings.max_attempts = 1;
    careful.settings.can_hedge = false;
    careful
}
