//! What single commands do.

pub mod balancers;
pub mod measures;
pub mod places;
pub mod rollout;
