//! SIGHUP: the platform's file is read anew. Discovery's address and the settings are taken from it, whole or not at all.

use crate::admission::AdmissionController;
use crate::config::Config;
use crate::requests::RequestReader;
use maplehook::parts::descriptors::Descriptors;
use maplehook::parts::discovery::Discovery;
use maplehook::parts::driver::Driver;
use maplehook::tally::Counting;
use maplehook_platform_settings::ActiveSettings;
use std::cell::Cell;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::runtime::Builder;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::time::Instant;

/// How long a process stays after SIGTERM, by its settings.
pub type SharedGrace = Rc<Cell<Duration>>;

/// From here on SIGHUP ends this process no more, and one that comes before [`Retuner::run`] listens is kept for it: the
/// platform may send it as soon as the process is there, and while the configuration that it is about is being read.
pub fn install_hangup_handler() -> io::Result<()> {
    let runtime = Builder::new_current_thread().enable_io().build()?;
    let _entered = runtime.enter();
    // The handler stays for good. What it has noted is passed on by the runtime that serves.
    signal(SignalKind::hangup()).map(drop)
}

/// Whom new settings concern.
pub struct ConfigReloader {
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
    pub grace: SharedGrace,
    /// The same, by settings.
    pub grace_from_settings: fn(&ActiveSettings) -> Duration,
}

impl ConfigReloader {
    /// Reads the file at each SIGHUP, as long as the process lives.
    pub async fn run(self, mut hangup: Signal, driver: Rc<Driver>, counting: Rc<Counting>) {
        let (start, mut settings) = (Instant::now(), self.config.settings_state.clone());
        while hangup.recv().await.is_some() {
            let result = self.descriptors.with_spare(|| self.config.reload(start.elapsed(), &settings));
            match result {
                Ok((discovery, new_settings)) => {
                    counting.tally().conf_loaded.inc();
                    tracing::info!(%discovery, retuned = new_settings != settings, "configuration read anew");
                    if new_settings != settings {
                        self.apply_settings(&new_settings, &driver, &counting);
                        settings = new_settings;
                    }
                    if self.discovery.set_address(discovery) {
                        driver.restart_watch();
                    }
                }
                Err(e) => {
                    counting.tally().conf_invalid.inc();
                    tracing::warn!("the configuration stays as it is: {e}");
                }
            }
        }
    }

    /// The decisions come first: no request may come by a class or tenant that they do not know.
    fn apply_settings(&self, settings: &ActiveSettings, driver: &Rc<Driver>, counting: &Counting) {
        let site = settings.current();
        driver.update_settings(site.settings.clone(), settings.removed_tenants());
        counting.name(&site.names.classes);
        let guarantees: Vec<f64> = site.settings.tenants.iter().map(|t| t.allowance_per_s).collect();
        self.admission.set_tenant_guarantees(&guarantees);
        self.discovery.set_names(site.names.clone());
        self.grace.set((self.grace_from_settings)(settings));
        self.requests.update_settings(settings);
    }
}
