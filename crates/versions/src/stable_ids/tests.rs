use super::*;
use proptest::prelude::*;

fn proxy(classes: &[&str], tenants: &[&str]) -> Proxy {
    let mut text =
        "[listen]\naddress = '127.0.0.1:0'\n[[upstream]]\nname = 'u'\naddress = '127.0.0.1:9'\n".to_owned();
    for name in classes {
        text += &format!("[[class]]\nname = '{name}'\npath = '/{name}/**'\n");
    }
    for name in tenants {
        text += &format!("[[tenant]]\nname = '{name}'\n");
    }
    maplehook_config::parse(&text).unwrap().proxy.unwrap()
}

fn some_names() -> impl Strategy<Value = Vec<&'static str>> {
    let names = vec!["a", "b", "c", "d"];
    prop::sample::subsequence(names, 1..=4).prop_shuffle()
}

proptest! {
    /// Whatever versions follow one another: a name has one id for good, and a removed tenant has no allowance.
    #[test]
    fn a_name_keeps_its_id(versions in prop::collection::vec((some_names(), some_names()), 1..8)) {
        let mut ids = StableIds::default();
        let mut known: Vec<String> = Vec::new();
        let mut tenants: std::collections::BTreeMap<String, usize> = Default::default();
        for (classes, named) in &versions {
            let resolved = ids.assign(&proxy(classes, named));
            prop_assert_eq!(&resolved.class_names[..known.len()], &known[..]);
            known.clone_from(&resolved.class_names);
            prop_assert_eq!(resolved.settings.classes.len(), known.len());
            prop_assert_eq!(resolved.passages.len(), known.len());
            for (id, name) in ids.tenants.iter().enumerate() {
                prop_assert_eq!(*tenants.entry(name.clone()).or_insert(id), id, "tenant {}", name);
                let is_removed = resolved.removed_tenants.contains(&TenantId(id as u32));
                prop_assert_eq!(is_removed, !named.contains(&name.as_str()));
            }
            for removed in &resolved.removed_tenants {
                prop_assert_eq!(resolved.settings.tenants[removed.0 as usize].allowance_per_s, 0.0);
            }
        }
    }
}
