//! Lists of clients, by the networks that they come from.

use crate::reader::Reader;
use maplehook_admission::address::{Network, NetworkSet};

/// The most networks in a list.
const MOST: usize = 10_000;
const SECTION: &str = "clients";

/// Who is known, and who is refused.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Clients {
    /// Known to admission, beside those of `[admission]`.
    pub known: NetworkSet,
    /// Every request of theirs is refused.
    pub refused: NetworkSet,
}

/// Reads `[clients]`.
pub fn read(reader: &mut Reader<'_>) -> Clients {
    let mut list = |key: &str| -> NetworkSet {
        let networks: Vec<Network> = reader.take_each(SECTION, key).unwrap_or_default();
        if networks.len() > MOST {
            reader.fault(SECTION, key, format!("{MOST} at most"));
        }
        networks.into_iter().collect()
    };
    Clients { known: list("known"), refused: list("refused") }
}
