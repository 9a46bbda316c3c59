//! Texts and JSON of earlier releases, which must not change.

use crate::client::ConnectionState;
use crate::settings_api::{SettingsMember, SettingsStatus, VersionReply};
use crate::tier::{LinkCounters, TierMember, TierStatus};
use maplehook_admission::RejectionReason;
use maplehook_golden::{Format, assert_type};

#[test]
fn tier_status_json_matches_the_golden_files() {
    assert_type::<TierStatus>(Format::Json, "tier.Json", maplehook_golden::TEXTS);
    assert_type::<TierMember>(Format::Json, "tier-member.Json", maplehook_golden::TEXTS);
    assert_type::<LinkCounters>(Format::Json, "tier-link.Json", maplehook_golden::TEXTS);
}

#[test]
fn settings_status_json_matches_the_golden_files() {
    assert_type::<SettingsStatus>(Format::Json, "settings.Json", maplehook_golden::TEXTS);
    assert_type::<SettingsMember>(Format::Json, "settings-member.Json", maplehook_golden::TEXTS);
    let lines = maplehook_golden::recorded("settings-done.Json", || "{\"version\":7}\n".into());
    maplehook_golden::compare::<VersionReply>(Format::Json, &lines).unwrap();
}

/// Operators search the log for these debug texts.
#[test]
fn debug_texts_of_rejection_reasons_and_connection_states_are_stable() {
    let reasons = [RejectionReason::Rate, RejectionReason::Share, RejectionReason::Full];
    assert_eq!(format!("{reasons:?}"), "[Rate, Share, Full]");
    let states =
        [ConnectionState::New, ConnectionState::Reading, ConnectionState::Held, ConnectionState::Idle];
    assert_eq!(format!("{states:?}"), "[New, Reading, Held, Idle]");
}
