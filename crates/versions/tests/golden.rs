//! Forms that leave the process, as an earlier program wrote them: they are read and written as they were.

use maplehook_config::{Proxy, parse};
use maplehook_golden::golden_types;
use maplehook_versions::compatibility::conflicts;
use maplehook_versions::{Command, CommandError, Phase, SharedDocument, Version, VersionState};

golden_types! {
    version: Json Version;
    version_by_position: Postcard Version;
    command: Postcard Command;
    refused: Postcard CommandError;
    step: Postcard Phase;
    steps: Postcard VersionState;
}

#[test]
fn digests_are_as_they_were() {
    assert_eq!(
        maplehook_versions::digest("one"),
        "7692c3ad3540bb803c020b3aee66cd8887123234ea0c6e7143c0add73ff431ed"
    );
    assert_eq!(SharedDocument::default().number, 0);
}

fn with_class(effect: &str) -> Proxy {
    let text = format!(
        "[listen]\naddress = '127.0.0.1:0'\n[[class]]\nname = 'book'\npath = '/**'\n{effect}\n[[upstream]]\n\
         name = 'u'\naddress = '127.0.0.1:9'\n"
    );
    parse(&text).unwrap().proxy.unwrap()
}

/// Operators read the conflict of two versions; it holds the effects' debug text.
#[test]
fn conflicting_effects_are_named_as_they_were() {
    let idempotent = with_class("effect = 'idempotent'");
    let at_most_once = with_class("effect = 'at_most_once'");
    let keyed = with_class("effect = 'keyed'\nkey_ttl_ms = 2500\ndedup = 'zone'");
    assert_eq!(conflicts(&idempotent, &at_most_once), ["class book: effect Idempotent and AtMostOnce"]);
    assert_eq!(
        conflicts(&keyed, &at_most_once),
        ["class book: effect Deduplicated { group: Zone, ttl: 2.5s } and AtMostOnce"]
    );
}
