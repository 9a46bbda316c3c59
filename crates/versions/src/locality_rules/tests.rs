use super::*;
use maplehook_locality::WhenLost;

fn proxy(classes: &[&str], rules: &str) -> Proxy {
    let mut text = "[listen]\naddress = '127.0.0.1:0'\n[balancer]\nzone = 'a'\n[[upstream]]\nname = 'u'\naddress = '127.0.0.1:9'\n"
        .to_owned();
    for class in classes {
        text += &format!("[[class]]\nname = '{class}'\npath = '/{class}/**'\n");
    }
    if !rules.is_empty() {
        text += "[[region]]\nname = 'n'\nzones = ['a', 'b']\n[[region]]\nname = 's'\nzones = ['c']\n";
        text += &format!("[locality]\nrules = '''{rules}'''\n");
    }
    maplehook_config::parse(&text).unwrap().proxy.unwrap()
}

#[test]
fn what_either_forbids_is_forbidden_however_classes_are_numbered() {
    let old = proxy(
        &["look", "book"],
        "rule x { for class \"book\"; prefer own zone > anywhere; never zone \"c\"; when lost refuse; }",
    );
    let new = proxy(
        &["book", "look"],
        "rule y { prefer own zone > anywhere; beyond region at most 30%; when lost anywhere; }",
    );
    assert!(!conflicts(&old, &new).is_empty());
    let strict = strictest(&old, &new).unwrap();
    let (book, look) = (strict.rules.rule_index(0, 0), strict.rules.rule_index(1, 0));
    let (book, look) = (&strict.rules.all()[book], &strict.rules.all()[look]);
    assert_eq!(book.never, [strict.topology.zone("c").unwrap()]);
    assert_eq!((book.when_lost, book.beyond_region_most), (WhenLost::Refuse, 0.3));
    assert!(look.never.is_empty(), "the old rule was not for it");
}

#[test]
fn removed_rules_hold_until_the_transition_is_complete() {
    let old = proxy(&["book"], "rule x { prefer own zone > anywhere; never zone \"c\"; }");
    let new = proxy(&["look", "book"], "");
    assert!(new.places.is_none());
    assert!(!conflicts(&old, &new).is_empty());
    let strict = strictest(&old, &new).unwrap();
    let rule = |class: usize| &strict.rules.all()[strict.rules.rule_index(class, 0)];
    assert_eq!((rule(0).never.len(), rule(1).never.len()), (0, 1));
    assert!(conflicts(&new, &new).is_empty() && strictest(&new, &new).is_none());
    assert!(conflicts(&old, &old).is_empty());
}
