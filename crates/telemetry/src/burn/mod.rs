//! The burn report: how fast each customer's classes use up the part of requests that may miss their targets.
//!
//! Each entry host counts into a [`Ledger`]. Its [`Part`]s travel to operators and to a peer, which remembers them for
//! the case that the host is restarted. A [`Report`] is made of all parts.

mod cause;
mod ledger;
mod meter;
mod report;
mod ring;

pub use cause::{Cause, End, Served, blame};
pub use ledger::{Ledger, MAX_ROWS, Part, RowPart};
pub use meter::Meter;
pub use report::{Alert, CauseCount, NodeSeen, Quantiles, Report, ReportRow, WindowBurn};
pub use ring::{Bad, Bucket, MAX_BLAMED, Window};

/// Part of the requests of a class that must be answered within its targets.
pub const OBJECTIVE: f64 = 0.95;
