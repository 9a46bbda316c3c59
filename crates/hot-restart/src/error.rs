//! Why a snapshot is not used.

use std::time::Duration;
use thiserror::Error;

/// Why nothing of a snapshot is used.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SnapshotError {
    /// The file is no snapshot, or one of another version.
    #[error("it is none of this version")]
    UnknownFormat,
    /// The file is cut short, longer than allowed, or corrupt.
    #[error("it is cut short, too long or spoilt")]
    Corrupt,
    /// The snapshot is another balancer's.
    #[error("it is another balancer's")]
    OtherBalancer,
    /// The snapshot is of a process that started no earlier than this one.
    #[error("it is of no earlier process")]
    NotEarlier,
    /// The snapshot is too old, by this age.
    #[error("it is {0:?} old")]
    Stale(Duration),
    /// The snapshot was written in the future.
    #[error("it is from the future")]
    FromFuture,
}
