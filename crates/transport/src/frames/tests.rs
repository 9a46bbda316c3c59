use super::*;
use crate::handshake::{Handshake, Hello, Side};
use maplehook_cluster::{Name, WireVersions};
use proptest::prelude::*;

fn handshake(secret: &[u8], nonce: u8) -> Handshake {
    let (a, b) = (Name::new("a").unwrap(), Name::new("b").unwrap());
    let dialer = Hello::new(a.clone(), 1, b.clone(), [nonce; 16]);
    let listener = Hello::new(b, 2, a, [9; 16]);
    Handshake::new(&SecretKey::new(secret).unwrap(), &dialer, &listener)
}

const SECRET: &[u8] = b"the secret of the tier";

fn message(text: &'static str) -> Frame {
    Frame { acknowledged: 3, message: Some(Message { topic: 7, body: text.into() }) }
}

#[test]
fn proof_is_valid_for_one_side_of_one_connection() {
    let one = handshake(SECRET, 1);
    assert!(one.verify_proof(Side::Dialer, &one.proof(Side::Dialer)).is_ok());
    assert!(one.verify_proof(Side::Listener, &one.proof(Side::Dialer)).is_err(), "turned back");
    assert!(handshake(SECRET, 2).verify_proof(Side::Dialer, &one.proof(Side::Dialer)).is_err(), "recorded");
    assert!(
        handshake(b"another secret, longer", 1).verify_proof(Side::Dialer, &one.proof(Side::Dialer)).is_err()
    );
}

#[test]
fn frames_are_accepted_in_order_once_and_on_their_connection() {
    let handshake = handshake(SECRET, 1);
    let (mut out, mut into) = (handshake.frame_codec(Side::Dialer), handshake.frame_codec(Side::Dialer));
    let sealed: Vec<Bytes> = ["one", "two", "three"].map(|text| out.encode(&message(text))).into();
    assert_eq!(into.decode(&sealed[0]), Ok(message("one")));
    assert_eq!(into.decode(&sealed[0]), Err(ProtocolError::Forged), "repeated");
    assert_eq!(into.decode(&sealed[2]), Err(ProtocolError::Forged), "one is missing");
    assert_eq!(into.decode(&sealed[1]), Ok(message("two")));
    let mut other = super::tests::handshake(SECRET, 2).frame_codec(Side::Dialer);
    assert_eq!(other.decode(&sealed[0]), Err(ProtocolError::Forged), "another connection's");
    let mut back = handshake.frame_codec(Side::Listener);
    assert_eq!(back.decode(&sealed[0]), Err(ProtocolError::Forged), "turned back");
}

#[test]
fn hello_validation_distinguishes_errors() {
    let (a, b, c) = (Name::new("a").unwrap(), Name::new("b").unwrap(), Name::new("c").unwrap());
    let hello = Hello::new(a.clone(), 5, b.clone(), [0; 16]);
    assert_eq!(hello.validate(&b, Some(5)), Ok(()));
    assert_eq!(hello.validate(&b, Some(6)), Err(ProtocolError::EarlierGeneration));
    assert_eq!(hello.validate(&c, None), Err(ProtocolError::Misaddressed));
    assert_eq!(
        Hello::new(b.clone(), 5, b.clone(), [0; 16]).validate(&b, None),
        Err(ProtocolError::Misaddressed)
    );
    let newer = Hello { wire: WireVersions { version: 9, oldest: 8 }, ..hello.clone() };
    assert_eq!(newer.validate(&b, None), Err(ProtocolError::Version));
    let side_by_side = Hello { wire: WireVersions { version: 9, oldest: 1 }, ..hello };
    assert_eq!(side_by_side.validate(&b, None), Ok(()));
}

proptest! {
    /// Random and changed bytes are errors, never a panic, and never a message.
    #[test]
    fn garbage_is_rejected(bytes in prop::collection::vec(any::<u8>(), 0..200), at in any::<u16>(), with in any::<u8>()) {
        let _ = Hello::decode(&bytes);
        let handshake = handshake(SECRET, 1);
        prop_assert!(handshake.frame_codec(Side::Dialer).decode(&bytes.clone().into()).is_err());
        let mut sealed = handshake.frame_codec(Side::Dialer).encode(&message("text")).to_vec();
        let at = usize::from(at) % sealed.len();
        if sealed[at] != with {
            sealed[at] = with;
            prop_assert_eq!(handshake.frame_codec(Side::Dialer).decode(&sealed.into()), Err(ProtocolError::Forged));
        }
        let hello = Hello::new(Name::new("a").unwrap(), 5, Name::new("b").unwrap(), [3; 16]);
        let mut longer = hello.encode();
        prop_assert_eq!(Hello::decode(&longer), Ok(hello.clone()));
        longer.extend_from_slice(&bytes);
        prop_assert_eq!(Hello::decode(&longer), Ok(hello.clone()));
        let short = hello.encode();
        prop_assert!(Hello::decode(&short[..usize::from(with) % short.len()]).is_err());
    }
}
