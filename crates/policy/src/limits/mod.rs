//! A customer's limits over all entry hosts.
//!
//! Each host owns an equal part of a limit and lends what it doesn't need to hosts that need more, for the time of a
//! short lease. A host never uses what it has lent before the lease has surely ended, so that the parts in use never
//! add up to more than the limit, whatever is lost, late, cut off or restarted. See docs/design/limits.md.

mod bucket;
mod loans;
mod meter;
mod share;

pub use bucket::{BURST, Bucket};
pub use loans::{DRIFT, LEASE, Loans, Part, RESERVE, plan};
pub use meter::DemandMeter;
pub use share::{CustomerShare, LimitAmounts, PeerDemand, owned_part};
