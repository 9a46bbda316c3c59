//! Commands for locality rules: `maplehook locality check | fmt | explain`.

use crate::places::PLACES_PATH;
use crate::settings::Outcome;
use crate::tier::get_body;
use maplehook_config::{Operator, Places};
use maplehook_failover_agent::status::FailoverStatus;
use maplehook_locality::explain::explain;
use maplehook_locality::health::LocalityHealth;
use maplehook_locality::language::{self, Names};
use std::error::Error;
use std::fmt::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// What to do with rules. Classes, tenants and zones are those of the file of --config.
#[derive(clap::Subcommand)]
pub enum LocalityAction {
    /// Reads a text of rules and names all that is wrong with it.
    Check {
        /// The text; that of the file of --config if it is not named here.
        file: Option<PathBuf>,
    },
    /// Prints a text of rules the one way that it is written.
    Fmt {
        /// The text.
        file: PathBuf,
        /// Into the file, instead of printing it.
        #[arg(long)]
        write: bool,
    },
    /// Says where a request goes, and why each rule and step before was passed over.
    Explain {
        /// Its class.
        #[arg(long)]
        class: String,
        /// Its tenant, where there are some.
        #[arg(long)]
        tenant: Option<String>,
        /// The zone that it comes into; the balancer's own if it is not named.
        #[arg(long)]
        zone: Option<String>,
        /// How zones stand, as `GET /control/places` shows it, from a file. Without it all are well and empty.
        #[arg(long, value_name = "FILE", conflicts_with = "address")]
        state: Option<PathBuf>,
        /// The same, from a balancer's operators' address.
        #[arg(long, value_name = "IP:PORT")]
        address: Option<SocketAddr>,
    },
}

/// Rules of nearness.
#[derive(clap::Args)]
pub struct Locality {
    #[command(subcommand)]
    action: LocalityAction,
}

fn read_file(path: &Path) -> Result<String, Box<dyn Error>> {
    Ok(std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?)
}

fn fault_outcome(file_name: &str, faults: &[language::Fault]) -> Outcome {
    let lines = faults.iter().fold(String::new(), |text, fault| text + &format!("{file_name}: {fault}\n"));
    Outcome { text: lines, code: 3 }
}

impl Locality {
    /// Runs the command.
    pub fn run(&self, operator: &Operator) -> Result<Outcome, Box<dyn Error>> {
        match &self.action {
            LocalityAction::Fmt { file, write } => {
                let original = read_file(file)?;
                let text = match language::format(&original) {
                    Ok(text) => text,
                    Err(faults) => return Ok(fault_outcome(&file.display().to_string(), &faults)),
                };
                if !write {
                    return Ok(Outcome { text, code: 0 });
                }
                if text != original {
                    std::fs::write(file, &text).map_err(|e| format!("{}: {e}", file.display()))?;
                }
                Ok(Outcome { text: String::new(), code: 0 })
            }
            LocalityAction::Check { file } => {
                let (places, proxy) = locality_config(operator)?;
                let Some(file) = file else {
                    return Ok(Outcome { text: "the rules are valid\n".into(), code: 0 });
                };
                let tenants = tenants_or_default(&proxy.tenants);
                let names = Names { topology: &places.topology, classes: &proxy.classes, tenants: &tenants };
                match language::compile(&read_file(file)?, &names) {
                    Ok(rules) => {
                        let text = format!("the rules are valid; number of rules: {}\n", rules.all().len());
                        Ok(Outcome { text, code: 0 })
                    }
                    Err(faults) => Ok(fault_outcome(&file.display().to_string(), &faults)),
                }
            }
            LocalityAction::Explain { class, tenant, zone, state, address } => {
                let (places, proxy) = locality_config(operator)?;
                let tenants = tenants_or_default(&proxy.tenants);
                let index_of = |names: &[String], name: &str, kind: &str| {
                    let index = names.iter().position(|known| known == name);
                    index.ok_or_else(|| format!("unknown {kind} {name:?}; known: {}", names.join(", ")))
                };
                let class = index_of(&proxy.classes, class, "class")?;
                let tenant = tenant.as_ref().map_or(Ok(0), |name| index_of(&tenants, name, "tenant"))?;
                let topology = &places.topology;
                let from = match zone {
                    Some(name) => topology.zone(name).ok_or_else(|| format!("unknown zone {name:?}"))?,
                    None => places.own,
                };
                let status: Option<FailoverStatus> = match (state, address) {
                    (Some(path), _) => Some(serde_json::from_str(&read_file(path)?)?),
                    (None, Some(address)) => Some(serde_json::from_slice(&get_body(*address, PLACES_PATH)?)?),
                    (None, None) => None,
                };
                // The topology already has the configured round-trip times. The status adds measured ones.
                let mut topology = topology.clone();
                let measured = status.iter().flat_map(|status| &status.rtts).filter(|trip| !trip.stated);
                let measured_rtts: Vec<_> = measured
                    .filter_map(|trip| {
                        let rtt = Duration::try_from_secs_f64(trip.rtt_ms / 1e3).ok()?;
                        Some((topology.zone(&trip.a)?, topology.zone(&trip.b)?, rtt))
                    })
                    .collect();
                topology.set_measured_rtts(measured_rtts);
                let topology = &topology;
                let observations =
                    topology.zones().map(|zone| zone_observation(status.as_ref(), topology.zone_name(zone)));
                let names = Names { topology, classes: &proxy.classes, tenants: &tenants };
                let explained =
                    explain(&places.rules, &names, class, tenant, from, &observations.collect::<Vec<_>>());
                let mut text = format!("{explained}\n");
                if let Some(status) = status.filter(|status| status.uses_shared_plan) {
                    let row = status
                        .plan
                        .iter()
                        .find(|row| row.rule == explained.rule.name && row.from == topology.zone_name(from));
                    let shares = row.map(|row| {
                        row.shares.iter().map(|share| format!("{} {:.1} %", share.zone, 100.0 * share.share))
                    });
                    // Writing to a string can't fail.
                    let _ = match shares {
                        Some(shares) => writeln!(
                            text,
                            "plan {} forwards the request to {}",
                            status.epoch,
                            shares.collect::<Vec<_>>().join(", ")
                        ),
                        None => writeln!(text, "plan {} keeps the request at the first step", status.epoch),
                    };
                }
                Ok(Outcome { text, code: 0 })
            }
        }
    }
}

fn locality_config(operator: &Operator) -> Result<(&Places, &maplehook_config::Proxy), Box<dyn Error>> {
    let proxy = operator.proxy.as_ref().ok_or("no file given; use: maplehook --config FILE locality ...")?;
    let places = proxy.places.as_ref().ok_or("the file of --config has no [locality]")?;
    Ok((places, proxy))
}

fn tenants_or_default(names: &[String]) -> Vec<String> {
    if names.is_empty() { vec![String::new()] } else { names.to_vec() }
}

/// Returns the load and health of a zone in a status. Without a status the zone counts as healthy and idle.
fn zone_observation(status: Option<&FailoverStatus>, zone: &str) -> LocalityHealth {
    let locality = status.and_then(|status| status.zones.iter().find(|locality| locality.zone == zone));
    let Some(locality) = locality else { return LocalityHealth { load: 0.0, usable: 1.0 } };
    let usable = match locality.state.as_str() {
        "lost" | "evacuated" => 0.0,
        _ => f64::from(u8::from(locality.usable > 0.0)),
    };
    LocalityHealth { load: f64::from(locality.load), usable }
}
