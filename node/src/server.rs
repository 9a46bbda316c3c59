//! The clients' side: accepts connections, reads requests, writes final answers.

use crate::client::{Client, Inbound, Stand};
use crate::driver::{Answer, Asked, Driver};
use crate::requests::{OpenId, Requests, Unfit};
use crate::seldom::Seldom;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, HeaderValue, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use lapisroute_settings::Site;
use rustc_hash::FxHashMap;
use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout};

/// How long a connection that is to end may take over the rest of an answer.
const ANSWER_MOST: Duration = Duration::from_secs(2);
/// How often it is looked at meanwhile, and an accept loop that waits for a place looks for another.
const LINGER: Duration = Duration::from_millis(250);
/// Pause after an accept has failed: when descriptors have run out, trying at once only spins.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// Size of a connection's buffer, the longest head.
const BUFFER: usize = 32 * 1024;

/// How far the end of this process has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Not at all.
    Serving,
    /// Not ready any more; connections end with their next answer.
    Leaving,
    /// Nothing new is accepted; connections end between requests.
    Closing,
}

/// What clients reach.
pub struct Server {
    driver: Rc<Driver>,
    requests: Requests,
    phase: watch::Receiver<Phase>,
    clients: RefCell<FxHashMap<u64, Rc<Client>>>,
    count: Cell<u64>,
    odd: Seldom,
}

impl Server {
    /// A server that hands requests to `driver`.
    pub fn new(driver: Rc<Driver>, site: &Site, phase: watch::Receiver<Phase>) -> Rc<Self> {
        Rc::new(Self {
            driver,
            requests: Requests::new(site),
            phase,
            clients: RefCell::default(),
            count: Cell::new(0),
            odd: Seldom::default(),
        })
    }

    /// Accepts clients, at most `most` at a time, until the process is closing; returns when the last of
    /// them has gone.
    pub async fn run(self: Rc<Self>, listener: TcpListener, most: usize) {
        let places = Arc::new(Semaphore::new(most));
        let mut phase = self.phase.clone();
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                _ = phase.wait_for(|p| *p == Phase::Closing) => break,
            };
            let stream = match accepted {
                Ok((stream, _)) => stream,
                Err(e) => {
                    self.odd.warn(|| format!("accept: {e}"));
                    sleep(ACCEPT_PAUSE).await;
                    continue;
                }
            };
            // Again and again: all may be busy now, and keep their connections once they are not.
            let place = loop {
                if let Ok(place) = Arc::clone(&places).try_acquire_owned() {
                    break place;
                }
                self.make_room();
                if let Ok(Ok(place)) = timeout(LINGER, Arc::clone(&places).acquire_owned()).await {
                    break place;
                }
            };
            let server = Rc::clone(&self);
            spawn_local(async move {
                server.connection(stream).await;
                drop(place);
            });
        }
        drop(listener);
        let _ = places.acquire_many(most as u32).await;
    }

    /// Ends the connection with which least is lost, for one that waits.
    fn make_room(&self) {
        let (now, clients) = (Instant::now(), self.clients.borrow());
        let worth = clients.values().filter_map(|client| Some((client.worth(now)?, client)));
        if let Some((_, client)) = worth.min_by_key(|(worth, _)| *worth) {
            client.end();
        }
    }

    async fn connection(self: Rc<Self>, stream: TcpStream) {
        // An unset option costs time, not truth.
        let _ = stream.set_nodelay(true);
        let mut phase = self.phase.clone();
        let number = self.count.replace(self.count.get() + 1);
        let client = Rc::new(Client::new());
        self.clients.borrow_mut().insert(number, Rc::clone(&client));
        let (server, of) = (Rc::clone(&self), Rc::clone(&client));
        let service = service_fn(move |request| {
            let (server, client) = (Rc::clone(&server), Rc::clone(&of));
            async move { Ok::<_, Infallible>(server.respond(&client, request).await) }
        });
        let mut builder = http1::Builder::new();
        // The head's time is the client's own affair, see `Client::overdue`.
        builder.header_read_timeout(None).max_buf_size(BUFFER);
        let inbound = Inbound::new(stream, Rc::clone(&client));
        let connection = builder.serve_connection(TokioIo::new(inbound), service);
        tokio::pin!(connection);
        let ended = tokio::select! {
            ended = connection.as_mut() => ended,
            // Part of a request at most: nothing was taken.
            () = client.is_to_end() => match client.stand() {
                Stand::New | Stand::Reading => Ok(()),
                Stand::Idle | Stand::Held => {
                    connection.as_mut().graceful_shutdown();
                    finish(&client, connection).await
                }
            },
            _ = phase.wait_for(|p| *p == Phase::Closing) => {
                connection.as_mut().graceful_shutdown();
                finish(&client, connection).await
            }
        };
        if let Err(e) = ended {
            tracing::debug!("client: {e}");
        }
        self.clients.borrow_mut().remove(&number);
    }

    async fn respond(&self, client: &Client, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let leaving = || *self.phase.borrow() != Phase::Serving;
        let whole_by = client.reads();
        let mut response = match request.uri().path() {
            "/health/ready" | "/health/live" if request.body().is_end_stream() => {
                client.holds();
                if leaving() && request.uri().path() == "/health/ready" {
                    plain(StatusCode::SERVICE_UNAVAILABLE, "leaving")
                } else {
                    plain(StatusCode::OK, "ok")
                }
            }
            _ => match self.read(client, request, whole_by).await {
                Ok((asked, _open)) => worded(self.driver.ask(asked).answer().await),
                Err(Unfit(status, why)) => plain(status, why),
            },
        };
        client.answered();
        if leaving() {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    /// Reads a request, its body included.
    async fn read(
        &self,
        client: &Client,
        request: Request<Incoming>,
        whole_by: Instant,
    ) -> Result<(Asked, OpenId), Unfit> {
        let (parts, body) = request.into_parts();
        let head = self.requests.head(parts, |shown| client.hides_a_length(shown))?;
        let read = self.requests.rest(head, body, whole_by).await?;
        client.holds();
        Ok(read)
    }
}

/// Waits for the answer that a connection which shuts down is still owed, or that is on its way to a client
/// who reads slowly. Between requests such a connection ends at once.
async fn finish(
    client: &Client,
    mut connection: Pin<&mut impl Future<Output = hyper::Result<()>>>,
) -> hyper::Result<()> {
    let mut answered = None;
    loop {
        if let Ok(ended) = timeout(LINGER, connection.as_mut()).await {
            return ended;
        }
        match client.stand() {
            Stand::Held => {}
            // Part of a request at most: nothing was taken.
            Stand::New | Stand::Reading => return Ok(()),
            Stand::Idle => {
                if answered.get_or_insert_with(Instant::now).elapsed() > ANSWER_MOST {
                    return Ok(());
                }
            }
        }
    }
}

fn plain(status: StatusCode, text: &'static str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    response
}

/// The words for a final answer.
fn worded(answer: Answer) -> Response<Full<Bytes>> {
    match answer {
        Answer::Served(served) => {
            let mut response = Response::new(Full::new(served.body));
            *response.headers_mut() = served.headers;
            response
        }
        Answer::Refused(retry_after) => {
            let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, "refused");
            let value = retry_after.and_then(|t| format!("{:.3}", t.as_secs_f64()).parse().ok());
            if let Some(value) = value {
                response.headers_mut().insert(RETRY_AFTER, value);
            }
            response
        }
        Answer::Failed => plain(StatusCode::BAD_GATEWAY, "failed"),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::pin::pin;

    /// Guards an answer on its way to a client who reads slowly: the end of its connection waits for it.
    #[tokio::test(flavor = "local")]
    async fn an_answer_on_its_way_is_finished() {
        let (client, whole) = (Client::new(), Cell::new(false));
        client.reads();
        client.holds();
        client.answered();
        let slow = pin!(async {
            sleep(3 * LINGER).await;
            whole.set(true);
            Ok(())
        });
        finish(&client, slow).await.unwrap();
        assert!(whole.get());
        // One that never comes to an end is given up.
        finish(&client, pin!(std::future::pending())).await.unwrap();
    }
}
