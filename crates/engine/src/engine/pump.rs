//! Passes an answer that streams on to whoever reads it.

use crate::call::Piece;
use crate::parts::answer::ResponseBody;
use crate::parts::dispatcher::InFlightGuard;
use http_body_util::BodyExt;
use tokio::sync::mpsc;

/// Passes frames on until the last of them, or until nobody reads them any more; its request counts as inside until then.
pub(super) async fn pump(mut body: ResponseBody, frames: mpsc::Sender<Piece>, inside: InFlightGuard) {
    loop {
        let piece = tokio::select! {
            piece = body.frame() => piece,
            () = frames.closed() => break,
        };
        let last = !matches!(piece, Some(Ok(_)));
        if frames.send(piece).await.is_err() || last {
            break;
        }
    }
    drop(inside);
}
