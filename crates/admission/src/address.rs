//! Addresses as the door counts them: one IPv4 address, one IPv6 /64, and a prefix of each.

use std::fmt;
use std::net::{IpAddr, Ipv6Addr};
use std::str::FromStr;

/// Bits that an IPv4 address has more as an IPv6 one.
const MAPPED: u8 = 96;
/// A client of IPv6 has at least a /64 to itself (RFC 6177, section 2): what is under it tells nobody apart.
const V6_ADDRESS: u8 = 64;

/// An address or prefix, as a key: its leading bits and their number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Key {
    bits: u128,
    length: u8,
}

impl Key {
    /// The whole of an address: an IPv4 /32, an IPv6 /64.
    pub fn of(address: IpAddr) -> Self {
        Self::prefix(address, 32, V6_ADDRESS)
    }

    /// The leading bits of an address: `v4` of them or `v6`.
    pub fn prefix(address: IpAddr, v4: u8, v6: u8) -> Self {
        let length = if address.to_canonical().is_ipv4() { MAPPED + v4.min(32) } else { v6.min(128) };
        Self { bits: bits(address) & mask(length), length }
    }
}

/// An address as one of IPv6.
fn bits(address: IpAddr) -> u128 {
    match address.to_canonical() {
        IpAddr::V4(a) => u128::from(a.to_ipv6_mapped()),
        IpAddr::V6(a) => u128::from(a),
    }
}

fn mask(length: u8) -> u128 {
    u128::MAX.checked_shl(128 - u32::from(length.min(128))).unwrap_or(0)
}

/// A network, as `192.0.2.0/24`, `2001:db8::/32` or a single address.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct Network {
    key: Key,
}

impl Network {
    /// Whether an address lies in it.
    pub fn contains(&self, address: IpAddr) -> bool {
        bits(address) & mask(self.key.length) == self.key.bits
    }
}

impl fmt::Debug for Network {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let address = Ipv6Addr::from(self.key.bits);
        match address.to_ipv4_mapped() {
            Some(v4) if self.key.length >= MAPPED => write!(f, "{v4}/{}", self.key.length - MAPPED),
            _ => write!(f, "{address}/{}", self.key.length),
        }
    }
}

/// Many networks, among which an address is found in a time that hardly grows with their number.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Networks {
    /// First and last addresses, disjoint and in order.
    ranges: Vec<(u128, u128)>,
}

impl Networks {
    /// Whether an address lies in one of them.
    pub fn contains(&self, address: IpAddr) -> bool {
        let bits = bits(address);
        let after = self.ranges.partition_point(|(first, _)| *first <= bits);
        after.checked_sub(1).is_some_and(|at| bits <= self.ranges[at].1)
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.ranges.is_empty()
    }

    /// Both.
    pub fn and(&self, other: &Self) -> Self {
        Self::joined(self.ranges.iter().chain(&other.ranges).copied().collect())
    }

    fn joined(mut ranges: Vec<(u128, u128)>) -> Self {
        ranges.sort_unstable();
        let mut joined: Vec<(u128, u128)> = Vec::with_capacity(ranges.len());
        for (first, last) in ranges {
            match joined.last_mut() {
                Some((_, end)) if first <= end.saturating_add(1) => *end = (*end).max(last),
                _ => joined.push((first, last)),
            }
        }
        Self { ranges: joined }
    }
}

impl FromIterator<Network> for Networks {
    fn from_iter<I: IntoIterator<Item = Network>>(networks: I) -> Self {
        let range = |network: Network| {
            let Key { bits, length } = network.key;
            (bits, bits | !mask(length))
        };
        Self::joined(networks.into_iter().map(range).collect())
    }
}

/// Why a text names no network.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NetworkError(String);

impl fmt::Display for NetworkError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for NetworkError {}

impl FromStr for Network {
    type Err = NetworkError;

    fn from_str(text: &str) -> Result<Self, NetworkError> {
        let wrong = |why: &str| NetworkError(format!("{text:?} is no network: {why}"));
        let (address, length) = text.split_once('/').map_or((text, None), |(a, l)| (a, Some(l)));
        let address: IpAddr = address.parse().map_err(|_| wrong("no address before the slash"))?;
        let most = if address.is_ipv4() { 32 } else { 128 };
        let length = match length {
            None => most,
            Some(l) => l.parse().ok().filter(|l| *l <= most).ok_or_else(|| wrong("no length of a prefix"))?,
        };
        let network = Self { key: Key::prefix(address, length, length) };
        // 192.0.2.7/24 is a slip of somebody who meant one address, or the whole network.
        let whole = Key::prefix(address, 32, 128);
        if whole.bits != network.key.bits {
            return Err(wrong("it has bits beyond its length"));
        }
        Ok(network)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn network() -> impl Strategy<Value = Network> {
        (any::<u32>(), 0u8..=32).prop_map(|(bits, length)| Network {
            key: Key::prefix(IpAddr::from((bits & 0xf0f0_000f).to_be_bytes()), length, length),
        })
    }

    proptest! {
        /// The same as looking at each of them.
        #[test]
        fn many_networks_hold_what_each_holds(
            some in prop::collection::vec(network(), 0..12),
            more in prop::collection::vec(network(), 0..3),
            addresses in prop::collection::vec(any::<u32>(), 20),
        ) {
            let all: Networks = some.iter().copied().collect();
            let both = all.and(&more.iter().copied().collect());
            for bits in addresses {
                let address = IpAddr::from((bits & 0xf0f0_000f).to_be_bytes());
                let listed = some.iter().any(|network| network.contains(address));
                prop_assert_eq!(all.contains(address), listed);
                prop_assert_eq!(both.contains(address), listed || more.iter().any(|n| n.contains(address)));
            }
            prop_assert_eq!(all.and(&all), all);
        }
    }

    #[test]
    fn networks_hold_what_they_say() {
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
        for wrong in ["", "/8", "192.0.2.7/24", "192.0.2.0/33", "::/129", "lodge", "192.0.2.0/-1", "1.2.3.4/"]
        {
            assert!(wrong.parse::<Network>().unwrap_err().to_string().contains(wrong));
        }
    }

    #[test]
    fn one_client_of_ipv6_is_one_key() {
        let key = |a: &str| Key::of(a.parse().unwrap());
        assert_eq!(key("2001:db8::1"), key("2001:db8::ffff:1"));
        assert_ne!(key("2001:db8::1"), key("2001:db8:0:1::1"));
        assert_ne!(key("192.0.2.1"), key("192.0.2.2"));
        assert_eq!(key("::ffff:192.0.2.1"), key("192.0.2.1"));
        let net = |a: &str| Key::prefix(a.parse().unwrap(), 24, 48);
        assert_eq!(net("192.0.2.1"), net("192.0.2.200"));
        assert_ne!(net("192.0.2.1"), net("2001:db8::1"));
    }
}
