//! What a way in is made of, for those that do not go through [`Handle`](crate::Handle): the daemon, and sources of the
//! list. Hosts need none of it.
//!
//! | part | what it does |
//! | --- | --- |
//! | [`dispatcher`] | takes requests in; the ledger stands here |
//! | [`driver`] | the only owner of the decision module: events in, actions carried out |
//! | [`upstream`], [`attempt`], [`connection`] | where upstreams are, one request at one of them, one connection |
//! | [`attempt_limits`] | until when an attempt may be written and waited for |
//! | [`body`], [`answer`], [`body_memory`] | bodies of requests and answers, and the memory that they share |
//! | [`descriptors`] | who may hold how many, and what is done when none is left |
//! | [`discovery`] | the platform's list |

pub mod answer;
pub mod attempt;
pub mod attempt_limits;
pub mod body;
pub mod body_memory;
pub mod connection;
pub mod descriptors;
pub mod discovery;
pub mod dispatcher;
pub mod driver;
pub mod headers;
pub(crate) mod pool;
pub mod rate_limited_log;
pub mod upstream;
