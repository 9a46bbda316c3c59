//! Answers without a stated length, while they are held: whole if they end in time and are short, else passed
//! on from some time on.

use super::reply::{ExchangeError, ReceivedBody, body_error};
use crate::parts::answer::AnswerProgress;
use crate::parts::attempt_limits::ProgressObserver;
use crate::parts::body::BodyBuffer;
use crate::parts::buffer_memory::MemoryReservation;
use crate::parts::exchange_time::ExchangeTime;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Frame, Incoming};
use maplehook_http_semantics::Answers;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// Shortest time between two reports that an answer comes.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// Answer that is being held.
pub(super) struct HeldAnswer<'a> {
    answers: &'a Answers,
    time: &'a ExchangeTime,
    progress: AnswerProgress,
    received: BodyBuffer,
    trailers: Option<Frame<Bytes>>,
    /// Time of the first byte.
    held_since: Option<Instant>,
    observer: Option<&'a ProgressObserver>,
    reported_at: Option<Instant>,
}

impl<'a> HeldAnswer<'a> {
    pub(super) fn new(
        answers: &'a Answers,
        time: &'a ExchangeTime,
        progress: AnswerProgress,
        observer: Option<&'a ProgressObserver>,
    ) -> Self {
        Self {
            answers,
            time,
            progress,
            received: BodyBuffer::with_capacity(answers.buffer),
            trailers: None,
            held_since: None,
            observer,
            reported_at: None,
        }
    }

    /// Receives the body: completely if it ends while it may be held, otherwise the rest streams.
    pub(super) async fn receive(
        mut self,
        mut body: Incoming,
        reservation: MemoryReservation,
    ) -> Result<ReceivedBody, ExchangeError> {
        self.report();
        while self.is_held() {
            self.progress.on_wait();
            let next = timeout_at(self.next_check(), body.frame());
            let Ok(frame) = self.time.limit_held(next).await? else { continue };
            match frame.transpose().map_err(|e| body_error(e.into()))?.map(Frame::into_data) {
                Some(Ok(data)) => self.push(data),
                // Trailers can only be forwarded after the data in a stream.
                Some(Err(frame)) => self.trailers = Some(frame),
                None => {
                    return Ok(ReceivedBody::Complete(
                        reservation.shrink_to(self.received.len()).attach_to(self.received.into_bytes()),
                    ));
                }
            }
        }
        // What was received stays in memory until it is forwarded.
        let data = reservation.shrink_to(self.received.len()).attach_to(self.received.into_bytes());
        let data = (!data.is_empty()).then(|| Frame::data(data));
        let received = data.into_iter().chain(self.trailers).collect();
        Ok(ReceivedBody::Streaming(received, body, self.progress))
    }

    fn push(&mut self, data: Bytes) {
        self.held_since.get_or_insert_with(Instant::now);
        self.progress.on_data(data.len());
        self.received.push(data);
        self.report();
    }

    /// Returns the time at which held bytes are passed on, whatever comes.
    fn hold_end(&self) -> Option<Instant> {
        self.held_since.and_then(|since| since.checked_add(self.answers.hold))
    }

    /// Returns true while the answer may still be short and end in time, or has stopped: until it comes
    /// again, another answer may still be given, for as long as that can begin in time.
    fn is_held(&self) -> bool {
        let now = Instant::now();
        let is_due = self.time.pass_on_at() <= now;
        let must_begin = self.time.begin_held_by() <= now;
        self.received.len() <= self.answers.buffer
            && self.trailers.is_none()
            && self.hold_end().is_none_or(|hold_end| hold_end > now)
            && !(is_due && self.progress.may_go_on())
            && !(must_begin && self.progress.may_become_long())
    }

    /// Returns when to look again at an answer of which nothing more comes.
    fn next_check(&self) -> Instant {
        let now = Instant::now();
        let times = [self.time.pass_on_at(), self.time.begin_held_by()];
        let next_time = times.into_iter().filter(|time| *time > now);
        next_time.chain(self.hold_end()).min().unwrap_or(now + REPORT_INTERVAL)
    }

    /// Reports that the answer comes, if that was not reported just before.
    fn report(&mut self) {
        let now = Instant::now();
        if self.reported_at.is_none_or(|at| now - at >= REPORT_INTERVAL) {
            self.reported_at = Some(now);
            self.observer.inspect(|observer| observer.on_progress());
        }
    }
}
