//! Tests of addresses and networks.

use super::*;
use proptest::prelude::*;

fn network() -> impl Strategy<Value = Network> {
    (any::<u32>(), 0u8..=32).prop_map(|(bits, length)| Network {
        key: AddressKey::prefix(IpAddr::from((bits & 0xf0f0_000f).to_be_bytes()), length, length),
    })
}

proptest! {
    /// The same as looking at each of them.
    #[test]
    fn a_set_contains_what_each_network_contains(
        some in prop::collection::vec(network(), 0..12),
        more in prop::collection::vec(network(), 0..3),
        addresses in prop::collection::vec(any::<u32>(), 20),
    ) {
        let all: NetworkSet = some.iter().copied().collect();
        let both = all.union(&more.iter().copied().collect());
        for bits in addresses {
            let address = IpAddr::from((bits & 0xf0f0_000f).to_be_bytes());
            let listed = some.iter().any(|network| network.contains(address));
            prop_assert_eq!(all.contains(address), listed);
            prop_assert_eq!(both.contains(address), listed || more.iter().any(|n| n.contains(address)));
        }
        prop_assert_eq!(all.union(&all), all);
    }
}

#[test]
fn networks_contain_their_addresses_alone() {
    for (network, inside, outside) in [
        ("192.0.2.0/24", "192.0.2.9", "192.0.3.9"),
        ("192.0.2.7", "192.0.2.7", "192.0.2.8"),
        ("0.0.0.0/0", "203.0.113.1", "2001:db8::1"),
        ("2001:db8::/32", "2001:db8:7::1", "2001:db9::1"),
        ("127.0.0.0/8", "::ffff:127.9.9.9", "128.0.0.1"),
    ] {
        let n: Network = network.parse().unwrap();
        assert!(n.contains(inside.parse().unwrap()), "{network}");
        assert!(!n.contains(outside.parse().unwrap()), "{network}");
        assert_eq!(format!("{n:?}").parse::<Network>().unwrap(), n);
    }
    for wrong in ["", "/8", "192.0.2.7/24", "192.0.2.0/33", "::/129", "lodge", "192.0.2.0/-1", "1.2.3.4/"] {
        assert!(wrong.parse::<Network>().unwrap_err().to_string().contains(wrong));
    }
}

#[test]
fn one_client_of_ipv6_is_one_key() {
    let key = |a: &str| AddressKey::of_client(a.parse().unwrap());
    assert_eq!(key("2001:db8::1"), key("2001:db8::ffff:1"));
    assert_ne!(key("2001:db8::1"), key("2001:db8:0:1::1"));
    assert_ne!(key("192.0.2.1"), key("192.0.2.2"));
    assert_eq!(key("::ffff:192.0.2.1"), key("192.0.2.1"));
    let net = |a: &str| AddressKey::prefix(a.parse().unwrap(), 24, 48);
    assert_eq!(net("192.0.2.1"), net("192.0.2.200"));
    assert_ne!(net("192.0.2.1"), net("2001:db8::1"));
}
