//! A request between the module and whoever asked it.

use super::{Answer, Driver, Happening, Trace};
use maplehook_core::RequestId;
use std::rc::Rc;
use tokio::sync::oneshot;

/// A request that is owed its final answer.
pub struct PendingAnswer {
    driver: Rc<Driver>,
    id: RequestId,
    answer: Option<oneshot::Receiver<(Answer, Trace)>>,
}

impl PendingAnswer {
    /// One whose answer comes by this.
    pub(super) fn new(driver: Rc<Driver>, id: RequestId, answer: oneshot::Receiver<(Answer, Trace)>) -> Self {
        Self { driver, id, answer: Some(answer) }
    }

    /// The final answer.
    pub async fn answer(mut self) -> (Answer, Trace) {
        const LOST: (Answer, Trace) = (Answer::Failed, Trace { attempts: 0, upstream: None });
        let Some(answer) = &mut self.answer else { return LOST };
        let answer = answer.await;
        self.answer = None;
        answer.unwrap_or(LOST)
    }
}

impl Drop for PendingAnswer {
    fn drop(&mut self) {
        if self.answer.take().is_some() {
            self.driver.happened(Happening::Gone(self.id));
        }
    }
}
