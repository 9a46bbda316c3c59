//! Versions of settings and lists on which balancers agree, and a bound on how long two may contradict: no I/O.
//!
//! [`steps`] is what the voters' log comes to, [`grants`] the leader's side of leases, [`holder`] a balancer's; [`common`] all three for one body
//! of bytes beside them. [`strict`] says
//! what contradicts what, and reads two versions as strictly as either. `docs/design/agreement.md` has the reasons.

pub mod compatibility;
pub mod lease_holder;
pub mod lease_manager;
pub mod locality_rules;
pub mod shared_document;
pub mod stable_ids;
pub mod version_state;
