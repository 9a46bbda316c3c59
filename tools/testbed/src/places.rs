//! Worlds with zones, regions, sites and routers; faults by zone; and histories of them as files.

mod clients;
mod faults;
pub mod figures;
mod map;
pub mod recorder;
mod scene;
pub mod storm;

pub use clients::Front;
pub use map::{Conduct, Map, Service, Upstream};
pub use scene::{Scene, leader, shown};
