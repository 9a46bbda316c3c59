//! The wire form of datagrams.
//!
//! ```text
//! "mh"  version  oldest  length of the head  head  body  (16 bytes of MAC, added by the transport)
//! head: sender's name, generation, receiver's name, sequence number, sender's program, and what later versions may add
//! body: kind, probe number, sender's incarnation, receiver's generation and name, a third member,
//!       a count of member updates, the updates, announcements
//! update: length, state, incarnation, generation, name, program, version, oldest, and what later versions may add
//! ```
//!
//! The first five bytes and the head never change, so that programs without a common version still see one another.
//! Numbers are big-endian; a name is preceded by its length.

mod body;
mod codec;
mod envelope;
mod format;
mod header;
mod member_update;

pub use body::{FilteredBody, encode_suspicion, filter_updates, reports_dead_member};
pub use codec::{CodecContext, MessageCodec};
pub use envelope::Envelope;
pub use format::{MAC_BYTES, MAX_DATAGRAM_BYTES, MAX_PAYLOAD_BYTES, MalformedDatagramError};
pub use header::{ACK, PING, is_probe_message};
pub use member_update::MemberUpdate;
