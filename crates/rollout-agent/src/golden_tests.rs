//! Serialized forms written by an earlier version must decode and encode without change.

use crate::document::{Content, Document, PastChange, StageRecord};
use crate::messages::{AgentMessage, MemberReport, OperatorRequest, Preview, Reply, RequestedContent};
use crate::status::{MemberStatus, RolloutStatus, StageStatus};
use crate::status_board::{TargetProgram, TargetStatus};
use maplehook_golden::golden_types;

golden_types! {
    own: Json TargetStatus;
    own_program: Json TargetProgram;
    shown: Json RolloutStatus;
    shown_member: Json MemberStatus;
    shown_stage: Json StageStatus;
    past: Json PastChange;
    content: Postcard Content;
    watched: Postcard StageRecord;
    document: Postcard Document;
    what: Json RequestedContent;
    wish: Json OperatorRequest;
    wish_by_position: Postcard OperatorRequest;
    preview: Json Preview;
    reply: Postcard Reply;
    report_of_a_member: Postcard MemberReport;
    message: Postcard AgentMessage;
}
