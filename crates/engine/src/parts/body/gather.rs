//! Bodies taken in: whole, where they are short enough.

use super::{Failure, Fault, Payload, Upload, UploadTimeouts, discard_body};
use crate::parts::body_memory::BodyMemory;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Body;
use maplehook_http_semantics::Passage;
use std::time::Duration;
use tokio::task::spawn_local;

#[cfg(test)]
mod tests;

/// What of a body is in hand: one piece, however small those were that it came in.
#[derive(Default)]
pub struct Gathered {
    first: Bytes,
    more: BytesMut,
}

impl Gathered {
    /// How many bytes are in hand.
    pub fn len(&self) -> usize {
        self.first.len() + self.more.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// More has come.
    pub fn push(&mut self, data: Bytes) {
        if self.is_empty() {
            self.first = data;
            return;
        }
        if self.more.is_empty() {
            self.more.extend_from_slice(&std::mem::take(&mut self.first));
        }
        self.more.extend_from_slice(&data);
    }

    /// All of it.
    pub fn whole(self) -> Bytes {
        if self.more.is_empty() { self.first } else { self.more.freeze() }
    }
}

/// A body to its end, without its trailers.
pub async fn gather<B>(mut body: B) -> Result<Bytes, Failure>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: Into<Failure>,
{
    let mut read = Gathered::default();
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame.map_err(Into::into)?.into_data() {
            read.push(data);
        }
    }
    Ok(read.whole())
}

/// Takes a request's body in: whole, where its class and the room allow that, else as one that streams. How long it may take
/// is up to whoever waits.
/// `answer` is how long its sender waits for the answer from then on.
pub async fn receive_body<B>(
    mut body: B,
    passage: &Passage,
    room: &BodyMemory,
    answer: Duration,
) -> Result<Payload, Fault>
where
    B: Body<Data = Bytes> + Unpin + 'static,
    B::Error: Into<Failure>,
{
    if body.is_end_stream() {
        return Ok(Payload::Buffered(Bytes::new()));
    }
    let hint = body.size_hint();
    // What is said to be too long is not read.
    if hint.lower() > passage.body_most {
        spawn_local(discard_body(body));
        return Err(Fault::TooLong);
    }
    let mut read = Gathered::default();
    let mut ended = false;
    let is_short = hint.lower() <= passage.buffer as u64;
    // The room is taken before the first byte is read, for as much as may come.
    let most = hint.exact().map_or(passage.buffer, |n| n as usize);
    let taken = if is_short { room.take_long(most) } else { None };
    if taken.is_some() {
        while read.len() <= passage.buffer {
            let Some(frame) = body.frame().await else {
                ended = true;
                break;
            };
            // Trailers of a body that is held go no further (RFC 9110, section 6.5.1).
            let Ok(data) = frame.map_err(|_| Fault::BrokeOff)?.into_data() else { continue };
            read.push(data);
        }
    }
    let read = read.whole();
    if ended {
        return Ok(Payload::Buffered(match taken {
            Some(taken) => taken.with(read),
            None => read,
        }));
    }
    if read.len() as u64 > passage.body_most {
        spawn_local(discard_body(body));
        return Err(Fault::TooLong);
    }
    let (idle, total) = passage.patience();
    let read = match taken {
        Some(taken) => taken.with(read),
        None => read,
    };
    let rest = Box::pin(body.map_err(Into::into));
    let patience = UploadTimeouts { idle, sender: passage.sender_idle, total, answer };
    Ok(Payload::Upload(Upload::new(read, rest, hint.exact(), passage.body_most, patience)))
}
