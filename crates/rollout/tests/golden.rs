//! Forms that leave the process, as an earlier program wrote them: they are read and written as they were.

use maplehook_golden::golden_types;
use maplehook_rollout::command::{Command, RolloutError, StageVerdict};
use maplehook_rollout::order::{Member, StageOrder};
use maplehook_rollout::plan::Plan;
use maplehook_rollout::rollout::Rollout;
use maplehook_rollout::state::{RolloutEvent, RolloutState};

golden_types! {
    command: Postcard Command;
    judged: Postcard StageVerdict;
    refused: Postcard RolloutError;
    member: Postcard Member;
    order: Postcard StageOrder;
    plan: Postcard Plan;
    state: Postcard RolloutState;
    event: Postcard RolloutEvent;
    rollout: Postcard Rollout;
}
