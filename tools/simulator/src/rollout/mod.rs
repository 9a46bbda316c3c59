//! Changes in stages: the leader's own part, fed with what emulated balancers report, held against fixed thresholds and against
//! changing all at once, on the same days.
//!
//! [`fleet`] is who is asked how much and what becomes of it, [`harm`] what the change does, [`ways`] who decides, [`mod@play`] one
//! change from its beginning to its end, [`table`] many of them.

pub mod fleet;
pub mod harm;
pub mod play;
pub mod table;
pub mod ways;

pub use harm::Harm;
pub use play::{Case, End, Outcome, play};
pub use ways::Way;
