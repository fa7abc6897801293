//! A customer's limits over all entry hosts.
//!
//! Each host owns an equal part of a limit and lends what it does not need to hosts that need more, for a short lease.
//! A host does not use what it has lent before the lease has certainly ended. So the parts in use never exceed the
//! limit, whatever is lent, late, cut off or restarted. See docs/design/limits.md.

mod bucket;
mod loans;
mod meter;
mod share;

pub use bucket::{BURST, Bucket};
pub use loans::{DRIFT, LEASE, Loans, OwnedPart, RESERVE, plan};
pub use meter::DemandMeter;
pub use share::{CustomerShare, LimitAmounts, PeerDemand, owned_part};
