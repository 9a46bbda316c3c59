//! SIGHUP: the platform's file is read anew. Discovery's address and the settings are taken from it, whole or not at all.

use crate::admission::AdmissionController;
use crate::config::Config;
use crate::requests::RequestReader;
use maplehook::metrics::RequestMetrics;
use maplehook::parts::descriptors::Descriptors;
use maplehook::parts::discovery::Discovery;
use maplehook::parts::driver::Driver;
use maplehook_platform_settings::ActiveSettings;
use std::cell::Cell;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::runtime::Builder;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::time::Instant;

/// How long a process stays after SIGTERM, by its settings.
pub type Grace = Rc<Cell<Duration>>;

/// From here on SIGHUP ends this process no more, and one that comes before [`Retuner::run`] listens is kept for it: the
/// platform may send it as soon as the process is there, and while the configuration that it is about is being read.
pub fn catch_hangups() -> io::Result<()> {
    let runtime = Builder::new_current_thread().enable_io().build()?;
    let _entered = runtime.enter();
    // The handler stays for good. What it has noted is passed on by the runtime that serves.
    signal(SignalKind::hangup()).map(drop)
}

/// Whom new settings concern.
pub struct Retuner {
    /// What the process was started with.
    pub config: Config,
    /// The connections to the list.
    pub discovery: Rc<Discovery>,
    /// The reader of requests.
    pub requests: Rc<RequestReader>,
    /// The door.
    pub admission: Rc<AdmissionController>,
    /// A descriptor for the file.
    pub descriptors: Rc<Descriptors>,
    /// How long a process stays after SIGTERM.
    pub grace: Grace,
    /// The same, by settings.
    pub grace_by: fn(&ActiveSettings) -> Duration,
}

impl Retuner {
    /// Reads the file at each SIGHUP, as long as the process lives.
    pub async fn run(self, mut hangup: Signal, driver: Rc<Driver>, counting: Rc<RequestMetrics>) {
        let (start, mut tuned) = (Instant::now(), self.config.tuned.clone());
        while hangup.recv().await.is_some() {
            let read = self.descriptors.with_spare(|| self.config.retuned(start.elapsed(), &tuned));
            match read {
                Ok((discovery, new)) => {
                    counting.metrics().conf_loaded.inc();
                    tracing::info!(%discovery, retuned = new != tuned, "configuration read anew");
                    if new != tuned {
                        self.retune(&new, &driver, &counting);
                        tuned = new;
                    }
                    if self.discovery.set_address(discovery) {
                        driver.restart_watch();
                    }
                }
                Err(e) => {
                    counting.metrics().conf_invalid.inc();
                    tracing::warn!("the configuration stays as it is: {e}");
                }
            }
        }
    }

    /// The decisions come first: no request may come by a class or tenant that they do not know.
    fn retune(&self, tuned: &ActiveSettings, driver: &Rc<Driver>, counting: &RequestMetrics) {
        let site = tuned.current();
        driver.update_settings(site.settings.clone(), tuned.removed_tenants());
        counting.set_classes(&site.names.classes);
        let guarantees: Vec<f64> = site.settings.tenants.iter().map(|t| t.allowance_per_s).collect();
        self.admission.set_tenant_guarantees(&guarantees);
        self.discovery.set_names(site.names.clone());
        self.grace.set((self.grace_by)(tuned));
        self.requests.update_settings(tuned);
    }
}
