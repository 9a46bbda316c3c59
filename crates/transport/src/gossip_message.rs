//! The message in which a node sends all valid announcements to a peer that may have missed some.

use crate::frames::Message;
use bytes::{Buf, Bytes};
use maplehook_cluster::endpoint_gossip::{ANNOUNCEMENT_BYTES, Announcement};

/// The topic of announcements.
pub(crate) const GOSSIP_TOPIC: u8 = 1;
/// The length of the length before each announcement, in bytes.
const LENGTH_BYTES: usize = 2;

/// Returns the message with these announcements, each after its length.
pub(crate) fn encode(announcements: &[Announcement]) -> Message {
    let mut body = Vec::with_capacity(announcements.len() * (ANNOUNCEMENT_BYTES + LENGTH_BYTES));
    for announcement in announcements {
        let bytes = announcement.encode();
        body.extend_from_slice(&(bytes.len() as u16).to_be_bytes());
        body.extend_from_slice(&bytes);
    }
    Message { topic: GOSSIP_TOPIC, body: Bytes::from(body) }
}

/// Reads the announcements of a message, as far as they are complete.
pub(crate) fn decode(mut body: Bytes) -> Vec<Announcement> {
    let mut announcements = Vec::new();
    while body.len() > LENGTH_BYTES {
        let length = usize::from(body.get_u16());
        if length > body.len() {
            break;
        }
        announcements.extend(Announcement::decode(&body.split_to(length)));
    }
    announcements
}
