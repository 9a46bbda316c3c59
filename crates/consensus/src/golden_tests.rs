//! Forms that leave the process, as an earlier program wrote them: they are read and written as they were.

use crate::document_parts::{DocumentParts, PartKind};
use crate::messages::{AdminReply, AdminRequest, PeerMessage};
use crate::replicated_state::{ReplicatedState, decode_state, encode_state, replacement_voter_id, voter_id};
use maplehook_cluster::Name;
use maplehook_golden::{assert_text, golden_types, hex, recorded, samples, unhex};

golden_types! {
    message: Postcard PeerMessage;
    op: Json AdminRequest;
    op_by_position: Postcard AdminRequest;
    reply: Postcard AdminReply;
    state: Postcard ReplicatedState;
    shared_document: Postcard DocumentParts;
}

#[test]
fn the_state_in_a_snapshot_is_as_it_was() {
    let states: Vec<ReplicatedState> = samples(maplehook_golden::TEXTS);
    let lines: String = states.iter().map(|state| hex(&encode_state(state).unwrap()) + "\n").collect();
    assert_text("snapshot.txt", &lines);
    for line in recorded("snapshot.txt", String::new).lines() {
        assert_eq!(hex(&encode_state(&decode_state(&unhex(line).unwrap())).unwrap()), line);
    }
}

#[test]
fn voters_numbers_and_topics_are_as_they_were() {
    let name = Name::new("b1").unwrap();
    let topics = PartKind::ALL.map(|topic| (topic.key(), topic.message_prefix()));
    assert_text(
        "numbers.txt",
        &format!("{:016x} {:016x} {topics:?}\n", voter_id(&name), replacement_voter_id(&name, 7)),
    );
}
