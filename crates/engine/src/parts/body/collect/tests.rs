//! Memory that a buffered body takes.

use super::*;

const BODY_BYTES: usize = 64 * 1024;

/// Guards against memory overhead by one-byte frames: the buffer must stay one piece.
#[test]
fn many_small_frames_are_buffered_in_one_piece() {
    let mut buffer = BodyBuffer::default();
    (0..BODY_BYTES).for_each(|_| buffer.push(Bytes::from_static(b"y")));
    assert!(buffer.rest.capacity() <= 2 * BODY_BYTES && buffer.len() == BODY_BYTES);
    assert_eq!(buffer.into_bytes(), "y".repeat(BODY_BYTES));
    let mut buffer = BodyBuffer::default();
    buffer.push(Bytes::from_static(b"whole"));
    assert_eq!(buffer.into_bytes(), "whole");
}
