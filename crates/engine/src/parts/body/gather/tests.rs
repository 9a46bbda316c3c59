//! What is held of a body that comes in pieces.

use super::*;

const SHORT: usize = 64 * 1024;

/// Guards the memory against pieces of a byte: what is held is one piece.
#[test]
fn what_comes_in_pieces_is_held_in_one() {
    let mut read = Gathered::default();
    (0..SHORT).for_each(|_| read.push(Bytes::from_static(b"y")));
    assert!(read.more.capacity() <= 2 * SHORT && read.len() == SHORT);
    assert_eq!(read.whole(), "y".repeat(SHORT));
    let mut read = Gathered::default();
    read.push(Bytes::from_static(b"whole"));
    assert_eq!(read.whole(), "whole");
}
