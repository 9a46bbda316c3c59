//! Tests of tokens.

use super::*;
use proptest::prelude::*;

fn signer() -> TokenSigner {
    TokenSigner::new(b"sixteen bytes or more").unwrap()
}

#[test]
fn a_token_is_valid_until_it_expires() {
    let token = signer().sign("wadi-lodge", 1000).unwrap();
    assert_eq!(signer().verify(&token, 999), Ok("wadi-lodge"));
    assert_eq!(signer().verify(&token, 1000), Err(TokenError::Expired));
    let other = TokenSigner::new(b"another secret of ours").unwrap();
    assert_eq!(other.verify(&token, 999), Err(TokenError::Forged));
    assert!(TokenSigner::new(b"short").is_none());
    assert_eq!((signer().sign("a.b", 1), signer().sign("", 1)), (None, None));
    assert!(!format!("{:?}", signer()).contains("sixteen"));
}

proptest! {
    /// Guards against a token changed anywhere, and against a panic on whatever a peer sends.
    #[test]
    fn no_changed_token_is_valid(at in 0_usize..90, byte in 0_u8..128, noise in ".{0,80}") {
        let token = signer().sign("wadi-lodge", 1000).unwrap();
        let mut changed = token.clone().into_bytes();
        let at = at % changed.len();
        changed[at] = byte;
        let changed = String::from_utf8(changed).unwrap();
        prop_assert_eq!(signer().verify(&changed, 1).is_ok(), changed == token);
        prop_assert!(signer().verify(&noise, 1).is_err());
        prop_assert!(signer().verify(&token[..at], 1).is_err());
    }
}
