//! Settings that change while a process runs: what of a new text is turned down, and which number each name keeps.
//!
//! A class or tenant has its number for good, so that a request under way means the same before and after. One that has
//! vanished keeps its number for a while and then gives it to another.

use crate::check::{self, missing, wrong};
use crate::{Names, Site, Wrong};
use maplehook_core::{Class, ClassId, Settings, Tenant, TenantId};
use serde_json::Value;
use std::time::Duration;

/// The most classes, and tenants, that may stand at once, the vanished ones among them.
pub const MOST: usize = 1024;
/// How long the number of a vanished one is left alone: nobody has a request of it by then.
pub const LEFT_ALONE: Duration = Duration::from_secs(7200);
/// Names by number: those that are there, and since when the others are not.
#[derive(Clone, Debug, Default, PartialEq)]
struct Numbers {
    names: Vec<String>,
    gone: Vec<Option<Duration>>,
}

impl Numbers {
    fn of(names: &[String]) -> Self {
        Self { names: names.to_vec(), gone: vec![None; names.len()] }
    }

    fn live(&self) -> impl Iterator<Item = usize> {
        (0..self.names.len()).filter(|n| self.gone[*n].is_none())
    }

    /// These are there from now on. Returns the number of each.
    fn take(&mut self, now: Duration, names: &[String]) -> Option<Vec<usize>> {
        let before = std::mem::take(&mut self.gone);
        // Whoever is not named again has gone now, or has been gone since then.
        self.gone = before.into_iter().map(|gone| Some(gone.unwrap_or(now))).collect();
        let mut numbers = Vec::with_capacity(names.len());
        for name in names {
            let kept = self.names.iter().position(|known| known == name);
            numbers.push(kept);
            if let Some(n) = kept {
                self.gone[n] = None;
            }
        }
        let spare = |gone: &Option<Duration>| gone.is_some_and(|at| now >= at + LEFT_ALONE);
        numbers
            .into_iter()
            .zip(names)
            .map(|(kept, name)| {
                let n = kept.or_else(|| self.gone.iter().position(spare)).or_else(|| {
                    (self.names.len() < MOST).then(|| {
                        self.names.push(String::new());
                        self.gone.push(None);
                        self.names.len() - 1
                    })
                })?;
                (self.names[n], self.gone[n]) = (name.clone(), None);
                Some(n)
            })
            .collect()
    }
}

/// The settings in force.
#[derive(Clone, Debug, PartialEq)]
pub struct Tuned {
    /// By number; a vanished class or tenant stands as it last stood.
    site: Site,
    classes: Numbers,
    tenants: Numbers,
    /// The text, for the keys that a new one has to have.
    like: Value,
}

impl Tuned {
    /// The settings of a start, by a text at `path` in the file.
    pub fn new(text: &str, path: &str) -> Result<Self, Wrong> {
        let like = check::value(text, path)?;
        let site = check::site(text, &like, path)?;
        let (classes, tenants) = (Numbers::of(&site.names.classes), Numbers::of(&site.names.tenants));
        Ok(Self { site, classes, tenants, like })
    }

    /// These settings, by number.
    pub fn site(&self) -> &Site {
        &self.site
    }

    /// The classes that there are.
    pub fn classes(&self) -> impl Iterator<Item = (ClassId, &str, &Class)> {
        let named = |n: usize| (ClassId(n as u16), &*self.classes.names[n], &self.site.settings.classes[n]);
        self.classes.live().map(named)
    }

    /// The tenants that there are.
    pub fn tenants(&self) -> impl Iterator<Item = (TenantId, &str)> {
        self.tenants.live().map(|n| (TenantId(n as u32), &*self.tenants.names[n]))
    }

    /// The tenants that are not there any more.
    pub fn gone_tenants(&self) -> Vec<TenantId> {
        let gone = self.tenants.gone.iter().enumerate().filter(|(_, gone)| gone.is_some());
        gone.map(|(n, _)| TenantId(n as u32)).collect()
    }

    /// These settings after a retuning, by a text at `path` in the file; whole, or not at all.
    pub fn retuned(&self, now: Duration, text: &str, path: &str) -> Result<Self, Wrong> {
        let value = check::value(text, path)?;
        missing(&self.like, &value, path)?;
        let new = check::site(text, &value, path)?;
        let (mut classes, mut tenants) = (self.classes.clone(), self.tenants.clone());
        let class_numbers = classes.take(now, &new.names.classes);
        let class_numbers = class_numbers.ok_or_else(|| wrong(format!("{path}.classes"), "too many"))?;
        let tenant_numbers = tenants.take(now, &new.names.tenants);
        let tenant_numbers = tenant_numbers.ok_or_else(|| wrong(format!("{path}.parties"), "too many"))?;
        let old = &self.site.settings;
        let mut settings =
            Settings { classes: old.classes.clone(), tenants: old.tenants.clone(), ..new.settings };
        settings.classes.resize_with(classes.names.len(), Class::default);
        settings.tenants.resize(tenants.names.len(), Tenant { allowance_per_s: 0.0 });
        // Whoever has gone has no part in what is granted.
        settings.tenants.fill(Tenant { allowance_per_s: 0.0 });
        for (n, class) in class_numbers.into_iter().zip(new.settings.classes) {
            settings.classes[n] = class;
        }
        for (n, tenant) in tenant_numbers.into_iter().zip(new.settings.tenants) {
            settings.tenants[n] = tenant;
        }
        let names = Names { classes: classes.names.clone(), tenants: tenants.names.clone(), ..new.names };
        Ok(Self { site: Site { settings, names }, classes, tenants, like: value })
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use maplehook_core::Effect;

    const CLASS: &str = r#"{"name": "NAME", "aim_ms": 200, "hard_limit_ms": 400, "effect": "idempotent"}"#;

    fn text(classes: &[&str], tenants: &[&str]) -> String {
        let classes: Vec<String> = classes.iter().map(|name| CLASS.replace("NAME", name)).collect();
        let tenants: Vec<String> =
            tenants.iter().map(|name| format!(r#"{{"name": "{name}", "allowance_per_s": 5.0}}"#)).collect();
        format!(
            r#"{{"balancers": 2, "me": 1, "classes": [{}], "parties": [{}], "limits": {{"try_limit": 5, "may_probe": true}},
            "guarantees": {{"cold_ms": 21000}}, "discovery": "subscribe"}}"#,
            classes.join(","),
            tenants.join(",")
        )
    }

    fn start() -> Tuned {
        Tuned::new(&text(&["look", "book"], &["acme", "lodge"]), "settings").unwrap()
    }

    fn names(tuned: &Tuned) -> Vec<(u16, &str)> {
        tuned.classes().map(|(id, name, _)| (id.0, name)).collect()
    }

    /// Guards requests under way: a name keeps its number, and another's number is not given away while anybody may
    /// still use it.
    #[test]
    fn names_keep_their_numbers() {
        let first = start();
        let later = |n| Duration::from_secs(n);
        let second =
            first.retuned(later(1), &text(&["new", "book"], &["lodge", "walks"]), "settings").unwrap();
        assert_eq!(names(&second), [(1, "book"), (2, "new")]);
        assert_eq!(second.tenants().collect::<Vec<_>>(), [(TenantId(1), "lodge"), (TenantId(2), "walks")]);
        assert_eq!(second.gone_tenants(), [TenantId(0)]);
        // Whoever still has a request of it finds it as it was.
        assert_eq!(second.site().settings.classes[0], first.site().settings.classes[0]);
        assert_eq!(second.site().names.classes, ["look", "book", "new"]);
        let third = second.retuned(later(2), &text(&["look"], &["acme"]), "settings").unwrap();
        assert_eq!(names(&third), [(0, "look")]);
        let fourth = third.retuned(later(3), &text(&["other"], &[]), "settings").unwrap();
        assert_eq!(names(&fourth), [(3, "other")]);
        let last = fourth.retuned(later(2) + LEFT_ALONE, &text(&["last", "other"], &[]), "settings").unwrap();
        assert_eq!(names(&last), [(1, "last"), (3, "other")]);
    }

    /// Guards the memory against names without end.
    #[test]
    fn numbers_are_bounded() {
        let mut tuned = start();
        for n in 0..MOST - 2 {
            tuned = tuned.retuned(Duration::ZERO, &text(&[&format!("c{n}")], &["acme"]), "settings").unwrap();
        }
        let more = text(&["more"], &["acme"]);
        let full = tuned.retuned(Duration::ZERO, &more, "settings").unwrap_err();
        assert_eq!(full.to_string(), "settings.classes: too many");
        assert_eq!(names(&tuned.retuned(LEFT_ALONE, &more, "settings").unwrap()), [(0, "more")]);
    }

    /// Guards the balancer against half a file: each slip is named with its path, and nothing of it is taken.
    #[test]
    fn what_is_wrong_is_turned_down_and_named() {
        let good = text(&["look", "book"], &["acme", "lodge"]);
        start().retuned(Duration::ZERO, &good, "settings").unwrap();
        for (from, to, says) in [
            (r#""hard_limit_ms": 400"#, r#""hard_limit_ms": 0"#, "settings.classes[0].hard_limit_ms"),
            (r#""hard_limit_ms": 400"#, r#""hard_limit_ms": -400"#, "settings.classes[0].hard_limit_ms"),
            (r#""hard_limit_ms": 400"#, r#""hard_limit_ms": "400""#, "settings.classes[0].hard_limit_ms"),
            (r#""hard_limit_ms": 400"#, r#""hard_limit_ms": null"#, "settings.classes[0].hard_limit_ms"),
            (r#""hard_limit_ms": 400"#, r#""hard_limit_ms": "NaN""#, "settings.classes[0].hard_limit_ms"),
            (r#""hard_limit_ms": 400"#, r#""hard_limit_ms": 1e300"#, "settings.classes[0].hard_limit_ms"),
            (r#""hard_limit_ms": 400"#, r#""hard_limit_ms": [400]"#, "settings.classes[0].hard_limit_ms"),
            (r#""hard_limit_ms": 400, "#, "", "settings.classes[0].hard_limit_ms"),
            (r#""try_limit": 5"#, r#""try_limit": 0"#, "settings.limits.try_limit"),
            (r#""try_limit": 5"#, r#""try_limit": -1"#, "settings.limits.try_limit"),
            (r#""try_limit": 5"#, r#""try_limit": true"#, "settings.limits.try_limit"),
            (r#""try_limit": 5"#, r#""try_limit": 1e99"#, "settings.limits.try_limit"),
            (r#""try_limit": 5"#, r#""try_limit": 2.5"#, "settings.limits.try_limit"),
            (r#""try_limit": 5, "#, "", "settings.limits.try_limit: it is missing"),
            (r#""effect": "idempotent""#, r#""effect": "maybe""#, "maybe"),
            (r#""effect": "idempotent""#, r#""effect": 3"#, "settings.classes[0].effect"),
            (r#""name": "book""#, r#""name": "look""#, "settings.classes[1].name: \"look\" twice"),
            (r#""name": "book""#, r#""name": """#, "settings.classes[1].name"),
            (r#""balancers": 2, "#, "", "settings.balancers: it is missing"),
            (r#""balancers": 2"#, r#""balancers": 0"#, "no balancers"),
            (r#""cold_ms": 21000"#, "", "settings.guarantees.cold_ms: it is missing"),
            (r#""guarantees": {"#, r#""guarantees": 3, "x": {"#, "settings.guarantees: it is no object"),
            (r#""classes": ["#, r#""classes": [], "others": ["#, "no request class"),
            (r#""allowance_per_s": 5.0"#, r#""allowance_per_s": -5.0"#, "allowance_per_s"),
            ("}", "", "settings"),
        ] {
            assert!(good.contains(from), "{from}");
            let wrong = start().retuned(Duration::ZERO, &good.replacen(from, to, 1), "settings").unwrap_err();
            assert!(wrong.to_string().contains(says), "{to}: {wrong}");
        }
        for cut in 0..good.trim_end().len() {
            assert!(start().retuned(Duration::ZERO, &good[..cut], "settings").is_err(), "{cut}");
        }
    }

    #[test]
    fn what_may_change_does() {
        let to = text(&["look", "book"], &["acme", "lodge"]).replacen("idempotent", "at_most_once", 1);
        let tuned = start()
            .retuned(Duration::ZERO, &to.replace("\"try_limit\": 5", "\"try_limit\": 2"), "s")
            .unwrap();
        let settings = &tuned.site().settings;
        assert_eq!((settings.classes[0].effect, settings.max_attempts), (Effect::AtMostOnce, 2));
        assert_eq!(settings.classes[1].effect, Effect::Idempotent);
    }
}
