//! Forms that leave the process, as an earlier program wrote them: they are read and written as they were.

use bytes::Bytes;
use maplehook_cluster::Name;
use maplehook_golden::{assert_text, hex, recorded, unhex};
use maplehook_transport::frames::{Agreed, Frame, Greeting, Message, Side};
use maplehook_transport::{Datagrams, Secret};

fn secret() -> Secret {
    Secret::new(b"the secret of the tier").unwrap()
}

fn greetings() -> [Greeting; 2] {
    let (a, b) = (Name::new("a").unwrap(), Name::new("balancer-b").unwrap());
    [Greeting::new(a.clone(), 1, b.clone(), [7; 16]), Greeting::new(b, u64::MAX, a, [9; 16])]
}

fn frames() -> Vec<Frame> {
    let message = |topic, body: &'static [u8]| Some(Message { topic, body: Bytes::from_static(body) });
    vec![
        Frame { heard: 0, message: None },
        Frame { heard: 300, message: message(1, b"") },
        Frame { heard: u64::MAX, message: message(0x7f, b"body") },
    ]
}

#[test]
fn greetings_and_proofs_are_as_they_were() {
    let [dialer, listener] = greetings();
    let agreed = Agreed::new(&secret(), &dialer, &listener);
    let lines =
        [&dialer.bytes()[..], &listener.bytes(), &agreed.proof(Side::Dialer), &agreed.proof(Side::Listener)];
    assert_text("greetings.txt", &lines.map(|bytes| hex(bytes) + "\n").concat());
    let recorded = recorded("greetings.txt", String::new);
    let read: Vec<Greeting> =
        recorded.lines().take(2).map(|line| Greeting::read(&unhex(line).unwrap()).unwrap()).collect();
    assert_eq!(read, [dialer, listener]);
}

#[test]
fn frames_are_sealed_and_opened_as_they_were() {
    let [dialer, listener] = greetings();
    let agreed = Agreed::new(&secret(), &dialer, &listener);
    let mut sealing = agreed.frames(Side::Dialer);
    let lines: String = frames().iter().map(|frame| hex(&sealing.seal(frame)) + "\n").collect();
    assert_text("frames.txt", &lines);
    let mut opening = agreed.frames(Side::Dialer);
    let read = recorded("frames.txt", String::new);
    let read: Vec<Frame> =
        read.lines().map(|line| opening.open(&Bytes::from(unhex(line).unwrap())).unwrap()).collect();
    assert_eq!(read, frames());
}

#[test]
fn datagrams_are_signed_and_checked_as_they_were() {
    let datagrams = Datagrams::new(&secret());
    assert_text("datagram.txt", &hex(&datagrams.seal(b"mh payload".to_vec())));
    let recorded = unhex(&recorded("datagram.txt", String::new)).unwrap();
    assert_eq!(datagrams.open(&recorded), Some(&b"mh payload"[..]));
}
