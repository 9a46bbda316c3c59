//! Addresses as admission counts them (one IPv4 address, one IPv6 /64, and a prefix of each), and sets of networks.

use std::fmt;
use std::net::{IpAddr, Ipv6Addr};
use std::str::FromStr;
use thiserror::Error;

/// The bits of an IPv4 address.
const IPV4_BITS: u8 = 32;
/// The bits of an IPv6 address.
const IPV6_BITS: u8 = 128;
/// The leading bits of an IPv4-mapped IPv6 address, before those of the IPv4 address.
const IPV4_MAPPED_BITS: u8 = IPV6_BITS - IPV4_BITS;
/// The leading bits by which IPv6 clients are told apart: each has at least a /64 to itself (RFC 6177, section 2).
const IPV6_CLIENT_BITS: u8 = 64;

/// An address or prefix as the key of a table: its leading bits and their number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AddressKey {
    bits: u128,
    length: u8,
}

impl AddressKey {
    /// The key of a client's address: an IPv4 /32, an IPv6 /64.
    pub fn of_client(address: IpAddr) -> Self {
        Self::prefix(address, IPV4_BITS, IPV6_CLIENT_BITS)
    }

    /// The key of the leading bits of an address: `v4` of them for IPv4, `v6` for IPv6.
    pub fn prefix(address: IpAddr, v4: u8, v6: u8) -> Self {
        let length = if address.to_canonical().is_ipv4() {
            IPV4_MAPPED_BITS + v4.min(IPV4_BITS)
        } else {
            v6.min(IPV6_BITS)
        };
        Self { bits: bits(address) & mask(length), length }
    }
}

/// The bits of an address, IPv4 ones as IPv4-mapped IPv6.
fn bits(address: IpAddr) -> u128 {
    match address.to_canonical() {
        IpAddr::V4(a) => u128::from(a.to_ipv6_mapped()),
        IpAddr::V6(a) => u128::from(a),
    }
}

/// The mask of this many leading bits.
fn mask(length: u8) -> u128 {
    u128::MAX.checked_shl(u32::from(IPV6_BITS - length.min(IPV6_BITS))).unwrap_or(0)
}

/// A network, as `192.0.2.0/24`, `2001:db8::/32` or a single address.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct Network {
    key: AddressKey,
}

impl Network {
    /// Whether an address lies in the network.
    pub fn contains(&self, address: IpAddr) -> bool {
        bits(address) & mask(self.key.length) == self.key.bits
    }
}

impl fmt::Debug for Network {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let address = Ipv6Addr::from(self.key.bits);
        match address.to_ipv4_mapped() {
            Some(v4) if self.key.length >= IPV4_MAPPED_BITS => {
                write!(f, "{v4}/{}", self.key.length - IPV4_MAPPED_BITS)
            }
            _ => write!(f, "{address}/{}", self.key.length),
        }
    }
}

/// A set of networks; looking up an address takes logarithmic time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct NetworkSet {
    /// The first and last addresses of disjoint ranges, in ascending order.
    ranges: Vec<(u128, u128)>,
}

impl NetworkSet {
    /// Whether an address lies in one of the networks.
    pub fn contains(&self, address: IpAddr) -> bool {
        let bits = bits(address);
        let following = self.ranges.partition_point(|(first, _)| *first <= bits);
        following.checked_sub(1).is_some_and(|index| bits <= self.ranges[index].1)
    }

    /// Whether the set has no networks.
    pub fn is_empty(&self) -> bool {
        self.ranges.is_empty()
    }

    /// The addresses of either set.
    pub fn union(&self, other: &Self) -> Self {
        Self::merged(self.ranges.iter().chain(&other.ranges).copied().collect())
    }

    /// The set of these ranges, which may overlap.
    fn merged(mut ranges: Vec<(u128, u128)>) -> Self {
        ranges.sort_unstable();
        let mut merged: Vec<(u128, u128)> = Vec::with_capacity(ranges.len());
        for (first, last) in ranges {
            match merged.last_mut() {
                Some((_, end)) if first <= end.saturating_add(1) => *end = (*end).max(last),
                _ => merged.push((first, last)),
            }
        }
        Self { ranges: merged }
    }
}

impl FromIterator<Network> for NetworkSet {
    fn from_iter<I: IntoIterator<Item = Network>>(networks: I) -> Self {
        let range = |network: Network| {
            let AddressKey { bits, length } = network.key;
            (bits, bits | !mask(length))
        };
        Self::merged(networks.into_iter().map(range).collect())
    }
}

/// A text that is no network.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum NetworkError {
    /// There is no address before the slash, or none at all.
    #[error("{text:?} is no network: no address before the slash")]
    Address {
        /// The text.
        text: String,
    },
    /// The length is no number, or is more than the address has bits.
    #[error("{text:?} is no network: no length of a prefix")]
    PrefixLength {
        /// The text.
        text: String,
    },
    /// The address has bits that are set beyond the length.
    #[error("{text:?} is no network: it has bits beyond its length")]
    HostBits {
        /// The text.
        text: String,
    },
}

impl FromStr for Network {
    type Err = NetworkError;

    fn from_str(text: &str) -> Result<Self, NetworkError> {
        let owned = || text.to_owned();
        let (address, length) = text.split_once('/').map_or((text, None), |(a, l)| (a, Some(l)));
        let address: IpAddr = address.parse().map_err(|_| NetworkError::Address { text: owned() })?;
        let max = if address.is_ipv4() { IPV4_BITS } else { IPV6_BITS };
        let length = match length.map(str::parse) {
            None => max,
            Some(Ok(length)) if length <= max => length,
            Some(_) => return Err(NetworkError::PrefixLength { text: owned() }),
        };
        let network = Self { key: AddressKey::prefix(address, length, length) };
        // 192.0.2.7/24 is a mistake of somebody who meant one address, or the whole network.
        let whole = AddressKey::prefix(address, IPV4_BITS, IPV6_BITS);
        if whole.bits != network.key.bits {
            return Err(NetworkError::HostBits { text: owned() });
        }
        Ok(network)
    }
}

#[cfg(test)]
mod tests;
