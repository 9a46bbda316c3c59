//! Which differences between two versions conflict, and the strictest reading of both: it allows only what each of them does.
//!
//! | rule | conflicts if | strictest reading |
//! | --- | --- | --- |
//! | a class's effect, key window, group | they differ | [`maplehook_core::Effect::stricter`]: fewer repeats, shorter windows, smaller groups |
//! | attempts, hedging | they differ | fewer, none |
//! | what proves that a request never ran | they differ | what both accept as proof |
//! | paths and methods of classes | they differ, and the classes' effects do | every class has the strictest effect of all |
//! | the header of the key | it differs | a keyed class must not run twice |
//! | an upstream that one lists and the other does not, or drains | always | it drains |
//! | an upstream at two addresses, or of two zones | always | it drains |
//! | a tenant's guarantee | never for one tenant, since either keeps what is promised; the sum over the capacity does | the lesser |
//! | refused clients | the lists differ | whoever either refuses |
//! | known clients | never: they say who is admitted first under load | the new one's |
//! | locality rules (`never`, `beyond region at most`, `when lost`) | they differ | see [`crate::locality_rules`] |
//! | deadlines, objectives, weights, limits on bodies, other headers | never: they say how well, not what may happen | the lesser time, otherwise the new one's |

use maplehook_config::{Proxy, Upstream};
use maplehook_core::{Class, Effect, Tenant};
use maplehook_http_semantics::{Passage, Route};
use std::collections::{BTreeMap, BTreeSet};

/// Describes what two versions have that must not be enforced at the same time. If there is nothing, both may be.
pub fn conflicts(a: &Proxy, b: &Proxy) -> Vec<String> {
    let mut found = class_conflicts(a, b);
    found.extend(setting_conflicts(a, b));
    found.extend(upstream_conflicts(a, b));
    found.extend(crate::locality_rules::conflicts(a, b));
    found
}

fn class_conflicts(a: &Proxy, b: &Proxy) -> Vec<String> {
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
    found
}

fn setting_conflicts(a: &Proxy, b: &Proxy) -> Vec<String> {
    let mut found = Vec::new();
    if a.settings.max_attempts != b.settings.max_attempts {
        found.push(format!("max_attempts {} and {}", a.settings.max_attempts, b.settings.max_attempts));
    }
    if a.settings.can_hedge != b.settings.can_hedge {
        found.push("hedging".into());
    }
    let mut effects = effects(a).into_iter().chain(effects(b));
    let first_effect = effects.next();
    if !have_same_routes(a, b) && effects.any(|effect| Some(effect) != first_effect) {
        found.push("paths and methods, of classes whose effects differ".into());
    }
    if a.headers.idempotency != b.headers.idempotency {
        found.push(format!("headers.idempotency {} and {}", a.headers.idempotency, b.headers.idempotency));
    }
    if a.clients.refused != b.clients.refused {
        found.push("clients.refused".into());
    }
    found
}

fn upstream_conflicts(a: &Proxy, b: &Proxy) -> Vec<String> {
    let mut found = Vec::new();
    let (in_a, in_b) = (upstreams(a), upstreams(b));
    for name in in_a.keys().chain(in_b.keys()).collect::<BTreeSet<_>>() {
        match (in_a.get(name), in_b.get(name)) {
            (Some(x), Some(y)) if x.address == y.address && x.zone == y.zone && x.drained == y.drained => {}
            (Some(x), None) | (None, Some(x)) if x.drained => {}
            _ => found.push(format!("upstream {name}: listed differently")),
        }
    }
    found
}

/// Returns the classes of a version by name, with how their messages are forwarded.
fn classes(proxy: &Proxy) -> impl Iterator<Item = (&str, &Class, &Passage)> {
    let named = proxy.classes.iter().zip(&proxy.settings.classes).zip(&proxy.passages);
    named.map(|((name, class), passage)| (name.as_str(), class, passage))
}

/// Returns the statuses and the header by which an upstream proves that a request never ran.
fn proofs(passage: &Passage) -> (&[http::StatusCode], Option<&(http::HeaderName, http::HeaderValue)>) {
    (&passage.meaning.turned_away, passage.meaning.marker.as_ref())
}

/// Returns the routes of a version with the names of their classes.
fn routes(proxy: &Proxy) -> Vec<(&str, &Route)> {
    let class_name = |route: &Route| proxy.classes.get(usize::from(route.class.0)).map_or("", String::as_str);
    proxy.routes.iter().map(|route| (class_name(route), route)).collect()
}

fn effects(proxy: &Proxy) -> Vec<Effect> {
    proxy.settings.classes.iter().map(|class| class.effect).collect()
}

fn upstreams(proxy: &Proxy) -> BTreeMap<&str, &Upstream> {
    proxy.upstreams.iter().map(|upstream| (upstream.name.as_str(), upstream)).collect()
}

/// Returns whether both versions assign requests to classes alike.
fn have_same_routes(a: &Proxy, b: &Proxy) -> bool {
    let (in_a, in_b) = (routes(a), routes(b));
    in_a.len() == in_b.len()
        && in_a.iter().zip(&in_b).all(|((name, route), (other_name, other))| {
            name == other_name && route.pattern == other.pattern && route.methods == other.methods
        })
}

/// Returns the strictest reading of two versions. Classes and tenants, and their numbers, are those of the new one.
pub fn strictest(old: &Proxy, new: &Proxy) -> Proxy {
    let mut strict = new.clone();
    restrict_classes(&mut strict, old, new);
    strict.settings.max_attempts = new.settings.max_attempts.min(old.settings.max_attempts);
    strict.settings.can_hedge = new.settings.can_hedge && old.settings.can_hedge;
    strict.clients.refused = old.clients.refused.union(&new.clients.refused);
    restrict_tenants(&mut strict, old);
    restrict_upstreams(&mut strict, old, new);
    strict.places = crate::locality_rules::strictest(old, new);
    strict
}

fn restrict_classes(strict: &mut Proxy, old: &Proxy, new: &Proxy) {
    let have_same_routes = have_same_routes(old, new);
    let strictest_effect = effects(old).into_iter().chain(effects(new)).reduce(Effect::stricter);
    let have_different_keys = old.headers.idempotency != new.headers.idempotency;
    for (index, name) in new.classes.iter().enumerate() {
        let class = &mut strict.settings.classes[index];
        if let Some((_, old_class, old_passage)) = classes(old).find(|(other, ..)| other == name) {
            restrict_class(class, old_class);
            restrict_proofs(&mut strict.passages[index], old_passage);
        }
        if !have_same_routes && let Some(effect) = strictest_effect {
            // In the other version, a request of this class may be of any class.
            class.effect = class.effect.stricter(effect);
        }
        if have_different_keys && matches!(class.effect, Effect::Deduplicated { .. }) {
            class.effect = Effect::AtMostOnce;
        }
    }
    for route in &mut strict.routes {
        if let Some(class) = strict.settings.classes.get(usize::from(route.class.0)) {
            route.effect = class.effect;
            route.deadline = class.deadline;
        }
    }
}

fn restrict_class(class: &mut Class, old: &Class) {
    class.effect = class.effect.stricter(old.effect);
    class.deadline = class.deadline.min(old.deadline);
    class.latency_objective = class.latency_objective.min(old.latency_objective).min(class.deadline);
}

/// Accepts as a proof that a request never ran only what both versions do.
fn restrict_proofs(passage: &mut Passage, old: &Passage) {
    let meaning = &mut passage.meaning;
    if meaning.marker != old.meaning.marker {
        meaning.turned_away.clear();
    }
    meaning.turned_away.retain(|status| old.meaning.turned_away.contains(status));
}

fn restrict_tenants(strict: &mut Proxy, old: &Proxy) {
    let allowances = old.settings.tenants.iter().map(|tenant| tenant.allowance_per_s);
    let old_allowances: BTreeMap<&String, f64> = old.tenants.iter().zip(allowances).collect();
    for (tenant, name) in strict.settings.tenants.iter_mut().zip(&strict.tenants) {
        if let Some(allowance) = old_allowances.get(name) {
            *tenant = Tenant { allowance_per_s: tenant.allowance_per_s.min(*allowance) };
        }
    }
}

/// Drains upstreams that the versions list differently.
fn restrict_upstreams(strict: &mut Proxy, old: &Proxy, new: &Proxy) {
    let in_old = upstreams(old);
    for upstream in &mut strict.upstreams {
        let is_same = in_old.get(upstream.name.as_str()).is_some_and(|listed| {
            listed.address == upstream.address && listed.zone == upstream.zone && !listed.drained
        });
        upstream.drained |= !is_same;
    }
    let in_new = upstreams(new);
    let removed = old.upstreams.iter().filter(|upstream| !in_new.contains_key(upstream.name.as_str()));
    strict.upstreams.extend(removed.cloned().map(|upstream| Upstream { drained: true, ..upstream }));
}

/// Returns the conservative reading of a version that may no longer be active: nothing is sent twice.
pub fn conservative(proxy: &Proxy) -> Proxy {
    let mut conservative = proxy.clone();
    for class in &mut conservative.settings.classes {
        class.effect = Effect::AtMostOnce;
    }
    for route in &mut conservative.routes {
        route.effect = Effect::AtMostOnce;
    }
    for passage in &mut conservative.passages {
        passage.meaning.turned_away.clear();
    }
    conservative.settings.max_attempts = 1;
    conservative.settings.can_hedge = false;
    conservative
}
