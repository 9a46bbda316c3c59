//! Calls that wait for a short time, to an engine with one class of requests that must not run twice.

use maplehook::source::Fixed;
use maplehook::{Builder, Call, CallBody, Engine};
use maplehook_core::{Class, ClassId, Effect, Settings, Tenant, TenantId};
use maplehook_http_semantics::Passage;
use std::net::SocketAddr;
use std::time::Duration;

/// Time that each call waits.
pub const WAIT: Duration = Duration::from_millis(500);

/// Returns the builder of an engine in front of these upstreams.
pub fn engine(upstreams: &[SocketAddr], passage: Passage) -> Builder {
    let class = Class {
        latency_objective: WAIT,
        deadline: WAIT,
        effect: Effect::AtMostOnce,
        late_value: 0.5,
        ..Class::default()
    };
    let settings = Settings {
        classes: vec![class],
        tenants: vec![Tenant { allowance_per_s: 100.0 }],
        ..Settings::default()
    };
    let names: Vec<String> = (0..upstreams.len()).map(|n| format!("desk{n}")).collect();
    let fixed = Fixed::new(names.iter().map(String::as_str).zip(upstreams.iter().copied()));
    Engine::builder(settings).passages(vec![passage]).seed(7).upstreams(fixed)
}

/// Returns a call with this body.
pub fn call(body: CallBody) -> Call {
    Call {
        class: ClassId(0),
        tenant: TenantId(0),
        wait: WAIT,
        id: None,
        method: "POST".parse().unwrap(),
        target: "/book".parse().unwrap(),
        headers: [(hyper::header::HOST, "desk".parse().unwrap())].into_iter().collect(),
        body,
        peer: None,
    }
}

pub fn runtime() -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap()
}
