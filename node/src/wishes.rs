//! Operators' calls on versions: `GET` and `POST /control/settings`, and the command line that makes them.
//!
//! A `POST` bears a MAC made with the tier's secret over its time, a drawn number and its body: good for a minute, once.

use crate::tier::{Answered, ask, ask_with};
use hyper::StatusCode;
use maplehook_agreement::steps::{Step, Version};
use maplehook_config::Operator;
use maplehook_link::{Secret, unix_ms};
use maplehook_quorum::talk::{Op, Overview, Reply};
use maplehook_quorum::{Local, Wishes};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::error::Error;
use std::fmt::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Where it is.
pub const PATH: &str = "/control/settings";
/// The header that bears the MAC.
pub const MAC: &str = "x-maplehook-mac";
/// How old a call may be.
const FRESH_MS: u64 = 60_000;
/// The most calls that are remembered: more in a minute are refused.
const SEEN_MOST: usize = 1024;
/// The longest body.
pub const BODY_MOST: usize = 3 << 20;

fn key(secret: &Secret) -> Secret {
    secret.derive(&[b"maplehook operator 1"])
}

fn parts(time: u64, number: u64) -> ([u8; 8], [u8; 8]) {
    (time.to_be_bytes(), number.to_be_bytes())
}

/// What a call shows: the value of its header.
pub fn signed(secret: &Secret, body: &[u8]) -> String {
    let (time, number) = (unix_ms(), fastrand::u64(..));
    let (at, drawn) = parts(time, number);
    let mac = key(secret).sign(&[&at, &drawn, body]);
    mac.iter().fold(format!("{time}.{number}."), |text, byte| text + &format!("{byte:02x}"))
}

/// Takes operators' wishes, from whoever has the secret.
pub struct Guard {
    key: Secret,
    wishes: Wishes,
    seen: Mutex<VecDeque<(u64, u64)>>,
}

impl Guard {
    /// Under this secret.
    pub fn new(secret: &Secret, wishes: Wishes) -> Self {
        Self { key: key(secret), wishes, seen: Mutex::default() }
    }

    /// Whether a call is from somebody who has it, is fresh, and was not made before.
    fn is_sound(&self, header: &str, body: &[u8]) -> bool {
        let mut words = header.split('.');
        let (Some(Ok(time)), Some(Ok(number)), Some(hex), None) = (
            words.next().map(str::parse::<u64>),
            words.next().map(str::parse::<u64>),
            words.next(),
            words.next(),
        ) else {
            return false;
        };
        let mac: Option<Vec<u8>> = (hex.is_ascii() && hex.len() % 2 == 0)
            .then(|| {
                (0..hex.len() / 2).map(|n| u8::from_str_radix(&hex[2 * n..2 * n + 2], 16).ok()).collect()
            })
            .flatten();
        let (at, drawn) = parts(time, number);
        let now = unix_ms();
        if now.abs_diff(time) > FRESH_MS
            || !mac.is_some_and(|mac| self.key.verifies(&[&at, &drawn, body], &mac))
        {
            return false;
        }
        let mut seen = self.seen.lock().unwrap_or_else(PoisonError::into_inner);
        while seen.front().is_some_and(|(time, _)| now.saturating_sub(*time) > 2 * FRESH_MS) {
            seen.pop_front();
        }
        if seen.contains(&(time, number)) || seen.len() >= SEEN_MOST {
            return false;
        }
        seen.push_back((time, number));
        true
    }

    /// The answer to a `GET`, by its query.
    pub async fn show(&self, query: Option<&str>) -> (StatusCode, String) {
        let op = match query {
            None | Some("") => Op::Status,
            Some("history") => Op::History,
            Some(query) => match query.strip_prefix("show=").and_then(|number| number.parse().ok()) {
                Some(number) => Op::Show { number },
                None => return (StatusCode::BAD_REQUEST, "?history or ?show=NUMBER\n".into()),
            },
        };
        self.ask(op).await
    }

    /// The answer to a `POST`.
    pub async fn wish(&self, header: Option<&str>, body: &[u8]) -> (StatusCode, String) {
        if !header.is_some_and(|header| self.is_sound(header, body)) {
            let why = "not signed with the tier's secret within the last minute, or made before\n";
            return (StatusCode::FORBIDDEN, why.into());
        }
        match serde_json::from_slice(body) {
            Ok(op) => self.ask(op).await,
            Err(e) => (StatusCode::BAD_REQUEST, format!("no wish: {e}\n")),
        }
    }

    async fn ask(&self, op: Op) -> (StatusCode, String) {
        let is_status = op == Op::Status;
        let Some((local, reply)) = self.wishes.ask(op).await else {
            return (StatusCode::SERVICE_UNAVAILABLE, "the agreement's thread does not answer\n".into());
        };
        let (status, shown) = match reply {
            Reply::Overview(overview) => (StatusCode::OK, json(&Shown::of(&local, Some(&overview)))),
            // What is known here is worth something.
            Reply::Unavailable(_) if is_status => (StatusCode::OK, json(&Shown::of(&local, None))),
            Reply::Done(version) => (StatusCode::OK, json(&Done { version })),
            Reply::Versions(versions) => (StatusCode::OK, json(&versions)),
            Reply::Refused(why) => (StatusCode::CONFLICT, why),
            Reply::Unavailable(why) => (StatusCode::SERVICE_UNAVAILABLE, why),
        };
        (status, shown + "\n")
    }
}

fn json(shown: &impl Serialize) -> String {
    // What is shown has nothing that JSON can't say.
    serde_json::to_string(shown).unwrap_or_default()
}

#[derive(Serialize, Deserialize)]
struct Done {
    version: u64,
}

/// A member as it is shown.
#[derive(Debug, Serialize, Deserialize)]
pub struct ShownMember {
    /// Its name.
    pub name: String,
    /// What it acts on: a version, or two between which a change stands; none if that is not known.
    pub version: Option<String>,
    /// The epoch that it acts on.
    pub epoch: Option<u64>,
    /// Whether it is waited for.
    pub waits: bool,
    /// For how long at the most, if not for good.
    pub waits_ms: Option<u64>,
}

/// What `GET /control/settings` shows.
#[derive(Debug, Serialize, Deserialize)]
pub struct Shown {
    /// The version in force here; 0 before the first.
    pub in_force: u64,
    /// `settled`, `strictest` or `unsettled`.
    pub step: String,
    /// The step as a label: `3`, or `3-4`.
    pub label: String,
    /// The epoch that this balancer acts on, and the leader's.
    pub epoch: u64,
    /// The leader's.
    pub epoch_agreed: Option<u64>,
    /// The digest of the version in force.
    pub digest: String,
    /// What is left of the lease.
    pub lease_ms_left: Option<u64>,
    /// Whether there is none.
    pub careful: bool,
    /// The leader.
    pub leader: Option<String>,
    /// What is wrong with this balancer's part, if anything is.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub trouble: Option<String>,
    /// The members, where the leader answers.
    pub members: Vec<ShownMember>,
    /// The voters, where the leader answers.
    #[serde(default)]
    pub voters: Vec<String>,
    /// The step that the leader stands at, as a label.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub agreed: Option<String>,
    /// Before the first version: whose files differ, by digest.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub differ: Vec<(String, Vec<String>)>,
}

fn label(step: Step) -> String {
    match step {
        Step::Unsettled => "0".into(),
        Step::Settled(number) => number.to_string(),
        Step::Strictest { from, to } => format!("{from}-{to}"),
    }
}

impl Shown {
    fn of(local: &Local, overview: Option<&Overview>) -> Self {
        let ms = |time: Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        let members = overview.map(|overview| {
            let member = |stands: &maplehook_quorum::talk::Stands| ShownMember {
                name: stands.name.clone(),
                version: stands.epoch.filter(|epoch| *epoch == overview.epoch).map(|_| label(overview.step)),
                epoch: stands.epoch,
                waits: stands.waits,
                waits_ms: stands.waits_ms,
            };
            overview.members.iter().map(member).collect()
        });
        Self {
            in_force: local.in_force,
            step: local.step.to_string(),
            label: label(local.step),
            epoch: local.epoch,
            epoch_agreed: overview.map(|overview| overview.epoch),
            digest: local.digest.clone(),
            lease_ms_left: local.lease_left.map(ms),
            careful: local.careful,
            leader: local.leader.clone(),
            trouble: local.voter.clone(),
            members: members.unwrap_or_default(),
            voters: overview.map(|overview| overview.voters.clone()).unwrap_or_default(),
            agreed: overview.map(|overview| label(overview.step)),
            differ: overview.map(|overview| overview.differ.clone()).unwrap_or_default(),
        }
    }

    /// Whether this version is in force everywhere.
    fn is_everywhere(&self, version: u64) -> bool {
        self.step == "settled"
            && self.in_force == version
            && !self.members.is_empty()
            && self.members.iter().all(|m| !m.waits)
    }

    fn table(&self) -> String {
        let mut text = format!(
            "version {} is in force here ({}); epoch {}, leader {}\n",
            self.in_force,
            self.step,
            self.epoch,
            self.leader.as_deref().unwrap_or("unknown")
        );
        // Writing to a string can't fail.
        if self.careful {
            let _ = writeln!(text, "no lease: nothing is sent twice, or all is refused, until there is one");
        }
        if let Some(trouble) = &self.trouble {
            let _ = writeln!(text, "{trouble}");
        }
        if !self.voters.is_empty() {
            let _ = writeln!(text, "voters: {}", self.voters.join(", "));
        }
        for member in &self.members {
            let waits = match (member.waits, member.waits_ms) {
                (false, _) => String::new(),
                (true, Some(ms)) => format!("  waited for, {ms} ms at the most"),
                (true, None) => "  waited for, until it answers or is forgotten".into(),
            };
            let version = member.version.clone().unwrap_or_else(|| "-".into());
            let _ = writeln!(text, "{:<32} {version:>8}{waits}", member.name);
        }
        for (digest, names) in &self.differ {
            let _ = writeln!(text, "file {}: {}", &digest[..digest.len().min(12)], names.join(", "));
        }
        if self.members.is_empty() {
            let _ = writeln!(text, "nobody leads, or the leader does not answer");
        }
        text
    }
}

/// What to do with versions.
#[derive(clap::Subcommand)]
pub enum Action {
    /// Proposes the shared sections of an operator's file as the next version.
    Propose {
        /// The file.
        file: PathBuf,
        /// The version that has to be in force.
        #[arg(long)]
        expect: Option<u64>,
        /// Waits until it is in force everywhere, so many seconds at the most.
        #[arg(long, value_name = "SECONDS", num_args = 0..=1, default_missing_value = "30")]
        wait: Option<u64>,
    },
    /// Shows how it stands.
    Status,
    /// Shows the versions that are kept.
    History,
    /// Shows how two versions differ.
    Diff {
        /// One.
        a: u64,
        /// The other.
        b: u64,
    },
    /// Shows a version's text.
    Show {
        /// Its number.
        number: u64,
    },
    /// Takes the change back that is under way; of none, proposes the version before again.
    Undo,
    /// Gives a voter's place to another balancer; to itself, where it has lost its log.
    ReplaceVoter {
        /// Who votes.
        old: String,
        /// Who is to.
        new: String,
    },
    /// Has a member not waited for until it is heard of again (with `when_cut_off = "wait_for_all"`).
    Forget {
        /// Whom.
        name: String,
    },
}

/// Whom to ask, and how.
#[derive(clap::Args)]
pub struct Settings {
    /// The operators' address of a balancer; that of the file of --config if it is not named here.
    #[arg(long, value_name = "IP:PORT", global = true)]
    address: Option<SocketAddr>,
    /// The file with the tier's secret; that of the file of --config if it is not named here.
    #[arg(long, value_name = "FILE", global = true)]
    secret_file: Option<PathBuf>,
    /// As the balancer says it, in JSON.
    #[arg(long, global = true)]
    json: bool,
    #[command(subcommand)]
    action: Action,
}

/// How a command ends: its exit code.
pub struct Outcome {
    /// What there is to say.
    pub text: String,
    /// 0: done. 2: not everywhere, or no lease. 3: refused.
    pub code: u8,
}

impl Settings {
    /// Does it. An error is the exit code 1: there was no answer.
    pub fn run(&self, operator: &Operator) -> Result<Outcome, Box<dyn Error>> {
        let address =
            self.address.or(operator.control).ok_or("which balancer? --address IP:PORT, or --config FILE")?;
        match &self.action {
            Action::Status => {
                let (text, shown) = self.status(address)?;
                let fine = !shown.careful && shown.members.iter().all(|member| !member.waits);
                let text = if self.json { text } else { shown.table() };
                Ok(Outcome { text, code: if fine { 0 } else { 2 } })
            }
            Action::History => {
                let text = read(address, &format!("{PATH}?history"))?;
                let versions: Vec<Version> = serde_json::from_str(&text)?;
                let row = |v: &Version| {
                    let undone = if v.undone { "  undone" } else { "" };
                    format!(
                        "{:>6}  {}  by {} at {} ms{undone}\n",
                        v.number,
                        &v.digest[..12.min(v.digest.len())],
                        v.by,
                        v.at_ms
                    )
                };
                let table = versions.iter().map(row).collect();
                Ok(Outcome { text: if self.json { text } else { table }, code: 0 })
            }
            Action::Show { number } => {
                let (version, json) = version(address, *number)?;
                Ok(Outcome { text: if self.json { json } else { version.text }, code: 0 })
            }
            Action::Diff { a, b } => {
                let (a, b) = (version(address, *a)?.0, version(address, *b)?.0);
                Ok(Outcome { text: differences(&a.text, &b.text), code: 0 })
            }
            Action::Undo => self.wish(address, operator, &Op::Undo),
            Action::ReplaceVoter { old, new } => {
                let op = Op::Replace { old: old.clone(), new: new.clone() };
                self.wish(address, operator, &op)
            }
            Action::Forget { name } => self.wish(address, operator, &Op::Forget { name: name.clone() }),
            Action::Propose { file, expect, wait } => self.propose(address, operator, file, *expect, *wait),
        }
    }

    fn status(&self, address: SocketAddr) -> Result<(String, Shown), Box<dyn Error>> {
        let text = read(address, PATH)?;
        let shown = serde_json::from_str(&text)?;
        Ok((text, shown))
    }

    fn wish(&self, address: SocketAddr, operator: &Operator, op: &Op) -> Result<Outcome, Box<dyn Error>> {
        let of_file = operator.tier.as_ref().map(|tier| tier.secret_file.clone());
        let file = self
            .secret_file
            .clone()
            .or(of_file)
            .ok_or("whose secret? --secret-file FILE, or --config FILE")?;
        let secret = Secret::read(&file)?;
        let body = serde_json::to_vec(op)?;
        let mac = signed(&secret, &body);
        let Answered { status, body } = ask_with(address, PATH, Some((&mac, body)))?;
        let text = String::from_utf8_lossy(&body).into_owned();
        match status {
            StatusCode::OK if self.json => Ok(Outcome { text, code: 0 }),
            StatusCode::OK => {
                let done: Done = serde_json::from_str(&text)?;
                Ok(Outcome { text: format!("version {}\n", done.version), code: 0 })
            }
            StatusCode::CONFLICT => Ok(Outcome { text: format!("refused: {text}"), code: 3 }),
            _ => Err(format!("{address}: {status}: {}", text.trim()).into()),
        }
    }

    fn propose(
        &self,
        address: SocketAddr,
        operator: &Operator,
        file: &Path,
        expect: Option<u64>,
        wait: Option<u64>,
    ) -> Result<Outcome, Box<dyn Error>> {
        let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
        // With its lines, before anybody else sees it.
        let (shared, left) = match maplehook_config::shared(&text) {
            Ok(shared) => shared,
            Err(faults) => return Ok(Outcome { text: format!("{}:\n{faults}\n", file.display()), code: 3 }),
        };
        let mut said = String::new();
        if !self.json {
            // Writing to a string can't fail.
            let _ = writeln!(said, "left out, each balancer's own: {}", left.join(", "));
            let (_, shown) = self.status(address)?;
            if shown.in_force > 0 {
                // Whoever leads may be away for a moment: that keeps nobody from proposing.
                said += &match version(address, shown.in_force) {
                    Ok((before, _)) => differences(&before.text, &shared),
                    Err(e) => format!("the difference can't be shown now: {e}\n"),
                };
            }
        }
        let begun = Instant::now();
        let most = Duration::from_secs(wait.unwrap_or(0));
        let op = Op::Propose { text: shared, expect };
        // What has no answer, or is not possible yet, may be said again: the same text is the same version.
        let proposed = loop {
            match self.wish(address, operator, &op) {
                Err(_) if wait.is_some() && begun.elapsed() < most => {
                    std::thread::sleep(Duration::from_millis(200))
                }
                ended => break ended?,
            }
        };
        if proposed.code != 0 {
            return Ok(Outcome { text: said + &proposed.text, code: proposed.code });
        }
        let Some(_) = wait else { return Ok(Outcome { text: said + &proposed.text, code: 0 }) };
        let number = proposed
            .text
            .trim()
            .trim_start_matches("version ")
            .parse()
            .or_else(|_| serde_json::from_str::<Done>(&proposed.text).map(|done| done.version))?;
        loop {
            // A balancer that does not answer now may do so later.
            let shown = self.status(address).ok();
            if shown.as_ref().is_some_and(|(_, shown)| shown.is_everywhere(number)) {
                let text = if self.json {
                    proposed.text
                } else {
                    format!("{said}version {number} is in force everywhere\n")
                };
                return Ok(Outcome { text, code: 0 });
            }
            if begun.elapsed() > most {
                let stands = shown.map_or("no answer\n".into(), |(_, shown)| shown.table());
                return Ok(Outcome {
                    text: format!("{said}version {number} is not everywhere:\n{stands}"),
                    code: 2,
                });
            }
            std::thread::sleep(Duration::from_millis(50));
        }
    }
}

fn read(address: SocketAddr, path: &str) -> Result<String, Box<dyn Error>> {
    Ok(String::from_utf8_lossy(&ask(address, path)?).into_owned())
}

fn version(address: SocketAddr, number: u64) -> Result<(Version, String), Box<dyn Error>> {
    let text = read(address, &format!("{PATH}?show={number}"))?;
    let mut versions: Vec<Version> = serde_json::from_str(&text)?;
    Ok((versions.pop().ok_or("no version")?, text))
}

/// Line by line.
fn differences(a: &str, b: &str) -> String {
    let diff = similar::TextDiff::from_lines(a, b);
    diff.unified_diff().context_radius(2).to_string()
}
