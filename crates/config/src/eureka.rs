//! A Eureka registry that upstreams are read from, and the balancer's own registration there.

use crate::reader::Reader;
use crate::values::{header_free, ms, ranged};
use maplehook_admission::address::Network;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// What is read of a registry.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Wanted {
    /// All of it.
    #[default]
    All,
    /// One application.
    App(String),
    /// One VIP.
    Vip(String),
}

/// A registry.
#[derive(Clone, Debug, PartialEq)]
pub struct Eureka {
    /// Its replicas.
    pub servers: Vec<SocketAddr>,
    /// The base path.
    pub path: String,
    /// What is read.
    pub wanted: Wanted,
    /// XML instead of JSON.
    pub xml: bool,
    /// Between two polls.
    pub poll: Duration,
    /// The longest wait for an answer.
    pub timeout: Duration,
    /// The user, and the file that holds the password.
    pub auth: Option<(String, PathBuf)>,
    /// Where upstreams may be.
    pub reach: Vec<Network>,
    /// Names of the metadata that say zone, kind, cell, weight and start.
    pub labels: [String; 5],
    /// Whether the secure port is taken.
    pub secure: bool,
    /// Share of the list that may be missing at once without being held.
    pub loss: f64,
    /// Lists that have to agree.
    pub confirm: u32,
    /// How long a loss is held.
    pub hold: Duration,
    /// The same where upstreams answer.
    pub hold_answering: Duration,
    /// The balancer's own registration.
    pub registration: Option<Registration>,
}

/// The balancer's own registration.
#[derive(Clone, Debug, PartialEq)]
pub struct Registration {
    /// The application.
    pub app: String,
    /// The instance.
    pub id: String,
    /// Where clients connect, if not at the listener's address.
    pub address: Option<SocketAddr>,
    /// The VIP.
    pub vip: String,
    /// Between two renewals.
    pub renew: Duration,
}

/// Reads both sections.
pub fn read(reader: &mut Reader<'_>) -> Option<Eureka> {
    let registration = registration(reader);
    let Some(mut taken) = reader.take_section("eureka") else {
        if registration.is_some() {
            reader.fault_at(1, "registration".into(), "of no use without [eureka]".into());
        }
        return None;
    };
    let table = &mut taken;
    let servers: Vec<String> = reader.take_in(table, "servers").unwrap_or_default();
    let mut addresses = Vec::new();
    for text in &servers {
        match text.parse() {
            Ok(address) => addresses.push(address),
            Err(_) => reader.fault_in(table, "servers", format!("{text:?} is no IP address with a port")),
        }
    }
    if servers.is_empty() {
        reader.fault_in(table, "servers", "at least one replica is needed".into());
    }
    let path: String = reader.take_in(table, "path").unwrap_or_else(|| "/eureka".into());
    if !path.starts_with('/') || path.ends_with('/') || !path.bytes().all(|b| b.is_ascii_graphic()) {
        reader.fault_in(table, "path", "a base path, as \"/eureka\" or \"/eureka/v2\"".into());
    }
    let (app, vip) = (reader.take_in::<String>(table, "app"), reader.take_in::<String>(table, "vip"));
    let wanted = match (app, vip) {
        (None, None) => Wanted::All,
        (Some(app), None) => Wanted::App(app),
        (None, Some(vip)) => Wanted::Vip(vip),
        (Some(_), Some(_)) => {
            reader.fault_in(table, "vip", "either an app or a vip".into());
            Wanted::All
        }
    };
    let xml = match reader.take_in::<String>(table, "format").as_deref() {
        None | Some("json") => false,
        Some("xml") => true,
        Some(other) => {
            reader.fault_in(table, "format", format!("{other:?} is neither \"json\" nor \"xml\""));
            false
        }
    };
    let (user, file) = (reader.take_in(table, "user"), reader.take_in(table, "password_file"));
    let auth = match (user, file) {
        (Some(user), Some(file)) => Some((user, file)),
        (None, None) => None,
        _ => {
            reader.fault_in(table, "user", "user and password_file go together".into());
            None
        }
    };
    let mut reach = Vec::new();
    for text in reader.take_in::<Vec<String>>(table, "reach").unwrap_or_default() {
        match text.parse() {
            Ok(network) => reach.push(network),
            Err(e) => reader.fault_in(table, "reach", format!("{e}")),
        }
    }
    let labels = ["zone", "kind", "cell", "weight", "boot"].map(|name| {
        let label: Option<String> = reader.take_in(table, &format!("{name}_label"));
        label.unwrap_or_else(|| name.to_owned())
    });
    let poll = ms(reader, table, "poll_ms", Duration::from_millis(200));
    if poll < Duration::from_millis(20) {
        reader.fault_in(table, "poll_ms", "it has to be 20 ms at least".into());
    }
    let timeout = ms(reader, table, "timeout_ms", Duration::from_secs(2));
    let secure = reader.take_in(table, "secure").unwrap_or(false);
    let loss = ranged!(reader, table, "loss_share", 0.0..=1.0, "0 to 1").unwrap_or(0.3);
    let confirm = ranged!(reader, table, "confirm", 1..=1000u32, "1 to 1,000").unwrap_or(3);
    let hold = ms(reader, table, "hold_ms", Duration::from_secs(60));
    let hold_answering = ms(reader, table, "hold_answering_ms", Duration::from_secs(300));
    reader.done(taken);
    Some(Eureka {
        servers: addresses,
        path,
        wanted,
        xml,
        poll,
        timeout,
        auth,
        reach,
        labels,
        secure,
        loss,
        confirm,
        hold,
        hold_answering,
        registration,
    })
}

fn registration(reader: &mut Reader<'_>) -> Option<Registration> {
    let mut taken = reader.take_section("registration")?;
    let table = &mut taken;
    let mut name = |key: &str, or: &str| {
        let name: String = reader.take_in(table, key).unwrap_or_else(|| or.to_owned());
        if !header_free(&name) {
            reader.fault_in(table, key, format!("{name:?}: letters, digits and -._: alone"));
        }
        name
    };
    let (app, id, vip) = (name("app", "MAPLEHOOK"), name("id", "maplehook-1"), name("vip", "maplehook"));
    let text: Option<String> = reader.take_in(table, "address");
    let address = text.as_ref().and_then(|text| text.parse().ok());
    if let (Some(text), None) = (&text, address) {
        reader.fault_in(table, "address", format!("{text:?} is no IP address with a port"));
    }
    let renew = ms(reader, table, "renew_ms", Duration::from_secs(30));
    reader.done(taken);
    Some(Registration { app, id, address, vip, renew })
}
