//! Forms that leave the process, as an earlier program wrote them: they are read and written as they were.

use crate::log::{Agreed, id, keep, parse, seat_id};
use crate::shelf::{Shelf, Topic};
use crate::talk::{Op, Reply, Say};
use maplehook_cluster::Name;
use maplehook_golden::{assert_text, golden_types, hex, recorded, samples, unhex};

golden_types! {
    message: Postcard Say;
    op: Json Op;
    op_by_position: Postcard Op;
    reply: Postcard Reply;
    state: Postcard Agreed;
    shared_document: Postcard Shelf;
}

#[test]
fn the_state_in_a_snapshot_is_as_it_was() {
    let states: Vec<Agreed> = samples(maplehook_golden::TEXTS);
    let lines: String = states.iter().map(|state| hex(&keep(state).unwrap()) + "\n").collect();
    assert_text("snapshot.txt", &lines);
    for line in recorded("snapshot.txt", String::new).lines() {
        assert_eq!(hex(&keep(&parse(&unhex(line).unwrap())).unwrap()), line);
    }
}

#[test]
fn voters_numbers_and_topics_are_as_they_were() {
    let name = Name::new("b1").unwrap();
    let topics = Topic::ALL.map(|topic| (topic.key(), topic.apart()));
    assert_text("numbers.txt", &format!("{:016x} {:016x} {topics:?}\n", id(&name), seat_id(&name, 7)));
}
