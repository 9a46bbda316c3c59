//! Runs a balancer that is configured by the platform.

use super::components::Components;
use super::{
    BalancerSetup, KILL_AFTER_DEADLINE, MAX_KILL_DEADLINE, ServingHooks, block_on, client_authentication,
    serve,
};
use crate::client::ClientTimeouts;
use crate::config::Config;
use crate::config_reload::ConfigReloader;
use crate::handover::{EndpointRecorder, HandoverFile};
use crate::inherited;
use crate::memory::MemoryLimit;
use crate::requests::RequestReader;
use maplehook::parts::discovery::{Discovery, DiscoveryTimeouts};
use maplehook::parts::driver::Driver;
use maplehook::source::Source;
use maplehook_config::Operator;
use maplehook_http_semantics::{Forwarding, SENDER_IDLE};
use maplehook_platform_settings::ActiveSettings;
use std::cell::Cell;
use std::error::Error;
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::spawn_local;

/// Time that a client may leave a response unread.
const RESPONSE_UNREAD_TIMEOUT: Duration = Duration::from_secs(20);

/// Time for which a process that has given all other final answers still passes on those that it has begun. The
/// platform ends it when it wants to.
const STREAM_GRACE: Duration = Duration::from_secs(30);

/// Serves according to the platform's configuration until SIGTERM.
pub fn run_on_platform(
    config: Config,
    mut operator: Operator,
    inherited: Option<std::io::Result<std::net::TcpListener>>,
    hooks: Option<ServingHooks>,
) -> Result<(), Box<dyn Error>> {
    let inherited = inherited::matching_listener(inherited, config.listen);
    if operator.tier.take().is_some() {
        tracing::warn!("[tier] is ignored: the platform decides which balancers communicate");
    }
    let settings = config.settings_state.current().settings.clone();
    let setup = BalancerSetup {
        listen: config.listen,
        inherited,
        supervisor: None,
        control: config.operator,
        control_log_key: "control",
        classes: config.settings_state.current().names.classes.clone(),
        seed: config.seed,
        sockets: config.limits.sockets,
        memory: MemoryLimit::Process(config.memory_bytes()),
        forwarding: Forwarding::platform(),
        signs_own_responses: false,
        client_timeouts: ClientTimeouts {
            request_idle: SENDER_IDLE,
            response_unread: RESPONSE_UNREAD_TIMEOUT,
        },
        stream_grace: STREAM_GRACE,
        grace: Rc::new(Cell::new(platform_grace(&config.settings_state))),
        settings,
        operator,
        operator_file_text: None,
        hooks,
    };
    block_on(async move {
        let client_authentication =
            client_authentication(&setup.operator, &config.settings_state.current().names.tenants)?;
        let hangup = signal(SignalKind::hangup())?;
        let mut setup = setup;
        let components = Components::new(&mut setup, None)?;
        let discovery = Discovery::new(
            config.discovery,
            config.settings_state.current().names.clone(),
            Rc::clone(&components.descriptors),
        );
        let discovery =
            Rc::new(discovery.counting_in(components.admin_state.tally.lists_turned_down.clone()));
        if !setup.settings.has_endpoint_discovery {
            discovery.set_timeouts(DiscoveryTimeouts::AGENT);
        }
        let mut known = discovery.parse_cached_list(&config.cached_endpoints);
        // Without a shared listener, no other process of this balancer runs before, beside or after this one,
        // and no handover file is needed.
        let handover =
            if components.is_listener_shared { HandoverFile::for_balancer(&config.name) } else { None };
        let predecessor = handover.as_ref().and_then(|handover| handover.load(&discovery.names()));
        let (has_predecessor, max_descriptors) = (predecessor.is_some(), setup.sockets);
        let learned_state =
            predecessor.as_ref().map(|predecessor| predecessor.learned_state(&discovery.names()));
        if let Some(predecessor) = predecessor {
            known = predecessor.endpoints(known, &discovery);
        }
        let recorder = handover.is_some().then(|| EndpointRecorder::new(Rc::clone(&discovery), &known));
        let source = match &recorder {
            Some(recorder) => Rc::clone(recorder) as Rc<dyn Source>,
            None => Rc::clone(&discovery) as Rc<dyn Source>,
        };
        tracing::info!(limits = ?config.limits, "configured by the platform");
        let request_reader = Rc::new(RequestReader::platform(
            &config.settings_state,
            client_authentication,
            components.memory.clone(),
        ));
        let descriptors = Rc::clone(&components.descriptors);
        let reloader = ConfigReloader {
            config,
            discovery,
            request_reader: Rc::clone(&request_reader),
            admission: Rc::clone(&components.admission),
            descriptors: Rc::clone(&components.descriptors),
            grace: Rc::clone(&setup.grace),
            grace_from_settings: platform_grace,
        };
        let on_start = |driver: Rc<Driver>, counting| {
            if let Some(learned_state) = learned_state {
                driver.restore_learned_state(learned_state);
            }
            if let (Some(handover), Some(recorder)) = (handover, recorder) {
                spawn_local(handover.write_periodically(
                    recorder,
                    Rc::clone(&driver),
                    descriptors,
                    max_descriptors,
                    has_predecessor,
                ));
            }
            spawn_local(reloader.run(hangup, driver, counting));
        };
        serve(setup, components, request_reader, (source, known), on_start, None, || {}).await
    })
}

/// Returns the longest time from SIGTERM to the end of the process.
fn platform_grace(settings_state: &ActiveSettings) -> Duration {
    let max_class_deadline =
        settings_state.classes().map(|(_, _, class)| class.deadline).max().unwrap_or_default();
    max_class_deadline.min(MAX_KILL_DEADLINE) + KILL_AFTER_DEADLINE
}
