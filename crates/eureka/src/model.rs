//! What a registry's documents say: instances, the hash by which a list is held against its changes, and what became
//! of each instance.
//!
//! Source: the public description of the REST operations and their documents. Unknown fields are passed over; an
//! instance that can't be read is skipped and counted, and says nothing against the others.

use crate::tree::{Node, TreeError};
use maplehook_endpoints::{Instance, InstanceStatus};
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};

/// The most instances in a document.
const MOST: usize = 100_000;

/// The notation of a document.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Notation {
    /// `application/json`.
    Json,
    /// `application/xml`.
    Xml,
}

impl Notation {
    /// Its media type.
    pub fn media_type(self) -> &'static str {
        match self {
            Self::Json => "application/json",
            Self::Xml => "application/xml",
        }
    }

    /// The one of a media type; what is not XML is tried as JSON.
    pub fn of(media_type: &str) -> Self {
        if media_type.to_ascii_lowercase().contains("xml") { Self::Xml } else { Self::Json }
    }
}

/// What happened to an instance, in a document of changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// It is new.
    Added,
    /// It has changed.
    Modified,
    /// It is no more.
    Deleted,
}

/// An instance as the registry has it.
#[derive(Clone, Debug, PartialEq)]
pub struct Listed {
    /// Its application, in upper case as registries have it.
    pub app: String,
    /// Its VIP names.
    pub vips: Vec<String>,
    /// What membership takes in.
    pub instance: Instance,
    /// The status as the registry counts it in its hash.
    pub status: String,
    /// What happened, in a document of changes.
    pub action: Option<Action>,
    /// The name, where the registry gives one instead of an address.
    pub hostname: Option<String>,
}

/// A document.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Document {
    /// The hash that the list has, or has once these changes are made.
    pub hash: Option<String>,
    /// The version of the changes.
    pub version: Option<String>,
    /// The instances.
    pub instances: Vec<Listed>,
    /// Instances that could not be read.
    pub skipped: usize,
}

/// Which of an instance's metadata say what.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Mapping {
    /// Its zone.
    pub zone: String,
    /// Its kind.
    pub kind: String,
    /// Its cell, a number.
    pub cell: String,
    /// Its weight, a number.
    pub weight: String,
    /// When its process started, Unix time in milliseconds. `lastDirtyTimestamp` is none: a change of status moves it.
    pub boot: String,
    /// Whether the secure port is the one to take, where it is enabled.
    pub secure: bool,
}

impl Default for Mapping {
    fn default() -> Self {
        let [zone, kind, cell, weight, boot] = ["zone", "kind", "cell", "weight", "boot"].map(str::to_owned);
        Self { zone, kind, cell, weight, boot, secure: false }
    }
}

/// Reads a document: of `/apps`, `/apps/delta`, `/apps/{app}`, `/vips/{vip}` or `/instances/{id}`.
pub fn read(text: &[u8], notation: Notation, mapping: &Mapping) -> Result<Document, TreeError> {
    let tree = match notation {
        Notation::Json => Node::from_json(text)?,
        Notation::Xml => Node::from_xml(text)?,
    };
    let mut document = Document::default();
    // A document without any of these is no registry's, and not one of nobody.
    let mut known = false;
    for applications in tree.all("applications") {
        known = true;
        document.hash = applications.text_of("apps__hashcode").map(str::to_owned);
        document.version = applications.text_of("versions__delta").map(str::to_owned);
        applications
            .all("application")
            .for_each(|application| of_application(application, mapping, &mut document));
    }
    for application in tree.all("application") {
        known = true;
        of_application(application, mapping, &mut document);
    }
    for instance in tree.all("instance") {
        known = true;
        of_instance("", instance, mapping, &mut document);
    }
    if !known {
        return Err(TreeError::new("no <applications>, <application> or <instance>"));
    }
    Ok(document)
}

fn of_application(application: &Node, mapping: &Mapping, document: &mut Document) {
    let name = application.text_of("name").unwrap_or_default();
    application.all("instance").for_each(|instance| of_instance(name, instance, mapping, document));
}

fn of_instance(app: &str, node: &Node, mapping: &Mapping, document: &mut Document) {
    match instance(app, node, mapping) {
        Some(listed) if document.instances.len() < MOST => document.instances.push(listed),
        _ => document.skipped += 1,
    }
}

fn instance(app: &str, node: &Node, mapping: &Mapping) -> Option<Listed> {
    let text = |name: &str| node.text_of(name).filter(|text| !text.is_empty());
    let app = text("app").unwrap_or(app).to_uppercase();
    let host = text("hostName");
    let port = |name: &str| {
        let port = node.child(name)?;
        let enabled = port.text_of("@enabled").is_none_or(|word| word.eq_ignore_ascii_case("true"));
        let number = port.text()?.parse::<u16>().ok()?;
        Some((number, enabled))
    };
    let (plain, secure) = (port("port"), port("securePort"));
    let enabled = |port: Option<(u16, bool)>| port.filter(|(_, enabled)| *enabled).map(|(number, _)| number);
    let port = if mapping.secure { enabled(secure).or(enabled(plain)) } else { enabled(plain) };
    let ip = [text("ipAddr"), host].into_iter().flatten().find_map(|text| text.parse::<IpAddr>().ok());
    let address = ip.zip(port).map(|(ip, port)| SocketAddr::new(ip, port));
    // Old servers have no instanceId: the host's name stands for it, and with it the port.
    let key = match text("instanceId") {
        Some(id) => id.to_owned(),
        None => format!("{}:{}:{}", host.or(text("ipAddr"))?, app, port.unwrap_or(0)),
    };
    let status = text("status")?.to_uppercase();
    // A registry that lists an override may not have folded it into the status yet.
    let overridden = text("overriddenstatus").or(text("overriddenStatus")).map(str::to_uppercase);
    let effective = match overridden.as_deref() {
        Some(word @ ("DOWN" | "OUT_OF_SERVICE")) => word,
        _ => status.as_str(),
    };
    let word = match effective {
        "UP" => InstanceStatus::Up,
        "DOWN" => InstanceStatus::Down,
        "OUT_OF_SERVICE" => InstanceStatus::OutOfService,
        "STARTING" => InstanceStatus::Starting,
        _ => InstanceStatus::Unknown,
    };
    let number = |name: &str| text(name).and_then(|n| n.parse::<u64>().ok()).unwrap_or(0);
    let labels: BTreeMap<String, String> = node
        .child("metadata")
        .map(|metadata| metadata.children().iter())
        .into_iter()
        .flatten()
        .filter(|(name, _)| !name.starts_with('@'))
        .filter_map(|(name, value)| Some((name.clone(), value.text()?.to_owned())))
        .collect();
    let weight = labels.get(&mapping.weight).and_then(|w| w.parse::<f64>().ok());
    let boot_ms = labels.get(&mapping.boot).and_then(|b| b.parse().ok()).unwrap_or(0);
    let action = match text("actionType").map(str::to_uppercase).as_deref() {
        Some("ADDED") => Some(Action::Added),
        Some("MODIFIED") => Some(Action::Modified),
        Some("DELETED") => Some(Action::Deleted),
        _ => None,
    };
    let vips = [text("vipAddress"), text("secureVipAddress")].into_iter().flatten();
    Some(Listed {
        app,
        vips: vips.flat_map(|names| names.split(',')).map(|name| name.trim().to_owned()).collect(),
        hostname: host.filter(|_| ip.is_none()).map(str::to_owned),
        instance: Instance {
            address,
            version: number("lastUpdatedTimestamp").max(number("lastDirtyTimestamp")),
            boot_ms,
            weight: weight.filter(|w| w.is_finite() && *w > 0.0).unwrap_or(1.0),
            labels,
            ..Instance::new(key, word)
        },
        status,
        action,
    })
}

/// The hash of a list, as registries make it: how many have each status, in the order of its name.
pub fn hash<'a>(statuses: impl IntoIterator<Item = &'a str>) -> String {
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for status in statuses {
        *counts.entry(status).or_default() += 1;
    }
    counts.iter().map(|(status, count)| format!("{status}_{count}_")).collect()
}
