//! A balancer as the platform describes it.

use super::parts::Parts;
use super::{KILL_AFTER_DEADLINE, KILL_DEADLINE_MOST, Plan, Told, block_on, serve, vouching};
use crate::client::Allowance;
use crate::config::Config;
use crate::handover::{Handover, Remembered};
use crate::inherited;
use crate::requests::Requests;
use crate::retune::Retuner;
use maplehook::parts::body_memory::BodyMemory;
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

/// How long a platform's client may leave an answer unread.
const STALL: Duration = Duration::from_secs(20);

/// Serves as the platform says, until SIGTERM.
pub fn on_platform(
    config: Config,
    mut operator: Operator,
    inherited: Option<std::io::Result<std::net::TcpListener>>,
    told: Option<Told>,
) -> Result<(), Box<dyn Error>> {
    let inherited = inherited::fit(inherited, config.listen);
    if operator.tier.take().is_some() {
        tracing::warn!("[tier] has no effect on the platform, which says who speaks to whom");
    }
    let settings = config.tuned.current().settings.clone();
    let plan = Plan {
        listen: config.listen,
        inherited,
        supervised: None,
        control: config.operator,
        control_told: "control",
        classes: config.tuned.current().names.classes.clone(),
        seed: config.seed,
        sockets: config.limits.sockets,
        room: BodyMemory::new(config.long_answers()),
        forwarding: Forwarding::platform(),
        own: false,
        allowance: Allowance { silence: SENDER_IDLE, unread: STALL },
        grace: Rc::new(Cell::new(platform_grace(&config.tuned))),
        settings,
        operator,
        file: None,
        told,
    };
    block_on(async move {
        let vouching = vouching(&plan.operator, &config.tuned.current().names.tenants)?;
        let hangup = signal(SignalKind::hangup())?;
        let mut plan = plan;
        let parts = Parts::new(&mut plan, None)?;
        let discovery = Rc::new(Discovery::new(
            config.discovery,
            config.tuned.current().names.clone(),
            Rc::clone(&parts.descriptors),
        ));
        if !plan.settings.has_endpoint_discovery {
            discovery.set_timeouts(DiscoveryTimeouts::AGENT);
        }
        let mut known = discovery.parse_cached_list(&config.known);
        // Only then may another process of this balancer run before, beside or after this one.
        let handover = if parts.shared { Handover::of(&config.name) } else { None };
        let left = handover.as_ref().and_then(|handover| handover.take(&discovery.names()));
        let (follows, allowed) = (left.is_some(), plan.sockets);
        let heritage = left.as_ref().map(|left| left.heritage(&discovery.names()));
        if let Some(left) = left {
            known = left.list(known, &discovery);
        }
        let remembered = handover.is_some().then(|| Remembered::new(Rc::clone(&discovery), &known));
        let source = match &remembered {
            Some(remembered) => Rc::clone(remembered) as Rc<dyn Source>,
            None => Rc::clone(&discovery) as Rc<dyn Source>,
        };
        tracing::info!(limits = ?config.limits, "configured by the platform");
        let requests = Rc::new(Requests::platform(&config.tuned, vouching, plan.room.clone()));
        let descriptors = Rc::clone(&parts.descriptors);
        let retuner = Retuner {
            config,
            discovery,
            requests: Rc::clone(&requests),
            entrance: Rc::clone(&parts.entrance),
            descriptors: Rc::clone(&parts.descriptors),
            grace: Rc::clone(&plan.grace),
            grace_by: platform_grace,
        };
        let begun = |driver: Rc<Driver>, counting| {
            if let Some(heritage) = heritage {
                driver.restore_learned_state(heritage);
            }
            if let (Some(handover), Some(remembered)) = (handover, remembered) {
                spawn_local(handover.keep(remembered, Rc::clone(&driver), descriptors, allowed, follows));
            }
            spawn_local(retuner.run(hangup, driver, counting));
        };
        serve(plan, parts, requests, (source, known), begun, None, || {}).await
    })
}

/// From SIGTERM until the end.
fn platform_grace(tuned: &ActiveSettings) -> Duration {
    let longest = tuned.classes().map(|(_, _, class)| class.deadline).max().unwrap_or_default();
    longest.min(KILL_DEADLINE_MOST) + KILL_AFTER_DEADLINE
}
