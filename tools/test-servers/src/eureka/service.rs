//! The registry on the wire: it reads requests, and answers as its mode says.

use super::rest::{read, spoil, write};
use super::xml::to_xml;
use super::{Mode, State, lock};
use flate2::write::GzEncoder;
use http_body_util::{BodyExt, Full, combinators::BoxBody};
use hyper::body::{Bytes, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response};
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Serves until it is told to end.
pub async fn serve(listener: std::net::TcpListener, state: Arc<State>, mut ended: watch::Receiver<bool>) {
    let listener = TcpListener::from_std(listener).unwrap();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = ended.wait_for(|ended| *ended) => return,
        };
        let Ok((stream, _)) = accepted else { continue };
        let _ = stream.set_nodelay(true);
        let (state, mut ended) = (Arc::clone(&state), ended.clone());
        tokio::spawn(async move {
            let reset = tokio::sync::Notify::new();
            let service = service_fn(|request| async {
                match respond(&state, request).await {
                    Some(response) => Ok::<_, Infallible>(response),
                    None => {
                        reset.notify_one();
                        std::future::pending().await
                    }
                }
            });
            tokio::select! {
                _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service) => {}
                () = reset.notified() => {}
                _ = ended.wait_for(|ended| *ended) => {}
            }
        });
    }
}

type AnyBody = BoxBody<Bytes, Infallible>;

fn plain(status: u16) -> Response<AnyBody> {
    Response::builder().status(status).body(Full::default().boxed()).unwrap()
}

/// `None`: the connection ends.
async fn respond(state: &State, request: Request<Incoming>) -> Option<Response<AnyBody>> {
    let (parts, body) = request.into_parts();
    let path = parts.uri.path().to_owned();
    let query: Vec<(String, String)> = parts
        .uri
        .query()
        .unwrap_or_default()
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .map(|(name, value)| (name.to_owned(), value.to_owned()))
        .collect();
    // Whatever the base path is.
    let words: Vec<String> = path
        .split('/')
        .skip_while(|word| !matches!(*word, "apps" | "vips" | "svips" | "instances"))
        .filter(|word| !word.is_empty())
        .map(|word| word.replace("%3A", ":").replace("%3a", ":"))
        .collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    let kind = match &words[..] {
        ["apps"] => "apps",
        ["apps", "delta"] => "delta",
        _ => "other",
    };
    *lock(&state.requests).entry(kind).or_default() += 1;
    let header = |name: &str| parts.headers.get(name).and_then(|v| v.to_str().ok()).unwrap_or_default();
    if lock(&state.word).as_ref().is_some_and(|word| word != header("authorization")) {
        return Some(plain(401));
    }
    if parts.method != Method::GET {
        let xml = header("content-type").contains("xml");
        let body = body.collect().await.ok()?.to_bytes();
        return Some(plain(write(&mut lock(&state.registry), &parts.method, &words, &query, &body, xml)));
    }
    let (mode, before) = lock(&state.mode).clone();
    match mode {
        Mode::Status(status) => return Some(plain(status)),
        Mode::Reset => return None,
        Mode::Mute => std::future::pending().await,
        _ => {}
    }
    let registry = match (mode, before) {
        (Mode::Stale, Some(before)) => before,
        _ => {
            let mut registry = lock(&state.registry);
            registry.evict();
            registry.clone()
        }
    };
    let Some(mut document) = read(&registry, &words) else { return Some(plain(404)) };
    spoil(&mut document, mode);
    // As real servers do where nothing is asked for.
    let xml = !header("accept").contains("json");
    let mut text = if xml { to_xml(&document) } else { document.to_string().into_bytes() };
    match mode {
        Mode::Truncated => text.truncate(text.len() / 2),
        Mode::Garbled => (0..text.len()).step_by(17).for_each(|n| text[n] = b'\x01'),
        Mode::Drip => {
            let mut sent = 0;
            let stream = futures_util::stream::unfold((), move |()| {
                let byte = text.get(sent).copied().unwrap_or(b' ');
                sent += 1;
                async move {
                    tokio::time::sleep(Duration::from_millis(100)).await;
                    Some((Ok(hyper::body::Frame::data(Bytes::copy_from_slice(&[byte]))), ()))
                }
            });
            let body = http_body_util::StreamBody::new(Box::pin(stream));
            return Some(Response::new(BodyExt::boxed(SyncBody(Mutex::new(body)))));
        }
        _ => {}
    }
    let media_type = if xml { "application/xml" } else { "application/json" };
    let mut response = Response::builder().header("content-type", media_type);
    if header("accept-encoding").contains("gzip") {
        let mut encoder = GzEncoder::new(Vec::new(), flate2::Compression::fast());
        encoder.write_all(&text).ok()?;
        text = encoder.finish().ok()?;
        response = response.header("content-encoding", "gzip");
    }
    state.bytes.fetch_add(text.len(), std::sync::atomic::Ordering::SeqCst);
    response.body(Full::new(Bytes::from(text)).boxed()).ok()
}

/// A body that is polled by one task, whatever threads there are.
struct SyncBody<B>(Mutex<B>);

impl<B: hyper::body::Body<Data = Bytes, Error = Infallible> + Unpin> hyper::body::Body for SyncBody<B> {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        self: std::pin::Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Result<hyper::body::Frame<Bytes>, Infallible>>> {
        std::pin::Pin::new(&mut *lock(&self.0)).poll_frame(cx)
    }
}
