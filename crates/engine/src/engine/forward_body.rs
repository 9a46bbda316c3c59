//! Forwards a streamed response body to its reader.

use crate::call::StreamItem;
use crate::parts::answer::ResponseBody;
use crate::parts::dispatcher::InFlightGuard;
use http_body_util::BodyExt;
use tokio::sync::mpsc;

/// Forwards body frames until the last frame or until the reader drops the body. The request counts as in
/// flight until then.
pub(super) async fn forward_body(
    mut body: ResponseBody,
    frames: mpsc::Sender<StreamItem>,
    in_flight: InFlightGuard,
) {
    loop {
        let item = tokio::select! {
            item = body.frame() => item,
            () = frames.closed() => break,
        };
        let is_last = !matches!(item, Some(Ok(_)));
        if frames.send(item).await.is_err() || is_last {
            break;
        }
    }
    drop(in_flight);
}
