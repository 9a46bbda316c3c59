//! Encodings that leave the process must stay compatible with the recorded ones.

use maplehook_address_announcement::order::Order;
use maplehook_address_announcement::state::{AddressState, Phase, SiteRecord, State};
use maplehook_address_announcement::{Address, Announce};
use maplehook_golden::golden_types;

golden_types! {
    announce: Json Announce;
    announce_by_position: Postcard Announce;
    address: Postcard Address;
    order: Json Order;
    phase: Json Phase;
    site: Postcard SiteRecord;
    address_state: Postcard AddressState;
    state: Postcard State;
}

/// Admin responses and commands show these debug texts in lower case.
#[test]
fn debug_texts_of_phase_and_announce_are_unchanged() {
    let phases = [Phase::Well, Phase::Worse, Phase::Away, Phase::Returning];
    assert_eq!(format!("{phases:?}"), "[Well, Worse, Away, Returning]");
    assert_eq!(format!("{:?}", [Announce::Many, Announce::One]), "[Many, One]");
}
