//! Runs a balancer on a thread of another program.

use crate::config::Config;
use crate::serve::{self, ServingHooks};
use maplehook_config::Operator;
use std::error::Error;
use std::net::SocketAddr;
use std::thread::JoinHandle;
use tokio::sync::oneshot;

/// Running balancer. Dropping the handle shuts the balancer down as SIGTERM does, and waits for its end.
pub struct Daemon {
    /// Address that the balancer listens on.
    pub address: SocketAddr,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Daemon {
    /// Starts a balancer that is configured by an operator's file.
    pub fn start(operator: Operator) -> Result<Self, Box<dyn Error>> {
        Self::spawn(move |hooks| serve::run_from_file(operator, None, None, None, Some(hooks)))
    }

    /// Starts a balancer that is configured by the platform.
    pub fn on_platform(config: Config, operator: Operator) -> Result<Self, Box<dyn Error>> {
        Self::spawn(move |hooks| serve::run_on_platform(config, operator, None, Some(hooks)))
    }

    fn spawn(
        run: impl FnOnce(ServingHooks) -> Result<(), Box<dyn Error>> + Send + 'static,
    ) -> Result<Self, Box<dyn Error>> {
        let (stop, stopped) = oneshot::channel();
        let (result_sender, start_result) = std::sync::mpsc::channel();
        let thread = std::thread::Builder::new().name("maplehook-daemon".into()).spawn(move || {
            let ready_sender = result_sender.clone();
            let on_ready = Box::new(move |address| drop(ready_sender.send(Ok(address))));
            if let Err(e) = run(ServingHooks { on_ready, stop: stopped }) {
                let _ = result_sender.send(Err(e.to_string()));
            }
        })?;
        let address = start_result.recv()??;
        Ok(Self { address, stop: Some(stop), thread: Some(thread) })
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
