//! Bodies: a header, member updates, and announcements.

use super::envelope::Envelope;
use super::format::{MalformedDatagramError, read_u16};
use super::header::{GOSSIP, MessageHeader, TURN_UNDEAD};
use super::member_update::MemberUpdate;
use crate::identity::Identity;
use bytes::BufMut;
use foca::State;

/// Room for a body with one update, in bytes.
const SUSPICION_BYTES: usize = 96;

/// Returns a body that notifies a member that it is suspected.
pub fn encode_suspicion(suspect: &Identity, incarnation: u16, own_incarnation: u16) -> Vec<u8> {
    let header = MessageHeader {
        kind: GOSSIP,
        probe_number: 0,
        incarnation: own_incarnation,
        to: suspect.clone(),
        third_party: None,
    };
    let update =
        MemberUpdate { identity: suspect.clone(), incarnation, state: State::Suspect, has_left: false };
    let mut body = Vec::with_capacity(SUSPICION_BYTES);
    header.encode(&mut body);
    body.put_u16(1);
    update.encode(&mut body);
    body
}

/// Returns whether a datagram reports that its receiver, or any member, is believed dead: for simulators that inject
/// faults.
pub fn reports_dead_member(payload: &[u8]) -> bool {
    let Ok((_, body)) = Envelope::decode(payload) else { return false };
    let mut has_dead_member = false;
    let filtered = filter_updates(body, |update| {
        has_dead_member |= update.state == State::Down;
        true
    });
    has_dead_member || filtered.is_ok() && body.first() == Some(&TURN_UNDEAD)
}

/// A body without the updates that were rejected.
#[derive(Debug)]
pub struct FilteredBody {
    /// The receiver, at the generation that the sender knows.
    pub to: Identity,
    /// The body without the rejected updates.
    pub body: Vec<u8>,
}

/// Copies a body, and leaves out the member updates that `keep` rejects.
///
/// # Errors
///
/// Fails if the bytes are no body of this protocol.
pub fn filter_updates(
    mut body: &[u8],
    keep: impl FnMut(&MemberUpdate) -> bool,
) -> Result<FilteredBody, MalformedDatagramError> {
    let mut kept = Vec::with_capacity(body.len());
    let buf = &mut body;
    let header = MessageHeader::decode(buf)?;
    // A header that is no message is rejected here, before the updates are read.
    header.message()?;
    header.encode(&mut kept);
    if header.has_updates() && !buf.is_empty() {
        copy_updates(buf, &mut kept, keep)?;
    }
    if header.has_announcements() {
        kept.put_slice(buf);
    }
    Ok(FilteredBody { to: header.to, body: kept })
}

/// Copies a count of updates and the updates, without those that `keep` rejects.
fn copy_updates(
    buf: &mut &[u8],
    kept: &mut Vec<u8>,
    mut keep: impl FnMut(&MemberUpdate) -> bool,
) -> Result<(), MalformedDatagramError> {
    let count = read_u16(buf)?;
    let count_at = kept.len();
    kept.put_u16(0);
    let mut kept_count = 0u16;
    for _ in 0..count {
        let update = MemberUpdate::decode(buf)?;
        if keep(&update) {
            update.encode(kept);
            kept_count += 1;
        }
    }
    kept[count_at..count_at + 2].copy_from_slice(&kept_count.to_be_bytes());
    Ok(())
}
