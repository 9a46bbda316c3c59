//! Forms that leave the process, as an earlier program wrote them: they are read and written as they were.

use maplehook_address_announcement::order::Order;
use maplehook_address_announcement::state::{Phase, SiteRecord, Standing, State};
use maplehook_address_announcement::{Address, Announce};
use maplehook_golden::golden_types;

golden_types! {
    announce: Json Announce;
    announce_by_position: Postcard Announce;
    address: Postcard Address;
    order: Json Order;
    phase: Json Phase;
    site: Postcard SiteRecord;
    address_state: Postcard Standing;
    state: Postcard State;
}

/// Operators' calls and commands show these debug texts in lower case.
#[test]
fn the_debug_texts_of_phases_and_kinds_are_as_they_were() {
    let phases = [Phase::Well, Phase::Worse, Phase::Away, Phase::Returning];
    assert_eq!(format!("{phases:?}"), "[Well, Worse, Away, Returning]");
    assert_eq!(format!("{:?}", [Announce::Many, Announce::One]), "[Many, One]");
}
