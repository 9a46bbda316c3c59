//! The processes of the proxy rig that are this program itself: an upstream, an axum host with the middleware, and a
//! plain peer. Each prints its address and ends with its input.

use crate::proxy::embedded;
use axum::Router;
use axum::body::Body;
use axum::error_handling::HandleError;
use bytes::Bytes;
use http::{Request, Response, StatusCode, Uri};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1 as client;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioIo};
use maplehook_tower::{Balance, Balancing};
use std::cell::Cell;
use std::convert::Infallible;
use std::future::Future;
use std::io::Read;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Mutex;
use tower::balance::p2c;
use tower::buffer::Buffer;
use tower::discover::ServiceList;
use tower::load::{CompleteOnResponse, PendingRequests};
use tower::{Service, ServiceExt};

type Failure = Box<dyn std::error::Error + Send + Sync>;

/// Runs a role on one thread until standard input ends.
pub fn run<F, R>(role: R) -> Result<(), String>
where
    R: FnOnce(TcpListener) -> F,
    F: Future<Output = Result<(), Failure>>,
{
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(|e| e.to_string())?;
    std::thread::spawn(|| {
        let _ = std::io::stdin().read_to_end(&mut Vec::new());
        std::process::exit(0);
    });
    runtime.block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.map_err(|e| e.to_string())?;
        println!("{}", listener.local_addr().map_err(|e| e.to_string())?);
        role(listener).await.map_err(|e| e.to_string())
    })
}

/// An upstream: `/bytes/N` is N bytes, anything else is read and answered with a word.
pub async fn desk(listener: TcpListener) -> Result<(), Failure> {
    let long = Bytes::from(vec![b'x'; 1 << 20]);
    loop {
        let (stream, _) = listener.accept().await?;
        stream.set_nodelay(true)?;
        let long = long.clone();
        let service = service_fn(move |request: Request<Incoming>| {
            let long = long.clone();
            async move {
                let (parts, mut body) = request.into_parts();
                while let Some(Ok(_)) = body.frame().await {}
                let length = parts.uri.path().strip_prefix("/bytes/").and_then(|n| n.parse().ok());
                let body =
                    length.map_or(Bytes::from_static(b"done"), |n: usize| long.slice(..n.min(long.len())));
                Ok::<_, Infallible>(Response::new(Full::new(body)))
            }
        });
        tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
    }
}

/// An axum host with the middleware.
pub async fn host(listener: TcpListener, upstreams: Vec<SocketAddr>) -> Result<(), Failure> {
    let balancing = Balancing::from_file(&embedded(&upstreams))?;
    let app = Router::new().layer(Balance::new(&balancing));
    Ok(axum::serve(tcp_nodelay(listener), app).await?)
}

fn tcp_nodelay(listener: TcpListener) -> impl axum::serve::Listener<Addr = SocketAddr> {
    use axum::serve::ListenerExt;
    listener.tap_io(|stream| drop(stream.set_nodelay(true)))
}

/// One upstream of the plain peer.
#[derive(Clone)]
struct Endpoint {
    client: Client<HttpConnector, Body>,
    address: SocketAddr,
}

impl Service<Request<Body>> for Endpoint {
    type Response = Response<Incoming>;
    type Error = hyper_util::client::legacy::Error;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, Self::Error>> + Send>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, mut request: Request<Body>) -> Self::Future {
        let path = request.uri().path_and_query().map_or("/", |p| p.as_str());
        if let Ok(uri) = format!("http://{}{path}", self.address).parse::<Uri>() {
            *request.uri_mut() = uri;
        }
        Box::pin(self.client.request(request))
    }
}

/// The plain peer: axum, hyper-util's client and tower's p2c.
pub async fn plain(listener: TcpListener, upstreams: Vec<SocketAddr>) -> Result<(), Failure> {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    let client: Client<HttpConnector, Body> = Client::builder(TokioExecutor::new()).build(connector);
    let endpoints = upstreams.into_iter().map(|address| {
        let endpoint = Endpoint { client: client.clone(), address };
        PendingRequests::new(endpoint, CompleteOnResponse::default())
    });
    let balance = p2c::Balance::new(ServiceList::new(endpoints.collect::<Vec<_>>()));
    let plain =
        Buffer::new(balance, 1024).map_response(|response: Response<Incoming>| response.map(Body::new));
    let plain =
        HandleError::new(plain, |e: tower::BoxError| async move { (StatusCode::BAD_GATEWAY, e.to_string()) });
    let app = Router::new().fallback_service(plain);
    Ok(axum::serve(tcp_nodelay(listener), app).await?)
}

/// The least that turns over so many connections cost: a bare relay that keeps them all open and takes the next.
pub async fn turns(listener: TcpListener, count: usize, upstreams: Vec<SocketAddr>) -> Result<(), Failure> {
    let mut kept = Vec::with_capacity(count);
    for n in 0..count {
        let stream = TcpStream::connect(upstreams[n % upstreams.len()]).await?;
        stream.set_nodelay(true)?;
        let (sender, connection) = client::handshake::<_, Body>(TokioIo::new(stream)).await?;
        tokio::spawn(connection);
        kept.push(Rc::new(Mutex::new(sender)));
    }
    let (kept, next) = (Rc::new(kept), Rc::new(Cell::new(0)));
    let local = tokio::task::LocalSet::new();
    let serving = async {
        loop {
            let (stream, _) = listener.accept().await?;
            stream.set_nodelay(true)?;
            let (kept, next) = (Rc::clone(&kept), Rc::clone(&next));
            let service = service_fn(move |request: Request<Incoming>| {
                let turn = next.get();
                next.set((turn + 1) % kept.len());
                let sender = Rc::clone(&kept[turn]);
                async move {
                    // One at a time on each; with few connections some wait.
                    let mut sender = sender.lock().await;
                    sender.ready().await?;
                    let response = sender.send_request(request.map(Body::new)).await?;
                    let (parts, body) = response.into_parts();
                    let body = body.collect().await?.to_bytes();
                    Ok::<_, Failure>(Response::from_parts(parts, Full::new(body)))
                }
            });
            tokio::task::spawn_local(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
        }
    };
    local.run_until(serving).await
}
