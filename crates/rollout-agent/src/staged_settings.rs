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
pub fn staged(own: &Proxy, other: &Proxy) -> Proxy {
    let mut staged = strictest(other, own);
    // The strictest reading takes the smaller values of these settings. They affect quality only and never
    // conflict.
    for (class, own) in staged.settings.classes.iter_mut().zip(&own.settings.classes) {
        (class.deadline, class.latency_objective) = (own.deadline, own.latency_objective);
    }
    for route in &mut staged.routes {
        if let Some(class) = staged.settings.classes.get(usize::from(route.class.0)) {
            route.deadline = class.deadline;
        }
    }
    staged.settings.tenants.clone_from(&own.settings.tenants);
    // The set of retryable answers must match the effect that both sides use.
    for (k, name) in own.classes.iter().enumerate() {
        let Some(n) = other.classes.iter().position(|of| of == name) else { continue };
        let strict = staged.settings.classes[k].effect;
        if own.settings.classes[k].effect != strict && other.settings.classes[n].effect == strict {
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
pub fn parts(old: &Proxy, new: &Proxy) -> Result<StageableParts, String> {
    const ORDINARY: &str = "propose it the ordinary way: maplehook settings propose FILE";
    let kept_back = conflicts(old, new);
    let (before, after) = (staged(old, new), staged(new, old));
    let left = conflicts(&before, &after);
    if !left.is_empty() {
        return Err(format!("even read strictly this contradicts: {}; {ORDINARY}", left.join("; ")));
    }
    let staged = differences(&before, &after);
    if staged.is_empty() {
        let why = match &kept_back[..] {
            [] => "nothing changes".into(),
            parts => format!("none of it may differ between balancers ({})", parts.join("; ")),
        };
        return Err(format!("{why}; {ORDINARY}"));
    }
    Ok(StageableParts { staged, kept_back })
}

fn named<'a, T>(names: &'a [String], of: &'a [T]) -> BTreeMap<&'a str, &'a T> {
    names.iter().map(String::as_str).zip(of).collect()
}

/// Returns readable differences between two sets of rules.
fn differences(old: &Proxy, new: &Proxy) -> Vec<String> {
    let mut found = Vec::new();
    let ms = |time: std::time::Duration| time.as_millis();
    let (ours, theirs) =
        (named(&old.classes, &old.settings.classes), named(&new.classes, &new.settings.classes));
    for (name, class) in &theirs {
        match ours.get(name) {
            None => found.push(format!("class {name}: new")),
            Some(before) => {
                if before.deadline != class.deadline {
                    found.push(format!(
                        "class {name}: deadline {} to {} ms",
                        ms(before.deadline),
                        ms(class.deadline)
                    ));
                }
                if before.latency_objective != class.latency_objective {
                    found.push(format!(
                        "class {name}: aim {} to {} ms",
                        ms(before.latency_objective),
                        ms(class.latency_objective)
                    ));
                }
            }
        }
    }
    found.extend(
        ours.keys().filter(|name| !theirs.contains_key(*name)).map(|name| format!("class {name}: gone")),
    );
    let (ours, theirs) =
        (named(&old.tenants, &old.settings.tenants), named(&new.tenants, &new.settings.tenants));
    for (name, tenant) in &theirs {
        match ours.get(name) {
            None => found.push(format!("tenant {name}: new")),
            Some(before) if before.allowance_per_s != tenant.allowance_per_s => found.push(format!(
                "tenant {name}: guarantee {} to {} a second",
                before.allowance_per_s, tenant.allowance_per_s
            )),
            Some(_) => {}
        }
    }
    found.extend(
        ours.keys().filter(|name| !theirs.contains_key(*name)).map(|name| format!("tenant {name}: gone")),
    );
    for upstream in &new.upstreams {
        let before = old.upstreams.iter().find(|before| before.name == upstream.name);
        if before.is_some_and(|before| before.weight != upstream.weight) {
            found.push(format!("upstream {}: weight", upstream.name));
        }
    }
    if found.is_empty() && !alike(old, new) {
        found.push("limits, headers or other settings".into());
    }
    found
}

/// Returns true if two sets of rules are equal apart from the order of upstreams.
fn alike(old: &Proxy, new: &Proxy) -> bool {
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

    const TWO: &[(&str, bool)] = &[("u", false), ("v", false)];

    #[test]
    fn times_and_guarantees_are_staged_and_effects_are_kept_back() {
        let (old, new) = (proxy("idempotent", 2000, 50, TWO), proxy("at_most_once", 300, 5, TWO));
        let parts = parts(&old, &new).unwrap();
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
        let (before, after) = (staged(&old, &new), staged(&new, &old));
        assert_eq!(before.settings.classes[0].deadline, old.settings.classes[0].deadline);
        assert_eq!(after.settings.classes[0].deadline, new.settings.classes[0].deadline);
        assert_eq!(before.settings.classes[0].effect, after.settings.classes[0].effect);
        assert_eq!(after.settings.classes[0].effect, new.settings.classes[0].effect);
        assert_eq!(before.routes[0].deadline, old.settings.classes[0].deadline);
    }

    #[test]
    fn what_contradicts_altogether_goes_the_ordinary_way() {
        let (old, new) = (proxy("idempotent", 2000, 50, TWO), proxy("at_most_once", 2000, 50, TWO));
        let why = parts(&old, &new).unwrap_err();
        assert!(why.contains("none of it may differ") && why.contains("settings propose"), "{why}");
        assert!(parts(&old, &old).unwrap_err().contains("nothing changes"));
        // A changed endpoint list alone cannot be staged.
        let longer = proxy("idempotent", 2000, 50, &[("u", false), ("v", false), ("w", false)]);
        assert!(parts(&old, &longer).is_err());
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
        fn the_sides_never_contradict(old in any_proxy(), new in any_proxy()) {
            if parts(&old, &new).is_ok() {
                let found = conflicts(&staged(&old, &new), &staged(&new, &old));
                prop_assert!(found.is_empty(), "{found:?}");
            }
        }
    }
}
