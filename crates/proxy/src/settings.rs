//! Commands for configuration versions: `maplehook settings ...`.

use crate::command::inline_rules_file;
use crate::request_signing::sign_request;
use crate::settings_api::{PATH, SettingsStatus, VersionReply};
use crate::tier::{AdminResponse, get_body, send_request};
use hyper::StatusCode;
use maplehook_config::Operator;
use maplehook_consensus::messages::AdminRequest;
use maplehook_transport::SecretKey;
use maplehook_versions::Version;
use std::error::Error;
use std::fmt::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

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

/// Text and exit code of a command.
pub struct Outcome {
    /// Text for the standard output.
    pub text: String,
    /// 0: done. 2: not in force everywhere, or no lease. 3: rejected.
    pub code: u8,
}

impl Settings {
    /// Runs the command. Returns an error, for exit code 1, if no response was received.
    pub fn run(&self, operator: &Operator) -> Result<Outcome, Box<dyn Error>> {
        let address = self
            .address
            .or(operator.control)
            .ok_or("no balancer given; use --address IP:PORT or --config FILE")?;
        match &self.action {
            Action::Status => {
                let (text, status) = self.status(address)?;
                let is_settled =
                    !status.lacks_lease && status.members.iter().all(|member| !member.is_pending);
                let text = if self.json { text } else { status.table() };
                Ok(Outcome { text, code: if is_settled { 0 } else { 2 } })
            }
            Action::History => {
                let text = fetch(address, &format!("{PATH}?history"))?;
                let versions: Vec<Version> = serde_json::from_str(&text)?;
                let history_line = |version: &Version| {
                    let undone = if version.is_undone { "  undone" } else { "" };
                    format!(
                        "{:>6}  {}  by {} at {} ms{undone}\n",
                        version.number,
                        &version.digest[..12.min(version.digest.len())],
                        version.proposed_by,
                        version.proposed_at_unix_ms
                    )
                };
                let table = versions.iter().map(history_line).collect();
                Ok(Outcome { text: if self.json { text } else { table }, code: 0 })
            }
            Action::Show { number } => {
                let (version, json) = fetch_version(address, *number)?;
                Ok(Outcome { text: if self.json { json } else { version.text }, code: 0 })
            }
            Action::Diff { a, b } => {
                let (a, b) = (fetch_version(address, *a)?.0, fetch_version(address, *b)?.0);
                Ok(Outcome { text: unified_diff(&a.text, &b.text), code: 0 })
            }
            Action::Undo => self.submit(address, operator, &AdminRequest::Undo),
            Action::ReplaceVoter { old, new } => {
                let request = AdminRequest::Replace { old: old.clone(), new: new.clone() };
                self.submit(address, operator, &request)
            }
            Action::Forget { name } => {
                self.submit(address, operator, &AdminRequest::Forget { name: name.clone() })
            }
            Action::Propose { file, expect, wait } => self.propose(address, operator, file, *expect, *wait),
        }
    }

    fn status(&self, address: SocketAddr) -> Result<(String, SettingsStatus), Box<dyn Error>> {
        let text = fetch(address, PATH)?;
        let status = serde_json::from_str(&text)?;
        Ok((text, status))
    }

    fn submit(
        &self,
        address: SocketAddr,
        operator: &Operator,
        request: &AdminRequest,
    ) -> Result<Outcome, Box<dyn Error>> {
        let default_file = operator.tier.as_ref().map(|tier| tier.secret_file.clone());
        let file = self
            .secret_file
            .clone()
            .or(default_file)
            .ok_or("no secret given; use --secret-file FILE or --config FILE")?;
        let secret = SecretKey::read(&file)?;
        let body = serde_json::to_vec(request)?;
        let mac = sign_request(&secret, &body);
        let AdminResponse { status, body } = send_request(address, PATH, Some((&mac, body)))?;
        let text = String::from_utf8_lossy(&body).into_owned();
        match status {
            StatusCode::OK if self.json => Ok(Outcome { text, code: 0 }),
            StatusCode::OK => {
                let done: VersionReply = serde_json::from_str(&text)?;
                Ok(Outcome { text: format!("version {}\n", done.version), code: 0 })
            }
            StatusCode::CONFLICT => Ok(Outcome { text: format!("rejected: {text}"), code: 3 }),
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
        let text = inline_rules_file(file, text)?;
        // Faults are reported with their lines before anything is sent.
        let (shared, excluded) = match maplehook_config::shared(&text) {
            Ok(shared) => shared,
            Err(faults) => return Ok(Outcome { text: format!("{}:\n{faults}\n", file.display()), code: 3 }),
        };
        let mut output = String::new();
        if !self.json {
            // Writing to a string can't fail.
            let _ = writeln!(
                output,
                "left out of the proposal, configured per balancer: {}",
                excluded.join(", ")
            );
            let (_, status) = self.status(address)?;
            if status.in_force > 0 {
                // The leader can be unreachable for a moment. The difference is only displayed, so the
                // proposal is sent anyway.
                output += &match fetch_version(address, status.in_force) {
                    Ok((active, _)) => unified_diff(&active.text, &shared),
                    Err(e) => format!("the difference is not available: {e}\n"),
                };
            }
        }
        let started_at = Instant::now();
        let max_wait = Duration::from_secs(wait.unwrap_or(0));
        let request = AdminRequest::Propose { text: shared, expected: expect };
        // Errors are retried: a repeated proposal of the same text results in the same version.
        let reply = loop {
            match self.submit(address, operator, &request) {
                Err(_) if wait.is_some() && started_at.elapsed() < max_wait => {
                    std::thread::sleep(Duration::from_millis(200))
                }
                outcome => break outcome?,
            }
        };
        if reply.code != 0 {
            return Ok(Outcome { text: output + &reply.text, code: reply.code });
        }
        let Some(_) = wait else { return Ok(Outcome { text: output + &reply.text, code: 0 }) };
        let number = reply
            .text
            .trim()
            .trim_start_matches("version ")
            .parse()
            .or_else(|_| serde_json::from_str::<VersionReply>(&reply.text).map(|done| done.version))?;
        loop {
            // A failed status request is repeated: the balancer can be unreachable for a moment.
            let status = self.status(address).ok();
            if status.as_ref().is_some_and(|(_, status)| status.is_in_force_everywhere(number)) {
                let text = if self.json {
                    reply.text
                } else {
                    format!("{output}version {number} is in force everywhere\n")
                };
                return Ok(Outcome { text, code: 0 });
            }
            if started_at.elapsed() > max_wait {
                let last_status = status.map_or("no response\n".into(), |(_, status)| status.table());
                return Ok(Outcome {
                    text: format!("{output}version {number} is not yet in force everywhere:\n{last_status}"),
                    code: 2,
                });
            }
            std::thread::sleep(Duration::from_millis(50));
        }
    }
}

fn fetch(address: SocketAddr, path: &str) -> Result<String, Box<dyn Error>> {
    Ok(String::from_utf8_lossy(&get_body(address, path)?).into_owned())
}

fn fetch_version(address: SocketAddr, number: u64) -> Result<(Version, String), Box<dyn Error>> {
    let text = fetch(address, &format!("{PATH}?show={number}"))?;
    let mut versions: Vec<Version> = serde_json::from_str(&text)?;
    Ok((versions.pop().ok_or("the response holds no version")?, text))
}

/// Returns the line-by-line difference of two texts.
fn unified_diff(a: &str, b: &str) -> String {
    let diff = similar::TextDiff::from_lines(a, b);
    diff.unified_diff().context_radius(2).to_string()
}
