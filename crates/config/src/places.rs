//! Zones in regions, the rules of nearness, and shared service addresses.

use crate::reader::{Reader, Table};
use crate::values::ranged;
use maplehook_address_announcement::{Address, Announce};
use maplehook_locality::language::{self, Names};
use maplehook_locality::{Region, Rules, Topology, Zone};
use std::collections::BTreeSet;
use std::time::Duration;

/// The region of a deployment that states none.
const ALL: &str = "all";
/// The most service addresses.
const ADDRESSES_MOST: usize = 64;
/// How long a site has to be ill, and well, where nothing is stated.
const WITHDRAW_AFTER: Duration = Duration::from_secs(3);
const RETURN_AFTER: Duration = Duration::from_secs(10);

/// Where a balancer is, and whom its requests go to.
#[derive(Clone, Debug, PartialEq)]
pub struct Places {
    /// Zones and regions.
    pub topology: Topology,
    /// The balancer's own zone.
    pub own: Zone,
    /// The rules, by the numbers of the file's classes and tenants.
    pub rules: Rules,
    /// Their text; none where the default holds.
    pub text: Option<String>,
    /// Bounds that no evidence moves.
    pub bounds: maplehook_failover::Bounds,
    /// Shared service addresses.
    pub addresses: Vec<Address>,
}

/// A region of the file.
struct Stated {
    name: String,
    zones: Vec<String>,
}

fn regions(reader: &mut Reader<'_>) -> Vec<Stated> {
    let (mut regions, mut names, mut taken) = (Vec::<Stated>::new(), BTreeSet::new(), BTreeSet::new());
    for mut table in reader.take_tables("region") {
        let name: Option<String> = reader.take_in(&mut table, "name");
        let zones: Option<Vec<String>> = reader.take_in(&mut table, "zones");
        match &name {
            Some(name) if !name.is_empty() && names.insert(name.clone()) => {}
            Some(name) => {
                let what = format!("{name:?} is empty, or the name of another");
                reader.fault_in(&table, "name", what);
            }
            None if reader.has_fault(&table, "name") => {}
            None => reader.fault_in(&table, "name", "it needs a name".into()),
        }
        if zones.as_ref().is_none_or(Vec::is_empty) && !reader.has_fault(&table, "zones") {
            reader.fault_in(&table, "zones", "it needs zones".into());
        }
        let mut fit = Vec::new();
        for zone in zones.unwrap_or_default() {
            if zone.is_empty() || !taken.insert(zone.clone()) {
                reader.fault_in(&table, "zones", format!("{zone:?} is empty, or stands twice"));
            } else {
                fit.push(zone);
            }
        }
        reader.done(table);
        if let Some(name) = name.filter(|_| !fit.is_empty()) {
            regions.push(Stated { name, zones: fit });
        }
    }
    regions
}

/// The topology of what is stated; where no region is, all zones lie in one, in the order of their names.
fn topology(reader: &mut Reader<'_>, regions: &[Stated], zones: &[String]) -> Option<Topology> {
    let built = if regions.is_empty() {
        let names: BTreeSet<&str> =
            zones.iter().map(String::as_str).filter(|zone| !zone.is_empty()).collect();
        Topology::new([(ALL, names.into_iter().collect())])
    } else {
        Topology::new(regions.iter().map(|r| (r.name.as_str(), r.zones.iter().map(String::as_str).collect())))
    };
    built.map_err(|e| reader.fault_at(1, "region".into(), e.to_string())).ok()
}

fn trips<'a>(reader: &mut Reader<'a>, table: &mut Table<'a>, topology: &mut Topology) {
    let Some(stated) = reader.take_in::<std::collections::BTreeMap<String, f64>>(table, "trips_ms") else {
        return;
    };
    for (way, ms) in stated {
        let ends = way.split_once(' ').map(|(a, b)| (topology.zone(a), topology.zone(b)));
        match ends {
            Some((Some(a), Some(b))) if a != b && (0.0..=60_000.0).contains(&ms) => {
                topology.set_rtt(a, b, Duration::from_secs_f64(ms / 1e3));
            }
            Some((Some(_), Some(_))) => {
                let what = format!("{way:?}: it has to be 0 to 60,000 ms between two zones");
                reader.fault_in(table, "trips_ms", what);
            }
            _ => {
                let what = format!("{way:?} does not name two zones, as \"north-a south-b\"");
                reader.fault_in(table, "trips_ms", what);
            }
        }
    }
}

/// What is known of the rest of the file.
pub struct Known<'a> {
    /// Classes.
    pub classes: &'a [String],
    /// Tenants.
    pub tenants: &'a [String],
    /// Zones, the own one first.
    pub zones: &'a [String],
}

/// Reads all of it; `None` where there is no `[locality]`, or it is not fit.
pub fn read(reader: &mut Reader<'_>, known: &Known<'_>) -> Option<Places> {
    let regions = regions(reader);
    let listed = reader.take_tables("address");
    let stated_bounds = reader.take_section("places");
    let Some(mut taken) = reader.take_section("locality") else {
        let idle = [
            (!regions.is_empty(), "region"),
            (!listed.is_empty(), "address"),
            (stated_bounds.is_some(), "places"),
        ];
        for (_, place) in idle.into_iter().filter(|(there, _)| *there) {
            reader.fault_at(1, place.into(), "of no use without [locality]".into());
        }
        return None;
    };
    let table = &mut taken;
    let mut topology = topology(reader, &regions, known.zones)?;
    let own = known.zones.first().map_or("", String::as_str);
    if own.is_empty() {
        reader.fault_at(1, "balancer.zone".into(), "needed beside [locality]".into());
    }
    for zone in known.zones.iter().filter(|zone| !zone.is_empty() && topology.zone(zone).is_none()) {
        reader.fault_at(1, "region".into(), format!("zone {zone:?} lies in no [[region]]"));
    }
    trips(reader, table, &mut topology);
    let text: Option<String> = reader.take_in(table, "rules");
    if reader.take_in::<String>(table, "rules_file").is_some() {
        let what =
            "the file's text has to be read into the settings first; a program that embeds has to do it";
        reader.fault_in(table, "rules_file", what.into());
    }
    let tenants = if known.tenants.is_empty() { &[String::new()][..] } else { known.tenants };
    let names = Names { topology: &topology, classes: known.classes, tenants };
    let compiled = match &text {
        None => Ok(Rules::near_first(known.classes.len(), tenants.len())),
        Some(text) => language::compile(text, &names),
    };
    let rules = match compiled {
        Ok(rules) => Some(rules),
        Err(faults) => {
            for fault in faults {
                reader.fault_in(table, "rules", fault.to_string());
            }
            None
        }
    };
    let bounds = stated_bounds.map_or_else(Default::default, |table| self::bounds(reader, table));
    let addresses = addresses(reader, listed, &topology);
    reader.done(taken);
    let own = topology.zone(own)?;
    Some(Places { topology, own, rules: rules?, text, bounds, addresses })
}

fn bounds<'a>(reader: &mut Reader<'a>, mut taken: Table<'a>) -> maplehook_failover::Bounds {
    let mut bounds = maplehook_failover::Bounds::default();
    let table = &mut taken;
    if let Some(share) = ranged!(reader, table, "most_away", 0.0..=1.0f64, "0 to 1") {
        bounds.max_capacity_removed = share;
    }
    if let Some(least) = ranged!(reader, table, "least_in_service", 1..=64usize, "1 to 64") {
        bounds.min_zones_in_service = least;
    }
    if let Some(share) = ranged!(reader, table, "most_moved_per_s", 0.01..=1.0f64, "0.01 to 1") {
        bounds.max_moved_per_s = share;
    }
    if let Some(share) = ranged!(reader, table, "shared_cause", 0.1..=1.0f64, "0.1 to 1") {
        bounds.shared_cause_share = share;
    }
    reader.done(taken);
    bounds
}

fn addresses<'a>(reader: &mut Reader<'a>, listed: Vec<Table<'a>>, topology: &Topology) -> Vec<Address> {
    let (mut addresses, mut names) = (Vec::new(), BTreeSet::new());
    if listed.len() > ADDRESSES_MOST {
        reader.fault_at(1, "address".into(), format!("{ADDRESSES_MOST} at most"));
    }
    for mut table in listed.into_iter().take(ADDRESSES_MOST) {
        let name: Option<String> = reader.take_in(&mut table, "name");
        let fit = |name: &String| crate::values::header_free(name);
        if !name.as_ref().is_some_and(|name| fit(name) && names.insert(name.clone())) {
            let what = "it needs a name of its own, of letters, digits, '-', '.', '_' and ':'";
            reader.fault_in(&table, "name", what.into());
        }
        let address: Option<String> = reader.take_in(&mut table, "address");
        if address.as_ref().is_none_or(|text| text.parse::<std::net::SocketAddr>().is_err()) {
            reader.fault_in(&table, "address", "an IP address and a port are needed".into());
        }
        let announce = match reader.take_in::<String>(&mut table, "announce").as_deref() {
            None | Some("many") => Announce::Many,
            Some("one") => Announce::One,
            Some(other) => {
                reader.fault_in(&table, "announce", format!("{other:?} is neither \"many\" nor \"one\""));
                Announce::Many
            }
        };
        let mut time = |key: &'static str, or: Duration| {
            let ms: Option<u64> = reader.take_in(&mut table, key);
            if ms.is_some_and(|ms| !(100..=3_600_000).contains(&ms)) {
                reader.fault_in(&table, key, "it has to be 100 to 3,600,000 ms".into());
            }
            ms.map_or(or, Duration::from_millis)
        };
        let withdraw_after = time("withdraw_after_ms", WITHDRAW_AFTER);
        let return_after = time("return_after_ms", RETURN_AFTER);
        let stated: Option<Vec<String>> = reader.take_in(&mut table, "sites");
        let mut sites: Vec<Region> = Vec::new();
        for site in stated.iter().flatten() {
            match topology.region(site) {
                Some(region) if !sites.contains(&region) => sites.push(region),
                Some(_) => reader.fault_in(&table, "sites", format!("{site:?} stands twice")),
                None => reader.fault_in(&table, "sites", format!("there is no region {site:?}")),
            }
        }
        if stated.is_none() {
            sites = topology.regions().collect();
        } else if sites.is_empty() && !reader.has_fault(&table, "sites") {
            reader.fault_in(&table, "sites", "it needs one".into());
        }
        let least: Option<usize> = reader.take_in(&mut table, "keep_at_least");
        if least.is_some_and(|least| least < 1 || least > sites.len().max(1)) {
            let what = format!("it has to be 1 to {}, the number of sites", sites.len().max(1));
            reader.fault_in(&table, "keep_at_least", what);
        }
        reader.done(table);
        if let (Some(name), Some(address)) = (name, address) {
            let keep_at_least = least.unwrap_or(1);
            let times = (withdraw_after, return_after);
            let (withdraw_after, return_after) = times;
            addresses.push(Address {
                name,
                address,
                announce,
                keep_at_least,
                withdraw_after,
                return_after,
                sites,
            });
        }
    }
    addresses
}

#[cfg(test)]
mod tests {
    use super::*;

    const FILE: &str = "[listen]\naddress = '127.0.0.1:0'\n[balancer]\nzone = 'a'\n[[class]]\nname = 'all'\npath = '/**'\n\
        [[upstream]]\nname = 'u'\naddress = '127.0.0.1:9'\nzone = 'c'\n";

    fn faults(text: &str) -> String {
        crate::parse(&format!("{FILE}{text}")).unwrap_err().to_string()
    }

    #[test]
    fn zones_lie_in_regions_and_rules_go_by_their_names() {
        let text = "[[region]]\nname = 'n'\nzones = ['b', 'a']\n[[region]]\nname = 's'\nzones = ['c']\n[locality]\n\
            trips_ms = { 'a b' = 1.5 }\nrules = 'rule x { prefer own zone > own region within 2ms > region \"s\"; }'\n\
            [places]\nmost_away = 0.3\n[[address]]\nname = 'book'\naddress = '203.0.113.10:443'\nannounce = 'one'\n\
            sites = ['s', 'n']\n";
        let proxy = crate::parse(&format!("{FILE}{text}")).unwrap().proxy.unwrap();
        let places = proxy.places.unwrap();
        assert_eq!(places.topology.zone_name(places.own), "a");
        assert_eq!(places.topology.rtt(Zone(0), Zone(1)), Some(Duration::from_micros(1500)));
        assert_eq!(places.bounds.max_capacity_removed, 0.3);
        assert_eq!(places.addresses[0].sites, [Region(1), Region(0)]);
        // Without regions all zones lie in one, in the order of their names, whichever the own one is.
        let alone = crate::parse(&format!("{FILE}[locality]\n")).unwrap().proxy.unwrap().places.unwrap();
        assert_eq!((alone.topology.zone_name(Zone(0)), alone.own), ("a", Zone(0)));
        assert_eq!(alone.rules.all()[0], maplehook_locality::Rule::near_first());
    }

    #[test]
    fn each_fault_has_its_line() {
        let shown = faults(
            "[[region]]\nname = 'n'\nzones = ['a', 'a']\n[[region]]\nname = 'n'\nzones = []\n[locality]\ntrips_ms = { 'a' = 1 }\n\
             rules = 'rule x { prefer own zone; never zone \"luxor\"; }'\n[places]\nmost_away = 2.0\nmost = 1\n\
             [[address]]\nname = 'a b'\naddress = 'here'\nannounce = 'all'\nkeep_at_least = 9\nsites = ['x']\n\
             withdraw_after_ms = 1\n",
        );
        for part in [
            "line 1: region: zone \"c\" lies in no [[region]]",
            "line 14: region[1].zones: \"a\" is empty, or stands twice",
            "line 16: region[2].name: \"n\" is empty, or the name of another",
            "line 17: region[2].zones: it needs zones",
            "line 19: locality.trips_ms: \"a\" does not name two zones",
            "line 20: locality.rules: line 1, column ",
            "line 22: places.most_away: it has to be 0 to 1",
            "line 23: places.most: no such key",
            "line 25: address[1].name: it needs a name of its own",
            "line 26: address[1].address: an IP address and a port are needed",
            "line 27: address[1].announce: \"all\" is neither",
            "line 28: address[1].keep_at_least: it has to be 1 to 1",
            "line 29: address[1].sites: there is no region \"x\"",
            "line 30: address[1].withdraw_after_ms: it has to be 100 to 3,600,000 ms",
        ] {
            assert!(shown.contains(part), "{part:?} is not in\n{shown}");
        }
        let idle = faults("[[region]]\nname = 'n'\nzones = ['a', 'c']\n");
        assert!(idle.contains("region: of no use without [locality]"), "{idle}");
        let history = faults("[operator]\naddress = '127.0.0.1:0'\nhistory = 'h'\n");
        assert!(history.contains("operator.history: of no use without [locality]"), "{history}");
    }
}
