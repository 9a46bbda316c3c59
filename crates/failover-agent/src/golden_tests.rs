//! Serialized forms written by an earlier version must decode and encode without change.

use crate::messages::{AgentMessage, AgreedState, OperatorRequest, Reply};
use crate::status::{FailoverStatus, RowStatus, RttStatus, ShareStatus, ZoneStatus};
use crate::status_board::{AddressStatus, Announcement, PastPlan, SiteStatus};
use maplehook_golden::{assert_text, golden_types, hex, samples};

golden_types! {
    announced: Json Announcement;
    past: Json PastPlan;
    shown_address: Json AddressStatus;
    shown_site: Json SiteStatus;
    shown: Json FailoverStatus;
    shown_place: Json ZoneStatus;
    shown_row: Json RowStatus;
    shown_share: Json ShareStatus;
    shown_trip: Json RttStatus;
    agreed: Postcard AgreedState;
    wish: Json OperatorRequest;
    wish_by_position: Postcard OperatorRequest;
    reply: Postcard Reply;
    message: Postcard AgentMessage;
}

#[test]
fn agreed_state_encoding_is_unchanged() {
    let documents: Vec<AgreedState> = samples(maplehook_golden::TEXTS);
    let lines: String = documents.iter().map(|document| hex(&document.encode()) + "\n").collect();
    assert_text("agreed-encoded.txt", &lines);
}
