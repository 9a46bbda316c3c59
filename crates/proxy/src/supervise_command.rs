//! `maplehook supervise`: the parent of a balancer, as its file says.

use crate::command;
use maplehook_config::Operator;
use maplehook_supervisor::memory::Digest;
use maplehook_supervisor::shell::{self, Setup, Trial};
use maplehook_supervisor::words::Settings;
use std::error::Error;
use std::path::Path;
use std::time::Duration;

/// How much longer than its own drain a process may take.
const GRACE_MORE: Duration = Duration::from_secs(5);
/// The longest queue of connections, as the file may have it.
const BACKLOG_MOST: i32 = 65_535;

fn setup(operator: &Operator, file: &Path) -> Result<Setup, Box<dyn Error>> {
    let missing = || "it has no [supervise]: programs, state and program are needed there";
    let supervise = operator.supervise.as_ref().ok_or_else(missing)?;
    let proxy =
        operator.proxy.as_ref().ok_or("it names no listen.address, no [[class]] and no [[upstream]]")?;
    let longest = proxy.settings.classes.iter().map(|class| class.deadline).max().unwrap_or_default();
    let any = || Trial { method: "GET".into(), path: "/".into(), status: None };
    let trial = supervise.trial.clone().map_or_else(any, |trial| Trial {
        method: trial.method,
        path: trial.path,
        status: Some(trial.status),
    });
    Ok(Setup {
        listen: proxy.listen,
        backlog: i32::try_from(operator.backlog).unwrap_or(BACKLOG_MOST),
        config: file.to_owned(),
        programs: supervise.programs.clone(),
        state: supervise.state.clone(),
        program: Digest::try_from(supervise.program.clone())?,
        trial,
        settings: Settings {
            ready: supervise.ready,
            trial: supervise.trial_time,
            grace: supervise.grace.unwrap_or(longest.max(proxy.drain) + GRACE_MORE),
            backoff: supervise.backoff,
            backoff_most: supervise.backoff_most,
            crashes: supervise.crashes,
            good: supervise.good,
            cut_off: supervise.cut_off,
        },
    })
}

/// Supervises until SIGTERM.
pub fn run(file: &Path) -> Result<(), Box<dyn Error>> {
    let told = |e: Box<dyn Error>| format!("{}: {e}", file.display());
    let read = || setup(&command::operator(Some(file))?, file).map_err(|e| told(e).into());
    let program = || read().map(|setup| setup.program).map_err(|e: Box<dyn Error>| e.to_string());
    shell::run(&read()?, program)
}
