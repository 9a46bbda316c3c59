//! An engine and the rules by which its requests are read.

use maplehook::source::Fixed;
use maplehook::{Engine, Handle, StartError};
use maplehook_config::{Faults, Proxy};
use maplehook_http_semantics::{Own, Rules};
use std::fmt;
use std::hash::{BuildHasher, Hasher, RandomState};
use std::sync::Arc;
use std::time::Duration;

/// Why there is no balancing.
#[derive(Debug)]
pub enum SetupError {
    /// The file has these faults.
    File(Faults),
    /// The engine does not start.
    Engine(StartError),
}

impl fmt::Display for SetupError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::File(faults) => faults.fmt(f),
            Self::Engine(e) => e.fmt(f),
        }
    }
}

impl std::error::Error for SetupError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::File(faults) => Some(faults),
            Self::Engine(e) => Some(e),
        }
    }
}

/// What the ways in share.
pub(crate) struct Shared {
    pub(crate) handle: Handle,
    pub(crate) rules: Rules,
    pub(crate) own: Own,
}

/// An engine, and the rules by which its requests are read. When it is dropped the engine ends: what it holds gets
/// its final answer at once.
pub struct Balancing {
    engine: Engine,
    pub(crate) shared: Arc<Shared>,
}

impl Balancing {
    /// By an operator's file, as the daemon's; it needs no `listen.address`.
    pub fn from_file(text: &str) -> Result<Self, SetupError> {
        Self::of(&maplehook_config::parse_embedded(text).map_err(SetupError::File)?)
    }

    /// By what such a file says.
    pub fn of(proxy: &Proxy) -> Result<Self, SetupError> {
        let engine = Engine::builder(proxy.settings.clone())
            .seed(RandomState::new().build_hasher().finish())
            .upstreams(Fixed::listed(proxy.listed(|zone| zone)))
            .passages(proxy.passages.clone())
            .forwarding(proxy.forwarding.clone())
            .body_memory(proxy.bodies)
            .start()
            .map_err(SetupError::Engine)?;
        Ok(Self::new(engine, proxy.rules(), Own { signed: proxy.own }))
    }

    /// By its parts: the rules' classes are the engine's.
    pub fn new(engine: Engine, rules: Rules, own: Own) -> Self {
        let shared = Arc::new(Shared { handle: engine.handle(), rules, own });
        Self { engine, shared }
    }

    /// The engine.
    pub fn engine(&self) -> &Engine {
        &self.engine
    }

    /// Ends it: new requests are refused, what is held has `within` from now for its answer.
    pub async fn shutdown(&self, within: Duration) {
        self.engine.shutdown(within).await;
    }
}
