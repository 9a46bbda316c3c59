//! Passes an answer that streams on to whoever reads it.

use crate::call::StreamItem;
use crate::parts::answer::ResponseBody;
use crate::parts::dispatcher::InFlightGuard;
use http_body_util::BodyExt;
use tokio::sync::mpsc;

/// Passes frames on until the last of them, or until nobody reads them any more; its request counts as inside until then.
pub(super) async fn pump(mut body: ResponseBody, frames: mpsc::Sender<StreamItem>, inside: InFlightGuard) {
    loop {
        let item = tokio::select! {
            item = body.frame() => item,
            () = frames.closed() => break,
        };
        let last = !matches!(item, Some(Ok(_)));
        if frames.send(item).await.is_err() || last {
            break;
        }
    }
    drop(inside);
}
