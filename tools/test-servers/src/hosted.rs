//! A server of a stand-in, on a thread of its own until it is dropped.

use std::future::Future;
use std::net::SocketAddr;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// A server; it ends when it is dropped.
pub(crate) struct Hosted {
    /// Where it listens.
    pub(crate) address: SocketAddr,
    end: watch::Sender<bool>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl Hosted {
    /// Starts one at a port of the system's choice; it is told when to end.
    pub(crate) fn start<F: Future<Output = ()>>(
        serve: impl FnOnce(TcpListener, watch::Receiver<bool>) -> F + Send + 'static,
    ) -> Self {
        let (end, ended) = watch::channel(false);
        let (tell, told) = std::sync::mpsc::channel();
        let thread = std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
            runtime.block_on(async move {
                let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
                tell.send(listener.local_addr().unwrap()).unwrap();
                serve(listener, ended).await;
            });
        });
        Self { address: told.recv().unwrap(), end, thread: Some(thread) }
    }

    /// Ends it, and waits until it has ended.
    pub(crate) fn end(&mut self) {
        self.end.send_replace(true);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Drop for Hosted {
    fn drop(&mut self) {
        self.end();
    }
}
