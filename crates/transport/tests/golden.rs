//! Forms that leave the process, as an earlier program wrote them: they are read and written as they were.

use bytes::Bytes;
use maplehook_cluster::Name;
use maplehook_golden::{assert_text, hex, recorded, unhex};
use maplehook_transport::frames::{Frame, Message};
use maplehook_transport::handshake::{Handshake, Hello, Side};
use maplehook_transport::{DatagramAuthenticator, SecretKey};

fn secret() -> SecretKey {
    SecretKey::new(b"the secret of the tier").unwrap()
}

fn hellos() -> [Hello; 2] {
    let (a, b) = (Name::new("a").unwrap(), Name::new("balancer-b").unwrap());
    [Hello::new(a.clone(), 1, b.clone(), [7; 16]), Hello::new(b, u64::MAX, a, [9; 16])]
}

fn frames() -> Vec<Frame> {
    let message = |topic, body: &'static [u8]| Some(Message { topic, body: Bytes::from_static(body) });
    vec![
        Frame { acknowledged: 0, message: None },
        Frame { acknowledged: 300, message: message(1, b"") },
        Frame { acknowledged: u64::MAX, message: message(0x7f, b"body") },
    ]
}

#[test]
fn hellos_and_proofs_are_as_they_were() {
    let [dialer, listener] = hellos();
    let handshake = Handshake::new(&secret(), &dialer, &listener);
    let lines = [
        &dialer.encode()[..],
        &listener.encode(),
        &handshake.proof(Side::Dialer),
        &handshake.proof(Side::Listener),
    ];
    assert_text("greetings.txt", &lines.map(|bytes| hex(bytes) + "\n").concat());
    let recorded = recorded("greetings.txt", String::new);
    let read: Vec<Hello> =
        recorded.lines().take(2).map(|line| Hello::decode(&unhex(line).unwrap()).unwrap()).collect();
    assert_eq!(read, [dialer, listener]);
}

#[test]
fn frames_are_encoded_and_decoded_as_they_were() {
    let [dialer, listener] = hellos();
    let handshake = Handshake::new(&secret(), &dialer, &listener);
    let mut encoder = handshake.frame_codec(Side::Dialer);
    let lines: String = frames().iter().map(|frame| hex(&encoder.encode(frame)) + "\n").collect();
    assert_text("frames.txt", &lines);
    let mut decoder = handshake.frame_codec(Side::Dialer);
    let read = recorded("frames.txt", String::new);
    let read: Vec<Frame> =
        read.lines().map(|line| decoder.decode(&Bytes::from(unhex(line).unwrap())).unwrap()).collect();
    assert_eq!(read, frames());
}

#[test]
fn datagrams_are_signed_and_verified_as_they_were() {
    let datagrams = DatagramAuthenticator::new(&secret());
    assert_text("datagram.txt", &hex(&datagrams.seal(b"mh payload".to_vec())));
    let recorded = unhex(&recorded("datagram.txt", String::new)).unwrap();
    assert_eq!(datagrams.open(&recorded), Some(&b"mh payload"[..]));
}
