//! The operator's file: what an installation sets beside the platform's own configuration.
//!
//! It is TOML, of sections and keys; `deploy/maplehook.toml` shows them all with their defaults. Every value is
//! checked against its range, keys that are not known are refused, and all that is wrong is named at once with
//! its line. A file that is not there means the defaults.
//!
//! ```
//! let operator = maplehook_config::parse("[admission]\nreserve = 0.2\nknown = ['192.0.2.0/24']\n")?;
//! assert_eq!(operator.admission.reserve, 0.2);
//! let faults = maplehook_config::parse("[admission]\nreserve = 2.0\nknwon = 3\n").unwrap_err();
//! assert_eq!(faults.to_string(), "line 2: admission.reserve: it has to be 0 to 0.9\n\
//!     line 3: admission.knwon: no such key");
//! # Ok::<(), maplehook_config::Faults>(())
//! ```

mod class;
mod clients;
mod eureka;
mod places;
mod proxy;
pub mod reader;
mod shared;
mod tier;
mod values;

pub use clients::Clients;
pub use eureka::{Eureka, Registration, Wanted};
pub use places::Places;
pub use proxy::{Proxy, Upstream};
pub use reader::{Fault, Faults};
pub use shared::{shared, with_shared};
pub use tier::{Agreement, CutOff, Tier};

use maplehook_admission::{Policy, budget};
use reader::{Form, Reader};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// What an operator's file is made of.
const FORM: Form = Form {
    sections: &[
        "admission",
        "token",
        "descriptors",
        "listen",
        "balancer",
        "headers",
        "clients",
        "eureka",
        "registration",
        "tier",
        "operator",
        "agreement",
        "locality",
        "places",
    ],
    lists: &["class", "tenant", "upstream", "region", "address"],
};

/// What an operator sets.
#[derive(Clone, Debug, PartialEq)]
pub struct Operator {
    /// The rules of the door.
    pub admission: Policy,
    /// Tenants whose clients are known by the tenant's header.
    pub known_tenants: Vec<String>,
    /// How clients show a signed word, if they may.
    pub token: Option<Token>,
    /// Descriptors of the process.
    pub descriptors: Descriptors,
    /// Connections that may wait to be accepted: 1 to 65,535; the system may allow fewer.
    pub backlog: u32,
    /// What a balancer of one's own serves; on the platform, that is the platform's word.
    pub proxy: Option<Proxy>,
    /// Where operators call a balancer of one's own; on the platform, that is the platform's word.
    pub control: Option<SocketAddr>,
    /// The other balancers.
    pub tier: Option<Tier>,
    /// The file that a history of what it acts on is written to.
    pub history: Option<PathBuf>,
}

/// The signed word of a known client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Token {
    /// The header that bears it.
    pub header: String,
    /// The file that holds the secret, at least 16 bytes after its white space is cut off.
    pub secret_file: PathBuf,
}

/// Descriptors of the process.
#[derive(Clone, Debug, PartialEq)]
pub struct Descriptors {
    /// The limit that the process sets itself at its start; the one it finds if there is none.
    pub limit: Option<u64>,
    /// Share of those for connections that upstreams' may take. 0.1 to 0.9.
    pub upstream_share: f64,
}

impl Default for Operator {
    fn default() -> Self {
        Self {
            admission: Policy::default(),
            known_tenants: Vec::new(),
            token: None,
            descriptors: Descriptors { limit: None, upstream_share: 0.45 },
            backlog: 1024,
            proxy: None,
            control: None,
            tier: None,
            history: None,
        }
    }
}

/// A time as files state it: a whole number of milliseconds.
#[derive(Deserialize)]
struct Ms(u64);

/// Reads the text of an operator's file.
pub fn parse(text: &str) -> Result<Operator, Faults> {
    read(text, false)
}

/// Reads the text of a file for a balancer inside another program: it needs no `listen.address`.
pub fn parse_embedded(text: &str) -> Result<Proxy, Faults> {
    let what = || "no [[class]] and no [[upstream]]".to_owned();
    let nothing = || Faults(vec![Fault { line: 1, place: String::new(), what: what() }]);
    read(text, true)?.proxy.ok_or_else(nothing)
}

fn read(text: &str, embedded: bool) -> Result<Operator, Faults> {
    let mut reader = Reader::new(text, FORM)?;
    let mut operator = Operator::default();
    admission(&mut reader, &mut operator);
    let header: Option<String> = reader.take("token", "header");
    let file: Option<PathBuf> = reader.take("token", "secret_file");
    if let Some(header) = &header
        && (header.is_empty() || !header.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-'))
    {
        reader.fault("token", "header", format!("{header:?} is no header's name"));
    }
    match (header, file) {
        (header, Some(secret_file)) => {
            operator.token =
                Some(Token { header: header.unwrap_or_else(|| "X-Client-Token".into()), secret_file });
        }
        (Some(_), None) => reader.fault("token", "header", "needs secret_file beside it".into()),
        (None, None) => {}
    }
    let descriptors = &mut operator.descriptors;
    if let Some(limit) = reader.take("descriptors", "limit") {
        if limit < budget::LEAST as u64 || limit > 1 << 30 {
            reader.fault("descriptors", "limit", format!("it has to be {} to 2^30", budget::LEAST));
        }
        descriptors.limit = Some(limit);
    }
    if let Some(share) = reader.take("descriptors", "upstream_share") {
        if !(0.1..=0.9).contains(&share) {
            reader.fault("descriptors", "upstream_share", "it has to be 0.1 to 0.9".into());
        }
        descriptors.upstream_share = share;
    }
    if let Some(backlog) = reader.take("listen", "backlog") {
        if !(1..=65_535).contains(&backlog) {
            reader.fault("listen", "backlog", "it has to be 1 to 65535".into());
        }
        operator.backlog = backlog;
    }
    operator.proxy = proxy::read(&mut reader, embedded);
    let served = operator.proxy.is_some();
    let known = operator.proxy.as_ref().is_some_and(|proxy| !proxy.clients.known.is_empty());
    if known && !embedded && operator.admission.reserve == 0.0 {
        reader.fault("clients", "known", "of no use without a reserve: set admission.reserve".into());
    }
    operator.control = reader.take("operator", "address");
    if operator.control.is_some() && !served {
        reader.fault("operator", "address", "of no use without listen.address and [[class]]".into());
    }
    operator.history = reader.take("operator", "history");
    let places = operator.proxy.as_ref().is_some_and(|proxy| proxy.places.is_some());
    if operator.history.is_some() && !places {
        reader.fault("operator", "history", "of no use without [locality]".into());
    }
    operator.tier = tier::read(&mut reader, served);
    reader.end()?;
    Ok(operator)
}

fn admission(reader: &mut Reader<'_>, operator: &mut Operator) {
    const SECTION: &str = "admission";
    let policy = &mut operator.admission;
    macro_rules! take {
        ($($key:ident),*) => {
            $(if let Some(value) = reader.take(SECTION, stringify!($key)) { policy.$key = value; })*
        };
    }
    take!(reserve, known_most, unproven, burst, prefix_v4, prefix_v6, keep_alive, tenant_times, remembered);
    policy.per_address = reader.take(SECTION, "per_address");
    policy.rate = reader.take(SECTION, "rate");
    policy.prefix_times = reader.take(SECTION, "prefix_times");
    policy.known = reader.take_each(SECTION, "known").unwrap_or_default();
    policy.fronts = reader.take_each(SECTION, "fronts").unwrap_or_default();
    for (key, time) in [
        ("retry_after_ms", &mut policy.retry_after),
        ("prompt_ms", &mut policy.prompt),
        ("slow_ms", &mut policy.slow),
        ("spare_ms", &mut policy.spare),
    ] {
        if let Some(Ms(ms)) = reader.take(SECTION, key) {
            *time = Duration::from_millis(ms);
        }
    }
    operator.known_tenants = reader.take(SECTION, "known_tenants").unwrap_or_default();
    for wrong in operator.admission.check() {
        let key = match wrong.field {
            "retry_after" => "retry_after_ms",
            "prompt" => "prompt_ms",
            "slow" => "slow_ms",
            "spare" => "spare_ms",
            field => field,
        };
        reader.fault(SECTION, key, format!("it has to be {}", wrong.range));
    }
    if operator.admission.reserve == 0.0 {
        let idle = !operator.admission.known.is_empty() || !operator.known_tenants.is_empty();
        if idle {
            let key = if operator.known_tenants.is_empty() { "known" } else { "known_tenants" };
            reader.fault(SECTION, key, "of no use without a reserve: set admission.reserve".into());
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards the commented example: each of its keys is one that is read, and none is missing.
    #[test]
    fn the_example_shows_every_key_with_its_default() {
        let example = include_str!("../../deploy/maplehook.toml");
        let operator = parse(example).unwrap();
        assert_eq!(operator, Operator::default());
        let uncommented: String =
            example.lines().map(|line| line.strip_prefix("#: ").unwrap_or(line).to_owned() + "\n").collect();
        let set = parse(&uncommented).unwrap();
        assert!(set.token.is_some() && set.descriptors.limit.is_some());
        let tier = set.tier.unwrap();
        assert!(tier.agreement.is_some());
        assert!(set.control.is_some() && tier.state.is_some() && tier.peers.len() == 2);
        assert_eq!(tier.drains_most, 0.5);
        assert!(set.admission.rate.is_some() && set.admission.per_address.is_some());
        // What it shows of a balancer of one's own are the defaults.
        let shown = set.proxy.unwrap();
        let least = "[listen]\naddress = '127.0.0.1:8080'\n[[tenant]]\nname = 'acme'\n[[upstream]]\nname = 'desk-1'\n\
            address = '127.0.0.1:9001'\n[[class]]\nname = 'book'\npath = '/book/**'\nmethods = ['POST']\neffect = 'keyed'\n\
            [headers]\nkey = 'X-Room'\nkey_cookie = 'user'\n[balancer]\nzone = 'a'\n[eureka]\nservers = ['127.0.0.1:8761']\n\
            app = 'DESKS'\nuser = 'maplehook'\npassword_file = 'deploy/eureka.secret'\nreach = ['127.0.0.0/8']\n\
            [registration]\naddress = '127.0.0.1:8080'\n[clients]\nrefused = ['203.0.113.0/24']\n";
        assert_eq!(shown, parse(least).unwrap().proxy.unwrap());
        for key in [
            "reserve",
            "known_most",
            "unproven",
            "burst",
            "prefix_v4",
            "prefix_v6",
            "keep_alive",
            "tenant_times",
            "remembered",
            "per_address",
            "rate",
            "prefix_times",
            "known",
            "fronts",
            "retry_after_ms",
            "prompt_ms",
            "slow_ms",
            "spare_ms",
            "known_tenants",
            "refused",
            "header",
            "secret_file",
            "limit",
            "upstream_share",
            "backlog",
            "address",
            "zone",
            "max_attempts",
            "hedging",
            "connect_timeout_ms",
            "upstream_idle_ms",
            "stall_ms",
            "drain_ms",
            "bodies_mb",
            "sockets",
            "id",
            "tenant",
            "idempotency",
            "time_left",
            "key",
            "key_cookie",
            "x_forwarded",
            "forwarded",
            "via",
            "host",
            "own",
            "allowance_per_s",
            "weight",
            "path",
            "methods",
            "effect",
            "key_ttl_ms",
            "dedup",
            "deadline_ms",
            "aim_ms",
            "buffer_bytes",
            "body_most_bytes",
            "idle_ms",
            "total_ms",
            "turned_away",
            "marker",
            "overload",
            "error",
            "servers",
            "app",
            "format",
            "poll_ms",
            "timeout_ms",
            "user",
            "password_file",
            "reach",
            "secure",
            "zone_label",
            "loss_share",
            "confirm",
            "hold_ms",
            "hold_answering_ms",
            "vip",
            "renew_ms",
            "listen",
            "secret_file",
            "state",
            "drains_most",
            "drained",
            "voters",
            "contradiction_ms",
            "when_cut_off",
            "version",
        ] {
            assert!(uncommented.lines().any(|line| line.starts_with(&format!("{key} = "))), "{key}");
        }
    }

    #[test]
    fn all_that_is_wrong_is_named_with_its_line() {
        let faults = parse(
            "[admission]\nreserve = 1.0\nunproven = 'much'\nknown = ['192.0.2.0/24', 'lodge']\n\
             spare_ms = -1\nprompt_ms = 9999999\n[token]\nheader = 'a b'\n[descriptors]\nlimit = 3\n\
             upstream_share = 0.95\n[listen]\nbacklog = 0\nport = 1\n[metrics]\nport = 9\n",
        );
        let shown = faults.unwrap_err().to_string();
        let lines: Vec<&str> = shown.lines().collect();
        for (line, part) in lines.iter().zip([
            "line 2: admission.reserve: it has to be 0 to 0.9",
            "line 3: admission.unproven: invalid type: string",
            "line 4: admission.known: \"lodge\" is no network",
            "line 5: admission.spare_ms: invalid value: integer `-1`",
            "line 6: admission.prompt_ms: it has to be an hour at most",
            "line 8: token.header: \"a b\" is no header's name",
            "line 8: token.header: needs secret_file",
            "line 10: descriptors.limit: it has to be",
            "line 11: descriptors.upstream_share: it has to be 0.1 to 0.9",
            "line 13: listen.backlog: it has to be 1 to 65535",
            "line 14: listen.port: no such key",
            "line 15: metrics: no such section; there are admission",
        ]) {
            assert!(line.starts_with(part), "{line:?} is not {part:?}");
        }
        assert_eq!(lines.len(), 12, "{shown}");
        assert_eq!(parse("[admission]\nreserve = \n").unwrap_err().0[0].line, 2);
        assert!(parse("reserve = 1").unwrap_err().to_string().starts_with("line 1"));
        let idle = parse("[admission]\nknown = ['::1']\n").unwrap_err().to_string();
        assert!(idle.contains("of no use without a reserve"), "{idle}");
    }
}
