//! The command line of changes in stages: `maplehook rollout ...`.

use crate::command::with_rules;
use crate::rollout::PATH;
use crate::settings::Outcome;
use crate::tier::ask;
use crate::whom::Whom;
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

/// Between two looks with `--watch`.
const LOOK: Duration = Duration::from_secs(1);

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
    whom: Whom,
    #[command(subcommand)]
    action: Action,
}

impl Rollout {
    /// Does it. An error is the exit code 1: there was no answer.
    pub fn run(&self, operator: &Operator) -> Result<Outcome, Box<dyn Error>> {
        let address = self.whom.address(operator)?;
        let read = |query: &str| -> Result<String, Box<dyn Error>> {
            Ok(String::from_utf8_lossy(&ask(address, &format!("{PATH}{query}"))?).into_owned())
        };
        match &self.action {
            Action::Plan { file } => match of_file(file)? {
                Ok((plan, what)) => {
                    let ended =
                        self.whom.wish(operator, PATH, &OperatorRequest::Plan { plan, content: what })?;
                    if ended.code != 0 || self.whom.json {
                        return Ok(ended);
                    }
                    let preview: Preview = serde_json::from_str(&ended.text)?;
                    Ok(Outcome { text: preview.table(), code: 0 })
                }
                Err(faults) => Ok(Outcome { text: faults, code: 3 }),
            },
            Action::Start { file } => match of_file(file)? {
                Ok((plan, what)) => self.change(operator, &OperatorRequest::Start { plan, content: what }),
                Err(faults) => Ok(Outcome { text: faults, code: 3 }),
            },
            Action::Hold => self.change(operator, &OperatorRequest::Hold),
            Action::Go => self.change(operator, &OperatorRequest::Go),
            Action::Undo => self.change(operator, &OperatorRequest::Undo),
            Action::Status { watch } => loop {
                let text = read("")?;
                let shown: RolloutStatus = serde_json::from_str(&text)?;
                let text = if self.whom.json { text } else { table(&shown) };
                if !watch {
                    let fine = !shown.is_active && matches!(&shown.state[..], "none" | "done");
                    return Ok(Outcome { text, code: if fine { 0 } else { 2 } });
                }
                print!("{text}");
                std::thread::sleep(LOOK);
            },
            Action::History => {
                let text = read("?history")?;
                let past: Vec<PastChange> = serde_json::from_str(&text)?;
                let row = |past: &PastChange| {
                    format!(
                        "{:>6}  at {} ms by {}  {}: {}\n",
                        past.number, past.started_at_ms, past.by, past.content, past.outcome
                    )
                };
                let table = past.iter().map(row).collect();
                Ok(Outcome { text: if self.whom.json { text } else { table }, code: 0 })
            }
        }
    }

    fn change(&self, operator: &Operator, wish: &OperatorRequest) -> Result<Outcome, Box<dyn Error>> {
        let ended = self.whom.wish(operator, PATH, wish)?;
        if ended.code != 0 || self.whom.json {
            return Ok(ended);
        }
        let done: serde_json::Value = serde_json::from_str(&ended.text)?;
        Ok(Outcome { text: format!("change {}: maplehook rollout status\n", done["number"]), code: 0 })
    }
}

/// A plan's text and what it changes, which lies beside it; or what is wrong with either, with its lines.
fn of_file(path: &Path) -> Result<Result<(String, RequestedContent), String>, Box<dyn Error>> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    let plan = match maplehook_rollout::plan::parse(&text) {
        Ok(plan) => plan,
        Err(faults) => return Ok(Err(format!("{}:\n{faults}\n", path.display()))),
    };
    let beside = |file: &Path| path.parent().unwrap_or(Path::new("")).join(file);
    let what = match &plan.change {
        Change::Settings(file) => {
            let file = beside(file);
            let whole = std::fs::read_to_string(&file).map_err(|e| format!("{}: {e}", file.display()))?;
            match maplehook_config::shared(&with_rules(&file, whole)?) {
                Ok((text, _)) => RequestedContent::Settings { text },
                Err(faults) => return Ok(Err(format!("{}:\n{faults}\n", file.display()))),
            }
        }
        Change::Program(file) => {
            let file = std::path::absolute(beside(file))?;
            let bytes = std::fs::read(&file).map_err(|e| format!("{}: {e}", file.display()))?;
            let digest =
                Sha256::digest(&bytes).iter().fold(String::new(), |hex, byte| hex + &format!("{byte:02x}"));
            RequestedContent::Program { path: file.display().to_string(), digest }
        }
    };
    Ok(Ok((text, what)))
}

fn table(shown: &RolloutStatus) -> String {
    if shown.number == 0 {
        return format!("{}\n", shown.state_description);
    }
    let mut text = format!(
        "change {} ({}), begun at {} at {} ms: {}; leader {}\n",
        shown.number,
        shown.content,
        shown.by,
        shown.at_ms,
        shown.state_description,
        shown.leader.as_deref().unwrap_or("unknown")
    );
    for (n, stage) in shown.stages.iter().enumerate() {
        let who: Vec<String> =
            stage.members.iter().map(|who| format!("{} ({})", who.name, who.side)).collect();
        let when = match (stage.since_ms, stage.until_ms) {
            (None, _) => "has not begun".into(),
            (Some(since), None) => format!("since {since} ms"),
            (Some(since), Some(until)) => format!("from {since} to {until} ms: {}", stage.verdict),
        };
        // Writing to a string can't fail.
        let _ = writeln!(text, "stage {}: {}; {when}", n + 1, who.join(", "));
        for line in &stage.evidence {
            let _ = writeln!(text, "    {line}");
        }
    }
    if let Some(version) = shown.version {
        let _ = writeln!(text, "the settings are version {version}");
    }
    for wait in &shown.waiting_for {
        let _ = writeln!(text, "waits for: {wait}");
    }
    for event in &shown.events {
        let _ = writeln!(text, "  {event}");
    }
    text
}
