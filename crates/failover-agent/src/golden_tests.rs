//! Forms that leave the process, as an earlier program wrote them: they are read and written as they were.

use crate::board::{Announced, Past, ShownAddress, ShownSite};
use crate::shown::{Shown, ShownPlace, ShownRow, ShownShare, ShownTrip};
use crate::talk::{Agreed, Reply, Say, Wish};
use maplehook_golden::{assert_text, golden_types, hex, samples};

golden_types! {
    announced: Json Announced;
    past: Json Past;
    shown_address: Json ShownAddress;
    shown_site: Json ShownSite;
    shown: Json Shown;
    shown_place: Json ShownPlace;
    shown_row: Json ShownRow;
    shown_share: Json ShownShare;
    shown_trip: Json ShownTrip;
    agreed: Postcard Agreed;
    wish: Json Wish;
    wish_by_position: Postcard Wish;
    reply: Postcard Reply;
    message: Postcard Say;
}

#[test]
fn the_agreed_document_is_written_as_it_was() {
    let documents: Vec<Agreed> = samples(maplehook_golden::TEXTS);
    let lines: String = documents.iter().map(|document| hex(&document.encode()) + "\n").collect();
    assert_text("agreed-encoded.txt", &lines);
}
