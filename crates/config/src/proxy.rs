//! What a balancer of one's own serves: its classes, tenants and upstreams, and what passes on the way.

use crate::clients::Clients;
use crate::eureka::Eureka;
use crate::places::{self, Places};
use crate::reader::{Reader, Table};
use crate::values::{ms, ranged};
use http::{HeaderName, HeaderValue};
use maplehook_core::{Settings, Tenant, ZoneId};
use maplehook_http_semantics::{Forwarding, Headers, HostRule, Passage, Route, Rules};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

/// Requests a second that a tenant may have in any case, where nothing is stated.
const ALLOWANCE: f64 = 10_000.0;
/// The most upstreams, classes and tenants.
const MOST: usize = 100_000;
const CLASSES_MOST: usize = 1000;

/// An upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct Upstream {
    /// Its name, by which it is known for good.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: ZoneId,
    /// Its weight: what it can do, in multiples of another.
    pub weight: f64,
    /// Whether it gets nothing new, by the operator's word.
    pub drained: bool,
    /// Requests a second that it can take, where that is stated.
    pub room: Option<f64>,
}

/// What a balancer of one's own serves.
#[derive(Clone, Debug, PartialEq)]
pub struct Proxy {
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Its upstreams.
    pub upstreams: Vec<Upstream>,
    /// Its classes' names, in the order of their ids.
    pub classes: Vec<String>,
    /// Its tenants' names, in the order of their ids.
    pub tenants: Vec<String>,
    /// Which requests are of which class.
    pub routes: Vec<Route>,
    /// How messages of each class pass.
    pub passages: Vec<Passage>,
    /// The headers that are read.
    pub headers: Headers,
    /// What upstreams are told of the way here.
    pub forwarding: Forwarding,
    /// Whether our own answers say so in `X-Maplehook`.
    pub own: bool,
    /// Whether answers and attempts name the version in force in `X-Maplehook-Version`.
    pub version: bool,
    /// The decision module's settings.
    pub settings: Settings,
    /// Bytes that bodies in hand may take together.
    pub bodies: usize,
    /// Descriptors of the process.
    pub sockets: usize,
    /// How long a client may leave an answer unread.
    pub stall: Duration,
    /// How long answers may go on after SIGTERM.
    pub drain: Duration,
    /// The names of the zones, in the order of their ids; the first is the balancer's own, and those of regions that no upstream of
    /// the file lies in come last.
    pub zones: Vec<String>,
    /// Lists of clients.
    pub clients: Clients,
    /// The registry that further upstreams are read from.
    pub eureka: Option<Eureka>,
    /// Zones in regions, and whom its requests go to.
    pub places: Option<Places>,
}

impl Proxy {
    /// The upstreams as lists take them, their zones by these numbers.
    pub fn listed(
        &self,
        zone: impl Fn(ZoneId) -> ZoneId,
    ) -> impl Iterator<Item = (&str, SocketAddr, ZoneId, f64, bool)> {
        self.upstreams.iter().map(move |upstream| {
            let Upstream { name, address, zone: of, weight, drained, .. } = upstream;
            (name.as_str(), *address, zone(*of), *weight, *drained)
        })
    }

    /// How heads are read.
    pub fn rules(&self) -> Rules {
        Rules::new(self.routes.clone(), self.tenants.clone(), self.headers.clone())
    }
}

/// Reads all of it; `None` where the file has none of it. `embedded`: nobody connects to it.
pub fn read(reader: &mut Reader<'_>, embedded: bool) -> Option<Proxy> {
    let mut listen: Option<SocketAddr> = reader.take("listen", "address");
    if embedded && listen.is_none() {
        listen = Some(SocketAddr::from(([127, 0, 0, 1], 0)));
    }
    let own_kind = listen.is_some() || reader.has("upstream") || reader.has("class") || reader.has("tenant");
    if !own_kind {
        for section in ["balancer", "headers", "clients", "eureka", "registration"] {
            if !reader.has(section) {
                continue;
            }
            reader.fault_at(1, section.into(), "of no use without listen.address and [[class]]".into());
        }
    }
    let mut settings = Settings { balancers: 1, has_endpoint_discovery: true, ..Settings::default() };
    let mut bodies = 16 << 20;
    let mut sockets = 1024;
    let (mut stall, mut drain) = (Duration::from_secs(30), Duration::from_secs(30));
    let mut zone = String::new();
    if let Some(mut taken) = reader.take_section("balancer") {
        let table = &mut taken;
        zone = reader.take_in(table, "zone").unwrap_or_default();
        if let Some(n) = ranged!(reader, table, "max_attempts", 1..=20u8, "1 to 20") {
            settings.max_attempts = n;
        }
        settings.can_hedge = reader.take_in(table, "hedging").unwrap_or(false);
        settings.connect_timeout = ms(reader, table, "connect_timeout_ms", Duration::from_secs(1));
        settings.connection_idle_timeout = ms(reader, table, "upstream_idle_ms", Duration::from_secs(5));
        settings.max_retry_after = ms(reader, table, "retry_after_ms", Duration::from_secs(1));
        stall = ms(reader, table, "stall_ms", stall);
        drain = ms(reader, table, "drain_ms", drain);
        if let Some(mb) = ranged!(reader, table, "bodies_mb", 1..=65_536usize, "1 to 65,536 MiB") {
            bodies = mb << 20;
        }
        if let Some(n) = ranged!(reader, table, "sockets", 48..=1usize << 30, "48 to 2^30") {
            sockets = n;
        }
        reader.done(taken);
    }
    let (headers, forwarding, own, version) = headers(reader);
    let (tenants, listed) = tenants(reader);
    settings.tenants = listed;
    let mut zones = vec![zone];
    let upstreams = upstreams(reader, &mut zones);
    let (mut names, mut routes, mut passages) = (Vec::new(), Vec::new(), Vec::new());
    let mut seen = BTreeSet::new();
    let tables = reader.take_tables("class");
    if tables.len() > CLASSES_MOST {
        reader.fault_at(1, "class".into(), format!("{CLASSES_MOST} at most"));
    }
    for (k, mut table) in tables.into_iter().take(CLASSES_MOST).enumerate() {
        names.push(name(reader, &mut table, &mut seen));
        let (class, passage) = crate::class::read(reader, &mut table, k, &mut routes);
        settings.classes.push(class);
        passages.push(passage);
        reader.done(table);
    }
    let clients = crate::clients::read(reader);
    let eureka = crate::eureka::read(reader);
    let known = places::Known { classes: &names, tenants: &tenants, zones: &zones };
    let places = places::read(reader, &known);
    // A registry may list upstreams of any zone of a region: these have numbers from the start on.
    let topology = places.as_ref().map(|places| &places.topology);
    let stated = topology.into_iter().flat_map(|t| t.zones().map(|zone| t.zone_name(zone).to_owned()));
    let more: Vec<String> = stated.filter(|zone| !zones.contains(zone)).collect();
    zones.extend(more);
    if !own_kind {
        return None;
    }
    for (missing, place, what) in [
        (
            listen.is_none(),
            "listen.address",
            "needed beside [[class]] and [[upstream]]: an IP address and a port",
        ),
        (settings.classes.is_empty(), "class", "at least one [[class]] is needed"),
        (
            upstreams.is_empty() && eureka.is_none(),
            "upstream",
            "at least one [[upstream]] is needed, or [eureka]",
        ),
    ] {
        if missing {
            reader.fault_at(1, place.into(), what.into());
        }
    }
    let classes = names;
    Some(Proxy {
        listen: listen?,
        upstreams,
        classes,
        tenants,
        routes,
        passages,
        headers,
        forwarding,
        own,
        version,
        settings,
        bodies,
        sockets,
        stall,
        drain,
        zones,
        clients,
        eureka,
        places,
    })
}

/// A header's name, or a fault.
fn header<'a>(reader: &mut Reader<'a>, table: &mut Table<'a>, key: &str) -> Option<HeaderName> {
    let name: String = reader.take_in(table, key)?;
    let read = name.parse().ok();
    if read.is_none() {
        reader.fault_in(table, key, format!("{name:?} is no header's name"));
    }
    read
}

fn headers(reader: &mut Reader<'_>) -> (Headers, Forwarding, bool, bool) {
    let mut headers = Headers::default();
    let (mut own, mut x_forwarded, mut forwarded) = (true, true, false);
    let mut version = false;
    let (mut via, mut host) = (None, HostRule::Keep);
    if let Some(mut taken) = reader.take_section("headers") {
        let table = &mut taken;
        for (key, place) in [
            ("id", &mut headers.id),
            ("tenant", &mut headers.tenant),
            ("idempotency", &mut headers.idempotency),
            ("time_left", &mut headers.time_left),
        ] {
            if let Some(name) = header(reader, table, key) {
                *place = name;
            }
        }
        headers.key = header(reader, table, "key");
        headers.key_cookie = reader.take_in(table, "key_cookie");
        x_forwarded = reader.take_in(table, "x_forwarded").unwrap_or(true);
        forwarded = reader.take_in(table, "forwarded").unwrap_or(false);
        own = reader.take_in(table, "own").unwrap_or(true);
        version = reader.take_in(table, "version").unwrap_or(false);
        via = reader.take_in::<String>(table, "via").filter(|name| !name.is_empty());
        if via.as_ref().is_some_and(|v| !v.bytes().all(|b| b.is_ascii_alphanumeric() || b"-._".contains(&b)))
        {
            reader.fault_in(table, "via", "a pseudonym of letters, digits, '-', '.' and '_'".into());
        }
        match reader.take_in::<String>(table, "host").as_deref() {
            None | Some("keep") => {}
            Some(name) => match HeaderValue::from_str(name) {
                Ok(value) if !name.is_empty() => host = HostRule::Set(value),
                _ => reader.fault_in(table, "host", "\"keep\", or the host that upstreams hear".into()),
            },
        }
        let read: BTreeSet<&str> = [&headers.id, &headers.tenant, &headers.idempotency, &headers.time_left]
            .map(HeaderName::as_str)
            .into();
        if read.len() < 4 {
            reader.fault_in(table, "id", "id, tenant, idempotency and time_left have to differ".into());
        }
        reader.done(taken);
    }
    let mut forwarding = Forwarding::general(&headers);
    (forwarding.x_forwarded, forwarding.forwarded) = (x_forwarded, forwarded);
    (forwarding.via, forwarding.host) = (via, host);
    (headers, forwarding, own, version)
}

fn tenants(reader: &mut Reader<'_>) -> (Vec<String>, Vec<Tenant>) {
    let (mut names, mut tenants): (Vec<String>, Vec<Tenant>) = Default::default();
    let mut seen = BTreeSet::new();
    for mut table in reader.take_tables("tenant").into_iter().take(MOST) {
        let name = name(reader, &mut table, &mut seen);
        let allowance: Option<f64> = reader.take_in(&mut table, "allowance_per_s");
        if allowance.is_some_and(|a| !(a > 0.0 && a <= 1e9)) {
            reader.fault_in(&table, "allowance_per_s", "it has to be more than 0, up to 10^9".into());
        }
        names.push(name);
        tenants.push(Tenant { allowance_per_s: allowance.unwrap_or(ALLOWANCE) });
        reader.done(table);
    }
    if tenants.is_empty() {
        tenants.push(Tenant { allowance_per_s: ALLOWANCE });
    }
    (names, tenants)
}

/// The name of one of several, which differs from the others'.
fn name<'a>(reader: &mut Reader<'a>, table: &mut Table<'a>, seen: &mut BTreeSet<String>) -> String {
    let name: String = match reader.take_in(table, "name") {
        Some(name) => name,
        None => {
            reader.fault_in(table, "name", "it needs a name".into());
            return String::new();
        }
    };
    if name.is_empty() || !seen.insert(name.clone()) {
        reader.fault_in(table, "name", format!("{name:?} is empty, or the name of another"));
    }
    name
}

fn upstreams(reader: &mut Reader<'_>, zones: &mut Vec<String>) -> Vec<Upstream> {
    let (mut upstreams, mut seen) = (Vec::new(), BTreeSet::new());
    for mut table in reader.take_tables("upstream").into_iter().take(MOST) {
        let name = name(reader, &mut table, &mut seen);
        let text: Option<String> = reader.take_in(&mut table, "address");
        let address = text.as_ref().and_then(|text| text.parse().ok());
        if address.is_none() {
            let shown = text.unwrap_or_default();
            let what = format!("{shown:?} is no IP address with a port; names are not looked up");
            reader.fault_in(&table, "address", what);
        }
        let zone: Option<String> = reader.take_in(&mut table, "zone");
        let weight = ranged!(reader, &mut table, "weight", 0.001..=1000.0, "0.001 to 1,000").unwrap_or(1.0);
        let zone = zone.map_or(Some(0), |zone| {
            let known = zones.iter().position(|z| *z == zone);
            known.or_else(|| {
                zones.push(zone);
                Some(zones.len() - 1)
            })
        });
        let zone = zone.and_then(|n| u8::try_from(n).ok());
        if zone.is_none() {
            reader.fault_in(&table, "zone", "256 zones at most".into());
        }
        let drained = reader.take_in(&mut table, "drained").unwrap_or(false);
        let room = ranged!(reader, &mut table, "room_per_s", 0.1..=1e6f64, "0.1 to 1,000,000");
        if let (Some(address), Some(zone)) = (address, zone) {
            upstreams.push(Upstream { name, address, zone: ZoneId(zone), weight, drained, room });
        }
        reader.done(table);
    }
    upstreams
}
