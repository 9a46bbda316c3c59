//! The layer and the client in a host program: nested routers, retries, time limits, and every way in which a host
//! can end while bookings are out.

use axum::Router;
use axum::body::Body;
use axum::routing::{get, post};
use bytes::Bytes;
use futures_util::future::join_all;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full};
use maplehook_test_servers::app::{App, patterned};
use maplehook_test_servers::{LONG, until};
use maplehook_tower::{Balance, Balancing, CallError, Client, Peer, RejectionReason, Trace};
use std::io::{Read, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};
use tokio::runtime::Runtime;
use tower::{Service, ServiceBuilder, ServiceExt};

fn file(app: &App) -> String {
    format!(
        "[[class]]\nname = \"book\"\npath = \"/book/**\"\nmethods = [\"POST\"]\neffect = \"at_most_once\"\n\
         deadline_ms = 8000\nbody_most_bytes = 3000000\n\
         [[class]]\nname = \"look\"\npath = \"/look/**\"\nmethods = [\"GET\"]\neffect = \"idempotent\"\n\
         deadline_ms = 8000\n[[upstream]]\nname = \"desk\"\naddress = \"{}\"\n",
        app.address
    )
}

fn host() -> Runtime {
    tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build().unwrap()
}

fn book(path: &str, key: &str) -> Request<Full<Bytes>> {
    let request = Request::post(path).header("host", "desk").header("idempotency-key", key);
    request.body(Full::new("two beds".into())).unwrap()
}

async fn text(response: http::Response<impl http_body::Body<Data = Bytes, Error: std::fmt::Debug>>) -> Bytes {
    response.into_body().collect().await.unwrap().to_bytes()
}

/// Guards the host's own pages: what no class matches is theirs, by path or by method, also in a nested router, and
/// what a class matches never reaches them.
#[test]
fn what_no_class_matches_is_the_hosts() {
    let (app, host) = (App::start(), host());
    let balancing = Balancing::from_file(&file(&app)).unwrap();
    let inner = Router::new()
        .route("/hello", get(|| async { "hello" }))
        .route("/book/{n}", get(|| async { "the host's page on a booking" }).post(|| async { "never" }))
        .layer(Balance::new(&balancing));
    let outer = Router::new().nest("/shop", inner.clone()).route("/book/1", post(|| async { "outside" }));
    host.block_on(async {
        let ask = |router: &Router, request: Request<Body>| {
            let router = router.clone();
            async move {
                let response = router.oneshot(request).await.unwrap();
                (response.status(), response.extensions().get::<Trace>().copied(), text(response).await)
            }
        };
        let get = |path: &str| Request::get(path).header("host", "desk").body(Body::empty()).unwrap();
        let post = |path: &str| Request::post(path).header("host", "desk").body(Body::from("x")).unwrap();
        for (router, at) in [(&inner, ""), (&outer, "/shop")] {
            assert_eq!(ask(router, get(&format!("{at}/hello"))).await.2, "hello");
            assert_eq!(ask(router, get(&format!("{at}/book/1"))).await.2, "the host's page on a booking");
            let (status, trace, body) = ask(router, post(&format!("{at}/book/1"))).await;
            assert_eq!((status, &body[..]), (StatusCode::OK, &b"done"[..]));
            let trace = trace.expect("a trace");
            assert!(trace.attempts == 1 && trace.upstream.is_some(), "{trace:?}");
            assert_eq!(ask(router, get(&format!("{at}/nothing"))).await.0, StatusCode::NOT_FOUND);
        }
        assert_eq!(ask(&outer, post("/book/1")).await.2, "outside");
        // Who asked is the host's to say.
        let mut told = get("/look/echo");
        told.extensions_mut().insert(Peer {
            address: "192.0.2.7".parse().unwrap(),
            trusted: false,
            tls: true,
        });
        let echo = String::from_utf8(ask(&inner, told).await.2.to_vec()).unwrap();
        assert!(
            echo.contains("[\"x-forwarded-for\",\"192.0.2.7\"],[\"x-forwarded-proto\",\"https\"]"),
            "{echo}"
        );
    });
    assert_eq!(app.seen().iter().filter(|s| s.target == "/book/1").count(), 2);
}

/// Guards bodies both ways through the host's threads: long ones stream, one that is too long says so, one that
/// breaks off half way is not taken for whole.
#[test]
fn bodies_stream_through_a_host() {
    let (app, host) = (App::start(), host());
    let balancing = Balancing::from_file(&file(&app)).unwrap();
    let client = Client::new(&balancing);
    host.block_on(async {
        let post = |body: Body| Request::post("/book/echo").header("host", "desk").body(body).unwrap();
        let echo = text(client.clone().oneshot(post(Body::from(patterned(2_500_000)))).await.unwrap()).await;
        let echo = String::from_utf8(echo.to_vec()).unwrap();
        assert!(echo.contains("\"length\":2500000,\"patterned\":true"), "{echo}");
        let error = client.clone().oneshot(post(Body::from(vec![0; 3_000_001]))).await.unwrap_err();
        assert!(
            matches!(error, CallError::Refused(r) if r.reason == RejectionReason::BodyTooLong),
            "{error}"
        );
        assert_eq!(error.to_string(), "refused: the body is too long");
        let pieces = [Ok(patterned(100_000)), Err(std::io::Error::other("the host's disk"))];
        let broken = Body::from_stream(futures_util::stream::iter(pieces));
        assert!(matches!(client.clone().oneshot(post(broken)).await, Err(CallError::Failed)));
        let get =
            |path: &str| Request::get(path).header("host", "desk").body(Full::<Bytes>::default()).unwrap();
        let long = client.clone().oneshot(get("/look/bytes/20000000")).await.unwrap();
        assert!(text(long).await == patterned(20_000_000));
        let broken = client.clone().oneshot(get("/look/break/200000")).await.unwrap();
        assert!(broken.into_body().collect().await.is_err());
        // One that nobody reads stays with its upstream, and dropping it ends it there.
        let made = app.made();
        let unread = client.clone().oneshot(get("/look/bytes/90000000")).await.unwrap();
        tokio::time::sleep(Duration::from_millis(200)).await;
        assert!(app.made() - made < 40_000_000, "{}", app.made() - made);
        drop(unread);
    });
    assert_eq!(app.effects().values().sum::<usize>(), 1);
}

#[derive(Clone)]
struct Again(usize);

impl<B: Clone, R> tower::retry::Policy<Request<B>, R, CallError> for Again {
    type Future = std::future::Ready<()>;

    fn retry(&mut self, _: &mut Request<B>, result: &mut Result<R, CallError>) -> Option<Self::Future> {
        self.0 = self.0.checked_sub(1)?;
        matches!(result, Err(CallError::Failed)).then(|| std::future::ready(()))
    }

    fn clone_request(&mut self, request: &Request<B>) -> Option<Request<B>> {
        Some(request.clone())
    }
}

/// Guards a confirmation against `tower::retry` round it, and against `tower::timeout` that drops it while it is out:
/// it runs once, and who asks again has its answer.
#[test]
fn a_host_that_retries_runs_nothing_twice() {
    let (app, host) = (App::start(), host());
    let balancing = Balancing::from_file(&file(&app)).unwrap();
    host.block_on(async {
        let retrying = ServiceBuilder::new().retry(Again(5)).service(Client::new(&balancing));
        assert!(matches!(retrying.clone().oneshot(book("/book/reset", "a")).await, Err(CallError::Failed)));
        assert_eq!(text(retrying.oneshot(book("/book/1", "b")).await.unwrap()).await, "done");
        let limit = Duration::from_millis(150);
        let limited = ServiceBuilder::new().timeout(limit).service(Client::new(&balancing));
        let ran = limited.clone().oneshot(book("/book/slow/600", "c")).await;
        assert!(ran.unwrap_err().is::<tower::timeout::error::Elapsed>());
        let again = Client::new(&balancing).oneshot(book("/book/slow/600", "c")).await.unwrap();
        assert_eq!(text(again).await, "slow");
        // Dropped without a key: nobody could ask again, and its attempt is called back.
        let nameless =
            Request::post("/book/slow/60000").header("host", "desk").body(Full::<Bytes>::default());
        assert!(limited.oneshot(nameless.unwrap()).await.is_err());
    });
    let effects = app.effects();
    assert_eq!((effects["a"], effects["b"], effects["c"]), (1, 1, 1));
    host.block_on(balancing.shutdown(Duration::from_secs(5)));
}

/// Guards answers that were made for another booking: through the layer, a key that was used for another one is refused
/// with a status that says so.
#[test]
fn a_key_that_was_used_for_another_booking_is_refused() {
    let (app, host) = (App::start(), host());
    let balancing = Balancing::from_file(&file(&app)).unwrap();
    let router = Router::new().route("/host", get(|| async { "host" })).layer(Balance::new(&balancing));
    let status = |path: &str| {
        let (parts, body) = book(path, "trek-8").into_parts();
        host.block_on(router.clone().oneshot(Request::from_parts(parts, Body::new(body)))).unwrap().status()
    };
    assert_eq!([status("/book/1"), status("/book/1")], [StatusCode::OK; 2]);
    assert_eq!(status("/book/2"), StatusCode::UNPROCESSABLE_ENTITY);
    assert_eq!((app.ran("/book/1"), app.ran("/book/2")), (1, 0));
}

/// Guards what is out at the host's end, planned: fifty bookings, one final answer each, none lost; and `shutdown` from
/// two places and from inside a request.
#[test]
fn a_planned_end_answers_fifty_bookings() {
    let (app, host) = (App::start(), host());
    let balancing = Arc::new(Balancing::from_file(&file(&app)).unwrap());
    let ending = Arc::clone(&balancing);
    let router = Router::new()
        .route(
            "/end",
            get(|| async move {
                ending.shutdown(LONG).await;
                "ended"
            }),
        )
        .layer(Balance::new(&balancing));
    let answers = host.block_on(async {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (stop, stopped) = tokio::sync::oneshot::channel::<()>();
        let serving = tokio::spawn(
            axum::serve(listener, router).with_graceful_shutdown(async { drop(stopped.await) }).into_future(),
        );
        let http = reqwest::Client::builder().no_proxy().build().unwrap();
        let asking: Vec<_> = (0..50)
            .map(|n| {
                let request =
                    http.post(format!("http://{address}/book/slow/600")).header("idempotency-key", n);
                tokio::spawn(async move { request.send().await.unwrap().status().as_u16() })
            })
            .collect();
        let out = Instant::now();
        while app.seen().len() < 50 {
            assert!(out.elapsed() < LONG);
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        drop(stop);
        let inside = http.get(format!("http://{address}/end")).send();
        let (_, inside, _) = tokio::join!(balancing.shutdown(LONG), inside, balancing.shutdown(LONG));
        // The host takes nothing new; where it still did, the request that ends it is answered.
        assert!(inside.is_err() || inside.unwrap().status() == 200);
        let answers: Vec<u16> = join_all(asking).await.into_iter().map(Result::unwrap).collect();
        serving.await.unwrap().unwrap();
        let late = Client::new(&balancing).oneshot(book("/book/1", "late")).await;
        assert!(matches!(late, Err(CallError::Refused(r)) if r.reason == RejectionReason::ShuttingDown));
        answers
    });
    assert_eq!(answers, [200; 50]);
    assert_eq!(app.effects().values().copied().collect::<Vec<_>>(), [1; 50]);
}

/// Guards what is out when the host is gone without a word: its runtime is dropped, or its handler panics, and who
/// asks again, from another runtime, has the first one's answer.
#[test]
fn a_host_that_is_gone_takes_no_booking_along() {
    let app = App::start();
    let balancing = Balancing::from_file(&file(&app)).unwrap();
    let gone = host();
    let panics = Arc::new(AtomicUsize::new(0));
    for n in 0..10 {
        let (mut client, panics) = (Client::new(&balancing), Arc::clone(&panics));
        gone.spawn(async move {
            let call = client.call(book("/book/slow/700", &n.to_string()));
            if n % 2 == 0 {
                let _out = tokio::spawn(call);
                tokio::time::sleep(Duration::from_millis(300)).await;
                panics.fetch_add(1, Ordering::SeqCst);
                panic!("a handler's own fault");
            }
            let _ = call.await;
        });
    }
    until("all are out", || app.seen().len() == 10);
    until("handlers have panicked", || panics.load(Ordering::SeqCst) == 5);
    gone.shutdown_background();
    let other = host();
    other.block_on(async {
        for n in 0..10 {
            let answer =
                Client::new(&balancing).oneshot(book("/book/slow/700", &n.to_string())).await.unwrap();
            assert_eq!(text(answer).await, "slow");
        }
    });
    assert_eq!(app.effects().values().copied().collect::<Vec<_>>(), [1; 10]);
}

/// Guards a host from its own file: its faults are named as everywhere.
#[test]
fn faults_of_the_file_are_named() {
    let error = Balancing::from_file("[[class]]\npath = \"x\"\n").err().unwrap().to_string();
    assert!(error.contains("line 2: class[1].path"), "{error}");
    assert!(error.contains("[[upstream]] is needed"), "{error}");
}

/// Guards clients of a host whose upstream reads a long body not to its end: they have a final answer in time.
#[test]
fn an_upload_that_is_not_read_is_answered_in_time() {
    const WAIT: Duration = Duration::from_millis(500);
    let (upstream, host) = (std::net::TcpListener::bind("127.0.0.1:0").unwrap(), host());
    let file = format!(
        "[[class]]\nname = \"book\"\npath = \"/book/**\"\nmethods = [\"POST\"]\neffect = \"at_most_once\"\n\
         deadline_ms = {}\n[[upstream]]\nname = \"desk\"\naddress = \"{}\"\n",
        WAIT.as_millis(),
        upstream.local_addr().unwrap()
    );
    let balancing = Balancing::from_file(&file).unwrap();
    let router = Router::new().layer(Balance::new(&balancing));
    let address = host.block_on(async {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        tokio::spawn(async move { axum::serve(listener, router).await.unwrap() });
        address
    });
    let mut client = std::net::TcpStream::connect(address).unwrap();
    client.set_read_timeout(Some(LONG)).unwrap();
    let head = "POST /book/1 HTTP/1.1\r\nHost: desk\r\nContent-Length: 600000\r\n\r\n";
    client.write_all(head.as_bytes()).unwrap();
    client.write_all(&[b'x'; 600_000]).unwrap();
    let written_at = Instant::now();
    assert!(client.read(&mut [0; 1024]).unwrap() > 0);
    assert!(written_at.elapsed() < WAIT + Duration::from_millis(500), "{:?}", written_at.elapsed());
    drop(upstream);
}
