//! The strictest reading, over drawn versions: as strict as both, the same whichever comes first, and nothing new refused.

use maplehook_config::{Proxy, parse};
use maplehook_core::Effect;
use maplehook_versions::compatibility::{conflicts, conservative, strictest};
use proptest::prelude::*;
use std::collections::BTreeMap;

fn effect() -> impl Strategy<Value = String> {
    prop_oneof![
        Just("effect = 'idempotent'".to_owned()),
        Just("effect = 'at_most_once'".to_owned()),
        (1u32..4, prop::sample::select(vec!["all", "zone"])).prop_map(|(ttl, group)| format!(
            "effect = 'keyed'\nkey_ttl_ms = {}\ndedup = '{group}'",
            ttl * 1000
        )),
    ]
}

fn version() -> impl Strategy<Value = Proxy> {
    let class = (effect(), 1u32..5, prop::option::of(1u32..3), any::<bool>());
    let classes = prop::collection::btree_map("[abc]", class, 1..4);
    let tenants = prop::collection::btree_map("[tu]", 1u32..9, 0..3);
    let upstreams = prop::collection::btree_map("[xyz]", (1u16..4, any::<bool>()), 1..4);
    let refused = prop::collection::btree_set(0u8..4, 0..3);
    (classes, tenants, upstreams, refused, 1u8..4, any::<bool>(), any::<bool>()).prop_map(
        |(classes, tenants, upstreams, refused, attempts, hedging, key)| {
            let mut text = format!(
                "[listen]\naddress = '127.0.0.1:0'\n[balancer]\nmax_attempts = {attempts}\nhedging = {hedging}\n[headers]\n\
                 idempotency = '{}'\n",
                if key { "Idempotency-Key" } else { "X-Key" }
            );
            let refused: Vec<String> = refused.iter().map(|n| format!("'10.0.{n}.0/24'")).collect();
            text += &format!("[clients]\nrefused = [{}]\n", refused.join(", "));
            for (name, (effect, deadline, turned, post)) in classes {
                let turned = turned.map_or(String::new(), |n| format!("turned_away = [50{n}]\nmarker = 'X-Not-Run: 1'\n"));
                let methods = if post { "methods = ['POST']\n" } else { "" };
                text += &format!(
                    "[[class]]\nname = '{name}'\npath = '/{name}/**'\n{methods}{effect}\ndeadline_ms = {}\n{turned}",
                    deadline * 1000
                );
            }
            for (name, allowance) in tenants {
                text += &format!("[[tenant]]\nname = '{name}'\nallowance_per_s = {allowance}.0\n");
            }
            for (name, (port, drained)) in upstreams {
                text += &format!("[[upstream]]\nname = '{name}'\naddress = '127.0.0.1:{port}'\ndrained = {drained}\n");
            }
            parse(&text).unwrap().proxy.unwrap()
        },
    )
}

fn effects(proxy: &Proxy) -> BTreeMap<&str, Effect> {
    proxy.classes.iter().map(String::as_str).zip(proxy.settings.classes.iter().map(|c| c.effect)).collect()
}

/// What an upstream gets: `None` if it is not listed.
fn used(proxy: &Proxy) -> BTreeMap<&str, std::net::SocketAddr> {
    let used = proxy.upstreams.iter().filter(|upstream| !upstream.drained);
    used.map(|upstream| (upstream.name.as_str(), upstream.address)).collect()
}

fn guarantees(proxy: &Proxy) -> BTreeMap<&str, f64> {
    let tenants = proxy.settings.tenants.iter().map(|tenant| tenant.allowance_per_s);
    proxy.tenants.iter().map(String::as_str).zip(tenants).collect()
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    #[test]
    fn it_allows_what_both_allow(a in version(), b in version()) {
        let strict = strictest(&a, &b);
        let shown = effects(&strict);
        for side in [&a, &b] {
            for (name, effect) in effects(side) {
                if let Some(strict) = shown.get(name) {
                    prop_assert_eq!(strict.stricter(effect), *strict, "class {}", name);
                }
            }
            for client in (0u8..4).map(|n| std::net::IpAddr::from([10, 0, n, 9])) {
                prop_assert!(!side.clients.refused.contains(client) || strict.clients.refused.contains(client));
                let neither = !a.clients.refused.contains(client) && !b.clients.refused.contains(client);
                prop_assert!(!neither || !strict.clients.refused.contains(client));
            }
            prop_assert!(strict.settings.max_attempts <= side.settings.max_attempts);
            prop_assert!(!strict.settings.can_hedge || side.settings.can_hedge);
            for (name, address) in used(&strict) {
                prop_assert_eq!(used(side).get(name).copied(), Some(address), "upstream {}", name);
            }
            for (name, granted) in guarantees(&strict) {
                prop_assert!(guarantees(side).get(name).is_none_or(|side| granted <= *side));
            }
        }
        // What neither refuses it does not: the classes, paths and tenants of the new one are all there.
        prop_assert_eq!(&strict.classes, &b.classes);
        prop_assert_eq!(&strict.tenants, &b.tenants);
        prop_assert_eq!(strict.routes.len(), b.routes.len());
        for (strict, new) in strict.routes.iter().zip(&b.routes) {
            prop_assert_eq!(&strict.pattern, &new.pattern);
            prop_assert_eq!(&strict.methods, &new.methods);
        }
    }

    #[test]
    fn it_commutes_and_is_idempotent(a in version(), b in version()) {
        let (one, other) = (strictest(&a, &b), strictest(&b, &a));
        for (name, effect) in effects(&one) {
            if let Some(same) = effects(&other).get(name) {
                prop_assert_eq!(&effect, same);
            }
        }
        prop_assert_eq!(one.settings.max_attempts, other.settings.max_attempts);
        prop_assert_eq!(one.settings.can_hedge, other.settings.can_hedge);
        prop_assert_eq!(&one.clients.refused, &other.clients.refused);
        prop_assert_eq!(used(&one), used(&other));
        for (name, granted) in guarantees(&one) {
            prop_assert!(guarantees(&other).get(name).is_none_or(|other| granted == *other));
        }
        prop_assert_eq!(&strictest(&a, &a), &a);
        prop_assert!(conflicts(&a, &a).is_empty());
        prop_assert_eq!(conflicts(&a, &b).is_empty(), conflicts(&b, &a).is_empty());
        // Once more with either changes nothing that matters.
        let again = strictest(&one, &b);
        prop_assert_eq!(effects(&again), effects(&one));
        prop_assert_eq!(used(&again), used(&one));
    }

    /// Whoever is cut off keeps within any version's promises on repeats.
    #[test]
    fn careful_is_within_every_version(a in version(), b in version()) {
        let careful = conservative(&a);
        for (name, effect) in effects(&careful) {
            prop_assert_eq!(effect, Effect::AtMostOnce);
            prop_assert!(effects(&b).get(name).is_none_or(|other| effect.stricter(*other) == effect));
        }
        prop_assert!(careful.settings.max_attempts == 1 && !careful.settings.can_hedge);
        prop_assert_eq!(used(&careful), used(&a));
    }
}

#[test]
fn contradictions_are_named() {
    let file = |effect: &str, drained: bool| {
        let text = format!(
            "[listen]\naddress = '127.0.0.1:0'\n[[class]]\nname = 'book'\npath = '/**'\neffect = '{effect}'\n[[upstream]]\n\
             name = 'u'\naddress = '127.0.0.1:9'\ndrained = {drained}\n"
        );
        parse(&text).unwrap().proxy.unwrap()
    };
    let found = conflicts(&file("idempotent", false), &file("at_most_once", true));
    assert_eq!(found.len(), 2, "{found:?}");
    assert!(found[0].contains("class book") && found[1].contains("upstream u"), "{found:?}");
}
