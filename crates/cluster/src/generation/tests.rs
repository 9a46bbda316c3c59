use super::*;
use proptest::prelude::*;

#[test]
fn generations_rise_with_clock_or_record() {
    let now = 1_796_000_000_000;
    let first = next(now, 77, None);
    assert!(next(now + 1, 0, None) > first, "the clock alone");
    assert_eq!(next(now - 3_600_000, 5, Some(first)), first + 1, "a clock set back, with a record");
    let old_copy = next(now - 60_000, 1023, None);
    assert!(next(now + 1, 0, Some(old_copy)) > first, "a record that is an old copy");
    assert!(first < 1 << 53);
}

proptest! {
    /// A record that was cut or changed anywhere is rejected.
    #[test]
    fn corrupt_record_is_rejected(start in 0..MAX_GENERATION, at in 0usize..60, with in 0u8..128) {
        let name = Name::new("b1").unwrap();
        let good = encode_record(&name, start);
        prop_assert_eq!(decode_record(&good, &name), Ok(start));
        let mut bytes = good.clone().into_bytes();
        let at = at % bytes.len();
        prop_assert!(decode_record(&good[..at], &name).is_err());
        if bytes[at] != with {
            bytes[at] = with;
            prop_assert!(decode_record(std::str::from_utf8(&bytes).unwrap(), &name).is_err());
        }
    }
}

#[test]
fn record_of_another_node_is_rejected() {
    let (b1, b2) = (Name::new("b1").unwrap(), Name::new("b2").unwrap());
    assert_eq!(
        decode_record(&encode_record(&b2, 7), &b1),
        Err(GenerationRecordError::OtherNode("b2".into()))
    );
}
