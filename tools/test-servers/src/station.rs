//! An upstream with a queue: so many requests are worked on at once, so many wait, one more is turned away with the
//! marker; how long work takes is its maker's choice, and can be made worse while it runs.

use crate::hosted::Hosted;
use http_body_util::{BodyExt, Full};
use hyper::body::{Bytes, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{Semaphore, watch};

type Draw = Box<dyn FnMut() -> Duration + Send>;

struct State {
    free: Semaphore,
    waiting: AtomicUsize,
    queue: usize,
    draw: Mutex<Draw>,
    /// In thousandths.
    slow: AtomicU64,
    errors: AtomicBool,
    paused: watch::Sender<bool>,
    served: AtomicUsize,
    /// By how much its work has taken longer than was drawn, in microseconds.
    excess: AtomicU64,
}

/// An upstream with a queue. It ends when it is dropped.
pub struct Station {
    hosted: Hosted,
    state: Arc<State>,
}

impl Station {
    /// One with so many servers and places to wait; `draw` says how long each piece of work takes.
    pub fn start(servers: usize, queue: usize, draw: impl FnMut() -> Duration + Send + 'static) -> Self {
        let state = Arc::new(State {
            free: Semaphore::new(servers.min(Semaphore::MAX_PERMITS)),
            waiting: AtomicUsize::new(0),
            queue,
            draw: Mutex::new(Box::new(draw)),
            slow: AtomicU64::new(1000),
            errors: AtomicBool::new(false),
            paused: watch::Sender::new(false),
            served: AtomicUsize::new(0),
            excess: AtomicU64::new(0),
        });
        let shared = Arc::clone(&state);
        Self { hosted: Hosted::start(move |listener, ended| serve(listener, shared, ended)), state }
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.hosted.address
    }

    /// Requests that it has worked on to their end.
    pub fn served(&self) -> usize {
        self.state.served.load(Ordering::SeqCst)
    }

    /// By how much its work takes longer than was drawn, on average: timers are coarse, and machines busy.
    pub fn excess(&self) -> Duration {
        let all = Duration::from_micros(self.state.excess.load(Ordering::SeqCst));
        all / u32::try_from(self.served().max(1)).unwrap_or(u32::MAX)
    }

    /// From now on work takes so many times as long.
    pub fn slow(&self, factor: f64) {
        self.state.slow.store((factor * 1000.0).max(0.0) as u64, Ordering::SeqCst);
    }

    /// Answers 500 at once, or works again.
    pub fn fail(&self, fails: bool) {
        self.state.errors.store(fails, Ordering::SeqCst);
    }

    /// Stands still, or goes on.
    pub fn pause(&self, stands: bool) {
        self.state.paused.send_replace(stands);
    }

    /// Dies: its connections end, new ones are refused.
    pub fn kill(&mut self) {
        self.hosted.end();
    }
}

async fn serve(listener: TcpListener, state: Arc<State>, mut ended: watch::Receiver<bool>) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = ended.wait_for(|ended| *ended) => return,
        };
        let Ok((stream, _)) = accepted else { continue };
        let _ = stream.set_nodelay(true);
        let (state, mut ended) = (Arc::clone(&state), ended.clone());
        tokio::spawn(async move {
            let service = service_fn(|request| {
                let state = Arc::clone(&state);
                async move { Ok::<_, Infallible>(respond(&state, request).await) }
            });
            tokio::select! {
                _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service) => {}
                _ = ended.wait_for(|ended| *ended) => {}
            }
        });
    }
}

/// One place less while it waits, also when its client goes.
struct Waits<'a>(&'a AtomicUsize);

impl Drop for Waits<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

async fn respond(state: &State, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let _ = request.into_body().collect().await;
    let answer = |status: StatusCode| Response::builder().status(status);
    if state.errors.load(Ordering::SeqCst) {
        return answer(StatusCode::INTERNAL_SERVER_ERROR).body(Full::default()).unwrap();
    }
    let permit = match state.free.try_acquire() {
        Ok(permit) => permit,
        Err(_) => {
            let before = state.waiting.fetch_add(1, Ordering::SeqCst);
            let _waits = Waits(&state.waiting);
            if before >= state.queue {
                let away = answer(StatusCode::SERVICE_UNAVAILABLE).header("x-unprocessed", "1");
                return away.body(Full::default()).unwrap();
            }
            let Ok(permit) = state.free.acquire().await else {
                return answer(StatusCode::SERVICE_UNAVAILABLE).body(Full::default()).unwrap();
            };
            permit
        }
    };
    let takes = (state.draw.lock().unwrap_or_else(PoisonError::into_inner))();
    let slow = state.slow.load(Ordering::SeqCst) as f64 / 1000.0;
    let (takes, start) = (takes.mul_f64(slow), tokio::time::Instant::now());
    tokio::time::sleep(takes).await;
    let excess = start.elapsed().saturating_sub(takes);
    state.excess.fetch_add(excess.as_micros() as u64, Ordering::SeqCst);
    let _ = state.paused.subscribe().wait_for(|paused| !*paused).await;
    state.served.fetch_add(1, Ordering::SeqCst);
    drop(permit);
    answer(StatusCode::OK).body(Full::from("done")).unwrap()
}
