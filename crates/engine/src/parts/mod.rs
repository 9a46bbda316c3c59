//! What a way in is made of, for those that do not go through [`Handle`](crate::Handle): the daemon, and sources of the
//! list. Hosts need none of it.
//!
//! | part | what it does |
//! | --- | --- |
//! | [`desk`] | takes requests in; the ledger stands here |
//! | [`driver`] | the only owner of the decision module: events in, actions carried out |
//! | [`upstream`], [`attempt`], [`connection`] | where upstreams are, one request at one of them, one connection |
//! | [`terms`] | until when an attempt may be written and waited for |
//! | [`body`], [`answer`], [`room`] | bodies of requests and answers, and the memory that they share |
//! | [`descriptors`] | who may hold how many, and what is done when none is left |
//! | [`discovery`] | the platform's list |

pub mod answer;
pub mod attempt;
pub mod body;
pub mod connection;
pub mod descriptors;
pub mod desk;
pub mod discovery;
pub mod driver;
pub mod headers;
pub(crate) mod pool;
pub mod room;
pub mod seldom;
pub mod terms;
pub mod upstream;
