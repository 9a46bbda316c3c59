//! The command lines of places, addresses and rules: `maplehook places ...`, `maplehook addresses ...`, `maplehook locality ...`.

use crate::places::{ADDRESSES, PLACES};
use crate::settings::Outcome;
use crate::tier::ask;
use crate::whom::Whom;
use maplehook_config::Operator;
use maplehook_failover_agent::messages::OperatorRequest;
use maplehook_failover_agent::status::{FailoverStatus, RowStatus};
use maplehook_failover_agent::status_board::{AddressStatus, PastPlan};
use std::error::Error;
use std::fmt::Write;
use std::time::Duration;

/// Between two looks with `--watch`.
const LOOK: Duration = Duration::from_secs(1);

/// What to do with places.
#[derive(clap::Subcommand)]
pub enum PlacesAction {
    /// Shows how each zone stands and where requests go. Ends with 0 if all serve and the plan is acted on, 2 if not.
    Status {
        /// Again each second, until it is ended.
        #[arg(long)]
        watch: bool,
    },
    /// Shows the plans that the balancer has acted on.
    History,
    /// Shows what a plan rested on.
    Explain {
        /// Its epoch.
        epoch: u64,
    },
    /// Takes a zone or a region out, if the rest can bear it.
    Evacuate {
        /// Which.
        place: String,
        /// For so many seconds; until it is released if there are none.
        #[arg(long = "for", value_name = "SECONDS")]
        lasts: Option<u64>,
        /// Though the rest could not bear it.
        #[arg(long)]
        anyway: bool,
    },
    /// Keeps the plan as it is, whatever is seen.
    Hold,
    /// Ends a hold, and evacuations: that of a place, or all.
    Release {
        /// Which.
        place: Option<String>,
    },
}

fn wished(whom: &Whom, operator: &Operator, wish: &OperatorRequest) -> Result<Outcome, Box<dyn Error>> {
    let ended = whom.wish(operator, PLACES, wish)?;
    if ended.code != 0 || whom.json {
        return Ok(ended);
    }
    Ok(Outcome { text: "done; it is in force within a lease\n".into(), code: 0 })
}

/// Places.
#[derive(clap::Args)]
pub struct Places {
    #[command(flatten)]
    whom: Whom,
    #[command(subcommand)]
    action: PlacesAction,
}

impl Places {
    /// Does it. An error is the exit code 1: there was no answer.
    pub fn run(&self, operator: &Operator) -> Result<Outcome, Box<dyn Error>> {
        let read = |query: &str| -> Result<String, Box<dyn Error>> {
            let path = format!("{PLACES}{query}");
            Ok(String::from_utf8_lossy(&ask(self.whom.address(operator)?, &path)?).into_owned())
        };
        match &self.action {
            PlacesAction::Status { watch } => loop {
                let text = read("")?;
                let shown: FailoverStatus = serde_json::from_str(&text)?;
                let text = if self.whom.json { text } else { table(&shown) };
                if !watch {
                    let serving =
                        |place: &maplehook_failover_agent::status::ZoneStatus| place.state == "serving";
                    let fine = shown.uses_shared_plan && shown.zones.iter().all(serving);
                    return Ok(Outcome { text, code: if fine { 0 } else { 2 } });
                }
                print!("{text}");
                std::thread::sleep(LOOK);
            },
            PlacesAction::History => {
                let text = read("?history")?;
                let past: Vec<PastPlan> = serde_json::from_str(&text)?;
                let row = |past: &PastPlan| {
                    let odd: Vec<String> = past
                        .shown
                        .zones
                        .iter()
                        .filter(|p| p.state != "serving")
                        .map(|p| format!("{} {}", p.zone, p.state))
                        .collect();
                    let odd = if odd.is_empty() { "all serve".into() } else { odd.join(", ") };
                    format!(
                        "{:>8}  at {} ms  {} rows  {odd}\n",
                        past.shown.epoch,
                        past.at_ms,
                        past.shown.plan.len()
                    )
                };
                let table = past.iter().map(row).collect();
                Ok(Outcome { text: if self.whom.json { text } else { table }, code: 0 })
            }
            PlacesAction::Explain { epoch } => {
                let text = read(&format!("?explain={epoch}"))?;
                let past: PastPlan = serde_json::from_str(&text)?;
                let said = format!("acted on here from {} ms on\n{}", past.at_ms, table(&past.shown));
                Ok(Outcome { text: if self.whom.json { text } else { said }, code: 0 })
            }
            PlacesAction::Evacuate { place, lasts, anyway } => {
                let for_ms = lasts.map(|seconds| seconds.saturating_mul(1000));
                wished(
                    &self.whom,
                    operator,
                    &OperatorRequest::Evacuate { place: place.clone(), for_ms, anyway: *anyway },
                )
            }
            PlacesAction::Hold => wished(&self.whom, operator, &OperatorRequest::Hold),
            PlacesAction::Release { place } => {
                wished(&self.whom, operator, &OperatorRequest::Release { place: place.clone() })
            }
        }
    }
}

fn rows(text: &mut String, rows: &[RowStatus]) {
    for row in rows {
        let to: Vec<String> =
            row.shares.iter().map(|share| format!("{} {:.1} %", share.zone, 100.0 * share.share)).collect();
        let total: f64 = row.shares.iter().map(|share| share.share).sum();
        let refused =
            if total < 0.9995 { format!(", {:.1} % refused", 100.0 * (1.0 - total)) } else { String::new() };
        // Writing to a string can't fail.
        let _ = writeln!(text, "  {:<20} from {:<16} to {}{refused}", row.rule, row.from, to.join(", "));
    }
}

fn table(shown: &FailoverStatus) -> String {
    let mut text = format!(
        "plan {}, leader {}; in zone {} of region {}: acts by {}\n",
        shown.epoch,
        shown.leader.as_deref().unwrap_or("unknown"),
        shown.own_zone,
        shown.own_region,
        shown.routing_reason
    );
    if let Some(why) = &shown.shared_cause {
        let _ = writeln!(text, "nothing moves: {why}");
    }
    if let Some(by) = &shown.held_by {
        let _ = writeln!(text, "the plan is held by {by}");
    }
    for (zones, by, left) in &shown.evacuated {
        let left = left.map_or("until it is released".into(), |left| format!("{} s still", left / 1000));
        let _ = writeln!(text, "{} taken out by {by}, {left}", zones.join(", "));
    }
    let _ = writeln!(
        text,
        "{:<16} {:<12} {:<10} {:>9} {:>7} {:>10} {:>5}  why",
        "zone", "region", "state", "usable", "load", "for", "seen"
    );
    for place in &shown.zones {
        let _ = writeln!(
            text,
            "{:<16} {:<12} {:<10} {:>9.1} {:>6.0}% {:>8.1} s {:>5}  {}",
            place.zone,
            place.region,
            place.state,
            place.usable,
            100.0 * place.load,
            place.since_ms as f64 / 1e3,
            place.observers,
            place.why
        );
    }
    if !shown.rtts.is_empty() {
        text += "round trips between zones:\n";
        for trip in &shown.rtts {
            let by = if trip.stated { "stated" } else { "measured" };
            let _ = writeln!(text, "  {:<16} {:<16} {:>8.1} ms  {by}", trip.a, trip.b, trip.rtt_ms);
        }
    }
    if !shown.plan.is_empty() {
        text += "rows that differ from the first step:\n";
        rows(&mut text, &shown.plan);
    }
    if !shown.uses_shared_plan {
        text += "acts here on:\n";
        rows(&mut text, &shown.active_rows);
    }
    if !shown.members_without_failover.is_empty() {
        let _ = writeln!(text, "programs without places: {}", shown.members_without_failover.join(", "));
    }
    text
}

/// What to do with addresses.
#[derive(clap::Subcommand)]
pub enum AddressesAction {
    /// Shows who announces what. Ends with 0 if each address is announced, 2 if one is not.
    Status,
    /// Hands an address that one site announces over to another.
    Move {
        /// Which.
        name: String,
        /// To which site.
        site: String,
        /// Though the site seems ill.
        #[arg(long)]
        anyway: bool,
    },
    /// Keeps a site from announcing an address.
    Withdraw {
        /// Which.
        name: String,
        /// Where.
        site: String,
        /// Though fewer are left than are to be kept.
        #[arg(long)]
        anyway: bool,
    },
    /// Lets a site announce it again.
    Restore {
        /// Which.
        name: String,
        /// Where.
        site: String,
    },
}

/// Addresses.
#[derive(clap::Args)]
pub struct Addresses {
    #[command(flatten)]
    whom: Whom,
    #[command(subcommand)]
    action: AddressesAction,
}

impl Addresses {
    /// Does it. An error is the exit code 1: there was no answer.
    pub fn run(&self, operator: &Operator) -> Result<Outcome, Box<dyn Error>> {
        match &self.action {
            AddressesAction::Status => {
                let text =
                    String::from_utf8_lossy(&ask(self.whom.address(operator)?, ADDRESSES)?).into_owned();
                let shown: Vec<AddressStatus> = serde_json::from_str(&text)?;
                let announced =
                    |address: &AddressStatus| address.sites.iter().any(|s| s.preference.is_some());
                let fine = shown.iter().all(announced);
                let text = if self.whom.json { text } else { listed(&shown) };
                Ok(Outcome { text, code: if fine { 0 } else { 2 } })
            }
            AddressesAction::Move { name, site, anyway } => {
                let (name, site) = (name.clone(), site.clone());
                wished(&self.whom, operator, &OperatorRequest::Move { name, site, anyway: *anyway })
            }
            AddressesAction::Withdraw { name, site, anyway } => {
                let (name, site) = (name.clone(), site.clone());
                wished(&self.whom, operator, &OperatorRequest::Withdraw { name, site, anyway: *anyway })
            }
            AddressesAction::Restore { name, site } => {
                let (name, site) = (name.clone(), site.clone());
                wished(&self.whom, operator, &OperatorRequest::Restore { name, site })
            }
        }
    }
}

fn listed(addresses: &[AddressStatus]) -> String {
    let mut text = String::new();
    for address in addresses {
        let kind = format!("{:?}", address.announce).to_lowercase();
        // Writing to a string can't fail.
        let _ = writeln!(text, "{} ({}), by {kind}, epoch {}", address.name, address.address, address.epoch);
        if let Some(why) = &address.all_stay {
            let _ = writeln!(text, "  all stay: {why}");
        }
        if let Some(next) = &address.next {
            let _ = writeln!(text, "  handed over to {next}, once the one before can announce no more");
        }
        for site in &address.sites {
            let preference =
                site.preference.map_or("does not announce".into(), |p| format!("preference {p}"));
            let by = site.withdrawn_by.as_ref().map_or(String::new(), |by| format!(", withdrawn by {by}"));
            let _ = writeln!(text, "  {:<20} {preference} ({}{by})", site.site, site.phase);
        }
    }
    text
}
