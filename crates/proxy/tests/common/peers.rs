//! Peers on a thread of their own, for tests with many connections at once.

use std::net::{SocketAddr, TcpListener as StdListener};
use tokio::net::{TcpListener, TcpStream};

/// Starts peers that serve each connection by `serve`, for the rest of the program.
pub fn start<F, S>(count: usize, serve: F) -> Vec<SocketAddr>
where
    F: Fn(TcpStream) -> S + Clone + Send + 'static,
    S: Future<Output = std::io::Result<()>> + Send + 'static,
{
    let listeners: Vec<_> = (0..count).map(|_| StdListener::bind("127.0.0.1:0").unwrap()).collect();
    let addresses = listeners.iter().map(|listener| listener.local_addr().unwrap()).collect();
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        runtime.block_on(async {
            for listener in listeners {
                listener.set_nonblocking(true).unwrap();
                let listener = TcpListener::from_std(listener).unwrap();
                let serve = serve.clone();
                tokio::spawn(async move {
                    while let Ok((stream, _)) = listener.accept().await {
                        tokio::spawn(serve(stream));
                    }
                });
            }
            std::future::pending::<()>().await;
        });
    });
    addresses
}
