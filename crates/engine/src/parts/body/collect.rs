//! Reads bodies: into memory if they are short enough, as a stream otherwise.

use super::{Failure, Fault, Payload, Upload, UploadTimeouts, discard_body};
use crate::parts::buffer_memory::BufferMemory;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Body;
use maplehook_http_semantics::Passage;
use std::time::Duration;
use tokio::task::spawn_local;

#[cfg(test)]
mod tests;

/// Buffer for a body. It holds one contiguous piece, so that many small frames take no extra memory.
#[derive(Default)]
pub struct BodyBuffer {
    first: Bytes,
    rest: BytesMut,
    /// Bytes to allocate once there is more than one frame, so that the buffer never grows by being copied.
    capacity: usize,
}

impl BodyBuffer {
    /// Creates a buffer for a body of up to `capacity` bytes.
    pub fn with_capacity(capacity: usize) -> Self {
        Self { capacity, ..Self::default() }
    }

    /// Returns the number of buffered bytes.
    pub fn len(&self) -> usize {
        self.first.len() + self.rest.len()
    }

    /// Returns true if nothing was buffered yet.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Appends the data of one frame.
    pub fn push(&mut self, data: Bytes) {
        if self.is_empty() {
            self.first = data;
            return;
        }
        if self.rest.is_empty() {
            self.rest.reserve(self.capacity.max(self.first.len() + data.len()));
            self.rest.extend_from_slice(&std::mem::take(&mut self.first));
        }
        self.rest.extend_from_slice(&data);
    }

    /// Returns the buffered bytes, in memory of about their length.
    pub fn into_bytes(self) -> Bytes {
        if self.rest.is_empty() {
            self.first
        } else if self.rest.len() < self.rest.capacity() / 2 {
            Bytes::copy_from_slice(&self.rest)
        } else {
            self.rest.freeze()
        }
    }
}

/// Reads a body of up to `capacity` bytes to its end and drops its trailers.
pub async fn collect_body<B>(mut body: B, capacity: usize) -> Result<Bytes, Failure>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: Into<Failure>,
{
    let mut buffer = BodyBuffer::with_capacity(capacity);
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame.map_err(Into::into)?.into_data() {
            buffer.push(data);
        }
    }
    Ok(buffer.into_bytes())
}

/// Receives a request body: buffered if its class and the body memory allow it, otherwise as an upload. The
/// caller bounds the time. `answer` is how long the client waits for the response after the body.
pub async fn receive_body<B>(
    mut body: B,
    passage: &Passage,
    body_memory: &BufferMemory,
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
    // A body that announces too great a length is not read.
    if hint.lower() > passage.body_most {
        spawn_local(discard_body(body));
        return Err(Fault::TooLong);
    }
    let mut is_complete = false;
    let may_fit = hint.lower() <= passage.buffer as u64;
    // Memory for the longest possible body is reserved before the first byte is read.
    let expected_length = hint.exact().map_or(passage.buffer, |n| n as usize);
    let mut buffer = BodyBuffer::with_capacity(expected_length);
    let reservation = if may_fit { body_memory.reserve_body(expected_length) } else { None };
    if reservation.is_some() {
        while buffer.len() <= passage.buffer {
            let Some(frame) = body.frame().await else {
                is_complete = true;
                break;
            };
            // Trailers of a buffered body are not forwarded (RFC 9110, section 6.5.1).
            let Ok(data) = frame.map_err(|_| Fault::BrokeOff)?.into_data() else { continue };
            buffer.push(data);
        }
    }
    let buffer = buffer.into_bytes();
    if is_complete {
        return Ok(Payload::Buffered(match reservation {
            Some(reservation) => reservation.attach_to(buffer),
            None => buffer,
        }));
    }
    if buffer.len() as u64 > passage.body_most {
        spawn_local(discard_body(body));
        return Err(Fault::TooLong);
    }
    let (idle, total) = passage.patience();
    let buffer = match reservation {
        Some(reservation) => reservation.attach_to(buffer),
        None => buffer,
    };
    let remaining = Box::pin(body.map_err(Into::into));
    let timeouts = UploadTimeouts { idle, sender: passage.sender_idle, total, answer };
    Ok(Payload::Upload(Upload::new(buffer, remaining, hint.exact(), passage.body_most, timeouts)))
}
