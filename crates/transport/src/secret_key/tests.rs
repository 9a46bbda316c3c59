use super::*;
use proptest::prelude::*;

#[test]
fn short_secrets_are_rejected() {
    assert!(SecretKey::new(b"fifteen bytes..").is_none());
    assert!(SecretKey::new(b"sixteen bytes...").is_some());
}

proptest! {
    /// One bit that is changed, or another secret, and it is refused.
    #[test]
    fn changed_datagrams_are_rejected(mut text in prop::collection::vec(any::<u8>(), 0..200), at in any::<u16>(), bit in 0u8..8) {
        text.splice(0..0, *b"mh");
        let ours = DatagramAuthenticator::new(&SecretKey::new(b"the secret of the tier").unwrap());
        let theirs = DatagramAuthenticator::new(&SecretKey::new(b"another secret, longer").unwrap());
        let sealed = ours.seal(text.clone());
        prop_assert_eq!(ours.open(&sealed), Some(&text[..]));
        prop_assert!(theirs.open(&sealed).is_none());
        let mut changed = sealed.clone();
        changed[usize::from(at) % sealed.len()] ^= 1 << bit;
        prop_assert!(ours.open(&changed).is_none());
        prop_assert!(ours.open(&sealed[..sealed.len() - 1]).is_none());
    }
}
