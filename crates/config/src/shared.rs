//! The part of an operator's file that balancers share, and the part that is each one's own.
//!
//! Shared are classes, tenants, upstreams, headers, lists of clients, zones in regions with their rules, service addresses and limits; each one's own is where it listens, its zone, its name to
//! others, and what its machine allows. The shared part is kept as canonical text: the same settings are the same text.

use crate::reader::{Fault, Faults};
use toml::{Table, Value};

/// Sections that are shared whole.
const SHARED: [&str; 9] =
    ["class", "tenant", "upstream", "headers", "clients", "region", "locality", "address", "places"];
/// Keys of `[balancer]` that are shared.
const LIMITS: [&str; 5] =
    ["max_attempts", "hedging", "connect_timeout_ms", "upstream_idle_ms", "retry_after_ms"];
/// Keys of `[headers]` that are each one's own.
const OWN_HEADERS: [&str; 1] = ["via"];

fn table(text: &str) -> Result<Table, Faults> {
    text.parse().map_err(|e: toml::de::Error| {
        let line = e.span().map_or(1, |span| text[..span.start.min(text.len())].matches('\n').count() + 1);
        Faults(vec![Fault { line, place: String::new(), what: e.message().to_owned() }])
    })
}

/// Takes the shared part out of a table.
fn split(whole: &mut Table) -> Table {
    let mut shared = Table::new();
    for name in SHARED {
        shared.extend(whole.remove(name).map(|value| (name.to_owned(), value)));
    }
    if let Some(Value::Table(headers)) = shared.get_mut("headers") {
        let own: Table =
            OWN_HEADERS.iter().filter_map(|key| Some(((*key).to_owned(), headers.remove(*key)?))).collect();
        if headers.is_empty() {
            shared.remove("headers");
        }
        if !own.is_empty() {
            whole.insert("headers".into(), Value::Table(own));
        }
    }
    if let Some(Value::Table(balancer)) = whole.get_mut("balancer") {
        let limits: Table =
            LIMITS.iter().filter_map(|key| Some(((*key).to_owned(), balancer.remove(*key)?))).collect();
        if !limits.is_empty() {
            shared.insert("balancer".into(), Value::Table(limits));
        }
    }
    shared
}

/// The shared part of a file, which has to be good as a whole. Also named are the sections that are left out.
pub fn shared(text: &str) -> Result<(String, Vec<String>), Faults> {
    crate::parse(text)?;
    let mut whole = table(text)?;
    let shared = split(&mut whole);
    let left: Vec<String> = whole
        .into_iter()
        .filter(|(_, value)| value.as_table().is_none_or(|t| !t.is_empty()))
        .map(|(name, _)| name)
        .collect();
    Ok((shared.to_string(), left))
}

/// A file whose shared part is this one instead of its own.
pub fn with_shared(text: &str, shared: &str) -> Result<String, Faults> {
    let mut whole = table(text)?;
    split(&mut whole);
    for (name, value) in table(shared)? {
        match (whole.get_mut(&name), value) {
            (Some(Value::Table(own)), Value::Table(shared)) => own.extend(shared),
            (_, value) => drop(whole.insert(name, value)),
        }
    }
    Ok(whole.to_string())
}

/// The file that `locality.rules_file` names, where a text is TOML and does.
pub fn rules_file(text: &str) -> Option<String> {
    let whole: Table = text.parse().ok()?;
    whole.get("locality")?.get("rules_file")?.as_str().map(str::to_owned)
}

/// A text whose `locality.rules_file` has given way to the text of that file, on the same line: faults elsewhere keep theirs.
pub fn with_rules(text: &str, rules: &str) -> String {
    let named = |line: &&str| {
        line.trim_start().strip_prefix("rules_file").is_some_and(|rest| rest.trim_start().starts_with('='))
    };
    let Some(line) = text.lines().find(named) else { return text.to_owned() };
    let escaped = rules.chars().fold(String::new(), |text, c| match c {
        '"' | '\\' => text + &format!("\\{c}"),
        c if c.is_control() => text + &format!("\\u{:04x}", u32::from(c)),
        c => text + &c.to_string(),
    });
    text.replacen(line, &format!("rules = \"{escaped}\""), 1)
}

#[cfg(test)]
mod tests {
    use super::*;

    const FILE: &str = "[listen]\naddress = '127.0.0.1:0'\n[balancer]\nzone = 'a'\nmax_attempts = 2\n[headers]\nvia = 'b1'\n\
        tenant = 'X-Who'\n[[class]]\nname = 'all'\npath = '/**'\n[[upstream]]\nname = 'u'\naddress = '127.0.0.1:9'\n";

    #[test]
    fn what_is_shared_is_the_same_text_whatever_is_each_ones_own() {
        let (one, left) = shared(FILE).unwrap();
        let other = FILE
            .replace("'b1'", "'b2'")
            .replace("zone = 'a'", "zone = 'b'")
            .replace("127.0.0.1:0", "127.0.0.1:8");
        assert_eq!(shared(&other).unwrap().0, one);
        assert_eq!(left, ["balancer", "headers", "listen"]);
        assert_ne!(shared(&FILE.replace("max_attempts = 2", "max_attempts = 3")).unwrap().0, one);
        // Once more it is itself.
        let whole = with_shared(FILE, &one).unwrap();
        assert_eq!(shared(&whole).unwrap().0, one);
        assert_eq!(crate::parse(&whole).unwrap(), crate::parse(FILE).unwrap());
    }

    #[test]
    fn a_file_takes_anothers_shared_part_and_keeps_its_own() {
        let (theirs, _) =
            shared(&FILE.replace("path = '/**'", "path = '/x'").replace("'b1'", "'b9'")).unwrap();
        let whole = crate::parse(&with_shared(FILE, &theirs).unwrap()).unwrap().proxy.unwrap();
        assert_eq!(whole.forwarding.via.as_deref(), Some("b1"));
        assert_eq!(whole.settings.max_attempts, 2);
        assert_ne!(whole.routes, crate::parse(FILE).unwrap().proxy.unwrap().routes);
    }

    #[test]
    fn rules_of_a_file_of_their_own_are_read_into_the_settings() {
        let named = format!("{FILE}[locality]\nrules_file = 'near.rules'\n");
        assert_eq!(rules_file(&named).as_deref(), Some("near.rules"));
        assert!(rules_file(FILE).is_none());
        let rules = "rule x { prefer own zone; }";
        let read = crate::parse(&with_rules(&named, rules)).unwrap().proxy.unwrap();
        assert_eq!(read.places.unwrap().rules.all()[0].name, "x");
        let odd = "rule x { # \\ \"\u{1}\n  prefer own zone;\n}";
        let text = with_rules(&named, odd);
        assert_eq!(text.lines().count(), named.lines().count(), "faults keep their lines");
        assert_eq!(table(&text).unwrap()["locality"]["rules"].as_str(), Some(odd));
        // What was not read in can't be acted on, nor can both.
        assert!(crate::parse(&named).unwrap_err().to_string().contains("locality.rules_file"));
        let both = named.replace("rules_file", "rules = ''\nrules_file");
        assert!(crate::parse(&with_rules(&both, rules)).is_err());
    }

    #[test]
    fn a_bad_file_is_refused_with_its_line() {
        let faults = shared(&FILE.replace("path = '/**'", "path = 7")).unwrap_err().to_string();
        assert!(faults.starts_with("line 11: class[1].path"), "{faults}");
    }
}
