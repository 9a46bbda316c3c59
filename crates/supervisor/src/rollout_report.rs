//! What a balancer reports of a staged rollout, as its operators' address answers it.

use crate::interface::RolloutStatus;
use crate::saved_state::{ProgramDigest, RolloutTarget};
use serde::Deserialize;

/// The body of the answer.
#[derive(Deserialize)]
struct RolloutReport {
    number: u64,
    side: Side,
    /// Earlier programs do not report it.
    #[serde(rename = "runs", default = "in_progress")]
    is_in_progress: bool,
    program: Option<ReportedProgram>,
}

fn in_progress() -> bool {
    true
}

#[derive(Deserialize, PartialEq)]
#[serde(rename_all = "lowercase")]
enum Side {
    Old,
    New,
}

#[derive(Deserialize)]
struct ReportedProgram {
    digest: ProgramDigest,
}

/// Parses an answer; `None` for any that is none.
pub(crate) fn parse_rollout_status(status: u16, body: &[u8]) -> Option<RolloutStatus> {
    if status == 404 {
        return Some(RolloutStatus::NoRollout);
    }
    let report = (status == 200).then(|| serde_json::from_slice::<RolloutReport>(body).ok()).flatten()?;
    let RolloutReport { number, side, is_in_progress, program } = report;
    // A rollout of anything but the program is none here.
    let target = |program: ReportedProgram| {
        let is_target = side == Side::New;
        RolloutStatus::Target(RolloutTarget { number, program: program.digest, is_target, is_in_progress })
    };
    Some(program.map_or(RolloutStatus::NoRollout, target))
}

#[cfg(test)]
mod tests;
