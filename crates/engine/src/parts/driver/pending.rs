//! Handle to the final answer of a submitted request.

use super::{Answer, Driver, DriverEvent, Trace};
use maplehook_core::RequestId;
use std::rc::Rc;
use tokio::sync::oneshot;

/// Final answer that is not available yet. Dropping the handle abandons the request.
pub struct PendingAnswer {
    driver: Rc<Driver>,
    id: RequestId,
    answer: Option<oneshot::Receiver<(Answer, Trace)>>,
}

impl PendingAnswer {
    /// Creates a handle that receives its answer from `answer`.
    pub(super) fn new(driver: Rc<Driver>, id: RequestId, answer: oneshot::Receiver<(Answer, Trace)>) -> Self {
        Self { driver, id, answer: Some(answer) }
    }

    /// Returns the id of the request.
    pub fn request_id(&self) -> RequestId {
        self.id
    }

    /// Waits for the final answer.
    pub async fn answer(mut self) -> (Answer, Trace) {
        const UNANSWERED: (Answer, Trace) = (Answer::Failed, Trace { attempts: 0, upstream: None });
        let Some(answer) = &mut self.answer else { return UNANSWERED };
        let answer = answer.await;
        self.answer = None;
        answer.unwrap_or(UNANSWERED)
    }
}

impl Drop for PendingAnswer {
    fn drop(&mut self) {
        if self.answer.take().is_some() {
            self.driver.handle_event(DriverEvent::ClientGone(self.id));
        }
    }
}
