//! Forms that leave the process, as an earlier program wrote them: they are read and written as they were.

use maplehook_golden::golden_types;
use maplehook_rollout::command::{Command, Judged, Refused};
use maplehook_rollout::order::{Member, Order};
use maplehook_rollout::plan::Plan;
use maplehook_rollout::state::{Event, Rollout, State};

golden_types! {
    command: Postcard Command;
    judged: Postcard Judged;
    refused: Postcard Refused;
    member: Postcard Member;
    order: Postcard Order;
    plan: Postcard Plan;
    state: Postcard State;
    event: Postcard Event;
    rollout: Postcard Rollout;
}
