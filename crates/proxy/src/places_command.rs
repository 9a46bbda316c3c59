//! Commands for localities and shared addresses: `maplehook places ...` and `maplehook addresses ...`.

use crate::admin_target::AdminTarget;
use crate::places::{ADDRESSES_PATH, PLACES_PATH};
use crate::settings::Outcome;
use crate::tier::get_body;
use maplehook_config::Operator;
use maplehook_failover_agent::messages::OperatorRequest;
use maplehook_failover_agent::status::{FailoverStatus, RowStatus};
use maplehook_failover_agent::status_board::{AddressStatus, PastPlan};
use std::error::Error;
use std::fmt::Write;
use std::time::Duration;

/// Interval between status requests with `--watch`.
const WATCH_INTERVAL: Duration = Duration::from_secs(1);

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

fn submit(
    target: &AdminTarget,
    operator: &Operator,
    request: &OperatorRequest,
) -> Result<Outcome, Box<dyn Error>> {
    let outcome = target.send(operator, PLACES_PATH, request)?;
    if outcome.code != 0 || target.json {
        return Ok(outcome);
    }
    Ok(Outcome { text: "done; takes effect within one lease\n".into(), code: 0 })
}

/// Places.
#[derive(clap::Args)]
pub struct Places {
    #[command(flatten)]
    target: AdminTarget,
    #[command(subcommand)]
    action: PlacesAction,
}

impl Places {
    /// Runs the command. Returns an error, for exit code 1, if no response was received.
    pub fn run(&self, operator: &Operator) -> Result<Outcome, Box<dyn Error>> {
        let fetch = |query: &str| -> Result<String, Box<dyn Error>> {
            let path = format!("{PLACES_PATH}{query}");
            Ok(String::from_utf8_lossy(&get_body(self.target.address(operator)?, &path)?).into_owned())
        };
        match &self.action {
            PlacesAction::Status { watch } => loop {
                let text = fetch("")?;
                let shown: FailoverStatus = serde_json::from_str(&text)?;
                let text = if self.target.json { text } else { status_table(&shown) };
                if !watch {
                    let is_serving =
                        |place: &maplehook_failover_agent::status::ZoneStatus| place.state == "serving";
                    let all_serving = shown.uses_shared_plan && shown.zones.iter().all(is_serving);
                    return Ok(Outcome { text, code: if all_serving { 0 } else { 2 } });
                }
                print!("{text}");
                std::thread::sleep(WATCH_INTERVAL);
            },
            PlacesAction::History => {
                let text = fetch("?history")?;
                let past_plans: Vec<PastPlan> = serde_json::from_str(&text)?;
                let row = |past_plan: &PastPlan| {
                    let not_serving: Vec<String> = past_plan
                        .shown
                        .zones
                        .iter()
                        .filter(|p| p.state != "serving")
                        .map(|p| format!("{} {}", p.zone, p.state))
                        .collect();
                    let not_serving = if not_serving.is_empty() {
                        "all zones serve".into()
                    } else {
                        not_serving.join(", ")
                    };
                    format!(
                        "{:>8}  at {} ms  {} rules  {not_serving}\n",
                        past_plan.shown.epoch,
                        past_plan.at_ms,
                        past_plan.shown.plan.len()
                    )
                };
                let table = past_plans.iter().map(row).collect();
                Ok(Outcome { text: if self.target.json { text } else { table }, code: 0 })
            }
            PlacesAction::Explain { epoch } => {
                let text = fetch(&format!("?explain={epoch}"))?;
                let past_plan: PastPlan = serde_json::from_str(&text)?;
                let explanation = format!(
                    "applied by this balancer since {} ms\n{}",
                    past_plan.at_ms,
                    status_table(&past_plan.shown)
                );
                Ok(Outcome { text: if self.target.json { text } else { explanation }, code: 0 })
            }
            PlacesAction::Evacuate { place, lasts, anyway } => {
                let for_ms = lasts.map(|seconds| seconds.saturating_mul(1000));
                submit(
                    &self.target,
                    operator,
                    &OperatorRequest::Evacuate { place: place.clone(), for_ms, anyway: *anyway },
                )
            }
            PlacesAction::Hold => submit(&self.target, operator, &OperatorRequest::Hold),
            PlacesAction::Release { place } => {
                submit(&self.target, operator, &OperatorRequest::Release { place: place.clone() })
            }
        }
    }
}

fn write_rows(text: &mut String, rows: &[RowStatus]) {
    for row in rows {
        let to: Vec<String> =
            row.shares.iter().map(|share| format!("{} {:.1} %", share.zone, 100.0 * share.share)).collect();
        let total: f64 = row.shares.iter().map(|share| share.share).sum();
        let rejected =
            if total < 0.9995 { format!(", {:.1} % rejected", 100.0 * (1.0 - total)) } else { String::new() };
        // Writing to a string can't fail.
        let _ = writeln!(text, "  {:<20} from {:<16} to {}{rejected}", row.rule, row.from, to.join(", "));
    }
}

fn status_table(shown: &FailoverStatus) -> String {
    let mut text = format!(
        "plan {}, leader {}; zone {} of region {}; basis of forwarding: {}\n",
        shown.epoch,
        shown.leader.as_deref().unwrap_or("unknown"),
        shown.own_zone,
        shown.own_region,
        shown.routing_reason
    );
    if let Some(why) = &shown.shared_cause {
        let _ = writeln!(text, "failover is suspended: {why}");
    }
    if let Some(by) = &shown.held_by {
        let _ = writeln!(text, "the plan is held by {by}");
    }
    for (zones, by, remaining_ms) in &shown.evacuated {
        let remaining = remaining_ms
            .map_or("until released".into(), |remaining_ms| format!("{} s remaining", remaining_ms / 1000));
        let _ = writeln!(text, "{} evacuated by {by}, {remaining}", zones.join(", "));
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
        text += "rules that differ from their first step:\n";
        write_rows(&mut text, &shown.plan);
    }
    if !shown.uses_shared_plan {
        text += "rules that this balancer applies:\n";
        write_rows(&mut text, &shown.active_rows);
    }
    if !shown.members_without_failover.is_empty() {
        let _ = writeln!(
            text,
            "members whose program has no support for localities: {}",
            shown.members_without_failover.join(", ")
        );
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
    target: AdminTarget,
    #[command(subcommand)]
    action: AddressesAction,
}

impl Addresses {
    /// Runs the command. Returns an error, for exit code 1, if no response was received.
    pub fn run(&self, operator: &Operator) -> Result<Outcome, Box<dyn Error>> {
        match &self.action {
            AddressesAction::Status => {
                let text =
                    String::from_utf8_lossy(&get_body(self.target.address(operator)?, ADDRESSES_PATH)?)
                        .into_owned();
                let shown: Vec<AddressStatus> = serde_json::from_str(&text)?;
                let is_announced =
                    |address: &AddressStatus| address.sites.iter().any(|s| s.preference.is_some());
                let all_announced = shown.iter().all(is_announced);
                let text = if self.target.json { text } else { address_table(&shown) };
                Ok(Outcome { text, code: if all_announced { 0 } else { 2 } })
            }
            AddressesAction::Move { name, site, anyway } => {
                let (name, site) = (name.clone(), site.clone());
                submit(&self.target, operator, &OperatorRequest::Move { name, site, anyway: *anyway })
            }
            AddressesAction::Withdraw { name, site, anyway } => {
                let (name, site) = (name.clone(), site.clone());
                submit(&self.target, operator, &OperatorRequest::Withdraw { name, site, anyway: *anyway })
            }
            AddressesAction::Restore { name, site } => {
                let (name, site) = (name.clone(), site.clone());
                submit(&self.target, operator, &OperatorRequest::Restore { name, site })
            }
        }
    }
}

fn address_table(addresses: &[AddressStatus]) -> String {
    let mut text = String::new();
    for address in addresses {
        let kind = format!("{:?}", address.announce).to_lowercase();
        // Writing to a string can't fail.
        let _ = writeln!(
            text,
            "{} ({}), announced by {kind}, epoch {}",
            address.name, address.address, address.epoch
        );
        if let Some(why) = &address.all_stay {
            let _ = writeln!(text, "  no site is withdrawn: {why}");
        }
        if let Some(next) = &address.next {
            let _ =
                writeln!(text, "  moves to {next} when the previous site can no longer announce the address");
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
