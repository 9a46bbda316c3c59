//! Commands for rollouts: `maplehook rollout ...`.

use crate::admin_target::AdminTarget;
use crate::command::inline_rules_file;
use crate::rollout::PATH;
use crate::settings::Outcome;
use crate::tier::get_body;
use maplehook_config::Operator;
use maplehook_rollout::Change;
use maplehook_rollout_agent::document::PastChange;
use maplehook_rollout_agent::messages::{OperatorRequest, Preview, RequestedContent};
use maplehook_rollout_agent::status::RolloutStatus;
use sha2::{Digest, Sha256};
use std::error::Error;
use std::fmt::Write;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Interval between status requests with `--watch`.
const WATCH_INTERVAL: Duration = Duration::from_secs(1);

/// What to do with changes in stages.
#[derive(clap::Subcommand)]
pub enum Action {
    /// Says who would be in which stage and what of it is staged, and begins nothing.
    Plan {
        /// The plan; see docs/ROLLOUT.md.
        file: PathBuf,
    },
    /// Begins it. The same once more while it runs is harmless.
    Start {
        /// The plan.
        file: PathBuf,
    },
    /// Shows how it stands. Ends with 0 if nothing runs and the last one is done, 2 if it runs, waits or was undone.
    Status {
        /// Again each second, until it is ended.
        #[arg(long)]
        watch: bool,
    },
    /// Has it wait at its stage.
    Hold,
    /// Has it go on.
    Go,
    /// Has all go back.
    Undo,
    /// Shows the changes that are remembered.
    History,
}

/// Changes in stages.
#[derive(clap::Args)]
pub struct Rollout {
    #[command(flatten)]
    target: AdminTarget,
    #[command(subcommand)]
    action: Action,
}

impl Rollout {
    /// Runs the command. Returns an error, for exit code 1, if no response was received.
    pub fn run(&self, operator: &Operator) -> Result<Outcome, Box<dyn Error>> {
        let address = self.target.address(operator)?;
        let fetch = |query: &str| -> Result<String, Box<dyn Error>> {
            Ok(String::from_utf8_lossy(&get_body(address, &format!("{PATH}{query}"))?).into_owned())
        };
        match &self.action {
            Action::Plan { file } => match load_plan(file)? {
                Ok((plan, content)) => {
                    let outcome =
                        self.target.send(operator, PATH, &OperatorRequest::Plan { plan, content })?;
                    if outcome.code != 0 || self.target.json {
                        return Ok(outcome);
                    }
                    let preview: Preview = serde_json::from_str(&outcome.text)?;
                    Ok(Outcome { text: preview.table(), code: 0 })
                }
                Err(faults) => Ok(Outcome { text: faults, code: 3 }),
            },
            Action::Start { file } => match load_plan(file)? {
                Ok((plan, content)) => self.submit(operator, &OperatorRequest::Start { plan, content }),
                Err(faults) => Ok(Outcome { text: faults, code: 3 }),
            },
            Action::Hold => self.submit(operator, &OperatorRequest::Hold),
            Action::Go => self.submit(operator, &OperatorRequest::Go),
            Action::Undo => self.submit(operator, &OperatorRequest::Undo),
            Action::Status { watch } => loop {
                let text = fetch("")?;
                let shown: RolloutStatus = serde_json::from_str(&text)?;
                let text = if self.target.json { text } else { status_table(&shown) };
                if !watch {
                    let is_settled = !shown.is_active && matches!(&shown.state[..], "none" | "done");
                    return Ok(Outcome { text, code: if is_settled { 0 } else { 2 } });
                }
                print!("{text}");
                std::thread::sleep(WATCH_INTERVAL);
            },
            Action::History => {
                let text = fetch("?history")?;
                let past_changes: Vec<PastChange> = serde_json::from_str(&text)?;
                let row = |past_change: &PastChange| {
                    format!(
                        "{:>6}  at {} ms by {}  {}: {}\n",
                        past_change.number,
                        past_change.started_at_ms,
                        past_change.by,
                        past_change.content,
                        past_change.outcome
                    )
                };
                let table = past_changes.iter().map(row).collect();
                Ok(Outcome { text: if self.target.json { text } else { table }, code: 0 })
            }
        }
    }

    fn submit(&self, operator: &Operator, request: &OperatorRequest) -> Result<Outcome, Box<dyn Error>> {
        let outcome = self.target.send(operator, PATH, request)?;
        if outcome.code != 0 || self.target.json {
            return Ok(outcome);
        }
        let done: serde_json::Value = serde_json::from_str(&outcome.text)?;
        Ok(Outcome { text: format!("change {}: maplehook rollout status\n", done["number"]), code: 0 })
    }
}

/// Reads a plan and the settings or program that it names, relative to the plan. The inner error lists the
/// faults of both files with their lines.
fn load_plan(path: &Path) -> Result<Result<(String, RequestedContent), String>, Box<dyn Error>> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    let plan = match maplehook_rollout::plan::parse(&text) {
        Ok(plan) => plan,
        Err(faults) => return Ok(Err(format!("{}:\n{faults}\n", path.display()))),
    };
    let resolve = |file: &Path| path.parent().unwrap_or(Path::new("")).join(file);
    let content = match &plan.change {
        Change::Settings(file) => {
            let file = resolve(file);
            let file_text = std::fs::read_to_string(&file).map_err(|e| format!("{}: {e}", file.display()))?;
            match maplehook_config::shared(&inline_rules_file(&file, file_text)?) {
                Ok((text, _)) => RequestedContent::Settings { text },
                Err(faults) => return Ok(Err(format!("{}:\n{faults}\n", file.display()))),
            }
        }
        Change::Program(file) => {
            let file = std::path::absolute(resolve(file))?;
            let bytes = std::fs::read(&file).map_err(|e| format!("{}: {e}", file.display()))?;
            let digest =
                Sha256::digest(&bytes).iter().fold(String::new(), |hex, byte| hex + &format!("{byte:02x}"));
            RequestedContent::Program { path: file.display().to_string(), digest }
        }
    };
    Ok(Ok((text, content)))
}

fn status_table(shown: &RolloutStatus) -> String {
    if shown.number == 0 {
        return format!("{}\n", shown.state_description);
    }
    let mut text = format!(
        "change {} ({}), started through {} at {} ms: {}; leader {}\n",
        shown.number,
        shown.content,
        shown.by,
        shown.at_ms,
        shown.state_description,
        shown.leader.as_deref().unwrap_or("unknown")
    );
    for (index, stage) in shown.stages.iter().enumerate() {
        let members: Vec<String> =
            stage.members.iter().map(|member| format!("{} ({})", member.name, member.side)).collect();
        let progress = match (stage.since_ms, stage.until_ms) {
            (None, _) => "not started".into(),
            (Some(since), None) => format!("since {since} ms"),
            (Some(since), Some(until)) => format!("from {since} to {until} ms: {}", stage.verdict),
        };
        // Writing to a string can't fail.
        let _ = writeln!(text, "stage {}: {}; {progress}", index + 1, members.join(", "));
        for line in &stage.evidence {
            let _ = writeln!(text, "    {line}");
        }
    }
    if let Some(version) = shown.version {
        let _ = writeln!(text, "the settings are version {version}");
    }
    for wait in &shown.waiting_for {
        let _ = writeln!(text, "waiting for: {wait}");
    }
    for event in &shown.events {
        let _ = writeln!(text, "  {event}");
    }
    text
}
