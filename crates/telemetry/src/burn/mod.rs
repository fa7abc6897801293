//! The burn report: how fast each customer's service classes consume their error budget, the fraction of requests that
//! may miss their latency targets.
//!
//! Each entry host counts requests in [`RequestCounters`]. It sends its counts, as a [`NodeCounts`], to operators and to
//! a peer, which keeps them in case the host is restarted. A [`Report`] is computed from the parts of all entry hosts.

mod cause;
mod counters;
mod meter;
mod report;
mod ring;

pub use cause::{Cause, EndedRequest, RequestEnd, miss_cause};
pub use counters::{ClassCounts, MAX_ROWS, NodeCounts, RequestCounters};
pub use meter::RequestMeter;
pub use report::{Alert, CauseCount, Quantiles, Report, ReportNode, ReportRow, WindowBurn};
pub use ring::{Bucket, MAX_MISS_ROWS, MissCount, Window};

/// Service level objective: the fraction of the requests of a class that must meet the latency targets.
pub const OBJECTIVE: f64 = 0.95;
