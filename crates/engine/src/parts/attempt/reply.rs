//! The answer to one attempt as it comes back: its head, and a body that is held whole or streams.

use crate::parts::answer::is_unreadable;
use crate::parts::body::{Failure, Gathered, gather};
use crate::parts::body_memory::{BodyMemory, MemoryReservation};
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Frame, Incoming};
use hyper::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::http::response::Parts;
use hyper::{Response, StatusCode};
use maplehook_http_semantics::{Answers, Means, Passage};
use std::collections::VecDeque;
use std::fmt;
use std::future::Future;
use tokio::time::{Instant, timeout_at};

/// The longest body of an answer that does not pass.
const ERROR_MOST: usize = 64 * 1024;

/// The head of an answer, and its body.
pub(super) struct Reply {
    pub(super) parts: Parts,
    pub(super) means: Means,
    pub(super) body: Coming,
}

/// A body that comes back.
pub(super) enum Coming {
    /// It has come whole.
    Whole(Bytes),
    /// These frames have come, and the rest will.
    Streams(VecDeque<Frame<Bytes>>, Incoming),
}

/// Why an exchange came to no answer.
#[derive(Debug)]
pub(super) enum Broken {
    /// The connection ended.
    Ended(Failure),
    /// What came is no answer, though the connection stands: the request may have run, and the upstream is
    /// no worse than one that answers with an error.
    Spoilt(Failure),
}

impl fmt::Display for Broken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Ended(e) => write!(f, "ended: {e}"),
            Self::Spoilt(e) => write!(f, "spoilt: {e}"),
        }
    }
}

impl From<hyper::Error> for Broken {
    fn from(e: hyper::Error) -> Self {
        let is_parse = e.is_parse();
        let e = e.into();
        if is_parse || is_unreadable(&e) { Self::Spoilt(e) } else { Self::Ended(e) }
    }
}

/// What went wrong with a body.
fn broken_body(e: Failure) -> Broken {
    if is_unreadable(&e) { Broken::Spoilt(e) } else { Broken::Ended(e) }
}

/// One request, and its answer: whole, or from its first byte.
pub(super) async fn exchange(
    answer: impl Future<Output = hyper::Result<Response<Incoming>>>,
    passage: &Passage,
    room: &BodyMemory,
) -> Result<Reply, Broken> {
    let (parts, body) = answer.await?.into_parts();
    if parts.headers.contains_key(CONTENT_LENGTH) && parts.headers.contains_key(TRANSFER_ENCODING) {
        return Err(Broken::Spoilt("two lengths".into()));
    }
    if parts.status == StatusCode::SWITCHING_PROTOCOLS {
        return Err(Broken::Spoilt("an upgrade that nobody asked for".into()));
    }
    let means = passage.meaning.of(parts.status, &parts.headers);
    let Answers { buffer, hold, most, .. } = passage.answers;
    let body = match means {
        Means::Final { .. } => {
            let stated = body.size_hint().exact();
            if let Some(n) = stated.filter(|n| *n > most) {
                return Err(Broken::Spoilt(format!("{n} bytes are too long").into()));
            }
            let holds = match stated {
                Some(n) => (n <= buffer as u64).then_some(n as usize),
                None => (!hold.is_zero()).then_some(buffer),
            };
            match holds.and_then(|n| room.take_long(n)) {
                Some(taken) if stated.is_some() => {
                    Coming::Whole(taken.with(gather(body).await.map_err(broken_body)?))
                }
                Some(taken) => held(body, buffer, Instant::now() + hold, taken).await?,
                // Where there is no room to hold it, its reader sets the pace.
                None => Coming::Streams(VecDeque::new(), body),
            }
        }
        _ => Coming::Whole(whole(body, ERROR_MOST, room).await?),
    };
    Ok(Reply { parts, means, body })
}

/// A body that did not say how long it is: whole if it ends within `buffer` bytes and by `until`.
async fn held(
    mut body: Incoming,
    buffer: usize,
    until: Instant,
    taken: MemoryReservation,
) -> Result<Coming, Broken> {
    let mut read = Gathered::default();
    let mut trailers = None;
    while read.len() <= buffer && trailers.is_none() {
        let Ok(frame) = timeout_at(until, body.frame()).await else { break };
        match frame.transpose().map_err(|e| broken_body(e.into()))?.map(Frame::into_data) {
            Some(Ok(data)) => read.push(data),
            // They follow what is passed on as it came.
            Some(Err(last)) => trailers = Some(last),
            None => return Ok(Coming::Whole(taken.shrunk(read.len()).with(read.whole()))),
        }
    }
    let data = read.whole();
    let data = (!data.is_empty()).then(|| Frame::data(data));
    Ok(Coming::Streams(data.into_iter().chain(trailers).collect(), body))
}

/// A whole body of `most` bytes at the most, if there is room for it.
async fn whole(body: Incoming, most: usize, room: &BodyMemory) -> Result<Bytes, Broken> {
    let stated = body.size_hint().exact().map_or(most, |n| usize::try_from(n).unwrap_or(usize::MAX));
    if stated > most {
        return Err(Broken::Spoilt(format!("{stated} bytes are too long").into()));
    }
    let taken = room.take_long(stated).ok_or_else(|| Broken::Spoilt("no room for an answer".into()))?;
    let body = gather(Limited::new(body, most)).await.map_err(broken_body)?;
    Ok(taken.shrunk(body.len()).with(body))
}
