//! Replies out.

use maplehook_core::{Action, UpstreamId};
use std::time::Duration;

/// The codes of the actions.
const REJECT: u8 = 65;
const FAIL: u8 = 66;
const TIMER: u8 = 68;
const LOG: u8 = 69;
const FETCH_ENDPOINTS: u8 = 71;
const ATTEMPT: u8 = 72;
const WATCH_ENDPOINTS: u8 = 73;
const PROBE: u8 = 74;
const CANCEL: u8 = 75;
const CLOSE_IDLE: u8 = 76;

/// Starts a reply, with room for its length.
pub(crate) fn begin_reply(reply: &mut Vec<u8>) {
    reply.clear();
    reply.extend([0; 4]);
}

/// Fills in the length of a reply.
pub(crate) fn finish_reply(reply: &mut [u8]) {
    let length = (reply.len() - 4) as u32;
    reply[..4].copy_from_slice(&length.to_be_bytes());
}

/// Adds one action of an instance to a reply.
pub(crate) fn encode_action(reply: &mut Vec<u8>, instance: u32, action: &Action) {
    reply.push(code(action));
    reply.extend(instance.to_be_bytes());
    match action {
        Action::Attempt { id, upstream, timeout } => {
            reply.extend(id.0.to_be_bytes());
            encode_upstream(reply, *upstream);
            encode_duration(reply, timeout.unwrap_or_default());
        }
        Action::Cancel { id, attempt } => {
            reply.extend(id.0.to_be_bytes());
            reply.push(attempt.0);
        }
        Action::Reject { id, retry_after } => {
            reply.extend(id.0.to_be_bytes());
            encode_duration(reply, retry_after.unwrap_or_default());
        }
        Action::Fail { id } => reply.extend(id.0.to_be_bytes()),
        Action::Timer { after, timer } => {
            encode_duration(reply, *after);
            reply.extend(timer.0.to_be_bytes());
        }
        Action::WatchEndpoints => reply.push(1),
        Action::FetchEndpoints => {}
        Action::CloseIdle { upstream } | Action::Probe { upstream } => encode_upstream(reply, *upstream),
        Action::Log { line } => encode_line(reply, line),
    }
}

fn code(action: &Action) -> u8 {
    match action {
        Action::Attempt { .. } => ATTEMPT,
        Action::Cancel { .. } => CANCEL,
        Action::Reject { .. } => REJECT,
        Action::Fail { .. } => FAIL,
        Action::Timer { .. } => TIMER,
        Action::WatchEndpoints => WATCH_ENDPOINTS,
        Action::FetchEndpoints => FETCH_ENDPOINTS,
        Action::CloseIdle { .. } => CLOSE_IDLE,
        Action::Probe { .. } => PROBE,
        Action::Log { .. } => LOG,
    }
}

/// Adds a time in milliseconds, with fractions.
fn encode_duration(reply: &mut Vec<u8>, duration: Duration) {
    reply.extend((duration.as_secs_f64() * 1e3).to_be_bytes());
}

fn encode_upstream(reply: &mut Vec<u8>, upstream: UpstreamId) {
    reply.extend(&upstream.0.to_be_bytes()[2..]);
}

/// Adds a line as far as its length can be stated.
fn encode_line(reply: &mut Vec<u8>, line: &str) {
    let line = &line.as_bytes()[..line.len().min(usize::from(u16::MAX))];
    reply.extend((line.len() as u16).to_be_bytes());
    reply.extend(line);
}
