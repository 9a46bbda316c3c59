use super::*;
use proptest::prelude::*;

proptest! {
    /// A part changes by its own proposals alone, whatever other parts there are, and what is encoded can be decoded.
    #[test]
    fn parts_are_independent(proposals in prop::collection::vec((any::<bool>(), prop::collection::vec(any::<u8>(), 0..9)), 0..20)) {
        let mut parts = DocumentParts::default();
        let mut last: BTreeMap<PartKind, (u64, Vec<u8>)> = BTreeMap::new();
        // A part of a later program.
        parts.parts.insert(9, (1, vec![7]));
        for (index, (is_failover, body)) in proposals.into_iter().enumerate() {
            let kind = if is_failover { PartKind::Failover } else { PartKind::Rollout };
            let number = index as u64 + 2;
            parts = parts.with(kind, number, body.clone());
            last.insert(kind, (number, body));
            parts = DocumentParts::decode(&parts.encode()).unwrap();
            for kind in PartKind::ALL {
                let (number, body) = last.get(&kind).cloned().unwrap_or_default();
                prop_assert_eq!(parts.number(kind), number);
                prop_assert_eq!(parts.part(kind).map_or(vec![], |part| part.body.to_vec()), body);
            }
            prop_assert_eq!(&parts.parts[&9], &(1, vec![7]));
        }
    }

    /// No bytes make decoding panic.
    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = DocumentParts::decode(&bytes).map(|parts| parts.part(PartKind::Failover));
    }
}
