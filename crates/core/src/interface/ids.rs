//! Identifiers: numbers that stand for requests, upstreams, classes, tenants and places.

/// Identifies a client's request; an embedder never uses the same number twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId(pub u32);

/// Identifies an upstream: a server behind the proxy. The number carries no meaning.
#[derive(Default, Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct UpstreamId(pub u64);

/// The position of a class of requests in [`Settings::classes`](crate::Settings::classes).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClassId(pub u16);

/// The position of a tenant in [`Settings::tenants`](crate::Settings::tenants).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TenantId(pub u32);

/// Identifies a zone: a failure domain.
#[derive(Default, Clone, Copy, Debug, PartialEq, Eq)]
pub struct ZoneId(pub u8);

/// Identifies a hardware kind: upstreams of one kind are alike.
#[derive(Default, Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct KindId(pub u16);

/// Identifies a cell: a small set of upstreams that share which idempotency keys they have seen.
#[derive(Default, Clone, Copy, Debug, PartialEq, Eq)]
pub struct CellId(pub u16);

/// The number of an attempt of one request: 0, 1, 2 ... in the order of
/// [`Action::Attempt`](crate::Action::Attempt).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptNo(pub u8);

/// Identifies a timer set by [`Action::Timer`](crate::Action::Timer).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimerId(pub u32);
