//! The other balancers, and how they are spoken to.

use crate::reader::{Reader, Table};
use crate::values::ranged;
use maplehook_cluster::Name;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// The most others.
const PEERS_MOST: usize = 1000;

/// A balancer's part in its tier.
#[derive(Clone, Debug, PartialEq)]
pub struct Tier {
    /// Its name.
    pub name: Name,
    /// Where it listens, for datagrams and connections both.
    pub listen: SocketAddr,
    /// The file with the tier's secret, at least 16 bytes after its white space is cut off.
    pub secret_file: PathBuf,
    /// The directory that its starts are counted in.
    pub state: Option<PathBuf>,
    /// Share of the upstreams that the own list calls ready, up to which the drains that others tell act here. 0 to 1.
    pub drains_most: f64,
    /// The others, each at the address that this one is to use.
    pub peers: BTreeMap<Name, SocketAddr>,
    /// How they agree on what they share, if they do.
    pub agreement: Option<Agreement>,
}

/// What a balancer does that has lost touch with the others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum CutOff {
    /// It goes on, by the strictest reading there is.
    #[default]
    Careful,
    /// It refuses.
    Refuse,
    /// A change waits for everybody.
    WaitForAll,
}

/// How balancers agree on what they share.
#[derive(Clone, Debug, PartialEq)]
pub struct Agreement {
    /// Those that vote: 3, 5 or 7.
    pub voters: Vec<Name>,
    /// The longest time for which two balancers may act on rules that contradict each other.
    pub contradiction: Duration,
    /// What one does that has lost touch.
    pub when_cut_off: CutOff,
}

fn name<'a>(reader: &mut Reader<'a>, table: &mut Table<'a>) -> Option<Name> {
    let text: Option<String> = reader.take_in(table, "name");
    let Some(text) = text else {
        if !reader.has_fault(table, "name") {
            reader.fault_in(table, "name", "a name is needed".into());
        }
        return None;
    };
    let name = Name::new(&text);
    if name.is_none() {
        reader.fault_in(table, "name", format!("{text:?} is no name: 1 to 32 letters, digits, -, _ or ."));
    }
    name
}

fn address<'a>(reader: &mut Reader<'a>, table: &mut Table<'a>, key: &str) -> Option<SocketAddr> {
    let address = reader.take_in(table, key);
    if address.is_none() && !reader.has_fault(table, key) {
        reader.fault_in(table, key, "an IP address and a port are needed".into());
    }
    address
}

/// Reads it; `None` where there is none, or where it is not fit.
pub fn read(reader: &mut Reader<'_>, served: bool) -> Option<Tier> {
    if !reader.has("tier") && reader.has("agreement") {
        if let Some(mut table) = reader.take_section("agreement") {
            let line = reader.line_in(&table, "voters");
            for key in Reader::keys(&table) {
                // Whatever it holds is of no use.
                let _ = reader.take_in::<toml::Value>(&mut table, &key);
            }
            reader.fault_at(line, "agreement".into(), "of no use without [tier]".into());
        }
        return None;
    }
    let mut taken = reader.take_section("tier")?;
    let table = &mut taken;
    if !served {
        reader.fault_in(table, "name", "of no use without listen.address and [[class]]".into());
    }
    let name = name(reader, table);
    let listen = address(reader, table, "listen");
    let secret_file: Option<PathBuf> = reader.take_in(table, "secret_file");
    if secret_file.is_none() && !reader.has_fault(table, "secret_file") {
        reader.fault_in(table, "secret_file", "the file with the tier's secret is needed".into());
    }
    let state = reader.take_in(table, "state");
    let drains_most = ranged!(reader, table, "drains_most", 0.0..=1.0f64, "0 to 1").unwrap_or(0.5);
    let mut peers = BTreeMap::new();
    let tables = reader.take_tables_in(table, "peer");
    if tables.len() > PEERS_MOST {
        reader.fault_in(table, "peer", format!("{PEERS_MOST} at most"));
    }
    for mut peer in tables.into_iter().take(PEERS_MOST) {
        let other = self::name(reader, &mut peer);
        let address = address(reader, &mut peer, "address");
        if let (Some(other), Some(address)) = (other, address) {
            if name.as_ref() == Some(&other) {
                reader.fault_in(&peer, "name", format!("{other} is this balancer itself"));
            } else if peers.insert(other.clone(), address).is_some() {
                reader.fault_in(&peer, "name", format!("{other} is named twice"));
            }
        }
        reader.done(peer);
    }
    reader.done(taken);
    let agreement = agreement(reader, name.as_ref(), &peers, state.is_some());
    Some(Tier {
        name: name?,
        listen: listen?,
        secret_file: secret_file?,
        state,
        drains_most,
        peers,
        agreement,
    })
}

fn agreement(
    reader: &mut Reader<'_>,
    own: Option<&Name>,
    peers: &BTreeMap<Name, SocketAddr>,
    state: bool,
) -> Option<Agreement> {
    let mut taken = reader.take_section("agreement")?;
    let table = &mut taken;
    let texts: Option<Vec<String>> = reader.take_in(table, "voters");
    if texts.is_none() && !reader.has_fault(table, "voters") {
        reader.fault_in(table, "voters", "the names of those that vote are needed".into());
    }
    let mut voters = Vec::new();
    for text in texts.iter().flatten() {
        match Name::new(text).filter(|name| Some(name) == own || peers.contains_key(name)) {
            Some(name) if voters.contains(&name) => {
                reader.fault_in(table, "voters", format!("{name} is named twice"));
            }
            Some(name) => voters.push(name),
            None => {
                reader.fault_in(
                    table,
                    "voters",
                    format!("{text:?} is neither tier.name nor a [[tier.peer]]"),
                );
            }
        }
    }
    if texts.is_some_and(|texts| ![3, 5, 7].contains(&texts.len())) {
        reader.fault_in(table, "voters", "there have to be 3, 5 or 7".into());
    }
    if own.is_some_and(|own| voters.contains(own)) && !state {
        reader.fault_in(
            table,
            "voters",
            "a voter needs tier.state: what it has voted must outlive it".into(),
        );
    }
    let ms = ranged!(
        reader,
        table,
        "contradiction_ms",
        1000..=600_000u64,
        "1,000 to 600,000 ms: renewals have to pass a busy machine several times within a lease"
    )
    .unwrap_or(5000);
    let word: Option<String> = reader.take_in(table, "when_cut_off");
    let when_cut_off = match word.as_deref() {
        None | Some("careful") => CutOff::Careful,
        Some("refuse") => CutOff::Refuse,
        Some("wait_for_all") => CutOff::WaitForAll,
        Some(other) => {
            let what = format!("{other:?} is none of \"careful\", \"refuse\", \"wait_for_all\"");
            reader.fault_in(table, "when_cut_off", what);
            CutOff::Careful
        }
    };
    reader.done(taken);
    Some(Agreement { voters, contradiction: Duration::from_millis(ms), when_cut_off })
}

#[cfg(test)]
mod tests {
    const SERVED: &str = "[listen]\naddress = '127.0.0.1:0'\n[[class]]\nname = 'all'\npath = '/**'\n\
        [[upstream]]\nname = 'u'\naddress = '127.0.0.1:9'\n";

    fn faults(text: &str) -> String {
        crate::parse(&format!("{SERVED}{text}")).unwrap_err().to_string()
    }

    #[test]
    fn a_tier_is_read_with_the_addresses_that_this_one_uses() {
        let text = "[tier]\nname = 'b1'\nlisten = '127.0.0.1:0'\nsecret_file = 's'\nstate = 'd'\n\
            [[tier.peer]]\nname = 'b2'\naddress = '127.0.0.1:7002'\n[operator]\naddress = '127.0.0.1:0'\n";
        let operator = crate::parse(&format!("{SERVED}{text}")).unwrap();
        let tier = operator.tier.unwrap();
        assert_eq!(tier.name.as_str(), "b1");
        assert_eq!(
            tier.peers.iter().map(|(n, a)| format!("{n} {a}")).collect::<Vec<_>>(),
            ["b2 127.0.0.1:7002"]
        );
        assert!(operator.control.is_some() && tier.drains_most == 0.5);
        assert!(crate::parse(SERVED).unwrap().tier.is_none());
    }

    #[test]
    fn voters_are_three_of_those_who_are_there() {
        let tier = "[tier]\nname = 'b1'\nlisten = '127.0.0.1:0'\nsecret_file = 's'\nstate = 'd'\n\
            [[tier.peer]]\nname = 'b2'\naddress = '127.0.0.1:1'\n[[tier.peer]]\nname = 'b3'\naddress = '127.0.0.1:2'\n";
        let good =
            "[agreement]\nvoters = ['b1', 'b2', 'b3']\ncontradiction_ms = 2000\nwhen_cut_off = 'refuse'\n";
        let read = crate::parse(&format!("{SERVED}{tier}{good}")).unwrap().tier.unwrap().agreement.unwrap();
        assert_eq!((read.voters.len(), read.when_cut_off), (3, super::CutOff::Refuse));
        let shown = faults(&format!(
            "{tier}[agreement]\nvoters = ['b1', 'b2', 'b2', 'x']\ncontradiction_ms = 900\nwhen_cut_off = 'go'\n"
        ));
        for part in [
            "line 21: agreement.voters: b2 is named twice",
            "line 21: agreement.voters: \"x\" is neither",
            "line 21: agreement.voters: there have to be 3, 5 or 7",
            "line 22: agreement.contradiction_ms: it has to be 1,000 to 600,000 ms: renewals",
            "line 23: agreement.when_cut_off: \"go\" is none of",
        ] {
            assert!(shown.contains(part), "{part:?} is not in\n{shown}");
        }
        let stateless = faults(&format!("{}{good}", tier.replace("state = 'd'\n", "")));
        assert!(stateless.contains("a voter needs tier.state"), "{stateless}");
        let alone = faults(good);
        assert!(alone.contains("line 9: agreement: of no use without [tier]"), "{alone}");
    }

    #[test]
    fn each_fault_has_its_line() {
        let text = "[tier]\nname = 'b 1'\nlisten = 'here'\ndrains_most = 2\n[[tier.peer]]\nname = 'b2'\n\
            address = '127.0.0.1:1'\nzone = 'a'\n[[tier.peer]]\nname = 'b2'\naddress = '127.0.0.1:2'\n";
        let shown = faults(text);
        for part in [
            "line 10: tier.name: \"b 1\" is no name",
            "line 11: tier.listen: invalid",
            "line 9: tier.secret_file: the file",
            "line 12: tier.drains_most: it has to be 0 to 1",
            "line 16: tier.peer[1].zone: no such key",
            "line 18: tier.peer[2].name: b2 is named twice",
        ] {
            assert!(shown.contains(part), "{part:?} is not in\n{shown}");
        }
        let good = "[tier]\nname = 'b1'\nlisten = '127.0.0.1:0'\nsecret_file = 's'\n";
        let itself = faults(&format!("{good}[[tier.peer]]\nname = 'b1'\naddress = '127.0.0.1:1'\n"));
        assert_eq!(itself, "line 14: tier.peer[1].name: b1 is this balancer itself");
        let no_list = faults(&format!("{good}peer = 'b2'\n"));
        assert_eq!(no_list, "line 13: tier.peer: there may be several: [[tier.peer]]");
        let alone = crate::parse(good).unwrap_err().to_string();
        assert!(alone.contains("line 1: tier.name: of no use without listen.address"), "{alone}");
    }
}
