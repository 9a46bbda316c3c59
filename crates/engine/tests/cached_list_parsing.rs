//! Parsing of cached discovery lists: no input may panic, and invalid entries or lists are ignored.

use maplehook::parts::descriptors::Descriptors;
use maplehook::parts::discovery::Discovery;
use maplehook_platform_settings::IdNames;
use proptest::prelude::*;

const VALID_LIST: &str = r#"{"rev":41,"all":true,"targets":[
    {"uid":"s-0","endpoint":"127.0.0.1:9001","az":"a","model":"m","pod_group":0,"state":"Ready","capacity_hint":1.0,"boot_ms":0},
    {"uid":"s-1","endpoint":"127.0.0.1:9002","az":"b","model":"x","pod_group":7,"state":"Terminating","capacity_hint":0.5,"boot_ms":12.5},
    {"uid":"s-2","state":"Gone"}]}"#;

/// Parses a list and returns the number of its entries and its revision.
fn parse_list(text: &str) -> (usize, u64) {
    let names =
        IdNames { zones: vec!["a".into(), "b".into()], kinds: vec!["m".into()], ..IdNames::default() };
    let descriptors = Descriptors::for_upstreams(64).expect("the process limit allows 64 connections");
    let discovery = Discovery::new("127.0.0.1:9".parse().unwrap(), names, descriptors);
    let entries = discovery.parse_cached_list(text).entries.len();
    (entries, discovery.rev())
}

#[test]
fn valid_entries_are_parsed_next_to_invalid_ones() {
    assert_eq!(parse_list(VALID_LIST), (3, 41));
    assert_eq!(parse_list(""), (0, 0));
    // An invalid entry does not affect the others.
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
        assert!(VALID_LIST.contains(from), "{from} is not in the list");
        assert_eq!(parse_list(&VALID_LIST.replacen(from, to, 1)), (2, 41), "invalid entry: {to}");
    }
    for number in ["1e308", "-1e308", "18446744073709551616"] {
        let (hint, boot) = (format!("\"capacity_hint\":{number}"), format!("\"boot_ms\":{number}"));
        let text =
            VALID_LIST.replacen(r#""capacity_hint":0.5"#, &hint, 1).replacen(r#""boot_ms":12.5"#, &boot, 1);
        assert_eq!(parse_list(&text), (3, 41), "extreme number: {number}");
    }
}

#[test]
fn invalid_or_truncated_lists_have_no_entries() {
    let deeply_nested = "[".repeat(100_000);
    for text in [
        "{}",
        "[]",
        "null",
        "7",
        "{\"rev\":-1,\"targets\":[]}",
        "{\"rev\":1,\"targets\":7}",
        "\u{0}",
        &deeply_nested,
    ] {
        assert_eq!(parse_list(text), (0, 0), "invalid list: {text:.40}");
    }
    for cut in 0..VALID_LIST.len() {
        assert_eq!(parse_list(&VALID_LIST[..cut]), (0, 0), "list truncated to {cut} bytes");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, failure_persistence: None, ..ProptestConfig::default() })]

    /// Corrupted bytes in a list must not make the parser panic.
    #[test]
    fn corrupted_lists_do_not_panic(
        changes in prop::collection::vec((0..VALID_LIST.len(), any::<u8>()), 1..8),
        cut in prop::option::of(0..VALID_LIST.len()),
    ) {
        let mut bytes = VALID_LIST.as_bytes().to_vec();
        changes.into_iter().for_each(|(index, byte)| bytes[index] = byte);
        bytes.truncate(cut.unwrap_or(VALID_LIST.len()));
        let (entries, _) = parse_list(&String::from_utf8_lossy(&bytes));
        prop_assert!(entries <= 3);
    }
}
