//! Building blocks of an engine, for programs that do not use [`Handle`](crate::Handle): the daemon, and
//! sources of the endpoint list. Embedding programs do not need these modules.
//!
//! | module | purpose |
//! | --- | --- |
//! | [`dispatcher`] | accepts requests and owns the ledger |
//! | [`driver`] | owns the decision module: applies events, performs actions |
//! | [`upstream`], [`attempt`], [`connection`] | known upstreams, one attempt, one connection |
//! | [`attempt_limits`] | deadlines for writing an attempt and for its response |
//! | [`body`], [`answer`], [`buffer_memory`] | request and response bodies, and the memory they share |
//! | [`exchange_time`] | time of one exchange: when its answer is due, and what ends it |
//! | [`head_memory`] | memory of the message heads on one connection |
//! | [`time_limit`] | time limits that end an exchange, for logs and metrics |
//! | [`unsolicited`] | data from upstreams that no request asked for |
//! | [`descriptors`] | descriptor limits, and the handling of a shortage |
//! | [`discovery`] | client of the platform's endpoint list |

pub mod answer;
pub mod attempt;
pub mod attempt_limits;
pub mod body;
pub mod buffer_memory;
pub mod connection;
pub mod descriptors;
pub mod discovery;
pub mod dispatcher;
pub mod driver;
pub mod exchange_time;
pub mod head_memory;
pub mod headers;
pub(crate) mod pool;
pub mod rate_limited_log;
pub(crate) mod reuse;
pub mod time_limit;
pub mod unsolicited;
pub mod upstream;
