//! The burn report: how fast each customer's classes use up the part of requests that may miss their targets.
//!
//! Each entry host counts into a [`Ledger`]. Its [`Part`]s travel to operators and to a peer, which remembers them for
//! the case that the host is restarted. A [`Report`] is made of all parts.

mod cause;
mod ledger;
mod meter;
mod report;
mod ring;

pub use cause::{Cause, EndedRequest, RequestEnd, miss_cause};
pub use ledger::{ClassCounts, MAX_ROWS, Part, RequestCounters};
pub use meter::RequestMeter;
pub use report::{Alert, CauseCount, Quantiles, Report, ReportNode, ReportRow, WindowBurn};
pub use ring::{Bucket, MAX_MISS_ROWS, MissCount, Window};

/// Part of the requests of a class that must be answered within its targets.
pub const OBJECTIVE: f64 = 0.95;
