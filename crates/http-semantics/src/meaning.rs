//! How messages of one class pass, and what an upstream's answer means.

use crate::names::UNPROCESSED;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use maplehook_core::Effect;
use std::time::Duration;

/// What an answer means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Means {
    /// It is the final answer, and passes.
    Final {
        /// Whether it says nothing against its upstream: a 404 does not, a 500 does.
        well: bool,
    },
    /// It was turned away unseen: it never ran.
    TurnedAway,
    /// The upstream has too much to do. It may have run all the same.
    Overload,
    /// An error: it may have run.
    Error,
}

/// What the statuses of a class mean. Checked in this order: turned away, overload, error, passing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Meaning {
    /// Statuses that prove, with the marker, that the request never ran.
    pub turned_away: Vec<StatusCode>,
    /// What has to stand beside them; without one, these statuses alone are proof.
    pub marker: Option<(HeaderName, HeaderValue)>,
    /// Statuses by which an upstream says that it has too much to do.
    pub overload: Vec<StatusCode>,
    /// Statuses after which the request may be sent again, as far as its effect allows.
    pub error: Vec<StatusCode>,
    /// The statuses that pass, where not all others do.
    pub passing: Option<Vec<StatusCode>>,
}

impl Meaning {
    /// The platform's: 200 passes, 503 and 504 with `X-Unprocessed: 1` never ran, all else is an error.
    pub fn platform() -> Self {
        Self { passing: Some(vec![StatusCode::OK]), error: Vec::new(), ..Self::general(Effect::Idempotent) }
    }

    /// What an operator expects: everything passes, but 500, 502, 503 and 504 where a repeat is harmless, and what
    /// is marked as never run.
    pub fn general(effect: Effect) -> Self {
        use StatusCode as S;
        let error = match effect {
            // It may not be repeated, so that nothing is gained by keeping the upstream's words back.
            Effect::AtMostOnce => Vec::new(),
            _ => vec![S::INTERNAL_SERVER_ERROR, S::BAD_GATEWAY, S::SERVICE_UNAVAILABLE, S::GATEWAY_TIMEOUT],
        };
        Self {
            turned_away: vec![S::SERVICE_UNAVAILABLE, S::GATEWAY_TIMEOUT],
            marker: Some((UNPROCESSED, HeaderValue::from_static("1"))),
            overload: Vec::new(),
            error,
            passing: None,
        }
    }

    /// What an answer with this head means.
    pub fn of(&self, status: StatusCode, headers: &HeaderMap) -> Means {
        let marked = || self.marker.as_ref().is_none_or(|(name, value)| headers.get(name) == Some(value));
        if self.turned_away.contains(&status) && marked() {
            return Means::TurnedAway;
        }
        if self.overload.contains(&status) {
            return Means::Overload;
        }
        if self.error.contains(&status) || self.passing.as_ref().is_some_and(|p| !p.contains(&status)) {
            return Means::Error;
        }
        // 501 and 505 are about the request; so is all under 500.
        let well = status.as_u16() < 500 || matches!(status.as_u16(), 501 | 505);
        Means::Final { well }
    }
}

/// From when on an attempt may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Begins {
    /// The upstream is known to begin a request when its last byte has come.
    LastByte,
    /// It may act on what it has once the head is whole. Without its end a head is no request (RFC 9112,
    /// section 2.1): what was written less far never ran, at any upstream.
    Head,
}

/// How answers come: whole if they say that they are short; else from the first byte on, as they are made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answers {
    /// The longest body that is held, in bytes.
    pub buffer: usize,
    /// How long one that does not say how long it is may be held, in case that it is short.
    pub hold: Duration,
    /// Whether one that does not say how long it is, and is short, has to end by the request's time. One that comes
    /// so fast that it may become long goes on.
    pub short_ends_in_time: bool,
    /// The longest body that an answer may say it has, in bytes; a longer one is an error.
    pub most: u64,
    /// The longest silence of an upstream in the middle of an answer.
    pub idle: Duration,
    /// The longest time that an answer, or a request's body, may take in all.
    pub total: Duration,
}

/// On the platform a short answer counts with its last byte, so that nothing is lost by holding one of no stated length until
/// then: if it breaks off, or never ends, the request can still be answered otherwise. The rest of a long one must not be held
/// for 2 s.
const HOLD: Duration = Duration::from_millis(1500);

/// The longest silence of a platform's client in the middle of a request. It is owed an error or the end of its connection
/// within 3 s of its last byte; the balancer may be held up for 0.15 s before it has read that byte and before it writes.
/// A client that is slow and moves on takes 2 s at the most between two bytes.
pub const SENDER_IDLE: Duration = Duration::from_millis(2500);

/// How messages of one class pass.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Passage {
    /// What answers mean.
    pub meaning: Meaning,
    /// From when on an attempt may have run.
    pub begins: Begins,
    /// How answers come.
    pub answers: Answers,
    /// Bytes of a request's body up to which it is held, and may be sent again.
    pub buffer: usize,
    /// The longest body of a request, in bytes.
    pub body_most: u64,
    /// The longest silence of a client in the middle of a body that streams.
    pub sender_idle: Duration,
    /// Whether an upstream's error, when nothing is left to try, is passed on in its own words.
    pub last_error_passes: bool,
}

impl Passage {
    /// The platform's: 64 KiB are held each way, since up to there the last byte counts; longer bodies stream, as long
    /// as anything of them comes.
    pub fn platform() -> Self {
        Self {
            meaning: Meaning::platform(),
            begins: Begins::LastByte,
            answers: Answers {
                buffer: 64 * 1024,
                hold: HOLD,
                short_ends_in_time: true,
                most: 1 << 30,
                idle: Duration::from_secs(10),
                total: Duration::from_secs(3600),
            },
            buffer: 64 * 1024,
            body_most: 1 << 30,
            sender_idle: SENDER_IDLE,
            last_error_passes: false,
        }
    }

    /// What an operator expects: 64 KiB are held each way, longer bodies stream; 30 s of silence, an hour in all.
    pub fn general(effect: Effect) -> Self {
        Self {
            meaning: Meaning::general(effect),
            begins: Begins::Head,
            answers: Answers {
                buffer: 64 * 1024,
                hold: Duration::ZERO,
                short_ends_in_time: false,
                most: u64::MAX,
                idle: Duration::from_secs(30),
                total: Duration::from_secs(3600),
            },
            buffer: 64 * 1024,
            body_most: 1 << 30,
            sender_idle: Duration::from_secs(30),
            last_error_passes: true,
        }
    }

    /// The longest silence, and the longest time in all, of a body that streams.
    pub fn patience(&self) -> (Duration, Duration) {
        (self.answers.idle, self.answers.total)
    }
}
