//! `maplehook supervise`: runs the supervisor that an operator's file configures.

use crate::command;
use maplehook_config::Operator;
use maplehook_supervisor::interface::SupervisorSettings;
use maplehook_supervisor::saved_state::ProgramDigest;
use maplehook_supervisor::supervisor::{self, SupervisorConfig, TrialRequest};
use std::error::Error;
use std::path::Path;
use std::time::Duration;

/// Time that is added to the longer of drain and class deadline to get the default time from SIGTERM to
/// SIGKILL.
const GRACE_MARGIN: Duration = Duration::from_secs(5);
/// Largest accept backlog that a file can configure.
const MAX_BACKLOG: i32 = 65_535;

fn supervisor_config(operator: &Operator, file: &Path) -> Result<SupervisorConfig, Box<dyn Error>> {
    let missing = || "the file has no [supervise] section with programs, state and program";
    let supervise = operator.supervise.as_ref().ok_or_else(missing)?;
    let proxy =
        operator.proxy.as_ref().ok_or("the file has no listen.address, [[class]] and [[upstream]]")?;
    let max_class_deadline =
        proxy.settings.classes.iter().map(|class| class.deadline).max().unwrap_or_default();
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
            termination_grace: supervise.grace.unwrap_or(max_class_deadline.max(proxy.drain) + GRACE_MARGIN),
            initial_backoff: supervise.backoff,
            max_backoff: supervise.backoff_most,
            max_crashes: supervise.crashes,
            stable_after: supervise.good,
            max_client_wait: max_class_deadline,
            lost_contact_after: supervise.cut_off,
        },
    })
}

/// Runs the supervisor until SIGTERM.
pub fn run(file: &Path) -> Result<(), Box<dyn Error>> {
    let with_path = |e: Box<dyn Error>| format!("{}: {e}", file.display());
    let load =
        || supervisor_config(&command::load_operator(Some(file))?, file).map_err(|e| with_path(e).into());
    let program = || load().map(|config| config.program).map_err(|e: Box<dyn Error>| e.to_string());
    Ok(supervisor::run(&load()?, program)?)
}
