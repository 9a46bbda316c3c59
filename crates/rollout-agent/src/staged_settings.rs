//! Selects the settings that may differ between stages: those that do not conflict by the table of
//! [`compatibility`]. All other settings use the stricter reading on both sides until the last stage has
//! passed.
//!
//! [`compatibility`]: maplehook_versions::compatibility

use maplehook_config::Proxy;
use maplehook_versions::compatibility::{conflicts, strictest};
use std::collections::BTreeMap;

/// Returns the rules of one side while the other side acts on `other`: deadlines, weights and guarantees of
/// the local side, and the strictest reading of both for all other settings.
pub fn staged_rules(local: &Proxy, other: &Proxy) -> Proxy {
    let mut staged = strictest(other, local);
    // The strictest reading takes the smaller values of these settings. They affect quality only and never
    // conflict.
    for (class, local) in staged.settings.classes.iter_mut().zip(&local.settings.classes) {
        (class.deadline, class.latency_objective) = (local.deadline, local.latency_objective);
    }
    for route in &mut staged.routes {
        if let Some(class) = staged.settings.classes.get(usize::from(route.class.0)) {
            route.deadline = class.deadline;
        }
    }
    staged.settings.tenants.clone_from(&local.settings.tenants);
    // The set of retryable answers must match the effect that both sides use.
    for (k, name) in local.classes.iter().enumerate() {
        let Some(n) = other.classes.iter().position(|other_name| other_name == name) else { continue };
        let strictest_effect = staged.settings.classes[k].effect;
        if local.settings.classes[k].effect != strictest_effect
            && other.settings.classes[n].effect == strictest_effect
        {
            staged.passages[k].meaning.error.clone_from(&other.passages[n].meaning.error);
        }
    }
    staged
}

/// Settings of a change, split by whether they may be staged.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StageableParts {
    /// Readable differences between the stages.
    pub staged: Vec<String>,
    /// Readable conflicts, which apply after the last stage.
    pub kept_back: Vec<String>,
}

/// Splits a change into staged and conflicting settings; fails if nothing can be staged or if even the
/// strictest readings conflict.
pub fn stageable_parts(old: &Proxy, new: &Proxy) -> Result<StageableParts, String> {
    const ADVICE: &str = "propose it the ordinary way: maplehook settings propose FILE";
    let kept_back = conflicts(old, new);
    let (old_side, new_side) = (staged_rules(old, new), staged_rules(new, old));
    let remaining = conflicts(&old_side, &new_side);
    if !remaining.is_empty() {
        return Err(format!("even read strictly this contradicts: {}; {ADVICE}", remaining.join("; ")));
    }
    let staged = differences(&old_side, &new_side);
    if staged.is_empty() {
        let why = match &kept_back[..] {
            [] => "nothing changes".into(),
            parts => format!("none of it may differ between balancers ({})", parts.join("; ")),
        };
        return Err(format!("{why}; {ADVICE}"));
    }
    Ok(StageableParts { staged, kept_back })
}

fn by_name<'a, T>(names: &'a [String], values: &'a [T]) -> BTreeMap<&'a str, &'a T> {
    names.iter().map(String::as_str).zip(values).collect()
}

/// Returns readable differences between two sets of rules.
fn differences(old: &Proxy, new: &Proxy) -> Vec<String> {
    let mut found = Vec::new();
    let ms = |time: std::time::Duration| time.as_millis();
    let (old_by_name, new_by_name) =
        (by_name(&old.classes, &old.settings.classes), by_name(&new.classes, &new.settings.classes));
    for (name, class) in &new_by_name {
        match old_by_name.get(name) {
            None => found.push(format!("class {name}: new")),
            Some(old_value) => {
                if old_value.deadline != class.deadline {
                    found.push(format!(
                        "class {name}: deadline {} to {} ms",
                        ms(old_value.deadline),
                        ms(class.deadline)
                    ));
                }
                if old_value.latency_objective != class.latency_objective {
                    found.push(format!(
                        "class {name}: aim {} to {} ms",
                        ms(old_value.latency_objective),
                        ms(class.latency_objective)
                    ));
                }
            }
        }
    }
    found.extend(
        old_by_name
            .keys()
            .filter(|name| !new_by_name.contains_key(*name))
            .map(|name| format!("class {name}: gone")),
    );
    let (old_by_name, new_by_name) =
        (by_name(&old.tenants, &old.settings.tenants), by_name(&new.tenants, &new.settings.tenants));
    for (name, tenant) in &new_by_name {
        match old_by_name.get(name) {
            None => found.push(format!("tenant {name}: new")),
            Some(old_value) if old_value.allowance_per_s != tenant.allowance_per_s => found.push(format!(
                "tenant {name}: guarantee {} to {} a second",
                old_value.allowance_per_s, tenant.allowance_per_s
            )),
            Some(_) => {}
        }
    }
    found.extend(
        old_by_name
            .keys()
            .filter(|name| !new_by_name.contains_key(*name))
            .map(|name| format!("tenant {name}: gone")),
    );
    for upstream in &new.upstreams {
        let old_value = old.upstreams.iter().find(|old_value| old_value.name == upstream.name);
        if old_value.is_some_and(|old_value| old_value.weight != upstream.weight) {
            found.push(format!("upstream {}: weight", upstream.name));
        }
    }
    if found.is_empty() && !equal_apart_from_order(old, new) {
        found.push("limits, headers or other settings".into());
    }
    found
}

/// Returns true if two sets of rules are equal apart from the order of upstreams.
fn equal_apart_from_order(old: &Proxy, new: &Proxy) -> bool {
    let sorted = |proxy: &Proxy| {
        let mut proxy = proxy.clone();
        proxy.upstreams.sort_by(|a, b| a.name.cmp(&b.name));
        proxy
    };
    sorted(old) == sorted(new)
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    /// Parses an operator's file with the given class, tenant and upstream settings.
    fn proxy(effect: &str, deadline: u64, rate: u32, upstreams: &[(&str, bool)]) -> Proxy {
        let upstreams: String = upstreams
            .iter()
            .enumerate()
            .map(|(n, (name, drain))| {
                format!(
                    "[[upstream]]\nname = '{name}'\naddress = '127.0.0.1:{}'\ndrained = {drain}\n",
                    9000 + n
                )
            })
            .collect();
        let text = format!(
            "[listen]\naddress = '127.0.0.1:0'\n[[tenant]]\nname = 'acme'\nallowance_per_s = {rate}.0\n[[class]]\nname = 'look'\n\
             path = '/l'\neffect = '{effect}'\ndeadline_ms = {deadline}\n{upstreams}"
        );
        maplehook_config::parse(&text).unwrap_or_else(|e| panic!("{e}\n{text}")).proxy.unwrap()
    }

    const TWO_UPSTREAMS: &[(&str, bool)] = &[("u", false), ("v", false)];

    #[test]
    fn deadlines_and_guarantees_are_staged_but_effects_are_not() {
        let (old, new) =
            (proxy("idempotent", 2000, 50, TWO_UPSTREAMS), proxy("at_most_once", 300, 5, TWO_UPSTREAMS));
        let parts = stageable_parts(&old, &new).unwrap();
        assert_eq!(
            parts.staged,
            [
                "class look: deadline 2000 to 300 ms",
                "class look: aim 666 to 100 ms",
                "tenant acme: guarantee 50 to 5 a second"
            ]
        );
        assert!(parts.kept_back.len() == 1 && parts.kept_back[0].contains("effect"), "{parts:?}");
        // Each side uses its own deadline, even a longer one; both use the stricter effect.
        let (old_side, new_side) = (staged_rules(&old, &new), staged_rules(&new, &old));
        assert_eq!(old_side.settings.classes[0].deadline, old.settings.classes[0].deadline);
        assert_eq!(new_side.settings.classes[0].deadline, new.settings.classes[0].deadline);
        assert_eq!(old_side.settings.classes[0].effect, new_side.settings.classes[0].effect);
        assert_eq!(new_side.settings.classes[0].effect, new.settings.classes[0].effect);
        assert_eq!(old_side.routes[0].deadline, old.settings.classes[0].deadline);
    }

    #[test]
    fn a_change_without_stageable_settings_is_rejected() {
        let (old, new) =
            (proxy("idempotent", 2000, 50, TWO_UPSTREAMS), proxy("at_most_once", 2000, 50, TWO_UPSTREAMS));
        let why = stageable_parts(&old, &new).unwrap_err();
        assert!(why.contains("none of it may differ") && why.contains("settings propose"), "{why}");
        assert!(stageable_parts(&old, &old).unwrap_err().contains("nothing changes"));
        // A changed endpoint list alone cannot be staged.
        let longer_list = proxy("idempotent", 2000, 50, &[("u", false), ("v", false), ("w", false)]);
        assert!(stageable_parts(&old, &longer_list).is_err());
    }

    fn any_proxy() -> impl Strategy<Value = Proxy> {
        let effect = prop::sample::select(vec!["idempotent", "at_most_once", "keyed"]);
        let listed = prop::sample::subsequence(vec!["u", "v", "w"], 1..=3);
        (effect, 1u64..5, 1u32..4, listed, any::<bool>()).prop_map(
            |(effect, deadline, rate, listed, drain)| {
                let listed: Vec<(&str, bool)> = listed.into_iter().map(|name| (name, drain)).collect();
                proxy(effect, deadline * 500, rate, &listed)
            },
        )
    }

    proptest! {
        #![proptest_config(ProptestConfig::with_cases(64))]
        /// The two sides must not conflict for any accepted change.
        #[test]
        fn accepted_changes_never_conflict_between_sides(old in any_proxy(), new in any_proxy()) {
            if stageable_parts(&old, &new).is_ok() {
                let found = conflicts(&staged_rules(&old, &new), &staged_rules(&new, &old));
                prop_assert!(found.is_empty(), "{found:?}");
            }
        }
    }
}
