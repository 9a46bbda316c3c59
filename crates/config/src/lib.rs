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
mod supervise;
mod tier;
mod values;

pub use clients::Clients;
pub use eureka::{Eureka, Registration, Wanted};
pub use places::Places;
pub use proxy::{Proxy, Upstream};
pub use reader::{Fault, Faults};
pub use shared::{rules_file, shared, with_rules, with_shared};
pub use supervise::{Supervise, Trial};
pub use tier::{Agreement, CutOff, Tier};

use maplehook_admission::{AdmissionPolicy, descriptor_budget};
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
        "supervise",
    ],
    lists: &["class", "tenant", "upstream", "region", "address"],
};

/// What an operator sets.
#[derive(Clone, Debug, PartialEq)]
pub struct Operator {
    /// The rules of the door.
    pub admission: AdmissionPolicy,
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
    /// How a parent changes its program; for `maplehook supervise` alone.
    pub supervise: Option<Supervise>,
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
            admission: AdmissionPolicy::default(),
            known_tenants: Vec::new(),
            token: None,
            descriptors: Descriptors { limit: None, upstream_share: 0.45 },
            backlog: 1024,
            proxy: None,
            control: None,
            tier: None,
            history: None,
            supervise: None,
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
        if limit < descriptor_budget::MIN_DESCRIPTORS as u64 || limit > 1 << 30 {
            reader.fault(
                "descriptors",
                "limit",
                format!("it has to be {} to 2^30", descriptor_budget::MIN_DESCRIPTORS),
            );
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
    operator.supervise = supervise::read(&mut reader, served);
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
mod tests;
