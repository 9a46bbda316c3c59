//! Reloads the platform's configuration file on SIGHUP. Only the discovery address and the settings can
//! change, and only if the complete file is valid.

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

/// Longest time from SIGTERM to the end of the process, updated with the settings.
pub type SharedGrace = Rc<Cell<Duration>>;

/// Installs a handler for SIGHUP, which would end the process without a handler. The platform can send SIGHUP
/// as soon as the process exists. A signal that arrives while the configuration is read is delivered to
/// [`ConfigReloader::run`].
pub fn install_hangup_handler() -> io::Result<()> {
    let runtime = Builder::new_current_thread().enable_io().build()?;
    let _entered = runtime.enter();
    // The handler outlives this runtime. The serving runtime delivers the signals that the handler recorded.
    signal(SignalKind::hangup()).map(drop)
}

/// Applies changed platform settings to the parts of the balancer that depend on them.
pub struct ConfigReloader {
    /// Configuration at the start of the process.
    pub config: Config,
    /// Connection to the discovery service.
    pub discovery: Rc<Discovery>,
    /// Parser of client requests. A reload updates its settings.
    pub request_reader: Rc<RequestReader>,
    /// Admission controller, which enforces the tenants' guarantees.
    pub admission: Rc<AdmissionController>,
    /// Descriptor budget. Reading the file takes one descriptor.
    pub descriptors: Rc<Descriptors>,
    /// Longest time from SIGTERM to the end of the process.
    pub grace: SharedGrace,
    /// Computes the longest time from SIGTERM to the end of the process from the settings.
    pub grace_from_settings: fn(&ActiveSettings) -> Duration,
}

impl ConfigReloader {
    /// Reads the file at each SIGHUP until the process ends.
    pub async fn run(self, mut hangup: Signal, driver: Rc<Driver>, counting: Rc<RequestMetrics>) {
        let (start, mut settings) = (Instant::now(), self.config.settings_state.clone());
        while hangup.recv().await.is_some() {
            let result = self.descriptors.with_spare(|| self.config.reload(start.elapsed(), &settings));
            match result {
                Ok((discovery, new_settings)) => {
                    counting.metrics().conf_loaded.inc();
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
                    counting.metrics().conf_invalid.inc();
                    tracing::warn!("the configuration stays as it is: {e}");
                }
            }
        }
    }

    /// Applies new settings. The driver's settings change first: the driver must know every class and tenant
    /// before requests use them.
    fn apply_settings(&self, settings: &ActiveSettings, driver: &Rc<Driver>, counting: &RequestMetrics) {
        let site = settings.current();
        driver.update_settings(site.settings.clone(), settings.removed_tenants());
        counting.set_classes(&site.names.classes);
        let guarantees: Vec<f64> = site.settings.tenants.iter().map(|t| t.allowance_per_s).collect();
        self.admission.set_tenant_guarantees(&guarantees);
        self.discovery.set_names(site.names.clone());
        self.grace.set((self.grace_from_settings)(settings));
        self.request_reader.update_settings(settings);
    }
}
