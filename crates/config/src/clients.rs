//! Lists of clients, by the networks that they come from.

use crate::reader::Reader;
use maplehook_admission::address::{Network, Networks};

/// The most networks in a list.
const MOST: usize = 10_000;
const SECTION: &str = "clients";

/// Who is known, and who is refused.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Clients {
    /// Known at the door, beside those of `[admission]`.
    pub known: Networks,
    /// Every request of theirs is refused.
    pub refused: Networks,
}

/// Reads `[clients]`.
pub fn read(reader: &mut Reader<'_>) -> Clients {
    let mut list = |key: &str| -> Networks {
        let networks: Vec<Network> = reader.take_each(SECTION, key).unwrap_or_default();
        if networks.len() > MOST {
            reader.fault(SECTION, key, format!("{MOST} at most"));
        }
        networks.into_iter().collect()
    };
    Clients { known: list("known"), refused: list("refused") }
}
