//! `maplehook supervise`: the parent of a balancer, as its file says.

use crate::command;
use maplehook_config::Operator;
use maplehook_supervisor::interface::SupervisorSettings;
use maplehook_supervisor::saved_state::ProgramDigest;
use maplehook_supervisor::supervisor::{self, SupervisorConfig, TrialRequest};
use std::error::Error;
use std::path::Path;
use std::time::Duration;

/// How much longer than its own drain a process may take.
const GRACE_MARGIN: Duration = Duration::from_secs(5);
/// The longest queue of connections, as the file may have it.
const MAX_BACKLOG: i32 = 65_535;

fn supervisor_config(operator: &Operator, file: &Path) -> Result<SupervisorConfig, Box<dyn Error>> {
    let missing = || "it has no [supervise]: programs, state and program are needed there";
    let supervise = operator.supervise.as_ref().ok_or_else(missing)?;
    let proxy =
        operator.proxy.as_ref().ok_or("it names no listen.address, no [[class]] and no [[upstream]]")?;
    let longest = proxy.settings.classes.iter().map(|class| class.deadline).max().unwrap_or_default();
    let default_trial = || TrialRequest { method: "GET".into(), path: "/".into(), status: None };
    let trial = supervise.trial.clone().map_or_else(default_trial, |trial| TrialRequest {
        method: trial.method,
        path: trial.path,
        status: Some(trial.status),
    });
    Ok(SupervisorConfig {
        listen: proxy.listen,
        backlog: i32::try_from(operator.backlog).unwrap_or(MAX_BACKLOG),
        config: file.to_owned(),
        programs: supervise.programs.clone(),
        state: supervise.state.clone(),
        program: ProgramDigest::try_from(supervise.program.clone())?,
        trial,
        settings: SupervisorSettings {
            ready_timeout: supervise.ready,
            trial_timeout: supervise.trial_time,
            termination_grace: supervise.grace.unwrap_or(longest.max(proxy.drain) + GRACE_MARGIN),
            initial_backoff: supervise.backoff,
            max_backoff: supervise.backoff_most,
            max_crashes: supervise.crashes,
            stable_after: supervise.good,
            lost_contact_after: supervise.cut_off,
        },
    })
}

/// Supervises until SIGTERM.
pub fn run(file: &Path) -> Result<(), Box<dyn Error>> {
    let with_path = |e: Box<dyn Error>| format!("{}: {e}", file.display());
    let read =
        || supervisor_config(&command::load_operator(Some(file))?, file).map_err(|e| with_path(e).into());
    let program = || read().map(|config| config.program).map_err(|e: Box<dyn Error>| e.to_string());
    Ok(supervisor::run(&read()?, program)?)
}
