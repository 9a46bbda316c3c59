//! Identifiers of requests, upstreams, classes, tenants, localities, attempts and timers.

/// Identifies a client's request; an embedder never reuses a number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId(pub u32);

/// Identifies an upstream, a server behind the proxy. The number carries no meaning.
#[derive(Default, Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct UpstreamId(pub u64);

/// Position of a request class in [`Settings::classes`](crate::Settings::classes).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClassId(pub u16);

/// Position of a tenant in [`Settings::tenants`](crate::Settings::tenants).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TenantId(pub u32);

/// Identifies a zone, which is a failure domain.
#[derive(Default, Clone, Copy, Debug, PartialEq, Eq)]
pub struct ZoneId(pub u8);

/// Identifies a hardware kind; upstreams of one kind have equal hardware.
#[derive(Default, Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct KindId(pub u16);

/// Identifies a cell: a small set of upstreams that share their record of idempotency keys.
#[derive(Default, Clone, Copy, Debug, PartialEq, Eq)]
pub struct CellId(pub u16);

/// Number of an attempt within its request: 0, 1, 2 ... in the order of
/// [`Action::Attempt`](crate::Action::Attempt).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptNo(pub u8);

/// Identifies a timer set by [`Action::Timer`](crate::Action::Timer).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimerId(pub u32);
