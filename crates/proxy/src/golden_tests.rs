//! Forms that leave the process, as an earlier program wrote them: they are read and written as they were.

use crate::client::ConnectionState;
use crate::tier::{Shown as Tier, ShownLink, ShownMember as TierMember};
use crate::wishes::{Done, Shown, ShownMember};
use maplehook_admission::RejectionReason;
use maplehook_golden::{Format, assert_type};

#[test]
fn operators_answers_on_the_tier_are_as_they_were() {
    assert_type::<Tier>(Format::Json, "tier.Json", maplehook_golden::TEXTS);
    assert_type::<TierMember>(Format::Json, "tier-member.Json", maplehook_golden::TEXTS);
    assert_type::<ShownLink>(Format::Json, "tier-link.Json", maplehook_golden::TEXTS);
}

#[test]
fn operators_answers_on_settings_are_as_they_were() {
    assert_type::<Shown>(Format::Json, "settings.Json", maplehook_golden::TEXTS);
    assert_type::<ShownMember>(Format::Json, "settings-member.Json", maplehook_golden::TEXTS);
    let lines = maplehook_golden::recorded("settings-done.Json", || "{\"version\":7}\n".into());
    maplehook_golden::compare::<Done>(Format::Json, &lines).unwrap();
}

/// Operators search the log for these debug texts.
#[test]
fn reasons_and_states_in_the_log_are_as_they_were() {
    let reasons = [RejectionReason::Rate, RejectionReason::Share, RejectionReason::Full];
    assert_eq!(format!("{reasons:?}"), "[Rate, Share, Full]");
    let states =
        [ConnectionState::New, ConnectionState::Reading, ConnectionState::Held, ConnectionState::Idle];
    assert_eq!(format!("{states:?}"), "[New, Reading, Held, Idle]");
}
