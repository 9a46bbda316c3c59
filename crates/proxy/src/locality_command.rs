//! The command line of rules of nearness: `maplehook locality check | fmt | explain`.

use crate::places::PLACES;
use crate::settings::Outcome;
use crate::tier::ask;
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

fn read(path: &Path) -> Result<String, Box<dyn Error>> {
    Ok(std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?)
}

fn faults(of: &str, faults: &[language::Fault]) -> Outcome {
    let lines = faults.iter().fold(String::new(), |text, fault| text + &format!("{of}: {fault}\n"));
    Outcome { text: lines, code: 3 }
}

impl Locality {
    /// Does it.
    pub fn run(&self, operator: &Operator) -> Result<Outcome, Box<dyn Error>> {
        match &self.action {
            LocalityAction::Fmt { file, write } => {
                let before = read(file)?;
                let text = match language::format(&before) {
                    Ok(text) => text,
                    Err(wrong) => return Ok(faults(&file.display().to_string(), &wrong)),
                };
                if !write {
                    return Ok(Outcome { text, code: 0 });
                }
                if text != before {
                    std::fs::write(file, &text).map_err(|e| format!("{}: {e}", file.display()))?;
                }
                Ok(Outcome { text: String::new(), code: 0 })
            }
            LocalityAction::Check { file } => {
                let (places, proxy) = of(operator)?;
                let Some(file) = file else {
                    return Ok(Outcome { text: "the rules are good\n".into(), code: 0 });
                };
                let tenants = tenants(&proxy.tenants);
                let names = Names { topology: &places.topology, classes: &proxy.classes, tenants: &tenants };
                match language::compile(&read(file)?, &names) {
                    Ok(rules) => {
                        let text = format!("the rules are good: {}\n", rules.all().len());
                        Ok(Outcome { text, code: 0 })
                    }
                    Err(wrong) => Ok(faults(&file.display().to_string(), &wrong)),
                }
            }
            LocalityAction::Explain { class, tenant, zone, state, address } => {
                let (places, proxy) = of(operator)?;
                let tenants = tenants(&proxy.tenants);
                let position = |names: &[String], name: &str, what: &str| {
                    let found = names.iter().position(|known| known == name);
                    found
                        .ok_or_else(|| format!("there is no {what} {name:?}; there are {}", names.join(", ")))
                };
                let class = position(&proxy.classes, class, "class")?;
                let tenant = tenant.as_ref().map_or(Ok(0), |name| position(&tenants, name, "tenant"))?;
                let topology = &places.topology;
                let from = match zone {
                    Some(name) => topology.zone(name).ok_or_else(|| format!("there is no zone {name:?}"))?,
                    None => places.own,
                };
                let shown: Option<FailoverStatus> = match (state, address) {
                    (Some(path), _) => Some(serde_json::from_str(&read(path)?)?),
                    (None, Some(address)) => Some(serde_json::from_slice(&ask(*address, PLACES)?)?),
                    (None, None) => None,
                };
                // What is measured stands in what a balancer shows; what the file states stands before it.
                let mut topology = topology.clone();
                let measured = shown.iter().flat_map(|shown| &shown.rtts).filter(|trip| !trip.stated);
                let ways: Vec<_> = measured
                    .filter_map(|trip| {
                        let took = Duration::try_from_secs_f64(trip.rtt_ms / 1e3).ok()?;
                        Some((topology.zone(&trip.a)?, topology.zone(&trip.b)?, took))
                    })
                    .collect();
                topology.set_measured_rtts(ways);
                let topology = &topology;
                let seen = topology.zones().map(|zone| seen(shown.as_ref(), topology.zone_name(zone)));
                let names = Names { topology, classes: &proxy.classes, tenants: &tenants };
                let explained =
                    explain(&places.rules, &names, class, tenant, from, &seen.collect::<Vec<_>>());
                let mut text = format!("{explained}\n");
                if let Some(shown) = shown.filter(|shown| shown.uses_shared_plan) {
                    let row = shown
                        .plan
                        .iter()
                        .find(|row| row.rule == explained.rule.name && row.from == topology.zone_name(from));
                    let to = row.map(|row| {
                        row.shares.iter().map(|share| format!("{} {:.1} %", share.zone, 100.0 * share.share))
                    });
                    // Writing to a string can't fail.
                    let _ = match to {
                        Some(to) => writeln!(
                            text,
                            "plan {} sends it to {}",
                            shown.epoch,
                            to.collect::<Vec<_>>().join(", ")
                        ),
                        None => writeln!(text, "plan {} leaves it at the first step", shown.epoch),
                    };
                }
                Ok(Outcome { text, code: 0 })
            }
        }
    }
}

fn of(operator: &Operator) -> Result<(&Places, &maplehook_config::Proxy), Box<dyn Error>> {
    let proxy = operator.proxy.as_ref().ok_or("which file? maplehook --config FILE locality ...")?;
    let places = proxy.places.as_ref().ok_or("the file of --config has no [locality]")?;
    Ok((places, proxy))
}

fn tenants(named: &[String]) -> Vec<String> {
    if named.is_empty() { vec![String::new()] } else { named.to_vec() }
}

/// How a zone stands, by what is shown; well and empty where nothing is.
fn seen(shown: Option<&FailoverStatus>, zone: &str) -> LocalityHealth {
    let place = shown.and_then(|shown| shown.zones.iter().find(|place| place.zone == zone));
    let Some(place) = place else { return LocalityHealth { load: 0.0, usable: 1.0 } };
    let usable = match place.state.as_str() {
        "lost" | "evacuated" => 0.0,
        _ => f64::from(u8::from(place.usable > 0.0)),
    };
    LocalityHealth { load: f64::from(place.load), usable }
}
