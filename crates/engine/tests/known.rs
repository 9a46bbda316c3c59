//! Lists of upstreams that are none: nothing of what discovery may say panics, and what can't be read says nothing.

use maplehook::parts::descriptors::Descriptors;
use maplehook::parts::discovery::Discovery;
use maplehook_platform_settings::IdNames;
use proptest::prelude::*;

const GOOD: &str = r#"{"rev":41,"all":true,"targets":[
    {"uid":"s-0","endpoint":"127.0.0.1:9001","az":"a","model":"m","pod_group":0,"state":"Ready","capacity_hint":1.0,"boot_ms":0},
    {"uid":"s-1","endpoint":"127.0.0.1:9002","az":"b","model":"x","pod_group":7,"state":"Terminating","capacity_hint":0.5,"boot_ms":12.5},
    {"uid":"s-2","state":"Gone"}]}"#;

/// How many entries a list says, and how far it goes.
fn known(text: &str) -> (usize, u64) {
    let names =
        IdNames { zones: vec!["a".into(), "b".into()], kinds: vec!["m".into()], ..IdNames::default() };
    let descriptors = Descriptors::for_upstreams(64).expect("enough descriptors");
    let discovery = Discovery::new("127.0.0.1:9".parse().unwrap(), names, descriptors);
    let entries = discovery.parse_cached_list(text).entries.len();
    (entries, discovery.rev())
}

#[test]
fn what_can_be_read_of_a_list_is() {
    assert_eq!(known(GOOD), (3, 41));
    assert_eq!(known(""), (0, 0));
    // One entry that is none costs no other.
    for (from, to) in [
        (r#""state":"Gone""#, r#""state":"Perhaps""#),
        (r#""state":"Gone""#, r#""state":7"#),
        (r#""uid":"s-2""#, r#""uid":null"#),
        (r#""pod_group":7"#, r#""pod_group":-7"#),
        (r#""pod_group":7"#, r#""pod_group":65536"#),
        (r#""boot_ms":12.5"#, r#""boot_ms":"soon""#),
        (r#""endpoint":"127.0.0.1:9001""#, r#""endpoint":"nowhere""#),
        (r#""endpoint":"127.0.0.1:9001","#, ""),
    ] {
        assert!(GOOD.contains(from), "{from}");
        assert_eq!(known(&GOOD.replacen(from, to, 1)), (2, 41), "{to}");
    }
    for number in ["1e308", "-1e308", "18446744073709551616"] {
        let (hint, boot) = (format!("\"capacity_hint\":{number}"), format!("\"boot_ms\":{number}"));
        let text = GOOD.replacen(r#""capacity_hint":0.5"#, &hint, 1).replacen(r#""boot_ms":12.5"#, &boot, 1);
        assert_eq!(known(&text), (3, 41), "{number}");
    }
}

#[test]
fn what_is_no_list_says_nothing() {
    let deep = "[".repeat(100_000);
    for text in
        ["{}", "[]", "null", "7", "{\"rev\":-1,\"targets\":[]}", "{\"rev\":1,\"targets\":7}", "\u{0}", &deep]
    {
        assert_eq!(known(text), (0, 0), "{text:.40}");
    }
    for cut in 0..GOOD.len() {
        assert_eq!(known(&GOOD[..cut]), (0, 0), "{cut}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against bytes that were changed on the way: whatever they are, nothing panics.
    #[test]
    fn changed_bytes_never_panic(
        changes in prop::collection::vec((0..GOOD.len(), any::<u8>()), 1..8),
        cut in prop::option::of(0..GOOD.len()),
    ) {
        let mut bytes = GOOD.as_bytes().to_vec();
        changes.into_iter().for_each(|(at, byte)| bytes[at] = byte);
        bytes.truncate(cut.unwrap_or(GOOD.len()));
        let (entries, _) = known(&String::from_utf8_lossy(&bytes));
        prop_assert!(entries <= 3);
    }
}
